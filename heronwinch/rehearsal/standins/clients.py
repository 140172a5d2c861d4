"""Stand-in clients on connections: they submit work items, wait, retry, and record every answer."""

import asyncio
import json
from bisect import bisect_right
from itertools import accumulate

from heronwinch.interface import SECOND
from heronwinch.protocol.http_client import (
    BodyPart,
    HttpClient,
    InvalidResponseError,
    ResponseEnd,
    ResponseHead,
)
from heronwinch.rehearsal.models.traffic import draw_retry_pause

LATE_ANSWER_NS = 250_000_000  # a client listens this long past the expiry, to see late answers
MIN_TIME_LEFT_NS = 5_000_000  # a client sends no request with less time left
CONNECT_TIMEOUT_SECONDS = 1.0
UNANSWERED, ANSWERED, CLOSED, LEFT, UNSENT = "unanswered", "answered", "closed", "left", "unsent"


class ClientRequest:
    """The record of one request of a client, a try of a work item.

    Times are nanoseconds, 0 for what did not happen. `wanted` is the work item, `tried` the number of tries
    before, `how` the outcome, `come_back` the pause that the answer advises."""

    __slots__ = (
        "number",
        "id",
        "wanted",
        "tried",
        "dispatcher",
        "sent",
        "expiry",
        "status",
        "body",
        "answered",
        "ended",
        "how",
        "come_back",
        "resent",
        "fresh",
        "extra",
    )

    def __init__(self, number, id, item, tried, dispatcher):
        self.number, self.id, self.wanted, self.tried, self.dispatcher = number, id, item, tried, dispatcher
        self.sent = self.expiry = self.answered = self.ended = 0
        self.status, self.body, self.how = 0, b"", UNSENT
        self.come_back = 0
        self.resent = False  # sent again on a new connection, because the dispatcher closed the idle one
        self.fresh = True  # whether it is the first request on its connection
        self.extra = b""  # bytes that arrived after its answer and belong to no request


class ClientConnection(asyncio.Protocol):
    """A client's connection to a dispatcher."""

    def __init__(self, clients, dispatcher):
        self.clients, self.dispatcher = clients, dispatcher
        self.http = HttpClient()
        self.transport = None
        self.request = self.previous_request = None  # the request without an answer yet; the one before it
        self.done_future = None
        self.used = False
        self.has_received = False  # whether any byte of the present answer has arrived
        self.is_open = True
        self.ended_cleanly = False  # whether the dispatcher closed it without a reset

    def connection_made(self, transport):
        self.transport = transport

    def send(self, request, data):
        """Sends a request; the future that is returned gets its outcome."""
        self.request, self.done_future, self.has_received = request, self.clients.loop.create_future(), False
        request.fresh = not self.used
        self.used = True
        self.transport.write(data)
        return self.done_future

    def data_received(self, data):
        self.has_received = True
        try:
            for event in self.http.feed_data(data):
                self._react(event)
        except InvalidResponseError:
            self._finish(CLOSED)
            self.transport.abort()
            return
        if self.request is None and self.http.h11.trailing_data[0] and self.previous_request is not None:
            self.previous_request.extra += self.http.h11.trailing_data[0]

    def _react(self, event):
        request = self.request
        if request is None:
            return
        if type(event) is ResponseHead:
            request.status = event.status
            text = event.headers.get(b"retry-after")
            request.come_back = int(float(text) * SECOND) if text else 0
        elif type(event) is BodyPart:
            request.body += event.data
        elif type(event) is ResponseEnd:
            request.answered = self.clients.clock.now()
            self._finish(ANSWERED)

    def _finish(self, how):
        if self.request is not None:
            self.request.how, self.request.ended = how, self.clients.clock.now()
            self.previous_request, self.request = self.request, None
            if not self.done_future.done():
                self.done_future.set_result(how)

    def eof_received(self):
        self.ended_cleanly = True
        return False

    def connection_lost(self, fault):
        self.is_open = False
        if self.request is not None and self.has_received:
            try:  # the end of the connection may be the end of the answer
                for event in self.http.feed_data(b""):
                    self._react(event)
            except InvalidResponseError:
                pass
        self._finish(CLOSED)
        self.clients.remove_idle_connection(self)

    def abandon(self, how):
        """Gives up the present request with this outcome and resets the connection."""
        self._finish(how)
        self.transport.abort()

    @property
    def can_be_reused(self):
        return self.is_open and not self.transport.is_closing() and self.http.is_reusable


