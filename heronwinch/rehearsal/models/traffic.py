"""A model of clients without I/O: when work items arrive, what they are, how clients wait and retry.

Times are nanoseconds.
"""

from math import exp, log, pi, sin
from typing import NamedTuple

from heronwinch.interface import SECOND, Effect

MAX_RUNNING_TIME_FACTOR = 40.0  # longest running time, as a multiple of the mean


class Flow(NamedTuple):
    """A stream of work items of one category from one account."""

    category: str
    rate: float  # work items per second, on average
    pattern: str = "steady"  # steady, bursty, swings
    period: int = 10 * SECOND  # of bursts and swings
    height: float = 3.0  # of a burst, as a multiple of the mean rate; of a swing, at most 1, as a share of it
    account: str = ""
    keys: int = 1000  # number of different keys, sent as `sid`
    retries: int = 2
    wait: bool = True  # whether a retry waits first, for the advised time or a back-off
    impatient: float = 0.0  # share of clients that leave before the expiry
    returns: bool = False  # whether clients send a request again, with its key, after a lost connection
    size: int = 64  # bytes of a request body
    begins: int = 0  # after the start of traffic
    ends: int = 0  # after the start of traffic, 0: at the end of the run


class CategoryTraits(NamedTuple):
    """What clients know of a category: its settings, and the distribution of its running times."""

    name: str
    effect: int
    window: int  # how long a ticket guards against repeats
    due_time: int
    stretch: float  # due time added per nanosecond of work
    expiry: int
    credit: float
    late_credit: float  # for an answer after the due time
    running: int  # mean running time
    shape: str = "lognormal"  # lognormal, exponential, constant, pareto
    spread: float = 1.0  # of a lognormal or Pareto distribution
    slots: float = 1.0
    memory: float = 0.0


class WantedWorkItem(NamedTuple):
    """A work item that a client wants done; all attempts at it share its ticket."""

    number: int
    kind: CategoryTraits
    flow: Flow
    key: str
    ticket: str
    work: int  # at the full speed of a worker
    patience: int  # how long the client waits, 0: until the expiry
    arrived_at: int


def draw_running_time(kind, random):
    """Draws a running time in nanoseconds, rounded to whole microseconds.

    Rounding keeps runs alike on all machines, as the last bits of a logarithm differ between them.
    """
    mean = kind.running
    if kind.shape == "constant":
        drawn = mean
    elif kind.shape == "exponential":
        drawn = random.expovariate(1.0) * mean
    elif kind.shape == "pareto":
        alpha = 1.0 + 1.0 / max(0.05, kind.spread)
        drawn = mean * (alpha - 1) / alpha * (1.0 - random.random()) ** (-1.0 / alpha)
    else:
        drawn = mean * exp(kind.spread * random.gauss(0.0, 1.0) - kind.spread * kind.spread / 2)
    return max(1_000, round(min(drawn, MAX_RUNNING_TIME_FACTOR * mean) / 1000) * 1000)


class ArrivalGenerator:
    """Draws the work items of a flow and their arrival times from one random generator."""

    def __init__(self, flow, kind, random, begins, ends):
        self.flow, self.kind, self.random = flow, kind, random
        self.last_arrival_at = begins + flow.begins
        self.ends = min(ends, begins + flow.ends) if flow.ends else ends
        self.begins = begins
        self.burst_factor = 1.0  # of a burst injected by the script, on top of the pattern
        self.count = 0

    def compute_rate(self, now):
        """Work items per second at that time."""
        flow = self.flow
        phase = (now - self.begins) % flow.period / flow.period
        if flow.pattern == "bursty":
            # The rate is `height` times the mean in this share of the period, and lower in the rest.
            burst_share = 1.0 / (flow.height + 1)
            low_factor = (1 - burst_share * flow.height) / (1 - burst_share)
            return flow.rate * self.burst_factor * (flow.height if phase < burst_share else low_factor)
        if flow.pattern == "swings":
            return flow.rate * self.burst_factor * (1 + min(1.0, flow.height) * sin(2 * pi * phase))
        return flow.rate * self.burst_factor

    def draw_next(self):
        """Returns the next work item, or None after the last.

        Thins a Poisson process at the highest rate that the pattern reaches.
        """
        flow = self.flow
        max_rate = (
            flow.rate * max(self.burst_factor, 1.0) * (flow.height if flow.pattern == "bursty" else 2.0)
        )
        if max_rate <= 0:
            return None
        while True:
            gap_seconds = -log(1.0 - self.random.random()) / max_rate
            self.last_arrival_at += max(1000, round(gap_seconds * 1e6) * 1000)
            if self.last_arrival_at >= self.ends:
                return None
            if self.random.random() * max_rate <= self.compute_rate(self.last_arrival_at):
                break
        self.count += 1
        random, kind = self.random, self.kind
        patience = 0
        if flow.impatient and random.random() < flow.impatient:
            patience = max(1_000_000, int(random.random() * kind.expiry / 1000) * 1000)
        ticket = f"{random.getrandbits(64):016x}" if kind.effect == Effect.TICKETED else ""
        return WantedWorkItem(
            self.count,
            kind,
            flow,
            str(random.randrange(max(1, flow.keys))),
            ticket,
            draw_running_time(kind, random),
            patience,
            self.last_arrival_at,
        )


def draw_retry_pause(retry_count, advised_ns, random):
    """Nanoseconds before the next attempt: the advised time and some jitter, else exponential back-off."""
    if advised_ns > 0:
        return int(advised_ns * (1 + 0.25 * random.random()))
    return int((0.05 * 2 ** min(retry_count, 6)) * (0.5 + random.random()) * SECOND)
