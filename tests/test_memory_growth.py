"""What a process keeps of requests that have ended: nothing, however many there were."""

import asyncio
import gc
import tracemalloc
from collections import Counter, deque

import pressure
import pytest
from conftest import MS, TWO_WORKERS, split_answer
from in_process import encode_done_response, reset_connection, wait_until
from limited_program import LimitedProgram
from test_policy import OPEN_AFTER_MS

from heronwinch import interface

DAY_SECONDS = 86_400
REQUESTS = 300
WARM_UP_REQUESTS = 30  # after these, tables and caches have their size
MAX_KEPT_BYTES = 64 * 1024  # room for a hundred cancelled timers, which asyncio drops from time to time
PRESSURE_SECONDS = 5.0
MAX_GROWTH_BYTES = 1024 * 1024


# Guards against memory that grows without end: a timer kept its work item up to the client's deadline.
@pytest.mark.parametrize("ending", ["left while it waits", "left while it is out", "served"])
def test_a_work_item_that_has_ended_leaves_no_timer(make_driver, ending):
    workers = () if ending == "left while it waits" else TWO_WORKERS
    driver = make_driver(workers=workers, category={"expiry": DAY_SECONDS * 1000 * MS})
    driver.handle_events(after=OPEN_AFTER_MS)
    for number in range(1, 21):
        driver.arrive(number, after=OPEN_AFTER_MS)  # the slots of the one before have opened by then
        if ending != "served":
            driver.handle_events(interface.Left(number))
        for ho_number, worker in enumerate(driver.list_tried_workers(number)):
            outcome = interface.Outcome.OK if ending == "served" else interface.Outcome.CANCELLED
            driver.answer(number, ho_number, worker, outcome, after=1)
    assert not driver.dispatcher.work_items and not driver.dispatcher.timers


async def send(harness, data):
    """Sends bytes on a new connection; returns its reader and writer."""
    reader, writer = await harness.open_client_connection()
    writer.write(data)
    return reader, writer


async def exchange(harness, data):
    """Sends a request and returns the status of the answer that ends the connection."""
    reader, writer = await send(harness, data)
    try:
        return split_answer(await reader.read())[0]
    finally:
        writer.close()


async def leave_a_job(harness, is_out):
    """Hands in a job that has a day's time, and leaves once it is held or, if `is_out`, with a worker."""
    _, writer = await send(harness, harness.encode_job("/render/1", deadline=DAY_SECONDS))
    if is_out:
        await harness.worker.requests.get()
    await wait_until(lambda: harness.engine.items)
    writer.transport.abort()
    await wait_until(lambda: not harness.engine.items)


async def leave_a_waiting_job(harness):
    await leave_a_job(harness, is_out=False)


async def leave_a_job_that_is_out(harness):
    await leave_a_job(harness, is_out=True)
    await harness.worker.ended.get()


async def send_an_expired_job(harness):
    assert await exchange(harness, harness.encode_job("/render/1", deadline=0, close=True)) == 503


async def send_an_unsound_request(harness):
    assert await exchange(harness, b"BAD\r\n\r\n") == 400


async def ask_for_an_unknown_category(harness):
    path = f"/none{harness.job_count}/1"
    assert await exchange(harness, harness.encode_job(path, close=True)) == 404


async def leave_half_a_body(harness):
    reader, writer = await send(harness, harness.encode_job("/render/1", body=b"x" * 60_000)[:-10])
    clients = harness.program.listener.clients
    await wait_until(lambda: any(len(client.protocol.body) > 50_000 for client in clients))
    writer.transport.abort()
    await wait_until(lambda: not clients)


async def leave_a_long_job_that_is_out(harness):
    _, writer = await send(harness, harness.encode_job("/render/1", body=b"x" * 60_000))
    await harness.worker.requests.get()
    writer.transport.abort()
    await harness.worker.ended.get()


async def lose_the_worker(harness):
    task = await harness.send_job("/charge/1")
    reset_connection((await harness.worker.requests.get()).writer)
    assert (await task)[0] == 500


async def have_a_worker_answer_unsoundly(harness):
    task = await harness.send_job("/charge/1")
    (await harness.worker.requests.get()).send(b"unsound\r\n\r\n")
    assert (await task)[0] == 500


