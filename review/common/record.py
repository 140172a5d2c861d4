"""The record of a run: one line for each thing sent, answered and run, with the seconds since the start."""

import time


class Record:
    """Writes lines to a file and keeps them in memory."""

    def __init__(self, path):
        self.began_at = time.monotonic()
        self.file = open(path, "w", encoding="utf-8")  # noqa: SIM115 - open for as long as the run lasts
        self.lines = []

    def write(self, event, **fields):
        """Writes one line and returns the seconds since the start of the record."""
        seconds = time.monotonic() - self.began_at
        line = f"{seconds:9.3f} {event}" + "".join(f" {name}={value}" for name, value in fields.items())
        self.lines.append(line)
        self.file.write(line + "\n")
        self.file.flush()
        return seconds
