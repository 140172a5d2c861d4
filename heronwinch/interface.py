"""The data types that a dispatcher exchanges with its caller: terms at the start, events in, actions out.

Times and durations are whole nanoseconds. Work items (`wi`) and workers are identified by the caller's
numbers. A hand-off (`ho`) is identified by its work item and its index (0, 1, 2 ...) among that
item's hand-offs. This module makes no decisions; heronwinch/policy.py does.
"""

from enum import IntEnum, StrEnum
from typing import NamedTuple

SECOND = 1_000_000_000  # nanoseconds
# This long after discovery has learned something, every dispatcher counts as informed of it, whether or not
# the message arrived (see the operators' page).
DISCOVERY_NOTICE_NS = 6 * SECOND


class Effect(IntEnum):
    """Whether the work items of a category may run more than once."""

    RERUNNABLE = 0  # may run any number of times
    TICKETED = 1  # carries a ticket by which workers recognise and drop a repeat
    EXCLUSIVE = 2  # must never run twice


class Group(IntEnum):
    """Which workers recognise and drop the repeat of a ticketed work item."""

    ALL = 0
    AREA = 1
    POD = 2


class Outcome(IntEnum):
    """How a hand-off ended."""

    OK = 1
    ERROR = 2
    FULL = 3
    TIMEOUT = 4
    CONNECT_FAILED = 5
    RESET = 6
    CANCELLED = 7
    MOOT = 8  # never sent: the work item had ended, had expired or had no hand-off left
    # A kept-alive connection was reset before any answer: the work item may have run, and the worker may be
    # healthy.
    STALE = 9


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))


class Standing(IntEnum):
    """The state of a worker in discovery's list."""

    GONE = 0
    READY = 1
    DRAINING = 2


class ListKind(IntEnum):
    """What a `Listed` event carries."""

    FULL = 0  # every worker; a worker that is missing is gone
    CACHED = 1  # the list as this dispatcher last held it, possibly out of date
    DELTA = 3  # only the workers that changed
    FAILED = 4  # nothing: the call to discovery failed


class Topic(IntEnum):
    """What a worker reports of a hand-off that it is still running."""

    STARTED = 1
    PROGRESS = 2


class Report(NamedTuple):
    """A worker's load as it reports it; None for each figure that the deployment does not report."""

    free_slots: float | None = None
    free_memory: float | None = None
    waiting: float | None = None
    held: float | None = None
    service_time: int | None = None


class Entry(NamedTuple):
    """One worker in a list from discovery."""

    worker: int
    area: int
    kind: int
    pod: int
    standing: int
    weight: float  # ignored unless above 0
    started_at: int  # 0 if it started long ago
    key: int = 0  # the same at all dispatchers, unlike the number; 0 where the number is the same at all


# ---- terms: the settings of one instance


class Category(NamedTuple):
    """The settings of one category of work items; durations in nanoseconds."""

    effect: Effect
    group: Group
    window: int  # how long workers drop repeats of a ticketed work item, from its first hand-off
    due_time: int  # an answer within this time of the client's first try earns full credit
    stretch: float  # the due time grows by this multiple of the work item's own running time
    expiry: int  # how long the client waits for an answer, from its first try
    credit: float  # credit earned by an answer in time
    late_credit: float  # the part of the credit that an answer after the due time earns
    kind: int  # the only worker kind that runs it, or -1 for any
    priority: int


class Account(NamedTuple):
    """The share of capacity that one account is entitled to."""

    share: float
    allowance: float  # work items per second within its share, over all dispatchers


