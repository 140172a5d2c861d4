"""Case 2: a replaced process ends with requests that it has read and not answered.

The platform replaces a dispatcher while clients are busy. Their running jobs have bodies of 64 KiB of small
binary numbers, which the old process can't pass on to the new one, so it keeps these clients for the whole of
its stop. It goes on reading requests on their open connections until it ends, and ends with some of them
unanswered."""

import asyncio
import os
import random
import signal
import socket
import struct
import sys
import tempfile
from pathlib import Path

from review.common.connection import was_request_read
from review.common.dispatcher import build_config, category
from review.common.http import MessageError, read_body, read_head
from review.common.platform import launch_process, wait_until_ended, wait_until_yes
from review.common.record import Record
from review.common.worker import Discovery, KeyTable, Worker

FOLDER = Path(__file__).resolve().parent
CLIENTS = 60
WORKERS = 3
RUNNING_TIME = 6.0  # seconds
SHORT_RUNNING_TIME = 0.2  # seconds; of jobs that are handed in later
EXPIRY = 25.0
WINDOW = 40.0
RETRIES = 3  # "Clients retry by themselves up to 3 times, at once"
SHORT_WAIT_SECONDS = 0.004  # between two jobs or tries, at most
MAX_STOP_SECONDS = 3.7  # SIGKILL comes this long after SIGTERM
RUN_SECONDS = 14.0
BODY = b"".join(struct.pack("<I", number % 1000) for number in range(16 * 1024))  # 64 KiB, the most allowed


class BusyClient:
    """A client that hands in one job after the other on a connection that it keeps."""

    def __init__(self, number, address, record):
        self.number, self.address, self.record = number, address, record
        self.reader = self.writer = None
        self.count = 0
        self.lost = 0  # requests that were read and whose connection was closed with no answer
        self.unread = 0  # requests that crossed the end of a connection
        self.unanswered = 0

    async def run(self, stop):
        while not stop.is_set():
            key = f"key-{self.number}-{self.count}"
            body = BODY if self.count == 0 else b"x"
            for _ in range(1 + RETRIES):
                status = await self.submit(key, body)
                await asyncio.sleep(random.random() * SHORT_WAIT_SECONDS)
                if status != 503 or stop.is_set():
                    break

    async def submit(self, key, body):
        """Hands in a job, once more on a new connection if the kept one ends; returns the status or 0."""
        self.count += 1
        id = f"job-{self.number}-{self.count}"
        for is_second in (False, True):
            is_kept = await self._connect()
            try:
                return await self._exchange(id, key, body)
            except (OSError, MessageError, TimeoutError) as error:
                was_read = isinstance(error, MessageError) and await was_request_read(self.writer)
                self.writer.close()
                self.writer = None
                self.record.write(
                    "closed", id=id, kept=is_kept, read=was_read, why=str(error).replace(" ", "_")
                )
                self.lost += was_read
                self.unread += not was_read
                if not is_kept or is_second:
                    break
        self.unanswered += 1
        return 0

    async def _connect(self):
        """Makes sure that there is a connection; returns whether it was kept from an earlier job."""
        if self.writer is not None and not self.writer.is_closing():
            return True
        self.reader, self.writer = await asyncio.open_connection(*self.address)
        return False

    async def _exchange(self, id, key, body):
        head = (
            f"POST /settle/1 HTTP/1.1\r\nHost: backend.local\r\nReq-Id: {id}\r\n"
            f"Req-Deadline: {EXPIRY:.3f}\r\nIdempotency-Key: {key}\r\nContent-Length: {len(body)}\r\n\r\n"
        )
        self.record.write("submitted", id=id, key=key, bytes=len(body))
        self.writer.write(head.encode() + body)
        async with asyncio.timeout(EXPIRY + 3.0):
            answer = await read_head(self.reader)
            if answer is None:
                raise MessageError("the connection ended with no answer")
            await read_body(self.reader, answer[1])
        status = int(answer[0].split(" ")[1])
        self.record.write("answered", id=id, status=status)
        if answer[1].get("connection", "").lower() == "close":
            self.writer.close()
        return status


async def replace(old, config, folder, record, listener):
    """Replaces the process as the platform does; returns the new one."""
    new = await launch_process("new", config, folder, record, listener)
    await wait_until_yes(new, record)
    old.send_signal(signal.SIGTERM)
    await wait_until_ended(old, record, MAX_STOP_SECONDS)
    return new


async def play(record, has_trouble, folder):
    """Plays the case and returns the exit status."""
    keys = KeyTable(WINDOW)
    workers = [
        await Worker(f"s-{i}", record, RUNNING_TIME, slots=32, keys=keys).start() for i in range(WORKERS)
    ]
    discovery = await Discovery(workers, record).start()
    config = build_config(
        discovery.address,
        [category("settle", "dedup", EXPIRY, WINDOW, "all")],
        settings__limits__retry_after=False,
    )
    processes = []
    with socket.socket() as listener:
        listener.bind(("127.0.0.1", 0))
        listener.listen(512)
        address = listener.getsockname()
        config["listen"] = "{}:{}".format(*address)
        clients = [BusyClient(number, address, record) for number in range(CLIENTS)]
        stop = asyncio.Event()
        try:
            processes.append(await launch_process("old", config, folder, record, listener))
            await wait_until_yes(processes[0], record)
            await asyncio.sleep(1.2)
            tasks = [asyncio.create_task(client.run(stop)) for client in clients]
            await asyncio.sleep(0.5)
            for worker in workers:
                worker.run_seconds = SHORT_RUNNING_TIME
            if has_trouble:
                processes.append(await replace(processes[0], config, folder, record, listener))
                await asyncio.sleep(1.5)
            else:
                await asyncio.sleep(RUN_SECONDS)
            stop.set()
            await asyncio.gather(*tasks)
        finally:
            for process in processes:
                await process.end()
    return judge(record, clients)


def judge(record, clients):
    """Returns 1 if a request that was read got no answer on its connection, else 0."""
    lost = sum(client.lost for client in clients)
    record.write(
        "verdict",
        requests=sum(client.count for client in clients),
        read_and_closed=lost,
        unread=sum(client.unread for client in clients),
        never_answered=sum(client.unanswered for client in clients),
    )
    return 1 if lost else 0


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
