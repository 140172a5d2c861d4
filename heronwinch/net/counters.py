"""Counters of faults and other noteworthy events, and checks of invariants."""

from collections import Counter

import structlog

log = structlog.get_logger()


class FaultCounters:
    """Counts events by kind. A periodic log line sums them up, instead of one line for each work item."""

    def __init__(self):
        self.counts = Counter()  # kind -> number of events since the start
        self.reported = Counter()  # the counts as of the last summary

    def count(self, kind):
        """Counts an event; returns whether it is the first of its kind since the last summary, and so worth
        a log line of its own."""
        self.counts[kind] += 1
        return self.counts[kind] == self.reported[kind] + 1

    def check_invariant(self, holds, name):
        """Checks an invariant. If it does not hold, that is an AssertionError, or under `python -O` counted
        and logged."""
        if not holds:
            assert holds, name
            if self.count("broken_" + name):
                log.error("invariant_broken", what=name)

    def log_summary(self):
        """Logs the counts since the last summary, if there are any."""
        increase = self.counts - self.reported
        self.reported = Counter(self.counts)
        if increase:
            log.info("troubles", **dict(sorted(increase.items())))
