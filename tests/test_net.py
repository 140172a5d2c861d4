"""The drivers of net/ without sockets: the engine with test doubles for the module, workers and clients."""

import asyncio
import time
from random import Random

import pytest
from conftest import CATEGORY, MS, TERMS, open_unaccepting_address

from examples import toy
from heronwinch import interface
from heronwinch.interface import Effect, Outcome
from heronwinch.net import discovery
from heronwinch.net.client import MAX_IDLE_SECONDS, MAX_REQUEST_SECONDS, Client
from heronwinch.net.counters import FaultCounters
from heronwinch.net.engine import Engine, WorkItem
from heronwinch.net.identifiers import NumberPool
from heronwinch.net.listener import MIN_IDLE_SECONDS, Listener
from heronwinch.net.machine import Machine
from heronwinch.net.sockets import (
    BASE_MEMORY_MB,
    CONNECTION_BYTES,
    LARGE_BUFFER_BYTES,
    WORKER_BYTES,
    CountingReader,
    ResourceBudget,
)
from heronwinch.net.workers import Connection, Workers
from heronwinch.protocol.clients import Job
from heronwinch.protocol.discovery import ListedWorker, Listing
from heronwinch.protocol.workers import Completion
from heronwinch.terms import NumberedNames

JOB = Job(
    id=b"a",
    target=b"/render",
    ticket=None,
    body=b"",
    category="render",
    key="7",
    time_left=1_000_000_000,
    slots=1.0,
    memory=0.0,
    repeated=False,
)
NAMES = NumberedNames(("render",), (), ("a",), ("std",))


class ScriptedModule:
    """A test double of the module: `script` maps the type of an event to a function that returns actions."""

    def __init__(self, script):
        self.script, self.batches, self.is_handling = script, [], False

    def handle(self, now, events):
        assert not self.is_handling, "re-entered"
        self.is_handling = True
        self.batches.append(events)
        actions = [action for event in events for action in self.script.get(type(event), lambda e: [])(event)]
        self.is_handling = False
        return actions


class CallRecorder:
    """A test double of workers, discovery, the engine or a client, which records the calls of its methods."""

    def __init__(self):
        self.calls = []

    def __getattr__(self, name):
        return lambda *args: self.calls.append((name, *args))

    def make_listed_event(self):
        return interface.Listed(interface.ListKind.CACHED, 1, ())

    def get_calls(self, *names):
        """Returns the recorded calls of methods with these names."""
        return [call for call in self.calls if call[0] in names]


@pytest.fixture
def run_engine():
    """Returns a function that runs the coroutine function `scene(engine, modules)` with scripted modules."""

    def run(scene, script, effect=Effect.RERUNNABLE, **terms):
        modules = []

        def make_module(*_):
            modules.append(ScriptedModule(script))
            return modules[-1]

        async def main():
            category = CATEGORY._replace(effect=effect)
            engine = Engine(
                make_module,
                TERMS._replace(categories=(category,), **terms),
                NAMES,
                1,
                Machine(),
                FaultCounters(),
            )
            engine.workers = engine.discovery = CallRecorder()
            async with asyncio.timeout(10):  # nothing here takes so long unless it hangs
                await scene(engine, modules)

        asyncio.run(main())

    return run


async def run_loop_turns(n=3):
    for _ in range(n):
        await asyncio.sleep(0)


def return_hand_off(event):
    return [interface.HandOff(event.wi, 8, 0)]


def raise_fault(event):
    raise RuntimeError("a fault in the module")


def test_events_of_a_loop_turn_are_handled_in_one_call_without_re_entry(run_engine):
    async def scene(engine, modules):
        client = CallRecorder()
        first, second = (engine.accept_job(JOB, client, engine.machine.now()) for _ in range(2))
        engine.handle_client_left(first)
        await run_loop_turns()
        assert [type(e) for e in modules[0].batches[0]] == [
            interface.Arrived,
            interface.Arrived,
            interface.Left,
        ]
        # The hand-off of the work item whose client left is moot; the module is told so in a further call.
        assert [type(e) for e in modules[0].batches[1]] == [interface.Answered]
        assert modules[0].batches[1][0].outcome == Outcome.MOOT
        assert [call[1] for call in engine.workers.get_calls("start_hand_off")] == [second]

    run_engine(scene, {interface.Arrived: return_hand_off})


