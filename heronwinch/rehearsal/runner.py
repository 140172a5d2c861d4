"""Runs a script in an environment: sets up the fleet, discovery, dispatchers and clients, injects the
troubles on time and collects the observations.

The environment decides where processes run, how they end and what the time is (`virtual.py`, `loopback.py`);
the runner uses neither sockets nor clocks of its own.
"""

import signal
from math import exp

from heronwinch.interface import SECOND, Group
from heronwinch.rehearsal import script as scripts
from heronwinch.rehearsal.models.roster import Roster, RosterEntry
from heronwinch.rehearsal.models.slow_start import Collapse
from heronwinch.rehearsal.models.traffic import ArrivalGenerator
from heronwinch.rehearsal.models.worker import TicketMarks, WorkerModel
from heronwinch.rehearsal.observations import Observations
from heronwinch.rehearsal.standins.clients import Clients, ConnectionBalancer
from heronwinch.rehearsal.standins.discovery import DiscoveryServer
from heronwinch.rehearsal.standins.malformed import MalformedClients
from heronwinch.rehearsal.standins.worker import WorkerServer
from heronwinch.rehearsal.troubles import TroubleTimeline

START_UP_NS = 5 * SECOND  # time for the dispatchers to start in before traffic begins
DEATH_NOTICE_DELAY_NS = 2 * SECOND  # from the death of a worker until discovery lists it as gone
STOP_NOTICE_SECONDS = 0.3  # after SIGTERM, while the balancer still sends connections to the dispatcher
TAIL_NS = SECOND  # a run goes on without new work for the longest expiry and this long
FINAL_STOP_NS = 4 * SECOND  # time for the dispatchers to shut down in at the end of a run


class ManagedWorker:
    """A worker over all its restarts: a new model and server at each start."""

    def __init__(self, runner, name, shape):
        self.runner, self.name, self.shape = runner, name, shape
        self.address = runner.environment.get_worker_address(name)
        self.model = self.server = None
        self.is_up = False
        self.has_collapsed = False
        self.start_count = 0

    def build_list_entry(self, health="in_service"):
        """Builds the worker's entry in the list of discovery."""
        born = self.model.started_at if self.model else 0
        return RosterEntry(
            self.name,
            "{}:{}".format(*self.address),
            self.shape.area,
            self.shape.kind,
            self.shape.pod,
            health,
            1.0,
            born // 1_000_000,
        )

    def start(self, born):
        """Starts the worker; `born` is its start time in nanoseconds, 0 for one that started long ago."""
        runner = self.runner
        self.start_count += 1
        now = runner.now()
        self.model = WorkerModel(
            self.name,
            self.shape,
            runner.create_ticket_lookup(self),
            runner.create_random("worker", self.name, self.start_count),
            runner.observations.runs,
            now,
            born,
        )
        if runner.script.fleet.report_delay:
            self.model.report_delays.append(int(runner.script.fleet.report_delay))
        for apply_fault in runner.trouble_timeline.active_faults.get(self.name, ()):
            apply_fault(self.model)
        fleet = runner.script.fleet
        self.server = WorkerServer(
            self.model,
            runner.environment.clock,
            runner.category_traits,
            fleet.reports,
            fleet.probes,
            fleet.connections,
            int(fleet.idle),
            lambda: runner.schedule(0, self.collapse),
            runner.observations.load_counters,
        )
        self.is_up = True
        runner.environment.start_worker(self.name, self.server, self.address)

    def stop(self, quietly=False):
        """Kills the worker; with `quietly` its connections stay half-open, as after a loss of power."""
        if self.is_up:
            self.is_up = False
            self.runner.observations.load_counters.record_slow_start_share(
                self.model.slow_start_load.peak_share
            )
            self.model.kill(self.runner.now())
            self.runner.observations.forged += [(self.name, *forged) for forged in self.server.forged]
            self.runner.environment.stop_worker(self.name, self.server, quietly)

    def collapse(self):
        """Ends the worker for good: more requests reached it in slow start than it stands."""
        if not self.is_up or self.has_collapsed:
            return
        now = self.runner.now()
        self.runner.observations.fallen.append(
            Collapse(now, self.name, len(self.model.slow_start_load.arrivals), now - self.model.started_at)
        )
        self.runner.environment.report_worker_collapse(self.name)
        self.mark_collapsed()

    def mark_collapsed(self):
        """Ends the worker for good after a collapse that this or another process of the rig has observed."""
        self.has_collapsed = True
        self.stop()
        self.runner.schedule(DEATH_NOTICE_DELAY_NS, self.runner.delist_worker, self)


