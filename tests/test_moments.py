"""Tests of rare race conditions, on real connections over loopback.

The test itself plays the worker, discovery and the clients, so the bad order of events comes every time, and
it waits for conditions only, not for fixed times."""

import asyncio
import contextlib
import itertools
import json
import pathlib
import re
import socket
import subprocess
import sys
from random import Random

import pytest
from conftest import MS, ROOT, make_entry
from in_process import (
    CHUNKED_HEAD,
    DECLINED_RESPONSE,
    EXAMPLE_CONFIG,
    encode_chunk,
    encode_done_response,
    encode_listing_response,
    reset_connection,
    wait_until,
)

from heronwinch import interface
from heronwinch import program as program_module
from heronwinch.interface import Outcome
from heronwinch.net import discovery, sockets
from heronwinch.net.client import Client
from heronwinch.net.counters import FaultCounters
from heronwinch.net.machine import Machine
from heronwinch.plan import ConfigError, read_config

# ---- idle connections with unread data


@pytest.mark.parametrize(
    "late_data", [DECLINED_RESPONSE, b"HTTP/1.1 500 no\r\nContent-Length: 0\r\n\r\n", b"nonsense"]
)
def test_a_second_answer_on_an_idle_connection_is_not_taken_for_the_next_work_item(run_in_process, late_data):
    async def scenario(harness):
        first = await harness.serve_job("/render/1")
        await wait_until(lambda: harness.program.workers.idle_connections)
        (idle_connection,) = harness.program.workers.idle_connections
        first.send(late_data)
        await wait_until(
            lambda: idle_connection.reader.unread
            or idle_connection not in harness.program.workers.idle_connections
        )
        answer_task = await harness.send_job("/render/1")
        second = await harness.worker.requests.get()
        assert second.writer is not first.writer
        second.send(encode_done_response(second, "second"))
        assert await answer_task == (200, b"second")
        assert harness.worker.request_ids == [b"job1", b"job2"]

    run_in_process(scenario)


@pytest.mark.parametrize(
    "path, uses_new_connection", [("/charge/1", True), ("/book/1", True), ("/render/1", False)]
)
def test_work_that_must_not_run_twice_uses_no_recently_used_connection(
    run_in_process, path, uses_new_connection
):
    # A second `declined` response names no work item. If it came after the next hand-off was written, that
    # work item was handed off again although it ran.
    async def scenario(harness):
        first = await harness.serve_job("/render/1")
        await wait_until(lambda: harness.program.workers.idle_connections)
        answer_task = await harness.send_job(path, Idempotency_Key="k")
        second = await harness.worker.requests.get()
        assert (second.writer is not first.writer) == uses_new_connection
        if uses_new_connection:
            first.send(DECLINED_RESPONSE)
        second.send(encode_done_response(second, "second"))
        assert await answer_task == (200, b"second")
        assert harness.worker.request_ids == [b"job1", b"job2"]

    # Long enough that a stall of the machine doesn't make the connection count as long idle.
    run_in_process(scenario, **{"limits.dial_timeout_ns": 5 * 10**9, "limits.conn_idle_ns": 60 * 10**9})


def test_a_connection_idle_for_long_enough_carries_all_work(run_in_process):
    async def scenario(harness):
        first = await harness.serve_job("/render/1")
        await wait_until(lambda: harness.program.workers.idle_connections)
        (idle_connection,) = harness.program.workers.idle_connections
        idle_connection.idle_since -= harness.program.config.terms.connect_timeout
        answer_task = await harness.send_job("/charge/1")
        second = await harness.worker.requests.get()
        assert second.writer is first.writer
        second.send(encode_done_response(second))
        assert (await answer_task)[0] == 200

    run_in_process(scenario)


def test_an_unrequested_list_is_not_taken_for_the_next_response(run_in_process):
    async def scenario(harness):
        async def use_connection(connection):
            answer_task = asyncio.create_task(
                connection.call(lambda protocol: protocol.encode_watch_request(1, 10), 10)
            )
            first = await harness.discovery.requests.get()
            first.send(encode_listing_response(2, [harness.host]))
            assert (await answer_task).version == 2
            first.send(encode_listing_response(1, []))
            await wait_until(lambda: connection.streams[0].unread)
            answer_task = asyncio.create_task(
                connection.call(lambda protocol: protocol.encode_watch_request(2, 10), 10)
            )
            second = await harness.discovery.requests.get()
            assert second.writer is not first.writer
            second.send(encode_listing_response(3, [harness.host]))
            assert (await answer_task).version == 3

        own_watch = await harness.discovery.requests.get()  # the program's own watch
        assert b"index=1" in own_watch.head
        connection = discovery.DiscoveryConnection(
            harness.discovery.server.sockets[0].getsockname(), Machine()
        )
        await use_connection(connection)
        connection.close()

    run_in_process(scenario)


