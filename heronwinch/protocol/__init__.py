"""What is said on sockets, as state machines that are fed bytes and know no socket: the only place with the
words of HTTP and of the operators' pages."""
