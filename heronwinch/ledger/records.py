"""Records of the write-ahead log: msgspec structs in MessagePack, one to a row of the store.

Fields are only ever appended, and have defaults, so that stores of earlier versions can be read. Times are
whole nanoseconds of the clock of the process that wrote them; its ProcessStart relates that clock to the
uptime of its machine."""

import msgspec

RECORD_FORMAT = 1  # version of the record format, written into each ProcessStart
# How a work item ended. CLIENT_LEFT: its client went away before it had an answer.
FINISHED, DEFERRED, WRITTEN_OFF, CLIENT_LEFT = range(4)


class ProcessStart(msgspec.Struct, array_like=True, tag=1, frozen=True):
    """A dispatcher process starts to write: its identity and the reading of its clocks."""

    name: str
    fleet: str
    boot: str  # boot id of the machine, "" if it is not known
    up: int  # uptime of the machine (ns, with time in suspend) at the clock time `now`
    now: int  # clock time of this process at which `up` was read
    form: int = RECORD_FORMAT
    since: int = 0  # every work item that this dispatcher accepted from this time on is recorded


class AcceptedItem(msgspec.Struct, array_like=True, tag=2, frozen=True):
    """A work item as its client handed it in."""

    id: bytes
    when: int  # when the work item was accepted
    given: int  # nanoseconds left until its expiry when it was accepted
    category: str
    effect: int  # an interface.Effect
    target: bytes
    ticket: bytes = b""
    body: bytes = b""
    key: str = ""
    slots: float = 1.0
    memory: float = 0.0
    repeated: bool = False
    mark: tuple[str, str, int, int] | None = None  # an earlier possible run: host, area, pod, time


class HandOffIntent(msgspec.Struct, array_like=True, tag=3, frozen=True):
    """A work item is about to be handed off: durable before the first byte goes to the worker."""

    id: bytes
    number: int  # index of this hand-off among those of the work item, from 0
    when: int
    host: str
    area: str = ""
    pod: int = 0


class HandOffOutcome(msgspec.Struct, array_like=True, tag=4, frozen=True):
    """How a hand-off ended."""

    id: bytes
    number: int
    outcome: int  # an interface.Outcome


class FinalAnswer(msgspec.Struct, array_like=True, tag=5, frozen=True):
    """The final answer to a work item: durable before it is sent to the client."""

    id: bytes
    when: int
    how: int  # FINISHED, DEFERRED, WRITTEN_OFF or CLIENT_LEFT
    result: bytes = b""


class RunningTimes(msgspec.Struct, array_like=True, tag=6, frozen=True):
    """Running times of each category as last learned; a later record replaces an earlier one.

    A run is (category, mean, mean that also counts work that did not end, number of samples of the latter);
    the means are in nanoseconds."""

    when: int
    runs: list[tuple[str, float, float, int]]


class OrderlyStop(msgspec.Struct, array_like=True, tag=7, frozen=True):
    """The process stopped in an orderly way, with no work item open."""

    when: int


class RosterSnapshot(msgspec.Struct, array_like=True, tag=8, frozen=True):
    """All members that may have accepted work besides this dispatcher: encoded rows of its membership view.

    A later record replaces an earlier one."""

    when: int
    rows: list[bytes]


Record = (
    ProcessStart
    | AcceptedItem
    | HandOffIntent
    | HandOffOutcome
    | FinalAnswer
    | RunningTimes
    | OrderlyStop
    | RosterSnapshot
)


class RecordError(ValueError):
    """A row cannot be decoded, or a record contradicts those before it."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Record).decode


def encode_record(record) -> bytes:
    return _encode(record)


def decode_record(row):
    """Decodes the record in a row; raises RecordError."""
    try:
        return _decode(row)
    except (msgspec.DecodeError, RecursionError, OverflowError, UnicodeError) as error:
        raise RecordError(f"not a record: {error}") from None