@pytest.mark.parametrize(
    "head", [b"HTTP/1.1 503 no\r\nSrv-Declined: 1\r\nTransfer-Encoding: chunked\r\n\r\n", CHUNKED_HEAD]
)
def test_an_answer_that_never_ends_keeps_no_connection_open(run_in_process, head):
    async def scenario(harness):
        answer_task = await harness.send_job("/render/1")
        request = await harness.worker.requests.get()
        request.send(head)
        if head is CHUNKED_HEAD:
            request.send(
                encode_done_response(request).removeprefix(CHUNKED_HEAD).removesuffix(encode_chunk(b""))
            )
        ended = asyncio.create_task(harness.worker.ended.get())
        while not ended.done():  # until the program closes the connection
            with contextlib.suppress(ConnectionError):
                request.send(encode_chunk(b" " * 4096))
                await request.writer.drain()
            await asyncio.sleep(0)
        assert await ended is request.writer
        await wait_until(lambda: not harness.program.workers.hand_offs)
        if head is not CHUNKED_HEAD:
            request = await harness.worker.requests.get()
            request.send(encode_done_response(request))
        assert (await answer_task)[0] == 200
        assert harness.program.workers.open_count == len(harness.program.workers.idle_connections)

    run_in_process(scenario)


def test_an_answer_directly_followed_by_a_reset_is_read():
    async def main():
        reader = sockets.CountingReader(asyncio.get_running_loop())
        reader.feed_data(b"answer")
        reader.set_exception(ConnectionResetError())
        assert await sockets.read_within(reader, 1) == b"answer" and not reader.unread
        assert await sockets.read_within(reader, 1) == b""

    asyncio.run(main())


def test_data_that_arrives_in_the_loop_turn_of_a_timeout_is_read():
    class LateReader(sockets.CountingReader):
        """A reader whose reads time out just before the data is available."""

        read_count = 0

        async def read(self, n):
            self.read_count += 1
            if self.read_count == 2:
                self.feed_data(b"late")
            if self.read_count <= 2:
                raise TimeoutError
            return await super().read(n)

    async def main():
        reader = LateReader(asyncio.get_running_loop())
        assert await sockets.read_within(reader, 1) == b"late"
        with pytest.raises(TimeoutError):
            await sockets.read_within(reader, 0)

    asyncio.run(main())


# ---- clients that leave


async def leave_by_closing(reader, writer):
    writer.close()


async def leave_by_half_close(reader, writer):
    writer.write_eof()
    assert await reader.read() == b""


async def leave_by_reset(reader, writer):
    reset_connection(writer)


async def leave_by_pipelining(reader, writer):
    writer.write(b"POST /render HTTP/1.1\r\n" * 8000)
    writer.close()


WAYS_TO_LEAVE = [leave_by_closing, leave_by_half_close, leave_by_reset, leave_by_pipelining]


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_work_of_a_client_that_leaves_while_queued_is_not_handed_off(run_in_process, leave):
    async def scenario(harness):
        watch_request = await harness.discovery.requests.get()
        reader, writer = await harness.open_client_connection()
        writer.write(harness.encode_job())
        await wait_until(lambda: harness.engine.module.queue)
        await leave(reader, writer)
        await wait_until(lambda: not harness.engine.items)
        assert not harness.engine.module.queue and not harness.engine.module.work_items
        watch_request.send(encode_listing_response(2, [harness.host], True))
        await harness.serve_job()
        assert harness.worker.request_ids == [b"job2"]
        await wait_until(lambda: not harness.program.listener.clients)

    run_in_process(scenario, listed=0)


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_work_of_a_client_that_leaves_between_hand_offs_is_not_handed_off_again(run_in_process, leave):
    async def scenario(harness):
        reader, writer = await harness.open_client_connection()
        writer.write(harness.encode_job())
        request = await harness.worker.requests.get()
        harness.engine.module.T = interface.SECOND  # the next hand-off waits for this long
        request.send(DECLINED_RESPONSE)
        await wait_until(lambda: harness.engine.module.queue)
        await leave(reader, writer)
        await wait_until(lambda: not harness.engine.items)
        harness.engine.module.workers[1].closed_until = 0
        await harness.serve_job()
        assert harness.worker.request_ids == [b"job1", b"job2"]

    run_in_process(scenario)


