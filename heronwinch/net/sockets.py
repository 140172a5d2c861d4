"""How many sockets there may be, and for whom."""

import asyncio
import contextlib

SPARE = 20  # standard streams, the loop's own, listener, discovery (at a reload two), nine for the door
READ_AHEAD = 8 * 1024  # bytes that a stream reads before they are asked for, twice that at most
LINGER = 0.5  # seconds that a connection may take to send what is left, and its peer to read it
ONE_MORE_LOOK = 0.001  # seconds: what came as a wait ended, or while the process stood still, is not lost
BARE = 28  # MB that the program takes without connections
FULL = 160 * 1024  # bytes of a connection at its fullest: body, head, read ahead, one piece
FEWEST = 64  # connections that there may be however little memory


class Budget:
    """How many descriptors clients may hold, a third in all: of these some are for connections that are still
    to be looked at, and some for those that are turned away. What is left is for workers, so neither shuts
    out the other. Never so many that all of them full would take more than the memory."""

    def __init__(self, most, memory_mb):
        most = min(most, max(FEWEST, (memory_mb - BARE) * 1024 * 1024 // FULL))
        third = most // 3
        self.accepts = max(1, third // 16)  # a loop turn; they may count for three turns
        self.leaving = max(1, third // 16)
        self.clients = max(1, third - 3 * self.accepts - self.leaving)
        self.workers = max(1, most - third - SPARE)


async def closed(writer):
    """Close once all is written, and be back when the descriptor is free; a peer that does not read does not
    hold it for long."""
    writer.close()
    limit = asyncio.get_running_loop().call_later(LINGER, writer.transport.abort)
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    limit.cancel()


async def read(reader, seconds):
    """The next bytes, b"" at the end of the connection, however it came; TimeoutError after so long."""
    for limit in (seconds, ONE_MORE_LOOK):
        try:
            async with asyncio.timeout(limit):
                return await reader.read(READ_AHEAD)
        except TimeoutError:
            continue
        except OSError:
            return b""
    raise TimeoutError
