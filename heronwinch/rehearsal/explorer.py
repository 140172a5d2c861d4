"""Searches for breaches with randomized simulation: fleets, traffic and overlapping troubles from seeds.

Runs are spread over processes. A run that breaks a rule is shrunk to fewer troubles, workers, items and
seconds, and written out as a script that reproduces the breach.
"""

import multiprocessing
import os
import pathlib
import signal
from concurrent.futures import ProcessPoolExecutor, as_completed
from random import Random

import msgspec

from heronwinch.interface import SECOND
from heronwinch.rehearsal import script as scripts
from heronwinch.rehearsal.durations import Duration
from heronwinch.rehearsal.faults import BROKEN_RULE_BY_FAULT, PLANTED_FAULTS

MS = 1_000_000  # ns
MAX_SHRINK_RUNS = 60  # for shrinking one failure
MAX_REAL_SECONDS_PER_RUN = 120  # in wall-clock time
MAX_SHRUNK_FAILURES = 8  # further failures are reported without shrinking
TROUBLE_FREE_START_NS = 1_000 * MS  # no trouble begins earlier in a run

WORKER_TROUBLE_NAMES = [name for name, kind in scripts.TROUBLES.items() if kind.target == "workers"]
OTHER_TROUBLE_NAMES = [
    "list-outage",
    "list-lag",
    "list-move",
    "kill",
    "stop",
    "hold",
    "cut",
    "slow-net",
    "resets",
    "burst",
    "rude",
]


# ---- random scripts


def draw_script(seed):
    """Draws a random script; the same seed gives the same script."""
    random = Random(f"explore/{seed}")
    workers = random.choice((3, 4, 6, 8, 12))
    slots = random.choice((1, 2, 4))
    dispatchers = random.choice((1, 1, 2, 3))
    seconds = random.randint(8, 20)
    fleet = scripts.Fleet(
        workers=workers,
        slots=float(slots),
        queue=random.choice((0, 2, 8)),
        areas=random.choice((["a"], ["a", "b"])),
        pods=random.choice((1, 2)),
        cold_share=random.choice((0.1, 0.15, 0.3)),
        warm_up=Duration(random.choice((5, 10, 20)) * SECOND),
        push_multiple=random.choice((3.0, 4.0)),
        tells_start=random.random() < 0.7,
        progress=Duration(random.choice((0, 0, 500 * MS))),
        cancel_stops=random.random() < 0.7,
        reports=random.choice(("answers", "answers", "none")),
        probes=random.random() < 0.7,
        report_every=Duration(random.choice((0, 0, 200 * MS))),
        report_noise=random.choice((0.0, 0.1)),
        pause_every=Duration(random.choice((0, 0, 5 * SECOND))),
        pause_for=Duration(200 * MS),
    )
    mean_running_ns = random.choice((40, 100, 250)) * MS
    category_specs = [
        scripts.CategorySpec(
            name="rate-quote",
            due=Duration(max(400 * MS, 4 * mean_running_ns)),
            expiry=Duration(3 * SECOND),
            late_credit=0.3,
            running=Duration(mean_running_ns),
            shape=random.choice(("lognormal", "exponential", "constant")),
        ),
        scripts.CategorySpec(
            name="hold-rate",
            effect="ticketed",
            group=random.choice(("all", "all", "area", "pod")),
            window=Duration(random.choice((1, 5, 10)) * SECOND),
            due=Duration(SECOND),
            expiry=Duration(4 * SECOND),
            credit=2.0,
            late_credit=0.5,
            running=Duration(mean_running_ns),
        ),
        scripts.CategorySpec(
            name="settle",
            effect="exclusive",
            due=Duration(SECOND),
            expiry=Duration(5 * SECOND),
            credit=3.0,
            late_credit=0.5,
            running=Duration(mean_running_ns),
        ),
    ]
    load = random.uniform(0.2, 1.2)
    rate = min(150.0, load * workers * slots * SECOND / mean_running_ns)
    traffic = [
        scripts.FlowSpec(
            category=spec.name,
            rate=round(rate * rate_share, 2),
            pattern=random.choice(("steady", "bursty", "swings")),
            period=Duration(5 * SECOND),
            height=random.choice((1.0, 3.0)) if rate_share == 0.5 else 2.0,
            retries=random.choice((0, 2, 4)),
            wait=random.random() < 0.7,
            impatient=random.choice((0.0, 0.0, 0.1)),
            size=random.choice((64, 2000, 30_000)),
        )
        for spec, rate_share in zip(category_specs, (0.5, 0.3, 0.2), strict=True)
    ]
    troubles = [_draw_trouble(random, seconds, workers, dispatchers) for _ in range(random.randint(1, 6))]
    script = scripts.Script(
        format=scripts.FORMAT_VERSION,
        name=f"explore-{seed}",
        seconds=Duration(seconds * SECOND),
        categories=category_specs,
        traffic=traffic,
        fleet=fleet,
        dispatchers=scripts.Dispatchers(
            count=dispatchers,
            sockets=random.choice((128, 1024)),
            may_cancel=random.random() < 0.7,
            most_hand_offs=random.choice((2, 4)),
            notice=Duration(SECOND),
        ),
        discovery=scripts.Discovery(
            pushed=random.random() < 0.7, lag=Duration(random.choice((50, 500)) * MS)
        ),
        network=scripts.Network(
            delay=Duration(random.choice((100_000, 1_000_000, 5_000_000))),
            jitter=Duration(random.choice((100_000, 2_000_000))),
        ),
        troubles=sorted(troubles, key=lambda trouble: trouble.at),
    )
    problem = next(scripts.find_problems(script), None)
    assert problem is None, (seed, problem)
    return script