@pytest.mark.parametrize("may_cancel", [True, False])
@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
def test_work_of_a_client_that_leaves_during_a_connect_is_not_handed_off(
    run_in_process, monkeypatch, leave, may_cancel
):
    async def scenario(harness):
        may_connect = asyncio.Event()
        connect = sockets.connect

        async def connect_late(*address):
            streams = await connect(*address)
            await may_connect.wait()
            return streams

        monkeypatch.setattr(sockets, "connect", connect_late)
        reader, writer = await harness.open_client_connection()
        writer.write(harness.encode_job())
        await wait_until(lambda: harness.worker.connection_count)
        await leave(reader, writer)
        await wait_until(lambda: all(item.ended for item in harness.engine.items.values()))
        may_connect.set()
        await wait_until(lambda: not harness.engine.items)
        await harness.serve_job()
        assert harness.worker.request_ids == [b"job2"]

    run_in_process(scenario, **{"limits.dial_timeout_ns": 10 * 10**9, "limits.may_cancel": may_cancel})


@pytest.mark.parametrize("leave", WAYS_TO_LEAVE)
@pytest.mark.parametrize("path", ["/charge/1", "/book/1"])
def test_work_of_a_client_that_leaves_during_a_ledger_write_is_not_handed_off(
    run_in_process, tmp_path, leave, path
):
    async def scenario(harness):
        may_finish_write, original_record_intent = asyncio.Event(), harness.program.ledger.record_intent

        async def record_intent_late(*arguments):
            recorded = await original_record_intent(*arguments)
            await may_finish_write.wait()
            return recorded

        harness.program.ledger.record_intent = record_intent_late
        reader, writer = await harness.open_client_connection()
        writer.write(harness.encode_job(path, Idempotency_Key="k"))
        await wait_until(lambda: harness.worker.connection_count)
        await leave(reader, writer)
        await wait_until(
            lambda: harness.engine.items and all(item.ended for item in harness.engine.items.values())
        )
        may_finish_write.set()
        await wait_until(lambda: not harness.engine.items)
        harness.program.ledger.record_intent = original_record_intent
        await harness.serve_job()
        assert harness.worker.request_ids == [b"job2"]

    run_in_process(
        scenario, more={"ledger": {"path": str(tmp_path / "store.db")}}, **{"limits.may_cancel": False}
    )


@pytest.mark.parametrize("size", [2, 20_000, 60_000])
@pytest.mark.parametrize(
    "leave_early",
    [lambda sock: sock.close(), lambda sock: sock.shutdown(socket.SHUT_WR), lambda sock: sock.send(b"x")],
    ids=["end", "half", "more"],
)
def test_work_of_a_client_that_left_before_its_request_was_read_is_not_sent(
    run_in_process, size, leave_early
):
    # If a request is longer than the stream reads ahead, its end was seen a loop turn after the hand-off was
    # sent.
    async def scenario(harness):
        await harness.serve_job("/render/1")
        await wait_until(lambda: harness.program.workers.idle_connections)
        with socket.create_connection(harness.address) as sock:
            await wait_until(lambda: harness.program.listener.clients)
            sock.sendall(harness.encode_job("/render/1", body=b"x" * size))  # all of it within this loop turn
            leave_early(sock)
            counts = harness.program.counters.counts
            await wait_until(
                lambda: counts["client_left"] + counts["bad_request"] and not harness.engine.items
            )
        await harness.serve_job("/render/1")
        assert harness.worker.request_ids == [b"job1", b"job3"]

    run_in_process(scenario)


def test_work_of_a_client_that_leaves_in_the_loop_turn_of_a_refusal_is_not_retried(run_in_process):
    """The refusal and the end of the connection arrive before the loop handles either, as if it were late."""

    async def scenario(harness):
        counts = harness.program.counters.counts
        await harness.serve_job("/render/1")
        await wait_until(lambda: harness.program.workers.idle_connections)
        for number in range(2, 12):
            with socket.create_connection(harness.address) as sock:
                await wait_until(lambda: harness.program.listener.clients)
                sock.sendall(harness.encode_job("/render/1", body=b"x" * 20_000))
                request = await harness.worker.requests.get()
                request.send(DECLINED_RESPONSE)
                sock.shutdown(socket.SHUT_WR)
                await wait_until(
                    lambda count=number - 1: counts["client_left"] == count and not harness.engine.items
                )
        assert harness.worker.request_ids == [b"job%d" % number for number in range(1, 12)]

    run_in_process(scenario)


