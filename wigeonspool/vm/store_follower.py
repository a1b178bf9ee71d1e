"""Follows a source of knowledge: one bulk read, then watches."""

import asyncio
from collections.abc import Callable
from typing import Final

from wigeonspool import failure_logs
from wigeonspool.core import cluster_state
from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.vm import structured_log

# All keys: one watch costs one call, whatever it covers.
ALL_KEYS_PREFIX: Final = ""
# Longest time that one watch waits; a silent connection is noticed by then.
WATCH_SECONDS: Final = 3.0
# Changes come in bursts, and each return of a watch is a paid call.
BATCH_SECONDS: Final = 0.3
# A store that was not heard of for long is asked to answer at once.
CONFIRM_WATCH_SECONDS: Final = 0.05
MIN_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 0.6
# A VM that nobody follows hears from others that the store is back, and each
# call is paid, also one that fails.
IDLE_MAX_BACKOFF_SECONDS: Final = 2.0
# What was confirmed longer ago than this may be out of date.
STALE_SECONDS: Final = WATCH_SECONDS + 1.0

Decode = Callable[[str, bytes | None, int], cluster_state.Change | None]

log = structured_log.get_logger("store")


class StoreReplica:
    """Takes items into what this VM knows, whoever tells of them.

    Attributes:
        items: Latest item of each key that exists.
        revision: Revision of the store up to which all changes are known.
        snapshot_revision: Revision at which all keys were last read at once;
            what changed before that is not known one by one.
    """

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        decode: Decode,
        on_change: Callable[[key_values.KeyValue], None],
    ) -> None:
        """Prepares an intake.

        Args:
            cluster: Tables that change.
            decode: Decodes keys of the source.
            on_change: Called with each item that changed the tables.
        """
        self.items: dict[str, key_values.KeyValue] = {}
        self.revision = 0
        self.snapshot_revision = 0
        self._cluster = cluster
        self._decode = decode
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()

    def apply_page(self, page: key_values.Page) -> None:
        """Takes changes; the revision is that of the page from now on."""
        for item in page.items:
            self._apply_item(item)
        self.revision = max(self.revision, page.revision)

    def apply_snapshot(
        self, items: list[key_values.KeyValue], revision: int
    ) -> None:
        """Takes all keys of the source; keys that are missing are gone."""
        present = {item.key for item in items}
        missing = [
            key_values.KeyValue(key, None, revision)
            for key, item in self.items.items()
            if key not in present and item.revision <= revision
        ]
        self.apply_page(key_values.Page((*items, *missing), revision))
        self.snapshot_revision = self.revision

    def _apply_item(self, item: key_values.KeyValue) -> None:
        """Takes one change."""
        current = self.items.get(item.key)
        if current is not None and current.revision >= item.revision:
            return
        if item.value is None:
            self.items.pop(item.key, None)
        else:
            self.items[item.key] = item
        try:
            change = self._decode(item.key, item.value, item.lease)
        except errors.PlatformFormatError as error:
            log.error("unreadable", key=item.key, reason=str(error))
            return
        if change is None:
            return
        if isinstance(change, cluster_state.TargetChange) and change.problem:
            log.warning("unreadable", key=item.key, reason=change.problem)
        now = self._loop.time()
        if self._cluster.apply(now, item.key, item.revision, change):
            self._on_change(item)


