"""The store of a dispatcher's ledger on simulated files: framed rows in one file of the machine.

As with the real store, what was committed is there after a crash; of what was not, any leading part may be.
"""

import asyncio
import struct
import zlib

from heronwinch.interface import SECOND
from heronwinch.ledger.store import StoreContents, StoreIOError

FRAME_HEADER = struct.Struct("<II")  # length, CRC-32
MAX_ROW_BYTES = 1 << 24


def encode_frames(rows):
    """Each row preceded by its length and checksum."""
    return b"".join(FRAME_HEADER.pack(len(row), zlib.crc32(row)) + row for row in rows)


def decode_frames(data):
    """Returns (rows, damage or ""); a frame cut short at the end was never committed."""
    rows, offset = [], 0
    while offset + FRAME_HEADER.size <= len(data):
        size, checksum = FRAME_HEADER.unpack_from(data, offset)
        if size > MAX_ROW_BYTES:
            return rows, f"row {len(rows) + 1} is spoilt"  # no such length is ever written
        row = bytes(data[offset + FRAME_HEADER.size : offset + FRAME_HEADER.size + size])
        if len(row) < size:
            break
        if zlib.crc32(row) != checksum:
            return rows, f"row {len(rows) + 1} is spoilt"
        rows.append(row)
        offset += FRAME_HEADER.size + size
    return rows, ""


class SimulatedDisk:
    """The interface of net/disk.py on simulated files; each commit takes `commit_ns` nanoseconds."""

    def __init__(self, process, path, commit_ns):
        self.process, self.files, self.path, self.commit_ns = process, process.files, path, commit_ns

    async def _wait_for_commit(self):
        await asyncio.sleep(self.commit_ns / SECOND)

    async def open(self):
        """Reads the store, and returns its StoreContents."""
        await self._wait_for_commit()
        try:
            rows, damage = decode_frames(self.files.read(self.path))
        except FileNotFoundError:
            rows, damage = [], ""
        return StoreContents(rows, damage)

    async def append(self, rows):
        """Appends and commits rows; raises StoreIOError if the disk fails or is full."""
        try:
            self.files.append(self.path, encode_frames(rows))
            await self._wait_for_commit()
            self.files.sync(self.path)
        except OSError as error:
            raise StoreIOError(str(error)) from None

    async def rewrite(self, rows):
        """Replaces all rows atomically; raises StoreIOError if the disk fails or is full."""
        new_path = self.path + ".new"
        try:
            self.files.write(new_path, encode_frames(rows))
            await self._wait_for_commit()
            self.files.sync(new_path)
            self.files.rename(new_path, self.path)
            self.files.sync_directory()
        except OSError as error:
            raise StoreIOError(str(error)) from None

    start_new_file = rewrite

    def close(self):
        pass
