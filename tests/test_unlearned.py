"""Decisions that need what has not been learned yet: running times, work and slots.

A dispatcher or several, driven by hand, send jobs to workers of which some have just started. Judged is what
reaches a worker in slow start in a push window, by the operators' terms, and whether warm workers with free
slots are used meanwhile.
"""

import heapq
from itertools import count
from random import Random
from typing import NamedTuple

import pytest
from conftest import CATEGORY, MS, TERMS, Driver, make_entry

from heronwinch import interface
from heronwinch.interface import SECOND, Outcome
from heronwinch.rehearsal.models.slow_start import compute_call_limit

PUSH_WINDOW = 3 * SECOND
WARM_UP = 24 * SECOND
PUSH_MULTIPLE = 2.5
COLD_SHARE = 0.12
STEP_MS = 4


class Job(NamedTuple):
    """A job of the traffic: when it arrives, its category and how long it runs on a warm worker."""

    at_ms: int
    category: int
    run_ms: float


class FleetWorker:
    """A worker with slots and a queue; in slow start it is as slow as the terms allow."""

    def __init__(self, number, slots):
        self.number, self.slots = number, slots
        self.started_at = 0
        self.free_at = [0] * slots  # when each slot becomes free
        self.sent = []  # (time, work) of all that reached it in slow start
        self.peak_share = 0.0  # the most that reached it in a window, of what it stands

    def compute_capacity_share(self, now):
        if not self.started_at:
            return 1.0
        return min(1.0, COLD_SHARE + (1 - COLD_SHARE) * (now - self.started_at) / WARM_UP)

    def take(self, now, run_time, mean_work):
        """Takes a job; returns when it ends."""
        capacity_share = self.compute_capacity_share(now)
        if capacity_share < 1:
            self.sent.append((now, run_time))
            work = sum(work for at, work in self.sent if at > now - PUSH_WINDOW)
            budget = PUSH_MULTIPLE * capacity_share * self.slots * PUSH_WINDOW / mean_work
            self.peak_share = max(self.peak_share, work / mean_work / compute_call_limit(budget))
        begins_at = max(now, heapq.heappop(self.free_at))
        ends_at = begins_at + int(run_time / capacity_share)
        heapq.heappush(self.free_at, ends_at)
        return ends_at

    def count_free_slots(self, now):
        return sum(free_at <= now for free_at in self.free_at)

    def build_report(self, now, held):
        free = self.count_free_slots(now)
        return interface.Report(free, None, max(0, held - self.slots), held)


