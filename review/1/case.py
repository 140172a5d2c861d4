"""Case 1: a repeat of ticketed work that arrives after its workers have forgotten the key.

Two workers stand in a room of their own. The way to that room is cut for six seconds after one of them has
begun a job. The dispatcher calls the job off, as no progress is told, and hands it to the other worker on
an open connection, still inside the window in which a repeat is dropped. That hand-off stays out beyond the
end of the window and arrives when the way is back."""

import asyncio
import os
import sys
import tempfile
from pathlib import Path

from review.common.dispatcher import Client, Dispatcher, build_config, category
from review.common.link import Link
from review.common.record import Record
from review.common.worker import Discovery, KeyTable, Worker

FOLDER = Path(__file__).resolve().parent
WINDOW = 5.0  # seconds for which the workers of the room drop a repeat
SLACK = 0.2  # seconds: 50 ms for sockets and 0.15 s for a dispatcher that is held up
EXPIRY = 10.0
CUT = 6.0  # seconds; "for 6 s a zone is partitioned"
PROGRESS = 2.0  # seconds between two progress notes
RUNNING_TIME = 0.8  # seconds
WARM_UP_JOBS = 24


async def play(record, has_trouble, folder):
    """Plays the case and returns the exit status."""
    keys = KeyTable(WINDOW + SLACK)
    workers = [
        await Worker(f"s-{i}", record, RUNNING_TIME, keys=keys, progress_seconds=PROGRESS).start()
        for i in range(2)
    ]
    links = []
    for worker in workers:
        worker.area, worker.block = "room-2", 3
        link = await Link(worker.address, record, worker.host).start()
        worker.dial = link.address
        links.append(link)
    discovery = await Discovery(workers, record).start()
    config = build_config(
        discovery.address,
        [category("hold-rate", "dedup", EXPIRY, WINDOW, "cell")],
        areas=("room-1", "room-2"),
        settings__family_info__progress_ns=int(PROGRESS * 1e9),
    )
    dispatcher = Dispatcher("d0", config, folder, record)
    await dispatcher.start()
    try:
        await dispatcher.wait_until_ready()
        await warm_up(dispatcher, record)
        client = Client(dispatcher.address, record)
        job = asyncio.create_task(client.submit("/hold-rate/1", "job-1", EXPIRY, key="key-1"))
        await asyncio.sleep(0.3)
        if has_trouble:
            for link in links:
                link.cut()
            await asyncio.sleep(CUT)
            for link in links:
                link.heal()
        await job
        await asyncio.sleep(2.5)
    finally:
        await dispatcher.end()
    return judge(record, workers)


async def warm_up(dispatcher, record):
    """Hands in jobs until the dispatcher knows the workers and holds connections to both."""

    async def submit(number):
        return await Client(dispatcher.address, record).submit(
            f"/hold-rate/{number}", f"w-{number}", EXPIRY, f"wk-{number}"
        )

    await asyncio.sleep(1.5)
    for number in range(0, WARM_UP_JOBS, 4):
        answers = await asyncio.gather(*(submit(number + i) for i in range(4)))
        if any(status != 200 for status, _ in answers):
            record.write("warm_up_answer", statuses=[status for status, _ in answers])
    await asyncio.sleep(0.5)


def judge(record, workers):
    """Returns 1 if a key took effect twice, else 0."""
    effects = {}
    for worker in workers:
        for when, _, key in worker.applied:
            effects.setdefault(key, []).append((round(when - record.began_at, 3), worker.host))
    twice = {key: places for key, places in effects.items() if len(places) > 1}
    for key, places in twice.items():
        record.write("effect_twice", key=key, places=places)
    record.write("verdict", keys=len(effects), twice=len(twice))
    return 1 if twice else 0


def main():
    record = Record(FOLDER / "record.txt")
    has_trouble = os.environ.get("TROUBLE", "1") != "0"
    with tempfile.TemporaryDirectory() as folder:
        try:
            return asyncio.run(asyncio.wait_for(play(record, has_trouble, folder), 100))
        except Exception as error:  # whatever it is, no rule was judged
            record.write("cannot_run", why=repr(error))
            return 2
        finally:
            for path in sorted(Path(folder).glob("*.log")):
                for line in path.read_text(encoding="utf-8", errors="replace").splitlines():
                    record.write("log", name=path.stem, line=line)


if __name__ == "__main__":
    sys.exit(main())
