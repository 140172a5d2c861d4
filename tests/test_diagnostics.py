"""Tests of the log lines that name single work items, workers and steps of the wall clock."""

import asyncio
from collections import Counter

import pytest
from conftest import MS, make_entry
from structlog.testing import capture_logs

from heronwinch import interface
from heronwinch.interface import SECOND, Outcome, SlowStartNote, SlowStartReason
from heronwinch.net.counters import FaultCounters
from heronwinch.net.diagnostics import (
    MAX_LINES_PER_SECOND,
    AnswerLog,
    WallClockMonitor,
    WorkerLog,
)
from heronwinch.net.engine import WorkItem
from heronwinch.protocol.clients import Job


class ManualMachine:
    """A machine whose clocks are set by the test."""

    def __init__(self):
        self.time, self.offset = 1000 * SECOND, 7 * SECOND

    def now(self):
        return self.time

    def read_wall_clock_offset(self):
        return self.offset


@pytest.fixture
def machine():
    return ManualMachine()


@pytest.fixture
def counters():
    return FaultCounters()


@pytest.fixture
def item(machine):
    """A work item of ten seconds that has had one hand-off."""
    job = Job(*(None,) * len(Job._fields))._replace(id=b"9b1f")
    item = WorkItem(1, job, None, interface.Effect.RERUNNABLE, machine.now(), 10 * SECOND)
    item.outcomes = [Outcome.FULL]
    return item


def test_a_hand_off_to_a_worker_in_slow_start_is_logged_with_its_reason(machine, counters, item):
    note = SlowStartNote(SlowStartReason.LONG, 2500 * MS, 3.5, 0.25, 1.0, 1200 * MS, 7, 4)
    with capture_logs() as lines:
        WorkerLog(machine, counters).log_slow_start_hand_off(item, 1, "s-1", note)
    assert lines == [
        {
            "event": "slow_start_hand_off",
            "log_level": "info",
            "id": "9b1f",
            "attempt": 2,
            "worker": "s-1",
            "why": "long",
            "age_ms": 2500,
            "requests": 3.5,
            "recent": 0.25,
            "own_part": 1.0,
            "mean_work_ms": 1200,
            "samples": 7,
            "slots": 4,
        }
    ]
    assert counters.counts == Counter(slow_start_long=1)


def test_lines_beyond_the_limit_of_a_second_are_counted_and_left_out(machine, counters, item):
    worker_log = WorkerLog(machine, counters)
    with capture_logs() as lines:
        for _ in range(MAX_LINES_PER_SECOND + 3):
            worker_log.log_failed_hand_off(item, 0, "s-1", Outcome.FULL, 3 * MS)
        assert len(lines) == MAX_LINES_PER_SECOND
        machine.time += SECOND
        worker_log.log_failed_hand_off(item, 0, "s-1", Outcome.FULL, 3 * MS)
    assert len(lines) == MAX_LINES_PER_SECOND + 1
    assert counters.counts["lines_left_out"] == 3
    assert lines[0]["outcome"] == "full" and lines[0]["elapsed_ms"] == 3 and lines[0]["worker"] == "s-1"


@pytest.mark.parametrize(
    "answer, most_hand_offs, is_stopping, waited, event, why",
    [
        (None, 4, False, 0, "work_item_left", "client_left"),
        (interface.Defer(1, 0), 1, False, 0, "work_item_deferred", "attempts_used_up"),
        (interface.Defer(1, 0), 4, True, 0, "work_item_deferred", "stopping"),
        (interface.Defer(1, 0), 4, False, 10 * SECOND, "work_item_deferred", "expired"),
        (interface.Defer(1, 0), 4, False, 9 * SECOND, "work_item_deferred", "no_worker_in_time"),
        (interface.WriteOff(1), 4, False, 0, "work_item_written_off", "outcome_unknown"),
    ],
)
def test_a_work_item_without_a_result_is_logged_with_why(
    machine, counters, item, answer, most_hand_offs, is_stopping, waited, event, why
):
    machine.time += waited
    with capture_logs() as lines:
        AnswerLog(machine, counters).log_unserved(item, answer, most_hand_offs, is_stopping)
    assert [(line["event"], line["id"], line["why"], line["attempts"]) for line in lines] == [
        (event, "9b1f", why, 1)
    ]
    assert lines[0]["waited_ms"] == waited // MS and lines[0]["left_ms"] == (10 * SECOND - waited) // MS


def test_a_change_of_a_worker_is_logged_with_its_age(machine, counters):
    old, new = make_entry(1), make_entry(1, started_at=machine.now() - 2 * SECOND)
    worker_log = WorkerLog(machine, counters)
    with capture_logs() as lines:
        worker_log.log_worker_change("s-1", None, new, 41)
        worker_log.log_worker_change("s-1", old, old._replace(standing=interface.Standing.DRAINING), 42)
    assert [(line["was"], line["now"], line["age_ms"], line["version"]) for line in lines] == [
        ("unlisted", "ready", 2000, 41),
        ("ready", "draining", 0, 42),
    ]


@pytest.mark.parametrize("step_ms, is_noticed", [(10_000, True), (-3_600_000, True), (20, False)])
def test_a_step_of_the_wall_clock_is_logged_once(machine, counters, step_ms, is_noticed):
    monitor = WallClockMonitor(machine, counters)
    with capture_logs() as lines:
        monitor.check()
        machine.offset += step_ms * MS
        monitor.check()
        monitor.check()
    assert [line["by_ms"] for line in lines] == [step_ms] * is_noticed
    assert counters.counts["clock_stepped"] == is_noticed


def test_a_running_program_logs_its_state_and_the_changes_of_its_workers(run_on_sockets):
    async def scenario(program):
        await program.send_job()
        call_count = len(program.discovery.calls)
        program.workers[0].health = "terminating"
        program.discovery.publish_changes()
        while len(program.discovery.calls) == call_count:  # the next call follows an applied answer
            await asyncio.sleep(0.01)
        _, logged = await program.stop()
        assert "event=state " in logged and "ready=2" in logged
        assert "event=worker_changed worker=w0 was=ready now=draining" in logged

    run_on_sockets(scenario)


def test_a_client_that_is_closed_and_the_use_of_resources_are_logged(run_simulated):
    async def scenario(harness):
        assert (await harness.exchange(b"GET / HTTP/1.0\r\nContent-Length: x\r\n\r\n"))[0] == 400
        await asyncio.sleep(11)
        lines = [line for line in harness.logged if "event=client_closed" in line]
        assert len(lines) == 1 and "why=bad_request status=400" in lines[0] and " client=" in lines[0]
        resources = [line for line in harness.logged if "event=resources" in line]
        assert all(
            f" {name}=" in resources[-1]
            for name in ("clients", "memory_mb", "peak_memory_mb", "loop_late_ms", "ids", "timers", "workers")
        )

    run_simulated(scenario)
