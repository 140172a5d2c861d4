"""Clients that put a process under pressure: what one connection may cost and hold, and what others get
meanwhile."""

import asyncio
import socket
import time

import h11
import pressure
import pytest
from conftest import FAULT_EVENTS, encode_job
from in_process import encode_listing_response, wait_until
from limited_program import LimitedProgram
from pressure_soak import Soak

from heronwinch.net import recent_ids
from heronwinch.net.sockets import CONNECTION_BYTES, LARGE_BUFFER_BYTES, ResourceBudget

SMALL_MEMORY_MB, LARGE_MEMORY_MB = 32, 192
PRESSURE_SECONDS = 4.0
USUAL_CLIENTS_ALONE_SECONDS = 0.5  # so that all have had an answer and keep their connections
DEADLINE_SECONDS = 5.0  # of the usual clients
LATEST_ANSWER_SECONDS = DEADLINE_SECONDS + 0.5  # an answer that comes later counts as none
MAX_PARSER_EVENTS_PER_TURN = 1000
MAX_BYTES_IN_ONE_READ = 16 * 1024
CROWD_SIZE = 50
LISTED_WORKERS = 2000
LATE_TURN_SECONDS = 0.03
CONNECTIONS_MEASURED = 200
SMALL_CHUNKS = b"1\r\nx\r\n" * 20_000


async def play_beside_usual_clients(kind, memory_mb, folder, mode):
    """Plays one kind of pressure; returns the usual clients, the peak memory and the log."""
    async with LimitedProgram(folder, memory_mb, mode=mode) as program:
        await asyncio.sleep(1.1)  # the first epoch, in which no worker is open
        usual = pressure.UsualClients(program.address, 20, 0.1, DEADLINE_SECONDS)
        async with usual:
            await asyncio.sleep(USUAL_CLIENTS_ALONE_SECONDS)
            sent = await pressure.play(kind, program.address, PRESSURE_SECONDS)
        peak_memory_mb = pressure.read_peak_memory_mb(program.process.pid)
        status, logged = await program.stop()
    print(kind, memory_mb, f"peak {peak_memory_mb:.1f} MB", usual.summarize(), sent)
    faults = [line for line in logged.splitlines() if any(word in line for word in FAULT_EVENTS)]
    assert (status, faults) == (0, [])
    return usual, peak_memory_mb


# Guards against clients that cost so much processor time that others get their answers late or never.
@pytest.mark.parametrize("memory_mb", [SMALL_MEMORY_MB, LARGE_MEMORY_MB])
@pytest.mark.parametrize("kind", ["unsound", "small_chunks", "crowd_of_chunks", "crowd_of_fields"])
def test_usual_clients_are_answered_in_time_beside(kind, memory_mb, tmp_path):
    usual, peak_memory_mb = asyncio.run(play_beside_usual_clients(kind, memory_mb, tmp_path, "done"))
    assert peak_memory_mb <= memory_mb
    assert [answer for answer in usual.answers if answer.seconds > LATEST_ANSWER_SECONDS] == []
    assert [answer for answer in usual.answers if not answer.status] == []


# Guards against a process that passes its memory limit under a crowd of large requests.
@pytest.mark.parametrize("memory_mb", [SMALL_MEMORY_MB, LARGE_MEMORY_MB])
@pytest.mark.parametrize("kind", ["half_bodies", "large_jobs_left", "unread_answers"])
def test_memory_stays_within_its_limit_under(kind, memory_mb, tmp_path):
    _, peak_memory_mb = asyncio.run(play_beside_usual_clients(kind, memory_mb, tmp_path, "silent"))
    assert peak_memory_mb <= memory_mb


