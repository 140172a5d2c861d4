"""A model of a worker without I/O: slots, memory, queue, warm-up, pauses, load reports, cold collapse.

Call `offer` with each hand-off that has arrived, `cancel` when its connection ended, and `advance_to` at or
after `get_next_event_at()`. Each adds to `events` what the other side is to be told. What became of each
hand-off is kept in a RunRecord. All times are whole nanoseconds of one clock.

Work is measured in nanoseconds at full speed. A worker has a progress clock of its own that runs with its
speed: slower while it is cold or crowded, and not at all in a pause. A run ends when that clock reads what it
read at the start plus the work, so a change of speed needs no change to the heap of running work.
"""

from collections import deque
from heapq import heappop, heappush
from itertools import count
from math import inf, sqrt
from typing import NamedTuple

from heronwinch.interface import SECOND, Effect
from heronwinch.rehearsal.models.slow_start import SlowStartLoad

LOAD_HISTORY_NS = 30 * SECOND  # how long load samples are kept, for delayed reports
MAX_LOAD_SAMPLES = 4096


class WorkerShape(NamedTuple):
    """The properties of a worker. Times are nanoseconds."""

    slots: float = 2.0
    memory: float = inf
    queue: int = 8  # work items that may wait
    speed: float = 1.0
    cold_share: float = 0.15  # share of its speed at its start
    warm_up: int = 20 * SECOND  # from its start to full speed
    # In slow start it may be sent `push_multiple` times what it can do in a window (models/slow_start.py).
    push_multiple: float = 3.0
    push_window: int = 2 * SECOND
    mean_work: int = 0  # over all requests, by which that is counted; 0: over those of the window
    progress_every: int = 0  # interval of progress messages, 0: none
    tells_start: bool = True
    cancel_stops: bool = True  # whether running work ends with the connection it came on
    pause_every: int = 0  # mean time between pauses, 0: none
    pause_for: int = 0  # mean length of a pause
    report_every: int = 0  # interval between reports, 0: a fresh one whenever it is asked for
    report_noise: float = 0.0  # share by which a figure may be off
    area: str = "a"
    kind: str = "std"
    pod: int = 0


class Job(NamedTuple):
    """What a hand-off asks of a worker. Times are nanoseconds."""

    id: str
    category: str
    effect: int
    ticket: str
    window: int  # how long a ticket guards against repeats
    work: int  # nanoseconds at full speed
    slots: float
    memory: float
    expiry: int  # when nobody waits for the answer any more
    likely: int = 0  # mean work of its category, which the budget of a cold worker counts; 0: `work`


class RunRecord:
    """The record of one hand-off at a worker: what was done with it and when. A time of 0 means never."""

    __slots__ = (
        "number",
        "worker",
        "job",
        "first_byte",
        "arrived_at",
        "began_at",
        "ended",
        "end",
        "result",
        "is_queued",
        "finish_reading",
        "connection_lost_at",
    )

    def __init__(self, number, worker, job, first_byte, arrived_at):
        self.number, self.worker, self.job = number, worker, job
        self.first_byte, self.arrived_at = (
            first_byte,
            arrived_at,
        )  # when its first byte and its last byte arrived
        self.began_at = self.ended = 0  # when its work started, and when it ended in any way
        self.end = ""  # declined, returned, repeat, done, failed, killed, cancelled, swallowed, mute
        self.result = ""
        self.is_queued = False
        self.finish_reading = 0.0  # reading of the progress clock at which its work ends
        self.connection_lost_at = 0  # when its connection ended without an answer


class TicketMarks:
    """The tickets started in a group of workers, shared by the group to detect repeats."""

    def __init__(self):
        self.marks = {}  # (category, ticket) -> (when it started, RunRecord)

    def find_earlier_run(self, job, now):
        """The run within the window that makes this job a repeat, or None."""
        mark = self.marks.get((job.category, job.ticket))
        return mark[1] if mark is not None and now - mark[0] <= job.window else None

    def add_mark(self, run, now):
        self.marks[run.job.category, run.job.ticket] = now, run


# Events of a run that the model reports to the server in front of it.
TAKEN, STARTED, PROGRESS, DONE, FAILED, RETURNED, DECLINED, LOST, BROKEN = (
    "taken", "started", "running", "done", "failed", "returned", "declined", "lost", "broken",
)  # fmt: skip
EVENT_BY_END = {
    "done": DONE, "repeat": DONE, "failed": FAILED, "returned": RETURNED, "declined": DECLINED, "lost": LOST,
    "broken": BROKEN,
}  # fmt: skip


