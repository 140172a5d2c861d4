"""Baseline policies with the interface of the dispatcher's module, for comparisons in rehearsals only.

They keep the first two rules in the simplest way: hand off at once, retry where a second run is harmless,
otherwise give the work item up. They differ in the choice of the worker; `careless` ignores that cold workers
are slow.
"""

from random import Random

from heronwinch import interface
from heronwinch.policy import Dispatcher

SUBSCRIBE_AGAIN_TOKEN = 1 << 62  # token of the only timer that a baseline sets


class HeldItem:
    """A work item between its arrival and its final answer."""

    __slots__ = ("category_terms", "expiry", "hand_off_count", "may_have_run", "first_run_at", "area", "pod")

    def __init__(self, category_terms, expiry):
        self.category_terms, self.expiry = category_terms, expiry
        self.hand_off_count = 0
        self.may_have_run = False
        self.first_run_at = 0  # time of the first hand-off that may have run
        self.area = self.pod = None


class BaselinePolicy:
    """Hands off every work item at once, to the worker that `choose_worker` of a subclass gives."""

    avoids_cold_workers = True

    def __init__(self, terms, seed):
        self.terms = terms
        self.random = Random(seed)
        self.workers = {}  # worker -> Entry
        self.own_hand_offs = {}  # worker -> outstanding hand-offs of this dispatcher
        self.reports = {}  # worker -> its last report
        self.items = {}
        self.outstanding_hand_offs = {}  # (work item, hand-off) -> (time sent, worker)
        self.now = 0
        self.failed_fetches = 0
        self.handlers = {
            interface.Listed: self._handle_listed,
            interface.Arrived: self._handle_arrived,
            interface.Answered: self._handle_answered,
            interface.Left: self._handle_left,
            interface.Rang: self._handle_timer,
            interface.PlannedStop: self._handle_planned_stop,
            interface.WorkerRemoval: self._handle_worker_removal,
            interface.TermsChange: self._handle_terms_change,
        }

    def handle(self, now, events):
        """The entry point of a module: takes events, returns actions."""
        self.now, self.actions = now, []
        for event in events:
            handler = self.handlers.get(type(event))
            if handler is not None:
                handler(event)
        return self.actions

    def choose_worker(self, candidates):
        """One of the worker numbers `candidates`, which is not empty."""
        raise NotImplementedError

    # ---- events

    def _handle_listed(self, event):
        if event.kind == interface.ListKind.FAILED:
            self.failed_fetches += 1
            self.actions.append(
                interface.SetTimer(
                    min(interface.SECOND, 20_000_000 << min(6, self.failed_fetches)), SUBSCRIBE_AGAIN_TOKEN
                )
            )
            return
        self.failed_fetches = 0
        if event.kind == interface.ListKind.FULL:
            self.workers = {}
        for entry in event.entries:
            if entry.standing == interface.Standing.GONE:
                self.workers.pop(entry.worker, None)
            else:
                self.workers[entry.worker] = entry
                self.own_hand_offs.setdefault(entry.worker, 0)
        if event.kind == interface.ListKind.CACHED:
            self.actions.append(interface.Subscribe(True))

    def _handle_timer(self, event):
        if event.token == SUBSCRIBE_AGAIN_TOKEN:
            self.actions.append(interface.Subscribe(True))

    def _handle_arrived(self, event):
        item = self.items[event.wi] = HeldItem(
            self.terms.categories[event.category], self.now + event.time_left
        )
        self._hand_off(event.wi, item)

    def _hand_off(self, wi, item):
        worker = self._choose_fitting_worker(item)
        if worker is None or item.hand_off_count >= self.terms.most_hand_offs or self.now >= item.expiry:
            self._give_up(wi, item)
            return
        self.outstanding_hand_offs[wi, item.hand_off_count] = self.now, worker
        item.hand_off_count += 1
        self.own_hand_offs[worker] += 1
        self.actions.append(interface.HandOff(wi, worker, 0, 0))

    def _choose_fitting_worker(self, item):
        candidates = [
            entry
            for entry in self.workers.values()
            if entry.standing == interface.Standing.READY
            and (item.area is None or entry.area == item.area)
            and (item.pod is None or entry.pod == item.pod)
        ]
        if self.avoids_cold_workers:
            candidates = [entry for entry in candidates if self._is_warm_enough(entry)]
        if not candidates:
            return None
        return self.choose_worker([entry.worker for entry in candidates])

    def _is_warm_enough(self, entry):
        """Cold workers get nothing until half of their warm-up is over: wasteful, but safe."""
        return self.now - entry.started_at > self.terms.warm_up // 2

    def _handle_answered(self, event):
        sent_at, worker = self.outstanding_hand_offs.pop((event.wi, event.ho), (0, None))
        if worker is not None:
            self.own_hand_offs[worker] -= 1
            if event.report is not None:
                self.reports[worker] = event.report
        item = self.items.get(event.wi)
        if item is None:
            return
        if event.ended:
            del self.items[event.wi]
            return
        if event.outcome not in interface.NEVER_RAN:
            if not item.may_have_run:
                item.may_have_run, item.first_run_at = True, sent_at
                entry = self.workers.get(worker)
                if entry is not None and item.category_terms.group == interface.Group.AREA:
                    item.area = entry.area
                if entry is not None and item.category_terms.group == interface.Group.POD:
                    item.pod = entry.pod
            if item.category_terms.effect == interface.Effect.EXCLUSIVE or (
                item.category_terms.effect == interface.Effect.TICKETED
                and self.now >= item.first_run_at + item.category_terms.window
            ):
                self._give_up(event.wi, item)
                return
        self._hand_off(event.wi, item)

    def _give_up(self, wi, item):
        del self.items[wi]
        is_deferrable = not item.may_have_run or item.category_terms.effect == interface.Effect.RERUNNABLE
        self.actions.append(interface.Defer(wi, 0) if is_deferrable else interface.WriteOff(wi))

    def _handle_left(self, event):
        item = self.items.pop(event.wi, None)
        if item is not None and self.terms.may_cancel:
            for ho in range(item.hand_off_count):
                if (event.wi, ho) in self.outstanding_hand_offs:
                    self.actions.append(interface.Cancel(event.wi, ho))

    def _handle_planned_stop(self, event):
        pass  # the engine limits every hand-off to the time of the stop

    def _handle_worker_removal(self, event):
        self.workers.pop(event.worker, None)

    def _handle_terms_change(self, event):
        self.terms = event.terms


