"""The log of configuration changes, kept in the store.

A change is created under its generation only if that key is absent and the
head of the log is the generation before it, so the store arbitrates between
operators: one writer wins each generation, and a removed old generation
cannot be taken again.
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
    """What the log holds beyond some tables.

    Attributes:
        base: Newer snapshot to start from, or None to go on from the tables.
        changes: Changes that follow, oldest first.
        revision: Store revision up to which this is all.
        is_stale: True if the log ends before the tables.
    """

    base: snapshots.StoredSnapshot | None
    changes: list[changes.Change]
    revision: int
    is_stale: bool = False


def encode_change(change: changes.Change) -> bytes:
    """Returns the stored form of a change.

    Raises:
        ChangeTooLargeError: If it exceeds the store's bound on values.
    """
    value = _change_adapter.dump_json(change)
    if len(value) > store.MAX_VALUE_BYTES:
        raise errors.ChangeTooLargeError(len(value), store.MAX_VALUE_BYTES)
    return value


def decode_change(value: bytes) -> changes.Change:
    """Returns the change in a stored value.

    Raises:
        StoreAnswerError: If the value is not a change.
    """
    try:
        return _change_adapter.validate_python(json.loads(value))
    except (ValueError, pydantic.ValidationError) as error:
        raise errors.StoreAnswerError("change", str(error)) from error


def _encode_head(generation: int) -> bytes:
    """Returns the stored form of the head of the log."""
    return str(generation).encode()


class ChangeLog:
    """Reads and extends the log of changes."""

    def __init__(self, client: store.StoreClient, prefix: str) -> None:
        self._client = client
        self._prefix = prefix + CHANGE_KEY_PREFIX
        self._head_key = prefix + HEAD_KEY
        self.snapshots = snapshots.SnapshotStore(client, prefix)

    @property
    def prefix(self) -> str:
        """Key prefix of the log."""
        return self._prefix

    def _build_key(self, generation: int) -> str:
        """Returns the key of a generation; keys sort by generation."""
        return f"{self._prefix}{generation:016d}"

    async def _read_pages(
        self, generation: int
    ) -> tuple[list[changes.Change], int]:
        """Returns all changes after a generation, and the revision read.

        Raises:
            StoreError: If the store could not serve a call.
        """
        found: list[changes.Change] = []
        while True:
            page = await self._client.read_page(
                self._prefix,
                after=self._build_key(generation),
                limit=MAX_PAGE_CHANGES,
            )
            found += [decode_change(entry.value) for entry in page.entries]
            if len(page.entries) < MAX_PAGE_CHANGES:
                return found, page.revision
            generation = found[-1].generation

    async def read_after(self, generation: int) -> list[changes.Change]:
        """Returns all kept changes after a generation, oldest first.

        Raises:
            StoreError: If the store could not serve the call.
        """
        found, _ = await self._read_pages(generation)
        return found

    async def read_update(self, held: entities.Tables) -> LogUpdate:
        """Returns what the log holds beyond some tables.

        Args:
            held: Tables to go on from; empty ones start at a snapshot.

        Raises:
            StoreError: If the store could not serve a call.
            ChainBrokenError: If the log and the tables have different changes
                at one generation.
        """
        base: snapshots.StoredSnapshot | None = None
        start = held
        if held.generation == 0:
            base = await self.snapshots.read_newest()
            start = held if base is None else base.tables
        for _ in range(MAX_READ_ATTEMPTS):
            # The change of the held generation is read too: it proves that
            # the log has not lost or replaced what is in force here.
            found, revision = await self._read_pages(
                max(0, start.generation - 1)
            )
            if not found:
                return LogUpdate(base, [], revision, start.generation > 0)
            if found[0].generation <= start.generation + 1:
                following = _check_chain(start, found)
                return LogUpdate(base, following, revision)
            base = await self.snapshots.read_newest()
            if base is not None:
                start = base.tables
        raise errors.StoreAnswerError("changes", "generations are missing")

    async def read_tables(self) -> entities.Tables:
        """Returns the tables at the head of the log.

        Raises:
            StoreError: If the store could not serve the call.
            ChainBrokenError: If the log is not one chain of changes.
        """
        update = await self.read_update(entities.EMPTY_TABLES)
        tables = (
            entities.EMPTY_TABLES if update.base is None else update.base.tables
        )
        for change in update.changes:
            tables = changes.apply_change(tables, change)
        return tables

    async def propose(self, change: changes.Change) -> None:
        """Writes a change; returns once it is known to hold its generation.

        Args:
            change: Change to write, based on the generation before its own.

        Raises:
            ChangeConflictError: If another change holds the generation.
            ChangeUnknownError: If the outcome could not be learned.
            ChangeTooLargeError: If the store cannot hold the change.
            StoreAnswerError: If the store broke its protocol.
        """
        value = encode_change(change)
        for _ in range(MAX_WRITE_ATTEMPTS):
            # A lost write may have taken effect or may yet do so. Writing it
            # again is safe, since only one of the two finds the key absent;
            # reading then tells who holds the generation.
            try:
                await self._write(change, value)
                holder = await self._client.read(
                    self._build_key(change.generation)
                )
            except errors.StoreUnavailableError:
                continue
            if holder is None:
                raise errors.ChangeConflictError(
                    change.generation, "a newer generation", "unknown"
                )
            _check_holder(change, decode_change(holder.value))
            return
        raise errors.ChangeUnknownError(change.generation, change.change_id)

    async def _write(self, change: changes.Change, value: bytes) -> bool:
        """Writes a change if the generation before it is the head.

        Raises:
            StoreError: If the store could not serve the call.
        """
        key = self._build_key(change.generation)
        before = change.generation - 1
        head = _encode_head(before) if before else None
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
        """Gives a log that lost its newest changes what is in force.

        Nothing that the log holds is overwritten: if another change has taken
        one of the generations, nothing is written.

        Args:
            tables: Tables in force.
            recent: Changes that led to them, oldest first.
            lineage: Digests of the generations that led to them.
            writer: Identity of this writer, unique among all.

        Returns:
            True if this call wrote.

        Raises:
            StoreError: If the store could not serve a call.
        """
        head = await self._client.read(self._head_key)
        kept = await self._client.read_prefix(
            self._prefix, limit=1, newest=True
        )
        newest = decode_change(kept[0].value).generation if kept else 0
        missing = [c for c in recent if c.generation > newest]
        if not missing:
            return False
        if (
            missing[0].generation != newest + 1
            or len(missing) > MAX_RESTORED_CHANGES
        ):
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
        """Removes what a snapshot of a generation has made superfluous.

        Args:
            generation: Generation of the newest snapshot.
            kept_changes: Changes before it to keep, at least 1.

        Raises:
            StoreError: If the store could not serve a call.
        """
        end = max(0, generation - kept_changes)
        await self._client.remove_range(self._prefix, self._build_key(end))
        await self.snapshots.remove_before(max(0, generation - kept_changes))


def _check_holder(change: changes.Change, holder: changes.Change) -> None:
    """Checks that a change holds its generation.

    Raises:
        ChangeConflictError: If another one does.
    """
    if holder.change_id != change.change_id:
        raise errors.ChangeConflictError(
            change.generation, holder.author, holder.change_id
        )


def _check_chain(
    held: entities.Tables, found: list[changes.Change]
) -> list[changes.Change]:
    """Returns the changes after some tables.

    Raises:
        ChainBrokenError: If they are not one chain that goes on from them.
    """
    digest = held.digest
    following: list[changes.Change] = []
    for change in found:
        if change.generation == held.generation:
            if change.digest != held.digest:
                raise errors.ChainBrokenError(change.generation)
            continue
        if change.parent != digest:
            raise errors.ChainBrokenError(change.generation)
        digest = change.digest
        following.append(change)
    return following
