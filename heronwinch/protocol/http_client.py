"""The client's part of HTTP/1.1, towards workers and discovery: one request at a time on a connection."""

from typing import NamedTuple

import h11

from heronwinch.protocol.field_limit import FieldLimit, TooManyFieldsError

MAX_BODY_BYTES = 64 * 1024
MAX_HEAD_BYTES = 16 * 1024


class InvalidResponseError(Exception):
    """The bytes received are not an HTTP response."""


class ResponseHead(NamedTuple):
    """The status line and headers of a response; header names are in lower case."""

    status: int
    headers: dict[bytes, bytes]


class BodyPart(NamedTuple):
    """A part of a response's body, as it was received."""

    data: bytes


class ResponseEnd(NamedTuple):
    """The end of a response."""

    pass


def release_frames(error):
    """Drops the traceback of an exception of h11 that has been handled. One of its frames refers to the
    exception, so that all of them, and what they refer to, would wait for the garbage collector."""
    error.__traceback__ = None


class HttpClient:
    """One client connection without its socket: the caller writes requests and feeds the bytes received."""

    def __init__(self, host=b"backend.local"):
        self.host = host
        self.h11 = h11.Connection(h11.CLIENT, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.field_limit = FieldLimit()

    def encode_request(self, method, target, headers=(), body=b""):
        """Returns the bytes of a request. The response to the one before has to be complete."""
        if self.h11.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.h11.start_next_cycle()
        headers = [(b"Host", self.host), *headers]
        if body or method == b"POST":
            headers.append((b"Content-Length", b"%d" % len(body)))
        send = self.h11.send
        request = send(h11.Request(method=method, target=target, headers=headers))
        if body:
            request += send(h11.Data(data=body))
        return request + send(h11.EndOfMessage())

    def feed_data(self, data):
        """Yields the events of the response that `data` completes. Empty `data` is the connection's end.

        Raises InvalidResponseError if the bytes are not a response."""
        self.h11.receive_data(data)
        while True:
            event = self._parse_event()
            kind = type(event)
            if kind is h11.Response:
                yield ResponseHead(event.status_code, dict(event.headers))
            elif kind is h11.Data:
                yield BodyPart(bytes(event.data))
            elif kind is h11.EndOfMessage:
                yield ResponseEnd()
                return
            elif kind is not h11.InformationalResponse:
                return  # h11 needs more data, or the connection has ended

    def _parse_event(self):
        """Returns h11's next event. Raises InvalidResponseError."""
        try:
            if self.h11.their_state is h11.SEND_RESPONSE:
                self.field_limit.check_head(self.h11.trailing_data[0])
            self.field_limit.check_trailer(self.h11)
            event = self.h11.next_event()
        except h11.RemoteProtocolError as error:
            release_frames(error)
            raise InvalidResponseError(str(error)) from None
        except TooManyFieldsError as error:
            raise InvalidResponseError(str(error)) from None
        if type(event) is h11.Response:
            self.field_limit.begin_body(event)
        elif type(event) is h11.Data:
            self.field_limit.note_data(event)
        elif type(event) is h11.EndOfMessage:
            self.field_limit.end_message()
        return event

    @property
    def is_response_complete(self):
        """Whether no more of the response is expected."""
        return self.h11.their_state not in (h11.IDLE, h11.SEND_RESPONSE, h11.SEND_BODY)

    @property
    def is_reusable(self):
        """Whether the response is complete and the connection can carry another request."""
        return (
            self.h11.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE} and not self.h11.trailing_data[0]
        )
