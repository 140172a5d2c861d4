"""A process of stand-ins (test doubles) of a rig: some of the workers, a share of the clients, or discovery.

Every process of a rig runs the whole script from the same seed, so that all draw the same targets of troubles
at the same times; each carries out only its own share. What only one process can know (that a worker has
collapsed) it reports to the rig's main process, which tells the others. At the end each process hands over
its observations.

Commands arrive as lines of JSON on standard input: `begin`, `fell`, `finish`. Replies are lines of JSON on
standard output. The last one is {"ledgers": n}, and n bytes of pickle follow it: they come from a process
that the rig itself has started, so its parent may load them."""

import asyncio
import gc
import json
import pickle
import resource
import sys
from math import ceil
from typing import NamedTuple

from heronwinch.interface import SECOND, Effect, Group
from heronwinch.net.machine import Machine
from heronwinch.rehearsal import script as scripts
from heronwinch.rehearsal.link_faults import LinkFaults, WorkerLink, get_member_address
from heronwinch.rehearsal.observations import ALL_PROCESSES
from heronwinch.rehearsal.runner import ScriptRunner
from heronwinch.rehearsal.simulation.kernel import make_seeded_random

LAG_CHECK_SECONDS = 0.02  # interval of measurements of the event loop's lag
# A longer lag of the process itself excuses every dispatcher; the checker's own slack is as long.
TOLERATED_LAG_SECONDS = 0.05
# Name of the disturbance that is recorded while the rig's own process lags for longer than that.
MACHINE_STALLED = "the machine stood still"
CLIENTS, WORKERS, DISCOVERY = "clients", "workers", "discovery"
# Work items a second that one process of clients, or of workers, is given.
RATE_PER_CLIENT_PROCESS, RATE_PER_WORKER_PROCESS = 120.0, 160.0
MAX_PROCESSES_PER_KIND = 4


class StandInShare(NamedTuple):
    """What one process runs: share `index` of `share_count` equal shares of the clients, or the workers
    `names`, or discovery. `kind` says which."""

    kind: str
    index: int = 0
    share_count: int = 1
    names: frozenset = frozenset()


class RigAddresses(NamedTuple):
    """The addresses of all servers of a rig."""

    host: str
    lane: int  # second octet of the addresses at which dispatchers reach workers
    workers: dict  # name -> port
    dispatchers: dict  # name -> (host, port)
    moved: dict  # (dispatcher, number of moves so far) -> (host, port) of discovery for it


def assign_standins(script):
    """Returns the StandInShare of each process of stand-ins that a script needs."""
    rate = sum(row.rate for row in script.traffic)
    client_processes = min(MAX_PROCESSES_PER_KIND, ceil(rate / RATE_PER_CLIENT_PROCESS))
    names_by_process = _distribute_workers(
        script, min(MAX_PROCESSES_PER_KIND, ceil(rate / RATE_PER_WORKER_PROCESS))
    )
    return [
        StandInShare(DISCOVERY),
        *(StandInShare(CLIENTS, i, client_processes) for i in range(client_processes)),
        *(
            StandInShare(WORKERS, i, len(names_by_process), frozenset(names))
            for i, names in enumerate(names_by_process)
        ),
    ]


def _distribute_workers(script, max_processes):
    """Distributes the workers over processes; workers that share marks against repeats stay together."""
    shapes = scripts.build_worker_shapes(script)
    groups = {
        scripts.GROUPS_BY_NAME[row.group]
        for row in script.categories
        if scripts.EFFECTS_BY_NAME[row.effect] == Effect.TICKETED
    }
    names_by_scope = {}  # what workers share -> their names
    for name, shape in shapes.items():
        if not groups:
            shared_scope = name
        elif groups == {Group.AREA}:
            shared_scope = shape.area
        elif groups == {Group.POD}:
            shared_scope = shape.pod
        else:
            shared_scope = ()  # all workers together, because areas and pods overlap
        names_by_scope.setdefault(shared_scope, []).append(name)
    names_by_process = [[] for _ in range(max_processes)]
    for names in names_by_scope.values():
        min(names_by_process, key=len).extend(names)
    return [names for names in names_by_process if names]


