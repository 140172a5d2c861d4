"""Experiments: runs a grid of scripts, settings, policies and seeds in parallel processes, and reports means
with confidence intervals as a table, JSON and an HTML page.

The plan is TOML: `scripts` (files relative to the plan), `seeds` (how many), `policies`, and `[vary]`, which
maps places in a script (`fleet.slots`, `dispatchers.count`, `traffic.rate` as a factor on all flows) to the
values they take.
"""

import itertools
import multiprocessing
import os
import pathlib
import statistics
import tomllib
from concurrent.futures import ProcessPoolExecutor, as_completed
from html import escape

import msgspec

from heronwinch.rehearsal import script as scripts
from heronwinch.rehearsal.baselines import POLICIES

# Two-sided 95% quantiles of Student's t for 1 to 30 degrees of freedom; above 30, the normal one is used.
T_QUANTILES = (
    12.706, 4.303, 3.182, 2.776, 2.571, 2.447, 2.365, 2.306, 2.262, 2.228, 2.201, 2.179, 2.160, 2.145, 2.131,
    2.120, 2.110, 2.101, 2.093, 2.086, 2.080, 2.074, 2.069, 2.064, 2.060, 2.056, 2.052, 2.048, 2.045, 2.042,
)  # fmt: skip
MAX_RUNS = 100_000


class ExperimentPlanError(ValueError):
    """An invalid plan; the message is one line that names file, place and fix."""


class ExperimentPlan(msgspec.Struct, forbid_unknown_fields=True):
    """The plan of an experiment, as its TOML file holds it."""

    scripts: list[str]
    seeds: int = 5  # runs per cell; each has its own seed
    first_seed: int = 1
    policies: list[str] = msgspec.field(default_factory=lambda: ["module"])
    vary: dict[str, list] = {}
    troubles: list[
        scripts.Trouble
    ] = []  # each alone replaces the troubles of each script, in runs of its own


def read_plan(path):
    """Reads and validates a plan: (plan, its scripts by name). Raises ExperimentPlanError."""
    try:
        with open(path, "rb") as file:
            plan = msgspec.convert(tomllib.load(file), ExperimentPlan, dec_hook=scripts.decode_duration)
    except OSError as error:
        raise ExperimentPlanError(f"{path}: cannot be read: {error}") from None
    except tomllib.TOMLDecodeError as error:
        raise ExperimentPlanError(f"{path}: not valid TOML: {error}") from None
    except msgspec.ValidationError as error:
        raise ExperimentPlanError(f"{path}: {error}") from None
    if not plan.scripts or plan.seeds < 1:
        raise ExperimentPlanError(f"{path}: scripts: name at least one script and one seed")
    for policy in plan.policies:
        if policy not in POLICIES:
            raise ExperimentPlanError(
                f"{path}: policies: no policy is called {policy}; there are {', '.join(POLICIES)}"
            )
    scripts_by_name = {}
    for name in plan.scripts:
        try:
            script = scripts.read_script(pathlib.Path(path).parent / name)
            scripts_by_name[name] = script
            for trouble in plan.troubles:
                script_with_one_trouble = msgspec.structs.replace(script, troubles=[trouble])
                scripts_by_name[f"{name} {trouble.what}"] = scripts.parse_script(
                    scripts.write_script(script_with_one_trouble), f"troubles of {name}"
                )
        except scripts.ScriptError as error:
            raise ExperimentPlanError(f"{path}: scripts: {error}") from None
        for place, values in plan.vary.items():
            for value in values:
                try:
                    set_script_value(scripts_by_name[name], place, value)
                except (ValueError, AttributeError) as error:
                    raise ExperimentPlanError(f"{path}: vary.{place}: {value!r}: {error}") from None
    runs = len(scripts_by_name) * plan.seeds * len(plan.policies)
    for values in plan.vary.values():
        runs *= len(values)
    if runs > MAX_RUNS:
        raise ExperimentPlanError(f"{path}: {runs} runs are too many; use fewer seeds or values")
    return plan, scripts_by_name


