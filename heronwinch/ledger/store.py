"""The store of the write-ahead log on disk: rows in SQLite, in WAL mode with a sync for each commit.

Each row has its number and a checksum. Reading stops at the first damaged row: the rows before it are kept,
and none after it is used. Only one process may have the store open for writing; a second one is refused.

SQLite was compared with LMDB and with a log format of our own: docs/measured/recovery.md."""

import fcntl
import os
import sqlite3
import zlib
from contextlib import suppress
from typing import NamedTuple

TABLE_FORMAT = 1  # version of the tables; a store of a later one is refused
CHECKPOINT_WAL_PAGES = 400  # pages of the WAL after which SQLite copies them into the database


class StoreError(Exception):
    """The store must not be used. The message is one line that names the file and the remedy."""


class StoreIOError(OSError):
    """The disk has failed. Nothing of a write that raises this counts as durable."""


class StoreContents(NamedTuple):
    """The rows of a store. `damage` tells where and why reading stopped early, "" if it did not."""

    rows: list[bytes]
    damage: str = ""


def _checksum_row(number, row):
    return zlib.crc32(row, number & 0xFFFFFFFF)


class Store:
    """Rows in one SQLite file. All calls block, and are made by one thread at a time."""

    def __init__(self, path):
        self.path = path
        self.db = None
        self.lock_fd = None
        self.row_count = 0

    def open(self, for_writing=True):
        """Opens the store, for its one writer or for reading alone. Raises StoreError where it must not be
        used, StoreIOError where the disk fails."""
        directory = os.path.dirname(os.path.abspath(self.path))
        if not os.path.isdir(directory):
            raise StoreError(f"{self.path}: there is no folder {directory}; make it, or name another file")
        try:
            if for_writing:
                self.lock_fd = os.open(self.path + ".lock", os.O_CREAT | os.O_RDWR, 0o600)
                fcntl.flock(self.lock_fd, fcntl.LOCK_EX | fcntl.LOCK_NB)
            elif not os.path.exists(self.path):
                raise StoreError(f"{self.path}: there is no such store; name the file in the section ledger")
        except BlockingIOError:
            self.close()
            raise StoreError(f"{self.path}: another process has it; give each dispatcher its own") from None
        except OSError as error:
            self.close()
            raise StoreIOError(f"{self.path}: {error.strerror}") from None
        try:
            self._connect(for_writing)
        except sqlite3.OperationalError as error:
            self.close()
            raise StoreIOError(f"{self.path}: {error}") from None
        except sqlite3.DatabaseError:
            pass  # the file cannot be read at all: `read` reports that

    def _connect(self, for_writing):
        uri = f"file:{self.path.replace('?', '%3f').replace('#', '%23')}{'' if for_writing else '?mode=ro'}"
        self.db = sqlite3.connect(uri, uri=True, isolation_level=None, check_same_thread=False)
        if for_writing:
            self.db.execute("pragma journal_mode=wal")
            self.db.execute("pragma synchronous=full")
            self.db.execute(f"pragma wal_autocheckpoint={CHECKPOINT_WAL_PAGES}")
        (form,) = self.db.execute("pragma user_version").fetchone()
        if form > TABLE_FORMAT:
            self.close()
            raise StoreError(
                f"{self.path}: written by a later version (form {form}, this one reads {TABLE_FORMAT}); "
                "start that version, or name another file"
            )
        if for_writing and not form:
            self.db.execute(
                "create table if not exists rows (number integer primary key, sum integer, row blob)"
            )
            self.db.execute(f"pragma user_version={TABLE_FORMAT}")

    def read(self):
        """Returns the StoreContents: the rows up to the first damaged one."""
        rows, damage = [], ""
        next_number = 1
        self.row_count = 0
        try:
            for number, checksum, row in self.db.execute("select number, sum, row from rows order by number"):
                if number != next_number:
                    damage = f"row {next_number} is missing"
                elif not isinstance(row, bytes) or checksum != _checksum_row(number, row):
                    damage = f"row {number} is spoilt"
                if damage:
                    break
                rows.append(row)
                next_number += 1
        except sqlite3.DatabaseError as error:
            damage = f"after row {next_number - 1}: {error}"
        if not damage:
            with suppress(sqlite3.DatabaseError):
                (verdict,) = self.db.execute("pragma quick_check(1)").fetchone()
                damage = "" if verdict == "ok" else f"among {next_number - 1} rows: {verdict.splitlines()[0]}"
        self.row_count = len(rows)
        return StoreContents(rows, damage)

    def append(self, rows):
        """Appends rows, durable on return; raises StoreIOError."""
        first_number = self.row_count + 1
        try:
            self.db.execute("begin immediate")
            self.db.executemany(
                "insert into rows values (?, ?, ?)",
                ((number, _checksum_row(number, row), row) for number, row in enumerate(rows, first_number)),
            )
            self.db.execute("commit")
        except sqlite3.Error as error:
            with suppress(sqlite3.Error):
                self.db.execute("rollback")
            raise StoreIOError(f"{self.path}: {error}") from None
        self.row_count += len(rows)

    def rewrite(self, rows):
        """Replaces all rows by these or leaves all as they were; raises StoreIOError. Writes a new file, as a
        file that has failed or is damaged is not trusted with more."""
        new_store = Store(self.path + ".new")
        try:
            for suffix in ("", "-wal", "-shm"):
                with suppress(FileNotFoundError):
                    os.unlink(new_store.path + suffix)
            new_store._connect(True)
            new_store.append(rows)
            new_store.db.execute("pragma wal_checkpoint(truncate)")
            new_store.db.close()
            # The WAL of the old file is copied into the old file before it is unlinked: until the new file
            # takes its place, the old file has to hold all rows.
            (busy, *_) = self.db.execute("pragma wal_checkpoint(truncate)").fetchone()
            if busy:
                raise sqlite3.OperationalError("database is locked")
            self.db.close()
            # Removes the WAL and index of the old file, which SQLite must not apply to the new one.
            for suffix in ("-wal", "-shm"):
                with suppress(FileNotFoundError):
                    os.unlink(self.path + suffix)
            os.replace(new_store.path, self.path)
            self._sync_directory()
            self._connect(True)
        except (OSError, sqlite3.Error) as error:
            raise StoreIOError(f"{self.path}: {error}") from None
        self.row_count = len(rows)

    def _sync_directory(self):
        directory_fd = os.open(os.path.dirname(os.path.abspath(self.path)), os.O_RDONLY)
        try:
            os.fsync(directory_fd)
        finally:
            os.close(directory_fd)

    def start_new_file(self, rows):
        """Keeps the present file under another name and writes these rows into a new one. Raises
        StoreIOError."""
        with suppress(sqlite3.Error):
            self.db.close()
        try:
            for suffix in ("", "-wal", "-shm"):
                with suppress(FileNotFoundError):
                    os.replace(self.path + suffix, f"{self.path}.spoilt{suffix}")
            self._connect(True)
        except (OSError, sqlite3.Error) as error:
            raise StoreIOError(f"{self.path}: {error}") from None
        self.row_count = 0
        self.append(rows)

    def close(self):
        if self.db is not None:
            with suppress(sqlite3.Error):
                self.db.close()
            self.db = None
        if self.lock_fd is not None:
            os.close(self.lock_fd)
            self.lock_fd = None
