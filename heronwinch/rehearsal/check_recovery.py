"""Model checker of the write-ahead log, recovery and key queries.

Explores, within bounds, every order of events for one piece of work between two dispatchers and two groups of
workers: hand-offs, syncs, crashes, restarts, stores that lose rows, clocks that are set, key queries, network
partitions, and the end of the window in which workers recognize a repeated key.

The search runs the code of the program for the replayed log, the decision on open work items and the verdict
on keys. The network, the disk, the client and the workers are modelled here. The invariant is that the work
takes effect at most once."""

import contextlib
from functools import lru_cache
from typing import NamedTuple

from heronwinch.fleet import key_queries
from heronwinch.interface import Effect, Outcome
from heronwinch.ledger.records import (
    DEFERRED,
    FINISHED,
    WRITTEN_OFF,
    AcceptedItem,
    FinalAnswer,
    HandOffIntent,
    HandOffOutcome,
)
from heronwinch.ledger.state import KeyHistory, LedgerState, digest_client_key
from heronwinch.recovery import open_items
from heronwinch.rehearsal.check import explore_states

TICKET, CATEGORY = b"k", "c"
TIME_LEFT = 1 << 40  # nanoseconds; so long that no work expires within a search
GROUPS = (0, 1)
IDLE, WAITING, SERVED, GAVE_UP = "idle", "waits", "served", "gave up"  # states of the client


class Rules(NamedTuple):
    """Rules that the program keeps; a planted fault switches one off."""

    intent_before_send: bool = True  # no byte goes out before the intent is durable
    record_before_deferral: bool = True  # no deferral is sent before its record is durable
    distrusts_set_clock: bool = True  # after a clock was set, all hand-offs count as old
    heeds_missing_rows: bool = True  # a store that lacks rows does not prove that work never ran
    keeps_group: bool = True  # work that may have run is repeated only in the same group
    hides_open_hand_offs: bool = True  # other nodes may not rely on where open work is at present
    records_reported_hand_offs: bool = True  # a hand-off that the other node reported is recorded


RULES = Rules()


class Model(NamedTuple):
    """Bounds of one search."""

    name: str
    effect: Effect
    max_requests: int
    max_crashes: int
    max_row_losses: int  # stores that lose rows
    max_clock_changes: int  # clocks that are set while a dispatcher is down
    max_partitions: int


MODELS = (
    Model("ticketed: crashes and a partition", Effect.TICKETED, 3, 1, 0, 0, 1),
    Model("ticketed: two crashes", Effect.TICKETED, 2, 2, 0, 0, 0),
    Model("ticketed: a store that loses rows", Effect.TICKETED, 2, 2, 1, 0, 0),
    Model("ticketed: a clock that is set", Effect.TICKETED, 2, 2, 0, 1, 0),
    Model("exclusive: crashes", Effect.EXCLUSIVE, 2, 2, 0, 0, 0),
    Model("exclusive: a store that loses rows", Effect.EXCLUSIVE, 2, 2, 1, 0, 0),
)


class Node(NamedTuple):
    """A dispatcher."""

    is_alive: bool = True
    records: tuple = ()  # all that were written, in order
    durable_count: int = 0  # how many of `records` are durable
    is_complete: bool = True  # the records of all work that it accepted are there
    has_exact_times: bool = True  # the ages of its hand-offs are right
    unsent: tuple = ()  # hand-off (id, number, group) whose bytes are not sent yet
    deferring: bytes = b""  # id of the item whose deferral waits for its record


class State(NamedTuple):
    """A state of the search."""

    nodes: tuple[Node, Node] = (Node(), Node())
    in_flight: tuple = ()  # (node, id, number, group): hand-offs that are sent but have not arrived
    marks: tuple = (False, False)  # by group: whether the work ran there and workers still recognize its key
    effect_count: int = 0
    window_is_over: bool = False  # of all marks made so far
    client: tuple = (IDLE, 0, 0)  # state, requests made, index of the node where it waits
    is_partitioned: bool = False
    budgets: tuple = ()  # what is left of crashes, row losses, clock changes and partitions


