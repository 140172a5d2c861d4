"""Counts of what goes wrong, and the checks of what must hold."""

from collections import Counter

import structlog

log = structlog.get_logger()


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
