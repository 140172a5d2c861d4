"""The server's part of HTTP/1.1, towards clients: the jobs they hand in and the responses they get.

All client input is validated here, as far as possible on the head of a request alone. A request that fails is
rejected and nothing of it reaches the rest of the program."""

import re
import sys
from collections.abc import Container
from typing import NamedTuple
from urllib.parse import parse_qs, quote

import h11

from heronwinch.interface import SECOND
from heronwinch.protocol.buffer import Buffer, BufferLimitError
from heronwinch.protocol.field_limit import HEAD_END_PATTERN, MAX_FIELDS, FieldLimit, TooManyFieldsError
from heronwinch.protocol.http_client import MAX_BODY_BYTES, MAX_HEAD_BYTES, release_frames

ID_PATTERN = re.compile(rb"[0-9A-Za-z._~:-]{1,128}")
TICKET_PATTERN = re.compile(rb"[!-~]{1,256}")
# Stricter than float(), which also accepts nan, 1_0 and " 7".
NUMBER_PATTERN = re.compile(r"[0-9]{1,15}(\.[0-9]*)?([eE][-+]?[0-9]{1,2})?")
CONTENT_LENGTH_PATTERN = re.compile(rb"^content-length[ \t]*:(.*)$", re.IGNORECASE | re.MULTILINE)
FOLDED_HEADER_PATTERN = re.compile(rb"\n[ \t]")
UNREPEATABLE_HEADERS = (b"req-id", b"req-deadline", b"idempotency-key", b"req-extra", b"req-retry", b"expect")
MAX_DEADLINE_SECONDS = 86_400  # the highest value of Req-Deadline
# Limits of the parts of a request, as the time to parse one goes by their number rather than by its bytes.
MAX_BODY_CHUNKS = 4096
MAX_QUERY_PARAMETERS = 100
MAX_EXTRA_FIGURES = 32
REASON_PHRASES = {
    200: b"OK",
    400: b"Bad Request",
    404: b"Not Found",
    405: b"Method Not Allowed",
    408: b"Request Timeout",
    409: b"Conflict",
    413: b"Content Too Large",
    431: b"Request Header Fields Too Large",
    500: b"Internal Server Error",
    503: b"Service Unavailable",
}


class AdmissionRules(NamedTuple):
    """The rules that decide whether a request is accepted."""

    needs_ticket: dict[str, bool]  # by category; categories that are absent are not served
    open_ids: Container[bytes]  # the ids of work items that are unanswered, or were until a moment ago


class Job(NamedTuple):
    """A complete request for work. `time_left` is in nanoseconds."""

    id: bytes
    target: bytes
    ticket: bytes | None
    body: bytes
    category: str
    key: str  # the query parameter `sid`, empty without one
    time_left: int | None  # time left when the request was sent; None if the request names no deadline
    slots: float
    memory: float
    repeated: bool


class ReadinessRequest(NamedTuple):
    """A request for /-/ready."""

    pass


class ContinueResponse(NamedTuple):
    """An encoded 100 Continue, to be written at once: the client waits for it before it sends its body."""

    data: bytes


class RejectedRequest(NamedTuple):
    """Invalid input. The response to it closes the connection."""

    status: int
    reason: str


class UnknownCategory(NamedTuple):
    """A complete request for a category that is not served, for instance since a reload removed it. It is
    only answered; the connection stays open."""

    reason: str


class BadRequestError(ValueError):
    """A request that fails validation; `status` is the HTTP status that answers it."""

    status = 400


class MethodNotAllowedError(BadRequestError):
    """The method does not go with the path."""

    status = 405


class IdInUseError(BadRequestError):
    """The request's id is that of an open work item."""

    status = 409


class ContentTooLargeError(BadRequestError):
    """The body is longer than MAX_BODY_BYTES."""

    status = 413