@lru_cache(maxsize=200_000)
def replay_records(records):
    """Returns the ledger state after these records."""
    ledger_state = LedgerState()
    for record in records:
        ledger_state.apply(record)
    return ledger_state


def create_initial_state(model):
    """Returns the state in which both nodes are alive and the client has sent nothing."""
    return State(
        budgets=(model.max_crashes, model.max_row_losses, model.max_clock_changes, model.max_partitions)
    )


def _replace_node(state, node_index, node, **changes):
    nodes = tuple(node if i == node_index else other for i, other in enumerate(state.nodes))
    return state._replace(nodes=nodes, **changes)


def _spend_budget(state, kind):
    return tuple(count - (i == kind) for i, count in enumerate(state.budgets))


def _append_records(node, *records):
    all_records = node.records + records
    replay_records(all_records)  # raises where one contradicts those before it
    return node._replace(records=all_records)


def _make_item_id(node_index, state):
    return b"%d/%d" % (node_index, state.client[1])


def _record_acceptance_and_intent(model, state, node_index, id, group, reported_run=None):
    """Returns the node after it has accepted the work and recorded the intent to hand it off to the group.
    `reported_run` is an earlier hand-off that the other node reported."""
    node = state.nodes[node_index]
    ticket = TICKET if model.effect == Effect.TICKETED else b""
    if not any(type(record) is AcceptedItem and record.id == id for record in node.records):
        mark = (
            (reported_run.host, reported_run.area, 0, 1)
            if reported_run is not None and RULES.records_reported_hand_offs
            else None
        )
        node = _append_records(
            node, AcceptedItem(id, 1, TIME_LEFT, CATEGORY, int(model.effect), b"/", ticket, mark=mark)
        )
    number = len(replay_records(node.records).items_by_id[id].hand_offs)
    node = _append_records(node, HandOffIntent(id, number, 1, f"w{group}", str(group)))
    return node._replace(unsent=(id, number, group))


def _list_allowed_groups(model, has_exact_times, history, window_is_over):
    """Returns the groups to which the module may hand the work off, given the history of its key.
    `has_exact_times` tells that the age of its hand-offs is known."""
    if history.first_possible_run is None:
        return GROUPS
    if (
        model.effect == Effect.EXCLUSIVE
        or (window_is_over and has_exact_times)
        or (RULES.distrusts_set_clock and not has_exact_times)
    ):
        return ()
    return GROUPS if not RULES.keeps_group else (int(history.first_possible_run.area),)


def _ask_other_node(state, node_index):
    """Returns the key history at the other node, the verdict if that is empty, and whether its times are
    exact."""
    other = state.nodes[1 - node_index]
    if not other.is_alive or state.is_partitioned:
        return KeyHistory(), key_queries.judge_unreported_key({"other"}, False), True
    history = replay_records(other.records).find_key_history(digest_client_key(CATEGORY, TICKET))
    if history.open_item is not None and RULES.hides_open_hand_offs:
        return KeyHistory(), key_queries.judge_unreported_key(set(), True), True
    return history, key_queries.judge_unreported_key(set(), not other.is_complete), other.has_exact_times


def list_transitions(model, state):
    """Yields (description, next state) for each possible event."""
    yield from _list_client_transitions(model, state)
    for node_index, node in enumerate(state.nodes):
        name = "ab"[node_index]
        if node.is_alive:
            yield from _list_node_transitions(model, state, node_index, node, name)
        else:
            yield from _list_restarts(model, state, node_index, node, name)
    for hand_off in state.in_flight:
        yield from _list_deliveries(model, state, hand_off)
    # The window does not end while a hand-off waits for its intent: that wait is far shorter than a window.
    if (
        any(state.marks)
        and not state.window_is_over
        and not state.in_flight
        and not any(node.unsent for node in state.nodes)
    ):
        yield "the window is over", state._replace(marks=(False, False), window_is_over=True)
    if state.is_partitioned:
        yield "the partition is healed", state._replace(is_partitioned=False)
    elif state.budgets[3]:
        yield (
            "a and b are partitioned",
            state._replace(is_partitioned=True, budgets=_spend_budget(state, 3)),
        )


