"""Small numbers for names that come from outside."""


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