class Terms(NamedTuple):
    """The settings of one dispatcher; durations in nanoseconds."""

    own_number: int
    dispatchers: int  # the configured number of dispatchers, this one included
    area: int  # the area that this dispatcher runs in
    tick: int  # the smallest time step; epochs are not shorter
    categories: tuple[Category, ...]
    accounts: tuple[Account, ...]
    excess_credit: float  # the part of the credit that work beyond its account's share earns
    pushed_list: bool  # discovery pushes changes of the list; otherwise it is asked for them
    discovery_poll_interval: int
    drain_grace: int
    answer_slack: int
    cold_share: float  # the part of its capacity that a worker has at its start
    warm_up: int  # how long a worker takes from its start to full capacity
    push_multiple: float  # a cold worker fails at this multiple of its capacity per push_window
    push_window: int  # time over which the work sent to a cold worker is summed
    most_hand_offs: int  # the limit of hand-offs of one work item
    parallel_tries: bool
    may_cancel: bool
    may_probe: bool
    may_advise_come_back: bool  # a deferral may tell the client when to retry
    max_come_back: int
    connect_timeout: int
    connection_idle_timeout: int
    progress_interval: int  # between two progress notes of a running work item; 0 if there are none
    tells_start: bool  # workers report the start of a work item
    queue_order: str
    reports: bool  # whether workers report their load
    live_weights: bool  # a worker's listed weight falls as it fills
    area_price: float  # price of a hand-off to another area
    waste_price: float
    late_price: float
    probe_price: float
    connection_price: float
    listing_price: float
    # Whether another process serves at the same address: then this one does not know all that both send.
    shares_address: bool = False


# ---- events


class Listed(NamedTuple):
    """A list of workers, or changes to it, from discovery; FAILED carries no entries."""

    kind: int
    version: int
    entries: tuple[Entry, ...]
    age: int = 0  # if FAILED: the time since this instance last knew everything that discovery knew


class Arrived(NamedTuple):
    """A client handed in a work item."""

    wi: int
    category: int
    account: int  # -1 if the client named none
    key: int
    time_left: int  # time left until the work item's expiry
    expected: int  # expected running time, 0 if unknown
    slots: float
    memory: float
    repeated: bool
    writes: bool
    unclear: bool = False  # another dispatcher that cannot be asked may hold or have run the work item


class InheritedHandOff(NamedTuple):
    """A hand-off that another process made for an inherited work item."""

    worker: int
    age: int  # time since the hand-off was sent
    outcome: int  # an Outcome, 0 while there is no answer


class InheritedWorkItem(NamedTuple):
    """A work item that another process accepted and passed on, with its hand-offs so far.

    The last of these hand-offs may still be without an answer.
    """

    arrived: Arrived  # the event with which it arrived at the other process
    age: int  # time since the work item arrived at the other process
    hand_offs: tuple[InheritedHandOff, ...]


class Answered(NamedTuple):
    """A hand-off ended; `ended` is set if its work item has ended with it or earlier."""

    wi: int
    ho: int
    worker: int
    outcome: int
    elapsed: int
    ended: bool
    remark: int
    report: Report | None


class Noted(NamedTuple):
    """A worker reported the start or the progress of a hand-off that has no answer yet."""

    wi: int
    ho: int
    worker: int
    topic: int
    portion: float


class StreamBegan(NamedTuple):
    """A worker began to send its answer."""

    wi: int
    ho: int
    worker: int
    elapsed: int


class Left(NamedTuple):
    """The client of a work item gave up waiting for it."""

    wi: int


class PlannedStop(NamedTuple):
    """This process stops as planned: every accepted work item has to be answered within this time."""

    time_left: int


class Evacuation(NamedTuple):
    """Operators move clients elsewhere: work items that arrive after this time are deferred at once.

    None cancels the evacuation.
    """

    time_left: int | None


class TermsChange(NamedTuple):
    """New terms are in force.

    Work items that are already held keep the category they arrived under. The numbers of areas and kinds do
    not change.
    """

    terms: Terms
    old_numbers: tuple[int, ...]  # by new category: its number under the old terms, -1 if it is new


class FleetView(NamedTuple):
    """The membership view of the dispatchers that talk to each other."""

    # Each dispatcher divides the budgets that all of them share by this number; 0 while this one may spend
    # nothing of them.
    budget_divisor: int
    serving: tuple[int, ...]  # the number of serving dispatchers, by area
    traffic_share: float  # the part of all arriving work items that arrives at this dispatcher


