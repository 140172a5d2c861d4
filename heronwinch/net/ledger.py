"""Keeps the write-ahead log of a dispatcher: it records work items that may not simply run again, resumes
them after a restart, and asks other dispatchers about repeated keys. Imported only if the configuration has a
section `ledger`.

Records are written in the order of the events, and all that have gathered go into one commit. A hand-off
waits until its intent is durable, an answer until its record is. A work item that the module gives up while
the disk fails is still answered, but with a write-off, which promises nothing."""

import asyncio

import msgspec
import structlog

from heronwinch import interface
from heronwinch.fleet.key_queries import SEEN, UNKNOWN, KeyQueries
from heronwinch.fleet.messages import LEFT as MEMBER_LEFT
from heronwinch.fleet.messages import KeyReply, KeyStatus, MemberRecord
from heronwinch.ledger.downtime import limit_carried_samples, measure_downtime
from heronwinch.ledger.records import (
    CLIENT_LEFT,
    DEFERRED,
    FINISHED,
    WRITTEN_OFF,
    AcceptedItem,
    FinalAnswer,
    HandOffIntent,
    HandOffOutcome,
    OrderlyStop,
    ProcessStart,
    RosterSnapshot,
    RunningTimes,
    encode_record,
)
from heronwinch.ledger.state import KeyHistory, LedgerState, digest_client_key
from heronwinch.ledger.store import StoreError, StoreIOError
from heronwinch.protocol.clients import Job
from heronwinch.protocol.discovery import ListedWorker
from heronwinch.protocol.handover import ClientState, HandOffState
from heronwinch.protocol.workers import Completion
from heronwinch.recovery.open_items import RESUME, decide_open_item

log = structlog.get_logger()

OPEN_TIMEOUT_SECONDS = 5.0  # limit for reading the store; after it service begins without the ledger
SLOW_COMMIT_SECONDS = 0.25  # while a commit takes longer, new work that needs the disk is deferred
# Interval of attempts to write to a disk that has failed; also the come-back time of work deferred meanwhile.
DISK_RETRY_SECONDS = 1.0
RUNNING_TIMES_INTERVAL_SECONDS = 1.0  # interval of records of the learned running times
COMPACTION_SLACK_ROWS = 4096  # rows beyond twice what the state needs before the store is compacted
STOP_TIMEOUT_SECONDS = 0.3  # limit for writing the last record at a graceful shutdown
MAX_RESULT_BYTES_PER_REPLY = 900  # bytes of results in one datagram, less KEY_STATUS_BYTES for each key
KEY_STATUS_BYTES = 90  # bytes of a KeyStatus without its result
UNLISTED_ADDRESS = ("0.0.0.0", 9)  # stands for the address of a worker on no list; nothing is sent there


decode_member_record = msgspec.msgpack.Decoder(MemberRecord).decode


class NotDurableError(Exception):
    """A record could not be made durable in time, or the disk has failed."""


class AbsentClient:
    """Stands for the client of a resumed work item, whose connection is gone: drops every answer."""

    item = None

    def has_unread_input(self):
        return False

    def finish(self, result):
        pass

    def defer(self, come_back):
        pass

    def write_off(self):
        pass


