"""Lengths of time as people write them: 200us, 15ms, 1.5s, 2m, 1h."""

import re

UNITS = {
    "ns": 1,
    "us": 1_000,
    "ms": 1_000_000,
    "s": 1_000_000_000,
    "m": 60_000_000_000,
    "h": 3_600_000_000_000,
}
FORM = re.compile(r"([0-9]+(?:\.[0-9]+)?)\s*(ns|us|ms|s|m|h)")


class Span(int):
    """Whole nanoseconds, written with a unit."""


def as_span(text):
    """Raises ValueError with the mend."""
    if isinstance(text, int) and not isinstance(text, bool) and text == 0:
        return Span(0)
    found = FORM.fullmatch(text.strip()) if isinstance(text, str) else None
    if found is None:
        raise ValueError(f"{text!r} is no length of time; write a number and a unit, as 250ms, 15s or 2m")
    return Span(round(float(found[1]) * UNITS[found[2]]))


def as_text(span):
    """The shortest form that gives the same length again."""
    span = int(span)
    for unit in ("h", "m", "s", "ms", "us", "ns"):
        if span and span % UNITS[unit] == 0:
            return f"{span // UNITS[unit]}{unit}"
    return "0s"