class Fleet:
    """Dispatchers and workers in virtual time. Work of jobs is that of the traffic, `jobs`."""

    def __init__(self, terms, jobs, slots=(4, 4, 4), dispatchers=1, outcome=Outcome.OK):
        self.jobs, self.outcome = sorted(jobs), outcome  # how each hand-off ends
        self.mean_work = sum(job.run_ms for job in jobs) * MS / len(jobs)
        self.workers = {number: FleetWorker(number, count) for number, count in enumerate(slots, 1)}
        entries = tuple(make_entry(number) for number in self.workers)
        terms = terms._replace(dispatchers=dispatchers)
        self.drivers = [
            Driver(terms._replace(own_number=number), number + 1, entries) for number in range(dispatchers)
        ]
        self.began_at = self.drivers[0].now
        self.now = self.began_at
        self.job_by_wi = {}
        self.ends, self.end_numbers = [], count()  # (time, number, driver, event)
        self.held = {number: 0 for number in self.workers}
        self.idle_while_waiting = 0  # steps in which a job waits anywhere while a warm worker has none
        self.handled = [0] * dispatchers

    def start_anew(self, *numbers):
        """Workers start anew, and all dispatchers are told at once."""
        for number in numbers:
            worker = self.workers[number]
            worker.started_at, worker.sent = self.now, []
            entry = make_entry(number, started_at=self.now)
            for index, driver in enumerate(self.drivers):
                driver.handle_events(interface.Listed(interface.ListKind.DELTA, 2, (entry,)))
                self._carry_out(index)

    def run(self, until_ms):
        """Plays the traffic and all answers up to so many milliseconds after the beginning."""
        while self.now < self.began_at + until_ms * MS:
            self.now += STEP_MS * MS
            for index, driver in enumerate(self.drivers):
                driver.handle_events(after=(self.now - driver.now) / MS)
                self._carry_out(index)
            while self.ends and self.ends[0][0] <= self.now:
                _, _, index, event = heapq.heappop(self.ends)
                self.held[event.worker] -= event.outcome != Outcome.ERROR
                self.drivers[index].handle_events(event._replace(report=self._report(event.worker)))
                self._carry_out(index)
            while self.jobs and self.jobs[0].at_ms * MS <= self.now - self.began_at:
                self._hand_in(self.jobs.pop(0))
            self._note_idle_workers()

    def _report(self, worker):
        return self.workers[worker].build_report(self.now, self.held[worker])

    def _hand_in(self, job):
        wi = len(self.job_by_wi)
        index = wi % len(self.drivers)
        self.job_by_wi[wi] = job
        self.drivers[index].arrive(wi, category=job.category)
        self._carry_out(index)

    def _carry_out(self, index):
        driver = self.drivers[index]
        while self.handled[index] < len(driver.recorded_actions):
            action = driver.recorded_actions[self.handled[index]]
            self.handled[index] += 1
            if type(action) is interface.HandOff:
                self._take(index, action)
            elif type(action) is interface.Probe and driver.terms.may_probe:
                probed = interface.Probed(action.worker, MS, Outcome.OK, self._report(action.worker))
                driver.handle_events(probed)

    def _take(self, index, action):
        job = self.job_by_wi[action.wi]
        number = len(self.drivers[index].list_tried_workers(action.wi)) - 1
        worker, outcome = self.workers[action.worker], self.outcome
        ends_at = worker.take(self.now, job.run_ms * MS, self.mean_work)
        if outcome == Outcome.ERROR:
            ends_at = self.now + 5 * MS
        else:
            self.held[action.worker] += 1
        answered = interface.Answered(
            action.wi, number, action.worker, outcome, ends_at - self.now, outcome == Outcome.OK, 0, None
        )
        heapq.heappush(self.ends, (ends_at, next(self.end_numbers), index, answered))

    def _note_idle_workers(self):
        waiting = sum(len(driver.dispatcher.queue) for driver in self.drivers)
        waiting += sum(max(0, self.held[worker.number] - worker.slots) for worker in self.workers.values())
        idle = [w for w in self.workers.values() if not w.started_at and not self.held[w.number]]
        self.idle_while_waiting += bool(waiting and idle)

    @property
    def peak_share(self):
        return max(worker.peak_share for worker in self.workers.values())


def make_terms(*categories, may_probe=True, **changes):
    rows = [
        CATEGORY._replace(
            effect=interface.Effect.EXCLUSIVE,
            due_time=due_ms * MS,
            stretch=1.75,
            expiry=expiry_ms * MS,
            late_credit=0.2,
        )
        for due_ms, expiry_ms in categories
    ]
    return TERMS._replace(
        categories=tuple(rows),
        cold_share=COLD_SHARE,
        warm_up=WARM_UP,
        push_multiple=PUSH_MULTIPLE,
        push_window=PUSH_WINDOW,
        may_probe=may_probe,
        tick=4 * MS,
        pushed_list=False,
        **changes,
    )


def make_burst(begins_ms, jobs=36, run_ms=1200.0, category=0, lasts_ms=1000, seed=None):
    """Returns jobs at even distances; with a seed their running times are distributed exponentially."""
    random = Random(seed)
    return [
        Job(
            begins_ms + number * lasts_ms // jobs,
            category,
            run_ms if seed is None else max(5.0, random.expovariate(1 / run_ms)),
        )
        for number in range(jobs)
    ]


# Guards against review case 8: work that was not learned was taken to run no longer than its due time.
@pytest.mark.parametrize("due_ms", [20, 300, 2000])
@pytest.mark.parametrize("may_probe", [True, False])
@pytest.mark.parametrize("dispatchers, cold", [(1, (1,)), (1, (1, 2)), (2, (1,)), (3, (1,)), (3, (1, 2, 3))])
def test_the_first_burst_pushes_over_no_worker_that_has_just_started(due_ms, may_probe, dispatchers, cold):
    terms = make_terms((due_ms, 12_000), may_probe=may_probe)
    fleet = Fleet(terms, make_burst(5000), dispatchers=dispatchers)
    fleet.run(4500)
    fleet.start_anew(*cold)
    fleet.run(12_000)
    assert 0 < fleet.peak_share <= 1


# Guards against work that waits at one warm worker, as it seemed to cost no time, while another one is idle.
@pytest.mark.parametrize("due_ms", [300, 2000])
def test_warm_workers_are_used_alike_before_the_first_answer(due_ms):
    fleet = Fleet(make_terms((due_ms, 12_000)), make_burst(5000))
    fleet.run(4500)
    fleet.start_anew(1)
    fleet.run(5300)
    assert not fleet.workers[2].count_free_slots(fleet.now) and not fleet.workers[3].count_free_slots(
        fleet.now
    )
    fleet.run(12_000)
    assert fleet.idle_while_waiting == 0


