"""Reconstructs earlier states of the tables from the log of changes."""

import dataclasses

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.operator import differences
from wigeonspool.store import change_log


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One change and the tables before and after it.

    Attributes:
        change: The change.
        before: Tables before the change, or None if they cannot be
            reconstructed.
        after: Tables after the change, or None if they cannot be
            reconstructed.
    """

    change: changes.Change
    before: entities.Tables | None = None
    after: entities.Tables | None = None

    def list_differences(self) -> list[differences.Difference]:
        """Returns the differences that the change made."""
        if self.before is None or self.after is None:
            return differences.describe_change(self.change)
        return differences.compare_tables(self.before, self.after)


async def _read_oldest_tables(
    log: change_log.ChangeLog, oldest: int
) -> entities.Tables:
    """Returns the oldest tables to which later changes can be applied.

    These are empty tables if the log begins with the first change or has no
    snapshot, and those of the oldest snapshot otherwise.

    Args:
        log: Log of changes.
        oldest: Generation of the oldest change in the log.

    Raises:
        StoreError: If the store could not serve a call.
    """
    if oldest == 1:
        return entities.EMPTY_TABLES
    snapshot = await log.snapshots.read_oldest()
    return entities.EMPTY_TABLES if snapshot is None else snapshot.tables


async def read_versions(log: change_log.ChangeLog) -> list[Version]:
    """Returns all changes in the log, oldest first.

    If the first change is no longer in the log, the tables before and after a
    change can be reconstructed only from the oldest snapshot on. Older changes
    have no tables to be applied to.

    Raises:
        StoreError: If the store could not serve a call.
        ChainBrokenError: If the changes of the log do not form a chain.
    """
    logged_changes = await log.read_after(0)
    if not logged_changes:
        return []
    tables = await _read_oldest_tables(log, logged_changes[0].generation)
    versions: list[Version] = []
    for change in logged_changes:
        if change.generation < tables.generation:
            versions.append(Version(change))
        elif change.generation == tables.generation:
            versions.append(Version(change, after=tables))
        else:
            after = changes.apply_change(tables, change)
            versions.append(Version(change, tables, after))
            tables = after
    return versions


async def read_tables_at(
    log: change_log.ChangeLog, generation: int
) -> entities.Tables:
    """Returns the tables as they were at a generation.

    Raises:
        GenerationMissingError: If the log does not hold the generation.
        StoreError: If the store could not serve a call.
        ChainBrokenError: If the changes of the log do not form a chain.
    """
    tables_by_generation: dict[int, entities.Tables] = {}
    for version in await read_versions(log):
        for tables in (version.before, version.after):
            if tables is not None:
                tables_by_generation[tables.generation] = tables
    if generation not in tables_by_generation:
        raise errors.GenerationMissingError(
            generation,
            min(tables_by_generation, default=0),
            max(tables_by_generation, default=0),
        )
    return tables_by_generation[generation]


async def describe_changes_after(
    log: change_log.ChangeLog, base: int
) -> tuple[str, ...]:
    """Returns a line for each difference made after a generation.

    Raises:
        StoreError: If the store could not serve a call.
        ChainBrokenError: If the changes of the log do not form a chain.
    """
    return tuple(
        f"{version.change.generation} by {version.change.author}:"
        f" {differences.format_difference(difference)}"
        for version in await read_versions(log)
        if version.change.generation > base
        for difference in version.list_differences()
    )
