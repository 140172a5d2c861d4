"""Parses the operators' settings into the terms of a dispatcher.

The simulator passes settings as lines (path=value), a configuration file as nested JSON. Both hold the same
settings and are first turned into one flat dict of dotted keys and texts.
"""

from math import inf
from typing import NamedTuple

from heronwinch.interface import Account, Category, Effect, Group, Terms

EFFECT_BY_WORD = {"retryable": Effect.RERUNNABLE, "dedup": Effect.TICKETED, "fragile": Effect.EXCLUSIVE}
GROUP_BY_WORD = {"all": Group.ALL, "zone": Group.AREA, "cell": Group.POD}
# Whether the listed weight of a worker falls with its load.
LIVE_WEIGHTS_BY_WORD = {"none": False, "nominal": False, "rough": False, "live": True}
# Whether workers report their load.
REPORTS_BY_WORD = {"none": False, "answers": True, "probe": True}
REQUIRED = object()  # placeholder default of a setting that is required


class SettingsError(ValueError):
    """A setting is missing or its value cannot be used."""


class NumberedNames(NamedTuple):
    """The names that the settings give to what the terms identify by number; the name at index i has number
    i."""

    categories: tuple[str, ...]
    accounts: tuple[str, ...]
    areas: tuple[str, ...]
    kinds: tuple[str, ...]


def parse_settings_lines(text: str) -> dict[str, str]:
    """Returns the settings of path=value lines by path; other lines are ignored."""
    return dict(line.split("=", 1) for line in text.splitlines() if "=" in line)


def flatten_settings(settings: dict, prefix: str = "") -> dict[str, str]:
    """Returns nested settings by dotted key, as parse_settings_lines does.

    A list of plain values becomes one text, joined by commas. Of a list of objects each element has a key
    with its index, and the key `count` has the length.
    """
    values = {}
    for name, value in settings.items():
        key = f"{prefix}{name}"
        if isinstance(value, dict):
            values |= flatten_settings(value, key + ".")
        elif isinstance(value, list) and value and all(isinstance(element, dict) for element in value):
            values[key + ".count"] = str(len(value))
            for i, element in enumerate(value):
                values |= flatten_settings(element, f"{key}.{i}.")
        elif isinstance(value, list):
            values[key] = ",".join(map(format_setting, value))
        else:
            values[key] = format_setting(value)
    return values


def format_setting(value) -> str:
    """Returns a plain JSON value as text; spaces and commas become underscores."""
    if isinstance(value, bool):
        return "true" if value else "false"
    return "" if value is None else str(value).replace(" ", "_").replace(",", "_")


class _SettingsReader:
    """Reads single settings from a flat dict of texts."""

    def __init__(self, values: dict[str, str]) -> None:
        self.values = values

    def get(self, key, parse, default=REQUIRED):
        """Returns the parsed value of a setting, or its default if it is absent.

        Raises SettingsError if a required setting is missing or the value cannot be parsed.
        """
        if key not in self.values:
            if default is REQUIRED:
                raise SettingsError(f"settings: required key {key} is missing")
            return default
        try:
            return parse(self.values[key])
        except (ValueError, KeyError, OverflowError):
            allowed = getattr(parse, "__self__", None)  # the table whose __getitem__ parses the word
            hint = f"; write {', '.join(allowed)}" if isinstance(allowed, dict) else ""
            hint = "; write a whole number, 0 or more" if parse is parse_count else hint
            raise SettingsError(f"settings: unusable value for {key}: {self.values[key]!r}{hint}") from None

    def get_per_category(self, key, parse, count, default):
        """Returns one value per category; a shorter or absent list is padded with the default."""
        values = self.get(key, lambda text: [parse(word) for word in text.split(",")] if text else [], [])
        return values + [default] * (count - len(values))


def parse_integer(text: str) -> int:
    """Returns a whole number; a decimal number is rounded."""
    try:
        return int(text)
    except ValueError:
        return round(float(text))


def parse_count(text: str) -> int:
    """Returns a whole number that is not negative: a duration in nanoseconds or a count."""
    value = parse_integer(text)
    if value < 0:
        raise ValueError(text)
    return value


def parse_amount(text: str) -> float:
    """Returns a finite decimal number that is not negative."""
    value = float(text)
    if not 0 <= value < inf:
        raise ValueError(text)
    return value


def parse_flag(text: str) -> bool:
    return {"true": True, "false": False}[text]


def parse_words(text: str) -> list[str]:
    return text.split(",") if text else []


