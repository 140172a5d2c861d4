"""Tests of requests that arrive while a process stops: each is answered, or its connection closes before the
request is read."""

import asyncio

import pytest
from conftest import encode_job
from in_process import EXAMPLE_CONFIG, encode_done_response, wait_until

from heronwinch import program as program_module

EARLIEST_KILL_SECONDS = 0.7  # after the longest expiry of the deployment
LONG_SECONDS = 60.0  # longer than anything that a stop waits for


class SkippingClockLoop:
    """The event loop with a clock that the test moves forward. Only the stop itself reads this clock, so the
    test decides how far the stop gets."""

    def __init__(self, loop):
        self.loop = loop
        self.skipped_seconds = 0.0

    def time(self):
        return self.loop.time() + self.skipped_seconds

    def skip(self):
        """Ends what the stop waits for now."""
        self.skipped_seconds += LONG_SECONDS

    def __getattr__(self, name):
        return getattr(self.loop, name)


class UnacceptingSuccessor:
    """Stands for the hand-over to a process that is there and can take over none of the clients."""

    def __init__(self):
        self.sock = object()
        self.accepted_count = 0

    async def connect_to_successor(self):
        return True

    async def hand_over_clients(self):
        await asyncio.sleep(0)

    def count_unsettled(self):
        return 0

    def close(self):
        self.sock = None

    async def finish(self):
        self.close()


def add_successor(program):
    program._has_other_process = lambda: True
    program.handover_receiver, program.handover_sender = UnacceptingSuccessor(), UnacceptingSuccessor()


async def stop_until_listener_closed(program):
    """Tells the program to stop and returns, when it has closed its listener, the clock of the rest."""
    closed, close = asyncio.Event(), program.listener.close
    program.listener.close = lambda: (close(), closed.set())
    clock = program.loop = SkippingClockLoop(program.loop)
    program.stop_event.set()
    await wait_until(lambda: program.engine.stop_at is not None)
    clock.skip()
    await closed.wait()
    return clock


async def open_kept_connection(harness):
    """Returns the reader and writer of a connection on which one job was answered, so that it is kept."""
    reader, writer = await harness.open_client_connection()
    writer.write(harness.encode_job())
    request = await harness.worker.requests.get()
    request.send(encode_done_response(request))
    assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
    return reader, writer


async def read_to_end(reader):
    """Returns what a connection has brought when it ends, and whether it was reset."""
    data = b""
    try:
        while chunk := await reader.read(4096):
            data += chunk
    except ConnectionResetError:
        return data, True
    return data, False


async def end_as_asyncio_run(program):
    """Cancels what is left of a program that has returned, as asyncio.run does in a process."""
    tasks = list(program.listener.clients.values())
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


async def open_new_connection(harness):
    """Returns the reader and writer of a connection that the program has accepted and nothing was sent on."""
    streams = await harness.open_client_connection()
    await wait_until(lambda: harness.program.listener.new_clients)
    return streams


@pytest.mark.parametrize("has_successor", [True, False])
@pytest.mark.parametrize("open_connection", [open_kept_connection, open_new_connection])
def test_a_request_read_as_the_stop_ends_is_answered(
    run_in_process, monkeypatch, open_connection, has_successor
):
    # Guards against a process that ends with requests that it has read: their connections closed unanswered.
    monkeypatch.setattr(program_module, "LAST_ANSWERS_SECONDS", LONG_SECONDS, raising=False)

    async def scenario(harness):
        program, engine = harness.program, harness.engine
        reader, writer = await open_connection(harness)
        if has_successor:
            add_successor(program)
        run_module, engine._run_module = engine._run_module, lambda: None  # its turn comes late
        writer.write(harness.encode_job())
        request_read = asyncio.create_task(wait_until(engine.count_unanswered))
        clock = await stop_until_listener_closed(program)
        await request_read
        clock.skip()
        done, _ = await asyncio.wait([harness.program_task], timeout=5 * program_module.STOP_POLL_SECONDS)
        assert not done, "the process ended with a request that it had read and not answered"
        engine._run_module = run_module
        run_module()
        request = await harness.worker.requests.get()
        request.send(encode_done_response(request))
        await harness.program_task
        await end_as_asyncio_run(program)
        data, _ = await read_to_end(reader)
        assert data.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in data

    run_in_process(scenario)


@pytest.mark.parametrize("open_connection", [open_kept_connection, open_new_connection])
def test_a_request_that_comes_after_a_replaced_process_has_stopped_is_not_read(
    run_in_process, open_connection
):
    # Guards against reading on, on connections that stay open, when no answer can follow any more.
    async def scenario(harness):
        program = harness.program
        reader, writer = await open_connection(harness)
        add_successor(program)
        close_operators = program.operators.close

        def write_request_late():
            # The last step of a stop in which the loop cannot run: the request is in the kernel after it.
            writer.write(harness.encode_job())
            close_operators()

        program.operators.close = write_request_late
        clock = await stop_until_listener_closed(program)
        clock.skip()
        await harness.program_task
        for _ in range(3):
            await asyncio.sleep(0)  # what is still read is read now
        await end_as_asyncio_run(program)
        assert await read_to_end(reader) == (b"", True)

    run_in_process(scenario)


@pytest.mark.parametrize("expiry_seconds", [0.1, 0.2, 0.3, 0.5, 2.0])
def test_a_stop_ends_before_the_earliest_kill(run_simulated, expiry_seconds):
    # A request that is read as SIGKILL comes is lost. That may be 0.7 s after the longest expiry.
    async def scenario(harness):
        streams = [await asyncio.open_connection(*harness.address) for _ in range(8)]
        told_at = harness.kernel.now
        harness.process.terminate()
        tasks = [
            asyncio.create_task(submit_until_closed(number, *connection))
            for number, connection in enumerate(streams[::2])  # the other clients send nothing
        ]
        while harness.process.returncode is None:
            await asyncio.sleep(0.001)
        assert (harness.kernel.now - told_at) / 1e9 < expiry_seconds + EARLIEST_KILL_SECONDS
        await asyncio.gather(*tasks)

    short_categories = [
        {**category, "due_time_ns": 10**7, "expiry_ns": int(expiry_seconds * 1e9)}
        for category in EXAMPLE_CONFIG["settings"]["categories"]
    ]
    run_simulated(scenario, categories=short_categories)


async def submit_until_closed(number, reader, writer):
    """Sends requests on one connection, each as soon as the one before is answered, until it is closed."""
    count = 0
    try:
        while True:
            count += 1
            writer.write(encode_job("/charge/1", id=f"c{number}-{count}", deadline="0.05"))
            head = await reader.readuntil(b"\r\n\r\n")
            if b" 200 " in head:
                await reader.readuntil(b"HI")
    except (asyncio.IncompleteReadError, ConnectionError):
        writer.close()
