"""Discovery without I/O: the list of workers, its versions, how late it is seen, what was told to whom."""

from typing import NamedTuple


class Listed(NamedTuple):
    """A worker as the list has it."""

    host: str
    dial: str
    area: str
    kind: str
    pod: int
    health: str
    weight: float
    born_ms: int

    def as_tree(self):
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
    """Each change has a version and is seen `lag` nanoseconds after it was made. A watch that asks from a
    version too old to be told of changes alone is answered with the whole list."""

    KEPT = 1024  # changes in mind

    def __init__(self, lag=0):
        self.lag = lag
        self.version = 1
        self.changes = []  # (seen from, version, Listed), in order
        self.dropped = 1  # the last version whose change is no longer in mind
        self.seen = {}  # host -> Listed, as it is seen
        self.seen_version = 1
        self.due = 0  # of the changes, how many are seen
        self.told = {}  # dispatcher -> host -> when it was first told that it leaves
        self.failing = 0  # outages that act

    def install(self, entries):
        """The list at the start."""
        for entry in entries:
            self.seen[entry.host] = entry

    def change(self, now, entry):
        """A worker is other than it was, new, or (`terminated`) gone."""
        self.version += 1
        seen = max(now + self.lag, self.changes[-1][0] if self.changes else 0)
        self.changes.append((seen, self.version, entry))

    def look(self, now):
        """Brings what is seen up to now; whether there was anything new."""
        before = self.due
        while self.due < len(self.changes) and self.changes[self.due][0] <= now:
            _, self.seen_version, entry = self.changes[self.due]
            if entry.health == "terminated":
                self.seen.pop(entry.host, None)
            else:
                self.seen[entry.host] = entry
            self.due += 1
        if len(self.changes) > 2 * self.KEPT and self.due > self.KEPT:
            self.dropped = self.changes[self.KEPT - 1][1]
            del self.changes[: self.KEPT]
            self.due -= self.KEPT
        return self.due != before

    def next_at(self):
        """When something more will be seen, or None."""
        return self.changes[self.due][0] if self.due < len(self.changes) else None

    def whole(self, now):
        self.look(now)
        return self._tree(True, self.seen.values())

    def news(self, now, version):
        """The answer to a watch from a version, None while there is nothing newer."""
        self.look(now)
        if version == self.seen_version:
            return None
        if version > self.seen_version or version < self.dropped:
            return self._tree(True, self.seen.values())
        latest = {}
        for _, number, entry in self.changes[: self.due]:
            if number > version:
                latest.pop(entry.host, None)
                latest[entry.host] = entry
        return self._tree(False, latest.values())

    def nothing(self, now):
        self.look(now)
        return self._tree(False, ())

    def _tree(self, whole, entries):
        return {"seq": self.seen_version, "whole": whole, "hosts": [entry.as_tree() for entry in entries]}

    def tell(self, now, dispatcher, tree):
        """This was written to that dispatcher: from now on it knows who leaves. A worker that is back is
        another one."""
        told = self.told.setdefault(dispatcher, {})
        named = set()
        for entry in tree["hosts"]:
            named.add(entry["host"])
            spells = told.setdefault(entry["host"], [])
            leaving = entry["health"] != "in_service"
            if leaving and (not spells or spells[-1][1] is not None):
                spells.append([now, None])
            elif not leaving and spells and spells[-1][1] is None:
                spells[-1][1] = now
        if tree["whole"]:
            for host, spells in told.items():
                if host not in named and (not spells or spells[-1][1] is not None):
                    spells.append([now, None])
