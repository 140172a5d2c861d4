"""The HTTP/1.1 server of the stand-ins: one request at a time on each connection."""

import asyncio
import json

import h11

MAX_BODY_BYTES = 1 << 20


class Exchange:
    """One request and the response to it.

    `first_byte` is the time of the request's first byte; `tag` is for the server that responds; `over` tells
    that the response is complete or that nobody waits for it."""

    __slots__ = ("connection", "request", "body", "first_byte", "tag", "over", "headed")

    def __init__(self, connection, request, first_byte):
        self.connection, self.request, self.first_byte = connection, request, first_byte
        self.body = b""
        self.tag = None
        self.over = False
        self.headed = False  # whether the head of the response has been sent

    @property
    def headers(self):
        return dict(self.request.headers)

    def send_head(self, status, *headers):
        self.headed = True
        self._send_event(h11.Response(status_code=status, headers=[*headers], reason=b""))

    def start_chunked(self):
        """Sends the head of a response with chunked transfer encoding."""
        self.send_head(200, (b"Transfer-Encoding", b"chunked"))

    def send_line(self, **fields):
        """Sends the fields as a line of JSON in a chunked response."""
        self._send_event(h11.Data(data=json.dumps(fields).encode() + b"\n"))

    def finish(self, body=b""):
        """Sends the rest of the body and ends the response."""
        if body:
            self._send_event(h11.Data(data=body))
        self._send_event(h11.EndOfMessage())
        self.over = True
        self.connection.finish_exchange(self)

    def respond(self, status, body=b"", *headers):
        """Sends a complete response."""
        self.send_head(status, (b"Content-Length", b"%d" % len(body)), *headers)
        self.finish(body)

    def send_raw(self, data):
        """Writes bytes to the connection that need not be valid HTTP."""
        if self.connection.transport is not None:
            self.connection.transport.write(data)

    def reset(self):
        self.over = True
        self.connection.abort()

    def _send_event(self, event):
        connection = self.connection
        if self.over or connection.transport is None or connection.transport.is_closing():
            return
        try:
            connection.transport.write(connection.h11.send(event))
        except h11.LocalProtocolError:
            connection.abort()  # invalid bytes were sent in the middle of a response


class ServerConnection(asyncio.Protocol):
    """A connection to a stand-in's server."""

    def __init__(self, server):
        self.server = server
        self.h11 = h11.Connection(h11.SERVER)
        self.transport = None
        self.exchange = None  # the Exchange whose response is not complete yet
        self.idle_since = server.clock.now()
        self.request_began_at = 0  # when the first byte of the present request arrived, 0 between requests

    def connection_made(self, transport):
        transport = self.transport = self.server.wrap_transport(transport)
        self.server.accepted_connections += 1
        if len(self.server.connections) >= self.server.max_connections:
            transport.abort()
            return
        self.server.connections[self] = None
        self.server.handle_connection_start()

    def data_received(self, data):
        if not self.request_began_at:
            self.request_began_at = self.server.clock.now()
        self.h11.receive_data(data)
        self._process_events()

    def _process_events(self):
        try:
            while self.transport is not None and not self.transport.is_closing():
                event = self.h11.next_event()
                kind = type(event)
                if kind is h11.Request:
                    self.exchange = Exchange(self, event, self.request_began_at)
                elif kind is h11.Data:
                    self.exchange.body += event.data
                    if len(self.exchange.body) > MAX_BODY_BYTES:
                        return self.abort()
                elif kind is h11.EndOfMessage:
                    self.server.handle_request(self.exchange)
                else:
                    return
        except h11.RemoteProtocolError:
            self.server.unreadable_requests += 1
            self.abort()

    def finish_exchange(self, exchange):
        """Prepares for the next request, or closes the connection if it can't carry one."""
        if exchange is not self.exchange:
            return
        self.exchange = None
        self.idle_since = self.server.clock.now()
        self.request_began_at = 0
        if self.h11.our_state is not h11.DONE or self.h11.their_state is not h11.DONE:
            if self.transport is not None:
                self.transport.close()
        else:
            self.h11.start_next_cycle()
            if self.h11.trailing_data[0]:
                self._process_events()

    def eof_received(self):
        self._end_exchange()
        return False

    def connection_lost(self, fault):
        self.server.connections.pop(self, None)
        self._end_exchange()
        self.server.handle_connection_end(self.transport)
        self.transport = None

    def _end_exchange(self):
        """Ends an unfinished exchange: a client that closes, or closes its sending side, waits no more."""
        exchange, self.exchange = self.exchange, None
        if exchange is not None and not exchange.over:
            exchange.over = True
            self.server.handle_client_left(exchange)

    def abort(self):
        if self.transport is not None:
            self.transport.abort()


class HttpServer:
    """The base class of stand-in servers; `clock.now()` returns whole nanoseconds."""

    def __init__(self, clock, max_connections=1 << 30, idle_timeout_ns=0):
        self.clock = clock
        self.max_connections = max_connections  # further connections are reset
        self.idle_timeout_ns = idle_timeout_ns  # between two requests on a connection; 0: unlimited
        self.connections = {}
        self.accepted_connections = 0
        self.unreadable_requests = 0  # requests that are not valid HTTP
        self.servers = []
        self.loop = None
        self.has_ended = False  # whether its process has ended, or is to end once it listens

    async def listen(self, host="127.0.0.1", port=0):
        """Opens a further listening socket; returns its host and port."""
        self.loop = asyncio.get_running_loop()
        server = await self.loop.create_server(lambda: ServerConnection(self), host, port)
        self.servers.append(server)
        if self.idle_timeout_ns and len(self.servers) == 1:
            self.loop.call_later(self.idle_timeout_ns / 4e9, self._close_idle_connections)
        return server.sockets[0].getsockname()[:2]

    def _close_idle_connections(self):
        if not self.servers:
            return
        idle_before = self.clock.now() - self.idle_timeout_ns
        for connection in list(self.connections):
            if (
                connection.exchange is None
                and not connection.request_began_at
                and connection.idle_since <= idle_before
            ):
                connection.transport.close()
        self.loop.call_later(self.idle_timeout_ns / 4e9, self._close_idle_connections)

    def wrap_transport(self, transport):
        """A hook that wraps a connection's transport, to inject network faults between the two ends."""
        return transport

    def handle_connection_end(self, transport):
        """A hook for the end of a connection."""

    def list_sockets(self):
        return [sock for server in self.servers for sock in server.sockets]

    def stop_listening(self):
        """Closes the listening sockets, so that new connections are refused."""
        servers, self.servers = self.servers, []
        for server in servers:
            server.close()

    def abort_all(self):
        """Resets all connections and refuses new ones, as when its process is killed."""
        self.stop_listening()
        for connection in list(self.connections):
            connection.abort()

    def handle_connection_start(self):
        """A hook for subclasses that count connections."""

    def handle_request(self, exchange):
        """Has to respond to a complete request, at once or later."""
        raise NotImplementedError

    def handle_client_left(self, exchange):
        """A hook for a client that has left before its response was complete."""
