"""Slow start: the ages of workers, and what this dispatcher, one of many, may send to those just started.

A worker in slow start fails under the sum of what all dispatchers send it, and dispatchers do not talk to
each other. So a subset of them, by their numbers, uses each such worker, and each member of the subset keeps
to its part of what the worker stands. Neither depends on what a worker reports: reports are late, and all
dispatchers see the same free slot. docs/design.md has the bound on the sum. All times are whole nanoseconds.
Does no I/O.
"""

from collections import deque
from math import gcd, sqrt
from typing import NamedTuple

from heronwinch.interface import SECOND, SlowStartReason

# A wall clock may be off by this much: by several steps of an hour.
MAX_CLOCK_ERROR = 6 * 3600 * SECOND
# The part of what a worker stands that all dispatchers together may send it. The rest is for what they cannot
# know: errors of the learned work and slots, requests on their way, what a restarted dispatcher sent before.
USED_SHARE = 0.7
# From this budget on, in requests, less of an excess counts as chance.
LARGE_BUDGET = 30
# A restarted dispatcher does not know what it sent before. For a push window it reckons with this part of it.
RESTART_SHARE = 0.25
GOLDEN_RATIO = 0.618  # consecutive multiples of it are spread evenly
MIX_MULTIPLIER, MIX_MODULUS = 0x9E3779B97F4A7C15, 1 << 64  # multiplicative hashing


class WorkerStart(NamedTuple):
    """A start of a worker, as discovery lists it."""

    started_at: int  # Unix time, by the worker's clock
    heard_at: int  # when this dispatcher first heard of it
    not_before: int | None  # when it last had a list without this start; None if it never had one


class StartClock:
    """Tells how long ago workers started, without relying on any one machine's wall clock.

    The age of a worker is a span of real time. The starts that discovery lists are in Unix time, and both the
    worker's wall clock and this machine's may have been set. A start is at least as old as the time since it
    was heard of, and at most as old as the last list without it. In between, ages are counted against the
    newest starts heard of: it was at least that late when they were heard.
    """

    def __init__(self):
        self.last_list_at = None  # when discovery last answered
        # By how much the Unix time of the newest starts, counted on from when they were heard of, is ahead of
        # this machine's clock; it is at least as late as that.
        self.reference_offset = -MAX_CLOCK_ERROR

    def note_start(self, now, started_at):
        """Returns the WorkerStart of a start that has just been heard of."""
        # A start in the future is left out: then either clock is wrong.
        self.reference_offset = max(self.reference_offset, min(0, started_at - now))
        return WorkerStart(started_at, now, self.last_list_at)

    def note_list(self, now):
        """Discovery has answered: every later start that is heard of is newer than this list."""
        self.last_list_at = now

    def compute_age(self, now, start):
        """Returns how long ago a worker started; where that is not known, the least that it can be."""
        age = now + self.reference_offset - start.started_at
        if start.not_before is not None:
            age = min(age, now - start.not_before)
        return max(age, now - start.heard_at)


class SentItem(NamedTuple):
    """A hand-off to a worker, as far as its work counts."""

    sent_at: int
    category: object  # the policy's state of its category
    slots: float


class SentWork:
    """What this dispatcher has sent to one worker within the push window.

    It is kept for warm workers too: one may have started anew some time before that is told. What the work
    comes to is estimated when it is asked for, as by then more may be known of it.
    """

    __slots__ = ("items",)

    def __init__(self):
        self.items = deque()  # SentItem, in the order in which they were sent

    def record(self, now, window, category, slots):
        """Counts a hand-off."""
        self._drop_before(now - window)
        self.items.append(SentItem(now, category, slots))

    def sum_recent(self, now, window, work_estimate):
        """Returns what was sent within the push window, in requests of mean work by a WorkEstimate."""
        self._drop_before(now - window)
        counts = {}  # category -> (work items, their slots)
        for item in self.items:
            work_items, slots = counts.get(item.category, (0, 0.0))
            counts[item.category] = work_items + 1, slots + item.slots
        return sum(
            work_estimate.count_requests(category, slots, work_items)
            for category, (work_items, slots) in counts.items()
        )

    def _drop_before(self, time):
        while self.items and self.items[0].sent_at <= time:
            self.items.popleft()