def vary_script(base_path, seed):
    """Reads a script and changes the times and durations of its troubles; some strike twice.

    The same seed gives the same script.
    """
    random = Random(f"vary/{seed}")
    script = scripts.read_script(base_path)
    latest_start_ns = int(script.seconds) - SECOND // 10
    troubles = []
    for trouble in script.troubles:
        for _ in range(random.choice((1, 1, 2))):
            changes = {
                "at": Duration(random.randrange(min(latest_start_ns, SECOND), latest_start_ns) // MS * MS)
            }
            if trouble.lasts:
                changes["lasts"] = Duration(max(MS, int(trouble.lasts * random.uniform(0.3, 1.5))) // MS * MS)
            if trouble.what == "power":
                changes["waves"] = random.choice((0, 3, 6))
                changes["every"] = Duration(random.choice((200, 700)) * MS if changes["waves"] else 0)
            troubles.append(msgspec.structs.replace(trouble, **changes))
    return msgspec.structs.replace(script, troubles=sorted(troubles, key=lambda trouble: trouble.at))


def _make_seed_script(seed, base_path):
    """The script of a seed: drawn, or varied from a file."""
    return draw_script(seed) if base_path is None else vary_script(base_path, seed)


def _draw_trouble(random, seconds, workers, dispatchers):
    what = random.choice(WORKER_TROUBLE_NAMES if random.random() < 0.6 else OTHER_TROUBLE_NAMES)
    kind = scripts.TROUBLES[what]
    duration_ns = random.randint(200, 6000) * MS
    options = {
        "at": Duration(TROUBLE_FREE_START_NS + random.randint(0, max(1, seconds * 1000 - 2500)) * MS),
        "what": what,
    }
    if "lasts" in kind.required or "lasts" in kind.optional and random.random() < 0.8:
        options["lasts"] = Duration(duration_ns)
    if what == "pause":
        options["lasts"] = Duration(duration_ns // 4)
    if what in ("late-reports", "list-lag"):
        options["by"] = Duration(random.randint(100, 3000) * MS)
    if what == "crowd":
        options["factor"] = random.choice((0.1, 0.5))
    if what == "slow-net":
        options["factor"] = random.choice((3.0, 10.0))
    if what == "burst":
        options["factor"] = random.choice((1.5, 2.5))
    if "rate" in kind.required:
        options["rate"] = random.choice((2.0, 20.0))
    if kind.target in ("workers", "both"):
        options["count"] = random.randint(1, max(1, workers // 2))
    elif kind.target == "dispatchers":
        options["count"] = random.randint(1, dispatchers)
    return scripts.Trouble(**options)


# ---- one run


def run_script(script, seed, fault=None):
    """Runs a script in this process: (breaches, facts). An exception of the run is the fact `crash`."""
    from contextlib import nullcontext

    from heronwinch.policy import Dispatcher
    from heronwinch.rehearsal.summary import summarize_run
    from heronwinch.rehearsal.virtual import rehearse

    def raise_timeout(*_):
        raise TimeoutError(f"over {MAX_REAL_SECONDS_PER_RUN} s of real time")

    # Not a check of speed: stops a run that never ends, which would block the whole search.
    old_handler = signal.signal(signal.SIGALRM, raise_timeout)
    signal.setitimer(signal.ITIMER_REAL, MAX_REAL_SECONDS_PER_RUN)
    try:
        with PLANTED_FAULTS[fault]() if fault else nullcontext():
            runner, environment = rehearse(script, seed, Dispatcher)
    except Exception as error:
        return [], {"crash": f"{type(error).__name__}: {error}", "items": 0}
    finally:
        signal.setitimer(signal.ITIMER_REAL, 0)
        signal.signal(signal.SIGALRM, old_handler)
    summary, breaches, _ = summarize_run(
        script, seed, "module", runner.observations, environment.kernel.digest(), environment.kernel.events
    )
    return breaches, {
        "items": len(runner.observations.wants),
        "credit": summary["credit"],
        "digest": summary["digest"],
    }


def _run_seed(seed, fault, base_path=None):
    """Runs the script of a seed: (seed, first breaches as tuples, facts, number of troubles)."""
    script = _make_seed_script(seed, base_path)
    breaches, facts = run_script(script, seed, fault)
    if fault is not None:
        breaches = [breach for breach in breaches if breach.rule == BROKEN_RULE_BY_FAULT[fault]] or breaches
    return (
        seed,
        [(breach.rule, breach.id, breach.message) for breach in breaches[:5]],
        facts,
        len(script.troubles),
    )


# ---- shrinking


def _propose_smaller_scripts(script):
    """Yields scripts one step smaller than this one, largest steps first."""
    replace = msgspec.structs.replace
    for i in range(len(script.troubles)):
        yield replace(script, troubles=script.troubles[:i] + script.troubles[i + 1 :])
    for i in range(len(script.traffic)):
        if len(script.traffic) > 1:
            yield replace(script, traffic=script.traffic[:i] + script.traffic[i + 1 :])
    for share in (0.5, 0.75):
        seconds = int(script.seconds * share) // (100 * MS) * 100 * MS
        if seconds >= 2 * SECOND and all(trouble.at < seconds for trouble in script.troubles):
            yield replace(script, seconds=Duration(seconds))
        workers = max(1, int(script.fleet.workers * share))
        if workers < script.fleet.workers:
            yield replace(
                script,
                fleet=replace(script.fleet, workers=workers),
                troubles=[
                    replace(trouble, count=min(trouble.count, workers))
                    if scripts.TROUBLES[trouble.what].target in ("workers", "both")
                    else trouble
                    for trouble in script.troubles
                ],
            )
    if script.dispatchers.count > 1:
        yield replace(
            script,
            dispatchers=replace(script.dispatchers, count=script.dispatchers.count - 1),
            troubles=[
                replace(trouble, count=min(trouble.count, script.dispatchers.count - 1))
                if scripts.TROUBLES[trouble.what].target == "dispatchers"
                else trouble
                for trouble in script.troubles
            ],
        )
    for i, flow in enumerate(script.traffic):
        if flow.rate > 2:
            smaller = replace(flow, rate=round(flow.rate / 2, 2))
            yield replace(script, traffic=[*script.traffic[:i], smaller, *script.traffic[i + 1 :]])


def shrink_script(script, seed, rule, fault=None, max_runs=MAX_SHRINK_RUNS):
    """Shrinks a script that breaks `rule` under `seed`: (smallest script that still does, runs used)."""
    runs = 0
    was_shrunk = True
    while was_shrunk and runs < max_runs:
        was_shrunk = False
        for candidate in _propose_smaller_scripts(script):
            if runs >= max_runs:
                break
            runs += 1
            breaches, _ = run_script(candidate, seed, fault)
            if any(breach.rule == rule for breach in breaches):
                script, was_shrunk = candidate, True
                break
    return script, runs


def _shrink_to_file(seed, rule, fault, directory, base_path=None):
    """Shrinks the script of a seed and writes it out: (seed, path, size as text, runs used)."""
    script, runs = shrink_script(_make_seed_script(seed, base_path), seed, rule, fault)
    path = pathlib.Path(directory) / f"{rule}-{seed}.toml"
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text(scripts.write_script(script), encoding="utf-8")
    size = (
        f"{len(script.troubles)} troubles, {script.fleet.workers} workers, {script.dispatchers.count} "
        f"dispatchers, {script.seconds / SECOND:g} s"
    )
    return seed, str(path), size, runs


def explore_seeds(runs, jobs, first_seed, directory, fault, report_progress, base_path=None):
    """Runs one script for each of `runs` seeds in `jobs` processes; shrinks failures into `directory`.

    Returns the result as a dict for JSON; it depends on the seeds alone, not on `jobs`. With `base_path`, the
    troubles of that script are varied instead of drawing whole scripts.
    """
    jobs = jobs or os.cpu_count() or 1
    results = {}
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs, mp_context=context) as pool:
        run_futures = [
            pool.submit(_run_seed, seed, fault, base_path) for seed in range(first_seed, first_seed + runs)
        ]
        for finished, future in enumerate(as_completed(run_futures), 1):
            seed, breaches, facts, troubles = future.result()
            results[seed] = breaches, facts, troubles
            report_progress(f"\r{finished} of {runs} runs ")
        failing = [(seed, breaches) for seed, (breaches, _, _) in sorted(results.items()) if breaches]
        shrink_futures = [
            pool.submit(_shrink_to_file, seed, breaches[0][0], fault, directory, base_path)
            for seed, breaches in failing[:MAX_SHRUNK_FAILURES]
        ]
        shrunk = {}
        for future in as_completed(shrink_futures):
            seed, path, size, tries = future.result()
            shrunk[seed] = path, size, tries
            report_progress(f"\rshrunk {len(shrunk)} of {len(shrink_futures)} ")
    failures = []
    for seed, breaches in failing:
        path, size, tries = shrunk.get(seed, (None, "not shrunk", 0))
        failures.append(
            {
                "seed": seed,
                "rules": sorted({rule for rule, _, _ in breaches}),
                "says": f"{breaches[0][1]}: {breaches[0][2]}",
                "file": path,
                "shrunk": size,
                "tries": tries,
            }
        )
    scripts_run = [_make_seed_script(seed, base_path) for seed in range(first_seed, first_seed + runs)]
    return {
        "runs": runs,
        "first_seed": first_seed,
        "fault": fault,
        "virtual_s": sum(script.seconds for script in scripts_run) / SECOND,
        "items": sum(facts["items"] for _, facts, _ in results.values()),
        "troubles": sum(troubles for _, _, troubles in results.values()),
        "failures": failures,
        "crashes": [
            {"seed": seed, "says": facts["crash"]}
            for seed, (_, facts, _) in sorted(results.items())
            if "crash" in facts
        ],
    }