def read_load_fields(values: dict[str, str]) -> list[str]:
    """Returns the names of the figures in a load report, in their order."""
    return _SettingsReader(values).get("load_info.fields", parse_words, [])


def read_names(values: dict[str, str]) -> NumberedNames:
    """Returns the names that the settings give to categories, accounts, areas and kinds."""
    get = _SettingsReader(values).get
    return NumberedNames(
        categories=tuple(
            get(f"categories.{i}.name", str) for i in range(get("categories.count", parse_integer))
        ),
        accounts=tuple(get(f"realms.{i}.name", str) for i in range(get("realms.count", parse_integer, 0))),
        areas=tuple(get("areas", parse_words, [])),
        kinds=tuple(get("models", parse_words, [])),
    )


def read_terms(values: dict[str, str]) -> Terms:
    """Returns the terms that flat settings describe; raises SettingsError if one cannot be used."""
    reader = _SettingsReader(values)
    get = reader.get
    count = get("categories.count", parse_integer)
    kinds = reader.get_per_category("family_info.class_kind", parse_integer, count, -1)
    priorities = reader.get_per_category("family_info.class_priority", parse_integer, count, 0)
    stretches = reader.get_per_category("family_info.class_stretch", float, count, 0.0)
    categories = []
    for i in range(count):
        prefix = f"categories.{i}."
        categories.append(
            Category(
                effect=get(prefix + "effect", EFFECT_BY_WORD.__getitem__),
                group=get(prefix + "group", GROUP_BY_WORD.__getitem__, Group.ALL),
                window=get(prefix + "window_ns", parse_count, 0),
                due_time=get(prefix + "due_time_ns", parse_integer),
                stretch=get(prefix + "aim_stretch", float, stretches[i]),
                expiry=get(prefix + "expiry_ns", parse_integer),
                credit=get(prefix + "credit", parse_amount, 1.0),
                late_credit=get(prefix + "late_credit", float, 0.0),
                kind=kinds[i],
                priority=priorities[i],
            )
        )
    accounts = tuple(
        Account(
            share=get(f"realms.{i}.share", parse_amount, 0.0),
            allowance=get(f"realms.{i}.allowance_per_s", parse_amount, 0.0),
        )
        for i in range(get("realms.count", parse_integer, 0))
    )
    areas = get("areas", parse_words, [])
    return Terms(
        own_number=get("me", parse_integer),
        dispatchers=max(1, get("siblings", parse_integer)),
        area=get("az", lambda name: areas.index(name) if name in areas else parse_integer(name), 0),
        tick=max(1, get("tick_ns", parse_count)),
        categories=tuple(categories),
        accounts=accounts,
        excess_credit=get("excess_credit", parse_amount, 1.0),
        pushed_list=get("discovery", {"pushed": True, "on_request": False}.__getitem__),
        discovery_poll_interval=get("invariants.ask_every_ns", parse_count, 10_000_000_000),
        drain_grace=get("invariants.drain_grace_ns", parse_count),
        answer_slack=get("invariants.answer_slack_ns", parse_count, 0),
        cold_share=get("invariants.start_capacity", parse_amount),
        warm_up=get("invariants.warm_up_ns", parse_count),
        push_multiple=get("invariants.overload_factor", parse_amount),
        push_window=get("invariants.tip_after_ns", parse_count),
        most_hand_offs=max(1, get("limits.most_hand_offs", parse_count)),
        parallel_tries=get("limits.parallel_tries", parse_flag, False),
        may_cancel=get("limits.may_cancel", parse_flag, False),
        may_probe=get("limits.probes", parse_flag, False),
        may_advise_come_back=get("limits.retry_after", parse_flag, False),
        max_come_back=get("limits.max_retry_after_ns", parse_count, 0),
        connect_timeout=get("limits.dial_timeout_ns", parse_count, 0),
        connection_idle_timeout=get("limits.conn_idle_ns", parse_count, 0),
        progress_interval=get("family_info.progress_ns", parse_count, 0),
        tells_start=get("family_info.tells_start", parse_flag, False),
        queue_order=get("family_info.queue_order", str, "fifo"),
        reports=get("load_info.how", REPORTS_BY_WORD.__getitem__, False),
        live_weights=get("weights", LIVE_WEIGHTS_BY_WORD.__getitem__, False),
        area_price=get("prices.cross_zone", float, 0.0),
        waste_price=get("prices.waste", float, 0.0),
        late_price=get("prices.late_fail", float, 0.0),
        probe_price=get("prices.probe", float, 0.0),
        connection_price=get("prices.handshake", float, 0.0),
        listing_price=get("prices.discovery", float, 0.0),
    )
