"""A toy deployment on loopback to try a dispatcher with: some workers and a discovery that lists them.

    python examples/toy.py                   # three workers and discovery, where examples/config.json looks

Workers take a job, wait for its running time and answer with the job's body in capitals. The tests use the
same workers, and tell them to misbehave.
"""

import asyncio
import json
from urllib.parse import parse_qs, urlsplit

import h11

RUNNING = 0.2  # seconds that a job takes
SLOTS = 2


class Server:
    """One that answers HTTP, a request at a time on each connection."""

    def __init__(self):
        self.server = None
        self.address = None
        self.writers = set()
        self.accepted = 0  # connections so far

    async def listen(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        self.address = self.server.sockets[0].getsockname()[:2]
        return self

    @property
    def dial(self):
        return "{}:{}".format(*self.address)

    def die(self):
        """As a process that is killed: its connections are reset, new ones refused."""
        self.server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        self.accepted += 1
        connection = h11.Connection(h11.SERVER)
        try:
            while (request := await self._request(connection, reader)) is not None:
                await self.answer(Exchange(connection, writer), *request)
                if connection.our_state is not h11.DONE:
                    break
                connection.start_next_cycle()
        except (OSError, h11.ProtocolError, asyncio.CancelledError):
            pass  # the other side went away, or the toy is put down
        finally:
            self.writers.discard(writer)
            writer.close()

    async def _request(self, connection, reader):
        request, body = None, b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                connection.receive_data(await reader.read(65536))
            elif type(event) is h11.Request:
                request = event
            elif type(event) is h11.Data:
                body += event.data
            elif type(event) is h11.EndOfMessage:
                return request, body
            else:
                return None

    async def answer(self, exchange, request, body):
        raise NotImplementedError


class Exchange:
    """The answering side of one request."""

    def __init__(self, connection, writer):
        self.connection, self.writer = connection, writer

    def head(self, status, *headers):
        self._send(h11.Response(status_code=status, headers=[*headers], reason=b""))

    def line(self, **news):
        self._send(h11.Data(data=json.dumps(news).encode() + b"\n"))

    def end(self, body=b""):
        if body:
            self._send(h11.Data(data=body))
        self._send(h11.EndOfMessage())

    def whole(self, status, body=b"", *headers):
        self.head(status, (b"Content-Length", b"%d" % len(body)), *headers)
        self.end(body)

    def reset(self):
        self.writer.transport.abort()

    def _send(self, event):
        self.writer.write(self.connection.send(event))


class Worker(Server):
    """`mode` is what it does with jobs: done, failed, returned, lost, error, declined, broken, silent (after
    taking one) or mute."""

    def __init__(self, host, running=RUNNING, mode="done"):
        super().__init__()
        self.host = host
        self.running = running
        self.mode = mode
        self.health = "in_service"
        self.held = 0
        self.jobs = []  # (headers, target, body) of all it was handed

    def entry(self):
        return {"host": self.host, "dial": self.dial, "site": "a", "class": "std", "block": 0,
                "health": self.health, "share": 1.0, "born_ms": 0}

    def load(self):
        return {"x0": max(0, SLOTS - self.held), "queue": max(0, self.held - SLOTS), "inflight": self.held}

    def load_line(self):
        return ",".join(f"{name}={value}" for name, value in self.load().items()).encode()

    async def answer(self, exchange, request, body):
        if request.method == b"GET":
            exchange.whole(200, self.load_line())
            return
        headers = dict(request.headers)
        self.jobs.append((headers, request.target, body))
        if self.mode in ("error", "declined"):
            declined = [(b"Srv-Declined", b"1")] if self.mode == "declined" else []
            exchange.whole(500 if self.mode == "error" else 503, b"", *declined)
            return
        if self.mode == "mute":
            await asyncio.Event().wait()
        self.held += 1
        try:
            await self._run(exchange, headers[b"req-id"].decode(), body.decode())
        finally:
            self.held -= 1

    async def _run(self, exchange, id, text):
        exchange.head(200, (b"Transfer-Encoding", b"chunked"))
        told = {"id": id, "from": self.host}
        exchange.line(**told, state="started")
        await asyncio.sleep(3600 if self.mode == "silent" else self.running)
        if self.mode == "broken":
            exchange.reset()
            return
        result = {"result": text.upper()} if self.mode == "done" else {}
        exchange.line(**told, state=self.mode, load=self.load(), **result)
        exchange.end()


class Discovery(Server):
    """Lists workers; whoever changes one calls `changed`."""

    def __init__(self, workers):
        super().__init__()
        self.workers = list(workers)
        self.version = 1
        self.news = asyncio.Event()
        self.calls = []
        self.failing = False

    def changed(self):
        self.version += 1
        self.news.set()
        self.news = asyncio.Event()

    async def answer(self, exchange, request, body):
        asked = {name: int(value[0]) for name, value in
                 parse_qs(urlsplit(request.target.decode()).query).items()}
        self.calls.append(asked)
        if self.failing:
            exchange.whole(503)
            return
        if asked.get("index") == self.version:
            try:
                await asyncio.wait_for(self.news.wait(), asked["wait"] / 1000)
            except TimeoutError:
                pass
        unchanged = asked.get("index") == self.version
        exchange.whole(200, json.dumps({
            "seq": self.version, "whole": not unchanged,
            "hosts": [] if unchanged else [worker.entry() for worker in self.workers]}).encode())


async def main():
    workers = [await Worker(f"worker-{i}").listen(port=7081 + i) for i in range(3)]
    discovery = await Discovery(workers).listen(port=7080)
    print(f"discovery on {discovery.dial}, workers on {', '.join(worker.dial for worker in workers)}")
    await asyncio.Event().wait()


if __name__ == "__main__":
    try:
        asyncio.run(main())
    except KeyboardInterrupt:
        pass
