"""The interface to the operating system apart from asyncio streams: the time, sockets, limits.

It is the only seam between `net/` and the system, so the same program also runs on a simulated machine, which
replaces this one. No decisions are made here."""

import contextlib
import os
import resource
import select
import socket
import struct
import time

from heronwinch.net.presence import Presence
from heronwinch.net.recent_ids import make_private_ids, open_shared_ids

# What the kernel holds of a connection, of which it allocates twice as much: unread input of clients and
# workers, and unsent answers to clients.
RECEIVE_BUFFER_BYTES = 32 * 1024
SEND_BUFFER_BYTES = 64 * 1024


class InheritedSocket(socket.socket):
    """A socket that already listens, for other processes too; the backlog that they share is not changed."""

    def listen(self, backlog=0):
        pass  # asyncio calls it with the number of accepts per event loop turn as the backlog


def _has_input(sock):
    """Whether a read from a socket, or an accept, would return at once."""
    poll = select.poll()
    poll.register(sock.fileno(), select.POLLIN)
    return bool(poll.poll(0))


def _limit_kernel_buffers(sock):
    """Bounds the kernel's buffers of the connections that a socket accepts. Without these limits a system may
    hold megabytes of each connection whose peer does not read."""
    for option, size in (
        (socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES),
        (socket.SO_SNDBUF, SEND_BUFFER_BYTES),
    ):
        with contextlib.suppress(OSError):
            sock.setsockopt(socket.SOL_SOCKET, option, size)


class Machine:
    """The real machine. Its clock counts whole nanoseconds of Unix time and never steps back: discovery lists
    the starts of workers in Unix time, and the system's wall clock may be set while the dispatcher runs."""

    def __init__(self):
        self.offset = self.read_wall_clock_offset()

    def now(self):
        """Returns the clock time in nanoseconds."""
        return time.monotonic_ns() + self.offset

    def read_monotonic_clock(self):
        """Returns the system's monotonic clock in nanoseconds, which is the same in all of its processes."""
        return time.monotonic_ns()

    def read_wall_clock_offset(self):
        """Returns by how many nanoseconds the system's wall clock is ahead of its monotonic clock."""
        return time.time_ns() - time.monotonic_ns()

    def read_clock(self):
        """Returns the clocks by which a ledger determines how long the process was down (ledger/downtime.py).
        Called only if there is a ledger."""
        from heronwinch.ledger.downtime import ClockReading

        try:
            with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
                boot = file.read().strip()
        except OSError:
            boot = ""  # not available on this system
        return ClockReading(boot, time.clock_gettime_ns(time.CLOCK_BOOTTIME), self.now())

    def make_ledger_disk(self, path):
        """Returns the access to the store of a ledger. Called only if there is one."""
        from heronwinch.net.disk import StoreThread

        return StoreThread(path)

    def get_input_age(self, writer):
        """Returns the nanoseconds since the last bytes arrived, by the kernel's count. They may have been
        unread for a while as the process was stalled, and a client's time runs from when it sent them."""
        try:
            info = writer.get_extra_info("socket").getsockopt(socket.IPPROTO_TCP, socket.TCP_INFO, 56)
            (milliseconds,) = struct.unpack_from("I", info, 52)  # tcpi_last_data_recv
        except (AttributeError, OSError, struct.error):
            return 0  # not available on this system
        return milliseconds * 1_000_000

    def is_quiet(self, writer):
        """Whether the kernel holds no unread input of the peer, not even the connection's end."""
        sock = writer.get_extra_info("socket")
        if writer.is_closing() or sock is None or sock.fileno() < 0:
            return False
        return not _has_input(sock)

    def has_pending_connection(self, sock):
        """Whether connections wait in a listening socket's queue to be accepted."""
        return _has_input(sock)

    def discard_unsent_on_close(self, writer):
        """Makes the kernel drop unsent bytes when the connection is closed (SO_LINGER with 0 s), rather than
        send them later: a hand-off that was given up must not arrive once a network path is back."""
        sock = writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, struct.pack("ii", 1, 0))

    def create_listening_socket(self, host, port):
        """Returns a socket bound to an address, to listen on. The kernel's buffers of each connection are
        bounded. Raises OSError if the address can't be used."""
        family, kind, proto, _, address = socket.getaddrinfo(host, port, type=socket.SOCK_STREAM)[0]
        sock = socket.socket(family, kind, proto)
        try:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
            _limit_kernel_buffers(sock)
            sock.bind(address)
        except BaseException:
            sock.close()
            raise
        return sock

    def adopt_listening_socket(self, descriptor):
        """Returns the listening socket that this process has inherited as a descriptor. The kernel's buffers
        of each connection are bounded from now on. Raises OSError if there is none."""
        try:
            os.fstat(descriptor)
            sock = InheritedSocket(fileno=descriptor)
            listens = sock.getsockopt(socket.SOL_SOCKET, socket.SO_ACCEPTCONN)
        except OSError as fault:
            raise OSError(f"descriptor {descriptor} is no socket: {fault}") from None
        if not listens:
            raise OSError(f"descriptor {descriptor} does not listen")
        sock.set_inheritable(False)
        _limit_kernel_buffers(sock)
        return sock

    def limit_receive_buffer(self, writer):
        """Bounds what the kernel holds of the unread input of a connection that was made to a peer."""
        sock = writer.get_extra_info("socket")
        if sock is not None:
            with contextlib.suppress(OSError):
                sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)

    def get_shared_folder(self):
        """Returns the folder in which this process and its successor find each other's files."""
        return os.environ.get("TMPDIR") or "/tmp"

    def open_presence(self, sock):
        """Returns a Presence, which tells whether other processes serve the same socket."""
        return Presence(sock, self.get_shared_folder())

    def make_private_ids(self):
        """Returns RecentIds of this process alone."""
        return make_private_ids(self.read_monotonic_clock)

    def open_shared_ids(self, sock):
        """Returns RecentIds shared with the other processes that serve the same socket. Raises OSError."""
        return open_shared_ids(self.read_monotonic_clock, sock, self.get_shared_folder())

    def read_memory_mb(self):
        """Returns the amount of memory that the process has in use, in MiB; 0 if the system does not tell."""
        try:
            with open("/proc/self/statm", encoding="ascii") as file:
                resident_pages = int(file.read().split()[1])
        except (OSError, ValueError, IndexError):
            return 0
        return resident_pages * resource.getpagesize() // 2**20

    def read_peak_memory_mb(self):
        """Returns the largest amount of memory that the process has had in use so far, in MiB."""
        return resource.getrusage(resource.RUSAGE_SELF).ru_maxrss // 1024

    def get_descriptor_limit(self):
        """Returns how many file descriptors the process may have open."""
        soft, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        return 2**31 if soft == resource.RLIM_INFINITY else soft
