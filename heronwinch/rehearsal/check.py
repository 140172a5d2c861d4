"""Model checker of the merge rules of the membership view (fleet/table.py).

Explores, within bounds, every interleaving of gossip that is sent, lost, duplicated and reordered with
members that are suspected, declared gone, crash, return with a clock that stepped back, or run twice under
one name. A network cut is a path that loses everything.

The search is breadth-first, so the first failure found has the shortest trace. It runs the rules themselves
rather than a copy; a planted fault replaces one of them for the time of a search.
"""

import contextlib
from collections import deque
from typing import NamedTuple

from heronwinch.fleet import table as tables
from heronwinch.fleet.messages import GONE, LEAVING, SERVING, STATE_NAMES, SUSPECT, MemberRecord
from heronwinch.fleet.table import MembershipTable

MAX_GOSSIP_ROUNDS = 16  # bound of rounds in which all members gossip with all, once faults are over


class Model(NamedTuple):
    """Bounds of one search. `process_names` has one entry per process; two of one name are rivals."""

    name: str
    process_names: tuple[str, ...]
    max_in_flight: int  # records under way at a time
    max_suspicions: int
    max_crashes: int
    max_duplicates: int  # how often a delivered record may stay under way
    max_leaves: int


MODELS = (
    Model("two members", ("a", "b"), 2, 2, 1, 1, 0),
    Model("two members, one leaves", ("a", "b"), 1, 2, 1, 0, 1),
    Model("three members", ("a", "b", "c"), 1, 1, 1, 0, 0),
    Model("two processes of one name", ("a", "b", "a"), 1, 1, 0, 0, 0),
)


class State(NamedTuple):
    """A state of the search. `members` has a tuple for each process: whether it is alive, its own record, all
    its records, whether it has yielded its name, and how often it was restarted."""

    members: tuple
    in_flight: tuple  # (index of the recipient, record), sorted
    budgets: tuple  # what is left of suspicions, crashes, duplicates and leaves


class InvariantError(Exception):
    """A transition broke an invariant. Arguments: the description of the transition, and of the failure."""


def _pack_member(table, restart_count):
    return True, table.own_record, frozenset(table.records.values()), table.has_yielded_name, restart_count


def _unpack_table(member):
    _, own_record, known_records, has_yielded, _ = member
    table = MembershipTable(own_record)
    for record in known_records:
        if record.name != own_record.name or has_yielded:
            table._store_record(record)
    table.has_yielded_name = has_yielded
    return table


def create_initial_state(model):
    """The state in which all processes serve and know each other."""
    members = []
    initial_records = [
        MemberRecord(name, SERVING, 1, 50 + i, f"{i}:1") for i, name in enumerate(model.process_names)
    ]
    for own_record in initial_records:
        table = MembershipTable(own_record)
        for record in initial_records:
            if record.name != own_record.name and (record.name not in table.records):
                table.merge(record)
        members.append(_pack_member(table, 0))
    return State(
        tuple(members), (), (model.max_suspicions, model.max_crashes, model.max_duplicates, model.max_leaves)
    )


def _replace_member(state, i, member=None, in_flight=None, spent_budget=None):
    members = state.members if member is None else (*state.members[:i], member, *state.members[i + 1 :])
    budgets = (
        state.budgets
        if spent_budget is None
        else tuple(n - (k == spent_budget) for k, n in enumerate(state.budgets))
    )
    return State(
        members,
        state.in_flight if in_flight is None else tuple(sorted(in_flight, key=_delivery_sort_key)),
        budgets,
    )


def _delivery_sort_key(delivery):
    recipient, record = delivery
    return recipient, record.name, tables.compute_precedence(record), record.state


