"""Tests of the program in operation: operators' calls, evacuation of clients, hand-over to another process,
reloads, and starts while discovery fails."""

import asyncio
import json
import os
import signal
import socket

import pytest
from conftest import MS, ROOT, encode_job

from heronwinch import interface
from heronwinch.net.handover import SUCCESSOR_SOCKET_NAME
from heronwinch.net.presence import LOCK_FILE_NAME
from heronwinch.protocol.operators import MAX_LINE_BYTES, OperatorCallError, OperatorProtocol, encode_reply


@pytest.mark.parametrize("size", [1, 3, 100])
@pytest.mark.parametrize(
    "data", [b"readyz\n", b"  readyz \r\n", b"readyz\nevacuate\n", b"readyz\n" + b"x" * 999]
)
def test_the_first_complete_line_is_the_call_however_it_is_split(data, size):
    protocol = OperatorProtocol()
    calls = [protocol.feed_data(data[at : at + size]) for at in range(0, data.index(b"\n") + 1, size)]
    assert calls[-1] == "readyz" and not any(calls[:-1])


@pytest.mark.parametrize(
    "parts",
    [
        [b"\n"],
        [b"  \r\n"],
        [b"\xff\xfe\n"],
        [b"re\0ady\n"],
        [b"x" * (MAX_LINE_BYTES + 1)],
        [b"x"] * (MAX_LINE_BYTES + 1),
        [b""],
        [b"activate", b""],
    ],
)
def test_a_malformed_call_raises_an_error(parts):
    protocol = OperatorProtocol()
    with pytest.raises(OperatorCallError):
        for part in parts:
            assert protocol.feed_data(part) is None
    assert encode_reply(False, "what\xff").startswith(b"-ERR what") and encode_reply(True, "x").endswith(
        b"\n"
    )


@pytest.mark.parametrize(
    "pieces, ends, reply",
    [
        ((b"readyz\n",), False, "+OK ready\n"),
        ((b"rea", b"dyz\r", b"\n"), False, "+OK ready\n"),
        ((b"reboot\n",), False, "-ERR no such call; there are readyz, evacuate, activate\n"),
        ((b"evacu",), True, "-ERR the line has no end\n"),
        ((b"activate\n",), False, "+OK taking clients\n"),
    ],
)
def test_an_operators_call_gets_one_line_and_the_connection_closes(run_simulated, pieces, ends, reply):
    async def scenario(harness):
        assert await harness.call_operator(*pieces, ends=ends) == reply
        assert (await harness.send_job())[0] == 200

    run_simulated(scenario)


def test_unfinished_operator_calls_block_neither_operators_nor_clients(run_simulated):
    async def scenario(harness):
        silent = [await asyncio.open_connection(*harness.mgmt) for _ in range(40)]
        for _, writer in silent:
            writer.write(b"evacuate")
        async with asyncio.timeout(1):
            assert await harness.call_operator(b"readyz\n") == "+OK ready\n"
        assert (await harness.send_job())[0] == 200
        for _, writer in silent:
            writer.close()

    run_simulated(scenario, sockets=40)


def test_clients_are_evacuated_and_accepted_again(run_simulated):
    async def scenario(harness):
        for worker in harness.workers:
            worker.job_seconds = 0.3
        reader, busy = await asyncio.open_connection(*harness.address)
        idle_reader, idle = await asyncio.open_connection(*harness.address)
        for writer, connection_reader in ((busy, reader), (idle, idle_reader)):
            writer.write(encode_job(id="first" if writer is busy else "other"))
            await connection_reader.readuntil(b"HI")
        busy.write(encode_job(id="second"))
        assert (
            await harness.call_operator(b"evacuate\n")
            == await harness.call_operator(b"evacuate\n")
            == "+OK sending clients away\n"
        )
        assert (await harness.send_get("/-/ready"))[0] == 503
        assert (await harness.send_job(id="late"))[0] == 200  # new connections are still served for a while
        head = await reader.readuntil(b"HI")  # the job ran when the call came
        assert head.startswith(b"HTTP/1.1 200 ") and b"Connection: close" in head
        assert await reader.read() == await idle_reader.read() == b""
        await asyncio.sleep(2)
        assert (await harness.send_job(id="too-late"))[0] == 503  # refused at once: too late to finish
        assert await harness.call_operator(b"readyz\n") == "+OK ready\n"
        assert await harness.call_operator(b"activate\n") == "+OK taking clients\n"
        assert (await harness.send_get("/-/ready"))[0] == 200
        reader, writer = await asyncio.open_connection(*harness.address)
        for i in range(2):
            writer.write(encode_job(id=f"back{i}"))
            assert (await reader.readuntil(b"HI")).startswith(b"HTTP/1.1 200 ")
        for connection_writer in (busy, idle, writer):
            connection_writer.close()

    run_simulated(scenario, workers=4)


