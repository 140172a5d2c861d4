"""The configuration of a dispatcher: reads and validates the file and variables that RELAY_* name."""

import json
from math import inf
from typing import NamedTuple

from heronwinch import interface
from heronwinch.protocol.discovery import Listing, WorkerListError, build_listing, parse_address
from heronwinch.terms import NumberedNames, SettingsError, flatten_settings, read_names, read_terms

# Paths that the file has to have, even where a variable overrides the value: a file without one is truncated.
REQUIRED_PATHS = (
    "name",
    "listen",
    "discovery",
    "seed",
    "known",
    "known.seq",
    "known.whole",
    "known.hosts",
    "limits.cores",
    "limits.memory_mb",
    "limits.sockets",
    "settings.categories",
    "settings.limits.most_hand_offs",
)
# Paths whose values have to be numbers above 0, and such keys of each category.
POSITIVE_PATHS = (
    "limits.cores",
    "limits.memory_mb",
    "limits.sockets",
    "settings.limits.most_hand_offs",
    "settings.tick_ns",
)
POSITIVE_CATEGORY_KEYS = ("due_time_ns", "expiry_ns")
# Keys that a ticketed category has to have: their defaults would promise what no operator has confirmed.
REQUIRED_TICKETED_KEYS = ("group", "window_ns")


class ConfigError(ValueError):
    """The configuration is invalid. The message says where and how to mend it."""


class FleetConfig(NamedTuple):
    """How dispatchers reach each other (section `fleet`)."""

    name: str  # name of the fleet; messages of other fleets are dropped
    listen: tuple[str, int]  # address for datagrams and for the streams that carry whole views
    advertised: str  # the address that other dispatchers are told, host:port
    members: tuple[str, ...]  # addresses to contact first, in any order; some may be dead


class LedgerConfig(NamedTuple):
    """Where the ledger is stored (section `ledger`)."""

    path: str  # the store: a file used by this dispatcher alone, on a disk that survives power loss


class Config(NamedTuple):
    """The validated configuration of one dispatcher."""

    path: str
    setting_paths: frozenset[str]  # every path in the file's settings and limits
    name: str
    listen: tuple[str, int]
    listen_fd: int | None  # the descriptor of an inherited listening socket
    mgmt: tuple[str, int] | None  # where operators' calls are accepted
    discovery: tuple[str, int]
    seed: int
    sockets: int  # how many sockets the dispatcher may use
    memory_mb: int
    known: Listing  # the workers to start with, until discovery answers
    terms: interface.Terms
    names: NumberedNames
    fleet: FleetConfig | None = None
    ledger: LedgerConfig | None = None


def read_text_file(path):
    """Returns the text of a UTF-8 file."""
    with open(path, encoding="utf-8") as file:
        return file.read()


