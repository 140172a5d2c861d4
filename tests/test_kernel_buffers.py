"""What the kernel holds of a connection, which counts as memory of the process on some platforms."""

import asyncio
import json
import socket

import pytest
from in_process import CHUNKED_HEAD, encode_chunk, encode_done_response, wait_until

from heronwinch.net.machine import Machine

# Of each direction of a connection. The kernel doubles what a program asks for.
MAX_KERNEL_BUFFER_BYTES = 2 * 64 * 1024
UNREAD_REQUESTS = 400
RESULT_BYTES = 60_000
PROGRESS_NOTES = 100
MAX_UNREAD_RESULTS = 20  # of that size: what the kernel and the process hold, and the client's own buffer


def read_buffer_sizes(sock):
    return [sock.getsockopt(socket.SOL_SOCKET, option) for option in (socket.SO_RCVBUF, socket.SO_SNDBUF)]


# Guards against clients that take megabytes each of the kernel's memory, as they do not read.
@pytest.mark.parametrize("is_inherited", [False, True])
def test_the_kernel_holds_a_bounded_amount_of_a_clients_connection(is_inherited):
    machine = Machine()
    if is_inherited:
        platform_socket = socket.create_server(("127.0.0.1", 0))
        listener = machine.adopt_listening_socket(platform_socket.detach())
    else:
        listener = machine.create_listening_socket("127.0.0.1", 0)
        listener.listen()
    with listener, socket.create_connection(listener.getsockname()):
        accepted, _ = socket.socket.accept(listener)
        with accepted:
            assert max(read_buffer_sizes(accepted)) <= MAX_KERNEL_BUFFER_BYTES


# Guards against workers that send more than is read.
def test_the_kernel_holds_a_bounded_amount_of_a_workers_answer(run_in_process):
    async def scenario(harness):
        task = await harness.send_job("/render/1")
        request = await harness.worker.requests.get()
        (hand_off,) = harness.program.workers.hand_offs.values()
        sock = hand_off.connection.writer.get_extra_info("socket")
        note = {"id": request.id.decode(), "state": "running", "share": 0.5, "padding": "x" * RESULT_BYTES}
        request.send(CHUNKED_HEAD)
        for _ in range(PROGRESS_NOTES):
            request.send(encode_chunk(json.dumps(note).encode() + b"\n"))
            await request.writer.drain()
            assert sock.getsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF) <= MAX_KERNEL_BUFFER_BYTES
        request.send(encode_done_response(request).removeprefix(CHUNKED_HEAD))
        assert (await task)[0] == 200

    run_in_process(scenario)


# Guards against a client that hands in job after job and reads no result.
def test_a_client_that_reads_no_results_is_served_a_bounded_number(run_in_process):
    async def scenario(harness):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.setblocking(False)
        loop = asyncio.get_running_loop()
        await loop.sock_connect(sock, harness.address)
        results = 0
        with sock:
            await wait_until(lambda: harness.program.listener.clients)
            while results < UNREAD_REQUESTS:
                try:
                    await loop.sock_sendall(sock, harness.encode_job("/render/1"))
                except OSError:
                    break  # it was cut off
                await wait_until(lambda: harness.engine.items or not harness.program.listener.clients)
                if not harness.engine.items:
                    break
                request = await harness.worker.requests.get()
                request.send(encode_done_response(request, "r" * RESULT_BYTES))
                await wait_until(lambda: not harness.engine.items)
                results += 1
        assert 0 < results <= MAX_UNREAD_RESULTS

    run_in_process(scenario)
