"""The dispatcher program, started and used over sockets, real or simulated."""

import asyncio
import contextlib
import os
import signal
import subprocess
import sys

import pytest
from conftest import ROOT, encode_job, open_unaccepting_address

from examples import toy


def test_a_job_reaches_a_worker_unchanged_and_is_answered(run_on_sockets):
    async def scene(s):
        assert await s.send_job("/book/a%20b?sid=7&x=1", b"hi", id="ab12", Idempotency_Key="k1") == (
            200,
            b"HI",
        )
        ((headers, target, body),) = [received_job for worker in s.workers for received_job in worker.jobs]
        assert (headers[b"req-id"], headers[b"idempotency-key"]) == (b"ab12", b"k1")
        assert (target, body) == (b"/book/a%20b?sid=7&x=1", b"hi")
        assert 0 < float(headers[b"req-deadline"]) <= 5

    run_on_sockets(scene)


def test_concurrent_jobs_and_several_on_one_connection_are_answered(run_simulated):
    async def scene(s):
        answers = await asyncio.gather(*(s.send_job(body=b"x%d" % i, id=f"i{i}") for i in range(12)))
        assert answers == [(200, b"X%d" % i) for i in range(12)]
        reader, writer = await asyncio.open_connection(*s.address)
        for i in range(3):
            writer.write(encode_job(body=b"y", id=f"j{i}"))
            await reader.readuntil(b"\r\n\r\n")
            assert await reader.readexactly(1) == b"Y"
        writer.close()

    run_simulated(scene)


@pytest.mark.parametrize(
    "data, status",
    [
        (encode_job("/unheard-of/1"), 404),
        (encode_job(deadline="soon"), 400),
        (encode_job()[:40], 408),
        (b"POST /render HTTP/1.1\r\nHost: a\r\nContent-Length: 60000000\r\n\r\n" + b"x" * 2**21, 413),
        (b"DELETE /render HTTP/1.1\r\nHost: a\r\n\r\n", 405),
        (b"not http at all\r\n\r\n", 400),
        (b"GET / HTTP/1.1\r\nHost: a\r\nX: " + b"y" * 40000, 431),
    ],
)
def test_bad_input_is_answered_and_other_clients_are_served(run_simulated, data, status):
    async def scene(s):
        reader, writer = await asyncio.open_connection(*s.address)
        writer.write(data)
        assert int((await reader.readuntil(b"\r\n")).split()[1]) == status
        writer.close()
        assert (await s.send_job())[0] == 200
        assert len([received_job for worker in s.workers for received_job in worker.jobs]) == 1

    run_simulated(scene)


@pytest.mark.parametrize(
    "mode, path, status, max_hand_offs",
    [
        ("failed", "/render/1", 503, 4),
        ("error", "/charge/1", 500, 1),
        ("broken", "/charge/1", 500, 1),
        ("lost", "/charge/1", 500, 1),
        ("returned", "/charge/1", 503, 4),
        ("declined", "/charge/1", 503, 4),
        ("silent", "/charge/1", 500, 1),
    ],
)
def test_a_worker_failure_decides_the_status_and_the_number_of_hand_offs(
    run_simulated, mode, path, status, max_hand_offs
):
    async def scene(s):
        for worker in s.workers:
            worker.mode = mode
        assert (await s.send_job(path, deadline="2.5"))[0] == status
        jobs = [received_job for worker in s.workers for received_job in worker.jobs]
        assert 1 <= len(jobs) <= max_hand_offs

    run_simulated(scene, workers=4)


@pytest.mark.parametrize("path, status, other_jobs", [("/render/1", 200, 1), ("/charge/1", 500, 0)])
def test_work_leaves_a_silent_worker_only_where_it_may_run_twice(run_simulated, path, status, other_jobs):
    async def scene(s):
        mute, other = s.workers
        mute.mode = "mute"
        while not mute.jobs:  # until the random choice has fallen on this worker
            other.jobs.clear()
            answer = await s.send_job(path, deadline="2.5")
        assert (answer[0], len(other.jobs)) == (status, other_jobs)

    run_simulated(scene)


def test_a_dead_worker_is_skipped(run_on_sockets):
    async def scene(s):
        s.workers[0].abort_all()
        answers = [await s.send_job("/charge/1", id=f"i{i}") for i in range(6)]
        assert answers == [(200, b"HI")] * 6  # a refused connection proves that the work item did not run

    run_on_sockets(scene)


