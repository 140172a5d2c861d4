"""Connections to workers, which carry hand-offs and probes; idle ones are kept for reuse for a while."""

import asyncio
from collections import OrderedDict
from zlib import crc32

import structlog

from heronwinch import interface
from heronwinch.net import sockets
from heronwinch.net.diagnostics import WorkerLog
from heronwinch.net.large_buffers import LargeBuffers
from heronwinch.protocol.discovery import ListedWorker, Listing
from heronwinch.protocol.workers import Completion, ProgressNote, WorkerProtocol

log = structlog.get_logger()

# How long a worker that is gone is kept: it may be listed again.
GONE_WORKER_RETENTION_NS = 600 * interface.SECOND
# Used if no time is configured after which workers close idle connections.
DEFAULT_IDLE_TIMEOUT_NS = 5 * interface.SECOND
# Bytes of an unfinished answer that are kept for a hand-over to another process.
MAX_KEPT_ANSWER_BYTES = 8 * 1024
MAX_TAIL_SECONDS = 1.0  # time limit for the rest of an answer after its last line
MAX_TAIL_BYTES = 64 * 1024  # limit for the rest of an answer after its last line
# A hand-off waits for the input of its client to be examined: this many event loop turns, then at intervals.
CLIENT_CHECK_LOOP_TURNS = 8
CLIENT_CHECK_SECONDS = 0.001


class UnreachableError(Exception):
    """No connection could be established, so nothing was sent."""


class Connection:
    """A connection to a worker, which carries one hand-off or probe at a time."""

    __slots__ = (
        "address",
        "reader",
        "writer",
        "protocol",
        "idle_since",
        "received",
        "handed_over",
        "holds_large_buffer",
    )

    def __init__(self, address, reader, writer):
        self.address, self.reader, self.writer = address, reader, writer
        self.protocol = WorkerProtocol()
        self.idle_since = 0  # clock time when the connection last became idle; 0 while it is new
        self.received = None  # bytes of the current answer, None if they can't be handed over
        self.handed_over = False  # whether another process has taken it over
        self.holds_large_buffer = False  # whether it may hold a long line of an answer

    def is_stale(self):
        """Whether it is a reused connection without any response since: its end says nothing about the
        worker, which may close idle connections at any time."""
        return self.idle_since > 0 and not self.protocol.has_responded


class Worker:
    """A worker, identified by its number; its address may change."""

    __slots__ = ("number", "host", "key", "address", "entry", "left_at", "idle_connections")

    def __init__(self, number, host):
        self.number, self.host, self.address, self.entry = number, host, None, None
        self.key = crc32(host.encode())  # the same at all dispatchers
        self.left_at = 0  # clock time since which the worker is draining or gone
        self.idle_connections = []  # ordered, the longest idle first


class ActiveHandOff:
    """A hand-off in flight."""

    __slots__ = (
        "workers",
        "item",
        "number",
        "worker",
        "until",
        "patience",
        "respond_by",
        "begun_at",
        "task",
        "outcome",
        "connection",
        "is_sending",
    )

    def __init__(self, workers, item, number, worker, until, patience, respond_by=0):
        self.workers, self.item, self.number, self.worker = workers, item, number, worker
        # The clock time at which to give up, and the time within which the worker has to respond (0: any).
        self.until, self.patience = until, patience
        # The clock time at which to give up if the worker has not responded yet. A response proves that the
        # request arrived, so one that arrives later than this is never sent, or dropped unsent.
        self.respond_by = min(until, respond_by) if respond_by else until
        self.begun_at = workers.machine.now()
        self.task = None
        self.outcome = None
        self.connection = None  # set once the request is sent
        self.is_sending = False  # whether the request is begun and its last byte not written yet

    @property
    def needs_response(self):
        """Whether it may be given up before its time is up, if the worker does not respond."""
        return self.patience > 0 or self.respond_by < self.until

    def set_outcome(self, completion):
        """Reports its outcome to the engine; only the first one counts."""
        if self.outcome is None:
            self.outcome = completion.outcome
            elapsed = self.workers.machine.now() - self.begun_at
            if self.outcome != interface.Outcome.OK:
                self.workers.log.log_failed_hand_off(
                    self.item, self.number, self.worker.host, self.outcome, elapsed
                )
            self.workers.engine.record_outcome(
                self.item, self.number, self.worker.number, completion, elapsed
            )


