"""Shares out the time for parsing clients' input among event loop turns and connections."""

import heapq
import itertools

# Slices of all connections in one event loop turn. What else a turn does, hand-offs and answers above all,
# waits for no more than these.
SLICES_PER_TURN = 4
# Parser events in one slice: the head of a request, a part of its body, its end. A usual request takes three.
PARSER_EVENTS_PER_SLICE = 16


class InputScheduler:
    """Grants slices: the right to parse up to PARSER_EVENTS_PER_SLICE events of one connection's input.

    Requests that have taken fewer slices go first, among these the clients that have handed in a job before,
    then by the order of their coming. So a request that costs much waits for those that cost little, and a
    crowd can't keep the event loop from its other work."""

    def __init__(self, loop):
        self.loop = loop
        self.slices_left = SLICES_PER_TURN  # in the current event loop turn
        self.is_turn_scheduled = False
        self.waiting = []  # heap of (slices taken, whether the client is new, sequence number, future)
        self.sequence = itertools.count()

    async def begin_slice(self, slices_taken, is_new_client):
        """Returns once a slice is granted to a request that has taken so many slices before. `is_new_client`
        tells whether its client has handed in no job yet."""
        if self.slices_left and not self.waiting:
            self._take_slices(1)
            return
        future = self.loop.create_future()
        heapq.heappush(self.waiting, (slices_taken, is_new_client, next(self.sequence), future))
        await future

    def _take_slices(self, count):
        self.slices_left -= count
        if not self.is_turn_scheduled:
            self.is_turn_scheduled = True
            self.loop.call_soon(self._begin_turn)

    def _begin_turn(self):
        """Grants the slices of a new event loop turn to those that wait."""
        self.is_turn_scheduled = False
        self.slices_left = SLICES_PER_TURN
        while self.waiting and self.slices_left:
            *_, future = heapq.heappop(self.waiting)
            if not future.done():  # a task that was cancelled waits no more
                future.set_result(None)
                self._take_slices(1)
