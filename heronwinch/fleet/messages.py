"""What dispatchers say to each other: msgspec structs in MessagePack, one to a datagram or a stream's frame.

Fields are only ever appended, with defaults: an older form reads what it knows and passes over the rest."""

from typing import Annotated

import msgspec

FORM = 1
MOST_DATAGRAM = 1200  # bytes: under the smallest path that is common
MOST_WHOLE = 1 << 20  # bytes of a whole view
MOST_ROWS = 4096  # members in mind, and rows of a whole view
TOP = 1 << 40  # incarnations beyond it are nobody's: they start from Unix time in seconds and count up
JOINING, SERVING, LEAVING, SUSPECT, GONE, LEFT = range(6)
STATES = ("joining", "serving", "leaving", "suspect", "gone", "left")

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Word = Annotated[str, msgspec.Meta(max_length=64)]
Number = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class Row(msgspec.Struct, array_like=True, frozen=True):
    """A member as somebody holds it."""

    name: Name
    state: Annotated[int, msgspec.Meta(ge=0, lt=len(STATES))]
    inc: Annotated[int, msgspec.Meta(ge=0, lt=TOP)]  # incarnation: only the member itself raises it
    life: Number  # by chance, one for each process
    host: Word = ""  # where it is reached, address:port
    area: Word = ""
    by: Word = ""  # of a suspicion or a death who says so; of an own word the life of the name it went past
    form: Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)] = FORM


Rows = Annotated[list[Row], msgspec.Meta(max_length=128)]
Rate = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # own work items a second


class Said(msgspec.Struct, array_like=True, tag=True):
    """What every message has. `seq` names the question that an answer is for."""

    fleet: Word
    own: Row  # who says it
    seq: Number
    digest: Number  # of its view
    rate: Rate


class Ping(Said, tag=1):
    to: Word  # the member that is to answer; "": whoever is there
    rows: Rows = []


class Ack(Said, tag=2):
    rows: Rows = []


class Ask(Said, tag=3):
    """Ping another for me."""

    to: Name
    host: Word
    rows: Rows = []


class Nack(Said, tag=4):
    """It has asked: what an asker hears even where the other is silent."""

    rows: Rows = []


class News(Said, tag=5):
    rows: Rows = []


class Whole(Said, tag=6):
    """A whole view, on a stream; whoever asks gets one back."""

    asks: bool
    rows: Annotated[list[Row], msgspec.Meta(max_length=MOST_ROWS)] = []


Key = Annotated[bytes, msgspec.Meta(min_length=12, max_length=12)]
Age = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]  # nanoseconds: clocks differ
MOST_KEYS = 10  # so that what is known of each fits into the datagram that answers


class Know(Said, tag=7):
    """What is known of these keys of clients?"""

    keys: Annotated[list[Key], msgspec.Meta(max_length=MOST_KEYS)]
    rows: Rows = []


class Mark(msgspec.Struct, array_like=True, frozen=True):
    """A key that is known: it may have run in that area and pod, first so long ago; or it is open."""

    index: Annotated[int, msgspec.Meta(ge=0, lt=MOST_KEYS)]
    ran: bool
    age: Age = 0
    host: Word = ""
    area: Word = ""
    pod: Annotated[int, msgspec.Meta(ge=-(1 << 31), lt=1 << 31)] = 0
    result: bytes | None = None  # where it is done


class Told(Said, tag=8):
    """Nothing is known of keys that are not named, and all that was taken here for so long would be."""

    since: Age
    marks: Annotated[list[Mark], msgspec.Meta(max_length=MOST_KEYS)] = []
    rows: Rows = []


class BadMessage(ValueError):
    """What came is no message of this fleet."""


_encode = msgspec.msgpack.Encoder().encode
_decode = msgspec.msgpack.Decoder(Ping | Ack | Ask | Nack | News | Whole | Know | Told).decode


def encode(message) -> bytes:
    return _encode(message)


def decode(data, fleet, most=MOST_DATAGRAM):
    """The message in these bytes; raises BadMessage with the reason in a word."""
    if len(data) > most:
        raise BadMessage("oversized")
    try:
        message = _decode(data)
    except (msgspec.DecodeError, RecursionError, OverflowError, UnicodeError):
        raise BadMessage("garbage") from None
    if message.fleet != fleet:
        raise BadMessage("foreign")
    return message
