"""The stand-in discovery: serves a roster to all dispatchers by the operators' protocol."""

import json
from urllib.parse import parse_qs, urlsplit

from heronwinch.interface import SECOND
from heronwinch.rehearsal.load_counters import LoadCounters
from heronwinch.rehearsal.standins.http import HttpServer


class DiscoveryServer(HttpServer):
    """Serves a Roster over HTTP.

    Answers calls one after another, each in `call_duration_ns`; a call that would wait longer than
    `max_wait_ns` is answered 503. Each dispatcher calls an address of its own, so the server knows what it
    has told to whom."""

    def __init__(self, roster, clock, call_duration_ns=1_000_000, max_wait_ns=2 * SECOND, load_counters=None):
        super().__init__(clock)
        self.roster, self.call_duration_ns, self.max_wait_ns = roster, call_duration_ns, max_wait_ns
        self.load_counters = load_counters or LoadCounters()
        self.free_at_ns = 0  # when all calls that wait will have been answered
        self.dispatchers_by_port = {}  # port -> dispatcher
        self.watches = {}  # exchange -> (dispatcher, version, timer that ends the watch)
        self.change_timer = None
        self.call_count = 0

    async def listen_for(self, dispatcher, host="127.0.0.1", port=0):
        """Opens an address for one dispatcher; returns its host and port."""
        address = await self.listen(host, port)
        self.dispatchers_by_port[address[1]] = dispatcher
        return address

    def handle_request(self, exchange):
        self.call_count += 1
        now = self.clock.now()
        dispatcher = self.dispatchers_by_port[exchange.connection.transport.get_extra_info("sockname")[1]]
        path = urlsplit(exchange.request.target.decode("latin-1"))
        if path.path != "/api/targets":
            exchange.respond(404)
            return
        parameters = {name: int(value[0]) for name, value in parse_qs(path.query).items()}
        self.record_call(parameters)
        self.load_counters.record_list_call(now)
        if self.roster.active_outages:
            exchange.respond(503) if self.call_count % 2 else exchange.reset()
            return
        begins_at = max(now, self.free_at_ns)
        if begins_at - now > self.max_wait_ns:
            self.load_counters.record_refused_call(now)
            exchange.respond(503)
            return
        self.free_at_ns = begins_at + self.call_duration_ns
        self.loop.call_later(
            (self.free_at_ns - now) / SECOND, self._answer_call, exchange, dispatcher, parameters
        )

    def record_call(self, parameters):
        """A hook for subclasses that count or keep the calls."""

    def _answer_call(self, exchange, dispatcher, parameters):
        if exchange.over:
            return
        now = self.clock.now()
        if "index" not in parameters:
            self._send_list(exchange, dispatcher, self.roster.build_full_answer(now))
            return
        tree = self.roster.build_watch_answer(now, parameters["index"])
        if tree is not None:
            self._send_list(exchange, dispatcher, tree)
            return
        seconds = min(60_000, parameters.get("wait", 0)) / 1000
        timer = self.loop.call_later(seconds, self._answer_expired_watch, exchange)
        self.watches[exchange] = dispatcher, parameters["index"], timer
        self._schedule_next_change()

    def localize_list(self, dispatcher, tree):
        """A hook that changes the addresses of workers in a list to those that this dispatcher uses."""
        return tree

    def _send_list(self, exchange, dispatcher, tree):
        self.roster.record_told(self.clock.now(), dispatcher, tree)
        tree = self.localize_list(dispatcher, tree)
        exchange.respond(200, json.dumps(tree).encode())

    def _answer_expired_watch(self, exchange):
        dispatcher, _, _ = self.watches.pop(exchange)
        self._send_list(exchange, dispatcher, self.roster.build_empty_answer(self.clock.now()))

    def handle_client_left(self, exchange):
        watch = self.watches.pop(exchange, None)
        if watch is not None:
            watch[2].cancel()

    # ---- changes

    def publish_changes(self):
        """Answers watches with the changes that are now visible. Called after each change of the roster."""
        self.roster.apply_due_changes(self.clock.now())
        for exchange, (dispatcher, version, timer) in list(self.watches.items()):
            tree = self.roster.build_watch_answer(self.clock.now(), version)
            if tree is not None:
                timer.cancel()
                del self.watches[exchange]
                self._send_list(exchange, dispatcher, tree)
        self._schedule_next_change()

    def _schedule_next_change(self):
        if self.change_timer is not None:
            self.change_timer.cancel()
            self.change_timer = None
        next_change_at = self.roster.get_next_change_at()
        if next_change_at is not None:
            self.change_timer = self.loop.call_later(
                max(0, next_change_at - self.clock.now()) / SECOND, self.publish_changes
            )

    def abort_watches(self):
        """Resets the connections of all watches, as an outage does."""
        for exchange, (_, _, timer) in list(self.watches.items()):
            timer.cancel()
            exchange.reset()
        self.watches.clear()

    def close_address(self, port):
        """Closes an address that its dispatcher no longer uses, and resets the connections there."""
        for server in list(self.servers):
            if server.sockets and server.sockets[0].getsockname()[1] == port:
                server.close()
                self.servers.remove(server)
        for connection in list(self.connections):
            if connection.transport.get_extra_info("sockname")[1] == port:
                connection.abort()