# Guards against connections that hold more than the account of memory says.
@pytest.mark.parametrize(
    "data, connections, large_buffers",
    [
        pytest.param(b"", 1, 0, id="nothing"),
        pytest.param(pressure.encode_head(extra=b"X: " + b"x" * 3900)[:-2], 1, 0, id="half a head"),
        pytest.param(pressure.encode_head(extra=b"X: " + b"x" * 15_000)[:-2], 1, 1, id="half a long head"),
        pytest.param(pressure.encode_head(length=65_536) + b"x" * 65_000, 1, 1, id="half a body"),
        pytest.param(pressure.encode_head(id="NUMBER", length=2) + b"hi", 2, 0, id="a job"),
        pytest.param(pressure.encode_head(id="NUMBER", length=65_536) + b"x" * 65_536, 2, 1, id="a long job"),
    ],
)
def test_a_connection_holds_no_more_than_its_part_of_the_account(data, connections, large_buffers, tmp_path):
    async def main():
        async with LimitedProgram(tmp_path, LARGE_MEMORY_MB, mode="silent") as program:
            await asyncio.sleep(1.1)  # the first epoch, in which no worker is open
            before = pressure.read_memory_bytes(program.process.pid)
            writers = []
            for number in range(CONNECTIONS_MEASURED):
                _, writer = await asyncio.open_connection(*program.address)
                writer.write(data.replace(b"NUMBER", b"%d" % number))
                writers.append(writer)
            await asyncio.sleep(0.7)  # less than a request may take to come
            held = (pressure.read_memory_bytes(program.process.pid) - before) / CONNECTIONS_MEASURED
            for writer in writers:
                writer.close()
        print(f"{held / 1024:.1f} KiB for each client")
        return held

    assert asyncio.run(main()) <= connections * CONNECTION_BYTES + large_buffers * LARGE_BUFFER_BYTES


# Guards against what kinds of clients do together, beside signals and workers that fail; 50 seeds and more
# are played by hand.
@pytest.mark.parametrize("seed", [1, 2, 3, 4, 128])
def test_a_seed_of_the_soak_holds(seed):
    assert asyncio.run(Soak(seed).run()) == []


# Guards against a loop turn that parses all that a crowd has sent, during which nobody else is served.
def test_a_loop_turn_parses_a_bounded_amount(run_in_process, monkeypatch):
    async def scenario(harness):
        events_by_turn = [0]
        next_event = h11.Connection.next_event

        def count_event(connection):
            events_by_turn[-1] += 1
            return next_event(connection)

        def begin_turn():
            events_by_turn.append(0)
            harness.engine.loop.call_soon(begin_turn)

        monkeypatch.setattr(h11.Connection, "next_event", count_event)
        begin_turn()
        writers = []
        for number in range(CROWD_SIZE):
            _, writer = await harness.open_client_connection()
            writers.append(writer)
            head = encode_job(id=f"chunked{number}", body=b"").replace(
                b"Content-Length: 0", b"Transfer-Encoding: chunked"
            )
            writer.write(head + SMALL_CHUNKS[:60_000])
        await asyncio.sleep(1)
        assert sum(events_by_turn) > MAX_PARSER_EVENTS_PER_TURN
        assert max(events_by_turn) <= MAX_PARSER_EVENTS_PER_TURN
        for writer in writers:
            writer.close()

    run_in_process(scenario)


# Guards against a read that takes in whatever the kernel holds: the budget of memory doesn't know of it.
def test_one_read_takes_in_a_bounded_amount(run_in_process):
    async def scenario(harness):
        with socket.create_connection(harness.address) as sock:
            await wait_until(lambda: harness.program.listener.clients)
            (client,) = harness.program.listener.clients
            sizes, feed_data = [], client.reader.feed_data
            client.reader.feed_data = lambda data: (sizes.append(len(data)), feed_data(data))
            sock.sendall(encode_job("/render/1", body=b"x" * 60_000))
            await wait_until(lambda: client.item is not None)
            assert max(sizes) <= MAX_BYTES_IN_ONE_READ

    run_in_process(scenario)


# Guards against an id that is forgotten, and runs again, because many others have come since.
@pytest.mark.parametrize("others", [0, 5_000, 50_000])
def test_an_id_is_not_run_again_however_many_others_have_come(run_in_process, others):
    async def scenario(harness):
        request = await harness.serve_job()
        for number in range(others):
            id = b"other%d" % number
            if harness.engine.recent_ids.has_room(id):
                harness.engine.recent_ids.add(id, 0)
                harness.engine.recent_ids.release(id)
        status, _ = await (await harness.send_job(id=request.id.decode()))
        assert status == 409 and harness.worker.request_ids == [request.id]

    run_in_process(scenario)


