"""Records the events and actions of dispatchers in a run, for the digest and for traces of work items."""

from collections import deque

import structlog

from heronwinch import interface

MAX_RECORDED_CALLS = 200_000  # per process of a dispatcher; older calls are dropped
# Log events that report internal errors of the program. No fault from outside may cause one.
FAULT_EVENTS = (
    "module_fault", "action_fault", "client_fault", "hand_off_fault", "probe_fault", "stray_fault",
    "invariant_broken", "fleet_fault", "ledger_fault",
)  # fmt: skip


class DispatcherRecord:
    """The calls of the module in one process of a dispatcher, from its start to its end."""

    def __init__(self, name):
        self.name = name
        self.calls = deque(maxlen=MAX_RECORDED_CALLS)  # (time in ns, events, actions)
        self.item_numbers = {}  # id of a work item -> its number in events and actions
        self.program = None

    def trace_work_item(self, id):
        """[(time in ns, text)] of all events and actions of a work item."""
        number = self.item_numbers.get(id)
        if number is None:
            return []
        lines = []
        for when, events, actions in self.calls:
            for label, messages in (("heard", events), ("decided", actions)):
                lines += [
                    (when, f"{self.name} {label} {event}")
                    for event in messages
                    if getattr(event, "wi", None) == number
                ]
        return lines


class RecordingModule:
    """Wraps a module and records its calls; `hash_data(data)` adds its actions to the digest."""

    def __init__(self, module, record, hash_data):
        self.module, self.record, self.hash_data = module, record, hash_data

    def get_learned_run_times(self):
        return getattr(self.module, "get_learned_run_times", tuple)()

    def read_state(self):
        return getattr(self.module, "read_state", lambda: None)()

    def handle(self, now, events):
        record = self.record
        for event in events:
            if type(event) is interface.Arrived and record.program is not None:
                item = record.program.engine.items.get(event.wi)
                if item is not None:
                    record.item_numbers[item.job.id.decode()] = event.wi
        actions = self.module.handle(now, events)
        if actions:
            self.hash_data(repr(actions).encode())
        if events or actions:
            record.calls.append((now, events, actions))
        return actions


def capture_logs(handle_log_event, get_speaker):
    """Sends all structured log events to `handle_log_event(process, time, method, event)`.

    `get_speaker()` gives the time and the name of the process that logs.
    """

    def forward_event(logger, method, event):
        when, process = get_speaker()
        if event.pop("exc_info", None):
            import sys

            error = sys.exc_info()[1]
            event["fault"] = f"{type(error).__name__}: {error}" if error else "unknown"
        handle_log_event(process, when, method, event)
        raise structlog.DropEvent

    structlog.configure(
        processors=[forward_event],
        cache_logger_on_first_use=False,
        wrapper_class=structlog.make_filtering_bound_logger(0),
    )
