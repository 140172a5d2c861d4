"""What a dispatcher is told: the configuration that RELAY_* name, read and judged."""

import json
from typing import NamedTuple

from heronwinch import interface as it
from heronwinch.protocol.discovery import BadList, Listing, as_address, as_listing
from heronwinch.terms import Names, SettingsError, from_tree, read_names, read_terms


class PlanError(ValueError):
    """The configuration cannot be used."""


class Plan(NamedTuple):
    name: str
    listen: tuple[str, int]
    listen_fd: int | None  # a descriptor that listens there already
    mgmt: tuple[str, int] | None  # where operators call
    discovery: tuple[str, int]
    seed: int
    sockets: int
    memory_mb: int
    known: Listing
    terms: it.Terms
    names: Names


def read_file(path):
    with open(path, encoding="utf-8") as file:
        return file.read()


def read_plan(environ, again=False, read=read_file):
    """All that a dispatcher is told. The variables come before the file, which holds the same and more; read
    again, the file says where discovery is now."""
    path = environ.get("RELAY_CONFIG")
    if not path:
        raise PlanError("RELAY_CONFIG is not set")
    try:
        tree = json.loads(read(path))
    except (OSError, ValueError, RecursionError) as fault:
        raise PlanError(f"cannot read {path}: {fault}") from None
    if not isinstance(tree, dict) or not isinstance(tree.get("settings"), dict):
        raise PlanError(f"{path}: settings are missing")
    discovery = environ.get("RELAY_DISCOVERY"), tree.get("discovery")
    mgmt = environ.get("RELAY_MGMT") or tree.get("mgmt")
    try:
        values = from_tree(tree["settings"])
        return Plan(
            name=environ.get("RELAY_NAME") or str(tree.get("name", "")),
            listen=_address("listen", environ.get("RELAY_LISTEN") or tree.get("listen")),
            listen_fd=_descriptor(environ.get("RELAY_LISTEN_FD")),
            mgmt=_address("mgmt", mgmt) if mgmt else None,
            discovery=_address("discovery", discovery[again] or discovery[not again]),
            seed=int(str(tree.get("seed", "0")), 16),
            sockets=int(tree.get("limits", {}).get("sockets", 1024)),
            memory_mb=int(tree.get("limits", {}).get("memory_mb", 192)),
            known=as_listing(tree.get("known") or {"seq": 0, "whole": True, "hosts": []}),
            terms=read_terms(values),
            names=read_names(values),
        )
    except (SettingsError, BadList, PlanError) as fault:
        raise PlanError(f"{path}: {fault}") from None
    except (ValueError, TypeError, AttributeError, OverflowError, RecursionError) as fault:
        raise PlanError(f"{path}: {type(fault).__name__}: {fault}") from None


def _address(name, text):
    try:
        return as_address(str(text or ""))
    except ValueError:
        raise PlanError(f"{name} is no address: {text!r}") from None


def _descriptor(text):
    if not text:
        return None
    if not (text.isascii() and text.isdecimal() and len(text) < 8):
        raise PlanError(f"RELAY_LISTEN_FD is no descriptor: {text!r}; write the number of a listening socket")
    return int(text)
