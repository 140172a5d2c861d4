"""Measures how long a dispatcher was down, and decides how far its stored times and samples still count.

Within one boot of the machine the uptime gives the downtime, whatever the wall clock was set to. Across boots
only the wall clock does, and it may have been set in between, so such a downtime is not exact. Then earlier
hand-offs count as outside the repeat window and all expiries as past, so nothing is done that would be
harmful if these times were wrong."""

from typing import NamedTuple

from heronwinch.interface import SECOND

MAX_RUNNING_TIMES_AGE_NS = 3600 * SECOND  # older running times count as one sample, hardly more than a guess
MAX_CARRIED_SAMPLES = 8  # limit of the weight of samples carried over: new ones soon outweigh them


class ClockReading(NamedTuple):
    """The clocks of a machine at one moment; nanoseconds."""

    boot_id: str  # "" if it is not known
    uptime: int  # nanoseconds since the boot, with time in suspend
    now: int  # time of the clock that records use


class Downtime(NamedTuple):
    """The time between the last record of an earlier process and now; nanoseconds.

    Times of the earlier process plus `clock_offset` are times of the present clock; `is_exact` tells whether
    this holds within the drift of a clock. `duration` is None if it is not known."""

    clock_offset: int
    is_exact: bool
    duration: int | None


def measure_downtime(process_start, last_record_at, clock):
    """Downtime since `last_record_at`, the last record of the process that began with `process_start`."""
    if process_start.boot and process_start.boot == clock.boot_id and clock.uptime >= process_start.up:
        clock_offset = (clock.now - clock.uptime) - (process_start.now - process_start.up)
        return Downtime(clock_offset, True, max(0, clock.now - (last_record_at + clock_offset)))
    duration = clock.now - last_record_at
    return Downtime(0, False, duration if duration >= 0 else None)


def limit_carried_samples(sample_count, downtime):
    """The number of samples for which stored running times count after a downtime."""
    if downtime.duration is None or downtime.duration > MAX_RUNNING_TIMES_AGE_NS:
        return 1
    return max(1, min(MAX_CARRIED_SAMPLES, sample_count))
