"""The stages of a return, each with its bound: nobody is waited for longer, whoever never comes back.

The driver calls `look` with what is known, whenever that changes and at `due`. What goes out is the module's
to say; the stages say what is known by then, and what it was gone on without."""

from typing import NamedTuple

from heronwinch.interface import SECOND

STORE, GATHER, OWED, GROWING, ORDINARY = range(5)
NAMES = ("store", "gather", "owed", "growing", "ordinary")


class Bounds(NamedTuple):
    """How long each stage may take at most; nanoseconds."""

    store: int = 6 * SECOND  # the disk may hang: work that needs none is not to wait for it
    gather: int = SECOND // 5  # discovery answers at once where there is news, others within a round trip
    owed: int = SECOND // 2  # it is taken up in one turn; the module hands it off in its order
    growing: int = 60 * SECOND  # up to when workers that started with it are warm


class Known(NamedTuple):
    """What there is to go by."""

    store: bool = False  # it was read
    list: bool = False  # discovery has answered
    view: bool = False  # others were heard, or there are none to hear
    owed: bool = False  # what was open is with the module, or answered
    warm: bool = False  # most workers are


NEEDS = (("store",), ("list", "view"), ("owed",), ("warm",))


class Return:
    def __init__(self, now, bounds=Bounds()):  # noqa: B008 - immutable
        self.bounds = bounds
        self.stage, self.since = STORE, now
        self.without = []  # (stage, what it went on without)
        self.took = {}  # stage -> how long it took

    @property
    def due(self):
        """When the present stage ends at the latest; None after the last."""
        return None if self.stage == ORDINARY else self.since + self.bounds[self.stage]

    @property
    def serves(self):
        """Whether new work is taken: before, neither the list nor what is owed was known."""
        return self.stage >= GROWING

    def look(self, now, known):
        """Goes on as far as that allows; whether the stage has changed."""
        before = self.stage
        while self.stage < ORDINARY:
            missing = [name for name in NEEDS[self.stage] if not getattr(known, name)]
            if missing and now < self.due:
                break
            self.without += [(self.stage, name) for name in missing]
            self.took[self.stage] = now - self.since
            self.stage, self.since = self.stage + 1, now
        return self.stage != before

    def told(self):
        """For operators, in a few words."""
        lacks = ",".join(name for _, name in self.without)
        return f"return {NAMES[self.stage]}" + (f" without {lacks}" if lacks else "")
