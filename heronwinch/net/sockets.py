"""The budget of sockets and memory, and helpers on asyncio streams that tell what has arrived."""

import asyncio
import contextlib

# Descriptors for the standard streams, the event loop itself, the listening socket, discovery (two
# connections during a reload), the shared table of ids (two), and nine for operators' calls.
RESERVED_DESCRIPTORS = 22
READ_AHEAD_BYTES = 8 * 1024  # a stream with more in its buffer reads no more from the kernel
MAX_READ_BYTES = 8 * 1024  # most that one read takes from the kernel
LINGER_SECONDS = 0.5  # time that a closing connection has to send its output, and its peer to read it
# Time limit of one more read after a read timed out: bytes that arrived just then, or while the process was
# stalled, are not lost.
FINAL_READ_SECONDS = 0.001
BASE_MEMORY_MB = 26  # memory of the program without connections and workers
WORKER_BYTES = 4 * 1024  # memory for what is known of one listed worker
# Memory of a connection at its fullest without a permit for a large buffer: its objects, a stream's buffer,
# and a request or answer of up to SMALL_MESSAGE_BYTES.
CONNECTION_BYTES = 32 * 1024
SMALL_MESSAGE_BYTES = 4 * 1024
LARGE_BUFFER_BYTES = 160 * 1024  # memory of a long request or answer with its copies
MAX_ACCEPTS_PER_TURN = 8  # what else an event loop turn does waits for these
MIN_LARGE_BUFFERS = 4  # of each kind, even if memory is scarcer
MIN_CONNECTIONS = 64  # allowed even if memory is scarcer
CONNECTIONS_SHARE = 0.75  # part of the memory for connections; the rest is for further large buffers


class ResourceBudget:
    """The numbers of connections and of large buffers that clients and workers may have. Clients get a third
    of the descriptors, of which some are for connections just accepted and some for those that are refused.
    Workers get the rest less a reserve, so neither can shut out the other. The numbers are limited further so
    that all connections and all large buffers fit into the memory."""

    def __init__(self, max_descriptors, memory_mb, worker_count=0):
        memory = max(0, (memory_mb - BASE_MEMORY_MB) * 1024 * 1024 - worker_count * WORKER_BYTES)
        connection_memory = CONNECTIONS_SHARE * (memory - 2 * MIN_LARGE_BUFFERS * LARGE_BUFFER_BYTES)
        max_descriptors = min(
            max_descriptors, max(MIN_CONNECTIONS, int(connection_memory) // CONNECTION_BYTES)
        )
        third = max_descriptors // 3
        # Connections accepted per event loop turn; those of three turns may not be counted yet.
        self.accepts_per_turn = max(1, min(MAX_ACCEPTS_PER_TURN, third // 16))
        self.refusals = max(1, third // 16)
        self.clients = max(1, third - 3 * self.accepts_per_turn - self.refusals)
        self.workers = max(1, max_descriptors - third - RESERVED_DESCRIPTORS)
        large_buffers = int(memory - max_descriptors * CONNECTION_BYTES) // LARGE_BUFFER_BYTES
        self.large_requests = max(MIN_LARGE_BUFFERS, min(large_buffers // 2, self.clients))
        self.large_answers = max(MIN_LARGE_BUFFERS, min(large_buffers // 2, self.workers))


class CountingReader(asyncio.StreamReader):
    """A stream that counts the bytes that have arrived and that nobody has read. asyncio reads from a socket
    whenever it can, so the kernel alone can't tell what arrived while a connection was idle.

    A reset counts as the end of the stream, after the bytes that arrived before it. asyncio's own reader
    raises the reset first, and an answer that arrived right before it is lost."""

    def __init__(self, loop):
        super().__init__(limit=READ_AHEAD_BYTES // 2, loop=loop)  # asyncio stops reading at twice that
        self.unread = 0  # bytes received and not read yet

    def set_transport(self, transport):
        """Limits what the transport, one of asyncio's selector loop, takes from the kernel in one read."""
        transport.max_size = MAX_READ_BYTES
        super().set_transport(transport)

    def feed_data(self, data):
        self.unread += len(data)
        super().feed_data(data)

    async def read(self, n):
        """Reads at least one and at most n bytes, b"" at the end."""
        data = await super().read(n)
        self.unread -= len(data)
        return data

    def set_exception(self, exc):
        """Ends the stream without an exception, as said above."""
        self.feed_eof()


async def connect(host=None, port=None, **options):
    """Returns the reader and writer of a new connection. Raises OSError if it can't be established."""
    loop = asyncio.get_running_loop()
    reader = CountingReader(loop)
    transport, protocol = await loop.create_connection(
        lambda: asyncio.StreamReaderProtocol(reader, loop=loop), host, port, **options
    )
    return reader, asyncio.StreamWriter(transport, protocol, reader, loop)


async def serve(on_connect, sock, accepts_per_turn):
    """Returns a server that calls `on_connect(reader, writer)` for each connection, and accepts at most
    `accepts_per_turn` connections in an event loop turn."""
    loop = asyncio.get_running_loop()
    return await loop.create_server(
        lambda: asyncio.StreamReaderProtocol(CountingReader(loop), on_connect, loop=loop),
        sock=sock,
        backlog=accepts_per_turn,
    )


def is_quiet(reader, writer, machine):
    """Whether an idle connection may carry the next request: no input of the peer is unread, neither here nor
    in the kernel, not even the connection's end. Guards against a second answer, some milliseconds after the
    first, being taken for the answer to the next request: as a worker's `declined` names no work item, an
    exclusive work item that ran would have been handed off again."""
    return not reader.unread and not reader.at_eof() and machine.is_quiet(writer)


async def close_and_wait(writer):
    """Closes a connection once all is written, and returns when its descriptor is free. A peer that does not
    read can't delay that beyond LINGER_SECONDS."""
    writer.close()
    abort_timer = asyncio.get_running_loop().call_later(LINGER_SECONDS, writer.transport.abort)
    with contextlib.suppress(OSError):
        await writer.wait_closed()
    abort_timer.cancel()


async def read_within(reader, seconds):
    """Returns the next bytes, b"" at the end of the connection, however it has ended. Raises TimeoutError
    after this time."""
    for limit_seconds in (seconds, FINAL_READ_SECONDS):
        try:
            async with asyncio.timeout(limit_seconds):
                return await reader.read(READ_AHEAD_BYTES)
        except TimeoutError:
            continue
    if reader.unread:  # bytes arrived in the event loop turn in which the final read timed out
        return await reader.read(READ_AHEAD_BYTES)
    raise TimeoutError
