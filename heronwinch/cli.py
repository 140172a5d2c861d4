"""The command line: `serve` and the commands that rehearse, check and measure.

Without arguments `python -m heronwinch` serves and does not import this module.
"""

import contextlib
import difflib
import json
import os
import sys

import click

from heronwinch import __version__
from heronwinch.rehearsal.baselines import POLICIES

MIN_CREDIT_RATIO = 0.5  # of the credit of the --beside policy; less is reported as a failure
EXIT_OK, EXIT_RULE_BROKEN, EXIT_BAD_INPUT, EXIT_FAILED = 0, 1, 2, 3


class InputError(click.ClickException):
    """The input is unusable; printed as one line."""

    exit_code = EXIT_BAD_INPUT

    def show(self, file=None):
        click.echo(f"heronwinch: {self.message}", err=True)


class RunFailedError(click.ClickException):
    """The rehearsal itself failed, or a store cannot be read or written; printed as one line."""

    exit_code = EXIT_FAILED

    def show(self, file=None):
        click.echo(f"heronwinch: {self.message}", err=True)


class CommandGroup(click.Group):
    """A group of commands that reports an unknown command as one line, with the exit status of bad input."""

    def resolve_command(self, ctx, args):
        if args and args[0] not in self.commands and not args[0].startswith("-"):
            similar = difflib.get_close_matches(args[0], self.commands, 1)
            hint = (
                f"did you mean {similar[0]}?" if similar else f"there are {', '.join(sorted(self.commands))}"
            )
            raise InputError(f"there is no command {args[0]}; {hint}")
        return super().resolve_command(ctx, args)


@click.group(cls=CommandGroup, context_settings={"help_option_names": ["-h", "--help"]})
@click.version_option(__version__, prog_name="heronwinch")
def main():
    """A dispatcher beside each submitter that pushes work items to workers, and rehearsals of a fleet of
    dispatchers.

    Exit status: 0 all rules kept, 1 a rule broken, 2 bad input, 3 the rehearsal itself failed.
    """


@main.command()
def serve():
    """Run a dispatcher; RELAY_CONFIG names its configuration file."""
    from heronwinch.start import serve as run_dispatcher

    sys.exit(run_dispatcher())


def read_script_file(path):
    """Returns the parsed script; raises InputError if it is unusable."""
    from heronwinch.rehearsal.script import ScriptError, read_script

    try:
        return read_script(path)
    except ScriptError as error:
        raise InputError(str(error)) from None


def write_output_file(path, text):
    try:
        with open(path, "w", encoding="utf-8") as file:
            file.write(text)
    except OSError as error:
        raise InputError(f"{path}: cannot be written: {error}; name another file") from None


class ProgressLine:
    """Shows on a terminal how many of a run's seconds have passed; writes nothing elsewhere."""

    def __init__(self, label, total_seconds):
        self.label, self.total_seconds = label, total_seconds
        self.is_terminal = sys.stderr.isatty()

    def __call__(self, seconds):
        if self.is_terminal:
            click.echo(f"\r{self.label} {seconds:.0f} of {self.total_seconds:.0f} s", nl=False, err=True)

    def clear(self):
        if self.is_terminal:
            click.echo("\r" + " " * 60 + "\r", nl=False, err=True)


def format_json(report):
    return json.dumps(report, indent=1, sort_keys=True) + "\n"