def test_a_partly_written_hand_off_stops_when_its_client_leaves(run_in_process, monkeypatch):
    body = b"x" * 60_000
    received = []

    async def scenario(harness):
        connect = sockets.connect

        async def connect_with_small_buffer(*address):
            streams = await connect(*address)
            streams[1].get_extra_info("socket").setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            return streams

        monkeypatch.setattr(sockets, "connect", connect_with_small_buffer)
        with socket.socket() as sock:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            sock.bind(("127.0.0.1", 0))
            sock.listen()
            harness.program.workers.by_number[1].address = sock.getsockname()
            reader, writer = await harness.open_client_connection()
            writer.write(harness.encode_job("/render/1", body=body))
            await wait_until(
                lambda: any(hand_off.is_sending for hand_off in harness.program.workers.hand_offs.values())
            )
            writer.close()
            await wait_until(lambda: all(item.ended for item in harness.engine.items.values()))
            for _ in range(5):
                await asyncio.sleep(0)

            def read():
                worker, _ = sock.accept()
                with worker, contextlib.suppress(ConnectionResetError):
                    while sum(map(len, received)) < len(body) and (data := worker.recv(65536)):
                        received.append(data)

            await asyncio.to_thread(read)
        assert sum(map(len, received)) < len(body)
        assert not harness.program.workers.hand_offs and not harness.program.workers.open_count

    run_in_process(scenario, **{"limits.may_cancel": False})


@pytest.mark.parametrize("may_cancel", [True, False])
def test_a_hand_off_of_a_client_that_left_is_cancelled_only_if_allowed(run_in_process, may_cancel):
    async def scenario(harness):
        _, writer = await harness.open_client_connection()
        writer.write(harness.encode_job("/render/1"))
        request = await harness.worker.requests.get()
        writer.close()
        if may_cancel:
            assert await harness.worker.ended.get() is request.writer
        else:
            await wait_until(lambda: all(item.ended for item in harness.engine.items.values()))
            request.send(encode_done_response(request))
        await wait_until(lambda: not harness.engine.items and not harness.program.workers.hand_offs)
        assert harness.program.counters.counts["hand_off_cancelled"] == may_cancel  # and not at its deadline
        assert len(harness.program.workers.idle_connections) == (not may_cancel)
        assert harness.engine.module.workers[1].slots_in_use == 0

    run_in_process(scenario, **{"limits.may_cancel": may_cancel})


def test_a_burst_of_clients_that_reset_leaves_no_state(run_in_process):
    async def scenario(harness):
        streams = [await harness.open_client_connection() for _ in range(60)]
        for _, writer in streams:
            writer.write(harness.encode_job())
        await wait_until(lambda: len(harness.engine.module.queue) == 60)
        for _, writer in streams:
            reset_connection(writer)
        await wait_until(lambda: not harness.engine.items and not harness.program.listener.clients)
        assert not harness.engine.module.work_items and not harness.engine.module.queue
        assert not harness.engine.key_numbers.entries and not harness.worker.connection_count

    run_in_process(scenario, listed=0)


# ---- hand-offs just before they are sent


def test_nothing_is_sent_after_the_deadline(run_in_process, monkeypatch):
    async def scenario(harness):
        connect, outcomes = sockets.connect, []

        async def connect_late(*address):
            streams = await connect(*address)
            harness.machine.offset += 10 * interface.SECOND  # as if the process had stalled
            return streams

        monkeypatch.setattr(sockets, "connect", connect_late)
        forward_outcome = harness.engine.record_outcome
        harness.engine.record_outcome = lambda *arguments: (
            outcomes.append(arguments[3].outcome),
            forward_outcome(*arguments),
        )
        answer_task = await harness.send_job()
        assert (await answer_task)[0] == 503
        assert outcomes == [Outcome.MOOT] and not harness.worker.request_ids

    run_in_process(scenario)


def test_nothing_is_sent_to_a_worker_that_drains_during_the_connect(run_in_process, monkeypatch):
    async def scenario(harness):
        watch_request = await harness.discovery.requests.get()
        may_connect, connect = asyncio.Event(), sockets.connect

        async def connect_late(*address):
            streams = await connect(*address)
            await may_connect.wait()
            return streams

        monkeypatch.setattr(sockets, "connect", connect_late)
        answer_task = await harness.send_job(deadline="2.0")
        await wait_until(lambda: harness.worker.connection_count)
        watch_request.send(encode_listing_response(2, [harness.host | {"health": "terminating"}]))
        worker = harness.program.workers.by_number[1]
        await wait_until(lambda: worker.left_at)
        worker.left_at -= harness.program.config.terms.drain_grace // 2
        may_connect.set()
        assert (await answer_task)[0] == 503  # it never ran
        assert not harness.worker.request_ids

    run_in_process(scenario, **{"limits.dial_timeout_ns": 10 * 10**9})


