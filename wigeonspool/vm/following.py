"""Follows a source of knowledge: one bulk read, then watches."""

import asyncio
from collections.abc import Callable
from typing import Final

from wigeonspool import failures
from wigeonspool.core import knowledge
from wigeonspool.model import errors
from wigeonspool.model import sources
from wigeonspool.vm import journal

# All keys: one watch costs one call, whatever it covers.
ALL: Final = ""
# Longest time that one watch waits; a silent connection is noticed by then.
WATCH_SECONDS: Final = 3.0
# Changes come in bursts, and each return of a watch is a paid call.
GATHER_SECONDS: Final = 0.3
# A store that was not heard of for long is asked to answer at once.
CONFIRM_SECONDS: Final = 0.05
FIRST_PAUSE_SECONDS: Final = 0.1
MOST_PAUSE_SECONDS: Final = 0.6
# A VM that nobody follows hears from others that the store is back, and each
# call is paid, also one that fails.
PATIENT_PAUSE_SECONDS: Final = 2.0
# What was confirmed longer ago than this may be out of date.
STALE_SECONDS: Final = WATCH_SECONDS + 1.0

Decode = Callable[[str, bytes | None, int], knowledge.Change | None]

log = journal.open_part("store")


class Intake:
    """Takes items into what this VM knows, whoever tells of them.

    Attributes:
        items: Latest item of each key that exists.
        revision: Revision of the store up to which all changes are known.
        whole_at: Revision at which all keys were last read at once; what
            changed before that is not known one by one.
    """

    def __init__(
        self,
        known: knowledge.Knowledge,
        decode: Decode,
        on_news: Callable[[sources.Item], None],
    ) -> None:
        """Prepares an intake.

        Args:
            known: Tables that change.
            decode: Decodes keys of the source.
            on_news: Called with each item that changed the tables.
        """
        self.items: dict[str, sources.Item] = {}
        self.revision = 0
        self.whole_at = 0
        self._known = known
        self._decode = decode
        self._on_news = on_news
        self._loop = asyncio.get_running_loop()

    def take(self, page: sources.Page) -> None:
        """Takes changes; the revision is that of the page from now on."""
        for item in page.items:
            self._take_item(item)
        self.revision = max(self.revision, page.revision)

    def replace(self, items: list[sources.Item], revision: int) -> None:
        """Takes all keys of the source; keys that are missing are gone."""
        present = {item.key for item in items}
        missing = [
            sources.Item(key, None, revision)
            for key, item in self.items.items()
            if key not in present and item.revision <= revision
        ]
        self.take(sources.Page((*items, *missing), revision))
        self.whole_at = self.revision

    def _take_item(self, item: sources.Item) -> None:
        """Takes one change."""
        held = self.items.get(item.key)
        if held is not None and held.revision >= item.revision:
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
        if isinstance(change, knowledge.TargetChange) and change.problem:
            log.warning("unreadable", key=item.key, reason=change.problem)
        now = self._loop.time()
        if self._known.apply(now, item.key, item.revision, change):
            self._on_news(item)


class StoreFollower:
    """Keeps an intake up to date from the store.

    Attributes:
        synced_at: When the store last confirmed what is known, loop clock.
    """

    def __init__(
        self,
        source: sources.Source,
        intake: Intake,
        known: knowledge.Knowledge,
    ) -> None:
        """Prepares a follower.

        Args:
            source: Where knowledge comes from.
            intake: Takes what is read.
            known: Told when the store is back after it was away.
        """
        self._source = source
        self._intake = intake
        self._known = known
        self._loop = asyncio.get_running_loop()
        self._failures = failures.FailureLog("store")
        self._pause = FIRST_PAUSE_SECONDS
        self._most_pause = MOST_PAUSE_SECONDS
        self._loaded = False
        self._watching: asyncio.Task[sources.Page] | None = None
        self.synced_at = float("-inf")

    async def load(self, stale: bool) -> None:
        """Reads all keys.

        Args:
            stale: True to take an older state, which watches then correct.

        Raises:
            StoreError: If the store could not serve the calls.
        """
        items: list[sources.Item] = []
        after = ""
        revision: int | None = None
        while True:
            page = await self._source.read_range(ALL, after, stale)
            items += page.items
            # Pages are read one after the other, so what changed in between
            # is learned from the first page on.
            revision = page.revision if revision is None else revision
            if not page.more or not page.items:
                break
            after = page.items[-1].key
        if stale:
            # It may be older than what is known, so nothing is gone.
            self._intake.take(sources.Page(tuple(items), revision))
            self._intake.whole_at = self._intake.revision
        else:
            self._intake.replace(items, revision)
        self._loaded = True

    def is_failing(self) -> bool:
        """Returns True if the latest call failed."""
        return self._pause > FIRST_PAUSE_SECONDS

    def find_synced(self) -> float:
        """Returns when the store confirmed what is known, loop clock.

        That is never once a call has failed, until one succeeds again.
        """
        return float("-inf") if self.is_failing() else self.synced_at

    async def prepare(self) -> None:
        """Reads all keys once, or pauses after a failure."""
        try:
            await self.load(stale=True)
        except errors.StoreError as error:
            await self._note_failure(error)

    async def step(self, patient: bool = False) -> None:
        """Takes the next changes, or pauses after a failure.

        Args:
            patient: True if others will tell that the store is back.
        """
        self._most_pause = (
            PATIENT_PAUSE_SECONDS if patient else MOST_PAUSE_SECONDS
        )
        began_at = self._loop.time()
        recent = began_at - self.find_synced() < STALE_SECONDS
        seconds = WATCH_SECONDS if recent else CONFIRM_SECONDS
        try:
            if not self._loaded:
                await self.load(stale=True)
            page = await self._watch(seconds)
        except errors.HistoryGoneError as error:
            self._failures.note(error)
            await self._reload()
            return
        except errors.StoreError as error:
            await self._note_failure(error)
            return
        self._note_success()
        self._intake.take(page)
        if page.items:
            spent = self._loop.time() - began_at
            await asyncio.sleep(max(0.0, GATHER_SECONDS - spent))

    async def _watch(self, seconds: float) -> sources.Page:
        """Returns the next changes.

        Raises:
            StoreError: If the store could not serve the call, or was found out
                of reach meanwhile.
        """
        call = self._source.watch(ALL, self._intake.revision, seconds)
        watching = asyncio.ensure_future(call)
        self._watching = watching
        try:
            await asyncio.wait((watching,))
        finally:
            self._watching = None
            watching.cancel()
        if watching.cancelled():
            raise errors.StoreUnavailableError("watch", "out of reach")
        return watching.result()

    def give_up(self) -> None:
        """Ends a watch that waits, since the store is out of reach."""
        if self._watching is not None:
            self._watching.cancel()

    async def _reload(self) -> None:
        """Reads all keys anew, after the history was lost."""
        try:
            await self.load(stale=False)
        except errors.StoreError as error:
            await self._note_failure(error)

    async def _note_failure(self, error: errors.StoreError) -> None:
        """Logs a failure and pauses, longer each time."""
        self._failures.note(error)
        pause = self._pause
        self._pause = min(self._most_pause, 2 * pause)
        await asyncio.sleep(pause)

    def _note_success(self) -> None:
        """Notes that the store answered."""
        now = self._loop.time()
        if self._pause > FIRST_PAUSE_SECONDS:
            self._known.returned_at = now
        self._failures.clear()
        self._pause = FIRST_PAUSE_SECONDS
        self.synced_at = now
