"""The states that the tables had, one for each change that the log holds."""

import dataclasses

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.operator import differences
from wigeonspool.store import change_log


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One change and the tables around it.

    Attributes:
        change: The change.
        before: Tables that it was based on, or None if they are not kept.
        after: Tables that it made, or None if they are not kept.
    """

    change: changes.Change
    before: entities.Tables | None = None
    after: entities.Tables | None = None

    def list_differences(self) -> list[differences.Difference]:
        """Returns what the change altered."""
        if self.before is None or self.after is None:
            return differences.describe_change(self.change)
        return differences.compare_tables(self.before, self.after)


async def _read_base(log: change_log.ChangeLog, oldest: int) -> entities.Tables:
    """Returns the oldest tables from which the log can be followed.

    Args:
        log: Log of changes.
        oldest: Generation of the oldest change that it holds.

    Raises:
        StoreError: If the store could not serve a call.
    """
    if oldest == 1:
        return entities.EMPTY_TABLES
    saved = await log.snapshots.read_oldest()
    return entities.EMPTY_TABLES if saved is None else saved.tables


async def read_versions(log: change_log.ChangeLog) -> list[Version]:
    """Returns all changes that the log holds, oldest first.

    The tables around a change are known from the oldest snapshot on.

    Raises:
        StoreError: If the store could not serve a call.
        ChainBrokenError: If the log is not one chain of changes.
    """
    found = await log.read_after(0)
    if not found:
        return []
    tables = await _read_base(log, found[0].generation)
    versions: list[Version] = []
    for change in found:
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
        GenerationMissingError: If the log does not hold it any more.
        StoreError: If the store could not serve a call.
        ChainBrokenError: If the log is not one chain of changes.
    """
    known: dict[int, entities.Tables] = {}
    for version in await read_versions(log):
        for tables in (version.before, version.after):
            if tables is not None:
                known[tables.generation] = tables
    if generation not in known:
        raise errors.GenerationMissingError(
            generation, min(known, default=0), max(known, default=0)
        )
    return known[generation]


async def describe_between(
    log: change_log.ChangeLog, base: int
) -> tuple[str, ...]:
    """Returns a line for each difference that came after a generation.

    Raises:
        StoreError: If the store could not serve a call.
    """
    return tuple(
        f"{version.change.generation} by {version.change.author}:"
        f" {differences.format_difference(difference)}"
        for version in await read_versions(log)
        if version.change.generation > base
        for difference in version.list_differences()
    )
