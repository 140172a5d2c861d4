"""The messages by which a stopping process hands its client connections over to its successor.

The successor sends a hello. The stopping process then offers its connections, one message each, and the
successor answers each offer with a verdict. An offer that is refused stays the stopping process's.

Parser state is not transferred: the successor feeds its own state machines the bytes that those of the
stopping process have received."""

import json
from typing import NamedTuple

from heronwinch.protocol.clients import Job
from heronwinch.protocol.discovery import ListedWorker

FORMAT_VERSION = 2  # version of the messages; a process rejects any other
BYTES_FIELDS = ("id", "target", "ticket", "body")  # the fields of a Job that hold bytes
MAX_MESSAGE_BYTES = 192 * 1024
# Raised while data that is not a message is decoded.
_DECODE_ERRORS = (ValueError, TypeError, KeyError, AttributeError, RecursionError, OverflowError)


class HandoverMessageError(ValueError):
    """The data is not a message of this format."""


class RepeatRules(NamedTuple):
    """What decides whether a work item may be handed off again. It keeps the rules it was accepted under."""

    effect: int  # an Effect
    group: int  # a Group
    window: int  # nanoseconds


class HandOffState(NamedTuple):
    """One hand-off of a transferred work item."""

    host: str
    age: int  # nanoseconds since the hand-off was sent
    outcome: int  # an Outcome, 0 while the worker has not answered


class ClientState(NamedTuple):
    """The state of a client's connection. If the client has a work item, this includes the job and its
    hand-offs. Times are in nanoseconds."""

    known: int  # how many jobs the client has handed in
    closes: bool = False  # whether the connection closes after the response
    job: Job | None = None
    age: int = 0  # time since the job arrived
    given: int = 0  # the time the job had left when it arrived
    hand_offs: tuple[HandOffState, ...] = ()
    hosts: tuple[ListedWorker, ...] = ()  # the workers of the hand-offs
    heard: bytes = b""  # the bytes received so far from the worker that has not answered yet
    repeat_rules: RepeatRules | None = None  # of the job's category when it was accepted

    def add_age(self, nanoseconds):
        """Returns the state as it is this much later."""
        return self._replace(
            age=self.age + nanoseconds,
            hand_offs=tuple(ho._replace(age=ho.age + nanoseconds) for ho in self.hand_offs),
        )


class Offer(NamedTuple):
    """A connection that the stopping process offers. The descriptors travel beside the message."""

    number: int
    offered_at: int  # nanoseconds of the system's monotonic clock, which both processes read
    client_state: ClientState


class Verdict(NamedTuple):
    """The successor's answer to an offer. Once it has accepted, the connection is its own."""

    number: int  # of the offer
    is_accepted: bool


def encode_hello():
    """Returns the bytes of the hello, which tells the version of the messages."""
    return json.dumps([FORMAT_VERSION]).encode()


def decode_hello(data):
    """Returns the version that a hello tells; raises HandoverMessageError if `data` is none."""
    try:
        version, *_ = json.loads(data)
        return int(version)
    except _DECODE_ERRORS:
        raise HandoverMessageError("no hello") from None


def encode_verdict(verdict):
    """Returns the bytes of a Verdict."""
    return json.dumps(verdict).encode()


def decode_verdict(data):
    """Returns the Verdict in `data`; raises HandoverMessageError if there is none."""
    try:
        number, is_accepted = json.loads(data)
        return Verdict(int(number), bool(is_accepted))
    except _DECODE_ERRORS:
        raise HandoverMessageError("no verdict") from None


def encode_offer(offer):
    """Returns the bytes of an Offer, None if they would exceed MAX_MESSAGE_BYTES."""
    state = offer.client_state
    tree = state._asdict() | {"heard": _decode_latin1(state.heard)}
    if state.job is not None:
        tree["job"] = [_decode_latin1(part) if isinstance(part, bytes) else part for part in state.job]
    message = [offer.number, offer.offered_at, tree]
    data = json.dumps(message, ensure_ascii=False).encode()
    return data if len(data) <= MAX_MESSAGE_BYTES else None


def decode_offer(data):
    """Returns the Offer in `data`; raises HandoverMessageError if there is none."""
    try:
        number, offered_at, tree = json.loads(data)
        return Offer(int(number), int(offered_at), _parse_client_state(tree))
    except _DECODE_ERRORS as error:
        raise HandoverMessageError(f"no offer: {type(error).__name__}: {error}") from None


def _parse_client_state(tree):
    """Returns the ClientState in a decoded message."""
    job = tree["job"] and Job(
        *(
            part.encode("latin-1") if name in BYTES_FIELDS and part is not None else part
            for name, part in zip(Job._fields, tree["job"], strict=True)
        )
    )
    rules = tree["repeat_rules"]
    return ClientState(
        int(tree["known"]),
        bool(tree["closes"]),
        job,
        int(tree["age"]),
        int(tree["given"]),
        tuple(HandOffState(str(host), int(age), int(outcome)) for host, age, outcome in tree["hand_offs"]),
        tuple(ListedWorker(host, tuple(address), *rest) for host, address, *rest in tree["hosts"]),
        tree["heard"].encode("latin-1"),
        rules and RepeatRules(*map(int, rules)),
    )


def _decode_latin1(data):
    return data.decode("latin-1")


def encode_job_request(job, closes):
    """Returns the bytes of a request for `job`, which bring a new ClientProtocol into the state that it had
    after the original request."""
    lines = [
        b"POST %s HTTP/1.1" % job.target,
        b"Host: backend.local",
        b"Req-Id: " + job.id,
        b"Content-Length: %d" % len(job.body),
    ]
    if job.ticket is not None:
        lines.append(b"Idempotency-Key: " + job.ticket)
    if closes:
        lines.append(b"Connection: close")
    return b"\r\n".join([*lines, b"", job.body])