def _list_client_transitions(model, state):
    """The client sends its first request or repeats it, and a node decides about it."""
    client_state, request_count, _ = state.client
    if client_state != IDLE or request_count >= model.max_requests:
        return
    for node_index, node in enumerate(state.nodes):
        if not node.is_alive or node.unsent or node.deferring:
            continue
        name = "ab"[node_index]
        id = _make_item_id(node_index, state)
        history, has_exact_times = KeyHistory(), node.has_exact_times
        if model.effect == Effect.TICKETED:
            history = replay_records(node.records).find_key_history(digest_client_key(CATEGORY, TICKET))
        waiting = state._replace(client=(WAITING, request_count + 1, node_index))
        if history.result is not None:
            yield (
                f"{name} answers from its ledger",
                state._replace(client=(SERVED, request_count + 1, node_index)),
            )
            continue
        if history.open_item is not None:
            continue  # the work is open at this node, and the client waits for that
        if history.is_empty and request_count and model.effect == Effect.TICKETED:
            reported, verdict, has_exact_times = _ask_other_node(state, node_index)
            if reported.result is not None:
                yield (
                    f"{name} answers from the other's ledger",
                    state._replace(client=(SERVED, request_count + 1, node_index)),
                )
                continue
            if reported.first_possible_run is not None:
                history = reported
            elif verdict == key_queries.UNKNOWN or not node.is_complete:
                yield f"{name} defers in doubt", state._replace(client=(IDLE, request_count + 1, node_index))
                continue
        groups = _list_allowed_groups(model, has_exact_times, history, state.window_is_over)
        if not groups:
            yield f"{name} writes off", state._replace(client=(GAVE_UP, request_count + 1, node_index))
        for group in groups:
            yield (
                f"{name} accepts the work for group {group}",
                _replace_node(
                    waiting,
                    node_index,
                    _record_acceptance_and_intent(
                        model, state, node_index, id, group, history.first_possible_run
                    ),
                ),
            )
        if history.is_empty:
            ticket = TICKET if model.effect == Effect.TICKETED else b""
            ended_node = _append_records(
                node,
                AcceptedItem(id, 1, TIME_LEFT, CATEGORY, int(model.effect), b"/", ticket),
                FinalAnswer(id, 1, DEFERRED),
            )
            yield (
                f"{name} accepts the work and gives up",
                _replace_node(waiting, node_index, ended_node._replace(deferring=id)),
            )


