"""The script of a rehearsal in TOML: the fleet, the dispatchers, the traffic and a timeline of troubles.

A script is validated completely before a run starts; an error is one line that names the place and the fix.

Durations in a script are text with a unit, as "250ms"; here they are nanoseconds.
"""

import difflib
import re
import tomllib
from typing import Annotated, Literal

import msgspec

from heronwinch.interface import SECOND, Effect, Group
from heronwinch.rehearsal.durations import Duration, format_duration, parse_duration
from heronwinch.rehearsal.models.traffic import CategoryTraits, Flow
from heronwinch.rehearsal.models.worker import WorkerShape

FORMAT_VERSION = 1  # value of the key `format`
MAX_RUN_NS = 24 * 3600 * SECOND
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]
Count = Annotated[int, msgspec.Meta(ge=1, le=20_000)]
Positive = Annotated[float, msgspec.Meta(gt=0)]
MAX_ITEMS_PER_SECOND = 100_000  # a higher rate of one flow is taken for a mistake

EFFECTS_BY_NAME = {
    "rerunnable": Effect.RERUNNABLE,
    "ticketed": Effect.TICKETED,
    "exclusive": Effect.EXCLUSIVE,
}
GROUPS_BY_NAME = {"all": Group.ALL, "area": Group.AREA, "pod": Group.POD}


class ScriptError(ValueError):
    """An invalid script; the message is one line that names file, place and fix."""


class ScriptSection(msgspec.Struct, forbid_unknown_fields=True, omit_defaults=True):
    """Base of all sections of a script; unknown keys are errors."""


class WorkerKind(ScriptSection):
    """A kind of worker and its relative share of the fleet."""

    name: str
    share: Positive = 1.0
    speed: Positive = 1.0
    slots: Annotated[float, msgspec.Meta(ge=1)] = 0.0  # 0: as in `fleet`


class Fleet(ScriptSection):
    """The workers, and how they behave."""

    workers: Count = 10
    slots: Annotated[float, msgspec.Meta(ge=1, le=10_000)] = 4.0
    memory: float = 0.0  # 0: unlimited
    queue: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 8
    areas: list[str] = msgspec.field(default_factory=lambda: ["a"])
    pods: Count = 1
    kinds: list[WorkerKind] = []
    cold_share: Annotated[float, msgspec.Meta(gt=0, le=1)] = 0.15
    warm_up: Duration = Duration(20 * SECOND)
    push_multiple: Positive = 3.0
    push_window: Duration = Duration(2 * SECOND)
    tells_start: bool = True
    progress: Duration = Duration(0)
    cancel_stops: bool = True
    pause_every: Duration = Duration(0)
    pause_for: Duration = Duration(0)
    reports: Literal["answers", "probe", "none"] = "answers"
    report_every: Duration = Duration(0)
    report_delay: Duration = Duration(0)
    report_noise: Fraction = 0.0
    probes: bool = True
    connections: Count = 10_000
    idle: Duration = Duration(15 * SECOND)


class Dispatchers(ScriptSection):
    """The dispatchers and their settings."""

    count: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 1
    uneven: Annotated[float, msgspec.Meta(ge=0, le=3)] = (
        0.0  # standard deviation of the logarithm of a dispatcher's share of traffic
    )
    sockets: Annotated[int, msgspec.Meta(ge=64, le=65_536)] = 1024
    memory_mb: Annotated[int, msgspec.Meta(ge=32)] = 192
    tick: Duration = Duration(4_000_000)
    most_hand_offs: Annotated[int, msgspec.Meta(ge=1, le=100)] = 4
    drain_grace: Duration = Duration(500_000_000)
    answer_slack: Duration = Duration(16_000_000)
    connect_timeout: Duration = Duration(250_000_000)
    may_cancel: bool = True
    come_back: bool = True
    told: Annotated[int, msgspec.Meta(ge=0, le=100_000)] = 0  # dispatcher count in their settings; 0: `count`
    view: bool = False  # whether they keep a membership view of each other
    seeds: Annotated[int, msgspec.Meta(ge=1, le=1000)] = 3  # how many members each is configured with
    ledger: bool = False  # whether each keeps a write-ahead log
    sync: Duration = Duration(1_000_000)  # duration of a disk sync in simulated time
    notice: Duration = Duration(2 * SECOND)  # time until clients' load balancing notices that one has died


