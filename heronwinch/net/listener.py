"""Where clients connect."""

import asyncio
import contextlib
from collections import OrderedDict

import structlog

from heronwinch.interface import SECOND
from heronwinch.net import sockets
from heronwinch.protocol.clients import ClientSide, Job, ReadyAsked, Refused, Say

log = structlog.get_logger()

LONGEST_IDLE = 75.0  # seconds that a client's connection may stand between requests
LONGEST_REQUEST = 10.0  # seconds that a request may take to come in
ONE_MORE_LOOK = 0.001  # seconds: what came as a wait ended is not lost with its connection
MOST_UNREAD = 128 * 1024  # bytes of answers that a client may leave unread
MOST_LEAVING = 8
BACKLOG = 512


class Client:
    """A client's connection, and to the engine the client of its work item."""

    def __init__(self, listener, reader, writer):
        self.listener = listener
        self.engine = listener.engine
        self.reader, self.writer = reader, writer
        self.side = ClientSide()
        self.item = None
        self.came = 0  # when the first byte of the present request came
        self.wait = None  # the time limit of the present read
        self.ended = False  # its last answer is written

    async def serve(self):
        while not self.ended:
            data = await self._read()
            if not data:
                return
            if self.side.between:
                self.came = self.engine.clock.now() - sockets.age(self.writer)
                self.listener.idle.pop(self, None)
            self._react(self.side.feed(data))
            self._rest()
        await self.linger()

    async def _read(self):
        """Also while an answer is owed: the connection's end means that the client has gone away."""
        try:
            return await self._read_within(self._limit())
        except TimeoutError:
            if self.ended:
                return b""
            if not self.side.between:
                self.listener.watch.count("request_too_slow")
                self._refuse(Refused(408, "the request did not come to its end"))
                return b""
        try:
            return await self._read_within(ONE_MORE_LOOK)
        except TimeoutError:
            return b""

    async def _read_within(self, seconds):
        try:
            async with asyncio.timeout(seconds) as self.wait:
                return await self.reader.read(sockets.READ_AHEAD)
        except TimeoutError:
            raise
        except OSError:
            return b""
        finally:
            self.wait = None

    def _limit(self):
        if self.ended:
            return 0
        if self.side.owed:
            return None  # its work item has an expiry, and the answer sets a limit again
        if self.side.between:
            return LONGEST_IDLE
        # For the whole of it: a byte now and then does not hold a connection for ever.
        return max(0.0, LONGEST_REQUEST - (self.engine.clock.now() - self.came) / SECOND)

    def wake(self, seconds):
        """A new time limit for the read that is under way."""
        if self.wait is not None:
            with contextlib.suppress(RuntimeError):  # it has just come to its end
                self.wait.reschedule(None if seconds is None else self.engine.loop.time() + seconds)

    async def linger(self):
        """Closed with bytes unread, a connection is reset, and the last answer may be lost with it."""
        with contextlib.suppress(OSError):
            if self.writer.can_write_eof():
                self.writer.write_eof()
            async with asyncio.timeout(sockets.LINGER):
                while await self.reader.read(sockets.READ_AHEAD):
                    pass

    def _react(self, told):
        for event in told:
            kind = type(event)
            if kind is Say:
                self.writer.write(event.data)
            elif kind is Job:
                self.item = self.engine.arrive(event, self, self.came)
                if self.item is None:
                    self._refuse(Refused(404, "no such category"))
            elif kind is ReadyAsked:
                self._say(503 if self.listener.stopping else 200)
            elif kind is Refused:
                self._refuse(event)

    def _refuse(self, refused):
        self.listener.watch.count("bad_request")
        if self.item is not None:
            item, self.item = self.item, None
            self.engine.leave(item)
        self._say(refused.status, refused.reason.encode("utf-8", "replace") + b"\n", close=True)

    def _say(self, status, body=b"", headers=(), close=False):
        data, self.ended = self.side.answer(status, body, headers, close or self.listener.stopping)
        self.writer.write(data)
        if self.writer.transport.get_write_buffer_size() > MOST_UNREAD:
            self.writer.transport.abort()
        elif not self.ended:
            self.came = self.engine.clock.now() - sockets.age(self.writer)
            self._react(self.side.further())
        self._rest()

    def _rest(self):
        if self.side.between and not self.ended:
            self.listener.idle[self] = None
        self.wake(self._limit())

    # ---- what the engine has to say to the client of a work item

    def finish(self, result):
        self.item = None
        self._say(200, result)

    def defer(self, come_back):
        self.item = None
        self._say(503, headers=[(b"Retry-After", b"%.3f" % (come_back / SECOND))] if come_back else ())

    def turn_away(self):
        self._say(503, close=True)

    def write_off(self):
        self.item = None
        self._say(500)


class Listener:
    def __init__(self, engine, most, watch):
        self.engine = engine
        self.most = most
        self.watch = watch
        self.clients = set()
        self.idle = OrderedDict()  # clients between two requests, the longest so first
        self.leaving = 0  # clients that are being turned away
        self.stopping = False
        self.last_connected = 0.0
        self.server = None

    async def listen(self, host, port):
        self.server = await asyncio.start_server(
            self._connected, host, port, limit=sockets.READ_AHEAD, backlog=BACKLOG)

    async def _connected(self, reader, writer):
        self.last_connected = self.engine.loop.time()
        client = Client(self, reader, writer)
        if len(self.clients) >= self.most and not self._make_room():
            await self._turn_away(client)
            return
        self.clients.add(client)
        self.idle[client] = None
        try:
            await client.serve()
        except asyncio.CancelledError:
            pass
        except Exception:
            if self.watch.count("client_fault"):
                log.exception("client_fault")
        finally:
            self.clients.discard(client)
            self.idle.pop(client, None)
            sockets.close(writer)
            if client.item is not None:
                self.watch.count("client_left")
                self.engine.leave(client.item)

    async def _turn_away(self, client):
        """With all clients busy: nothing of it has run, so a further one is told to try again. A few of these
        at a time are heard out, as otherwise the answer is lost with their connection."""
        self.watch.count("client_turned_away")
        self.leaving += 1
        try:
            if self.leaving <= MOST_LEAVING:
                client.turn_away()
                await client.linger()
        finally:
            sockets.close(client.writer)
            self.leaving -= 1

    def _make_room(self):
        """Closes the connection that has stood idle for longest."""
        if not self.idle:
            return False
        client, _ = self.idle.popitem(last=False)
        self.clients.discard(client)
        client.wake(0)
        return True

    def stop_keeping(self):
        """From now on connections end with the answer that is owed on them, idle ones at once."""
        self.stopping = True
        for client in list(self.idle):
            client.wake(0)

    def close(self):
        self.server.close()
