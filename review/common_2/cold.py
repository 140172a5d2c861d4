"""A worker that has just started: it can do part of its work, and falls over when it is sent too much."""

import time
from math import sqrt

from common_2.http import reset
from common_2.standins import Worker


class StartRules:
    """What the settings tell of workers that have just started, and the mean work of a request."""

    def __init__(self, start_share, warm_seconds, multiple, window_seconds, mean_work):
        self.start_share, self.warm_seconds = start_share, warm_seconds
        self.multiple, self.window_seconds, self.mean_work = multiple, window_seconds, mean_work

    def compute_capacity(self, age):
        """The part of its capacity that a worker has: from the first share to all of it, evenly."""
        return min(1.0, self.start_share + (1 - self.start_share) * age / self.warm_seconds)

    def compute_limit(self, age, slots):
        """The requests of mean work in the window that a worker stands: N + 3 x root of N + 3, and from
        N = 30 on N + 2 x root of N + 2."""
        n = self.multiple * self.compute_capacity(age) * slots * self.window_seconds / self.mean_work
        return n + (3 * sqrt(n) + 3 if n < 30 else 2 * sqrt(n) + 2)


class StartingWorker(Worker):
    """A worker that may start anew. All its jobs take the same work, `run_seconds` when it is warm."""

    rules = None
    fallen = False
    recent = ()
    highest_share = 0.0  # the most that it was sent, as a part of what it stands

    def start_anew(self):
        """Ends and starts at once: from now on it is cold."""
        self.born_ms = int(time.time() * 1000)
        self.recent = []
        self.record.add("started anew", worker=self.host)

    @property
    def age(self):
        return time.time() - self.born_ms / 1000

    @property
    def is_cold(self):
        return self.born_ms > 0 and self.age < self.rules.warm_seconds

    def compute_requests(self, request):
        """The work of a job in requests of mean work."""
        return 1.0

    def compute_run_seconds(self, request):
        return self.run_seconds / (self.rules.compute_capacity(self.age) if self.is_cold else 1.0)

    async def take_job(self, request, reader, writer):
        if self.fallen:
            reset(writer)
            raise EOFError
        if self.is_cold and not self.declines:
            now = self.clock()
            begin = now - self.rules.window_seconds
            self.recent = [sent for sent in self.recent if sent[0] > begin]
            self.recent.append((now, self.compute_requests(request)))
            requests = sum(count for _, count in self.recent)
            limit = self.rules.compute_limit(self.age, self.slots)
            self.highest_share = max(self.highest_share, requests / limit)
            if requests > limit:
                self.fall(request, requests, limit)
                raise EOFError
        await super().take_job(request, reader, writer)

    def fall(self, request, requests, limit):
        """Falls over and stays down; all that it holds is lost."""
        self.fallen = True
        self.record.add(
            "fell",
            worker=self.host,
            id=request.headers.get("req-id"),
            requests=requests,
            limit=round(limit, 2),
            age=round(self.age, 2),
            held=self.held,
        )
        self.die()
