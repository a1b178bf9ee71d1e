"""The log of configuration changes in the store.

The key of a change contains its generation. A change is written only if this
key is absent and the head of the log is the previous generation. Thus the store
decides between concurrent operators: only one change is committed under each
generation, and an old generation that was removed cannot be written again.
"""

import dataclasses
import json
from typing import Final

import pydantic

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.store import records
from wigeonspool.store import snapshots
from wigeonspool.store import store

CHANGE_KEY_PREFIX: Final = "config/change/"
HEAD_KEY: Final = "config/head"
MAX_WRITE_ATTEMPTS: Final = 5
MAX_READ_ATTEMPTS: Final = 3
MAX_PAGE_CHANGES: Final = 200
MAX_RESTORED_CHANGES: Final = 50

_change_adapter: Final = pydantic.TypeAdapter(changes.Change)


@dataclasses.dataclass(frozen=True, slots=True)
class LogUpdate:
    """Changes in the log that are newer than a reader's tables.

    Attributes:
        base: Newer snapshot that the changes follow, or None if they follow
            the reader's tables.
        changes: Changes to apply, oldest first.
        revision: Store revision up to which the changes are complete.
        is_stale: True if the log ends before the reader's tables.
    """

    base: snapshots.StoredSnapshot | None
    changes: list[changes.Change]
    revision: int
    is_stale: bool = False


def encode_change(change: changes.Change) -> bytes:
    """Returns the stored form of a change.

    Raises:
        ChangeTooLargeError: If the stored form exceeds the maximum size of a
            value.
    """
    value = _change_adapter.dump_json(change)
    if len(value) > store.MAX_VALUE_BYTES:
        raise errors.ChangeTooLargeError(len(value), store.MAX_VALUE_BYTES)
    return value


def decode_change(value: bytes) -> changes.Change:
    """Returns the change in a stored value.

    Raises:
        StoreReplyError: If the value is not a change.
    """
    try:
        return _change_adapter.validate_python(json.loads(value))
    except (ValueError, pydantic.ValidationError) as error:
        raise errors.StoreReplyError("change", str(error)) from error


def _encode_head(generation: int) -> bytes:
    """Returns the stored form of the generation of the head."""
    return str(generation).encode()


