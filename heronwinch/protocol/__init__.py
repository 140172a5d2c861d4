"""The protocols spoken on sockets, as state machines without I/O: they are fed the bytes received and return
events. Only this package knows the syntax of HTTP and of the operators' calls."""
