"""A toy deployment on loopback to try a dispatcher with: some workers and a discovery that lists them.

    python examples/toy.py                   # three workers and discovery, where examples/config.json looks

Workers take a job, wait for its running time and answer with the job's body in capitals. They are the workers
of the rehearsals (`heronwinch/rehearsal/`), but all jobs take the same time. The tests use them too, and set
modes in which they misbehave.
"""

import asyncio
import random

from heronwinch.interface import SECOND, Effect
from heronwinch.rehearsal.models.roster import Roster, RosterEntry
from heronwinch.rehearsal.models.worker import Job, TicketMarks, WorkerModel, WorkerShape
from heronwinch.rehearsal.standins.discovery import DiscoveryServer
from heronwinch.rehearsal.standins.worker import WorkerServer

JOB_SECONDS = 0.2  # running time of a job
SLOTS_PER_WORKER = 2
FAULTS_BY_MODE = {"error": "fail", "declined": "decline", "silent": "swallow", "mute": "mute"}
END_MODES = ("failed", "returned", "lost", "broken")
HOST = "127.0.0.1"


class LoopClock:
    """The clock of the running event loop, real or simulated, in nanoseconds."""

    def now(self):
        return round(asyncio.get_running_loop().time() * SECOND)


class ToyServer:
    """What tests need of a toy worker and a toy discovery: an address and the open connections."""

    address = None

    async def start(self, port=0):
        self.address = await self.listen(HOST, port)
        return self

    @property
    def dial(self):
        """The address as host:port, as discovery lists it."""
        return "{}:{}".format(*self.address)

    @property
    def transports(self):
        """The transports of all open connections."""
        return [connection.transport for connection in self.connections]


def build_roster_entry(worker):
    """Builds the entry of a toy worker in discovery's roster."""
    return RosterEntry(worker.host, worker.dial, "a", "std", 0, worker.health, worker.weight, 0)


class Worker(ToyServer, WorkerServer):
    """A toy worker. `mode` is what it does with jobs: done, failed, returned, lost, error, declined, broken,
    silent (never answers a job that it has taken) or mute (sends nothing at all)."""

    def __init__(self, host, job_seconds=JOB_SECONDS, mode="done"):
        super().__init__(None, LoopClock(), {})
        self.host, self.job_seconds, self.health = host, job_seconds, "in_service"
        self.jobs = []  # (headers, target, body) of every hand-off
        self.mode = mode
        self.weight = 1.0  # as discovery lists it

    async def start(self, port=0):
        tickets = TicketMarks()
        self.model = WorkerModel(
            self.host,
            WorkerShape(slots=SLOTS_PER_WORKER, queue=1 << 20),
            lambda job: tickets,
            random.Random(self.host),
            [],
            self.clock.now(),
        )
        return await super().start(port)

    @property
    def unanswered_count(self):
        """The number of hand-offs without a final answer."""
        return len(self.exchanges)

    def build_list_entry(self):
        return build_roster_entry(self).to_tree()

    def parse_job(self, exchange, now):
        self.model.active_faults = {FAULTS_BY_MODE[self.mode]: 1} if self.mode in FAULTS_BY_MODE else {}
        self.model.completion_end = self.mode if self.mode in END_MODES else "done"
        headers, body = exchange.headers, exchange.body
        self.jobs.append((headers, exchange.request.target, body))
        job = Job(
            id=headers[b"req-id"].decode(),
            category="job",
            effect=Effect.RERUNNABLE,
            ticket="",
            window=0,
            work=int(self.job_seconds * SECOND),
            slots=1.0,
            memory=0.0,
            expiry=now + 3600 * SECOND,
        )
        return job, body.decode().upper()


class Discovery(ToyServer, DiscoveryServer):
    """A toy discovery that lists workers; after a change of one, `publish_changes` has to be called."""

    def __init__(self, workers):
        super().__init__(Roster(), LoopClock(), call_duration_ns=0)
        self.workers = list(workers)
        self.calls = []  # the query parameters of each call

    async def start(self, port=0):
        self.address = await self.listen_for("toy", HOST, port)
        self.roster.install(map(build_roster_entry, self.workers))
        return self

    def record_call(self, parameters):
        self.calls.append(parameters)

    @property
    def is_failing(self):
        return self.roster.active_outages > 0

    @is_failing.setter
    def is_failing(self, is_failing):
        self.roster.active_outages = int(is_failing)

    def publish_changes(self):
        """Tells watching dispatchers the present state of all workers."""
        for worker in self.workers:
            self.roster.add_change(self.clock.now(), build_roster_entry(worker))
        super().publish_changes()


async def main():
    workers = [await Worker(f"worker-{i}").start(7081 + i) for i in range(3)]
    discovery = await Discovery(workers).start(7080)
    print(f"discovery on {discovery.dial}, workers on {', '.join(worker.dial for worker in workers)}")
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
