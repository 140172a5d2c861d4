"""A dispatcher on real sockets: reads RELAY_* and the configuration they name, wires the parts, runs."""

import asyncio
import gc
import json
import logging
import os
import signal
import sys
from typing import NamedTuple

import structlog

from heronwinch import interface as it
from heronwinch.net.discovery import Discovery
from heronwinch.net.engine import Engine
from heronwinch.net.listener import Listener
from heronwinch.net.sockets import Budget
from heronwinch.net.watch import Clock, Watch
from heronwinch.net.workers import Workers
from heronwinch.policy import Dispatcher
from heronwinch.protocol.discovery import BadList, Listing, as_address, as_listing
from heronwinch.terms import Names, SettingsError, from_tree, read_names, read_terms

log = structlog.get_logger()

LONGEST_STOP = 3.0  # seconds from SIGTERM in which all that was taken is answered
NEW_CONNECTIONS = 0.5  # seconds from SIGTERM in which the front may send further ones
KEPT = 0.5  # part of the stop in which clients may go on with the connections they have
LAST_WORDS = 0.3  # seconds that clients have to read their last answers
SWEEP = 0.5  # seconds between two looks at idle connections
SUM_UP = 10.0  # seconds between two lines on what went wrong


class PlanError(ValueError):
    """The configuration cannot be used."""


class Plan(NamedTuple):
    name: str
    listen: tuple[str, int]
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    known: Listing
    terms: it.Terms
    names: Names


