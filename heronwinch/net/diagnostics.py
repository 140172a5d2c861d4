"""Log lines that name single work items, workers and clock changes, at a bounded rate.

The counters (net/counters.py) say how often something happened. These lines say to which work item and
worker it happened and why, so that one request can be followed through the logs of all dispatchers.
"""

import structlog

from heronwinch import interface

log = structlog.get_logger()

MAX_LINES_PER_SECOND = 20  # of each kind; the rest are only counted
MAX_CLIENT_LINES_PER_SECOND = 4  # of each reason; one bad client alone can cause thousands
# A wall clock that is steered runs at most 500 us a second off; a larger change is a step.
MIN_CLOCK_STEP_NS = 50_000_000


class LineLimiter:
    """Limits log lines of each kind to `max_lines` in a second of the clock."""

    def __init__(self, machine, counters, max_lines=MAX_LINES_PER_SECOND):
        self.machine, self.counters, self.max_lines = machine, counters, max_lines
        self.second = 0
        self.counts = {}  # kind -> lines in the current second

    def allows(self, kind):
        """Whether one more line of this kind may be written now; one that may not is counted."""
        second = self.machine.now() // interface.SECOND
        if second != self.second:
            self.second, self.counts = second, {}
        count = self.counts[kind] = self.counts.get(kind, 0) + 1
        if count > self.max_lines:
            self.counters.count("lines_left_out")
            return False
        return True


class WorkerLog:
    """Writes the log lines on workers and the hand-offs to them."""

    def __init__(self, machine, counters):
        self.machine, self.counters = machine, counters
        self.limiter = LineLimiter(machine, counters)

    def log_slow_start_hand_off(self, item, ho_number, host, note):
        """A work item is handed to a worker in slow start; `note` is the module's SlowStartNote."""
        self.counters.count("slow_start_" + note.reason)
        if self.limiter.allows("slow_start_hand_off"):
            log.info(
                "slow_start_hand_off",
                **_identify_hand_off(item, ho_number, host),
                why=note.reason,
                age_ms=note.worker_age // 1_000_000,
                requests=round(note.requests, 2),
                recent=round(note.recent, 2),
                own_part=round(note.own_part, 2),
                mean_work_ms=note.mean_work // 1_000_000,
                samples=note.samples,
                slots=note.slots,
            )

    def log_failed_hand_off(self, item, ho_number, host, outcome, elapsed):
        """A hand-off ended without a result, after `elapsed` nanoseconds."""
        if self.limiter.allows("hand_off_failed"):
            log.info(
                "hand_off_failed",
                **_identify_hand_off(item, ho_number, host),
                outcome=outcome.name.lower(),
                elapsed_ms=elapsed // 1_000_000,
            )

    def log_worker_change(self, host, old_entry, entry, version):
        """Discovery lists a worker for the first time, as started anew, or in another state."""
        if self.limiter.allows("worker_changed"):
            age = self.machine.now() - entry.started_at if entry.started_at else 0
            log.info(
                "worker_changed",
                worker=host,
                was=_name_standing(old_entry),
                now=_name_standing(entry),
                started_ms=entry.started_at // 1_000_000,
                age_ms=age // 1_000_000,
                version=version,
            )


class AnswerLog:
    """Writes the log lines on work items that end without a result."""

    def __init__(self, machine, counters):
        self.machine = machine
        self.limiter = LineLimiter(machine, counters)

    def log_unserved(self, item, answer, most_hand_offs, is_stopping):
        """A work item is deferred or written off, or its client has left (`answer` is None)."""
        kind = {interface.Defer: "deferred", interface.WriteOff: "written_off"}.get(type(answer), "left")
        if self.limiter.allows("work_item_" + kind):
            now = self.machine.now()
            log.info(
                "work_item_" + kind,
                id=_decode_id(item),
                why=self._explain_end(item, answer, most_hand_offs, is_stopping, now),
                attempts=len(item.outcomes),
                waited_ms=(now - item.accepted_at) // 1_000_000,
                left_ms=(item.expiry - now) // 1_000_000,
            )

    def _explain_end(self, item, answer, most_hand_offs, is_stopping, now):
        """Returns why a work item got no result, by what the engine knows of it."""
        if answer is None:
            return "client_left"
        if len(item.outcomes) >= most_hand_offs:
            return "attempts_used_up"
        if is_stopping:
            return "stopping"
        if now >= item.expiry:
            return "expired"
        return "outcome_unknown" if type(answer) is interface.WriteOff else "no_worker_in_time"


class ClientLog:
    """Writes the log lines on clients whose connections the dispatcher closes or refuses."""

    def __init__(self, machine, counters):
        self.limiter = LineLimiter(machine, counters, MAX_CLIENT_LINES_PER_SECOND)

    def log_closed(self, client, why, status=0, detail=""):
        """The dispatcher ends a client's connection. `why` is one word, `status` the HTTP status that the
        client is sent, 0 for none."""
        if self.limiter.allows("client_closed_" + why):
            log.info(
                "client_closed",
                client=client.number,
                why=why,
                status=status,
                detail=detail,
                id=_decode_id(client.item) if client.item is not None else "",
                jobs=client.job_count,
                unread=client.reader.unread,
                unsent=client.writer.transport.get_write_buffer_size(),
            )


class LoopMonitor:
    """Tells by how much the event loop was late for its periodic actions."""

    def __init__(self):
        self.longest_delay = 0.0  # seconds, since the last summary

    def record(self, delay):
        """Records that a periodic action began this many seconds after its time."""
        self.longest_delay = max(self.longest_delay, delay)

    def take_longest_delay(self):
        """Returns the longest delay in seconds since the last call."""
        delay, self.longest_delay = self.longest_delay, 0.0
        return delay


class WallClockMonitor:
    """Notices steps of the system's wall clock."""

    def __init__(self, machine, counters):
        self.machine, self.counters = machine, counters
        self.wall_clock_offset = machine.read_wall_clock_offset()

    def check(self):
        """Logs and counts a step of the wall clock since the last check."""
        offset = self.machine.read_wall_clock_offset()
        step, self.wall_clock_offset = offset - self.wall_clock_offset, offset
        if abs(step) >= MIN_CLOCK_STEP_NS:
            self.counters.count("clock_stepped")
            log.warning("clock_stepped", by_ms=step // 1_000_000)


def _decode_id(item):
    """Returns the id of a work item, as clients send it."""
    return item.job.id.decode("latin-1")


def _identify_hand_off(item, ho_number, host):
    """Returns the fields of a line that say which hand-off it is about."""
    return {"id": _decode_id(item), "attempt": ho_number + 1, "worker": host}


def _name_standing(entry):
    """Returns the name of a listed worker's state for the log."""
    return "unlisted" if entry is None else interface.Standing(entry.standing).name.lower()
