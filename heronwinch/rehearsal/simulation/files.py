"""The files of a simulated machine: a crash loses, in whole or in part, what was not synced.

This is the strictest reading of POSIX that programs have to live with: the bytes of a file are durable once
the file is synced, its name once the directory is synced. Of an append that was not synced, any leading part
may remain.
"""

import errno


class Inode:
    """The content of a file as processes see it, and what of it is durable."""

    __slots__ = ("data", "durable_data")

    def __init__(self):
        self.data, self.durable_data = bytearray(), b""


class Files:
    """All files of a machine, in one directory.

    `capacity` is the size of the disk in bytes. `random` decides how much unsynced data a crash leaves;
    without it a crash leaves none.
    """

    def __init__(self, capacity=1 << 40, random=None):
        self.capacity = capacity
        self.random = random
        self.inodes = {}  # path -> Inode, as processes see it
        self.durable_inodes = {}  # path -> Inode, as found after a crash
        self.injected_errno = None  # error number that every write and sync fails with, if any
        self.sync_count = 0

    def _get_inode(self, path):
        if path not in self.inodes:
            raise FileNotFoundError(errno.ENOENT, "No such file or directory", path)
        return self.inodes[path]

    def _check_writable(self, path, added_bytes):
        if self.injected_errno is not None:
            raise OSError(self.injected_errno, "injected", path)
        if added_bytes > 0 and self.compute_used_bytes() + added_bytes > self.capacity:
            raise OSError(errno.ENOSPC, "No space left on device", path)

    def compute_used_bytes(self):
        return sum(len(inode.data) for inode in self.inodes.values())

    def read(self, path):
        return bytes(self._get_inode(path).data)

    def read_text(self, path):
        return self.read(path).decode()

    def list_paths(self):
        return sorted(self.inodes)

    def write(self, path, data):
        """Replaces the content of a file, as open(2) with O_TRUNC does: after a crash it may be empty."""
        inode = self.inodes.get(path) or Inode()
        self._check_writable(path, len(data) - len(inode.data))
        inode.data[:] = data
        inode.durable_data = b""
        self.inodes[path] = inode

    def append(self, path, data):
        """Appends to a file, which it creates if needed; a full disk takes a part before the error."""
        inode = self.inodes.get(path) or Inode()
        free_bytes = self.capacity - self.compute_used_bytes()
        if 0 <= free_bytes < len(data) and self.injected_errno is None:
            inode.data += data[:free_bytes]  # a short write, as on a full disk
            self.inodes[path] = inode
        self._check_writable(path, len(data))
        inode.data += data
        self.inodes[path] = inode

    def truncate(self, path, size):
        self._check_writable(path, 0)
        del self._get_inode(path).data[size:]

    def sync(self, path):
        """Makes the content of a file durable, though not its name."""
        self._check_writable(path, 0)
        self.sync_count += 1
        inode = self._get_inode(path)
        inode.durable_data = bytes(inode.data)

    def sync_directory(self):
        """Makes the present names durable."""
        self._check_writable("", 0)
        self.sync_count += 1
        self.durable_inodes = dict(self.inodes)

    def rename(self, old_path, new_path):
        self._check_writable(new_path, 0)
        inode = self._get_inode(old_path)
        del self.inodes[old_path]
        self.inodes[new_path] = inode

    def remove(self, path):
        self._get_inode(path)
        del self.inodes[path]

    def crash(self):
        """Goes back to what is durable, with a random leading part of the bytes appended since."""
        for inode in [*self.inodes.values(), *self.durable_inodes.values()]:
            data, remaining = bytes(inode.data), inode.durable_data
            if data.startswith(remaining) and self.random is not None:
                remaining += data[
                    len(remaining) : len(remaining) + self.random.randint(0, len(data) - len(remaining))
                ]
            inode.data, inode.durable_data = bytearray(remaining), remaining
        self.inodes = dict(self.durable_inodes)

    def install(self, path, data):
        """Places a file from outside, as an operator does; it is durable at once."""
        inode = Inode()
        inode.data, inode.durable_data = bytearray(data), bytes(data)
        self.inodes[path] = self.durable_inodes[path] = inode
