"""Passes events to the decision module and carries out the actions that it returns."""

import asyncio
from random import Random

import structlog

from heronwinch import interface
from heronwinch.net.diagnostics import AnswerLog
from heronwinch.net.identifiers import NumberPool
from heronwinch.protocol.clients import AdmissionRules, encode_path_segment
from heronwinch.protocol.handover import RepeatRules

log = structlog.get_logger()

ANSWER_MARGIN_NS = 2_000_000  # answers are sent this long before the client's time is up
OVERDUE_SECONDS = 0.02  # a work item that the module left unanswered is answered this long after its expiry


class WorkItem:
    """A work item, from its arrival until its last hand-off has ended."""

    __slots__ = (
        "number",
        "job",
        "client",
        "effect",
        "expiry",
        "outcomes",
        "in_flight",
        "ended",
        "is_orphaned",
        "expiry_timer",
        "accepted_at",
        "initial_time_left",
        "sent_to",
        "in_ledger",
        "repeat_rules",
    )

    def __init__(self, number, job, client, effect, accepted_at, initial_time_left):
        self.number, self.job, self.client, self.effect = number, job, client, effect
        # When it was accepted, and how much time it had left then, both in nanoseconds.
        self.accepted_at, self.initial_time_left = accepted_at, initial_time_left
        self.expiry = accepted_at + initial_time_left  # clock time
        self.outcomes = []  # outcomes by hand-off number; None while the hand-off is in flight
        self.sent_to = []  # (number of the worker, clock time of the hand-off) by hand-off number
        self.in_flight = 0  # number of hand-offs in flight
        self.ended = False
        self.is_orphaned = False  # whether the module instance that handed it off was replaced
        self.expiry_timer = None
        self.in_ledger = False  # whether the ledger has a record of it
        self.repeat_rules = None  # the RepeatRules of its category when it was accepted


