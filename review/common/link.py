"""The way from a dispatcher to one server: a proxy on loopback that can be cut.

A cut link says nothing: open connections stay open and silent. What was written to them during the cut
arrives with the first retransmission after the link is back, as TCP sends it again after 0.2 s and then after
pauses that double. A connection that was begun during the cut is reset when the link is back, and nothing of
it arrives. Nothing arrives either of what a side has reset meanwhile."""

import asyncio
import socket
import struct
import time

FIRST_RETRANSMISSION_SECONDS = 0.2


class Link:
    """A proxy to `target`, an address."""

    def __init__(self, target, record, name):
        self.target, self.record, self.name = target, record, name
        self.up = asyncio.Event()
        self.up.set()
        self.address = None
        self.pairs = set()

    async def start(self):
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self.address = server.sockets[0].getsockname()[:2]
        return self

    def cut(self):
        self.record.write("link_cut", link=self.name)
        self.up.clear()

    def heal(self):
        self.record.write("link_back", link=self.name)
        self.up.set()

    def reset_all(self):
        """Resets all connections of the link, at both ends."""
        self.record.write("link_reset", link=self.name, connections=len(self.pairs))
        for pair in list(self.pairs):
            for writer in pair:
                abort(writer)

    async def _serve(self, reader, writer):
        if not self.up.is_set():
            await self.up.wait()
            abort(writer)
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(*self.target)
        except OSError:
            abort(writer)
            return
        pair = (writer, far_writer)
        self.pairs.add(pair)
        await asyncio.gather(
            self._copy(reader, far_writer, writer), self._copy(far_reader, writer, far_writer)
        )
        self.pairs.discard(pair)

    async def _copy(self, reader, writer, own_writer):
        """Passes bytes on while the link is up, then the end or the reset."""
        try:
            while data := await reader.read(65536):
                if not self.up.is_set():
                    await self._wait_for_retransmission(time.monotonic())
                    if is_reset(own_writer):
                        raise ConnectionResetError
                writer.write(data)
                await writer.drain()
            await self.up.wait()
            if writer.can_write_eof():
                writer.write_eof()
        except asyncio.CancelledError:
            pass
        except OSError:
            await self.up.wait()
            abort(writer)
            abort(own_writer)

    async def _wait_for_retransmission(self, written_at):
        """Waits until the link is up at a moment at which TCP would send the bytes again."""
        pause = FIRST_RETRANSMISSION_SECONDS
        due_at = written_at + pause
        while True:
            await asyncio.sleep(max(0.0, due_at - time.monotonic()))
            if self.up.is_set():
                return
            pause *= 2
            due_at += pause


def is_reset(writer):
    """Whether the peer of a connection has reset it."""
    sock = writer.get_extra_info("socket")
    if sock is None or sock.fileno() < 0 or writer.is_closing():
        return True
    return sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR) != 0


def abort(writer):
    """Closes a connection with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()
