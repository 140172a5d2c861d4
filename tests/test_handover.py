"""Tests of clients that a stopping process offers to its successor: each is served by exactly one of the two,
whatever becomes of the offer.

Guards against work that is given away before it is accepted: its client was dropped without an answer when
the successor had had new settings meanwhile."""

import asyncio
import os
import signal
import socket
from types import SimpleNamespace

import pytest
from conftest import MS, encode_job, split_answer
from in_process import encode_done_response, wait_until

from heronwinch.interface import Effect, Group, Outcome, Standing
from heronwinch.net import handover
from heronwinch.protocol.clients import Job
from heronwinch.protocol.discovery import ListedWorker
from heronwinch.protocol.handover import (
    ClientState,
    HandOffState,
    Offer,
    RepeatRules,
    Verdict,
    decode_offer,
    decode_verdict,
    encode_hello,
    encode_offer,
    encode_verdict,
)

MAX_MESSAGE_BYTES = 256 * 1024
HELLO_SECONDS = 0.2  # from the log line of the stop to the successor's hello, generously


# ---- real processes


async def wait_for_log(process, event):
    """Reads a process's log up to a line with this event."""
    async with asyncio.timeout(10):
        while (line := await process.stderr.readline()) and b"event=" + event not in line:
            pass
    assert line, f"the process ended without {event}"


async def submit_across_new_settings(harness, platform, path, **headers):
    """Hands in a job whose last byte comes to a stopping process after its successor has new settings.

    Yields when the test may change the settings of `harness`, then both processes and the connection."""
    old, mgmt = await platform.start()
    await platform.wait_until_ready(mgmt)
    reader, writer = await asyncio.open_connection(*harness.address)
    writer.write(encode_job(id="first"))
    await reader.readuntil(b"HI")
    new, mgmt = await platform.start()
    await platform.wait_until_ready(mgmt)
    request = encode_job(path, id="second", **headers)
    writer.write(request[:-1])
    old.terminate()
    await wait_for_log(old, b"stopping")
    await asyncio.sleep(HELLO_SECONDS)
    yield
    harness.write_config()
    new.send_signal(signal.SIGHUP)  # the stopping process gets it later, or not at all
    await wait_for_log(new, b"reloaded")
    writer.write(request[-1:])
    yield old, new, reader, writer


@pytest.mark.parametrize("path", ["/book/1", "/charge/1"])
def test_work_of_a_category_that_the_successor_has_dropped_is_served_here(run_handover, path):
    async def scenario(harness, platform):
        steps = submit_across_new_settings(harness, platform, path, Idempotency_Key="k")
        await anext(steps)
        name = path.split("/")[1]
        harness.settings["categories"] = [
            row for row in harness.build_config({})["settings"]["categories"] if row["name"] != name
        ]
        harness.settings["family_info.class_stretch"] = [1.25, 1.25]
        old, new, reader, writer = await anext(steps)
        async with asyncio.timeout(5):
            assert (await reader.readuntil(b"HI")).startswith(b"HTTP/1.1 200 ")
        writer.close()
        _, logged = await old.communicate()
        assert old.returncode == 0 and b"unanswered=0" in logged and b"Traceback" not in logged, logged
        assert sum(name.encode() in target for w in harness.workers for _, target, _ in w.jobs) == 1
        new.terminate()
        _, logged = await new.communicate()
        assert b"take_over_fault" not in logged, logged

    run_handover(scenario)


def test_work_keeps_its_effect_where_the_successor_has_another(run_handover):
    # The successor may run again what the stopping process has accepted as work that must not.
    async def scenario(harness, platform):
        steps = submit_across_new_settings(harness, platform, "/charge/1")
        await anext(steps)
        for worker in harness.workers:
            worker.job_seconds = 1.0
        harness.settings["categories"] = [
            {**row, "effect": "retryable"} if row["name"] == "charge" else row
            for row in harness.build_config({})["settings"]["categories"]
        ]
        old, new, reader, writer = await anext(steps)
        async with asyncio.timeout(5):
            while not sum(worker.unanswered_count for worker in harness.workers):
                await asyncio.sleep(0.01)
        await asyncio.sleep(0.1)  # the process has offered it by now
        for worker in harness.workers:
            for transport in worker.transports:
                transport.abort()
        async with asyncio.timeout(5):
            assert (await reader.readline()).startswith(b"HTTP/1.1 500 ")
        writer.close()
        for process in (old, new):
            process.terminate() if process.returncode is None else None
            await process.communicate()
        assert sum(b"charge" in target for w in harness.workers for _, target, _ in w.jobs) == 1

    run_handover(scenario)


# ---- the stopping process, its successor played by the test