def format_summary(report):
    """Yields the lines that sum up a run."""
    from heronwinch.rehearsal.costs import format_costs
    from heronwinch.rehearsal.views import format_lines as format_view_lines

    credit = "-" if report["credit"] is None else f"{report['credit']:.4f}"
    answers = " ".join(f"{name}:{count}" for name, count in report["answers"].items())
    yield (
        f"{report['script']}  seed {report['seed']}  policy {report['policy']}  credit {credit}"
        f"  waste {report['waste']}"
    )
    yield (
        f"wanted {report['wanted']}  in time {report['in_time']}  late {report['late']}"
        f"  requests {report['requests']}  answers {answers}"
    )
    for name, figures in report["categories"].items():
        yield (
            f"  {name:<16} credit {figures['credit']}  p50 {figures['p50_ms']} ms  p99 {figures['p99_ms']} ms"
            f"  p99.9 {figures['p99.9_ms']} ms"
        )
    yield from format_costs(report)
    if report["views"]:
        yield from format_view_lines(report["views"])
    if "rig" in report:
        yield "rig: " + "  ".join(f"{name} {value}" for name, value in report["rig"].items())
    if report["fallen"]:
        yield f"fallen workers: {', '.join(report['fallen'])}"
    if report["digest"]:
        yield f"digest {report['digest']}"


def report_run(report, breaches, checker, path):
    """Prints a run's summary and breaches, writes its report to `path` if given, exits with its status."""
    from heronwinch.rehearsal.summary import format_breaches

    if path:
        write_output_file(path, format_json(report))
    for line in format_summary(report):
        click.echo(line)
    for line in format_breaches(checker, breaches):
        click.echo(line)
    comparison = report.get("beside")
    if comparison:
        click.echo(f"{comparison['part']} of the credit of {comparison['policy']} ({comparison['credit']})")
        if comparison["part"] is not None and comparison["part"] < MIN_CREDIT_RATIO:
            click.echo(f"under {MIN_CREDIT_RATIO} of it")
            sys.exit(EXIT_RULE_BROKEN)
    if breaches:
        click.echo(
            "rules broken: "
            + ", ".join(f"{rule} {count}" for rule, count in report["rules"].items() if count)
        )
        sys.exit(EXIT_RULE_BROKEN)
    click.echo("all rules kept")


@main.command()
@click.argument("script")
@click.option("--seed", type=int, default=1, show_default=True, help="Seeds all randomness of the run.")
@click.option(
    "--policy",
    type=click.Choice(list(POLICIES)),
    default="module",
    show_default=True,
    help="The policy that picks workers.",
)
@click.option("--json", "path", metavar="FILE", help="Write the figures and breaches to this file.")
@click.option(
    "--logs", metavar="FILE", help="Write the dispatchers' log events to this file, a JSON line each."
)
@click.option(
    "--size", type=click.FloatRange(0, 1, min_open=True), default=1.0, show_default=True,
    help="Run the script scaled to this part of its size.",
)  # fmt: skip
@click.option(
    "--beside", type=click.Choice(list(POLICIES)), default=None,
    help="Run this policy too, and print what part of its credit was earned; under half exits with status 1.",
)  # fmt: skip
def rehearse(script, seed, policy, path, logs, size, beside):
    """Rehearse SCRIPT in virtual time; the same seed gives the same run to the byte."""
    from heronwinch.rehearsal.script import scale_script
    from heronwinch.rehearsal.summary import summarize_run
    from heronwinch.rehearsal.virtual import rehearse as run_rehearsal

    parsed_script = scale_script(read_script_file(script), size)
    progress = ProgressLine(parsed_script.name, parsed_script.seconds / 1e9)
    try:
        runner, environment = run_rehearsal(parsed_script, seed, POLICIES[policy], progress)
    except Exception as error:
        raise RunFailedError(f"{script}: the rehearsal failed: {type(error).__name__}: {error}") from error
    finally:
        progress.clear()
    if logs:
        lines = (
            {"at_ns": at_ns, "from": name, "level": level, **event}
            for at_ns, name, level, event in environment.logs
        )
        write_output_file(logs, "".join(json.dumps(line, default=str) + "\n" for line in lines))
    report, breaches, checker = summarize_run(
        parsed_script,
        seed,
        policy,
        runner.observations,
        environment.kernel.digest(),
        environment.kernel.events,
    )
    if beside:
        other_runner, _ = run_rehearsal(parsed_script, seed, POLICIES[beside])
        other_credit = summarize_run(parsed_script, seed, beside, other_runner.observations)[0]["credit"]
        ratio = (
            round(report["credit"] / other_credit, 4)
            if other_credit and report["credit"] is not None
            else None
        )
        report["beside"] = {"policy": beside, "credit": other_credit, "part": ratio}
    report_run(report, breaches, checker, path)