class Discovery(ScriptSection):
    """The stand-in of discovery."""

    pushed: bool = True
    lag: Duration = Duration(50_000_000)
    work: Duration = Duration(1_000_000)  # service time of one call
    longest: Duration = Duration(2 * SECOND)  # a call that would queue for longer is refused


class Network(ScriptSection):
    """One-way delay of the simulated network."""

    delay: Duration = Duration(200_000)
    jitter: Duration = Duration(100_000)


class CategorySpec(ScriptSection):
    """A category of work items, and the running times of its items."""

    name: Annotated[str, msgspec.Meta(pattern="^[a-z][a-z0-9-]*$")]
    effect: Literal["rerunnable", "ticketed", "exclusive"] = "rerunnable"
    group: Literal["all", "area", "pod"] = "all"
    window: Duration = Duration(0)
    due: Duration = Duration(SECOND)
    stretch: Annotated[float, msgspec.Meta(ge=0)] = 1.25
    expiry: Duration = Duration(5 * SECOND)
    credit: Positive = 1.0
    late_credit: Annotated[float, msgspec.Meta(ge=0, le=1)] = 0.0  # as a fraction of `credit`
    running: Duration = Duration(100_000_000)
    shape: Literal["lognormal", "exponential", "constant", "pareto"] = "lognormal"
    spread: Annotated[float, msgspec.Meta(ge=0, le=5)] = 1.0
    slots: Annotated[float, msgspec.Meta(ge=1)] = 1.0
    memory: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class FlowSpec(ScriptSection):
    """A stream of work items of one category, and how its clients behave."""

    category: str
    rate: Annotated[float, msgspec.Meta(gt=0, le=MAX_ITEMS_PER_SECOND)]
    pattern: Literal["steady", "bursty", "swings"] = "steady"
    period: Duration = Duration(10 * SECOND)
    height: Annotated[float, msgspec.Meta(gt=0, le=100)] = 3.0
    account: str = ""
    keys: Count = 1000
    retries: Annotated[int, msgspec.Meta(ge=0, le=100)] = 2
    wait: bool = True
    impatient: Fraction = 0.0
    returns: bool = False  # whether clients that lose their connection retry with the same key
    size: Annotated[int, msgspec.Meta(ge=0, le=60_000)] = 64
    begins: Duration = Duration(0)
    ends: Duration = Duration(0)


class Trouble(ScriptSection):
    """One injected fault of the timeline; TROUBLES lists the options that each kind takes."""

    at: Duration
    what: str
    lasts: Duration = Duration(0)
    share: Fraction = 0.0
    count: Annotated[int, msgspec.Meta(ge=0)] = 0
    workers: list[str] = []
    dispatchers: list[str] = []
    area: str = ""  # only targets of this area; as the only selector, all of them
    waves: Annotated[int, msgspec.Meta(ge=0, le=1000)] = 0  # number of groups in which the targets are struck
    every: Duration = Duration(0)  # interval between two groups of `waves`
    by: Duration = Duration(0)
    factor: Annotated[float, msgspec.Meta(ge=0, le=100)] = 0.0
    rate: Annotated[float, msgspec.Meta(ge=0, le=10_000)] = 0.0
    way: Literal["", "in", "out"] = ""  # direction that is blocked, seen from the targets; empty: both
    areas: list[str] = []  # two areas that cannot reach each other
    twice: Fraction = 0.0
    spoilt: Fraction = 0.0  # share of the dispatchers without power whose store is damaged
    clock: Duration = Duration(0)  # clock error before the power loss


