"""Serves the operators' calls on an address of its own."""

import asyncio
import contextlib

import structlog

from heronwinch.net import sockets
from heronwinch.protocol.operators import OperatorCallError, OperatorProtocol, encode_reply

log = structlog.get_logger()

MAX_CALLERS = 4  # concurrent callers; sockets.RESERVED_DESCRIPTORS includes them and those just accepted
ACCEPTS_PER_LOOP_TURN = 2
LISTEN_BACKLOG = 64  # established connections that the kernel queues until they are accepted
MAX_CALL_SECONDS = 10.0  # time limit of a call and its answer


class Operators:
    """The server of the operators' calls. `run_call(call)` returns a flag (success, or the answer to a
    yes-or-no question) and a text; it raises OperatorCallError for an unknown call."""

    def __init__(self, run_call, machine, counters):
        self.run_call, self.machine, self.counters = run_call, machine, counters
        self.callers = {}  # writer -> task, the oldest first
        self.server = None

    async def listen(self, host, port):
        """Accepts callers on an address. Raises OSError if it can't be used."""
        sock = self.machine.create_listening_socket(host, port)
        self.server = await sockets.serve(self._accept_caller, sock, ACCEPTS_PER_LOOP_TURN)
        sock.listen(LISTEN_BACKLOG)

    def _accept_caller(self, reader, writer):
        """Serves a new caller."""
        # Callers that never finish a call must not keep out the next ones: the oldest is dropped.
        if len(self.callers) >= MAX_CALLERS:
            next(iter(self.callers)).transport.abort()
        self.callers[writer] = asyncio.create_task(self._serve(reader, writer))

    async def _serve(self, reader, writer):
        """Answers a caller's only call and closes the connection."""
        try:
            with contextlib.suppress(OSError):
                async with asyncio.timeout(MAX_CALL_SECONDS):
                    writer.write(encode_reply(*await self._answer_call(reader)))
                    await writer.drain()
        except Exception:
            if self.counters.count("operator_fault"):
                log.exception("operator_fault")
        finally:
            del self.callers[writer]
            await sockets.close_and_wait(writer)

    async def _answer_call(self, reader):
        """Reads a call and returns its yes or no and the text of the answer."""
        protocol = OperatorProtocol()
        try:
            while (call := protocol.feed_data(await reader.read(sockets.READ_AHEAD_BYTES))) is None:
                pass
            return self.run_call(call)
        except OperatorCallError as fault:
            return False, str(fault)

    def close(self):
        """Stops listening."""
        if self.server is not None:
            self.server.close()
