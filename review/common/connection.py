"""What the end of a connection tells about the request that was written to it."""

import asyncio
import socket
import struct

RESET_WAIT_SECONDS = 0.2  # a reset follows the end of a connection within this time, if at all
TCP_CLOSE_WAIT = 8  # the peer has closed in order, and no reset has come
UNACKNOWLEDGED_OFFSET = 24  # of tcpi_unacked in struct tcp_info


async def was_request_read(writer):
    """Whether the peer, which has closed the connection, had read all that was written to it.

    A close over unread bytes, and bytes that arrive after it, are answered with a reset. Without a reset, and
    with all bytes acknowledged, the peer has read them."""
    await asyncio.sleep(RESET_WAIT_SECONDS)
    sock = writer.get_extra_info("socket")
    try:
        info = sock.getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, UNACKNOWLEDGED_OFFSET + 4)
    except OSError:
        return False
    return info[0] == TCP_CLOSE_WAIT and not struct.unpack_from("I", info, UNACKNOWLEDGED_OFFSET)[0]
