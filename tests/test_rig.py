"""Tests of membership views in the whole program: several real processes with faults between them, the same
scripts in the simulation, and the configuration section `fleet`."""

import asyncio
import functools
import json
import os
import re
import signal
import socket
import subprocess
import sys
import time

import msgspec
import pytest
from conftest import (
    FAULT_EVENTS,
    ROOT,
    SMALL_SCRIPT,
    TERMS,
    Driver,
    find_free_address,
    format_trouble,
    make_entry,
)

from heronwinch import interface as it
from heronwinch.interface import SECOND
from heronwinch.plan import ConfigError, read_config
from heronwinch.policy import Dispatcher
from heronwinch.rehearsal import link_faults, loopback, standin_process
from heronwinch.rehearsal import runner as runners
from heronwinch.rehearsal import script as scripts
from heronwinch.rehearsal.script import ScriptError, parse_script, read_script, write_script
from heronwinch.rehearsal.summary import summarize_run
from heronwinch.rehearsal.virtual import rehearse

SCRIPT_FOLDER = ROOT / "examples" / "rehearsal" / "view"
SCRIPT_NAMES = ("partition", "join", "crash", "holds", "loss", "oneway")
SCRIPT_WITH_VIEW = SMALL_SCRIPT.replace(
    "[fleet]", '[dispatchers]\ncount = 6\nview = true\n[fleet]\nareas = ["n", "s"]'
)
TROUBLE_CASES = {
    "cuts": (
        19,
        format_trouble("part", at="500ms", lasts="5s", share=0.5)
        + format_trouble("part", at="10s", lasts="4s", dispatchers=["d4"], way="in"),
    ),
    "held and killed": (
        19,
        format_trouble("hold", at="500ms", lasts="800ms", count=3)
        + format_trouble("hold", at="3s", lasts="4s", count=1)
        + format_trouble("kill", at="10s", lasts="5s", share=0.7),
    ),
    "restarted, lost": (
        15,
        format_trouble("stop", at="500ms", lasts="4s", share=0.5, waves=3, every="500ms")
        + format_trouble("loss", at="7s", lasts="4s", share=0.3, twice=0.2, by="50ms"),
    ),
    "killed while held, slow to start": (
        14,
        format_trouble("hold", at="500ms", lasts="6s", count=2)
        + format_trouble("kill", at="2s", lasts="1s", by="2s", share=0.5),
    ),
    "short of processor and descriptors": (
        15,
        format_trouble("starve", at="500ms", lasts="5s", count=1, factor=0.05)
        + format_trouble("descriptors", at="7s", lasts="3s", count=2),
    ),
    "no power, and again": (
        19,
        format_trouble("power", at="1s", lasts="2s", waves=3, every="1s", by="1s")
        + format_trouble("power", at="4500ms", lasts="2s")
        + format_trouble("power", at="12s", lasts="2s", area="s"),
    ),
}


def parse_script_with_troubles(case):
    seconds, troubles = TROUBLE_CASES[case]
    return parse_script(SCRIPT_WITH_VIEW.replace('"6s"', f'"{seconds}s"') + troubles)


def summarize(runner, script):
    return summarize_run(script, 1, "module", runner.observations)


def assert_views_settled(tree, breaches, seconds, timed=True):
    """Asserts that all rules were kept and that all views became equal again after the last trouble."""
    assert not breaches, breaches[:3]
    views = tree["views"]
    assert 0 < views["most_shared"] <= 1 + 1e-6
    if not timed:
        return
    assert views["live_called_gone"] == 0
    ends = [row for row in views["settled"] if row["phase"] == "ends"]
    assert ends and all(row["settled_s"] is not None for row in ends[-1:]), views["settled"]
    assert ends[-1]["settled_s"] < seconds


def print_view_events(runner):
    """Prints what a failure of the views has to be traced by: the lives of the processes and their views."""
    observations = runner.observations
    for name, times in (("started", observations.start_times), ("stopped", observations.stop_times)):
        print(name, dict(times))
    print("began", observations.began_at)
    print(*observations.view_events, sep="\n")


# Two rigs run side by side, each in subnets of its own.
@pytest.mark.parametrize(
    "case",
    [
        pytest.param(case, marks=pytest.mark.xdist_group("rig" if i % 2 else "rig-b"))
        for i, case in enumerate(TROUBLE_CASES)
    ],
)
def test_views_of_real_processes_settle_after_troubles(case):
    script = parse_script_with_troubles(case)
    runner = loopback.emulate_script(script, 1)
    print_view_events(runner)
    tree, breaches, _ = summarize(runner, script)
    # If the machine itself stalled, the program can only be held to the rules of work.
    assert_views_settled(tree, breaches, 10, timed=not runner.rig.has_stalled())


