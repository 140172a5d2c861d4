"""Tests that a repeat of ticketed work does not arrive after the window in which workers drop it.

Guards against an effect that takes place twice: a repeat is sent within the window, held up on its way, and
runs once its workers have forgotten the key."""

import pytest
from conftest import MS
from in_process import (
    CHUNKED_HEAD,
    EXAMPLE_CONFIG,
    encode_done_response,
    reset_connection,
    wait_until,
)

from heronwinch import interface
from heronwinch.interface import Effect, Group, Outcome
from heronwinch.net import sockets

OPEN_AFTER_MS = 2500  # by then the workers' first epoch has passed
WINDOW_SECONDS = 0.6  # far shorter than the deadline of the jobs


def set_window(seconds):
    """Returns the categories of the example, repeats of `book` being dropped for this time."""
    return [
        {**category, "window_ns": int(seconds * 1e9)} if category["name"] == "book" else category
        for category in EXAMPLE_CONFIG["settings"]["categories"]
    ]


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.TIMEOUT, Outcome.CANCELLED, Outcome.STALE])
def test_a_repeat_has_to_reach_its_worker_before_the_window_ends(make_driver, outcome):
    driver = make_driver(Effect.TICKETED, Group.ALL, category={"expiry": 20_000 * MS, "late_credit": 0.5})
    (first,) = driver.arrive(1, after=OPEN_AFTER_MS)
    sent_at = driver.now
    (second,) = driver.answer(1, 0, first.worker, outcome, after=100)
    driver.handle_events(after=OPEN_AFTER_MS)
    assert first.respond_by == 0
    assert second.respond_by == sent_at + driver.terms.categories[0].window


@pytest.mark.parametrize(
    "effect, outcome",
    [(Effect.RERUNNABLE, Outcome.RESET), (Effect.TICKETED, Outcome.FULL), (Effect.EXCLUSIVE, Outcome.FULL)],
)
def test_work_that_never_ran_or_may_run_twice_has_no_such_limit(make_driver, effect, outcome):
    driver = make_driver(effect, Group.ALL)
    (first,) = driver.arrive(1, after=OPEN_AFTER_MS)
    driver.answer(1, 0, first.worker, outcome, after=100)
    driver.handle_events(after=OPEN_AFTER_MS)
    hand_offs = [action for action in driver.recorded_actions if type(action) is interface.HandOff]
    assert len(hand_offs) > 1 and not any(action.respond_by for action in hand_offs)


async def hand_off_twice(harness):
    """Has a ticketed job reset after its first hand-off; returns the task of its answer and the repeat."""
    answer_task = await harness.send_job("/book/1", Idempotency_Key="k")
    first = await harness.worker.requests.get()
    reset_connection(first.writer)
    return answer_task, await harness.worker.requests.get()


def test_a_repeat_without_a_response_is_given_up_when_the_window_ends(run_in_process):
    async def scenario(harness):
        answer_task, repeat = await hand_off_twice(harness)
        (item,) = harness.engine.items.values()
        window_end = item.sent_to[0][1] + int(WINDOW_SECONDS * 1e9)
        status, _ = await answer_task
        assert window_end <= harness.machine.now() < item.expiry
        assert status == 500  # the first hand-off may have run
        ended = [await harness.worker.ended.get() for _ in range(2)]
        assert repeat.writer in ended

    run_in_process(scenario, categories=set_window(WINDOW_SECONDS))


def test_a_repeat_that_its_worker_has_taken_in_time_may_run_past_the_window(run_in_process):
    async def scenario(harness):
        answer_task, repeat = await hand_off_twice(harness)
        (item,) = harness.engine.items.values()
        repeat.send(CHUNKED_HEAD)
        window_end = item.sent_to[0][1] + int(WINDOW_SECONDS * 1e9)
        await wait_until(lambda: harness.machine.now() > window_end + 50 * MS)
        assert not answer_task.done()
        repeat.send(encode_done_response(repeat).removeprefix(CHUNKED_HEAD))
        assert (await answer_task)[0] == 200

    run_in_process(scenario, categories=set_window(WINDOW_SECONDS))


@pytest.mark.parametrize("delay_within", ["connect", "ledger"])
def test_a_repeat_that_could_be_sent_only_after_the_window_is_not_sent(
    run_in_process, monkeypatch, tmp_path, delay_within
):
    # The process stands still, or waits for a disk, between the choice of the worker and the first byte.
    async def scenario(harness):
        connect, connections = sockets.connect, []

        def stall_before_repeat():
            connections.append(None)
            if len(connections) == 2:
                harness.machine.offset += int(WINDOW_SECONDS * 1e9)

        async def connect_late(*address):
            streams = await connect(*address)
            if delay_within == "connect":
                stall_before_repeat()
            return streams

        async def record_late(*arguments):
            recorded = await record_intent(*arguments)
            stall_before_repeat()
            return recorded

        monkeypatch.setattr(sockets, "connect", connect_late)
        if delay_within == "ledger":
            record_intent = harness.program.ledger.record_intent
            harness.program.ledger.record_intent = record_late
        answer_task = await harness.send_job("/book/1", Idempotency_Key="k")
        first = await harness.worker.requests.get()
        reset_connection(first.writer)
        status, _ = await answer_task
        assert status == 500 and len(harness.worker.request_ids) == 1

    more = {"ledger": {"path": str(tmp_path / "store")}} if delay_within == "ledger" else {}
    run_in_process(scenario, more=more, categories=set_window(WINDOW_SECONDS))


def test_a_repeat_without_a_response_is_not_handed_over_to_another_process(run_in_process):
    # The other process does not know how long the window lasts.
    async def scenario(harness):
        harness.program.workers.keeps_received = True
        answer_task, repeat = await hand_off_twice(harness)
        (hand_off,) = harness.program.workers.hand_offs.values()
        await wait_until(lambda: hand_off.connection)
        hand_off.patience = 0
        assert not harness.program.workers.can_hand_over(hand_off)
        repeat.send(CHUNKED_HEAD)
        await wait_until(lambda: hand_off.connection.protocol.has_responded)
        assert harness.program.workers.can_hand_over(hand_off)
        repeat.send(encode_done_response(repeat).removeprefix(CHUNKED_HEAD))
        assert (await answer_task)[0] == 200

    run_in_process(scenario, categories=set_window(2.0))