@pytest.mark.parametrize("again", [False, True])
def test_a_stop_during_an_evacuation_stops_the_program(run_simulated, again):
    async def scenario(harness):
        await harness.call_operator(b"evacuate\n")
        asked = asyncio.create_task(harness.send_job())
        await asyncio.sleep(0.05)
        harness.process.terminate()
        if again:
            await harness.call_operator(b"activate\n")
            assert (await harness.send_get("/-/ready"))[0] == 503
        assert (await asked)[0] == 200

    run_simulated(scenario)


# ---- hand-over to another process


def create_two_folders(path):
    (path / LOCK_FILE_NAME).mkdir()
    (path / SUCCESSOR_SOCKET_NAME).mkdir()


def create_pipe(path):
    os.mkfifo(path / LOCK_FILE_NAME)


def create_stale_files(path):
    (path / LOCK_FILE_NAME).write_bytes(b"\0" * 999)
    with socket.socket(socket.AF_UNIX, socket.SOCK_SEQPACKET) as dead:
        dead.bind(str(path / SUCCESSOR_SOCKET_NAME))


def create_socket_folder(path):
    (path / SUCCESSOR_SOCKET_NAME).mkdir()


@pytest.mark.parametrize(
    "leftover", [None, create_two_folders, create_pipe, create_stale_files, create_socket_folder]
)
def test_a_hand_over_to_a_new_process_loses_no_work_item(run_handover, leftover):
    async def scenario(harness, platform):
        if leftover is not None:
            leftover(platform.folder)
        old, mgmt = await platform.start()
        await platform.wait_until_ready(mgmt)
        reader, kept = await asyncio.open_connection(*harness.address)
        kept.write(encode_job(id="first"))
        await reader.readuntil(b"HI")
        idle_reader, idle = await asyncio.open_connection(*harness.address)
        idle.write(encode_job(id="other"))
        await idle_reader.readuntil(b"HI")
        for worker in harness.workers:
            worker.job_seconds = 0.4
        taken = asyncio.create_task(harness.send_job(id="taken"))
        new, mgmt = await platform.start()
        await platform.wait_until_ready(mgmt)
        kept.write(encode_job(id="second"))
        waiting = asyncio.create_task(harness.send_job(id="third"))
        await asyncio.sleep(0.1)
        old.terminate()
        answers = await asyncio.gather(*(harness.send_job(id=f"i{i}") for i in range(8)))
        assert answers == [(200, b"HI")] * 8
        assert await taken == await waiting == (200, b"HI")
        head = await reader.readuntil(b"HI")
        assert head.startswith(b"HTTP/1.1 200 ")
        async with asyncio.timeout(5):
            _, logged = await old.communicate()
        assert old.returncode == 0 and b"unanswered=0" in logged, logged
        assert b"followed=false" not in logged
        assert (await harness.send_job(id="last"))[0] == 200 and (
            (await harness.send_get("/-/ready"))[0] == 200
        )
        idle.write(encode_job(id="on"))
        assert (b" 200 " in await idle_reader.readline()) == (
            leftover in (None, create_pipe, create_stale_files)
        )
        kept.close()
        idle.close()
        new.terminate()
        _, logged = await new.communicate()
        assert new.returncode == 0 and b"Traceback" not in logged, logged
        if leftover in (None, create_stale_files):
            assert b"event=alone" in logged and b"followed=false" in logged
        assert sum(len(w.jobs) for w in harness.workers) == 14 + (
            leftover in (None, create_pipe, create_stale_files)
        )

    run_handover(scenario, workers=4)