@pytest.mark.parametrize("order", itertools.permutations(("answer", "cancel", "leave", "end")), ids="-".join)
def test_events_of_one_loop_turn_give_a_hand_off_one_outcome(run_in_process, order):
    async def scenario(harness):
        outcomes, forward_outcome = [], harness.engine.record_outcome
        harness.engine.record_outcome = lambda *arguments: (
            outcomes.append(arguments[3].outcome),
            forward_outcome(*arguments),
        )
        _, writer = await harness.open_client_connection()
        writer.write(harness.encode_job())
        request = await harness.worker.requests.get()
        (hand_off,) = harness.program.workers.hand_offs.values()
        await wait_until(lambda: hand_off.connection)
        item, reader = hand_off.item, hand_off.connection.reader
        actions = {
            "answer": lambda: reader.at_eof() or reader.feed_data(encode_done_response(request)),
            "end": reader.feed_eof,
            "cancel": lambda: harness.program.workers.cancel_hand_off(item, 0),
            "leave": lambda: harness.engine.handle_client_left(item),
        }
        for action in order:
            actions[action]()
        await wait_until(lambda: not harness.engine.items and not harness.program.workers.hand_offs)
        assert len(outcomes) == 1 and not harness.engine.module.work_items
        assert harness.program.workers.open_count == len(harness.program.workers.idle_connections)
        writer.close()

    run_in_process(scenario)


# ---- clients' connections


def test_a_request_that_arrives_as_the_idle_timeout_ends_is_served(run_in_process, monkeypatch):
    async def scenario(harness):
        reader, writer = await harness.open_client_connection()
        writer.write(harness.encode_job())
        request = await harness.worker.requests.get()
        request.send(encode_done_response(request))
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
        (client,) = harness.program.listener.clients
        read_within = Client._read_within

        async def read_within_late(client, seconds):
            if seconds != sockets.FINAL_READ_SECONDS:
                return await read_within(client, seconds)
            writer.write(harness.encode_job())
            await wait_until(lambda: client.reader.unread)
            raise TimeoutError

        monkeypatch.setattr(Client, "_read_within", read_within_late)
        client.set_read_timeout(0)
        request = await harness.worker.requests.get()
        request.send(encode_done_response(request))
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")

    run_in_process(scenario)


def test_a_connection_with_a_request_just_read_is_not_closed_for_room(run_in_process):
    async def scenario(harness):
        listener = harness.program.listener
        streams = [await harness.open_client_connection() for _ in range(2)]
        await wait_until(lambda: len(listener.new_clients) == 2)
        first, second = listener.new_clients
        first.reader.unread = 1  # as in the loop turn before its task sees the data
        assert listener._make_room() and first in listener.new_clients and second not in listener.new_clients
        assert not listener._make_room()
        for _, writer in streams:
            writer.close()

    run_in_process(scenario)


# ---- stops


def test_a_request_begun_before_the_stop_ends_is_answered(run_in_process, monkeypatch):
    monkeypatch.setattr(program_module, "LAST_RESPONSES_SECONDS", 0.0)

    async def scenario(harness):
        closed = asyncio.Event()
        close = harness.program.listener.close
        harness.program.listener.close = lambda: (close(), closed.set())
        reader, writer = await harness.open_client_connection()
        writer.write(harness.encode_job())
        request = await harness.worker.requests.get()
        request.send(encode_done_response(request))
        await reader.readuntil(b"ok")
        # The second request of this client, so the client is not new and not between two requests.
        request_data = harness.encode_job()
        writer.write(request_data[:-1])
        await wait_until(harness.program.listener.is_receiving_request)
        harness.program.stop_event.set()
        await asyncio.wait(
            [asyncio.create_task(closed.wait()), harness.program_task],
            timeout=program_module.NEW_CONNECTIONS_SECONDS + 0.3,
            return_when=asyncio.FIRST_COMPLETED,
        )
        assert not closed.is_set()  # the program continues as if it held the work item
        writer.write(request_data[-1:])
        request = await harness.worker.requests.get()
        request.send(encode_done_response(request))
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")
        await harness.program_task

    run_in_process(scenario)


