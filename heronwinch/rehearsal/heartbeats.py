"""Baselines to compare the membership view with: all-to-all heartbeats, and gossiped heartbeats (van Renesse
1998) with a phi accrual failure detector (Hayashibara 2004).

Both classes have the interface of MembershipView that rehearsal/members.py uses."""

from collections import Counter, deque
from math import erfc, log10, sqrt

from heronwinch.fleet.messages import GONE, SERVING, Gossip, MessageError, decode_message, encode_message
from heronwinch.fleet.table import MembershipTable
from heronwinch.fleet.view import MS, Timing
from heronwinch.interface import SECOND

MAX_RECORDS_PER_DATAGRAM = 16
INTRODUCED_MEMBERS = 2  # other members named in each heartbeat; without them few would know a new member
SILENT_PERIODS = 4  # a member is declared gone after this many periods without a heartbeat
PHI_THRESHOLD = 8.0  # a member is declared gone beyond this suspicion level
MAX_GAPS = 50  # gaps between heartbeats that are kept per member
MIN_SPREAD_SECONDS = 0.1  # least standard deviation assumed for the gaps


class AllToAllHeartbeats:
    """Sends a heartbeat to all members each period, and declares those gone that are silent for four."""

    succession_since = None
    trusts_hearsay = False  # whether a heartbeat counts that another member passed on

    def __init__(self, own_record, fleet_name, seeds, random, timing=Timing()):  # noqa: B008 - immutable
        self.table = MembershipTable(own_record)
        self.fleet_name, self.seeds, self.random, self.timing = fleet_name, seeds, random, timing
        self.outgoing, self.pending_exchanges, self.declared_gone, self.counters = [], [], [], Counter()
        self.change_count = 0
        self.due = 0
        self.last_heard_at = {}

    def start(self, now):
        """Schedules the first heartbeat."""
        self.due = now + int(self.random.random() * self.timing.probe_interval)

    def announce_serving(self, now):
        """Starts counting incarnations in milliseconds, so that the next life begins above this one's."""
        self.table.announce_own_state(SERVING, now // MS)

    def tick(self, now):
        """Raises the own incarnation, declares silent members gone and sends the heartbeats."""
        self.due = now + int(self.timing.probe_interval * (0.95 + 0.1 * self.random.random()))
        self.table.announce_own_state(SERVING)
        self._declare_silent_members(now)
        self._send_heartbeats(now)

    def _send_heartbeats(self, now):
        others = [
            record
            for record in self.table.list_present_records()
            if record.name != self.table.own_record.name
        ]
        # Members that are gone are included, because they may return.
        hosts = {record.host for record in self.table.records.values()} | set(self.seeds)
        for host in sorted(hosts - {self.table.own_record.host}):
            self._queue_gossip(host, self.random.sample(others, min(INTRODUCED_MEMBERS, len(others))))

    def _queue_gossip(self, host, records):
        self.counters["sent"] += 1
        self.outgoing.append(
            (host, encode_message(Gossip(self.fleet_name, self.table.own_record, 0, 0, 0.0, rows=records)))
        )

    def _is_silent(self, now, name):
        return now - self.last_heard_at.get(name, now) > SILENT_PERIODS * self.timing.probe_interval

    def _declare_silent_members(self, now):
        for record in self.table.list_present_records():
            if record.name != self.table.own_record.name and self._is_silent(now, record.name):
                declared = self.table.declare_state(record.name, GONE, self.table.own_record.name)
                self.counters["called_gone"] += 1
                self.declared_gone.append(declared)
                self.change_count += 1

    def receive_datagram(self, now, data):
        """Takes the heartbeats in a datagram; ignores what is no message."""
        try:
            message = decode_message(data, self.fleet_name)
        except MessageError:
            return
        for record in (message.own, *message.rows):
            is_new = record.name not in self.table.records
            if record.name != self.table.own_record.name and (
                record is message.own or is_new or self.trusts_hearsay
            ):
                if self.table.merge(record) is not None:
                    self._note_heartbeat(now, record.name)
                    self.change_count += 1

    def _note_heartbeat(self, now, name):
        self.last_heard_at[name] = now


class GossipedHeartbeats(AllToAllHeartbeats):
    """Sends all heartbeats it knows to a few members, and judges each member by the gaps between its own."""

    trusts_hearsay = True

    def __init__(self, *args):
        super().__init__(*args)
        self.gaps_by_name = {}

    def _send_heartbeats(self, now):
        records = [
            record
            for record in self.table.list_present_records()
            if record.name != self.table.own_record.name
        ]
        hosts = [record.host for record in records] + (list(self.seeds) if len(records) < 3 else [])
        for host in self.random.sample(hosts, min(self.timing.gossip_fanout, len(hosts))):
            for i in range(0, max(1, len(records)), MAX_RECORDS_PER_DATAGRAM):
                self._queue_gossip(host, records[i : i + MAX_RECORDS_PER_DATAGRAM])

    def _note_heartbeat(self, now, name):
        if name in self.last_heard_at:
            self.gaps_by_name.setdefault(name, deque(maxlen=MAX_GAPS)).append(
                (now - self.last_heard_at[name]) / SECOND
            )
        self.last_heard_at[name] = now

    def _is_silent(self, now, name):
        gaps = self.gaps_by_name.get(name, ())
        if len(gaps) < 5:
            return super()._is_silent(now - 4 * SECOND, name)
        mean = sum(gaps) / len(gaps)
        spread = max(MIN_SPREAD_SECONDS, sqrt(sum((gap - mean) ** 2 for gap in gaps) / len(gaps)))
        lateness = ((now - self.last_heard_at[name]) / SECOND - mean) / spread
        later_probability = 0.5 * erfc(lateness / sqrt(2))
        if later_probability <= 0 or -log10(later_probability) > PHI_THRESHOLD:
            self.gaps_by_name.pop(name, None)  # the gaps of its next life are independent
            return True
        return False


BASELINES = {"all-to-all": AllToAllHeartbeats, "gossiped": GossipedHeartbeats}
