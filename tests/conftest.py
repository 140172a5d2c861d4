"""What tests share: terms, a dispatcher with a manual clock, encoders of requests and frames, and a running
program on real or simulated sockets."""

import asyncio
import contextlib
import json
import os
import pathlib
import random
import signal
import socket
import struct
import sys

import hypothesis
import pytest
import structlog

from examples import toy
from heronwinch import interface
from heronwinch.plan import read_config
from heronwinch.policy import Dispatcher
from heronwinch.program import Program
from heronwinch.protocol.clients import AdmissionRules
from heronwinch.rehearsal.recording import capture_logs
from heronwinch.rehearsal.simulation.files import Files
from heronwinch.rehearsal.simulation.guard import forbid_unseeded_sources
from heronwinch.rehearsal.simulation.kernel import Kernel
from heronwinch.rehearsal.simulation.network import Network
from heronwinch.rehearsal.simulation.process import Process, SimulatedMachine

# The same examples in every run, and no failure because an example is slow.
hypothesis.settings.register_profile("same", derandomize=True, deadline=None, database=None, max_examples=200)
hypothesis.settings.load_profile("same")

pytest_plugins = ["in_process"]  # the fixture run_in_process

MS = 1_000_000
# Below the ports that the simulated network allocates; a free port of this machine may be one of them.
PROGRAM_PORTS = range(10_000, 32_000)
SIMULATED_ADDRESSES = ("127.0.0.1", 7070), ("127.0.0.1", 7071)
ROOT = pathlib.Path(__file__).parent.parent
# A test fails if the program logs one of these.
FAULT_EVENTS = (
    "module_fault",
    "action_fault",
    "client_fault",
    "hand_off_fault",
    "stray_fault",
    "overdue",
    "invariant_broken",
    "Traceback",
)

CATEGORY = interface.Category(
    effect=interface.Effect.RERUNNABLE,
    group=interface.Group.ALL,
    window=5000 * MS,
    due_time=300 * MS,
    stretch=1.25,
    expiry=5000 * MS,
    credit=1.0,
    late_credit=0.0,
    kind=-1,
    priority=0,
)

TERMS = interface.Terms(
    own_number=0,
    dispatchers=1,
    area=0,
    tick=2 * MS,
    categories=(CATEGORY,),
    accounts=(),
    excess_credit=1.0,
    pushed_list=True,
    discovery_poll_interval=10_000 * MS,
    drain_grace=500 * MS,
    answer_slack=8 * MS,
    cold_share=0.12,
    warm_up=24_000 * MS,
    push_multiple=4.0,
    push_window=2000 * MS,
    most_hand_offs=4,
    parallel_tries=False,
    may_cancel=True,
    may_probe=False,
    may_advise_come_back=True,
    max_come_back=2000 * MS,
    connect_timeout=250 * MS,
    connection_idle_timeout=30_000 * MS,
    progress_interval=1000 * MS,
    tells_start=False,
    queue_order="fifo",
    reports=True,
    live_weights=False,
    area_price=0.0,
    waste_price=0.0,
    late_price=0.0,
    probe_price=0.0,
    connection_price=0.0,
    listing_price=0.0,
)


def make_entry(worker, area=0, kind=0, pod=0, standing=interface.Standing.READY, started_at=0):
    return interface.Entry(worker, area, kind, pod, standing, 1.0, started_at)


TWO_WORKERS = (make_entry(1), make_entry(2))
ADMISSION_RULES = AdmissionRules({"render": False, "book": True, "charge": False}, {b"open"})