def set_script_value(script, place, value):
    """Returns the script with another value at a place; raises ValueError, whose message says the fix."""
    section_name, _, name = place.partition(".")
    if place == "traffic.rate":
        flow_specs = [
            msgspec.structs.replace(flow_spec, rate=flow_spec.rate * value) for flow_spec in script.traffic
        ]
        return msgspec.structs.replace(script, traffic=flow_specs)
    if (
        not name
        or not isinstance(getattr(script, section_name, None), scripts.ScriptSection)
        or not hasattr(getattr(script, section_name), name)
    ):
        raise ValueError("unknown place; write fleet.NAME, dispatchers.NAME, network.NAME or traffic.rate")
    section = getattr(script, section_name)
    if isinstance(getattr(section, name), scripts.Duration):
        value = scripts.parse_duration(value)
    return scripts.parse_script(
        scripts.write_script(
            msgspec.structs.replace(
                script, **{section_name: msgspec.structs.replace(section, **{name: value})}
            )
        )
    )


def _run_once(script, seed, policy):
    from heronwinch.rehearsal.summary import summarize_run
    from heronwinch.rehearsal.virtual import rehearse

    try:
        runner, environment = rehearse(script, seed, POLICIES[policy])
    except Exception as error:
        return {"crash": f"{type(error).__name__}: {error}"}
    summary, _, _ = summarize_run(
        script, seed, policy, runner.observations, environment.kernel.digest(), environment.kernel.events
    )
    return {
        name: summary[name] for name in ("credit", "waste", "p50_ms", "p99_ms", "rules", "fallen", "digest")
    }


def run_experiment(plan_and_scripts, jobs, report_progress):
    """Runs the grid; returns a dict for JSON with a row for each cell and the result of every run."""
    plan, scripts_by_name = plan_and_scripts
    places = list(plan.vary)
    cells = [
        (name, policy, values)
        for name in scripts_by_name
        for values in itertools.product(*plan.vary.values())
        for policy in plan.policies
    ]
    seeds = range(plan.first_seed, plan.first_seed + plan.seeds)
    context = multiprocessing.get_context("spawn")
    with ProcessPoolExecutor(jobs or os.cpu_count() or 1, mp_context=context) as pool:
        cell_by_future = {}
        for cell, (name, policy, values) in enumerate(cells):
            script = scripts_by_name[name]
            for place, value in zip(places, values, strict=True):
                script = set_script_value(script, place, value)
            for seed in seeds:
                cell_by_future[pool.submit(_run_once, script, seed, policy)] = cell, seed
        results = {}
        for finished_count, future in enumerate(as_completed(cell_by_future), 1):
            results[cell_by_future[future]] = future.result()
            if finished_count % 50 == 0:
                report_progress(f"{finished_count} of {len(cell_by_future)} runs")
    rows, failed_runs, crashes = [], 0, 0
    for cell, (name, policy, values) in enumerate(cells):
        runs = [results[cell, seed] for seed in seeds]
        completed = [run for run in runs if "crash" not in run]
        crashes += len(runs) - len(completed)
        breaches = sum(sum(run["rules"].values()) > 0 for run in completed)
        failed_runs += breaches if policy == "module" else 0
        rows.append({
            "script": name, "policy": policy, "vary": dict(zip(places, values, strict=True)),
            "runs": len(runs), "broken": breaches, "fallen": sum(len(run["fallen"]) for run in completed),
            **{figure: compute_confidence_interval(
                   [run[figure] for run in completed if run[figure] is not None])
               for figure in ("credit", "waste", "p50_ms", "p99_ms")},
        })  # fmt: skip
    return {
        "rows": rows,
        "broken": failed_runs,
        "crashes": crashes,
        "runs": [{"cell": cell, "seed": seed, **result} for (cell, seed), result in sorted(results.items())],
    }


