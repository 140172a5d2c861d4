"""Checks the invariants of a run from the records of the stand-ins: what clients were answered, what workers
ran and what discovery reported.

Nothing that a dispatcher reports about itself counts as evidence, except for the rules `parts` and `sound`,
which rest on the dispatchers' own logs. Injected faults that excuse a dispatcher (it was killed, held or cut
off) are in the records too.
"""

from bisect import bisect_right
from typing import NamedTuple

from heronwinch.interface import Effect, Group
from heronwinch.rehearsal import script as scripts
from heronwinch.rehearsal.load_counters import find_peak_per_second
from heronwinch.rehearsal.standins.clients import ANSWERED, CLOSED, LEFT, UNANSWERED, UNSENT
from heronwinch.rehearsal.standins.malformed import ANSWER_LIMIT_NS

SOCKET_SLACK_NS = 50_000_000  # added to every limit for delays in sockets
CLIENT_LEFT_NOTICE_NS = 100_000_000  # within this time a dispatcher acts on the end of a client's connection
NEVER = float("inf")  # later than any time
MAX_TOLD_SHARE = 2 / 3  # of the requests under which a worker fell
START_TIME_SLACK_NS = 500_000_000  # by which the clocks of two processes differ on a start
ENDS_WITHOUT_MARK = ("swallowed", "mute", "failed")  # how runs end that leave no deduplication mark
RULE_LOST, RULE_TWICE, RULE_DRAINS, RULE_COLD, RULE_SOUND, RULE_COSTS = (
    "lost",
    "twice",
    "drains",
    "cold",
    "sound",
    "costs",
)
RULE_PARTS = "parts"
RULE_LEAVES = "leaves"
RULE_KEYS = "keys"
RULES = {
    RULE_LOST: "1: no work item lost, one final answer before its expiry",
    RULE_TWICE: "2: no effect twice",
    RULE_KEYS: "2: no client's key has its effect twice, whichever dispatchers it came to",
    RULE_DRAINS: "3: no hand-off to a leaving worker after the drain grace",
    RULE_LEAVES: "no hand-off of a work item later than 0.1 s after its client has left",
    RULE_COLD: "4: no cold worker collapses under overload",
    RULE_COSTS: "the costs of all dispatchers together stay within the script's bounds",
    RULE_PARTS: "the shares of all dispatchers never add up to more than 1 (by their own logs)",
    RULE_SOUND: "the program ran without an internal error",
}


class Breach(NamedTuple):
    """One violation of a rule."""

    rule: str
    at_ns: int
    id: str  # of the work item, or the name of the worker or dispatcher concerned
    message: str


