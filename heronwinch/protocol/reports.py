"""Parsing of load reports: from a header or a probe's body (name=value,name=value) or a JSON object."""

import json

from heronwinch.interface import Report

MAX_FIGURE = 1e9  # upper limit: one garbled figure must not give a worker unlimited capacity
# The same figure has one name in the operators' settings and another on sockets.
REPORT_FIELD_BY_NAME = {
    "x0": "free_slots",
    "x1": "free_memory",
    "pending": "waiting",
    "queue": "waiting",
    "busy_reqs": "held",
    "inflight": "held",
    "svc_ms": "service_time",
    "latency_ms": "service_time",
}


def parse_report(text):
    """Returns the Report in `text`, None if it holds no known figure."""
    text = text.strip()
    if text.startswith("{"):
        try:
            return build_report(json.loads(text))
        except (ValueError, RecursionError):
            return None
    pairs = (part.partition("=") for part in text.split(","))
    return build_report({name.strip(): value for name, _, value in pairs})


def build_report(figures):
    """Returns the Report of a dict of figures, None if it holds no known figure."""
    if not isinstance(figures, dict):
        return None
    known = {}
    for name, value in figures.items():
        if name not in REPORT_FIELD_BY_NAME:
            continue
        try:
            value = float(value)
        except (TypeError, ValueError, OverflowError):
            continue
        if 0 <= value < MAX_FIGURE:  # False for nan too
            known[REPORT_FIELD_BY_NAME[name]] = (
                round(value * 1e6) if REPORT_FIELD_BY_NAME[name] == "service_time" else value
            )
    return Report(**known) if known else None