def test_work_items_and_keys_are_released_with_the_answer(run_engine):
    async def scene(engine, modules):
        client = CallRecorder()
        for _ in range(5):
            item = engine.accept_job(JOB, client, engine.machine.now())
            await run_loop_turns()
            engine.record_outcome(item, 0, 8, Completion(Outcome.OK, b"r"), 5)
        await run_loop_turns()
        assert client.get_calls("finish") == [("finish", b"r")] * 5
        assert not engine.items and not len(engine.key_numbers)

    run_engine(scene, {interface.Arrived: return_hand_off})


def test_numbers_are_small_and_reused():
    pool = NumberPool()
    assert [pool.acquire(name) for name in ("a", "b", "a", "")] == [1, 2, 1, 0]
    pool.release("a")
    assert pool.acquire("c") == 3
    pool.release("a")
    assert (pool.acquire("d"), len(pool)) == (1, 3)


def test_time_left_counts_from_when_the_request_was_sent(run_engine):
    async def scene(engine, modules):
        engine.accept_job(JOB, CallRecorder(), engine.machine.now() - 400 * MS)
        await run_loop_turns()
        assert 500 * MS < modules[0].batches[0][0].time_left < 600 * MS

    run_engine(scene, {})


@pytest.mark.parametrize(
    "effect, outcome, answer",
    [
        (Effect.EXCLUSIVE, Outcome.ERROR, "write_off"),
        (Effect.EXCLUSIVE, Outcome.FULL, "defer"),
        (Effect.RERUNNABLE, Outcome.RESET, "defer"),
        (Effect.TICKETED, Outcome.TIMEOUT, "write_off"),
    ],
)
def test_module_fault_is_counted_and_work_items_are_answered(run_engine, effect, outcome, answer):
    async def scene(engine, modules):
        in_flight, waiting = CallRecorder(), CallRecorder()
        item = engine.accept_job(JOB, in_flight, engine.machine.now())
        await run_loop_turns()
        modules[0].script = modules[0].script | {interface.Arrived: raise_fault}
        engine.accept_job(JOB, waiting, engine.machine.now())
        await run_loop_turns()
        assert engine.counters.counts["module_fault"] == 1 and len(modules) == 2
        # The work item handed off is not answered yet, as it may still be served.
        assert waiting.get_calls("defer") and not in_flight.calls
        engine.record_outcome(item, 0, 8, Completion(outcome), 5)
        await run_loop_turns()
        assert [call[0] for call in in_flight.calls] == [answer] and not engine.items
        engine.accept_job(JOB, CallRecorder(), engine.machine.now())  # the new module handles it
        await run_loop_turns()
        assert len(engine.workers.get_calls("start_hand_off")) == 2

    run_engine(scene, {interface.Arrived: return_hand_off}, effect)


@pytest.mark.parametrize("pushed", [True, False])
def test_restarted_module_has_a_pushed_list_watched(run_engine, pushed):
    # The replaced module may have been about to subscribe again. Where lists are fetched on request, the new
    # module does so by itself.
    async def scene(engine, modules):
        engine.accept_job(JOB, CallRecorder(), engine.machine.now())
        await run_loop_turns()
        assert len(modules) == 2
        assert engine.discovery.get_calls("subscribe") == ([("subscribe", True)] if pushed else [])

    run_engine(scene, {interface.Arrived: raise_fault}, pushed_list=pushed)


def test_timers_of_a_replaced_module_are_ignored(run_engine):
    async def scene(engine, modules):
        engine.post(interface.Left(1))
        await run_loop_turns()
        engine.post(interface.Noted(0, 0, 0, 1, 0.0))
        await run_loop_turns()
        await asyncio.sleep(0.02)
        assert not any(
            type(e) is interface.Rang for module in modules for batch in module.batches for e in batch
        )

    run_engine(
        scene, {interface.Left: lambda e: [interface.SetTimer(5 * MS, 9)], interface.Noted: raise_fault}
    )


def test_timer_event_comes_no_sooner_than_requested(run_engine):
    async def scene(engine, modules):
        begun_at = engine.machine.now()
        engine.post(interface.Left(1))
        while not any(type(e) is interface.Rang for batch in modules[0].batches for e in batch):
            await asyncio.sleep(0)
        assert engine.machine.now() >= begun_at + 5 * MS

    run_engine(scene, {interface.Left: lambda e: [interface.SetTimer(5 * MS, 9)]})


