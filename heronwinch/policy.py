"""Makes all decisions of a dispatcher. Takes events and returns actions; does no I/O itself.

Each dispatcher has one Dispatcher(terms, seed). Whenever something has happened, the caller calls
handle(now, events), with a clock in whole nanoseconds and the events in the order in which they came, and
carries out the returned actions in their order. The types of terms, events and actions are in
heronwinch/interface.py; docs/design.md says which parts of the published design are kept and which differ.
"""

from collections import namedtuple
from math import ceil, exp, log
from random import Random

from heronwinch.interface import (
    DISCOVERY_NOTICE_NS,
    NEVER_RAN,
    SECOND,
    Answered,
    Arrived,
    Cancel,
    CancelTimer,
    ClientSurge,
    CloseIdle,
    Defer,
    Effect,
    Evacuation,
    FleetView,
    Group,
    HandOff,
    InheritedWorkItem,
    LearnedRunTimes,
    Left,
    Listed,
    ListKind,
    ModuleState,
    Noted,
    Outcome,
    PlannedStop,
    Probe,
    Probed,
    Rang,
    SetTimer,
    SlowStartNote,
    SlowStartReason,
    Standing,
    Subscribe,
    TermsChange,
    WorkerRemoval,
    WriteOff,
)
from heronwinch.policy_state import INFINITY, CategoryState, HandOffState, Worker, WorkItem
from heronwinch.run_times import MEAN_SAMPLES, WorkEstimate, update_moving_mean
from heronwinch.slow_start import (
    RESTART_SHARE,
    Allowance,
    DispatcherOrder,
    StartClock,
    compute_allowance,
    compute_capacity_share,
)

# Timer tokens: the next call to discovery, the next scan of the waiting work items, the end of a planned
# stop, and the first of the tokens that are counted up for single work items and hand-offs.
DISCOVERY_RETRY_TIMER, SCAN_TIMER, STOP_TIMER, FIRST_WORK_ITEM_TIMER = 0, 1, 2, 3
# A work item's generator yields this to wait for an open worker, and is resumed to pick one again.
WAIT_FOR_WORKER = object()
# The generator yields this if a hand-off is already in flight, and is resumed with its answer.
WAIT_FOR_ANSWER = object()
# Without fresh reports, slots beyond this dispatcher's own part of a worker have less weight than this.
MAX_SURPLUS_SLOT_WEIGHT = 0.01
TOKEN_BUCKET_SIZE = 8  # work items within its share that an account may send in one burst
BEST_RANK = 3  # rank of a worker that is known to be open and is preferred for the work item
# With this many running times of a worker kind, its learned pace has half of its full weight.
PACE_HALF_WEIGHT_SAMPLES = 8
# Number of workers drawn from a large fleet in one sample. If two workers in three are open, no drawn one is
# open once in 6000 times; then the whole fleet is searched.
WORKER_SAMPLE_SIZE = 8
# How long the list of usable workers in slow start holds, in nanoseconds; it changes slowly, with their ages.
USABLE_REFRESH_NS = SECOND // 4


# A work item's generator yields this to ask a worker for its busy alert (the paper's term for a load report
# on request), and is resumed with an open worker or None.
BusyAlertRequest = namedtuple("BusyAlertRequest", "worker")


