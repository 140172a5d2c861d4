"""HTTP/1.1 as the operators' protocol page has it, on asyncio streams: just enough for sound peers."""

import asyncio
import socket
import struct


class Request:
    """One request, with the clock times of its first and its last byte."""

    def __init__(self, method, target, headers, body, first_byte_at, last_byte_at):
        self.method, self.target, self.headers, self.body = method, target, headers, body
        self.first_byte_at, self.last_byte_at = first_byte_at, last_byte_at

    @property
    def path(self):
        return self.target.partition("?")[0]

    @property
    def query(self):
        pairs = (part.partition("=") for part in self.target.partition("?")[2].split("&") if part)
        return {name: value for name, _, value in pairs}


async def _read_head(reader, clock):
    """Returns the first line, the headers and the time of the first byte; None at the connection's end."""
    first = await reader.read(1)
    if not first:
        return None
    first_byte_at = clock()
    rest = await reader.readuntil(b"\r\n\r\n")
    lines = (first + rest).decode("latin-1").split("\r\n")
    headers = {}
    for line in lines[1:]:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return lines[0], headers, first_byte_at


async def _read_chunks(reader, on_data):
    while size := int((await reader.readuntil(b"\r\n")).split(b";")[0], 16):
        data = await reader.readexactly(size)
        await reader.readexactly(2)
        on_data(data)
    while await reader.readuntil(b"\r\n") != b"\r\n":
        pass


async def read_request(reader, clock):
    """Returns the next Request, None at the connection's end. Raises EOFError where it ends half way."""
    head = await _read_head(reader, clock)
    if head is None:
        return None
    line, headers, first_byte_at = head
    method, target, _ = line.split(" ", 2)
    body = bytearray()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        await _read_chunks(reader, body.extend)
    else:
        body += await reader.readexactly(int(headers.get("content-length", "0")))
    return Request(method, target, headers, bytes(body), first_byte_at, clock())


async def read_response(reader, clock):
    """Returns status, headers and body of a response. Raises EOFError where the connection ends first."""
    head = await _read_head(reader, clock)
    if head is None:
        raise EOFError("no answer")
    line, headers, _ = head
    body = bytearray()
    if headers.get("transfer-encoding", "").lower() == "chunked":
        await _read_chunks(reader, body.extend)
    elif "content-length" in headers:
        body += await reader.readexactly(int(headers["content-length"]))
    else:
        body += await reader.read()
    return int(line.split(" ")[1]), headers, bytes(body)


def encode_response(status, body=b"", headers=()):
    """Returns the bytes of a whole response."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *headers, "", ""]
    return "\r\n".join(lines).encode("latin-1") + body


def encode_request(method, target, body=b"", headers=()):
    """Returns the bytes of a whole request."""
    lines = [f"{method} {target} HTTP/1.1", "Host: backend.local", f"Content-Length: {len(body)}"]
    return "\r\n".join([*lines, *headers, "", ""]).encode("latin-1") + body


def reset(writer):
    """Ends a connection as a process that dies does: with a reset."""
    sock = writer.get_extra_info("socket")
    if sock is not None and sock.fileno() >= 0:
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))
    writer.transport.abort()


class Server:
    """Serves requests on a loopback address of its own, one at a time on each connection."""

    def __init__(self, clock):
        self.clock = clock
        self.server = None
        self.writers = set()
        self.port = 0

    async def start(self, host="127.0.0.1", port=0):
        self.server = await asyncio.start_server(self._serve, host, port)
        self.port = self.server.sockets[0].getsockname()[1]
        return self

    @property
    def address(self):
        return f"127.0.0.1:{self.port}"

    async def _serve(self, reader, writer):
        self.writers.add(writer)
        try:
            while (request := await read_request(reader, self.clock)) is not None:
                await self.handle(request, reader, writer)
        except (EOFError, OSError, ValueError, asyncio.CancelledError):
            pass
        finally:
            self.writers.discard(writer)
            writer.close()

    async def handle(self, request, reader, writer):
        raise NotImplementedError

    def die(self):
        """Ends as a process that dies: connections are reset, new ones are refused."""
        if self.server is not None:
            self.server.close()
        for writer in list(self.writers):
            reset(writer)