class InvariantChecker:
    """Checks the records (`observations`) of one run of a script; `check` gives all breaches."""

    def __init__(self, script, observations):
        self.script, self.observations = script, observations
        # A dispatcher cannot know how long its answer takes on the network, so a round trip is allowed.
        slowdown = 1.0
        for trouble in script.troubles:
            slowdown *= max(1.0, trouble.factor) if trouble.what == "slow-net" else 1.0
        round_trip_ns = 2 * slowdown * (script.network.delay + script.network.jitter)
        self.slack_ns = SOCKET_SLACK_NS + int(script.dispatchers.answer_slack) + int(round_trip_ns)
        self.drain_grace_ns = int(script.dispatchers.drain_grace)
        self.group_by_category = scripts.build_category_groups(script)
        self.asks_by_id = {ask.id: ask for ask in observations.asks}
        self.runs_by_id = {}
        for run in observations.runs:
            self.runs_by_id.setdefault(run.job.id, []).append(run)
        self.asks_by_shared_key = {}  # id -> all requests with its key, where clients return with their key
        for wanted, asks in observations.wants:
            if wanted.flow.returns:
                self.asks_by_shared_key.update((ask.id, asks) for ask in asks)
        self.breaches = []

    def check(self):
        """Returns all breaches in order of time."""
        for ask in self.observations.asks:
            if ask.how != UNSENT:
                self._check_answer(ask)
        for id, runs in self.runs_by_id.items():
            self._check_repeats(id, runs)
        for wanted, asks in self.observations.wants:
            if wanted.flow.returns:
                self._check_key(asks)
        for run in self.observations.runs:
            self._check_drain(run)
            self._check_client_left(run)
        for rude in self.observations.rude:
            self._check_rude_client(rude)
        for collapse in self.observations.fallen:
            self._check_collapse(collapse)
        for worker, when, target, reason in self.observations.forged:
            self._add_breach(
                RULE_TWICE,
                when,
                worker,
                f"{worker} received a request that no client sent: {target} ({reason})",
            )
        for dispatcher, fault in self.observations.faults:
            self._add_breach(RULE_SOUND, 0, dispatcher, f"{dispatcher}: {fault}")
        self._check_costs()
        self.breaches.sort(key=lambda breach: (breach.at_ns, breach.rule, breach.id))
        return self.breaches

    def _add_breach(self, rule, when, id, message):
        self.breaches.append(Breach(rule, when, id, message))

    def _check_costs(self):
        """Bounds apply to all dispatchers together, so these breaches name no work item."""
        bounds, load_counters = self.script.bounds, self.observations.load_counters
        requests = max(1, len(self.observations.asks))
        for cost, measured, bound in (
            ("probes per request", load_counters.probes.total() / requests, bounds.probes),
            ("probes in a second", find_peak_per_second(load_counters.probes), bounds.probes_peak),
            (
                "new connections in a second",
                find_peak_per_second(load_counters.connections),
                bounds.new_connections_peak,
            ),
            ("list calls in a second", find_peak_per_second(load_counters.calls), bounds.list_calls_peak),
        ):
            if bound and measured > bound:
                self._add_breach(RULE_COSTS, 0, "all", f"{measured:.2f} {cost}, at most {bound:g} allowed")

    # ---- rule 4

    def _check_collapse(self, collapse):
        """A worker that failed in slow start breaks the rule if over two thirds of the requests came from
        dispatchers that discovery had told of its start."""
        started_at = collapse.at - collapse.age
        window_begins_at = collapse.at - int(self.script.fleet.push_window)
        told_count = run_count = 0
        for run in self.observations.runs:
            if run.worker == collapse.worker and window_begins_at < run.arrived_at <= collapse.at:
                run_count += 1
                told_count += self._find_start_told_at(run, started_at) <= run.first_byte
        if told_count > MAX_TOLD_SHARE * run_count:
            self._add_breach(
                RULE_COLD,
                collapse.at,
                collapse.worker,
                f"{collapse.worker} fell over {collapse.age / 1e9:.3f} s after its start: "
                f"{collapse.request_count} requests reached it within the window, "
                f"{told_count} of them from dispatchers that knew of its start",
            )

    def _find_start_told_at(self, run, started_at):
        """When the dispatcher of a run was told of this start of its worker; NEVER if it was not."""
        ask = self.asks_by_id.get(run.job.id)
        notices = self.observations.start_notices.get((ask.dispatcher, run.worker), {}) if ask else {}
        # Each process of a rig reads its own clock at the start of a worker.
        return min(
            (
                told_at
                for born_ms, told_at in notices.items()
                if abs(born_ms * 1_000_000 - started_at) < START_TIME_SLACK_NS
            ),
            default=NEVER,
        )

    # ---- rule 1, and the promise of a deferral that nothing ran

    def _check_answer(self, ask):
        until = max(ask.ended, ask.expiry)
        if ask.how == ANSWERED:
            late = ask.answered - ask.expiry
            if late > self.slack_ns and not self._is_excused(ask, until):
                self._add_breach(
                    RULE_LOST, ask.answered, ask.id, f"answered {late / 1e6:.1f} ms after its expiry"
                )
            if ask.extra:
                self._add_breach(
                    RULE_LOST, ask.answered, ask.id, f"more bytes came after its answer: {ask.extra[:40]!r}"
                )
            self._check_status(ask)
        elif ask.how == CLOSED:
            # A new connection that is refused before its request is handed off fails; the item is not lost.
            turned_away = ask.fresh and ask.id not in self.runs_by_id
            if not turned_away and not self._is_excused(ask, until):
                self._add_breach(
                    RULE_LOST, ask.ended, ask.id, "its connection ended without a complete answer"
                )
        elif ask.how == UNANSWERED and not self._is_excused(ask, until):
            self._add_breach(RULE_LOST, ask.expiry, ask.id, "no answer by its expiry")

    def _is_excused(self, ask, until):
        """Whether an injected fault affected the request's dispatcher between its sending and `until`."""
        return self.observations.find_disturbance(ask.dispatcher, ask.sent, until) is not None

    def _check_status(self, ask):
        runs = self.runs_by_id.get(ask.id, ())
        if ask.status == 200:
            shared_key_runs = [
                run
                for other in self.asks_by_shared_key.get(ask.id, ())
                for run in self.runs_by_id.get(other.id, ())
            ]
            is_workers_result = any(
                run.result == ask.body.decode("utf-8", "replace") and run.end in ("done", "repeat")
                for run in shared_key_runs or runs
            )
            if not is_workers_result:
                self._add_breach(
                    RULE_LOST, ask.answered, ask.id, f"a result that no worker produced: {ask.body[:60]!r}"
                )
        elif ask.status in (429, 503):
            self._check_deferral(ask, [run for run in runs if run.began_at])
        elif 400 <= ask.status < 500 and not self._is_excused(ask, ask.ended):
            self._add_breach(
                RULE_LOST, ask.answered, ask.id, f"a valid request was rejected with {ask.status}"
            )

    def _check_deferral(self, ask, begun):
        """A deferral promises that a retry is harmless; `begun`: the runs of the work item that began."""
        kind = ask.wanted.kind
        if not begun or kind.effect == Effect.RERUNNABLE:
            return
        first = min(run.began_at for run in begun)
        if kind.effect == Effect.EXCLUSIVE:
            self._add_breach(
                RULE_TWICE, ask.answered, ask.id, f"deferred although {begun[0].worker} began it"
            )
        elif self.group_by_category[kind.name] != Group.ALL:
            self._add_breach(
                RULE_TWICE, ask.answered, ask.id, "deferred although it began in one of several groups"
            )
        elif ask.answered > first + kind.window + self.slack_ns:
            self._add_breach(
                RULE_TWICE, ask.answered, ask.id, "deferred although it began and its window is over"
            )

    # ---- rule 2

    def _check_repeats(self, id, runs):
        """Checks all hand-offs of one work item: one at a time, and no second effect."""
        ask = self.asks_by_id.get(id)
        if ask is None:
            if not any(rude.id == id for rude in self.observations.rude):
                self._add_breach(
                    RULE_TWICE, runs[0].arrived_at, id, "handed off under an id that no client sent"
                )
            return
        if len(runs) == 1:
            return
        runs = sorted(runs, key=lambda run: (run.arrived_at, run.number))
        effect = ask.wanted.kind.effect
        for earlier, later in zip(runs, runs[1:], strict=False):
            out_until_ns = min(earlier.ended or NEVER, earlier.connection_lost_at or NEVER)
            excusing_fault = self.observations.find_disturbance(
                earlier.worker, earlier.arrived_at, later.arrived_at
            )
            if later.first_byte + self.slack_ns < out_until_ns and excusing_fault is None:
                self._add_breach(
                    RULE_TWICE,
                    later.arrived_at,
                    id,
                    f"handed to {later.worker} while still outstanding at {earlier.worker}",
                )
            never_ran = (
                earlier.end in ("declined", "returned") and earlier.ended <= later.first_byte + self.slack_ns
            )
            if effect == Effect.EXCLUSIVE and not never_ran:
                self._add_breach(
                    RULE_TWICE,
                    later.arrived_at,
                    id,
                    f"exclusive, handed to {later.worker} although at "
                    f"{earlier.worker} it was {earlier.end or 'out'}",
                )
        begun = [run for run in runs if run.began_at and run.end not in ("repeat",)]
        if effect == Effect.EXCLUSIVE and len(begun) > 1:
            self._add_breach(
                RULE_TWICE, begun[1].began_at, id, f"ran at {begun[0].worker} and at {begun[1].worker}"
            )
        if effect == Effect.TICKETED:
            # A run that was swallowed or failed leaves no mark, so a later run counts as the first.
            marked = [run for run in begun if run.end not in ENDS_WITHOUT_MARK]
            if len(marked) > 1:
                self._add_breach(
                    RULE_TWICE,
                    marked[1].began_at,
                    id,
                    f"ticketed, ran at {marked[0].worker} and, outside its "
                    f"group or window, at {marked[1].worker}",
                )

    def _check_key(self, asks):
        """Checks all that a client sent with one key, to any dispatcher before and after restarts."""
        effective_runs = sorted(
            (
                run
                for ask in asks
                for run in self.runs_by_id.get(ask.id, ())
                if run.began_at and run.end not in ("repeat", *ENDS_WITHOUT_MARK)
            ),
            key=lambda run: run.began_at,
        )
        if len(effective_runs) > 1:
            first, later = effective_runs[:2]
            self._add_breach(
                RULE_KEYS,
                later.began_at,
                later.job.id,
                f"its key had its effect at {first.worker} (as {first.job.id}) and at {later.worker}",
            )

    # ---- rule 3

    def _check_drain(self, run):
        """A dispatcher that knows that a worker leaves hands nothing to it after the drain grace."""
        ask = self.asks_by_id.get(run.job.id)
        if ask is None:
            return
        start_times = self.observations.start_times.get(ask.dispatcher, [0])
        started_at = start_times[max(0, bisect_right(start_times, run.first_byte) - 1)]
        for told_at, back_at in self.observations.removals.get(ask.dispatcher, {}).get(run.worker, ()):
            if (
                started_at <= told_at < run.first_byte - self.drain_grace_ns - SOCKET_SLACK_NS
                and (back_at is None or run.first_byte < back_at)
                and self.observations.find_disturbance(ask.dispatcher, told_at, run.first_byte) is None
            ):
                self._add_breach(
                    RULE_DRAINS,
                    run.first_byte,
                    run.job.id,
                    f"handed to {run.worker} "
                    f"{(run.first_byte - told_at) / 1e6:.1f} ms after {ask.dispatcher} knew that it leaves",
                )
                return

    # ---- clients that leave

    def _check_client_left(self, run):
        ask = self.asks_by_id.get(run.job.id)
        if (
            ask is not None
            and ask.how == LEFT
            and run.first_byte > ask.ended + CLIENT_LEFT_NOTICE_NS + self.slack_ns
            and not self._is_excused(ask, run.first_byte)
        ):
            late = (run.first_byte - ask.ended) / 1e6
            self._add_breach(
                RULE_LEAVES,
                run.first_byte,
                ask.id,
                f"handed to {run.worker} {late:.1f} ms after its client left",
            )

    # ---- clients that send invalid requests

    def _check_rude_client(self, rude):
        if rude.id in self.runs_by_id:
            self._add_breach(
                RULE_TWICE, rude.begun, rude.id, f"an invalid request ({rude.kind}) reached a worker"
            )
        elif 200 <= rude.status < 300:
            self._add_breach(RULE_LOST, rude.over, rude.id, f"an invalid request ({rude.kind}) was served")
        elif (
            not rude.over or rude.over - rude.begun > ANSWER_LIMIT_NS
        ) and self.observations.find_disturbance(
            rude.dispatcher, rude.begun, rude.begun + 2 * ANSWER_LIMIT_NS
        ) is None:
            self._add_breach(
                RULE_SOUND,
                rude.begun,
                rude.id,
                f"an invalid request ({rude.kind}) got neither an error nor a close",
            )

    # ---- traces for reports

    def trace_work_item(self, id):
        """All events of a work item at client, dispatcher and workers: [(ns, text)] in order of time."""
        lines = []
        ask = self.asks_by_id.get(id)
        if ask is not None:
            kind = ask.wanted.kind
            lines.append(
                (
                    ask.sent,
                    f"client sent {kind.name} {id} to {ask.dispatcher}, "
                    f"{(ask.expiry - ask.sent) / 1e6:.1f} ms left, attempt {ask.tried + 1}",
                )
            )
            if ask.how == ANSWERED:
                lines.append(
                    (ask.answered, f"client received {ask.status} {ask.body[:60].decode('utf-8', 'replace')}")
                )
            elif ask.ended:
                lines.append((ask.ended, f"client's connection: {ask.how}"))
        for run in self.runs_by_id.get(id, ()):
            lines.append((run.first_byte, f"{run.worker} received its first byte"))
            if run.began_at:
                lines.append((run.began_at, f"{run.worker} began it ({run.job.work / 1e6:.1f} ms of work)"))
            if run.ended:
                lines.append((run.ended, f"{run.worker}: {run.end}"))
            if run.connection_lost_at:
                lines.append((run.connection_lost_at, f"{run.worker} lost the connection of its hand-off"))
        for record in self.observations.dispatcher_records:
            lines += record.trace_work_item(id)
        return sorted(lines, key=lambda line: line[0])

    def trace_worker(self, name, until):
        """The hand-offs that a worker took in the ten seconds up to `until`: [(ns, text)]."""
        return [
            (
                run.arrived_at,
                f"{run.worker} took {run.job.id} ({run.job.category}, {run.job.work / 1e6:.1f} ms)",
            )
            for run in self.observations.runs
            if run.worker == name and until - 10_000_000_000 <= run.arrived_at <= until
        ]
