"""Tests of run_times: what is taken of running times of which nothing, or little, is learned."""

import pytest
from conftest import CATEGORY, MS

from heronwinch.interface import SECOND
from heronwinch.policy_state import CategoryState
from heronwinch.run_times import RunTimes, WorkEstimate

EXPIRY = 10 * SECOND


def make_category(arrivals, run_time=0):
    """Returns the state of a category that clients wait EXPIRY for, learned if it has a running time."""
    category = CategoryState(CATEGORY._replace(expiry=EXPIRY))
    category.run_times.arrivals = arrivals
    if run_time:
        category.run_times.restore(run_time, run_time, 1000)
    return category


def test_nothing_learned_is_taken_to_run_as_long_as_clients_wait():
    assert RunTimes().estimate(0, EXPIRY) == EXPIRY


# Guards against errors that come at once being taken for the running time.
def test_work_that_did_not_finish_counts_only_where_it_ran_for_longer():
    run_times = RunTimes()
    for _ in range(100):
        run_times.learn(5 * MS, has_finished=False, was_in_slow_start=False)
    assert run_times.estimate(0, EXPIRY) == EXPIRY
    for _ in range(100):
        run_times.learn(SECOND, has_finished=True, was_in_slow_start=False)
    finished_only = run_times.estimate(0, EXPIRY)
    run_times.learn(5 * MS, has_finished=False, was_in_slow_start=False)
    assert run_times.estimate(0, EXPIRY) == finished_only
    run_times.learn(5 * SECOND, has_finished=False, was_in_slow_start=False)
    assert run_times.estimate(0, EXPIRY) > finished_only


# Guards against workers in slow start overloaded after few answers, which are those of the shortest work.
def test_hand_offs_that_are_out_count_towards_the_mean():
    run_times = RunTimes()
    for _ in range(20):
        run_times.begin_run(0)
    for _ in range(10):
        run_times.end_run(0)
        run_times.learn(100 * MS, has_finished=True, was_in_slow_start=False)
    assert run_times.estimate(SECOND, EXPIRY) > SECOND
    for _ in range(10):
        run_times.end_run(0)
    assert run_times.estimate(SECOND, EXPIRY) < 250 * MS


def test_running_times_of_workers_in_slow_start_count_while_there_are_no_others():
    run_times = RunTimes()
    for _ in range(64):
        run_times.learn(8 * SECOND, has_finished=True, was_in_slow_start=True)
    assert 8 * SECOND <= run_times.estimate(0, EXPIRY) <= EXPIRY
    for _ in range(64):
        run_times.learn(SECOND, has_finished=True, was_in_slow_start=False)
        run_times.learn(8 * SECOND, has_finished=True, was_in_slow_start=True)
    assert SECOND <= run_times.estimate(0, EXPIRY) < 1.3 * SECOND


def test_what_was_learned_before_a_restart_bounds_running_times_closer_than_the_expiry():
    run_times = RunTimes()
    run_times.restore(100 * MS, 100 * MS, 1)
    assert 200 * MS <= run_times.estimate(0, EXPIRY) <= 400 * MS


# Guards against work that has become longer over a restart and is never taken to be.
def test_what_was_learned_before_a_restart_bounds_no_running_times_that_were_seen_since():
    run_times = RunTimes()
    run_times.restore(100 * MS, 100 * MS, 8)
    for _ in range(64):
        run_times.learn(2 * SECOND, has_finished=True, was_in_slow_start=False)
    assert 2 * SECOND <= run_times.estimate(0, EXPIRY) <= 2.5 * SECOND
    for _ in range(64):
        run_times.learn(2 * EXPIRY, has_finished=True, was_in_slow_start=False)
    assert run_times.estimate(0, EXPIRY) == EXPIRY


@pytest.mark.parametrize("unknown_run_time", [MS, SECOND, EXPIRY])
@pytest.mark.parametrize("arrivals", [(99, 0), (50, 50), (0, 99)])
def test_requests_are_not_counted_as_less_than_they_can_be(unknown_run_time, arrivals):
    known, unknown = make_category(arrivals[0], 200 * MS), make_category(arrivals[1])
    estimate = WorkEstimate([known, unknown], 0)
    shares = [(count + 1) / (sum(arrivals) + 2) for count in arrivals]
    true_mean = shares[0] * 200 * MS + shares[1] * unknown_run_time
    assert estimate.longest_mean >= true_mean
    assert estimate.count_requests(known, 1.0) >= min(1.0, 200 * MS / true_mean)
    assert estimate.count_requests(unknown, 1.0) >= unknown_run_time / true_mean


def test_requests_of_the_only_category_are_of_mean_work():
    category = make_category(5)
    assert WorkEstimate([category], 0).count_requests(category, 2.0, work_items=2) == 2.0
    assert WorkEstimate([category], 0).longest_mean == EXPIRY
