"""The states that the tables had, one for each change that the log holds."""

import dataclasses

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.operator import differences
from wigeonspool.platform import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class Version:
    """One change and the tables around it.

    Attributes:
        change: The change.
        before: Tables that it was based on.
        after: Tables that it made.
    """

    change: changes.Change
    before: entities.Tables
    after: entities.Tables

    def list_differences(self) -> list[differences.Difference]:
        """Returns what the change altered."""
        return differences.compare_tables(self.before, self.after)


async def read_versions(log: configuration.ChangeLog) -> list[Version]:
    """Returns all changes that the log holds, oldest first.

    Raises:
        StoreError: If the store could not serve a call.
    """
    versions: list[Version] = []
    tables = entities.EMPTY_TABLES
    for change in await log.read_after(tables.generation):
        after = changes.apply_change(tables, change)
        versions.append(Version(change, tables, after))
        tables = after
    return versions


async def read_tables_at(
    log: configuration.ChangeLog, generation: int
) -> entities.Tables:
    """Returns the tables as they were at a generation.

    Raises:
        GenerationMissingError: If the log does not hold it.
        StoreError: If the store could not serve a call.
    """
    versions = await read_versions(log)
    if versions and versions[0].before.generation == generation:
        return versions[0].before
    for version in versions:
        if version.after.generation == generation:
            return version.after
    oldest = versions[0].before.generation if versions else 0
    head = versions[-1].after.generation if versions else 0
    raise errors.GenerationMissingError(generation, oldest, head)


async def describe_between(
    log: configuration.ChangeLog, base: int
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
