"""Runs a case: the record, the dispatcher as a process of its own, the verdict."""

import asyncio
import json
import os
import pathlib
import signal
import socket
import sys
import tempfile
import time
import tomllib
import traceback

ROOT = pathlib.Path(__file__).resolve().parents[2]
HELD, BROKEN, NOT_RUN = 0, 1, 2


class CaseError(Exception):
    """The case could not run."""


class Record:
    """What was sent, answered and run, in order; each line has the time since the start."""

    def __init__(self):
        self.began_at = time.monotonic()
        self.lines = []

    def now(self):
        return time.monotonic() - self.began_at

    def add(self, what, **figures):
        self.lines.append({"t": round(self.now(), 4), "what": what, **figures})

    def find(self, what, **figures):
        return [
            line
            for line in self.lines
            if line["what"] == what and all(line.get(name) == value for name, value in figures.items())
        ]

    def write(self, folder):
        text = "".join(json.dumps(line) + "\n" for line in self.lines)
        (folder / "record.txt").write_text(text, encoding="utf-8")


def find_free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Dispatcher:
    """The project's dispatcher, started by the line `run` of the deploy file."""

    def __init__(self, record, folder, config):
        self.record, self.folder, self.config = record, folder, config
        self.name = config["name"]
        self.port = find_free_port()
        self.mgmt_port = find_free_port()
        self.process = None
        self.path = folder / "config.json"

    def write_config(self, config=None):
        """Puts the configuration into its place, whole."""
        self.config = config or self.config
        path = self.folder / "config.new"
        path.write_text(json.dumps(self.config), encoding="utf-8")
        os.replace(path, self.path)

    async def start(self):
        self.config |= {"listen": f"127.0.0.1:{self.port}", "mgmt": f"127.0.0.1:{self.mgmt_port}"}
        self.write_config()
        run = tomllib.loads((ROOT / "deploy/balancer.toml").read_text(encoding="utf-8"))["run"]
        temporary = self.folder / "tmp"
        temporary.mkdir(exist_ok=True)
        environ = {name: value for name, value in os.environ.items() if not name.startswith("RELAY_")}
        environ |= {
            "RELAY_CONFIG": str(self.path),
            "RELAY_NAME": self.config["name"],
            "RELAY_LISTEN": f"127.0.0.1:{self.port}",
            "RELAY_DISCOVERY": self.config["discovery"],
            "RELAY_MGMT": f"127.0.0.1:{self.mgmt_port}",
            "TMPDIR": str(temporary),
        }
        with open(self.folder / "dispatcher.log", "ab") as log:
            self.process = await asyncio.create_subprocess_exec(
                "/bin/sh", "-c", run, cwd=ROOT, env=environ, stderr=log, stdout=log
            )
        await self._wait_until_ready()
        return self

    async def _wait_until_ready(self):
        end = time.monotonic() + 30
        while time.monotonic() < end:
            if self.process.returncode is not None:
                raise CaseError(f"the dispatcher ended with {self.process.returncode}")
            if await self.call("readyz") == "+OK":
                self.record.add("ready", process=self.process.pid)
                return
            await asyncio.sleep(0.05)
        raise CaseError("the dispatcher was not ready within 30 s")

    async def call(self, line):
        """Makes an operators' call; returns the first word of the reply, "" without one."""
        try:
            async with asyncio.timeout(2):
                reader, writer = await asyncio.open_connection("127.0.0.1", self.mgmt_port)
                writer.write(line.encode() + b"\n")
                reply = await reader.readline()
                writer.close()
                return reply.decode("latin-1").split(" ")[0].strip()
        except (OSError, TimeoutError):
            return ""

    def signal(self, number):
        if self.process is not None and self.process.returncode is None:
            self.record.add("signal", number=signal.Signals(number).name)
            self.process.send_signal(number)

    async def end(self):
        if self.process is not None and self.process.returncode is None:
            self.process.kill()
            await self.process.wait()


def run_case(folder, main):
    """Runs `main(case)`, which returns the breaches of the rule as texts; exits as the review asks."""
    case = Case(pathlib.Path(folder).resolve())
    status = NOT_RUN
    try:
        breaches = asyncio.run(case.run(main))
        for breach in breaches:
            case.record.add("breach", text=breach)
        status = BROKEN if breaches else HELD
    except CaseError as error:
        case.record.add("not run", why=str(error))
    except asyncio.CancelledError:
        case.record.add("not run", why="told to end")
    except Exception:
        case.record.add("not run", why=traceback.format_exc())
    case.record.add("verdict", status=status)
    case.record.write(case.folder)
    for line in case.record.lines[-12:]:
        if line["what"] in ("breach", "not run", "verdict", "sum"):
            print(json.dumps(line), flush=True)
    sys.exit(status)


class Case:
    """One run of a case, with all that it has started."""

    def __init__(self, folder):
        self.folder = folder
        self.record = Record()
        self.clock = self.record.now
        self.trouble = os.environ.get("TROUBLE", "1") != "0"
        self.dispatchers, self.servers = [], []
        self.temporary = None

    async def run(self, main):
        with tempfile.TemporaryDirectory(prefix="review-") as temporary:
            self.temporary = pathlib.Path(temporary)
            asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, asyncio.current_task().cancel)
            try:
                async with asyncio.timeout(110):
                    return await main(self)
            except TimeoutError:
                raise CaseError("the case took over 110 s") from None
            finally:
                for dispatcher in self.dispatchers:
                    await dispatcher.end()
                for server in self.servers:
                    server.die()
                if os.environ.get("KEEP_LOGS"):
                    for log in self.temporary.glob("**/*.log"):
                        print(log.read_text(encoding="utf-8", errors="replace"))

    def make_dispatcher(self, config, name="d0"):
        folder = self.temporary / f"{name}-{len(self.dispatchers)}"
        folder.mkdir()
        dispatcher = Dispatcher(self.record, folder, config | {"name": name})
        self.dispatchers.append(dispatcher)
        return dispatcher


def build_config(discovery_port, categories, **changes):
    """A configuration of a small deployment, with figures of the operators' pages."""
    settings = {
        "me": 0,
        "siblings": 1,
        "tick_ns": 4_000_000,
        "areas": ["a"],
        "az": 0,
        "models": ["std"],
        "discovery": "on_request",
        "excess_credit": 1.0,
        "realms": [],
        "categories": categories,
        "family_info": {"class_stretch": [1.25] * len(categories), "progress_ns": 0, "tells_start": False},
        "invariants": {
            "ask_every_ns": 10_000_000_000,
            "drain_grace_ns": 500_000_000,
            "answer_slack_ns": 16_000_000,
            "start_capacity": 0.15,
            "warm_up_ns": 19_000_000_000,
            "overload_factor": 3.0,
            "tip_after_ns": 2_000_000_000,
        },
        "limits": {
            "most_hand_offs": 4,
            "parallel_tries": False,
            "may_cancel": True,
            "probes": True,
            "peers": False,
            "retry_after": False,
            "max_retry_after_ns": 2_000_000_000,
            "dial_timeout_ns": 250_000_000,
            "conn_idle_ns": 15_000_000_000,
        },
        "load_info": {"how": "answers", "fields": ["x0", "pending", "busy_reqs"]},
    }
    for path, value in changes.items():
        *parents, name = path.split("__")
        tree = settings
        for parent in parents:
            tree = tree[parent]
        tree[name] = value
    return {
        "name": "d0",
        "discovery": f"127.0.0.1:{discovery_port}",
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": settings,
    }
