"""The state that a dispatcher's decisions rest on: of its categories, work items, hand-offs and workers.

It holds what has happened and makes no decisions; heronwinch/policy.py does. Does no I/O.
"""

from math import ceil

from heronwinch.run_times import RunTimes
from heronwinch.slow_start import SentWork

INFINITY = float("inf")


class CategoryState:
    """The settings of one category and what has been learned of its work items."""

    __slots__ = (
        "effect",
        "group",
        "window",
        "kind",
        "due_time",
        "stretch",
        "expiry",
        "credit",
        "late_credit",
        "run_times",
    )

    def __init__(self, category, run_times=None):
        for name in self.__slots__[:-1]:
            setattr(self, name, getattr(category, name))
        # What has been learned outlives a change of the settings.
        self.run_times = run_times or RunTimes()

    def estimate_run_time(self, now):
        """Returns the likely running time of a work item with one slot, in ns: its expiry if nothing is known
        of it, as no client waits for longer."""
        return self.run_times.estimate(now, self.expiry)


class HandOffState:
    """The state of one hand-off, kept from its start on."""

    __slots__ = (
        "wi",
        "number",
        "worker",
        "sent_at",
        "answered",
        "elapsed",
        "was_worker_open",
        "last_sign_at",
        "had_shown_room",
        "timer_token",
        "is_running",
    )

    def __init__(self, wi, number, worker, sent_at, was_worker_open, is_running=False):
        self.wi = wi
        self.number = number  # index among the hand-offs of the work item
        self.worker = worker
        self.sent_at = sent_at
        self.answered = False
        self.elapsed = 0  # nanoseconds from start to answer, set with the answer
        self.last_sign_at = sent_at  # when the worker last reported start or progress of the work item
        self.timer_token = 0  # token of the timer that checks its progress, 0 without one
        self.had_shown_room = False  # whether a report of free slots had just arrived when it was sent
        # Whether the hand-off was sent to an open worker: then the time up to the answer is running time
        # only, without waiting.
        self.was_worker_open = was_worker_open
        # Whether it started to run at once on a warm worker, so that the time that it is out is running time.
        self.is_running = is_running

    def is_slot_closed(self, now, T):
        """Whether the slots of an answered hand-off still count as closed.

        They open at the first update epoch after the answer; epochs are T apart, counted from the hand-off.
        """
        return self.sent_at + T * ceil(self.elapsed / T) > now


class WorkItem:
    """One accepted work item, kept up to its final answer and the end of its last hand-off."""

    __slots__ = (
        "id",
        "category",
        "slots",
        "memory",
        "arrived_at",
        "expiry",
        "due_at",
        "generator",
        "hand_offs",
        "in_flight",
        "first_possible_run",
        "ended",
        "waiting_for",
        "timer_token",
        "alert_requests",
        "yield_draw",
        "is_within_share",
        "next_closed_try_at",
    )

    def __init__(self, event, category, now):
        self.id = event.wi
        self.category = category
        self.slots = max(1.0, event.slots)
        self.memory = event.memory
        self.arrived_at = now
        self.expiry = now + event.time_left
        # The due time counts from the client's first try; a retry has less time left up to the same expiry.
        self.due_at = self.expiry - category.expiry + category.due_time
        if event.time_left < min(
            category.due_time + category.stretch * category.run_times.mean, category.expiry / 2
        ):
            # The time left is too short for a late retry, as the first try would have been answered long ago:
            # the client has set a short deadline. When such work items were treated as retries past their due
            # time, they were deferred at once although every worker was open.
            self.due_at = self.expiry
        self.generator = None  # the running generator of Dispatcher._run_work_item
        self.hand_offs = []
        self.in_flight = 0  # number of hand-offs without an answer
        self.first_possible_run = None  # the first hand-off that may have run
        self.ended = False
        self.waiting_for = None  # WAIT_FOR_WORKER, or the worker asked for its busy alert
        self.timer_token = 0  # token of the timer that ends its wait, 0 without one
        self.alert_requests = 0  # number of busy alerts asked for
        self.yield_draw = 0.0  # random: the higher, the earlier the work item yields to work of more credit
        self.is_within_share = True  # whether the work item is within its account's share
        self.next_closed_try_at = 0  # until then the work item is handed to open workers only

    def compute_window_end(self):
        """Returns until when workers drop a repeat of this ticketed work item, which may have run."""
        return self.first_possible_run.sent_at + self.category.window


class Worker:
    """One listed worker: its entry, the own hand-offs to it, its last report and failures."""

    __slots__ = (
        "id",
        "key",
        "area",
        "kind",
        "pod",
        "standing",
        "started_at",
        "slots",
        "hand_offs_in_flight",
        "slots_in_use",
        "slots_since_report",
        "answered_hand_offs",
        "memory_in_use",
        "closed_until",
        "failures_in_row",
        "reported_free",
        "reported_waiting",
        "reported_at",
        "is_being_probed",
        "alert_waiters",
        "start",
        "sent_work",
        "connections_idle_since",
        "weight_changed_at",
        "weight",
        "is_refusing_connections",
        "last_serving_at",
    )

    def __init__(self, entry, now, first_epoch):
        self.id = entry.worker
        self.weight = 1.0
        self.slots = 0  # the most slots that its reports have shown, 0 before the first
        self.hand_offs_in_flight = []  # own hand-offs without an answer
        self.slots_in_use = 0  # slots that these hand-offs need
        self.memory_in_use = 0.0  # memory that these hand-offs need, in units of one slot's memory
        self.slots_since_report = 0  # slots that own hand-offs sent since its last report need
        self.answered_hand_offs = []  # answered own hand-offs whose slots no update epoch has opened yet
        self.failures_in_row = 0
        self.is_refusing_connections = False  # whether the last connection to the worker could not be opened
        self.last_serving_at = 0  # when the worker last accepted work or answered a probe: not draining then
        self.is_being_probed = False
        self.alert_waiters = []  # work items that wait for the worker's busy alert
        self.start = None  # its last start as a WorkerStart, None if that is long ago
        self.sent_work = SentWork()
        self.weight_changed_at = now
        self.apply_entry(entry)
        self.reset_for_start(first_epoch)

    def apply_entry(self, entry):
        """Updates the worker from its entry in a list of discovery."""
        self.area, self.kind, self.pod = entry.area, entry.kind, entry.pod
        if 0 < entry.weight < INFINITY:  # any other weight is ignored and the last one stays
            self.weight = entry.weight
        self.standing, self.started_at = entry.standing, entry.started_at
        self.key = entry.key or entry.worker

    def reset_for_start(self, first_epoch):
        """Resets what was known before the worker's start; it is closed up to its first update epoch."""
        self.closed_until = first_epoch
        self.connections_idle_since = []  # when each idle connection became idle
        self.reported_free = None  # free slots in its last report, None before the first
        self.reported_waiting = 0.0  # work items that wait there according to the last report
        self.reported_at = 0  # when the last report arrived
