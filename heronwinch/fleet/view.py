"""The membership view of one dispatcher: whom it probes, suspects, gossips about and searches for. No I/O.

The driver calls `start`, then `tick` at each `due` time and `receive_datagram` for each datagram. After each
call it sends the (host, bytes) datagrams in `outgoing`, and exchanges full views on a stream with the hosts
in `pending_exchanges` (`encode_full_view`, `receive_full_view`). Times are whole nanoseconds of a monotonic
clock.

The protocol is SWIM's probing and gossip (Das 2002) with Lifeguard's local health score and its suspicion
timeouts that confirmations shorten (Dadgar 2018); docs/design/view.md says what was kept, what was changed
and by what figures.
"""

from collections import Counter
from heapq import heappop, heappush
from math import ceil, log
from typing import NamedTuple

import msgspec

from heronwinch.fleet.messages import (
    GONE,
    JOINING,
    LEAVING,
    LEFT,
    MAX_FULL_VIEW_BYTES,
    SERVING,
    SUSPECT,
    Ack,
    FullView,
    Gossip,
    KeyQuery,
    KeyReply,
    MemberRecord,
    MessageError,
    Nack,
    Ping,
    PingRequest,
    decode_message,
    encode_message,
)
from heronwinch.fleet.table import STATE_PRECEDENCE, MembershipTable, compute_precedence
from heronwinch.interface import SECOND

MS = SECOND // 1000
MAX_LOCAL_HEALTH_SCORE = 4  # at this score, probe timeouts and pauses are five times as long
RECORD_BYTES_PER_DATAGRAM = 1000  # bytes of member records that a datagram carries
FAST_PROBING_NS = 2 * SECOND  # how long a failed probe makes probing faster
# How many members, of all that hear of a suspicion, probe the suspect themselves.
SUSPICION_PROBERS, SUSPICION_PROBERS_WHEN_LAGGING = 8, 2
LAGGING_NS = 10 * MS  # a timer as late as this shows that the machine is short of processor time
MAX_GOSSIP_DATAGRAMS_PER_MEMBER = 4  # limit for one gossip round
MAX_ROUND_TRIP_NS = 5 * SECOND  # bound of the measured round-trip time
MAX_PENDING_PROBES = 64
MAX_RELAYED_PINGS = 256  # pings sent on behalf of others, awaiting the target's answer
# How long the record of a member that left is kept, so that old gossip cannot bring the member back.
LEFT_RETENTION_NS = 120 * SECOND


class Timing(NamedTuple):
    """Protocol parameters. Times are in nanoseconds."""

    probe_interval: int = 400 * MS  # time between the starts of two probes
    probe_timeout: int = 120 * MS  # delay after which a probe is repeated, directly and through other members
    indirect_probers: int = 3  # how many members are asked to probe as well
    suspicion_min: int = 1200 * MS  # timeout of a suspicion that others confirm
    suspicion_max: int = 3000 * MS  # timeout of a suspicion that no other member confirms
    confirmations_needed: int = 2  # how many confirmations shorten the timeout to suspicion_min
    gossip_interval: int = 200 * MS  # time between gossip rounds while there are updates
    gossip_fanout: int = 3  # members to gossip with per round
    exchange_interval: int = 500 * MS  # minimum pause between requests for full views
    # The same pause per present member, if longer: full views grow with the fleet.
    exchange_interval_per_member: int = 8 * MS
    seek_interval_per_member: int = 150 * MS  # pause between searches for absent members, per member present
    seek_interval_min: int = SECOND
    seek_interval_max: int = 20 * SECOND
    seek_interval_alone: int = 250 * MS  # first pause of a member that has found no other
    stall_threshold: int = 300 * MS  # a timer this late shows that the process was stalled


class Suspicion:
    """When a member was first suspected, and by which members."""

    __slots__ = ("started_at", "declared_by")

    def __init__(self, started_at):
        self.started_at = started_at
        self.declared_by = set()


