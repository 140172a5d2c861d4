"""A pre-forking process that starts the dispatchers of a rig. It has the program loaded and forks, so that
hundreds of dispatchers can start at once without the processor time that their imports would take.

A child process runs what `python -m heronwinch` runs, with the same configuration; only the imports have been
done before. The spawner ends with the rig, and the system then kills all its children.
"""

import array
import contextlib
import ctypes
import gc
import json
import os
import resource
import select
import signal
import socket
import subprocess
import sys

from heronwinch.rehearsal import clock_shim

PR_SET_PDEATHSIG = 1
MAX_REQUEST_BYTES = 4096
MAX_DESCRIPTOR_BYTES = 12  # three descriptors
ROOT = os.path.dirname(os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
LIBC = ctypes.CDLL(None, use_errno=True)


def kill_with_parent():
    """Has the system kill the calling process when its parent ends, in whatever way."""
    LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


def spawn_module(module, *arguments, ends_with_rig=True, **options):
    """Starts a module of this package as a process that helps the rig and by default ends with it."""
    command = [sys.executable, "-m", f"heronwinch.rehearsal.{module}", *map(str, arguments)]
    run_in_child = kill_with_parent if ends_with_rig else None
    return subprocess.Popen(
        command, cwd=ROOT, preexec_fn=run_in_child, **options
    )  # safe: the rig has one thread


class ChildProcess:
    """A handle of a process that another process has forked.

    It holds a pidfd, because the system may give the process id to another process later."""

    def __init__(self, pid):
        self.pid = pid
        try:
            self.pidfd = os.pidfd_open(pid)
        except ProcessLookupError:
            self.pidfd = None  # it has ended already

    def poll(self):
        """Returns None while the process runs, else 0."""
        if self.pidfd is not None and self._has_ended(0):
            self._close_pidfd()
        return None if self.pidfd is not None else 0

    def wait(self):
        """Waits until the process has ended."""
        if self.pidfd is not None:
            self._has_ended(None)
            self._close_pidfd()

    def _has_ended(self, timeout_ms):
        # select() can't be used: with hundreds of processes descriptors exceed its limit of 1,024.
        poller = select.poll()
        poller.register(self.pidfd, select.POLLIN)
        return bool(poller.poll(timeout_ms))

    def _close_pidfd(self):
        os.close(self.pidfd)
        self.pidfd = None

    def send_signal(self, signal_number):
        if self.poll() is None:
            with contextlib.suppress(ProcessLookupError):
                signal.pidfd_send_signal(self.pidfd, signal_number)

    def kill(self):
        self.send_signal(signal.SIGKILL)

    def set_soft_limit(self, limit, value):
        """Sets a soft limit (resource.RLIMIT_...); returns the old one, or None if the process has ended."""
        if self.poll() is not None:
            return None
        try:
            old_value, hard_limit = resource.prlimit(self.pid, limit)
            resource.prlimit(self.pid, limit, (value, hard_limit))
        except ProcessLookupError:
            return None
        return old_value

    def read_usage(self):
        """Returns (CPU seconds, bytes of resident memory) up to now, or None if the process has ended."""
        try:
            with open(f"/proc/{self.pid}/stat", encoding="ascii") as file:
                fields = file.read().rpartition(")")[2].split()
        except OSError:
            return None
        return (
            (int(fields[11]) + int(fields[12])) / os.sysconf("SC_CLK_TCK"),
            int(fields[21]) * os.sysconf("SC_PAGE_SIZE"),
        )


class DispatcherSpawner:
    """The rig's side of the pre-forking process."""

    def __init__(self):
        self.sock, spawner_sock = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
        self.process = spawn_module(
            "spawner", spawner_sock.fileno(), pass_fds=(spawner_sock.fileno(),), stdin=subprocess.DEVNULL
        )
        spawner_sock.close()

    def start(self, config, log, wall_clock):
        """Starts a dispatcher, given the descriptors of its configuration, its log and its wall clock."""
        socket.send_fds(self.sock, [b"start"], [config, log, wall_clock])
        return ChildProcess(json.loads(self.sock.recv(MAX_REQUEST_BYTES)))

    def close(self):
        self.sock.close()
        self.process.wait()


def _run_child(config, log, wall_clock, sock):
    """Runs a dispatcher in a forked process; returns its exit status."""
    sock.close()
    clock_shim.install(wall_clock)
    os.close(wall_clock)
    kill_with_parent()
    signal.signal(signal.SIGCHLD, signal.SIG_DFL)
    null_device = os.open(os.devnull, os.O_RDWR)
    os.dup2(null_device, 0)
    os.dup2(null_device, 1)
    os.dup2(log, 2)
    for name in [name for name in os.environ if name.startswith("RELAY_")]:
        del os.environ[name]
    os.environ["RELAY_CONFIG"] = f"/proc/self/fd/{config}"
    from heronwinch.start import serve

    return serve()


def main(descriptor):
    """Forks a dispatcher for each request on the socket with this descriptor, until the socket is closed."""
    import heronwinch.net.fleet
    import heronwinch.start  # noqa: F401 - loaded before the forks

    sock = socket.socket(fileno=int(descriptor))
    signal.signal(signal.SIGCHLD, signal.SIG_IGN)  # the system reaps children that end
    gc.freeze()
    while True:
        request, ancillary_data, _, _ = sock.recvmsg(
            MAX_REQUEST_BYTES, socket.CMSG_SPACE(MAX_DESCRIPTOR_BYTES)
        )
        if not request:
            return
        descriptors = array.array("i")
        for _, _, value in ancillary_data:
            descriptors.frombytes(value)
        config, log, wall_clock = descriptors
        pid = os.fork()
        if not pid:
            status = 1
            try:
                status = _run_child(config, log, wall_clock, sock)
            except BaseException:
                sys.excepthook(*sys.exc_info())
            finally:
                sys.stderr.flush()
                os._exit(status)
        for descriptor in descriptors:
            os.close(descriptor)
        sock.send(json.dumps(pid).encode())


if __name__ == "__main__":
    main(sys.argv[1])