@pytest.mark.parametrize("answers", [True, False])
def test_a_stop_during_a_start_ends_the_program_and_loses_nothing(run_in_process, answers):
    async def scenario(harness):
        request = await harness.discovery.requests.get()
        harness.program.stop_event.set()
        harness.program.stop_event.set()
        harness.program._handle_sighup()
        if answers:
            request.send(encode_listing_response(2, [harness.host], True))
        await harness.wait_until_ready()
        await harness.serve_job()
        await harness.program_task
        assert harness.program.config.known.version == 1 and not harness.engine.count_unanswered()

    run_in_process(scenario, ready=False, discovery="pushed")


def test_a_request_on_an_open_connection_after_the_listener_closed_is_answered(run_in_process):
    async def scenario(harness):
        closed = asyncio.Event()
        close = harness.program.listener.close
        harness.program.listener.close = lambda: (close(), closed.set())
        reader, writer = await harness.open_client_connection()
        harness.program.stop_event.set()
        await closed.wait()
        writer.write(harness.encode_job())
        request = await harness.worker.requests.get()
        # Longer than the program waits for any client.
        await asyncio.sleep(program_module.LAST_RESPONSES_SECONDS + 0.05)
        request.send(encode_done_response(request))
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200")

    short_categories = [
        {**category, "due_time_ns": 10**9, "expiry_ns": 2 * 10**9}
        for category in EXAMPLE_CONFIG["settings"]["categories"]
    ]
    run_in_process(scenario, siblings=3, categories=short_categories)


def test_a_connection_in_the_listen_queue_counts_as_a_possible_request(run_in_process):
    async def scenario(harness):
        listener = harness.program.listener
        harness.engine.loop.remove_reader(listener.sock)  # the loop does not accept it
        assert not listener.may_receive_requests(True)
        reader, writer = await harness.open_client_connection()
        assert listener.may_receive_requests(True) and not listener.may_receive_requests(False)
        harness.engine.loop.add_reader(listener.sock, lambda: None)
        writer.close()

    run_in_process(scenario)


@pytest.mark.parametrize("expiry", [0.2, 0.45])
def test_clients_that_arrive_before_the_load_balancer_notices_a_stop_are_answered(run_simulated, expiry):
    async def scenario(harness):
        harness.process.terminate()
        await asyncio.sleep(0.44)
        assert (await harness.send_job())[0] in (200, 503)

    short_categories = [
        {**category, "due_time_ns": 10**8, "expiry_ns": int(expiry * 1e9)}
        for category in EXAMPLE_CONFIG["settings"]["categories"]
    ]
    run_simulated(scenario, categories=short_categories)


RELOAD_DURING_START_CODE = """
import json, os, signal, sys
from heronwinch import start
orig, path = start.read_config, os.environ["RELAY_CONFIG"]

def read(environ, is_reload=False):
    config = orig(environ, is_reload)
    if not is_reload:
        tree = json.load(open(path))
        tree["known"]["seq"] += 1
        json.dump(tree, open(path, "w"))
        os.kill(os.getpid(), signal.SIGHUP)
    return config
start.read_config = read
sys.exit(start.serve())
"""


def test_a_reload_signal_between_reading_the_configuration_and_serving_is_handled(run_on_sockets):
    async def scenario(harness):
        harness.process.terminate()
        await harness.process.wait()
        path = harness.write_config()
        harness.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-c",
            RELOAD_DURING_START_CODE,
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={"RELAY_CONFIG": str(path), "PYTHONPATH": str(ROOT), "PATH": "/usr/bin:/bin"},
        )
        while (await harness.send_get("/-/ready"))[0] != 200:
            await asyncio.sleep(0.02)
        status, logged = await harness.stop()
        assert status == 0 and "event=reloaded changed=known" in logged, logged

    run_on_sockets(scenario)


def test_a_reload_signal_during_imports_does_not_end_the_process():
    code = (
        "import os, signal, sys; sys.argv = ['heronwinch']; import heronwinch.__main__; "
        "os.kill(os.getpid(), signal.SIGHUP); print('on')"
    )
    ran = subprocess.run([sys.executable, "-c", code], cwd=ROOT, capture_output=True, timeout=60, check=False)
    assert (ran.returncode, ran.stdout) == (0, b"on\n"), ran.stderr


# ---- watches


