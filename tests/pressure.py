"""Clients that put a dispatcher under pressure, each kind in a process of its own, and what others see of it.

python tests/pressure.py KIND HOST PORT SECONDS  # plays one kind; prints what was sent as a line of JSON
"""

import asyncio
import contextlib
import itertools
import json
import os
import pathlib
import resource
import socket
import struct
import sys
import time
from collections import Counter
from typing import NamedTuple

CROWD_SIZE = 400  # connections that a crowd opens at once
BODY_BYTES = 64 * 1024  # the longest body that a request may have
SHORT_FIELDS_BYTES = 16 * 1000  # of one head made of very many short fields
RECONNECT_PAUSE_SECONDS = 0.002
DAY_SECONDS = 86_400
ACCEPTANCE_SECONDS = 0.005  # within which a job has usually been accepted
HELD_SECONDS = 1.2  # how long a crowd keeps a request incomplete; less than a request may take


def encode_head(path="/render/1?sid=7", id="p1", length=0, extra=b"", method="POST", deadline=5.0):
    """Encodes the head of a job request, with raw lines of header fields at its end."""
    lines = [
        f"{method} {path} HTTP/1.1",
        "Host: backend.local",
        f"Req-Id: {id}",
        f"Req-Deadline: {deadline}",
        f"Content-Length: {length}",
    ]
    return "\r\n".join([*lines, ""]).encode() + extra + b"\r\n"