class Driver:
    """A dispatcher with a manual clock; records every action."""

    def __init__(self, terms=TERMS, seed=1, workers=TWO_WORKERS, start=1_000_000 * MS):
        self.now = start
        self.dispatcher = Dispatcher(terms, seed)
        self.terms = terms
        self.recorded_actions = []
        self.timers = []
        self.handle_events(interface.Listed(interface.ListKind.CACHED, 1, tuple(workers)))

    def handle_events(self, *events, after=0):
        """Advances the clock by `after` milliseconds, firing the timers due until then; handles the events.

        Returns the actions on them, without SetTimer and CancelTimer.
        """
        end = self.now + int(after * MS)
        while self.timers and min(self.timers)[0] <= end:
            self.timers.sort()
            self.now, token = self.timers.pop(0)
            self._handle([interface.Rang(token)])
        self.now = end
        return self._handle(events)

    def _handle(self, events):
        actions = self.dispatcher.handle(self.now, list(events))
        self.timers += [
            (self.now + action.after, action.token)
            for action in actions
            if type(action) is interface.SetTimer
        ]
        cancelled = {action.token for action in actions if type(action) is interface.CancelTimer}
        self.timers = [timer for timer in self.timers if timer[1] not in cancelled]
        self.recorded_actions += actions
        return [
            action for action in actions if type(action) not in (interface.SetTimer, interface.CancelTimer)
        ]

    def arrive(self, wi, category=0, after=0, time_left_ms=None, slots=1.0, account=0):
        time_left = self.terms.categories[category].expiry if time_left_ms is None else time_left_ms * MS
        return self.handle_events(
            interface.Arrived(wi, category, account, 0, time_left, 0, slots, 0.0, False, False), after=after
        )

    def answer(self, wi, ho, worker, outcome=interface.Outcome.OK, after=0, elapsed=100, report=None):
        ended = outcome == interface.Outcome.OK
        return self.handle_events(
            interface.Answered(wi, ho, worker, outcome, elapsed * MS, ended, 0, report), after=after
        )

    def set_mean_run_time(self, running_ms, category=0):
        """Sets the mean running time of a category, and of all, without samples of the likely one."""
        mean = running_ms * MS
        self.dispatcher.mean_run_time = mean
        self.dispatcher.category_states[category].run_times.mean = mean

    def list_final_answers(self, wi):
        """Lists the type names of the final answers given to a work item."""
        return [
            type(action).__name__
            for action in self.recorded_actions
            if type(action) in (interface.Defer, interface.WriteOff) and action.wi == wi
        ]

    def list_tried_workers(self, wi):
        """Lists the workers that a work item was handed to, in order."""
        return [
            action.worker
            for action in self.recorded_actions
            if type(action) is interface.HandOff and action.wi == wi
        ]


@pytest.fixture
def make_driver():
    """Returns a function that makes a Driver. `terms` replace fields of TERMS, `category` fields of
    CATEGORY."""

    def make(effect=None, group=None, workers=TWO_WORKERS, seed=1, category=None, **terms):
        new_category = CATEGORY._replace(**(category or {}))
        if effect is not None:
            new_category = new_category._replace(effect=effect)
        if group is not None:
            new_category = new_category._replace(group=group)
        return Driver(TERMS._replace(**{"categories": (new_category,), **terms}), seed, workers)

    return make


def encode_record(code, fields=b""):
    """Encodes a record of the bench's protocol."""
    return struct.pack("<HI", code, len(fields)) + fields


def encode_frame(*records, now=7):
    """Encodes a frame of the bench's protocol."""
    body = b"".join(records)
    return struct.pack("<IIQ", 16 + len(body), len(records), now) + body


# ---- real sockets


