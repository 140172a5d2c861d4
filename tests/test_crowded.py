"""Clients beside a crowd, and starts while discovery is down: idle clients don't keep a dispatcher from
calling discovery, no start waits for it, and in a burst no request is reset without an answer."""

import asyncio
import socket

import pytest
from conftest import encode_job, split_answer
from in_process import EXAMPLE_CONFIG

from heronwinch.interface import SECOND


@pytest.mark.parametrize("sockets", [40, 64, 128])
def test_idle_clients_that_fill_the_descriptors_leave_some_for_discovery_and_workers(run_simulated, sockets):
    async def scene(s):
        s.discovery.is_failing = True
        s.discovery.abort_watches()
        writers = []
        for number in range(2 * sockets):  # half of them hand in a job, half send nothing
            reader, writer = await asyncio.open_connection(*s.address)
            writers.append(writer)
            if number % 2:
                writer.write(encode_job(id=f"i{number}"))
                await reader.readline()
        await asyncio.sleep(1)
        open_before = s.process.process.open_descriptors
        s.discovery.is_failing = False
        calls_before = len(s.discovery.calls)
        await asyncio.sleep(6)
        assert len(s.discovery.calls) > calls_before and "discovery_back" in "".join(s.logged)
        assert (await s.send_job())[0] == 200
        assert max(open_before, s.process.process.open_descriptors) <= sockets
        for writer in writers:
            writer.close()

    run_simulated(scene, sockets=sockets)


def hang_discovery(s):
    s.discovery.handle_request = lambda exchange: None


def refuse_calls(s):
    s.discovery.is_failing = True


def stop_discovery(s):
    s.discovery.abort_all()


@pytest.mark.parametrize("mode", ["pushed", "on_request"])
@pytest.mark.parametrize("disrupt", [hang_discovery, refuse_calls, stop_discovery])
def test_start_is_over_within_two_seconds_whatever_happens_to_discovery(run_simulated, disrupt, mode):
    async def scene(s):
        s.process.kill()
        disrupt(s)
        begun_at = s.kernel.now
        await s.start()
        assert s.kernel.now - begun_at < 2 * SECOND
        assert (await s.send_job())[0] == 200

    run_simulated(scene, discovery=mode)


def write_at_once(address, data):
    """Returns a blocking socket on which a whole request stands before the program accepts the connection."""
    sock = socket.create_connection(address, timeout=5)
    sock.sendall(data)
    return sock


def read_status(sock):
    """Returns the status of the answer on a connection, or the name of the error that ended it."""
    try:
        data = sock.recv(65536)
        return split_answer(data)[0] if data else "closed"
    except OSError as error:
        return type(error).__name__
    finally:
        sock.close()


# Guards against review case 6: in a burst each new connection evicted the one before it, whose request stood
# in the kernel, and most of the others were reset.
@pytest.mark.parametrize("body_bytes, held_jobs", [(5, 0), (5, 20), (5, 200), (6000, 20)])
def test_each_request_of_a_burst_gets_an_answer_where_there_is_no_room(run_in_process, body_bytes, held_jobs):
    limits = {**EXAMPLE_CONFIG["limits"], "sockets": 96}

    async def scene(harness):
        loop = asyncio.get_running_loop()
        held = [
            write_at_once(harness.address, harness.encode_job(close=True, deadline="1.5"))
            for _ in range(held_jobs)
        ]
        await asyncio.sleep(0.2)
        burst = [
            write_at_once(
                harness.address, harness.encode_job(close=True, deadline="1.5", body=b"x" * body_bytes)
            )
            for _ in range(100)
        ]
        statuses = await asyncio.gather(*(loop.run_in_executor(None, read_status, sock) for sock in burst))
        assert set(statuses) <= {200, 500, 503}
        for sock in held:
            sock.close()

    run_in_process(scene, more={"limits": limits}.items())