def list_transitions(model, state):
    """Yields (description, next state) for each possible event. Raises InvariantError if an incarnation would
    decrease."""
    suspicions_left, crashes_left, duplicates_left, leaves_left = state.budgets
    for i, member in enumerate(state.members):
        name = f"{model.process_names[i]}{i}"
        if not member[0]:
            if member[4] < 1:
                for life in (
                    10 + i,
                    90 + i,
                ):  # less or greater than the earlier one; incarnation 0, as if the clock stepped back
                    own_record = MemberRecord(model.process_names[i], SERVING, 0, life, member[1].host)
                    yield (
                        f"{name} restarts as life {life}",
                        _replace_member(state, i, _pack_member(MembershipTable(own_record), 1)),
                    )
            continue
        if crashes_left > 0:
            yield f"{name} crashes", _replace_member(state, i, (False, *member[1:]), spent_budget=1)
        for record in member[2]:
            if len(state.in_flight) < model.max_in_flight:
                for j, peer in enumerate(state.members):
                    if j != i and peer[0] and (j, record) not in state.in_flight:
                        yield (
                            f"{name} sends {model.process_names[j]}{j} {_format_record(record)}",
                            _replace_member(state, i, in_flight=(*state.in_flight, (j, record))),
                        )
            if record.name != member[1].name and suspicions_left > 0 and record.state < GONE:
                table = _unpack_table(member)
                table.declare_state(record.name, GONE if record.state == SUSPECT else SUSPECT, member[1].name)
                step = "declares gone:" if record.state == SUSPECT else "suspects"
                yield (
                    f"{name} {step} {record.name}",
                    _replace_member(state, i, _pack_member(table, member[4]), spent_budget=0),
                )
        if leaves_left > 0 and member[1].state == SERVING:
            table = _unpack_table(member)
            table.announce_own_state(LEAVING)
            yield (
                f"{name} announces that it leaves",
                _replace_member(state, i, _pack_member(table, member[4]), spent_budget=3),
            )
    for k, (recipient, record) in enumerate(state.in_flight):
        remaining = (*state.in_flight[:k], *state.in_flight[k + 1 :])
        yield f"lost: {_format_record(record)}", _replace_member(state, recipient, in_flight=remaining)
        member = state.members[recipient]
        if not member[0]:
            continue
        table = _unpack_table(member)
        records_before = {known.name: known for known in member[2]}
        table.merge(record)
        for name, record_before in records_before.items():
            if name not in table.records or table.records[name].inc < record_before.inc:
                raise InvariantError(
                    f"{model.process_names[recipient]}{recipient} receives {_format_record(record)}",
                    f"the incarnation of {name} decreased",
                )
        member_after = _pack_member(table, member[4])
        step = f"{model.process_names[recipient]}{recipient} receives {_format_record(record)}"
        yield step, _replace_member(state, recipient, member_after, remaining)
        if duplicates_left > 0:
            yield (
                step + ", and a duplicate stays under way",
                _replace_member(state, recipient, member_after, spent_budget=2),
            )


def _format_record(record):
    return f"{record.name}/{record.life} {STATE_NAMES[record.state]} {record.inc}"


def find_invariant_violation(model, state):
    """Describes a violation of the invariants that hold in every state; None if there is none."""
    for i, (alive, own_record, *_, has_yielded, _) in enumerate(state.members):
        if not alive:
            continue
        for j, peer in enumerate(state.members):
            for record in peer[2]:
                if (
                    record.name == own_record.name
                    and record.life == own_record.life
                    and record.inc > own_record.inc
                ):
                    return (
                        f"{model.process_names[j]}{j} holds a record of {own_record.name} "
                        f"that it never announced: {_format_record(record)}"
                    )
        if not has_yielded and not any(record == own_record for record in state.members[i][2]):
            return f"{own_record.name}{i} does not hold its own record"
    return None


def find_convergence_failure(model, state):
    """Ends the faults, lets all members gossip with all, and describes how their views fail to converge; None
    if they converge."""
    alive_indices = [i for i, member in enumerate(state.members) if member[0]]
    views = {i: _unpack_table(state.members[i]) for i in alive_indices}
    for recipient, record in state.in_flight:
        if recipient in views:
            views[recipient].merge(record)

    def gossip_until_stable():
        for _ in range(MAX_GOSSIP_ROUNDS):
            has_changed = False
            for i in alive_indices:
                for j in alive_indices:
                    if i != j:
                        for record in list(views[i].records.values()):
                            has_changed = views[j].merge(record) is not None or has_changed
            if not has_changed:
                return

    gossip_until_stable()
    names = {views[i].own_record.name for i in alive_indices}
    for i in alive_indices:  # every live member declares the dead ones gone
        for name in list(views[i].records):
            if name not in names:
                views[i].declare_state(name, GONE, views[i].own_record.name)
    gossip_until_stable()
    if len({views[i].digest for i in alive_indices}) > 1:
        return "views never converge"
    for name in names:
        holders = [
            i for i in alive_indices if views[i].own_record.name == name and not views[i].has_yielded_name
        ]
        if len(holders) != 1:
            return f"{len(holders)} processes serve as {name}"
        holder_record = views[holders[0]].own_record
        for i in alive_indices:
            if views[i].records[name] != holder_record:
                return (
                    f"{views[i].own_record.name}{i} holds {_format_record(views[i].records[name])}, "
                    f"{name} announces {_format_record(holder_record)}"
                )
    for i in alive_indices:
        for name, record in views[i].records.items():
            if name not in names and record.state < GONE:
                return (
                    f"{views[i].own_record.name}{i} takes {name}, which is down, for present: "
                    f"{_format_record(record)}"
                )
    return None