class TroubleKind(ScriptSection):
    """A kind of trouble: what it strikes and which options of `Trouble` it takes."""

    target: str  # workers, dispatchers, both, sides (of a partition of dispatchers), or empty: none
    required: tuple[str, ...]
    optional: tuple[str, ...] = ()
    description: str = ""


TROUBLES = {
    "swallow": TroubleKind("workers", ("lasts",), description="takes work and never answers it"),
    "mute": TroubleKind("workers", ("lasts",), description="accepts connections and sends nothing"),
    "fail": TroubleKind("workers", ("lasts",), description="answers 500 at once"),
    "decline": TroubleKind("workers", ("lasts",), description="declines all work"),
    "garble": TroubleKind("workers", ("lasts",), description="sends responses that are not valid HTTP"),
    "late-reports": TroubleKind("workers", ("lasts", "by"), description="its load reports are `by` old"),
    "pause": TroubleKind("workers", ("lasts",), description="its whole process stands still"),
    "crowd": TroubleKind(
        "workers", ("lasts", "factor"), description="another program leaves it `factor` of its speed"
    ),
    "crash": TroubleKind(
        "workers", (), ("lasts",), description="dies; restarts cold after `lasts`, or stays down without it"
    ),
    "vanish": TroubleKind(
        "workers", ("lasts",), description="its machine goes silent; restarts cold after `lasts`"
    ),
    "drain": TroubleKind(
        "workers", ("lasts",), description="listed as leaving, ends after `lasts`, restarts as new"
    ),
    "shrink": TroubleKind(
        "workers", (), description="listed as leaving, ends after the drain grace, stays down"
    ),
    "list-outage": TroubleKind("", ("lasts",), description="discovery answers nothing"),
    "list-lag": TroubleKind("", ("lasts", "by"), description="changes of the list arrive `by` later"),
    "list-move": TroubleKind(
        "dispatchers", (), description="discovery moves to another address, announced by SIGHUP"
    ),
    "kill": TroubleKind(
        "dispatchers", ("lasts",), ("by",), description="is killed; restarts after `lasts`, delayed by `by`"
    ),
    "stop": TroubleKind(
        "dispatchers", ("lasts",), description="is stopped gracefully and restarted after `lasts`"
    ),
    "hold": TroubleKind("dispatchers", ("lasts",), description="its process stands still"),
    "starve": TroubleKind(
        "dispatchers",
        ("lasts", "factor"),
        description="gets `factor` of its processor time, in short periods",
    ),
    "descriptors": TroubleKind("dispatchers", ("lasts",), description="cannot open further file descriptors"),
    "disk": TroubleKind("dispatchers", ("lasts",), description="its disk accepts no writes"),
    "clock-ahead": TroubleKind(
        "dispatchers", ("by",), ("lasts",), "its machine's wall clock is set forward, and back after `lasts`"
    ),
    "clock-back": TroubleKind(
        "dispatchers", ("by",), ("lasts",), "its machine's wall clock is set back, and forward after `lasts`"
    ),
    "power": TroubleKind(
        "",
        ("lasts",),
        ("area", "waves", "every", "by", "spoilt", "clock"),
        "an area, or all and discovery, lose power; restart in waves, discovery `by` later",
    ),
    "part": TroubleKind(
        "sides",
        ("lasts",),
        ("way", "areas"),
        description="no message passes between them and the other dispatchers",
    ),
    "loss": TroubleKind(
        "", ("lasts", "share"), ("twice", "by"), description="`share` of all datagrams is lost"
    ),
    "cut": TroubleKind(
        "both", ("lasts",), description="nothing passes between these workers and dispatchers"
    ),
    "slow-net": TroubleKind("", ("lasts", "factor"), description="network delays are multiplied by `factor`"),
    "resets": TroubleKind(
        "", ("lasts", "rate"), description="`rate` connections per second are reset on the network"
    ),
    "shift": TroubleKind(
        "", ("area", "share"), ("lasts",), description="`share` of all requests goes to one area instead"
    ),
    "burst": TroubleKind("", ("lasts", "factor"), description="request rates are multiplied by `factor`"),
    "rude": TroubleKind("", ("lasts", "rate"), description="`rate` invalid requests per second"),
}
TROUBLE_OPTIONS = (
    "share", "count", "workers", "dispatchers", "by", "factor", "rate", "lasts", "area", "waves", "every",
    "way", "areas", "twice", "spoilt", "clock",
)  # fmt: skip


