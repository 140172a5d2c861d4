"""Messages between dispatchers: msgspec structs encoded as MessagePack, one per datagram or stream frame.

For compatibility between versions, fields are only ever appended, with defaults: an older version reads the
fields it knows and ignores the rest."""

from typing import Annotated

import msgspec

FORMAT_VERSION = 1
MAX_DATAGRAM_BYTES = 1200  # below the smallest common path MTU
MAX_FULL_VIEW_BYTES = 1 << 20  # bound of a full view on a stream
MAX_MEMBERS = 4096  # bound of the member table, and of the records in a full view
INCARNATION_LIMIT = 1 << 40  # exclusive bound; incarnations start at Unix time in seconds and count up
JOINING, SERVING, LEAVING, SUSPECT, GONE, LEFT = range(6)
STATE_NAMES = ("joining", "serving", "leaving", "suspect", "gone", "left")

MemberName = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
ShortText = Annotated[str, msgspec.Meta(max_length=64)]
Uint62 = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]


class MemberRecord(msgspec.Struct, array_like=True, frozen=True):
    """One dispatcher's knowledge of a member."""

    name: MemberName
    state: Annotated[int, msgspec.Meta(ge=0, lt=len(STATE_NAMES))]
    # The incarnation number; only the member itself raises it.
    inc: Annotated[int, msgspec.Meta(ge=0, lt=INCARNATION_LIMIT)]
    life: Uint62  # random ID of the process
    host: ShortText = ""  # address:port under which the member is reached
    area: ShortText = ""
    # In a suspicion or death: the declaring member. In an own record: the life of the rival process whose
    # incarnation it exceeded.
    by: ShortText = ""
    form: Annotated[int, msgspec.Meta(ge=0, lt=1 << 16)] = FORMAT_VERSION


MemberRecords = Annotated[list[MemberRecord], msgspec.Meta(max_length=128)]
RatePerSecond = Annotated[float, msgspec.Meta(ge=0, le=1e9)]  # work items per second at the sender


class Message(msgspec.Struct, array_like=True, tag=True):
    """Fields common to all messages. A reply repeats the `seq` of its request."""

    fleet: ShortText
    own: MemberRecord  # the sender's record
    seq: Uint62
    digest: Uint62  # digest of the sender's view
    rate: RatePerSecond


class Ping(Message, tag=1):
    """Probes a member, which answers with an Ack."""

    to: ShortText  # name of the member that is to answer; "" for whichever member has the address
    rows: MemberRecords = []


class Ack(Message, tag=2):
    """Answers a Ping."""

    rows: MemberRecords = []


class PingRequest(Message, tag=3):
    """SWIM's ping-req: asks the recipient to ping the member `to` at `host` on behalf of the sender."""

    to: MemberName
    host: ShortText
    rows: MemberRecords = []


class Nack(Message, tag=4):
    """Confirms to the sender of a PingRequest that the ping was sent, even if the target stays silent."""

    rows: MemberRecords = []


class Gossip(Message, tag=5):
    """Membership updates, sent unasked."""

    rows: MemberRecords = []


class FullView(Message, tag=6):
    """All records of a view, sent on a stream. With `asks`, the recipient answers with its own full view."""

    asks: bool
    rows: Annotated[list[MemberRecord], msgspec.Meta(max_length=MAX_MEMBERS)] = []


KeyDigest = Annotated[bytes, msgspec.Meta(min_length=12, max_length=12)]
# An age rather than a time, because clocks differ.
DurationNs = Annotated[int, msgspec.Meta(ge=0, lt=1 << 62)]
MAX_KEYS_PER_QUERY = 10  # a reply with a status for each key has to fit into one datagram


class KeyQuery(Message, tag=7):
    """Asks what the recipient knows of these idempotency keys of clients."""

    keys: Annotated[list[KeyDigest], msgspec.Meta(max_length=MAX_KEYS_PER_QUERY)]
    rows: MemberRecords = []


class KeyStatus(msgspec.Struct, array_like=True, frozen=True):
    """What a member knows of one key of a query.

    With `ran`, the work item may have run in `area` and `pod`, first `age` ago; otherwise it is still open.
    """

    index: Annotated[int, msgspec.Meta(ge=0, lt=MAX_KEYS_PER_QUERY)]
    ran: bool
    age: DurationNs = 0
    host: ShortText = ""
    area: ShortText = ""
    pod: Annotated[int, msgspec.Meta(ge=-(1 << 31), lt=1 << 31)] = 0
    result: bytes | None = None  # set once the work item is finished


class KeyReply(Message, tag=8):
    """Answers a KeyQuery. The sender has a record of every key it accepted within the last `since`; it knows
    nothing of queried keys without a status."""

    since: DurationNs
    marks: Annotated[list[KeyStatus], msgspec.Meta(max_length=MAX_KEYS_PER_QUERY)] = []
    rows: MemberRecords = []


class MessageError(ValueError):
    """The received bytes are not a message of this fleet."""


_encode_msgpack = msgspec.msgpack.Encoder().encode
_decode_msgpack = msgspec.msgpack.Decoder(
    Ping | Ack | PingRequest | Nack | Gossip | FullView | KeyQuery | KeyReply
).decode


def encode_message(message) -> bytes:
    """Encodes a message for a datagram or a stream frame."""
    return _encode_msgpack(message)


def decode_message(data, fleet_name, max_bytes=MAX_DATAGRAM_BYTES):
    """Decodes a message; raises MessageError with the reason: oversized, garbage or foreign."""
    if len(data) > max_bytes:
        raise MessageError("oversized")
    try:
        message = _decode_msgpack(data)
    except (msgspec.DecodeError, RecursionError, OverflowError, UnicodeError):
        raise MessageError("garbage") from None
    if message.fleet != fleet_name:
        raise MessageError("foreign")
    return message