class ManagedDispatcher:
    """A dispatcher over all its restarts."""

    def __init__(self, runner, name):
        self.runner, self.name = runner, name
        self.address = runner.environment.get_dispatcher_address(name)
        self.discovery_address = None  # the address of discovery in its configuration
        self.discovery_move_count = 0
        self.start_count = 0
        self.is_up = False
        self.down_disturbance = None  # the disturbance that excuses it while it is down

    def build_config(self):
        """Builds the dispatcher's configuration file as a dict."""
        runner = self.runner
        settings = runner.script.dispatchers
        known_list = runner.roster.build_full_answer(runner.now())
        runner.roster.record_starts_told(runner.now(), self.name, known_list)
        return {
            "name": self.name,
            "listen": "{}:{}".format(*self.address),
            "discovery": "{}:{}".format(*self.discovery_address),
            "seed": f"{runner.create_random('dispatcher', self.name, self.start_count).getrandbits(64):016x}",
            "limits": {"cores": 1.0, "memory_mb": settings.memory_mb, "sockets": settings.sockets},
            "known": runner.environment.localize_list(self.name, known_list),
            "settings": scripts.build_dispatcher_settings(runner.script, self.name),
            **({"fleet": self.build_fleet_section()} if settings.view else {}),
            **({"ledger": {"path": runner.environment.get_store_path(self.name)}} if settings.ledger else {}),
        }

    def build_fleet_section(self):
        """Builds the section `fleet`; its members are the first `seeds` dispatchers, running or not."""
        runner = self.runner
        listen_address, told_address = runner.environment.get_fleet_address(self.name)
        names = list(runner.dispatchers)[: runner.script.dispatchers.seeds]
        return {
            "name": runner.script.name,
            "listen": listen_address,
            "told": told_address,
            "members": [runner.environment.get_fleet_address(name)[1] for name in names],
        }

    def start(self):
        """Starts the dispatcher's process with a new configuration and seed."""
        self.start_count += 1
        self.is_up = True
        self.runner.observations.start_times.setdefault(self.name, []).append(self.runner.now())
        if self.down_disturbance is not None:
            self.down_disturbance.ends = (
                self.runner.now() + SECOND // 2
            )  # clients still see effects of the restart
            self.down_disturbance = None
        self.runner.environment.start_dispatcher(self.name, self.build_config)

    def record_stop(self):
        self.runner.observations.stop_times.setdefault(self.name, []).append(self.runner.now())

    def kill(self):
        if self.is_up:
            self.is_up = False
            self.record_stop()
            self.down_disturbance = self.runner.observations.begin_disturbance(
                "killed", self.name, self.runner.now()
            )
            self.runner.environment.kill_dispatcher(self.name)
            self.runner.balancer.schedule_removal(self.name, self.runner.script.dispatchers.notice / SECOND)

    def stop(self):
        """Asks the dispatcher for a graceful shutdown."""
        if self.is_up:
            self.record_stop()
            self.runner.environment.signal_dispatcher(self.name, signal.SIGTERM)
            self.runner.balancer.schedule_removal(self.name, STOP_NOTICE_SECONDS)

    def reload(self):
        """Rewrites the dispatcher's configuration and has it read again."""
        if self.is_up:
            self.runner.environment.signal_dispatcher(self.name, signal.SIGHUP, self.build_config)


