"""Stand-ins for workers, discovery and clients, as the operators' pages describe sound ones."""

import asyncio
import json

from common_2.http import Server, encode_request, encode_response, read_response


class Worker(Server):
    """A worker with slots and a queue in order. It answers 200 when it has taken a job, and `done` at the
    end; `x0`, `queue` and `inflight` come with answers and probes."""

    def __init__(self, clock, record, host, slots=4, run_seconds=0.2, born_ms=0, pod=0, area="a"):
        super().__init__(clock)
        self.record, self.host, self.slots, self.run_seconds = record, host, slots, run_seconds
        self.born_ms, self.pod, self.area, self.health = born_ms, pod, area, "in_service"
        self.free_slots = asyncio.Semaphore(slots)
        self.running = self.held = 0
        self.declines = False

    def entry(self):
        """The entry in discovery's list."""
        return {
            "host": self.host,
            "dial": self.address,
            "site": self.area,
            "class": "std",
            "block": self.pod,
            "health": self.health,
            "share": 1.0,
            "born_ms": self.born_ms,
        }

    def load(self):
        return {
            "x0": self.slots - self.running,
            "queue": self.held - self.running,
            "inflight": self.held,
        }

    async def handle(self, request, reader, writer):
        if request.method == "GET":
            await self.answer_probe(request, writer)
        else:
            await self.take_job(request, reader, writer)

    async def answer_probe(self, request, writer):
        body = ",".join(f"{name}={value}" for name, value in self.load().items()).encode()
        status = 503 if self.health != "in_service" or self.declines else 200
        writer.write(encode_response(status, body if request.path == "/-/load" else b""))
        await writer.drain()

    async def decline(self, writer):
        load = ",".join(f"{name}={value}" for name, value in self.load().items())
        writer.write(encode_response(503, b"", ["Srv-Declined: 1", f"Srv-Load: {load}"]))
        await writer.drain()

    async def take_job(self, request, reader, writer):
        id = request.headers.get("req-id", "")
        self.record.add(
            "attempt",
            worker=self.host,
            id=id,
            first=request.first_byte_at,
            deadline=request.headers.get("req-deadline"),
            key=request.headers.get("idempotency-key"),
        )
        if self.declines:
            self.record.add("declined", worker=self.host, id=id)
            await self.decline(writer)
            return
        writer.write(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
        self.held += 1
        try:
            async with self.free_slots:
                self.running += 1
                try:
                    self.record.add(
                        "run", worker=self.host, id=id, key=request.headers.get("idempotency-key")
                    )
                    await asyncio.sleep(self.compute_run_seconds(request))
                finally:
                    self.running -= 1
        finally:
            self.held -= 1
        line = {
            "id": id,
            "from": self.host,
            "state": "done",
            "result": request.body.decode().upper(),
            "load": self.load(),
        }
        self.send_line(writer, line)
        writer.write(b"0\r\n\r\n")
        await writer.drain()

    def compute_run_seconds(self, request):
        return self.run_seconds

    @staticmethod
    def send_line(writer, line):
        data = json.dumps(line).encode() + b"\n"
        writer.write(b"%x\r\n%s\r\n" % (len(data), data))


class Discovery(Server):
    """Discovery: the whole list, and watches."""

    def __init__(self, clock, record, seq=40):
        super().__init__(clock)
        self.record, self.seq = record, seq
        self.entries = {}  # host -> entry
        self.changes = []  # (seq, entry)
        self.changed = asyncio.Event()

    def list_worker(self, worker, health=None):
        """Publishes a worker's present entry."""
        entry = worker.entry() | ({"health": health} if health else {})
        self.record.add("list", worker=worker.host, health=entry["health"])
        self.publish([entry])

    def publish(self, entries):
        """Publishes changed entries, and answers the watches."""
        self.seq += 1
        for entry in entries:
            self.changes.append((self.seq, entry))
            if entry["health"] == "terminated":
                self.entries.pop(entry["host"], None)
            else:
                self.entries[entry["host"]] = entry
        changed, self.changed = self.changed, asyncio.Event()
        changed.set()

    def build_whole(self):
        return {"seq": self.seq, "whole": True, "hosts": list(self.entries.values())}

    async def handle(self, request, reader, writer):
        self.record.add("call", target=request.target)
        query = request.query
        if "index" not in query:
            await self._answer(writer, self.build_whole())
            return
        index, end = int(query["index"]), self.clock() + int(query.get("wait", "0")) / 1000
        while not any(seq > index for seq, _ in self.changes) and self.clock() < end:
            try:
                await asyncio.wait_for(self.changed.wait(), max(0.0, end - self.clock()))
            except TimeoutError:
                break
        newest = {entry["host"]: entry for seq, entry in self.changes if seq > index}
        await self._answer(writer, {"seq": self.seq, "whole": False, "hosts": list(newest.values())})

    async def _answer(self, writer, tree):
        writer.write(encode_response(200, json.dumps(tree).encode()))
        self.record.add("told", seq=tree["seq"], hosts=[(e["host"], e["health"]) for e in tree["hosts"]])
        await writer.drain()


class Client:
    """A client with a connection that it keeps; it waits for its answer until the deadline is over."""

    def __init__(self, clock, record, port):
        self.clock, self.record, self.port = clock, record, port
        self.streams = None

    async def post(self, category, id, deadline, body=b"hello", key=None, sid="7", extra=None):
        """Hands in a job; returns (status or None, body)."""
        headers = [f"Req-Id: {id}", f"Req-Deadline: {deadline:.3f}"]
        headers += [f"Idempotency-Key: {key}"] if key else []
        headers += [f"Req-Extra: {extra}"] if extra else []
        data = encode_request("POST", f"/{category}?sid={sid}", body, headers)
        status, answer, why = None, b"", ""
        began_at = self.clock()
        for _ in range(2):  # a request that crosses the end of a kept connection is sent once more
            kept = self.streams is not None
            try:
                async with asyncio.timeout(deadline + 1.0):
                    if self.streams is None:
                        self.streams = await asyncio.open_connection("127.0.0.1", self.port)
                    reader, writer = self.streams
                    writer.write(data)
                    self.record.add("sent", id=id, category=category, key=key, deadline=deadline, kept=kept)
                    status, head, answer = await read_response(reader, self.clock)
                    if head.get("connection", "").lower() == "close":
                        self.close()
                    break
            except TimeoutError:
                why = "no answer in time"
                self.close()
                break
            except (OSError, EOFError) as error:
                why = type(error).__name__
                self.close()
                if not kept:
                    break
        self.record.add(
            "answered",
            id=id,
            category=category,
            status=status,
            why=why,
            seconds=round(self.clock() - began_at, 4),
            body=answer[:40].decode("latin-1"),
        )
        return status, answer

    def close(self):
        if self.streams is not None:
            self.streams[1].close()
            self.streams = None
