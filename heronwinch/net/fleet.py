"""Runs the membership view on sockets: datagrams for the protocol, streams for exchanges of full views.
Passes changes of the view to the policy module and the log.

Imported only if the configuration has a section `fleet`. No decision waits for anything here."""

import asyncio
import contextlib
from collections import Counter
from ipaddress import ip_address
from random import Random

import structlog

from heronwinch import interface
from heronwinch.fleet.divisor import BudgetDivisor
from heronwinch.fleet.messages import (
    JOINING,
    MAX_FULL_VIEW_BYTES,
    SERVING,
    STATE_NAMES,
    SUSPECT,
    MemberRecord,
)
from heronwinch.fleet.view import MembershipView
from heronwinch.net import sockets

log = structlog.get_logger()

# Counted in program.FLEET_DESCRIPTORS, with the two listening sockets and streams just accepted.
MAX_STREAMS_PER_DIRECTION = 6
ACCEPTS_PER_LOOP_TURN = 2
EXCHANGE_TIMEOUT_SECONDS = 2.0  # time limit of one exchange of full views
MAX_SEND_BUFFER_BYTES = 64 * 1024  # when it is full, datagrams are dropped, as a network may drop them
RATE_INTERVAL_SECONDS = 1.0  # interval of updates of the own work rate and share
PUBLISH_DELAY_SECONDS = 0.05  # changes of the view are gathered for this long, then published
LISTEN_RETRY_SECONDS = 0.1  # interval of tries to listen on an address that the predecessor still holds
VIEW_LOG_INTERVAL_SECONDS = 0.1  # least time between two log lines on the view
SHARE_CHANGE_THRESHOLD = 0.1  # least relative change of the traffic share that is published


class FleetDatagramProtocol(asyncio.DatagramProtocol):
    """Passes received datagrams to a FleetService and counts socket errors."""

    def __init__(self, fleet):
        self.fleet = fleet

    def datagram_received(self, data, address):
        self.fleet.receive_datagram(data)

    def error_received(self, error):
        self.fleet.view.counters["unsendable"] += 1