class ChangeLog:
    """Reads, extends, restores and compacts the log of changes.

    Attributes:
        snapshots: Snapshots of the tables.
    """

    def __init__(self, client: store.StoreClient, prefix: str) -> None:
        self._client = client
        self._prefix = prefix + CHANGE_KEY_PREFIX
        self._head_key = prefix + HEAD_KEY
        self.snapshots = snapshots.SnapshotStore(client, prefix)

    @property
    def prefix(self) -> str:
        """Common key prefix of the changes."""
        return self._prefix

    def _build_key(self, generation: int) -> str:
        """Returns the key of a change; keys are ordered by generation."""
        return f"{self._prefix}{generation:016d}"

    async def _read_pages(
        self, generation: int
    ) -> tuple[list[changes.Change], int]:
        """Returns all changes after a generation, and the store revision.

        Raises:
            StoreError: If a call failed.
        """
        logged: list[changes.Change] = []
        while True:
            page = await self._client.read_page(
                self._prefix,
                after=self._build_key(generation),
                limit=MAX_PAGE_CHANGES,
            )
            logged += [decode_change(entry.value) for entry in page.entries]
            if len(page.entries) < MAX_PAGE_CHANGES:
                return logged, page.revision
            generation = logged[-1].generation

    async def read_after(self, generation: int) -> list[changes.Change]:
        """Returns the changes after a generation in the log, oldest first.

        Raises:
            StoreError: If a call failed.
        """
        logged, _ = await self._read_pages(generation)
        return logged

    async def read_update(self, reader_tables: entities.Tables) -> LogUpdate:
        """Returns the changes in the log that are newer than some tables.

        Args:
            reader_tables: Tables of the reader; if they are empty, the newest
                snapshot is read first.

        Raises:
            StoreError: If a call failed, or if generations are missing that no
                snapshot covers.
            ChainBrokenError: If the log and the tables have different changes
                under the same generation.
        """
        base: snapshots.StoredSnapshot | None = None
        start = reader_tables
        if reader_tables.generation == 0:
            base = await self.snapshots.read_newest()
            start = reader_tables if base is None else base.tables
        for _ in range(MAX_READ_ATTEMPTS):
            # The change of the reader's generation is read too. It proves that
            # the log has not lost or replaced the reader's tables.
            logged, revision = await self._read_pages(
                max(0, start.generation - 1)
            )
            if not logged:
                return LogUpdate(base, [], revision, start.generation > 0)
            if logged[0].generation <= start.generation + 1:
                following = _check_chain(start, logged)
                return LogUpdate(base, following, revision)
            base = await self.snapshots.read_newest()
            if base is not None:
                start = base.tables
        raise errors.StoreReplyError("changes", "generations are missing")

    async def read_tables(self) -> entities.Tables:
        """Returns the tables at the head of the log.

        Raises:
            StoreError: If a call failed.
            ChainBrokenError: If the changes do not form one chain.
        """
        update = await self.read_update(entities.EMPTY_TABLES)
        tables = (
            entities.EMPTY_TABLES if update.base is None else update.base.tables
        )
        for change in update.changes:
            tables = changes.apply_change(tables, change)
        return tables

    async def propose(self, change: changes.Change) -> None:
        """Writes a change; returns when it is known to be committed.

        Args:
            change: Change to write, based on the previous generation.

        Raises:
            ChangeConflictError: If another change was committed under the
                generation.
            ChangeOutcomeUnknownError: If it is unknown whether the change was
                committed.
            ChangeTooLargeError: If the change exceeds the maximum size of a
                value.
            StoreReplyError: If a reply of the store is invalid.
        """
        value = encode_change(change)
        for _ in range(MAX_WRITE_ATTEMPTS):
            # A write without a reply may take effect now or later. A retry is
            # safe, because only one of the two writes finds the key absent.
            # The read then shows which change has the generation.
            try:
                await self._write(change, value)
                committed = await self._client.read(
                    self._build_key(change.generation)
                )
            except errors.StoreUnavailableError:
                continue
            if committed is None:
                # The head is another generation than the previous one, and the
                # log does not contain a change of this generation.
                raise errors.ChangeConflictError(
                    change.generation, "a newer generation", "unknown"
                )
            _check_committed(change, decode_change(committed.value))
            return
        raise errors.ChangeOutcomeUnknownError(
            change.generation, change.change_id
        )

    async def _write(self, change: changes.Change, value: bytes) -> bool:
        """Writes a change if the previous generation is the head.

        Raises:
            StoreError: If a call failed.
        """
        key = self._build_key(change.generation)
        previous = change.generation - 1
        head = _encode_head(previous) if previous else None
        return await self._client.commit(
            [records.Condition(key), records.Condition(self._head_key, head)],
            {key: value, self._head_key: _encode_head(change.generation)},
        )

    async def restore(
        self,
        tables: entities.Tables,
        recent: list[changes.Change],
        lineage: snapshots.Lineage,
        writer: str,
    ) -> bool:
        """Writes the active tables to a log that lost its newest changes.

        Nothing in the log is overwritten: if another change exists under one
        of the generations, nothing is written.

        Args:
            tables: Active tables.
            recent: Last changes of the active tables, oldest first.
            lineage: Digests of the generations up to that of the tables.
            writer: Identity of this writer, unique among all writers.

        Returns:
            True if this call wrote changes.

        Raises:
            StoreError: If a call failed.
        """
        head = await self._client.read(self._head_key)
        entries = await self._client.read_prefix(
            self._prefix, limit=1, newest=True
        )
        newest = decode_change(entries[0].value).generation if entries else 0
        missing = [c for c in recent if c.generation > newest]
        if not missing:
            return False
        if (
            missing[0].generation != newest + 1
            or len(missing) > MAX_RESTORED_CHANGES
        ):
            # Changes are missing from `recent`, or there are too many for one
            # transaction. A snapshot replaces all but the last one.
            await self.snapshots.write(tables, lineage, writer)
            missing = missing[-1:]
        keys = {
            self._build_key(c.generation): encode_change(c) for c in missing
        }
        return await self._client.commit(
            [
                records.Condition(self._head_key, head.value if head else None),
                *(records.Condition(key) for key in keys),
            ],
            keys | {self._head_key: _encode_head(tables.generation)},
        )

    async def compact(self, generation: int, kept_changes: int) -> None:
        """Removes old changes and snapshots after a snapshot was written.

        Args:
            generation: Generation of the newest snapshot.
            kept_changes: Number of changes before the snapshot that are not
                removed, at least 1.

        Raises:
            StoreError: If a call failed.
        """
        end = max(0, generation - kept_changes)
        await self._client.remove_range(self._prefix, self._build_key(end))
        await self.snapshots.remove_before(max(0, generation - kept_changes))


def _check_committed(change: changes.Change, committed: changes.Change) -> None:
    """Checks that the committed change of a generation is the proposed one.

    Raises:
        ChangeConflictError: If another change was committed.
    """
    if committed.change_id != change.change_id:
        raise errors.ChangeConflictError(
            change.generation, committed.author, committed.change_id
        )


def _check_chain(
    tables: entities.Tables, logged: list[changes.Change]
) -> list[changes.Change]:
    """Returns the changes that are newer than some tables.

    Raises:
        ChainBrokenError: If the changes do not form a chain that continues
            that of the tables.
    """
    digest = tables.digest
    following: list[changes.Change] = []
    for change in logged:
        if change.generation == tables.generation:
            if change.digest != tables.digest:
                raise errors.ChainBrokenError(change.generation)
            continue
        if change.parent != digest:
            raise errors.ChainBrokenError(change.generation)
        digest = change.digest
        following.append(change)
    return following
