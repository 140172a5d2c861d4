"""Simulates membership views without their dispatchers on the simulated clock; a thousand cost seconds.

Network paths have delay, loss, duplication and cuts, one-way cuts too. Members can be killed, held (stopped
and continued) or slowed down."""

from heronwinch.fleet.divisor import BudgetDivisor
from heronwinch.fleet.messages import JOINING, MemberRecord
from heronwinch.fleet.view import MS, MembershipView, Timing
from heronwinch.interface import SECOND
from heronwinch.rehearsal.simulation.kernel import Kernel

FLEET_NAME = "rehearsed"
HEALED_CUT_GRACE_NS = 5 * SECOND  # a member may still be declared gone because of a cut healed this long ago


class Member:
    """One simulated process. Its view learns of other members only through messages."""

    def __init__(self, fleet, name, host, seeds, first_incarnation):
        self.fleet, self.name, self.host = fleet, name, host
        random = fleet.kernel.derive_random("member", name, host, fleet.started_count)
        fleet.started_count += 1
        own_record = MemberRecord(
            name, JOINING, first_incarnation, random.getrandbits(62), host, fleet.area_of(name)
        )
        self.view = fleet.view_class(own_record, FLEET_NAME, seeds, random, fleet.timing)
        self.divisor = BudgetDivisor(not seeds)
        self.is_alive, self.is_held, self.slowdown = True, False, 1
        self.seen_change_count, self.next_update_at = -1, 0
        self.backlog = []  # messages that arrived while the process was held, in order
        self.backlog_limit = 64  # datagrams that the operating system buffers
        self.view.start(fleet.kernel.now)
        self.view.announce_serving(fleet.kernel.now)
        self._schedule_tick()

    def _schedule_tick(self):
        due = max(self.view.due, self.fleet.kernel.now + (self.slowdown - 1) * MS)
        self.fleet.kernel.schedule_at(due, self._tick, due)

    def _tick(self, due):
        if not self.is_alive or self.is_held:
            return
        if self.view.due <= self.fleet.kernel.now:
            self.view.tick(self.fleet.kernel.now)
            self.flush_output()
        self._schedule_tick()

    def set_held(self, should_hold):
        """Stops the process, or continues it with the messages that arrived meanwhile."""
        self.is_held = should_hold
        if not should_hold and self.is_alive:
            backlog, self.backlog = self.backlog, []
            for method, data, reply in backlog:
                self.receive(method, data, reply)
            self._tick(0)

    def receive(self, method, data, reply=None):
        """Passes a datagram or a full view to the given method of the view; `reply` receives the answer."""
        if not self.is_alive:
            return
        if self.is_held:
            if reply is not None or len(self.backlog) < self.backlog_limit:
                self.backlog.append((method, data, reply))
            return
        answer = getattr(self.view, method)(self.fleet.kernel.now, data)
        if answer is not None and reply is not None:
            reply(answer)
        self.flush_output()

    def flush_output(self):
        """Sends what the view has queued, and updates the divisor at least once a second."""
        view, fleet = self.view, self.fleet
        if view.change_count != self.seen_change_count or fleet.kernel.now >= self.next_update_at:
            self.seen_change_count, self.next_update_at = view.change_count, fleet.kernel.now + SECOND
            self.divisor.update(fleet.kernel.now, view)
        datagrams, view.outgoing = view.outgoing, []
        for host, data in datagrams:
            fleet.carry_datagram(self, host, data)
        hosts, view.pending_exchanges = view.pending_exchanges, []
        for host in hosts:
            fleet.exchange_views(self, host)
        gone_records, view.declared_gone = view.declared_gone, []
        for record in gone_records:
            fleet.record_declared_gone(self, record)

    def kill(self):
        """Ends the process without a word to the others."""
        self.is_alive = False

    def stop(self):
        """Ends the process after it has announced that it left."""
        self.view.announce_left(self.fleet.kernel.now)
        self.flush_output()
        self.kill()


