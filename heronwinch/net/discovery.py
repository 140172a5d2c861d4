"""The connection to discovery."""

import asyncio
import contextlib

import structlog

from heronwinch import interface as it
from heronwinch.net import sockets
from heronwinch.protocol.discovery import CutShort, DiscoverySide

log = structlog.get_logger()

WAIT_MS = 10_000  # a watch waits so long for something newer
PATIENCE = 1.5  # seconds for a connection, and for an answer that waits for nothing
OVERDUE = 1.0  # seconds that a watch may take beyond its wait


class Line:
    """A connection to discovery, made anew where it is not fit for a further call."""

    def __init__(self, address, machine):
        self.address = address
        self.machine = machine
        self.streams = None
        self.side = None

    async def call(self, question, seconds):
        """The listing that answers; whatever goes wrong is an exception, and ends the connection."""
        whole = False
        try:
            async with asyncio.timeout(seconds):
                if (self.streams is None or not self.side.reusable
                        or not sockets.is_quiet(*self.streams, self.machine)):
                    self.close()
                    await self._open()
                reader, writer = self.streams
                writer.write(question(self.side))
                listing = None
                while listing is None:
                    listing = self.side.feed(await sockets.read(reader, seconds))
                whole = True
                return listing
        finally:
            if not whole:
                self.close()

    async def _open(self):
        try:
            async with asyncio.timeout(PATIENCE):
                self.streams = await sockets.connect(*self.address)
        except TimeoutError:
            raise ConnectionError("no connection comes up") from None
        self.side = DiscoverySide()

    def close(self):
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None


class Discovery:
    """Watches while the module subscribes; every answer and every failure is an event to it."""

    def __init__(self, engine, workers, address, watch):
        self.engine = engine
        self.workers = workers
        self.address = address
        self.watch = watch
        self.watching = None
        self.fetching = {}  # tasks, in the order of their start
        self.failing = False
        self.heard = asyncio.Event()  # an answer or a failure, ever
        self.uncertain = False  # whether the version held is one of this discovery's: the next list is whole

    def subscribe(self, on):
        if self.watching is not None:
            self.watching.cancel()
        self.watching = asyncio.create_task(self._watch()) if on else None

    def fetch(self):
        task = asyncio.create_task(self._fetch())
        self.fetching[task] = None
        task.add_done_callback(self.fetching.pop)

    def move(self, address):
        """Discovery is elsewhere from now on: asked there at once, and no more at the old address. Another's
        versions say nothing about its own: a watch that begins with one may wait past a drain."""
        self.close()
        self.address = address
        self.uncertain = True
        self.subscribe(True)

    def close(self):
        self.subscribe(False)
        for task in self.fetching:
            task.cancel()

    async def _watch(self):
        """Calls follow each other at once: a watch goes on only as long as the next comes within 200 ms."""
        async with self._line() as line:
            while True:
                if self.uncertain:
                    listing = await self._call(line, DiscoverySide.ask_whole, PATIENCE, CutShort)
                    self.uncertain = not listing.whole
                else:
                    before = self.workers.version
                    listing = await self._call(line, lambda side, before=before: side.watch(before, WAIT_MS),
                                               WAIT_MS / 1000 + OVERDUE, (CutShort, TimeoutError))
                    # It began anew and counts from the start again: what it said since may have been missed.
                    self.uncertain = listing.version < before
                self._tell(listing)

    async def _call(self, line, question, seconds, again):
        """The listing that answers; after such a fault it is asked for once more, at once. A watch that fell
        silent misses what counts as told 2 s after its wait, and what was cut short counts as told already:
        the pause after a failure went past the moment from which that has to be heeded."""
        try:
            return await line.call(question, seconds)
        except again:
            self.watch.count("watch_broken")
        return await line.call(question, seconds)

    async def _fetch(self):
        async with self._line() as line:
            self._tell(await line.call(DiscoverySide.ask_whole, PATIENCE))

    @contextlib.asynccontextmanager
    async def _line(self):
        line = Line(self.address, self.workers.machine)
        try:
            yield line
        except Exception as fault:
            self._fail(fault)
        finally:
            line.close()

    def _tell(self, listing):
        self.heard.set()
        if self.failing:
            self.failing = False
            log.info("discovery_back", version=listing.version)
        kind = it.ListKind.FULL if listing.whole else it.ListKind.DELTA
        self.engine.post(self.workers.list(kind, listing))

    def _fail(self, fault):
        self.heard.set()
        self.watch.count("discovery_failed")
        if not self.failing:
            self.failing = True
            log.warning("discovery_failed", why=str(fault) or type(fault).__name__)
        self.engine.post(it.Listed(it.ListKind.FAILED, 0, ()))
