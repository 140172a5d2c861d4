"""The same stage on real loopback sockets: stand-ins in one process, each dispatcher a process of its own,
and one between them that relays what they say to each other.

Nothing outlives the rig, not even when it is killed: what a dispatcher reads and logs lies in memory, in
files without a name, and the system kills every process of the rig with it."""

import asyncio
import contextlib
import json
import os
import re
import signal
import socket
import subprocess
import time
from datetime import datetime

from heronwinch.interface import SECOND
from heronwinch.net.machine import Machine
from heronwinch.rehearsal import script as scripts
from heronwinch.rehearsal.course import FAULTS
from heronwinch.rehearsal.ground.kernel import source
from heronwinch.rehearsal.ledgers import ALL
from heronwinch.rehearsal.nursery import Nursery, spawned
from heronwinch.rehearsal.relay import own, told
from heronwinch.rehearsal.stage import LAST_STOP, Stage
from heronwinch.rehearsal.views import EVENTS

LANES = 50  # of addresses, one for each rig by its process: rigs side by side took each other's ports
HOST = f"127.{101 + os.getpid() % LANES}.0.{1 + os.getpid() // LANES % 250}"
LANE = 1 + 2 * (os.getpid() % LANES)  # and the one after it, of dispatchers among themselves
MOST_LOG = 4_000_000  # bytes read of what a dispatcher logged
BEAT = 0.02  # seconds between two looks at the rig's own lag
STOOD = 0.05  # seconds of its own lag for which the rig blames nobody: with the judge's slack it is as much
PRIORITY = -10  # of the rig and its relay before the dispatchers, where the system allows it
PAIR = re.compile(r'([a-z_]+)=("(?:[^"\\]|\\.)*"|\S*)')  # of structlog's logfmt
SIGNS = (*FAULTS, "Traceback")  # of a fault, in the lines of a log


class Unplayable(ValueError):
    """The script has troubles that real sockets cannot be given."""


def check(script):
    for i, trouble in enumerate(script.troubles):
        if not scripts.TROUBLES[trouble.what].loopback:
            raise Unplayable(
                f"troubles[{i}].what: {trouble.what} can be played in virtual time only; "
                f"use heronwinch rehearse, or take it out"
            )


class Ports:
    """Free ports, held until all are chosen so that none is given twice."""

    def __init__(self):
        self.held = []

    def take(self, host=HOST):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((host, 0))
        self.held.append(sock)
        return sock.getsockname()[1]

    def release(self):
        for sock in self.held:
            sock.close()
        self.held.clear()


class Memory:
    """A file without a name, which others read and write by this process's descriptor of it."""

    def __init__(self, name):
        self.number = os.memfd_create(name, 0)

    def path(self):
        return f"/proc/self/fd/{self.number}"

    def write(self, data):
        os.ftruncate(self.number, 0)
        os.pwrite(self.number, data, 0)

    def read(self, most):
        return os.pread(self.number, most, 0)

    def close(self):
        os.close(self.number)


