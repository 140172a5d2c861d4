"""A program in the test's own process, whose worker, discovery and clients the test plays by itself, so that
it decides the order of events."""

import asyncio
import contextlib
import json
import re
import socket
import struct

import pytest
from conftest import MS, ROOT, encode_job, find_free_address, split_answer

from heronwinch.net.machine import Machine
from heronwinch.plan import read_config
from heronwinch.policy import Dispatcher
from heronwinch.program import Program

EXAMPLE_CONFIG = json.loads((ROOT / "examples" / "config.json").read_text())
DECLINED_RESPONSE = b"HTTP/1.1 503 Service Unavailable\r\nSrv-Declined: 1\r\nContent-Length: 0\r\n\r\n"
CHUNKED_HEAD = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


def encode_chunk(data):
    return b"%x\r\n%s\r\n" % (len(data), data)


def encode_done_response(request, result="ok"):
    line = json.dumps({"id": request.id.decode(), "from": "w", "state": "done", "result": result}) + "\n"
    return CHUNKED_HEAD + encode_chunk(line.encode()) + encode_chunk(b"")


def encode_listing_response(seq, hosts, whole=False):
    body = json.dumps({"seq": seq, "whole": whole, "hosts": hosts}, indent=2).encode()
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class ReceivedRequest:
    """A request that a ManualPeer received."""

    def __init__(self, head, body, writer):
        self.head, self.body, self.writer = head, body, writer
        match = re.search(rb"(?i)req-id: *(\S+)", head)
        self.id = match and match[1]

    def send(self, data):
        self.writer.write(data)


class ManualPeer:
    """A worker or discovery that the test controls: it queues requests and sends what the test tells it."""

    def __init__(self):
        self.requests = asyncio.Queue()
        self.ended = asyncio.Queue()  # the writers of connections that the program closed
        self.connection_count = 0
        self.request_ids = []  # the Req-Id of each request

    async def start(self, sock=None):
        address = {"sock": sock} if sock is not None else {"host": "127.0.0.1", "port": 0}
        self.server = await asyncio.start_server(self._serve, **address)
        self.dial = "{}:{}".format(*self.server.sockets[0].getsockname())
        return self

    async def _serve(self, reader, writer):
        self.connection_count += 1
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                length = re.search(rb"(?i)content-length: *(\d+)", head)
                body = await reader.readexactly(int(length[1]) if length else 0)
                request = ReceivedRequest(head, body, writer)
                self.request_ids.append(request.id)
                self.requests.put_nowait(request)
        except (asyncio.IncompleteReadError, ConnectionError):
            self.ended.put_nowait(writer)
        finally:
            writer.close()
            # Else the reset of a connection may be reported, when it is collected, as an exception that
            # nobody has retrieved.
            with contextlib.suppress(OSError):
                await writer.wait_closed()


def reset_connection(writer):
    writer.get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class InProcessHarness:
    """A program in this process, with one worker and discovery controlled by the test."""

    def __init__(self, listed_count, settings, config_changes):
        self.listed_count, self.settings, self.config_changes = listed_count, settings, config_changes
        self.worker, self.discovery = ManualPeer(), ManualPeer()
        self.machine = Machine()
        self.job_count = 0

    def build_config(self, **changes):
        tree = json.loads(json.dumps(EXAMPLE_CONFIG))
        tree["settings"]["limits"]["probes"] = False
        for path, value in self.settings.items():
            *parents, name = path.split(".")
            node = tree["settings"]
            for parent in parents:
                node = node[int(parent) if parent.isdigit() else parent]
            node[name] = value
        host = {
            "host": "w",
            "dial": self.worker.dial,
            "site": "a",
            "class": "std",
            "block": 0,
            "health": "in_service",
            "share": 1.0,
            "born_ms": 0,
        }
        self.host = host
        return tree | {
            "listen": "{}:{}".format(*self.address),
            "mgmt": "",
            "discovery": self.discovery.dial,
            "known": {"seq": 1, "whole": True, "hosts": [host] * self.listed_count},
            **self.config_changes,
            **changes,
        }

    def make_config(self):
        return read_config({"RELAY_CONFIG": "c"}, read=lambda _: json.dumps(self.build_config()))

    def make_dispatcher(self, terms, seed):
        dispatcher = Dispatcher(terms, seed)
        dispatcher.T = MS  # workers without a report stay closed for this long
        return dispatcher

    async def __aenter__(self):
        await self.worker.start()
        await self.discovery.start()
        self.address = find_free_address()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler = lambda *_: None  # keeps the signal handlers of the test runner
        self.program = Program(self.make_config(), self.machine, self.make_dispatcher, self.make_config)
        self.engine = self.program.engine
        self.program_task = asyncio.create_task(self.program.run())
        return self

    async def wait_until_ready(self):
        await wait_until(lambda: self.program.is_serving)
        return self

    async def __aexit__(self, *fault):
        self.program.stop_event.set()
        self.program_task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await self.program_task
        self.program.workers.close()
        self.program.discovery.close()
        if self.program.ledger is not None:
            await self.program.ledger.close()
        self.program.listener.close()
        for peer in (self.worker, self.discovery):
            peer.server.close()

    async def open_client_connection(self):
        return await asyncio.open_connection(*self.address)

    def encode_job(self, path="/charge/1", **options):
        self.job_count += 1
        return encode_job(path, **{"id": f"job{self.job_count}", "deadline": "4.0", **options})

    async def send_job(self, path="/charge/1", **options):
        """Sends a job on a new connection; returns a task that gives the status and body of the answer."""
        reader, writer = await self.open_client_connection()
        writer.write(self.encode_job(path, close=True, **options))

        async def answer():
            data = await reader.read()
            writer.close()
            return split_answer(data)

        return asyncio.create_task(answer())

    async def serve_job(self, path="/charge/1"):
        """Sends a job and has the worker answer it; returns the worker's request."""
        answer_task = await self.send_job(path)
        request = await self.worker.requests.get()
        request.send(encode_done_response(request))
        assert (await answer_task)[0] == 200
        return request

    def list_fault_counters(self):
        counts = self.program.counters.counts
        return {name for name in counts if name.endswith("_fault") or name.startswith("broken_")}


async def wait_until(condition):
    """Waits until a condition holds; it has to come about within event loop turns, without delays."""
    while not condition():
        await asyncio.sleep(0.001)


@pytest.fixture
def run_in_process():
    """Runs a scenario, a coroutine function of an InProcessHarness whose program serves."""

    def run_scenario(scenario, listed=1, ready=True, more=(), **settings):
        async def main():
            async with asyncio.timeout(20):  # no scenario takes so long unless it hangs
                async with InProcessHarness(listed, settings, dict(more)) as harness:
                    await scenario(await harness.wait_until_ready() if ready else harness)
                    assert not harness.list_fault_counters()

        asyncio.run(main())

    return run_scenario