class SimulatedFleet:
    """A fleet of simulated members and the network between them. `delay` and `jitter` are nanoseconds,
    `loss` and `duplication` shares of datagrams, `seeds` how many members are named to each new one."""

    def __init__(
        self,
        member_count,
        seed=1,
        areas=("a",),
        loss=0.0,
        duplication=0.0,
        delay=300_000,
        jitter=300_000,
        seeds=3,
        timing=Timing(),  # noqa: B008 - immutable
        view_class=MembershipView,
    ):
        self.kernel = Kernel(seed)
        self.path_random = self.kernel.derive_random("paths")
        self.areas, self.loss, self.duplication, self.delay, self.jitter = (
            areas,
            loss,
            duplication,
            delay,
            jitter,
        )
        self.timing, self.view_class = timing, view_class
        self.started_count = 0
        self.initial_count, self.seeds = member_count, seeds
        self.cuts = []  # (senders, recipients): nothing passes from the former to the latter
        self.healed = []  # (healed_at, cut)
        self.by_host, self.members = {}, {}
        # (time, caller, member declared gone), where the member was alive and neither held nor cut off.
        self.false_declarations = []
        self.sent_datagrams = self.sent_bytes = 0

    def area_of(self, name):
        return self.areas[int(name[1:]) % len(self.areas)]

    def host_of(self, name):
        return f"10.0.0.{name[1:]}:7"

    def start_member(self, name, host=None, first_incarnation=None, seeds=None):
        host = host or self.host_of(name)
        first_incarnation = (
            1000 + self.kernel.now // SECOND if first_incarnation is None else first_incarnation
        )
        seeds = [self.host_of(f"d{i}") for i in range(self.seeds)] if seeds is None else seeds
        member = Member(self, name, host, [s for s in seeds if s != host], first_incarnation)
        self.by_host[host] = self.members[name] = member
        return member

    def start_all_members(self):
        for i in range(self.initial_count):
            self.start_member(f"d{i}")

    # ---- paths

    def can_reach(self, sender, recipient):
        return not any(sender in senders and recipient in recipients for senders, recipients in self.cuts)

    def can_reach_each_other(self, member, peer):
        return self.can_reach(member, peer) and self.can_reach(peer, member)

    def cut_paths(self, side, other_side, both_ways=True):
        cuts = [(frozenset(side), frozenset(other_side))]
        if both_ways:
            cuts.append((frozenset(other_side), frozenset(side)))
        self.cuts += cuts
        return cuts

    def heal_cuts(self, cuts):
        for cut in cuts:
            self.cuts.remove(cut)
            self.healed.append((self.kernel.now, cut))

    def draw_latency(self):
        return int(self.delay + self.path_random.random() * self.jitter)

    def carry_datagram(self, sender, host, data):
        self.sent_datagrams += 1
        self.sent_bytes += len(data)
        for _ in range(1 + (self.path_random.random() < self.duplication)):
            if self.path_random.random() >= self.loss:
                self.kernel.schedule_after(
                    self.draw_latency(), self._deliver, sender.name, host, "receive_datagram", data, None
                )

    def _deliver(self, sender, host, method, data, reply):
        member = self.by_host.get(host)
        if member is not None and self.can_reach(sender, member.name):
            member.receive(method, data, reply)

    def exchange_views(self, sender, host):
        """Exchanges full views on a stream, which fails only if either direction is cut."""
        member = self.by_host.get(host)
        if member is None or not self.can_reach_each_other(sender.name, member.name):
            return
        encoded_view = sender.view.encode_full_view(self.kernel.now)
        self.sent_bytes += len(encoded_view)

        def reply(answer):
            self.sent_bytes += len(answer)
            self.kernel.schedule_after(
                2 * self.draw_latency(),
                self._deliver,
                member.name,
                sender.host,
                "receive_full_view",
                answer,
                None,
            )

        self.kernel.schedule_after(
            3 * self.draw_latency(),
            self._deliver,
            sender.name,
            host,
            "receive_full_view",
            encoded_view,
            reply,
        )

    # ---- observations

    def record_declared_gone(self, caller, record):
        """Records a declaration of death if it was false and nothing excuses it."""
        member = self.members.get(record.name)
        now = self.kernel.now
        cuts = self.cuts + [cut for healed_at, cut in self.healed if now - healed_at < HEALED_CUT_GRACE_NS]
        are_cut_off = any(
            sender in senders and recipient in recipients
            for senders, recipients in cuts
            for sender, recipient in ((caller.name, record.name), (record.name, caller.name))
        )
        if (
            member is not None
            and member.is_alive
            and not member.is_held
            and not caller.is_held
            and (not are_cut_off and member.view.table.own_record.life == record.life)
        ):
            self.false_declarations.append((self.kernel.now, caller.name, record.name))

    def list_living_members(self):
        return [member for member in self.members.values() if member.is_alive]

    def has_agreement(self, members=None):
        """Whether the given members, by default all that live, hold the same view of exactly themselves."""
        members = self.list_living_members() if members is None else members
        digests = {member.view.table.digest for member in members}
        return len(digests) == 1 and all(
            member.view.table.present_count == len(members) for member in members
        )

    def run_for(self, seconds):
        self.kernel.run_until(self.kernel.now + int(seconds * SECOND))

    def run_until_agreed(self, timeout_seconds=60.0, step_seconds=0.05, members=None):
        """Runs until all views agree. Returns the seconds that took, or None after `timeout_seconds`."""
        started_at = self.kernel.now
        while self.kernel.now - started_at < timeout_seconds * SECOND:
            if self.has_agreement(members):
                return (self.kernel.now - started_at) / SECOND
            self.run_for(step_seconds)
        return None

    def sum_shares(self):
        """The sum of the shares of all living members; over 1 they would exceed a shared budget."""
        return sum(1 / member.divisor.value for member in self.list_living_members() if member.divisor.value)
