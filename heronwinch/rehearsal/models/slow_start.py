"""What a worker in slow start may be sent, by the operators' terms of acceptance.

The settings allow it N requests of mean work in a window. It fails once more than N + 3 * sqrt(N) + 3 reach
it in a window (from N = 30 on: N + 2 * sqrt(N) + 2); what it turns away counts as well. All times are
nanoseconds.
"""

from collections import deque
from math import sqrt
from typing import NamedTuple

LARGE_BUDGET_CALLS = 30  # from this budget on, the smaller allowance holds


class Collapse(NamedTuple):
    """A worker that failed under the requests that reached it in slow start."""

    at: int
    worker: str
    request_count: int  # requests that reached it within the window
    age: int  # since its start


def compute_call_limit(budget_calls):
    """Returns how many requests of mean work a worker stands in a window in which N are allowed."""
    if budget_calls < LARGE_BUDGET_CALLS:
        return budget_calls + 3 * sqrt(budget_calls) + 3
    return budget_calls + 2 * sqrt(budget_calls) + 2


class SlowStartLoad:
    """The requests that have reached one worker in slow start within the last window."""

    def __init__(self, shape):
        self.shape = shape
        self.arrivals = deque()  # (arrived at, likely work times slots)
        self.recent_work = 0.0  # sum over `arrivals`
        self.peak_share = 0.0  # the most that reached it, as a share of the limit

    @property
    def is_exceeded(self):
        """Whether more has reached it than it stands."""
        return self.peak_share > 1

    def add(self, now, work, capacity_share):
        """Counts a request; `capacity_share` is the part of its full speed that the worker has now."""
        shape = self.shape
        self.arrivals.append((now, work))
        self.recent_work += work
        while self.arrivals[0][0] <= now - shape.push_window:
            self.recent_work -= self.arrivals.popleft()[1]
        mean_work = shape.mean_work or self.recent_work / len(self.arrivals)
        budget = shape.push_multiple * capacity_share * shape.slots * shape.speed * shape.push_window
        share = self.recent_work / mean_work / compute_call_limit(budget / mean_work)
        self.peak_share = max(self.peak_share, share)
