"""The stand-in worker: serves a worker model by the operators' protocol."""

import json
from math import inf

from heronwinch.interface import SECOND
from heronwinch.rehearsal.load_counters import LoadCounters
from heronwinch.rehearsal.models.worker import (
    BROKEN,
    DECLINED,
    DONE,
    FAILED,
    LOST,
    PROGRESS,
    RETURNED,
    STARTED,
    TAKEN,
    Job,
)
from heronwinch.rehearsal.standins.http import HttpServer

# Invalid responses, for the trouble `garble`.
GARBAGE = (
    b"HTTP/1.1 2 nothing\r\n\r\n",
    b"\x00\xff\x00\xff",
    b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n{]\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n",
)


class WorkerServer(HttpServer):
    """Serves a WorkerModel over HTTP.

    `category_traits` maps names of categories to their CategoryTraits. `reports` says where load reports are
    sent: in answers and probes ("answers"), in probes alone ("probe") or nowhere ("none"). `on_collapse` is
    called when the model collapses."""

    def __init__(
        self, model, clock, category_traits, reports="answers", probes=True, max_connections=1 << 30,
        idle_timeout_ns=0, on_collapse=lambda: None, load_counters=None,
    ):  # fmt: skip
        super().__init__(clock, max_connections, idle_timeout_ns)
        self.model, self.category_traits, self.reports, self.probes, self.on_collapse = (
            model,
            category_traits,
            reports,
            probes,
            on_collapse,
        )
        self.load_counters = load_counters or LoadCounters()
        self.exchanges = {}  # RunRecord -> the Exchange of its hand-off
        self.paused_exchanges = []  # requests that arrived while the model is paused
        self.timer = None
        self.timer_at = inf
        self.request_count = 0
        self.forged = []  # (time, target, reason) of each hand-off in a form that no client sends

    def build_load(self):
        """Builds a load report as {name: figure}."""
        return self.model.build_report(self.clock.now())

    def encode_load(self):
        return ",".join(f"{name}={figure}" for name, figure in self.build_load().items()).encode()

    def handle_request(self, exchange):
        if self.clock.now() < self.model.paused_until:
            self.paused_exchanges.append(exchange)
        elif exchange.request.method == b"GET":
            self._answer_probe(exchange)
        else:
            self._handle_hand_off(exchange)
        self.process_due_events()

    def handle_connection_start(self):
        self.load_counters.record_connection(self.clock.now(), len(self.connections))

    def _answer_probe(self, exchange):
        self.load_counters.record_probe(self.clock.now())
        path = exchange.request.target
        if self.model.has_fault("mute"):
            return
        if not self.probes or path not in (b"/-/load", b"/-/healthy"):
            exchange.respond(404)
            return
        has_report = self.reports != "none" and path == b"/-/load"
        exchange.respond(503 if self.model.is_draining else 200, self.encode_load() if has_report else b"")

    def _handle_hand_off(self, exchange):
        self.request_count += 1
        now = self.clock.now()
        try:
            job, result = self.parse_job(exchange, now)
        except (KeyError, ValueError, TypeError) as error:
            reason = f"{type(error).__name__}: {error}"
            self.forged.append((now, exchange.request.target.decode("latin-1"), reason))
            exchange.respond(404 if b"req-id" not in exchange.headers else 400)
            return
        if self.model.has_fault("garble"):
            run = self.model.offer(now, job, exchange.first_byte, result)
            self.model.events = [event for event in self.model.events if event[0] is not run]
            run.connection_lost_at = now
            exchange.send_raw(GARBAGE[run.number % len(GARBAGE)])
            exchange.reset()
            return
        exchange.tag = run = self.model.offer(now, job, exchange.first_byte, result)
        self.exchanges[run] = exchange

    def parse_job(self, exchange, now):
        """Returns the job of a hand-off and its result, "" where the model makes it.

        Raises KeyError, ValueError or TypeError for a request that can't be parsed."""
        headers = exchange.headers
        name = exchange.request.target.decode().partition("?")[0].strip("/").split("/")[0]
        traits, parameters = self.category_traits[name], json.loads(exchange.body)
        seconds_left = float(headers.get(b"req-deadline", b"3600"))
        ticket = headers.get(b"idempotency-key", b"").decode()
        job = Job(
            headers[b"req-id"].decode(), name, traits.effect, ticket, traits.window, int(parameters["work"]),
            float(parameters.get("slots", 1)), float(parameters.get("memory", 0)),
            now + int(seconds_left * SECOND), traits.running,
        )  # fmt: skip
        return job, ""

    def handle_client_left(self, exchange):
        run = exchange.tag
        if run is not None:
            self.exchanges.pop(run, None)
            run.connection_lost_at = self.clock.now()
            self.model.cancel(self.clock.now(), run)
            self.process_due_events()
        elif exchange in self.paused_exchanges:
            self.paused_exchanges.remove(exchange)

    # ---- events of the model

    def process_due_events(self):
        """Brings the model up to now, sends its events and sets the timer for the next one."""
        model, now = self.model, self.clock.now()
        model.advance_to(now)
        if self.paused_exchanges and now >= model.paused_until:
            paused_exchanges, self.paused_exchanges = self.paused_exchanges, []
            for exchange in paused_exchanges:
                if not exchange.over:
                    self.handle_request(exchange)
            model.advance_to(now)
        while model.events:  # while these are sent, which takes time, further ones may come about
            due_events, model.events = model.events, []
            for run, event, figure in due_events:
                exchange = self.exchanges.get(run)
                if exchange is not None:
                    self._send_event(run, exchange, event, figure)
        if model.has_collapsed:
            self.on_collapse()
            return
        next_event_at = model.get_next_event_at()
        if self.paused_exchanges:
            next_event_at = min(next_event_at, model.paused_until)
        self._schedule_timer(next_event_at)

    def _schedule_timer(self, next_event_at):
        if next_event_at == self.timer_at:
            return
        if self.timer is not None:
            self.timer.cancel()
        self.timer, self.timer_at = None, next_event_at
        if next_event_at < inf:
            self.timer = self.loop.call_later(
                max(0, next_event_at - self.clock.now()) / SECOND, self._handle_timer
            )

    def _handle_timer(self):
        self.timer, self.timer_at = None, inf
        self.process_due_events()

    def _send_event(self, run, exchange, event, figure):
        fields = {"id": run.job.id, "from": self.model.name}
        if event == TAKEN:
            exchange.start_chunked()
        elif event == STARTED:
            exchange.send_line(**fields, state="started")
        elif event == PROGRESS:
            exchange.send_line(**fields, state="running", share=figure)
        elif event == DECLINED:
            del self.exchanges[run]
            headers = [(b"Srv-Declined", b"1")]
            if self.reports == "answers":
                headers.append((b"Srv-Load", self.encode_load()))
            exchange.respond(503, b"", *headers)
        elif event == FAILED and not exchange.headed:
            del self.exchanges[run]
            exchange.respond(500)
        elif event == BROKEN:
            del self.exchanges[run]
            exchange.reset()
        else:
            del self.exchanges[run]
            state = {DONE: "done", FAILED: "failed", RETURNED: "returned", LOST: "lost"}[event]
            load = {"load": self.build_load()} if self.reports == "answers" else {}
            result = {"result": run.result} if event == DONE else {}
            exchange.send_line(**fields, state=state, **load, **result)
            exchange.finish()
