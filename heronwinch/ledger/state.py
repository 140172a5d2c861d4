"""The state that the records of the write-ahead log add up to. A state machine without I/O: the same records
always give the same state, and `snapshot` gives records that reproduce it.

The state answers two questions: which work items were open when the log ended, and what is known of a
client's key. What is then done with a work item is decided elsewhere (recovery/open_items.py, policy.py)."""

from hashlib import blake2b
from heapq import heapify, heappop, heappush
from typing import NamedTuple

import msgspec

from heronwinch.interface import NEVER_RAN, SECOND, Outcome
from heronwinch.ledger.records import (
    FINISHED,
    AcceptedItem,
    FinalAnswer,
    HandOffIntent,
    HandOffOutcome,
    OrderlyStop,
    ProcessStart,
    RecordError,
    RosterSnapshot,
    RunningTimes,
    decode_record,
)

# Minimum time for which an ended work item is kept; longer if the window of its category or the time that its
# client gave it is longer.
MIN_ITEM_RETENTION_NS = 60 * SECOND
UNKNOWN_HOST = "-"  # the host of a hand-off whose record is missing
MAX_ENDED_ITEMS = 200_000  # above this number, the ended work items due first are forgotten early


def digest_client_key(category, ticket):
    """Returns the name of a client's key between dispatchers: long enough that two keys never collide by
    chance."""
    return blake2b(category.encode() + b"\0" + ticket, digest_size=12).digest()


class RecordedHandOff:
    """A hand-off of a work item, as far as the log tells."""

    __slots__ = ("host", "area", "pod", "began_at", "outcome")

    def __init__(self, intent):
        self.host, self.area, self.pod, self.began_at = intent.host, intent.area, intent.pod, intent.when
        self.outcome = 0  # an interface.Outcome, 0 while none is recorded

    @property
    def may_have_run(self):
        return self.outcome not in NEVER_RAN


class RecordedItem:
    """A work item with its hand-offs and its final answer, None while it is open."""

    __slots__ = ("accepted", "hand_offs", "final_answer")

    def __init__(self, accepted):
        self.accepted = accepted
        self.hand_offs = []
        self.final_answer = None

    @property
    def first_possible_run(self):
        """The first hand-off of the work item that may have run, None if it provably never ran."""
        return next((hand_off for hand_off in self.hand_offs if hand_off.may_have_run), None)


class KeyHistory(NamedTuple):
    """What is known of a client's key.

    `first_possible_run` is the first hand-off that may have run, `result` the result of work that finished,
    `open_item` the work item that is still open. All are None if the work provably never ran or the key never
    came to this dispatcher."""

    first_possible_run: RecordedHandOff | None = None
    result: bytes | None = None
    open_item: RecordedItem | None = None

    @property
    def is_empty(self):
        return self.first_possible_run is None and self.result is None and self.open_item is None


