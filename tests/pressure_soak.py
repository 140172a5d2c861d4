"""A seeded soak: a real dispatcher under clients of random kinds, with signals in series and workers that
hang, refuse and fail.

    python tests/pressure_soak.py FIRST_SEED COUNT

Checks of each seed: the peak memory stays within the limit; the process ends by signals alone, and in order
where it is stopped; no exclusive id goes out again after it may have run; nothing is handed off for a client
that has left more than 0.1 s before; usual clients get an answer to each request, at most 0.5 s after its
deadline; the process logs no fault. Prints a line a seed; ends with 1 if a check fails."""

import asyncio
import contextlib
import pathlib
import random
import re
import signal
import sys
import tempfile
import time
from collections import Counter
from typing import NamedTuple

ROOT = pathlib.Path(__file__).resolve().parent.parent
sys.path[:0] = [str(ROOT), str(ROOT / "tests")]

import pressure  # noqa: E402
from conftest import FAULT_EVENTS  # noqa: E402
from limited_program import LimitedProgram  # noqa: E402

RUN_SECONDS = 6.0
LONGEST_DEADLINE_SECONDS = 5.0  # of the example's categories
EARLIEST_KILL_SECONDS = min(LONGEST_DEADLINE_SECONDS, 3.0) + 0.7
MAX_LEFT_SECONDS = 0.1  # a hand-off may begin this long after its client has left
HARNESS_SLACK_SECONDS = 0.05  # time for a hand-off to reach the worker of this process
EXCLUSIVE_PATH = "/charge"
KINDS = pressure.ONE_CLIENT_KINDS + pressure.CROWD_KINDS
FIRST_SEED_OF_LATER_KINDS = 1000  # seeds below it play what they have always played
WORKER_MODES = ("done", "done", "done", "silent", "mute", "returned", "error")


class LeavingClients:
    """Clients that hand in a job and close their connection at a random moment, much of it unread, and then
    come again with the same id."""

    def __init__(self, address, generator):
        self.address, self.generator = address, generator
        self.left_at = {}  # id -> time of the first close

    async def play(self, until):
        number = 0
        while time.monotonic() < until:
            number += 1
            id = f"left{number}-{self.generator.random()}"
            path = self.generator.choice(["/render/1", EXCLUSIVE_PATH + "/1"])
            for _ in range(2):
                with contextlib.suppress(OSError, TimeoutError):
                    async with asyncio.timeout(0.5):
                        await self._hand_in(path, id)
            await asyncio.sleep(self.generator.uniform(0.0, 0.05))

    async def _hand_in(self, path, id):
        size = self.generator.choice([2, 2, 20_000, 60_000])
        request = pressure.encode_head(path, id, size) + b"x" * size
        _, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(request + request * self.generator.choice([0, 0, 1, 20]))
            await asyncio.sleep(self.generator.choice([0.0, 0.001, 0.01, 0.1]))
        finally:
            writer.transport.abort() if self.generator.random() < 0.5 else writer.close()
            self.left_at.setdefault(id, time.monotonic())


class HandOff(NamedTuple):
    """One hand-off, as its worker has got it."""

    id: str
    at: float  # seconds of the monotonic clock
    may_have_run: bool  # whether the worker did anything but hand it back unstarted
    is_exclusive: bool


class HandOffRecorder:
    """Records what each worker has got."""

    def __init__(self, workers):
        self.hand_offs = []
        for worker in workers:
            worker.parse_job = self._make_recorder(worker, worker.parse_job)

    def _make_recorder(self, worker, parse_job):
        def record(exchange, now):
            self.hand_offs.append(
                HandOff(
                    exchange.headers[b"req-id"].decode(),
                    time.monotonic(),
                    worker.mode != "returned",
                    exchange.request.target.decode().startswith(EXCLUSIVE_PATH),
                )
            )
            return parse_job(exchange, now)

        return record

    def list_late(self, left_at):
        """Lists the ids that were handed off too long after their client had left."""
        slack = MAX_LEFT_SECONDS + HARNESS_SLACK_SECONDS
        return [ho.id for ho in self.hand_offs if ho.id in left_at and ho.at > left_at[ho.id] + slack]

    def list_repeated(self):
        """Lists the exclusive ids that were handed off again after they may have run."""
        may_have_run, repeated = set(), []
        for ho in self.hand_offs:
            if ho.is_exclusive and ho.id in may_have_run:
                repeated.append(ho.id)
            if ho.may_have_run:
                may_have_run.add(ho.id)
        return repeated


