"""The view of the fleet that dispatchers keep among themselves: state machines without I/O, time passed in.

Off unless a configuration has the section `fleet`; without it nothing of this is imported."""
