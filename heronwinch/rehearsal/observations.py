"""Everything observed in a run that the checker of the invariants needs: the clients' requests and
answers, what workers ran, what dispatchers were told, and what was done to the fleet from outside."""

from collections import Counter

from heronwinch.rehearsal.load_counters import LoadCounters

ALL_PROCESSES = "*"  # the target of a disturbance that affects every process


class Disturbance:
    """Something done to a dispatcher or worker from outside, with the time for which it lasts.

    Times are nanoseconds; `ends` is None while the disturbance lasts."""

    __slots__ = ("what", "target", "begins", "ends")

    def __init__(self, what, target, begins, ends=None):
        self.what, self.target, self.begins, self.ends = what, target, begins, ends

    def overlaps(self, begins, ends):
        """Tells whether the disturbance lasted at some time between `begins` and `ends`."""
        return self.begins <= ends and (self.ends is None or self.ends >= begins)


class Observations:
    """The observations of one run. Times are nanoseconds.

    A process of stand-ins hands over its part under the names `asks` to `faults` (standin_process.py).
    """

    def __init__(self):
        self.asks = []  # standins.clients.ClientRequest
        self.wants = []  # (WantedWorkItem, its ClientRequests)
        self.rude = []  # standins.malformed.MalformedRequest
        self.runs = []  # models.worker.RunRecord
        # dispatcher -> host -> [[when it was told that the worker leaves, when that it is back or None]]
        self.removals = {}
        self.start_notices = {}  # (dispatcher, host) -> {born_ms: when it was first told of that start}
        self.disturbances = []  # Disturbance objects; they excuse a dispatcher from some rules
        # models.slow_start.Collapse of each worker that collapsed
        self.fallen = []
        self.forged = []  # (worker, time, target, reason): hand-offs in a form that no client sends
        self.faults = []  # (dispatcher, text) that the program or its process reported of itself
        self.trouble_counts = Counter()  # the counters of the programs
        self.dispatcher_records = []  # recording.DispatcherRecord, for the traces of work items
        self.began_at = 0  # when traffic began
        self.stopped_at = 0  # when the dispatchers were told to stop for good
        self.trouble_spans = []  # (begins, ends, Trouble)
        self.partitions = []  # (begins, ends, side, other side, way) of each network partition
        self.stop_times = {}  # dispatcher -> each time at which it was killed or told to stop
        self.view_events = []  # (time, dispatcher, event): what dispatchers logged about their view
        self.load_counters = LoadCounters()
        self.start_times = {}  # dispatcher -> each time at which it started

    def begin_disturbance(self, what, target, now):
        """Records a disturbance that lasts until its `ends` is set; returns it."""
        disturbance = Disturbance(what, target, now)
        self.disturbances.append(disturbance)
        return disturbance

    def find_disturbance(self, target, begins, ends):
        """Returns what disturbed a dispatcher or worker in that time, or None if nothing did.

        A dispatcher is not to blame for what a disturbance causes.
        """
        for disturbance in self.disturbances:
            if disturbance.target in (target, ALL_PROCESSES) and disturbance.overlaps(begins, ends):
                return disturbance.what
        return None
