"""Rehearsals: models of workers, discovery, clients and the network between them, on loopback sockets or in
virtual time, the checker of the four rules and the search for what breaks them. `run` imports none of it."""
