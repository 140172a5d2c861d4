"""Tests of slow_start: ages under clock errors, and the sum of what many dispatchers send."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from heronwinch.interface import SECOND
from heronwinch.slow_start import (
    USED_SHARE,
    Allowance,
    DispatcherOrder,
    SentWork,
    StartClock,
)

EPOCH = 1_700_000_000 * SECOND  # an instant of Unix time
HOUR = 3600 * SECOND


@given(
    st.integers(-5 * HOUR, 5 * HOUR),
    st.lists(st.integers(0, 20 * SECOND), min_size=1, max_size=5),
    st.integers(0, 30 * SECOND),
)
def test_no_worker_is_taken_for_older_than_it_is_whatever_the_wall_clocks_show(skew, delays, waited):
    clock = StartClock()
    starts = []
    for number, delay in enumerate(delays):
        heard_at = EPOCH + number * 21 * SECOND
        clock.note_list(heard_at - delay)
        true_start = heard_at - delay
        starts.append((true_start, clock.note_start(heard_at, true_start + skew)))
    now = heard_at + waited
    for true_start, start in starts:
        assert now - start.heard_at <= clock.compute_age(now, start) <= now - true_start


def test_a_worker_first_heard_of_in_the_first_list_is_as_old_as_the_newest_one_allows():
    clock = StartClock()
    old = clock.note_start(EPOCH, EPOCH - HOUR)
    new = clock.note_start(EPOCH, EPOCH - 2 * SECOND)
    assert clock.compute_age(EPOCH, old) == HOUR - 2 * SECOND
    assert clock.compute_age(EPOCH + SECOND, new) == SECOND


@given(st.integers(1, 300), st.integers(0, 1 << 32), st.integers(0, 1 << 62))
def test_each_dispatcher_has_another_place_in_the_order_of_a_start(dispatchers, key, started_at):
    ranks = {DispatcherOrder(own, dispatchers).compute_rank(key, started_at) for own in range(dispatchers)}
    assert ranks == set(range(dispatchers))


def test_starts_are_spread_evenly_over_the_dispatchers():
    member_counts = [
        sum(DispatcherOrder(own, 200).compute_rank(key, EPOCH + key) < 10 for key in range(400))
        for own in range(200)
    ]
    assert sum(member_counts) == 10 * 400 and max(member_counts) < 3 * 20


def send_all(allowance, requests):
    """Offers requests within one push window and returns the sum of those admitted."""
    sent = 0.0
    for size in requests:
        if allowance.admits(size, sent):
            sent += size
    return sent


@pytest.mark.parametrize("dispatchers", [1, 2, 5, 14, 60, 230])
@pytest.mark.parametrize("budget", [1.5, 5.0, 14.0, 40.0, 200.0])
def test_the_parts_of_all_dispatchers_stay_below_the_allowance(dispatchers, budget):
    total = sum(send_all(Allowance(budget, dispatchers, rank), [1.0] * 300) for rank in range(dispatchers))
    assert min(budget, dispatchers) / 2 <= total < budget + 1


@pytest.mark.parametrize("dispatchers", [1, 5, 60, 230])
@pytest.mark.parametrize("budget", [5.0, 14.0, 40.0])
def test_parts_of_mixed_work_stay_below_what_a_worker_stands(dispatchers, budget):
    # Sizes in requests of mean work; every dispatcher has more to send than it may.
    sizes, shares = [0.3, 0.6, 1.0, 3.5], [0.3, 0.3, 0.25, 0.15]
    for seed in range(100):
        random = Random(seed)
        total = sum(
            send_all(Allowance(budget, dispatchers, rank), random.choices(sizes, shares, k=50))
            for rank in range(dispatchers)
        )
        assert total <= budget / USED_SHARE


def test_work_longer_than_the_part_goes_from_fewer_dispatchers():
    senders = [rank for rank in range(100) if Allowance(20.0, 100, rank).admits(3.0, 0)]
    assert 1 <= len(senders) * 3.0 <= 20.0
    assert not Allowance(20.0, 100, 0).admits(3.0, 0.5)


def test_without_a_number_of_dispatchers_nothing_is_admitted_and_nothing_fails():
    # Guards against a crash where a membership view gives no divisor.
    allowance = Allowance(0.0, 0, 0.0)
    assert not allowance.is_usable and not allowance.admits(0.1, 0.0)
    assert allowance.own_part == allowance.represented_dispatchers == 1.0


def test_members_of_a_subset_stand_for_all_dispatchers():
    assert Allowance(20.0, 200, 0).represented_dispatchers == 10.0
    assert Allowance(0.5, 200, 0).represented_dispatchers == 200.0
    assert Allowance(20.0, 2, 0).represented_dispatchers == 1.0


class RequestsBySlot:
    """A WorkEstimate in which a slot of work of a category is `requests` requests."""

    def count_requests(self, requests, slots, work_items):
        return requests * slots


def test_sent_work_counts_for_one_push_window():
    sent_work = SentWork()
    sent_work.record(0, 2 * SECOND, 1.0, slots=1.0)
    sent_work.record(SECOND, 2 * SECOND, 0.25, slots=2.0)
    assert sent_work.sum_recent(SECOND, 2 * SECOND, RequestsBySlot()) == 1.5
    assert sent_work.sum_recent(2 * SECOND, 2 * SECOND, RequestsBySlot()) == 0.5
