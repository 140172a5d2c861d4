"""Converts a configuration for deployments of one kind (load reports come with answers, fixed weights, one
area) to one for the other kind (load reports answer probes only, listed weights change with load, two areas).

Does no I/O.
"""

import copy
from typing import NamedTuple

from heronwinch.protocol.reports import REPORT_FIELD_BY_NAME
from heronwinch.terms import format_setting

TOP_LEVEL_KEYS = ("name", "listen", "mgmt", "discovery", "seed", "limits", "known", "settings")
# Settings that are set whatever the old file says: (path, value, reason).
FORCED_SETTINGS = (
    (("weights",), "live", "listed weights change with load and tell when a worker is busy"),
    (("load_info", "how"), "probe", "load reports answer probes only"),
    (("limits", "probes"), True, "without probes there would be no report at all"),
)
# Settings that the new deployments do not support: (path, the value that replaces it, reason).
UNSUPPORTED_SETTINGS = (
    (("limits", "peers"), False, "dispatchers share nothing"),
    (("prices", "peer"), 0.0, "dispatchers share nothing"),
)
# Parts whose type the conversion relies on. read_config of plan.py checks everything else.
TYPE_BY_PART = {"load_info": dict, "limits": dict, "prices": dict, "areas": list, "realms": list}
TYPE_HINTS = {dict: "object; write it as {...}", list: "list; write it as [...]"}


class MigrationError(ValueError):
    """The old configuration cannot be converted; the text says where and how to correct it."""


class MigrationResult(NamedTuple):
    """The new configuration, with a line for each setting that was changed or left."""

    config: dict
    changed: list[str]
    left: list[str]  # settings not carried over, and settings that the old file does not tell


def migrate_config(old_config, areas=None, area=None, dispatchers=None, fields=None):
    """Converts a configuration; settings that the old one does not hold are given here, or listed as left.

    Raises MigrationError if the old configuration cannot be converted.
    """
    if not isinstance(old_config, dict):
        raise MigrationError("the file is no object; write the configuration as {...}")
    settings = old_config.get("settings")
    if not isinstance(settings, dict):
        raise MigrationError("settings are missing; take them from the operators' file for the deployment")
    for part, part_type in TYPE_BY_PART.items():
        if not isinstance(settings.get(part, part_type()), part_type):
            raise MigrationError(f"settings.{part} is no {TYPE_HINTS[part_type]}")
    config, changed, left = copy.deepcopy(old_config), [], []
    settings = config["settings"]
    for name in [name for name in config if name not in TOP_LEVEL_KEYS]:
        del config[name]
        left.append(f"{name}: not carried over, the dispatcher reads no such key")
    for path, value, reason in FORCED_SETTINGS:
        if _set_setting(settings, path, value):
            changed.append(f"settings.{'.'.join(path)} = {_format_value(value)}: {reason}")
    for path, value, reason in UNSUPPORTED_SETTINGS:
        if _get_setting(settings, path):
            _set_setting(settings, path, value)
            left.append(f"settings.{'.'.join(path)}: not carried over, {reason}")
    _set_report_fields(settings, fields, changed, left)
    for name, value in (("areas", areas), ("az", area), ("siblings", dispatchers)):
        if value not in (None, []) and _set_setting(settings, (name,), value):
            changed.append(f"settings.{name} = {_format_value(value)}: as given")
    _list_unknown_settings(settings, dispatchers, left)
    return MigrationResult(config, changed, left)


def _set_report_fields(settings, fields, changed, left):
    """Sets the fields of load reports if they are given, and checks that they hold the free slots."""
    if fields and _set_setting(settings, ("load_info", "fields"), fields):
        changed.append(f"settings.load_info.fields = {_format_value(fields)}: as given")
    field_names = settings["load_info"].get("fields", [])
    if not isinstance(field_names, list):
        raise MigrationError(f"settings.load_info.fields is no {TYPE_HINTS[list]}")
    if not any(REPORT_FIELD_BY_NAME.get(str(name)) == "free_slots" for name in field_names):
        left.append(
            "settings.load_info.fields: x0 (the free slots) is not among them, so slots stay unknown; "
            "name the fields with --fields"
        )


def _list_unknown_settings(settings, dispatchers, left):
    """Lists the settings that the new deployments need and the old configuration does not hold.

    Raises MigrationError if the dispatcher's own area is not among the areas.
    """
    areas = settings.get("areas", [])
    own_area = settings.get("az", 0)
    if len(areas) < 2:
        left.append("settings.areas: the old file has one area; name both with --areas FIRST,SECOND")
    elif own_area not in areas and not (isinstance(own_area, int) and 0 <= own_area < len(areas)):
        raise MigrationError(
            f"settings.az is {own_area!r}, none of {', '.join(map(str, areas))}; name it with --area"
        )
    elif "az" not in settings:
        left.append("settings.az: the area of this dispatcher is not known; name it with --area")
    if "cross_zone" not in settings.get("prices", {}):
        left.append(
            "settings.prices.cross_zone: the old file has no price for crossing areas; without "
            "one no work item is kept in its own area"
        )
    if dispatchers is None and settings.get("siblings", 1) == 1:
        left.append(
            "settings.siblings: one dispatcher; if there are more, cold workers get more work "
            "than they can stand, so give their number with --dispatchers"
        )
    realms = settings.get("realms", [])
    if not all(isinstance(realm, dict) and "allowance_per_s" in realm for realm in realms):
        left.append("settings.realms: an account without allowance_per_s has no share that can be enforced")


def _get_setting(tree, path):
    """Returns the value at a path, or None if there is none."""
    for name in path:
        tree = tree.get(name) if isinstance(tree, dict) else None
    return tree


def _set_setting(tree, path, value):
    """Sets the value at a path; returns whether that changed anything."""
    for name in path[:-1]:
        tree = tree.setdefault(name, {})
    if path[-1] in tree and tree[path[-1]] == value and type(tree[path[-1]]) is type(value):
        return False
    tree[path[-1]] = value
    return True


def _format_value(value):
    return ",".join(map(format_setting, value)) if isinstance(value, list) else format_setting(value)
