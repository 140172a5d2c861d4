"""Tests of the permits for large buffers, and of long requests and answers that wait for one."""

import asyncio

import pytest
from conftest import encode_job, split_answer
from in_process import encode_done_response, wait_until

from heronwinch.net import client as client_module
from heronwinch.net.large_buffers import LargeBuffers
from heronwinch.protocol.http_client import MAX_BODY_BYTES

LONG_BODY = b"x" * 20_000


def test_permits_are_given_in_order_and_never_more_than_there_are():
    async def main():
        buffers, order, most_used = LargeBuffers(2), [], 0

        async def use(name):
            nonlocal most_used
            await buffers.acquire()
            order.append(name)
            most_used = max(most_used, buffers.used)
            await asyncio.sleep(0)
            buffers.release()

        await asyncio.gather(*(use(name) for name in range(20)))
        assert order == [*range(20)] and most_used == 2 and not buffers.used

    asyncio.run(main())


@pytest.mark.parametrize("released", ["before", "after", "never"])
def test_a_cancelled_wait_keeps_no_permit(released):
    async def main():
        buffers = LargeBuffers(1)
        await buffers.acquire()
        waiting = asyncio.create_task(buffers.acquire())
        await asyncio.sleep(0)
        if released == "before":
            buffers.release()
        waiting.cancel()
        if released == "after":
            buffers.release()
        await asyncio.wait([waiting])
        assert waiting.cancelled() and buffers.used == (released == "never") and not buffers.waiting

    asyncio.run(main())


def test_a_lower_limit_holds_once_permits_are_released():
    buffers = LargeBuffers(2)
    assert buffers.try_acquire() and buffers.try_acquire() and not buffers.try_acquire()
    buffers.set_limit(1)
    buffers.release()
    assert not buffers.try_acquire()
    buffers.release()
    assert buffers.try_acquire()


# Guards against long requests that are held beyond what the memory has room for.
def test_a_long_request_waits_for_memory_while_short_ones_are_accepted(run_in_process, monkeypatch):
    monkeypatch.setattr(client_module, "MAX_MEMORY_WAIT_SECONDS", 60.0)  # longer than this test may take

    async def scenario(harness):
        listener = harness.program.listener
        listener.large_requests.set_limit(1)
        listener.large_requests.acquire_over_limit()
        long = await harness.send_job("/render/1", body=LONG_BODY)
        await wait_until(lambda: listener.waiting_clients)
        await harness.serve_job("/render/1")
        (client,) = listener.waiting_clients
        assert client.reader.unread + client.protocol.received_bytes < len(LONG_BODY)
        listener.large_requests.release()
        request = await harness.worker.requests.get()
        request.send(encode_done_response(request))
        assert (await long)[0] == 200
        await wait_until(lambda: not listener.large_requests.used)

    run_in_process(scenario)


def test_a_long_request_without_memory_is_refused_in_time(run_in_process):
    async def scenario(harness):
        harness.program.listener.large_requests.set_limit(0)
        status, _ = await (await harness.send_job("/render/1", body=LONG_BODY))
        assert status == 503 and not harness.worker.request_ids
        assert harness.program.counters.counts["no_memory_for_request"] == 1

    run_in_process(scenario)


# Guards against a long request on a kept connection that waits for memory past its deadline.
def test_a_long_request_on_a_kept_connection_is_refused_in_time(run_in_process):
    async def scenario(harness):
        reader, writer = await harness.open_client_connection()
        writer.write(harness.encode_job("/render/1"))
        request = await harness.worker.requests.get()
        request.send(encode_done_response(request))
        await reader.readuntil(b"ok")
        harness.program.listener.large_requests.set_limit(0)
        deadline_seconds, latest_seconds = 0.3, 0.3 + 0.5
        async with asyncio.timeout(latest_seconds):
            writer.write(harness.encode_job("/render/1", body=LONG_BODY, deadline=str(deadline_seconds)))
            assert (await reader.readline()).split()[1] == b"503"
        writer.close()

    run_in_process(scenario)


def test_a_client_that_waits_for_memory_makes_room_and_gets_its_answer(run_in_process, monkeypatch):
    monkeypatch.setattr(client_module, "MAX_MEMORY_WAIT_SECONDS", 60.0)  # longer than this test may take

    async def scenario(harness):
        listener = harness.program.listener
        listener.large_requests.set_limit(0)
        refused = await harness.send_job("/render/1", body=LONG_BODY)
        await wait_until(lambda: listener.waiting_clients)
        listener.budget.clients = 1
        reader, writer = await harness.open_client_connection()
        assert (await refused)[0] == 503
        writer.write(encode_job("/render/1", id="next"))
        request = await harness.worker.requests.get()
        assert request.id == b"next"
        writer.close()

    run_in_process(scenario)


# Guards against a long request that was read in part, waits for memory, and is not answered at a stop.
@pytest.mark.parametrize("comes", ["before", "after"])
def test_a_long_request_that_waits_at_the_end_of_a_stop_is_refused(run_in_process, monkeypatch, comes):
    async def scenario(harness):
        listener = harness.program.listener
        monkeypatch.setattr(client_module, "MAX_MEMORY_WAIT_SECONDS", 60.0)  # longer than this test may take
        listener.large_requests.set_limit(0)
        reader, writer = await harness.open_client_connection()
        await wait_until(lambda: listener.clients)
        if comes == "after":
            listener.close()
        writer.write(harness.encode_job("/render/1", body=LONG_BODY))
        if comes == "before":
            await wait_until(lambda: listener.waiting_clients)
            listener.close()
        assert split_answer(await reader.read())[0] == 503
        writer.close()

    run_in_process(scenario)


# Guards against workers' long lines that are held beyond what the memory has room for.
def test_a_long_answer_waits_for_memory(run_in_process):
    async def scenario(harness):
        answers = harness.program.workers.large_answers
        answers.set_limit(1)
        answers.acquire_over_limit()
        task = await harness.send_job("/render/1")
        request = await harness.worker.requests.get()
        request.send(encode_done_response(request, "r" * 60_000))
        await wait_until(lambda: answers.waiting)
        (hand_off,) = harness.program.workers.hand_offs.values()
        assert hand_off.connection.protocol.held_bytes <= 2 * 8 * 1024
        answers.release()
        assert await task == (200, b"r" * 60_000)
        await wait_until(lambda: not answers.used)

    run_in_process(scenario)


def test_a_result_of_the_longest_body_is_served_with_the_least_memory(run_in_process):
    async def scenario(harness):
        harness.program.workers.large_answers.set_limit(1)
        harness.program.listener.large_requests.set_limit(1)
        result = "r" * MAX_BODY_BYTES
        for _ in range(3):
            task = await harness.send_job("/render/1", body=b"x" * MAX_BODY_BYTES)
            request = await harness.worker.requests.get()
            request.send(encode_done_response(request, result))
            assert await task == (200, result.encode())

    run_in_process(scenario)