def read_plan(environ, again=False):
    """All that a dispatcher is told. The variables come before the file, which holds the same and more; read
    again, the file says where discovery is now."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise PlanError("RELAY_CONFIG is not set")
    try:
        with open(path, encoding="utf-8") as file:
            tree = json.load(file)
    except (OSError, ValueError, RecursionError) as fault:
        raise PlanError(f"cannot read {path}: {fault}") from None
    if not isinstance(tree, dict) or not isinstance(tree.get("settings"), dict):
        raise PlanError(f"{path}: settings are missing")
    discovery = environ.get("RELAY_DISCOVERY"), tree.get("discovery")
    try:
        values = from_tree(tree["settings"])
        return Plan(
            name=environ.get("RELAY_NAME") or str(tree.get("name", "")),
            listen=_address("listen", environ.get("RELAY_LISTEN") or tree.get("listen")),
            discovery=_address("discovery", discovery[again] or discovery[not again]),
            seed=int(str(tree.get("seed", "0")), 16),
            sockets=int(tree.get("limits", {}).get("sockets", 1024)),
            memory_mb=int(tree.get("limits", {}).get("memory_mb", 192)),
            known=as_listing(tree.get("known") or {"seq": 0, "whole": True, "hosts": []}),
            terms=read_terms(values)._replace(may_tell=False),  # no messages between dispatchers on sockets
            names=read_names(values),
        )
    except (SettingsError, BadList, PlanError) as fault:
        raise PlanError(f"{path}: {fault}") from None
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as fault:
        raise PlanError(f"{path}: {type(fault).__name__}: {fault}") from None


def _address(name, text):
    try:
        return as_address(str(text or ""))
    except ValueError:
        raise PlanError(f"{name} is no address: {text!r}") from None


class Program:
    """One running dispatcher."""

    def __init__(self, plan):
        self.plan = plan
        terms, names = plan.terms, plan.names
        self.loop = asyncio.get_running_loop()
        self.watch = Watch()
        clock = Clock()
        budget = Budget(plan.sockets, plan.memory_mb)
        self.engine = Engine(Dispatcher, terms, names, plan.seed, clock, self.watch)
        self.workers = Workers(self.engine, names, terms, budget.workers, clock, self.watch)
        self.discovery = Discovery(self.engine, self.workers, plan.discovery, self.watch)
        self.engine.workers, self.engine.discovery = self.workers, self.discovery
        self.listener = Listener(self.engine, budget, self.watch)
        self.stop = asyncio.Event()

    async def run(self):
        self.loop.set_exception_handler(self._stray)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop.set)
        self.loop.add_signal_handler(signal.SIGHUP, self.reload)
        self.engine.post(self.workers.list(it.ListKind.CACHED, self.plan.known))
        if self.plan.terms.pushed_list:
            self.discovery.subscribe(True)
        await self.listener.listen(*self.plan.listen)
        log.info("started", name=self.plan.name, listen=":".join(map(str, self.plan.listen)),
                 workers=len(self.plan.known.hosts))
        self._every(SWEEP, self.workers.sweep)
        self._every(SUM_UP, self.watch.sum_up)
        await self.stop.wait()
        await self._stop()

    def reload(self):
        """The configuration is read again; what can change while it runs does so at once."""
        if self.stop.is_set():
            return
        old = self.plan
        try:
            new = read_plan(os.environ, again=True)
            budget = Budget(new.sockets, new.memory_mb)
        except PlanError as fault:
            log.error("reload_refused", why=str(fault))
            return
        changed = [name for name in Plan._fields if getattr(new, name) != getattr(old, name)]
        fixed = [name for name in changed if name in ("listen", "names")]
        self.plan = new._replace(listen=old.listen, names=old.names)
        if new.names != old.names:
            # Work items and workers are held under the numbers of these names.
            self.plan = self.plan._replace(terms=old.terms)
        elif new.terms != old.terms:
            self.workers.terms = new.terms
            self.engine.change(new.terms)
            self.listener.judge_by(self.engine.door())
        self.listener.budget, self.workers.most = budget, budget.workers
        if (news := self.workers.remember(new.known)) is not None:
            self.engine.post(news)
        if new.discovery != old.discovery:
            self.discovery.move(new.discovery)
        log.info("reloaded", changed=",".join(changed), discovery=":".join(map(str, new.discovery)),
                 needs_restart=",".join(fixed))

    def _every(self, seconds, act):
        self.loop.call_later(seconds, self._every, seconds, act)
        act()

    def _stray(self, loop, context):
        """A fault that nothing else caught: the dispatcher goes on."""
        if self.watch.count("stray_fault"):
            log.error("stray_fault", what=context.get("message"), exc_info=context.get("exception"))

    async def _stop(self):
        """What was taken is answered; new connections are accepted for as long as they come."""
        begun = self.loop.time()
        seconds = min(LONGEST_STOP, max(row.expiry for row in self.plan.terms.categories) / it.SECOND)
        log.info("stopping", held=self.engine.owes(), clients=len(self.listener.clients))
        self.listener.stopping = True
        self.engine.stop(seconds)
        # Another dispatcher may be down just then, and clients have nowhere to go but here; later what cannot
        # end in time goes elsewhere at once. Where there is no other, all the time there is counts.
        keep = seconds * KEPT if self.plan.terms.dispatchers > 1 else seconds - LAST_WORDS
        while (now := self.loop.time()) < begun + seconds:
            if self.listener.keeping and now > begun + keep:
                self.listener.stop_keeping()
            if now > begun + NEW_CONNECTIONS and not self.engine.owes() and not self.listener.kept():
                break
            await asyncio.sleep(0.01)
        self.listener.close()
        last = self.loop.time() + LAST_WORDS
        while self.loop.time() < last and (self.listener.clients or self.engine.owes()):
            await asyncio.sleep(0.01)
        self.discovery.close()
        self.workers.close()
        self.watch.sum_up()
        log.info("stopped", unanswered=self.engine.owes(), seconds=round(self.loop.time() - begun, 3))


def main():
    structlog.configure(
        processors=[
            structlog.processors.add_log_level,
            structlog.processors.TimeStamper(fmt="iso", utc=True),
            structlog.processors.format_exc_info,
            structlog.processors.LogfmtRenderer(key_order=["timestamp", "level", "event"]),
        ],
        wrapper_class=structlog.make_filtering_bound_logger(logging.INFO),
        logger_factory=structlog.WriteLoggerFactory(sys.stderr),
        cache_logger_on_first_use=True,
    )
    signal.signal(signal.SIGHUP, signal.SIG_IGN)  # up to when it can be heeded, the file is still to be read
    try:
        plan = read_plan(os.environ)
    except PlanError as fault:
        print(f"heronwinch: {fault}", file=sys.stderr)
        return 2
    gc.freeze()  # what the imports made stays: collections need not walk it
    try:
        asyncio.run(_run(plan))
    except OSError as fault:
        print(f"heronwinch: cannot listen on {plan.listen[0]}:{plan.listen[1]}: {fault}", file=sys.stderr)
        return 1
    return 0


async def _run(plan):
    await Program(plan).run()


if __name__ == "__main__":
    sys.exit(main())