class ProgramHarness:
    """A running program with toy workers, a toy discovery and clients, all on free ports of loopback."""

    def __init__(self, folder, settings, workers, sockets, reports="answers"):
        self.folder, self.settings, self.sockets = folder, settings, sockets
        self.workers = [toy.Worker(f"w{i}", job_seconds=0.02) for i in range(workers)]
        for worker in self.workers:
            worker.reports = reports
        self.discovery = toy.Discovery(self.workers)
        self.process = None
        self.address = None
        self.job_count = 0

    async def __aenter__(self):
        for server in [*self.workers, self.discovery]:
            await server.start()
        self.address, self.mgmt = self.choose_addresses()
        await self.start()
        return self

    def choose_addresses(self):
        """Returns two different addresses, for clients and for operators."""
        return find_free_addresses(2)

    def build_config(self, changes):
        """Builds the example configuration with this harness's addresses and settings, then `changes`."""
        tree = json.loads((ROOT / "examples" / "config.json").read_text())
        tree |= {
            "listen": "{}:{}".format(*self.address),
            "mgmt": "{}:{}".format(*self.mgmt),
            "discovery": self.discovery.dial,
            "limits": {**tree["limits"], "sockets": self.sockets},
            "known": {"seq": 1, "whole": True, "hosts": [w.build_list_entry() for w in self.workers]},
            **changes,
        }
        for path, value in self.settings.items():
            *parents, name = path.split(".")
            node = tree["settings"]
            for parent in parents:
                node = node[parent]
            node[name] = value
        return tree

    def write_config(self, **changes):
        path = self.folder / "config.json"
        path.write_text(json.dumps(self.build_config(changes)))
        return path

    async def start(self, **changes):
        """Starts the program and waits until it is ready."""
        self.process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "heronwinch",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            env={
                "RELAY_CONFIG": str(self.write_config(**changes)),
                "PATH": os.environ["PATH"],
                "RELAY_DISCOVERY": self.discovery.dial,
            },
        )
        await self.wait_until_ready()

    async def wait_until_ready(self):
        async with asyncio.timeout(20):
            while (await self.send_get("/-/ready"))[0] != 200:
                await asyncio.sleep(0.02)

    async def reload(self, discovery):
        """Reloads the program with another discovery; returns once the program watches it."""
        calls = len(discovery.calls)
        self.write_config(discovery=discovery.dial)
        self.process.send_signal(signal.SIGHUP)
        while len(discovery.calls) < calls + 2:
            await asyncio.sleep(0.01)

    def count_descriptors(self):
        """Counts the open file descriptors of the program."""
        return len(os.listdir(f"/proc/{self.process.pid}/fd"))

    async def send_get(self, path):
        """Returns the status and body of the response, or (0, b"") if the connection failed."""
        try:
            return await self.exchange(
                f"GET {path} HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n".encode()
            )
        except OSError:
            return 0, b""

    async def call_operator(self, *pieces, ends=False):
        """Sends these bytes to the operators' socket and returns the reply."""
        reader, writer = await asyncio.open_connection(*self.mgmt)
        try:
            for piece in pieces:
                writer.write(piece)
                await asyncio.sleep(0.01)
            if ends:
                writer.write_eof()
            async with asyncio.timeout(20):
                return (await reader.read()).decode()
        finally:
            writer.close()

    async def exchange(self, data):
        """Sends these bytes on a new connection; returns the status and body of the response."""
        reader, writer = await asyncio.open_connection(*self.address)
        try:
            writer.write(data)
            async with asyncio.timeout(20):
                return split_answer(await reader.read())
        finally:
            writer.close()

    async def send_job(self, path="/render/1?sid=7", body=b"hi", **headers):
        """Sends a job on a new connection; returns the status and body of the answer."""
        self.job_count += 1  # every request needs a new id
        return await self.exchange(
            encode_job(path, body, close=True, **{"id": f"ask{self.job_count}", **headers})
        )

    async def stop(self):
        """Stops the program with SIGTERM; returns its exit status and its log."""
        if self.process.returncode is None:
            self.process.terminate()
        async with asyncio.timeout(20):
            _, errors = await self.process.communicate()
        return self.process.returncode, errors.decode()

    async def __aexit__(self, *_):
        if self.process.returncode is None:
            self.process.kill()
            await self.process.communicate()
        for server in [*self.workers, self.discovery]:
            server.abort_all()


class SimulatedConfigPath:
    """The path of a simulated program's configuration, as far as tests use a path."""

    def __init__(self, files):
        self.files = files

    def write_text(self, text):
        self.files.install("config.json", text.encode())


class SimulatedProgram:
    """A simulated program, with the methods of asyncio.subprocess.Process that tests use."""

    def __init__(self, harness):
        self.harness = harness
        self.process = Process(harness.kernel, harness.network, "program", "127.0.0.1", harness.sockets + 20)
        self.process.files = harness.files
        self.process.exit_callbacks.append(self._ended)
        self.returncode = None
        self.process.start(self._main)

    async def _main(self):
        environ = {"RELAY_CONFIG": "config.json", "RELAY_DISCOVERY": self.harness.discovery.dial}

        def read(is_reload=False):
            return read_config(environ, is_reload, self.harness.files.read_text)

        await Program(read(), SimulatedMachine(self.process), Dispatcher, lambda: read(True)).run()

    def _ended(self):
        faults = [fault for fault in self.process.faults if fault.get("exception")]
        self.harness.logged += [repr(fault) for fault in faults]
        self.returncode = 1 if faults else 0

    def terminate(self):
        self.send_signal(signal.SIGTERM)

    def send_signal(self, signal_number):
        self.process.deliver_signal(signal_number)

    def kill(self):
        self.process.kill()