# Guards against an id that runs at a process and once more at the one that replaces it.
@pytest.mark.parametrize("old_is", ["serving", "stopped", "killed"])
def test_an_id_that_has_run_at_one_process_does_not_run_at_the_other(run_handover, old_is):
    async def scenario(harness, platform):
        old, mgmt = await platform.start()
        await platform.wait_until_ready(mgmt)
        reader, writer = await asyncio.open_connection(*harness.address)
        writer.write(encode_job("/charge/1", id="once"))
        await reader.readuntil(b"HI")
        writer.close()
        new, mgmt = await platform.start()
        await platform.wait_until_ready(mgmt)
        if old_is == "serving":
            old.send_signal(signal.SIGSTOP)  # so that the other one accepts
        else:
            old.send_signal(signal.SIGTERM if old_is == "stopped" else signal.SIGKILL)
            await old.communicate()
        status, _ = await harness.send_job("/charge/1", id="once")
        assert (status, sum(len(worker.jobs) for worker in harness.workers)) == (409, 1)
        assert (await harness.send_job("/charge/1", id="twice"))[0] == 200

    run_handover(scenario)


class Successor:
    """Plays the successor of the program in this process."""

    def __init__(self, harness, folder):
        self.harness = harness
        self.listener = socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.listener.bind(os.path.join(folder, handover.SUCCESSOR_SOCKET_NAME))
        self.listener.listen(1)
        self.peer = None
        self.descriptors = []
        self.offers = []
        program = harness.program
        program.handover_sender = handover.HandoverSender(
            program.engine, program.listener, program.workers, folder, program.counters
        )
        program.handover_receiver = SimpleNamespace(close=lambda: None)
        program.workers.keeps_received = True
        program._has_other_process = lambda: True

    async def greet(self):
        """Accepts the program's connection and sends the hello."""
        self.listener.setblocking(False)
        self.peer, _ = await self.harness.engine.loop.sock_accept(self.listener)
        self.peer.send(encode_hello())

    async def receive_offer(self):
        """Returns the next offer."""
        self.peer.setblocking(False)
        while True:
            try:
                data, descriptors, _, _ = socket.recv_fds(self.peer, MAX_MESSAGE_BYTES, 2)
            except BlockingIOError:
                await asyncio.sleep(0.001)
                continue
            self.descriptors += descriptors
            return decode_offer(data)

    def die(self):
        """Ends as a process that is killed does."""
        for descriptor in self.descriptors:
            os.close(descriptor)
        self.descriptors = []
        self.peer.close()
        self.listener.close()


@pytest.fixture
def run_with_successor(run_in_process, monkeypatch, tmp_path):
    """Runs a scenario, a coroutine function of an InProcessHarness and a Successor."""
    monkeypatch.setattr(handover, "_get_peer_ids", lambda sock: (0, os.getuid()))

    def run_scenario(scenario):
        async def run(harness):
            successor = Successor(harness, tmp_path)
            try:
                await scenario(harness, successor)
            finally:
                successor.die()

        run_in_process(run)

    return run_scenario


async def stop_with_work_in_flight(harness, successor):
    """Stops the program while it holds a job; returns its connection, the worker's request and the offer."""
    reader, writer = await harness.open_client_connection()
    writer.write(harness.encode_job())
    request = await harness.worker.requests.get()
    (hand_off,) = harness.program.workers.hand_offs.values()
    await wait_until(lambda: hand_off.connection)
    harness.program.stop_event.set()
    await successor.greet()
    return reader, writer, request, await successor.receive_offer()


@pytest.mark.parametrize("end", ["refuse", "die", "refuse and die"])
def test_work_that_the_successor_does_not_accept_is_served_here_and_runs_once(run_with_successor, end):
    async def scenario(harness, successor):
        reader, writer, request, offer = await stop_with_work_in_flight(harness, successor)
        assert offer.client_state.job.id == request.id and not harness.engine.items
        if end.startswith("refuse"):
            successor.peer.send(encode_verdict(Verdict(offer.number, False)))
        if end.endswith("die"):
            successor.die()
        await wait_until(lambda: harness.engine.items)
        await asyncio.sleep(0.1)
        if end == "refuse":
            with pytest.raises(BlockingIOError):  # it is not offered again
                successor.peer.recv(MAX_MESSAGE_BYTES)
        request.send(encode_done_response(request))
        assert (await reader.readuntil(b"ok")).startswith(b"HTTP/1.1 200 ")
        assert harness.worker.request_ids == [request.id]
        writer.close()
        await harness.program_task

    run_with_successor(scenario)


def test_work_that_the_successor_has_accepted_is_its_own_even_if_it_dies(run_with_successor):
    async def scenario(harness, successor):
        reader, writer, request, offer = await stop_with_work_in_flight(harness, successor)
        successor.peer.send(encode_verdict(Verdict(offer.number, True)))
        successor.die()
        await harness.program_task
        assert not harness.engine.items and harness.program.handover_sender.accepted_count == 1
        assert harness.worker.request_ids == [request.id]

    run_with_successor(scenario)