@main.command()
@click.argument("script")
@click.option("--seed", type=int, default=1, show_default=True)
@click.option("--json", "path", metavar="FILE", help="Write the figures and breaches to this file.")
@click.option(
    "--size", type=click.FloatRange(0, 1, min_open=True), default=1.0, show_default=True,
    help="Run the script scaled to this part of its size.",
)  # fmt: skip
@click.option("--serve", "only", is_flag=True, help="Run only workers and discovery, until interrupted.")
@click.option(
    "--port", type=int, default=7080, show_default=True, help="The port of discovery, with --serve."
)
def emulate(script, seed, path, size, only, port):
    """Run SCRIPT on loopback sockets in real time, with real dispatcher processes."""
    from heronwinch.rehearsal.loopback import emulate_script, serve_fleet
    from heronwinch.rehearsal.script import scale_script
    from heronwinch.rehearsal.summary import summarize_run

    parsed_script = scale_script(read_script_file(script), size)
    try:
        if only:
            serve_fleet(parsed_script, seed, port, lambda line: click.echo(line))
            return
        progress = ProgressLine(parsed_script.name, parsed_script.seconds / 1e9)
        try:
            runner = emulate_script(parsed_script, seed, progress)
        finally:
            progress.clear()
    except OSError as error:
        raise RunFailedError(f"{script}: the emulator failed: {error}") from error
    report, breaches, checker = summarize_run(parsed_script, seed, "module", runner.observations)
    report["rig"] = runner.rig.build_report()
    report_run(report, breaches, checker, path)


@main.command()
@click.option("--runs", type=click.IntRange(1, 1_000_000), default=200, show_default=True)
@click.option(
    "--jobs", type=click.IntRange(1, 256), default=None, help="Processes; as many as cores by default."
)
@click.option("--seed", type=int, default=1, show_default=True, help="The first of the seeds.")
@click.option(
    "--script", "base", metavar="SCRIPT", help="Vary the times and sizes of this script's troubles."
)
@click.option(
    "--out", metavar="DIR", default="found", show_default=True, help="Where failing scripts are written."
)
@click.option("--json", "path", metavar="FILE", help="Write what was run and found to this file.")
@click.option("--fault", help="Plant a fault in the program, to check that it is found (see the docs).")
def explore(runs, jobs, seed, base, out, path, fault):
    """Run random overlapping troubles; shrink each run that breaks a rule to a script that replays it."""
    from heronwinch.rehearsal.explorer import explore_seeds
    from heronwinch.rehearsal.faults import PLANTED_FAULTS

    if fault is not None and fault not in PLANTED_FAULTS:
        raise InputError(f"--fault: no fault is called {fault}; there are {', '.join(PLANTED_FAULTS)}")
    if base is not None:
        read_script_file(base)  # reports an unusable script before any run starts
    is_terminal = sys.stderr.isatty()

    def show_progress(line):
        if is_terminal or not line.startswith("\r"):
            click.echo(line, err=True, nl=not line.startswith("\r"))

    try:
        result = explore_seeds(runs, jobs, seed, out, fault, show_progress, base)
    except OSError as error:
        raise RunFailedError(f"explore failed: {error}") from error
    if path:
        write_output_file(path, format_json(result))
    click.echo(
        f"{result['runs']} runs, {result['virtual_s']:.0f} virtual s, {result['items']} work items, "
        f"{result['troubles']} troubles: {len(result['failures'])} runs broke a rule, "
        f"{len(result['crashes'])} rehearsals failed"
    )
    for failure in result["failures"]:
        click.echo(f"seed {failure['seed']}: {', '.join(failure['rules'])}: {failure['says']}")
        click.echo(
            f"  shrunk to {failure['shrunk']}: heronwinch rehearse {failure['file']} --seed {failure['seed']}"
        )
    for crash in result["crashes"]:
        click.echo(f"seed {crash['seed']}: {crash['says']}")
    sys.exit(EXIT_RULE_BROKEN if result["failures"] else EXIT_FAILED if result["crashes"] else EXIT_OK)


