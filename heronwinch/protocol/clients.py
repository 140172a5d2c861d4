"""The client side: jobs that clients hand in, and the answers they get."""

import re
from typing import NamedTuple
from urllib.parse import parse_qs, unquote, urlsplit

import h11

from heronwinch.interface import SECOND
from heronwinch.protocol.asking import MOST_BODY, MOST_HEAD
from heronwinch.protocol.buffer import Buffer, TooLong

PLAIN = re.compile(rb"[!-~]{1,200}")  # workers name it in JSON
LONGEST = 86_400  # seconds that a client may be willing to wait
REASONS = {200: b"OK", 400: b"Bad Request", 404: b"Not Found", 405: b"Method Not Allowed",
           408: b"Request Timeout", 413: b"Content Too Large", 500: b"Internal Server Error",
           503: b"Service Unavailable"}


class Job(NamedTuple):
    """One whole request for work."""

    id: bytes
    target: bytes
    ticket: bytes | None
    body: bytes
    category: str
    key: str
    time_left: int | None  # from when it was sent
    slots: float
    memory: float
    repeated: bool


class ReadyAsked(NamedTuple):
    pass


class Say(NamedTuple):
    """Bytes to be written at once: the client waits for leave to send its body."""

    data: bytes


class Refused(NamedTuple):
    """Bad input, to be answered so; the connection ends with it."""

    status: int
    reason: str


class BadRequest(ValueError):
    status = 400


class NoSuchPath(BadRequest):
    status = 404


class WrongMethod(BadRequest):
    status = 405


class ClientSide:
    def __init__(self):
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MOST_HEAD)
        self.body = Buffer(MOST_BODY)
        self.request = None
        self.owed = False  # a whole request was taken and is not answered
        self.broken = False

    @property
    def between(self):
        """Whether nothing of a further request has been seen."""
        return not self.owed and not self.broken and self.request is None and not self.h11.trailing_data[0]

    def feed(self, data):
        """What these bytes complete, in order. Bytes after a request that is still owed an answer wait for
        `answer`, as far as there is room."""
        if self.broken:
            return []
        self.h11.receive_data(data)
        if self.owed:
            if len(self.h11.trailing_data[0]) > MOST_BODY + MOST_HEAD:
                self.broken = True  # it sends and sends without waiting for its answer
                return [Refused(400, "too much before the answer")]
            return []
        return self.further()

    def further(self):
        """What the bytes already here complete."""
        told = []
        while not self.owed and not self.broken:
            try:
                event = self.h11.next_event()
                kind = type(event)
                if kind is h11.Request:
                    self.request = event
                    if self.h11.they_are_waiting_for_100_continue:
                        go_on = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
                        told.append(Say(self.h11.send(go_on)))
                elif kind is h11.Data:
                    self.body.add(event.data)
                elif kind is h11.EndOfMessage:
                    told.append(self._whole())
                else:
                    break
            except h11.RemoteProtocolError as fault:
                told.append(self._refuse(fault.error_status_hint, str(fault)))
            except TooLong as fault:
                told.append(self._refuse(413, str(fault)))
        return told

    def answer(self, status, body=b"", headers=(), close=False):
        """The bytes of the answer to the request that is owed one, and whether the connection ends then."""
        headers = [(b"Content-Length", b"%d" % len(body)), *headers]
        if close or self.broken:
            headers.append((b"Connection", b"close"))
        send = self.h11.send
        data = send(h11.Response(status_code=status, headers=headers, reason=REASONS.get(status, b"")))
        data += (send(h11.Data(data=body)) if body else b"") + send(h11.EndOfMessage())
        self.owed, self.request = False, None
        if self.h11.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.h11.start_next_cycle()
            return data, False
        self.broken = True
        return data, True

    def _refuse(self, status, reason):
        """Where one request was wrong, nothing that follows it on the connection is trusted."""
        self.broken = True
        return Refused(status, reason)

    def _whole(self):
        request, body = self.request, self.body.take()
        self.owed = True
        try:
            return _read(request, body)
        except BadRequest as fault:
            return self._refuse(fault.status, str(fault))


def _read(request, body):
    url = urlsplit(request.target.decode("latin-1"))
    if url.path == "/-/ready":
        if request.method != b"GET":
            raise WrongMethod("GET only")
        return ReadyAsked()
    if request.method != b"POST":
        raise WrongMethod("work comes by POST")
    headers = dict(request.headers)
    id = headers.get(b"req-id", b"")
    if not PLAIN.fullmatch(id):
        raise BadRequest("Req-Id is missing or no plain word")
    extra = _extra(headers.get(b"req-extra", b"").decode("latin-1"))
    return Job(
        id=id, target=request.target, ticket=headers.get(b"idempotency-key"), body=body,
        category=unquote(url.path.lstrip("/").split("/", 1)[0]),
        key=parse_qs(url.query).get("sid", [""])[0],
        time_left=_seconds(headers.get(b"req-deadline")),
        slots=extra.get("slots", 1.0), memory=extra.get("memory", 0.0),
        repeated=headers.get(b"req-retry") == b"1",
    )


def _seconds(value):
    if value is None:
        return None
    try:
        seconds = float(value)
    except ValueError:
        raise BadRequest("Req-Deadline is no number") from None
    if not 0 <= seconds <= LONGEST:
        raise BadRequest("Req-Deadline is out of range")
    return round(seconds * SECOND)


def _extra(text):
    figures = {}
    for part in text.split(",") if text else ():
        name, _, value = part.partition("=")
        try:
            figures[name.strip()] = float(value)
        except ValueError:
            raise BadRequest(f"Req-Extra: {name.strip()} is no number") from None
    if not all(0 <= figure < 1e6 for figure in figures.values()):
        raise BadRequest("Req-Extra is out of range")
    return figures