class SearchResult(NamedTuple):
    """The outcome of exploring one model, with the trace that leads to a failure."""

    model: str
    state_count: int
    failure: str = ""  # description of the failure; "" if there is none
    steps: tuple[str, ...] = ()


def search_model(model, max_states=2_000_000, report_progress=lambda states: None):
    """Explores a model. Raises MemoryError if it has more than `max_states`."""
    return explore_states(
        model.name,
        create_initial_state(model),
        lambda state: list_transitions(model, state),
        lambda state: find_invariant_violation(model, state) or find_convergence_failure(model, state),
        max_states,
        report_progress,
    )


def explore_states(
    name, initial_state, list_transitions, find_invariant_violation, max_states, report_progress
):
    """Explores all states reachable from `initial_state`, breadth first.

    `list_transitions(state)` yields (description, next state); `find_invariant_violation(state)` returns a
    description or None. Raises MemoryError beyond `max_states`.
    """
    predecessors = {initial_state: None}
    queue = deque([initial_state])
    while queue:
        state = queue.popleft()
        failure = find_invariant_violation(state)
        if failure:
            return SearchResult(name, len(predecessors), failure, _trace_steps(predecessors, state))
        try:
            for step, next_state in list_transitions(state):
                if next_state not in predecessors:
                    predecessors[next_state] = state, step
                    queue.append(next_state)
        except InvariantError as error:
            step, failure = error.args
            return SearchResult(name, len(predecessors), failure, (*_trace_steps(predecessors, state), step))
        if len(predecessors) > max_states:
            raise MemoryError(f"{name}: over {max_states} states")
        report_progress(len(predecessors))
    return SearchResult(name, len(predecessors))


def _trace_steps(predecessors, state):
    steps = []
    while predecessors[state] is not None:
        state, step = predecessors[state]
        steps.append(step)
    return tuple(reversed(steps))


# ---- planted faults


@contextlib.contextmanager
def _replace_attribute(owner, name, replacement):
    """Replaces an attribute of a class or module while the context lasts."""
    original = getattr(owner, name)
    setattr(owner, name, replacement)
    try:
        yield
    finally:
        setattr(owner, name, original)


def _never_refute(self, record):
    """Replaces _merge_own_record: a member accepts what others say of it."""
    return None


def _refute_in_same_incarnation(self, record):
    """Replaces _merge_own_record: a member repeats its record without raising the incarnation."""
    stored_record = self.records[self.own_record.name]
    return (
        stored_record
        if tables.compute_precedence(record) > tables.compute_precedence(stored_record)
        else None
    )


def _never_yield_name(self, record):
    """Replaces _merge_own_record: of two processes of one name, both keep it."""
    return (
        self.announce_own_state(self.own_record.state, record.inc)
        if tables.compute_precedence(record) > tables.compute_precedence(self.records[self.own_record.name])
        else None
    )


def _compute_inverted_precedence(record):
    """Replaces compute_precedence: the record with the lower incarnation wins."""
    return -record.inc, record.life, tables.STATE_PRECEDENCE[record.state]


PLANTED_FAULTS = {
    "no-refutation": lambda: _replace_attribute(MembershipTable, "_merge_own_record", _never_refute),
    "same-incarnation": lambda: _replace_attribute(
        MembershipTable, "_merge_own_record", _refute_in_same_incarnation
    ),
    "gone-as-serving": lambda: _replace_attribute(tables, "STATE_PRECEDENCE", (0, 0, 0, 1, 0, 3)),
    "older-taken": lambda: _replace_attribute(tables, "compute_precedence", _compute_inverted_precedence),
    "both-keep-the-name": lambda: _replace_attribute(MembershipTable, "_merge_own_record", _never_yield_name),
    "yields-to-the-dead": lambda: _replace_attribute(tables, "_format_life", lambda life: ""),
}


def check_models(fault_name=None, report_progress=lambda states: None):
    """Yields a SearchResult for each model, up to the first with a failure."""
    with PLANTED_FAULTS[fault_name]() if fault_name else contextlib.nullcontext():
        for model in MODELS:
            result = search_model(model, progress=report_progress)
            yield result
            if result.failure:
                return