class FleetService:
    """Sockets, timers and outputs of the membership view. Needs a configuration with `config.fleet` set."""

    def __init__(self, config, machine, engine, counters):
        self.config, self.settings = config, config.fleet
        self.machine, self.engine, self.counters = machine, engine, counters
        self.loop = asyncio.get_running_loop()
        random = Random(f"{config.seed}/{config.name}/{machine.now()}")
        areas = config.names.areas
        area = areas[config.terms.area] if config.terms.area < len(areas) else ""
        own_record = MemberRecord(
            config.name,
            JOINING,
            machine.now() // interface.SECOND,
            random.getrandbits(61),
            self.settings.advertised,
            area,
        )
        seeds = [member for member in self.settings.members if member != self.settings.advertised]
        self.view = MembershipView(own_record, self.settings.name, seeds, random)
        self.divisor = BudgetDivisor(not seeds)
        self.transport = self.server = self.timer = None
        self.open_streams = Counter()  # open streams by direction, "in" and "out"
        self.tasks = set()
        self.last_published = None  # the last interface.FleetView passed to the policy module
        self.processes_at_address = 1  # two during a hand-over: they split this dispatcher's share
        self.view_changed_at = machine.now()  # when the digest last changed
        self.published_digest = self.logged_digest = self.published_change_count = None
        self.log_is_scheduled = self.publish_is_scheduled = False
        self.name_was_taken = False
        self.last_accepted_count = 0  # engine.accepted_count at the last update
        # "messages" and "bytes" per second, smoothed; their totals under "total_...".
        self.traffic_rates = Counter()
        self.is_closed = False
        self.ledger = None  # the service of net/ledger.py that handles key queries and replies, if any

    # ---- start and stop

    async def open_sockets(self, waits_for_address):
        """Listens and starts the view. With `waits_for_address`, retries until the predecessor process
        releases the address; otherwise raises OSError if it is in use."""
        while not self.is_closed:
            try:
                await self._listen()
                break
            except OSError:
                if not waits_for_address:
                    raise
                await asyncio.sleep(LISTEN_RETRY_SECONDS)
        if self.is_closed:
            return
        self.view.start(self.machine.now())
        self.view.announce_serving(self.machine.now())
        self._update_rates()
        self._run_timers()

    async def _listen(self):
        host, port = self.settings.listen
        transport, _ = await self.loop.create_datagram_endpoint(
            lambda: FleetDatagramProtocol(self), local_addr=(host, port)
        )
        try:
            sock = self.machine.create_listening_socket(host, port)
            self.server = await sockets.serve(self._accept_exchange, sock, ACCEPTS_PER_LOOP_TURN)
            sock.listen(64)
        except BaseException:
            transport.close()
            raise
        self.transport = transport

    def open_in_background(self):
        """Starts a task that opens the sockets once the predecessor process, still serving, releases them."""
        self._start_task(self.open_sockets(True))

    def announce_leaving(self):
        """Tells the other members that this dispatcher drains."""
        if self.transport is not None:
            self.view.announce_leaving(self.machine.now())
            self._run_timers()

    def close(self, leaves_fleet=True):
        """Stops. With `leaves_fleet`, tells the others that this dispatcher left and hands nothing off any
        more; a process that is replaced stays silent, as its successor keeps the name."""
        self.is_closed = True
        if self.transport is not None and leaves_fleet:
            self.view.announce_left(self.machine.now())
            self.flush_output()
            totals = self.view.counters
            log.info(
                "view_sum",
                sent=totals["sent"],
                sent_bytes=totals["sent_bytes"],
                received=totals["received"],
                called_gone=totals["called_gone"],
                stalls=totals["stalls"],
            )
        for task in list(self.tasks):
            task.cancel()
        if self.timer is not None:
            self.timer.cancel()
        if self.transport is not None:
            self.transport.close()
            self.server.close()

    def _start_task(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    # ---- calls of the view

    def receive_datagram(self, data):
        """Passes a datagram to the view."""
        self._call_view(self.view.receive_datagram, data)

    def _call_view(self, call, *args):
        """Calls a method of the view and sends its output. Counts and logs any exception, because no received
        message may bring the dispatcher down."""
        try:
            return call(self.machine.now(), *args)
        except Exception:
            if self.counters.count("fleet_fault"):
                log.exception("fleet_fault")
        finally:
            self.flush_output()

    def _run_timers(self):
        if self.is_closed:
            return
        if self.timer is not None:
            self.timer.cancel()
        if self.view.due <= self.machine.now():
            self._call_view(self.view.tick)
        else:
            self.flush_output()
        wait = max(0.001, (self.view.due - self.machine.now()) / interface.SECOND)
        self.timer = self.loop.call_later(wait, self._run_timers)

    def flush_output(self):
        """Sends and starts whatever the view has queued, and schedules the publication of changes."""
        view = self.view
        if view.key_queries or view.key_replies:
            (queries, view.key_queries), (replies, view.key_replies) = (
                (view.key_queries, []),
                (view.key_replies, []),
            )
            for message in queries:
                self.ledger.answer_key_query(message)
            for message in replies:
                self.ledger.handle_key_reply(message)
        datagrams, view.outgoing = view.outgoing, []
        for host, data in datagrams:
            if self.transport is None or self.transport.get_write_buffer_size() > MAX_SEND_BUFFER_BYTES:
                view.counters["unsent"] += 1
                continue
            try:
                self.transport.sendto(data, _parse_address(host))
            except (OSError, ValueError):
                view.counters["unsendable"] += 1
        hosts, view.pending_exchanges = view.pending_exchanges, []
        for host in hosts:
            if self.open_streams["out"] < MAX_STREAMS_PER_DIRECTION and not self.is_closed:
                self._start_task(self._exchange_views(host))
        gone_records, view.declared_gone = view.declared_gone, []
        for record in gone_records:
            log.info("member_gone", member=record.name, life=record.life)
        # This is not done for each datagram: recounting hundreds of members took more time than all the rest.
        if view.change_count != self.published_change_count and not self.publish_is_scheduled:
            self.publish_is_scheduled = True
            self.loop.call_later(PUBLISH_DELAY_SECONDS, self._publish_view)

    def _publish_view(self):
        """Passes a changed view to the ledger, the policy module and the log."""
        self.publish_is_scheduled = False
        if self.is_closed:
            return
        self.published_change_count = self.view.change_count
        now, table = self.machine.now(), self.view.table
        if self.ledger is not None:
            self.ledger.record_roster(table)
        shared_divisor = self.divisor.update(now, self.view) * self.processes_at_address
        serving = Counter(
            record.area for record in table.list_present_records() if record.state in (SERVING, SUSPECT)
        )
        event = interface.FleetView(
            shared_divisor,
            tuple(serving[area] for area in self.config.names.areas),
            self.view.compute_traffic_share() / self.processes_at_address,
        )
        previous = self.last_published
        if previous is None or previous.budget_divisor != shared_divisor:
            log.info("view_parts", divide=shared_divisor)
        if (
            previous is None
            or previous[:2] != event[:2]
            or abs(event.traffic_share - previous.traffic_share)
            > SHARE_CHANGE_THRESHOLD * previous.traffic_share
        ):
            self.last_published = self.engine.last_fleet_event = event
            self.engine.post(event)
        if table.digest != self.published_digest:
            self.published_digest, self.view_changed_at = table.digest, now
            if not self.log_is_scheduled:
                self.log_is_scheduled = True
                self.loop.call_later(VIEW_LOG_INTERVAL_SECONDS, self._log_view)
        if table.has_yielded_name != self.name_was_taken:
            self.name_was_taken = table.has_yielded_name
            if table.has_yielded_name:
                log.error("name_taken", name=self.config.name, by=table.records[self.config.name].host)

    def _log_view(self):
        self.log_is_scheduled = False
        table = self.view.table
        if table.digest != self.logged_digest and not self.is_closed:
            self.logged_digest = table.digest
            log.info(
                "view",
                here=table.present_count,
                digest=f"{table.digest:014x}",
                divide=self.last_published.budget_divisor,
            )

    def _update_rates(self):
        """Periodically updates the own work rate and the rates of messages and bytes, then publishes."""
        if self.is_closed:
            return
        self.loop.call_later(RATE_INTERVAL_SECONDS, self._update_rates)
        self.view.own_rate += (
            min(1e9, (self.engine.accepted_count - self.last_accepted_count) / RATE_INTERVAL_SECONDS)
            - self.view.own_rate
        ) / 4
        self.last_accepted_count = self.engine.accepted_count
        totals = self.view.counters
        for name, total in (
            ("messages", totals["sent"] + totals["received"]),
            ("bytes", totals["sent_bytes"] + totals["received_bytes"]),
        ):
            self.traffic_rates[name] += (
                (total - self.traffic_rates["total_" + name]) / RATE_INTERVAL_SECONDS
                - self.traffic_rates[name]
            ) / 4
            self.traffic_rates["total_" + name] = total
        self._publish_view()

    # ---- exchanges of full views

    async def _exchange_views(self, host):
        self.open_streams["out"] += 1
        try:
            async with asyncio.timeout(EXCHANGE_TIMEOUT_SECONDS):
                reader, writer = await sockets.connect(
                    *_parse_address(host), local_addr=(self.settings.listen[0], 0)
                )
                try:
                    await _write_frame(writer, self.view.encode_full_view(self.machine.now()))
                    self._call_view(self.view.receive_full_view, await _read_frame(reader))
                finally:
                    writer.transport.abort()
        except (OSError, EOFError, ValueError):
            self.view.counters["exchanges_failed"] += 1
        finally:
            self.open_streams["out"] -= 1

    def _accept_exchange(self, reader, writer):
        # Each exchange runs in a task of its own: when a task of start_server is cancelled, it calls the
        # loop's exception handler, so each stop during an exchange was logged as an unhandled error.
        self._start_task(self._serve_exchange(reader, writer))

    async def _serve_exchange(self, reader, writer):
        if self.open_streams["in"] >= MAX_STREAMS_PER_DIRECTION or self.is_closed:
            writer.transport.abort()
            return
        self.open_streams["in"] += 1
        try:
            with contextlib.suppress(OSError, EOFError, ValueError):
                async with asyncio.timeout(EXCHANGE_TIMEOUT_SECONDS):
                    answer = self._call_view(self.view.receive_full_view, await _read_frame(reader))
                    if answer is not None:
                        await _write_frame(writer, answer)
                        await reader.read(1)  # returns when the requester has the answer and closes
        finally:
            self.open_streams["in"] -= 1
            writer.transport.abort()

    # ---- calls of operators

    def format_status(self):
        """The line that the operators' call `view` returns."""
        table, now = self.view.table, self.machine.now()
        counts_by_state = Counter(record.state for record in table.records.values())
        states_text = " ".join(f"{name} {counts_by_state[i]}" for i, name in enumerate(STATE_NAMES))
        missing = ",".join(sorted(table.list_missing_names())[:8]) or "-"
        stable_seconds = (now - self.view_changed_at) / interface.SECOND
        return (
            f"{states_text} missing {missing} digest {table.digest:014x} since {stable_seconds:.1f} s "
            f"divide {self.divisor.value} part {self.view.compute_traffic_share():.4f} "
            f"health {self.view.local_health_score} "
            f"messages {self.traffic_rates['messages']:.1f} bytes {self.traffic_rates['bytes']:.0f} a second"
            + (" name taken" if table.has_yielded_name else "")
        )

    def forget_member(self, name):
        """Handles the operators' call `forget` for a missing member. Returns (success, remark)."""
        was_missing = self.view.forget_member(self.machine.now(), name)
        self.flush_output()
        return (
            was_missing,
            f"forgot {name}" if was_missing else f"{name} is not missing; the call view names who is",
        )


def _parse_address(host):
    """Splits `address:port`. Raises ValueError for host names: looking up a name that another member sent
    would block the event loop."""
    name, _, port = host.rpartition(":")
    return str(ip_address(name.strip("[]"))), int(port)


async def _write_frame(writer, data):
    writer.write(len(data).to_bytes(4, "big") + data)
    await writer.drain()


async def _read_frame(reader):
    size = int.from_bytes(await reader.readexactly(4), "big")
    if size > MAX_FULL_VIEW_BYTES:
        raise ValueError("oversized")
    return await reader.readexactly(size)
