"""Costs of all dispatchers together, which no single one of them knows: probes, new connections, calls to
discovery, load on cold workers; and how long the earned credit takes to recover after a trouble.

All figures come from the counts of the stand-ins, not from reports of the dispatchers.
"""

from typing import NamedTuple

from heronwinch.interface import SECOND
from heronwinch.rehearsal.invariants import SOCKET_SLACK_NS
from heronwinch.rehearsal.load_counters import find_peak_per_second

# Fractions of the credit earned before a trouble; at the second, the system counts as recovered.
HALF_CREDIT, RECOVERED_CREDIT, NEARLY_ALL_CREDIT = 0.5, 0.95, 0.99
BASELINE_SECONDS = 5  # before a trouble; their mean is the usual credit
AVERAGING_SECONDS = 3  # over which credit is averaged, as a single second varies by chance

IN_TIME, LATE, TOO_LATE, LEFT, NONE = "in time", "late", "too late", "left", "none"


class ItemResult(NamedTuple):
    """The result of one work item."""

    outcome: str  # IN_TIME, LATE, TOO_LATE, LEFT or NONE
    credit_asked: float  # 0 if its client left before the expiry
    credit_earned: float
    took_ns: int = 0  # from its arrival to its result


def evaluate_item(wanted, asks):
    """The ItemResult of a work item and all requests (`asks`) made for it."""
    kind = wanted.kind
    answered_request = next((ask for ask in asks if ask.status == 200 and ask.answered), None)
    if answered_request is None:
        return ItemResult(LEFT, 0.0, 0.0) if wanted.patience else ItemResult(NONE, kind.credit, 0.0)
    took_ns = answered_request.answered - wanted.arrived_at
    if took_ns <= kind.due_time + kind.stretch * wanted.work:
        return ItemResult(IN_TIME, kind.credit, kind.credit, took_ns)
    if took_ns <= kind.expiry + SOCKET_SLACK_NS:
        return ItemResult(LATE, kind.credit, kind.late_credit * kind.credit, took_ns)
    return ItemResult(TOO_LATE, kind.credit, 0.0, took_ns)


def sum_credit_by_second(wants):
    """Second of arrival -> [credit asked, credit earned]."""
    credit_by_second = {}
    for wanted, asks in wants:
        second_credit = credit_by_second.setdefault(wanted.arrived_at // SECOND, [0.0, 0.0])
        result = evaluate_item(wanted, asks)
        second_credit[0] += result.credit_asked
        second_credit[1] += result.credit_earned
    return credit_by_second


def _get_credit_share(credit_by_second, first_second, end_second):
    credit_asked = sum(
        credit_by_second[second][0]
        for second in range(first_second, end_second)
        if second in credit_by_second
    )
    return (
        sum(
            credit_by_second[second][1]
            for second in range(first_second, end_second)
            if second in credit_by_second
        )
        / credit_asked
        if credit_asked
        else None
    )


def measure_recoveries(script, wants, traffic_began_at, fractions=(RECOVERED_CREDIT,)):
    """Yields for each trouble (its kind, its begin, its end, then a recovery time for each of `fractions`).

    A recovery time is the time from the end of the trouble until credit is back at that fraction of the usual
    credit, or None if that does not happen within the run. All times are in seconds; begin and end count from
    the start of traffic, `traffic_began_at`.
    """
    credit_by_second = sum_credit_by_second(wants)
    first_second = traffic_began_at // SECOND
    last_second = first_second + script.seconds // SECOND
    for trouble in script.troubles:
        began_ns = int(trouble.at)
        ended_ns = began_ns + int(trouble.lasts) + max(0, trouble.waves - 1) * int(trouble.every)
        began_second = first_second + began_ns // SECOND
        usual_share = _get_credit_share(
            credit_by_second, max(first_second, began_second - BASELINE_SECONDS), began_second
        )
        ended_second = first_second + -(-ended_ns // SECOND)
        shares = [
            (second, _get_credit_share(credit_by_second, second, second + AVERAGING_SECONDS))
            for second in range(ended_second, last_second - AVERAGING_SECONDS + 1)
        ]
        recovery_seconds = []
        for fraction in fractions:
            recovered_after = next(
                (
                    second - first_second - ended_ns / SECOND
                    for second, share in shares
                    if usual_share is None or share is not None and share >= fraction * usual_share
                ),
                None,
            )
            recovery_seconds.append(None if recovered_after is None else max(0.0, round(recovered_after, 1)))
        yield trouble.what, began_ns / SECOND, ended_ns / SECOND, *recovery_seconds


def summarize_costs(script, observations):
    """All costs of a run as a dict for JSON."""
    load_counters, request_count = observations.load_counters, max(1, len(observations.asks))

    def summarize_counts(counts):
        return {"a_request": round(counts.total() / request_count, 3), "peak_s": find_peak_per_second(counts)}

    return {
        "hand_offs": {"a_request": round(len(observations.runs) / request_count, 3)},
        "probes": summarize_counts(load_counters.probes),
        "new_connections": summarize_counts(load_counters.connections),
        "list_calls": summarize_counts(load_counters.calls) | {"turned_away": load_counters.refused.total()},
        "most_connections_at_a_worker": load_counters.max_worker_connections,
        "cold_budget_spent": round(load_counters.max_slow_start_share, 3),
        "back": [
            {
                "what": what,
                "at_s": at,
                "over_s": over,
                "after_s": after,
                "half_s": half,
                "nearly_all_s": nearly,
            }
            for what, at, over, after, half, nearly in measure_recoveries(
                script,
                observations.wants,
                observations.began_at,
                (RECOVERED_CREDIT, HALF_CREDIT, NEARLY_ALL_CREDIT),
            )
        ],
    }


def format_costs(report):
    """The costs in a run's report as a few lines."""
    costs = report["costs"]
    yield "per request: " + ", ".join(
        f"{costs[name]['a_request']} {name.replace('_', ' ')}"
        for name in ("hand_offs", "probes", "new_connections", "list_calls")
    )
    yield (
        "most in one second: "
        + ", ".join(
            f"{costs[name]['peak_s']} {name.replace('_', ' ')}"
            for name in ("probes", "new_connections", "list_calls")
        )
        + f"; list calls refused {costs['list_calls']['turned_away']}"
    )
    yield (
        f"most connections at a worker {costs['most_connections_at_a_worker']}, highest load of a cold one "
        f"{costs['cold_budget_spent']} of its limit"
    )
    for row in costs["back"]:
        recovery = "not within the run" if row["after_s"] is None else f"{row['after_s']:g} s later"
        power_details = (
            ""
            if row["what"] != "power"
            else "".join(
                f", {label} of it {'-' if row[name] is None else format(row[name], 'g')} s"
                for label, name in (("half", "half_s"), ("99%", "nearly_all_s"))
            )
        )
        yield f"{row['what']} {row['at_s']:g} to {row['over_s']:g} s: credit back {recovery}{power_details}"
