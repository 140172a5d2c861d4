"""The ids of work items that are held, or that may have run and ended a while ago: such an id must not run
again.

They stand in a table of fixed size. Processes that serve the same inherited socket share it, through a file
that all of them map, so that an id which one of them has accepted is known to the other from then on, also
after the first has been killed."""

import contextlib
import fcntl
import mmap
import os
import struct
from hashlib import blake2b

SLOT_COUNT = 32 * 1024
PROBED_SLOTS = 64  # slots in which the entry of an id may stand
SLOT = struct.Struct("=QQ")  # hash of the id, clock time in nanoseconds until which it is kept
TABLE_BYTES = (SLOT_COUNT + PROBED_SLOTS) * SLOT.size
TABLE_FILE_NAME = "heronwinch.ids"
# An entry that is to be kept for longer was written before the machine's clock began anew.
MAX_KEEP_NS = 2 * 86_400 * 1_000_000_000
RECENT_NS = 10_000_000_000  # how long an id is kept after its work item has ended


class RecentIds:
    """A set of ids, of which each is dropped by itself at its time. `read_clock` returns the clock time in
    nanoseconds, the same in all processes that share `memory`, which is a zeroed buffer of TABLE_BYTES.
    `lock_file` is the descriptor of the file that is shared, None if the memory is not."""

    def __init__(self, read_clock, memory, lock_file=None):
        self.read_clock, self.memory, self.lock_file = read_clock, memory, lock_file
        self.held = set()  # ids of the work items that this process holds
        if lock_file is not None:
            self._drop_entries_of_another_clock()

    def __contains__(self, id):
        return self._find(_hash(id), self.read_clock())[0] is not None

    def __len__(self):
        """Returns the number of ids held here."""
        return len(self.held)

    def has_room(self, id):
        """Whether an id can be added. The table never drops an id to make room for another."""
        return self._find(_hash(id), self.read_clock()) != (None, None)

    def add(self, id, time_left):
        """Adds the id of a work item that is held from now on and ends within `time_left` nanoseconds; does
        nothing if there is no room."""
        self.held.add(id)
        self._keep(id, time_left + RECENT_NS)

    def release(self, id):
        """Starts the time after which the id of a work item that has ended, and may have run, is dropped."""
        self.held.discard(id)
        self._keep(id, RECENT_NS)

    def forget(self, id):
        """Drops the id of a work item that never ran: it may come again."""
        self.held.discard(id)
        with self._lock():
            entry_offset, _ = self._find(_hash(id), self.read_clock())
            if entry_offset is not None:
                SLOT.pack_into(self.memory, entry_offset, 0, 0)

    def _keep(self, id, nanoseconds):
        with self._lock():
            now, id_hash = self.read_clock(), _hash(id)
            entry_offset, free_offset = self._find(id_hash, now)
            offset = free_offset if entry_offset is None else entry_offset
            if offset is not None:
                SLOT.pack_into(self.memory, offset, id_hash, now + min(nanoseconds, MAX_KEEP_NS))

    def _find(self, id_hash, now):
        """Returns the offsets of the entry with this hash and of the first free slot for it; None for what
        there is not."""
        start = id_hash % SLOT_COUNT * SLOT.size
        free_offset = None
        probed = self.memory[start : start + PROBED_SLOTS * SLOT.size]
        for number, (entry_hash, kept_until) in enumerate(SLOT.iter_unpack(probed)):
            if kept_until <= now:
                if free_offset is None:
                    free_offset = start + number * SLOT.size
            elif entry_hash == id_hash:
                return start + number * SLOT.size, free_offset
        return None, free_offset

    @contextlib.contextmanager
    def _lock(self):
        """Keeps other processes from writing at the same time. Where one of them stands still with the lock
        this process goes on without: that costs an entry at most, where both choose the same slot."""
        is_locked = False
        if self.lock_file is not None:
            with contextlib.suppress(OSError):
                fcntl.lockf(self.lock_file, fcntl.LOCK_EX | fcntl.LOCK_NB)
                is_locked = True
        try:
            yield
        finally:
            if is_locked:
                fcntl.lockf(self.lock_file, fcntl.LOCK_UN)

    def _drop_entries_of_another_clock(self):
        """Frees the slots that an earlier run of the machine has left."""
        latest = self.read_clock() + MAX_KEEP_NS + RECENT_NS
        for number, (_, kept_until) in enumerate(SLOT.iter_unpack(bytes(self.memory))):
            if kept_until > latest:
                SLOT.pack_into(self.memory, number * SLOT.size, 0, 0)


def _hash(id):
    """Returns a number of 64 bits, the same in all processes."""
    return int.from_bytes(blake2b(id, digest_size=8).digest(), "little")


def make_private_ids(read_clock):
    """Returns RecentIds of this process alone."""
    return RecentIds(read_clock, bytearray(TABLE_BYTES))


def open_shared_ids(read_clock, sock, folder):
    """Returns RecentIds that all processes share which serve the socket, which they inherit, and use the
    folder. Raises OSError where the file can't be used."""
    path = os.path.join(folder, f"{TABLE_FILE_NAME}.{os.fstat(sock.fileno()).st_ino:x}")
    descriptor = os.open(path, os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW | os.O_NONBLOCK, 0o600)
    try:
        os.posix_fallocate(descriptor, 0, TABLE_BYTES)  # a full disk is an error now, not a signal later
        return RecentIds(read_clock, mmap.mmap(descriptor, TABLE_BYTES), descriptor)
    except (OSError, ValueError) as error:
        os.close(descriptor)
        raise OSError(f"{path}: {error}") from None
