"""Small numbers for the names that come from outside, and the names taken of late."""

from collections import deque


class Indices:
    """A number for each name for as long as somebody holds it; then the number is free again."""

    def __init__(self):
        self.held = {}  # name -> [number, holders]
        self.free = []

    def __len__(self):
        return len(self.held)

    def take(self, name):
        """The number of a name, 0 for none."""
        if not name:
            return 0
        entry = self.held.get(name)
        if entry is None:
            number = self.free.pop() if self.free else len(self.held) + 1
            entry = self.held[name] = [number, 0]
        entry[1] += 1
        return entry[0]

    def drop(self, name):
        entry = self.held.get(name)
        if entry is not None:
            entry[1] -= 1
            if not entry[1]:
                del self.held[name]
                self.free.append(entry[0])


class Taken:
    """The ids of work items while these are held and for a while after: an id is new with every request, so
    one that comes again is another's, and a worker that gets it twice cannot tell them apart."""

    def __init__(self, clock, age, most):
        self.clock, self.age, self.most = clock, age, most
        self.ids = set()
        self.past = deque()  # (when it was let go, id)

    def __contains__(self, id):
        return id in self.ids

    def take(self, id):
        self.ids.add(id)

    def let_go(self, id):
        now = self.clock.now()
        self.past.append((now, id))
        while self.past[0][0] < now - self.age or len(self.past) > self.most:
            self.ids.discard(self.past.popleft()[1])