def read_config(environ, is_reload=False, read=read_text_file):
    """Returns the Config that the environment variables and the file RELAY_CONFIG describe. Raises
    ConfigError.

    Variables override the file, except that at a reload the file's address of discovery overrides the
    variable: discovery may have moved."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise ConfigError("RELAY_CONFIG is not set")
    try:
        tree = json.loads(read(path))
    except (OSError, ValueError, RecursionError) as error:
        raise ConfigError(f"cannot read {path}: {error}") from None
    if not isinstance(tree, dict) or not isinstance(tree.get("settings"), dict):
        raise ConfigError(f"{path}: settings are missing")
    discovery = environ.get("RELAY_DISCOVERY"), tree.get("discovery")
    mgmt = environ.get("RELAY_MGMT") or tree.get("mgmt")
    try:
        values = flatten_settings(tree["settings"])
        config = Config(
            path=path,
            setting_paths=frozenset(_list_paths({name: tree.get(name) for name in ("settings", "limits")})),
            name=environ.get("RELAY_NAME") or str(tree.get("name", "")),
            listen=_parse_address("listen", environ.get("RELAY_LISTEN") or tree.get("listen")),
            listen_fd=_parse_descriptor(environ.get("RELAY_LISTEN_FD")),
            mgmt=_parse_address("mgmt", mgmt) if mgmt else None,
            discovery=_parse_address("discovery", discovery[is_reload] or discovery[not is_reload]),
            seed=int(str(tree.get("seed", "0")), 16),
            sockets=int(tree.get("limits", {}).get("sockets", 1024)),
            memory_mb=int(tree.get("limits", {}).get("memory_mb", 192)),
            known=build_listing(tree.get("known") or {"seq": 0, "whole": True, "hosts": []}),
            terms=read_terms(values),
            names=read_names(values),
            fleet=_read_fleet_section(tree),
            ledger=_read_ledger_section(tree, environ),
        )
        _check_values(tree)
        return config
    except (SettingsError, WorkerListError, ConfigError) as error:
        raise ConfigError(f"{path}: {error}") from None
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as error:
        raise ConfigError(f"{path}: {type(error).__name__}: {error}") from None


def check_no_setting_lost(new, old):
    """Raises ConfigError if the new file lacks a setting that the file in force has: it was more likely lost
    than left out on purpose."""
    if missing := sorted(old.setting_paths - new.setting_paths):
        raise ConfigError(f"{new.path}: {missing[0]} is missing; the file in force has it")


def _check_values(tree):
    """Raises ConfigError for a missing path or a number that is not above 0."""
    for path in REQUIRED_PATHS:
        _get_value_at_path(tree, path)
    for path in POSITIVE_PATHS:
        _check_positive(path, _get_value_at_path(tree, path))
    for i, category in enumerate(tree["settings"]["categories"]):
        place = f"settings.categories.{i}."
        for name in POSITIVE_CATEGORY_KEYS:
            _check_positive(place + name, category[name])
        for name in REQUIRED_TICKETED_KEYS if category["effect"] == "dedup" else ():
            if name not in category:
                raise ConfigError(f"{place}{name} is missing; a ticketed category needs it")


def _get_value_at_path(tree, path):
    """Returns the value at a dotted path; raises ConfigError if it is missing."""
    for name in path.split("."):
        if not isinstance(tree, dict) or name not in tree:
            raise ConfigError(f"{path} is missing; write it as in examples/config.json")
        tree = tree[name]
    return tree


def _check_positive(path, value):
    if isinstance(value, bool) or not isinstance(value, int | float) or not 0 < value < inf:
        raise ConfigError(f"{path} is {value!r}; write a number above 0")


def _list_paths(value, path=""):
    """Yields the dotted paths of all keys; of a list of objects only those that every object has."""
    if isinstance(value, dict):
        for name, part in value.items():
            yield path + name
            yield from _list_paths(part, f"{path}{name}.")
    elif isinstance(value, list) and value and all(isinstance(part, dict) for part in value):
        yield from set.intersection(*(set(_list_paths(part, path)) for part in value))


def _parse_address(name, text):
    """Returns the host and port of the setting `name`; raises ConfigError for other text."""
    try:
        return parse_address(str(text or ""))
    except ValueError:
        raise ConfigError(f"{name} is no address: {text!r}") from None


FLEET_KEYS = ("name", "listen", "told", "members")


def _read_fleet_section(tree):
    """Returns the FleetConfig of the section `fleet`, None without the section."""
    if "fleet" not in tree:
        return None
    section = tree["fleet"]
    if not isinstance(section, dict):
        raise ConfigError(f"fleet is {section!r}; write an object with {', '.join(FLEET_KEYS)}")
    limits = tree["settings"].get("limits")
    if isinstance(limits, dict) and limits.get("peers") is False:
        raise ConfigError("fleet: settings.limits.peers is false, so dispatchers may not talk; take it out")
    for key in section:
        if key not in FLEET_KEYS:
            raise ConfigError(f"fleet.{key}: nothing is called so; there are {', '.join(FLEET_KEYS)}")
    for key in ("name", "listen"):
        if not isinstance(section.get(key), str) or not 0 < len(section[key]) <= 64:
            raise ConfigError(f"fleet.{key} is {section.get(key)!r}; write 1 to 64 characters")
    if not 0 < len(str(tree.get("name", ""))) <= 64:
        raise ConfigError("fleet: name is missing or longer than 64 characters; members go by it")
    members = section.get("members", [])
    if not isinstance(members, list) or not all(isinstance(member, str) for member in members):
        raise ConfigError(f"fleet.members is {members!r}; write a list of addresses")
    addresses = [_parse_address(f"fleet.members[{i}]", member) for i, member in enumerate(members)]
    listen = _parse_address("fleet.listen", section["listen"])
    advertised = _parse_address("fleet.told", section["told"]) if "told" in section else listen
    if not listen[1] or not advertised[1]:
        raise ConfigError("fleet.listen: a port is not 0, as others are told of it")
    from ipaddress import ip_address  # imported only for this section

    for host, _ in (listen, advertised, *addresses):
        try:
            ip_address(host)
        except ValueError:
            raise ConfigError(f"fleet: {host} is a name; write the number of its address") from None
    host, port = advertised
    return FleetConfig(
        section["name"], listen, f"{host}:{port}", tuple(f"{host}:{port}" for host, port in addresses)
    )


def _read_ledger_section(tree, environ):
    """Returns the LedgerConfig of the section `ledger`, None without the section."""
    if "ledger" not in tree:
        return None
    section = tree["ledger"]
    if not isinstance(section, dict):
        raise ConfigError(f"ledger is {section!r}; write an object with path")
    for key in section:
        if key != "path":
            raise ConfigError(f"ledger.{key}: nothing is called so; there is path")
    path = section.get("path")
    if not isinstance(path, str) or not path or "\0" in path:
        raise ConfigError(f"ledger.path is {path!r}; write the file that the store is to be")
    if environ.get("RELAY_LISTEN_FD"):
        raise ConfigError(
            "ledger: a process that is replaced while it serves (RELAY_LISTEN_FD) cannot keep "
            "one yet, as both would write it; take either out"
        )
    return LedgerConfig(path)


def _parse_descriptor(text):
    """Returns the number of the inherited socket, None without one; raises ConfigError for other text."""
    if not text:
        return None
    if not (text.isascii() and text.isdecimal() and len(text) < 8):
        raise ConfigError(
            f"RELAY_LISTEN_FD is no descriptor: {text!r}; write the number of a listening socket"
        )
    return int(text)
