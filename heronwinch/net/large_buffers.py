"""Permits for the buffers of long requests and answers, of which the memory has room for so many."""

import asyncio
from collections import deque


class LargeBuffers:
    """A number of permits, given in the order of the requests for them. The number may change."""

    def __init__(self, limit):
        self.limit = limit
        self.used = 0
        self.waiting = deque()  # futures

    def set_limit(self, limit):
        """Sets the number of permits. Those that are in use above it stay so until they are released."""
        self.limit = limit
        self._wake_waiting()

    def try_acquire(self):
        """Takes a permit if there is one that nobody waits for; returns whether it did."""
        if self.used >= self.limit or self.waiting:
            return False
        self.used += 1
        return True

    def acquire_over_limit(self):
        """Takes a permit even if there is none, for what is in memory already."""
        self.used += 1

    async def acquire(self):
        """Takes a permit, as soon as there is one."""
        if self.try_acquire():
            return
        future = asyncio.get_running_loop().create_future()
        self.waiting.append(future)
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()  # it was given the permit in the event loop turn of its cancellation
            elif future in self.waiting:
                self.waiting.remove(future)
            raise

    def release(self):
        """Gives a permit back."""
        self.used -= 1
        self._wake_waiting()

    def _wake_waiting(self):
        while self.waiting and self.used < self.limit:
            future = self.waiting.popleft()
            if not future.done():
                self.used += 1
                future.set_result(None)
