"""Drives the stages of recovery (recovery/stages.py) while a dispatcher starts. Imported only if the
configuration has a section `ledger`."""

import asyncio

import structlog

from heronwinch import interface
from heronwinch.ledger.store import StoreError
from heronwinch.net.ledger import RUNNING_TIMES_INTERVAL_SECONDS
from heronwinch.recovery.stages import (
    GATHERING,
    NORMAL,
    READING_STORE,
    STAGE_NAMES,
    WARMING_UP,
    RecoveryProgress,
    StagedRecovery,
)

log = structlog.get_logger()

PROGRESS_POLL_SECONDS = 0.02  # interval of checks whether the list and the view have arrived
WARM_POLL_SECONDS = 0.5  # interval of checks how many workers are cold
MAX_COLD_SHARE = 0.25  # share of the ready workers that may still be cold in normal service


class RecoveryDriver:
    """Takes `program`, a dispatcher that starts, through the stages up to normal service."""

    def __init__(self, program):
        self.program, self.ledger, self.machine = program, program.ledger, program.machine
        self.loop = program.loop
        self.stages = StagedRecovery(self.machine.now())
        self.store_was_read = self.open_items_settled = False

    def describe(self):
        """Returns the stage and what was skipped, for operators."""
        return self.stages.describe()

    def _advance(self):
        """Moves on as far as the present progress allows, and returns the stage."""
        program = self.program
        fleet = program.fleet
        # No client waits for this dispatcher, and no work item is open.
        is_plain_start = not self.ledger.is_recovering
        progress = RecoveryProgress(
            self.store_was_read,
            is_plain_start or program.discovery.first_response.is_set(),
            is_plain_start or fleet is None or not fleet.view.seeds or fleet.view.last_heard_at > 0,
            self.open_items_settled,
            self._are_workers_warm(),
        )
        previous_stage = self.stages.stage
        if self.stages.advance(self.machine.now(), progress):
            for stage in range(previous_stage, self.stages.stage):
                log.info(
                    "recovery_stage_ended",
                    stage=STAGE_NAMES[stage],
                    seconds=round(self.stages.stage_durations[stage] / interface.SECOND, 3),
                    skipped=",".join(name for skipped_in, name in self.stages.skipped if skipped_in == stage),
                )
        return self.stages.stage

    def _are_workers_warm(self):
        """Whether most of the workers that the list has as ready are warm."""
        terms, now = self.program.config.terms, self.machine.now()
        ready = [
            worker.entry
            for worker in self.program.workers.by_number.values()
            if worker.entry.standing == interface.Standing.READY
        ]
        cold_count = sum(entry.started_at > 0 and now - entry.started_at < terms.warm_up for entry in ready)
        return bool(ready) and cold_count <= MAX_COLD_SHARE * len(ready)

    async def read_store(self):
        """Reads the store; raises program.StartupError where this dispatcher must not use it."""
        from heronwinch.program import StartupError

        try:
            await self.ledger.open()
        except StoreError as error:
            raise StartupError(f"ledger: {error}") from None
        self.store_was_read = True
        self._advance()
        if self.program.fleet is not None:
            self.ledger.join_fleet(self.program.fleet)
        if (event := self.ledger.make_running_times_event()) is not None:
            self.program.engine.post(event)

    async def run_stages(self):
        """Waits for the list and the view within their time limit, then settles open work items."""
        while self._advance() in (READING_STORE, GATHERING):
            if self.program.stop_event.is_set():
                break
            await asyncio.sleep(PROGRESS_POLL_SECONDS)
        if self.ledger.is_recovering:
            self.program.engine.post(interface.ClientSurge(self.stages.bounds.growing))
        self.ledger.settle_open_items()
        self.open_items_settled = True
        self._advance()
        self._poll_until_normal()
        self._record_running_times()

    def _poll_until_normal(self):
        """Advances now and then until service is normal, and tells the module when it is."""
        if self._advance() == WARMING_UP and not self.program.stop_event.is_set():
            self.loop.call_later(WARM_POLL_SECONDS, self._poll_until_normal)
        elif self.stages.stage == NORMAL and self.ledger.is_recovering:
            self.program.engine.post(interface.ClientSurge(0))

    def _record_running_times(self):
        """Records running times now and then until the ledger is closed."""
        if not self.ledger.is_closed:
            self.ledger.record_running_times()
            self.loop.call_later(RUNNING_TIMES_INTERVAL_SECONDS, self._record_running_times)
