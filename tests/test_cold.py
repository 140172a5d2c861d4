"""Cold workers: rehearsals in which all workers restart cold at once, and single decisions.

A cold worker fails under the sum of what all dispatchers send. Beyond a budget of N calls, an excess of up to
2 * sqrt(N) + 2 calls counts as chance.
"""

from math import sqrt

import pytest
from conftest import MS, make_entry
from test_policy import OPEN_AFTER_MS, make_report

from heronwinch import interface
from heronwinch.interface import Outcome
from heronwinch.policy import Dispatcher
from heronwinch.rehearsal.models.worker import WorkerModel
from heronwinch.rehearsal.script import parse_script
from heronwinch.rehearsal.virtual import rehearse

MEAN_RUN_TIME_NS = (300 * 8 + 1200) / 9 * MS  # over all work items of the script


def make_cold_start_script(dispatchers):
    return parse_script(f"""
format = 1
name = "back-cold"
seconds = "7s"
[fleet]
workers = 6
slots = 4
queue = 16
reports = "probe"
[dispatchers]
count = {dispatchers}
[[categories]]
name = "quote"
running = "300ms"
expiry = "5s"
[[categories]]
name = "book"
running = "1200ms"
expiry = "8s"
[[traffic]]
category = "quote"
rate = 70.0
[[traffic]]
category = "book"
rate = 8.7
[[troubles]]
at = "1s"
lasts = "1s"
what = "crash"
count = 6
""")


@pytest.fixture
def cold_hand_offs(monkeypatch):
    """Returns a list of (work sent in the push window up to then, budget N), both in calls of mean work.

    It has one element for each hand-off to a cold worker. Overloaded workers go on running, so that the whole
    rehearsal is recorded.
    """
    hand_offs, work_by_worker = [], {}

    def record_push(self, now, job):
        if self.is_cold(now):
            sent = work_by_worker.setdefault(self, [])
            sent.append((now, job.likely / MEAN_RUN_TIME_NS))
            while sent[0][0] <= now - self.shape.push_window:
                sent.pop(0)
            budget = (
                self.shape.push_multiple
                * self.compute_warm_up_share(now)
                * self.shape.slots
                * self.shape.push_window
            )
            hand_offs.append((sum(work for _, work in sent), budget / MEAN_RUN_TIME_NS))

    monkeypatch.setattr(WorkerModel, "_add_slow_start_load", record_push)
    return hand_offs


@pytest.mark.parametrize("dispatchers, seed", [(2, 1), (20, 2), (30, 2)])
def test_all_dispatchers_together_keep_to_the_budget_of_cold_workers(cold_hand_offs, dispatchers, seed):
    rehearse(make_cold_start_script(dispatchers), seed, Dispatcher)
    overloads = [
        (sent, round(budget, 1)) for sent, budget in cold_hand_offs if sent > budget + 2 * sqrt(budget) + 2
    ]
    assert len(cold_hand_offs) > 20 and not overloads


def make_driver_with_cold_worker(make_driver, **terms):
    """Returns a driver of one of ten dispatchers, with one cold worker."""
    driver = make_driver(
        may_probe=True, dispatchers=10, workers=[make_entry(1, started_at=1_000_000 * MS)], **terms
    )
    driver.handle_events(interface.Probed(1, 2 * MS, Outcome.OK, make_report(0)), after=OPEN_AFTER_MS)
    driver.set_mean_run_time(100)
    driver.dispatcher.category_states[0].run_times.restore(100 * MS, 100 * MS, 1)
    return driver


def test_a_work_item_out_of_busy_alerts_goes_to_no_cold_worker(make_driver):
    """Guards against hand-offs outside the budget to a cold worker at which a short wait was expected."""
    driver = make_driver_with_cold_worker(make_driver)
    may_hand_off_to = driver.dispatcher._may_hand_off_to
    worker = driver.dispatcher.workers[1]
    driver.arrive(1, after=50)
    wi = driver.dispatcher.work_items[1]
    wi.alert_requests = driver.terms.most_hand_offs
    assert not any(may_hand_off_to(worker, wi) for _ in range(300))
    wi.alert_requests = 0
    assert any(may_hand_off_to(worker, wi) for _ in range(300))  # it is probed first


@pytest.mark.parametrize("running_ms", [100, 3000])
def test_nothing_goes_to_a_cold_worker_that_has_just_reported_no_room(make_driver, running_ms):
    """Short and long work goes by this dispatcher's part of the budget, but not on top of full slots."""
    is_used = []
    for free in (0, 4):
        driver = make_driver(
            may_probe=True,
            dispatchers=2,
            workers=[make_entry(1, started_at=1_000_000 * MS)],
            push_multiple=6.0,
        )
        for shown in (4, free):
            driver.handle_events(
                interface.Probed(1, 2 * MS, Outcome.OK, make_report(shown, slots=4)), after=OPEN_AFTER_MS
            )
        driver.set_mean_run_time(running_ms)
        driver.dispatcher.category_states[0].run_times.restore(running_ms * MS, running_ms * MS, 1)
        driver.arrive(1, after=50)
        wi, worker = driver.dispatcher.work_items[1], driver.dispatcher.workers[1]
        driver.handle_events(interface.Probed(1, 2 * MS, Outcome.OK, make_report(free, slots=4)))
        is_used.append(
            bool(wi.hand_offs) or any(driver.dispatcher._may_hand_off_to(worker, wi) for _ in range(300))
        )
    assert is_used == [False, True]
