"""Faults planted in the program, at least one for each rule: a checker that does not report them is wrong.

Each function returns a context manager that replaces a method of the program while it lasts. This happens in
memory and in rehearsals only.
"""

import contextlib

from heronwinch import interface, policy
from heronwinch.net import client, engine, workers
from heronwinch.slow_start import Allowance


@contextlib.contextmanager
def _replaced_method(owner, name, make_replacement):
    """Replaces a method with what `make_replacement` returns for the original, while the context lasts."""
    original = getattr(owner, name)
    setattr(owner, name, make_replacement(original))
    try:
        yield
    finally:
        setattr(owner, name, original)


def hand_off_uncertain_work_again():
    """Hands work off again although it may have run, exclusive work too."""

    def make_replacement(original):
        def may_hand_off_again(self, wi):
            return len(wi.hand_offs) < self.terms.most_hand_offs and self.now < wi.expiry

        return may_hand_off_again

    return _replaced_method(policy.Dispatcher, "_may_hand_off_again", make_replacement)


def defer_uncertain_work():
    """Defers work that may have run, as if a retry were harmless."""

    def make_replacement(original):
        return lambda self, wi: policy.Defer(wi.id, 0)

    return _replaced_method(policy.Dispatcher, "_build_final_answer", make_replacement)


def drop_answer_on_reset():
    """Closes the client's connection without an answer when the connection to the worker is reset."""

    def make_replacement(original):
        def record_outcome(self, item, number, worker, completion, elapsed):
            if completion.outcome == interface.Outcome.RESET and not item.ended:
                item.expiry_timer.cancel()
                item.ended = True
                client, item.client = item.client, None
                client.item = None
                client.writer.transport.abort()
            original(self, item, number, worker, completion, elapsed)

        return record_outcome

    return _replaced_method(engine.Engine, "record_outcome", make_replacement)


def hold_answers_back():
    """Sends answers other than 200 so late that the work item's expiry has long passed."""

    def make_replacement(original):
        def send_answer(self, status, body=b"", headers=(), close=False):
            if (
                status != 200
                and body != b"late"
                and self.item is None
                and self.protocol.has_unanswered_request
            ):
                self.engine.loop.call_later(8.0, original, self, status, b"late", headers, close)
            else:
                original(self, status, body, headers, close)

        return send_answer

    return _replaced_method(client.Client, "_send_answer", make_replacement)


def use_draining_workers():
    """Goes on using a worker that discovery reports as draining."""

    def make_replacement(original):
        def update_entry(self, worker, entry, told_at):
            standing = (
                interface.Standing.READY if entry.standing == interface.Standing.DRAINING else entry.standing
            )
            original(self, worker, entry._replace(standing=standing), told_at)

        return update_entry

    return _replaced_method(workers.Workers, "_update_entry", make_replacement)


def ignore_slow_start():
    """Ignores the budget of workers in slow start."""

    def make_replacement(original):
        return lambda self, worker, wi: True

    return _replaced_method(policy.Dispatcher, "_may_send_in_slow_start", make_replacement)


def duplicate_hand_offs():
    """Sends a copy of a hand-off to another worker before the first has answered."""

    def make_replacement(original):
        def start_hand_off(self, item, number, worker, until, patience, respond_by):
            original(self, item, number, worker, until, patience, respond_by)
            if len(self.by_number) > 1 and not item.in_flight > 1:
                other = next(candidate for candidate in self.by_number if candidate != worker)
                connecting = self._connect(self.by_number[other], until)

                async def send_copy():
                    with contextlib.suppress(workers.UnreachableError):
                        opened = await connecting
                        opened.writer.write(opened.protocol.encode_hand_off(item.job, 1.0))

                self.engine.loop.create_task(send_copy())

        return start_hand_off

    return _replaced_method(workers.Workers, "start_hand_off", make_replacement)


@contextlib.contextmanager
def ignore_leaving_clients():
    """Ignores that a client has left: the module isn't told, and nothing checks for it before a hand-off."""

    def make_deaf(original):
        return lambda self, item: None

    def make_blind(original):
        return lambda self: False

    with (
        _replaced_method(engine.Engine, "handle_client_left", make_deaf),
        _replaced_method(client.Client, "has_unread_input", make_blind),
    ):
        yield


def return_wrong_result():
    """Gives a client the result of another work item."""

    def make_replacement(original):
        return lambda self, result: original(self, b"somebody else's")

    return _replaced_method(client.Client, "finish", make_replacement)


def sample_all_workers():
    """Makes a dispatcher take all workers for its sample, however many there are."""

    def make_replacement(original):
        return lambda self, workers: list(workers)

    return _replaced_method(policy.Dispatcher, "_sample_workers", make_replacement)


def ignore_other_dispatchers():
    """Lets each dispatcher send a worker in slow start all that it stands, as if there were no others."""

    def make_replacement(original):
        return lambda self, worker: Allowance(original(self, worker).requests, dispatchers=1, rank=0)

    return _replaced_method(policy.Dispatcher, "_compute_allowance", make_replacement)


PLANTED_FAULTS = {
    "second-copy": hand_off_uncertain_work_again,
    "deferred-in-doubt": defer_uncertain_work,
    "dropped-answer": drop_answer_on_reset,
    "held-back": hold_answers_back,
    "after-drain": use_draining_workers,
    "overfed": ignore_slow_start,
    "two-out": duplicate_hand_offs,
    "deaf-to-leaving": ignore_leaving_clients,
    "wrong-result": return_wrong_result,
    "asks-all": sample_all_workers,
    "as-if-alone": ignore_other_dispatchers,
}
BROKEN_RULE_BY_FAULT = {  # the rule that the checker has to report
    "second-copy": "twice",
    "deferred-in-doubt": "twice",
    "dropped-answer": "lost",
    "held-back": "lost",
    "after-drain": "drains",
    "overfed": "cold",
    "two-out": "twice",
    "deaf-to-leaving": "leaves",
    "wrong-result": "lost",
    "asks-all": "costs",
    "as-if-alone": "cold",
}