class LedgerState:
    """The state after all records so far.

    `repeat_windows_ns` tells for each category how long workers recognize a repeated key."""

    def __init__(self, repeat_windows_ns=()):
        self.repeat_windows_ns = dict(repeat_windows_ns)
        self.process_start = None  # ProcessStart of the last process that wrote
        self.stopped_orderly = False  # whether that process recorded an orderly stop
        self.items_by_id = {}  # id -> RecordedItem
        self.open_items = {}  # id -> RecordedItem without a final answer
        self.item_ids_by_key = {}  # digest of a client's key -> ids of work items, oldest first
        self.forget_heap = []  # heap of (time from which it may be forgotten, id)
        self.running_times = ()  # RunningTimes.runs as last recorded
        self.running_times_at = 0  # when the running times were recorded
        self.roster_rows = ()  # RosterSnapshot.rows as last recorded
        self.last_record_at = 0  # the latest time in any record

    # ---- applying records

    def apply(self, record):
        """Applies one record. Raises RecordError and changes nothing if it contradicts those before it."""
        apply_method = self._appliers.get(type(record))
        if apply_method is None:
            raise RecordError(f"not a record: {record!r}")
        apply_method(self, record)
        self.last_record_at = max(self.last_record_at, getattr(record, "when", getattr(record, "now", 0)))

    def replay(self, rows):
        """Applies rows in order up to the first that is faulty. Returns how many were applied, and what is
        wrong with the next one ("" if nothing is)."""
        for number, row in enumerate(rows):
            try:
                self.apply(decode_record(row))
            except RecordError as error:
                return number, f"row {number + 1}: {error}"
        return len(rows), ""

    def _apply_process_start(self, record):
        self.process_start, self.stopped_orderly = record, False

    def _apply_orderly_stop(self, record):
        if self.open_items:
            raise RecordError(f"orderly stop with {len(self.open_items)} work items open")
        self.stopped_orderly = True

    def _apply_accepted_item(self, record):
        if record.id in self.items_by_id:
            raise RecordError(f"{record.id!r} was accepted twice")
        item = self.items_by_id[record.id] = self.open_items[record.id] = RecordedItem(record)
        if record.mark is not None:
            # The mark is a field of the work item's record rather than a record of its own: after a crash,
            # one of two records could be on the disk without the other, as `check recovery` found.
            host, area, pod, began_at = record.mark
            marked = RecordedHandOff(HandOffIntent(record.id, 0, began_at, host, area, pod))
            marked.outcome = Outcome.STALE
            item.hand_offs.append(marked)
        if record.ticket:
            self.item_ids_by_key.setdefault(digest_client_key(record.category, record.ticket), []).append(
                record.id
            )

    def _require_item(self, id):
        item = self.items_by_id.get(id)
        if item is None:
            raise RecordError(f"{id!r} was never accepted")
        return item

    def _apply_hand_off_intent(self, record):
        item = self._require_item(record.id)
        if record.number != len(item.hand_offs) or item.final_answer is not None:
            raise RecordError(f"hand-off {record.number} of {record.id!r} does not follow")
        item.hand_offs.append(RecordedHandOff(record))

    def _apply_hand_off_outcome(self, record):
        item = self._require_item(record.id)
        if not 0 <= record.number < len(item.hand_offs) or item.hand_offs[record.number].outcome:
            raise RecordError(f"the end of hand-off {record.number} of {record.id!r} does not follow")
        item.hand_offs[record.number].outcome = record.outcome

    def _apply_final_answer(self, record):
        item = self._require_item(record.id)
        if item.final_answer is not None:
            raise RecordError(f"{record.id!r} was answered twice")
        item.final_answer = record
        del self.open_items[record.id]
        self._schedule_forgetting(item)

    def _schedule_forgetting(self, item):
        accepted = item.accepted
        retention = max(
            MIN_ITEM_RETENTION_NS, accepted.given, self.repeat_windows_ns.get(accepted.category, 0)
        )
        last_used_at = max([item.final_answer.when, *(hand_off.began_at for hand_off in item.hand_offs)])
        heappush(self.forget_heap, (last_used_at + retention, accepted.id))

    def _apply_running_times(self, record):
        self.running_times, self.running_times_at = tuple(map(tuple, record.runs)), record.when

    def _apply_roster_snapshot(self, record):
        self.roster_rows = tuple(record.rows)

    _appliers = {
        ProcessStart: _apply_process_start,
        AcceptedItem: _apply_accepted_item,
        HandOffIntent: _apply_hand_off_intent,
        HandOffOutcome: _apply_hand_off_outcome,
        FinalAnswer: _apply_final_answer,
        RunningTimes: _apply_running_times,
        OrderlyStop: _apply_orderly_stop,
        RosterSnapshot: _apply_roster_snapshot,
    }

    # ---- retention and corrections

    def prune(self, now):
        """Forgets ended work items whose retention is over."""
        while self.forget_heap and (self.forget_heap[0][0] <= now or len(self.forget_heap) > MAX_ENDED_ITEMS):
            _, id = heappop(self.forget_heap)
            item = self.items_by_id.pop(id)
            key_digest = digest_client_key(item.accepted.category, item.accepted.ticket)
            if id in (ids := self.item_ids_by_key.get(key_digest, ())):
                ids.remove(id)
                if not ids:
                    del self.item_ids_by_key[key_digest]

    def mark_times_unknown(self, now):
        """Discards all times, as they cannot be compared with `now`: hand-offs count as made long ago, open
        work items as expired."""
        for item in self.items_by_id.values():
            for hand_off in item.hand_offs:
                hand_off.began_at = 0
            item.accepted = msgspec.structs.replace(item.accepted, when=0)
            if item.final_answer is not None:
                item.final_answer = msgspec.structs.replace(item.final_answer, when=now)
        self.forget_heap = [
            (now + MIN_ITEM_RETENTION_NS, id)
            for id, item in self.items_by_id.items()
            if item.final_answer is not None
        ]
        self.running_times_at = 0
        self.last_record_at = now

    def mark_rows_missing(self):
        """Takes into account that rows are missing: any open work item may have run, at an unknown time and
        on an unknown worker. Guards against a fault that `check recovery` found: the second of two hand-offs
        was missing, and a repeat went to the group of the first."""
        for item in self.open_items.values():
            if item.first_possible_run is None:
                missing = RecordedHandOff(
                    HandOffIntent(item.accepted.id, len(item.hand_offs), 0, UNKNOWN_HOST)
                )
                missing.outcome = Outcome.STALE
                item.hand_offs.append(missing)
            for hand_off in item.hand_offs:
                hand_off.began_at = 0

    def shift_times(self, offset):
        """Adds `offset` nanoseconds to all times, to convert them to another clock."""
        for item in self.items_by_id.values():
            for hand_off in item.hand_offs:
                hand_off.began_at += offset
            item.accepted = msgspec.structs.replace(item.accepted, when=item.accepted.when + offset)
            if item.final_answer is not None:
                item.final_answer = msgspec.structs.replace(
                    item.final_answer, when=item.final_answer.when + offset
                )
        self.forget_heap = [(when + offset, id) for when, id in self.forget_heap]
        heapify(self.forget_heap)
        self.running_times_at += offset
        self.last_record_at += offset

    # ---- queries

    def find_key_history(self, key_digest):
        """Returns the KeyHistory of a client's key, given its digest."""
        earliest = result = open_item = None
        for id in self.item_ids_by_key.get(key_digest, ()):
            item = self.items_by_id[id]
            run = item.first_possible_run
            if run is not None and (earliest is None or run.began_at < earliest.began_at):
                earliest = run
            if item.final_answer is None:
                open_item = item
            elif item.final_answer.how == FINISHED:
                result = item.final_answer.result
        return KeyHistory(earliest, result, open_item)

    def list_open_items(self):
        """Lists work items without a final answer, in the order in which they were accepted."""
        return list(self.open_items.values())

    def snapshot(self):
        """Yields records that reproduce this state."""
        if self.process_start is not None:
            yield self.process_start
        if self.running_times:
            yield RunningTimes(self.running_times_at, [tuple(run) for run in self.running_times])
        if self.roster_rows:
            yield RosterSnapshot(self.last_record_at, list(self.roster_rows))
        for item in self.items_by_id.values():
            first_number = 0
            if item.accepted.mark is not None:
                first_number, hand_off = 1, item.hand_offs[0]
                item.accepted = msgspec.structs.replace(
                    item.accepted, mark=(hand_off.host, hand_off.area, hand_off.pod, hand_off.began_at)
                )
            yield item.accepted
            for number, hand_off in enumerate(item.hand_offs[first_number:], first_number):
                yield HandOffIntent(
                    item.accepted.id, number, hand_off.began_at, hand_off.host, hand_off.area, hand_off.pod
                )
                if hand_off.outcome:
                    yield HandOffOutcome(item.accepted.id, number, hand_off.outcome)
            if item.final_answer is not None:
                yield item.final_answer
        if self.stopped_orderly:
            yield OrderlyStop(self.last_record_at)