class Probe:
    """A probe of one member that awaits its answer. `retried_at` is 0 until the probe is repeated."""

    __slots__ = ("name", "sent_at", "retried_at", "nack_count")

    def __init__(self, name, sent_at):
        self.name, self.sent_at = name, sent_at
        self.retried_at = self.nack_count = 0


class MembershipView:
    """State machine of the membership protocol for one dispatcher.

    `seeds` are addresses of members to contact first. `random` is the only source of chance.
    """

    def __init__(self, own_record: MemberRecord, fleet_name, seeds, random, timing=Timing()):  # noqa: B008 - immutable
        self.table = MembershipTable(own_record)
        self.fleet_name, self.seeds, self.random, self.timing = fleet_name, list(seeds), random, timing
        self.outgoing = []  # (host, bytes) datagrams
        self.pending_exchanges = []  # hosts to exchange full views with
        self.declared_gone = []  # records that this member declared gone, for the driver to log
        # KeyQuery and KeyReply messages for the driver, kept only if accepts_key_messages is set.
        self.key_queries, self.key_replies = [], []
        self.accepts_key_messages = False
        self.counters = Counter()
        self.own_rate = 0.0  # work items per second here, sent with every message
        self.member_rates = {}  # name -> work items per second, as that member last reported
        self.timers = []  # heap of (due_at, timer_count, callback, args)
        self.timer_count = 0
        self.local_health_score = 0  # 0 is healthy
        self.timer_lag = 0  # lateness of the last timer; probing faster would make a shortage of time worse
        self.gossip_counts = {}  # name -> how often its record was gossiped
        self.suspicions = {}  # name -> Suspicion
        self.pending_probes = {}  # seq -> Probe
        self.timed_out_probes = {}  # seq -> Probe, kept for answers that come late
        self.round_trip = 0  # longest recent round-trip time, decaying
        self.relayed_pings = {}  # own seq -> (host of the requester, its seq)
        self.departures = {}  # name -> when the member left
        self.probe_round = []  # names still to be probed in this round
        self.last_seq = 0
        self.failed_seeks = 0  # searches in a row while no other member is known
        self.next_exchange_at = 0
        self.fast_probing_until = 0  # set when a probe failed and the cause is not local
        self.is_stopped = False
        self.change_count = 0  # changes of the view so far
        self.former_records = {}  # name -> the record of its earlier life, to be sent to the later one
        # When this process last learned of an earlier life of its name, or None: see BudgetDivisor.
        self.succession_since = None
        self.last_heard_at = 0  # when any message of another member last arrived

    # ---- calls of the driver

    def start(self, now):
        """Starts the periodic timers."""
        self._schedule(now + int(self.random.random() * self.timing.probe_interval), self._start_next_probe)
        self._schedule(now + int(self.random.random() * self.timing.gossip_interval), self._send_gossip)
        self._schedule(now, self._seek_members)

    @property
    def due(self):
        """When `tick` is to be called next."""
        return self.timers[0][0]

    def tick(self, now):
        """Runs the timers that are due."""
        lag = self.timer_lag = now - self.due
        if lag > self.timing.stall_threshold:
            self._handle_stall(lag)
        while self.timers and self.due <= now:
            _, _, callback, args = heappop(self.timers)
            callback(now, *args)

    def announce_serving(self, now):
        """Announces that this member accepts work, if it was joining."""
        if self.table.own_record.state == JOINING:
            self._note_change(now, self.table.announce_own_state(SERVING))

    def announce_leaving(self, now):
        """Announces that this member drains: it finishes the work it has."""
        self._note_change(now, self.table.announce_own_state(LEAVING))

    def announce_left(self, now):
        """Announces that this member has left, and stops. Nothing may be sent to a worker afterwards."""
        self._note_change(now, self.table.announce_own_state(LEFT))
        self.is_stopped = True
        for record in self._sample_members(2 * self.timing.gossip_fanout):
            self._queue_datagram(record.host, Gossip(*self._build_header(), rows=[self.table.own_record]))

    def receive_datagram(self, now, data):
        """Handles a datagram. Raises nothing: bytes that are no message are dropped and counted."""
        self.counters["received"] += 1
        self.counters["received_bytes"] += len(data)
        try:
            message = decode_message(data, self.fleet_name)
        except MessageError as error:
            self.counters[f"dropped_{error}"] += 1
            return
        if message.own.name == self.table.own_record.name and message.own.life == self.table.own_record.life:
            return  # an own message that was returned
        self.member_rates[message.own.name] = message.rate
        self._merge_message(now, message)
        message_type = type(message)
        if message_type is Ping:
            if (
                message.to in ("", self.table.own_record.name)
                and not self.is_stopped
                and not self.table.has_yielded_name
            ):
                self._queue_datagram(
                    message.own.host,
                    Ack(*self._build_header(message.seq), rows=self._select_updates(message.own)),
                )
            elif message.to != self.table.own_record.name:
                self.counters["not_for_me"] += 1  # the sender took this address for that of another member
        elif message_type is Ack:
            self._handle_ack(now, message)
        elif message_type is PingRequest:
            self._relay_ping(now, message)
        elif message_type is KeyQuery or message_type is KeyReply:
            if self.accepts_key_messages:
                (self.key_queries if message_type is KeyQuery else self.key_replies).append(message)
        elif message_type is Nack:
            probe = self.pending_probes.get(message.seq)
            if probe is not None:
                probe.nack_count += 1
        if message.digest != self.table.digest and now >= self.next_exchange_at and message.own.host:
            pause = max(
                self.timing.exchange_interval,
                self.timing.exchange_interval_per_member * self.table.present_count,
            )
            self.next_exchange_at = now + int(pause * (0.5 + self.random.random()))
            self.pending_exchanges.append(message.own.host)

    def encode_full_view(self, now, asks=True):
        """Encodes a FullView message; with `asks` it requests the other side's view."""
        all_records = [
            self.table.own_record,
            *(record for record in self.table.records.values() if record.name != self.table.own_record.name),
        ]
        return encode_message(FullView(*self._build_header(), asks, rows=all_records))

    def receive_full_view(self, now, data):
        """Merges a FullView message. Returns the bytes to send back, or None."""
        try:
            message = decode_message(data, self.fleet_name, MAX_FULL_VIEW_BYTES)
            if type(message) is not FullView:
                raise MessageError("garbage")
        except MessageError as error:
            self.counters[f"dropped_{error}"] += 1
            return None
        self.counters["wholes"] += 1
        if message.own.life == self.table.own_record.life:
            return None
        self._merge_message(now, message)
        return self.encode_full_view(now, asks=False) if message.asks else None

    def restore_members(self, now, members):
        """Restores the roster of an earlier life of this process. Members count as gone until they are heard,
        so that those still away keep their share of the budgets and are asked about keys."""
        for record in members:
            if record.name == self.table.own_record.name:
                self.succession_since = now
                self._note_change(now, self.table.merge(record))
            elif record.name not in self.table.records:
                gone = msgspec.structs.replace(record, state=GONE, by=self.table.own_record.name)
                self._note_change(now, self.table.merge(gone))

    def send_message(self, host, message_type, seq, *fields):
        """Queues a message of the given class, with `fields` after the common ones."""
        self._queue_datagram(host, message_type(*self._build_header(seq), *fields))

    def forget_member(self, now, name):
        """Records an operator's statement that a missing member will not return. Returns False if the member
        is not missing."""
        record = self.table.records.get(name)
        if record is None or record.state != GONE:
            return False
        self._note_change(now, self.table.declare_state(name, LEFT, self.table.own_record.name))
        return True

    # ---- timers

    def _schedule(self, due_at, callback, *args):
        self.timer_count += 1
        heappush(self.timers, (due_at, self.timer_count, callback, args))

    def _handle_stall(self, lag):
        """Compensates for a time in which this process was stalled: answers may have come meanwhile and lie
        unread. Without this, a process that was stopped and continued declares all others dead."""
        self.counters["stalls"] += 1
        self.pending_probes.clear()
        self.timed_out_probes.clear()
        for suspicion in self.suspicions.values():
            suspicion.started_at += lag
        self.local_health_score = min(MAX_LOCAL_HEALTH_SCORE, self.local_health_score + 1)

    # ---- messages and updates

    def _build_header(self, seq=0):
        return self.fleet_name, self.table.own_record, seq, self.table.digest, self.own_rate

    def _queue_datagram(self, host, message):
        data = encode_message(message)
        self.counters["sent"] += 1
        self.counters["sent_bytes"] += len(data)
        self.outgoing.append((host, data))

    def _select_updates(self, recipient=None, room_bytes=RECORD_BYTES_PER_DATAGRAM):
        """Selects the records for a datagram, least often gossiped first. Records about the recipient come
        ahead of them: a suspicion that it has to refute, or its earlier life."""
        selected = []
        if recipient is not None:
            known = self.table.records.get(recipient.name)
            if known is not None and known.state >= SUSPECT:
                selected.append(known)
                room_bytes -= 64
            if (former := self.former_records.pop(recipient.name, None)) is not None:
                selected.append(former)
                room_bytes -= 64
        if not self.gossip_counts:
            return selected
        max_times = 2 * ceil(log(self.table.present_count + 2))
        for name in (
            sorted(self.gossip_counts, key=self.gossip_counts.get)
            if len(self.gossip_counts) > 1
            else list(self.gossip_counts)
        ):
            record = self.table.records.get(name)
            if record is None or self.gossip_counts[name] >= max_times:
                del self.gossip_counts[name]
                continue
            room_bytes -= 28 + len(record.name) + len(record.host) + len(record.area) + len(record.by)
            if room_bytes < 0:
                break
            self.gossip_counts[name] += 1
            selected.append(record)
        return selected

    def _note_change(self, now, record):
        """Processes a record that has changed the table: queues it for gossip and updates the suspicions.
        None is ignored."""
        if record is None:
            return
        self.change_count += 1
        self.gossip_counts[record.name] = 0
        if record.state == SUSPECT:
            if record.name not in self.suspicions:
                self.suspicions[record.name] = Suspicion(now)
                # A few of the members that hear of a suspicion probe the suspect themselves, to confirm or
                # refute it sooner. The number allows for seven in ten of those members being dead.
                prober_count = (
                    SUSPICION_PROBERS if self.timer_lag < LAGGING_NS else SUSPICION_PROBERS_WHEN_LAGGING
                )
                if (
                    record.by != self.table.own_record.name
                    and self.random.random() * self.table.present_count < prober_count
                ):
                    self._start_probe(now, record)
            self.suspicions[record.name].declared_by.add(record.by)
        else:
            self.suspicions.pop(record.name, None)
            if record.state >= GONE:
                self.member_rates.pop(record.name, None)
                self.former_records.pop(record.name, None)
            if record.state == LEFT:
                self.departures[record.name] = now

    def _merge_message(self, now, message):
        """Merges the sender's own record and the records that a message carries."""
        sender, self.last_heard_at = message.own, now
        if sender.name != self.table.own_record.name and sender.state not in (SUSPECT, GONE):
            known_sender = self.table.records.get(sender.name)
            if (
                known_sender is not None
                and known_sender.life != sender.life
                and known_sender.state != LEFT
                and compute_precedence(sender) > compute_precedence(known_sender)
            ):
                self.former_records[sender.name] = known_sender
            self._note_change(now, self.table.merge(sender))
        is_sender_gone = self._is_gone(sender.name)
        known_records, own_name = self.table.records, self.table.own_record.name
        for record in message.rows:
            known = known_records.get(record.name)
            if (
                known is not None
                and known.inc == record.inc
                and known.life == record.life
                and record.name != own_name
                and (STATE_PRECEDENCE[record.state] <= STATE_PRECEDENCE[known.state])
            ):
                # Fast path: while hundreds of members change, nearly all received records are known already.
                if record.state == SUSPECT and record.name in self.suspicions and not is_sender_gone:
                    self.suspicions[record.name].declared_by.add(record.by)
                continue
            # A member that is cut off declares all others dead, so its suspicions count only once it is back
            # in the view. Without this, the one victim of a one-way cut keeps the whole fleet refuting.
            if (
                record.state in (SUSPECT, GONE)
                and record.name != self.table.own_record.name
                and (is_sender_gone or self._is_gone(record.by))
            ):
                continue
            previous_own_record = self.table.own_record
            if (
                record.name == previous_own_record.name
                and record.life != previous_own_record.life
                and record.state != LEFT
                and (
                    self.succession_since is None
                    or compute_precedence(record) > compute_precedence(previous_own_record)
                )
            ):
                self.succession_since = now
            merged = self.table.merge(record)
            if merged is not None:
                if (
                    merged is self.table.own_record
                    and merged is not previous_own_record
                    and record.life == previous_own_record.life
                ):
                    # Others suspect this member, so its own health may be the cause.
                    self.local_health_score = min(MAX_LOCAL_HEALTH_SCORE, self.local_health_score + 1)
                self._note_change(now, merged)

    def _is_gone(self, name):
        record = self.table.records.get(name)
        return record is not None and record.state == GONE

    def _sample_members(self, count, excluded=()):
        """Samples other present members at random. Suspects are taken only if there are no others."""
        own_name = self.table.own_record.name
        candidates = [
            record
            for record in self.table.list_present_records()
            if record.name != own_name and record.name not in excluded
        ]
        if self.suspicions:
            candidates = [record for record in candidates if record.state != SUSPECT] or candidates
        return self.random.sample(candidates, min(count, len(candidates)))

    def _send_gossip(self, now):
        """Runs one gossip round: expires suspicions and sends updates to random members."""
        self._schedule(now + self.timing.gossip_interval, self._send_gossip)
        self._expire_suspicions(now)
        if not self.gossip_counts or self.is_stopped:
            return
        for record in self._sample_members(self.timing.gossip_fanout):
            for _ in range(MAX_GOSSIP_DATAGRAMS_PER_MEMBER):
                batch = self._select_updates()
                if batch:
                    self._queue_datagram(record.host, Gossip(*self._build_header(), rows=batch))
                if len(self.gossip_counts) <= len(batch):
                    break

    # ---- probing

    def _start_next_probe(self, now):
        """Probes the next member of the round; a new round takes all present members in random order."""
        pause = self.timing.probe_interval * (1 + self.local_health_score)
        if now < self.fast_probing_until and not self.local_health_score and self.timer_lag < LAGGING_NS:
            pause //= 4  # many members may have died at once, and each probe finds one
        self._schedule(now + int(pause * (0.9 + 0.2 * self.random.random())), self._start_next_probe)
        if self.is_stopped or self.table.has_yielded_name:
            return
        while self.probe_round:
            record = self.table.records.get(self.probe_round.pop())
            if record is not None and record.state < SUSPECT:
                self._start_probe(now, record)
                return
        self.probe_round = [
            record.name
            for record in self.table.list_present_records()
            if record.name != self.table.own_record.name
        ]
        self.random.shuffle(self.probe_round)
        if self.probe_round:
            self._start_probe(now, self.table.records[self.probe_round.pop()])

    def _start_probe(self, now, record):
        """Pings a member and schedules the retry and the failure of the probe."""
        if len(self.pending_probes) >= MAX_PENDING_PROBES:
            return
        self.last_seq += 1
        self.pending_probes[self.last_seq] = Probe(record.name, now)
        self._send_ping(record, self.last_seq)
        wait = max(self.timing.probe_timeout, 2 * self.round_trip) * (1 + self.local_health_score)
        self._schedule(now + wait, self._retry_probe, self.last_seq)
        wait = max(self.timing.probe_interval, 4 * self.round_trip) * (1 + self.local_health_score)
        self._schedule(now + wait, self._fail_probe, self.last_seq)

    def _send_ping(self, record, seq):
        self._queue_datagram(
            record.host, Ping(*self._build_header(seq), record.name, rows=self._select_updates(record))
        )

    def _retry_probe(self, now, seq):
        """Pings a silent member again, and asks other members to ping it."""
        probe = self.pending_probes.get(seq)
        if probe is None:
            return
        probe.retried_at = now
        record = self.table.records[probe.name]
        self._send_ping(record, seq)
        for helper in self._sample_members(self.timing.indirect_probers, (probe.name,)):
            self._queue_datagram(
                helper.host, PingRequest(*self._build_header(seq), record.name, record.host, rows=[])
            )

    def _fail_probe(self, now, seq):
        """Suspects a member whose probe was not answered, and judges whether the cause may be local."""
        probe = self.pending_probes.pop(seq, None)
        if probe is None:
            return
        self.timed_out_probes[seq] = probe
        while len(self.timed_out_probes) > MAX_PENDING_PROBES:
            del self.timed_out_probes[next(iter(self.timed_out_probes))]
        # If no helper sent a Nack and no other member was heard either, the cause is as likely local. When
        # seven in ten members had died, the helpers did not respond either, but some member was heard.
        if not probe.nack_count and self.last_heard_at < probe.sent_at:
            self.local_health_score = min(MAX_LOCAL_HEALTH_SCORE, self.local_health_score + 1)
        else:
            # Probing stays fast whatever the next probes find. Ending it at the first answer slowed the
            # search down, as three in ten members still answered.
            self.fast_probing_until = now + FAST_PROBING_NS
        self.counters["unanswered"] += 1
        name = probe.name
        own_name = self.table.own_record.name
        if name in self.suspicions:
            suspicion = self.suspicions[name]
            if own_name not in suspicion.declared_by:
                suspicion.declared_by.add(own_name)
                self.gossip_counts[name] = 0
                self.table.records[name] = msgspec.structs.replace(self.table.records[name], by=own_name)
        else:
            self._note_change(now, self.table.declare_state(name, SUSPECT, own_name))

    def _handle_ack(self, now, message):
        """Completes a probe, or passes the answer of a relayed ping on to its requester."""
        if (
            requester := self.relayed_pings.pop(message.seq, None)
        ) is not None and message.seq not in self.pending_probes:
            host, seq = requester
            self._queue_datagram(host, Ack(*self._build_header(seq), rows=self._select_updates()))
            return
        probe = self.pending_probes.pop(message.seq, None)
        answered_probe = probe or self.timed_out_probes.pop(message.seq, None)
        if answered_probe is not None:
            # Late answers are measured too; otherwise, after a path became slow, no answer would ever be in
            # time. An answer to a repeated probe may belong to either ping, so such an answer never raises
            # the estimate if it is in time.
            elapsed = now - (answered_probe.retried_at or answered_probe.sent_at)
            if elapsed > self.round_trip and (probe is None or not answered_probe.retried_at):
                self.round_trip = min(elapsed, MAX_ROUND_TRIP_NS)
            else:
                self.round_trip -= max(0, self.round_trip - elapsed) // 16
        if probe is not None:
            self.local_health_score = max(0, self.local_health_score - 1)
            self.failed_seeks = 0

    def _relay_ping(self, now, message):
        """Pings a member on behalf of the sender of a PingRequest."""
        self.last_seq += 1
        while len(self.relayed_pings) >= MAX_RELAYED_PINGS:
            del self.relayed_pings[next(iter(self.relayed_pings))]
        self.relayed_pings[self.last_seq] = message.own.host, message.seq
        known = self.table.records.get(message.to)
        updates = [known] if known is not None and known.state >= SUSPECT else []
        self._queue_datagram(message.host, Ping(*self._build_header(self.last_seq), message.to, rows=updates))
        self._queue_datagram(message.own.host, Nack(*self._build_header(message.seq)))

    def _expire_suspicions(self, now):
        """Declares suspects gone whose suspicion timed out, and drops the record of a member that left long
        ago."""
        timing = self.timing
        needed = max(0, min(timing.confirmations_needed, self.table.present_count - 2))
        for name, suspicion in list(self.suspicions.items()):
            confirmed_share = (
                min(1.0, log(len(suspicion.declared_by)) / log(needed + 1))
                if needed and suspicion.declared_by
                else 0.5
            )
            timeout = timing.suspicion_max - confirmed_share * (timing.suspicion_max - timing.suspicion_min)
            if (
                now - suspicion.started_at
                >= timeout * (1 + self.local_health_score / 2) + 4 * self.round_trip
            ):
                record = self.table.declare_state(name, GONE, self.table.own_record.name)
                if record is not None:
                    self.counters["called_gone"] += 1
                    self.declared_gone.append(record)
                self._note_change(now, record)
        if self.departures:
            name, left_at = next(iter(self.departures.items()))
            if now - left_at > LEFT_RETENTION_NS:
                del self.departures[name]
                if name in self.table.records and self.table.records[name].state == LEFT:
                    del self.table.records[name]

    # ---- search for absent members

    def _seek_members(self, now):
        """Pings a member that is gone, or a seed that is absent, so that a fleet reunites after a split of
        any length. The pause grows with the number of members: the rate of the whole fleet stays about the
        same."""
        timing, member_count = self.timing, self.table.present_count
        present_hosts = {record.host for record in self.table.list_present_records()}
        absent_seeds = [host for host in self.seeds if host not in present_hosts]
        gone_members = [
            record
            for record in self.table.records.values()
            if record.state == GONE and record.host not in present_hosts
        ]
        if member_count == 1:
            self.failed_seeks += 1
            pause = min(
                timing.seek_interval_alone * 1.5 ** min(self.failed_seeks, 20), timing.seek_interval_max / 4
            )
        else:
            pause = min(
                max(timing.seek_interval_per_member * member_count, timing.seek_interval_min),
                timing.seek_interval_max,
            )
        self._schedule(now + int(pause * (0.5 + self.random.random())), self._seek_members)
        if self.is_stopped:
            return
        if self.table.has_yielded_name:
            # Nobody sends to this process, as the record of its name has another address. It pings a member
            # to learn when that ends.
            for record in self._sample_members(1):
                self._queue_datagram(record.host, Ping(*self._build_header(), "", rows=[]))
        elif absent_seeds and (member_count == 1 or not gone_members or self.random.random() < 0.25):
            for host in self.random.sample(
                absent_seeds, min(len(absent_seeds), 3 if member_count == 1 else 1)
            ):
                self._queue_datagram(host, Ping(*self._build_header(), "", rows=[]))
        elif gone_members:
            record = self.random.choice(gone_members)
            self._queue_datagram(record.host, Ping(*self._build_header(), "", rows=[record]))

    # ---- outputs

    def compute_traffic_share(self):
        """This dispatcher's share of all work, 0 to 1, by the rates that members last reported. Members that
        have not reported count with the mean."""
        other_count = self.table.present_count - 1
        known_rates = [
            self.member_rates[record.name]
            for record in self.table.list_present_records()
            if record.name in self.member_rates
        ]
        if other_count <= 0 or not known_rates:
            return 1.0 / max(1, self.table.present_count)
        total_rate = self.own_rate + sum(known_rates) / len(known_rates) * other_count
        return self.own_rate / total_rate if total_rate > 0 else 1.0 / self.table.present_count