class ClientProtocol:
    """The server's state machine for one client connection. `rules` may be replaced at any time."""

    def __init__(self, rules):
        self.rules = rules
        self.h11 = h11.Connection(h11.SERVER, max_incomplete_event_size=MAX_HEAD_BYTES)
        self.field_limit = FieldLimit()
        self.body = Buffer(MAX_BODY_BYTES)
        self.pending_request = None  # the request whose head was received, until it is answered
        self.received_bytes = 0  # since the last answer
        self.chunk_count = 0  # pieces in which the body of the pending request has been parsed so far
        # Line feeds received since the last answer; more than the lines of the head if a body came with it.
        self.line_count = 0
        self.has_unanswered_request = False  # whether a complete request was returned and not answered yet
        self.has_more_to_parse = False  # whether parsing stopped before the end of what was received
        self.is_broken = False  # whether a request was rejected or the last response was encoded

    @property
    def is_idle(self):
        """Whether the connection is between two requests, with no byte of the next one received."""
        return (
            not self.has_unanswered_request
            and not self.is_broken
            and self.pending_request is None
            and not self.h11.trailing_data[0]
        )

    @property
    def has_requested_close(self):
        """Whether the client wants the connection closed after the response."""
        return self.h11.their_state is h11.MUST_CLOSE

    def feed_data(self, data, max_parser_events=sys.maxsize):
        """Returns the events that `data` completes, in order. A rejected request is an event, not an
        exception; after it further data is ignored. Parsing stops after `max_parser_events`: then
        `has_more_to_parse` is set, and `parse` goes on."""
        if self.is_broken:
            return []
        if self.has_unanswered_request:
            return [self._reject(400, "more before the answer")]
        self.h11.receive_data(data)
        self.received_bytes += len(data)
        self.line_count += data.count(b"\n")
        return self.parse(max_parser_events)

    def parse(self, max_parser_events=sys.maxsize):
        """Goes on parsing what was received, as `feed_data` does."""
        self.has_more_to_parse = False
        events = []
        parser_event_count = 0
        try:
            while not self.has_unanswered_request:
                if parser_event_count == max_parser_events:
                    self.has_more_to_parse = True
                    break
                parser_event_count += 1
                head = self._read_unparsed_head() if self.pending_request is None else b""
                self.field_limit.check_trailer(self.h11)
                event = self.h11.next_event()
                kind = type(event)
                if kind is h11.Request:
                    self.pending_request = _parse_head(event, head, self.rules)
                    self.field_limit.begin_body(event)
                    if self.h11.they_are_waiting_for_100_continue:
                        interim = h11.InformationalResponse(status_code=100, headers=[], reason=b"Continue")
                        events.append(ContinueResponse(self.h11.send(interim)))
                elif kind is h11.Data:
                    self._add_to_body(event)
                elif kind is h11.EndOfMessage:
                    events.append(self._finish_request())
                else:
                    break
        except h11.RemoteProtocolError as error:
            release_frames(error)
            events.append(self._reject(error.error_status_hint, str(error)))
        except BufferLimitError as error:
            events.append(self._reject(413, str(error)))
        except TooManyFieldsError as error:
            events.append(self._reject(431, str(error)))
        except BadRequestError as error:
            events.append(self._reject(error.status, str(error)))
        return events

    def _read_unparsed_head(self):
        """Returns what has been received of the next request's head. Raises TooManyFieldsError."""
        unparsed = self.h11.trailing_data[0]
        if self.line_count > MAX_FIELDS:
            self.field_limit.check_head(unparsed)
        return HEAD_END_PATTERN.split(unparsed, maxsplit=1)[0]

    def _add_to_body(self, data_event):
        """Adds a part of the body. Raises BadRequestError if it comes in too many chunks."""
        self.chunk_count += data_event.chunk_start
        self.field_limit.note_data(data_event)
        if self.chunk_count > MAX_BODY_CHUNKS:
            raise BadRequestError(f"over {MAX_BODY_CHUNKS} chunks")
        self.body.add(data_event.data)

    def encode_response(self, status, body=b"", headers=(), close=False):
        """Returns the bytes of the response to the open request and whether the connection then ends."""
        headers = [(b"Content-Length", b"%d" % len(body)), *headers]
        if close or self.is_broken:
            headers.append((b"Connection", b"close"))
        send = self.h11.send
        data = send(h11.Response(status_code=status, headers=headers, reason=REASON_PHRASES.get(status, b"")))
        data += (send(h11.Data(data=body)) if body else b"") + send(h11.EndOfMessage())
        self.has_unanswered_request, self.pending_request = False, None
        self.field_limit.end_message()
        self.received_bytes = self.chunk_count = self.line_count = 0
        if not self.is_broken and self.h11.states == {h11.CLIENT: h11.DONE, h11.SERVER: h11.DONE}:
            self.h11.start_next_cycle()
            return data, False
        self.is_broken = True
        return data, True

    def _reject(self, status, reason):
        """Rejects the request. Nothing that follows a bad request on its connection is trusted."""
        self.is_broken = True
        return RejectedRequest(status, reason)

    def _finish_request(self):
        """Returns the event of the complete request. Raises BadRequestError if it fails validation."""
        # Clients send one request at a time. Bytes that arrive with a request or before its response belong
        # to a body that is longer than its head says, or to a request smuggled in it.
        if self.h11.trailing_data[0]:
            raise BadRequestError("more after the request")
        pending_request, body = self.pending_request, self.body.take_all()
        if type(pending_request) is Job:
            # The rules may have been replaced since the head was received.
            if pending_request.category not in self.rules.needs_ticket:
                pending_request = UnknownCategory("no such category any more")
            elif pending_request.ticket is None and self.rules.needs_ticket[pending_request.category]:
                raise BadRequestError("Idempotency-Key is missing")
        if type(pending_request) is Job:
            if pending_request.id in self.rules.open_ids:  # the id may be in use since a moment ago
                raise IdInUseError("Req-Id is that of an open request")
            pending_request = pending_request._replace(body=body)
        self.has_unanswered_request = True
        return pending_request