# Guards against a mean of the first answers alone, which are those of the shortest work.
@pytest.mark.parametrize("seed", range(6))
@pytest.mark.parametrize("warm_workers", [2, 5])
def test_the_shortest_of_many_jobs_do_not_stand_for_all(warm_workers, seed):
    jobs = make_burst(3000, jobs=8 * warm_workers, lasts_ms=20, seed=seed)
    jobs += make_burst(3400, jobs=60, seed=seed + 50)
    fleet = Fleet(make_terms((300, 12_000)), jobs, slots=(4, *[8] * warm_workers))
    fleet.run(2900)
    fleet.start_anew(1)
    fleet.run(9000)
    assert 0 < fleet.peak_share <= 1


# Guards against errors that come at once being taken for the running time.
def test_quick_errors_tell_nothing_of_the_running_time():
    jobs = make_burst(3000, jobs=150, lasts_ms=3000)
    fleet = Fleet(make_terms((300, 12_000)), jobs, outcome=Outcome.ERROR)
    fleet.run(2900)
    fleet.start_anew(1)
    fleet.run(8000)
    assert 0 < fleet.peak_share <= 1


# Guards against a category that is not learned, long or short, in the mean by which others are counted.
@pytest.mark.parametrize("expiries_ms", [(6000, 60_000), (60_000, 6000)])
@pytest.mark.parametrize("run_times_ms", [(1200, 50), (50, 1200), (1200, 3000)])
@pytest.mark.parametrize("dispatchers", [1, 3])
def test_a_category_that_is_not_learned_changes_no_budget_of_another(expiries_ms, run_times_ms, dispatchers):
    terms = make_terms(*((20, expiry_ms) for expiry_ms in expiries_ms))
    learned = make_burst(2000, jobs=20, run_ms=run_times_ms[0], lasts_ms=4000)
    first = make_burst(8000, jobs=40, run_ms=run_times_ms[0])
    second = make_burst(8000, jobs=40, run_ms=run_times_ms[1], category=1)
    fleet = Fleet(terms, learned + first + second, dispatchers=dispatchers)
    fleet.run(7500)
    fleet.start_anew(1)
    fleet.run(16_000)
    assert 0 < fleet.peak_share <= 1


# Guards against a category that a reload adds being taken to be as long as its due time.
def test_a_category_that_a_reload_has_added_pushes_over_no_worker():
    old_terms, new_terms = make_terms((300, 12_000)), make_terms((20, 12_000), (300, 12_000))
    jobs = make_burst(2000, jobs=10, run_ms=50, category=0) + make_burst(8000)
    fleet = Fleet(old_terms, jobs)
    fleet.run(7000)
    change = interface.TermsChange(new_terms, (-1, 0))
    fleet.drivers[0].handle_events(change)
    fleet.drivers[0].terms = new_terms
    fleet.start_anew(1)
    fleet.run(12_000)
    assert 0 < fleet.peak_share <= 1


# Guards against workers of unknown size being taken to be as large as those of other kinds.
def test_a_small_worker_that_has_shown_nothing_is_not_taken_to_be_large():
    dispatchers, run_ms, sent = 60, 100, 0
    for number in range(dispatchers):
        terms = make_terms((300, 12_000), may_probe=False, dispatchers=dispatchers, own_number=number)
        driver = Driver(terms, number, (make_entry(1, kind=1), make_entry(2)))
        driver.handle_events(interface.LearnedRunTimes(((0, run_ms * MS, run_ms * MS, 1000),)), after=4000)
        driver.dispatcher.workers[2].slots = 16
        starting = make_entry(1, kind=1, started_at=driver.now)
        driver.handle_events(interface.Listed(interface.ListKind.DELTA, 2, (starting,)), after=1)
        for wi in range(40):
            driver.arrive(wi, after=50)
        sent += sum(driver.list_tried_workers(wi) == [1] for wi in range(40))
    budget = PUSH_MULTIPLE * (COLD_SHARE + 0.88 * 2 / 24) * 1 * PUSH_WINDOW / (run_ms * MS)
    assert 0 < sent <= compute_call_limit(budget), sent


