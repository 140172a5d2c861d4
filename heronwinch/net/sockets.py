"""How many sockets there may be, and for whom."""

import asyncio
import resource
import select
import socket
import struct

SPARE = 24  # standard streams, the loop's own, listener, discovery, clients that are being turned away
READ_AHEAD = 16 * 1024  # bytes that a stream reads before they are asked for, twice that at most
LINGER = 2.0  # seconds that a closed connection may take to send what is left


class Budget:
    """Client connections may take half, connections to workers the rest; so neither shuts out the other."""

    def __init__(self, most):
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        if soft != resource.RLIM_INFINITY:
            most = min(most, soft)
        room = max(8, most - SPARE)
        self.clients = room // 2
        self.workers = room - self.clients


def age(writer):
    """Nanoseconds since the last bytes came in, by the system's word: they may have lain unread while the
    process stood still, and a client's time runs from when it sent them."""
    try:
        info = writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 56)
        (milliseconds,) = struct.unpack_from("I", info, 52)  # tcpi_last_data_recv
    except (AttributeError, OSError, struct.error):
        return 0  # not on this system
    return milliseconds * 1_000_000


def is_quiet(writer):
    """Whether the peer has said nothing, not even its end, that is still unread."""
    sock = writer.get_extra_info("socket")
    if writer.is_closing() or sock is None or sock.fileno() < 0:
        return False
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return not poll.poll(0)


def close(writer):
    """Close once all is written; a peer that does not read does not hold the socket for ever."""
    writer.close()
    if writer.transport.get_write_buffer_size():
        asyncio.get_running_loop().call_later(LINGER, writer.transport.abort)


async def read(reader, seconds):
    """The next bytes, b"" at the end of the connection, however it came; TimeoutError after so long."""
    try:
        async with asyncio.timeout(seconds):
            return await reader.read(READ_AHEAD)
    except TimeoutError:
        raise
    except OSError:
        return b""