def test_a_silent_watch_is_reopened_at_once(run_in_process, monkeypatch):
    monkeypatch.setattr(discovery, "WATCH_WAIT_MS", (30, 30))
    monkeypatch.setattr(discovery, "WATCH_GRACE_SECONDS", 0.03)

    async def scenario(harness):
        events = []
        post = harness.engine.post
        harness.engine.post = lambda event: (events.append(event), post(event))
        request = await harness.discovery.requests.get()
        request.send(encode_listing_response(1, []))
        for wait in (b"wait=30", b"wait=0"):
            assert wait in (await harness.discovery.requests.get()).head
        assert harness.program.counters.counts["watch_broken"] == 1
        assert not [
            posted
            for posted in events
            if type(posted) is interface.Listed and posted.kind == interface.ListKind.FAILED
        ]

    run_in_process(scenario)


@pytest.mark.parametrize(
    "truncated_response",
    [b"", b"HTTP/1.1 200 OK\r\nContent-Len", CHUNKED_HEAD + encode_chunk(b'{"seq": 2, "whole"')],
)
def test_a_change_missed_by_a_silent_watch_arrives_within_the_notice_time(simulation, truncated_response):
    """In virtual time: the watch of a real dispatcher falls silent at its start."""
    request_times, simulation = [], simulation()

    async def serve(process):
        async def talk(reader, writer):
            while True:
                await reader.readuntil(b"\r\n\r\n")
                request_times.append(process.kernel.now)
                if len(request_times) == 2:
                    writer.write(truncated_response)
                    continue
                body = b'{"seq": %d, "whole": true, "hosts": []}' % (1 + (len(request_times) > 1))
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body))

        await asyncio.start_server(talk, "s", 80)
        await asyncio.Event().wait()

    async def watch(process):
        from heronwinch.rehearsal.simulation.process import SimulatedMachine

        own = type("Own", (), {"version": 1, "machine": SimulatedMachine(process)})()
        driver = discovery.Discovery(None, own, ("s", 80), FaultCounters(), Random(1))
        versions = []
        driver._apply_listing = lambda listing: (
            versions.append(listing.version),
            len(request_times) > 2 and driver.watch_task.cancel(),
        )
        driver.subscribe(True)
        with contextlib.suppress(asyncio.CancelledError):
            await driver.watch_task
        return versions

    simulation.process("s", serve)
    simulation.process("d", watch)
    simulation.run(30)
    assert simulation.results == {"d": [1, 2]}
    _, second, third, *_ = request_times
    # The request may wait in a queue for 2 s.
    assert 0 < third - second < interface.DISCOVERY_NOTICE_NS - 2.5 * interface.SECOND


@pytest.mark.parametrize(
    "response, was_truncated",
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 900\r\n\r\n" + b'{"seq": 2,', True),
        (b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n" + b'{"seq', True),
        (CHUNKED_HEAD + b"no number\r\n", True),
        (b"HTTP/1.", True),
        (b"HTTP/1.1 503 busy\r\nContent-Length: 0\r\n\r\n", False),
        (b"", False),
    ],
)
def test_a_truncated_list_is_requested_again_at_once(run_in_process, response, was_truncated):
    """If nothing was sent, the dispatcher first pauses, for a time that differs between dispatchers."""

    async def scenario(harness):
        events = []
        post = harness.engine.post
        harness.engine.post = lambda event: (post(event), events.append(event))
        request = await harness.discovery.requests.get()
        request.send(response)
        request.writer.close()
        await harness.discovery.requests.get()
        kinds = [event.kind for event in events if type(event) is interface.Listed]
        assert kinds == ([] if was_truncated else [interface.ListKind.FAILED])

    run_in_process(scenario)


@pytest.mark.parametrize("grace", [250, 2000])
def test_pushed_lists_are_requested_again_within_half_the_drain_grace(make_driver, grace):
    driver = make_driver(pushed_list=True, drain_grace=grace * MS, connect_timeout=400 * MS)
    for _ in range(12):
        before = len(driver.timers)
        driver.handle_events(interface.Listed(interface.ListKind.FAILED, 0, ()))
        assert 0 < driver.timers[before][0] - driver.now < grace * MS / 2
        driver.recorded_actions.clear()
        driver.handle_events(after=grace)
        assert interface.Subscribe(True) in driver.recorded_actions


def test_with_pushed_lists_no_work_is_accepted_before_the_first_list(run_in_process):
    async def scenario(harness):
        request = await harness.discovery.requests.get()
        assert not harness.program.is_serving
        harness.host["health"] = "terminating"
        request.send(encode_listing_response(2, [harness.host], True))
        await harness.wait_until_ready()
        assert harness.program.workers.by_number[1].entry.standing == interface.Standing.DRAINING

    run_in_process(scenario, ready=False, discovery="pushed")


# ---- hand-overs to another process


