"""Reads the exit statuses of a case's recorded runs."""


def read_statuses(path, trouble):
    """Returns the exit statuses in the line `TROUBLE=<trouble>` of a file runs.txt."""
    for line in path.read_text(encoding="utf-8").splitlines():
        name, *statuses = line.split()
        if name == f"TROUBLE={trouble}":
            return [int(status) for status in statuses]
    return []