def test_a_worker_that_dies_with_work_counts_as_a_reset(run_simulated):
    async def scene(s):
        for worker in s.workers:
            worker.job_seconds = 3600
        asked = asyncio.create_task(s.send_job("/charge/1"))
        while not any(worker.unanswered_count for worker in s.workers):
            await asyncio.sleep(0.01)
        for worker in s.workers:
            worker.abort_all()
        assert (await asked)[0] == 500

    run_simulated(scene)


def test_a_disconnected_client_ends_its_work_item(run_simulated):
    async def scene(s):
        for worker in s.workers:
            worker.mode = "declined"
        _, writer = await asyncio.open_connection(*s.address)
        writer.write(encode_job())
        while not any(worker.jobs for worker in s.workers):
            await asyncio.sleep(0.01)
        writer.close()
        for worker in s.workers:
            worker.mode = "done"
        assert await s.send_job(body=b"next") == (200, b"NEXT")

    run_simulated(scene)


@pytest.mark.parametrize("discovery", ["on_request", "pushed"])
def test_a_draining_worker_gets_no_new_work(run_simulated, discovery):
    async def scene(s):
        assert (await s.send_job())[0] == 200
        while len(s.discovery.calls) < 1:
            await asyncio.sleep(0.01)
        first, second = s.workers
        first.health = "terminating"
        calls = len(s.discovery.calls)
        s.discovery.publish_changes()
        while len(s.discovery.calls) == calls:  # the next watch shows that the change was received
            await asyncio.sleep(0.01)
        await asyncio.sleep(0.05)
        before = len(first.jobs)
        assert [(await s.send_job(id=f"i{i}"))[0] for i in range(10)] == [200] * 10
        assert len(first.jobs) == before

    run_simulated(scene, discovery=discovery)


def test_an_outage_of_discovery_is_survived(run_simulated):
    async def scene(s):
        s.discovery.is_failing = True
        s.discovery.publish_changes()
        while len(s.discovery.calls) < 4:
            assert (await s.send_job())[0] == 200  # served by the last list received
        s.discovery.is_failing = False
        s.workers[0].health = "terminating"
        s.discovery.publish_changes()
        calls = len(s.discovery.calls)
        # Discovery is called again without a trigger, and sends the change.
        while len(s.discovery.calls) < calls + 2:
            await asyncio.sleep(0.02)
        before = len(s.workers[0].jobs)
        assert [(await s.send_job(id=f"i{i}"))[0] for i in range(5)] == [200] * 5
        assert len(s.workers[0].jobs) == before

    run_simulated(scene)


def test_an_orderly_stop_finishes_accepted_work(run_simulated):
    # In simulated time: on a busy real machine the new connections came later than the half second in which
    # they are accepted.
    async def scene(s):
        for worker in s.workers:
            worker.job_seconds = 0.6
        kept_reader, kept = await asyncio.open_connection(*s.address)
        kept.write(encode_job(id="first"))
        await kept_reader.readuntil(b"HI")
        taken = [asyncio.create_task(s.send_job(id=f"i{i}")) for i in range(2)]
        while sum(worker.unanswered_count for worker in s.workers) < 2:
            await asyncio.sleep(0.01)
        s.process.terminate()
        while (await s.send_get("/-/ready"))[0] == 200:
            await asyncio.sleep(0.01)
        kept.write(encode_job(id="second"))  # clients still use the connections that they have
        assert (await s.send_job(id="late"))[0] == 200  # new connections are still accepted for a while
        assert (await kept_reader.readuntil(b"HI")).startswith(b"HTTP/1.1 200 ")
        assert await asyncio.gather(*taken) == [(200, b"HI")] * 2
        assert await kept_reader.read() == b""  # idle connections are closed in the end
        kept.close()
        status, logged = await s.stop()
        assert status == 0 and "unanswered=0" in logged

    run_simulated(scene, workers=4)


@pytest.mark.parametrize("path, status", [("/render/1", 503), ("/charge/1", 500)])
def test_an_orderly_stop_answers_work_that_cannot_finish(run_simulated, path, status):
    async def scene(s):
        for worker in s.workers:
            worker.mode = "silent"
        asked = asyncio.create_task(s.send_job(path, deadline="60"))
        while not any(worker.unanswered_count for worker in s.workers):
            await asyncio.sleep(0.01)
        s.process.terminate()
        assert (await asked)[0] == status

    run_simulated(scene)


