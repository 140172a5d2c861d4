"""Reads HTTP/1.1 messages with Content-Length or chunked bodies from asyncio streams."""

import asyncio


class MessageError(Exception):
    """The connection ended, or what came is not an HTTP message."""


async def read_head(reader):
    """Returns the first line and the headers (names in lower case) of a message; None at a clean end."""
    try:
        head = await reader.readuntil(b"\r\n\r\n")
    except asyncio.IncompleteReadError as error:
        if error.partial:
            raise MessageError("the connection ended within a head") from None
        return None
    except (OSError, asyncio.LimitOverrunError) as error:
        raise MessageError(str(error)) from None
    first_line, *lines = head.decode("latin-1").split("\r\n")
    headers = {}
    for line in lines:
        name, colon, value = line.partition(":")
        if colon:
            headers[name.strip().lower()] = value.strip()
    return first_line, headers


async def read_body(reader, headers):
    """Returns the body that the headers announce."""
    try:
        if headers.get("transfer-encoding", "").lower() == "chunked":
            body = b""
            while size := int((await reader.readuntil(b"\r\n")).strip(), 16):
                body += await reader.readexactly(size)
                await reader.readexactly(2)
            await reader.readuntil(b"\r\n")
            return body
        return await reader.readexactly(int(headers.get("content-length", "0")))
    except (OSError, ValueError, asyncio.IncompleteReadError, asyncio.LimitOverrunError) as error:
        raise MessageError(str(error)) from None


def encode_response(status, body=b"", headers=()):
    """Returns the bytes of a response with Content-Length."""
    lines = [f"HTTP/1.1 {status} x", f"Content-Length: {len(body)}", *headers]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body


def encode_chunk(data):
    """Returns one chunk of a chunked body; empty data ends the body."""
    return b"%x\r\n%s\r\n" % (len(data), data)
