"""One client's connection: reads and answers its requests."""

import asyncio
import contextlib

from heronwinch.interface import SECOND
from heronwinch.net import sockets
from heronwinch.net.input_scheduler import PARSER_EVENTS_PER_SLICE
from heronwinch.protocol.clients import (
    AdmissionRules,
    ClientProtocol,
    ContinueResponse,
    Job,
    ReadinessRequest,
    RejectedRequest,
    UnknownCategory,
)
from heronwinch.protocol.handover import encode_job_request

MAX_IDLE_SECONDS = 75.0  # limit for the connection of a client that has handed in a job
# Limit for the arrival of a request. The time of the first one counts from the connection's start.
MAX_REQUEST_SECONDS = 1.5
# Limit of a long request's wait for memory: its deadline may be short, and is not known before it is parsed.
MAX_MEMORY_WAIT_SECONDS = 0.25
MAX_UNREAD_BYTES = 128 * 1024  # bytes of answers that a client may leave unread
MAX_DISCARDED_BYTES = 64 * 1024  # limit of the input read and discarded after the last answer


class Client:
    """A client's connection. The engine uses it as the client of its work item."""

    def __init__(self, listener, reader, writer):
        self.listener = listener
        self.number = listener.number_client()
        self.engine = listener.engine
        self.reader, self.writer = reader, writer
        self.protocol = ClientProtocol(listener.admission_rules)
        self.item = None
        # Clock times at which the first byte of the current request arrived and the connection began.
        self.request_began_at = self.connected_at = self.engine.machine.now()
        self.idle_since = 0  # clock time since which the connection is between two requests
        self.job_count = 0  # jobs that the client has handed in
        self.is_parsing = False  # whether bytes were read that are not parsed yet
        self.slices_taken = 0  # slices of the input scheduler for the current request
        self.holds_large_buffer = False  # whether it may hold a long request, or much of an answer unsent
        self.read_timeout = None  # asyncio.Timeout of the read in progress
        self.ended = False  # whether the last answer is written

    async def serve(self):
        """Reads and answers requests until the connection ends."""
        while not self.ended:
            data = await self._read()
            if not data:
                return
            if self.protocol.is_idle:
                self.request_began_at = self.engine.machine.now() - self.engine.machine.get_input_age(
                    self.writer
                )
            await self._parse(data)
        await self.linger()

    async def _parse(self, data):
        """Parses input and acts on it, in the slices that the input scheduler grants."""
        self.is_parsing = True
        try:
            if self.protocol.has_unanswered_request:  # what comes before an answer is rejected unparsed
                self._handle_events(self.protocol.feed_data(data))
                return
            if not await self._reserve_memory(len(data)):
                return
            await self._begin_slice()
            self._handle_events(self.protocol.feed_data(data, PARSER_EVENTS_PER_SLICE))
            while self.protocol.has_more_to_parse and not self.ended:
                if self._get_read_timeout() == 0:
                    self._reject_slow_request()
                    return
                await self._begin_slice()
                self._handle_events(self.protocol.parse(PARSER_EVENTS_PER_SLICE))
        finally:
            self.is_parsing = False
            self._update_idle_state()

    async def _reserve_memory(self, byte_count):
        """Returns whether there is memory for so many more bytes of a request. A long request waits for a
        large buffer; without one in MAX_MEMORY_WAIT_SECONDS, or at the end of a stop, it is refused."""
        is_small = self.protocol.received_bytes + byte_count <= sockets.SMALL_MESSAGE_BYTES
        if is_small or self.holds_large_buffer:
            return True
        self.listener.waiting_clients[self] = None
        try:
            seconds = 0 if self.listener.is_closed else MAX_MEMORY_WAIT_SECONDS
            async with asyncio.timeout(seconds) as self.read_timeout:
                await self.listener.large_requests.acquire()
        except TimeoutError:
            self.listener.counters.count("no_memory_for_request")
            self.listener.log.log_closed(self, "no_memory", 503)
            self._send_answer(503, close=True)
            return False
        finally:
            self.read_timeout = None
            self.listener.waiting_clients.pop(self, None)
        self.holds_large_buffer = True
        return True

    def _settle_memory(self):
        """Takes a large buffer for what is unsent of an answer, or gives back that of the request. Returns
        whether there is memory for what is unsent."""
        if self.writer.transport.get_write_buffer_size() <= sockets.SMALL_MESSAGE_BYTES:
            self.release_memory()
        elif not self.holds_large_buffer:
            self.holds_large_buffer = self.listener.large_requests.try_acquire()
            return self.holds_large_buffer
        return True

    def release_memory(self):
        """Gives back the large buffer, if there is one."""
        if self.holds_large_buffer:
            self.holds_large_buffer = False
            self.listener.large_requests.release()

    async def _begin_slice(self):
        await self.listener.input_scheduler.begin_slice(self.slices_taken, not self.job_count)
        self.slices_taken += 1

    async def _read(self):
        """Returns the next bytes, b"" if the connection has ended or is to be closed. An answer that is owed
        does not stop the reading, as the end of the connection means that the client has left."""
        with contextlib.suppress(TimeoutError):
            return await self._read_within(self._get_read_timeout())
        if self.ended:
            return b""
        if not self.protocol.is_idle:
            self._reject_slow_request()
            return b""
        with contextlib.suppress(TimeoutError):
            return await self._read_within(sockets.FINAL_READ_SECONDS)
        # Guards against a request that is read in the same event loop turn in which the final read times
        # out: it was consumed, and its connection closed without an answer.
        return await self.reader.read(sockets.READ_AHEAD_BYTES) if self.reader.unread else b""

    async def _read_within(self, seconds):
        """Returns the next bytes. Raises TimeoutError after this time; None: no limit."""
        try:
            async with asyncio.timeout(seconds) as self.read_timeout:
                return await self.reader.read(sockets.READ_AHEAD_BYTES)
        finally:
            self.read_timeout = None

    def _get_read_timeout(self):
        """Returns the seconds that the next read may take in the current state, None for no limit."""
        if self.ended:
            return 0
        if self.protocol.has_unanswered_request:
            return None  # its work item has an expiry, and the answer sets a new time limit
        if self.protocol.is_idle and self.job_count:
            return MAX_IDLE_SECONDS
        # The limit is for the whole request, so a client cannot hold a connection for ever by silence or by
        # sending a byte now and then.
        since = self.request_began_at if self.job_count else self.connected_at
        return max(0.0, MAX_REQUEST_SECONDS - (self.engine.machine.now() - since) / SECOND)

    def restore_request(self, job, closes):
        """Brings the protocol into the state that it had in another process, which has accepted this job."""
        admission_rules = self.protocol.rules
        self.protocol.rules = AdmissionRules({job.category: job.ticket is not None}, ())
        self.protocol.feed_data(encode_job_request(job, closes))
        self.protocol.rules = admission_rules

    def set_read_timeout(self, seconds):
        """Changes the time limit of the read in progress; None: no limit."""
        if self.read_timeout is not None:
            with contextlib.suppress(RuntimeError):  # the read has just ended
                self.read_timeout.reschedule(None if seconds is None else self.engine.loop.time() + seconds)

    async def linger(self):
        """Ends the sending direction, then reads and discards input for a while: a connection that is closed
        with bytes unread is reset, and the last answer may be lost with it. The input of a client that never
        stops sending is not read any further, as a flood of bytes would take time from the others."""
        remaining = MAX_DISCARDED_BYTES
        with contextlib.suppress(OSError):  # includes TimeoutError
            if self.writer.can_write_eof():
                self.writer.write_eof()
            async with asyncio.timeout(sockets.LINGER_SECONDS):
                while data := await self.reader.read(sockets.READ_AHEAD_BYTES):
                    remaining -= len(data)
                    if remaining < 0:
                        self.writer.transport.pause_reading()
                        await asyncio.sleep(sockets.LINGER_SECONDS)

    def _handle_events(self, events):
        """Acts on what the protocol has parsed."""
        for event in events:
            kind = type(event)
            if kind is ContinueResponse:
                self.writer.write(event.data)
            elif kind is Job:
                self._accept_job(event)
            elif kind is ReadinessRequest:
                self._send_answer(200 if self.listener.is_ready else 503)
            elif kind is UnknownCategory:
                self.listener.counters.count("no_such_category")
                self._send_answer(404, event.reason.encode() + b"\n")
            elif kind is RejectedRequest:
                self._reject(event)

    def _accept_job(self, job):
        """Hands a job to the engine. It is deferred if its id can't be remembered, as it might run twice."""
        self.job_count += 1
        if self.engine.recent_ids.has_room(job.id):
            self.item = self.engine.accept_job(job, self, self.request_began_at)
        else:
            self.listener.counters.count("no_room_for_id")
            self.defer(0)

    def _reject_slow_request(self):
        """Answers a request that has not come to its end within MAX_REQUEST_SECONDS."""
        self.listener.counters.count("request_too_slow")
        self._reject(RejectedRequest(408, "the request did not come to its end"), "request_too_slow")

    def _reject(self, rejection, why="bad_request"):
        """Answers a bad request, which ends the connection and the work item that it may have."""
        self.listener.counters.count("bad_request")
        self.listener.log.log_closed(self, why, rejection.status, rejection.reason)
        if self.item is not None:
            item, self.item = self.item, None
            self.engine.handle_client_left(item)
        self._send_answer(rejection.status, rejection.reason.encode("utf-8", "replace") + b"\n", close=True)

    def _send_answer(self, status, body=b"", headers=(), close=False):
        """Writes an answer. A client that leaves more bytes of answers unread than there is memory for is
        cut off."""
        self.slices_taken = 0
        data, self.ended = self.protocol.encode_response(
            status, body, headers, close or not self.listener.keeps_alive
        )
        self.writer.write(data)
        has_memory = self._settle_memory()
        if not has_memory or self.writer.transport.get_write_buffer_size() > MAX_UNREAD_BYTES:
            self.listener.counters.count("client_not_reading")
            self.listener.log.log_closed(self, "not_reading")
            self.writer.transport.abort()
        self._update_idle_state()

    def _update_idle_state(self):
        """Updates what depends on whether it is idle: the eviction group and the read timeout."""
        if self.protocol.is_idle and self.job_count:
            self.idle_since = self.engine.machine.now()
        self.listener.update_eviction_group(self)
        self.set_read_timeout(self._get_read_timeout())

    def stop_reading(self):
        """Reads nothing more, unless the last answer is written: what follows it is discarded."""
        if not self.ended:
            self.writer.transport.pause_reading()

    def is_receiving_request(self):
        """Whether a request has arrived in part, as far as it is parsed."""
        return not (self.ended or self.protocol.has_unanswered_request) and (
            self.is_parsing or not self.protocol.is_idle
        )

    def owes_answer(self):
        """Whether a request that was read, as far as is known, has no answer yet."""
        return not self.ended and (self.protocol.has_unanswered_request or self.has_unparsed_input)

    @property
    def has_unparsed_input(self):
        """Whether the process has taken bytes from the kernel that are not parsed yet."""
        return self.is_parsing or self.reader.unread > 0

    def has_unread_input(self):
        """Whether input of the client has arrived that is not read yet, which may be the connection's end."""
        return self.is_parsing or not sockets.is_quiet(self.reader, self.writer, self.engine.machine)

    # ---- answers, called by the engine

    def finish(self, result):
        """Answers with the result of the work item."""
        self.item = None
        self._send_answer(200, result)

    def defer(self, come_back):
        """Answers that the work item was not done and a retry is harmless, after `come_back` nanoseconds if
        that is not 0."""
        self.item = None
        self._send_answer(
            503,
            headers=[(b"Retry-After", b"%.3f" % (come_back / SECOND))] if come_back else (),
            close=not self.listener.is_ready,
        )

    def refuse_for_lack_of_room(self):
        """Answers that there is no room for the connection."""
        self._send_answer(503, close=True)

    def write_off(self):
        """Answers that it is not known whether the work item has run."""
        self.item = None
        self._send_answer(500)
