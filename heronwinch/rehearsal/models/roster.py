"""A model of discovery without I/O: the versioned list of workers, and what dispatchers were told of it."""

from typing import NamedTuple


class RosterEntry(NamedTuple):
    """A worker as it stands in the list."""

    host: str
    dial: str
    area: str
    kind: str
    pod: int
    health: str
    weight: float
    born_ms: int

    def to_tree(self):
        """The entry as discovery sends it in JSON."""
        return {
            "host": self.host,
            "dial": self.dial,
            "site": self.area,
            "class": self.kind,
            "block": self.pod,
            "health": self.health,
            "share": self.weight,
            "born_ms": self.born_ms,
        }


class Roster:
    """The list of workers. Each change has a version, and becomes visible `lag` nanoseconds after it is made.

    A watch from a version older than the changes kept is answered with the whole list.
    """

    MAX_KEPT_CHANGES = 1024

    def __init__(self, lag=0):
        self.lag = lag
        self.version = 1
        self.changes = []  # (visible from, version, RosterEntry), in order
        self.last_dropped_version = 1  # the newest version whose change is no longer kept
        self.visible_entries = {}  # host -> RosterEntry
        self.visible_version = 1
        self.visible_change_count = 0  # how many of `changes` are visible
        # dispatcher -> host -> [[when it was told that the worker leaves, that it is back (or None)], ...]
        self.removal_periods = {}
        self.start_notices = {}  # (dispatcher, host) -> {born_ms: when it was first told of that start}
        self.active_outages = 0  # outages of discovery in force

    def install(self, entries):
        """Sets the list at the start."""
        for entry in entries:
            self.visible_entries[entry.host] = entry

    def add_change(self, now, entry):
        """Adds a change: a worker is new, altered or, with health `terminated`, gone."""
        self.version += 1
        visible_from = max(now + self.lag, self.changes[-1][0] if self.changes else 0)
        self.changes.append((visible_from, self.version, entry))

    def apply_due_changes(self, now):
        """Makes the changes due by now visible, and returns whether there were any."""
        old_count = self.visible_change_count
        while (
            self.visible_change_count < len(self.changes)
            and self.changes[self.visible_change_count][0] <= now
        ):
            _, self.visible_version, entry = self.changes[self.visible_change_count]
            if entry.health == "terminated":
                self.visible_entries.pop(entry.host, None)
            else:
                self.visible_entries[entry.host] = entry
            self.visible_change_count += 1
        if (
            len(self.changes) > 2 * self.MAX_KEPT_CHANGES
            and self.visible_change_count > self.MAX_KEPT_CHANGES
        ):
            self.last_dropped_version = self.changes[self.MAX_KEPT_CHANGES - 1][1]
            del self.changes[: self.MAX_KEPT_CHANGES]
            self.visible_change_count -= self.MAX_KEPT_CHANGES
        return self.visible_change_count != old_count

    def get_next_change_at(self):
        """When the next change becomes visible, or None."""
        return (
            self.changes[self.visible_change_count][0]
            if self.visible_change_count < len(self.changes)
            else None
        )

    def build_full_answer(self, now):
        """The whole list as it is visible now."""
        self.apply_due_changes(now)
        return self._build_answer(True, self.visible_entries.values())

    def build_watch_answer(self, now, version):
        """The answer to a watch from a version, or None while nothing is newer."""
        self.apply_due_changes(now)
        if version == self.visible_version:
            return None
        if version > self.visible_version or version < self.last_dropped_version:
            return self._build_answer(True, self.visible_entries.values())
        latest_entries = {}
        for _, change_version, entry in self.changes[: self.visible_change_count]:
            if change_version > version:
                latest_entries.pop(entry.host, None)
                latest_entries[entry.host] = entry
        return self._build_answer(False, latest_entries.values())

    def build_empty_answer(self, now):
        """The answer to a watch that has waited long enough without a change."""
        self.apply_due_changes(now)
        return self._build_answer(False, ())

    def _build_answer(self, whole, entries):
        return {"seq": self.visible_version, "whole": whole, "hosts": [entry.to_tree() for entry in entries]}

    def record_starts_told(self, now, dispatcher, tree):
        """Records of which starts of workers a list tells a dispatcher."""
        for entry in tree["hosts"]:
            if entry["born_ms"]:
                notices = self.start_notices.setdefault((dispatcher, entry["host"]), {})
                notices.setdefault(entry["born_ms"], now)

    def record_told(self, now, dispatcher, tree):
        """Records that an answer was written to a dispatcher, which knows from now on who leaves.

        A worker that is back after it left counts as another one.
        """
        self.record_starts_told(now, dispatcher, tree)
        periods_by_host = self.removal_periods.setdefault(dispatcher, {})
        listed_hosts = set()
        for entry in tree["hosts"]:
            listed_hosts.add(entry["host"])
            periods = periods_by_host.setdefault(entry["host"], [])
            is_leaving = entry["health"] != "in_service"
            if is_leaving and (not periods or periods[-1][1] is not None):
                periods.append([now, None])
            elif not is_leaving and periods and periods[-1][1] is None:
                periods[-1][1] = now
        if tree["whole"]:
            for host, periods in periods_by_host.items():
                if host not in listed_hosts and (not periods or periods[-1][1] is not None):
                    periods.append([now, None])
