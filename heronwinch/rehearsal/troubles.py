"""Injects the troubles (faults) of a script, each at its time and for its duration. They may overlap."""

from random import Random

from heronwinch.interface import SECOND
from heronwinch.rehearsal import script as scripts

STORE_DAMAGES = ("flipped", "cut", "gone")  # ways to damage a store, see rehearsal/store_damage.py
TIMER_TOLERANCE_NS = SECOND // 1000  # a timer may fire early by this much
STARVE_PERIOD_NS = SECOND // 10  # a starved process runs once in each such period
SHRINK_AFTER_GRACE_NS = SECOND  # a worker of a `shrink` ends this long after the drain grace


class TroubleTimeline:
    """Schedules the troubles of the runner's script; method `_inject_x` carries out trouble `x`."""

    def __init__(self, runner):
        self.runner = runner
        self.trouble_began_at = 0  # when the trouble that is being injected began
        self.active_faults = {}  # worker -> calls that apply its active faults to a restarted model
        self.planned_store_damage = {}  # dispatcher -> damage done to its store before it restarts
        self.power_back_at = {}  # worker or dispatcher -> time at which its power returns

    def start(self, traffic_began_at, spawn):
        """Schedules all troubles; `spawn` starts a task among the clients."""
        self.spawn = spawn
        for index, trouble in enumerate(self.runner.script.troubles):
            delay = traffic_began_at + int(trouble.at) - self.runner.now()
            self.runner.schedule(
                max(0, delay), self._begin_trouble, trouble, self.runner.create_random("trouble", index)
            )

    def _begin_trouble(self, trouble, random):
        now = self.runner.now()
        ends_at = now + int(trouble.lasts) + max(0, trouble.waves - 1) * int(trouble.every)
        self.runner.observations.trouble_spans.append((now, ends_at, trouble))
        self.trouble_began_at = now
        inject = getattr(self, "_inject_" + trouble.what.replace("-", "_"))
        kind = scripts.TROUBLES[trouble.what]
        if kind.target == "workers":
            self._schedule_in_waves(
                trouble, inject, self._choose_targets(trouble, random, self.runner.workers, trouble.workers)
            )
        elif kind.target == "dispatchers":
            self._schedule_in_waves(
                trouble,
                inject,
                self._choose_targets(trouble, random, self.runner.dispatchers, trouble.dispatchers),
            )
        else:
            inject(trouble, random)

    def _choose_targets(self, trouble, random, members_by_name, named):
        if named:
            return [members_by_name[name] for name in named]
        candidates = sorted(members_by_name)
        if trouble.area:
            candidates, _ = self._split_by_area(candidates, trouble.area)
        count = min(len(candidates), trouble.count or max(1, round((trouble.share or 1.0) * len(candidates))))
        return [
            members_by_name[name]
            for name in sorted(random.sample(candidates, count), key=lambda n: int(n[1:]))
        ]

    def _schedule_in_waves(self, trouble, inject, members):
        """Injects into all targets at once, or in `waves` equal groups `every` apart."""
        waves = max(1, trouble.waves)
        for wave in range(waves):
            wave_members = members[len(members) * wave // waves : len(members) * (wave + 1) // waves]
            self._schedule(
                wave * int(trouble.every),
                lambda wave_members=wave_members: [inject(trouble, member) for member in wave_members],
            )

    def _schedule(self, delay, callback, *args):
        self.runner.schedule(int(delay), callback, *args)

    # ---- workers

    def _apply_across_restarts(self, trouble, member, apply_fault, remove_fault):
        """Applies a fault to a worker's model, and to each model that replaces it while the trouble lasts."""
        self.active_faults.setdefault(member.name, []).append(apply_fault)

        def end_fault():
            self.active_faults[member.name].remove(apply_fault)
            if member.is_up:
                remove_fault(member.model)

        if member.is_up:
            apply_fault(member.model)
        self._schedule(trouble.lasts, end_fault)

    def _inject_model_fault(self, trouble, member):
        self._apply_across_restarts(
            trouble,
            member,
            lambda model: model.start_fault(trouble.what),
            lambda model: model.end_fault(trouble.what),
        )

    _inject_swallow = _inject_mute = _inject_fail = _inject_decline = _inject_garble = _inject_model_fault

    def _inject_late_reports(self, trouble, member):
        report_delay_ns = int(trouble.by)
        self._apply_across_restarts(
            trouble,
            member,
            lambda model: model.report_delays.append(report_delay_ns),
            lambda model: model.report_delays.remove(report_delay_ns),
        )

    def _inject_pause(self, trouble, member):
        if member.is_up:
            now = self.runner.now()
            member.model.pause(now, now + int(trouble.lasts))
            self.runner.environment.call_in_worker(member.name, member.server.process_due_events)

    def _inject_crowd(self, trouble, member):
        factor = trouble.factor
        if not member.is_up:
            return
        model = member.model
        model.set_crowding(self.runner.now(), factor, True)
        self.runner.environment.call_in_worker(member.name, member.server.process_due_events)

        def end():
            if member.is_up and member.model is model:
                model.set_crowding(self.runner.now(), factor, False)
                self.runner.environment.call_in_worker(member.name, member.server.process_due_events)

        self._schedule(trouble.lasts, end)

    def _inject_crash(self, trouble, member):
        member.stop()
        self._schedule(2 * SECOND, self.runner.delist_worker, member)
        if trouble.lasts:
            self._schedule(trouble.lasts, self.runner.restart_worker, member)

    def _inject_vanish(self, trouble, member):
        if member.is_up:
            self._cut_power(member.name, int(trouble.lasts))

    def _inject_drain(self, trouble, member):
        """The worker is listed as leaving, finishes what it has, ends, and restarts as a new one."""
        self._terminate_worker(member, int(trouble.lasts))
        self._schedule(int(trouble.lasts) + SECOND, self.runner.restart_worker, member)

    def _inject_shrink(self, trouble, member):
        self._terminate_worker(
            member, int(self.runner.script.dispatchers.drain_grace) + SHRINK_AFTER_GRACE_NS
        )

    def _terminate_worker(self, member, ends_after_ns):
        if not member.is_up:
            return
        self.runner.list_worker_as(member, "terminating")
        model = member.model

        def hand_back():
            if member.is_up and member.model is model:
                model.drain(self.runner.now())
                self.runner.environment.call_in_worker(member.name, member.server.process_due_events)

        def terminate():
            if member.model is model:
                member.stop()
                self.runner.list_worker_as(member, "terminated")

        hand_back_after_ns = (
            int(self.runner.script.dispatchers.drain_grace) + int(self.runner.roster.lag) + SECOND // 2
        )
        self._schedule(min(hand_back_after_ns, ends_after_ns), hand_back)
        self._schedule(ends_after_ns, terminate)

    # ---- discovery

    def _inject_list_outage(self, trouble, random):
        self._stop_discovery(trouble.lasts)

    def _stop_discovery(self, lasts):
        runner = self.runner
        runner.roster.active_outages += 1
        runner.environment.call_in_discovery(runner.discovery_server.abort_watches)

        def end():
            runner.roster.active_outages -= 1

        self._schedule(lasts, end)

    def _inject_list_lag(self, trouble, random):
        roster = self.runner.roster
        roster.lag += int(trouble.by)

        def end():
            roster.lag -= int(trouble.by)

        self._schedule(trouble.lasts, end)

    def _inject_list_move(self, trouble, member):
        runner = self.runner
        if not member.is_up:
            return
        old_address = member.discovery_address
        member.discovery_move_count += 1
        member.discovery_address = runner.environment.get_discovery_address(
            member.name, member.discovery_move_count
        )
        runner.environment.open_discovery_address(
            runner.discovery_server, member.name, member.discovery_address
        )
        member.reload()
        self._schedule(
            1.5 * SECOND,
            runner.environment.call_in_discovery,
            lambda: runner.discovery_server.close_address(old_address[1]),
        )

    # ---- dispatchers

    def _inject_kill(self, trouble, member):
        member.kill()
        self._schedule(trouble.lasts, self._restart_dispatcher, member, trouble.by)

    def _restart_dispatcher(self, member, slow_start_ns=0):
        """Starts a dispatcher that is down; `slow_start_ns`: how long it is suspended at its start."""
        if member.is_up or self.is_without_power(member.name):
            return
        member.start()
        if slow_start_ns:
            self._suspend_dispatcher("held", member, slow_start_ns)
        self.runner.environment.call_in_clients(lambda: self.runner.balancer.start_ready_check(member.name))

    # ---- power

    def is_without_power(self, name):
        return self.power_back_at.get(name, 0) > self.runner.now() + TIMER_TOLERANCE_NS

    def _inject_power(self, trouble, random):
        """Power fails everywhere at once and returns in waves of random members."""
        runner = self.runner
        affected = [*runner.workers, *runner.dispatchers]
        if trouble.area:
            affected, _ = self._split_by_area(affected, trouble.area)
        else:
            self._stop_discovery(int(trouble.lasts) + int(trouble.by))
        random.shuffle(affected)
        dispatcher_names = [name for name in affected if name in runner.dispatchers]
        damaged = dispatcher_names[: round(trouble.spoilt * len(dispatcher_names))]
        for name in dispatcher_names:
            damages = [(random.choice(STORE_DAMAGES), 0)] if name in damaged else []
            damages += [("clock", random.choice((-1, 1)) * int(trouble.clock))] if trouble.clock else []
            self.planned_store_damage[name] = [(*damage, random.getrandbits(64)) for damage in damages]
        waves = max(1, trouble.waves)
        for wave in range(waves):
            for name in affected[len(affected) * wave // waves : len(affected) * (wave + 1) // waves]:
                self._cut_power(name, int(trouble.lasts) + wave * int(trouble.every))

    def _cut_power(self, name, lasts_ns):
        """Ends a member without closing its connections: kills a dispatcher, silences a worker's machine.

        Where two power failures overlap, power returns with the later end.
        """
        runner, now = self.runner, self.runner.now()
        self.power_back_at[name] = max(self.power_back_at.get(name, 0), now + lasts_ns)
        if name in runner.dispatchers:
            runner.dispatchers[name].kill()
        else:
            member = runner.workers[name]
            disturbance = runner.observations.begin_disturbance("vanished", name, now)
            disturbance.ends = now + lasts_ns + SECOND
            if member.is_up:
                runner.environment.silence_machine(name)
                member.stop(quietly=True)
                self._schedule(2 * SECOND, runner.delist_worker, member)
        self._schedule(lasts_ns, self._restore_power, name)

    def _restore_power(self, name):
        if self.is_without_power(name):
            return
        if name in self.runner.dispatchers:
            for damage, clock_error_ns, seed in self.planned_store_damage.pop(name, ()):
                self.runner.environment.damage_store(name, damage, Random(seed), clock_error_ns)
            self._restart_dispatcher(self.runner.dispatchers[name])
        else:
            self.runner.environment.restore_machine(name)
            self.runner.restart_worker(self.runner.workers[name])

    def _inject_stop(self, trouble, member):
        """A graceful stop and a restart.

        The stop may take `lasts`, but at least 4 s, which is 0.7 s more than the longest stop; a dispatcher
        that still runs then is at fault.
        """
        if not member.is_up:
            return
        runner = self.runner
        stopped_at = runner.now()
        member.stop()

        def restart():
            if runner.environment.has_dispatcher_ended(member.name):
                member.is_up = False
            else:
                if runner.observations.find_disturbance(member.name, stopped_at, runner.now()) is None:
                    runner.observations.faults.append((member.name, "did not end after SIGTERM"))
                member.kill()
            self._restart_dispatcher(member)

        self._schedule(max(int(trouble.lasts), 4 * SECOND), restart)

    def _inject_hold(self, trouble, member):
        if member.is_up:
            self._suspend_dispatcher("held", member, trouble.lasts)

    def _suspend_dispatcher(self, reason, member, lasts_ns):
        runner = self.runner
        disturbance = runner.observations.begin_disturbance(reason, member.name, runner.now())
        runner.environment.set_suspended(member.name, True)

        def end():
            runner.environment.set_suspended(member.name, False)
            disturbance.ends = runner.now() + SECOND // 10

        self._schedule(lasts_ns, end)

    def _inject_starve(self, trouble, member):
        runner, ends_at = self.runner, self.runner.now() + int(trouble.lasts)

        def suspend_for_part_of_period():
            if runner.now() < ends_at:
                if member.is_up:
                    self._suspend_dispatcher("starved", member, STARVE_PERIOD_NS * (1 - trouble.factor))
                self._schedule(STARVE_PERIOD_NS, suspend_for_part_of_period)

        suspend_for_part_of_period()

    def _inject_descriptors(self, trouble, member):
        runner = self.runner
        if not member.is_up:
            return
        disturbance = runner.observations.begin_disturbance("without descriptors", member.name, runner.now())
        restore_descriptors = runner.environment.exhaust_descriptors(member.name)

        def end():
            restore_descriptors()
            disturbance.ends = runner.now() + SECOND  # connections in the listen queue are accepted late

        self._schedule(trouble.lasts, end)

    def _inject_disk(self, trouble, member):
        self._schedule(trouble.lasts, self.runner.environment.block_store_writes(member.name))

    def _inject_clock_ahead(self, trouble, member):
        self._step_wall_clock(trouble, member, int(trouble.by))

    def _inject_clock_back(self, trouble, member):
        self._step_wall_clock(trouble, member, -int(trouble.by))

    def _step_wall_clock(self, trouble, member, step_ns):
        """Sets the wall clock of a dispatcher's machine, for good or for as long as the trouble lasts."""
        environment = self.runner.environment
        environment.step_wall_clock(member.name, step_ns)
        if trouble.lasts:
            self._schedule(trouble.lasts, environment.step_wall_clock, member.name, -step_ns)

    # ---- the network

    def _inject_part(self, trouble, random):
        """Cuts dispatchers off from other dispatchers; all of them still reach the workers."""
        runner = self.runner
        if trouble.areas:
            isolated, others = (self._split_by_area(runner.dispatchers, area)[0] for area in trouble.areas)
        else:
            isolated = [
                member.name
                for member in self._choose_targets(trouble, random, runner.dispatchers, trouble.dispatchers)
            ]
            others = [name for name in runner.dispatchers if name not in isolated]
        ends_at = self.trouble_began_at + int(trouble.lasts)
        runner.observations.partitions.append((self.trouble_began_at, ends_at, isolated, others, trouble.way))
        blocks = [(isolated, others)] * (trouble.way != "in") + [(others, isolated)] * (trouble.way != "out")
        blocks = [runner.environment.block_dispatchers(*block) for block in blocks]

        def end():
            for block in blocks:
                runner.environment.unblock_dispatchers(block)

        self._schedule(trouble.lasts, end)

    def _inject_loss(self, trouble, random):
        loss_rule = self.runner.environment.add_packet_faults(trouble.share, trouble.twice, int(trouble.by))
        self._schedule(trouble.lasts, self.runner.environment.remove_packet_faults, loss_rule)

    def _inject_cut(self, trouble, random):
        """Cuts some workers off from dispatchers, or an area from all others, in both directions."""
        runner = self.runner
        if trouble.area:
            workers, others = self._split_by_area(runner.workers, trouble.area)
            dispatchers, elsewhere = self._split_by_area(runner.dispatchers, trouble.area)
            pairs = [(workers, elsewhere), (others, dispatchers)]
        else:
            targets = self._choose_targets(trouble, random, runner.workers, trouble.workers)
            pairs = [([member.name for member in targets], trouble.dispatchers or list(runner.dispatchers))]
        cuts = [runner.environment.cut_connections(*pair) for pair in pairs]
        disturbances = [
            runner.observations.begin_disturbance("cut off", name, runner.now())
            for names, _ in pairs
            for name in names
        ]

        def end():
            for cut in cuts:
                runner.environment.heal_connections(cut)
            for disturbance in disturbances:
                disturbance.ends = runner.now() + SECOND

        self._schedule(trouble.lasts, end)

    def _split_by_area(self, names, area):
        """(names in the area, names outside of it)."""
        sides = [], []
        for name in names:
            sides[scripts.find_area(self.runner.script, name) != area].append(name)
        return sides

    def _inject_slow_net(self, trouble, random):
        environment = self.runner.environment
        environment.slow_network(trouble.factor)
        self._schedule(trouble.lasts, environment.slow_network, 1 / trouble.factor)

    def _inject_resets(self, trouble, random):
        ends_at = self.runner.now() + int(trouble.lasts)

        def reset_next():
            if self.runner.now() < ends_at:
                self.runner.environment.reset_connection(random)
                self._schedule(random.expovariate(trouble.rate) * SECOND, reset_next)

        reset_next()

    # ---- clients

    def _inject_shift(self, trouble, random):
        """Sends `share` of new connections to dispatchers of one area; without `lasts`, for the whole run."""
        balancer = self.runner.balancer
        area_dispatchers, _ = self._split_by_area(balancer.weights, trouble.area)
        weight_sum = sum(balancer.weights.values())
        area_weight = sum(balancer.weights[name] for name in area_dispatchers)
        old_weights = dict(balancer.weights)
        for name in balancer.weights:
            balancer.weights[name] *= 1 - trouble.share
        for name in area_dispatchers:
            balancer.weights[name] += trouble.share * weight_sum * old_weights[name] / area_weight
        balancer.update_weights()

        def restore_weights():
            balancer.weights.update(old_weights)
            balancer.update_weights()

        if trouble.lasts:
            self._schedule(trouble.lasts, restore_weights)

    def _inject_burst(self, trouble, random):
        for arrivals in self.runner.arrivals:
            arrivals.burst_factor *= trouble.factor

        def end_burst():
            for arrivals in self.runner.arrivals:
                arrivals.burst_factor /= trouble.factor

        self._schedule(trouble.lasts, end_burst)

    def _inject_rude(self, trouble, random):
        runner = self.runner
        ends_at = runner.now() + int(trouble.lasts)
        runner.environment.call_in_clients(
            lambda: self.spawn(runner.malformed_clients.run(trouble.rate, ends_at)), False
        )
