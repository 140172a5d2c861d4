"""Runs a script on real loopback sockets. All processes of such a run together are called the rig: one for
each dispatcher, a proxy for the traffic between dispatchers (`fault_proxy.py`), and several for the
stand-ins, the test doubles of workers, clients and discovery (`standin_process.py`).

Nothing outlives the rig, not even when it is killed: configurations and logs of dispatchers are files in
memory without a name, and the system kills every process of the rig with its parent."""

import asyncio
import contextlib
import json
import os
import pickle
import re
import resource
import signal
import socket
import sqlite3
import subprocess
import tempfile
import time
from datetime import datetime

from heronwinch.interface import SECOND
from heronwinch.rehearsal import runner as runners
from heronwinch.rehearsal import script as scripts
from heronwinch.rehearsal.clock_shim import WallClockFile
from heronwinch.rehearsal.fault_proxy import get_advertised_address, get_member_address
from heronwinch.rehearsal.recording import FAULT_EVENTS
from heronwinch.rehearsal.runner import FINAL_STOP_NS, ScriptRunner
from heronwinch.rehearsal.spawner import DispatcherSpawner, spawn_module
from heronwinch.rehearsal.standin_process import (
    DISCOVERY,
    WORKERS,
    RigAddresses,
    StandInEnvironment,
    StandInShare,
    assign_standins,
)
from heronwinch.rehearsal.views import VIEW_LOG_EVENTS

# Each rig takes subnets of 127/8 by its process id: rigs that ran at once took each other's ports before.
SUBNET_COUNT = 50
# The address at which dispatchers listen for clients, and discovery for dispatchers.
HOST = f"127.{101 + os.getpid() % SUBNET_COUNT}.0.{1 + os.getpid() // SUBNET_COUNT % 250}"
ANY_HOST = "0.0.0.0"
# Second octet of the addresses at which dispatchers reach workers.
WORKER_SUBNET = 101 + SUBNET_COUNT + os.getpid() % SUBNET_COUNT
# Second octet of the addresses of dispatchers towards each other; the next one is that of the proxy.
DISPATCHER_SUBNET = 1 + 2 * (os.getpid() % SUBNET_COUNT)
MAX_LOG_BYTES = 4_000_000  # read of a dispatcher's log
STAND_IN_LOAD_NS = SECOND  # time for the processes of stand-ins to start in
STANDARD_DESCRIPTORS = 3  # standard input, output and error
RESULT_TIMEOUT_SECONDS = 60  # for the processes of stand-ins to hand over their observations
LOGFMT_PAIR = re.compile(
    r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)'
)  # one field of a log line in structlog's logfmt
# Texts that mark a log line as a fault; the last one begins the line on why a dispatcher could not start.
FAULT_MARKERS = (*FAULT_EVENTS, "Traceback", "heronwinch: ")


class PortReservations:
    """Free ports, each kept by a bound socket that does not listen until the rig ends.

    Without this, another rig could bind a port on all addresses while its dispatcher is down, and the
    dispatcher could not restart."""

    def __init__(self):
        self.sockets = []

    def reserve(self, host=HOST):
        """Binds a free port and returns it."""
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        self.sockets.append(sock)
        return sock.getsockname()[1]

    def close(self):
        for sock in self.sockets:
            sock.close()
        self.sockets.clear()


class MemoryFile:
    """A file in memory without a name; other processes open it by this process's descriptor."""

    def __init__(self, name):
        self.descriptor = os.memfd_create(name, 0)

    def path(self):
        return f"/proc/self/fd/{self.descriptor}"

    def write(self, data):
        os.ftruncate(self.descriptor, 0)
        os.pwrite(self.descriptor, data, 0)

    def read(self, max_bytes):
        return os.pread(self.descriptor, max_bytes, 0)

    def close(self):
        os.close(self.descriptor)


