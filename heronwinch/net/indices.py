"""Small numbers for the names that come from outside."""


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
