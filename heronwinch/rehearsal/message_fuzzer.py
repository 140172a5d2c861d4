"""Feeds a membership view with corrupted messages: cut, with changed bytes, repeated, joined, oversized, from
another fleet, with the highest incarnation. The view must raise nothing, keep its own record and stay within
its bounds."""

from random import Random

from heronwinch.fleet.messages import (
    GONE,
    INCARNATION_LIMIT,
    LEFT,
    MAX_MEMBERS,
    SERVING,
    SUSPECT,
    Ack,
    FullView,
    Gossip,
    MemberRecord,
    Nack,
    Ping,
    PingRequest,
    encode_message,
)
from heronwinch.fleet.view import MS, MembershipView

FLEET_NAME = "spoilt"
MAX_CAUSED_MESSAGES = 64  # that a view may send because of one corrupted message


def _make_record(random, name=None):
    return MemberRecord(
        name or f"d{random.randrange(40)}",
        random.choice((SERVING, SERVING, SUSPECT, GONE, LEFT)),
        random.choice((0, 1, random.randrange(9), INCARNATION_LIMIT - 1)),
        random.randrange(4),
        random.choice(("", "10.0.0.1:7", "no address", "[::1]:0")),
        "a",
        random.choice(("", "d1")),
    )


def _encode_random_message(random):
    kind = random.choice((Ping, Ack, PingRequest, Nack, Gossip, FullView))
    common_fields = (
        random.choice((FLEET_NAME, FLEET_NAME, FLEET_NAME, "other")),
        _make_record(random),
        random.randrange(9),
        random.randrange(1 << 40),
        1.0,
    )
    rows = [_make_record(random) for _ in range(random.randrange(6))]
    own_fields = {Ping: ("me",), PingRequest: ("d1", "10.0.0.1:7"), FullView: (True,)}.get(kind, ())
    return encode_message(kind(*common_fields, *own_fields, rows=rows))


def _make_corrupted_message(random):
    data = bytearray(_encode_random_message(random))
    for _ in range(random.randrange(4)):
        corruption = random.randrange(5)
        index = random.randrange(len(data) or 1)
        if corruption == 0 and data:
            data[index] = random.randrange(256)
        elif corruption == 1:
            del data[index : index + random.randrange(1, 20)]
        elif corruption == 2:
            data[index:index] = random.randbytes(random.randrange(1, 20))
        elif corruption == 3:
            data += _encode_random_message(random)
        else:
            data *= random.randrange(1, 40)
    return bytes(data)


def fuzz_membership_view(runs, seed=1):
    """Feeds a view with `runs` corrupted messages; returns their number and how many were dropped, by reason.

    Raises AssertionError at the first message that broke a bound or changed the view's own record.
    """
    random = Random(seed)
    view = MembershipView(
        MemberRecord("me", SERVING, 1, 7, "10.0.0.9:7", "a"), FLEET_NAME, ["10.0.0.1:7"], Random(seed)
    )
    view.start(0)
    now = 0
    for number in range(runs):
        data = _make_corrupted_message(random)
        now += MS
        reply = (view.receive_datagram if random.random() < 0.9 else view.receive_full_view)(now, data)
        assert reply is None or len(reply) < 1 << 20
        if view.due <= now:
            view.tick(now)
        record = view.table.own_record
        assert record.name == "me" and record.state == SERVING and record.life == 7, (
            f"message {number} changed the view's own record"
        )
        assert view.table.has_yielded_name or view.table.records["me"] == record, (
            f"message {number} removed the view's own record"
        )
        assert len(view.outgoing) <= MAX_CAUSED_MESSAGES, (
            f"message {number} caused {len(view.outgoing)} others"
        )
        assert len(view.table.records) <= MAX_MEMBERS and len(view.timers) < 2_000, (
            f"message {number} exceeded a bound"
        )
        view.outgoing.clear()
        view.pending_exchanges.clear()
        view.declared_gone.clear()
    dropped = {name: count for name, count in sorted(view.counters.items()) if name.startswith("dropped_")}
    return {"heard": runs, **dropped}