# Guards against clients whose jobs never ran, and which leave no room for the ids of others.
def test_jobs_that_never_ran_take_no_room_from_the_ids_of_others(run_in_process, monkeypatch):
    monkeypatch.setattr(recent_ids, "SLOT_COUNT", 64)

    async def scenario(harness):
        for _ in range(200):
            status, _ = await (await harness.send_job("/render/1", deadline="0"))
            assert status == 503
        assert not harness.program.counters.counts["no_room_for_id"]
        await harness.serve_job()

    run_in_process(scenario)


# Guards against a job that is refused although it has never run.
@pytest.mark.parametrize("listed", [0, 1])
def test_an_id_whose_job_never_ran_may_come_again(run_in_process, listed):
    async def scenario(harness):
        for _ in range(2):
            status, _ = await (await harness.send_job("/charge/1", id="again", deadline="0"))
            assert status == 503
        assert not harness.worker.request_ids

    run_in_process(scenario, listed=listed)


# Guards against a hand-off that is sent although what its client has sent since is not examined yet.
def test_nothing_is_handed_off_while_input_of_its_client_is_unexamined(run_in_process, monkeypatch):
    async def scenario(harness):
        await harness.serve_job("/render/1")
        await wait_until(lambda: harness.program.workers.idle_connections)
        reader, writer = await harness.open_client_connection()
        accept_job = harness.engine.accept_job

        def accept_and_pause(job, client, request_began_at):
            client.writer.transport.pause_reading()  # as if the client's task had much else to read
            writer.close()
            return accept_job(job, client, request_began_at)

        monkeypatch.setattr(harness.engine, "accept_job", accept_and_pause)
        writer.write(harness.encode_job("/render/1"))
        await wait_until(lambda: harness.engine.items)
        for _ in range(100):
            await asyncio.sleep(0.001)
        assert len(harness.worker.request_ids) == 1
        (client,) = harness.program.listener.clients
        client.writer.transport.resume_reading()
        await wait_until(lambda: not harness.engine.items)
        assert len(harness.worker.request_ids) == 1

    run_in_process(scenario)


# Guards against work that is held to be overdue as its hand-off takes some turns of a late loop to end.
def test_a_hand_off_that_times_out_in_a_late_loop_is_answered_by_the_module(run_in_process):
    def delay_turns(loop, until):
        time.sleep(LATE_TURN_SECONDS)
        if loop.time() < until:
            loop.call_soon(delay_turns, loop, until)

    async def scenario(harness):
        task = await harness.send_job("/charge/1", deadline="0.3")
        await harness.worker.requests.get()
        loop = harness.engine.loop
        loop.call_later(0.25, delay_turns, loop, loop.time() + 0.6)
        assert (await task)[0] == 500
        assert not harness.program.counters.counts["overdue"]

    run_in_process(scenario)


# Guards against workers that a list names and the account of memory does not have.
def test_the_budget_has_memory_for_the_workers_of_the_last_list(run_in_process):
    hosts = [
        {"host": f"s{number}", "dial": f"127.0.0.1:{number + 1}", "health": "terminating"}
        for number in range(LISTED_WORKERS)
    ]

    async def scenario(harness):
        request = await harness.discovery.requests.get()
        before = harness.program.listener.budget.clients
        request.send(encode_listing_response(2, hosts))
        expected = ResourceBudget(1024, 48, LISTED_WORKERS + 1)
        await wait_until(lambda: harness.program.listener.budget.clients != before)
        assert harness.program.listener.budget.clients == expected.clients < before
        assert harness.program.workers.max_connections == expected.workers

    run_in_process(scenario, more={"limits": {"cores": 1.0, "memory_mb": 48, "sockets": 1024}})


# Guards against the body of a large job that is kept, for as long as its worker hangs, once its client left.
def test_the_body_of_a_job_is_dropped_when_its_client_leaves(run_in_process):
    async def scenario(harness):
        reader, writer = await harness.open_client_connection()
        writer.write(harness.encode_job("/render/1", body=b"x" * 60_000))
        await harness.worker.requests.get()
        (item,) = harness.engine.items.values()
        assert len(item.job.body) == 60_000
        writer.close()
        await wait_until(lambda: item.ended)
        assert item.in_flight and not item.job.body

    run_in_process(scenario, **{"limits.may_cancel": False})