def test_a_reload_changes_discovery_at_once_and_misses_no_drain(run_simulated):
    async def scene(s):
        for worker in s.workers:
            worker.job_seconds = 0.5
        taken = asyncio.create_task(s.send_job())
        while not any(worker.unanswered_count for worker in s.workers):
            await asyncio.sleep(0.01)
        s.workers[0].health = "terminating"
        other = await toy.Discovery(s.workers).start()
        # The new discovery has its own versions: a watch from a version of the old one would wait past the
        # drain.
        other.roster.version = other.roster.visible_version = 0
        await s.reload(other)
        assert other.calls[0] == {} and other.calls[1]["index"] == 0
        while s.discovery.transports:  # until the old discovery has no connection left
            await asyncio.sleep(0.01)
        assert (await taken)[0] == 200
        before = len(s.workers[0].jobs)
        assert [(await s.send_job())[0] for _ in range(6)] == [200] * 6
        assert len(s.workers[0].jobs) == before
        other.abort_all()

    run_simulated(scene)


def test_a_reload_applies_valid_settings_and_refuses_invalid_ones(run_on_sockets):
    async def scene(s):
        for worker in s.workers:
            worker.mode = "failed"
        other = await toy.Discovery(s.workers).start()
        s.settings["limits.most_hand_offs"] = 1
        for text in ("{", '{"settings": {}}', "[" * 100_000):
            s.write_config().write_text(text)
            s.process.send_signal(signal.SIGHUP)
            assert (await s.send_job())[0] == 503
        assert sum(len(worker.jobs) for worker in s.workers) > 3
        for _ in range(3):  # several signals in a row
            s.write_config(discovery=other.dial)
            s.process.send_signal(signal.SIGHUP)
        await s.reload(other)
        for worker in s.workers:
            worker.jobs.clear()
        assert (await s.send_job())[0] == 503
        assert sum(len(worker.jobs) for worker in s.workers) == 1
        s.process.terminate()
        s.process.send_signal(signal.SIGHUP)
        _, logged = await s.stop()
        assert "reload_refused" in logged and "event=reloaded" in logged
        other.abort_all()

    run_on_sockets(scene, workers=4)


@pytest.mark.parametrize(
    "text, message",
    [
        (None, "RELAY_CONFIG is not set"),
        ("{", "cannot read"),
        ("[]", "settings are missing"),
        ('{"settings": {}}', "listen is no address"),
        ('{"settings": {}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2"}', "required key"),
        (
            '{"settings": {}, "listen": "127.0.0.1:1", "discovery": "127.0.0.1:2", "known": {"seq": 1}}',
            "no list",
        ),
    ],
)
def test_an_invalid_configuration_is_reported_in_one_line(tmp_path, text, message):
    env = {"PATH": os.environ["PATH"]}
    if text is not None:
        (tmp_path / "c.json").write_text(text)
        env["RELAY_CONFIG"] = str(tmp_path / "c.json")
    finished = subprocess.run(
        [sys.executable, "-m", "heronwinch"], cwd=ROOT, env=env, capture_output=True, text=True, timeout=20
    )
    assert (
        finished.returncode not in (0, None)
        and finished.stderr.count("\n") == 1
        and message in finished.stderr
    )


def test_an_address_in_use_is_reported_in_one_line(run_on_sockets):
    async def scene(s):
        other = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "heronwinch",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={"RELAY_CONFIG": str(s.write_config()), "PATH": os.environ["PATH"]},
        )
        _, errors = await other.communicate()
        assert other.returncode == 1 and errors.count(b"\n") == 1 and b"cannot listen" in errors

    run_on_sockets(scene)


def test_time_that_a_request_waits_unread_counts_against_its_deadline(run_on_sockets):
    async def scene(s):
        os.kill(s.process.pid, signal.SIGSTOP)
        asked = asyncio.create_task(s.send_job(deadline="5.0"))
        await asyncio.sleep(0.5)
        os.kill(s.process.pid, signal.SIGCONT)
        assert (await asked)[0] == 200
        ((headers, _, _),) = [received_job for worker in s.workers for received_job in worker.jobs]
        # 4.52 and not 4.5: the system reports the age of received bytes in coarse steps.
        assert float(headers[b"req-deadline"]) < 4.52

    run_on_sockets(scene)


