"""The protocol towards workers: hand-offs and probes on one connection, and the events in their responses."""

import json
from typing import NamedTuple

from heronwinch.interface import Outcome, Report, Topic
from heronwinch.protocol import reports
from heronwinch.protocol.buffer import Buffer, BufferLimitError
from heronwinch.protocol.http_client import (
    MAX_BODY_BYTES,
    HttpClient,
    InvalidResponseError,
    ResponseEnd,
    ResponseHead,
)

MAX_LINE_BYTES = 2 * MAX_BODY_BYTES  # room for the result of the longest body, JSON-escaped
OUTCOME_BY_STATE = {
    "done": Outcome.OK,
    "failed": Outcome.ERROR,
    "returned": Outcome.FULL,
    "lost": Outcome.RESET,
}
DECLINED_STATUSES = (503, 504)  # with the header Srv-Declined they say that the work item did not run


class ProgressNote(NamedTuple):
    """A worker's message that a work item has started, or which portion of it is done."""

    topic: Topic
    portion: float


class Completion(NamedTuple):
    """How a hand-off or a probe ended."""

    outcome: Outcome
    result: bytes = b""
    report: Report | None = None


class WorkerProtocol:
    """The state machine of one connection to a worker, which carries one hand-off or probe at a time."""

    def __init__(self):
        self.http = HttpClient()
        self.buffer = Buffer(MAX_LINE_BYTES)
        self.work_item_id = None  # id of the work item handed off; None during a probe
        self.status = 0  # HTTP status of the present response, 0 before its head
        self.is_complete = True  # no hand-off or probe is unanswered

    def encode_hand_off(self, job, seconds):
        """Returns the bytes of a hand-off. `seconds` is the time that the worker has left for it."""
        self._start_exchange(job.id)
        headers = [(b"Req-Id", job.id), (b"Req-Deadline", b"%.3f" % max(seconds, 0.001))]
        if job.ticket is not None:
            headers.append((b"Idempotency-Key", job.ticket))
        return self.http.encode_request(b"POST", job.target, headers, job.body)

    def encode_probe(self, with_report):
        """Returns the bytes of a probe that asks for a load report or only for health."""
        self._start_exchange(None)
        return self.http.encode_request(b"GET", b"/-/load" if with_report else b"/-/healthy")

    def _start_exchange(self, id):
        """Resets the state for a hand-off of the work item `id`, or for a probe where that is None."""
        self.work_item_id, self.status, self.is_complete = id, 0, False
        self.buffer.take_all()

    def feed_data(self, data):
        """Returns the events in `data`, in order. Empty `data` is the connection's end. An invalid response
        counts as Outcome.RESET, since the work item may have run."""
        events = []
        try:
            for event in self.http.feed_data(data):
                events += self._handle_event(event)
        except (InvalidResponseError, BufferLimitError):
            events += self._complete(Completion(Outcome.RESET))
        if not data:
            events += self._complete(Completion(Outcome.RESET))
        return events

    @property
    def held_bytes(self):
        """The number of bytes held of a line that has not come to its end."""
        return 0 if self.is_complete else len(self.buffer)

    @property
    def has_responded(self):
        """Whether the worker has sent the head of a response."""
        return self.status != 0

    @property
    def is_response_complete(self):
        """Whether no more of the HTTP response is expected."""
        return self.http.is_response_complete

    @property
    def is_reusable(self):
        """Whether the connection can carry another hand-off or probe."""
        return self.is_complete and self.http.is_reusable

    def _handle_event(self, event):
        """Returns the events that one HTTP event stands for."""
        if type(event) is ResponseHead:
            return self._handle_head(event)
        if type(event) is ResponseEnd:
            if self.work_item_id is None:
                return self._complete(
                    Completion(
                        Outcome.OK,
                        report=reports.parse_report(self.buffer.take_all().decode("utf-8", "replace")),
                    )
                )
            return self._complete(Completion(Outcome.RESET))  # the response ended before its last line
        if self.is_complete:
            return []
        self.buffer.add(event.data)
        return self._handle_lines() if self.work_item_id is not None else []

    def _handle_head(self, head):
        """Returns the completion where the status is not 200, no event otherwise."""
        self.status = head.status
        if head.status == 200:
            return []
        report = None
        if b"srv-load" in head.headers:
            report = reports.parse_report(head.headers[b"srv-load"].decode("latin-1"))
        declined = head.status in DECLINED_STATUSES and head.headers.get(b"srv-declined") == b"1"
        return self._complete(Completion(Outcome.FULL if declined else Outcome.ERROR, report=report))

    def _handle_lines(self):
        """Returns the events of the whole lines in the buffer; each line is a JSON object."""
        events = []
        while not self.is_complete and (line := self.buffer.take_line()) is not None:
            events += self._handle_line(line)
        return events

    def _handle_line(self, line):
        """Returns the events of one line; an invalid one completes the hand-off as Outcome.RESET."""
        if not line.strip():
            return []
        try:
            return self._handle_state(json.loads(line))
        except (ValueError, TypeError, KeyError, AttributeError, RecursionError, OverflowError):
            return self._complete(Completion(Outcome.RESET))

    def _handle_state(self, state_line):
        """Returns the events of a decoded line."""
        state = state_line["state"]
        if str(state_line.get("id", "")).encode() != self.work_item_id:
            # The line is for another work item, so it is unknown what became of this one.
            return self._complete(Completion(Outcome.RESET))
        if state in OUTCOME_BY_STATE:
            result = state_line.get("result", "")
            result = result if isinstance(result, str) else json.dumps(result)
            return self._complete(
                Completion(
                    OUTCOME_BY_STATE[state], result.encode(), reports.build_report(state_line.get("load"))
                )
            )
        if state == "started":
            return [ProgressNote(Topic.STARTED, 0.0)]
        if state == "running":
            return [ProgressNote(Topic.PROGRESS, float(state_line.get("share", 0.0)))]
        return []

    def _complete(self, completion):
        """Returns the completion as the only event, or no event if the exchange was completed before."""
        if self.is_complete:
            return []
        self.is_complete = True
        self.buffer.take_all()
        return [completion]