class SimulatedProgramHarness(ProgramHarness):
    """A ProgramHarness in virtual time: waiting takes no real time, and runs are reproducible."""

    def __init__(self, settings, workers, sockets):
        super().__init__(None, settings, workers, sockets)
        self.kernel = Kernel(1)
        self.network = Network(self.kernel)
        self.files = Files()
        self.logged = []

    def choose_addresses(self):
        return SIMULATED_ADDRESSES

    def write_config(self, **changes):
        path = SimulatedConfigPath(self.files)
        path.write_text(json.dumps(self.build_config(changes)))
        return path

    async def start(self, **changes):
        self.write_config(**changes)
        self.process = SimulatedProgram(self)
        while (await self.send_get("/-/ready"))[0] != 200:
            await asyncio.sleep(0.02)

    async def stop(self):
        if self.process.returncode is None:
            self.process.terminate()
        async with asyncio.timeout(20):
            while self.process.returncode is None:
                await asyncio.sleep(0.01)
        return self.process.returncode, "\n".join(self.logged)

    async def __aexit__(self, *_):
        self.process.kill()
        for server in [*self.workers, self.discovery]:
            server.abort_all()

    def speaker(self):
        return self.kernel.now, ""

    def take_log(self, process, when, level, event):
        self.logged.append(f"level={level} " + " ".join(f"{name}={value}" for name, value in event.items()))

    def run_scenario(self, scenario):
        done = []

        async def main():
            async with self:
                async with asyncio.timeout(30):  # no scenario takes so long unless it hangs
                    await scenario(self)
                status, logged = await self.stop()
                assert status == 0, logged
                assert not [word for word in FAULT_EVENTS if word in logged], logged
            done.append(True)

        process = Process(self.kernel, self.network, "scenario", "127.0.0.1")
        capture_logs(self.take_log, self.speaker)
        try:
            with forbid_unseeded_sources():
                process.start(main)
                self.kernel.run_until(120 * interface.SECOND)
        finally:
            structlog.reset_defaults()
        for fault in process.faults:
            if fault.get("exception") is not None:
                raise fault["exception"]
        assert done, ("the scenario did not come to its end", self.logged, self.process.process.faults)


def find_free_address():
    (address,) = find_free_addresses(1)
    return address


def find_free_addresses(count):
    """Finds so many different addresses that nobody uses, below the ports that the kernel gives to clients: a
    crowd of another test could take one of those before it is used."""
    generator = random.SystemRandom()
    addresses = []
    with contextlib.ExitStack() as stack:
        while len(addresses) < count:
            probe = stack.enter_context(socket.socket())
            with contextlib.suppress(OSError):  # the port is in use
                probe.bind(("127.0.0.1", generator.choice(PROGRAM_PORTS)))
                addresses.append(probe.getsockname())
    return addresses


@contextlib.contextmanager
def open_unaccepting_address(address=("127.0.0.1", 0)):
    """Yields an address whose listen queue is full: new connections are neither accepted nor refused, as if
    the machine were cut off."""
    with contextlib.ExitStack() as sockets:
        server = sockets.enter_context(socket.socket())
        server.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        server.bind(address)
        server.listen(0)
        for _ in range(3):
            client = sockets.enter_context(socket.socket())
            client.setblocking(False)
            client.connect_ex(server.getsockname())
        yield server.getsockname()


def encode_job(path="/render/1?sid=7", body=b"hi", id="ab12", close=False, deadline="5.0", **headers):
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: backend.local",
        f"Req-Id: {id}",
        f"Req-Deadline: {deadline}",
        f"Content-Length: {len(body)}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in headers.items()),
    ]
    return "\r\n".join([*lines, *(["Connection: close"] if close else []), "", ""]).encode() + body


def split_answer(data):
    if not data:
        return 0, b""
    head, _, body = data.partition(b"\r\n\r\n")
    return int(head.split()[1]), body


@pytest.fixture
def run_simulated():
    """Runs a scenario, a coroutine function of a ProgramHarness, in virtual time; the program must then stop
    with status 0 and no logged fault."""

    def run_scenario(scenario, workers=2, sockets=1024, **settings):
        SimulatedProgramHarness(settings, workers, sockets).run_scenario(scenario)

    return run_scenario