class CostBounds(ScriptSection):
    """Bounds on the costs of all dispatchers together; 0: no bound. Peaks count the worst second."""

    probes: Annotated[float, msgspec.Meta(ge=0)] = 0.0  # per request
    probes_peak: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    new_connections_peak: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    list_calls_peak: Annotated[float, msgspec.Meta(ge=0)] = 0.0


class Script(ScriptSection):
    """A whole script."""

    format: int
    name: Annotated[str, msgspec.Meta(pattern="^[A-Za-z0-9][A-Za-z0-9._-]*$")]
    seconds: Duration
    categories: Annotated[list[CategorySpec], msgspec.Meta(min_length=1, max_length=64)]
    traffic: Annotated[list[FlowSpec], msgspec.Meta(min_length=1, max_length=256)]
    about: str = ""
    fleet: Fleet = msgspec.field(default_factory=Fleet)
    dispatchers: Dispatchers = msgspec.field(default_factory=Dispatchers)
    discovery: Discovery = msgspec.field(default_factory=Discovery)
    network: Network = msgspec.field(default_factory=Network)
    bounds: CostBounds = msgspec.field(default_factory=CostBounds)
    troubles: list[Trouble] = []


# ---- reading and writing


def decode_duration(target_type, value):
    """The `dec_hook` for msgspec that reads a Duration."""
    if target_type is Duration:
        return parse_duration(value)
    raise NotImplementedError(target_type)


def read_script(path):
    """Reads and validates a script file; raises ScriptError."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as error:
        raise ScriptError(f"{path}: cannot be read: {error}") from None
    return parse_script(text, path)


def parse_script(text, path="script"):
    """Reads and validates a script; raises ScriptError, whose message begins with `path`."""
    try:
        tree = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as error:
        raise ScriptError(f"{path}: not valid TOML: {error}") from None
    if tree.get("format") != FORMAT_VERSION:
        raise ScriptError(f"{path}: format: {tree.get('format', 'missing')}; write format = {FORMAT_VERSION}")
    try:
        script = msgspec.convert(tree, Script, dec_hook=decode_duration)
    except msgspec.ValidationError as error:
        raise ScriptError(f"{path}{_describe_validation_error(text, str(error))}") from None
    problem = next(find_problems(script), None)
    if problem is not None:
        place, message = problem
        raise ScriptError(f"{path}:{_format_line(text, place)}{place}: {message}")
    return script


def _describe_validation_error(text, error_text):
    """Msgspec's message with the place first, its line number if found, and a similar known key."""
    message, _, place = error_text.partition(" - at `$")
    place = place.rstrip("`").lstrip(".")
    unknown_key = re.search(r"unknown field `([^`]*)`", message)
    if unknown_key:
        key = unknown_key[1]
        known_keys = [
            field.name
            for section in ScriptSection.__subclasses__()
            for field in msgspec.structs.fields(section)
        ]
        similar_keys = difflib.get_close_matches(key, known_keys, 1)
        fix = f"; did you mean {similar_keys[0]}?" if similar_keys else "; remove it"
        place = f"{place}.{key}" if place else key
        return f":{_format_line(text, place)}{place}: unknown key{fix}"
    return f":{_format_line(text, place)}{place or 'script'}: {message}"