async def ask_whether_it_is_ready(harness):
    assert await exchange(harness, b"GET /-/ready HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n") == 200


async def send_a_request_too_slowly(harness):
    assert await exchange(harness, b"POST /render/1 HTTP/1.1\r\n") == 408


async def have_a_job_served(harness):
    task = await harness.send_job("/render/1", deadline=DAY_SECONDS)
    request = await harness.worker.requests.get()
    request.send(encode_done_response(request))
    assert (await task)[0] == 200


async def measure_kept_bytes(harness, play):
    """Returns by how much the memory in use has grown after many plays."""
    for _ in range(WARM_UP_REQUESTS):
        await play(harness)
    gc.collect()
    tracemalloc.start()
    try:
        before, _ = tracemalloc.get_traced_memory()
        for _ in range(REQUESTS):
            await play(harness)
        gc.collect()
        return tracemalloc.get_traced_memory()[0] - before
    finally:
        tracemalloc.stop()


# Guards against memory that grows without end as requests of ever new names come and go.
@pytest.mark.parametrize(
    "play, listed",
    [
        (leave_a_waiting_job, 0),
        (leave_a_job_that_is_out, 1),
        (send_an_expired_job, 1),
        (send_an_unsound_request, 1),
        (ask_for_an_unknown_category, 1),
        (have_a_job_served, 1),
    ],
)
def test_nothing_is_kept_of_requests_that_have_ended(run_in_process, play, listed):
    async def scenario(harness):
        harness.worker.request_ids = deque(maxlen=1)  # the test's own memory must not grow either
        assert await measure_kept_bytes(harness, play) <= MAX_KEPT_BYTES

    run_in_process(scenario, listed=listed)


PROGRAM_MODULES = ("heronwinch", "h11")
COLLECTED_REQUESTS = 2


async def list_collected_objects(harness, play):
    """Returns the types of the program's objects of some requests that only the garbage collector frees."""
    for _ in range(COLLECTED_REQUESTS):
        await play(harness)
        await wait_until(lambda: not harness.program.listener.clients and not harness.engine.items)
    gc.set_debug(gc.DEBUG_SAVEALL)
    gc.collect()
    types = Counter(type(item).__name__ for item in gc.garbage if is_of_the_program(item))
    return {name: count for name, count in types.items() if count >= COLLECTED_REQUESTS}


def is_of_the_program(item):
    return type(item).__module__.split(".")[0] in PROGRAM_MODULES


@pytest.fixture
def collector():
    """Stops the garbage collector for a test, and then undoes what the test has set."""
    gc.collect()
    gc.disable()
    yield
    gc.set_debug(0)
    gc.garbage.clear()
    gc.enable()


# Guards against memory that is kept until the garbage collector runs, which counts objects and not bytes.
@pytest.mark.parametrize(
    "play",
    [
        leave_a_job_that_is_out,
        leave_a_long_job_that_is_out,
        leave_half_a_body,
        lose_the_worker,
        have_a_worker_answer_unsoundly,
        send_an_expired_job,
        send_an_unsound_request,
        send_a_request_too_slowly,
        ask_for_an_unknown_category,
        ask_whether_it_is_ready,
        have_a_job_served,
    ],
)
def test_no_object_of_a_request_that_has_ended_waits_for_the_garbage_collector(
    run_in_process, collector, play
):
    async def scenario(harness):
        await play(harness)
        gc.collect()
        assert await list_collected_objects(harness, play) == {}

    run_in_process(scenario)


# Guards against a process that passes its memory limit as clients hand in jobs that wait, and leave.
def test_memory_does_not_grow_by_jobs_that_were_left(tmp_path):
    async def main():
        async with LimitedProgram(tmp_path, memory_mb=32, workers=0) as program:
            await pressure.play("long_jobs_left", program.address, 1.0)
            before = pressure.read_memory_bytes(program.process.pid)
            sent = await pressure.play("long_jobs_left", program.address, PRESSURE_SECONDS)
            growth = pressure.read_memory_bytes(program.process.pid) - before
            print(f"{growth} bytes more after {sent}")
            assert sent["requests"] > 1000
            return growth

    assert asyncio.run(main()) <= MAX_GROWTH_BYTES