class Soak:
    """One seed."""

    def __init__(self, seed):
        self.seed = seed
        self.generator = random.Random(seed)
        has_later_kinds = seed >= FIRST_SEED_OF_LATER_KINDS
        self.kinds = self.generator.sample(KINDS + pressure.LATER_KINDS * has_later_kinds, 2)
        self.memory_mb = self.generator.choice([32, 32, 48, 64, 192])
        self.ending = self.generator.choice(["stop", "stop", "kill"])
        self.findings = []

    async def run(self):
        with tempfile.TemporaryDirectory() as folder:
            async with LimitedProgram(pathlib.Path(folder), self.memory_mb, workers=24) as program:
                recorder = HandOffRecorder(program.workers)
                await asyncio.sleep(1.1)
                await self._play(program, recorder)
        return self.findings

    async def _play(self, program, recorder):
        until = time.monotonic() + RUN_SECONDS
        leaving = LeavingClients(program.address, self.generator)
        usual = pressure.UsualClients(program.address, 12, 0.1, LONGEST_DEADLINE_SECONDS)
        async with usual:
            await asyncio.sleep(0.5)
            tasks = [
                asyncio.create_task(pressure.play(kind, program.address, RUN_SECONDS)) for kind in self.kinds
            ]
            tasks += [asyncio.create_task(leaving.play(until))]
            tasks += [asyncio.create_task(self._disrupt(program, until))]
            await asyncio.wait(tasks)
            for task in tasks:
                task.result()
        peak = pressure.read_peak_memory_mb(program.process.pid)
        await self._end(program)
        logged = program.log_path.read_text()
        self._check(program, recorder, leaving, usual, peak, logged)

    async def _disrupt(self, program, until):
        """Sends signals in series and changes what workers do."""
        while time.monotonic() < until:
            await asyncio.sleep(self.generator.uniform(0.1, 0.6))
            for _ in range(self.generator.choice([0, 1, 3])):
                program.process.send_signal(signal.SIGHUP)
            worker = self.generator.choice(program.workers)
            worker.mode = self.generator.choice(WORKER_MODES)
        for worker in program.workers:
            worker.mode = "done"

    async def _end(self, program):
        """Ends the process while clients go on using their connections."""
        usual = pressure.UsualClients(program.address, 12, 0.02, LONGEST_DEADLINE_SECONDS)
        async with usual:
            await asyncio.sleep(0.3)
            if self.ending == "kill":
                program.process.kill()
            else:
                program.process.terminate()
                with contextlib.suppress(TimeoutError):
                    async with asyncio.timeout(EARLIEST_KILL_SECONDS):
                        while program.process.returncode is None:
                            program.process.send_signal(
                                self.generator.choice([signal.SIGHUP, signal.SIGTERM])
                            )
                            await asyncio.sleep(0.5)
                if program.process.returncode is None:
                    self.findings.append("the stop was not over at the earliest kill")
                    program.process.kill()
            usual.is_ending = True
        await program.process.wait()

    def _check(self, program, recorder, leaving, usual, peak, logged):
        if not 0 < peak <= self.memory_mb:
            self.findings.append(f"peak memory {peak:.1f} MB")
        if program.process.returncode not in (0, -signal.SIGKILL):
            self.findings.append(f"exit status {program.process.returncode}")
        if self.ending == "stop" and not ("unanswered=0" in logged and " unread=0 " in logged):
            self.findings.append("unanswered requests at the stop")
        faults = [line for line in logged.splitlines() if any(word in line for word in FAULT_EVENTS)]
        self.findings += faults[:2]
        overdue_count = sum(int(count) for count in re.findall(r" overdue=(\d+)", logged))
        late = recorder.list_late(leaving.left_at)
        if late:
            self.findings.append(f"{len(late)} handed off after their client had left: {late[:3]}")
        if repeated := recorder.list_repeated():
            self.findings.append(f"{len(repeated)} went out again: {repeated[:3]}")
        handed_off = len({ho.id for ho in recorder.hand_offs if ho.id in leaving.left_at})
        statuses = Counter(answer.status for answer in usual.answers)
        slow = [answer for answer in usual.answers if answer.seconds > LONGEST_DEADLINE_SECONDS + 0.5]
        if slow:
            self.findings.append(f"{len(slow)} answers later than 0.5 s after their deadline")
        if statuses[0]:
            self.findings.append(f"{statuses[0]} requests without an answer")
        print(
            f"seed {self.seed} {'+'.join(self.kinds)} {self.memory_mb} MB, {self.ending}: peak {peak:.1f} MB,"
            f" {usual.summarize()}, left {len(leaving.left_at)}, handed off {handed_off},"
            f" overdue {overdue_count}:"
            f" {'; '.join(self.findings) or 'held'}",
            flush=True,
        )


async def main(first_seed, count):
    broken = [seed for seed in range(first_seed, first_seed + count) if await Soak(seed).run()]
    print(f"{count - len(broken)} of {count} seeds held; broken: {broken}")
    return 1 if broken else 0


if __name__ == "__main__":
    sys.exit(asyncio.run(main(*map(int, sys.argv[1:]))))