class Dispatcher:
    """Decides where work items go, when they are handed off again, and how they are answered."""

    def __init__(self, terms, seed):
        self.terms = terms
        self.fleet_view = None  # the last membership view, if dispatchers talk to each other
        self._compute_divisors()
        self.random = Random(seed)
        self.category_states = [CategoryState(category) for category in terms.categories]
        self.workers = {}  # number -> every worker listed and not removed since
        self.ready_workers = []  # the workers listed as ready
        self.preferred_workers = []  # ready workers of the own area, or all if areas have no price
        self.work_items = {}  # number -> work item
        self.timers = {}  # token -> waiting work item, or hand-off whose progress is checked
        self.last_timer_token = FIRST_WORK_ITEM_TIMER
        self.mean_alert_time = self.terms.connect_timeout // 4  # learned: mean response time of a busy alert
        self.queue = {}  # number -> work item that waits for an open worker
        self.is_scan_scheduled = False
        self.failed_scans = 0  # scans in a row that could hand off nothing
        self.max_weight = 1.0
        self.rejected_share = 0.0  # moving mean: the share of own hand-offs rejected as FULL
        self.hand_offs_in_flight = 0
        self.nothing_in_flight_since = 0  # if none is: when the last one ended
        self.bound_kinds = {state.kind for state in self.category_states}
        self.weight_change_interval = 0.0  # learned, mean time between two changes of a worker's weight
        self.token_buckets = [(TOKEN_BUCKET_SIZE, 0) for _ in terms.accounts]  # (tokens, time of last use)
        self.max_slots = 1  # the most slots that any worker has shown
        self.run_time_logs = {}  # worker kind -> (number of running times, mean of their logarithms)
        self.pace_by_kind = {}  # worker kind -> learned, how many times faster than the mean of all kinds
        self.max_pace = 1.0
        self.reported_load = 0.0  # moving mean: the share of taken slots in reports
        self.mean_slot_memory = 0.0  # moving mean: the memory that work items need per slot
        self.reporters = {}  # number -> worker, in the order of their last reports
        self.touched_workers = []  # workers with an answer or report in this batch: one may have opened
        self.is_full_scan_due = False  # all workers have to be searched: epochs passed or the list changed
        self.is_doubting_reports = False  # load reports are taken to be out of date and are not used
        self.doubt_until, self.doubts_in_row = 0, 0
        self.now = 0
        # Since when this dispatcher knows all that it has sent: the first call, unless terms changed.
        self.record_began_at = None
        self.start_clock = StartClock()
        # The workers in slow start that this dispatcher may use, and until when that holds.
        self.usable_in_slow_start, self.usable_until = [], 0
        # Worker kind -> the fewest slots that a ready worker of it has shown; filled when it is needed.
        self.fewest_slots = {}
        self.work_estimate = None  # of this call; None if it was not needed yet
        # The longest time for which a hand-off has been running, of this call; None if it was not needed yet.
        self.longest_run = None
        self.actions = []
        self.T = SECOND  # nanoseconds between two update epochs
        self.mean_run_time = 0.0  # mean over all categories, in ns
        self.mean_hand_off_gap = 0.0  # mean time between two own hand-offs, in ns
        self.last_hand_off_at = 0
        self.stop_at = INFINITY  # the end of a planned stop
        self.surge_until = 0  # the end of a surge of clients that come back after a loss of power
        self.evacuated_from = INFINITY  # time from which new work items are deferred on arrival
        # Whether the timer for the next call to discovery is set, and how many calls in a row have failed.
        self.is_discovery_retry_set, self.discovery_failures = False, 0
        # While calls to discovery fail, the time up to which the list is known to be complete; otherwise
        # None.
        self.list_complete_until = None
        self.event_handlers = {
            Listed: self._on_listed,
            Arrived: self._on_arrived,
            Answered: self._on_answered,
            Left: self._on_left,
            Rang: self._on_rang,
            Noted: self._on_noted,
            Probed: self._on_probed,
            PlannedStop: self._on_planned_stop,
            WorkerRemoval: self._on_worker_removal,
            TermsChange: self._on_terms_change,
            Evacuation: self._on_evacuation,
            InheritedWorkItem: self._on_inherited_work_item,
            FleetView: self._on_fleet_view,
            LearnedRunTimes: self._on_learned_run_times,
            ClientSurge: self._on_client_surge,
        }

    def handle(self, now, events):
        """Returns the actions that these events call for, in order."""
        self.now = now
        self.record_began_at = now if self.record_began_at is None else self.record_began_at
        self.work_estimate = self.longest_run = None
        # Weights that change less often than work items end are out of date when they are used: a worker
        # shown as full would get no hand-off whose answer could correct that.
        self.is_doubting_reports = (
            now < self.doubt_until or 0 < self.mean_run_time < self.weight_change_interval
        )
        self.actions = []
        # Timers are handled last. After a stall of this process, answers and progress notes that arrived
        # during it are in the same batch as the timers, and must not count as missing.
        for event in sorted(events, key=lambda event: type(event) is Rang):
            handler = self.event_handlers.get(type(event))
            if handler is not None:
                handler(event)
        if self.queue or self.failed_scans:
            self._serve_queue()
        elif self.touched_workers:
            self.touched_workers = []
        return self.actions

    # ---- the life cycle of one work item

    def _run_work_item(self, wi):
        """Generator that takes one work item from its arrival to its final answer.

        Yields a Worker to hand off to, a BusyAlertRequest, WAIT_FOR_WORKER or WAIT_FOR_ANSWER. Returns the
        final answer, or None if a hand-off has given it.
        """
        while wi.in_flight or self._compute_latest_start(wi) > self.now:
            if not wi.in_flight:  # otherwise another process has handed off the work item
                worker = self._pick_worker(wi)
                while worker is not None and self._should_request_alert(worker, wi):
                    worker = yield BusyAlertRequest(worker)
                if worker is None:
                    yield WAIT_FOR_WORKER
                    continue
            answer = yield (WAIT_FOR_ANSWER if wi.in_flight else worker)
            if answer.ended:
                return None
            if not self._may_hand_off_again(wi):
                break
        return self._build_final_answer(wi)

    def _pick_worker(self, wi):
        """Returns the worker to hand a work item to now, or None if it has to wait."""
        if self._should_yield(wi):
            return None
        if self._is_last_try(wi):
            workers_with_room = [
                worker
                for worker in self._iterate_reporters(2 * self.terms.tick)
                if self._has_just_shown_room(worker, wi.slots) and self._rank_worker(worker, wi)[1] > 0
            ]
            if workers_with_room:
                return self.random.choice(workers_with_room)
            return self._pick_open_worker(wi) if wi.alert_requests < 2 * self.terms.most_hand_offs else None
        return self._pick_open_worker(wi) or self._pick_closed_worker(wi)

    def _is_last_try(self, wi):
        """Whether only one hand-off is left, which then goes only to a worker that has just reported room.

        Guards against all hand-offs being spent within five milliseconds, followed by a deferral with all of
        the time left.
        """
        return (
            len(wi.hand_offs) == self.terms.most_hand_offs - 1 > 0
            and self.terms.may_probe
            and self.has_peers
            and not self.terms.live_weights
            and not self.is_doubting_reports
        )

    def _has_just_shown_room(self, worker, slots):
        """Whether a report of the last two ticks shows that many free slots."""
        return (
            self.now - worker.reported_at <= 2 * self.terms.tick
            and worker.reported_free is not None
            and not worker.reported_waiting
            and worker.reported_free - worker.slots_since_report >= slots
        )

    def _should_request_alert(self, worker, wi):
        """Whether the worker is asked for its busy alert before this work item is handed to it."""
        if self._is_last_try(wi):
            return not self._has_just_shown_room(worker, wi.slots)
        if self._may_be_leaving(worker):
            return True
        return wi.alert_requests < self.terms.most_hand_offs and not self._is_state_known(worker)

    def _may_be_leaving(self, worker):
        """Whether a worker may drain without this dispatcher knowing, as calls to discovery have failed.

        After DISCOVERY_NOTICE_NS a dispatcher counts as informed that a worker leaves, as happened when
        discovery rejected the calls of hundreds of dispatchers for so long. A draining worker says so when
        probed, before discovery knows. Where probes are not allowed, the answer is False: holding back all
        work items while discovery is down would be worse.
        """
        return (
            self.list_complete_until is not None
            and self.terms.may_probe
            and self.now - max(self.list_complete_until, worker.last_serving_at) >= DISCOVERY_NOTICE_NS
        )

    def _should_use_own_record(self):
        """Whether this dispatcher relies on its own record, as busy alerts are unavailable or not useful."""
        return not self.terms.may_probe or not self.has_peers or self.is_doubting_reports

    def _is_state_known(self, worker):
        """Whether a worker may count as open without asking it first for its busy alert.

        Where other dispatchers send to it too, that takes a report of the last two ticks.
        """
        return self._should_use_own_record() or self.now - worker.reported_at <= 2 * self.terms.tick

    def _iterate_reporters(self, max_age):
        """Yields the ready workers whose last report is not older than max_age, the newest report first."""
        for worker in reversed(self.reporters.values()):
            if self.now - worker.reported_at > max_age:
                return
            if worker.standing == Standing.READY:
                yield worker

    def _compute_latest_start(self, wi):
        """Returns the last time at which a hand-off is likely to earn credit."""
        # Half of the mean running time is enough: running times are heavy-tailed, so most are far below the
        # mean, and clients that are deferred earlier only meet other dispatchers that are full or stopping.
        latest_start = wi.expiry - int(wi.category.run_times.mean or self.mean_run_time) // 2
        if not wi.category.late_credit:
            # The due time grows with the running time, most of which may still be to come.
            latest_start = min(
                latest_start,
                wi.due_at + int(max(0, wi.category.stretch - 1) * wi.category.run_times.mean / 2),
            )
        if wi.first_possible_run is not None and wi.category.effect == Effect.TICKETED:
            # A work item must not wait beyond the window in which workers drop its repeat.
            latest_start = min(latest_start, wi.compute_window_end())
        return latest_start

    def _compute_priority(self, wi):
        """Returns the sort key of waiting work items: credit per running time, then the due time.

        Of work items in time the newest comes first, of late ones the oldest.
        """
        category = wi.category
        is_late = self.now > wi.due_at
        return (category.late_credit if is_late else 1.0) * self._compute_credit_rate(
            wi
        ), -wi.due_at if is_late else wi.due_at

    def _may_hand_off_again(self, wi):
        """Whether one more hand-off is within the limits and harmless if an earlier one has run."""
        if len(wi.hand_offs) >= self.terms.most_hand_offs or self.now >= wi.expiry:
            return False
        if wi.first_possible_run is None or wi.category.effect == Effect.RERUNNABLE:
            return True
        return wi.category.effect == Effect.TICKETED and self.now < wi.compute_window_end()

    def _build_final_answer(self, wi):
        """Returns Defer if a retry by the client is provably harmless, else WriteOff."""
        category = wi.category
        if wi.in_flight and wi.first_possible_run is None:
            wi.first_possible_run = next(ho for ho in wi.hand_offs if not ho.answered)
        is_retry_harmless = (
            wi.first_possible_run is None
            or category.effect == Effect.RERUNNABLE
            or (
                category.effect == Effect.TICKETED
                and category.group == Group.ALL
                and self.now < wi.compute_window_end()
            )
        )
        if not is_retry_harmless:
            return WriteOff(wi.id)
        max_wait = self.terms.max_come_back
        wait = min(self.T, max_wait)
        if self.now < self.surge_until:
            # Many clients may be deferred at the same moment. With equal delays they would all retry at the
            # same time.
            wait += int(self.random.random() * (max_wait - wait))
        return Defer(wi.id, wait if self.terms.may_advise_come_back else 0)

    def _advance_work_item(self, wi, answer=None):
        """Resumes the generator of a work item and does what it yields."""
        wi.waiting_for = None
        self._cancel_timer(wi)
        try:
            worker = wi.generator.send(answer)
        except StopIteration as end:
            self._end_work_item(wi, end.value)
        else:
            if worker is WAIT_FOR_WORKER:
                self.queue[wi.id] = wi
                delay = self._compute_latest_start(wi) - self.now
                if self.terms.live_weights:
                    # The pause also applies to work items that yield to others. When they were examined every
                    # two ticks, thousands of waiting work items took all the processor time.
                    self._space_out_tries(wi)
                    delay = min(delay, max(2 * self.terms.tick, wi.next_closed_try_at - self.now))
                self._wait_with_timer(wi, WAIT_FOR_WORKER, delay)
            elif type(worker) is BusyAlertRequest:
                worker = worker.worker
                worker.alert_waiters.append(wi)
                wi.alert_requests += 1
                patience = 4 * self.mean_alert_time + 2 * self.terms.tick
                self._wait_with_timer(wi, worker, min(self._compute_latest_start(wi) - self.now, patience))
                if not worker.is_being_probed:
                    self._probe_worker(worker)
            elif worker is not WAIT_FOR_ANSWER:
                self._hand_off(wi, worker)

    def _wait_with_timer(self, wi, awaited, delay):
        """Notes what a work item without a hand-off in flight waits for; a timer ends the wait."""
        wi.waiting_for = awaited
        self._set_timer(wi, delay)

    def _handle_wait_timeout(self, wi):
        """The timer of a waiting work item has expired."""
        awaited, wi.waiting_for = wi.waiting_for, None
        if awaited is WAIT_FOR_WORKER:
            del self.queue[wi.id]
            if self._compute_latest_start(wi) > self.now:
                self._advance_work_item(wi)
            else:
                self._end_work_item(wi, self._build_final_answer(wi))
        else:
            # No busy alert arrived. A worker that does not answer must not count as idle.
            awaited.alert_waiters.remove(wi)
            self._record_failure(awaited)
            self._advance_work_item(wi, self._pick_worker(wi))

    def _serve_queue(self):
        """Hands waiting work items to workers that may have opened, and schedules the next scan."""
        touched, self.touched_workers = self.touched_workers, []
        if self.is_full_scan_due:
            touched += [*self._list_usable_in_slow_start(), *self._sample_workers(self.ready_workers)]
        self.is_full_scan_due = False
        if self.queue and touched:
            # A search is not repeated for every work item of a long queue. Work items with the same needs as
            # one that found no open worker are skipped, and the loop ends after two misses per category: one
            # by those that still wait for their own area, one by those that do not.
            unserved_needs = set()
            max_unserved_needs = 2 * len(self.category_states)
            open_workers = [
                worker
                for worker in dict.fromkeys(touched)
                if self._count_open_slots(worker) > 0 or self._estimate_wait(worker) < INFINITY
            ]
            for wi in (
                sorted(self.queue.values(), key=self._compute_priority, reverse=True) if open_workers else ()
            ):
                needs = (
                    wi.category,
                    wi.slots,
                    ceil(wi.memory),
                    wi.first_possible_run,
                    self._should_wait_for_own_area(wi),
                )
                if needs in unserved_needs:
                    continue
                if (
                    any(
                        self._rank_worker(worker, wi)[1] > 0 or self._estimate_wait(worker) < INFINITY
                        for worker in open_workers
                    )
                    and self._pick_worker(wi) is not None
                ):
                    self.failed_scans = 0
                    del self.queue[wi.id]
                    self._advance_work_item(wi)
                    continue
                unserved_needs.add(needs)
                if len(unserved_needs) >= max_unserved_needs:
                    break
        if self.queue and not self.is_scan_scheduled:
            # A scan is due whenever a slot has likely become free somewhere, with a pause that doubles after
            # each scan without success, up to an epoch. Without the back-off, many waiting dispatchers would
            # request each such slot many times.
            self.is_scan_scheduled = True
            slots = sum(worker.slots or 1 for worker in self.ready_workers) or 1
            pause = max(2 * self.terms.tick, int((self.mean_run_time or self.T) / slots)) << self.failed_scans
            self.actions.append(SetTimer(max(2 * self.terms.tick, min(pause, self.T)), SCAN_TIMER))
        elif not self.queue:
            self.failed_scans = 0

    def _sample_workers(self, workers):
        """Returns all workers of a small fleet, a random sample of a large one, to bound the cost."""
        return (
            workers
            if len(workers) <= 2 * WORKER_SAMPLE_SIZE
            else self.random.sample(workers, WORKER_SAMPLE_SIZE)
        )

    def _start_scan(self):
        """Makes the next pass over the queue search the fleet (or a sample), and probes one worker.

        Epochs have passed, so any worker may have opened. The probe goes to the worker whose last report is
        the oldest, also if it is open by this dispatcher's own record: work items that have used up their
        requests for busy alerts go only to workers that have just reported room. Guards against work items
        that waited for nine seconds while later ones were served at once.
        """
        self.is_scan_scheduled = False
        self.is_full_scan_due = True
        self.failed_scans = min(self.failed_scans + 1, 16)
        if self.queue and self.terms.may_probe and not self.is_doubting_reports:
            probe_candidates = [
                worker
                for worker in (
                    *self._list_usable_in_slow_start(),
                    *(w for w in self._sample_workers(self.ready_workers) if not self._is_cold(w)),
                )
                if not worker.is_being_probed and worker.closed_until <= self.now
            ]
            if probe_candidates:
                self._probe_worker(min(probe_candidates, key=lambda worker: worker.reported_at))

    def _probe_worker(self, worker):
        """Asks a worker for its load report."""
        worker.is_being_probed = True
        self.actions.append(Probe(worker.id))

    def _end_work_item(self, wi, answer):
        """Ends a work item with a final answer, or with None if the client has one or has left."""
        wi.ended = True
        wi.generator = None
        self._cancel_timer(wi)
        if wi.waiting_for is WAIT_FOR_WORKER:
            del self.queue[wi.id]
        elif wi.waiting_for is not None:
            wi.waiting_for.alert_waiters.remove(wi)
        wi.waiting_for = None
        if answer is not None:
            self.actions.append(answer)
        if not wi.in_flight:
            self.work_items.pop(wi.id, None)
            # These refer to the work item, which would wait for the garbage collector.
            wi.hand_offs, wi.first_possible_run = (), None

    def _hand_off(self, wi, worker):
        """Hands a work item to a worker now."""
        now = self.now
        is_open, is_cold = self._count_open_slots(worker) > 0, self._is_cold(worker)
        ho = HandOffState(wi, len(wi.hand_offs), worker, now, is_open, is_running=is_open and not is_cold)
        if worker.connections_idle_since:
            worker.connections_idle_since.pop()
        ho.had_shown_room = self._has_just_shown_room(worker, wi.slots)
        slow_start = self._describe_slow_start(worker, wi) if is_cold else None
        self._record_hand_off(ho)
        if self.last_hand_off_at:
            gap = now - self.last_hand_off_at
            self.mean_hand_off_gap = update_moving_mean(self.mean_hand_off_gap, gap, 32)
            self._learn_T()
        self.last_hand_off_at = now
        # A worker that accepts a job confirms it at once. Without a confirmation the work item goes elsewhere
        # while it can still be in time, but only if another worker is open: the slot that it leaves may stay
        # taken, and if all slots are taken, each such move costs one more.
        may_leave_worker = wi.category.effect != Effect.EXCLUSIVE and any(
            other is not worker and self._count_open_slots(other) > 0
            for other in self._sample_workers(self.ready_workers)
        )
        patience = self.terms.connect_timeout // 2 if may_leave_worker else 0
        is_repeat = wi.category.effect == Effect.TICKETED and wi.first_possible_run is not None
        respond_by = wi.compute_window_end() if is_repeat else 0
        self.actions.append(HandOff(wi.id, worker.id, 0, patience, slow_start, respond_by))
        if self.terms.progress_interval:
            self._check_progress(ho)

    def _record_hand_off(self, ho):
        """Adds a hand-off in flight to the state of its work item and its worker."""
        wi, worker = ho.wi, ho.worker
        wi.hand_offs.append(ho)
        wi.in_flight += 1
        self.rejected_share = self._estimate_rejected_share()
        self.hand_offs_in_flight += 1
        worker.hand_offs_in_flight.append(ho)
        worker.slots_in_use += wi.slots
        worker.slots_since_report += wi.slots
        worker.memory_in_use += wi.memory
        worker.sent_work.record(ho.sent_at, self.terms.push_window, wi.category, wi.slots)
        if ho.is_running:
            wi.category.run_times.begin_run(ho.sent_at)

    def _check_progress(self, ho):
        """Sets the timer for the next progress note of a hand-off, or records a failure if two are missing.

        Workers send a note at every progress interval. Two missing notes mean that the worker has stalled.
        Guards against workers that accept work and never answer.
        """
        remaining = ho.last_sign_at + 2 * self.terms.progress_interval + self.mean_alert_time - self.now
        if remaining > 0:
            self._set_timer(ho, remaining)
            return
        self._record_failure(ho.worker)
        wi = ho.wi
        if self.terms.may_cancel and not wi.ended and wi.category.effect != Effect.EXCLUSIVE:
            self.actions.append(Cancel(wi.id, ho.number))

    def _set_timer(self, owner, delay):
        """Sets the timer of a work item or a hand-off, in place of the one that it may have."""
        self._cancel_timer(owner)
        self.last_timer_token = (
            self.last_timer_token + 1 if self.last_timer_token < 2**32 - 1 else FIRST_WORK_ITEM_TIMER
        )
        owner.timer_token = self.last_timer_token
        self.timers[owner.timer_token] = owner
        self.actions.append(SetTimer(max(1, delay), owner.timer_token))

    def _cancel_timer(self, owner):
        """Cancels the timer of a work item or a hand-off, which would be kept in memory with it."""
        if self.timers.pop(owner.timer_token, None) is not None:
            self.actions.append(CancelTimer(owner.timer_token))
        owner.timer_token = 0

    # ---- events

    def _on_arrived(self, event):
        """A client handed in a work item."""
        wi = WorkItem(event, self.category_states[event.category], self.now)
        wi.expiry = min(wi.expiry, self.stop_at if self.now < self.evacuated_from else self.now)
        if self.terms.live_weights:
            wi.yield_draw = self.random.random()
        if self.token_buckets and event.account >= 0:
            wi.is_within_share = self._take_account_token(event.account)
        self.mean_slot_memory += (wi.memory / wi.slots - self.mean_slot_memory) / 32
        self.work_items[wi.id] = wi
        wi.category.run_times.arrivals += 1
        if event.unclear:
            # It cannot be found out now whether and where the work item has run. It is not handed off, so
            # that the client may retry later, when that may be known.
            self._end_work_item(wi, self._build_final_answer(wi))
            return
        wi.generator = self._run_work_item(wi)
        self._advance_work_item(wi)

    def _on_answered(self, event):
        """A hand-off ended."""
        wi = self.work_items.get(event.wi)
        if wi is None or event.ho >= len(wi.hand_offs):
            return
        ho = wi.hand_offs[event.ho]
        if ho.answered:
            return
        ho.answered = True
        self._cancel_timer(ho)
        wi.in_flight -= 1
        self.hand_offs_in_flight -= 1
        self.nothing_in_flight_since = self.now
        self._record_possible_run(ho, event.outcome)
        self._learn_from_answer(ho, event)
        if wi.ended or event.ended:
            self._end_work_item(wi, None)
        else:
            self._advance_work_item(wi, event)

    def _record_possible_run(self, ho, outcome):
        """Updates the earliest hand-off of a work item that may have run."""
        wi = ho.wi
        if outcome not in (Outcome.OK, *NEVER_RAN) and (
            wi.first_possible_run is None or ho.sent_at < wi.first_possible_run.sent_at
        ):
            wi.first_possible_run = ho

    def _on_inherited_work_item(self, event):
        """Continues a work item of another process.

        Its earlier hand-offs count as this dispatcher's own: for the limit and the safety of repeats, for the
        slots of the worker and for the budget of a cold worker.
        """
        arrived = event.arrived
        wi = self.work_items[arrived.wi] = WorkItem(
            arrived, self.category_states[arrived.category], self.now - event.age
        )
        wi.expiry = min(wi.expiry, self.stop_at)
        for worker, age, outcome in event.hand_offs:
            ho = HandOffState(wi, len(wi.hand_offs), self.workers[worker], self.now - age, False)
            if outcome:
                ho.answered = True
                wi.hand_offs.append(ho)
                self._record_possible_run(ho, outcome)
                continue
            self._record_hand_off(ho)
            ho.last_sign_at = self.now
            if self.terms.progress_interval:
                self._check_progress(ho)
        if wi.hand_offs and not wi.in_flight and not self._may_hand_off_again(wi):
            self._end_work_item(wi, self._build_final_answer(wi))
            return
        wi.generator = self._run_work_item(wi)
        self._advance_work_item(wi)

    def _on_learned_run_times(self, event):
        """Uses the running times learned before a restart until there are new samples."""
        for number, mean, likely, samples in event.by_category:
            run_times = self.category_states[number].run_times
            if not run_times.samples:
                run_times.restore(mean, likely, samples)
                self.mean_run_time = update_moving_mean(self.mean_run_time, mean, MEAN_SAMPLES)

    def get_learned_run_times(self):
        """Returns (mean, mean with unfinished hand-offs, samples) by category, for LearnedRunTimes."""
        return tuple(
            (state.run_times.mean, state.run_times.likely, state.run_times.samples)
            for state in self.category_states
        )

    def _on_client_surge(self, event):
        """Many clients come back at once after a loss of power."""
        self.surge_until = self.now + event.time_left

    def _on_left(self, event):
        """A client gave up: its work item gets no answer, and its hand-offs are cancelled if allowed."""
        wi = self.work_items.get(event.wi)
        if wi is not None:
            self._end_work_item(wi, None)
            if self.terms.may_cancel:
                self.actions += [Cancel(wi.id, ho.number) for ho in wi.hand_offs if not ho.answered]

    def _on_rang(self, event):
        """A timer expired."""
        if event.token == DISCOVERY_RETRY_TIMER:
            self.is_discovery_retry_set = False
            self.actions.append(Subscribe(True))
        elif event.token == SCAN_TIMER:
            self._start_scan()
        elif event.token == STOP_TIMER:
            for wi in list(self.work_items.values()):
                if not wi.ended:
                    self._end_work_item(wi, self._build_final_answer(wi))
        else:
            owner = self.timers.pop(event.token, None)
            if type(owner) is HandOffState:
                self._check_progress(owner)
            elif owner is not None:  # not cancelled while it was coming due
                self._handle_wait_timeout(owner)

    def _on_planned_stop(self, event):
        """Treats the end of a planned stop as an expiry of all work items.

        Those that can no longer be in time are answered at once, so that their clients may try elsewhere.
        Those still in flight at the end are answered then, by what is known of them.
        """
        self.stop_at = self.now + event.time_left
        for wi in list(self.work_items.values()):
            wi.expiry = min(wi.expiry, self.stop_at)
            if wi.waiting_for is WAIT_FOR_WORKER and self._compute_latest_start(wi) <= self.now:
                self._end_work_item(wi, self._build_final_answer(wi))
            elif wi.waiting_for is WAIT_FOR_WORKER:
                self._wait_with_timer(wi, WAIT_FOR_WORKER, self._compute_latest_start(wi) - self.now)
        self.actions.append(SetTimer(event.time_left, STOP_TIMER))

    def _on_evacuation(self, event):
        """Operators begin or end an evacuation, which moves clients to other dispatchers."""
        self.evacuated_from = INFINITY if event.time_left is None else self.now + event.time_left

    def _on_terms_change(self, event):
        """Applies new terms; learned running times carry over.

        Work items that are already held keep the category state they arrived under: a stricter effect or a
        shorter window must not be applied to a hand-off that was made under the old one.
        """
        if len(event.terms.accounts) != len(self.token_buckets):
            self.token_buckets = [(TOKEN_BUCKET_SIZE, 0) for _ in event.terms.accounts]
        self._adjust_record_of_sent_work(event.terms)
        self.terms = event.terms
        self._compute_divisors()
        self.usable_until = 0
        old_states = self.category_states
        self.category_states = [
            CategoryState(category, old_states[old_number].run_times if old_number >= 0 else None)
            for category, old_number in zip(event.terms.categories, event.old_numbers, strict=True)
        ]
        self.work_estimate = None
        self.bound_kinds = {state.kind for state in self.category_states}
        for wi in list(self.work_items.values()):
            # The limit of hand-offs was last checked when the work item began to wait.
            if wi.waiting_for is not None and wi.hand_offs and not self._may_hand_off_again(wi):
                self._end_work_item(wi, self._build_final_answer(wi))

    def _adjust_record_of_sent_work(self, terms):
        """Notes since when the record of sent work is complete, as new terms are about to come into force."""
        if terms.push_window > self.terms.push_window:
            self.record_began_at = max(self.record_began_at, self.now - self.terms.push_window)
        if self.terms.shares_address and not terms.shares_address:
            self.record_began_at = self.now  # the other process has just ended

    def _on_fleet_view(self, event):
        """The membership view of the dispatchers changed."""
        self.fleet_view = event
        self._compute_divisors()

    def _compute_divisors(self):
        """Computes the divisors for limits that all dispatchers share.

        That is the configured number of dispatchers, or follows from their membership view if they keep one.
        Either may be wrong. Budgets whose sum over all dispatchers must not be exceeded are divided by
        budget_divisor, which shrinks only when that is safe. The own part of slots and of accounts'
        allowances goes by share_divisor, from the own share of the traffic.
        """
        configured_count = max(1, self.terms.dispatchers)
        self.budget_divisor, self.share_divisor, self.fleet_growth = configured_count, configured_count, 1.0
        if self.fleet_view is not None:
            self.budget_divisor = self.fleet_view.budget_divisor
            if 0 < self.fleet_view.traffic_share <= 1:
                self.share_divisor = 1 / self.fleet_view.traffic_share
            self.fleet_growth = max(1.0, sum(self.fleet_view.serving) / configured_count)
        self.has_peers = self.budget_divisor != 1
        self.order = DispatcherOrder(self.terms.own_number, self.terms.dispatchers)

    def _on_noted(self, event):
        """A worker reported the start or progress of a hand-off."""
        wi = self.work_items.get(event.wi)
        if wi is not None and event.ho < len(wi.hand_offs):
            wi.hand_offs[event.ho].last_sign_at = self.now

    def _on_probed(self, event):
        """A probe ended: the work items that waited for the busy alert go on."""
        worker = self.workers.get(event.worker)
        if worker is not None:
            worker.is_being_probed = False
            self.touched_workers.append(worker)
            self._apply_report(worker, event.report)
            if event.outcome == Outcome.OK:
                self.mean_alert_time += (event.elapsed - self.mean_alert_time) // 8
                worker.last_serving_at = max(worker.last_serving_at, self.now - event.elapsed)
            else:
                self._record_failure(worker)
            waiters, worker.alert_waiters = worker.alert_waiters, []
            for wi in waiters:
                if wi.waiting_for is worker:
                    self._advance_work_item(wi, self._pick_after_alert(worker, wi))

    def _on_listed(self, event):
        """Discovery sent a list of workers or changes to it, or the call to it failed."""
        if event.kind == ListKind.FAILED:
            if self.list_complete_until is None:
                self.list_complete_until = self.now - event.age
            self._schedule_discovery_retry()
            return
        if event.kind != ListKind.CACHED:
            self.discovery_failures, self.list_complete_until = 0, None
        listed_numbers, new_workers = set(), []
        for entry in event.entries:
            listed_numbers.add(entry.worker)
            worker = self.workers.get(entry.worker)
            if worker is None:
                worker = self.workers[entry.worker] = Worker(
                    entry, self.now, self.now + int(self.T * self.random.random())
                )
                self._note_start(worker)
                if entry.standing == Standing.READY:
                    new_workers.append(worker)
            else:
                old_weight, old_start = worker.weight, worker.started_at
                worker.apply_entry(entry)
                if entry.started_at != old_start:
                    worker.reset_for_start(self.now + int(self.T * self.random.random()))
                    self._note_start(worker)
                # Weights that are not live are changed by operators, at times. Their changes tell nothing
                # about the age of reports.
                if self.terms.live_weights and worker.weight != old_weight:
                    self.weight_change_interval = update_moving_mean(
                        self.weight_change_interval, self.now - worker.weight_changed_at, 32
                    )
                    worker.weight_changed_at = self.now
            self.max_weight = max(self.max_weight, worker.weight)
        if event.kind != ListKind.CACHED:
            self.start_clock.note_list(self.now)
        if event.kind != ListKind.DELTA:
            for worker in self.workers.values():
                if worker.id not in listed_numbers:
                    worker.standing = Standing.GONE
        if self.terms.may_probe:
            # New workers are probed so that their number of slots is known before their first epoch. If they
            # were probed only before a hand-off, it would stay unknown while reports are in doubt. In a large
            # fleet only a sample is probed: probing all cost hundreds of dispatchers two probes per work
            # item.
            for worker in self._sample_workers(new_workers):
                self._probe_worker(worker)
        self.ready_workers = [worker for worker in self.workers.values() if worker.standing == Standing.READY]
        self._choose_preferred_workers()
        self.is_full_scan_due, self.usable_until, self.fewest_slots = True, 0, {}
        if event.kind == ListKind.CACHED:
            if not self.terms.pushed_list:
                self.actions.append(Subscribe(True))

    def _note_start(self, worker):
        """Notes the start with which discovery has just listed a worker."""
        worker.start = None
        if worker.started_at > 0:
            worker.start = self.start_clock.note_start(self.now, worker.started_at)

    def _on_worker_removal(self, event):
        """A worker is gone and its number will not be used again."""
        worker = self.workers.pop(event.worker)
        self.reporters.pop(worker.id, None)

    def _schedule_discovery_retry(self):
        """Sets the timer for the next call to discovery, with exponential back-off and jitter.

        The jitter spreads out the calls of many dispatchers.
        """
        if self.is_discovery_retry_set:
            return  # a second failure notice during the pause must not lead to a second subscription
        self.is_discovery_retry_set = True
        self.discovery_failures += 1
        max_pause, first_pause = (
            min(self.terms.discovery_poll_interval / 4, DISCOVERY_NOTICE_NS / 3),
            self.terms.connect_timeout * self.fleet_growth,
        )
        if self.terms.pushed_list:
            # If discovery pushes the list, a dispatcher counts as informed as soon as discovery works again.
            max_pause, first_pause = self.terms.drain_grace / 4, self.terms.drain_grace / 32
        pause = min(max_pause, first_pause * 2 ** min(self.discovery_failures, 16))
        self.actions.append(SetTimer(int(pause * (0.5 + self.random.random())), DISCOVERY_RETRY_TIMER))

    # ---- open workers

    def _take_account_token(self, account):
        """Takes a token of an account; returns whether the work item is within the account's share.

        Each dispatcher refills the bucket at its own part of the account's allowance. A bucket of less than a
        few tokens would reject accounts that keep to their share, as their work items arrive unevenly at one
        dispatcher.
        """
        terms = self.terms
        rate = terms.accounts[account].allowance / self.share_divisor / SECOND
        tokens, filled_at = self.token_buckets[account]
        tokens = min(TOKEN_BUCKET_SIZE, tokens + rate * (self.now - filled_at))
        self.token_buckets[account] = tokens - (tokens >= 1), self.now
        return tokens >= 1

    def _compute_credit_rate(self, wi):
        """Returns the credit of a work item per nanosecond of its running time."""
        return (
            (1.0 if wi.is_within_share else self.terms.excess_credit)
            * wi.category.credit
            / self._get_mean_run_time(wi.category)
        )

    def _get_mean_run_time(self, category):
        """Returns the mean running time of a category; where none is learned, that of all categories, or 1 so
        that all count alike."""
        return category.run_times.mean or self.mean_run_time or 1.0

    def _should_yield(self, wi):
        """Whether a work item leaves the slots to work of more credit, decided at random.

        With live weights no report shows how short slots are; the share of rejected hand-offs does. Half of a
        work item's tries stand for its likely loss, as all of them meet the same full fleet. Work of less
        credit stays away once the credit that other work is likely to lose is worth more.
        """
        if not self.terms.live_weights:
            return False
        best_rate = max(state.credit / self._get_mean_run_time(state) for state in self.category_states)
        return (
            wi.yield_draw * self._estimate_rejected_share() ** self.terms.most_hand_offs
            > (self._compute_credit_rate(wi) / best_rate) ** 2
        )

    def _estimate_rejected_share(self):
        """Returns the share of hand-offs that are likely to be rejected as FULL.

        While none is in flight nothing tells that there is room again, so what was seen counts for half after
        each second. Guards against all work yielding for ever to work that does not come.
        """
        if self.hand_offs_in_flight:
            return self.rejected_share
        return self.rejected_share / 2 ** min(64, (self.now - self.nothing_in_flight_since) // SECOND)

    def _pick_open_worker(self, wi):
        """Returns a random open worker, or None. Each open slot counts as one of the paper's servers.

        If hand-offs to another area have a price, workers of the own area come first. A work item waits for
        one of them as long as the chance to be in time that it loses by waiting is worth less than the price.
        """
        # After this many busy alerts without an open worker it is likely that none is open. A worker then no
        # longer counts as open by the own record, only by a report of the last two ticks. Only these
        # reporters are searched: searching the fleet for them took most of the time when all workers were
        # closed.
        preferred, fallback = (
            self.preferred_workers if not wi.hand_offs else self.ready_workers,
            self.ready_workers,
        )
        if wi.alert_requests >= self.terms.most_hand_offs and not self._should_use_own_record():
            preferred, fallback = (), list(self._iterate_reporters(2 * self.terms.tick))
        elif len(preferred) > WORKER_SAMPLE_SIZE:
            # Rejection sampling: workers are drawn at random and accepted in proportion to their open slots.
            # This gives the same distribution as below at a cost that does not grow with the fleet.
            largest_weight = self.max_weight if self.terms.live_weights else self.max_slots * self.max_pace
            # Workers in slow start count only if this dispatcher may use them, which few draws would find.
            ranked = [
                (worker, *self._rank_worker(worker, wi)) for worker in self._list_usable_in_slow_start()
            ]
            starting = {worker: weight for worker, rank, weight in ranked if rank == BEST_RANK}
            starting_weight = sum(starting.values())
            total_weight = len(preferred) * largest_weight + starting_weight
            spare = None
            for _ in range(WORKER_SAMPLE_SIZE):
                if starting and self.random.random() * total_weight < starting_weight:
                    return self.random.choices(list(starting), list(starting.values()))[0]
                worker = preferred[int(self.random.random() * len(preferred))]
                if self._is_cold(worker):
                    continue
                rank, slots = self._rank_worker(worker, wi)
                if rank == BEST_RANK and self.random.random() * largest_weight < slots:
                    # With live weights a drawn worker with an idle connection comes first: new connections
                    # may be slow and costly.
                    if (
                        not self.terms.live_weights
                        or worker.connections_idle_since
                        and (
                            self.now - worker.connections_idle_since[-1] < self.terms.connection_idle_timeout
                        )
                    ):
                        return worker
                    spare = spare or worker
            if spare is not None:
                return spare
        choices = None
        if preferred is not fallback:
            choices, weights = self._find_best_open(preferred, wi, BEST_RANK)
        if not choices:
            choices, weights = self._find_best_open(fallback, wi, 0)
        return self.random.choices(choices, weights)[0] if choices else None

    def _find_best_open(self, workers, wi, best_rank):
        """Returns the open workers of the highest rank, if that is at least best_rank, and their weights."""
        choices, weights = [], []
        for worker in workers:
            rank, slots = self._rank_worker(worker, wi)
            if rank > best_rank:
                best_rank, choices, weights = rank, [], []
            if slots and rank == best_rank:
                choices.append(worker)
                weights.append(slots)
        return choices, weights

    def _rank_worker(self, worker, wi):
        """Returns (rank up to BEST_RANK, weight by open slots), (-1, 0) if the work item cannot go there."""
        has_area_price = self.terms.area_price > 0
        was_rejected = bool(wi.hand_offs)  # after one rejection any area and any kind will do
        is_preferred = was_rejected or not has_area_price or worker.area == self.terms.area
        if not is_preferred and self._should_wait_for_own_area(wi):
            return -1, 0
        # Workers of a kind that some category is bound to are left to that category, except by work items
        # that were rejected once. When those were limited to the other kinds too, they filled them, and three
        # in ten were lost while the bound kinds had room.
        is_preferred = (
            was_rejected or is_preferred and (wi.category.kind >= 0 or worker.kind not in self.bound_kinds)
        )
        # A work item past its due time leaves the last open slot of a worker to other dispatchers, which may
        # have work that is still in time. If there is only one dispatcher, its queue is in order anyway.
        spare_slots = self.now > wi.due_at and worker.slots > wi.slots and self.has_peers
        slots = self._count_open_slots(worker, wi.slots + spare_slots)
        if slots <= 0 or not self._may_hand_off_to(worker, wi):
            return -1, 0
        is_surely_open = slots >= MAX_SURPLUS_SLOT_WEIGHT
        rank = 2 * is_surely_open + is_preferred
        if self.terms.live_weights:
            weight = worker.weight * min(1, slots)
        else:
            weight = slots * self.pace_by_kind.get(worker.kind, 1.0)
        return rank, weight * self._compute_slow_start_weight(worker) if self._is_cold(worker) else weight

    def _choose_preferred_workers(self):
        """Updates preferred_workers from ready_workers."""
        if self.terms.area_price > 0:
            self.preferred_workers = [
                worker for worker in self.ready_workers if worker.area == self.terms.area
            ]
        else:
            self.preferred_workers = self.ready_workers

    def _should_wait_for_own_area(self, wi):
        """Whether a work item still waits for a worker of the own area, to save the price of another."""
        price = self.terms.area_price
        slack = wi.category.due_time + (wi.category.stretch - 1) * wi.category.run_times.mean
        return price > 0 and self.now - wi.arrived_at < price * slack

    def _count_open_slots(self, worker, needed_slots=1):
        """Returns how many of a worker's slots are open, 0 if fewer than needed.

        By the own record slots open at update epochs; a fresh report limits the number further. Without one
        the result is a weight: slots beyond the own part of the worker count for little.
        """
        now = self.now
        if worker.closed_until > now:
            return 0
        if worker.answered_hand_offs:
            T = self.terms.tick if self.queue else self.T
            worker.answered_hand_offs = [ho for ho in worker.answered_hand_offs if ho.is_slot_closed(now, T)]
        slots = worker.slots or 1
        taken_slots = worker.slots_in_use + len(worker.alert_waiters)
        for ho in worker.answered_hand_offs:
            taken_slots += ho.wi.slots
        if (
            worker.failures_in_row
            and taken_slots
            and (self.is_doubting_reports or worker.is_refusing_connections)
        ):
            # After a failure, and without usable reports, a worker gets one work item at a time until one is
            # answered. The same holds if connections to it could not be opened: it may be restarting, cold,
            # before the list says so, and the whole queue at once would overload it (or use up its hand-offs
            # while the worker is down).
            return 0
        own_free_slots = slots - taken_slots
        if own_free_slots < needed_slots and (taken_slots or worker.slots):
            return 0
        if worker.reported_free is None or not self._is_report_fresh(worker):
            # This dispatcher does not know what others send to the worker, so it counts on its own part of
            # the slots only.
            own_part = max(1, slots / self.share_divisor)
            return (
                slots * (1 - taken_slots / own_part)
                if taken_slots < own_part
                else min(own_free_slots, MAX_SURPLUS_SLOT_WEIGHT / (1 + taken_slots))
            )
        reported_free_slots = worker.reported_free - worker.slots_since_report - len(worker.alert_waiters)
        if reported_free_slots >= max(needed_slots, slots / 4) and worker.reported_waiting < 1:
            return min(own_free_slots, reported_free_slots)
        # A report without free slots would stay in force for ever if this dispatcher sent nothing more to the
        # worker. It expires after an epoch, or when a slot has likely become free there if that is later.
        return own_free_slots if now >= worker.reported_at + max(self.T, self.mean_run_time / slots) else 0

    def _is_report_fresh(self, worker):
        """Whether the worker's last report is newer than a mean running time, and not in doubt."""
        return not self.is_doubting_reports and self.now - worker.reported_at < (self.mean_run_time or self.T)

    def _space_out_tries(self, wi):
        """Spreads the hand-offs that a work item has left over the time it has left."""
        if wi.next_closed_try_at <= self.now:
            time_left = max(0, self._compute_latest_start(wi) - self.now)
            wi.next_closed_try_at = self.now + time_left // max(
                1, self.terms.most_hand_offs - len(wi.hand_offs)
            )

    def _pick_closed_worker(self, wi):
        """Returns a worker to hand off to although none is open, or None if it is better to wait.

        With usable reports that is a worker with the shortest wait that still lets the work item be in time.
        """
        if self.terms.live_weights and self.is_doubting_reports:
            if self.now < wi.next_closed_try_at:
                return None
            self._space_out_tries(wi)
            candidates = [
                w
                for w in self._sample_workers(self.ready_workers)
                if not w.is_refusing_connections and self._may_hand_off_to(w, wi)
            ]
            return self.random.choices(candidates, [w.weight for w in candidates])[0] if candidates else None
        shortest_wait, choices = wi.due_at - self.now, []
        for worker in (
            () if self.is_doubting_reports else self._iterate_reporters(self.mean_run_time or self.T)
        ):
            wait = self._estimate_wait(worker)
            if wait <= shortest_wait and self._may_hand_off_to(worker, wi):
                if wait < shortest_wait:
                    choices = []
                shortest_wait = wait
                choices.append(worker)
        return self.random.choice(choices) if choices else None

    def _estimate_wait(self, worker):
        """Returns how long a work item is likely to wait at a worker for a slot; INFINITY if unknown."""
        if worker.closed_until > self.now or worker.is_refusing_connections or not worker.slots:
            return INFINITY
        if worker.reported_free is None or not self._is_report_fresh(worker):
            return INFINITY
        held_slots = (
            worker.slots
            - worker.reported_free
            + worker.reported_waiting
            + worker.slots_since_report
            + len(worker.alert_waiters)
        )
        return max(0, held_slots + 1 - worker.slots) * self._estimate_run_time() / worker.slots

    def _estimate_run_time(self):
        """Returns the mean running time over all categories, 0 if none is learned.

        A dispatcher that asks no worker before a hand-off counts with the longest time for which a hand-off
        has been running, as the mean is hardly shorter. Guards against all that waits going to the one worker
        that was heard of last.
        """
        if self.mean_run_time or not self._should_use_own_record():
            return self.mean_run_time
        if self.longest_run is None:
            self.longest_run = max(
                (
                    self.now - ho.sent_at
                    for worker in self.ready_workers
                    for ho in worker.hand_offs_in_flight
                    if ho.is_running
                ),
                default=0,
            )
        return self.longest_run

    def _pick_after_alert(self, worker, wi):
        """Returns the worker that was asked for its busy alert if it is open, else another one or None."""
        if (
            self._may_hand_off_to(worker, wi)
            and self._count_open_slots(worker, wi.slots) > 0
            and (self._has_just_shown_room(worker, wi.slots) or not self._is_last_try(wi))
        ):
            return worker
        return self._pick_worker(wi)

    def _may_hand_off_to(self, worker, wi):
        """Whether a worker can take a work item at all, apart from its open slots.

        Checks its standing and kind, the group in which a ticketed work item that may have run is recognised,
        its memory and the budget of a cold worker.
        """
        category = wi.category
        if category.kind not in (-1, worker.kind) or worker.standing != Standing.READY:
            return False  # the worker may have begun to drain while its busy alert was awaited
        possible_run = wi.first_possible_run
        if possible_run is not None and category.effect == Effect.TICKETED:
            if self.now >= wi.compute_window_end():
                return False
            if category.group == Group.AREA and worker.area != possible_run.worker.area:
                return False
            if category.group == Group.POD and worker.pod != possible_run.worker.pod:
                return False
        if wi.memory > 0 and worker.slots and not self._has_free_memory(worker, wi):
            return False
        return not self._is_cold(worker) or self._may_send_in_slow_start(worker, wi)

    def _has_free_memory(self, worker, wi):
        """Whether a worker has the memory that a work item needs.

        A worker has one unit of memory per slot. Work items of other dispatchers are assumed to need the
        mean.
        """
        held_slots = (
            worker.slots - worker.reported_free + worker.slots_since_report
            if worker.reported_free is not None
            else 0
        )
        others_slots = max(0, held_slots - worker.slots_in_use) if self._is_report_fresh(worker) else 0
        return wi.memory <= worker.slots - worker.memory_in_use - others_slots * self.mean_slot_memory

    # ---- workers in slow start

    def _compute_age(self, worker):
        """Returns how long ago a worker with a known start has started."""
        return self.start_clock.compute_age(self.now, worker.start)

    def _is_cold(self, worker):
        """Whether a worker is still warming up."""
        return worker.start is not None and self._compute_age(worker) < self.terms.warm_up

    def _may_send_in_slow_start(self, worker, wi):
        """Whether a work item is within this dispatcher's part of the budget of a worker in slow start.

        No report widens that part. Where reports are used, the worker has to show room besides, or to be
        asked first.
        """
        if not (
            self._should_use_own_record()
            or self._has_just_shown_room(worker, wi.slots)
            or not self._is_state_known(worker)
            and wi.alert_requests < self.terms.most_hand_offs
        ):
            return False
        return self._compute_allowance(worker).admits(
            self._count_requests(wi), self._count_recent_requests(worker), wi.category.run_times.samples > 0
        )

    def _has_complete_record(self):
        """Whether this dispatcher knows all that it sent within the push window."""
        if self.terms.shares_address:
            return False
        return self.now - self.record_began_at >= self.terms.push_window

    def _compute_allowance(self, worker):
        """Returns the Allowance of a worker in slow start."""
        requests = compute_allowance(
            self.terms,
            self._compute_age(worker),
            self._estimate_min_slots(worker),
            self._estimate_work().longest_mean,
        )
        if not self.budget_divisor:
            requests = 0.0  # the other dispatchers may already divide all of it among themselves
        elif not self._has_complete_record():
            requests *= RESTART_SHARE
        rank = self.order.compute_rank(worker.key, worker.started_at)
        rank_by_divisor = rank * self.budget_divisor / self.order.dispatchers
        return Allowance(requests, self.budget_divisor, rank_by_divisor)

    def _compute_slow_start_weight(self, worker):
        """Returns by how much more, or less, work a worker in slow start gets from this dispatcher.

        Its subset of the dispatchers carries what all of them send to a warm worker.
        """
        capacity_share = compute_capacity_share(self.terms, self._compute_age(worker))
        return capacity_share * self._compute_allowance(worker).represented_dispatchers

    def _count_requests(self, wi):
        """Returns the likely work of a work item in requests of mean work."""
        return self._estimate_work().count_requests(wi.category, wi.slots)

    def _count_recent_requests(self, worker):
        """Returns what this dispatcher sent a worker within the push window, in requests of mean work."""
        return worker.sent_work.sum_recent(self.now, self.terms.push_window, self._estimate_work())

    def _list_usable_in_slow_start(self):
        """Returns the ready workers in slow start of whose subset this dispatcher is a member.

        In a large fleet a dispatcher rarely looks at a given worker, so what waits looks at these by itself.
        """
        if self.now >= self.usable_until:
            self.usable_until = self.now + USABLE_REFRESH_NS
            self.usable_in_slow_start = [
                worker
                for worker in self.ready_workers
                if self._is_cold(worker) and self._compute_allowance(worker).is_usable
            ]
        return self.usable_in_slow_start

    def _estimate_min_slots(self, worker):
        """Returns the slots that a worker has at least: the most it has shown, else the fewest that others of
        its kind have."""
        if worker.slots:
            return worker.slots
        if worker.kind not in self.fewest_slots:
            shown = [w.slots for w in self.ready_workers if w.slots and w.kind == worker.kind]
            self.fewest_slots[worker.kind] = min(shown, default=1)
        return self.fewest_slots[worker.kind]

    def _estimate_work(self):
        """Returns the WorkEstimate of this call."""
        if self.work_estimate is None:
            self.work_estimate = WorkEstimate(self.category_states, self.now)
        return self.work_estimate

    def _describe_slow_start(self, worker, wi):
        """Returns the SlowStartNote of a hand-off that is about to go to a worker in slow start."""
        requests, allowance = self._count_requests(wi), self._compute_allowance(worker)
        recent = self._count_recent_requests(worker)
        samples = wi.category.run_times.samples
        return SlowStartNote(
            allowance.explain(requests, recent, samples > 0) or SlowStartReason.LONG,
            self._compute_age(worker),
            requests,
            recent,
            allowance.own_part,
            int(self._estimate_work().longest_mean),
            samples,
            self._estimate_min_slots(worker),
        )

    def read_state(self):
        """Returns the ModuleState, for the log."""
        return ModuleState(
            ready=len(self.ready_workers),
            slow_start=sum(map(self._is_cold, self.ready_workers)),
            closed=sum(worker.closed_until > self.now for worker in self.ready_workers),
            queued=len(self.queue),
            in_flight=self.hand_offs_in_flight,
            is_doubting_reports=self.is_doubting_reports,
            mean_run_time=int(self.mean_run_time),
            epoch=self.T,
            load=self.reported_load,
        )

    # ---- learning

    def _learn_from_answer(self, ho, event):
        """Updates the state of the worker and all learned means with an answered hand-off."""
        worker, wi = ho.worker, ho.wi
        # The report is applied before the hand-off is removed, as a report that arrives with an answer still
        # has to count the work item answered. A report that does not count it is out of date. With little
        # traffic this is the most frequent sign of late reports.
        self._apply_report(worker, event.report)
        worker.hand_offs_in_flight.remove(ho)
        self.touched_workers.append(worker)
        worker.answered_hand_offs.append(ho)
        worker.slots_in_use -= wi.slots
        worker.memory_in_use -= wi.memory
        if event.outcome not in (Outcome.CONNECT_FAILED, Outcome.TIMEOUT, Outcome.RESET):
            worker.connections_idle_since.append(self.now)
        if (
            not worker.hand_offs_in_flight
            and not self.terms.connection_price
            and not self.terms.live_weights
            and self.mean_hand_off_gap * len(self.ready_workers) > self.terms.connection_idle_timeout
        ):
            # The idle connection would time out before its likely next use. With hundreds of dispatchers,
            # idle connections use up those that a worker can accept.
            self.actions.append(CloseIdle(worker.id))
        run_time = event.elapsed
        ho.elapsed = run_time
        self.rejected_share += ((event.outcome == Outcome.FULL) - self.rejected_share) / 16
        # If long work items do not finish (cold workers, time-outs), the mean of the finished ones falls.
        # Cold workers would then be overloaded by work items that are taken to be short.
        run_times = wi.category.run_times
        if ho.is_running:
            run_times.end_run(ho.sent_at)
        if ho.was_worker_open and event.outcome not in NEVER_RAN:
            run_times.learn(run_time, event.outcome == Outcome.OK, self._is_cold(worker))
        if event.outcome == Outcome.OK:
            worker.failures_in_row = 0
            worker.is_refusing_connections = False
            worker.closed_until = 0
            worker.last_serving_at = max(worker.last_serving_at, ho.sent_at)
            if ho.was_worker_open or not self.mean_run_time:
                run_times.learn_mean(run_time)
                self.mean_run_time = update_moving_mean(self.mean_run_time, run_time, MEAN_SAMPLES)
                self._learn_pace(worker.kind, log(run_time / run_times.mean))
        elif event.outcome not in (Outcome.CANCELLED, Outcome.MOOT, Outcome.STALE):
            self._record_failure(worker)
            worker.is_refusing_connections = event.outcome == Outcome.CONNECT_FAILED or (
                worker.is_refusing_connections and event.outcome != Outcome.FULL
            )
            if event.outcome == Outcome.FULL and (
                self._is_room_reported(event.report, wi) or ho.had_shown_room
            ):
                self._doubt_reports()

    def _learn_pace(self, kind, log_run_time):
        """Updates the relative pace of a worker kind with one more running time.

        Without it, equal shares of the work overload the slower kinds if nothing else is known. Running times
        are heavy-tailed, so their logarithms are compared, and few samples have little weight.
        """
        for log_key in (None, kind):
            count, mean = self.run_time_logs.get(log_key, (0, 0.0))
            self.run_time_logs[log_key] = count + 1, mean + (log_run_time - mean) / (count + 1)
        for kind, (count, mean) in self.run_time_logs.items():
            if kind is not None:
                self.pace_by_kind[kind] = exp(
                    (self.run_time_logs[None][1] - mean) * count / (count + PACE_HALF_WEIGHT_SAMPLES)
                )
        self.max_pace = max(1.0, *self.pace_by_kind.values())

    def _record_failure(self, worker):
        """Closes a worker for an epoch.

        The time doubles with each further failure in a row, up to 16 epochs; an answer ends it.
        """
        worker.closed_until = max(worker.closed_until, self.now + (self.T << min(worker.failures_in_row, 4)))
        worker.failures_in_row += 1

    def _apply_report(self, worker, report):
        """Updates the state of a worker with its load report, if there is one."""
        if report is None or report.free_slots is None:
            return
        if report.held is not None:
            # A report that shows fewer work items than this dispatcher alone has long had in flight there is
            # out of date. One that agrees may do so by chance, so reports are used again only after a series
            # without contradiction. A hand-off that is in flight for twice the mean running time without a
            # progress note does not count: its answer may have been lost.
            run_time = self.mean_run_time or self.T
            if round(report.held) < sum(
                run_time < (self.now - ho.last_sign_at) * 8 < 16 * run_time
                for ho in worker.hand_offs_in_flight
            ):
                self._doubt_reports()
        # Reports are slightly noisy. Without rounding, a worker with one slot, which is free, would report
        # 0.97 and stay closed.
        worker.reported_free, worker.reported_at, worker.slots_since_report = (
            round(report.free_slots),
            self.now,
            0,
        )
        self.reporters.pop(worker.id, None)
        self.reporters[worker.id] = worker
        worker.reported_waiting = round(report.waiting or 0)
        running_slots = max(0, round(report.held or 0) - worker.reported_waiting)
        shown_slots = worker.reported_free + running_slots if worker.reported_free else 0
        if shown_slots > worker.slots:
            worker.slots, self.fewest_slots = shown_slots, {}
        self.max_slots = max(self.max_slots, worker.slots)
        if worker.slots:
            self.reported_load += (max(0, 1 - worker.reported_free / worker.slots) - self.reported_load) / 32

    def _is_room_reported(self, report, wi):
        """Whether a report shows enough room for a work item.

        A report with room that comes with the outcome FULL is older than that answer. With few own hand-offs
        there is hardly any other way to notice late reports.
        """
        return (
            report is not None
            and report.free_slots is not None
            and not round(report.waiting or 0)
            and round(report.free_slots) >= max(wi.slots, 2 * wi.memory)
        )

    def _doubt_reports(self):
        """Ignores load reports for a mean running time.

        The time doubles with each further contradiction in a row, up to 16 times.
        """
        doubt_length = int(self.mean_run_time or self.T)
        if not self.is_doubting_reports:
            # If reports were used again without contradiction for as long as they had been ignored, the count
            # starts again.
            trusted_length = self.now - self.doubt_until
            self.doubts_in_row = (
                0 if trusted_length > doubt_length << self.doubts_in_row else min(self.doubts_in_row + 1, 4)
            )
        self.is_doubting_reports = True
        self.doubt_until = self.now + (doubt_length << self.doubts_in_row)

    def _learn_T(self):
        """Adapts T, the time between update epochs, to the load.

        In units of the mean running time, T is the largest value up to 2 with load * T / (1 - e^-T) < 1.
        """
        if not self.mean_run_time or not self.mean_hand_off_gap or not self.ready_workers:
            return
        # The paper's design has one dispatcher. If there are several, the load is the one shown by reports,
        # whoever sent the work.
        load = max(
            self.mean_run_time
            / self.mean_hand_off_gap
            / sum(worker.slots or 1 for worker in self.ready_workers),
            self.reported_load,
        )
        low, high = 0.0, 2.0
        if load * high / (1 - exp(-high)) >= 1:
            for _ in range(12):
                T = (low + high) / 2
                low, high = (T, high) if load * T / (1 - exp(-T)) < 1 else (low, T)
        else:
            low = high
        self.T = max(self.terms.tick, int(low * self.mean_run_time))