class StandInEnvironment:
    """The environment of a process that runs some stand-ins (`shares`) and no dispatchers.

    Calls for other stand-ins and for dispatchers do nothing. `send_message(what, name)` reports to the rig's
    main process."""

    def __init__(self, script, seed, addresses, shares, send_message=lambda *_: None):
        self.script, self.seed, self.addresses, self.shares, self.send_message = (
            script,
            seed,
            addresses,
            shares,
            send_message,
        )
        self.clock = Machine()
        self.loop = asyncio.get_running_loop()
        self.link_faults = LinkFaults(self.loop, addresses.lane, script.network, seed)
        self.tasks = {}
        self.faults = []
        self.listen_tasks = []  # tasks that open listening sockets
        self.max_lag, self.excess_lags = (
            0.0,
            [],
        )  # the longest, in seconds; (time, lag) of those beyond the tolerance
        # The Observations that record stalls as disturbances; None where a stall delays nobody's work.
        self.stall_observations = None
        # Without this, a callback that fails would only show on standard error, and its trouble be missing.
        self.loop.set_exception_handler(self._record_fault)

    # ---- time and random numbers

    def schedule(self, delay_ns, callback, *args):
        """Calls `callback(*args)` after a delay."""
        self.loop.call_later(max(0, delay_ns) / SECOND, callback, *args)

    def create_random(self, *name):
        """Creates the source of random numbers of that name; each share of the clients has its own."""
        clients = self._find_client_share()
        if (
            clients is not None
            and clients.share_count > 1
            and name[0] in ("clients", "front", "rude", "flow")
        ):
            name = *name, clients.index
        return make_seeded_random(self.seed, *name)

    def measure_lag(self, due=None):
        """Measures the lag of this process's event loop from now on; a long one excuses all dispatchers."""
        now = self.loop.time()
        if due is not None:
            self.max_lag = max(self.max_lag, now - due)
            if now - due > TOLERATED_LAG_SECONDS:
                self.excess_lags.append((self.clock.now(), now - due))
                if self.stall_observations is not None:
                    stall = self.stall_observations.begin_disturbance(
                        MACHINE_STALLED, ALL_PROCESSES, self.clock.now()
                    )
                    stall.begins -= int((now - due) * SECOND)
                    stall.ends = self.clock.now()
        self.loop.call_later(LAG_CHECK_SECONDS, self.measure_lag, now + LAG_CHECK_SECONDS)

    # ---- what this process runs

    def owns_worker(self, name):
        return any(share.kind == WORKERS and name in share.names for share in self.shares)

    def _find_client_share(self):
        return next((share for share in self.shares if share.kind == CLIENTS), None)

    def _owns_discovery(self):
        return any(share.kind == DISCOVERY for share in self.shares)

    # ---- addresses

    def get_worker_address(self, name):
        return self.addresses.host, self.addresses.workers[name]

    def localize_list(self, dispatcher, tree):
        """Returns a list with the addresses for that dispatcher, by which workers know who connects."""
        host = get_member_address(int(dispatcher[1:]), self.addresses.lane)
        return {
            **tree,
            "hosts": [
                {**entry, "dial": f"{host}:{entry['dial'].rpartition(':')[2]}"} for entry in tree["hosts"]
            ],
        }

    def get_dispatcher_address(self, name):
        return self.addresses.dispatchers[name]

    def get_discovery_address(self, name, move_count):
        return self.addresses.moved[name, move_count]

    # ---- stand-ins

    def _spawn_task(self, coroutine):
        task = self.loop.create_task(coroutine)
        self.tasks[task] = None
        task.add_done_callback(self._handle_task_end)
        return task

    def _handle_task_end(self, task):
        self.tasks.pop(task, None)
        if not task.cancelled() and task.exception() is not None:
            self.faults.append(("emulator", repr(task.exception())))

    def _record_fault(self, loop, context):
        self.faults.append(("emulator", f"{context.get('message')}: {context.get('exception')!r}"))

    async def wait_until_listening(self):
        """Waits until all servers that have been started listen, or have failed to."""
        while self.listen_tasks:
            pending_tasks, self.listen_tasks = self.listen_tasks, []
            # `_handle_task_end` records their exceptions.
            await asyncio.gather(*pending_tasks, return_exceptions=True)

    def start_worker(self, name, server, address):
        if self.owns_worker(name):
            server.wrap_transport = lambda transport: self._create_link(name, transport)
            server.handle_connection_end = self.link_faults.remove_link
            self.listen_tasks.append(self._spawn_task(self._start_listening(name, server, address)))

    def _create_link(self, name, transport):
        return WorkerLink(self.link_faults, name, transport)

    async def _start_listening(self, name, server, address):
        await server.listen("0.0.0.0", address[1])
        if server.has_ended:
            server.stop_listening()  # it was stopped before it listened
        else:
            self.link_faults.add_server(name, server)

    def stop_worker(self, name, server, quietly):
        if self.owns_worker(name):
            server.has_ended = True
            if quietly:
                self.link_faults.detach_worker(name)
            else:
                server.abort_all()

    def report_worker_collapse(self, name):
        self.send_message("fell", name)

    def call_in_worker(self, name, callback):
        """Calls back in the process that runs this worker."""
        if self.owns_worker(name):
            self.loop.call_soon(callback)

    def call_in_discovery(self, callback):
        """Calls back in the process that runs discovery."""
        if self._owns_discovery():
            self.loop.call_soon(callback)

    def call_in_clients(self, callback, in_all_processes=True):
        """Calls back in all processes of clients, or only in the first one."""
        clients = self._find_client_share()
        if clients is not None and (in_all_processes or not clients.index):
            self.loop.call_soon(callback)

    def start_discovery(self, server, dispatchers):
        if self._owns_discovery():
            server.localize_list = self.localize_list
            self.listen_tasks += [
                self._spawn_task(server.listen_for(name, *self.addresses.moved[name, 0]))
                for name in dispatchers
            ]

    def open_discovery_address(self, server, name, address):
        if self._owns_discovery():
            self._spawn_task(server.listen_for(name, *address))

    def start_clients(self, run_clients, begin_traffic, traffic_begins_at):
        """Starts the coroutine `run_clients`; a process without clients calls `begin_traffic` at its time."""
        clients = self._find_client_share()
        if clients is not None:
            self._spawn_task(run_clients(self._spawn_task, asyncio.sleep))
        else:
            self.schedule(traffic_begins_at - self.clock.now(), begin_traffic, self._spawn_task)

    def count_client_processes(self):
        """Returns the number of processes that share the traffic of the script."""
        clients = self._find_client_share()
        return clients.share_count if clients is not None else 1

    # ---- the network between dispatchers and workers

    def cut_connections(self, workers, dispatchers):
        return self.link_faults.cut_links(
            [name for name in workers if self.owns_worker(name)], [int(name[1:]) for name in dispatchers]
        )

    def heal_connections(self, key):
        self.link_faults.heal_links(key)

    def silence_machine(self, name):
        if self.owns_worker(name):
            self.link_faults.silence_worker(name)

    def restore_machine(self, name):
        if self.owns_worker(name):
            self.link_faults.restore_worker(name)

    def slow_network(self, factor):
        self.link_faults.multiply_delay(factor)

    def reset_connection(self, random):
        name = random.choice(sorted(self.addresses.workers))
        if self.owns_worker(name):
            self.link_faults.reset_random_link(name)

    # ---- dispatchers: run by the main process of the rig, so all of this does nothing

    def get_fleet_address(self, name):
        return "", ""

    def start_dispatcher(self, name, build_config):
        pass

    def kill_dispatcher(self, name):
        pass

    def signal_dispatcher(self, name, number, build_config=None):
        pass

    def has_dispatcher_ended(self, name):
        return True

    def set_suspended(self, name, suspended):
        pass

    def exhaust_descriptors(self, name):
        return lambda: None

    block_store_writes = exhaust_descriptors

    def step_wall_clock(self, name, step_ns):
        pass

    def get_store_path(self, name):
        return "-"

    def damage_store(self, name, damage, random, clock_error_ns):
        pass

    def block_dispatchers(self, senders, receivers):
        pass

    def add_packet_faults(self, loss, duplicates, max_delay_ns):
        pass

    def unblock_dispatchers(self, key):
        pass

    remove_packet_faults = unblock_dispatchers

    def close(self):
        for task in list(self.tasks):
            task.cancel()


