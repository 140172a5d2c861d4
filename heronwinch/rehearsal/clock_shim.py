"""A wall clock that can be set, for one process of a rig. Its monotonic clock runs on.

The rig writes by how many nanoseconds the process's wall clock is off into a file in memory that both have
open; the shim adds it to what Python's `time` module tells the process.
"""

import mmap
import os
import struct
import time

OFFSET = struct.Struct("q")


class WallClockFile:
    """The rig's side: the offset of one process's wall clock, which outlives the process."""

    def __init__(self, name):
        self.descriptor = os.memfd_create(name, 0)
        os.pwrite(self.descriptor, OFFSET.pack(0), 0)

    def step(self, offset_ns):
        """Sets the wall clock forward by so many nanoseconds, back if that is less than 0."""
        (old_offset,) = OFFSET.unpack(os.pread(self.descriptor, OFFSET.size, 0))
        os.pwrite(self.descriptor, OFFSET.pack(old_offset + offset_ns), 0)

    def close(self):
        os.close(self.descriptor)


def install(descriptor):
    """Makes the wall clock of this process follow the file with this descriptor."""
    shared = mmap.mmap(descriptor, OFFSET.size, prot=mmap.PROT_READ)
    read_real_ns = time.time_ns

    def read_ns():
        return read_real_ns() + OFFSET.unpack(shared[: OFFSET.size])[0]

    time.time_ns = read_ns
    time.time = lambda: read_ns() / 1e9