class Clients:
    """All clients of one process. `balancer` selects a dispatcher for each request; every request is appended
    to `requests`, and every work item with the list of its requests to `wants`."""

    def __init__(self, clock, random, balancer, requests, wants, find_disturbance=lambda *_: None):
        self.clock, self.random, self.balancer, self.requests, self.wants = (
            clock,
            random,
            balancer,
            requests,
            wants,
        )
        self.find_disturbance = find_disturbance  # as Observations.find_disturbance
        self.loop = None
        self.idle_connections = {}  # dispatcher -> its idle connections, the newest last
        self.tasks = {}
        self.open_work_items = 0  # work items that have no final result yet

    def start(self):
        self.loop = asyncio.get_running_loop()

    async def run_flow(self, arrivals):
        """Submits all work items of a flow at their times."""
        while (item := arrivals.draw_next()) is not None:
            await asyncio.sleep(max(0, item.arrived_at - self.clock.now()) / SECOND)
            task = asyncio.create_task(self._submit_work_item(item))
            self.tasks[task] = None
            task.add_done_callback(lambda task: self.tasks.pop(task, None))

    async def _submit_work_item(self, item):
        tries = []
        self.wants.append((item, tries))
        self.open_work_items += 1
        try:
            tried = lost = 0
            while True:
                request = await self._attempt(item, tried)
                if request is None:
                    return
                tries.append(request)
                if item.flow.returns and request.how in (CLOSED, UNSENT):
                    # The outcome is unknown to the client; only the time left bounds such retries.
                    lost += 1
                    tried += 1
                    await asyncio.sleep(draw_retry_pause(lost, 0, self.random) / SECOND)
                    continue
                if request.status not in (429, 503) or tried >= item.flow.retries and not lost:
                    return
                tried += 1
                if item.flow.wait:
                    pause = draw_retry_pause(tried, request.come_back, self.random)
                    await asyncio.sleep(pause / SECOND)
        finally:
            self.open_work_items -= 1

    async def _attempt(self, item, tried):
        """Sends one request and returns its record, or None where too little time is left for it."""
        id = f"{self.random.getrandbits(64):016x}"
        while True:
            now = self.clock.now()
            time_left = item.arrived_at + item.kind.expiry - now
            if item.patience:
                time_left = min(time_left, item.arrived_at + item.patience - now)
            if time_left < MIN_TIME_LEFT_NS:
                return None
            dispatcher = self.balancer.pick_dispatcher()
            connection = None
            if dispatcher is not None:
                connection = await self._get_connection(dispatcher, time_left)
            if connection is None:
                await asyncio.sleep(0.02)
                continue
            if item.arrived_at + item.kind.expiry - self.clock.now() < MIN_TIME_LEFT_NS:
                # Connecting took up the time left. Guards against requests with a negative deadline, which
                # were answered 400 and counted against the dispatcher.
                self.idle_connections[dispatcher].append(connection)
                return None
            request = ClientRequest(len(self.requests), id, item, tried, dispatcher)
            self.requests.append(request)
            return await self._send_request(request, connection)

    async def _get_connection(self, dispatcher, time_left, fresh=False):
        """Returns an idle connection, or a new one (always if `fresh`); None if connecting fails."""
        pool = self.idle_connections.setdefault(dispatcher, [])
        while pool and not fresh:
            connection = pool.pop()
            if connection.can_be_reused:
                return connection
        host, port = self.balancer.get_address(dispatcher)
        try:
            async with asyncio.timeout(min(CONNECT_TIMEOUT_SECONDS, time_left / SECOND)):
                _, connection = await self.loop.create_connection(
                    lambda: ClientConnection(self, dispatcher), host, port
                )
        except OSError:  # includes TimeoutError
            return None
        return connection

    async def _send_request(self, request, connection):
        item = request.wanted
        now = self.clock.now()
        request.expiry = item.arrived_at + item.kind.expiry
        data = self._encode_request(request, connection, request.expiry - now)
        request.sent = now
        request.how = UNANSWERED
        gives_up_at = item.arrived_at + item.patience if item.patience else request.expiry + LATE_ANSWER_NS
        while True:
            reused = connection.used
            done_future = connection.send(request, data)
            timer = self.loop.call_later(
                max(0, gives_up_at - self.clock.now()) / SECOND,
                connection.abandon,
                LEFT if item.patience else UNANSWERED,
            )
            how = await done_future
            timer.cancel()
            was_closed_while_idle = (
                how == CLOSED and reused and not connection.has_received and not request.resent
            )
            if was_closed_while_idle and (
                connection.ended_cleanly
                or not self.find_disturbance(request.dispatcher, request.sent, self.clock.now())
            ):
                # The dispatcher closed the idle connection as the request was sent: sends it again on a new
                # one. Not after the reset that a killed dispatcher leaves, which may have read the request.
                request.resent = True
                new_connection = await self._get_connection(
                    request.dispatcher, max(MIN_TIME_LEFT_NS, request.expiry - self.clock.now()), fresh=True
                )
                if new_connection is not None:
                    connection, request.how, request.ended = new_connection, UNANSWERED, 0
                    data = self._encode_request(
                        request, connection, max(MIN_TIME_LEFT_NS, request.expiry - self.clock.now())
                    )
                    continue
                request.how = UNSENT  # no new connection came up in the time left
            break
        if how == ANSWERED and connection.can_be_reused:
            self.idle_connections[request.dispatcher].append(connection)
        elif connection.is_open:
            connection.transport.close()
        return request

    def _encode_request(self, request, connection, time_left):
        item = request.wanted
        kind = item.kind
        body = {"work": item.work}
        if kind.slots != 1.0:
            body["slots"] = kind.slots
        if kind.memory:
            body["memory"] = kind.memory
        body = json.dumps(body).encode()
        body += b" " * max(0, item.flow.size - len(body))
        headers = [(b"Req-Id", request.id.encode()), (b"Req-Deadline", b"%.6f" % (time_left / SECOND))]
        if item.ticket:
            headers.append((b"Idempotency-Key", item.ticket.encode()))
        if request.tried:
            headers.append((b"Req-Retry", b"1"))
        if kind.slots != 1.0 or kind.memory:
            headers.append((b"Req-Extra", f"slots={kind.slots},memory={kind.memory}".encode()))
        return connection.http.encode_request(b"POST", f"/{kind.name}?sid={item.key}".encode(), headers, body)

    def remove_idle_connection(self, connection):
        pool = self.idle_connections.get(connection.dispatcher)
        if pool and connection in pool:
            pool.remove(connection)