def _format_line(text, place):
    """The line number of a place such as troubles[1].what, as `12: `; a space if it is not found."""
    place_parts = re.findall(r"([A-Za-z_-]+)(?:\[(\d+)\])?", place)
    lines = text.splitlines()
    section_line = 0
    for depth, (name, index) in enumerate(place_parts):
        if index:
            header_lines = [
                line_index
                for line_index, line in enumerate(lines)
                if re.match(rf"\s*\[\[\s*{name}\s*\]\]", line)
            ]
            if int(index) >= len(header_lines):
                break
            section_line = header_lines[int(index)]
        elif depth + 1 < len(place_parts) or any(re.match(rf"\s*\[{name}\]", line) for line in lines):
            section_line = next(
                (line_index for line_index, line in enumerate(lines) if re.match(rf"\s*\[{name}\]", line)),
                section_line,
            )
        else:
            for line_index in range(section_line, len(lines)):
                if line_index > section_line and lines[line_index].lstrip().startswith("["):
                    break
                if re.match(rf"\s*{name}\s*=", lines[line_index]):
                    return f"{line_index + 1}: "
    return f"{section_line + 1}: " if section_line else " "


def write_script(script):
    """Formats a script as TOML; reading that gives an equal script."""
    import tomli_w

    tree = msgspec.to_builtins(script, enc_hook=lambda value: format_duration(value), builtin_types=())
    return tomli_w.dumps(_format_durations(script, tree))


def _format_durations(section, tree):
    """Replaces durations, which msgspec writes as integers, by text with a unit."""
    for name, value in list(tree.items()):
        field_value = getattr(section, name)
        if isinstance(field_value, Duration):
            tree[name] = format_duration(field_value)
        elif isinstance(field_value, ScriptSection):
            tree[name] = _format_durations(field_value, value)
        elif isinstance(field_value, list) and field_value and isinstance(field_value[0], ScriptSection):
            tree[name] = [
                _format_durations(item, item_tree) for item, item_tree in zip(field_value, value, strict=True)
            ]
    return tree


# ---- validation beyond types


def find_problems(script):
    """Yields (place, what is wrong and how to fix it), in order of the script."""
    if not SECOND // 10 <= script.seconds <= MAX_RUN_NS:
        yield "seconds", "a run takes 100ms to 24h"
    category_names = [row.name for row in script.categories]
    for i, row in enumerate(script.categories):
        place = f"categories[{i}]"
        if category_names.index(row.name) != i:
            yield f"{place}.name", f"{row.name} is defined twice; name each category once"
        if row.effect == "ticketed" and not row.window:
            yield (
                f"{place}.window",
                'ticketed work needs the window in which a repeat is dropped, as window = "10s"',
            )
        if row.effect != "ticketed" and row.window:
            yield f"{place}.window", f"{row.effect} work has no window; remove it"
        if row.expiry <= 0 or row.due <= 0:
            yield f"{place}.expiry", "due and expiry must be longer than 0"
        if row.due > row.expiry:
            yield f"{place}.due", f"due after its expiry of {format_duration(row.expiry)}; make it shorter"
        if row.running <= 0:
            yield f"{place}.running", "running must be longer than 0"
        if row.slots > script.fleet.slots:
            yield f"{place}.slots", f"no worker has more than {script.fleet.slots:g} slots"
        if script.fleet.memory and row.memory > script.fleet.memory:
            yield f"{place}.memory", f"no worker has more than {script.fleet.memory:g}"
    for i, row in enumerate(script.traffic):
        if row.category not in category_names:
            similar_names = difflib.get_close_matches(row.category, category_names, 1)
            yield (
                f"traffic[{i}].category",
                f"no category is called {row.category}"
                + (
                    f"; did you mean {similar_names[0]}?"
                    if similar_names
                    else f"; there are {', '.join(category_names)}"
                ),
            )
        if row.period <= 0:
            yield f"traffic[{i}].period", "period must be longer than 0"
        effect = next((spec.effect for spec in script.categories if spec.name == row.category), "ticketed")
        if row.returns and effect != "ticketed":
            yield f"traffic[{i}].returns", f"{effect} work has no key to come again with; remove returns"
        if row.ends and row.ends <= row.begins:
            yield f"traffic[{i}].ends", "it ends before it begins"
    if not script.fleet.areas:
        yield "fleet.areas", "name at least one area"
    if script.fleet.pause_every and not script.fleet.pause_for:
        yield "fleet.pause_for", 'pause_every needs the length of a pause, as pause_for = "200ms"'
    workers, dispatchers = list_worker_names(script), list_dispatcher_names(script)
    for i, trouble in enumerate(script.troubles):
        yield from _find_trouble_problems(script, f"troubles[{i}]", trouble, workers, dispatchers)