class StoreFollower:
    """Keeps an intake up to date from the store.

    Attributes:
        synced_at: When the store last confirmed what is known, loop clock.
    """

    def __init__(
        self,
        source: key_values.KeyValueSource,
        replica: StoreReplica,
        cluster: cluster_state.ClusterState,
    ) -> None:
        """Prepares a follower.

        Args:
            source: Where knowledge comes from.
            replica: Takes what is read.
            cluster: Told when the store is back after it was away.
        """
        self._source = source
        self._replica = replica
        self._cluster = cluster
        self._loop = asyncio.get_running_loop()
        self._failures = failure_logs.FailureLog("store")
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._max_backoff_seconds = MAX_BACKOFF_SECONDS
        self._loaded = False
        self._watch_task: asyncio.Task[key_values.Page] | None = None
        self.synced_at = float("-inf")

    async def load(self, stale: bool) -> None:
        """Reads all keys.

        Args:
            stale: True to take an older state, which watches then correct.

        Raises:
            StoreError: If the store could not serve the calls.
        """
        items: list[key_values.KeyValue] = []
        after = ""
        revision: int | None = None
        while True:
            page = await self._source.read_range(ALL_KEYS_PREFIX, after, stale)
            items += page.items
            # Pages are read one after the other, so what changed in between
            # is learned from the first page on.
            revision = page.revision if revision is None else revision
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        if stale:
            # It may be older than what is known, so nothing is gone.
            self._replica.apply_page(key_values.Page(tuple(items), revision))
            self._replica.snapshot_revision = self._replica.revision
        else:
            self._replica.apply_snapshot(items, revision)
        self._loaded = True

    def is_failing(self) -> bool:
        """Returns True if the latest call failed."""
        return self._backoff_seconds > MIN_BACKOFF_SECONDS

    def find_synced_at(self) -> float:
        """Returns when the store confirmed what is known, loop clock.

        That is never once a call has failed, until one succeeds again.
        """
        return float("-inf") if self.is_failing() else self.synced_at

    async def load_once(self) -> None:
        """Reads all keys once, or pauses after a failure."""
        try:
            await self.load(stale=True)
        except errors.StoreError as error:
            await self._record_failure(error)

    async def step(self, others_report: bool = False) -> None:
        """Takes the next changes, or pauses after a failure.

        Args:
            others_report: True if others will tell that the store is back.
        """
        self._max_backoff_seconds = (
            IDLE_MAX_BACKOFF_SECONDS if others_report else MAX_BACKOFF_SECONDS
        )
        started_at = self._loop.time()
        recent = started_at - self.find_synced_at() < STALE_SECONDS
        seconds = WATCH_SECONDS if recent else CONFIRM_WATCH_SECONDS
        try:
            if not self._loaded:
                await self.load(stale=True)
            page = await self._watch(seconds)
        except errors.HistoryGoneError as error:
            self._failures.record(error)
            await self._reload()
            return
        except errors.StoreError as error:
            await self._record_failure(error)
            return
        self._record_success()
        self._replica.apply_page(page)
        if page.items:
            spent = self._loop.time() - started_at
            await asyncio.sleep(max(0.0, BATCH_SECONDS - spent))

    async def _watch(self, seconds: float) -> key_values.Page:
        """Returns the next changes.

        Raises:
            StoreError: If the store could not serve the call, or was found out
                of reach meanwhile.
        """
        call = self._source.watch(
            ALL_KEYS_PREFIX, self._replica.revision, seconds
        )
        watching = asyncio.ensure_future(call)
        self._watch_task = watching
        try:
            await asyncio.wait((watching,))
        finally:
            self._watch_task = None
            watching.cancel()
        if watching.cancelled():
            raise errors.StoreUnavailableError("watch", "out of reach")
        return watching.result()

    def cancel_watch(self) -> None:
        """Ends a watch that waits, since the store is out of reach."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def _reload(self) -> None:
        """Reads all keys anew, after the history was lost."""
        try:
            await self.load(stale=False)
        except errors.StoreError as error:
            await self._record_failure(error)

    async def _record_failure(self, error: errors.StoreError) -> None:
        """Logs a failure and pauses, longer each time."""
        self._failures.record(error)
        pause = self._backoff_seconds
        self._backoff_seconds = min(self._max_backoff_seconds, 2 * pause)
        await asyncio.sleep(pause)

    def _record_success(self) -> None:
        """Notes that the store answered."""
        now = self._loop.time()
        if self._backoff_seconds > MIN_BACKOFF_SECONDS:
            self._cluster.store_recovered_at = now
        self._failures.record_recovery()
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self.synced_at = now
