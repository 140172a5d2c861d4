"""The event queue and clock of a simulation.

Time is a whole number of nanoseconds since the start of the run. Events due at the same time happen in the
order in which they were scheduled. After them each runnable process gets turns, as an event loop does, before
the clock moves on. Everything sent or decided enters a digest: two runs are identical exactly when their
digests are.
"""

import asyncio
from collections import deque
from hashlib import blake2b
from heapq import heapify, heappop, heappush
from random import Random
from struct import Struct

from heronwinch.interface import SECOND

RUN_START_UNIX_NS = 1_700_000_000 * SECOND  # Unix time at the start of a run
DIGEST_HEADER = Struct("<QQ")  # time, number of the source
# Cancelled timers are removed from the heap once there are more than this and they fill over half of it.
MAX_CANCELLED_TIMERS = 4096


def make_seeded_random(seed, *name):
    """A random generator of its own for each name: draws from one don't affect any other."""
    return Random(f"{seed}/" + "/".join(map(str, name)))


class ScheduledCall:
    """A call scheduled outside of any process; `cancel` revokes it."""

    __slots__ = ("callback", "args")

    def __init__(self, callback, args):
        self.callback, self.args = callback, args

    def cancel(self):
        self.callback = None


class LivelockError(RuntimeError):
    """Simulated time doesn't advance because processes wake each other without end."""


class Kernel:
    """Runs scheduled calls and process turns in order of simulated time."""

    MAX_TURNS_PER_INSTANT = 100_000  # more turns at one simulated time raise LivelockError

    def __init__(self, seed):
        self.seed = seed
        self.now = 0
        self.heap = []  # (due, order, ScheduledCall or TimerHandle, process or None)
        self.order = 0  # sequence number of the entry that was scheduled last
        self.runnable = deque()  # processes that wait for a turn
        self.current = None  # the process whose turn it is
        self.events = 0  # number of events handled so far
        self.cancelled_timers = 0  # still in the heap
        self.hash = blake2b(digest_size=16)

    def derive_random(self, *name):
        """A random generator for a name, from the seed of the run."""
        return make_seeded_random(self.seed, *name)

    def update_digest(self, source_number, data):
        """Adds the time, the number of the connection or dispatcher, and bytes of it."""
        self.hash.update(DIGEST_HEADER.pack(self.now, source_number) + data)

    def digest(self):
        """The digest of everything up to now, in hexadecimal."""
        return self.hash.hexdigest()

    def schedule_at(self, due, callback, *args):
        """Calls `callback` at the given time, outside of any process."""
        call = ScheduledCall(callback, args)
        self.order += 1
        heappush(self.heap, (max(due, self.now), self.order, call, None))
        return call

    def schedule_after(self, delay, callback, *args):
        """Calls `callback` after `delay` nanoseconds, outside of any process."""
        return self.schedule_at(self.now + delay, callback, *args)

    def add_timer(self, due, handle, process):
        """Schedules a TimerHandle of a process."""
        self.order += 1
        heappush(self.heap, (max(due, self.now), self.order, handle, process))

    def count_cancelled_timer(self):
        """Counts a cancelled timer, and removes all such from the heap when there are many.

        Most timers are cancelled long before they are due, and would fill the heap.
        """
        self.cancelled_timers += 1
        if self.cancelled_timers > MAX_CANCELLED_TIMERS and self.cancelled_timers * 2 > len(self.heap):
            self.heap = [entry for entry in self.heap if entry[3] is None or not entry[2]._cancelled]
            heapify(self.heap)
            self.cancelled_timers = 0

    def add_runnable(self, process):
        """Gives a process a turn at the present time."""
        self.runnable.append(process)

    def run_until(self, end):
        """Handles everything due up to and including that time."""
        while True:
            self._run_turns()
            if not self.heap or self.heap[0][0] > end:
                break
            self.now = self.heap[0][0]
            self._run_due()
        self.now = max(self.now, end)

    def _run_due(self):
        heap, now = self.heap, self.now
        while heap and heap[0][0] == now:
            _, _, call, process = heappop(heap)
            if process is None:
                if call.callback is not None:
                    self.events += 1
                    call.callback(*call.args)
            elif call._cancelled:
                self.cancelled_timers -= 1
            else:
                process.enqueue(call)
            heap = self.heap  # count_cancelled_timer may have replaced the list

    def _run_turns(self):
        runnable, turns = self.runnable, 0
        while runnable:
            turns += 1
            if turns > self.MAX_TURNS_PER_INSTANT:
                raise LivelockError(
                    f"more than {self.MAX_TURNS_PER_INSTANT} turns at {self.now / SECOND:.6f} s, "
                    f"the last by {runnable[0].name}"
                )
            process = self.current = runnable.popleft()
            previous_loop = asyncio._get_running_loop()
            asyncio._set_running_loop(process)
            try:
                self.events += process.run_turn()
            finally:
                asyncio._set_running_loop(previous_loop)
                self.current = None

    def call_in_process(self, process, callback, *args):
        """Calls `callback` within the next turn of that process."""
        process.enqueue(asyncio.Handle(callback, args, process))