class LoopbackGround:
    def __init__(self, script, seed):
        self.script, self.seed = script, seed
        self.clock = Machine()
        self.loop = asyncio.get_running_loop()
        self.ports = Ports()
        self.addresses = {}
        self.moved = {}  # (dispatcher, moves) -> address of its discovery
        for name in scripts.dispatcher_names(script):
            for moves in range(1 + sum(trouble.what == "list-move" for trouble in script.troubles)):
                self.moved[name, moves] = HOST, self.ports.take()
        self.configs, self.logs = {}, {}  # dispatcher -> Memory
        self.nursery = Nursery()
        self.processes = {}
        self.spent = []  # (seconds of processor time, bytes) of each dispatcher before the last stop
        self.tasks = {}
        self.faults = []
        self.closed = False
        self.relay, self.commands, self.relay_counts = None, 0, None
        self.lag, self.lags = 0.0, []  # the rig's own, in seconds: the worst; (when, lag) of those that count
        if script.dispatchers.view:
            self.port = self.ports.take(own(0, LANE))
            self._start_relay()

    # ---- time and chance

    def after(self, delay, act, *args):
        self.loop.call_later(max(0, delay) / SECOND, act, *args)

    def random(self, *name):
        return source(self.seed, *name)

    # ---- addresses

    def worker_address(self, name):
        return self.addresses.setdefault(name, (HOST, self.ports.take()))

    dispatcher_address = worker_address

    def discovery_address(self, name, moves):
        return self.moved[name, moves]

    # ---- stand-ins, all in this process

    def _spawn(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.tasks[task] = None
        task.add_done_callback(self._done)
        return task

    def _done(self, task):
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self.faults.append(("emulator", repr(task.exception())))

    def worker_up(self, name, server, address):
        self._spawn(server.listen(*address))

    def worker_down(self, name, server, quietly):
        server.die()

    def within_worker(self, name, act):
        self.loop.call_soon(act)

    within_discovery = within_clients = lambda self, act: self.loop.call_soon(act)

    def discovery_up(self, server, dispatchers):
        for name in dispatchers:
            self._spawn(server.listen_for(name, *self.moved[name, 0]))

    def discovery_moves(self, server, name, address):
        self._spawn(server.listen_for(name, *address))

    def clients_up(self, play):
        self._spawn(play(self._spawn, asyncio.sleep))

    # ---- dispatchers

    def dispatcher_up(self, name, tree):
        if name not in self.configs:
            self.configs[name], self.logs[name] = Memory(f"{name}.json"), Memory(f"{name}.log")
        config = self.configs[name]
        config.write(json.dumps(tree).encode())
        log = os.open(self.logs[name].path(), os.O_WRONLY | os.O_APPEND)
        self.processes[name] = self.nursery.start(config.number, log)
        os.close(log)

    def dispatcher_kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def dispatcher_signal(self, name, number, tree=None):
        if tree is not None:
            self.configs[name].write(json.dumps(tree).encode())
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def dispatcher_ended(self, name):
        return self.processes[name].poll() is not None

    def hold(self, name, on):
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(signal.SIGSTOP if on else signal.SIGCONT)

    # ---- between dispatchers

    def fleet_address(self, name):
        """(where it listens, what others are told)."""
        n = int(name[1:])
        return f"{own(n, LANE)}:{self.port}", f"{told(n, LANE)}:{self.relay_port}"

    def _start_relay(self):
        # All of 127/8 at once: it is told by the address that was asked for who is meant.
        stream, datagrams = socket.socket(), socket.socket(type=socket.SOCK_DGRAM)
        stream.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        while True:
            stream.bind(("0.0.0.0", 0))
            self.relay_port = stream.getsockname()[1]
            try:
                datagrams.bind(("0.0.0.0", self.relay_port))
                break
            except OSError:
                stream.close()
                stream = socket.socket()
        datagrams.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 8 << 20)
        stream.listen(512)
        self.relay = spawned(
            "relay", stream.fileno(), datagrams.fileno(), self.port, LANE, self.seed, stdin=subprocess.PIPE,
            stdout=subprocess.PIPE, pass_fds=(stream.fileno(), datagrams.fileno()))
        stream.close()
        datagrams.close()

    def _tell_relay(self, what, *words):
        self.relay.stdin.write(json.dumps([what, *words]).encode() + b"\n")
        self.relay.stdin.flush()

    def _begin(self, what, *words):
        """A key, by which it is ended."""
        self.commands += 1
        self._tell_relay(what, self.commands, *words)
        return self.commands

    def bar(self, some, others):
        return self._begin("bar", *([int(name[1:]) for name in names] for names in (some, others)))

    def roughen(self, loss, twice, late):
        return self._begin("rough", loss, twice, late / SECOND)

    def unbar(self, key):
        self._tell_relay("end", key)

    smooth = unbar

    # ---- the rig's own lag

    def beat(self, due=None):
        now = self.loop.time()
        if due is not None:
            self.lag = max(self.lag, now - due)
            if now - due > STOOD:
                self.lags.append((self.clock.now(), now - due))
                spell = self.stalls.begin("the machine stood still", ALL, self.clock.now())
                spell.begins -= int((now - due) * SECOND)
                spell.ends = self.clock.now()
        self.loop.call_later(BEAT, self.beat, now + BEAT)

    def tree(self):
        """What the rig itself did to the run."""
        relayed = self.relay_counts or {}
        cpu, memory = zip(*self.spent, strict=True) if self.spent else ((0,), (0,))
        return {"dispatchers": len(self.spent), "cpu_s_mean": round(sum(cpu) / len(cpu), 2),
                "cpu_s_most": round(max(cpu), 2), "memory_mb_most": round(max(memory) / 2**20, 1),
                "lag_ms": round(self.lag * 1000, 1), "stood_still": len(self.lags),
                "relay_lag_ms": round(relayed.get("late_ms", 0.0), 1), **{
                    name: relayed[name] for name in ("datagrams", "lost") if name in relayed}}

    def said(self):
        """(when, dispatcher, event) of what dispatchers logged of their views."""
        for name, log in self.logs.items():
            for line in log.read(MOST_LOG).decode("utf-8", "replace").splitlines():
                if not any(f"event={name}" in line for name in EVENTS):
                    continue
                event = {key: value.strip('"') for key, value in PAIR.findall(line)}
                if event.get("event") in EVENTS and "timestamp" in event:
                    when = datetime.fromisoformat(event["timestamp"]).timestamp()
                    yield round(when * 1_000_000) * 1000, name, event

    # ---- the end

    def close(self):
        if self.closed:
            return
        self.closed = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        self.nursery.close()
        if self.relay is not None:
            out, _ = self.relay.communicate(timeout=10)
            self.relay_counts = json.loads(out)
        for name, log in self.logs.items():
            text = log.read(MOST_LOG).decode("utf-8", "replace")
            self.faults += [
                (name, line[:200]) for line in text.splitlines() if any(word in line for word in SIGNS)
            ]
        self.last_said = sorted(self.said(), key=lambda row: row[0])
        for memory in [*self.logs.values(), *self.configs.values()]:
            memory.close()


