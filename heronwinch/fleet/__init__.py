"""The membership view that dispatchers keep of each other: state machines without I/O, time is passed in.

Used only if the configuration has a section `fleet`; otherwise nothing of this package is imported."""