class RandomPolicy(BaselinePolicy):
    """Chooses a worker at random."""

    def choose_worker(self, candidates):
        return self.random.choice(candidates)


class TwoChoicesPolicy(BaselinePolicy):
    """Of two random workers, chooses the one with less work by its last report, or else by own hand-offs."""

    def choose_worker(self, candidates):
        two = [self.random.choice(candidates) for _ in range(2)]
        return min(two, key=self._estimate_load)

    def _estimate_load(self, worker):
        report = self.reports.get(worker)
        return self.own_hand_offs[worker] if report is None or report.held is None else report.held


class LeastOwnPolicy(BaselinePolicy):
    """Chooses a worker with the fewest outstanding hand-offs of this dispatcher."""

    def choose_worker(self, candidates):
        fewest = min(self.own_hand_offs[worker] for worker in candidates)
        return self.random.choice([worker for worker in candidates if self.own_hand_offs[worker] == fewest])


class ColdUnawarePolicy(LeastOwnPolicy):
    """Like LeastOwnPolicy without regard to warm-up: prefers a restarted worker, as it has no hand-offs."""

    avoids_cold_workers = False


class DelayedOraclePolicy(BaselinePolicy):
    """Knows the true state of all workers with a short delay, which no dispatcher can: an upper bound for
    policies with delayed knowledge.

    The simulation passes `get_free_slots(worker)`, which gives a worker's free slots less its queued work
    items and the time of that state, or None.
    """

    def set_free_slots_lookup(self, get_free_slots):
        """Called by the simulation once, before any event."""
        self.get_free_slots = get_free_slots
        self.own_hand_offs_since = {}  # worker -> (time of its state, own hand-offs since)

    def choose_worker(self, candidates):
        """Draws a worker weighted by free slots less own hand-offs since; if all are full, a best one."""
        free_slots_by_worker = {}
        for worker in candidates:
            free_slots, seen_at = self.get_free_slots(worker) or (0.0, 0)
            last_seen_at, hand_offs_since = self.own_hand_offs_since.get(worker, (seen_at, 0))
            if last_seen_at != seen_at:
                hand_offs_since = 0
            self.own_hand_offs_since[worker] = seen_at, hand_offs_since
            free_slots_by_worker[worker] = free_slots - hand_offs_since
        with_free_slots = [worker for worker in candidates if free_slots_by_worker[worker] >= 1]
        if with_free_slots:
            chosen = self.random.choices(
                with_free_slots, [free_slots_by_worker[worker] for worker in with_free_slots]
            )[0]
        else:
            most_free_slots = max(free_slots_by_worker.values())
            chosen = self.random.choice(
                [worker for worker in candidates if free_slots_by_worker[worker] == most_free_slots]
            )
        seen_at, hand_offs_since = self.own_hand_offs_since[chosen]
        self.own_hand_offs_since[chosen] = seen_at, hand_offs_since + 1
        return chosen


POLICIES = {
    "module": Dispatcher,
    "random": RandomPolicy,
    "two-choices": TwoChoicesPolicy,
    "least-own": LeastOwnPolicy,
    "careless": ColdUnawarePolicy,
    "late-seeing": DelayedOraclePolicy,
}
