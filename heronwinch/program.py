"""A dispatcher process: connects its parts, and controls their start, reload and stop."""

import asyncio
import contextlib
import signal

import structlog

from heronwinch import interface
from heronwinch.net.counters import FaultCounters
from heronwinch.net.diagnostics import LoopMonitor, WallClockMonitor
from heronwinch.net.discovery import Discovery
from heronwinch.net.engine import Engine
from heronwinch.net.handover import HandoverReceiver, HandoverSender
from heronwinch.net.listener import Listener
from heronwinch.net.operators import Operators
from heronwinch.net.sockets import ResourceBudget
from heronwinch.net.workers import Workers
from heronwinch.plan import Config, ConfigError, check_no_setting_lost
from heronwinch.protocol.operators import OperatorCallError

log = structlog.get_logger()

# An orderly stop, counted from SIGTERM: all accepted work is answered within this time.
MAX_STOP_SECONDS = 3.0
NEW_CONNECTIONS_SECONDS = 0.5  # a load balancer may send new connections for this long after SIGTERM
KEPT_CONNECTIONS_SHARE = 0.5  # part of the stop during which clients may go on using their connections
LAST_RESPONSES_SECONDS = 0.3  # time that clients have to read their last responses
# A platform may kill a process this long after the longest expiry, counted from SIGTERM. The last step of a
# stop takes up to MAX_FINISH_SECONDS of it.
KILL_DELAY_SECONDS = 0.7
MAX_FINISH_SECONDS = 0.2
# How long requests that were read before all reading ended may wait for their answers.
LAST_ANSWERS_SECONDS = 0.1
# How long a starting process waits for discovery before it uses the list of workers in its configuration.
FIRST_LIST_TIMEOUT_SECONDS = 0.5
FIRST_EPOCH_SECONDS = 1.0  # how long workers without any known state count as closed
# How long input on accepted connections is still read after the listener has stopped accepting.
ACCEPTED_INPUT_SECONDS = 0.1
# Work that arrives later than this after the operators' call `evacuate` is deferred on arrival.
EVACUATION_ADMISSION_SECONDS = 2.0
EVACUATION_IDLE_SECONDS = 0.5  # limit for idle connections after `evacuate`
OVERLAP_POLL_SECONDS = 0.05  # interval of checks for the other process at the same address
STOP_POLL_SECONDS = 0.01  # interval of checks for what a stop still waits for
IDLE_SWEEP_SECONDS = 0.5  # interval of checks of the idle connections to workers
# Descriptors reserved for a ledger: its database, WAL and lock, and one more set while it is rewritten.
LEDGER_DESCRIPTORS = 8
FLEET_DESCRIPTORS = 16  # reserved for connections to other dispatchers; net/fleet.py keeps to this
FAULT_SUMMARY_SECONDS = 10.0  # interval of log lines that sum up the faults counted and the state
BUDGET_CHECK_SECONDS = 0.5  # interval of checks whether the number of known workers has changed
CLOCK_CHECK_SECONDS = 1.0  # interval of checks for a step of the wall clock


class StartupError(OSError):
    """The dispatcher cannot start, for instance because an address to listen on is in use."""