@pytest.mark.parametrize("effect, answer", [(Effect.RERUNNABLE, "defer"), (Effect.EXCLUSIVE, "write_off")])
def test_work_item_left_unanswered_by_the_module_is_answered_after_its_expiry(run_engine, effect, answer):
    async def scene(engine, modules):
        client = CallRecorder()
        engine.accept_job(JOB._replace(time_left=10 * MS), client, engine.machine.now())
        while not client.calls:
            await asyncio.sleep(0.005)
        assert client.calls[0][0] == answer and engine.counters.counts["overdue"] == 1

    run_engine(scene, {interface.Arrived: return_hand_off}, effect)


# Guards against work that is held to be overdue, and answered past the module, as the event loop was late.
def test_after_a_late_loop_turn_the_module_answers_before_work_is_overdue(run_engine):
    async def scene(engine, modules):
        client = CallRecorder()
        engine.accept_job(JOB._replace(time_left=10 * MS), client, engine.machine.now())
        await run_loop_turns()
        time.sleep(0.1)  # both timers come due in the next turn
        while not client.calls:
            await asyncio.sleep(0)
        assert client.calls == [("defer", 7)] and not engine.counters.counts["overdue"]

    run_engine(
        scene,
        {
            interface.Arrived: lambda e: [interface.SetTimer(5 * MS, e.wi)],
            interface.Rang: lambda e: [interface.Defer(e.token, 7)],
        },
    )


def test_planned_stop_is_posted_and_bounds_hand_offs(run_engine):
    async def scene(engine, modules):
        engine.stop(0.2)
        engine.accept_job(JOB, CallRecorder(), engine.machine.now())
        await run_loop_turns()
        assert type(modules[0].batches[0][0]) is interface.PlannedStop
        ((_, item, number, worker, until, _, _),) = engine.workers.get_calls("start_hand_off")
        assert until == engine.stop_at < engine.machine.now() + 200 * MS

    run_engine(scene, {interface.Arrived: return_hand_off})


def test_broken_invariant_is_an_error_and_later_actions_are_carried_out(run_engine):
    async def scene(engine, modules):
        engine.accept_job(JOB, CallRecorder(), engine.machine.now())
        await run_loop_turns()
        # The second hand-off is refused, logged and counted; the actions after it are carried out.
        assert (
            engine.counters.counts["action_fault"] == 1
            and len(engine.workers.get_calls("start_hand_off")) == 1
        )
        assert engine.workers.get_calls("start_probe")

    run_engine(scene, {interface.Arrived: lambda e: return_hand_off(e) * 2 + [interface.Probe(3)]})


# ---- hand-offs


