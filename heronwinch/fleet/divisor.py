"""The number by which a dispatcher divides budgets that all dispatchers share. No I/O, time is passed in.

Budgets that members on the far side of a network cut may spend must not be shared out a second time, and a
cut looks like a death. The divisor therefore counts the roster rather than the visible members: everybody
ever met who has not announced that it left, and who may still send work. docs/design/view.md derives that
the shares then add up to at most 1 in every partition.
"""

from heronwinch.fleet.messages import LEFT
from heronwinch.interface import SECOND

SETTLE_NS = 10 * SECOND  # longer than an update takes to reach all members, or all take to notice a cut
SUCCESSION_WAIT_NS = 3 * SECOND  # time within which a live predecessor of the same name would have objected


class BudgetDivisor:
    """`value` is the divisor, 0 while this dispatcher may spend none of the shared budgets.

    `update` is to be called after each change of the view, and periodically, as time alone can change it.
    """

    def __init__(self, is_alone, settle_ns=SETTLE_NS):
        self.settle_ns = settle_ns
        self.is_admitted = is_alone  # a fleet configured without other members needs no wait
        self.stable_since = None  # when the roster last changed or had a missing member
        self.roster = frozenset()
        self.recent_sizes = []  # (expires_at, size): the divisor grows at once and shrinks after settle_ns
        self.value = 1 if is_alone else 0

    def update(self, now, view):
        """Recomputes `value` from the view and returns it."""
        table = view.table
        roster = frozenset([record.name for record in table.records.values() if record.state != LEFT])
        has_missing = len(roster) > table.present_count
        if roster != self.roster or has_missing or table.present_count < 2:
            self.stable_since = now
        self.roster = roster
        # A successor takes over the share of its predecessor, which is on the roster already.
        is_successor = view.succession_since is not None and now - view.succession_since >= SUCCESSION_WAIT_NS
        if not self.is_admitted and (is_successor or now - self.stable_since >= self.settle_ns):
            self.is_admitted = not table.has_yielded_name
        roster_size = len(roster)
        self.recent_sizes = [
            (expires_at, size)
            for expires_at, size in self.recent_sizes
            if expires_at > now and size > roster_size
        ]
        self.recent_sizes.append((now + self.settle_ns, roster_size))
        roster_size = max(size for _, size in self.recent_sizes)
        self.value = 0 if table.has_yielded_name or not self.is_admitted else max(1, roster_size)
        return self.value