@pytest.mark.parametrize("case", TROUBLE_CASES)
def test_views_of_simulated_processes_settle_after_troubles(case):
    script = parse_script_with_troubles(case)
    runner, _ = rehearse(script, 1, Dispatcher)
    tree, breaches, _ = summarize(runner, script)
    assert_views_settled(tree, breaches, 6)


@pytest.mark.parametrize("name", SCRIPT_NAMES)
def test_example_scripts_keep_all_rules(name):
    script = read_script(SCRIPT_FOLDER / f"{name}.toml")
    assert parse_script(write_script(script)) == script
    runner, _ = rehearse(script, 2, Dispatcher)
    tree, breaches, _ = summarize(runner, script)
    assert_views_settled(tree, breaches, 6)


@pytest.mark.xdist_group("rig")
def test_no_process_outlives_a_rig_that_is_killed(tmp_path):
    path = tmp_path / "long.toml"
    path.write_text(SCRIPT_WITH_VIEW.replace('"6s"', '"60s"'))
    rig = subprocess.Popen([sys.executable, "-m", "heronwinch", "emulate", str(path)], cwd=ROOT)

    def list_descendants():
        parents = {}
        for pid in filter(str.isdigit, os.listdir("/proc")):
            try:
                with open(f"/proc/{pid}/stat") as file:
                    parents[int(pid)] = int(file.read().rpartition(")")[2].split()[1])
            except OSError:
                continue
        found = [rig.pid]
        for pid in found:  # the list grows during the iteration
            found += [child for child, parent in parents.items() if parent == pid]
        return found[1:]

    deadline = time.monotonic() + 30
    while len(descendants_at_start := list_descendants()) < 11 and time.monotonic() < deadline:
        time.sleep(0.1)
    rig.send_signal(signal.SIGKILL)
    rig.wait()
    # Six dispatchers, the spawner, the proxy and three processes of stand-ins.
    assert len(descendants_at_start) == 11
    while (
        any(os.path.exists(f"/proc/{pid}") for pid in descendants_at_start)
        and time.monotonic() < deadline + 10
    ):
        time.sleep(0.1)
    assert not [pid for pid in descendants_at_start if os.path.exists(f"/proc/{pid}")]


SCRIPT_WITH_AREAS = SMALL_SCRIPT.replace("[fleet]", '[dispatchers]\ncount = 4\n[fleet]\nareas = ["n", "s"]')
LINK_FAULT_SCRIPT = parse_script(
    "".join(
        (
            SCRIPT_WITH_AREAS.replace('"6s"', '"12s"'),
            format_trouble("cut", at="1s", lasts="1500ms", share=1.0),
            format_trouble("cut", at="4s", lasts="1500ms", area="s"),
            format_trouble("vanish", at="7s", lasts="1500ms", count=1),
            format_trouble("resets", at="10s", lasts="1s", rate=30.0),
            format_trouble("slow-net", at="10s", lasts="1s", factor=20.0),
        )
    )
)


@pytest.mark.parametrize("environment", ["real", "virtual"])
@pytest.mark.xdist_group("rig")
def test_no_hand_off_passes_a_cut_between_dispatcher_and_worker(environment):
    """In both environments; requests that were under way when the cut began break no rule."""
    runner = (
        loopback.emulate_script(LINK_FAULT_SCRIPT, 1)
        if environment == "real"
        else rehearse(LINK_FAULT_SCRIPT, 1, Dispatcher)[0]
    )
    tree, breaches, _ = summarize(runner, LINK_FAULT_SCRIPT)
    observations = runner.observations
    assert not breaches, breaches[:3]
    spans = {
        trouble.what + trouble.area: (begins_at, ends_at)
        for begins_at, ends_at, trouble in observations.trouble_spans
    }
    dispatcher_numbers = {request.id: int(request.dispatcher[1:]) for request in observations.asks}
    vanished = {
        disturbance.target for disturbance in observations.disturbances if disturbance.what == "vanished"
    }
    run_counts = dict.fromkeys(("cut", "cuts", "vanish", "before"), 0)
    for run in observations.runs:
        run_counts["before"] += run.first_byte < spans["cut"][0]
        for name, (begins_at, ends_at) in spans.items():
            if begins_at + SECOND // 10 < run.first_byte < ends_at - SECOND // 10:
                run_counts[name] = run_counts.get(name, 0) + (
                    name == "cut"
                    or name == "cuts"
                    and (int(run.worker[1:]) ^ dispatcher_numbers[run.job.id]) % 2
                    or name == "vanish"
                    and run.worker in vanished
                )
    assert (
        run_counts["before"] and not run_counts["cut"] and not run_counts["cuts"] and not run_counts["vanish"]
    ), run_counts
    assert observations.asks and tree["credit"] > 0.5