class Workers:
    """The listed workers, their connections, and the hand-offs and probes in flight."""

    def __init__(self, engine, names, terms, budget, machine, counters):
        self.engine = engine
        self.terms = terms
        self.max_connections = budget.workers
        self.large_answers = LargeBuffers(budget.large_answers)
        self.machine = machine
        self.counters = counters
        self.log = WorkerLog(machine, counters)
        self.area_numbers = {name: i for i, name in enumerate(names.areas)}
        self.kind_numbers = {name: i for i, name in enumerate(names.kinds)}
        self.last_number = 0  # number of the worker listed last; a number is never reused
        self.by_host = {}
        self.by_number = {}
        self.open_count = 0  # open connections, idle ones included
        # Idle connection -> its worker, over all workers; the longest idle first.
        self.idle_connections = OrderedDict()
        self.hand_offs = {}  # (number of the work item, number of the hand-off) -> ActiveHandOff
        self.probe_tasks = {}  # number of the worker -> task of its probe
        self.version = 0  # version of the list
        self.keeps_received = False  # whether received answers are kept for a hand-over to another process

    def set_budget(self, budget):
        """Sets the numbers of connections and of large buffers."""
        self.max_connections = budget.workers
        self.large_answers.set_limit(budget.large_answers)

    @property
    def max_idle_ns(self):
        """Half of the time after which workers close idle connections: a request that is written to a
        connection which the worker has closed may have run."""
        return (self.terms.connection_idle_timeout or DEFAULT_IDLE_TIMEOUT_NS) // 2

    @property
    def _connect_timeout_ns(self):
        return self.terms.connect_timeout or interface.SECOND

    def renumber_terms(self, names, terms):
        """Returns terms that number areas and kinds by their places in `names`, changed to the numbers that
        they have here."""
        areas = [self.area_numbers.setdefault(name, len(self.area_numbers)) for name in names.areas]
        kinds = [self.kind_numbers.setdefault(name, len(self.kind_numbers)) for name in names.kinds]
        return terms._replace(
            area=areas[terms.area] if terms.area < len(areas) else terms.area,
            categories=tuple(
                category._replace(kind=kinds[category.kind]) if 0 <= category.kind < len(kinds) else category
                for category in terms.categories
            ),
        )

    # ---- the list

    def apply_remembered(self, listing):
        """Applies a list stored for this dispatcher, perhaps long ago; returns the event for the module, None
        if the list changes nothing. Unknown workers are added and, if the stored list is the newer one,
        workers that it has as leaving are marked so. No worker becomes ready by it."""
        newer = listing.version > self.version
        changes = tuple(
            listed
            for listed in listing.hosts
            if listed.host not in self.by_host
            or (
                newer
                and listed.standing != interface.Standing.READY
                and self.by_host[listed.host].entry.standing == interface.Standing.READY
                and self.by_host[listed.host].entry.started_at <= listed.started_ms * 1_000_000
            )
        )
        return (
            self.apply_listing(interface.ListKind.DELTA, Listing(self.version, False, changes))
            if changes
            else None
        )

    def add_unlisted_workers(self, listed_workers):
        """Adds workers that another process names and the list here lacks, as draining; returns the event for
        the module, None if there are none."""
        missing = tuple(
            listed._replace(standing=interface.Standing.DRAINING)
            for listed in listed_workers
            if listed.host not in self.by_host
        )
        return (
            self.apply_listing(interface.ListKind.DELTA, Listing(self.version, False, missing))
            if missing
            else None
        )

    def make_listed_worker(self, worker):
        """Returns a worker in the form in which discovery lists it."""
        entry = worker.entry
        area, kind = [*self.area_numbers][entry.area], [*self.kind_numbers][entry.kind]
        return ListedWorker(
            worker.host,
            worker.address,
            area,
            kind,
            entry.pod,
            entry.standing,
            entry.weight,
            entry.started_at // 1_000_000,
        )

    def apply_listing(self, kind, listing, told_at=None):
        """Applies a list of workers and returns the event for the module. Kinds and areas that the settings
        do not name get numbers of their own. Workers that the list has as leaving count as told to leave at
        `told_at`, by default now."""
        self._forget_gone_workers()
        told_at = self.machine.now() if told_at is None else told_at
        self.version = listing.version
        named = set()
        for listed in listing.hosts:
            worker = self.by_host.get(listed.host)
            if worker is None:
                self.last_number += 1
                worker = Worker(self.last_number, listed.host)
                self.by_host[listed.host] = self.by_number[worker.number] = worker
            started_at = listed.started_ms * 1_000_000
            if worker.address != listed.address or worker.entry.started_at != started_at:
                self._close_idle_connections_to(worker)
                worker.address = listed.address
                self._fail_earlier_hand_offs(worker, started_at)
            self._update_entry(
                worker,
                interface.Entry(
                    worker.number,
                    self.area_numbers.setdefault(listed.area, len(self.area_numbers)),
                    self.kind_numbers.setdefault(listed.kind, len(self.kind_numbers)),
                    listed.pod,
                    listed.standing,
                    listed.weight,
                    started_at,
                    worker.key,
                ),
                told_at,
            )
            named.add(worker.number)
        if listing.whole:
            for worker in self.by_number.values():
                if worker.number not in named:
                    self._update_entry(
                        worker, worker.entry._replace(standing=interface.Standing.GONE), told_at
                    )
        return interface.Listed(
            kind, listing.version, tuple(self.by_host[listed.host].entry for listed in listing.hosts)
        )

    def _fail_earlier_hand_offs(self, worker, started_at):
        """Ends the hand-offs that were sent to a worker before its last start: the restart ended them, even
        if no reset arrived. A machine that is cut off from the network when it goes down resets no
        connection."""
        for ho in self.hand_offs.values():
            if ho.worker is worker and ho.begun_at + self._connect_timeout_ns < started_at:
                ho.set_outcome(Completion(interface.Outcome.RESET))
                ho.task.cancel()

    def _update_entry(self, worker, entry, told_at):
        """Updates a worker to a listed entry, and since when it has been leaving."""
        was_ready = worker.entry is None or worker.entry.standing == interface.Standing.READY
        if self._is_noteworthy(worker.entry, entry):
            self.log.log_worker_change(worker.host, worker.entry, entry, self.version)
        if was_ready and entry.standing != interface.Standing.READY:
            worker.left_at = told_at
        worker.entry = entry
        if entry.standing == interface.Standing.GONE:
            self._close_idle_connections_to(worker)

    def _is_noteworthy(self, old_entry, entry):
        """Whether a list shows a worker in another state or as started anew; of the workers listed for the
        first time, those that are not ready or in slow start."""
        if old_entry is not None:
            return entry.standing != old_entry.standing or entry.started_at != old_entry.started_at
        is_in_slow_start = self.machine.now() - entry.started_at < self.terms.warm_up
        return entry.standing != interface.Standing.READY or is_in_slow_start

    def _forget_gone_workers(self):
        """Removes workers that have been gone for long and have no hand-off or probe in flight, as machines
        come and go."""
        last = self.machine.now() - GONE_WORKER_RETENTION_NS
        busy = {ho.worker for ho in self.hand_offs.values()}
        for worker in list(self.by_number.values()):
            if (
                worker.entry.standing == interface.Standing.GONE
                and worker.left_at < last
                and worker not in busy
                and worker.number not in self.probe_tasks
            ):
                del self.by_number[worker.number], self.by_host[worker.host]
                self.engine.post(interface.WorkerRemoval(worker.number))

    def make_listed_event(self):
        """Returns an event with all workers that are not gone, as last listed."""
        return interface.Listed(
            interface.ListKind.CACHED,
            self.version,
            tuple(
                worker.entry
                for worker in self.by_number.values()
                if worker.entry.standing != interface.Standing.GONE
            ),
        )

    # ---- actions

    def log_slow_start(self, item, ho_number, worker_number, note):
        """Logs why a hand-off to a worker in slow start was allowed."""
        self.log.log_slow_start_hand_off(item, ho_number, self.by_number[worker_number].host, note)

    def start_hand_off(self, item, ho_number, worker_number, until, patience, respond_by=0):
        """Hands a work item off to a worker. `until` is the clock time at which to give up, `patience` the
        nanoseconds within which the worker has to respond, `respond_by` the clock time by which it has to;
        0: no such limit."""
        worker = self.by_number[worker_number]
        ho = ActiveHandOff(self, item, ho_number, worker, until, patience, respond_by)
        self.counters.check_invariant(not self._is_past_drain_grace(ho.worker), "no_hand_off_past_the_grace")
        self._start_task(ho, self._run_hand_off(ho))

    def _start_task(self, ho, coroutine):
        """Runs the coroutine of a hand-off, and keeps the hand-off while it is in flight."""
        self.hand_offs[ho.item.number, ho.number] = ho
        ho.task = asyncio.create_task(coroutine)
        ho.task.add_done_callback(lambda task: self._finish_hand_off(ho))

    def resume_hand_off(self, item, inherited, answer, streams):
        """Continues the last hand-off of a work item that another process has handed over. `answer` holds
        the bytes of the answer that the other process has read, `streams` the connection's reader and
        writer."""
        ho = ActiveHandOff(
            self, item, len(item.outcomes) - 1, self.by_number[inherited.worker], item.expiry, 0
        )
        ho.begun_at -= inherited.age
        connection = Connection(ho.worker.address, *streams)
        # The other process has sent the request; encoding it brings the protocol into the same state.
        connection.protocol.encode_hand_off(item.job, 1.0)
        if answer:
            connection.protocol.feed_data(answer)
        connection.received = bytearray(answer)
        self.open_count += 1
        self._start_task(ho, self._run_hand_off(ho, connection))

    def can_hand_over(self, ho):
        """Whether another process can go on with a hand-off: its request was sent completely, and all bytes
        of its answer so far are kept."""
        connection = ho.connection
        return (
            connection is not None
            and connection.received is not None
            and ho.outcome is None
            and not connection.reader.unread
            and not connection.protocol.is_complete
            and (connection.protocol.has_responded or not ho.needs_response)
            and not connection.writer.is_closing()
        )

    def release_hand_off(self, ho):
        """Releases a hand-off that another process has taken over."""
        ho.outcome = interface.Outcome.MOOT  # no outcome is reported here any more
        ho.connection.handed_over = True
        ho.task.cancel()

    def cancel_hand_off(self, item, ho_number):
        """Cancels a hand-off in flight."""
        self.hand_offs[item.number, ho_number].task.cancel()

    def cancel_unsent_hand_offs(self, item):
        """Cancels the hand-offs of a work item whose client has left, if their requests are partly written.
        Before its first byte a hand-off checks by itself whether its work item has ended; a connection that
        is established too late is then kept."""
        for number in range(len(item.outcomes)):
            ho = self.hand_offs.get((item.number, number))
            if ho is not None and ho.is_sending:
                ho.task.cancel()

    def end_overdue_hand_offs(self, item):
        """Ends the hand-offs of a work item that have run out of time, where their tasks have not done so."""
        for number in range(len(item.outcomes)):
            ho = self.hand_offs.get((item.number, number))
            if ho is not None and ho.outcome is None and self.machine.now() >= ho.until:
                ho.set_outcome(Completion(interface.Outcome.TIMEOUT))
                ho.task.cancel()

    def start_probe(self, worker_number):
        """Probes a worker, unless a probe of it is in flight."""
        worker = self.by_number[worker_number]
        if worker.number not in self.probe_tasks:
            self.probe_tasks[worker.number] = asyncio.create_task(self._run_probe(worker))

    def close_idle_connections(self, worker_number):
        """Closes all idle connections to a worker."""
        self._close_idle_connections_to(self.by_number[worker_number])

    def close(self):
        """Cancels all hand-offs and probes and closes all idle connections."""
        for task in [*self.probe_tasks.values(), *(ho.task for ho in self.hand_offs.values())]:
            task.cancel()
        for worker in self.by_number.values():
            self._close_idle_connections_to(worker)

    # ---- connections

    async def _connect(self, worker, until, min_idle_ns=0):
        """Returns a connection to a worker: one that has been idle for at least `min_idle_ns` if there is
        any, else a new one. Raises UnreachableError if it can't be established."""
        idle_before = self.machine.now() - min_idle_ns
        for connection in reversed(worker.idle_connections):
            if connection.idle_since <= idle_before:
                worker.idle_connections.remove(connection)
                del self.idle_connections[connection]
                if self._is_reusable(connection):
                    return connection
                self._close_connection(connection)
        while self.open_count >= self.max_connections:
            if not self.idle_connections:
                self.counters.count("no_socket_left")
                raise UnreachableError
            self._close_idle_connection(next(iter(self.idle_connections)))
        self.open_count += 1
        address = worker.address
        seconds = min(self._connect_timeout_ns, max(1, until - self.machine.now())) / interface.SECOND
        try:
            async with asyncio.timeout(seconds):
                streams = await sockets.connect(*address)
        except OSError:  # includes TimeoutError
            self.open_count -= 1
            raise UnreachableError from None
        except BaseException:
            self.open_count -= 1
            raise
        self.machine.limit_receive_buffer(streams[1])
        return Connection(address, *streams)

    def _is_reusable(self, connection):
        """Whether an idle connection may carry a further request."""
        return self.machine.now() - connection.idle_since < self.max_idle_ns and sockets.is_quiet(
            connection.reader, connection.writer, self.machine
        )

    def _keep_idle(self, worker, connection):
        """Keeps a connection for reuse; returns False if its worker is gone or has another address."""
        if worker.entry.standing == interface.Standing.GONE or worker.address != connection.address:
            return False
        connection.idle_since = self.machine.now()
        worker.idle_connections.append(connection)
        self.idle_connections[connection] = worker
        return True

    def _close_connection(self, connection):
        """Closes a connection at once. Of a hand-off that was given up, neither the bytes not written yet nor
        those that the kernel holds may be sent later. Guards against a second run of ticketed work at a
        worker that was cut off during the first hand-off: when that hand-off came through, the window in
        which the worker drops repeats was over."""
        self.open_count -= 1
        if not connection.protocol.is_complete and not connection.handed_over:
            self.machine.discard_unsent_on_close(connection.writer)
        connection.writer.transport.abort()

    def _close_idle_connection(self, connection):
        worker = self.idle_connections.pop(connection)
        worker.idle_connections.remove(connection)
        self._close_connection(connection)

    def _close_idle_connections_to(self, worker):
        for connection in list(worker.idle_connections):
            self._close_idle_connection(connection)

    def close_unfit_idle_connections(self):
        """Closes the connections that have been idle for too long or that their workers have ended."""
        for connection in list(self.idle_connections):
            if not self._is_reusable(connection):
                self._close_idle_connection(connection)

    # ---- hand-offs

    async def _run_hand_off(self, ho, connection=None):
        """Sends a hand-off and reads its answer; given a connection on which another process has sent the
        request, only reads the answer."""
        sent = connection is not None
        try:
            # A worker's `declined` names no work item. It proves that this one never ran only on a
            # connection that can't carry a late second answer to an earlier work item.
            min_idle_ns = 0 if ho.item.effect == interface.Effect.RERUNNABLE else self._connect_timeout_ns
            connection = connection or await self._connect(ho.worker, ho.respond_by, min_idle_ns)
        except UnreachableError:
            ho.set_outcome(Completion(interface.Outcome.CONNECT_FAILED))
            return
        kept = False
        try:
            recorded = (
                sent
                or not ho.item.in_ledger
                or await self.engine.ledger.record_intent(
                    ho.item, ho.number, ho.worker, self._compute_seconds_until(ho.until)
                )
            )
            if not sent:
                await self._wait_for_client_input(ho)
            moot = ho.item.ended or not recorded or self.machine.now() >= ho.respond_by
            if not sent and (moot or self._is_past_drain_grace(ho.worker)):
                # While the connection was established, the client left, or the time of the work item, the
                # window for its repeats or the worker's grace ran out: nothing is sent.
                ho.set_outcome(
                    Completion(interface.Outcome.MOOT if moot else interface.Outcome.CONNECT_FAILED)
                )
                kept = self._keep_idle(ho.worker, connection)
            elif sent or await self._send_request(ho, connection):
                ho.connection = connection
                await self._receive_answer(ho, connection)
                # After a reset the work item may go elsewhere at once, so this connection must not stay open.
                kept = ho.outcome not in (
                    interface.Outcome.RESET,
                    interface.Outcome.STALE,
                ) and await self._read_to_end(ho.worker, connection)
        except TimeoutError:
            ho.set_outcome(Completion(interface.Outcome.TIMEOUT))
            if not connection.protocol.has_responded:
                # The machine or the path to it does not respond, so its idle connections are not usable
                # either.
                self.counters.count("no_word")
                self._close_idle_connections_to(ho.worker)
        finally:
            if connection.holds_large_buffer:
                connection.holds_large_buffer = False
                self.large_answers.release()
            if not kept:
                self._close_connection(connection)

    async def _wait_for_client_input(self, ho):
        """Waits, right before the first byte of a hand-off is sent, until all that has arrived of its client
        is examined. The end of the client's connection may still be in the kernel, as the loop was late or
        more had arrived than a stream reads ahead. A client sends nothing while it waits for its answer, so
        what there is ends the work item; this stops waiting once there is no time left to send it."""
        item = ho.item
        turn_count = 0
        while item.client is not None and item.client.has_unread_input():
            if self.machine.now() >= ho.respond_by:
                return
            turn_count += 1
            await asyncio.sleep(0 if turn_count <= CLIENT_CHECK_LOOP_TURNS else CLIENT_CHECK_SECONDS)

    async def _send_request(self, ho, connection):
        """Returns whether the whole request was written. The worker begins when it has the last byte: if the
        connection breaks before that byte is written, the work item never ran; later it may have run."""
        transport = connection.writer.transport
        transport.set_write_buffer_limits(high=0)  # drain() returns when no byte is left in the buffer
        seconds = self._compute_seconds_until(ho.until)
        connection.received = bytearray() if self.keeps_received else None
        connection.writer.write(connection.protocol.encode_hand_off(ho.item.job, seconds))
        ho.is_sending = True
        try:
            async with asyncio.timeout(self._compute_seconds_until(ho.respond_by)):
                await connection.writer.drain()
        except TimeoutError:
            raise
        except OSError:
            ho.set_outcome(Completion(interface.Outcome.CONNECT_FAILED))
            return False
        finally:
            ho.is_sending = False
        return True

    async def _receive_answer(self, ho, connection):
        """Reads the answer to a hand-off up to its outcome. Raises TimeoutError."""
        worker_protocol = connection.protocol
        respond_by = ho.respond_by
        if ho.patience:
            respond_by = min(respond_by, self.machine.now() + ho.patience)
        while not worker_protocol.is_complete:
            seconds = self._compute_seconds_until(ho.until if worker_protocol.has_responded else respond_by)
            data = await sockets.read_within(connection.reader, seconds)
            if connection.received is not None:
                connection.received += data
                if len(connection.received) > MAX_KEPT_ANSWER_BYTES:
                    connection.received = None
            for event in worker_protocol.feed_data(data):
                if type(event) is ProgressNote:
                    self.engine.post_progress(ho.item, ho.number, ho.worker.number, *event)
                elif event.outcome == interface.Outcome.RESET and connection.is_stale():
                    ho.set_outcome(Completion(interface.Outcome.STALE))
                else:
                    ho.set_outcome(event)
            await self._reserve_memory(ho, connection)

    async def _reserve_memory(self, ho, connection):
        """Waits for a large buffer if a line of an answer is long and has not come to its end. Raises
        TimeoutError."""
        if connection.holds_large_buffer or connection.protocol.held_bytes <= sockets.SMALL_MESSAGE_BYTES:
            return
        async with asyncio.timeout(self._compute_seconds_until(ho.until)):
            await self.large_answers.acquire()
        connection.holds_large_buffer = True

    def _finish_hand_off(self, ho):
        """Makes sure that a hand-off has an outcome, however its task has ended."""
        del self.hand_offs[ho.item.number, ho.number]
        if ho.task.cancelled():
            ho.set_outcome(Completion(interface.Outcome.CANCELLED))
        elif ho.task.exception() is not None:
            if self.counters.count("hand_off_fault"):
                log.error("hand_off_fault", worker=ho.worker.host, exc_info=ho.task.exception())
        ho.set_outcome(Completion(interface.Outcome.RESET))
        ho.task = None  # the exception that ended the task refers to the hand-off

    def _compute_seconds_until(self, until):
        """Returns the seconds from now to a clock time, at least 0."""
        return max(0, until - self.machine.now()) / interface.SECOND

    def _is_past_drain_grace(self, worker):
        """Whether a worker was told to leave more than half of the drain grace ago."""
        return (
            worker.entry.standing != interface.Standing.READY
            and self.machine.now() - worker.left_at > self.terms.drain_grace // 2
        )

    async def _read_to_end(self, worker, connection):
        """Reads an answer to its end and returns whether the connection was kept for reuse. Time and bytes
        are limited: an answer without an end, read for as long as bytes arrived, held the place of its
        hand-off or probe and took time from all others."""
        remaining = MAX_TAIL_BYTES
        try:
            async with asyncio.timeout(MAX_TAIL_SECONDS):
                while not connection.protocol.is_response_complete and remaining > 0:
                    data = await connection.reader.read(sockets.READ_AHEAD_BYTES)
                    remaining -= len(data)
                    connection.protocol.feed_data(data)
        except TimeoutError:
            return False
        return connection.protocol.is_reusable and self._keep_idle(worker, connection)

    # ---- probes

    async def _run_probe(self, worker):
        """Probes a worker and posts the outcome to the engine."""
        begun_at = self.machine.now()
        completion = Completion(interface.Outcome.TIMEOUT)
        try:
            completion = await self._probe_with_retry(worker, begun_at + self._connect_timeout_ns)
        except asyncio.CancelledError:
            completion = Completion(interface.Outcome.CANCELLED)
        except Exception:
            if self.counters.count("probe_fault"):
                log.exception("probe_fault", worker=worker.host)
        finally:
            del self.probe_tasks[worker.number]
            if completion.outcome != interface.Outcome.OK:
                self.counters.count("probe_" + completion.outcome.name.lower())
            self.engine.post(
                interface.Probed(
                    worker.number, self.machine.now() - begun_at, completion.outcome, completion.report
                )
            )

    async def _probe_with_retry(self, worker, until):
        """Returns how a probe has ended. Probes again if a stale connection was closed."""
        while True:
            try:
                connection = await self._connect(worker, until)
            except UnreachableError:
                return Completion(interface.Outcome.CONNECT_FAILED)
            completion = await self._probe_on_connection(worker, connection, until)
            # A probe may be repeated without harm. If a stale connection ended, it is repeated, as that says
            # nothing about the worker. Counting it as a failure excluded healthy workers, up to six of ten.
            if completion.outcome != interface.Outcome.RESET or not connection.is_stale():
                return completion

    async def _probe_on_connection(self, worker, connection, until):
        """Sends a probe on a connection and returns how it has ended."""
        kept = False
        try:
            connection.writer.write(connection.protocol.encode_probe(self.terms.reports))
            while True:
                data = await sockets.read_within(connection.reader, self._compute_seconds_until(until))
                for completion in connection.protocol.feed_data(data):
                    kept = await self._read_to_end(worker, connection)
                    return completion
        except TimeoutError:
            self._close_idle_connections_to(worker)  # done also after a hand-off without any response
            return Completion(interface.Outcome.TIMEOUT)
        finally:
            if not kept:
                self._close_connection(connection)
