"""One running dispatcher: its parts wired, its course from start to stop."""

import asyncio
import signal

import structlog

from heronwinch import interface as it
from heronwinch.net.discovery import Discovery
from heronwinch.net.engine import Engine
from heronwinch.net.listener import Listener
from heronwinch.net.sockets import Budget
from heronwinch.net.watch import Watch
from heronwinch.net.workers import Workers
from heronwinch.plan import Plan, PlanError

log = structlog.get_logger()

LONGEST_STOP = 3.0  # seconds from SIGTERM in which all that was taken is answered
NEW_CONNECTIONS = 0.5  # seconds from SIGTERM in which the front may send further ones
KEPT = 0.5  # part of the stop in which clients may go on with the connections they have
LAST_WORDS = 0.3  # seconds that clients have to read their last answers
SWEEP = 0.5  # seconds between two looks at idle connections
SUM_UP = 10.0  # seconds between two lines on what went wrong


class Program:
    """`make(terms, seed)` gives the module that decides; `reread` gives the plan anew, and raises PlanError
    where it cannot be used."""

    def __init__(self, plan, machine, make, reread):
        self.plan = plan
        self.machine = machine
        self.reread = reread
        terms, names = plan.terms, plan.names
        self.loop = asyncio.get_running_loop()
        self.watch = Watch()
        budget = self._budget(plan)
        self.engine = Engine(make, terms, names, plan.seed, machine, self.watch)
        self.workers = Workers(self.engine, names, terms, budget.workers, machine, self.watch)
        self.discovery = Discovery(self.engine, self.workers, plan.discovery, self.watch)
        self.engine.workers, self.engine.discovery = self.workers, self.discovery
        self.listener = Listener(self.engine, budget, self.watch)
        self.stop = asyncio.Event()

    def _budget(self, plan):
        return Budget(min(plan.sockets, self.machine.descriptors()), plan.memory_mb)

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
            new = self.reread()
            budget = self._budget(new)
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
