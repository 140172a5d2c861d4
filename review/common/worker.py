"""A worker and discovery as `kit/real/PROTOCOL.md` describes them, for small cases."""

import asyncio
import contextlib
import json
import time
from urllib.parse import parse_qs, urlsplit

from review.common.http import MessageError, encode_chunk, encode_response, read_body, read_head


class KeyTable:
    """The keys that a group of workers remembers, each for `window` seconds from its first arrival."""

    def __init__(self, window):
        self.window = window
        self.first_seen = {}  # key -> (time, result)

    def recall(self, key, now):
        """Returns the result stored for a repeat that is still remembered, else None."""
        seen = self.first_seen.get(key)
        return seen[1] if seen is not None and now - seen[0] < self.window else None

    def note(self, key, now, result):
        self.first_seen[key] = now, result


class Worker:
    """A worker with slots. `run_seconds` is the running time of a job; `applied` lists (time, id, key) of
    each job whose effect took place here."""

    def __init__(self, host, record, run_seconds=0.3, slots=4, keys=None, progress_seconds=0.0):
        self.host, self.record, self.run_seconds, self.slots = host, record, run_seconds, slots
        self.keys, self.progress_seconds = keys, progress_seconds
        self.applied = []
        self.running = 0
        self.server = None
        self.address = None
        self.health = "in_service"
        self.area = "a"
        self.block = 0
        self.born_ms = 0
        self.dial = None  # the address in discovery's list, else the own one
        self.writers = set()
        self.before_run = None  # async hook: (worker, id, writer) -> whether to go on

    async def start(self):
        self.server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    def build_list_entry(self):
        host, port = self.dial or self.address
        return {
            "host": self.host,
            "dial": f"{host}:{port}",
            "site": self.area,
            "class": "std",
            "block": self.block,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    def report(self):
        return {"x0": max(0, self.slots - self.running), "queue": 0, "inflight": self.running}

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (head := await read_head(reader)) is not None:
                method, target, _ = head[0].split(" ")
                body = await read_body(reader, head[1])
                if method == "GET":
                    text = ",".join(f"{name}={value}" for name, value in self.report().items())
                    writer.write(encode_response(200, text.encode()))
                else:
                    await self.run_job(target, head[1], body, writer)
                await writer.drain()
        except (MessageError, OSError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    def _send_line(self, writer, id, state, **fields):
        line = json.dumps({"id": id, "from": self.host, "state": state, **fields}).encode() + b"\n"
        if not writer.is_closing():
            writer.write(encode_chunk(line))

    async def run_job(self, target, headers, body, writer):
        """Runs a job to its end, whatever becomes of the connection, and answers it."""
        id, key = headers["req-id"], headers.get("idempotency-key", "")
        now = time.monotonic()
        self.record.write(
            "attempt", worker=self.host, id=id, key=key or "-", deadline=headers["req-deadline"]
        )
        if self.before_run is not None and not await self.before_run(self, id, writer):
            return
        if not writer.is_closing():
            writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self._send_line(writer, id, "started")
        result = self.keys.recall(key, now) if self.keys is not None and key else None
        if result is None:
            result = f"{self.host}:{id}:{len(body)}"  # short, as an answer holds 64 KiB at most
            if self.keys is not None and key:
                self.keys.note(key, now, result)
            await self._run(id, writer)
            self.applied.append((time.monotonic(), id, key))
            self.record.write("applied", worker=self.host, id=id, key=key or "-")
        else:
            self.record.write("repeat_dropped", worker=self.host, id=id, key=key)
        self._send_line(writer, id, "done", result=result, load=self.report())
        if not writer.is_closing():
            writer.write(encode_chunk(b""))

    async def _run(self, id, writer):
        self.running += 1
        try:
            end = time.monotonic() + self.run_seconds
            while (left := end - time.monotonic()) > 0:
                await asyncio.sleep(min(left, self.progress_seconds or left))
                if self.progress_seconds and time.monotonic() < end:
                    share = round(1 - (end - time.monotonic()) / self.run_seconds, 3)
                    self._send_line(writer, id, "running", share=share)
        finally:
            self.running -= 1


class Discovery:
    """Discovery: the whole list and watches of it. `publish` makes changes known."""

    def __init__(self, workers, record):
        self.workers, self.record = list(workers), record
        self.seq = 1
        self.changes = []  # (seq, entry)
        self.changed = asyncio.Event()
        self.address = None

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()[:2]
        return self

    def publish(self, worker):
        """Tells all that watch of the present state of a worker."""
        self.seq += 1
        self.changes.append((self.seq, worker.build_list_entry()))
        self.record.write("listed", worker=worker.host, health=worker.health, seq=self.seq)
        self.changed.set()
        self.changed = asyncio.Event()

    def _build_answer(self, query):
        if "index" not in query:
            hosts = [worker.build_list_entry() for worker in self.workers if worker.health != "terminated"]
            return {"seq": self.seq, "whole": True, "hosts": hosts}
        entries = {entry["host"]: entry for seq, entry in self.changes if seq > int(query["index"][0])}
        return {"seq": self.seq, "whole": False, "hosts": list(entries.values())}

    async def _serve(self, reader, writer):
        try:
            while (head := await read_head(reader)) is not None:
                query = parse_qs(urlsplit(head[0].split(" ")[1]).query)
                if "index" in query and int(query["index"][0]) == 0:
                    query = {}  # a list of version 0 is none: the whole list is told
                if "index" in query and int(query["index"][0]) >= self.seq:
                    with contextlib.suppress(TimeoutError):
                        async with asyncio.timeout(int(query.get("wait", ["0"])[0]) / 1000):
                            await self.changed.wait()
                body = json.dumps(self._build_answer(query)).encode()
                writer.write(encode_response(200, body))
                await writer.drain()
        except (MessageError, OSError, asyncio.CancelledError):
            pass
        finally:
            writer.close()