@main.command()
@click.argument("old")
@click.option("-o", "--output", "new", metavar="NEW", help="The file to write the new configuration to.")
@click.option("--dry-run", is_flag=True, help="Print the changes and write nothing.")
@click.option("--force", is_flag=True, help="Overwrite an existing file.")
@click.option("--areas", default="", metavar="A,B", help="The areas, in the order of their numbers.")
@click.option("--area", default=None, help="The area of this dispatcher.")
@click.option("--dispatchers", type=click.IntRange(1), default=None, help="The number of dispatchers.")
@click.option("--fields", default="", metavar="X0,..", help="The fields of load reports, in their order.")
def move(old, new, dry_run, force, areas, area, dispatchers, fields):
    """Convert a configuration for deployments whose workers report load to probes only and whose weights
    change.

    Prints what is changed and what could not be carried over. Exit status 2 if the file cannot be converted.
    """
    from heronwinch.moving import MigrationError, migrate_config
    from heronwinch.plan import ConfigError, read_config
    from heronwinch.terms import parse_words

    if not new and not dry_run:
        raise InputError("no output file; name one with -o, or use --dry-run")
    try:
        with open(old, encoding="utf-8") as file:
            old_config = json.load(file)
        result = migrate_config(old_config, parse_words(areas), area, dispatchers, parse_words(fields))
    except (OSError, ValueError, RecursionError) as error:
        hint = "" if isinstance(error, MigrationError) else "; give a configuration in JSON that can be read"
        raise InputError(f"{old}: {error}{hint}") from None
    text = json.dumps(result.config, indent=2) + "\n"
    try:
        read_config({"RELAY_CONFIG": old}, read=lambda path: text)
    except ConfigError as error:
        raise InputError(f"{error}; mend it in the old file") from None
    if not result.changed and old_config == result.config:
        click.echo("nothing is to be moved")
        return
    if not dry_run:
        write_file_atomically(new, text, force)
    for line in result.changed:
        click.echo(f"changed  {line}")
    for line in result.left:
        click.echo(f"left     {line}")


def write_file_atomically(path, text, force):
    """Writes all of the file or nothing; overwrites an existing file only with `force`."""
    temporary_path = f"{path}.{os.getpid()}.new"
    try:
        try:
            with open(temporary_path, "x", encoding="utf-8") as file:
                file.write(text)
                file.flush()
                os.fsync(file.fileno())
            if force:
                os.replace(temporary_path, path)
            else:
                os.link(temporary_path, path)  # unlike a rename, a link fails if the path exists
        finally:
            with contextlib.suppress(FileNotFoundError):
                os.unlink(temporary_path)
    except FileExistsError:
        raise InputError(f"{path}: the file exists; name another, or overwrite it with --force") from None
    except OSError as error:
        raise InputError(
            f"cannot write {path}: {error.strerror}; choose a path that can be written"
        ) from None


@main.command()
@click.argument("plan")
@click.option(
    "--jobs", type=click.IntRange(1, 256), default=None, help="Processes; as many as cores by default."
)
@click.option("--json", "path", metavar="FILE", help="Write every run and the table to this file.")
@click.option("--html", metavar="FILE", help="Write the table and a plot to this file.")
def experiment(plan, jobs, path, html):
    """Run a grid of settings, scripts and seeds, and compare them with confidence intervals."""
    from heronwinch.rehearsal.experiment import (
        ExperimentPlanError,
        format_html,
        format_table,
        read_plan,
        run_experiment,
    )

    try:
        parsed_plan = read_plan(plan)
    except ExperimentPlanError as error:
        raise InputError(str(error)) from None
    result = run_experiment(parsed_plan, jobs, lambda line: click.echo(line, err=True))
    if path:
        write_output_file(path, format_json(result))
    if html:
        write_output_file(html, format_html(result))
    for line in format_table(result):
        click.echo(line)
    sys.exit(EXIT_RULE_BROKEN if result["broken"] else EXIT_FAILED if result["crashes"] else EXIT_OK)