def test_new_silent_connections_are_closed_before_those_of_known_clients(run_on_sockets):
    async def scene(s):
        reader, writer = await asyncio.open_connection(*s.address)
        writer.write(encode_job())
        await reader.readuntil(b"HI")
        silent = [await asyncio.open_connection(*s.address) for _ in range(30)]
        assert (await s.send_job(id="i2"))[0] == 200
        assert await silent[0][0].read() == b""  # the connection that was silent for longest is closed
        assert s.count_descriptors() <= 40
        writer.write(encode_job(id="i3"))
        assert b" 200 " in await reader.readline()
        for _, open_writer in [*silent, (reader, writer)]:
            open_writer.close()

    run_on_sockets(scene, sockets=40)


def test_the_id_of_an_open_request_is_rejected_and_the_first_request_unharmed(run_simulated):
    async def scene(s):
        for worker in s.workers:
            worker.job_seconds = 0.5
        owner = asyncio.create_task(s.send_job(body=b"mine", id="ab12"))
        while not any(worker.unanswered_count for worker in s.workers):
            await asyncio.sleep(0.01)
        assert (await s.send_job(body=b"other", id="ab12"))[0] == 409
        assert await owner == (200, b"MINE")
        assert sum(len(worker.jobs) for worker in s.workers) == 1

    run_simulated(scene)


def test_a_client_beyond_the_limit_is_deferred(run_simulated):
    async def scene(s):
        for worker in s.workers:
            worker.mode = "silent"
        status, writers = b"", []
        while b" 503 " not in status:  # each busy client holds one place until all are taken
            reader, writer = await asyncio.open_connection(*s.address)
            writers.append(writer)
            writer.write(encode_job(id=f"i{len(writers)}", deadline="60"))
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(0.1):
                    status = await reader.readline()
        for writer in writers:
            writer.close()
        _, logged = await s.stop()
        assert "client_turned_away" in logged

    run_simulated(scene, sockets=40)


@pytest.mark.parametrize("path, closes", [("/render/1", False), ("/charge/1", True)])
def test_worker_connections_are_reused_unless_the_worker_closed_them(run_on_sockets, path, closes):
    async def scene(s):
        (worker,) = s.workers
        await s.send_job()
        for writer in list(worker.transports) if closes else ():
            writer.close()
        before = worker.accepted_connections
        assert (await s.send_job(path))[0] == 200  # a hand-off over the closed connection would be a reset
        assert (worker.accepted_connections > before) == closes

    run_on_sockets(scene, workers=1)


def test_a_worker_that_never_accepts_times_out(run_on_sockets):
    async def scene(s):
        first, second = s.workers
        first.abort_all()
        with open_unaccepting_address(tuple(first.address)):
            answers = [await s.send_job("/charge/1", id=f"i{i}") for i in range(4)]
        assert answers == [(200, b"HI")] * 4 and len(second.jobs) == 4

    run_on_sockets(scene)


def test_incomplete_requests_and_silent_clients_delay_nobody(run_simulated):
    async def scene(s):
        writers = []
        for data in (b"", encode_job()[:40], encode_job()[:-1]):
            _, writer = await asyncio.open_connection(*s.address)
            writer.write(data)
            writers.append(writer)
        assert await s.send_job() == (200, b"HI")
        assert sum(len(worker.jobs) for worker in s.workers) == 1
        for writer in writers:
            writer.close()

    run_simulated(scene)


SIGNAL_INTERVAL_SECONDS = 0.002  # less than a process takes to exit


# Guards against a process that a further signal kills when its stop is over and it is about to exit.
@pytest.mark.parametrize("signal_number", [signal.SIGTERM, signal.SIGHUP, signal.SIGINT])
def test_signals_in_series_up_to_the_end_of_a_stop_do_not_kill_the_process(run_on_sockets, signal_number):
    async def scene(s):
        assert (await s.send_job())[0] == 200
        s.process.terminate()
        while s.process.returncode is None:
            with contextlib.suppress(ProcessLookupError):
                os.kill(s.process.pid, signal_number)  # send_signal() may take the exit status away
            await asyncio.sleep(SIGNAL_INTERVAL_SECONDS)
        assert s.process.returncode == 0

    run_on_sockets(scene)
