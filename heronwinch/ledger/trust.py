"""How long a dispatcher was away, and how far what it wrote down is trusted for that.

Within one boot of the machine the time since its start says it, whatever the clock was set to. Across boots
only the wall clock does, which may have been set, so its word is in doubt. In doubt a mark against repeats
holds no more and no expiry is still to come: what would be harmless only in time is not done."""

from typing import NamedTuple

from heronwinch.interface import SECOND

STALE = 3600 * SECOND  # running times older than this count as little as a guess
MOST = 8  # of how many running times what was learned counts at most, for the dispatcher's own record to win


class Clock(NamedTuple):
    """What a machine's clocks show at one moment; nanoseconds."""

    boot: str  # "" where it is not known
    up: int  # since its start, suspended or not
    now: int  # the clock of records


class Away(NamedTuple):
    """`by` is what has to be added to times of the earlier life to be times of this clock; `sure` whether
    that is so within the drift of a clock. `time` is how long nobody wrote, None where it is not known."""

    by: int
    sure: bool
    time: int | None


def away(life, last, clock):
    """`life` wrote last, its last record at `last`."""
    if life.boot and life.boot == clock.boot and clock.up >= life.up:
        by = (clock.now - clock.up) - (life.now - life.up)
        return Away(by, True, max(0, clock.now - (last + by)))
    time = clock.now - last
    return Away(0, False, time if time >= 0 else None)


def worth(seen, away):
    """Of how many running times what was learned counts for after that time away."""
    if away.time is None or away.time > STALE:
        return 1
    return max(1, min(MOST, seen))