class Program:
    """One dispatcher process. `make_policy(terms, seed)` creates the policy module that makes the decisions.

    `read_new_config()` reads the configuration again and raises ConfigError if it is invalid.
    `has_missed_reload()` tells whether a SIGHUP arrived between reading `config` and `run`. Raises
    StartupError."""

    def __init__(self, config, machine, make_policy, read_new_config, has_missed_reload=bool):
        self.config = config
        self.machine = machine
        self.read_new_config = read_new_config
        self.has_missed_reload = has_missed_reload
        self.loop = asyncio.get_running_loop()
        self.counters = FaultCounters()
        self.loop_monitor = LoopMonitor()
        self.sock = self.presence = None  # an inherited listening socket and its other users
        if config.listen_fd is not None:
            self.sock = _open_socket(
                "RELAY_LISTEN_FD", lambda: machine.adopt_listening_socket(config.listen_fd)
            )
            self.presence = machine.open_presence(self.sock)
        self.has_overlap = self._has_other_process() is True
        self.known_workers = 0  # number of workers in the lists so far that are not forgotten
        budget = self._compute_budget(config)
        self.engine = Engine(
            make_policy,
            self._compute_process_terms(config),
            config.names,
            config.seed,
            machine,
            self.counters,
            self._open_shared_ids(),
        )
        self.workers = Workers(self.engine, config.names, config.terms, budget, machine, self.counters)
        self.discovery = Discovery(
            self.engine, self.workers, config.discovery, self.counters, self.engine.random
        )
        self.engine.workers, self.engine.discovery = self.workers, self.discovery
        self.listener = Listener(self.engine, budget, self.counters)
        self.handover_receiver = self.handover_sender = None
        if self.sock is not None:
            folder = machine.get_shared_folder()
            self.handover_receiver = HandoverReceiver(self.engine, self.listener, folder, self.counters)
            self.handover_sender = HandoverSender(
                self.engine, self.listener, self.workers, folder, self.counters
            )
            self.workers.keeps_received = True
        self.operators = Operators(self._run_operator_call, machine, self.counters)
        self.operator_calls = {
            "readyz": self._report_readiness,
            "evacuate": self._evacuate,
            "activate": self._activate,
        }
        self.fleet = None
        if config.fleet is not None:
            try:
                from heronwinch.net.fleet import FleetService
            except ModuleNotFoundError as error:
                raise StartupError(f"fleet: {error.name} is missing; pip install .") from None
            self.fleet = FleetService(config, machine, self.engine, self.counters)
            self.operator_calls |= {"view": lambda: (True, self.fleet.format_status())}
        self.ledger = self.recovery = None
        if config.ledger is not None:
            try:
                from heronwinch.net.ledger import Ledger
            except ModuleNotFoundError as error:
                raise StartupError(f"ledger: {error.name} is missing; pip install .") from None
            self.ledger = self.engine.ledger = Ledger(
                config, machine, self.engine, self.workers, self.counters
            )
        self.is_serving = False
        self.close_idle_timer = None  # set from the call `evacuate` to the call `activate`
        self.stop_event = asyncio.Event()

    def _open_shared_ids(self):
        """Returns the RecentIds shared with other processes at the socket, None if there are none to be."""
        if self.sock is None:
            return None
        try:
            return self.machine.open_shared_ids(self.sock)
        except OSError as error:
            self.counters.count("ids_unshared")
            log.warning("ids_unshared", why=str(error))
            return None

    def _has_other_process(self):
        """Whether another process serves on the same socket; None if that cannot be told."""
        return self.presence.has_other_processes() if self.presence is not None else False

    def _compute_process_terms(self, config):
        """Returns the terms for this process. All limits hold for one dispatcher, so two processes at one
        address use half of its part each."""
        terms = config.terms
        if not self.has_overlap:
            return terms
        return terms._replace(dispatchers=2 * terms.dispatchers, shares_address=True)

    def _compute_budget(self, config):
        """Returns the sockets and the memory that this process may use for clients and workers."""
        sockets = min(config.sockets, self.machine.get_descriptor_limit())
        share = 1 + self.has_overlap
        sockets -= FLEET_DESCRIPTORS * (config.fleet is not None) + LEDGER_DESCRIPTORS * (
            config.ledger is not None
        )
        worker_count = max(len(config.known.hosts), self.known_workers)
        return ResourceBudget(sockets // share, config.memory_mb // share, worker_count)

    async def run(self):
        """Starts the dispatcher, serves until SIGTERM or SIGINT and shuts down. Raises StartupError."""
        self.loop.set_exception_handler(self._log_uncaught)
        for number in (signal.SIGTERM, signal.SIGINT):
            self.loop.add_signal_handler(number, self.stop_event.set)
        self.loop.add_signal_handler(signal.SIGHUP, self._handle_sighup)
        config = self.config
        if config.mgmt:
            await _start_listening(config.mgmt, self.operators.listen(*config.mgmt))
        if self.sock is None:
            self.sock = _open_socket(
                _format_address(config.listen), lambda: self.machine.create_listening_socket(*config.listen)
            )
        if self.ledger is not None:
            from heronwinch.net.recovery import RecoveryDriver

            self.recovery = RecoveryDriver(self)
            await self.recovery.read_store()
        self.engine.post(self.workers.apply_listing(interface.ListKind.CACHED, config.known))
        if config.terms.pushed_list:
            self.discovery.subscribe(True)
        if self.fleet is not None:
            if self.has_overlap:
                self.fleet.processes_at_address = 2
                self.fleet.open_in_background()
            else:
                await _start_listening(config.fleet.listen, self.fleet.open_sockets(False))
        if self.has_overlap:
            await self._wait_before_serving()
        elif config.terms.pushed_list:
            # From its start a process counts as informed of all that discovery knows, so no work may go out
            # by the list that an earlier process was given.
            await self._wait_for_discovery()
        if self.recovery is not None:
            await self.recovery.run_stages()
        if self.presence is not None and not self.handover_receiver.open():
            self.counters.count("taking_unavailable")
        await self.listener.listen(self.sock)
        if self.presence is not None and not self.presence.announce_process():
            self.counters.count("presence_untold")
        self.is_serving = True
        if self.has_missed_reload():
            self.reload()
        log.info(
            "started",
            name=config.name,
            listen=_format_address(config.listen),
            workers=len(config.known.hosts),
            replaces=self.has_overlap,
        )
        self._run_periodically(IDLE_SWEEP_SECONDS, self.workers.close_unfit_idle_connections)
        self._run_periodically(BUDGET_CHECK_SECONDS, self._adjust_budget_to_workers)
        self._poll_overlap()
        self._run_periodically(FAULT_SUMMARY_SECONDS, self._log_summary)
        self._run_periodically(CLOCK_CHECK_SECONDS, WallClockMonitor(self.machine, self.counters).check)
        await self.stop_event.wait()
        await self._shut_down()

    async def _wait_before_serving(self):
        """Waits for discovery and for the first epoch, until which all workers count as closed. This costs
        nothing while another process serves."""
        await self._wait_for_discovery()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_EPOCH_SECONDS):
                await self.stop_event.wait()

    async def _wait_for_discovery(self):
        """Waits for discovery's first response, for FIRST_LIST_TIMEOUT_SECONDS at most."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(FIRST_LIST_TIMEOUT_SECONDS):
                await self.discovery.first_response.wait()

    def _poll_overlap(self):
        """Checks at intervals whether the other process still serves, until it is gone."""
        if not self.has_overlap or self.stop_event.is_set():
            return
        if self._has_other_process():
            self.loop.call_later(OVERLAP_POLL_SECONDS, self._poll_overlap)
        else:
            log.info("alone")
            self._set_overlap(False)

    def _set_overlap(self, is_shared):
        """Adjusts all limits to whether another process serves at the same address."""
        self.has_overlap = is_shared
        if self.fleet is not None:
            self.fleet.processes_at_address = 1 + is_shared
        self._apply_budget(self._compute_budget(self.config))
        self.engine.change_terms(self._compute_process_terms(self.config), self.config.names)

    def _apply_budget(self, budget):
        """Sets the limits of sockets and memory."""
        self.listener.set_budget(budget)
        self.workers.set_budget(budget)

    def _adjust_budget_to_workers(self):
        """Adjusts the limits of memory to the number of workers that lists have named."""
        if len(self.workers.by_number) != self.known_workers:
            self.known_workers = len(self.workers.by_number)
            self._apply_budget(self._compute_budget(self.config))

    # ---- operators' calls

    def _run_operator_call(self, call):
        """Returns whether the call succeeded, and the text of the reply. Raises OperatorCallError for an
        unknown call."""
        if self.fleet is not None and call.startswith("forget "):
            return self.fleet.forget_member(call.removeprefix("forget ").strip())
        if call not in self.operator_calls:
            raise OperatorCallError(f"no such call; there are {', '.join(self.operator_calls)}")
        is_ok, text = self.operator_calls[call]()
        self.counters.count("call_" + call)
        return is_ok, text

    def _report_readiness(self):
        """Answers the call `readyz`: whether this process serves, with the stage of a recovery."""
        recovery_text = f", {self.recovery.describe()}" if self.recovery is not None else ""
        return self.is_serving, ("ready" if self.is_serving else "not ready yet") + recovery_text

    def _evacuate(self):
        """Sends clients away. Nothing else changes and nothing restarts."""
        if self.close_idle_timer is None:
            log.info("evacuating", held=self.engine.count_unanswered(), clients=len(self.listener.clients))
            self.listener.is_ready = False
            self.listener.set_keep_alive(False)
            self.engine.evacuate(EVACUATION_ADMISSION_SECONDS)
            self.close_idle_timer = self.loop.call_later(
                EVACUATION_IDLE_SECONDS, self.listener.close_idle_clients
            )
        return True, "sending clients away"

    def _activate(self):
        """Accepts clients again after `_evacuate`."""
        if self.close_idle_timer is not None:
            log.info("activated", held=self.engine.count_unanswered(), clients=len(self.listener.clients))
            self.close_idle_timer.cancel()
            self.close_idle_timer = None
            self.engine.evacuate(None)
            if not self.stop_event.is_set():
                self.listener.is_ready = True
                self.listener.set_keep_alive(True)
        return True, "taking clients"

    def _handle_sighup(self):
        """Reloads the configuration, after the start where one is still under way: a start uses the config
        that was read first."""
        if self.is_serving:
            self.reload()
        else:
            self.has_missed_reload = lambda: True

    def reload(self):
        """Reads the configuration again and applies at once what can change in a running dispatcher, also
        while it stops: a successor gets the same signal, and both have to agree on what they serve."""
        old = self.config
        try:
            new = self.read_new_config()
            check_no_setting_lost(new, old)
            budget = self._compute_budget(new)
        except ConfigError as config_error:
            log.error("reload_refused", why=str(config_error))
            return
        comparable_fields = [name for name in Config._fields if name != "setting_paths"]
        changed = [name for name in comparable_fields if getattr(new, name) != getattr(old, name)]
        self.config = new = new._replace(
            listen=old.listen, mgmt=old.mgmt, terms=self.workers.renumber_terms(new.names, new.terms)
        )
        if new.terms != old.terms or new.names != old.names:
            self.workers.terms = new.terms
            self.engine.change_terms(self._compute_process_terms(new), new.names)
            self.listener.set_admission_rules(self.engine.make_admission_rules())
        self._apply_budget(budget)
        if (event := self.workers.apply_remembered(new.known)) is not None:
            self.engine.post(event)
        if new.discovery != old.discovery:
            self.discovery.change_address(new.discovery)
        log.info(
            "reloaded",
            changed=",".join(changed),
            discovery=_format_address(new.discovery),
            needs_restart=",".join(name for name in changed if name in ("listen", "mgmt")),
        )

    def _run_periodically(self, seconds, action, due_at=None):
        """Calls `action` now and then every `seconds` seconds. `due_at` is the event loop time at which this
        call was due."""
        now = self.loop.time()
        if due_at is not None:
            self.loop_monitor.record(now - due_at)
        self.loop.call_later(seconds, self._run_periodically, seconds, action, now + seconds)
        action()

    def _log_summary(self):
        """Logs the counters of faults, the state of the decisions, and the use of sockets and memory."""
        self.counters.log_summary()
        self.engine.log_module_state()
        log.info(
            "resources",
            **self.listener.count_groups(),
            client_limit=self.listener.budget.clients,
            worker_connections=self.workers.open_count,
            worker_connections_idle=len(self.workers.idle_connections),
            worker_connection_limit=self.workers.max_connections,
            work_items=len(self.engine.items),
            large_requests=self.listener.large_requests.used,
            large_request_limit=self.listener.large_requests.limit,
            large_answers=self.workers.large_answers.used,
            large_answer_limit=self.workers.large_answers.limit,
            ids=len(self.engine.recent_ids),
            timers=len(self.engine.timers),
            workers=len(self.workers.by_number),
            memory_mb=self.machine.read_memory_mb(),
            peak_memory_mb=self.machine.read_peak_memory_mb(),
            memory_limit_mb=self.config.memory_mb,
            loop_late_ms=round(self.loop_monitor.take_longest_delay() * 1000),
        )

    def _log_uncaught(self, loop, context):
        """Handles an exception that nothing else caught: it is counted and logged, and the dispatcher goes
        on."""
        if self.counters.count("stray_fault"):
            log.error("stray_fault", what=context.get("message"), exc_info=context.get("exception"))

    async def _shut_down(self):
        """Stops in an orderly way: answers all accepted work, and accepts new connections for as long as
        clients are still sent here."""
        stop_began_at = self.loop.time()
        longest_expiry_seconds = min(
            MAX_STOP_SECONDS,
            max(category.expiry for category in self.config.terms.categories) / interface.SECOND,
        )
        # Even where all work is short, a load balancer needs this time to notice the stop.
        stop_seconds = max(longest_expiry_seconds, NEW_CONNECTIONS_SECONDS + ACCEPTED_INPUT_SECONDS)
        last_requests_until = stop_began_at + min(
            stop_seconds + LAST_RESPONSES_SECONDS,
            longest_expiry_seconds + KILL_DELAY_SECONDS - MAX_FINISH_SECONDS,
        )
        # None (unknown) counts as a successor: a platform that holds the listening socket stops a process
        # only once the next one serves.
        has_successor = self._has_other_process() is not False
        log.info(
            "stopping",
            held=self.engine.count_unanswered(),
            clients=len(self.listener.clients),
            followed=has_successor,
        )
        has_handover = False
        if has_successor:
            # The successor has the listening socket with its queue, and takes over the connections held here.
            # A connection that it does not take over is closed after its response. Idle connections are
            # closed soon: the longer they are kept, the less time is left for a request that still arrives on
            # them.
            self.listener.stop_accepting()
            self._set_overlap(True)
            if self.fleet is not None:
                self.fleet.close(leaves_fleet=False)
            self.handover_receiver.close()
            has_handover = await self.handover_sender.connect_to_successor()
            self.listener.set_keep_alive(has_handover)
            keep_seconds = accept_seconds = ACCEPTED_INPUT_SECONDS
        else:
            # Another dispatcher may be down at the same time, which leaves clients only this one. So
            # connections are kept for the first part of the stop; after that, clients whose work cannot end
            # in time are sent elsewhere at once. Where there is no other dispatcher, they are kept for the
            # whole stop.
            self.listener.is_ready = False
            if self.fleet is not None:
                self.fleet.announce_leaving()
            keep_seconds = (
                stop_seconds * KEPT_CONNECTIONS_SHARE
                if self.config.terms.dispatchers > 1
                else stop_seconds - LAST_RESPONSES_SECONDS
            )
            accept_seconds = NEW_CONNECTIONS_SECONDS
        if has_handover:
            # This comes before engine.stop, which shortens the time left to the work held here.
            await self.handover_sender.hand_over_clients()
        self.engine.stop(stop_began_at + stop_seconds - self.loop.time())
        has_closed_idle = False
        while (now := self.loop.time()) < stop_began_at + stop_seconds:
            if self._has_handover():
                await self.handover_sender.hand_over_clients()
            elif not has_closed_idle and now > stop_began_at + keep_seconds:
                has_closed_idle = True
                self.listener.set_keep_alive(False)
                self.listener.close_idle_clients()
            if (
                now > stop_began_at + accept_seconds
                and not self._count_unanswered()
                and not self.listener.may_receive_requests(not has_successor)
            ):
                break
            await asyncio.sleep(STOP_POLL_SECONDS)
        await self._serve_last_requests(last_requests_until)
        if has_handover:
            await self.handover_sender.finish()
            log.info("passed_on", connections=self.handover_sender.accepted_count)
        await self.listener.finish(LAST_ANSWERS_SECONDS)
        self.is_serving = False
        if self.fleet is not None and not self.fleet.is_closed:
            self.fleet.close()
        self.operators.close()
        self.discovery.close()
        self.workers.close()
        if self.ledger is not None:
            await self.ledger.close()
        self.counters.log_summary()
        log.info(
            "stopped",
            unanswered=self.engine.count_unanswered(),
            clients=len(self.listener.clients),
            unread=self.listener.count_unread(),
            seconds=round(self.loop.time() - stop_began_at, 3),
        )

    def _has_handover(self):
        """Whether another process takes over clients now."""
        return self.handover_sender is not None and self.handover_sender.sock is not None

    def _count_unanswered(self):
        """Returns the number of work items that wait for their answer here, with the clients of which it is
        not settled yet whether the successor serves them."""
        unsettled = self.handover_sender.count_unsettled() if self.handover_sender is not None else 0
        return self.engine.count_unanswered() + unsettled

    async def _serve_last_requests(self, until):
        """Answers requests that still arrive on open connections, up to this event loop time at the latest.
        Each answer ends its connection, as no further request can be served here."""
        self.listener.set_keep_alive(False)
        self.listener.close()
        # A connection accepted just before is still on its way to a client's task. Waiting here guards
        # against losing work on such a connection, and work whose request began before the listener closed.
        listener_closed_at = self.loop.time()
        while (now := self.loop.time()) < min(listener_closed_at + LAST_RESPONSES_SECONDS, until) or (
            now < until and (self._count_unanswered() or self.listener.is_receiving_request())
        ):
            if self._has_handover():
                await self.handover_sender.hand_over_clients()
            else:
                self.listener.close_idle_clients()
            if (
                now > listener_closed_at + ACCEPTED_INPUT_SECONDS
                and not self.listener.clients
                and not self._count_unanswered()
            ):
                break
            await asyncio.sleep(STOP_POLL_SECONDS)


def _format_address(address):
    """Returns the address as host:port."""
    return ":".join(map(str, address))


def _open_socket(source, make_socket):
    """Returns `make_socket()`; an OSError becomes a StartupError that names `source`."""
    try:
        return make_socket()
    except OSError as error:
        raise StartupError(f"cannot listen on {source}: {error}") from None


async def _start_listening(address, listen_coroutine):
    """Awaits `listen_coroutine`; an OSError becomes a StartupError that names `address`."""
    try:
        await listen_coroutine
    except OSError as error:
        raise StartupError(f"cannot listen on {_format_address(address)}: {error}") from None