@main.command()
@click.argument("what", type=click.Choice(["view", "messages", "recovery"]))
@click.option("--plant", help="Plant a fault in the rules, to check that it is found.")
@click.option(
    "--runs",
    type=click.IntRange(1, 100_000_000),
    default=100_000,
    show_default=True,
    help="The number of messages, with `messages`.",
)
def check(what, plant, runs):
    """Check every reachable state, within bounds, of models of the dispatchers' views (`view`) or of one work
    item over crashes, restarts and queries (`recovery`), or feed corrupted messages to a view (`messages`).

    Exit status 1 with the shortest sequence of steps that leads to a failure.
    """
    if what == "messages":
        from heronwinch.rehearsal.message_fuzzer import fuzz_membership_view

        try:
            counts = fuzz_membership_view(runs)
        except Exception as error:
            click.echo(f"wrong: {type(error).__name__}: {error}")
            sys.exit(EXIT_RULE_BROKEN)
        click.echo("  ".join(f"{name} {count}" for name, count in counts.items()))
        click.echo("nothing was raised, no bound passed")
        return
    if what == "recovery":
        from heronwinch.rehearsal.check_recovery import PLANTED_FAULTS, check_models
    else:
        from heronwinch.rehearsal.check import PLANTED_FAULTS, check_models
    if plant is not None and plant not in PLANTED_FAULTS:
        raise InputError(f"--plant: no fault is called {plant}; there are {', '.join(PLANTED_FAULTS)}")
    for result in check_models(plant):
        click.echo(f"{result.model}: {result.state_count} states")
        if result.failure:
            click.echo(f"wrong: {result.failure}")
            for number, line in enumerate(result.steps, 1):
                click.echo(f"  {number:2} {line}")
            sys.exit(EXIT_RULE_BROKEN)
    click.echo("nothing is wrong in any of them")


@main.group()
def ledger():
    """Read or compact the store in which a dispatcher keeps its ledger (section `ledger`)."""


def open_store(path, for_writing=False):
    """Opens and replays a store, which is locked if it is opened `for_writing`.

    Returns (the store, the number of sound rows, the state that they give, what is damaged or None).
    """
    from heronwinch.ledger.state import LedgerState
    from heronwinch.ledger.store import Store, StoreError, StoreIOError

    store = Store(path)
    try:
        store.open(for_writing)
        contents = store.read()
    except StoreError as error:
        raise InputError(str(error)) from None
    except StoreIOError as error:
        raise RunFailedError(str(error)) from None
    state = LedgerState()
    row_count, spoilt = state.replay(contents.rows)
    return store, row_count, state, spoilt or contents.damage


def format_totals(state):
    """Returns the line that counts open and answered work items."""
    answered = len(state.items_by_id) - len(state.open_items)
    unclear = sum(item.first_possible_run is not None for item in state.open_items.values())
    return f"{len(state.open_items)} work items open, {unclear} of them may have run, {answered} answered"


