"""Measures how fast a simulated rehearsal runs, for several sizes of the fleet."""

import os
import platform
import time

from heronwinch.interface import SECOND
from heronwinch.policy import Dispatcher
from heronwinch.rehearsal import script as scripts
from heronwinch.rehearsal.durations import Duration
from heronwinch.rehearsal.virtual import rehearse

WORKER_COUNTS = (10, 50, 200)
DISPATCHER_COUNTS = (1, 8, 40, 200, 400)
ITEMS_PER_RUN = 3000  # approximate number of work items
MS = 1_000_000  # ns


def describe_machine():
    """The processor, cores and Python version that the figures were measured on."""
    model = platform.processor() or platform.machine()
    try:
        with open("/proc/cpuinfo", encoding="utf-8") as file:
            model = next(
                (line.split(":", 1)[1].strip() for line in file if line.startswith("model name")), model
            )
    except OSError:
        pass
    return f"{model}, {os.cpu_count()} cores, Python {platform.python_version()}, one process"


def build_calm_script(workers, dispatchers, load=0.5):
    """A script without troubles whose load per slot is the same for every size of the fleet."""
    slots, running_ns = 4, 100 * MS
    rate = load * workers * slots * SECOND / running_ns
    seconds = max(2.0, ITEMS_PER_RUN / rate)
    return scripts.Script(
        format=scripts.FORMAT_VERSION, name=f"calm-{workers}x{dispatchers}",
        seconds=Duration(round(seconds * SECOND)),
        categories=[scripts.CategorySpec(name="render", running=Duration(running_ns),
                                        expiry=Duration(3 * SECOND)),
                    scripts.CategorySpec(name="charge", effect="exclusive", running=Duration(running_ns),
                                        expiry=Duration(3 * SECOND))],
        traffic=[scripts.FlowSpec(category="render", rate=rate * 0.8),
                 scripts.FlowSpec(category="charge", rate=rate * 0.2)],
        fleet=scripts.Fleet(workers=workers, slots=float(slots)),
        dispatchers=scripts.Dispatchers(count=dispatchers),
    )  # fmt: skip


def measure_speed(seed=1):
    """Runs a script of each size; returns a row for each with simulated and wall-clock time and rates."""
    rows = []
    for workers in WORKER_COUNTS:
        for dispatchers in DISPATCHER_COUNTS:
            script = build_calm_script(workers, dispatchers)
            began_at = time.perf_counter()
            runner, environment = rehearse(script, seed, Dispatcher)
            elapsed_s = time.perf_counter() - began_at
            rows.append({
                "workers": workers, "dispatchers": dispatchers,
                "rate": round(sum(flow.rate for flow in script.traffic)),
                "virtual_s": round(environment.kernel.now / SECOND, 1), "real_s": round(elapsed_s, 2),
                "items": len(runner.observations.wants), "events": environment.kernel.events,
                "events_s": round(environment.kernel.events / elapsed_s),
                "items_s": round(len(runner.observations.wants) / elapsed_s),
                "us_item": round(elapsed_s / max(1, len(runner.observations.wants)) * 1e6),
            })  # fmt: skip
    first_us_per_item = rows[0]["us_item"]
    for row in rows:
        row["ratio"] = round(row["us_item"] / first_us_per_item, 2)
    return rows


def format_table(rows):
    """Yields the lines of a table with a header."""
    columns = list(rows[0])
    widths = [max(len(column), *(len(str(row[column])) for row in rows)) for column in columns]
    yield "  ".join(column.rjust(width) for column, width in zip(columns, widths, strict=True))
    for row in rows:
        yield "  ".join(str(row[column]).rjust(width) for column, width in zip(columns, widths, strict=True))