class LearnedRunTimes(NamedTuple):
    """The running times that this dispatcher learned before its restart."""

    # For each category its number, its mean running time, the mean that also counts unfinished hand-offs, and
    # the number of samples of the latter.
    by_category: tuple[tuple[int, float, float, int], ...]


class ClientSurge(NamedTuple):
    """After a loss of power many clients retry at the same time. The surge lasts no longer than this; 0 ends
    it."""

    time_left: int


class WorkerRemoval(NamedTuple):
    """A worker is gone and its number will not be used again."""

    worker: int


class Rang(NamedTuple):
    """A timer expired."""

    token: int


class Probed(NamedTuple):
    """A worker answered a `Probe`, or the probe failed."""

    worker: int
    elapsed: int
    outcome: int
    report: Report | None


class Heard(NamedTuple):
    """A message from another dispatcher."""

    sender: int
    body: bytes


# ---- actions


class SlowStartReason(StrEnum):
    """Why a hand-off to a worker in slow start was allowed."""

    PART = "part"  # it was within this dispatcher's part of what the worker may be sent
    LONG = "long"  # it takes more than that part, and few dispatchers may send such work
    UNKNOWN = "unknown"  # nothing is known of how long it runs, and one dispatcher may send such work


class SlowStartNote(NamedTuple):
    """What a hand-off to a worker in slow start was allowed by, for the log."""

    reason: SlowStartReason
    worker_age: int  # time since the worker's start, as this dispatcher takes it
    requests: float  # its likely work, in requests of mean work
    recent: float  # what this dispatcher had sent within the push window, in the same unit
    own_part: float  # what it may send there in a push window
    mean_work: int  # likely running time of the mean request times its slots, on which the budget rests
    samples: int  # running times from which that of the work item's category was learned; 0: it is assumed
    slots: int  # slots that the worker is taken to have


class HandOff(NamedTuple):
    """Send a work item to a worker."""

    wi: int
    worker: int
    until: int  # the clock time at which to give up the hand-off; 0: at the work item's expiry
    # Time for the worker to confirm that it has the work item, if workers report that; 0: no limit.
    patience: int = 0
    slow_start: SlowStartNote | None = None  # only for a worker in slow start
    # The clock time by which the worker has to have responded, else the hand-off is given up and nothing of
    # it may arrive later: the end of the window in which workers drop a repeat; 0: no such limit.
    respond_by: int = 0


class Defer(NamedTuple):
    """The final answer to a client: not done, and a retry is harmless."""

    wi: int
    come_back: int  # how long the client should wait before a retry; 0: no advice


class WriteOff(NamedTuple):
    """The final answer to a client: the work item may or may not have run, so a retry may do harm."""

    wi: int


class Cancel(NamedTuple):
    """Tell the worker to stop running a hand-off."""

    wi: int
    ho: int


class SetTimer(NamedTuple):
    """Return a `Rang` event with this token after this time."""

    after: int
    token: int


class CancelTimer(NamedTuple):
    """Drop the timer with this token, if it is still to come due. A caller that can't may let it come due."""

    token: int


class Probe(NamedTuple):
    """Ask a worker for its load report (its busy alert)."""

    worker: int


class CloseIdle(NamedTuple):
    """Close the idle connections to a worker."""

    worker: int


class Log(NamedTuple):
    """Write a line to the log."""

    text: str


class Subscribe(NamedTuple):
    """Start or stop receiving lists of workers from discovery."""

    on: bool


class Fetch(NamedTuple):
    """Ask discovery for a list of workers once."""


# ---- state for the log


class ModuleState(NamedTuple):
    """The state of a dispatcher's decisions at one moment; durations in nanoseconds."""

    ready: int  # workers listed as ready
    slow_start: int  # those of them that are in slow start
    closed: int  # those of them that count as closed after a failure
    queued: int  # work items that wait for an open worker
    in_flight: int  # hand-offs without an answer
    is_doubting_reports: bool  # whether load reports are taken to be out of date
    mean_run_time: int  # learned; 0 if there is no sample yet
    epoch: int  # the paper's T
    load: float  # the part of all slots that reports show as taken
