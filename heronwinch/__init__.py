"""heronwinch: a dispatcher that runs beside a submitter and pushes work items to workers."""

__version__ = "0.2.0"