@pytest.mark.parametrize("path", ["/render/1?sid=7", "/charge/1"])
def test_long_work_continues_in_the_new_process_and_runs_once(run_handover, path):
    # Guards against deferring work at the end of a stop because it runs longer: it would then be run again.
    async def scenario(harness, platform):
        old, mgmt = await platform.start()
        await platform.wait_until_ready(mgmt)
        for worker in harness.workers:
            worker.job_seconds = 3.6
        long = [
            asyncio.create_task(harness.send_job(path, id=f"long{i}", body=b"x%d" % i, deadline="9.0"))
            for i in range(2)
        ]
        new, mgmt = await platform.start()
        await platform.wait_until_ready(mgmt)
        old.terminate()
        async with asyncio.timeout(1):
            _, logged = await old.communicate()  # the old process owes no answer any more
        assert b"unanswered=0" in logged and b"passed_on" in logged and b"deferred" not in logged, logged
        assert await asyncio.gather(*long) == [(200, b"X%d" % i) for i in range(2)]
        assert sum(len(w.jobs) for w in harness.workers) == 2
        new.terminate()
        _, logged = await new.communicate()
        assert b"connections=2" in logged and b"Traceback" not in logged, logged

    run_handover(scenario, workers=1)


def test_connections_lost_after_a_hand_over_write_off_running_exclusive_work_only(run_handover):
    async def scenario(harness, platform):
        old, mgmt = await platform.start()
        await platform.wait_until_ready(mgmt)
        for worker in harness.workers:
            worker.job_seconds = 2.0
        running = [asyncio.create_task(harness.send_job("/charge/1", id=f"r{i}")) for i in range(2)]
        await asyncio.sleep(0.1)
        waiting = [asyncio.create_task(harness.send_job("/render/1", id=f"w{i}")) for i in range(2)]
        new, mgmt = await platform.start()
        await platform.wait_until_ready(mgmt)
        async with asyncio.timeout(10):
            while sum(worker.unanswered_count for worker in harness.workers) < 2:
                await asyncio.sleep(0.01)
        old.terminate()
        await old.communicate()
        # Exclusive work that may have run is written off, the other work is handed off again.
        for worker in harness.workers:
            for transport in worker.transports:
                transport.abort()
            worker.job_seconds = 0.05
        assert [answer[0] for answer in await asyncio.gather(*running)] == [500, 500]
        assert [answer[0] for answer in await asyncio.gather(*waiting)] == [200, 200]
        assert sum(b"charge" in target for w in harness.workers for _, target, _ in w.jobs) == 2
        new.terminate()
        _, logged = await new.communicate()
        assert b"Traceback" not in logged, logged

    run_handover(scenario, workers=1)


def test_a_new_process_that_dies_before_it_accepts_changes_nothing(run_handover):
    async def scenario(harness, platform):
        old, mgmt = await platform.start()
        await platform.wait_until_ready(mgmt)
        new, _ = await platform.start()
        await asyncio.sleep(0.5)
        new.kill()
        await new.wait()
        broken, _ = await platform.start(RELAY_CONFIG="/nowhere")
        assert await broken.wait() == 2
        assert [(await harness.send_job())[0] for _ in range(6)] == [200] * 6
        old.terminate()
        # No process takes over, so new connections are still served for a while.
        assert (await harness.send_job())[0] == 200
        _, logged = await old.communicate()
        assert b"followed=false" in logged

    run_handover(scenario)


@pytest.mark.parametrize("descriptor, status", [("x", 2), ("-1", 2), ("9", 1), ("2", 1)])
def test_a_descriptor_that_does_not_listen_is_reported_in_one_line(run_handover, descriptor, status):
    async def scenario(harness, platform):
        process, _ = await platform.start(descriptor)
        _, errors = await process.communicate()
        assert process.returncode == status and errors.count(b"\n") == 1 and b"RELAY_LISTEN_FD" in errors

    run_handover(scenario)