class Engine:
    """Runs the decision module, one call at a time: the events of an event loop turn are collected and
    handled in one call, and the actions it returns are carried out in their order. Events caused by these
    actions go into the next call.

    The engine calls the clients of work items (`finish`, `defer`, `write_off`), the workers
    (`start_hand_off`, `cancel_hand_off`, `start_probe`, `close_idle_connections`, `make_listed_event`) and
    discovery (`subscribe`, `fetch`)."""

    def __init__(self, make_module, terms, names, seed, machine, counters, recent_ids=None):
        self.make_module = make_module
        self.terms, self.names = terms, names
        self.random = Random(seed)
        self.machine = machine
        self.counters = counters
        self.answer_log = AnswerLog(machine, counters)
        self.loop = asyncio.get_running_loop()
        self.category_numbers = {encode_path_segment(name): i for i, name in enumerate(names.categories)}
        self.key_numbers = NumberPool()
        self.recent_ids = machine.make_private_ids() if recent_ids is None else recent_ids
        self.items = {}  # number -> WorkItem
        self.accepted_count = 0
        self.events = []  # events for the next call of the policy module
        self.items_to_drop = []  # items to drop after the next call of the module, if done by then
        self.is_turn_scheduled = False  # whether the module is called in the next event loop turn
        self.stop_at = None  # clock time by which a planned stop has to be over
        self.workers = None
        self.discovery = None
        self.ledger = None  # net.ledger.Ledger, which records work items that are not rerunnable, or None
        self.held_answers = set()  # tasks of answers that wait for their ledger record
        self.timers = {}  # token -> asyncio.TimerHandle of a timer of the module
        self.last_fleet_event = None  # the latest event about other dispatchers, for a restarted module
        self.module = make_module(terms, self.random.getrandbits(64))
        self.action_handlers = {
            interface.HandOff: self._start_hand_off,
            interface.Defer: self._answer_item,
            interface.WriteOff: self._answer_item,
            interface.Cancel: self._cancel_hand_off,
            interface.SetTimer: self._set_timer,
            interface.CancelTimer: self._cancel_timer,
            interface.Probe: lambda action: self.workers.start_probe(action.worker),
            interface.CloseIdle: lambda action: self.workers.close_idle_connections(action.worker),
            interface.Subscribe: lambda action: self.discovery.subscribe(action.on),
            interface.Fetch: lambda action: self.discovery.fetch(),
            interface.Log: lambda action: log.info("module", text=action.text),
        }

    def make_admission_rules(self):
        """Returns the rules by which clients' requests are accepted or rejected."""
        category_terms = self.terms.categories
        return AdmissionRules(
            {
                path: category_terms[i].effect == interface.Effect.TICKETED
                for path, i in self.category_numbers.items()
            },
            self.recent_ids,
        )

    def change_terms(self, terms, names):
        """Applies new terms from now on; work items accepted before keep their category."""
        self.handle_pending_events()  # earlier events carry the old category numbers
        old_categories, self.names = self.names.categories, names
        self.terms = terms
        self.category_numbers = {encode_path_segment(name): i for i, name in enumerate(names.categories)}
        self.post(
            interface.TermsChange(
                terms,
                tuple(
                    old_categories.index(name) if name in old_categories else -1 for name in names.categories
                ),
            )
        )

    # ---- events

    def post(self, event):
        """Queues an event for the module, which is called in the next event loop turn."""
        self.events.append(event)
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            self.loop.call_soon(self._run_module)

    def _run_module(self):
        """Passes the queued events to the module and carries out its actions."""
        self.is_turn_scheduled = False
        events, self.events = self.events, []
        items_to_drop, self.items_to_drop = self.items_to_drop, []
        try:
            actions = self.module.handle(self.machine.now(), events)
        except Exception:
            # A fault in the module must not take down the dispatcher and all the work items that it holds.
            if self.counters.count("module_fault"):
                log.exception("module_fault", events=[type(event).__name__ for event in events[:8]])
            self._restart_module()
            actions = ()
        for action in actions:
            try:
                self.action_handlers[type(action)](action)
            except Exception:
                if self.counters.count("action_fault"):
                    log.exception("action_fault", action=type(action).__name__)
        # Items are dropped only now: in the call that tells the module of their end, it may still return
        # actions for them.
        for item in items_to_drop:
            self._drop_if_done(item)

    def _restart_module(self):
        """Replaces the module after a fault, as its state is in doubt. As after a restart of the process, the
        new module gets the list of workers and nothing else. Work items without a hand-off in flight are
        answered at once, the others when their hand-offs have ended."""
        self.events = []
        for timer in self.timers.values():
            timer.cancel()
        self.timers.clear()
        self.module = self.make_module(self.terms, self.random.getrandbits(64))
        for item in list(self.items.values()):
            item.is_orphaned = True
            if not item.ended and not item.in_flight:
                self._answer_without_module(item)
                self._drop_if_done(item)
        self.post(self.workers.make_listed_event())
        if self.terms.pushed_list:
            # The replaced module may have been about to subscribe again. Where lists are fetched on request,
            # the new module does so by itself.
            self.discovery.subscribe(True)
        if self.last_fleet_event is not None:
            self.post(self.last_fleet_event)

    def _answer_without_module(self, item):
        """Answers a work item without the module: written off if it may have run and is not rerunnable, else
        deferred."""
        self._end_item(item, _make_safe_answer(item.number, item.outcomes, item.effect))

    def accept_job(self, job, client, request_began_at):
        """Turns a client's job into a work item and returns it."""
        category_number = self.category_numbers[job.category]
        category_terms = self.terms.categories[category_number]
        # The client counts its time from when it sent the request, so the time left counts from the first
        # byte that arrived here, not from the last.
        time_left = max(
            0,
            request_began_at
            - self.machine.now()
            - ANSWER_MARGIN_NS
            + (category_terms.expiry if job.time_left is None else job.time_left),
        )
        item = self._add_item(job, client, category_terms, self.machine.now(), time_left)
        if self.ledger is not None and category_terms.effect != interface.Effect.RERUNNABLE:
            self.ledger.admit_item(item, category_number)
        else:
            self.post(self.make_arrived_event(item, category_number))
        return item

    def _add_item(self, job, client, category_terms, accepted_at, initial_time_left):
        """Adds a work item with its expiry timer. A planned stop shortens its expiry."""
        self.recent_ids.add(job.id, initial_time_left)
        self.accepted_count += 1
        item = self.items[self.accepted_count] = WorkItem(
            self.accepted_count, job, client, category_terms.effect, accepted_at, initial_time_left
        )
        item.repeat_rules = _get_repeat_rules(category_terms)
        if self.stop_at is not None:
            item.expiry = min(item.expiry, self.stop_at)
        self._set_expiry_timer(item)
        return item

    def make_arrived_event(self, item, category_number):
        """Returns the event that tells the module of a work item."""
        # No header names the account. Counting all work items for the first account would apply the limit of
        # that account's share to everybody.
        job = item.job
        return interface.Arrived(
            item.number,
            category_number,
            -1,
            self.key_numbers.acquire(job.key),
            item.initial_time_left,
            0,
            job.slots,
            job.memory,
            job.repeated,
            False,
        )

    def can_resume_item(self, client_state):
        """Whether the category of a work item is served here with the rules under which it was accepted. A
        work item keeps these, whatever the settings say later."""
        category_number = self.category_numbers.get(client_state.job.category)
        return (
            category_number is not None
            and _get_repeat_rules(self.terms.categories[category_number]) == client_state.repeat_rules
        )

    def resume_item(self, client_state, client, streams):
        """Continues a work item that another process has handed over. `streams` are the reader and writer
        of the worker's connection if a hand-off is in flight, else None."""
        job, now = client_state.job, self.machine.now()
        category_number = self.category_numbers[job.category]
        category_terms = self.terms.categories[category_number]
        item = self._add_item(job, client, category_terms, now - client_state.age, client_state.given)
        if (listed := self.workers.add_unlisted_workers(client_state.hosts)) is not None:
            self.post(listed)
        inherited = tuple(
            interface.InheritedHandOff(self.workers.by_host[ho.host].number, ho.age, ho.outcome)
            for ho in client_state.hand_offs
        )
        item.outcomes = [interface.Outcome(ho.outcome) if ho.outcome else None for ho in inherited]
        item.sent_to = [(ho.worker, now - ho.age) for ho in inherited]
        self.post(
            interface.InheritedWorkItem(
                self.make_arrived_event(item, category_number), client_state.age, inherited
            )
        )
        if streams is not None:
            item.in_flight = 1
            self.workers.resume_hand_off(item, inherited[-1], client_state.heard, streams)
        return item

    def answer_unresumable_item(self, client_state, client):
        """Answers a work item that another process has handed over and that can't be continued here: written
        off if it may have run and is not rerunnable, else deferred."""
        outcomes = [ho.outcome for ho in client_state.hand_offs]
        answer = _make_safe_answer(0, outcomes, client_state.repeat_rules.effect)
        self._send_answer(client, answer, b"")

    def hand_over(self, item):
        """Releases a work item that another process has taken over; it gets no answer here."""
        item.ended = True
        item.expiry_timer.cancel()
        item.client = None
        self.key_numbers.release(item.job.key)
        del self.items[item.number]
        self.post(interface.Left(item.number))

    def forget_superseded(self, item):
        """Drops a work item of which the module was not told, as its client was given to another work
        item."""
        item.ended = True
        item.expiry_timer.cancel()
        item.client = None
        self.key_numbers.release(item.job.key)
        del self.items[item.number]
        self.recent_ids.release(item.job.id)

    def change_expiry(self, item, expiry):
        """Sets a new expiry: the client has sent the job again, with another time left."""
        item.expiry = expiry
        self._set_expiry_timer(item)

    def answer_directly(self, item, answer, result=b""):
        """Answers a work item of which the module was not told."""
        self._end_item(item, answer, result)
        self._drop_if_done(item)

    def list_learned_run_times(self):
        """Returns the running times that the module has learned by category, () if it learns none."""
        learned = getattr(self.module, "get_learned_run_times", None)
        return learned() if learned is not None else ()

    def log_module_state(self):
        """Logs the state of the module's decisions, if it tells it."""
        read_state = getattr(self.module, "read_state", None)
        state = read_state() if read_state is not None else None
        if state is not None:
            log.info(
                "state",
                ready=state.ready,
                slow_start=state.slow_start,
                closed=state.closed,
                queued=state.queued,
                in_flight=state.in_flight,
                doubting=state.is_doubting_reports,
                run_ms=state.mean_run_time // 1_000_000,
                epoch_ms=state.epoch // 1_000_000,
                load=round(state.load, 2),
            )

    def handle_pending_events(self):
        """Passes the queued events to the module now, not in the next event loop turn."""
        if self.events:
            self._run_module()

    def _set_expiry_timer(self, item):
        """Sets the timer that answers a work item shortly after its expiry if the module has not done so."""
        if item.expiry_timer is not None:
            item.expiry_timer.cancel()
        seconds = (item.expiry - self.machine.now()) / interface.SECOND
        item.expiry_timer = self.loop.call_later(seconds + OVERDUE_SECONDS, self._answer_overdue, item)

    def _answer_overdue(self, item):
        """Answers a work item that the module has not answered by its expiry. Rule 1, no client is left
        without an answer, holds whatever the module does."""
        # After late loop turns, what lets the module answer may be due and not carried out: the timer of a
        # work item that waits, or the end of a hand-off that has run out of time.
        self.workers.end_overdue_hand_offs(item)
        self.handle_pending_events()
        if item.ended:
            return
        self.counters.count("overdue")
        self._answer_without_module(item)
        self.items_to_drop.append(item)
        self.post(interface.Left(item.number))

    def handle_client_left(self, item):
        """Ends a work item whose client has closed its connection."""
        if not item.ended:
            self._end_item(item, None)
            self.workers.cancel_unsent_hand_offs(item)
            self.items_to_drop.append(item)
            self.post(interface.Left(item.number))

    def stop(self, seconds):
        """Begins a planned stop: all work items are answered within this time."""
        self.stop_at = self.machine.now() + int(seconds * interface.SECOND)
        for item in self.items.values():
            if not item.ended and item.expiry > self.stop_at:
                item.expiry = self.stop_at
                self._set_expiry_timer(item)
        self.post(interface.PlannedStop(self.stop_at - self.machine.now()))

    def evacuate(self, seconds):
        """Makes the module defer work items that arrive after this time, as clients are being sent away; None
        ends this."""
        self.post(interface.Evacuation(None if seconds is None else int(seconds * interface.SECOND)))

    def count_unanswered(self):
        """Returns the number of work items that wait for their answer."""
        return len(self.held_answers) + sum(not item.ended for item in self.items.values())

    def post_progress(self, item, ho_number, worker_number, topic, portion):
        """Tells the module that a worker has started a work item, or how far it has got with it."""
        self.post(interface.Noted(item.number, ho_number, worker_number, topic, portion))

    def record_outcome(self, item, ho_number, worker_number, completion, elapsed):
        """Records how a hand-off has ended, after `elapsed` nanoseconds, and tells the module."""
        self.counters.check_invariant(item.outcomes[ho_number] is None, "one_outcome_a_hand_off")
        item.outcomes[ho_number] = completion.outcome
        item.in_flight -= 1
        if item.in_ledger:
            self.ledger.record_hand_off_outcome(item, ho_number, completion.outcome)
        if completion.outcome == interface.Outcome.OK and not item.ended:
            self._end_item(item, completion.outcome, completion.result)
        if completion.outcome != interface.Outcome.OK:
            self.counters.count("hand_off_" + completion.outcome.name.lower())
        self.post(
            interface.Answered(
                item.number,
                ho_number,
                worker_number,
                completion.outcome,
                elapsed,
                item.ended,
                0,
                completion.report,
            )
        )
        if item.is_orphaned and not item.ended and not item.in_flight:
            self._answer_without_module(item)
        self.items_to_drop.append(item)

    # ---- actions

    def _start_hand_off(self, action):
        """Carries out a HandOff action. It is moot if its work item has ended in the meantime."""
        item = self.items.get(action.wi)
        if item is None:
            self.counters.check_invariant(False, "hand_off_of_a_work_item_held")
            return
        ho_number = len(item.outcomes)
        self.counters.check_invariant(not item.in_flight or self.terms.parallel_tries, "one_hand_off_out")
        self.counters.check_invariant(ho_number < self.terms.most_hand_offs, "hand_off_limit")
        item.outcomes.append(None)
        item.sent_to.append((action.worker, self.machine.now()))
        item.in_flight += 1
        if item.ended:
            moot = interface.Answered(
                item.number, ho_number, action.worker, interface.Outcome.MOOT, 0, True, 0, None
            )
            item.outcomes[ho_number] = interface.Outcome.MOOT
            item.in_flight -= 1
            self.items_to_drop.append(item)
            self.post(moot)
            return
        if action.slow_start is not None:
            self.workers.log_slow_start(item, ho_number, action.worker, action.slow_start)
        until = min(action.until, item.expiry) if action.until else item.expiry
        self.workers.start_hand_off(item, ho_number, action.worker, until, action.patience, action.respond_by)

    def _cancel_hand_off(self, action):
        """Carries out a Cancel action, unless the hand-off has ended."""
        item = self.items.get(action.wi)
        if item is not None and action.ho < len(item.outcomes) and item.outcomes[action.ho] is None:
            self.workers.cancel_hand_off(item, action.ho)

    def _answer_item(self, action):
        """Carries out a Defer or WriteOff action, unless the work item has ended."""
        item = self.items.get(action.wi)
        if item is not None and not item.ended:
            self._end_item(item, action)
            self._drop_if_done(item)

    def _set_timer(self, action):
        """Carries out a SetTimer action."""
        self.timers[action.token] = self.loop.call_later(
            action.after / interface.SECOND, self._post_timer, action.token, self.module
        )

    def _cancel_timer(self, action):
        """Carries out a CancelTimer action, unless the timer has come due."""
        timer = self.timers.pop(action.token, None)
        if timer is not None:
            timer.cancel()

    def _post_timer(self, token, module):
        """Tells the module that a timer has come due."""
        if module is self.module:  # timers of a replaced module are ignored
            self.timers.pop(token, None)
            self.post(interface.Rang(token))

    # ---- the end of a work item

    def _end_item(self, item, answer, result=b""):
        """Ends a work item. `answer` is Outcome.OK, a Defer or a WriteOff action, or None if the client has
        closed its connection."""
        item.ended = True
        item.expiry_timer.cancel()
        item.job = item.job._replace(body=b"")  # its last hand-off may go on for as long as the worker hangs
        client, item.client = item.client, None
        self.key_numbers.release(item.job.key)
        if answer != interface.Outcome.OK:
            self.answer_log.log_unserved(item, answer, self.terms.most_hand_offs, self.stop_at is not None)
        if item.in_ledger:
            self.ledger.record_final_answer(item, answer, result, client)
        else:
            self._send_answer(client, answer, result)

    def track_held_answer(self, task):
        """Counts an answer as unanswered until its task, which waits for the ledger record, is done."""
        self.held_answers.add(task)
        task.add_done_callback(self.held_answers.discard)

    def send_held_answer(self, item, client, answer, result):
        """Sends an answer that has waited for its ledger record. It is dropped if the client has closed its
        connection meanwhile, or has another work item."""
        if client.item is item and not client.ended and not client.writer.is_closing():
            self._send_answer(client, answer, result)

    def _send_answer(self, client, answer, result):
        """Sends an answer to a client and counts the kind of it; if `answer` is None, sends nothing."""
        if type(answer) is interface.Defer:
            self.counters.count("deferred")
            client.defer(answer.come_back)
        elif type(answer) is interface.WriteOff:
            self.counters.count("written_off")
            client.write_off()
        elif answer == interface.Outcome.OK:
            client.finish(result)

    def _drop_if_done(self, item):
        """Drops a work item once it is answered and none of its hand-offs is in flight."""
        if not item.ended or item.in_flight or self.items.pop(item.number, None) is None:
            return
        if _may_have_run(item.outcomes):
            self.recent_ids.release(item.job.id)
        else:
            self.recent_ids.forget(item.job.id)


def _may_have_run(outcomes):
    """Whether a work item may have run, by the outcomes of its hand-offs."""
    return any(outcome not in interface.NEVER_RAN for outcome in outcomes)


def _make_safe_answer(number, outcomes, effect):
    """Returns the answer to a work item for which nothing more is done: a WriteOff if it may have run and is
    not rerunnable, else a Defer."""
    if _may_have_run(outcomes) and effect != interface.Effect.RERUNNABLE:
        return interface.WriteOff(number)
    return interface.Defer(number, 0)


def _get_repeat_rules(category_terms):
    """Returns the RepeatRules of a category."""
    return RepeatRules(int(category_terms.effect), int(category_terms.group), category_terms.window)
