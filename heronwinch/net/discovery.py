"""Connections to discovery: watches (long polls) for changes of the list of workers, and fetches of it."""

import asyncio
import contextlib

import structlog

from heronwinch import interface
from heronwinch.net import sockets
from heronwinch.protocol.discovery import DiscoveryProtocol, TruncatedListError

log = structlog.get_logger()

# A change that a silent watch misses counts as known 6 s after discovery had it
# (interface.DISCOVERY_NOTICE_NS). The longest wait, the grace of a watch, a new connection and an answer that
# waited in discovery's queue must fit into that time: 2.5 + 0.5 s, and of the 3 s left 2 s for the queue
# (docs/design.md has the sums and the calls). Waits are random, so that dispatchers whose watches became
# silent together do not all call together.
WATCH_WAIT_MS = 1_500, 2_500  # how long a watch waits for a change: shortest, longest
WATCH_GRACE_SECONDS = 0.5  # time that a watch may take in addition to its wait
CONNECT_TIMEOUT_SECONDS = 1.5
# Time limit of a call that does not wait for a change: discovery itself gives up a call after 2 s.
ANSWER_TIMEOUT_SECONDS = 2.2


class DiscoveryConnection:
    """A connection to discovery, replaced by a new one if it is not fit for a further call."""

    def __init__(self, address, machine):
        self.address = address
        self.machine = machine
        self.streams = None
        self.protocol = None

    async def call(self, make_request, seconds):
        """Returns the listing that answers the request of `make_request(protocol)`, within a time limit. Any
        failure is raised as an exception and closes the connection."""
        is_complete = False
        try:
            async with asyncio.timeout(seconds):
                if (
                    self.streams is None
                    or not self.protocol.is_reusable
                    or not sockets.is_quiet(*self.streams, self.machine)
                ):
                    self.close()
                    await self._connect()
                reader, writer = self.streams
                writer.write(make_request(self.protocol))
                listing = None
                while listing is None:
                    listing = self.protocol.feed_data(await sockets.read_within(reader, seconds))
                is_complete = True
                return listing
        finally:
            if not is_complete:
                self.close()

    async def _connect(self):
        """Opens a new connection. Raises ConnectionError or OSError if that fails."""
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                self.streams = await sockets.connect(*self.address)
        except TimeoutError:
            raise ConnectionError("the connection was not established in time") from None
        self.protocol = DiscoveryProtocol()

    def close(self):
        """Closes the connection at once, if there is one."""
        if self.streams is not None:
            self.streams[1].transport.abort()
            self.streams = None


class Discovery:
    """Watches the list of workers while the module is subscribed. Every answer and every failure is posted to
    the module as an event."""

    def __init__(self, engine, workers, address, counters, random):
        self.engine = engine
        self.workers = workers
        self.address = address
        self.counters = counters
        self.random = random
        self.watch_task = None
        self.fetch_tasks = {}  # tasks of fetches in the order of their start
        self.is_failing = False
        self.first_response = asyncio.Event()  # set by the first answer or failure
        self.last_answer_at = workers.machine.now()  # clock time; the list was the newest then
        # Whether the version held may be another discovery's: then the whole list is requested.
        self.needs_full_list = False

    def subscribe(self, on):
        """Starts a new watch, or ends the current one."""
        if self.watch_task is not None:
            self.watch_task.cancel()
        self.watch_task = asyncio.create_task(self._watch()) if on else None

    def fetch(self):
        """Requests the whole list once."""
        task = asyncio.create_task(self._fetch())
        self.fetch_tasks[task] = None
        task.add_done_callback(self.fetch_tasks.pop)

    def change_address(self, address):
        """Watches at a new address from now on, and no longer at the old one. Versions of one discovery mean
        nothing to another: a watch that begins with a foreign version may wait past a drain."""
        self.close()
        self.address = address
        self.needs_full_list = True
        self.subscribe(True)

    def close(self):
        """Ends the watch and all fetches."""
        self.subscribe(False)
        for task in self.fetch_tasks:
            task.cancel()

    async def _watch(self):
        """Watches the list until cancelled.

        Calls follow each other at once, as discovery keeps a watch only if the next call comes within
        200 ms. The first call does not wait: while an answer may wait, a working watch can't be told from a
        silent one."""
        is_open = was_retried = False
        async with self._open_connection() as connection:
            while True:
                held_version = self.workers.version
                wait_ms = self._choose_wait_ms() if is_open and not self.needs_full_list else 0
                make_request = (
                    DiscoveryProtocol.encode_list_request
                    if self.needs_full_list
                    else (
                        lambda protocol, held_version=held_version, wait_ms=wait_ms: (
                            protocol.encode_watch_request(held_version, wait_ms)
                        )
                    )
                )
                try:
                    listing = await connection.call(
                        make_request,
                        wait_ms / 1000 + WATCH_GRACE_SECONDS if wait_ms else ANSWER_TIMEOUT_SECONDS,
                    )
                except (TruncatedListError, TimeoutError) as fault:
                    # The call is retried at once, but only once. A change that a silent watch misses counts
                    # as known a while later, and one in a truncated list counts as known already; the pause
                    # after a reported failure would be longer than that.
                    if was_retried or not wait_ms and type(fault) is not TruncatedListError:
                        raise
                    self.counters.count("watch_broken")
                    is_open, was_retried = False, True
                    continue
                # A lower version means that discovery has restarted and counts from the start again, so
                # changes since then may have been missed.
                self.needs_full_list = (
                    not listing.whole if self.needs_full_list else listing.version < held_version
                )
                is_open, was_retried = True, False
                self._apply_listing(listing)

    def _choose_wait_ms(self):
        """Returns a random wait between the shortest and the longest one."""
        shortest, longest = WATCH_WAIT_MS
        return shortest + int(self.random.random() * (longest - shortest))

    async def _fetch(self):
        """Requests the whole list once and applies the answer."""
        async with self._open_connection() as connection:
            self._apply_listing(
                await connection.call(DiscoveryProtocol.encode_list_request, ANSWER_TIMEOUT_SECONDS)
            )

    @contextlib.asynccontextmanager
    async def _open_connection(self):
        """Yields a connection for some calls. An exception within ends them and is reported as a failure."""
        connection = DiscoveryConnection(self.address, self.workers.machine)
        try:
            yield connection
        except Exception as fault:
            self._report_failure(fault)
        finally:
            connection.close()

    def _apply_listing(self, listing):
        """Applies a list to the workers and posts the event of it. Ends a series of failures."""
        self.first_response.set()
        if self.is_failing:
            self.is_failing = False
            log.info("discovery_back", version=listing.version)
        kind = interface.ListKind.FULL if listing.whole else interface.ListKind.DELTA
        # A worker that this list shows as leaving may count as told to leave since before the list arrived:
        # from DISCOVERY_NOTICE_NS after the previous answer, if that is earlier.
        now = self.workers.machine.now()
        told_at, self.last_answer_at = min(now, self.last_answer_at + interface.DISCOVERY_NOTICE_NS), now
        self.engine.post(self.workers.apply_listing(kind, listing, told_at))

    def _report_failure(self, fault):
        """Posts the failure of a call. The first one of a series is logged."""
        self.first_response.set()
        self.counters.count("discovery_failed")
        if not self.is_failing:
            self.is_failing = True
            log.warning("discovery_failed", why=str(fault) or type(fault).__name__)
        age = self.workers.machine.now() - self.last_answer_at
        self.engine.post(interface.Listed(interface.ListKind.FAILED, 0, (), age))
