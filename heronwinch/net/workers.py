"""Connections to workers: they carry hand-offs and probes, idle ones are kept and closed in time."""

import asyncio
from collections import OrderedDict

import structlog

from heronwinch import interface as it
from heronwinch.net import sockets
from heronwinch.protocol.workers import Note, Over, WorkerSide

log = structlog.get_logger()

TAIL = 1.0  # seconds that the rest of an answer may take once its last line has come


class Unreachable(Exception):
    """There is no connection, so nothing was sent."""


class Connection:
    __slots__ = ("reader", "writer", "side", "idle_since")

    def __init__(self, reader, writer):
        self.reader, self.writer = reader, writer
        self.side = WorkerSide()
        self.idle_since = 0


class Worker:
    """A worker under its number; its address may change."""

    __slots__ = ("number", "host", "address", "entry", "idle")

    def __init__(self, number, host):
        self.number, self.host, self.address, self.entry = number, host, None, None
        self.idle = []  # connections, the longest idle first


class Workers:
    def __init__(self, engine, names, terms, most, clock, watch):
        self.engine = engine
        self.terms = terms
        self.most = most
        self.clock = clock
        self.watch = watch
        self.areas = {name: i for i, name in enumerate(names.areas)}
        self.kinds = {name: i for i, name in enumerate(names.kinds)}
        self.by_host = {}
        self.by_number = {}
        self.open = 0
        self.idle = OrderedDict()  # idle connections of all workers, the longest idle first -> worker
        self.carrying = {}  # (work item, hand-off) -> its task
        self.version = 0
        # Well before the worker would: what is written to a connection it has closed may have run.
        self.longest_idle = terms.connection_idle // 2

    # ---- the list

    def list(self, kind, listing):
        """The event of a listing; kinds and areas that the settings do not name get numbers of their own."""
        self.version = listing.version
        named = set()
        for host in listing.hosts:
            worker = self.by_host.get(host.host)
            if worker is None:
                worker = Worker(len(self.by_number) + 1, host.host)
                self.by_host[host.host] = self.by_number[worker.number] = worker
            if worker.address != host.address:
                self._close_all(worker)
                worker.address = host.address
            worker.entry = it.Entry(
                worker.number, self.areas.setdefault(host.area, len(self.areas)),
                self.kinds.setdefault(host.kind, len(self.kinds)), host.pod, host.standing, host.weight,
                host.started_ms * 1_000_000)
            named.add(worker.number)
            if host.standing == it.Standing.GONE:
                self._close_all(worker)
        if listing.whole:
            for worker in self.by_number.values():
                if worker.number not in named and worker.entry.standing != it.Standing.GONE:
                    worker.entry = worker.entry._replace(standing=it.Standing.GONE)
                    self._close_all(worker)
        return it.Listed(kind, listing.version, tuple(
            self.by_host[host.host].entry for host in listing.hosts))

    def listed(self):
        """All workers as last heard of."""
        return it.Listed(it.ListKind.CACHED, self.version, tuple(
            worker.entry for worker in self.by_number.values() if worker.entry.standing != it.Standing.GONE))

    # ---- actions

    def start(self, item, number, worker, until):
        worker = self.by_number[worker]
        self.watch.must(worker.entry.standing == it.Standing.READY, "hand_off_to_a_ready_worker")
        task = asyncio.create_task(self._carry(item, number, worker, until))
        self.carrying[item.number, number] = task

    def cancel(self, item, number):
        self.carrying[item.number, number].cancel()

    def probe(self, worker):
        worker = self.by_number[worker]
        task = asyncio.create_task(self._probe(worker))
        self.carrying["probe", worker.number] = task

    def close_idle(self, worker):
        self._close_all(self.by_number[worker])

    def close(self):
        for task in list(self.carrying.values()):
            task.cancel()
        for worker in self.by_number.values():
            self._close_all(worker)

    # ---- connections

    async def _connect(self, worker, until):
        """A connection to the worker, an idle one if there is, and whether it is new."""
        while worker.idle:
            connection = worker.idle.pop()
            del self.idle[connection]
            if self._is_fit(connection):
                return connection
            self._close(connection)
        while self.open >= self.most:
            if not self.idle:
                self.watch.count("no_socket_left")
                raise Unreachable
            self._drop_idle(next(iter(self.idle)))
        self.open += 1
        seconds = min(self.terms.connect_timeout or it.SECOND, max(1, until - self.clock.now())) / it.SECOND
        try:
            async with asyncio.timeout(seconds):
                streams = await asyncio.open_connection(*worker.address, limit=65536)
        except OSError:  # TimeoutError is one
            self.open -= 1
            raise Unreachable from None
        except BaseException:
            self.open -= 1
            raise
        return Connection(*streams)

    def _is_fit(self, connection):
        return (self.clock.now() - connection.idle_since < self.longest_idle
                and not connection.reader.at_eof() and sockets.is_quiet(connection.writer))

    def _keep(self, worker, connection):
        connection.idle_since = self.clock.now()
        worker.idle.append(connection)
        self.idle[connection] = worker

    def _close(self, connection):
        self.open -= 1
        sockets.close(connection.writer)

    def _drop_idle(self, connection):
        worker = self.idle.pop(connection)
        worker.idle.remove(connection)
        self._close(connection)

    def _close_all(self, worker):
        for connection in list(worker.idle):
            self._drop_idle(connection)

    def sweep(self):
        """Close what stood idle for long, and what its worker has ended."""
        for connection in list(self.idle):
            if not self._is_fit(connection):
                self._drop_idle(connection)

    # ---- hand-offs

    async def _carry(self, item, number, worker, until):
        begun = self.clock.now()
        settled = False

        def settle(over):
            nonlocal settled
            if not settled:
                settled = True
                self.engine.settle(item, number, worker.number, over, self.clock.now() - begun)

        try:
            await self._exchange(item, number, worker, until, settle)
        except asyncio.CancelledError:
            settle(Over(it.Outcome.CANCELLED))
        except Exception:
            log.exception("hand_off_fault", worker=worker.host)
            self.watch.count("hand_off_fault")
            settle(Over(it.Outcome.RESET))
        finally:
            del self.carrying[item.number, number]

    async def _exchange(self, item, number, worker, until, settle):
        try:
            connection = await self._connect(worker, until)
        except Unreachable:
            settle(Over(it.Outcome.CONNECT_FAILED))
            return
        kept = False
        try:
            writer, side = connection.writer, connection.side
            writer.write(side.hand_off(item.job, (until - self.clock.now()) / it.SECOND))
            while not side.over:
                try:
                    seconds = max(0, until - self.clock.now()) / it.SECOND
                    data = await sockets.read(connection.reader, seconds)
                except TimeoutError:
                    settle(Over(it.Outcome.TIMEOUT))
                    return
                if not data and writer.transport.get_write_buffer_size():
                    # Broken before the last byte was written: the worker begins with the last byte.
                    settle(Over(it.Outcome.CONNECT_FAILED))
                    return
                for news in side.feed(data):
                    if type(news) is Note:
                        self.engine.note(item, number, worker.number, *news)
                    else:
                        settle(news)
            kept = await self._finish(worker, connection)
        finally:
            if not kept:
                self._close(connection)

    async def _finish(self, worker, connection):
        """Reads an answer to its end, so that its connection can be kept."""
        try:
            while not connection.side.reusable:
                data = await sockets.read(connection.reader, TAIL)
                connection.side.feed(data)
                if not data:
                    return False
        except TimeoutError:
            return False
        if worker.entry.standing == it.Standing.GONE:
            return False
        self._keep(worker, connection)
        return True

    async def _probe(self, worker):
        begun = self.clock.now()
        over = Over(it.Outcome.TIMEOUT)
        try:
            over = await self._ask(worker, begun + (self.terms.connect_timeout or it.SECOND))
        except asyncio.CancelledError:
            over = Over(it.Outcome.CANCELLED)
        except Exception:
            log.exception("probe_fault", worker=worker.host)
            self.watch.count("probe_fault")
        finally:
            del self.carrying["probe", worker.number]
            if over.outcome != it.Outcome.OK:
                self.watch.count("probe_" + over.outcome.name.lower())
            self.engine.post(it.Probed(worker.number, self.clock.now() - begun, over.outcome, over.report))

    async def _ask(self, worker, until):
        try:
            connection = await self._connect(worker, until)
        except Unreachable:
            return Over(it.Outcome.CONNECT_FAILED)
        kept = False
        try:
            connection.writer.write(connection.side.probe(self.terms.reports))
            while True:
                seconds = max(0, until - self.clock.now()) / it.SECOND
                data = await sockets.read(connection.reader, seconds)
                for over in connection.side.feed(data):
                    kept = await self._finish(worker, connection)
                    return over
        except TimeoutError:
            return Over(it.Outcome.TIMEOUT)
        finally:
            if not kept:
                self._close(connection)
