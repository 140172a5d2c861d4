"""Tests of the table of ids that must not run again."""

import socket

import pytest

from heronwinch.interface import SECOND
from heronwinch.net import recent_ids
from heronwinch.net.recent_ids import make_private_ids, open_shared_ids


class ManualClock:
    def __init__(self):
        self.time = 1000 * SECOND

    def __call__(self):
        return self.time


@pytest.fixture
def listening_socket():
    with socket.socket() as sock:
        yield sock


def test_ids_are_recent_for_a_while_after_their_release():
    clock = ManualClock()
    ids = make_private_ids(clock)
    for id in (b"a", b"b"):
        ids.add(id, 5 * SECOND)
    ids.release(b"a")
    assert (b"a" in ids, b"b" in ids, b"c" in ids, len(ids)) == (True, True, False, 1)
    clock.time += 10 * SECOND
    assert (b"a" in ids, b"b" in ids) == (False, True)
    clock.time += 5 * SECOND  # its work item has ended by then, whether or not it was released
    assert b"b" not in ids


# Guards against an id that is forgotten, and runs again, because many others have come since.
def test_a_full_table_takes_no_more_ids_and_drops_none():
    clock = ManualClock()
    ids = make_private_ids(clock)
    added = []
    for number in range(2 * recent_ids.SLOT_COUNT):
        id = b"id%d" % number
        if ids.has_room(id):
            ids.add(id, SECOND)
            added.append(id)
    assert recent_ids.SLOT_COUNT // 2 < len(added) < 2 * recent_ids.SLOT_COUNT
    assert all(id in ids for id in added)
    clock.time += 11 * SECOND
    assert ids.has_room(id) and not any(id in ids for id in added)


def test_processes_at_one_socket_share_their_ids(listening_socket, tmp_path):
    clock = ManualClock()
    first, second = (open_shared_ids(clock, listening_socket, tmp_path) for _ in range(2))
    first.add(b"a", SECOND)
    second.add(b"b", SECOND)
    assert b"a" in second and b"b" in first and second.held == {b"b"}
    with socket.socket() as other_socket:
        assert b"a" not in open_shared_ids(clock, other_socket, tmp_path)


def test_entries_from_before_the_clock_began_anew_are_dropped(listening_socket, tmp_path):
    clock = ManualClock()
    clock.time = 400 * 86_400 * SECOND
    open_shared_ids(clock, listening_socket, tmp_path).add(b"a", SECOND)
    clock.time = SECOND
    assert b"a" not in open_shared_ids(clock, listening_socket, tmp_path)


def test_a_folder_that_cannot_be_used_is_an_error(listening_socket, tmp_path, monkeypatch):
    with pytest.raises(OSError):
        open_shared_ids(ManualClock(), listening_socket, tmp_path / "missing")

    def fail(*_):
        raise OSError("no space left")

    monkeypatch.setattr(recent_ids.os, "posix_fallocate", fail)
    with pytest.raises(OSError):
        open_shared_ids(ManualClock(), listening_socket, tmp_path)


def test_an_id_that_was_forgotten_leaves_its_place_to_others(monkeypatch):
    monkeypatch.setattr(recent_ids, "SLOT_COUNT", 64)
    ids = make_private_ids(ManualClock())
    for number in range(1000):
        id = b"id%d" % number
        assert ids.has_room(id)
        ids.add(id, SECOND)
        ids.forget(id)
        assert id not in ids
    assert not len(ids)