class Pressure:
    """One kind of pressure on the dispatcher at an address, for some seconds."""

    def __init__(self, address, seconds):
        self.address = address
        self.until = time.monotonic() + seconds
        self.numbers = itertools.count()
        self.sent = Counter()  # what was sent, and the statuses that were received

    @property
    def is_over(self):
        return time.monotonic() >= self.until

    def make_id(self):
        """Returns an id that no request has had."""
        return f"p{os.getpid()}-{next(self.numbers)}"

    async def connect(self):
        """Returns the streams of a new connection; waits while none is accepted."""
        while True:
            try:
                streams = await asyncio.open_connection(*self.address, limit=1 << 20)
            except OSError:
                self.sent["connect_failed"] += 1
                await asyncio.sleep(RECONNECT_PAUSE_SECONDS)
                continue
            self.sent["connections"] += 1
            return streams

    async def read_status(self, reader):
        """Reads an answer and counts its status; returns whether the connection goes on."""
        try:
            head = await reader.readuntil(b"\r\n\r\n")
            length = int(head.lower().partition(b"content-length:")[2].split()[0])
            await reader.readexactly(length)
        except (OSError, asyncio.IncompleteReadError, IndexError):
            self.sent["no_answer"] += 1
            return False
        self.sent["status_" + head.split()[1].decode()] += 1
        return b"connection: close" not in head.lower()

    async def exchange_repeatedly(self, make_request):
        """Sends one request after the other on one connection, a new one where that ends."""
        reader = writer = None
        while not self.is_over:
            if writer is None:
                reader, writer = await self.connect()
            writer.write(make_request())
            self.sent["requests"] += 1
            if not await self.read_status(reader):
                writer.transport.abort()
                writer = None

    async def write_without_reading(self, make_data):
        """Writes on one connection at full speed and reads nothing; a new connection where that ends."""
        while not self.is_over:
            _, writer = await self.connect()
            writer.transport.pause_reading()
            with contextlib.suppress(OSError):
                while not self.is_over:
                    data = make_data()
                    writer.write(data)
                    self.sent["bytes"] += len(data)
                    async with asyncio.timeout(1):
                        await writer.drain()
            writer.transport.abort()

    async def hold_connections(self, count, write):
        """Keeps `count` connections open at once, each played by the coroutine function `write(writer)`."""

        async def play():
            while not self.is_over:
                reader, writer = await self.connect()
                with contextlib.suppress(OSError):
                    await write(writer)
                    self.sent["held"] += 1
                    async with asyncio.timeout(HELD_SECONDS):
                        await reader.read(1 << 16)
                writer.transport.abort()
                await asyncio.sleep(RECONNECT_PAUSE_SECONDS)

        await asyncio.gather(*(play() for _ in range(count)))

    # ---- the kinds: one client

    async def unknown_categories(self):
        """Requests for categories of ever new names, one after the other on one connection."""
        await self.exchange_repeatedly(
            lambda: encode_head(f"/c{next(self.numbers)}/1?sid={self.make_id()}", self.make_id())
        )

    async def new_names(self):
        """Jobs of ever new ids, keys and tickets, one after the other on one connection."""
        await self.exchange_repeatedly(
            lambda: encode_head(
                f"/book/1?sid={self.make_id()}",
                self.make_id(),
                extra=f"Idempotency-Key: {self.make_id()}\r\n".encode(),
            )
        )

    async def jobs_left(self):
        """Jobs of ever new ids, each left at once after it is written."""
        while not self.is_over:
            _, writer = await self.connect()
            writer.write(encode_head(f"/render/1?sid={self.make_id()}", self.make_id()))
            self.sent["requests"] += 1
            with contextlib.suppress(OSError):
                await writer.drain()
            writer.close()

    async def long_jobs_left(self):
        """Jobs of ever new ids that have a day's time, on eight connections at once; each is left once it is
        accepted."""

        async def play():
            while not self.is_over:
                _, writer = await self.connect()
                writer.write(encode_head("/render/1", self.make_id(), deadline=DAY_SECONDS))
                self.sent["requests"] += 1
                await asyncio.sleep(ACCEPTANCE_SECONDS)
                writer.transport.abort()

        await asyncio.gather(*(play() for _ in range(8)))

    async def expired_jobs(self):
        """Jobs of ever new ids without any time left, one after the other on one connection."""
        await self.exchange_repeatedly(lambda: encode_head("/render/1", self.make_id(), deadline=0))

    async def many_trailers(self):
        """Bodies that end in very many short trailer fields, one request after the other."""
        trailer = b"0\r\n" + b"a:\r\n" * (SHORT_FIELDS_BYTES // 4) + b"\r\n"

        def make_request():
            head = encode_head(id=self.make_id()).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            return head + trailer

        await self.exchange_repeatedly(make_request)

    async def readiness(self):
        """Questions whether it is ready, without reading the answers."""
        await self.write_without_reading(lambda: b"GET /-/ready HTTP/1.1\r\nHost: a\r\n\r\n" * 100)

    async def unsound(self):
        """Requests that are no HTTP, each on a new connection."""
        await self.exchange_repeatedly(lambda: b"BAD %d\r\n\r\n" % next(self.numbers))

    async def small_chunks(self):
        """Bodies in chunks of one byte, one request after the other on one connection."""
        chunks = b"1\r\nx\r\n" * 20_000 + b"0\r\n\r\n"

        def make_request():
            head = encode_head(id=self.make_id()).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            self.sent["bytes"] += len(head) + len(chunks)
            return head + chunks

        await self.exchange_repeatedly(make_request)

    async def short_fields(self):
        """Heads of very many short fields, one after the other on one connection."""
        fields = b"a:\r\n" * (SHORT_FIELDS_BYTES // 4)
        await self.exchange_repeatedly(lambda: encode_head("/none/1", self.make_id(), extra=fields))

    async def many_parameters(self):
        """Targets of very many short parameters, one after the other on one connection."""
        query = "a=1&" * (SHORT_FIELDS_BYTES // 4)
        await self.exchange_repeatedly(lambda: encode_head(f"/render/1?{query}sid=1", self.make_id()))

    # ---- the kinds: a crowd

    async def half_bodies(self):
        """A crowd that stops right before the end of a large request."""

        async def write(writer):
            writer.write(encode_head(id=self.make_id(), length=BODY_BYTES) + b"x" * (BODY_BYTES - 64))
            await writer.drain()

        await self.hold_connections(CROWD_SIZE, write)

    async def slow_bodies(self):
        """A crowd that writes large requests slowly, in small pieces."""

        async def write(writer):
            writer.write(encode_head(id=self.make_id(), length=BODY_BYTES))
            for _ in range(20):
                writer.write(b"x" * (BODY_BYTES // 21))
                await writer.drain()
                await asyncio.sleep(0.05)

        await self.hold_connections(CROWD_SIZE, write)

    async def whole_bodies(self):
        """A crowd of large jobs."""

        async def write(writer):
            writer.write(encode_head(id=self.make_id(), length=BODY_BYTES) + b"x" * BODY_BYTES)
            await writer.drain()

        await self.hold_connections(CROWD_SIZE, write)

    async def crowd_of_fields(self):
        """A crowd that sends heads of very many short fields."""
        fields = b"a:\r\n" * (SHORT_FIELDS_BYTES // 4)

        async def write(writer):
            writer.write(encode_head(id=self.make_id(), length=BODY_BYTES, extra=fields))
            await writer.drain()

        await self.hold_connections(CROWD_SIZE, write)

    async def half_heads(self):
        """A crowd that stops in the middle of a head of very many short fields."""
        fields = b"a:\r\n" * (SHORT_FIELDS_BYTES // 4)

        async def write(writer):
            writer.write(encode_head(id=self.make_id(), length=0, extra=fields)[:-3])
            await writer.drain()

        await self.hold_connections(CROWD_SIZE, write)

    async def crowd_of_chunks(self):
        """A crowd that sends bodies in chunks of one byte."""
        chunks = b"1\r\nx\r\n" * 10_000

        async def write(writer):
            head = encode_head(id=self.make_id()).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            writer.write(head + chunks)
            await writer.drain()

        await self.hold_connections(CROWD_SIZE, write)

    async def crowd_of_trailers(self):
        """A crowd that sends bodies that end in very many short trailer fields."""
        trailer = b"0\r\n" + b"a:\r\n" * (SHORT_FIELDS_BYTES // 4) + b"\r\n"

        async def write(writer):
            head = encode_head(id=self.make_id()).replace(b"Content-Length: 0", b"Transfer-Encoding: chunked")
            writer.write(head + trailer)
            await writer.drain()

        await self.hold_connections(CROWD_SIZE, write)

    async def large_jobs_left(self):
        """A crowd of large jobs whose clients leave right after they are handed off."""

        async def write(writer):
            writer.write(encode_head(id=self.make_id(), length=BODY_BYTES) + b"x" * BODY_BYTES)
            await writer.drain()
            await asyncio.sleep(0.2)
            raise ConnectionError

        await self.hold_connections(CROWD_SIZE, write)

    async def unread_answers(self):
        """A crowd that asks for answers and reads none."""

        async def write(writer):
            for _ in range(200):
                writer.write(encode_head(f"/c{next(self.numbers)}/1", self.make_id()))
                await writer.drain()
                await asyncio.sleep(0.005)

        await self.hold_connections(CROWD_SIZE, write)

    async def reset_connections(self):
        """A crowd that writes much and resets its connections."""

        async def write(writer):
            writer.write(encode_head(id=self.make_id(), length=BODY_BYTES) * 200)
            await asyncio.sleep(0.01)
            sock = writer.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
            raise ConnectionError

        await self.hold_connections(CROWD_SIZE, write)


ONE_CLIENT_KINDS = (
    "unknown_categories",
    "new_names",
    "jobs_left",
    "readiness",
    "unsound",
    "small_chunks",
    "short_fields",
    "many_parameters",
)
CROWD_KINDS = (
    "half_bodies",
    "slow_bodies",
    "whole_bodies",
    "crowd_of_fields",
    "half_heads",
    "crowd_of_chunks",
    "large_jobs_left",
    "unread_answers",
    "reset_connections",
)
# Kinds that came later: seeds of the soak choose from the ones above alone.
LATER_KINDS = ("long_jobs_left", "expired_jobs", "many_trailers", "crowd_of_trailers")


class Answer(NamedTuple):
    """What a usual client got: the status, 0 for none, and after how many seconds."""

    status: int
    seconds: float


class UsualClients:
    """Clients on kept connections that send a small job every now and then, and what they get."""

    def __init__(self, address, count, pause_seconds, deadline_seconds=5.0):
        self.address, self.count, self.pause_seconds = address, count, pause_seconds
        self.deadline_seconds = deadline_seconds
        self.answers = []
        self.streams = {}  # number of the client -> reader and writer of its connection
        self.resent_count = 0  # requests sent once more as their kept connection had ended

    async def __aenter__(self):
        self.is_ending = False
        self.tasks = [asyncio.create_task(self._play(number)) for number in range(self.count)]
        return self

    async def __aexit__(self, *_):
        self.is_ending = True
        await asyncio.gather(*self.tasks)

    async def _play(self, number):
        await asyncio.sleep(number / self.count * self.pause_seconds)
        for job in itertools.count():
            if self.is_ending:
                break
            begun_at = time.monotonic()
            request = encode_head(id=f"usual{number}-{job}-{id(self)}")
            status = 0
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(self.deadline_seconds + 2):
                    status = await self._submit(number, request)
            self.answers.append(Answer(status, time.monotonic() - begun_at))
            await asyncio.sleep(self.pause_seconds)
        self._drop_connection(number)

    async def _submit(self, number, request):
        """Returns the status of the answer, 0 without one. A request that crosses the end of a kept
        connection is sent once more on a new one."""
        is_kept = number in self.streams
        status = await self._exchange(number, request)
        if not status and is_kept:
            self.resent_count += 1
            status = await self._exchange(number, request)
        return status

    async def _exchange(self, number, request):
        try:
            if number not in self.streams:
                self.streams[number] = await asyncio.open_connection(*self.address)
            reader, writer = self.streams[number]
            writer.write(request)
            head = (await reader.readuntil(b"\r\n\r\n")).lower()
            await reader.readexactly(int(head.partition(b"content-length:")[2].split()[0]))
        except (OSError, asyncio.IncompleteReadError):
            self._drop_connection(number)
            return 0
        if b"connection: close" in head:
            self._drop_connection(number)
        return int(head.split()[1])

    def _drop_connection(self, number):
        if number in self.streams:
            _, writer = self.streams.pop(number)
            writer.transport.abort()

    def summarize(self):
        """Returns a line on what they got and when."""
        seconds = sorted(answer.seconds for answer in self.answers)
        statuses = dict(sorted(Counter(answer.status for answer in self.answers).items()))
        pick = [seconds[min(len(seconds) - 1, int(len(seconds) * part))] for part in (0.5, 0.95, 1.0)]
        times = f"50% {pick[0]:.3f} 95% {pick[1]:.3f} last {pick[2]:.3f}"
        return f"answers {statuses}, resent {self.resent_count}, seconds {times}"


def _read_memory_kib(pid, field):
    """Returns a figure of a process's memory, in KiB; 0 once it has ended."""
    try:
        status = pathlib.Path(f"/proc/{pid}/status").read_text()
        return int(status.partition(field + ":")[2].split()[0])
    except (OSError, IndexError):
        return 0


def read_memory_bytes(pid):
    """Returns the memory that a process has in use, in bytes."""
    return 1024 * _read_memory_kib(pid, "VmRSS")


def read_peak_memory_mb(pid):
    """Returns the peak of the memory that a process has had in use, in MiB."""
    return _read_memory_kib(pid, "VmHWM") / 1024


async def play(kind, address, seconds):
    """Plays one kind of pressure in a process of its own; returns what it sent."""
    process = await asyncio.create_subprocess_exec(
        sys.executable, __file__, kind, *map(str, address), str(seconds), stdout=asyncio.subprocess.PIPE
    )
    try:
        output, _ = await process.communicate()
    finally:
        if process.returncode is None:
            process.kill()
            await process.wait()
    return json.loads(output)


def main(kind, host, port, seconds):
    soft, hard = resource.getrlimit(resource.RLIMIT_NOFILE)
    resource.setrlimit(resource.RLIMIT_NOFILE, (min(hard, max(soft, 2 * CROWD_SIZE + 64)), hard))

    async def run():
        pressure = Pressure((host, int(port)), float(seconds))
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(float(seconds) + 3):
                await getattr(pressure, kind)()
        print(json.dumps(pressure.sent))

    asyncio.run(run())


if __name__ == "__main__":
    main(*sys.argv[1:])