class WorkerModel:
    """One worker between two starts.

    `get_tickets(job)` returns the TicketMarks that its group shares for a job. `run_records` is a list that
    outlives restarts, to which the RunRecord of each hand-off is added. `started_at` is 0 for a warm worker.
    """

    def __init__(self, name, shape, get_tickets, random, run_records, now, started_at=0):
        self.name, self.shape, self.get_tickets, self.random, self.run_records = (
            name,
            shape,
            get_tickets,
            random,
            run_records,
        )
        self.started_at = started_at
        self.running = []  # heap of (finish on the progress clock, order, run)
        self.active = {}  # runs that hold slots
        self.queue = deque()  # runs that wait for slots and memory
        self.unanswered = []  # runs that were started and are never answered
        self.progress_due = []  # heap of (due, order, run)
        self.order = count()  # keeps the order of heap entries with equal times
        self.events = []  # (run, event, share done), for the other side
        self.busy_slots = 0.0
        self.held_memory = 0.0
        self.slow_start_load = SlowStartLoad(shape)
        self.has_collapsed = False
        self.is_draining = False
        self.paused_until = 0
        self.completion_end = "done"  # the end of work that ran to completion
        self.active_faults = {}  # name of a trouble -> number of those in force
        self.crowding_factors = []  # on its speed
        self.report_delays = []  # nanoseconds by which its reports are late
        self.factor = shape.speed
        self.time_origin = now  # floats count from here, as they can't hold Unix time in nanoseconds exactly
        self.progress_read_at, self.progress_reading = (
            now,
            0.0,
        )  # when the progress clock was last read, and its reading
        self.load_samples = deque()  # (when, busy slots, memory, waiting, waiting and running)
        self.last_report = None
        self.next_pause_at = now + self._draw_exponential(shape.pause_every) if shape.pause_every else inf
        self._sample_load(now)

    # ---- the progress clock

    def compute_warm_up_share(self, now):
        """The share of full speed that the worker has by its age."""
        shape, age = self.shape, now - self.started_at
        if not self.started_at or age >= shape.warm_up:
            return 1.0
        return shape.cold_share + (1 - shape.cold_share) * max(0, age) / shape.warm_up

    def is_cold(self, now):
        """Whether it is still warming up."""
        return bool(self.started_at) and now - self.started_at < self.shape.warm_up

    def _warm_up_work(self, now):
        """Nanoseconds of full-speed work that the warm-up has allowed up to that time."""
        shape, age = self.shape, now - self.started_at
        if not self.started_at:
            return float(now - self.time_origin)
        cold_share, warm_up = shape.cold_share, shape.warm_up
        if age < warm_up:
            return cold_share * age + (1 - cold_share) * age * age / (2 * warm_up)
        return (1 + cold_share) / 2 * warm_up + age - warm_up

    def _compute_completion_time(self, work_ns):
        """The inverse of _warm_up_work: the first whole nanosecond after the work is done."""
        if not self.started_at:
            return self.time_origin + int(work_ns) + 1
        cold_share, warm_up = self.shape.cold_share, self.shape.warm_up
        warm_up_work = (1 + cold_share) / 2 * warm_up
        if work_ns >= warm_up_work:
            return self.started_at + int(warm_up + work_ns - warm_up_work) + 1
        if cold_share == 1:
            return self.started_at + int(work_ns) + 1
        slope = (1 - cold_share) / warm_up
        return (
            self.started_at
            + int((sqrt(cold_share * cold_share + 2 * slope * work_ns) - cold_share) / slope)
            + 1
        )

    def _read_progress_clock(self, now):
        return self.progress_reading + self.factor * (
            self._warm_up_work(now) - self._warm_up_work(self.progress_read_at)
        )

    def _set_factor(self, now, factor):
        self.progress_reading, self.progress_read_at, self.factor = (
            self._read_progress_clock(now),
            now,
            factor,
        )

    def _update_factor(self, now):
        factor = self.shape.speed
        for crowding_factor in self.crowding_factors:
            factor *= crowding_factor
        self._set_factor(now, 0.0 if now < self.paused_until else factor)

    def _draw_exponential(self, mean):
        return max(1_000, round(self.random.expovariate(1.0) * mean / 1000) * 1000)

    # ---- faults

    def start_fault(self, trouble):
        """Puts a trouble of the script in force; the same one may be in force several times."""
        self.active_faults[trouble] = self.active_faults.get(trouble, 0) + 1

    def end_fault(self, trouble):
        self.active_faults[trouble] -= 1

    def has_fault(self, trouble):
        return self.active_faults.get(trouble, 0) > 0

    def set_crowding(self, now, factor, is_on):
        """Adds a factor on the speed, or removes it."""
        self.advance_to(now)
        self.crowding_factors.append(factor) if is_on else self.crowding_factors.remove(factor)
        self._update_factor(now)

    def pause(self, now, until):
        """Stops all progress until the given time."""
        self.advance_to(now)
        self.paused_until = max(self.paused_until, until)
        self._update_factor(now)

    def drain(self, now):
        """Declines new work and returns what waits; running work goes on."""
        self.advance_to(now)
        self.is_draining = True
        while self.queue:
            self._end_run(self.queue.popleft(), now, "returned")
        self._sample_load(now)

    def kill(self, now, end="killed"):
        """Ends all runs; those that were running may have had their effect."""
        for run in [*self.active, *self.queue]:
            run.ended, run.end, run.is_queued = now, end, False
        for run in self.unanswered:
            # Without this the checker reported a second run as concurrent with one whose worker is gone: work
            # that a worker had swallowed before it was removed from the fleet.
            run.connection_lost_at = run.connection_lost_at or now
        self.unanswered.clear()
        self.active.clear()
        self.running.clear()
        self.queue.clear()
        self.progress_due.clear()
        self.busy_slots = self.held_memory = 0.0

    # ---- work

    def offer(self, now, job, first_byte=0, result=""):
        """Takes in a complete hand-off and returns its RunRecord; its fate is added to `events` now or later.

        A run without a given result gets one that names the work item, the worker and the run.
        """
        self.advance_to(now)
        run = RunRecord(len(self.run_records), self.name, job, first_byte or now, now)
        run.result = result
        self.run_records.append(run)
        shape = self.shape
        self._add_slow_start_load(now, job)
        if self.has_collapsed:
            run.ended, run.end = now, "killed"
        elif self.has_fault("mute") or self.has_fault("swallow"):
            run.began_at, run.end = now, "mute" if self.has_fault("mute") else "swallowed"
            self.unanswered.append(run)
            if run.end == "swallowed":
                self._add_event(run, TAKEN)
        elif self.has_fault("fail"):
            run.began_at = now  # a run that failed may have had part of its effect
            self._end_run(run, now, "failed")
        elif (
            self.is_draining
            or self.has_fault("decline")
            or job.memory > shape.memory
            or job.slots > shape.slots
            or len(self.queue) >= shape.queue
            and not self._fits(job)
        ):
            self._end_run(run, now, "declined")
        else:
            self._add_event(run, TAKEN)
            run.is_queued = True
            self.queue.append(run)
            self._start_queued(now)
        self._sample_load(now)
        return run

    def _add_slow_start_load(self, now, job):
        """Counts a request that reaches it in slow start; too many make the worker collapse for good."""
        if not self.is_cold(now) or self.has_collapsed:
            return
        work = (job.likely or job.work) * job.slots
        self.slow_start_load.add(now, work, self.compute_warm_up_share(now))
        if self.slow_start_load.is_exceeded:
            self.has_collapsed = True
            self.kill(now)

    def _fits(self, job):
        return (
            not self.queue
            and self.busy_slots + job.slots <= self.shape.slots
            and self.held_memory + job.memory <= self.shape.memory
        )

    def _start_queued(self, now):
        """Starts queued runs in order; those behind the first that doesn't fit wait too."""
        shape = self.shape
        while self.queue:
            run = self.queue[0]
            job = run.job
            if self.busy_slots + job.slots > shape.slots or self.held_memory + job.memory > shape.memory:
                return
            self.queue.popleft()
            run.is_queued = False
            if now >= job.expiry:
                self._end_run(run, now, "returned")
                continue
            if job.effect == Effect.TICKETED and job.ticket:
                ticket_marks = self.get_tickets(job)
                earlier_run = ticket_marks.find_earlier_run(job, now)
                if earlier_run is not None:
                    run.result = earlier_run.result or self._ensure_result(earlier_run)
                    self._end_run(run, now, "repeat")
                    continue
                ticket_marks.add_mark(run, now)
            run.began_at = now
            self.busy_slots += job.slots
            self.held_memory += job.memory
            self.active[run] = None
            run.finish_reading = self._read_progress_clock(now) + job.work
            heappush(self.running, (run.finish_reading, next(self.order), run))
            if shape.tells_start:
                self._add_event(run, STARTED)
            if shape.progress_every:
                heappush(self.progress_due, (now + shape.progress_every, next(self.order), run))

    def _ensure_result(self, run):
        run.result = run.result or f"{run.job.id}/{self.name}/{run.number}"
        return run.result

    def _add_event(self, run, event, share_done=0.0):
        self.events.append((run, event, share_done))

    def _end_run(self, run, now, end):
        run.ended, run.end = now, end
        self._add_event(run, EVENT_BY_END[end])

    def _release(self, run):
        del self.active[run]
        self.busy_slots -= run.job.slots
        self.held_memory -= run.job.memory

    def cancel(self, now, run):
        """Handles the end of the connection that a run came on."""
        self.advance_to(now)
        if run.is_queued:
            self.queue.remove(run)
            run.is_queued = False
            run.ended, run.end = now, "cancelled"
        elif run in self.active and self.shape.cancel_stops:
            self._release(run)
            run.ended, run.end = now, "cancelled"
        elif run.end in ("swallowed", "mute"):
            run.ended = now
        else:
            return
        self._start_queued(now)
        self._sample_load(now)

    # ---- time

    def get_next_event_at(self):
        """When the next event is due, inf if there is none."""
        when = min(self.next_pause_at, self.paused_until if self.factor == 0 else inf)
        while self.running and self.running[0][2] not in self.active:
            heappop(self.running)  # the run was cancelled
        if self.running and self.factor:
            work_ns = (
                self._warm_up_work(self.progress_read_at)
                + (self.running[0][0] - self.progress_reading) / self.factor
            )
            when = min(when, self._compute_completion_time(work_ns))
        if self.progress_due and self.factor:
            when = min(when, self.progress_due[0][0])
        return when

    def advance_to(self, now):
        """Handles all events due up to that time, in order."""
        while (when := self.get_next_event_at()) <= now:
            self._handle_due(when)

    def _handle_due(self, now):
        if self.factor == 0 and now >= self.paused_until:
            self._update_factor(now)
        if now >= self.next_pause_at:
            self.next_pause_at = now + self._draw_exponential(self.shape.pause_every)
            self.paused_until = max(self.paused_until, now + self._draw_exponential(self.shape.pause_for))
            self._update_factor(now)
            return
        while self.progress_due and self.progress_due[0][0] <= now:
            _, _, run = heappop(self.progress_due)
            if run in self.active:
                remaining_share = (run.finish_reading - self._read_progress_clock(now)) / max(1, run.job.work)
                self._add_event(run, PROGRESS, round(min(1.0, max(0.0, 1 - remaining_share)), 3))
                heappush(self.progress_due, (now + self.shape.progress_every, next(self.order), run))
        reading = self._read_progress_clock(now) + 1
        has_ended_run = False
        while self.running and self.running[0][0] <= reading and self.factor:
            _, _, run = heappop(self.running)
            if run in self.active:
                self._release(run)
                self._ensure_result(run)
                self._end_run(run, now, self.completion_end)
                has_ended_run = True
        if has_ended_run:
            self._start_queued(now)
            self._sample_load(now)

    # ---- reports

    def _sample_load(self, now):
        samples = self.load_samples
        samples.append(
            (now, self.busy_slots, self.held_memory, len(self.queue), len(self.active) + len(self.queue))
        )
        while len(samples) > MAX_LOAD_SAMPLES or len(samples) > 1 and samples[1][0] < now - LOAD_HISTORY_NS:
            samples.popleft()

    def build_report(self, now):
        """The load report, field name -> figure; delayed and inexact where faults or the shape say so."""
        self.advance_to(now)
        shape = self.shape
        sampled_at = now - sum(self.report_delays)
        if shape.report_every:
            sampled_at -= sampled_at % shape.report_every
        busy_slots, held_memory, waiting, in_flight = next(
            (sample[1:] for sample in reversed(self.load_samples) if sample[0] <= sampled_at),
            (0.0, 0.0, 0, 0),
        )
        figures = {"x0": max(0.0, shape.slots - busy_slots), "queue": waiting, "inflight": in_flight}
        if shape.memory < inf:
            figures["x1"] = max(0.0, shape.memory - held_memory)
        if shape.report_noise:
            figures = {
                name: round(figure * (1 + shape.report_noise * (2 * self.random.random() - 1)), 3)
                for name, figure in figures.items()
            }
        return figures