def _parse_head(request, head, rules):
    """Returns the Job, still without its body, or the other event that the head stands for. Raises
    BadRequestError where it fails validation."""
    headers = dict(request.headers)
    names = [name for name, _ in request.headers]
    # Guards against request smuggling: h11 prefers Transfer-Encoding where both headers are present and keeps
    # one of several equal Content-Length headers; the next HTTP parser may choose otherwise.
    lengths = CONTENT_LENGTH_PATTERN.findall(head)
    if lengths and b"transfer-encoding" in headers:
        raise BadRequestError("Content-Length with Transfer-Encoding")
    if len(lengths) > 1 or lengths and not lengths[0].strip().isdigit() or FOLDED_HEADER_PATTERN.search(head):
        raise BadRequestError("repeated or folded headers")
    if lengths and int(lengths[0]) > MAX_BODY_BYTES:
        raise ContentTooLargeError(f"over {MAX_BODY_BYTES} bytes")
    path, _, query = request.target.decode("latin-1").partition("?")
    if not path.startswith("/") or "#" in path + query:
        raise BadRequestError("the target is no path")
    if path == "/-/ready":
        if request.method != b"GET":
            raise MethodNotAllowedError("GET only")
        return ReadinessRequest()
    if request.method != b"POST":
        raise MethodNotAllowedError("work comes by POST")
    for name in UNREPEATABLE_HEADERS:
        if names.count(name) > 1:
            raise BadRequestError(f"{name.decode()} is repeated")
    category = path[1:].split("/", 1)[0]
    if category not in rules.needs_ticket:
        return UnknownCategory("no such category")
    id, ticket = headers.get(b"req-id", b""), headers.get(b"idempotency-key")
    if not ID_PATTERN.fullmatch(id):
        raise BadRequestError("Req-Id is missing or no plain word")
    if id in rules.open_ids:
        raise IdInUseError("Req-Id is that of an open request")
    if rules.needs_ticket[category] if ticket is None else not TICKET_PATTERN.fullmatch(ticket):
        raise BadRequestError("Idempotency-Key is missing or no plain word")
    extra = _parse_extra(headers.get(b"req-extra", b"").decode("latin-1"))
    return Job(
        id=id,
        target=request.target,
        ticket=ticket,
        body=b"",
        category=category,
        key=_parse_key(query),
        time_left=_parse_deadline(headers.get(b"req-deadline")),
        slots=extra.get("slots", 1.0),
        memory=extra.get("memory", 0.0),
        repeated=headers.get(b"req-retry") == b"1",
    )


def encode_path_segment(category):
    """Returns a category's name as the first segment of a path, percent-encoded."""
    return quote(category, safe="!$&'()*+,;=:@")


def _parse_key(query):
    """Returns the parameter `sid` of a query, empty without one."""
    try:
        return parse_qs(query, max_num_fields=MAX_QUERY_PARAMETERS).get("sid", [""])[0]
    except ValueError:
        raise BadRequestError(f"over {MAX_QUERY_PARAMETERS} parameters") from None


def _parse_number(name, text):
    """Returns the number that the header or parameter `name` holds; raises BadRequestError for other text."""
    if not NUMBER_PATTERN.fullmatch(text):
        raise BadRequestError(f"{name} is no number")
    return float(text)


def _parse_deadline(value):
    """Returns the header's seconds in nanoseconds, None without the header."""
    if value is None:
        return None
    seconds = _parse_number("Req-Deadline", value.decode("latin-1"))
    if seconds > MAX_DEADLINE_SECONDS:
        raise BadRequestError("Req-Deadline is out of range")
    return round(seconds * SECOND)


def _parse_extra(text):
    """Returns the figures of the Req-Extra header (name=value,name=value) by name."""
    figures = {}
    if text.count(",") >= MAX_EXTRA_FIGURES:
        raise BadRequestError(f"Req-Extra has over {MAX_EXTRA_FIGURES} figures")
    for part in text.split(",") if text else ():
        name, _, value = part.partition("=")
        figures[name.strip()] = _parse_number("Req-Extra: " + name.strip(), value.strip())
    if not all(figure < 1e6 for figure in figures.values()):
        raise BadRequestError("Req-Extra is out of range")
    return figures