# ---- the process


def _collect_results(runner, environment):
    """Builds what the process hands over to the rig's main process at its end."""
    observations = runner.observations
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return {
        "asks": observations.asks, "wants": observations.wants, "rude": observations.rude,
        "runs": observations.runs,
        "fallen": observations.fallen, "forged": observations.forged, "meter": observations.load_counters,
        "told": runner.roster.removal_periods, "start_notices": runner.roster.start_notices,
        "faults": environment.faults, "lag": environment.max_lag,
        "lags": environment.excess_lags,
        "stalls": [stall for stall in observations.disturbances if stall.what == MACHINE_STALLED],
        "cpu_s": usage.ru_utime + usage.ru_stime, "memory": usage.ru_maxrss * 1024,
    }  # fmt: skip


async def main():
    loop = asyncio.get_running_loop()
    script, seed, addresses, share = pickle.load(sys.stdin.buffer)  # written by the parent process
    gc.freeze()

    def send_message(what, value=None):
        sys.stdout.write(json.dumps({what: value}) + "\n")
        sys.stdout.flush()

    environment = StandInEnvironment(script, seed, addresses, (share,), send_message)
    runner = ScriptRunner(script, environment)
    environment.stall_observations = runner.observations
    reader = asyncio.StreamReader()
    await loop.connect_read_pipe(lambda: asyncio.StreamReaderProtocol(reader), sys.stdin)
    send_message("loaded")
    while line := await reader.readline():
        ((what, value),) = json.loads(line).items()
        if what == "begin":
            environment.measure_lag()
            runner.set_up(value)
            await environment.wait_until_listening()
            send_message("up")
        elif what == "fell":
            runner.mark_worker_collapsed(value)
        elif what == "finish":
            runner.stop_workers()
            data = pickle.dumps(_collect_results(runner, environment), protocol=5)
            send_message("ledgers", len(data))
            sys.stdout.buffer.write(data)
            sys.stdout.flush()
            break
        else:
            raise ValueError(what)
    environment.close()


if __name__ == "__main__":
    asyncio.run(main())
