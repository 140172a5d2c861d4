"""Starts the project's dispatcher with the command `run` of the deploy file, on loopback."""

import asyncio
import contextlib
import json
import os
import signal
import socket
import tomllib
from pathlib import Path

from review.common.http import MessageError, read_body, read_head

ROOT = Path(__file__).resolve().parents[2]


class CannotRunError(Exception):
    """The case could not run: a dispatcher did not start, for instance."""


def find_free_port():
    with socket.socket() as sock:
        sock.bind(("127.0.0.1", 0))
        return sock.getsockname()[1]


class Dispatcher:
    """One dispatcher process. `config` is the configuration but for the addresses."""

    def __init__(self, name, config, folder, record, environ=()):
        self.name, self.config, self.record = name, config, record
        self.folder = Path(folder)
        self.path = self.folder / f"{name}.json"
        self.address = tuple(config["listen"].split(":")[:1]) + (int(config["listen"].split(":")[1]),)
        self.environ = dict(environ)
        self.process = None

    def write_config(self):
        self.path.write_text(json.dumps(self.config), encoding="utf-8")

    async def start(self, **options):
        """Starts the process; it may not be ready yet."""
        self.write_config()
        run = tomllib.loads((ROOT / "deploy" / "balancer.toml").read_text(encoding="utf-8"))["run"]
        environ = {
            **os.environ,
            "RELAY_CONFIG": str(self.path),
            "RELAY_NAME": self.name,
            "RELAY_LISTEN": self.config["listen"],
            "TMPDIR": str(self.folder),
            **self.environ,
        }
        log = open(self.folder / f"{self.name}.log", "ab")  # noqa: SIM115 - the process holds it
        self.process = await asyncio.create_subprocess_exec(
            "/bin/sh", "-c", run, cwd=ROOT, env=environ, stdout=log, stderr=log, **options
        )
        log.close()
        self.record.write("dispatcher_started", name=self.name, process=self.process.pid)
        return self

    async def wait_until_ready(self, seconds=30.0):
        try:
            async with asyncio.timeout(seconds):
                while not await is_ready(self.address):
                    if self.process.returncode is not None:
                        raise CannotRunError(f"{self.name} ended with {self.process.returncode}")
                    await asyncio.sleep(0.05)
        except TimeoutError:
            raise CannotRunError(f"{self.name} is not ready") from None
        self.record.write("dispatcher_ready", name=self.name)

    def send_signal(self, number):
        self.record.write("signal", name=self.name, signal=signal.Signals(number).name)
        self.process.send_signal(number)

    async def end(self, seconds=5.0):
        """Ends the process, if it still runs."""
        if self.process is None or self.process.returncode is not None:
            return
        with contextlib.suppress(ProcessLookupError):
            self.process.send_signal(signal.SIGCONT)
            self.process.terminate()
        try:
            async with asyncio.timeout(seconds):
                await self.process.wait()
        except TimeoutError:
            with contextlib.suppress(ProcessLookupError):
                self.process.kill()
            await self.process.wait()

    def read_log(self):
        return (self.folder / f"{self.name}.log").read_text(encoding="utf-8", errors="replace")


async def is_ready(address):
    """Whether a dispatcher answers 200 to GET /-/ready."""
    try:
        async with asyncio.timeout(1.0):
            reader, writer = await asyncio.open_connection(*address)
            try:
                writer.write(b"GET /-/ready HTTP/1.1\r\nHost: backend.local\r\nConnection: close\r\n\r\n")
                head = await read_head(reader)
                return head is not None and head[0].split(" ")[1] == "200"
            finally:
                writer.close()
    except (OSError, TimeoutError, MessageError):
        return False


class Client:
    """One client connection that is kept between requests."""

    def __init__(self, address, record):
        self.address, self.record = address, record
        self.reader = self.writer = None

    async def submit(self, path, id, deadline, key=None, body=b"x", headers=()):
        """Hands in one job; returns the status and the body of the answer, (0, reason) if there was none."""
        lines = [
            f"POST {path} HTTP/1.1",
            "Host: backend.local",
            f"Req-Id: {id}",
            f"Req-Deadline: {deadline:.3f}",
            f"Content-Length: {len(body)}",
            *([f"Idempotency-Key: {key}"] if key else []),
            *headers,
        ]
        try:
            if self.writer is None or self.writer.is_closing() or self.reader.at_eof():
                self.reader, self.writer = await asyncio.open_connection(*self.address)
            self.record.write("submitted", id=id, path=path, key=key or "-", deadline=deadline)
            self.writer.write("\r\n".join([*lines, "", ""]).encode("latin-1") + body)
            async with asyncio.timeout(deadline + 3.0):
                head = await read_head(self.reader)
                if head is None:
                    raise MessageError("the connection ended without an answer")
                result = await read_body(self.reader, head[1])
        except (OSError, MessageError, TimeoutError) as error:
            self.close()
            self.record.write(
                "unanswered", id=id, why=type(error).__name__ + ":" + str(error).replace(" ", "_")
            )
            return 0, str(error).encode()
        status = int(head[0].split(" ")[1])
        self.record.write("answered", id=id, status=status, result=result.decode("latin-1")[:60] or "-")
        if head[1].get("connection", "").lower() == "close":
            self.close()
        return status, result

    def close(self):
        if self.writer is not None:
            self.writer.close()
            self.writer = None


def build_config(discovery, categories, siblings=1, me=0, areas=("a",), area=0, **changes):
    """Returns the configuration of a small deployment; `changes` replace whole settings by dotted path."""
    config = {
        "name": "d0",
        "listen": f"127.0.0.1:{find_free_port()}",
        "discovery": "{}:{}".format(*discovery),
        "seed": "8c1f30d27a5be964",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "known": {"seq": 0, "whole": True, "hosts": []},
        "settings": {
            "me": me,
            "siblings": siblings,
            "tick_ns": 4_000_000,
            "areas": list(areas),
            "az": area,
            "models": ["std"],
            "discovery": "on_request",
            "excess_credit": 1.0,
            "realms": [],
            "categories": categories,
            "family_info": {
                "class_stretch": [1.25] * len(categories),
                "progress_ns": 0,
                "tells_start": True,
            },
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
                "retry_after": True,
                "max_retry_after_ns": 2_000_000_000,
                "dial_timeout_ns": 250_000_000,
                "conn_idle_ns": 15_000_000_000,
            },
            "load_info": {"how": "answers", "fields": ["x0", "pending", "busy_reqs"]},
        },
    }
    for path, value in changes.items():
        *parents, name = path.split("__")
        tree = config
        for parent in parents:
            tree = tree[parent]
        tree[name] = value
    return config


def category(name, effect, expiry, window=None, group="all", due=1.0, credit=1.0):
    """Returns the settings of a category; times in seconds."""
    row = {
        "name": name,
        "effect": effect,
        "due_time_ns": int(due * 1e9),
        "expiry_ns": int(expiry * 1e9),
        "credit": credit,
        "late_credit": 0.5,
    }
    if window is not None:
        row |= {"group": group, "window_ns": int(window * 1e9)}
    return row
