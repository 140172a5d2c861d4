"""The same stage on real loopback sockets: stand-ins in one process, each dispatcher a process of its own."""

import asyncio
import json
import os
import socket
import subprocess
import sys
import tempfile
import time

from heronwinch.interface import SECOND
from heronwinch.net.machine import Machine
from heronwinch.rehearsal import script as scripts
from heronwinch.rehearsal.course import FAULTS
from heronwinch.rehearsal.ground.kernel import source
from heronwinch.rehearsal.stage import LAST_STOP, Stage

HOST = "127.0.0.1"
MOST_LOG = 200_000  # bytes kept of what a dispatcher logged
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

    def take(self):
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        sock.bind((HOST, 0))
        self.held.append(sock)
        return sock.getsockname()[1]

    def release(self):
        for sock in self.held:
            sock.close()
        self.held.clear()


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
        self.folder = tempfile.TemporaryDirectory(prefix="heronwinch-")
        self.processes = {}
        self.logs = {}
        self.tasks = {}
        self.faults = []
        self.closed = False

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

    def _config(self, name, tree):
        path = os.path.join(self.folder.name, f"{name}.json")
        with open(path + ".new", "w", encoding="utf-8") as file:
            json.dump(tree, file)
        os.replace(path + ".new", path)
        return path

    def dispatcher_up(self, name, tree):
        log = self.logs.setdefault(name, open(os.path.join(self.folder.name, f"{name}.log"), "ab"))  # noqa: SIM115
        environ = {**os.environ, "RELAY_CONFIG": self._config(name, tree)}
        for variable in [name for name in environ if name.startswith("RELAY_") and name != "RELAY_CONFIG"]:
            environ.pop(variable, None)
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", "heronwinch"],
            env=environ,
            stderr=log,
            stdout=subprocess.DEVNULL,
            stdin=subprocess.DEVNULL,
            cwd=os.path.dirname(os.path.dirname(os.path.dirname(__file__))),
        )

    def dispatcher_kill(self, name):
        self.processes[name].kill()
        self.processes[name].wait()

    def dispatcher_signal(self, name, number, tree=None):
        if tree is not None:
            self._config(name, tree)
        if self.processes[name].poll() is None:
            self.processes[name].send_signal(number)

    def dispatcher_ended(self, name):
        return self.processes[name].poll() is not None

    # ---- the end

    def close(self):
        if self.closed:
            return
        self.closed = True
        for process in self.processes.values():
            if process.poll() is None:
                process.kill()
            process.wait()
        for name, log in self.logs.items():
            log.close()
            with open(
                os.path.join(self.folder.name, f"{name}.log"), encoding="utf-8", errors="replace"
            ) as file:
                text = file.read(MOST_LOG)
            self.faults += [
                (name, line[:200]) for line in text.splitlines() if any(word in line for word in SIGNS)
            ]
        self.folder.cleanup()


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
        begun = time.monotonic()
        while (passed := time.monotonic() - begun) < stage.lasts() / SECOND:
            progress(passed)
            await asyncio.sleep(min(0.5, max(0.01, stage.lasts() / SECOND - passed)))
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
            ground.folder.cleanup()

    try:
        asyncio.run(run())
    except KeyboardInterrupt:
        told("stopped")
