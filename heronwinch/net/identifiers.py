"""Small numbers for names that come from outside, and the recently used ids of work items."""

from collections import deque


class NumberPool:
    """Gives each name a small number for as long as the name is held; then the number is reused."""

    def __init__(self):
        self.entries = {}  # name -> [number, count of holders]
        self.free = []

    def __len__(self):
        return len(self.entries)

    def acquire(self, name):
        """Returns the number of a name and counts one more holder; 0 for an empty name."""
        if not name:
            return 0
        entry = self.entries.get(name)
        if entry is None:
            number = self.free.pop() if self.free else len(self.entries) + 1
            entry = self.entries[name] = [number, 0]
        entry[1] += 1
        return entry[0]

    def release(self, name):
        """Counts one holder less; without holders the name's number is free again."""
        entry = self.entries.get(name)
        if entry is not None:
            entry[1] -= 1
            if not entry[1]:
                del self.entries[name]
                self.free.append(entry[0])


class RecentIds:
    """The ids of work items that are held, or were until a while ago. An id is new with every request, so one
    that comes again belongs to another request, and a worker that gets both can't tell them apart."""

    def __init__(self, clock, max_age, max_released):
        self.clock, self.max_age, self.max_released = clock, max_age, max_released
        self.ids = set()
        self.released = deque()  # (clock time of the release, id)

    def __contains__(self, id):
        return id in self.ids

    def __len__(self):
        return len(self.ids)

    def add(self, id):
        """Adds the id of a work item that is held from now on."""
        self.ids.add(id)

    def release(self, id):
        """Starts the time after which the id of a work item that has ended is forgotten."""
        now = self.clock.now()
        self.released.append((now, id))
        while self.released[0][0] < now - self.max_age or len(self.released) > self.max_released:
            self.ids.discard(self.released.popleft()[1])