def _find_trouble_problems(script, place, trouble, workers, dispatchers):
    kind = TROUBLES.get(trouble.what)
    if kind is None:
        similar_names = difflib.get_close_matches(trouble.what, TROUBLES, 1)
        yield (
            f"{place}.what",
            f"no trouble is called {trouble.what}"
            + (
                f"; did you mean {similar_names[0]}?"
                if similar_names
                else f"; there are {', '.join(TROUBLES)}"
            ),
        )
        return
    if trouble.at >= script.seconds:
        yield f"{place}.at", f"the run is over by then; it takes {format_duration(script.seconds)}"
    allowed = {*kind.required, *kind.optional}
    if kind.target in ("workers", "both"):
        allowed |= {"share", "count", "workers", "area", "waves", "every"}
    if kind.target in ("dispatchers", "sides", "both"):
        allowed |= {"dispatchers", "area"}
        allowed |= {"waves", "every"} if kind.target != "sides" else set()
        allowed |= {"count", "share"} if kind.target != "both" else set()
    for option in TROUBLE_OPTIONS:
        if getattr(trouble, option) and option not in allowed:
            yield f"{place}.{option}", f"{trouble.what} takes no {option}; remove it"
    for option in kind.required:
        if not getattr(trouble, option):
            yield f"{place}.{option}", f"{trouble.what} needs {option}"
    if trouble.what in ("crowd", "starve") and trouble.factor > 1:
        yield f"{place}.factor", f"{trouble.what} leaves a part of the speed, 0 to 1"
    if trouble.what == "power" and trouble.area and trouble.by:
        yield f"{place}.by", "discovery keeps its power where an area loses it; remove by"
    known_names, named, option = (
        (dispatchers, trouble.dispatchers, "dispatchers")
        if kind.target in ("dispatchers", "sides")
        else (workers, trouble.workers, "workers")
    )
    selectors = sum(map(bool, (trouble.share, trouble.count, named))) or int(
        bool(trouble.area or trouble.areas)
    )
    if kind.target and selectors != 1:
        yield f"{place}.{option}", f"say whom it strikes with one of share, count, {option} or area"
    if trouble.area and trouble.area not in script.fleet.areas:
        yield f"{place}.area", f"there is no area {trouble.area}; there are {', '.join(script.fleet.areas)}"
    if trouble.areas and (len(trouble.areas) != 2 or not set(trouble.areas) <= set(script.fleet.areas)):
        yield f"{place}.areas", f"name two areas of {', '.join(script.fleet.areas)}"
    if trouble.what in ("part", "loss") and not script.dispatchers.view:
        yield (
            f"{place}.what",
            f"{trouble.what} strikes messages between dispatchers; write view = true in [dispatchers]",
        )
    if (trouble.spoilt or trouble.clock or trouble.what == "disk") and not script.dispatchers.ledger:
        yield (
            f"{place}.what",
            f"{trouble.what} needs dispatchers with stores; write ledger = true in [dispatchers]",
        )
    if trouble.area and named:
        yield f"{place}.area", f"{option} are named already; remove the area"
    if bool(trouble.waves) != bool(trouble.every):
        yield f"{place}.waves", "waves and every go together, as waves = 10, every = 1s"
    if trouble.waves and trouble.what == "cut":
        yield f"{place}.waves", "a cut strikes all targets at once; remove waves"
    if trouble.count > len(known_names):
        yield f"{place}.count", f"there are only {len(known_names)} {option}"
    for named, existing, option in (
        (trouble.workers, workers, "workers"),
        (trouble.dispatchers, dispatchers, "dispatchers"),
    ):
        for name in named:
            if name not in existing:
                yield f"{place}.{option}", f"unknown name {name}; there are {existing[0]} to {existing[-1]}"