class ConnectionBalancer:
    """A load balancer in front of the dispatchers, as the clients see it. A dispatcher receives connections
    once its `/-/ready` answers 200, and until some time after its death."""

    READY_CHECK_SECONDS = 0.05  # interval of health checks of a dispatcher that is not ready

    def __init__(self, random):
        self.random = random
        self.addresses = {}
        self.weights = {}  # dispatcher -> its relative share of new connections
        self.cumulative_weights = None  # of the ready dispatchers; None where all weights are equal
        self.ready = []  # dispatchers that receive connections, sorted
        self.ready_checks = {}  # dispatcher -> the task that checks whether it is ready
        self.loop = None

    def add(self, dispatcher, address, weight=1.0):
        self.addresses[dispatcher] = address
        self.weights[dispatcher] = weight

    def update_weights(self):
        """Has to be called when weights or the ready dispatchers have changed."""
        weights = [self.weights[name] for name in self.ready]
        self.cumulative_weights = list(accumulate(weights)) if len(set(weights)) > 1 else None

    def get_address(self, dispatcher):
        return self.addresses[dispatcher]

    def pick_dispatcher(self):
        """Draws a ready dispatcher by weight, or returns None."""
        if not self.ready:
            return None
        if self.cumulative_weights is None:
            return self.random.choice(self.ready)
        return self.ready[
            bisect_right(self.cumulative_weights, self.random.random() * self.cumulative_weights[-1], 0, -1)
        ]

    def start(self):
        self.loop = asyncio.get_running_loop()
        for dispatcher in self.addresses:
            self.start_ready_check(dispatcher)

    def start_ready_check(self, dispatcher):
        """Starts health checks of a dispatcher, which go on until it is ready."""
        if dispatcher not in self.ready_checks:
            self.ready_checks[dispatcher] = asyncio.create_task(self._wait_until_ready(dispatcher))

    def schedule_removal(self, dispatcher, delay_seconds):
        """Removes a dispatcher that has died or is stopping after a delay, then checks its health again."""
        if self.loop is not None:  # it is None where another process runs the clients
            self.loop.call_later(delay_seconds, self._remove, dispatcher)

    def _remove(self, dispatcher):
        if dispatcher in self.ready:
            self.ready.remove(dispatcher)
            self.update_weights()
        self.start_ready_check(dispatcher)

    async def _wait_until_ready(self, dispatcher):
        try:
            while not await self._is_ready(dispatcher):
                await asyncio.sleep(self.READY_CHECK_SECONDS)
            if dispatcher not in self.ready:
                self.ready.append(dispatcher)
                self.ready.sort()
                self.update_weights()
        finally:
            self.ready_checks.pop(dispatcher, None)

    async def _is_ready(self, dispatcher):
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
                reader, writer = await asyncio.open_connection(*self.addresses[dispatcher])
                try:
                    writer.write(b"GET /-/ready HTTP/1.1\r\nHost: front\r\nConnection: close\r\n\r\n")
                    return b" 200 " in await reader.readline()
                finally:
                    writer.transport.abort()
        except OSError:
            return False