def allocate_addresses(script, ports):
    """Reserves the addresses of all processes of a script."""
    discovery_address_count = 1 + sum(trouble.what == "list-move" for trouble in script.troubles)
    names = scripts.list_dispatcher_names(script)
    return RigAddresses(
        HOST,
        WORKER_SUBNET,
        {name: ports.reserve(ANY_HOST) for name in scripts.list_worker_names(script)},
        {name: (HOST, ports.reserve()) for name in names},
        {(name, move): (HOST, ports.reserve()) for name in names for move in range(discovery_address_count)},
    )


class StandInProcess:
    """The rig's handle of a process of stand-ins."""

    def __init__(self, share):
        self.share = share
        self.process = spawn_module("standin_process", stdin=subprocess.PIPE, stdout=subprocess.PIPE)
        self.reader = None

    async def start(self, *parameters):
        """Sends the script, the seed, the addresses and the share, and waits until they are loaded."""
        self.reader = asyncio.StreamReader()
        await asyncio.get_running_loop().connect_read_pipe(
            lambda: asyncio.StreamReaderProtocol(self.reader), self.process.stdout
        )
        self.process.stdin.write(pickle.dumps((*parameters, self.share)))
        self.process.stdin.flush()
        await self.expect_message("loaded")

    def send_message(self, what, value=None):
        with contextlib.suppress(BrokenPipeError):  # `read_message` reports that the process has ended
            self.process.stdin.write(json.dumps({what: value}).encode() + b"\n")
            self.process.stdin.flush()

    async def read_message(self):
        """Returns the process's next message as (what, value); raises OSError if it has ended."""
        line = await self.reader.readline()
        if not line:
            raise OSError(
                f"a process of stand-ins ended before the run ({self.share.kind} {self.share.index})"
            )
        ((what, value),) = json.loads(line).items()
        return what, value

    async def expect_message(self, wanted):
        """Returns the value of the next message, which has to be `wanted`; else raises OSError."""
        what, value = await self.read_message()
        if what != wanted:
            raise OSError(f"a process of stand-ins sent {what}, but {wanted} was due")
        return value

    async def read_observations(self, byte_count):
        return pickle.loads(await self.reader.readexactly(byte_count))

    def end(self):
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()