class Ledger:
    """The write-ahead log of one dispatcher. `config` is its whole configuration, with a section `ledger`."""

    def __init__(self, config, machine, engine, workers, counters):
        self.config, self.machine, self.engine, self.workers, self.counters = (
            config,
            machine,
            engine,
            workers,
            counters,
        )
        self.loop = asyncio.get_running_loop()
        self.store = machine.make_ledger_disk(config.ledger.path)
        self.state = LedgerState(self._list_repeat_windows())
        self.engine_items_by_id = {}  # id -> the engine's item while it is open
        # (item number, hand-off number of the engine) -> number of the hand-off in the log
        self.hand_off_numbers = {}
        # Rows for the next commit; (number of records that have to be durable, future).
        self.pending_rows, self.durability_waiters = [], []
        self.recorded_count = self.durable_count = self.stored_row_count = 0
        self.commit_began_at = None  # event loop time, None while no commit is under way
        self.buffers_rows = True  # whether new records go into pending_rows, not only into the state
        self.is_complete = True  # whether no row of an earlier process is missing or damaged
        # The disk has failed: all rows are written again before any further record counts as durable.
        self.has_failed = False
        self.write_task = None
        self.is_closed = False
        self.complete_since = 0  # every work item accepted from this time on is recorded
        self.downtime = None  # ledger.downtime.Downtime, None after a first start
        self.is_recovering = False  # whether the last process ended without an orderly stop
        self.fleet = self.key_queries = self.query_timer = None
        self.recorded_members = None  # (name, life) of the members in the last RosterSnapshot

    def _list_repeat_windows(self):
        """Returns, by category path, for how many nanoseconds workers recognize a repeated key."""
        categories = self.engine.terms.categories
        return {path: categories[number].window for path, number in self.engine.category_numbers.items()}

    # ---- recovery

    async def open(self):
        """Reads the records of the last process and compacts the store. Raises StoreError if the store is
        in use or belongs to another dispatcher."""
        self.complete_since = self.machine.now()
        clock = self.machine.read_clock()
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
                contents = await self.store.open()
        except (TimeoutError, StoreIOError) as error:
            # Any work item in the store may have run. Without the store only work from now on is known.
            self._record_process_start(clock, self.complete_since)
            self._handle_disk_failure(error)
            self._start_writing()
            return
        _, damage = self.state.replay(contents.rows)
        damage = damage or contents.damage
        last_start, fleet = self.state.process_start, self._get_fleet_name()
        if last_start is not None and (last_start.name, last_start.fleet) != (self.config.name, fleet):
            raise StoreError(
                f"{self.config.ledger.path}: kept by {last_start.name} of fleet {last_start.fleet or '-'}, "
                f"this is {self.config.name} of {fleet or '-'}; give each dispatcher its own"
            )
        self._adjust_replayed_state(last_start, clock, damage)
        self._record_process_start(clock, self.complete_since)
        rows = [encode_record(record) for record in self.state.snapshot()]
        try:
            async with asyncio.timeout(OPEN_TIMEOUT_SECONDS):
                await (self.store.start_new_file(rows) if damage else self.store.rewrite(rows))
            self.stored_row_count = len(rows)
        except (StoreIOError, TimeoutError) as error:
            self._handle_disk_failure(error)
            self._start_writing()
        for id in list(self.state.items_by_id):  # a request that reuses an id is a different one
            self.engine.recent_ids.release(id)

    def _get_fleet_name(self):
        return self.config.fleet.name if self.config.fleet is not None else ""

    def _record_process_start(self, clock, since):
        self.state.apply(
            ProcessStart(
                self.config.name, self._get_fleet_name(), clock.boot_id, clock.uptime, clock.now, since=since
            )
        )

    def _adjust_replayed_state(self, last_start, clock, damage):
        """Corrects the replayed state for the downtime and for missing rows."""
        if last_start is None and not damage:
            log.info("ledger_created", path=self.config.ledger.path)
            return
        downtime = (
            measure_downtime(last_start, self.state.last_record_at, clock) if last_start is not None else None
        )
        self.downtime, self.is_recovering = downtime, not self.state.stopped_orderly or bool(damage)
        if downtime is not None and downtime.is_exact:
            self.state.shift_times(downtime.clock_offset)
        else:
            self.state.mark_times_unknown(clock.now)
        if damage:
            self.state.mark_rows_missing()
            # The missing rows may hold the intent of any hand-off, so no open work item provably never ran.
            log.error(
                "ledger_damaged",
                path=self.config.ledger.path,
                damage=damage,
                items_kept=len(self.state.items_by_id),
            )
        elif downtime.is_exact:
            self.complete_since = last_start.since + downtime.clock_offset
        self.is_complete = not damage
        self.state.prune(clock.now)
        log.info(
            "ledger_read",
            open_items=len(self.state.open_items),
            items=len(self.state.items_by_id),
            exact_downtime=bool(downtime and downtime.is_exact),
            stopped_orderly=self.state.stopped_orderly,
            downtime_seconds=None
            if downtime is None or downtime.duration is None
            else round(downtime.duration / interface.SECOND, 3),
        )

    def make_running_times_event(self):
        """Returns the event that tells the module the recorded running times, None if there are none."""
        if self.downtime is None or not self.state.running_times:
            return None
        names = self.config.names.categories
        rows = tuple(
            (names.index(name), mean, likely, limit_carried_samples(sample_count, self.downtime))
            for name, mean, likely, sample_count in self.state.running_times
            if name in names
        )
        return interface.LearnedRunTimes(rows) if rows else None

    def settle_open_items(self):
        """Resumes each open work item that has not expired and is not in doubt, and ends the others. Returns
        how many were resumed."""
        now, resumed_count = self.machine.now(), 0
        category_numbers, categories = self.engine.category_numbers, self.engine.terms.categories
        for recorded_item in self.state.list_open_items():
            accepted = recorded_item.accepted
            effect = (
                categories[category_numbers[accepted.category]].effect
                if accepted.category in category_numbers
                else None
            )
            decision = decide_open_item(recorded_item, now, self.is_complete, effect)
            if decision is not RESUME:
                self.append_record(FinalAnswer(accepted.id, now, decision))
                continue
            for number, hand_off in enumerate(recorded_item.hand_offs):
                if not hand_off.outcome:  # the process went down before the hand-off ended
                    self.append_record(HandOffOutcome(accepted.id, number, interface.Outcome.STALE))
            self._resume_item(recorded_item, now)
            resumed_count += 1
        if self.is_recovering:
            log.info("ledger_items_resumed", count=resumed_count)
        return resumed_count

    def _resume_item(self, recorded_item, now):
        accepted = recorded_item.accepted
        job = Job(
            accepted.id,
            accepted.target,
            accepted.ticket or None,
            accepted.body,
            accepted.category,
            accepted.key,
            None,
            accepted.slots,
            accepted.memory,
            accepted.repeated,
        )
        hand_offs = [
            HandOffState(hand_off.host, max(0, now - hand_off.began_at), hand_off.outcome)
            for hand_off in recorded_item.hand_offs
        ]
        if hand_offs:  # the outcome is reported below, and the module decides what follows
            hand_offs[-1] = hand_offs[-1]._replace(outcome=0)
        item = self.engine.resume_item(
            ClientState(
                0,
                job=job,
                age=now - accepted.when,
                given=accepted.given,
                hand_offs=tuple(hand_offs),
                hosts=tuple(_make_unlisted_worker(hand_off) for hand_off in recorded_item.hand_offs),
            ),
            AbsentClient(),
            None,
        )
        item.in_ledger = True
        self.engine_items_by_id[accepted.id] = item
        if hand_offs:
            # Neither outcome counts against the worker: it was the dispatcher that went down.
            outcome = (
                interface.Outcome.STALE
                if recorded_item.hand_offs[-1].may_have_run
                else interface.Outcome.MOOT
            )
            item.in_flight = 1
            worker = self.workers.by_host[recorded_item.hand_offs[-1].host].number
            self.engine.record_outcome(item, len(hand_offs) - 1, worker, Completion(outcome), 0)

    # ---- writing

    @property
    def is_available(self):
        """Whether work that needs the disk can be accepted."""
        return not self.has_failed and (
            self.commit_began_at is None or self.loop.time() - self.commit_began_at < SLOW_COMMIT_SECONDS
        )

    def append_record(self, record):
        """Applies a record to the state at once, and queues it for the next commit."""
        self.state.apply(record)
        self.recorded_count += 1
        if self.buffers_rows:
            self.pending_rows.append(encode_record(record))
        self._start_writing()

    async def wait_until_durable(self, timeout_seconds):
        """Waits until all records so far are durable. Raises NotDurableError if the disk fails or the time is
        over."""
        if self.durable_count >= self.recorded_count and not self.has_failed:
            return
        if self.has_failed:
            raise NotDurableError
        future = self.loop.create_future()
        self.durability_waiters.append((self.recorded_count, future))
        try:
            async with asyncio.timeout(max(0.0, timeout_seconds)):
                await future
        except TimeoutError:
            raise NotDurableError from None

    def _start_writing(self):
        if self.write_task is None and not self.is_closed:
            self.write_task = self.loop.create_task(self._write_pending())
            self.write_task.add_done_callback(self._on_write_task_done)

    def _on_write_task_done(self, task):
        self.write_task = None
        if not task.cancelled() and task.exception() is not None:
            if self.counters.count("ledger_fault"):
                log.error("ledger_fault", exc_info=task.exception())
            self._handle_disk_failure(task.exception())

    async def _write_pending(self):
        """Commits until all records are durable, or compacts the store where it has grown or has failed."""
        while self.durable_count < self.recorded_count or self.has_failed:
            target_count = self.recorded_count
            must_rewrite = (
                self.has_failed
                or self.stored_row_count > 2 * self._estimate_needed_rows() + COMPACTION_SLACK_ROWS
            )
            if must_rewrite:
                self.state.prune(self.machine.now())
                rows = [encode_record(record) for record in self.state.snapshot()]
                self.pending_rows.clear()
                self.buffers_rows = True  # records that come during this commit go into the next one
            else:
                rows, self.pending_rows = self.pending_rows, []
            self.commit_began_at = self.loop.time()
            try:
                await (self.store.rewrite(rows) if must_rewrite else self.store.append(rows))
            except StoreIOError as error:
                self._handle_disk_failure(error)
                await asyncio.sleep(DISK_RETRY_SECONDS)
                continue
            finally:
                self.commit_began_at = None
            if self.has_failed:
                self.has_failed = False
                log.info("ledger_recovered")
            self.stored_row_count = len(rows) + (0 if must_rewrite else self.stored_row_count)
            self.durable_count = target_count
            while self.durability_waiters and self.durability_waiters[0][0] <= target_count:
                _, future = self.durability_waiters.pop(0)
                if not future.done():
                    future.set_result(None)

    def _estimate_needed_rows(self):
        """Returns how many rows a compacted store holds: about four records for each work item."""
        return 4 * len(self.state.items_by_id)

    def _handle_disk_failure(self, error):
        """Schedules a rewrite of all rows, and fails all waits for a commit."""
        if not self.has_failed:
            log.error("ledger_failed", why=str(error) or type(error).__name__)
        self.counters.count("ledger_failed")
        self.has_failed, self.buffers_rows = True, False
        self.pending_rows.clear()
        waiters, self.durability_waiters = self.durability_waiters, []
        for _, future in waiters:
            if not future.done():
                future.set_exception(NotDurableError())

    # ---- calls of the engine

    def admit_item(self, item, category):
        """Takes a work item that may not simply run again. The decision is made in the next event loop turn,
        as the client connection refers to the item only after this call."""
        self.loop.call_soon(self._decide_admission, item, category)

    def _decide_admission(self, item, category):
        """Answers the work item, attaches its client to an earlier one with the same key, asks other
        dispatchers about the key, or forwards it to the module."""
        if item.ended:
            return
        if not self.is_available:
            self.counters.count("ledger_deferred")
            self._defer_item(item)
            return
        job = item.job
        history = (
            self.state.find_key_history(digest_client_key(job.category, job.ticket))
            if job.ticket
            else KeyHistory()
        )
        if history.result is not None:
            self.engine.answer_directly(item, interface.Outcome.OK, history.result)
        elif history.open_item is not None and history.open_item.accepted.id in self.engine_items_by_id:
            self._reattach_client(item, self.engine_items_by_id[history.open_item.accepted.id])
        elif history.first_possible_run is not None:
            self._forward_item(
                item,
                category,
                history.first_possible_run,
                self._compute_hand_off_age(history.first_possible_run),
            )
        elif job.ticket and job.repeated and self._must_ask_members(item, category):
            first_request_at = self.machine.now() - self._estimate_max_request_age(item, category)
            if first_request_at < self.complete_since:
                # The records of what this dispatcher itself accepted at that time are lost.
                self._forward_unclear_item(item, category)
                return
            if self.key_queries is None:
                self._forward_item(item, category)  # there are no other dispatchers to ask
                return
            self.key_queries.query_key(
                self.machine.now(),
                digest_client_key(job.category, job.ticket),
                first_request_at,
                lambda verdict: self._handle_key_verdict(item, category, verdict),
            )
            self._set_query_timer()
        else:
            self._forward_item(item, category)

    def _estimate_max_request_age(self, item, category):
        """Returns the greatest possible age of the first request with this key; nanoseconds."""
        expiry = self.engine.terms.categories[category].expiry
        elapsed = expiry - item.initial_time_left
        return elapsed if elapsed > expiry // 20 else expiry

    def _must_ask_members(self, item, category):
        """Whether other dispatchers have to be asked about the key. Not where all workers recognize a
        repeated key for as long as this work item may run: it may then go to any worker, whoever had it
        before."""
        category_terms = self.engine.terms.categories[category]
        return (
            category_terms.group != interface.Group.ALL
            or category_terms.window < self._estimate_max_request_age(item, category) + item.initial_time_left
        )

    def _compute_hand_off_age(self, hand_off):
        return max(0, self.machine.now() - hand_off.began_at)

    def _forward_item(self, item, category, first_possible_run=None, age=0):
        """Records the work item as accepted and forwards it to the module. With `first_possible_run`, a
        hand-off `age` nanoseconds ago, the module is told that it may have run there."""
        if item.ended:
            return
        job = item.job
        # The time left has shrunk while other dispatchers were asked.
        arrived = self.engine.make_arrived_event(item, category)._replace(
            time_left=max(0, item.expiry - self.machine.now())
        )
        # A hand-off that another dispatcher reported is recorded like an own one. Without the record, this
        # dispatcher took the work item after a restart for one that had never begun, and sent it to another
        # group, as `check recovery` found.
        mark = (
            None
            if first_possible_run is None
            else (
                first_possible_run.host,
                first_possible_run.area,
                first_possible_run.pod,
                max(0, self.machine.now() - age),
            )
        )
        self.append_record(
            AcceptedItem(
                job.id,
                item.accepted_at,
                item.initial_time_left,
                job.category,
                int(item.effect),
                job.target,
                job.ticket or b"",
                job.body,
                job.key,
                job.slots,
                job.memory,
                job.repeated,
                mark,
            )
        )
        item.in_ledger = True
        self.engine_items_by_id[job.id] = item
        if first_possible_run is None:
            self.engine.post(arrived)
            return
        if (
            event := self.workers.add_unlisted_workers((_make_unlisted_worker(first_possible_run),))
        ) is not None:
            self.engine.post(event)
        worker = self.workers.by_host[first_possible_run.host].number
        item.outcomes, item.sent_to = [interface.Outcome.STALE], [(worker, self.machine.now() - age)]
        self.engine.post(
            interface.InheritedWorkItem(
                arrived, 0, (interface.InheritedHandOff(worker, age, int(interface.Outcome.STALE)),)
            )
        )

    def _reattach_client(self, item, open_item):
        """Attaches the client of `item`, which repeats the request of `open_item` on a new connection, to
        `open_item`, and drops `item`. A client that still waits on the former connection gets a
        write-off."""
        client, former_client = item.client, open_item.client
        self.engine.forget_superseded(item)
        open_item.client, client.item = client, open_item
        self.engine.change_expiry(open_item, item.expiry)
        if former_client is not None:
            former_client.write_off()
        self.counters.count("taken_over")

    def _defer_item(self, item):
        self.engine.answer_directly(
            item, interface.Defer(item.number, int(DISK_RETRY_SECONDS * interface.SECOND))
        )

    async def record_intent(self, item, number, worker, timeout_seconds):
        """Records the intent of a hand-off; returns whether it is durable and the hand-off may go out."""
        recorded_item = self.state.items_by_id.get(item.job.id)
        if recorded_item is None or recorded_item.final_answer is not None or self.has_failed:
            return False
        listed = self.workers.make_listed_worker(worker)
        recorded_number = self.hand_off_numbers[item.number, number] = len(recorded_item.hand_offs)
        self.append_record(
            HandOffIntent(
                item.job.id, recorded_number, self.machine.now(), listed.host, listed.area, listed.pod
            )
        )
        try:
            # After a longer wait the hand-off would rest on an outdated choice of its worker: a repeat window
            # or a load report of an earlier time.
            await self.wait_until_durable(min(timeout_seconds, 2 * SLOW_COMMIT_SECONDS))
        except NotDurableError:
            return False
        return True

    def record_hand_off_outcome(self, item, number, outcome):
        recorded_number = self.hand_off_numbers.pop((item.number, number), None)
        # A work item that ended long ago is no longer in the state.
        if recorded_number is not None and item.job.id in self.state.items_by_id:
            self.append_record(HandOffOutcome(item.job.id, recorded_number, int(outcome)))

    def record_final_answer(self, item, answer, result, client):
        """Records the final answer to a work item, and sends it to the client once the record is durable."""
        self.engine_items_by_id.pop(item.job.id, None)
        how = (
            CLIENT_LEFT
            if answer is None
            else FINISHED
            if answer == interface.Outcome.OK
            else (DEFERRED if type(answer) is interface.Defer else WRITTEN_OFF)
        )
        self.append_record(
            FinalAnswer(item.job.id, self.machine.now(), how, result if how == FINISHED else b"")
        )
        if how != CLIENT_LEFT and type(client) is not AbsentClient:
            task = self.loop.create_task(self._answer_once_durable(item, answer, result, client))
            self.engine.track_held_answer(task)

    async def _answer_once_durable(self, item, answer, result, client):
        try:
            await self.wait_until_durable((item.expiry - self.machine.now()) / interface.SECOND)
        except NotDurableError:
            if type(answer) is interface.Defer:
                # Without the record a restart would resume the work item. A deferral promises that it never
                # runs; a write-off does not.
                answer = interface.WriteOff(item.number)
        self.engine.send_held_answer(item, client, answer, result)

    # ---- other dispatchers

    def join_fleet(self, fleet):
        """Restores the recorded members; from then on other dispatchers are asked and answered about keys."""
        self.fleet, self.key_queries = fleet, KeyQueries(fleet.view)
        fleet.ledger = self
        fleet.view.accepts_key_messages = True
        members = []
        for data in self.state.roster_rows:
            try:
                members.append(decode_member_record(data))
            except msgspec.MsgspecError:
                self.counters.count("ledger_roll")  # in a format that this version does not know
        fleet.view.restore_members(self.machine.now(), members)

    def record_roster(self, table):
        """Records the members of a changed view, so that after a restart all who may know a key are asked."""
        encoded_records = tuple(
            msgspec.msgpack.encode(record) for record in table.records.values() if record.state != MEMBER_LEFT
        )
        members = {
            (record.name, record.life) for record in table.records.values() if record.state != MEMBER_LEFT
        }
        if members != self.recorded_members:
            self.recorded_members = members
            self.append_record(RosterSnapshot(self.machine.now(), list(encoded_records)))

    def _set_query_timer(self):
        """Sets the timer for the next action of the key queries."""
        if self.query_timer is not None:
            self.query_timer.cancel()
            self.query_timer = None
        due_at = self.key_queries.due
        if due_at is not None and not self.is_closed:
            self.query_timer = self.loop.call_later(
                max(0, due_at - self.machine.now()) / interface.SECOND, self._handle_query_timer
            )

    def _handle_query_timer(self):
        self.query_timer = None
        self.key_queries.tick(self.machine.now())
        self.fleet.flush_output()
        self._set_query_timer()

    def handle_key_reply(self, message):
        self.key_queries.receive_reply(self.machine.now(), message)
        self._set_query_timer()

    def _handle_key_verdict(self, item, category, verdict):
        if item.ended:
            return
        if verdict.kind == SEEN and verdict.status.result is not None:
            self.engine.answer_directly(item, interface.Outcome.OK, verdict.status.result)
        elif verdict.kind == SEEN:
            status = verdict.status
            self._forward_item(
                item, category, HandOffIntent(b"", 0, 0, status.host, status.area, status.pod), status.age
            )
        elif verdict.kind == UNKNOWN:
            self._forward_unclear_item(item, category)
        else:
            self._forward_item(item, category)

    def _forward_unclear_item(self, item, category):
        """Forwards a work item to the module as one that may have run at an unknown worker."""
        self.counters.count("unclear")
        self.engine.post(self.engine.make_arrived_event(item, category)._replace(unclear=True))

    def answer_key_query(self, message):
        """Answers another dispatcher that asks what is known of its clients' keys."""
        now, statuses = self.machine.now(), []
        result_bytes_left = MAX_RESULT_BYTES_PER_REPLY - KEY_STATUS_BYTES * len(message.keys)
        for i, key_digest in enumerate(message.keys):
            history = self.state.find_key_history(key_digest)
            if history.is_empty:
                continue
            result = history.result
            if result is not None and len(result) > result_bytes_left:
                result = None
            result_bytes_left -= len(result or b"")
            # The present hand-off of an open work item may turn out never to have run, and the item may then
            # go elsewhere, so other dispatchers must not rely on its place. Found by `check recovery`.
            first_run = (
                history.first_possible_run if history.open_item is None or result is not None else None
            )
            statuses.append(
                KeyStatus(i, False)
                if first_run is None
                else KeyStatus(
                    i,
                    True,
                    min(self._compute_hand_off_age(first_run), 1 << 60),
                    first_run.host,
                    first_run.area,
                    first_run.pod,
                    result,
                )
            )
        self.fleet.view.send_message(
            message.own.host, KeyReply, message.seq, max(0, now - self.complete_since), statuses
        )

    # ---- running times, shutdown

    def record_running_times(self):
        """Records the running times that the module has learned, and forgets old work items."""
        self.state.prune(self.machine.now())
        names = self.engine.names.categories
        runs = [
            (names[i], *row)
            for i, row in enumerate(self.engine.list_learned_run_times())
            if row[0] and i < len(names)
        ]
        if runs and not self.has_failed:
            self.append_record(RunningTimes(self.machine.now(), runs))

    async def close(self):
        """Records an orderly stop where no work item is open, and closes the store."""
        if not self.state.open_items:
            self.append_record(OrderlyStop(self.machine.now()))
        try:
            await self.wait_until_durable(STOP_TIMEOUT_SECONDS)
        except NotDurableError:
            pass
        self.is_closed = True
        if self.write_task is not None:
            self.write_task.cancel()
        if self.query_timer is not None:
            self.query_timer.cancel()
        self.store.close()


def _make_unlisted_worker(hand_off):
    """Returns the worker of a recorded hand-off as one on no list of workers, as it may be gone by now."""
    return ListedWorker(
        hand_off.host, UNLISTED_ADDRESS, hand_off.area, "", hand_off.pod, interface.Standing.DRAINING, 1.0, 0
    )
