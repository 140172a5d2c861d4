"""Asks the other dispatchers what they know of a client's idempotency key. No I/O: the driver sends the
`outgoing` datagrams of the view, passes each KeyReply to `receive_reply`, and calls `tick` when `due`.

Which dispatcher accepted a key is random, so every member of the roster is asked, with one datagram for all
keys gathered meanwhile; only keys of repeated jobs are asked about. One member suffices to learn that a work
item may have run, or finished. To conclude that it never ran, the answers of all members are needed: each one
knows whether the key came to it, and silence proves nothing.

Alternatives and their costs: docs/design/recovery.md."""

from typing import NamedTuple

from heronwinch.fleet.messages import GONE, LEFT, MAX_KEYS_PER_QUERY, KeyQuery
from heronwinch.interface import SECOND

MS = SECOND // 1000
QUERY_GATHER_NS = 10 * MS  # keys that are asked about within this period share a query
QUERY_GATHER_NS_PER_MEMBER = MS // 4  # the period is at least this long per member, as all may ask at once
QUERY_RETRY_NS = 80 * MS  # delay after which silent members are asked once more
QUERY_TIMEOUT_NS = 240 * MS  # delay after which a query ends without the silent members
MAX_PENDING_KEYS = 4096  # further keys get the verdict UNKNOWN at once
NOT_SEEN, SEEN, UNKNOWN = range(3)


class KeyVerdict(NamedTuple):
    """The outcome for a key: `kind` is NOT_SEEN, SEEN or UNKNOWN."""

    kind: int
    status: object = None  # messages.KeyStatus if SEEN, else None


def judge_unreported_key(silent_members, is_unsure):
    """The verdict on a key that no member reported as run: NOT_SEEN only if all answered and are sure."""
    return UNKNOWN if silent_members or is_unsure else NOT_SEEN


class _PendingKey:
    __slots__ = ("digest", "first_seen_at", "callback", "is_unsure", "is_done")

    def __init__(self, digest, first_seen_at, callback):
        self.digest, self.first_seen_at, self.callback = digest, first_seen_at, callback
        self.is_unsure = self.is_done = False


class _Query:
    """A batch of keys, sent in one datagram to each member."""

    __slots__ = ("keys", "awaited_members", "sent_at", "was_resent")

    def __init__(self, keys, members, now):
        self.keys, self.awaited_members, self.sent_at = keys, members, now
        self.was_resent = False


class KeyQueries:
    """Batches, sends, resends and times out the queries of one dispatcher."""

    def __init__(self, view):
        self.view = view
        self.gathered_keys = []
        self.send_at = None
        self.queries = {}  # seq -> _Query
        self.last_seq = 1 << 32  # separate from the sequence numbers of the view's probes

    @property
    def due(self):
        """When `tick` is to be called next; None if nothing is pending."""
        times = [
            query.sent_at + (QUERY_TIMEOUT_NS if query.was_resent else QUERY_RETRY_NS)
            for query in self.queries.values()
        ]
        if self.send_at is not None:
            times.append(self.send_at)
        return min(times, default=None)

    def query_key(self, now, digest, first_seen_at, callback):
        """Queues a key and calls `callback(verdict)` once with the outcome, UNKNOWN if too many are pending.

        `first_seen_at` is the earliest time at which the key can have come to another dispatcher.
        """
        if len(self.gathered_keys) + MAX_KEYS_PER_QUERY * len(self.queries) >= MAX_PENDING_KEYS:
            callback(KeyVerdict(UNKNOWN))
            return
        self.gathered_keys.append(_PendingKey(digest, first_seen_at, callback))
        if self.send_at is None:
            self.send_at = now + max(
                QUERY_GATHER_NS, QUERY_GATHER_NS_PER_MEMBER * self.view.table.present_count
            )

    def tick(self, now):
        """Sends the gathered keys when due, resends to silent members, and times out old queries."""
        if self.send_at is not None and self.send_at <= now:
            self.send_at = None
            keys, self.gathered_keys = self.gathered_keys, []
            for i in range(0, len(keys), MAX_KEYS_PER_QUERY):
                self._start_query(now, keys[i : i + MAX_KEYS_PER_QUERY])
        for seq, query in list(self.queries.items()):
            if now >= query.sent_at + QUERY_TIMEOUT_NS:
                self._close_query(seq, query)
            elif not query.was_resent and now >= query.sent_at + QUERY_RETRY_NS:
                query.was_resent = True
                self._send_query(seq, query)

    def _list_askable_members(self):
        """Records, by name, of the members that may have accepted work. One that is gone may be alive beyond
        a network cut."""
        table = self.view.table
        return {
            record.name: record
            for record in table.records.values()
            if record.name != table.own_record.name and record.state != LEFT
        }

    def _start_query(self, now, keys):
        self.last_seq += 1
        query = self.queries[self.last_seq] = _Query(keys, set(self._list_askable_members()), now)
        self._send_query(self.last_seq, query)
        if not query.awaited_members:
            self._close_query(self.last_seq, query)

    def _send_query(self, seq, query):
        members = self._list_askable_members()
        for name in sorted(query.awaited_members):
            record = members.get(name)
            if record is None:
                query.awaited_members.discard(name)  # the member has left meanwhile, with no open work items
            elif record.state != GONE:
                self.view.send_message(record.host, KeyQuery, seq, [key.digest for key in query.keys])

    def receive_reply(self, now, message):
        """Takes a KeyReply; ignores a late or repeated one."""
        query = self.queries.get(message.seq)
        if query is None or message.own.name not in query.awaited_members:
            return
        query.awaited_members.discard(message.own.name)
        statuses = {status.index: status for status in message.marks}
        for i, key in enumerate(query.keys):
            status = statuses.get(i)
            if status is not None and (status.ran or status.result is not None):
                self._report_verdict(key, KeyVerdict(SEEN, status))
            elif status is not None or now - key.first_seen_at > message.since:
                # The work item is open at that member and may be handed off any moment, or the key may have
                # come before the period that the member remembers.
                key.is_unsure = True
        members = self._list_askable_members()
        if all(name not in members or members[name].state == GONE for name in query.awaited_members):
            self._close_query(message.seq, query)  # no further reply can come

    def _close_query(self, seq, query):
        del self.queries[seq]
        silent_members = query.awaited_members & set(self._list_askable_members())
        for key in query.keys:
            self._report_verdict(key, KeyVerdict(judge_unreported_key(silent_members, key.is_unsure)))

    @staticmethod
    def _report_verdict(key, verdict):
        if not key.is_done:
            key.is_done = True
            key.callback(verdict)
