"""Rehearsals in simulated time: every dispatcher is the unchanged program in a simulated process."""

import asyncio
import errno
import json
from collections import Counter

from heronwinch.interface import SECOND
from heronwinch.plan import read_config
from heronwinch.program import Program
from heronwinch.rehearsal.recording import FAULT_EVENTS, DispatcherRecord, RecordingModule, capture_logs
from heronwinch.rehearsal.runner import FINAL_STOP_NS, ScriptRunner
from heronwinch.rehearsal.simulation.files import Files
from heronwinch.rehearsal.simulation.guard import forbid_unseeded_sources
from heronwinch.rehearsal.simulation.kernel import RUN_START_UNIX_NS, Kernel
from heronwinch.rehearsal.simulation.network import DatagramFaults, Network
from heronwinch.rehearsal.simulation.process import Process, SimulatedMachine
from heronwinch.rehearsal.views import VIEW_LOG_EVENTS

PORT, FLEET_PORT = 7070, 7946
STORE_PATH = "ledger"
DISCOVERY_IP, CLIENTS_IP = "10.2.0.1", "10.3.0.1"
ENVIRON = {"RELAY_CONFIG": "config.json"}
FREE_SLOTS_MAX_AGE_NS = SECOND // 2  # of the figures given to a policy that sees all workers
# In the digest, the decisions of dispatchers have numbers from here on, connections have lower ones.
FIRST_DECISION_SOURCE = 1 << 32


class SimulatedClock:
    """Unix time in nanoseconds on the clock of a kernel."""

    def __init__(self, kernel):
        self.kernel = kernel

    def now(self):
        return RUN_START_UNIX_NS + self.kernel.now