# ---- reloads


def set_categories(harness, *changes):
    """Sets the example's categories with changes: (name, new fields, or None to remove the category)."""
    old = json.loads((ROOT / "examples" / "config.json").read_text())["settings"]["categories"]
    new = {row["name"]: row for row in old}
    for name, change in changes:
        new[name] = None if change is None else {**(new.get(name) or old[0]), "name": name, **change}
    harness.settings["categories"] = [row for row in new.values() if row]


async def reload_and_wait(harness, event="reloaded"):
    """Makes the program reload its configuration; returns once it has logged the event."""
    before = sum("event=" + event in line for line in harness.logged)
    harness.process.send_signal(signal.SIGHUP)
    async with asyncio.timeout(5):
        while sum("event=" + event in line for line in harness.logged) == before:
            await asyncio.sleep(0.01)


def test_a_reload_adds_removes_and_changes_categories_while_work_runs(run_simulated):
    async def scenario(harness):
        for worker in harness.workers:
            worker.job_seconds = 0.6
        reader, kept = await asyncio.open_connection(*harness.address)
        kept.write(encode_job("/render/1", id="kept"))
        taken = [asyncio.create_task(harness.send_job(path)) for path in ("/render/1", "/charge/1")]
        while sum(w.unanswered_count for w in harness.workers) < 3:
            await asyncio.sleep(0.01)
        set_categories(
            harness,
            ("render", None),
            ("charge", {"effect": "dedup", "group": "all", "window_ns": 10**10}),
            ("weigh", {"effect": "fragile"}),
        )
        harness.write_config()
        await reload_and_wait(harness)
        assert (await harness.send_job("/weigh/1"))[0] == 200
        assert (await harness.send_job("/charge/1"))[0] == 400  # a ticket is now required
        assert (await harness.send_job("/charge/1", Idempotency_Key="k"))[0] == 200
        assert (await harness.send_job("/render/1"))[0] == 404
        assert [answer[0] for answer in await asyncio.gather(*taken)] == [200, 200]
        await reader.readuntil(b"HI")
        for _ in range(2):  # a removed category is refused, and the connection stays open
            kept.write(encode_job("/render/1", id="gone"))
            assert b" 404 " in await reader.readuntil(b"category\n")
        set_categories(harness, ("weigh", None))
        harness.write_config()
        await reload_and_wait(harness)
        kept.write(encode_job("/render/1", id="back"))
        assert (await reader.readuntil(b"HI")).startswith(b"HTTP/1.1 200 ")
        kept.close()

    run_simulated(scenario, workers=4)


def test_a_reload_while_the_program_stops_takes_effect(run_simulated):
    # Guards against a stopping process and its successor that serve different categories.
    async def scenario(harness):
        harness.process.terminate()
        await asyncio.sleep(0.1)
        set_categories(harness, ("render", None), ("weigh", {"effect": "fragile"}))
        harness.write_config()
        await reload_and_wait(harness)
        assert (await harness.send_job("/render/1"))[0] == 404
        assert (await harness.send_job("/weigh/1"))[0] == 200

    run_simulated(scenario)


def test_a_reload_that_comes_after_the_stop_changes_nothing(run_in_process):
    async def scenario(harness):
        program = harness.program
        close_discovery = program.discovery.close

        def close_and_get_signal():
            close_discovery()
            harness.config_changes["discovery"] = "127.0.0.1:1"
            program._handle_sighup()

        program.discovery.close = close_and_get_signal
        program.stop_event.set()
        await harness.program_task
        assert program.config.discovery != ("127.0.0.1", 1)

    run_in_process(scenario)


def truncate(tree):
    return json.dumps(tree)[:-40]


def remove_key(*names):
    def change(tree):
        node = tree
        for name in names[:-1]:
            node = node[name]
        del node[names[-1]]
        return json.dumps(tree)

    change.__name__ = "without " + ".".join(map(str, names))
    return change


def replace_value(value, *names):
    def change(tree):
        node = tree
        for name in names[:-1]:
            node = node[name]
        node[names[-1]] = value
        return json.dumps(tree)

    change.__name__ = f"{names[-1]} {value!r}"
    return change


