"""The clock, counts of what goes wrong, and the checks of what must hold."""

import time
from collections import Counter

import structlog

log = structlog.get_logger()


class Clock:
    """Whole nanoseconds of Unix time that never step back: workers' starts are told in Unix time, and the
    system's wall clock may be set while the dispatcher runs."""

    def __init__(self):
        self.offset = time.time_ns() - time.monotonic_ns()

    def now(self):
        return time.monotonic_ns() + self.offset


class Watch:
    """Counts each kind of trouble; no line per work item, but one now and then that sums them up."""

    def __init__(self):
        self.counts = Counter()
        self.said = Counter()

    def count(self, trouble):
        """Whether it is the first of its kind since the last sum, and so worth a line of its own."""
        self.counts[trouble] += 1
        return self.counts[trouble] == self.said[trouble] + 1

    def must(self, holds, what):
        """An invariant: an error in debug builds, counted in release builds."""
        if not holds:
            assert holds, what
            if self.count("broken_" + what):
                log.error("invariant_broken", what=what)

    def sum_up(self):
        new = self.counts - self.said
        self.said = Counter(self.counts)
        if new:
            log.info("troubles", **dict(sorted(new.items())))