class Allowance:
    """What all dispatchers together may send a worker in slow start in a push window, in requests of mean
    work, and the place of this dispatcher in the order in which they share it."""

    __slots__ = ("requests", "dispatchers", "rank")

    def __init__(self, requests, dispatchers, rank):
        self.requests, self.dispatchers, self.rank = requests, max(1, dispatchers), rank

    @property
    def own_part(self):
        """The part of each member of the subset: one request at least."""
        return max(1.0, self.requests / self.dispatchers)

    @property
    def represented_dispatchers(self):
        """How many dispatchers each member of the subset stands for, itself among them."""
        return max(1.0, self.dispatchers / max(1.0, self.requests))

    @property
    def is_usable(self):
        """Whether this dispatcher is a member of the subset."""
        return self.rank < self.requests

    def is_within_part(self, requests, recent):
        """Whether the own part has room for so many requests after `recent` others in the window."""
        return recent + requests <= self.own_part

    def admits(self, requests, recent, is_learned=True):
        """Whether a hand-off of so many requests of mean work may go out after `recent` others in the window;
        `is_learned`: whether the running time of its category is known."""
        return self.explain(requests, recent, is_learned) is not None

    def explain(self, requests, recent, is_learned=True):
        """Returns the SlowStartReason for which a hand-off may go out, None if it may not.

        Long work goes from fewer dispatchers: each sends one such work item at most, and all of them together
        less than the allowance. Work of unknown length goes from one, or it would never be learned where all
        workers are in slow start.
        """
        if not self.is_usable:
            return None
        if self.is_within_part(requests, recent):
            return SlowStartReason.PART
        if recent:
            return None
        if not is_learned:
            return SlowStartReason.UNKNOWN if self.rank < 1 else None
        return SlowStartReason.LONG if (self.rank + 1) * requests * requests <= self.requests else None


class DispatcherOrder:
    """The places of one of several dispatchers in the orders in which they use workers in slow start.

    Each start of a worker has an order of its own, the same at all dispatchers, in which each has another
    place. Neighbours in it have numbers far apart.
    """

    def __init__(self, own_number, dispatchers):
        self.own_number, self.dispatchers = own_number, max(1, dispatchers)
        self.stride = max(1, int(self.dispatchers * GOLDEN_RATIO))
        while gcd(self.stride, self.dispatchers) > 1:
            self.stride += 1

    def compute_rank(self, worker_key, started_at):
        """Returns this dispatcher's place, from 0 on, for one start of a worker."""
        mixed = (worker_key * MIX_MULTIPLIER + started_at) * MIX_MULTIPLIER % MIX_MODULUS
        return (self.own_number * self.stride + (mixed >> 32) % self.dispatchers) % self.dispatchers


def compute_capacity_share(terms, age):
    """Returns the part of its capacity that a worker has at this age: the least that the terms allow."""
    return min(1.0, terms.cold_share + (1 - terms.cold_share) * max(0, age) / max(1, terms.warm_up))


def compute_allowance(terms, age, slots, mean_work):
    """Returns what all dispatchers may send a worker in a push window, in requests of mean work.

    `mean_work` is in nanoseconds. The terms allow N requests; a worker stands N + 3 * sqrt(N) + 3 of them,
    from N = 30 on N + 2 * sqrt(N) + 2.
    """
    work = terms.push_multiple * compute_capacity_share(terms, age) * slots * terms.push_window
    budget = work / max(1.0, mean_work)
    excess = 3 * sqrt(budget) + 3 if budget < LARGE_BUDGET else 2 * sqrt(budget) + 2
    return USED_SHARE * (budget + excess)