def test_a_collapsed_worker_is_down_in_all_processes_of_a_rig(monkeypatch):
    """Only the process that runs the worker observes the collapse; discovery, another one, delists it."""
    monkeypatch.setattr(runners, "DEATH_NOTICE_DELAY_NS", SECOND // 100)
    script, messages = parse_script(SMALL_SCRIPT), []

    async def scenario():
        ports = loopback.PortReservations()
        addresses = loopback.allocate_addresses(script, ports)
        runners_by_kind = []
        for share in standin_process.assign_standins(script):
            environment = standin_process.StandInEnvironment(
                script, 1, addresses, (share,), lambda *message: messages.append(message)
            )
            runners_by_kind.append((share.kind, runners.ScriptRunner(script, environment)))
            runners_by_kind[-1][1].start_workers()
            await environment.wait_until_listening()
        runners_by_kind = dict(runners_by_kind)
        runners_by_kind["workers"].workers["w0"].collapse()
        assert messages == [("fell", "w0")]
        for runner in runners_by_kind.values():
            runner.mark_worker_collapsed("w0")
        await asyncio.sleep(0.2)
        for kind, runner in runners_by_kind.items():
            assert not runner.workers["w0"].is_up and runner.workers["w1"].is_up
            assert bool(runner.observations.fallen) is (kind == "workers")
            runner.restart_worker(runner.workers["w0"])
            assert not runner.workers["w0"].is_up
        roster = runners_by_kind["discovery"].roster
        assert [
            entry["host"] for entry in roster.build_full_answer(runners_by_kind["discovery"].now())["hosts"]
        ] == [
            "w1",
            "w2",
            "w3",
        ]
        for runner in runners_by_kind.values():
            runner.stop_workers()
            runner.environment.close()
        ports.close()

    asyncio.run(scenario())
    assert messages == [("fell", "w0")]


def test_a_packet_filter_blocks_only_the_named_dispatchers():
    with socket.create_server(("0.0.0.0", 0)) as listening:
        port = listening.getsockname()[1]
        link_faults.block_packets(listening, 180, {1, 300})
        client = socket.create_connection((link_faults.get_member_address(2, 180), port), 5)
        with pytest.raises(TimeoutError):
            socket.create_connection((link_faults.get_member_address(300, 180), port), 0.3)
        accepted, _ = listening.accept()
        assert link_faults.parse_dispatcher_number(accepted.getsockname()[0]) == 2
        link_faults.block_packets(accepted, 180, link_faults.ALL_DISPATCHERS)
        client.send(b"held")
        accepted.settimeout(0.3)
        with pytest.raises(TimeoutError):
            accepted.recv(9)
        for sock in (listening, accepted):
            link_faults.block_packets(sock, 180, ())
            link_faults.block_packets(sock, 180, ())
        accepted.settimeout(10)
        assert accepted.recv(9) == b"held"
        socket.create_connection((link_faults.get_member_address(300, 180), port), 5).close()
        client.close()
        accepted.close()


def test_workers_that_share_ticket_marks_are_in_one_process():
    base = (
        SMALL_SCRIPT
        + """
[[categories]]
name = "paid"
effect = "ticketed"
group = "GROUP"
window = "5s"
[[traffic]]
category = "paid"
rate = 900.0
"""
    )
    for group, get_shared_scope in (
        ("all", lambda shape: 0),
        ("area", lambda shape: shape.area),
        ("pod", lambda shape: shape.pod),
    ):
        script = parse_script(
            base.replace("GROUP", group).replace(
                "[fleet]\nworkers = 3", '[fleet]\nworkers = 24\npods = 6\nareas = ["n", "s"]'
            )
        )
        shapes = scripts.build_worker_shapes(script)
        names_by_process = [
            share.names
            for share in standin_process.assign_standins(script)
            if share.kind == standin_process.WORKERS
        ]
        assert sorted(name for names in names_by_process for name in names) == sorted(shapes)
        processes_by_scope = {}
        for i, names in enumerate(names_by_process):
            for name in names:
                processes_by_scope.setdefault(get_shared_scope(shapes[name]), set()).add(i)
        assert all(len(processes) == 1 for processes in processes_by_scope.values())
        assert len(names_by_process) == min(len(processes_by_scope), 4), group


def test_dispatchers_that_divide_by_present_members_exceed_the_whole_budget(monkeypatch):
    """The checker has to see that shares add up to more than the whole: each side of a partition takes the
    other for dead."""
    from heronwinch.fleet import divisor

    script = parse_script(
        SCRIPT_WITH_VIEW.replace('"6s"', '"20s"') + format_trouble("part", at="14s", lasts="5s", share=0.5)
    )
    monkeypatch.setattr(divisor, "SETTLE_NS", SECOND)
    monkeypatch.setattr(divisor.BudgetDivisor.update, "__code__", _count_present_members.__code__)
    runner, _ = rehearse(script, 1, Dispatcher)
    tree, breaches, _ = summarize(runner, script)
    assert "parts" in {breach.rule for breach in breaches} and tree["views"]["most_shared"] > 1.5


def _count_present_members(self, now, view):
    self.value = view.table.present_count
    return self.value


@pytest.mark.parametrize("host", ["elsewhere.example:7", "10.0.0.1", ":7", "10.0.0.1:x", ""])
def test_an_advertised_address_is_never_resolved_by_name(host):
    from heronwinch.net.fleet import _parse_address

    assert _parse_address("10.0.0.1:7") == ("10.0.0.1", 7)
    with pytest.raises(ValueError):
        _parse_address(host)


# ---- the fleet view in the policy


def test_the_module_divides_budgets_by_its_fleet_view():
    driver = Driver(TERMS._replace(dispatchers=4, may_probe=True), 1, [make_entry(1)])
    module = driver.dispatcher
    assert (module.budget_divisor, module.share_divisor, module.has_peers) == (4, 4, True)
    driver.handle_events(it.FleetView(10, (6, 4), 0.05))
    assert (module.budget_divisor, module.share_divisor, module.fleet_growth) == (10, 20, 2.5)
    driver.handle_events(it.TermsChange(TERMS._replace(dispatchers=2), (0,)))
    assert module.budget_divisor == 10
    driver.handle_events(it.FleetView(1, (1,), 1.0))
    assert not module.has_peers


def test_a_dispatcher_without_budget_sends_nothing_to_cold_workers():
    def count_hand_offs(*events):
        cold = make_entry(1, started_at=1_000_000_000_000)
        driver = Driver(TERMS._replace(dispatchers=4, cold_share=1.0), 1, [cold], start=1_000_000_001_000)
        driver.handle_events(it.LearnedRunTimes(((0, SECOND // 10, SECOND // 10, 16),)), *events)
        driver.dispatcher.workers[1].closed_until = 0
        for wi in range(20):
            driver.arrive(wi, after=20)
        return len([a for a in driver.recorded_actions if type(a) is it.HandOff])

    assert count_hand_offs() > 0 and count_hand_offs(it.FleetView(4, (4,), 0.25)) > 0
    assert count_hand_offs(it.FleetView(0, (4,), 0.25)) == 0


@pytest.mark.parametrize(
    "event", [it.FleetView(10**9, (), 0.0), it.FleetView(0, (), -1.0), it.FleetView(1, (0,), 7.0)]
)
def test_an_absurd_fleet_view_raises_no_error(event):
    driver = Driver(TERMS._replace(dispatchers=3, may_probe=True), 1)
    driver.handle_events(event)
    for wi in range(10):
        driver.arrive(wi, after=50)
    assert driver.dispatcher.share_divisor > 0


# ---- the configuration


def write_config(tmp_path, **changes):
    tree = json.loads((ROOT / "examples" / "config.json").read_text())
    tree["settings"]["limits"].pop("peers", None)
    tree |= changes
    path = tmp_path / "config.json"
    path.write_text(json.dumps(tree))
    return {"RELAY_CONFIG": str(path)}


FLEET = {"name": "prod", "listen": "127.0.0.1:7946", "members": ["127.0.0.1:7947"]}


def test_the_fleet_section_is_read(tmp_path):
    parsed_config = read_config(write_config(tmp_path, fleet=FLEET))
    assert parsed_config.fleet == ("prod", ("127.0.0.1", 7946), "127.0.0.1:7946", ("127.0.0.1:7947",))
    assert read_config(write_config(tmp_path)).fleet is None


@pytest.mark.parametrize(
    "section, message",
    [
        ([], "fleet is []; write an object with name, listen, told, members"),
        ({**FLEET, "nam": 1}, "fleet.nam: nothing is called so; there are name, listen, told, members"),
        ({"listen": "127.0.0.1:1"}, "fleet.name is None; write 1 to 64 characters"),
        ({**FLEET, "name": "x" * 65}, "write 1 to 64 characters"),
        ({**FLEET, "listen": "nowhere"}, "fleet.listen is no address: 'nowhere'"),
        ({**FLEET, "members": "127.0.0.1:1"}, "fleet.members is '127.0.0.1:1'; write a list of addresses"),
        (
            {**FLEET, "members": ["elsewhere:7"]},
            "fleet: elsewhere is a name; write the number of its address",
        ),
        ({**FLEET, "members": ["x"]}, "fleet.members[0] is no address: 'x'"),
    ],
)
def test_an_invalid_fleet_section_gives_a_one_line_error(tmp_path, section, message):
    with pytest.raises(ConfigError) as error:
        read_config(write_config(tmp_path, fleet=section))
    assert message in str(error.value) and "\n" not in str(error.value)


def test_a_fleet_section_with_peers_forbidden_refuses_the_start(tmp_path):
    environ = write_config(tmp_path, fleet=FLEET)
    tree = json.loads((tmp_path / "config.json").read_text())
    tree["settings"]["limits"]["peers"] = False
    (tmp_path / "config.json").write_text(json.dumps(tree))
    result = subprocess.run(
        [sys.executable, "-m", "heronwinch"],
        env={**os.environ, **environ},
        cwd=ROOT,
        capture_output=True,
        text=True,
    )
    assert result.returncode == 2 and len(result.stderr.splitlines()) == 1
    assert "settings.limits.peers is false, so dispatchers may not talk" in result.stderr


def test_modules_of_a_section_are_imported_only_with_it(tmp_path):
    code = (
        "import asyncio, os, sys\n"
        "from heronwinch.start import *\n"
        "async def main():\n"
        "    Program(read_config(os.environ), Machine(), Dispatcher, None)\n"
        "    words = 'fleet', 'msgspec', 'ledger', 'recovery', 'sqlite', 'concurrent.futures.thread'\n"
        "    print(*[name for name in sys.modules if any(word in name for word in words)])\n"
        "asyncio.run(main())\n"
    )
    for sections, wanted in (({}, False), ({"fleet": FLEET}, True), ({"ledger": {"path": "x"}}, True)):
        environ = write_config(tmp_path, **sections)
        result = subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, **environ},
            cwd=ROOT,
            capture_output=True,
            text=True,
        )
        assert result.returncode == 0, result.stderr
        assert bool(result.stdout.strip()) is wanted, result.stdout


@pytest.mark.parametrize(
    "text, message",
    [
        (SMALL_SCRIPT + format_trouble("loss", lasts="1s", share=0.3), "write view = true in [dispatchers]"),
        (SCRIPT_WITH_VIEW + format_trouble("part", lasts="1s", areas=["n"]), "name two areas of n, s"),
        (SCRIPT_WITH_VIEW + format_trouble("part", lasts="1s"), "say whom it strikes"),
        (SCRIPT_WITH_VIEW + format_trouble("part", lasts="1s", share=0.5, way="up"), "way"),
        (SCRIPT_WITH_VIEW + format_trouble("hold", lasts="1s", count=1, way="in"), "hold takes no way"),
    ],
)
def test_invalid_troubles_of_views_are_refused(text, message):
    with pytest.raises(ScriptError) as error:
        parse_script(text)
    assert message in str(error.value)


# ---- calls of operators


async def start_second_dispatcher(harness, fleet, first_address, second_address):
    """Starts a second real dispatcher in the fleet of the harness's own one."""
    tree = harness.build_config(
        {
            "name": "other",
            "listen": "{}:{}".format(*find_free_address()),
            "fleet": {
                **fleet,
                "listen": "{}:{}".format(*second_address),
                "members": ["{}:{}".format(*first_address)],
            },
        }
    )
    del tree["mgmt"]
    path = harness.folder / "other.json"
    path.write_text(json.dumps(tree))
    return await asyncio.create_subprocess_exec(
        sys.executable,
        "-m",
        "heronwinch",
        cwd=ROOT,
        stderr=asyncio.subprocess.PIPE,
        env={"RELAY_CONFIG": str(path), "PATH": os.environ["PATH"]},
    )


def allocate_fleet_section():
    first_address, second_address = find_free_address(), find_free_address()
    return (
        first_address,
        second_address,
        {
            "name": "door",
            "listen": "{}:{}".format(*first_address),
            "members": ["{}:{}".format(*second_address)],
        },
    )


async def start_pair(harness):
    """Restarts the harness's dispatcher in a fleet and starts a second one. Returns the address of the first,
    its section `fleet` and the process of the second."""
    first_address, second_address, fleet = allocate_fleet_section()
    harness.process.terminate()
    await harness.process.communicate()
    await harness.start(fleet=fleet)
    return first_address, fleet, await start_second_dispatcher(harness, fleet, first_address, second_address)


@pytest.mark.xdist_group("rig")
def test_two_real_dispatchers_find_each_other_and_operators_see_it(run_on_sockets):
    async def scenario(harness):
        _, _, process = await start_pair(harness)
        try:
            async with asyncio.timeout(20):
                while " serving 2 " not in (line := await harness.call_operator(b"view\n")):
                    await asyncio.sleep(0.1)
                assert line.startswith("+OK joining 0") and re.search(r"digest [0-9a-f]{14} since", line)
                assert (await harness.call_operator(b"forget other\n")).startswith(
                    "-ERR other is not missing"
                )
                process.kill()
                await process.wait()
                while " gone 1 left 0 missing other " not in await harness.call_operator(b"view\n"):
                    await asyncio.sleep(0.1)
            assert (await harness.call_operator(b"forget other\n")) == "+OK forgot other\n"
            assert " left 1 missing - " in await harness.call_operator(b"view\n")
        finally:
            if process.returncode is None:
                process.kill()
                await process.communicate()

    run_on_sockets(scenario, **{"limits.peers": True})


@pytest.mark.xdist_group("rig")
def test_of_two_real_processes_of_one_name_one_serves_and_the_other_logs_it_once(run_on_sockets):
    async def scenario(harness):
        first_address, fleet, process = await start_pair(harness)
        twins = [process]
        async with asyncio.timeout(20):
            while " serving 2 " not in await harness.call_operator(b"view\n"):
                await asyncio.sleep(0.1)
        twins.append(await start_second_dispatcher(harness, fleet, first_address, find_free_address()))
        logged = b""
        try:
            await asyncio.sleep(8)
            line = await harness.call_operator(b"view\n")
            assert " serving 2 " in line and " gone 0 " in line, line
        finally:
            for process in twins:
                process.kill()
                logged += (await process.communicate())[1]
        assert logged.count(b"event=name_taken") == 1, logged

    run_on_sockets(scenario, **{"limits.peers": True})


@pytest.mark.xdist_group("rig")
def test_a_replaced_process_stays_one_member(run_handover):
    async def scenario(harness, holder):
        first_address, second_address, fleet = allocate_fleet_section()
        harness.write_config = functools.partial(harness.write_config, fleet=fleet)
        old, mgmt = await holder.start()
        await holder.wait_until_ready(mgmt)
        other = await start_second_dispatcher(harness, fleet, first_address, second_address)
        try:
            async with asyncio.timeout(25):
                while " serving 2 " not in await harness.call_operator(b"view\n"):
                    await asyncio.sleep(0.1)
                new, mgmt = await holder.start()
                await holder.wait_until_ready(mgmt)
                # The old process still holds the share of the budget.
                assert " divide 0 " in await harness.call_operator(b"view\n")
                old.terminate()
                _, logged = await old.communicate()
                assert old.returncode == 0 and b"view_sum" not in logged
                while " serving 2 " not in await harness.call_operator(b"view\n"):
                    await asyncio.sleep(0.1)
                new.terminate()
                _, logged = await new.communicate()
                assert new.returncode == 0
                assert not [event for event in FAULT_EVENTS if event.encode() in logged], logged
                other.terminate()
                _, logged = await other.communicate()
            assert b"here=2" in logged and b"member_gone" not in logged, logged
        finally:
            if other.returncode is None:
                other.kill()
                await other.communicate()

    run_handover(scenario, **{"limits.peers": True})


def test_trouble_spans_are_kept_for_the_checker():
    script = parse_script(SCRIPT_WITH_VIEW + format_trouble("hold", at="1s", lasts="1s", count=1))
    runner, _ = rehearse(msgspec.structs.replace(script), 3, Dispatcher)
    ((begins_at, ends_at, trouble),) = runner.observations.trouble_spans
    assert (ends_at - begins_at, trouble.what) == (SECOND, "hold")