class LoopbackEnvironment(StandInEnvironment):
    """The environment of the rig's main process, which starts all other processes: dispatchers, the proxy
    between them and the stand-ins."""

    def __init__(self, script, seed):
        self.ports = PortReservations()
        super().__init__(script, seed, allocate_addresses(script, self.ports), ())
        self.configs, self.logs = {}, {}  # dispatcher -> MemoryFile
        self.wall_clocks = {}  # dispatcher -> WallClockFile
        self.spawner = DispatcherSpawner()
        self.processes = {}
        self.resource_usage = []  # (CPU seconds, bytes) of each dispatcher before the final stop
        self.standin_processes = [StandInProcess(share) for share in assign_standins(script)]
        self.results = []  # (StandInShare, its results) of each process that has finished
        self.closed = False
        self.store_folder = self.folder_remover = None  # the folder of all stores, and what removes it
        self.proxy, self.command_count, self.proxy_counts = None, 0, None
        if script.dispatchers.view:
            self.member_port = self.ports.reserve(get_member_address(0, DISPATCHER_SUBNET))
            self._start_proxy()

    # ---- processes of stand-ins

    async def start_standins(self, runner, traffic_begins_at):
        """Starts all processes of stand-ins and waits until they listen."""
        await asyncio.gather(
            *(standin.start(self.script, self.seed, self.addresses) for standin in self.standin_processes)
        )
        for standin in self.standin_processes:
            standin.send_message("begin", traffic_begins_at)
        await asyncio.gather(*(standin.expect_message("up") for standin in self.standin_processes))
        for standin in self.standin_processes:
            self._spawn_task(self._receive_messages(standin, runner))

    async def _receive_messages(self, standin, runner):
        """Handles the messages of one process of stand-ins until it has handed over its observations."""
        while True:
            what, value = await standin.read_message()
            if what == "ledgers":
                self.results.append((standin.share, await standin.read_observations(value)))
                return
            runner.mark_worker_collapsed(value)
            for other in self.standin_processes:
                if other is not standin:
                    other.send_message(what, value)

    async def collect_observations(self):
        """Has all processes of stand-ins hand over their observations."""
        for standin in self.standin_processes:
            standin.send_message("finish")
        deadline = time.monotonic() + RESULT_TIMEOUT_SECONDS
        while (
            len(self.results) < len(self.standin_processes)
            and time.monotonic() < deadline
            and not self.faults
        ):
            await asyncio.sleep(0.02)
        if len(self.results) < len(self.standin_processes):
            self.faults.append(("emulator", "not all stand-ins handed over their observations"))

    def add_observations_to(self, observations):
        """Adds what the processes of stand-ins observed to the observations of the rig."""
        for share, report in sorted(self.results, key=lambda pair: (pair[0].kind, pair[0].index)):
            for name in ("asks", "wants", "rude", "runs", "fallen", "forged", "faults"):
                getattr(observations, name).extend(report[name])
            observations.load_counters.add(report["meter"])
            if share.kind == DISCOVERY:
                observations.removals = report["told"]
                # The list in a new configuration is told by the rig itself.
                for key, notices in report["start_notices"].items():
                    own_notices = observations.start_notices.setdefault(key, {})
                    own_notices |= notices | own_notices
            observations.disturbances += report["stalls"]

    # ---- dispatchers

    def start_dispatcher(self, name, build_config):
        if name not in self.configs:
            self.configs[name], self.logs[name] = MemoryFile(f"{name}.json"), MemoryFile(f"{name}.log")
            self.wall_clocks[name] = WallClockFile(f"{name}.clock")
        config = self.configs[name]
        config.write(json.dumps(build_config()).encode())
        log = os.open(self.logs[name].path(), os.O_WRONLY | os.O_APPEND)
        self.processes[name] = self.spawner.start(config.descriptor, log, self.wall_clocks[name].descriptor)
        os.close(log)

    def kill_dispatcher(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def signal_dispatcher(self, name, number, build_config=None):
        """Sends a signal, after writing a new configuration where one is given."""
        if build_config is not None:
            self.configs[name].write(json.dumps(build_config()).encode())
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def has_dispatcher_ended(self, name):
        return self.processes[name].poll() is not None

    def set_suspended(self, name, suspended):
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(signal.SIGSTOP if suspended else signal.SIGCONT)

    def step_wall_clock(self, name, step_ns):
        self.wall_clocks[name].step(step_ns)

    def get_store_path(self, name):
        if self.store_folder is None:
            # A process that outlives the rig removes the folder, however the rig ends.
            self.store_folder = tempfile.mkdtemp(prefix="heronwinch-rig-")
            self.folder_remover = spawn_module(
                "folder_remover", self.store_folder, ends_with_rig=False, stdin=subprocess.PIPE
            )
        return os.path.join(self.store_folder, name)

    def damage_store(self, name, damage, random, clock_error_ns):
        from heronwinch.rehearsal.store_damage import damage_disk_store

        damage_disk_store(self.get_store_path(name), damage, random, clock_error_ns)

    def block_store_writes(self, name):
        """Locks the store by another connection, so that writes fail. Returns a function that ends this."""
        other = sqlite3.connect(self.get_store_path(name), isolation_level=None)
        other.execute("begin immediate")
        return other.close

    def exhaust_descriptors(self, name):
        """Leaves the dispatcher no descriptors for new sockets. Returns a function that ends this."""
        process = self.processes[name]
        old_limit = process.set_soft_limit(resource.RLIMIT_NOFILE, STANDARD_DESCRIPTORS)

        def end():
            if old_limit is not None:
                process.set_soft_limit(resource.RLIMIT_NOFILE, old_limit)

        return end

    # ---- between dispatchers

    def get_fleet_address(self, name):
        """Returns the address at which the dispatcher listens and the one that other dispatchers are told."""
        n = int(name[1:])
        return (
            f"{get_member_address(n, DISPATCHER_SUBNET)}:{self.member_port}",
            f"{get_advertised_address(n, DISPATCHER_SUBNET)}:{self.proxy_port}",
        )

    def _start_proxy(self):
        # Listens on all of 127/8: the destination address tells which member is meant.
        stream, datagrams = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        while True:
            stream.bind(("0.0.0.0", 0))
            self.proxy_port = stream.getsockname()[1]
            try:
                datagrams.bind(("0.0.0.0", self.proxy_port))
                break
            except OSError:
                stream.close()
                stream = socket.socket()
        datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
        stream.listen(512)
        self.proxy = spawn_module(
            "fault_proxy",
            stream.fileno(),
            datagrams.fileno(),
            self.member_port,
            DISPATCHER_SUBNET,
            self.seed,
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            pass_fds=(stream.fileno(), datagrams.fileno()),
        )
        stream.close()
        datagrams.close()

    def _send_proxy_command(self, command, *arguments):
        self.proxy.stdin.write(json.dumps([command, *arguments]).encode() + b"\n")
        self.proxy.stdin.flush()

    def _begin_proxy_fault(self, command, *arguments):
        """Has the proxy begin a fault; returns the key with which it is ended."""
        self.command_count += 1
        self._send_proxy_command(command, self.command_count, *arguments)
        return self.command_count

    def block_dispatchers(self, senders, receivers):
        return self._begin_proxy_fault(
            "bar", *([int(name[1:]) for name in names] for names in (senders, receivers))
        )

    def add_packet_faults(self, loss, duplicates, max_delay_ns):
        return self._begin_proxy_fault("rough", loss, duplicates, max_delay_ns / SECOND)

    def unblock_dispatchers(self, key):
        self._send_proxy_command("end", key)

    remove_packet_faults = unblock_dispatchers

    # ---- lags and resource usage of the rig itself

    def has_stalled(self):
        """Whether any process of the rig had a lag of its own beyond TOLERATED_LAG_SECONDS."""
        return bool(self.excess_lags or any(report["lags"] for _, report in self.results))

    def build_report(self):
        """Builds the part of a run's report on the rig itself, for JSON."""
        counts = self.proxy_counts or {}
        cpu, memory = zip(*self.resource_usage, strict=True) if self.resource_usage else ((0,), (0,))
        lags = {"rig": (self.max_lag, self.excess_lags)}
        standins = {}
        for share, report in self.results:
            worst_lag, long_lags = lags.get(share.kind, (0.0, []))
            lags[share.kind] = max(worst_lag, report["lag"]), long_lags + report["lags"]
            count, cpu_s, max_memory = standins.get(share.kind, (0, 0.0, 0))
            standins[share.kind] = count + 1, cpu_s + report["cpu_s"], max(max_memory, report["memory"])
        return {
            "dispatchers": len(self.resource_usage),
            "cpu_s_mean": round(sum(cpu) / len(cpu), 2),
            "cpu_s_most": round(max(cpu), 2),
            "memory_mb_most": round(max(memory) / 2**20, 1),
            "lag_ms": {kind: round(worst_lag * 1000, 1) for kind, (worst_lag, _) in sorted(lags.items())},
            "stood_still": sum(len(long_lags) for _, long_lags in lags.values()),
            "stand_ins": {
                kind: {
                    "processes": count,
                    "cpu_s": round(cpu_s, 2),
                    "memory_mb_most": round(max_memory / 2**20, 1),
                }
                for kind, (count, cpu_s, max_memory) in sorted(standins.items())
            },
            "relay_lag_ms": round(counts.get("late_ms", 0.0), 1),
            **{name: counts[name] for name in ("datagrams", "lost") if name in counts},
        }

    def iterate_view_events(self):
        """Yields (time, dispatcher, event) for each log line of a dispatcher on its membership view."""
        for name, log in self.logs.items():
            for line in log.read(MAX_LOG_BYTES).decode("utf-8", "replace").splitlines():
                if not any(f"event={name}" in line for name in VIEW_LOG_EVENTS):
                    continue
                event = {key: value.strip('"') for key, value in LOGFMT_PAIR.findall(line)}
                if event.get("event") in VIEW_LOG_EVENTS and "timestamp" in event:
                    logged_at = datetime.fromisoformat(event["timestamp"]).timestamp()
                    yield round(logged_at * 1_000_000) * 1000, name, event

    # ---- shutdown

    def close(self):
        if self.closed:
            return
        self.closed = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.spawner.close()
        if self.folder_remover is not None:
            self.folder_remover.stdin.close()
            self.folder_remover.wait()
        for standin in self.standin_processes:
            standin.end()
        self.ports.close()
        if self.proxy is not None:
            output, _ = self.proxy.communicate(timeout=10)
            self.proxy_counts = json.loads(output)
        for name, log in self.logs.items():
            text = log.read(MAX_LOG_BYTES).decode("utf-8", "replace")
            self.faults += [
                (name, line[:2000])
                for line in text.splitlines()
                if any(marker in line for marker in FAULT_MARKERS)
            ]
        self.view_log_events = sorted(self.iterate_view_events(), key=lambda event: event[0])
        for memory in [*self.logs.values(), *self.configs.values(), *self.wall_clocks.values()]:
            memory.close()


def emulate_script(script, seed, progress=lambda seconds: None):
    """Runs a script on loopback in real time. Returns the runner with its observations.

    `progress` is called with the seconds that have passed."""
    return asyncio.run(_emulate_script(script, seed, progress))


async def _emulate_script(script, seed, progress):
    environment = LoopbackEnvironment(script, seed)
    try:
        runner = ScriptRunner(script, environment)
        traffic_begins_at = environment.clock.now() + STAND_IN_LOAD_NS + runners.START_UP_NS
        await environment.start_standins(runner, traffic_begins_at)
        runner.set_up(traffic_begins_at)
        environment.measure_lag()
        ends_at = traffic_begins_at + int(script.seconds) + runner.compute_tail_ns()
        while (time_left := ends_at - environment.clock.now()) > 0:
            progress(runner.compute_duration_ns() / SECOND - time_left / SECOND)
            await asyncio.sleep(min(0.5, max(0.01, time_left / SECOND)))
        environment.resource_usage = [
            usage for process in environment.processes.values() if (usage := process.read_usage())
        ]
        runner.stop_dispatchers()
        deadline = time.monotonic() + FINAL_STOP_NS / SECOND
        while time.monotonic() < deadline and not all(
            map(environment.has_dispatcher_ended, runner.dispatchers)
        ):
            await asyncio.sleep(0.05)
        await environment.collect_observations()
        observations = runner.finish()
    finally:
        environment.close()
        StandInEnvironment.close(environment)
    environment.add_observations_to(observations)
    observations.faults += environment.faults
    observations.view_events = environment.view_log_events
    runner.rig = environment
    return runner


def serve_fleet(script, seed, port, print_line):
    """Runs only the workers and discovery of a script, for a dispatcher of the user's, until interrupted.

    Discovery listens at `port` for the first dispatcher, and at the next ports for further ones."""

    async def run():
        ports = PortReservations()
        addresses = allocate_addresses(script, ports)
        for n, name in enumerate(scripts.list_dispatcher_names(script)):
            addresses.moved[name, 0] = HOST, port + n
        all_workers = StandInShare(WORKERS, names=frozenset(addresses.workers))
        environment = StandInEnvironment(script, seed, addresses, (StandInShare(DISCOVERY), all_workers))
        runner = ScriptRunner(script, environment)
        runner.start_workers()
        environment.start_discovery(runner.discovery_server, runner.dispatchers)
        await environment.wait_until_listening()
        print_line(
            f"{len(runner.workers)} workers, discovery on "
            + ", ".join("{}:{}".format(*addresses.moved[name, 0]) for name in runner.dispatchers)
        )
        runner.trouble_timeline.start(runner.now(), environment._spawn_task)
        try:
            await asyncio.Event().wait()
        finally:
            runner.stop_workers()
            environment.close()
            ports.close()

    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        print_line("stopped")