# Guards against a worker that was sent much as a warm one in the moments before its start was told.
def test_what_was_sent_before_a_start_was_told_counts():
    jobs = make_burst(2000, jobs=20, run_ms=300.0, lasts_ms=4000) + make_burst(8000, jobs=80, run_ms=300.0)
    fleet = Fleet(make_terms((300, 12_000)), jobs, slots=(8, 8))
    fleet.run(8600)
    fleet.start_anew(1)
    fleet.run(9000)
    hand_offs = [action for action in fleet.drivers[0].recorded_actions if type(action) is interface.HandOff]
    sent = [action for action in hand_offs if action.worker == 1 and action.wi >= 20]
    notes = [action.slow_start for action in sent if action.slow_start is not None]
    assert len(sent) > len(notes) > 0
    assert max(note.recent + note.requests for note in notes) >= len(sent) - 1
    budget = PUSH_MULTIPLE * fleet.workers[1].compute_capacity_share(fleet.now) * 8 * PUSH_WINDOW
    assert len(sent) <= compute_call_limit(budget / (300 * MS))


def make_yielding_driver(rare_credit):
    """Returns a driver in which work of a category, learned, is often rejected, and the other one is rare."""
    terms = make_terms((400, 10_000), (400, 10_000), may_probe=False, live_weights=True)
    usual, rare = terms.categories
    driver = Driver(terms._replace(categories=(usual, rare._replace(credit=rare_credit))), 1)
    driver.handle_events(after=2000)
    driver.set_mean_run_time(900)
    driver.dispatcher.rejected_share, driver.dispatcher.nothing_in_flight_since = 0.3, driver.now
    return driver


def count_handed_off(driver, begins, seconds):
    """Lets a job of the usual category arrive each half second; returns how many were handed off."""
    for wi in range(begins, begins + 2 * seconds):
        driver.arrive(wi, after=500)
        for number in range(len(driver.list_tried_workers(wi))):
            driver.answer(wi, number, driver.list_tried_workers(wi)[number], after=1, elapsed=900)
    return sum(bool(driver.list_tried_workers(wi)) for wi in range(begins, begins + 2 * seconds))


# Guards against review case 7: a category that was not learned counted as taking no time, so all work of the
# others yielded to it.
def test_work_does_not_yield_to_a_category_whose_running_time_is_not_learned():
    driver = make_yielding_driver(rare_credit=1.0)
    assert count_handed_off(driver, 0, seconds=1) == 2


# Guards against work that yields for ever to work that does not come: nothing is in flight whose answer could
# show that there is room.
def test_work_yields_only_for_seconds_while_nothing_is_in_flight():
    driver = make_yielding_driver(rare_credit=1e4)
    assert count_handed_off(driver, 0, seconds=1) == 0
    assert count_handed_off(driver, 10, seconds=8) > 0


def measure_own_part(driver):
    """Returns what the dispatcher may send worker 1, in slow start, in a push window."""
    return driver.dispatcher._compute_allowance(driver.dispatcher.workers[1]).own_part


def make_slow_start_driver():
    driver = Driver(make_terms((300, 12_000)), 1, (make_entry(1), make_entry(2)))
    driver.handle_events(after=4000)
    driver.dispatcher.workers[1].slots = 16
    starting = make_entry(1, started_at=driver.now)
    driver.handle_events(
        interface.LearnedRunTimes(((0, 100 * MS, 100 * MS, 64),)),
        interface.Listed(interface.ListKind.DELTA, 2, (starting,)),
    )
    return driver


# Guards against a process that spends all of a budget of which the one that it replaces has just spent part.
def test_processes_at_one_address_spend_a_part_of_the_budget_until_one_has_been_alone_for_a_window():
    driver = make_slow_start_driver()
    alone = measure_own_part(driver)
    shared = driver.terms._replace(dispatchers=2, shares_address=True)
    driver.handle_events(interface.TermsChange(shared, (0,)), after=1)
    assert measure_own_part(driver) <= alone / 4
    driver.handle_events(interface.TermsChange(driver.terms, (0,)), after=10_000)
    just_alone = measure_own_part(driver)
    driver.handle_events(after=3100)
    assert measure_own_part(driver) > 3 * just_alone


# Guards against a window made longer by a reload, of whose first part nothing is recorded.
def test_a_push_window_that_a_reload_makes_longer_is_not_taken_to_have_been_empty():
    driver = make_slow_start_driver()
    before = measure_own_part(driver)
    longer = driver.terms._replace(push_window=2 * PUSH_WINDOW)
    driver.handle_events(interface.TermsChange(longer, (0,)), after=1)
    assert measure_own_part(driver) < before
    driver.handle_events(after=3100)
    assert measure_own_part(driver) > before