def compute_confidence_interval(values):
    """[mean, half width of its 95% confidence interval]; the half width is None for fewer than two values."""
    if not values:
        return [None, None]
    mean = statistics.fmean(values)
    if len(values) < 2:
        return [round(mean, 5), None]
    degrees_of_freedom = len(values) - 1
    t_quantile = T_QUANTILES[degrees_of_freedom - 1] if degrees_of_freedom <= len(T_QUANTILES) else 1.96
    return [round(mean, 5), round(t_quantile * statistics.stdev(values) / len(values) ** 0.5, 5)]


def _format_interval(interval):
    mean, half_width = interval
    return "-" if mean is None else f"{mean:g}" if half_width is None else f"{mean:g} ±{half_width:g}"


def format_table(result):
    header = ("script", "policy", "varied", "credit", "p50 ms", "p99 ms", "waste", "fallen", "broken")
    lines = [header] + [
        (row["script"], row["policy"], " ".join(f"{k}={v}" for k, v in row["vary"].items()) or "-",
         _format_interval(row["credit"]), _format_interval(row["p50_ms"]), _format_interval(row["p99_ms"]),
         _format_interval(row["waste"]), str(row["fallen"]), f"{row['broken']}/{row['runs']}")
        for row in result["rows"]
    ]  # fmt: skip
    widths = [max(len(line[column]) for line in lines) for column in range(len(header))]
    return [
        "  ".join(word.ljust(width) for word, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    ]


def format_html(result):
    """Formats a self-contained HTML page: the table, and an SVG bar chart of credit with its intervals."""
    rows = result["rows"]
    bars, row_height = [], 22
    for index, row in enumerate(rows):
        mean, half_width = row["credit"]
        label = f"{row['script']} {row['policy']} " + " ".join(f"{k}={v}" for k, v in row["vary"].items())
        y = index * row_height
        bars.append(f'<text x="0" y="{y + 15}">{escape(label)}</text>')
        if mean is not None:
            bars.append(
                f'<rect x="420" y="{y + 4}" width="{400 * max(0, mean):.1f}" height="14" fill="#69c"/>'
            )
            low, high = max(0, mean - (half_width or 0)), min(1, mean + (half_width or 0))
            bars.append(
                f'<line x1="{420 + 400 * low:.1f}" x2="{420 + 400 * high:.1f}" y1="{y + 11}" y2="{y + 11}" '
                f'stroke="#222" stroke-width="3"/>'
            )
            bars.append(f'<text x="830" y="{y + 15}">{mean:.4f}</text>')
    cells = "".join(
        f"<tr><td>{escape(row['script'])}</td><td>{escape(row['policy'])}</td>"
        f"<td>{escape(', '.join(f'{k}={v}' for k, v in row['vary'].items()))}</td>"
        + "".join(
            f"<td>{escape(_format_interval(row[name]))}</td>"
            for name in ("credit", "p50_ms", "p99_ms", "waste")
        )
        + f"<td>{row['fallen']}</td><td>{row['broken']}/{row['runs']}</td></tr>"
        for row in rows
    )
    return (
        "<!doctype html><meta charset=utf-8><title>Experiment</title>"
        "<style>body{font:14px sans-serif;margin:2em}td,th{padding:2px 10px;text-align:left}"
        "svg text{font:13px sans-serif}</style><h1>Experiment</h1>"
        "<p>Simulated: virtual time, stand-in workers. Credit earned over credit asked, the mean over the "
        "seeds; the line is its 95% confidence interval.</p>"
        f'<svg width="920" height="{len(rows) * row_height}">{"".join(bars)}</svg>'
        "<table><tr><th>script<th>policy<th>varied<th>credit<th>p50 ms<th>p99 ms<th>waste<th>fallen"
        "<th>broken</tr>"
        f"{cells}</table>\n"
    )
