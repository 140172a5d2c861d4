"""Case 7: after a planned restart a category that is seldom used stops all work of the others."""

import asyncio
import pathlib
import signal
import sys
from random import Random

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common_2.case import build_config, run_case  # noqa: E402
from common_2.rules import list_rejecting_spans  # noqa: E402
from common_2.standins import Client, Discovery, Worker  # noqa: E402

SECOND = 1_000_000_000
# Figures of the brief of the subscriber portal.
EXPIRY_SECONDS = {"link-report": 10.0, "account-page": 5.0, "antenna-swap": 10.0}
RUN_SECONDS = {"link-report": 0.9, "account-page": 0.45, "antenna-swap": 0.9}
JOBS_PER_SECOND = 14.0  # about 0.85 of what the workers can do
WORKERS, SLOTS, WAITING = 4, 3, 1  # a worker with so many jobs waiting turns further ones away
BEFORE_SECONDS, AFTER_SECONDS = 10.0, 4.0  # before the restart, and after the last job of the rare category
RARE_SECONDS = 30.0  # between two jobs of the rare category, the first at the start of the traffic
END_SECONDS = 5.0  # a dispatcher ends within 3.7 s of SIGTERM
WEIGHTS_SECONDS = 1.0  # the list's weights are renewed every 650 to 1,600 ms


def make_category(name, credit):
    return {
        "name": name,
        "effect": "retryable",
        "due_time_ns": 400_000_000,
        "aim_stretch": 1.75,
        "expiry_ns": int(EXPIRY_SECONDS[name] * SECOND),
        "credit": credit,
        "late_credit": 0.2,
    }


class Node(Worker):
    """A portal node: its queue is short, and it turns away what does not fit."""

    random = Random(7)

    async def take_job(self, request, reader, writer):
        self.declines = self.held >= self.slots + WAITING
        await super().take_job(request, reader, writer)

    def compute_run_seconds(self, request):
        return RUN_SECONDS[request.path.strip("/")] * self.random.uniform(0.4, 1.6)

    def load(self):
        return {"x0": self.slots - self.running, "util": round(self.running / self.slots, 2)}

    def entry(self):
        """The weight is the nominal size, lowered the more jobs it holds."""
        return super().entry() | {"share": round(self.slots / (1 + self.held / self.slots), 3)}


class Traffic:
    """Jobs at even distances until it is stopped: three of five are link reports."""

    def __init__(self, case, port):
        self.case, self.port = case, port
        self.jobs, self.number, self.stopped = [], 0, False

    async def run(self):
        while not self.stopped:
            self.number += 1
            category = "link-report" if self.number % 5 < 3 else "account-page"
            self.hand_in(category)
            await asyncio.sleep(1 / JOBS_PER_SECOND)

    def hand_in(self, category):
        self.jobs.append(asyncio.create_task(self._send(category, f"job{len(self.jobs):04d}")))

    async def _send(self, category, id):
        client = Client(self.case.clock, self.case.record, self.port)
        await client.post(category, id, EXPIRY_SECONDS[category])
        client.close()


async def renew_weights(discovery, workers, traffic):
    while not traffic.stopped:
        discovery.publish([worker.entry() for worker in workers])
        await asyncio.sleep(WEIGHTS_SECONDS)


async def main(case):
    discovery = await Discovery(case.clock, case.record).start()
    workers = [Node(case.clock, case.record, f"s-{i}", SLOTS) for i in range(WORKERS)]
    case.servers += [discovery, *workers]
    for worker in workers:
        await worker.start()
        discovery.list_worker(worker)
    config = build_config(
        discovery.port,
        [
            make_category("link-report", 3.0),
            make_category("account-page", 1.0),
            make_category("antenna-swap", 3.0),
        ],
        discovery="pushed",
        weights="live",
        invariants__start_capacity=0.12,
        invariants__warm_up_ns=23 * SECOND,
        invariants__overload_factor=2.5,
        invariants__tip_after_ns=3 * SECOND,
        invariants__drain_grace_ns=2_500_000_000,
        limits__probes=False,
        limits__most_hand_offs=5,
        limits__parallel_tries=True,
        limits__may_cancel=False,
    )
    config["settings"]["load_info"]["fields"] = ["x0", "cpu_share"]
    dispatcher = case.make_dispatcher(config)
    await dispatcher.start()
    await asyncio.sleep(1.5)
    traffic = Traffic(case, dispatcher.port)
    tasks = [
        asyncio.create_task(traffic.run()),
        asyncio.create_task(renew_weights(discovery, workers, traffic)),
    ]
    traffic.hand_in("antenna-swap")
    began_at = case.clock()
    await asyncio.sleep(BEFORE_SECONDS)
    if case.trouble:
        await restart(dispatcher)
    await asyncio.sleep(began_at + RARE_SECONDS - case.clock())
    traffic.hand_in("antenna-swap")
    await asyncio.sleep(AFTER_SECONDS)
    traffic.stopped = True
    await asyncio.gather(*tasks, *traffic.jobs)
    if dispatcher.process.returncode is not None:
        return [f"the dispatcher ended by itself with {dispatcher.process.returncode}"]
    return list_breaches(case)


async def restart(dispatcher):
    """Ends the dispatcher in order and starts it again under its name and address."""
    dispatcher.signal(signal.SIGTERM)
    async with asyncio.timeout(END_SECONDS):
        await dispatcher.process.wait()
    await dispatcher.start()


def list_breaches(case):
    answers = [line["status"] for line in case.record.find("answered")]
    case.record.add(
        "sum",
        declined=len(case.record.find("declined")),
        answers={str(status): answers.count(status) for status in sorted(set(answers), key=str)},
        attempts=len(case.record.find("attempt")),
    )
    return list_rejecting_spans(case.record)


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, main)
