"""Follows the log of changes in the store; only feeders run it."""

import asyncio
from collections.abc import Callable
import random
from typing import Final

import loguru

from wigeonspool import eventlog
from wigeonspool import failures
from wigeonspool.agent import configuration
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.store import configuration as logs
from wigeonspool.store import store as stores

# A watch that went silent is noticed within this time, and a store that comes
# back within the longest retry delay; both stay well below the time in which a
# change must be in force.
WATCH_IDLE_SECONDS: Final = 1.5
RETRY_SECONDS: Final = 0.25
RETRY_JITTER_SECONDS: Final = 0.25
SNAPSHOT_CHANGES: Final = 200
KEPT_CHANGES: Final = 1000


class StoreFollower:
    """Brings the tables in force to the head of the log."""

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
        """Prepares the follower.

        Args:
            client: Client of the store, for watches.
            log: Log of changes in that store.
            state: Tables in force.
            event_log: Events of this process.
            writer: Identity of this process in what it writes.
            on_change: Called after the tables changed.
            find_rank: Returns the place of this feeder among all feeders; the
                first one writes snapshots, the others only if it does not.
        """
        self._client = client
        self._log = log
        self._state = state
        self._events = event_log
        self._writer = writer
        self._on_change = on_change
        self._find_rank = find_rank
        self._is_available = True
        self._failures = failures.FailureLog("store")
        self._reported: events.Kind | None = None
        self._saved_generation = 0

    async def follow(self) -> None:
        """Follows the store for ever; tries again after a failure."""
        while True:
            try:
                await self._follow_once()
            except errors.StoreError as error:
                self._note_available(False)
                self._failures.note(error)
                await asyncio.sleep(_draw_delay())
            except errors.ChainBrokenError as error:
                self._report(events.Kind.CONFIGURATION_DIVERGED, str(error))
                await asyncio.sleep(WATCH_IDLE_SECONDS)

    async def _follow_once(self) -> None:
        """Reads what is new, then watches from the revision read.

        Raises:
            StoreError: If the store could not serve a call.
            ChainBrokenError: If the log shows another history.
        """
        revision = await self.read()
        watch = self._client.watch_prefix(
            self._log.prefix, revision + 1, WATCH_IDLE_SECONDS
        )
        async for entry in watch:
            change = logs.decode_change(entry.value)
            if self._state.take_change(change):
                self._on_change()
            elif change.generation > self._state.tables.generation:
                return

    async def read(self) -> int:
        """Takes what the log holds; returns the store revision read.

        Raises:
            StoreError: If the store could not serve a call.
            ChainBrokenError: If the log shows another history.
        """
        news = await self._log.read_news(self._state.tables)
        self._note_available(True)
        self._failures.clear()
        before = self._state.tables.generation
        if news.base is not None:
            self._saved_generation = news.base.tables.generation
            self._state.take_tables(news.base.tables, news.base.lineage)
        for change in news.changes:
            self._state.take_change(change)
        if self._state.tables.generation > before:
            self._on_change()
        if news.is_stale:
            await self._restore()
        else:
            self._reported = None
            await self._save()
        return news.revision

    async def _restore(self) -> None:
        """Writes what the log has lost; the tables in force stay.

        Raises:
            StoreError: If the store could not serve a call.
        """
        generation = self._state.tables.generation
        self._report(
            events.Kind.CONFIGURATION_STALE_HEAD,
            f"the store lacks generation {generation}",
        )
        written = await self._log.restore(
            self._state.tables,
            list(self._state.recent),
            self._state.lineage,
            self._writer,
        )
        if written:
            self._report(
                events.Kind.CONFIGURATION_RESTORED,
                f"generation {generation} was written to the store again",
            )

    async def _save(self) -> None:
        """Writes a snapshot and removes old changes, if that is due.

        Raises:
            StoreError: If the store could not serve a call.
        """
        tables = self._state.tables
        due = self._saved_generation + SNAPSHOT_CHANGES
        rank = self._find_rank() or 0
        if tables.generation < due + rank * SNAPSHOT_CHANGES // 4:
            return
        await self._log.snapshots.write(
            tables, self._state.lineage, self._writer
        )
        self._saved_generation = tables.generation
        await self._log.compact(tables.generation, KEPT_CHANGES)

    def _note_available(self, is_available: bool) -> None:
        """Records that the store went away or came back."""
        if is_available == self._is_available:
            return
        self._is_available = is_available
        self._events.record(
            events.Kind.STORE_AVAILABLE
            if is_available
            else events.Kind.STORE_UNAVAILABLE
        )

    def _report(self, kind: events.Kind, problem: str) -> None:
        """Records an irregular state of the store, once while it lasts."""
        if self._reported is kind:
            return
        self._reported = kind
        generation = str(self._state.tables.generation)
        self._events.record(
            kind, detail={"generation": generation, "problem": problem}
        )
        loguru.logger.warning("{}; generation {} stays", problem, generation)


def _draw_delay() -> float:
    """Returns the delay before the next attempt, in seconds."""
    return RETRY_SECONDS + random.random() * RETRY_JITTER_SECONDS
