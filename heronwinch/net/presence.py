"""Tells whether another process serves the same inherited listening socket, by locks on bytes of a file."""

import fcntl
import os
import struct

LOCK_FILE_NAME = "heronwinch.serving"
LOCK_RANGE = 1 << 22  # bytes for each socket, one for each process: process ids are lower than that
FLOCK_STRUCT = struct.Struct("@hhqqi4x")  # struct flock: l_type, l_whence, l_start, l_len, l_pid


class Presence:
    """Each process that serves the socket locks one byte of a shared file. The kernel releases a lock when
    its holder dies, so a killed process leaves no trace. The offset of the byte is made of the socket's inode
    number, which is the same in all processes that inherit it, and of the process id. If the file can't be
    used, because the disk is full or another user owns the file, the processes do not learn of each other; a
    start neither fails nor waits because of that."""

    def __init__(self, sock, folder):
        self.range_start = (os.fstat(sock.fileno()).st_ino & 0xFFFFFFFF) * LOCK_RANGE
        self.file = None
        try:
            flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK
            self.file = os.open(os.path.join(folder, LOCK_FILE_NAME), flags, 0o600)
            self._has_other_lock()
        except OSError:
            self.close()

    def announce_process(self):
        """Shows other processes that this one serves from now on; returns whether that was possible."""
        try:
            fcntl.lockf(
                self.file, fcntl.LOCK_EX | fcntl.LOCK_NB, 1, self.range_start + os.getpid() % LOCK_RANGE
            )
        except (OSError, TypeError):
            return False
        return True

    def has_other_processes(self):
        """Returns whether another process serves the socket; None if that can't be determined."""
        try:
            return self._has_other_lock()
        except (OSError, TypeError):
            return None

    def _has_other_lock(self):
        """Whether another process holds a lock in the socket's range. Raises OSError; TypeError if closed."""
        # The lock is only queried, not acquired: acquiring the whole range for a moment would keep a new
        # process from locking its byte.
        query = FLOCK_STRUCT.pack(fcntl.F_WRLCK, os.SEEK_SET, self.range_start, LOCK_RANGE, 0)
        return FLOCK_STRUCT.unpack(fcntl.fcntl(self.file, fcntl.F_GETLK, query))[0] != fcntl.F_UNLCK

    def close(self):
        """Releases the lock."""
        if self.file is not None:
            os.close(self.file)
            self.file = None
