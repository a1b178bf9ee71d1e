"""Watches the change log in the store and applies its changes.

Only feeders run it. It also writes snapshots, and restores the log if the store
has lost committed changes.
"""

import asyncio
from collections.abc import Callable
import random
from typing import Final

import loguru

from wigeonspool import eventlog
from wigeonspool import failure_logs
from wigeonspool.agent import configuration
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.store import change_log as logs
from wigeonspool.store import store as stores

# A stalled watch is detected within this time, and a store that is available
# again within the longest retry delay. Both must be well below the time within
# which a change must be active.
WATCH_IDLE_TIMEOUT_SECONDS: Final = 1.5
RETRY_DELAY_SECONDS: Final = 0.25
RETRY_JITTER_SECONDS: Final = 0.25
CHANGES_PER_SNAPSHOT: Final = 200
RETAINED_CHANGES: Final = 1000


class StoreWatcher:
    """Keeps the active tables at the newest generation of the log."""

    def __init__(
        self,
        client: stores.StoreClient,
        log: logs.ChangeLog,
        state: configuration.ConfigurationState,
        event_log: eventlog.EventLog,
        writer: str,
        on_change: Callable[[], None],
        find_rank: Callable[[], int | None],
    ) -> None:
        """Builds the watcher; `run` starts it.

        Args:
            client: Client of the store, for watches.
            log: Change log in that store.
            state: Active tables.
            event_log: Event log of this process.
            writer: Identity of this process in the data that it writes.
            on_change: Called after the tables changed.
            find_rank: Returns the rank of this feeder among all feeders. The
                first one writes snapshots; the others write one only if it is
                overdue, later with each rank.
        """
        self._client = client
        self._log = log
        self._state = state
        self._events = event_log
        self._writer = writer
        self._on_change = on_change
        self._find_rank = find_rank
        self._is_available = True
        self._failures = failure_logs.FailureLog("store")
        self._recorded_problem: events.Kind | None = None
        self._snapshot_generation = 0

    async def run(self) -> None:
        """Watches the store until cancelled; retries after failures."""
        while True:
            try:
                await self._sync_and_watch()
            except errors.StoreError as error:
                self._record_availability(False)
                self._failures.record(error)
                await asyncio.sleep(_draw_retry_delay())
            except errors.ChainBrokenError as error:
                self._record_problem(
                    events.Kind.CONFIGURATION_DIVERGED, str(error)
                )
                await asyncio.sleep(WATCH_IDLE_TIMEOUT_SECONDS)

    async def _sync_and_watch(self) -> None:
        """Reads new changes, then watches from the revision that was read.

        Returns when a watched change skips a generation, so that the log is
        read again.

        Raises:
            StoreError: If the store could not serve a call.
            ChainBrokenError: If the log shows another history.
        """
        revision = await self.sync()
        watch = self._client.watch_prefix(
            self._log.prefix, revision + 1, WATCH_IDLE_TIMEOUT_SECONDS
        )
        async for entry in watch:
            change = logs.decode_change(entry.value)
            if self._state.apply_change(change):
                self._on_change()
            elif change.generation > self._state.tables.generation:
                return

    async def sync(self) -> int:
        """Applies the contents of the log; returns the store revision read.

        Restores the log if it is behind the active tables.

        Raises:
            StoreError: If the store could not serve a call.
            ChainBrokenError: If the log shows another history.
        """
        update = await self._log.read_update(self._state.tables)
        self._record_availability(True)
        self._failures.record_recovery()
        before = self._state.tables.generation
        if update.base is not None:
            self._snapshot_generation = update.base.tables.generation
            self._state.replace_tables(update.base.tables, update.base.lineage)
        for change in update.changes:
            self._state.apply_change(change)
        if self._state.tables.generation > before:
            self._on_change()
        if update.is_stale:
            await self._restore_log()
        else:
            self._recorded_problem = None
            await self._write_snapshot_if_due()
        return update.revision

    async def _restore_log(self) -> None:
        """Writes lost changes to the log again; the active tables stay.

        Raises:
            StoreError: If the store could not serve a call.
        """
        generation = self._state.tables.generation
        self._record_problem(
            events.Kind.CONFIGURATION_STALE_HEAD,
            f"the store lacks generation {generation}",
        )
        written = await self._log.restore(
            self._state.tables,
            list(self._state.recent_changes),
            self._state.lineage,
            self._writer,
        )
        if written:
            self._record_problem(
                events.Kind.CONFIGURATION_RESTORED,
                f"generation {generation} was written to the store again",
            )

    async def _write_snapshot_if_due(self) -> None:
        """Writes a snapshot and removes old changes, if a snapshot is due.

        Raises:
            StoreError: If the store could not serve a call.
        """
        tables = self._state.tables
        due = self._snapshot_generation + CHANGES_PER_SNAPSHOT
        rank = self._find_rank() or 0
        if tables.generation < due + rank * CHANGES_PER_SNAPSHOT // 4:
            return
        await self._log.snapshots.write(
            tables, self._state.lineage, self._writer
        )
        self._snapshot_generation = tables.generation
        await self._log.compact(tables.generation, RETAINED_CHANGES)

    def _record_availability(self, is_available: bool) -> None:
        """Records an event if the store became unavailable or available."""
        if is_available == self._is_available:
            return
        self._is_available = is_available
        self._events.record(
            events.Kind.STORE_AVAILABLE
            if is_available
            else events.Kind.STORE_UNAVAILABLE
        )

    def _record_problem(self, kind: events.Kind, problem: str) -> None:
        """Records and logs a problem of the store, once while it lasts."""
        if self._recorded_problem is kind:
            return
        self._recorded_problem = kind
        generation = str(self._state.tables.generation)
        self._events.record(
            kind, detail={"generation": generation, "problem": problem}
        )
        loguru.logger.warning(
            "{}; generation {} stays active", problem, generation
        )


def _draw_retry_delay() -> float:
    """Returns the delay before the next retry, in seconds."""
    return RETRY_DELAY_SECONDS + random.random() * RETRY_JITTER_SECONDS
