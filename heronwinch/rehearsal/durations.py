"""Durations as text with a unit: 200us, 15ms, 1.5s, 2m, 1h."""

import re

NS_PER_UNIT = {
    "ns": 1,
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "m": 60_000_000_000,
    "h": 3_600_000_000_000,
}
DURATION_PATTERN = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(ns|us|ms|s|m|h)")


class Duration(int):
    """A duration in whole nanoseconds, which scripts write with a unit."""


def parse_duration(text):
    """Reads a duration; 0 needs no unit. Raises ValueError, whose message says the fix."""
    if isinstance(text, int) and not isinstance(text, bool) and text == 0:
        return Duration(0)
    match = DURATION_PATTERN.fullmatch(text.strip()) if isinstance(text, str) else None
    if match is None:
        raise ValueError(f"{text!r} is not a duration; write a number and a unit, as 250ms, 15s or 2m")
    return Duration(round(float(match[1]) * NS_PER_UNIT[match[2]]))


def format_duration(duration):
    """Formats a duration in the largest unit in which it is a whole number."""
    duration = int(duration)
    for unit in ("h", "m", "s", "ms", "us", "ns"):
        if duration and duration % NS_PER_UNIT[unit] == 0:
            return f"{duration // NS_PER_UNIT[unit]}{unit}"
    return "0s"
