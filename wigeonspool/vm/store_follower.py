"""Follows the store: reads all keys once, then watches for changes."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Final

from wigeonspool import failure_logs
from wigeonspool.core import cluster_state
from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.vm import structured_log

# Covers all keys, since a watch costs one call however many keys it covers.
ALL_KEYS_PREFIX: Final = ""
# Longest time that one watch waits. An unresponsive connection is detected by
# the end of it.
WATCH_SECONDS: Final = 3.0
# Changes come in bursts and each watch is a paid call, so the changes of this
# time are read with one call.
BATCH_SECONDS: Final = 0.3
# A store that has not replied for long gets a short watch, so that it confirms
# quickly that the state is current.
CONFIRM_WATCH_SECONDS: Final = 0.05
MIN_BACKOFF_SECONDS: Final = 0.1
MAX_BACKOFF_SECONDS: Final = 0.6
# Longer for a VM to which other VMs report when the store is available again,
# since each call is paid, even if it fails.
REPORTED_MAX_BACKOFF_SECONDS: Final = 2.0
# State that the store last confirmed longer ago than this may be out of date.
STALE_SECONDS: Final = WATCH_SECONDS + 1.0
# Reads of all keys that are tried when the era changes during each of them.
MAX_READS: Final = 4
# A newer era that was seen in a renewal or a write usually arrives from the
# feeder within this time, which saves a read of all keys.
ERA_FEED_SECONDS: Final = 0.6
OLDER_ERA_PROBLEM: Final = "the reply has an older era"
# Longest description of an unexpected error in the log.
MAX_REASON_CHARS: Final = 300

Decode = Callable[[str, bytes | None, int], cluster_state.Change | None]

log = structured_log.get_logger("store")


@dataclasses.dataclass(frozen=True, slots=True)
class KeyRange:
    """A part of all keys, as one page shows it.

    Attributes:
        after: The keys are greater than this one.
        last: The keys are not greater than this one; None for no bound.
        page: All keys of the range.
    """

    after: str
    last: str | None
    page: key_values.Page

    def contains(self, key: str) -> bool:
        """Returns True if a key belongs to the range."""
        return key > self.after and (self.last is None or key <= self.last)


class StoreReplica:
    """A copy of the keys of the store, which updates the cluster state.

    The changes come from the store or from a feeder. It never goes back to an
    older state: since all changes up to `revision` are applied, an item that is
    not newer than that is no news, also if its key was removed meanwhile. The
    same holds for the revision of each range that was read.

    All of this holds within one era of the store. A newer era begins with all
    of its keys; anything of an older era is rejected.

    Attributes:
        era: Era of the store that the replica reflects.
        restored_revision: Revision at which the first state of the era was
            read.
        items: Latest item of each key that exists.
        revision: Revision of the store up to which all changes are applied.
        newest_revision: Newest revision of which anything is applied.
        snapshot_revision: Revision of the newest state that was applied as a
            whole, without the single changes up to then.
        unreadable_items: Number of items whose value could not be decoded.
        on_new_era: Called with a newer era before its first state is applied.
        on_known: Called with each change that a range showed already; followers
            that did not get that range need the change.
    """

    def __init__(
        self,
        cluster: cluster_state.ClusterState,
        decode: Decode,
        on_change: Callable[[key_values.KeyValue], None],
    ) -> None:
        """Creates an empty replica.

        Args:
            cluster: Cluster state to update.
            decode: Decodes a key, its value and its lease into a change, or
                into None if the key is not part of the cluster state.
            on_change: Called with each item that changed the cluster state.
        """
        self.items: dict[str, key_values.KeyValue] = {}
        self.era = 0
        self.restored_revision = 0
        self.revision = 0
        self.newest_revision = 0
        self.snapshot_revision = 0
        self.unreadable_items = 0
        self.on_new_era: Callable[[int], None] = lambda era: None
        self.on_known: Callable[[key_values.KeyValue], None] = lambda item: None
        self._jumped_from: int | None = None
        # Ranges and removals that are newer than `revision`.
        self._newer_ranges: list[KeyRange] = []
        self._newer_removals: dict[str, int] = {}
        self._cluster = cluster
        self._decode = decode
        self._on_change = on_change
        self._loop = asyncio.get_running_loop()

    def apply_differences(self, page: key_values.Page) -> None:
        """Applies the differences between two states.

        Args:
            page: Keys that differ from the current state or an older one, and
                the revision of the new state.

        Raises:
            EraChangedError: As `apply_page`.
        """
        if self._is_of_older_era(page.era, page.revision):
            return
        if page.era == self.era:
            self._record_jump(page.revision)
        self.apply_page(page)

    def apply_page(self, page: key_values.Page) -> None:
        """Applies changes and advances the revision to that of the page.

        A page of an older era is ignored.

        Raises:
            EraChangedError: If the page has a newer era. Changes do not begin
                an era, since they lack the keys that were not changed.
        """
        if self._is_of_older_era(page.era, page.revision):
            return
        if page.era > self.era:
            raise errors.EraChangedError(self.era, page.era)
        for item in page.items:
            if self.revision < item.revision <= self._find_known(item.key):
                self.on_known(item)
            self._apply_item(item)
        self._count_unreadable(page)
        self._advance(page.revision)

    def apply_snapshot(
        self,
        items: list[key_values.KeyValue],
        revision: int,
        era: int = 0,
        restored_revision: int | None = None,
    ) -> None:
        """Applies all keys of the store and removes keys that are missing.

        If the snapshot is older than the replica, a missing key does not mean
        that the key was removed.

        Args:
            items: All keys.
            revision: Revision of the store that the items reflect.
            era: Era of the store that the items reflect.
            restored_revision: As in `apply_ranges`.
        """
        page = key_values.Page(tuple(items), revision, era=era)
        self.apply_ranges([KeyRange("", None, page)], restored_revision)

    def apply_ranges(
        self, ranges: list[KeyRange], restored_revision: int | None = None
    ) -> None:
        """Applies all keys of the store, read in ranges of different ages.

        Changes after the oldest range must follow by `apply_page`. Ranges of a
        newer era begin that era; ranges of an older one are ignored.

        Args:
            ranges: Ranges that cover all keys, of one era.
            restored_revision: Revision at which the first state of the era was
                read, or None for the revision of the oldest range. Later items
                were written in the new era.

        Raises:
            EraChangedError: If the ranges have different eras.
        """
        eras = {key_range.page.era for key_range in ranges}
        if len(eras) > 1:
            raise errors.EraChangedError(min(eras), max(eras))
        (era,) = eras
        oldest = min(key_range.page.revision for key_range in ranges)
        newest = max(key_range.page.revision for key_range in ranges)
        if self._is_of_older_era(era, oldest):
            return
        begins_era = era > self.era
        if begins_era:
            if restored_revision is None:
                restored_revision = oldest
            self._begin_era(era, restored_revision)
        try:
            for key_range in ranges:
                self._apply_range(key_range)
        finally:
            if begins_era:
                self._end_restored_state()
        self._record_jump(newest)
        self.newest_revision = max(self.newest_revision, newest)
        self._newer_ranges += ranges
        self._advance(oldest)

    def is_empty(self) -> bool:
        """Returns True if nothing was applied yet."""
        return not self.newest_revision and not self.items

    def _is_of_older_era(self, era: int, revision: int) -> bool:
        """Returns True if a state has an older era, and logs that."""
        if era >= self.era:
            return False
        log.info(
            "older era rejected", era=era, revision=revision, current=self.era
        )
        return True

    def _begin_era(self, era: int, restored_revision: int) -> None:
        """Begins a newer era; all its keys must be applied next.

        Keys stay until then, so that those which the new era lacks are removed
        one by one.

        Args:
            era: The new era.
            restored_revision: As in `apply_ranges`.
        """
        log.info(
            "new era",
            old=self.era,
            era=era,
            old_revision=self.revision,
            revision=restored_revision,
        )
        self.on_new_era(era)
        self.era = era
        self.restored_revision = restored_revision
        # Not 0, since the copy may be of an empty store.
        self.revision = self.newest_revision = -1
        self.snapshot_revision = 0
        self._jumped_from = None
        self._newer_ranges.clear()
        self._newer_removals.clear()
        for key, item in self.items.items():
            self.items[key] = dataclasses.replace(item, revision=-1)
        self._cluster.begin_era(self._loop.time(), restored_revision)

    def _end_restored_state(self) -> None:
        """Ends the first state of an era.

        A key whose item was unreadable keeps its value, as if it had been
        written at the beginning of the era.
        """
        self._cluster.end_restored_state()
        for key, item in self.items.items():
            if item.revision < 0:
                self.items[key] = dataclasses.replace(item, revision=0)

    def _record_jump(self, revision: int) -> None:
        """Records that changes up to a revision were not received one by one.

        Must be called before the revision advances.
        """
        if revision > self.revision:
            if self._jumped_from is None:
                self._jumped_from = self.revision
            self.snapshot_revision = max(self.snapshot_revision, revision)

    def pop_jump(self) -> int | None:
        """Returns the revision before the first jump since the last call.

        A jump replaces the state by a newer one, without the changes between
        them. Returns None if there was none.
        """
        jumped_from, self._jumped_from = self._jumped_from, None
        return jumped_from

    def _apply_range(self, key_range: KeyRange) -> None:
        """Applies the keys of a range and removes keys that it lacks."""
        page = key_range.page
        present = {item.key for item in page.items}.union(page.unreadable_keys)
        # Any key may be that of an item whose key is unreadable.
        missing = [
            key_values.KeyValue(key, None, page.revision)
            for key, item in self.items.items()
            if "" not in present
            and key not in present
            and key_range.contains(key)
            and max(self._find_known(key), item.revision) <= page.revision
        ]
        for item in (*page.items, *missing):
            self._apply_item(item)
        self._count_unreadable(page)

    def _count_unreadable(self, page: key_values.Page) -> None:
        """Logs and counts the items of a page that could not be decoded."""
        for key in page.unreadable_keys:
            self.unreadable_items += 1
            log.error("unreadable", key=key, reason="malformed item")

    def _advance(self, revision: int) -> None:
        """Advances the revision, unless it is higher already."""
        self.revision = max(self.revision, revision)
        self.newest_revision = max(self.newest_revision, revision)
        self._newer_ranges = [
            key_range
            for key_range in self._newer_ranges
            if key_range.page.revision > self.revision
        ]
        self._newer_removals = {
            key: removed_revision
            for key, removed_revision in self._newer_removals.items()
            if removed_revision > self.revision
        }

    def _find_known(self, key: str) -> int:
        """Returns up to which revision all changes of a key are applied."""
        known = max(self.revision, self._newer_removals.get(key, -1))
        for key_range in self._newer_ranges:
            if key_range.contains(key):
                known = max(known, key_range.page.revision)
        return known

    def _apply_item(self, item: key_values.KeyValue) -> None:
        """Applies one change if it is news."""
        current = self.items.get(item.key)
        known = self._find_known(item.key)
        if current is not None:
            known = max(known, current.revision)
        if item.revision <= known:
            return
        self.newest_revision = max(self.newest_revision, item.revision)
        # A follower may exclude the target of a restored entry that this VM
        # uses, until the entry is written again.
        is_first_write = (
            current is not None
            and current.revision <= self.restored_revision < item.revision
            and self.era > 0
        )
        if item.value is None:
            self.items.pop(item.key, None)
            self._newer_removals[item.key] = item.revision
        else:
            self.items[item.key] = item
        try:
            changed = self._apply_value(item, is_first_write)
        except errors.PlatformFormatError as error:
            self.unreadable_items += 1
            log.error("unreadable", key=item.key, reason=str(error))
            return
        except Exception as error:
            # Values come from other writers, so an unforeseen one must not end
            # the task that follows the store.
            self.unreadable_items += 1
            log.error("unreadable", key=item.key, reason=_shorten(error))
            return
        if changed:
            self._on_change(item)

    def _apply_value(
        self, item: key_values.KeyValue, is_first_write: bool
    ) -> bool:
        """Decodes an item and applies it to the cluster state.

        Args:
            item: The item.
            is_first_write: True if the key was last written before the restore
                that began the era.

        Returns:
            True if it may have changed the cluster state of this VM or a
            follower.

        Raises:
            PlatformFormatError: If the value cannot be decoded.
        """
        change = self._decode(item.key, item.value, item.lease)
        if change is None:
            return False
        if isinstance(change, cluster_state.TargetChange) and change.problem:
            self.unreadable_items += 1
            log.warning("unreadable", key=item.key, reason=change.problem)
        now = self._loop.time()
        changed = self._cluster.apply(now, item.key, item.revision, change)
        return changed or is_first_write


def _shorten(error: Exception) -> str:
    """Returns the description of an unexpected error, cut for the log."""
    return repr(error)[:MAX_REASON_CHARS]


class StoreFollower:
    """Keeps a replica up to date from the store.

    Attributes:
        synced_at: Time at which the store last confirmed that the replica is
            current, loop clock.
    """

    def __init__(
        self,
        source: key_values.KeyValueSource,
        replica: StoreReplica,
        cluster: cluster_state.ClusterState,
    ) -> None:
        """Creates a follower that has not read the store yet.

        Args:
            source: The store.
            replica: Replica to update.
            cluster: Cluster state, which records when the store recovered from
                an outage.
        """
        self._source = source
        self._replica = replica
        self._cluster = cluster
        self._loop = asyncio.get_running_loop()
        self._failures = failure_logs.FailureLog("store")
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self._max_backoff_seconds = MAX_BACKOFF_SECONDS
        self._loaded = False
        # Newest era that a reply had, and the time of that reply.
        self._required_era = 0
        self._required_at = float("-inf")
        self._watch_task: asyncio.Task[key_values.Page] | None = None
        self.synced_at = float("-inf")

    async def load(self, stale: bool) -> None:
        """Reads all keys.

        Args:
            stale: True if an older state is enough, which watches then correct.

        Raises:
            StoreError: If the store could not serve the calls.
        """
        for _ in range(MAX_READS):
            try:
                ranges = await self._read_all(stale)
            except errors.EraChangedError as error:
                # The store was restored between two pages.
                self._failures.record(error)
                stale = False
                continue
            era = ranges[0].page.era
            if not stale or self._is_acceptable(era):
                break
            # A newer era begins with a state that is not older than the
            # restore.
            log.info("stale state rejected", era=era, current=self._replica.era)
            stale = False
        else:
            raise errors.StoreUnavailableError("range", "the era changes")
        if era < self._required_era:
            raise errors.StoreUnavailableError("range", OLDER_ERA_PROBLEM)
        log.info(
            "all keys read",
            revisions=[key_range.page.revision for key_range in ranges],
            replica=self._replica.revision,
            stale=stale,
        )
        self._replica.apply_ranges(ranges)
        self._loaded = True

    def _is_acceptable(self, era: int) -> bool:
        """Returns True if a stale state of an era can be applied."""
        if era < self._required_era:
            return False
        return era == self._replica.era or self._replica.is_empty()

    async def _read_all(self, stale: bool) -> list[KeyRange]:
        """Returns all keys of one era.

        Raises:
            EraChangedError: If the pages have different eras.
            StoreError: If the store could not serve the calls.
        """
        ranges: list[KeyRange] = []
        after = ""
        while True:
            page = await self._source.read_range(ALL_KEYS_PREFIX, after, stale)
            if ranges and page.era != ranges[0].page.era:
                raise errors.EraChangedError(ranges[0].page.era, page.era)
            if not page.more:
                ranges.append(KeyRange(after, None, page))
                return ranges
            keys = [*(i.key for i in page.items), *page.unreadable_keys]
            last_key = max(keys, default="")
            if last_key <= after:
                raise errors.StoreReplyError("range", "pages do not advance")
            ranges.append(KeyRange(after, last_key, page))
            after = last_key

    def require_era(self, era: int) -> None:
        """Reads all keys next unless the replica reaches an era before.

        A waiting watch of an older era is cancelled.

        Args:
            era: An era that a reply of the store had.
        """
        if era <= max(self._required_era, self._replica.era):
            return
        self._required_era = era
        self._required_at = self._loop.time()
        self.cancel_watch()

    def is_behind(self) -> bool:
        """Returns True if no feeder brought a newer era in time."""
        waited_seconds = self._loop.time() - self._required_at
        return (
            self._required_era > self._replica.era
            and waited_seconds >= ERA_FEED_SECONDS
        )

    def is_failing(self) -> bool:
        """Returns True if the latest call failed."""
        return self._backoff_seconds > MIN_BACKOFF_SECONDS

    def find_synced_at(self) -> float:
        """Returns when the store last confirmed the replica, loop clock.

        Returns minus infinity while the latest call has failed.
        """
        return float("-inf") if self.is_failing() else self.synced_at

    async def load_once(self) -> None:
        """Reads all keys once; after a failure, logs it and waits."""
        try:
            await self.load(stale=True)
        except Exception as error:
            await self._record_failure(error)

    async def poll_changes(self, others_report: bool = False) -> None:
        """Waits for the next changes and applies them.

        After a failure, logs it and waits.

        Args:
            others_report: True if other VMs report when the store is available
                again, so that this VM may wait longer after a failure.
        """
        self._max_backoff_seconds = (
            REPORTED_MAX_BACKOFF_SECONDS
            if others_report
            else MAX_BACKOFF_SECONDS
        )
        started_at = self._loop.time()
        is_recent = started_at - self.find_synced_at() < STALE_SECONDS
        watch_seconds = WATCH_SECONDS if is_recent else CONFIRM_WATCH_SECONDS
        try:
            if not self._loaded:
                await self.load(stale=True)
            elif self._required_era > self._replica.era:
                await self.load(stale=False)
            era = self._replica.era
            watched_revision = self._replica.revision
            page = await self._watch(watch_seconds)
            # A newer era must not continue from a revision of an older one,
            # even if the store has that number.
            if page.era > era:
                raise errors.EraChangedError(era, page.era)
            if page.era < era:
                raise errors.StoreUnavailableError("watch", OLDER_ERA_PROBLEM)
        except (errors.HistoryExpiredError, errors.EraChangedError) as error:
            self._failures.record(error)
            if (
                isinstance(error, errors.EraChangedError)
                and error.era <= self._replica.era
            ):
                # A feeder brought the newer era meanwhile.
                return
            await self._reload()
            # The store may have lost its history without a new era. Each read
            # would then succeed without progress, so the next one must wait.
            if (
                isinstance(error, errors.HistoryExpiredError)
                and self._replica.era == era
                and self._replica.revision <= watched_revision
            ):
                await self._record_failure(error)
            return
        except Exception as error:
            # Not only errors of the store: an unforeseen reply must not end
            # the task that follows it.
            await self._record_failure(error)
            return
        self._record_success()
        if self._replica.era != era:
            # A feeder brought a newer era during the watch.
            return
        self._replica.apply_page(page)
        if page.items:
            elapsed_seconds = self._loop.time() - started_at
            await asyncio.sleep(max(0.0, BATCH_SECONDS - elapsed_seconds))

    async def _watch(self, seconds: float) -> key_values.Page:
        """Returns the next changes.

        Raises:
            EraChangedError: If a newer era was required meanwhile.
            StoreError: If the store could not serve the call, or if
                `cancel_watch` was called meanwhile.
        """
        era = self._replica.era
        call = self._source.watch(
            ALL_KEYS_PREFIX, self._replica.revision, seconds
        )
        watch_task = asyncio.ensure_future(call)
        self._watch_task = watch_task
        try:
            await asyncio.wait((watch_task,))
        finally:
            self._watch_task = None
            watch_task.cancel()
        if watch_task.cancelled():
            if self._required_era > era:
                raise errors.EraChangedError(era, self._required_era)
            raise errors.StoreUnavailableError("watch", "store is unreachable")
        return watch_task.result()

    def cancel_watch(self) -> None:
        """Cancels a waiting watch, because the store is unreachable."""
        if self._watch_task is not None:
            self._watch_task.cancel()

    async def _reload(self) -> None:
        """Reads all keys again.

        The store discarded changes that are needed, or began a new era.
        """
        try:
            await self.load(stale=False)
        except Exception as error:
            await self._record_failure(error)

    async def _record_failure(self, error: Exception) -> None:
        """Logs a failure and waits, with exponential backoff."""
        self._failures.record(error)
        delay = self._backoff_seconds
        self._backoff_seconds = min(self._max_backoff_seconds, 2 * delay)
        await asyncio.sleep(delay)

    def _record_success(self) -> None:
        """Records that the store replied, and resets the backoff."""
        now = self._loop.time()
        if self._backoff_seconds > MIN_BACKOFF_SECONDS:
            self._cluster.store_recovered_at = now
        self._failures.record_recovery()
        self._backoff_seconds = MIN_BACKOFF_SECONDS
        self.synced_at = now
