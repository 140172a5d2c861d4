"""Case 8: a worker that has just started is pushed over by the first burst after a quiet time."""

import asyncio
import pathlib
import sys

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

from common_2.case import build_config, run_case  # noqa: E402
from common_2.cold import StartingWorker, StartRules  # noqa: E402
from common_2.standins import Client, Discovery  # noqa: E402

SECOND = 1_000_000_000
# Figures of the brief of the release distribution workers.
WORK_SECONDS = 1.2  # embargo-release: 740 to 1,400 ms of running on average
EXPIRY_SECONDS = 12.0
SLOTS = 4
RULES = StartRules(
    start_share=0.12, warm_seconds=24.0, multiple=2.5, window_seconds=3.0, mean_work=WORK_SECONDS
)
CATEGORIES = [
    {
        "name": "embargo-release",
        "effect": "fragile",
        "due_time_ns": 300_000_000,
        "aim_stretch": 1.75,
        "expiry_ns": int(EXPIRY_SECONDS * SECOND),
        "credit": 5.0,
        "late_credit": 0.2,
    }
]
WORKERS = 3
QUIET_SECONDS = 5.0  # between the start of the dispatcher and the burst
TOLD_BEFORE_SECONDS = 0.5  # the dispatcher is told of the worker's start so long before the burst
JOBS = 36
BURST_SECONDS = 1.0


async def main(case):
    discovery = await Discovery(case.clock, case.record).start()
    workers = [StartingWorker(case.clock, case.record, f"s-{i}", SLOTS, WORK_SECONDS) for i in range(WORKERS)]
    case.servers += [discovery, *workers]
    for worker in workers:
        worker.rules = RULES
        await worker.start()
        discovery.list_worker(worker)
    config = build_config(
        discovery.port,
        CATEGORIES,
        invariants__start_capacity=RULES.start_share,
        invariants__warm_up_ns=int(RULES.warm_seconds * SECOND),
        invariants__overload_factor=RULES.multiple,
        invariants__tip_after_ns=int(RULES.window_seconds * SECOND),
        invariants__drain_grace_ns=250_000_000,
        limits__most_hand_offs=3,
    )
    dispatcher = case.make_dispatcher(config)
    await dispatcher.start()
    await asyncio.sleep(QUIET_SECONDS - TOLD_BEFORE_SECONDS)
    if case.trouble:
        workers[0].start_anew()
        discovery.list_worker(workers[0])
    await asyncio.sleep(TOLD_BEFORE_SECONDS)
    await asyncio.gather(*(hand_in(case, dispatcher.port, number) for number in range(JOBS)))
    return list_breaches(case, workers)


async def hand_in(case, port, number):
    await asyncio.sleep(number * BURST_SECONDS / JOBS)
    client = Client(case.clock, case.record, port)
    await client.post("embargo-release", f"job{number:03d}", EXPIRY_SECONDS)
    client.close()


def list_breaches(case, workers):
    began = {line["worker"]: line["t"] for line in case.record.find("started anew")}
    told = [
        worker.host
        for worker in workers
        if any(
            worker.host == host and line["t"] >= began.get(host, case.clock())
            for line in case.record.find("told")
            for host, _ in line["hosts"]
        )
    ]
    lost = [line["id"] for line in case.record.find("answered") if line["status"] not in (200, 503)]
    case.record.add(
        "sum",
        attempts={worker.host: len(case.record.find("attempt", worker=worker.host)) for worker in workers},
        highest_share={worker.host: round(worker.highest_share, 2) for worker in workers},
        without_result=len(lost),
    )
    return [
        f"{worker.host}, of whose start the only dispatcher had been told, fell over; "
        f"{len(lost)} jobs have no result"
        for worker in workers
        if worker.fallen and worker.host in told
    ]


if __name__ == "__main__":
    run_case(pathlib.Path(__file__).parent, main)