def _list_node_transitions(model, state, node_index, node, name):
    """A node that is alive syncs, sends, gives up, defers or crashes."""
    if node.durable_count < len(node.records):
        yield (
            f"{name} syncs",
            _replace_node(state, node_index, node._replace(durable_count=len(node.records))),
        )
    is_synced = node.durable_count == len(node.records)
    if node.unsent and (is_synced or not RULES.intent_before_send):
        id, number, group = node.unsent
        yield (
            f"{name} sends to group {group}",
            _replace_node(
                state,
                node_index,
                node._replace(unsent=()),
                in_flight=(*state.in_flight, (node_index, id, number, group)),
            ),
        )
    if (
        node.unsent
        and node.unsent[1]
        and not replay_records(node.records).items_by_id[node.unsent[0]].hand_offs[node.unsent[1]].outcome
    ):
        # The time is over before the hand-off went out: work that may have run earlier is written off.
        id, number, _ = node.unsent
        given_up_node = _append_records(node, HandOffOutcome(id, number, int(Outcome.MOOT)))
        if replay_records(given_up_node.records).items_by_id[id].first_possible_run is not None:
            given_up_node = _append_records(given_up_node, FinalAnswer(id, 2, WRITTEN_OFF))._replace(
                unsent=()
            )
            client = (
                (GAVE_UP, *state.client[1:]) if state.client[::2] == (WAITING, node_index) else state.client
            )
            yield (
                f"{name} writes the work off",
                _replace_node(state, node_index, given_up_node, client=client),
            )
    if node.deferring and (is_synced or not RULES.record_before_deferral):
        # A deferral promises that nothing ran, so even a client without a key may repeat its request
        # elsewhere.
        client = (IDLE, state.client[1], node_index) if state.client[0] == WAITING else state.client
        yield f"{name} defers", _replace_node(state, node_index, node._replace(deferring=b""), client=client)
    if state.budgets[0]:
        client_state, request_count, waits_at = state.client
        client = state.client
        if client_state == WAITING and waits_at == node_index:
            # The client loses its connection and never hears the outcome: it repeats only a request with a
            # key.
            client = (IDLE if model.effect == Effect.TICKETED else GAVE_UP, request_count, waits_at)
        for kept_count in range(node.durable_count, len(node.records) + 1):
            crashed_node = node._replace(
                is_alive=False,
                records=node.records[:kept_count],
                durable_count=kept_count,
                unsent=(),
                deferring=b"",
            )
            yield (
                f"{name} crashes, {kept_count} of {len(node.records)} rows left",
                _replace_node(
                    state, node_index, crashed_node, client=client, budgets=_spend_budget(state, 0)
                ),
            )


def _list_restarts(model, state, node_index, node, name):
    """A node restarts, perhaps with rows of its store missing or with its clock set."""
    yield from _settle_open_items(model, state, node_index, node._replace(is_alive=True), f"{name} restarts")
    if state.budgets[1] and node.records:
        for kept_count in range(len(node.records)):
            kept_records = node.records[:kept_count]
            yield from _settle_open_items(
                model,
                state._replace(budgets=_spend_budget(state, 1)),
                node_index,
                node._replace(
                    is_alive=True,
                    records=kept_records,
                    durable_count=kept_count,
                    is_complete=not RULES.heeds_missing_rows,
                    has_exact_times=not RULES.heeds_missing_rows,
                ),
                f"{name} restarts, {kept_count} rows sound",
            )
    if state.budgets[2]:
        yield from _settle_open_items(
            model,
            state._replace(budgets=_spend_budget(state, 2)),
            node_index,
            node._replace(is_alive=True, is_complete=False, has_exact_times=False),
            f"{name} restarts with a clock that was set",
        )


def _settle_open_items(model, state, node_index, node, description):
    """Resumes or ends the open work of a node that restarts, in the order of the program."""
    for item in replay_records(node.records).list_open_items():
        is_complete = node.is_complete if RULES.heeds_missing_rows else True
        now = 2 if node.has_exact_times or not RULES.distrusts_set_clock else TIME_LEFT * 2
        decision = open_items.decide_open_item(item, now, is_complete, model.effect)
        id = item.accepted.id
        for number, hand_off in enumerate(item.hand_offs):
            if not hand_off.outcome:
                node = _append_records(node, HandOffOutcome(id, number, int(Outcome.STALE)))
        if decision is open_items.RESUME:
            item = replay_records(node.records).items_by_id[id]
            groups = _list_allowed_groups(
                model,
                node.has_exact_times,
                KeyHistory(first_possible_run=item.first_possible_run),
                state.window_is_over,
            )
            if groups:
                for group in groups:
                    settled_state = _replace_node(state, node_index, node)
                    yield (
                        f"{description}, resumes for group {group}",
                        _replace_node(
                            settled_state,
                            node_index,
                            _record_acceptance_and_intent(model, settled_state, node_index, id, group),
                        ),
                    )
                return
            decision = WRITTEN_OFF
        node = _append_records(node, FinalAnswer(id, 2, decision))
    yield description, _replace_node(state, node_index, node)