# ---- conversion to the types of the models


def list_worker_names(script):
    """w0, w1, ..."""
    return [f"w{i}" for i in range(script.fleet.workers)]


def list_dispatcher_names(script):
    """d0, d1, ..."""
    return [f"d{i}" for i in range(script.dispatchers.count)]


def build_worker_shapes(script):
    """Worker name -> its WorkerShape; kinds are interleaved in proportion to their shares."""
    fleet = script.fleet
    kinds = fleet.kinds or [WorkerKind("std")]
    share_sum = sum(kind.share for kind in kinds)
    dealt_counts = dict.fromkeys(range(len(kinds)), 0)
    shapes_by_name = {}
    for worker_index, name in enumerate(list_worker_names(script)):
        kind_index = max(
            dealt_counts,
            key=lambda kind_index: kinds[kind_index].share / share_sum * (worker_index + 1)
            - dealt_counts[kind_index],
        )
        dealt_counts[kind_index] += 1
        kind = kinds[kind_index]
        shapes_by_name[name] = WorkerShape(
            slots=kind.slots or fleet.slots,
            memory=fleet.memory or float("inf"),
            queue=fleet.queue,
            speed=kind.speed,
            cold_share=fleet.cold_share,
            warm_up=int(fleet.warm_up),
            push_multiple=fleet.push_multiple,
            push_window=int(fleet.push_window),
            progress_every=int(fleet.progress),
            tells_start=fleet.tells_start,
            cancel_stops=fleet.cancel_stops,
            pause_every=int(fleet.pause_every),
            pause_for=int(fleet.pause_for),
            report_every=int(fleet.report_every),
            report_noise=fleet.report_noise,
            area=find_area(script, name),
            kind=kind.name,
            pod=worker_index % fleet.pods,
            mean_work=compute_mean_work(script),
        )
    return shapes_by_name


def compute_mean_work(script):
    """The mean work of a request in nanoseconds, over all traffic."""
    work_by_category = {spec.name: spec.running * spec.slots for spec in script.categories}
    total_rate = sum(flow.rate for flow in script.traffic)
    return int(sum(flow.rate * work_by_category[flow.category] for flow in script.traffic) / total_rate)


def build_category_traits(script):
    """Category name -> what the clients know of it."""
    return {
        spec.name: CategoryTraits(
            spec.name,
            EFFECTS_BY_NAME[spec.effect],
            int(spec.window),
            int(spec.due),
            spec.stretch,
            int(spec.expiry),
            spec.credit,
            spec.late_credit,
            int(spec.running),
            spec.shape,
            spec.spread,
            spec.slots,
            spec.memory,
        )
        for spec in script.categories
    }


def build_category_groups(script):
    """Category name -> its deduplication group."""
    return {spec.name: GROUPS_BY_NAME[spec.group] for spec in script.categories}


