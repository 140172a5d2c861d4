"""Decides what happens to a work item that was open when its dispatcher went down."""

from heronwinch.ledger.records import DEFERRED, WRITTEN_OFF

RESUME = None  # the work item goes on; the policy module decides about its hand-offs


def decide_open_item(item, now, is_complete, effect):
    """Returns RESUME for a work item (ledger.state.RecordedItem) that goes on, else how it ends: DEFERRED if
    it provably never ran, WRITTEN_OFF if it may have run.

    `is_complete` tells that no row of the store is missing. `effect` is the present effect of its category,
    None if there is no such category any more."""
    accepted = item.accepted
    if not is_complete:
        return WRITTEN_OFF  # the missing rows may hold the intent of a hand-off
    if accepted.given - (now - accepted.when) <= 0 or effect != accepted.effect:
        return WRITTEN_OFF if item.first_possible_run is not None else DEFERRED
    return RESUME