@pytest.fixture
def run_on_sockets(tmp_path):
    """Does the same on real sockets, for behaviour that depends on the operating system."""

    def run_scenario(scenario, workers=2, sockets=1024, reports="answers", **settings):
        async def run():
            async with ProgramHarness(tmp_path, settings, workers, sockets, reports) as harness:
                async with asyncio.timeout(30):  # no scenario takes so long unless it hangs
                    await scenario(harness)
                status, logged = await harness.stop()
                assert status == 0, logged
                assert not [word for word in FAULT_EVENTS if word in logged], logged

        asyncio.run(run())

    return run_scenario


# ---- hand-over to another process


class SocketHolder:
    """Stands for the platform: holds the clients' listening socket and starts processes that inherit it."""

    def __init__(self, harness, folder):
        self.harness, self.folder = harness, folder
        self.sock = socket.socket()
        self.sock.bind(("127.0.0.1", 0))
        self.sock.listen(128)
        harness.address = self.sock.getsockname()
        self.processes = []

    async def start(self, descriptor=None, **variables):
        mgmt, descriptor_number = find_free_address(), self.sock.fileno()
        process = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "heronwinch",
            cwd=ROOT,
            stderr=asyncio.subprocess.PIPE,
            pass_fds=(descriptor_number,),
            env={
                "RELAY_CONFIG": str(self.harness.write_config()),
                "PATH": os.environ["PATH"],
                "RELAY_MGMT": "{}:{}".format(*mgmt),
                "RELAY_LISTEN_FD": descriptor or str(descriptor_number),
                "TMPDIR": str(self.folder),
                **variables,
            },
        )
        self.processes.append(process)
        return process, mgmt

    async def wait_until_ready(self, mgmt):
        self.harness.mgmt = mgmt
        async with asyncio.timeout(20):
            while True:
                with contextlib.suppress(OSError):
                    if (await self.harness.call_operator(b"readyz\n")).startswith("+OK"):
                        return
                await asyncio.sleep(0.02)


@pytest.fixture
def run_handover(run_on_sockets, tmp_path):
    """Runs a scenario, a coroutine function of a ProgramHarness and a SocketHolder, on real sockets."""

    def run_scenario(scenario, **settings):
        async def run(harness):
            harness.process.terminate()
            await harness.process.wait()
            platform = SocketHolder(harness, tmp_path)
            try:
                await scenario(harness, platform)
            finally:
                platform.sock.close()
                for process in platform.processes:
                    if process.returncode is None:
                        process.kill()
                        await process.communicate()

        # Long enough that a short stall of the machine doesn't make a worker count as unresponsive.
        run_on_sockets(run, **{"limits.dial_timeout_ns": 3 * 10**9, **settings})

    return run_scenario


# ---- the simulation


class Simulation:
    """Simulated machines, the network between them and the processes on them."""

    def __init__(self, seed=1, **network):
        self.kernel = Kernel(seed)
        self.network = Network(self.kernel, **network)
        self.results = {}

    def process(self, name, main=None, **options):
        """Adds a process on a machine of that name; `main` is a coroutine function of the process."""
        process = Process(self.kernel, self.network, name, name, **options)
        if main is not None:

            async def run():
                self.results[name] = await main(process)

            process.start(run)
        return process

    def run(self, seconds):
        """Runs the simulation for so many virtual seconds."""
        self.kernel.run_until(self.kernel.now + int(seconds * interface.SECOND))


@pytest.fixture
def simulation():
    return Simulation


SMALL_SCRIPT = """
format = 1
name = "small"
seconds = "6s"
[fleet]
workers = 4
slots = 2
[[categories]]
name = "quote"
running = "60ms"
expiry = "2s"
[[categories]]
name = "settle"
effect = "exclusive"
running = "60ms"
expiry = "3s"
[[traffic]]
category = "quote"
rate = 30.0
[[traffic]]
category = "settle"
rate = 15.0
"""


QUOTE_TRAFFIC = """[[categories]]
name = "quote"
running = "200ms"
expiry = "4s"
late_credit = 0.3
[[traffic]]
category = "quote"
rate = 150.0
"""


def format_trouble(what, at="1s", **options):
    """Formats a section `troubles` of a rehearsal script."""
    rows = [f"{name} = {json.dumps(value)}" for name, value in {"at": at, "what": what, **options}.items()]
    return "\n".join(["[[troubles]]", *rows, ""])