class SimulatedEnvironment:
    """Runs the processes of a script in simulated time.

    `policy(terms, seed)` creates the dispatch module of each dispatcher.
    """

    def __init__(self, script, seed, policy):
        self.script, self.policy = script, policy
        self.kernel = Kernel(seed)
        self.network = Network(self.kernel, int(script.network.delay), int(script.network.jitter))
        self.clock = SimulatedClock(self.kernel)
        self.processes = {}  # name -> its present Process
        self.files = {}  # name -> its Files, which outlive its processes
        self.wall_clock_steps = Counter()  # name -> nanoseconds by which its machine's wall clock was set
        self.ips = {}  # name of a worker or dispatcher -> IP address
        self.dispatcher_records = []
        self.faults = []  # (name of the process, description)
        self.trouble_counts = Counter()  # counters of all dispatchers, added up
        self.logs = []  # (when, name of the process, level, event)
        self.view_log_events = []  # (when, name of the process, event)
        self.worker_members = {}  # worker -> the runner's member for it
        # worker -> (free slots, time of reading), for policies that see all workers; time of the last reading
        self.free_slots, self.free_slots_read_at = {}, 0

    # ---- time and random numbers

    def schedule(self, delay_ns, callback, *args):
        """Calls `callback` after so many nanoseconds, outside of any process."""
        self.kernel.schedule_after(int(delay_ns), callback, *args)

    def create_random(self, *name):
        """A random generator of its own for each name, derived from the seed."""
        return self.kernel.derive_random(*name)

    # ---- addresses

    def get_worker_address(self, name):
        """(IP address, port) of a worker; its number follows the first letter of its name."""
        index = int(name[1:])
        self.ips[name] = f"10.1.{index // 250}.{index % 250 + 1}"
        return self.ips[name], PORT

    def get_dispatcher_address(self, name):
        """(IP address, port) of a dispatcher; its number follows the first letter of its name."""
        index = int(name[1:])
        self.ips[name] = f"10.0.{index // 250}.{index % 250 + 1}"
        return self.ips[name], PORT

    def get_discovery_address(self, name, move_count):
        """Where a dispatcher is told that discovery is, after its address has changed `move_count` times."""
        return DISCOVERY_IP, 8000 + int(name[1:]) + 1000 * move_count

    def get_fleet_address(self, name):
        """(address to listen on, address that others are told), which are the same here."""
        host = self.ips.get(name) or self.get_dispatcher_address(name)[0]
        return f"{host}:{FLEET_PORT}", f"{host}:{FLEET_PORT}"

    # ---- processes

    def _create_process(self, name, ip, descriptors=1 << 30):
        """Creates a process, which keeps the files of the previous one of that name."""
        files = self.files.setdefault(name, Files(random=self.create_random("files", name)))
        process = self.processes[name] = Process(self.kernel, self.network, name, ip, descriptors, files)
        return process

    def start_worker(self, name, server, address):
        process = self._create_process(name, address[0])

        async def main():
            await server.listen(*address)
            await asyncio.Event().wait()

        process.start(main)

    def report_worker_collapse(self, name):
        """Does nothing, as the runner and all workers are in the same operating system process."""

    def localize_list(self, dispatcher, tree):
        """The list of workers as discovery tells it to a dispatcher, which is the same for all here."""
        return tree

    def count_client_processes(self):
        """Among how many processes the traffic is divided."""
        return 1

    def stop_worker(self, name, server, quietly):
        """Ends a worker's process; `quietly`: with its machine, so that its connections aren't reset."""
        self.processes[name].kill(quietly)

    def call_in_worker(self, name, callback):
        """Calls `callback` in the process of a worker."""
        self.kernel.call_in_process(self.processes[name], callback)

    def start_discovery(self, server, dispatchers):
        process = self._create_process("discovery", DISCOVERY_IP)

        async def main():
            for name in dispatchers:
                await server.listen_for(name, *self.get_discovery_address(name, 0))
            await asyncio.Event().wait()

        process.start(main)

    def open_discovery_address(self, server, name, address):
        self.call_in_discovery(
            lambda: asyncio.ensure_future(server.listen_for(name, *address), loop=self.processes["discovery"])
        )

    def call_in_discovery(self, callback):
        self.kernel.call_in_process(self.processes["discovery"], callback)

    def start_clients(self, run_clients, begin_traffic, traffic_begins_at):
        """Runs `run_clients(spawn_task, sleep)` in a process; it begins the traffic itself."""
        process = self._create_process("clients", CLIENTS_IP)

        async def main():
            await run_clients(process.create_task, asyncio.sleep)
            await asyncio.Event().wait()

        process.start(main)

    def call_in_clients(self, callback, in_all_processes=True):
        self.kernel.call_in_process(self.processes["clients"], callback)

    # ---- dispatchers

    def start_dispatcher(self, name, build_config):
        self._collect_faults(name)
        process = self._create_process(name, self.ips[name], self.script.dispatchers.sockets)
        process.files.install("config.json", json.dumps(build_config()).encode())
        record = DispatcherRecord(name)
        self.dispatcher_records.append(record)
        source_number = FIRST_DECISION_SOURCE + len(self.dispatcher_records)

        def create_module(terms, seed):
            module = self.policy(terms, seed)
            if hasattr(module, "set_free_slots_lookup"):
                module.set_free_slots_lookup(
                    lambda worker: self._look_up_free_slots(record.program.workers.by_number[worker].host)
                )
            return RecordingModule(
                module, record, lambda data: self.kernel.update_digest(source_number, data)
            )

        def reload_config():
            return read_config(ENVIRON, is_reload=True, read=process.files.read_text)

        async def main():
            config = read_config(ENVIRON, read=process.files.read_text)
            machine = SimulatedMachine(
                process, int(self.script.dispatchers.sync), lambda: self.wall_clock_steps[name]
            )
            record.program = Program(config, machine, create_module, reload_config)
            await record.program.run()

        process.start(main)

    def _look_up_free_slots(self, host):
        """(free slots less waiting runs, when) of a worker, or None if it is down.

        The figures of all workers are read at once, and again when they are too old.
        """
        now = self.kernel.now
        if now - self.free_slots_read_at >= FREE_SLOTS_MAX_AGE_NS or not self.free_slots:
            self.free_slots_read_at, self.free_slots = now, {
                name: (member.model.shape.slots - member.model.busy_slots - len(member.model.queue), now)
                for name, member in self.worker_members.items() if member.is_up
            }  # fmt: skip
        return self.free_slots.get(host)

    def _collect_faults(self, name):
        """Takes over the unhandled errors of the present process of that name."""
        process = self.processes.get(name)
        if process is not None:
            self.faults += [
                (name, f"{fault.get('message')}: {fault.get('exception')!r}") for fault in process.faults
            ]
            process.faults = []

    def kill_dispatcher(self, name):
        self.processes[name].kill()

    def signal_dispatcher(self, name, number, build_config=None):
        """Sends a signal, after replacing the configuration file if `build_config` is given."""
        process = self.processes[name]
        if build_config is not None:
            process.files.install("config.json", json.dumps(build_config()).encode())
        process.deliver_signal(number)

    def has_dispatcher_ended(self, name):
        return not self.processes[name].is_alive

    def set_suspended(self, name, suspended):
        """Stops a process from running, or lets it continue."""
        process = self.processes[name]
        process.pause() if suspended else process.resume()

    def step_wall_clock(self, name, step_ns):
        """Sets the wall clock of a dispatcher's machine by so many nanoseconds."""
        self.wall_clock_steps[name] += step_ns

    def get_store_path(self, name):
        return STORE_PATH

    def block_store_writes(self, name):
        """Makes every write to the store fail; returns a function that ends this."""
        files = self.files[name]
        files.injected_errno = errno.EIO

        def restore():
            files.injected_errno = None

        return restore

    def damage_store(self, name, damage, random, clock_error_ns):
        """Damages a store as rehearsal/store_damage.py describes."""
        from heronwinch.rehearsal.store_damage import damage_simulated_store

        damage_simulated_store(self.files[name], STORE_PATH, damage, random, clock_error_ns)

    def exhaust_descriptors(self, name):
        """Lets the process open no more descriptors; returns a function that ends this."""
        process = self.processes[name]
        original_limit, process.descriptor_limit = process.descriptor_limit, 0

        def restore():
            process.descriptor_limit = original_limit

        return restore

    # ---- the network

    def silence_machine(self, name):
        """Makes a machine neither send nor receive until `restore_machine`."""
        self.network.silence_ip(self.ips[name])

    def restore_machine(self, name):
        self.network.restore_ip(self.ips[name])

    def cut_connections(self, workers, dispatchers):
        """Blocks the paths in both directions; returns what `heal_connections` takes."""
        return self.network.cut_paths(
            [self.ips[name] for name in workers], [self.ips[name] for name in dispatchers]
        )

    def heal_connections(self, paths):
        self.network.heal_paths(paths)

    def block_dispatchers(self, senders, recipients):
        """Blocks the paths in this direction only; returns what `unblock_dispatchers` takes."""
        return self.network.block_path(
            [self.ips[name] for name in senders], [self.ips[name] for name in recipients]
        )

    def unblock_dispatchers(self, paths):
        self.network.heal_paths(paths)

    def add_packet_faults(self, loss, duplication, max_extra_delay_ns):
        """Adds faults of datagrams on all paths; returns what `remove_packet_faults` takes."""
        faults = DatagramFaults(loss, duplication, max_extra_delay_ns)
        self.network.datagram_faults.append(faults)
        return faults

    def remove_packet_faults(self, faults):
        self.network.datagram_faults.remove(faults)

    def slow_network(self, factor):
        """Multiplies the delay of the paths of all workers and dispatchers."""
        for name in self.ips:
            ip = self.ips[name]
            self.network.delay_factors[ip] = self.network.delay_factors.get(ip, 1.0) * factor

    def reset_connection(self, random):
        """Resets one connection of a random worker."""
        worker_names = [
            name
            for name in self.processes
            if name[0] == "w" and name[1:].isdigit() and self.processes[name].connection_ends
        ]
        if worker_names:
            ends = list(self.processes[random.choice(worker_names)].connection_ends)
            self.network.reset_pair(random.choice(ends))

    # ---- logs and shutdown

    def record_log_event(self, process_name, logged_at, level, event):
        """Keeps a log event, and separately those of faults and of membership views."""
        if event.get("event") in FAULT_EVENTS and len(self.faults) < 1000:
            self.faults.append((process_name, " ".join(f"{key}={value}" for key, value in event.items())))
        if event.get("event") in VIEW_LOG_EVENTS:
            self.view_log_events.append((logged_at, process_name, event))
        if len(self.logs) < 100_000:
            self.logs.append((logged_at, process_name, level, event))

    def get_log_origin(self):
        """(time, name of the running process) for a log line."""
        process = self.kernel.current
        return self.clock.now(), process.name if process is not None else "ground"

    def close(self):
        """Ends all processes, and adds up the counters of the dispatchers."""
        for name, process in list(self.processes.items()):
            self._collect_faults(name)
            process.kill()
        for record in self.dispatcher_records:
            if record.program is not None:
                self.trouble_counts.update(record.program.counters.counts)


def rehearse(script, seed, policy, progress=lambda seconds: None):
    """Runs a script in simulated time, and returns its runner with the observations, and the environment.

    `progress` is called with the simulated seconds so far, once per simulated second.
    """
    import structlog

    environment = SimulatedEnvironment(script, seed, policy)
    old_log_config = structlog.get_config() if structlog.is_configured() else None
    capture_logs(environment.record_log_event, environment.get_log_origin)
    try:
        with forbid_unseeded_sources():
            runner = ScriptRunner(script, environment)
            environment.worker_members = runner.workers
            runner.set_up()
            ends_at = runner.compute_duration_ns()
            reached = 0
            while reached < ends_at:
                reached = min(ends_at, reached + SECOND)
                environment.kernel.run_until(reached)
                progress(reached / SECOND)
            runner.stop_dispatchers()
            environment.kernel.run_until(ends_at + FINAL_STOP_NS)
            observations = runner.finish()
    finally:
        structlog.configure(**old_log_config) if old_log_config else structlog.reset_defaults()
    observations.faults += environment.faults
    observations.view_events = environment.view_log_events
    observations.trouble_counts = environment.trouble_counts
    observations.dispatcher_records = environment.dispatcher_records
    return runner, environment