def test_a_successor_that_stands_still_keeps_what_it_was_offered(run_with_successor):
    # Nothing tells whether it will accept, so nobody else may go on with the work.
    async def scenario(harness, successor):
        _, _, request, offer = await stop_with_work_in_flight(harness, successor)
        await harness.program_task
        assert not harness.engine.items and harness.worker.request_ids == [request.id]
        with pytest.raises(OSError):  # so it learns that it is alone with the client
            successor.peer.send(encode_verdict(Verdict(offer.number, False)))
        client = socket.socket(fileno=os.dup(successor.descriptors[0]))
        client.send(b"HTTP/1.1 200 OK\r\n\r\n")  # the connection was not closed
        client.close()

    run_with_successor(scenario)


# ---- the successor, the stopping process played by the test

JOB = Job(b"j1", b"/charge/1", None, b"hi", "charge", "", 4000 * MS, 1.0, 0.0, False)
CHARGE_RULES = RepeatRules(int(Effect.EXCLUSIVE), int(Group.ALL), 0)
WORKER = ListedWorker("w", ("127.0.0.1", 7), "a", "std", 0, Standing.READY, 1.0, 0)


def make_client_state(rules=CHARGE_RULES, category="charge", outcomes=()):
    hand_offs = tuple(HandOffState("w", 5 * MS, int(outcome)) for outcome in outcomes)
    job = JOB._replace(category=category, target=f"/{category}/1".encode())
    return ClientState(1, False, job, 10 * MS, 4000 * MS, hand_offs, (WORKER,), b"", rules)


async def offer_client(harness, client_state, has_sender, transit_ns=0):
    """Has the program handle an offer; returns the verdict, if there is a sender, and the client's reader."""
    program = harness.program
    receiver = handover.HandoverReceiver(program.engine, program.listener, "/nowhere", program.counters)
    peer, sender = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    served, client = socket.socketpair()
    if not has_sender:
        sender.close()
    offered_at = harness.machine.read_monotonic_clock() - transit_ns
    served_duplicate = served.dup()  # the stopping process's own
    await receiver._handle_offer(peer, encode_offer(Offer(1, offered_at, client_state)), [served])
    reader, writer = await asyncio.open_connection(sock=client)
    verdict = None
    if has_sender:
        verdict = decode_verdict(sender.recv(MAX_MESSAGE_BYTES))
        sender.close()
    peer.close()
    served_duplicate.close()
    return verdict, reader, writer


@pytest.mark.parametrize(
    "client_state",
    [
        make_client_state(category="gone"),
        make_client_state(rules=CHARGE_RULES._replace(effect=int(Effect.RERUNNABLE))),
        make_client_state(rules=CHARGE_RULES._replace(effect=int(Effect.TICKETED))),
        make_client_state(rules=CHARGE_RULES._replace(window=1)),
        make_client_state(rules=CHARGE_RULES._replace(group=int(Group.POD))),
    ],
)
def test_work_of_other_rules_is_refused_untouched(run_in_process, client_state):
    async def scenario(harness):
        verdict, reader, writer = await offer_client(harness, client_state, has_sender=True)
        assert verdict == Verdict(1, False)
        assert not harness.engine.items and not harness.program.listener.clients
        assert await reader.read() == b""  # both of its ends here are closed, nothing was written
        writer.close()

    run_in_process(scenario)


@pytest.mark.parametrize(
    "outcomes, effect, status",
    [
        ((), Effect.EXCLUSIVE, 503),
        ((Outcome.FULL, Outcome.CONNECT_FAILED), Effect.EXCLUSIVE, 503),
        ((Outcome.FULL, Outcome.RESET), Effect.EXCLUSIVE, 500),
        ((Outcome.TIMEOUT,), Effect.TICKETED, 500),
        ((Outcome.TIMEOUT,), Effect.RERUNNABLE, 503),
    ],
)
def test_work_that_nobody_else_can_serve_is_answered(run_in_process, outcomes, effect, status):
    rules = CHARGE_RULES._replace(effect=int(effect))

    async def scenario(harness):
        client_state = make_client_state(rules, "gone", outcomes)
        _, reader, writer = await offer_client(harness, client_state, has_sender=False)
        assert split_answer(await reader.readuntil(b"\r\n\r\n"))[0] == status
        writer.close()

    run_in_process(scenario)


def test_the_time_of_an_offer_in_transit_counts(run_in_process):
    # Deadlines and windows are of real time, also while a message waits in a queue.
    transit_ns = 700 * MS

    async def scenario(harness):
        before = harness.machine.now()
        verdict, _, writer = await offer_client(
            harness, make_client_state(outcomes=[Outcome.FULL]), True, transit_ns
        )
        assert verdict == Verdict(1, True)
        (item,) = harness.engine.items.values()
        after = harness.machine.now()
        assert before <= item.accepted_at + 10 * MS + transit_ns <= after
        assert before <= item.sent_to[0][1] + 5 * MS + transit_ns <= after
        assert item.expiry == item.accepted_at + 4000 * MS
        writer.close()

    run_in_process(scenario)
