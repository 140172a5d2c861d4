"""Compares the membership view with heartbeat baselines in simulation: time to agreement, traffic, and live
members that are declared gone."""

from concurrent.futures import ProcessPoolExecutor
from statistics import quantiles

from heronwinch.fleet.view import MembershipView
from heronwinch.interface import SECOND
from heronwinch.rehearsal.heartbeats import BASELINES
from heronwinch.rehearsal.members import SimulatedFleet

VIEW_CLASSES = {"view": MembershipView, **BASELINES}
MEASURED_EVENTS = ("join", "crash", "killed", "back", "healed")
AGREEMENT_TIMEOUT_SECONDS = 30.0  # after which views count as not agreeing


def measure_events(kind, count, seed, loss=0.0):
    """Measures one run: seconds until all views agree after each event (None if they do not in time),
    datagrams and bytes per member per second while nothing happens, and false declarations of death."""
    fleet = SimulatedFleet(count, seed=seed, loss=loss, view_class=VIEW_CLASSES[kind])
    random = fleet.kernel.derive_random("who")
    for i in range(count):
        fleet.kernel.schedule_after(int(i / count * SECOND), fleet.start_member, f"d{i}")
    fleet.run_for(1.0)
    measured = {
        "kind": kind,
        "members": count,
        "loss": loss,
        "start": fleet.run_until_agreed(AGREEMENT_TIMEOUT_SECONDS),
    }
    fleet.run_for(10)
    datagrams_before, bytes_before = fleet.sent_datagrams, fleet.sent_bytes
    fleet.run_for(10)
    measured["messages"] = round((fleet.sent_datagrams - datagrams_before) / count / 10, 2)
    measured["bytes"] = round((fleet.sent_bytes - bytes_before) / count / 10)
    fleet.start_member(f"d{count}")
    measured["join"] = fleet.run_until_agreed(AGREEMENT_TIMEOUT_SECONDS)
    fleet.run_for(6)
    fleet.members["d1"].kill()
    measured["crash"] = fleet.run_until_agreed(AGREEMENT_TIMEOUT_SECONDS)
    fleet.start_member("d1")
    fleet.run_for(6)
    names = sorted(fleet.members)
    killed = random.sample(names, int(0.7 * len(names)))
    for name in killed:
        fleet.members[name].kill()
    measured["killed"] = fleet.run_until_agreed(AGREEMENT_TIMEOUT_SECONDS)
    for name in killed:
        fleet.start_member(name)
    measured["back"] = fleet.run_until_agreed(AGREEMENT_TIMEOUT_SECONDS)
    fleet.run_for(10)
    measured["false"] = len(fleet.false_declarations)
    cut_side = random.sample(names, len(names) // 2)
    cut = fleet.cut_paths(cut_side, [name for name in names if name not in cut_side])
    fleet.run_for(12)
    fleet.heal_cuts(cut)
    measured["healed"] = fleet.run_until_agreed(AGREEMENT_TIMEOUT_SECONDS)
    return measured


def count_false_declarations_per_hour(kind, count, seed, loss, holds_members, minutes=3):
    """False declarations of death per hour in the whole fleet, with members held in turn if asked for."""
    fleet = SimulatedFleet(count, seed=seed, loss=loss, view_class=VIEW_CLASSES[kind])
    fleet.start_all_members()
    fleet.run_for(10)
    fleet.false_declarations.clear()
    random = fleet.kernel.derive_random("held")
    for _ in range(int(minutes * 12)):
        member = fleet.members[random.choice(sorted(fleet.members))]
        if holds_members:
            member.set_held(True)
            fleet.run_for(1)
            member.set_held(False)
            fleet.run_for(4)
        else:
            fleet.run_for(5)
    return len(fleet.false_declarations) * 60 / minutes


def _run_job(job):
    measurement, *args = job
    return job, (measure_events if measurement == "events" else count_false_declarations_per_hour)(*args)


def format_tables(sizes=(5, 20, 50), seeds=5, worker_processes=8, kinds=tuple(VIEW_CLASSES)):
    """Runs all comparisons and yields the lines of the tables of docs/measured/view.md."""
    jobs = [
        ("events", kind, size, seed)
        for size in sorted(sizes, reverse=True)
        for kind in kinds
        for seed in range(seeds)
    ]
    jobs += [
        ("false declarations", kind, 20, seed, loss, holds_members)
        for kind in kinds
        for seed in range(seeds)
        for loss, holds_members in ((0.0, False), (0.1, False), (0.3, False), (0.0, True))
    ]
    with ProcessPoolExecutor(worker_processes) as pool:
        results = list(pool.map(_run_job, jobs))
    yield "| members | | " + " | ".join(MEASURED_EVENTS) + " | messages | bytes |"
    yield "| --- " * (len(MEASURED_EVENTS) + 4) + "|"
    for size in sizes:
        for kind in kinds:
            rows = [row for job, row in results if job[:3] == ("events", kind, size)]
            cells = [_format_median_and_p99([row[event] for row in rows]) for event in MEASURED_EVENTS]
            cost = [f"{sum(row[name] for row in rows) / len(rows):.1f}" for name in ("messages", "bytes")]
            yield f"| {size} | {kind} | " + " | ".join(cells + cost) + " |"
    yield ""
    yield "| live called gone an hour, 20 members | no loss | 10% lost | 30% lost | in turn held for 1 s |"
    yield "| --- " * 5 + "|"
    for kind in kinds:
        cells = []
        for loss, holds_members in ((0.0, False), (0.1, False), (0.3, False), (0.0, True)):
            rates = [
                rate
                for job, rate in results
                if job[0] == "false declarations" and job[1] == kind and job[4:] == (loss, holds_members)
            ]
            cells.append(f"{sum(rates) / len(rates):.0f}")
        yield f"| {kind} | " + " | ".join(cells) + " |"


def _format_median_and_p99(values):
    """The median and, for more than one value, the 99th percentile."""
    if None in values:
        return f"not within {AGREEMENT_TIMEOUT_SECONDS:.0f} s ({values.count(None)} of {len(values)})"
    if len(values) < 2:
        return f"{values[0]:.2f}"
    cuts = quantiles(values, n=100, method="inclusive")
    return f"{cuts[49]:.2f}, {cuts[98]:.2f}"