def play(script, seed, progress=lambda seconds: None):
    """Plays a script on loopback, in real time; the stage with its ledgers."""
    check(script)
    return asyncio.run(_play(script, seed, progress))


async def _play(script, seed, progress):
    ground = LoopbackGround(script, seed)
    try:
        stage = Stage(script, ground)
        ground.ports.release()
        stage.set_up()
        ground.stalls = stage.ledgers
        with contextlib.suppress(OSError):
            os.setpriority(os.PRIO_PROCESS, 0, PRIORITY)
        ground.beat()
        begun = time.monotonic()
        while (passed := time.monotonic() - begun) < stage.lasts() / SECOND:
            progress(passed)
            await asyncio.sleep(min(0.5, max(0.01, stage.lasts() / SECOND - passed)))
        ground.spent = [used for process in ground.processes.values() if (used := process.used())]
        stage.stop()
        until = time.monotonic() + LAST_STOP / SECOND
        while time.monotonic() < until and not all(map(ground.dispatcher_ended, stage.dispatchers)):
            await asyncio.sleep(0.05)
        ledgers = stage.finish()
    finally:
        ground.close()
        for task in list(ground.tasks):
            task.cancel()
    ledgers.faults += ground.faults
    ledgers.said = ground.last_said
    stage.rig = ground
    return stage


def serve_fleet(script, seed, port, told):
    """Workers and discovery alone, at a port that a dispatcher of one's own is told, until interrupted."""
    check(script)

    async def run():
        ground = LoopbackGround(script, seed)
        stage = Stage(script, ground)
        for n, name in enumerate(stage.dispatchers):
            ground.moved[name, 0] = HOST, port + n
        ground.ports.release()
        stage.raise_fleet()
        for name in stage.dispatchers:
            await stage.discovery.listen_for(name, *ground.moved[name, 0])
        told(
            f"{len(stage.workers)} workers, discovery on "
            + ", ".join("{}:{}".format(*ground.moved[name, 0]) for name in stage.dispatchers)
        )
        stage.timeline.start(stage.now(), ground._spawn)
        try:
            await asyncio.Event().wait()
        finally:
            for place in stage.workers.values():
                place.down()

    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        told("stopped")