class ScriptRunner:
    """Runs one script in an environment.

    After `set_up` the environment has to run for `compute_duration_ns()`; `finish` then returns the
    observations."""

    def __init__(self, script, environment):
        self.script, self.environment = script, environment
        self.observations = Observations()
        self.category_traits = scripts.build_category_traits(script)
        self.category_groups = scripts.build_category_groups(script)
        self.ticket_marks = {}  # (group, its area or pod) -> TicketMarks
        self.roster = Roster(int(script.discovery.lag))
        self.trouble_timeline = TroubleTimeline(self)
        self.workers = {
            name: ManagedWorker(self, name, shape)
            for name, shape in scripts.build_worker_shapes(script).items()
        }
        self.dispatchers = {
            name: ManagedDispatcher(self, name) for name in scripts.list_dispatcher_names(script)
        }
        self.balancer = ConnectionBalancer(self.create_random("front"))
        self.clients = Clients(
            environment.clock,
            self.create_random("clients"),
            self.balancer,
            self.observations.asks,
            self.observations.wants,
            self.observations.find_disturbance,
        )
        self.malformed_clients = MalformedClients(
            environment.clock,
            self.create_random("rude"),
            self.balancer,
            self.observations.rude,
            script.categories[0].name,
        )
        self.discovery_server = DiscoveryServer(
            self.roster, environment.clock, int(script.discovery.work), int(script.discovery.longest),
            self.observations.load_counters,
        )  # fmt: skip
        self.arrivals = []  # the ArrivalGenerator of each flow
        self.traffic_begins_at = 0

    def now(self):
        return self.environment.clock.now()

    def schedule(self, delay_ns, callback, *args):
        """Calls `callback(*args)` after a delay."""
        self.environment.schedule(delay_ns, callback, *args)

    def create_random(self, *name):
        """Creates a source of random numbers whose seed is derived from the run's seed and `name`."""
        return self.environment.create_random(*name)

    def create_ticket_lookup(self, worker):
        """Returns a function that finds the worker's shared tickets by the group of a job's category."""

        def find_tickets(job):
            group = self.category_groups[job.category]
            scope = {Group.ALL: "", Group.AREA: worker.shape.area, Group.POD: worker.shape.pod}[group]
            return self.ticket_marks.setdefault((group, scope), TicketMarks())

        return find_tickets

    # ---- phases of a run

    def start_workers(self):
        for worker in self.workers.values():
            worker.start(0)
        self.roster.install([worker.build_list_entry() for worker in self.workers.values()])

    def set_up(self, agreed_start=None):
        """Starts all processes. `agreed_start`: the start of traffic that all processes of a rig share."""
        self.start_workers()
        self.traffic_begins_at = self.now() + START_UP_NS if agreed_start is None else agreed_start
        self.environment.start_discovery(self.discovery_server, self.dispatchers)
        for dispatcher in self.dispatchers.values():
            dispatcher.discovery_address = self.environment.get_discovery_address(dispatcher.name, 0)
            self.balancer.add(dispatcher.name, dispatcher.address, self._draw_weight(dispatcher.name))
            dispatcher.start()
        self.environment.start_clients(self._run_clients, self._begin_traffic, self.traffic_begins_at)

    def _draw_weight(self, name):
        """Draws a dispatcher's share of the traffic: lognormal where it is uneven, else equal."""
        spread = self.script.dispatchers.uneven
        return exp(spread * self.create_random("uneven", name).gauss(0.0, 1.0)) if spread else 1.0

    def compute_duration_ns(self):
        """Returns the nanoseconds from `set_up` to the end of the run."""
        return START_UP_NS + int(self.script.seconds) + self.compute_tail_ns()

    def compute_tail_ns(self):
        """Returns the nanoseconds that a run goes on after the last new work item."""
        return max(kind.expiry for kind in self.category_traits.values()) + TAIL_NS

    async def _run_clients(self, spawn_task, sleep):
        """The main coroutine of the clients' process: starts traffic once the dispatchers are ready."""
        self.clients.start()
        self.balancer.start()
        while len(self.balancer.ready) < len(self.dispatchers) and self.now() < self.traffic_begins_at:
            await sleep(0.01)
        begins_at = self.traffic_begins_at
        await sleep((begins_at - self.now()) / SECOND)
        ends_at = begins_at + int(self.script.seconds)
        client_processes = self.environment.count_client_processes()
        for i, flow in enumerate(scripts.build_flows(self.script)):
            flow = flow._replace(rate=flow.rate / client_processes)
            arrivals = ArrivalGenerator(
                flow, self.category_traits[flow.category], self.create_random("flow", i), begins_at, ends_at
            )
            self.arrivals.append(arrivals)
            spawn_task(self.clients.run_flow(arrivals))
        self._begin_traffic(spawn_task)

    def _begin_traffic(self, spawn_task):
        """Notes that traffic begins and schedules the troubles."""
        self.observations.began_at = self.traffic_begins_at
        self.trouble_timeline.start(self.traffic_begins_at, spawn_task)

    def stop_dispatchers(self):
        """Asks every dispatcher to shut down at the end of a run; they have FINAL_STOP_NS for it."""
        self.observations.stopped_at = self.now()
        for dispatcher in self.dispatchers.values():
            dispatcher.stop()

    def stop_workers(self):
        for worker in self.workers.values():
            worker.stop()

    def mark_worker_collapsed(self, name):
        """Handles the collapse of a worker that runs in another process of the rig."""
        worker = self.workers[name]
        if worker.is_up and not worker.has_collapsed:
            worker.mark_collapsed()

    def finish(self):
        """Ends the workers and the environment, and returns the observations."""
        self.stop_workers()
        self.observations.removals = self.roster.removal_periods
        self.observations.start_notices = self.roster.start_notices
        for dispatcher in self.dispatchers.values():
            if dispatcher.is_up and not self.environment.has_dispatcher_ended(dispatcher.name):
                self.observations.faults.append((dispatcher.name, "did not end after SIGTERM"))
        self.environment.close()
        return self.observations

    # ---- the list of workers

    def list_worker_as(self, worker, health):
        self.roster.add_change(self.now(), worker.build_list_entry(health))
        self.environment.call_in_discovery(self.discovery_server.publish_changes)

    def delist_worker(self, worker):
        """Has discovery list a worker that is down as terminated."""
        if not worker.is_up:
            self.list_worker_as(worker, "terminated")

    def restart_worker(self, worker):
        if (
            not worker.is_up
            and not worker.has_collapsed
            and not self.trouble_timeline.is_without_power(worker.name)
        ):
            worker.start(self.now())
            self.list_worker_as(worker, "in_service")