CATEGORY_PATH = "settings", "categories", 1
CONFIG_CORRUPTIONS = [
    lambda tree: "",
    lambda tree: "[]",
    truncate,
    *(remove_key(name) for name in ("name", "listen", "discovery", "seed", "limits", "known", "settings")),
    remove_key("limits", "memory_mb"),
    remove_key("known", "hosts"),
    remove_key("settings", "siblings"),
    remove_key("settings", "categories"),
    remove_key("settings", "limits", "may_cancel"),
    remove_key("settings", "realms"),
    remove_key(*CATEGORY_PATH, "expiry_ns"),
    remove_key(*CATEGORY_PATH, "credit"),
    remove_key(*CATEGORY_PATH, "group"),
    remove_key(*CATEGORY_PATH, "window_ns"),
    *(
        replace_value(value, *CATEGORY_PATH, "expiry_ns")
        for value in (0, -5, float("nan"), float("inf"), "soon", "5", True, None)
    ),
    *(
        replace_value(value, "settings", "limits", "most_hand_offs")
        for value in (0, -1, "4", False, None, [4])
    ),
]


@pytest.mark.parametrize("corrupt", CONFIG_CORRUPTIONS, ids=lambda corrupt: corrupt.__name__)
def test_a_configuration_with_any_fault_changes_nothing(run_simulated, corrupt):
    async def scenario(harness):
        tree = harness.build_config(
            {"discovery": "127.0.0.1:1"}
        )  # would show if a part of the file were used
        tree["settings"]["categories"][0]["effect"] = "dedup"
        harness.write_config().write_text(corrupt(tree))
        await reload_and_wait(harness, "reload_refused")
        assert (await harness.send_job())[0] == 200
        (line,) = [line for line in harness.logged if "reload_refused" in line]
        assert "config.json" in line and "discovery_failed" not in "".join(harness.logged)

    run_simulated(scenario)


def test_accounts_areas_and_kinds_are_renamed_without_a_restart(run_simulated):
    async def scenario(harness):
        harness.settings |= {
            "areas": ["z", "a"],
            "az": 1,
            "models": ["other", "std"],
            "realms": [{"name": "x", "share": 0.5, "allowance_per_s": 9.0}],
        }
        set_categories(harness, ("render", {}))
        harness.settings["family_info.class_kind"] = [1, -1, -1]
        harness.write_config()
        await reload_and_wait(harness)
        assert [(await harness.send_job())[0] for _ in range(3)] == [200] * 3
        assert "needs_restart= " in harness.logged[-1] or harness.logged[-1].endswith("needs_restart=")

    run_simulated(scenario)


# ---- dispatchers that start together


def test_a_start_while_discovery_refuses_calls_serves_with_the_known_list(run_simulated):
    # Guards against a thundering herd when dispatchers start together: each call adds load to discovery.
    async def scenario(harness):
        harness.process.kill()
        harness.discovery.is_failing = True
        await harness.start()
        calls = len(harness.discovery.calls)
        assert [(await harness.send_job())[0] for _ in range(5)] == [200] * 5
        await asyncio.sleep(8)
        assert 1 <= len(harness.discovery.calls) - calls <= 6
        harness.discovery.is_failing = False
        harness.discovery.publish_changes()
        await asyncio.sleep(5)
        assert "discovery_back" in "".join(harness.logged)

    run_simulated(scenario)


def test_retries_of_dispatchers_started_together_spread_out(make_driver):
    pauses = [[], []]  # after the first and the third failure
    for seed in range(48):
        driver = make_driver(seed=seed, connect_timeout=250 * MS)
        for failure in range(3):
            before = len(driver.timers)
            driver.handle_events(interface.Listed(interface.ListKind.FAILED, 0, ()))
            if failure != 1:
                pauses[failure // 2].append(driver.timers[before][0] - driver.now)
            driver.handle_events(after=5000)
    assert min(pauses[1]) > min(pauses[0]) and sum(pauses[1]) > 2 * sum(pauses[0])
    assert all(max(times) > 2 * min(times) and len(set(times)) == 48 for times in pauses)