class GarbledStream:
    """A test double of a stream and its transport: half an answer arrives, then garbage, then nothing."""

    def __init__(self):
        self.parts = [b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\n{]\n\r\n"]
        self.transport = self

    async def read(self, n):
        return self.parts.pop() if self.parts else await asyncio.Event().wait()

    async def drain(self):
        pass

    def write(self, data):
        self.written = data

    def set_write_buffer_limits(self, high):
        assert high == 0

    def abort(self):
        self.aborted = True

    def get_write_buffer_size(self):
        return 0

    def get_extra_info(self, name):
        return None


def test_connection_is_closed_after_a_reset_since_the_work_item_may_go_elsewhere(workers):
    async def main():
        stream = GarbledStream()
        workers.apply_listing(interface.ListKind.FULL, Listing(1, True, (listed_worker("s"),)))

        async def connect(*_):
            return Connection(("127.0.0.1", 7070), stream, stream)

        workers._connect = connect
        item = WorkItem(1, JOB, None, Effect.RERUNNABLE, workers.machine.now(), 1000 * MS)
        workers.start_hand_off(item, 0, 1, item.expiry, 0)
        while not workers.engine.get_calls("record_outcome"):
            await asyncio.sleep(0)
        assert workers.engine.get_calls("record_outcome")[0][4].outcome == Outcome.RESET and stream.aborted

    asyncio.run(main())


def test_kernel_sends_nothing_of_a_hand_off_given_up(workers):
    # Guards against a second run of ticketed work: the first hand-off came through late, over a path that had
    # been cut.
    async def main():
        discarded = []
        workers.machine.discard_unsent_on_close = discarded.append
        workers.apply_listing(interface.ListKind.FULL, Listing(1, True, (listed_worker("s"),)))
        streams = [GarbledStream(), GarbledStream()]
        answers = [], [b"HTTP/1.1 503 a\r\nContent-Length: 0\r\n\r\n"]
        for stream, parts in zip(streams, answers, strict=True):

            async def connect(*_, stream=stream, parts=parts):
                stream.parts = parts
                return Connection(("127.0.0.1", 7070), stream, stream)

            workers._connect = connect
            item = WorkItem(
                streams.index(stream), JOB, None, Effect.RERUNNABLE, workers.machine.now(), 20 * MS
            )
            workers.start_hand_off(item, 0, 1, item.expiry, 0)
            while len(workers.engine.get_calls("record_outcome")) <= item.number:
                await asyncio.sleep(0.001)
        assert discarded == streams[:1]  # not on the connection on which the worker has answered

    asyncio.run(main())


def test_unsent_bytes_in_the_kernel_are_dropped_with_a_reset():
    async def main():
        end = asyncio.get_running_loop().create_future()

        async def accept(reader, writer):
            try:
                end.set_result(await reader.read(1))
            except ConnectionResetError:
                end.set_result("reset")

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        _, writer = await asyncio.open_connection(*server.sockets[0].getsockname())
        Machine().discard_unsent_on_close(writer)
        writer.transport.abort()
        async with asyncio.timeout(10):
            assert await end == "reset"
        server.close()

    asyncio.run(main())


@pytest.mark.parametrize(
    "response, outcome",
    [([], Outcome.STALE), ([b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"], Outcome.RESET)],
)
def test_end_of_a_reused_connection_without_a_response_is_stale(workers, response, outcome):
    # Guards against healthy workers being left out because they close idle connections.
    async def main():
        workers.apply_listing(interface.ListKind.FULL, Listing(1, True, (listed_worker("s"),)))
        answers = []

        async def connect(worker, until, min_idle_ns=0):
            stream = GarbledStream()
            stream.parts = answers.pop()
            connection = Connection(("127.0.0.1", 7070), stream, stream)
            connection.idle_since = workers.machine.now() if answers else 0
            return connection

        workers._connect = connect
        answers[:] = [[], [b"", *response]]
        item = WorkItem(1, JOB, None, Effect.RERUNNABLE, workers.machine.now(), 1000 * MS)
        workers.start_hand_off(item, 0, 1, item.expiry, 0)
        while not workers.engine.get_calls("record_outcome"):
            await asyncio.sleep(0)
        assert workers.engine.get_calls("record_outcome")[0][4].outcome == outcome
        # A probe may be repeated without harm, so it is sent again on a new connection.
        answers[:] = [[b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nx0=1"], [b""]]
        workers.start_probe(1)
        while not workers.engine.get_calls("post"):
            await asyncio.sleep(0)
        assert workers.engine.get_calls("post")[0][1].outcome == Outcome.OK

    asyncio.run(main())


def test_connection_to_a_former_address_is_not_kept(workers):
    workers.apply_listing(interface.ListKind.FULL, Listing(1, True, (listed_worker("s"),)))
    worker, stream = workers.by_host["s"], GarbledStream()
    assert workers._keep_idle(worker, Connection(("127.0.0.1", 7070), stream, stream))
    workers.apply_listing(interface.ListKind.DELTA, Listing(2, False, (listed_worker("s", 7071),)))
    assert stream.aborted and not workers.idle_connections
    assert not workers._keep_idle(worker, Connection(("127.0.0.1", 7070), stream, stream))


def test_hand_offs_from_before_the_last_start_of_a_worker_are_ended(workers):
    async def main():
        workers.apply_listing(
            interface.ListKind.FULL, Listing(1, True, (listed_worker("s"), listed_worker("t")))
        )
        workers._run_hand_off = lambda ho: asyncio.Event().wait()  # no outcome ever arrives
        for number, worker in enumerate((1, 1, 2)):
            item = WorkItem(number, JOB, None, Effect.RERUNNABLE, workers.machine.now(), 9000 * MS)
            workers.start_hand_off(item, 0, worker, item.expiry, 0)
        workers.hand_offs[1, 0].begun_at += 2000 * MS  # sent after the last start
        last_start_ms = workers.machine.now() // MS + 1000
        workers.apply_listing(
            interface.ListKind.DELTA,
            Listing(2, False, (listed_worker("s")._replace(started_ms=last_start_ms),)),
        )
        ended = [(call[1].number, call[4].outcome) for call in workers.engine.get_calls("record_outcome")]
        assert ended == [(0, Outcome.RESET)]
        await run_loop_turns()
        assert [number for number, _ in workers.hand_offs] == [1, 2]
        workers.close()

    asyncio.run(main())


def test_connecting_to_a_discovery_that_never_accepts_times_out(monkeypatch):
    monkeypatch.setattr(discovery, "CONNECT_TIMEOUT_SECONDS", 0.05)

    async def main(address):
        async with asyncio.timeout(10):
            with pytest.raises(ConnectionError):
                await discovery.DiscoveryConnection(address, Machine()).call(None, 3600)

    with open_unaccepting_address() as address:
        asyncio.run(main(address))


def test_whole_list_is_requested_after_a_restart_of_discovery(workers):
    async def main():
        server = await toy.Discovery([]).start()
        workers.version = 41
        driver = discovery.Discovery(workers.engine, workers, server.address, workers.counters, Random(1))
        driver.subscribe(True)
        async with asyncio.timeout(10):
            while len(server.calls) < 3:
                await asyncio.sleep(0.01)
        assert [call.get("index") for call in server.calls[:3]] == [41, None, 1]
        driver.close()
        server.abort_all()

    asyncio.run(main())


# ---- the list of workers


def listed_worker(name, port=7070, standing=interface.Standing.READY, area="a"):
    return ListedWorker(name, ("127.0.0.1", port), area, "std", 0, standing, 1.0, 3)


@pytest.fixture
def workers():
    return Workers(CallRecorder(), NAMES, TERMS, ResourceBudget(46, 192), Machine(), FaultCounters())


def test_worker_keeps_its_number_when_its_address_changes(workers):
    first = workers.apply_listing(
        interface.ListKind.FULL, Listing(1, True, (listed_worker("s"), listed_worker("t")))
    )
    again = workers.apply_listing(interface.ListKind.DELTA, Listing(2, False, (listed_worker("s", 7071),)))
    assert [e.worker for e in first.entries] == [1, 2] and again.entries == first.entries[:1]
    assert workers.by_host["s"].address == ("127.0.0.1", 7071)
    assert first.entries[0].started_at == 3 * MS


def test_remembered_list_makes_no_known_worker_ready(workers):
    def get_standings(event):
        return [(entry.worker, entry.standing) for entry in event.entries]

    workers.apply_listing(
        interface.ListKind.FULL,
        Listing(5, True, (listed_worker("s"), listed_worker("t", standing=interface.Standing.DRAINING))),
    )
    remembered = (
        listed_worker("s", standing=interface.Standing.DRAINING),
        listed_worker("t"),
        listed_worker("u"),
    )
    # An older list only adds the worker that is not known yet.
    assert get_standings(workers.apply_remembered(Listing(4, True, remembered))) == [
        (3, interface.Standing.READY)
    ]
    assert get_standings(workers.apply_remembered(Listing(6, True, remembered))) == [
        (1, interface.Standing.DRAINING)
    ]
    assert workers.apply_remembered(Listing(6, True, remembered)) is None and workers.version == 5


def test_workers_gone_for_long_are_removed(workers):
    workers.apply_listing(interface.ListKind.FULL, Listing(1, True, (listed_worker("s"), listed_worker("t"))))
    workers.apply_listing(interface.ListKind.FULL, Listing(2, True, (listed_worker("t"),)))
    workers.apply_listing(interface.ListKind.FULL, Listing(3, True, (listed_worker("t"),)))
    assert not workers.engine.calls and len(workers.by_host) == 2
    workers.by_host["s"].left_at -= 3600 * interface.SECOND
    event = workers.apply_listing(
        interface.ListKind.FULL, Listing(4, True, (listed_worker("t"), listed_worker("s")))
    )
    assert workers.engine.calls == [("post", interface.WorkerRemoval(1))]
    assert [entry.worker for entry in event.entries] == [2, 3]


def test_workers_missing_from_a_whole_list_are_gone(workers):
    workers.apply_listing(interface.ListKind.FULL, Listing(1, True, (listed_worker("s"), listed_worker("t"))))
    workers.apply_listing(
        interface.ListKind.FULL,
        Listing(2, True, (listed_worker("t"), listed_worker("u", area="of tomorrow"))),
    )
    assert [entry.worker for entry in workers.make_listed_event().entries] == [2, 3]
    assert workers.by_host["s"].entry.standing == interface.Standing.GONE


def test_request_has_one_time_limit_however_it_arrives(run_engine):
    async def scene(engine, modules):
        client = Client(Listener(engine, ResourceBudget(40, 192), engine.counters), None, None)
        assert 0 < client._get_read_timeout() <= MAX_REQUEST_SECONDS  # the first request has to arrive soon
        client.job_count = 1
        assert client._get_read_timeout() == MAX_IDLE_SECONDS
        client.protocol.feed_data(b"POST /render")
        client.request_began_at = engine.machine.now() - int(0.9 * MAX_REQUEST_SECONDS * interface.SECOND)
        assert 0 < client._get_read_timeout() < 0.2 * MAX_REQUEST_SECONDS
        client.request_began_at -= int(MAX_REQUEST_SECONDS * interface.SECOND)
        assert client._get_read_timeout() == 0

    run_engine(scene, {})


def test_order_in_which_clients_are_evicted(run_engine):
    async def scene(engine, modules):
        listener = Listener(engine, ResourceBudget(40, 192), engine.counters)
        names = "resting", "once", "stranger", "busy", "answered", "just now"
        clients = {name: Client(listener, CountingReader(engine.loop), GarbledStream()) for name in names}
        engine.machine.is_quiet = lambda writer: True  # nothing has arrived that is not read
        for name, client in clients.items():
            listener.clients[client] = None
            client.job_count = {"stranger": 0, "once": 1}.get(name, 2)
            client.set_read_timeout = lambda seconds, client=client: client.writer.abort()
        clients["busy"].protocol.has_unanswered_request = True
        clients["answered"].ended = True
        for client in clients.values():
            client._update_idle_state()
            client.writer.aborted = False
        clients["resting"].idle_since -= int(MIN_IDLE_SECONDS * interface.SECOND)
        evicted = []
        while listener._make_room():
            evicted += [name for name in names if clients[name].writer.aborted and name not in evicted]
        assert evicted == ["answered", "stranger", "once", "resting"]

    run_engine(scene, {})


# Guards against connections beyond the budget: a client that waits for memory keeps its place for a while
# after it was told to go, and each new connection told another one.
def test_no_more_places_are_given_away_than_there_are_for_clients_that_go(run_engine):
    async def scene(engine, modules):
        listener = Listener(engine, ResourceBudget(256, 192), engine.counters)

        def add_waiting_client():
            client = Client(listener, CountingReader(engine.loop), GarbledStream())
            listener.clients[client] = listener.waiting_clients[client] = None

        for _ in range(listener.budget.clients):
            add_waiting_client()
        connections = 100
        while connections and listener._make_room():
            add_waiting_client()
            connections -= 1
        assert len(listener.clients) == listener.budget.clients + listener.budget.refusals

    run_engine(scene, {})


# Guards against a budget that gives out more than the memory holds where the limit is small.
@pytest.mark.parametrize("workers", [0, 36, 300])
@pytest.mark.parametrize("sockets", [40, 256, 384, 1024, 65536])
@pytest.mark.parametrize("memory_mb", [32, 33, 48, 64, 80, 192, 2048])
def test_clients_get_a_third_of_the_descriptors_and_all_that_they_may_hold_fits_into_memory(
    sockets, memory_mb, workers
):
    budget = ResourceBudget(sockets, memory_mb, workers)
    for_clients = budget.clients + 3 * budget.accepts_per_turn + budget.refusals
    assert 4 <= for_clients <= sockets / 3 and budget.clients >= for_clients / 2
    large_buffers = budget.large_requests + budget.large_answers
    held = (for_clients + budget.workers) * CONNECTION_BYTES + large_buffers * LARGE_BUFFER_BYTES
    assert held + workers * WORKER_BYTES <= (memory_mb - BASE_MEMORY_MB) * 2**20


def test_first_event_of_a_kind_since_the_last_summary_is_told_apart():
    counters = FaultCounters()
    assert [counters.count("reset") for _ in range(3)] == [True, False, False]
    counters.log_summary()
    assert counters.count("reset") and counters.counts["reset"] == 4
