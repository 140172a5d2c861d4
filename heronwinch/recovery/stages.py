"""The stages in which service resumes after a loss of power. Each has a time limit, so that a peer that does
not return cannot delay the recovery beyond it.

The driver (net/recovery.py) calls `advance` with the present progress whenever that changes, and at
`deadline`. The stages only tell what is known by then and what was skipped; which hand-offs are made is
decided by the policy module."""

from typing import NamedTuple

from heronwinch.interface import SECOND

# Stages in order: reading the store, gathering the list of workers and the membership view, settling open
# work items, waiting until workers are warm, normal service.
READING_STORE, GATHERING, RESUMING, WARMING_UP, NORMAL = range(5)
STAGE_NAMES = ("store", "gather", "owed", "growing", "ordinary")


class StageBounds(NamedTuple):
    """The time limit of each stage in nanoseconds."""

    store: int = 6 * SECOND  # the disk may hang, and work that needs no disk must not wait for it
    gather: int = SECOND // 5  # discovery answers a changed list at once, members within a round trip
    owed: int = SECOND // 2  # open items are resumed in one event loop turn; the module orders the hand-offs
    growing: int = 60 * SECOND  # workers that started with the dispatcher are warm by then


class RecoveryProgress(NamedTuple):
    """What is known so far. The names of the fields are shown to operators as what was skipped."""

    store: bool = False  # the store was read
    list: bool = False  # discovery has answered
    view: bool = False  # a member was heard, or there is none to hear
    owed: bool = False  # open work items are with the module or answered
    warm: bool = False  # most workers are warm


# By stage: the fields of RecoveryProgress that end it before its time limit.
STAGE_NEEDS = (("store",), ("list", "view"), ("owed",), ("warm",))


class StagedRecovery:
    """The state machine of the recovery: the present stage, and what was skipped. Times are nanoseconds."""

    def __init__(self, now, bounds=StageBounds()):  # noqa: B008 - immutable
        self.bounds = bounds
        self.stage, self.stage_began_at = READING_STORE, now
        self.skipped = []  # (stage, name of what was still missing at its time limit)
        self.stage_durations = {}  # stage -> nanoseconds that it took

    @property
    def deadline(self):
        """The latest time at which the present stage ends; None in the last stage."""
        return None if self.stage == NORMAL else self.stage_began_at + self.bounds[self.stage]

    @property
    def can_serve(self):
        """Whether new work is accepted: in earlier stages the list of workers and the open work items are not
        known."""
        return self.stage >= WARMING_UP

    def advance(self, now, progress):
        """Advances by as many stages as the progress and the time limits allow. Returns whether the stage has
        changed."""
        previous_stage = self.stage
        while self.stage < NORMAL:
            missing = [name for name in STAGE_NEEDS[self.stage] if not getattr(progress, name)]
            if missing and now < self.deadline:
                break
            self.skipped += [(self.stage, name) for name in missing]
            self.stage_durations[self.stage] = now - self.stage_began_at
            self.stage, self.stage_began_at = self.stage + 1, now
        return self.stage != previous_stage

    def describe(self):
        """Returns the stage and what was skipped, for operators."""
        skipped_names = ",".join(name for _, name in self.skipped)
        return f"return {STAGE_NAMES[self.stage]}" + (f" without {skipped_names}" if skipped_names else "")