@ledger.command()
@click.argument("path")
@click.option("--open", "shown", is_flag=True, help="List the open work items, a line each.")
def inspect(path, shown):
    """Print whose store it is and what it holds; changes nothing."""
    store, row_count, state, spoilt = open_store(path)
    store.close()
    start_record = state.process_start
    if start_record is None:
        click.echo(f"{path}: {row_count} rows, nobody's")
    else:
        click.echo(
            f"{path}: {row_count} rows of {start_record.name}, "
            f"fleet {start_record.fleet or '-'}, form {start_record.form}, "
            + ("ended in order" if state.stopped_orderly else "did not end in order")
        )
    click.echo(
        format_totals(state)
        + f", {len(state.item_ids_by_key)} keys of clients, {len(state.roster_rows)} members on the roll"
    )
    for category, mean_ns, _, seen in state.running_times:
        click.echo(f"  {category}: mean running time {mean_ns / 1e6:.1f} ms, {seen} seen")
    for item in state.list_open_items() if shown else ():
        hand_off_texts = ", ".join(
            f"{hand_off.host} {'out' if not hand_off.outcome else get_outcome_name(hand_off.outcome)}"
            for hand_off in item.hand_offs
        )
        click.echo(
            f"  {item.accepted.category} {item.accepted.id.decode()}: {hand_off_texts or 'not handed off'}"
        )
    if spoilt:
        click.echo(f"spoilt: {spoilt}; this is what came before")


def get_outcome_name(outcome):
    """Returns the name of an outcome, or its number if this version does not know it."""
    from heronwinch.interface import Outcome

    return Outcome(outcome).name.lower() if outcome in Outcome._value2member_map_ else str(outcome)


@ledger.command()
@click.argument("path")
def verify(path):
    """Read a whole store. Exit status 1 and one line if something is spoilt, with what survives."""
    store, row_count, state, spoilt = open_store(path)
    store.close()
    if spoilt:
        click.echo(f"{path}: {spoilt}; {row_count} rows before it are sound: {format_totals(state)}")
        sys.exit(EXIT_RULE_BROKEN)
    click.echo(f"{path}: {row_count} rows, all sound: {format_totals(state)}")


@ledger.command()
@click.argument("path")
def compact(path):
    """Rewrite a store with only the records that are needed; its dispatcher must not run."""
    import time

    from heronwinch.ledger.records import encode_record
    from heronwinch.ledger.store import StoreIOError

    store, row_count, state, spoilt = open_store(path, for_writing=True)
    try:
        if spoilt:
            raise InputError(
                f"{path}: {spoilt}; its dispatcher puts it aside at its start, this does not touch it"
            )
        state.prune(time.time_ns())
        records = [encode_record(record) for record in state.snapshot()]
        store.rewrite(records)
    except StoreIOError as error:
        raise RunFailedError(str(error)) from None
    finally:
        store.close()
    click.echo(f"{path}: {row_count} rows, {len(records)} now: {format_totals(state)}")


@main.command()
@click.option("--json", "path", metavar="FILE", help="Write the rows to this file.")
@click.option(
    "--views",
    metavar="N,N,..",
    help="Measure membership views of these sizes instead, compared with heartbeats.",
)
@click.option(
    "--kinds", metavar="K,K,..", default="view,all-to-all,gossiped", show_default=True, help="With --views."
)
@click.option("--seeds", type=click.IntRange(1, 1000), default=5, show_default=True, help="With --views.")
@click.option("--jobs", type=click.IntRange(1, 256), default=8, show_default=True, help="With --views.")
def measure(path, views, kinds, seeds, jobs):
    """Print how fast rehearsals run here, and how that grows with workers and dispatchers."""
    if views:
        from heronwinch.rehearsal.compare_views import VIEW_CLASSES, format_tables

        for kind in kinds.split(","):
            if kind not in VIEW_CLASSES:
                raise InputError(f"--kinds: there is no {kind}; there are {', '.join(VIEW_CLASSES)}")
        if not all(size.isdecimal() and 2 <= int(size) <= 1000 for size in views.split(",")):
            raise InputError(f"--views: {views} is no list of sizes; write 2 to 1000, as 5,20,50")
        for line in format_tables(tuple(map(int, views.split(","))), seeds, jobs, kinds.split(",")):
            click.echo(line)
        return
    from heronwinch.rehearsal.measure import describe_machine, format_table, measure_speed

    rows = measure_speed()
    if path:
        write_output_file(path, format_json({"machine": describe_machine(), "rows": rows}))
    click.echo(f"simulated, virtual time; {describe_machine()}")
    for line in format_table(rows):
        click.echo(line)


if __name__ == "__main__":
    main()