def scale_script(script, share):
    """Scales workers, dispatchers, traffic, peak bounds and the counts and rates of troubles by `share`."""
    if share == 1:
        return script
    fleet, dispatcher_section, replace = script.fleet, script.dispatchers, msgspec.structs.replace
    bounds = script.bounds
    areas = len(fleet.areas)
    return replace(
        script,
        fleet=replace(fleet, workers=max(areas, round(fleet.workers * share))),
        dispatchers=replace(dispatcher_section, count=max(areas, round(dispatcher_section.count * share))),
        # Calls take longer in proportion, so the same share of them is refused with fewer callers.
        discovery=replace(script.discovery, work=Duration(round(script.discovery.work / share))),
        traffic=[replace(row, rate=row.rate * share) for row in script.traffic],
        bounds=replace(
            bounds,
            probes_peak=bounds.probes_peak * share,
            new_connections_peak=bounds.new_connections_peak * share,
            list_calls_peak=bounds.list_calls_peak * share,
        ),
        troubles=[
            replace(row, count=max(1, round(row.count * share)) if row.count else 0, rate=row.rate * share)
            for row in script.troubles
        ],
    )


def find_area(script, name):
    """The area of the worker or dispatcher called `name`."""
    areas = script.fleet.areas
    return areas[int(name[1:]) % len(areas)]


def build_flows(script):
    """The flows of the clients, in the order of the script."""
    return [
        Flow(
            spec.category,
            spec.rate,
            spec.pattern,
            int(spec.period),
            spec.height,
            spec.account,
            spec.keys,
            spec.retries,
            spec.wait,
            spec.impatient,
            spec.returns,
            spec.size,
            int(spec.begins),
            int(spec.ends),
        )
        for spec in script.traffic
    ]


def build_dispatcher_settings(script, dispatcher):
    """The `settings` of a dispatcher as its configuration file holds them."""
    fleet, dispatcher_section = script.fleet, script.dispatchers
    index = int(dispatcher[1:])
    effect_names = {"rerunnable": "retryable", "ticketed": "dedup", "exclusive": "fragile"}
    group_names = {"all": "all", "area": "zone", "pod": "cell"}
    return {
        "me": index,
        "siblings": dispatcher_section.told or dispatcher_section.count,
        "tick_ns": int(dispatcher_section.tick),
        "areas": fleet.areas,
        "realms": [],
        "az": find_area(script, dispatcher),
        "models": [kind.name for kind in fleet.kinds] or ["std"],
        "discovery": "pushed" if script.discovery.pushed else "on_request",
        "excess_credit": 1.0,
        "categories": [
            {
                "name": spec.name,
                "effect": effect_names[spec.effect],
                "group": group_names[spec.group],
                "window_ns": int(spec.window),
                "due_time_ns": int(spec.due),
                "expiry_ns": int(spec.expiry),
                "credit": spec.credit,
                "late_credit": spec.late_credit,
            }
            for spec in script.categories
        ],
        "family_info": {
            "class_stretch": [spec.stretch for spec in script.categories],
            "progress_ns": int(fleet.progress),
            "tells_start": fleet.tells_start,
        },
        "invariants": {
            "ask_every_ns": 10 * SECOND,
            "drain_grace_ns": int(dispatcher_section.drain_grace),
            "answer_slack_ns": int(dispatcher_section.answer_slack),
            "start_capacity": fleet.cold_share,
            "warm_up_ns": int(fleet.warm_up),
            "overload_factor": fleet.push_multiple,
            "tip_after_ns": int(fleet.push_window),
        },
        "limits": {
            "most_hand_offs": dispatcher_section.most_hand_offs,
            "parallel_tries": False,
            "may_cancel": dispatcher_section.may_cancel,
            "probes": fleet.probes,
            "peers": dispatcher_section.view,
            "retry_after": dispatcher_section.come_back,
            "max_retry_after_ns": 2 * SECOND,
            "dial_timeout_ns": int(dispatcher_section.connect_timeout),
            "conn_idle_ns": int(fleet.idle),
        },
        "load_info": {"how": fleet.reports, "fields": ["x0", "x1", "queue", "inflight"]},
    }
