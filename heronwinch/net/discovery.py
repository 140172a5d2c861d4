"""The connection to discovery."""

import asyncio

import structlog

from heronwinch import interface as it
from heronwinch.net import sockets
from heronwinch.protocol.discovery import DiscoverySide

log = structlog.get_logger()

WAIT_MS = 20_000  # a watch waits so long for something newer
PATIENCE = 2.5  # seconds beyond that for an answer: a silent discovery says nothing


class Line:
    """A connection to discovery, made anew where it is not fit for a further call."""

    def __init__(self, address):
        self.address = address
        self.streams = None
        self.side = None

    async def call(self, question, seconds):
        """The listing that answers; whatever goes wrong is an exception, and ends the connection."""
        whole = False
        try:
            async with asyncio.timeout(seconds):
                if self.streams is None or not self.side.reusable or not sockets.is_quiet(self.streams[1]):
                    self.close()
                    async with asyncio.timeout(PATIENCE):
                        self.streams = await asyncio.open_connection(
                            *self.address, limit=sockets.READ_AHEAD)
                    self.side = DiscoverySide()
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
        self.fetching = set()
        self.failing = False

    def subscribe(self, on):
        if self.watching is not None:
            self.watching.cancel()
        self.watching = asyncio.create_task(self._watch()) if on else None

    def fetch(self):
        task = asyncio.create_task(self._call(DiscoverySide.ask_whole, PATIENCE))
        self.fetching.add(task)
        task.add_done_callback(self.fetching.discard)

    def close(self):
        self.subscribe(False)
        for task in self.fetching:
            task.cancel()

    def _watch(self):
        """Calls follow each other at once: a watch goes on only as long as the next comes within 200 ms."""
        return self._call(lambda side: side.watch(self.workers.version, WAIT_MS), WAIT_MS / 1000 + PATIENCE,
                          again=True)

    async def _call(self, question, seconds, again=False):
        line = Line(self.address)
        try:
            self._tell(await line.call(question, seconds))
            while again:
                self._tell(await line.call(question, seconds))
        except Exception as fault:
            self._fail(fault)
        finally:
            line.close()

    def _tell(self, listing):
        if self.failing:
            self.failing = False
            log.info("discovery_back", version=listing.version)
        kind = it.ListKind.FULL if listing.whole else it.ListKind.DELTA
        self.engine.post(self.workers.list(kind, listing))

    def _fail(self, fault):
        self.watch.count("discovery_failed")
        if not self.failing:
            self.failing = True
            log.warning("discovery_failed", why=str(fault) or type(fault).__name__)
        self.engine.post(it.Listed(it.ListKind.FAILED, 0, ()))