@pytest.mark.parametrize("side", ["client", "worker"])
def test_a_connection_with_unread_data_is_not_handed_over(run_in_process, side):
    async def scenario(harness):
        harness.program.workers.keeps_received = True
        reader, writer = await harness.open_client_connection()
        writer.write(harness.encode_job())
        request = await harness.worker.requests.get()
        (client,) = harness.program.listener.clients
        (hand_off,) = harness.program.workers.hand_offs.values()
        await wait_until(lambda: hand_off.connection)
        hand_off.patience = 0
        checks = [
            lambda: harness.program.listener.can_hand_over(client),
            lambda: harness.program.workers.can_hand_over(hand_off),
        ]
        assert [check() for check in checks] == [True, True]
        (client if side == "client" else hand_off.connection).reader.unread = 1
        assert [check() for check in checks] == [side != "client", side != "worker"]
        request.send(encode_done_response(request))
        await reader.readuntil(b"ok")
        writer.close()

    run_in_process(scenario)


# ---- settings of other deployments


def list_setting_paths(tree, path=()):
    for name, value in tree.items() if isinstance(tree, dict) else enumerate(tree):
        yield (*path, name)
        if isinstance(value, dict | list):
            yield from list_setting_paths(value, (*path, name))


@pytest.mark.parametrize(
    "value", ["gone", None, 0, 1, -1, 0.5, 10**18, 1e300, "nonsense", True, [], {}], ids=repr
)
def test_any_settings_are_either_used_or_refused_in_one_line(make_driver, value):
    for path in list_setting_paths(EXAMPLE_CONFIG["settings"]):
        tree = json.loads(json.dumps(EXAMPLE_CONFIG))
        node = tree["settings"]
        for name in path[:-1]:
            node = node[name]
        if value == "gone":
            del node[path[-1]]
        else:
            node[path[-1]] = value
        try:
            config = read_config({"RELAY_CONFIG": "c"}, read=lambda _, tree=tree: json.dumps(tree))
        except ConfigError as error:
            assert "\n" not in str(error) and str(error).startswith("c: ")
            continue
        terms = config.terms
        driver = make_driver(workers=(make_entry(1), make_entry(2, area=1, pod=1)), **terms._asdict())
        category_count = len(terms.categories)
        for wi in range(1, 25):
            account = wi % len(terms.accounts) if terms.accounts else -1
            driver.arrive(wi, category=wi % category_count, after=10, account=account)
            for hand_off in [
                hand_off
                for work_item in driver.dispatcher.work_items.values()
                for hand_off in work_item.hand_offs
                if not hand_off.answered
            ][:2]:
                outcome = [Outcome.OK, Outcome.FULL, Outcome.RESET, Outcome.CONNECT_FAILED][wi % 4]
                driver.answer(hand_off.wi.id, hand_off.number, hand_off.worker.id, outcome, elapsed=5)
        driver.handle_events(interface.Listed(interface.ListKind.FAILED, 0, ()))
        driver.handle_events(interface.PlannedStop(interface.SECOND))
        driver.handle_events(after=1100)
        unfinished = [wi for wi in driver.dispatcher.work_items.values() if not wi.ended]
        assert not unfinished, (path, value)


@pytest.mark.parametrize(
    "key, value",
    [("tick_ns", 0), ("tick_ns", -5), ("invariants.drain_grace_ns", -1), ("limits.conn_idle_ns", "x")],
)
def test_an_unusable_setting_is_reported_with_its_key(key, value):
    tree = json.loads(json.dumps(EXAMPLE_CONFIG))
    *parents, name = key.split(".")
    node = tree["settings"]
    for parent in parents:
        node = node[parent]
    node[name] = value
    with pytest.raises(ConfigError, match=re.escape(key)):
        read_config({"RELAY_CONFIG": "c"}, read=lambda _: json.dumps(tree))


def test_the_program_contains_no_deployment_names():
    names = set()
    for site in (ROOT / "deploy" / "sites").glob("*.toml"):
        names |= set(re.findall(r'^name = "([\w-]+)"$', site.read_text().split("[[trouble]]")[0], re.M))
        names |= set(re.findall(r'"([\w-]+)"', re.search(r"^zones = (.*)$", site.read_text(), re.M)[1]))
    assert len(names) > 12
    places = [*(ROOT / "heronwinch").rglob("*.py"), ROOT / "deploy" / "balancer.toml"]
    found = [
        (name, path.name)
        for path in places
        for name in names
        if re.search(rf"(?<![\w-]){re.escape(name)}(?![\w-])", pathlib.Path(path).read_text())
    ]
    assert not found