def _list_deliveries(model, state, hand_off):
    """A hand-off in flight is lost, or runs at its worker, with or without an answer to its node."""
    node_index, id, number, group = hand_off
    in_flight = tuple(other for other in state.in_flight if other != hand_off)
    node = state.nodes[node_index]
    is_awaited = (
        node.is_alive
        and id in replay_records(node.records).items_by_id
        and number < len(replay_records(node.records).items_by_id[id].hand_offs)
        and not replay_records(node.records).items_by_id[id].hand_offs[number].outcome
    )
    # The connection fails: the node sees that if it is alive and still waits for the outcome.
    arrived = state._replace(in_flight=in_flight)
    if is_awaited:
        failed_node = _append_records(node, HandOffOutcome(id, number, int(Outcome.CONNECT_FAILED)))
        first_possible_run = replay_records(failed_node.records).items_by_id[id].first_possible_run
        for next_group in _list_allowed_groups(
            model,
            node.has_exact_times,
            KeyHistory(first_possible_run=first_possible_run),
            state.window_is_over,
        ):
            if number < 2:
                yield (
                    f"the connection fails, hand-off again to group {next_group}",
                    _replace_node(
                        arrived,
                        node_index,
                        _record_acceptance_and_intent(
                            model, _replace_node(arrived, node_index, failed_node), node_index, id, next_group
                        ),
                    ),
                )
    else:
        yield "the hand-off is lost in the network", arrived
    is_repeat = model.effect == Effect.TICKETED and state.marks[group]
    marks = tuple(mark or i == group for i, mark in enumerate(state.marks))
    ran = arrived._replace(marks=marks, effect_count=state.effect_count + (not is_repeat))
    yield f"the work runs in group {group}, its answer is lost", ran
    if is_awaited:
        finished_node = _append_records(
            node, HandOffOutcome(id, number, int(Outcome.OK)), FinalAnswer(id, 2, FINISHED, b"r")
        )
        client = state.client
        if client[0] == WAITING and client[2] == node_index:
            client = (SERVED, *client[1:])
        yield f"the work runs in group {group}", _replace_node(ran, node_index, finished_node, client=client)


def find_broken_invariant(state):
    """Returns what is wrong with a state, None if nothing is."""
    return "the work took effect twice" if state.effect_count > 1 else None


# ---- planted faults


@contextlib.contextmanager
def _break_rule(**changes):
    global RULES
    original, RULES = RULES, RULES._replace(**changes)
    try:
        yield
    finally:
        RULES = original


@contextlib.contextmanager
def _treat_silence_as_not_seen():
    original, key_queries.judge_unreported_key = (
        key_queries.judge_unreported_key,
        lambda silent, unsure: key_queries.NOT_SEEN,
    )
    try:
        yield
    finally:
        key_queries.judge_unreported_key = original


PLANTED_FAULTS = {
    "intent-after-send": lambda: _break_rule(intent_before_send=False),
    "deferral-before-record": lambda: _break_rule(record_before_deferral=False),
    "silence-is-no": _treat_silence_as_not_seen,
    "clock-believed": lambda: _break_rule(distrusts_set_clock=False),
    "damage-passed-over": lambda: _break_rule(heeds_missing_rows=False),
    "group-forgotten": lambda: _break_rule(keeps_group=False),
    "open-as-settled": lambda: _break_rule(hides_open_hand_offs=False),
    "word-not-kept": lambda: _break_rule(records_reported_hand_offs=False),
}


def check_models(fault_name=None, report_progress=lambda states: None):
    """Yields the result of each model, up to the first with a failure."""
    with PLANTED_FAULTS[fault_name]() if fault_name else contextlib.nullcontext():
        for model in MODELS:
            result = explore_states(
                model.name,
                create_initial_state(model),
                lambda state, model=model: list_transitions(model, state),
                find_broken_invariant,
                2_000_000,
                report_progress,
            )
            yield result
            if result.failure:
                return
