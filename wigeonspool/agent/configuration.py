"""The active configuration tables of an agent and the recent changes to them.

Generations only increase. A subscriber that holds a recent generation gets the
changes since then; any other gets the complete tables. The digests of the
generations so far show whether tables from elsewhere have the same history as
the active ones.
"""

import collections
from typing import Final

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import messages

MAX_RECENT_CHANGES: Final = 256
MAX_LINEAGE_LENGTH: Final = 64


class ConfigurationState:
    """The active tables, the latest changes and digests of generations.

    Attributes:
        tables: Active tables.
        recent_changes: Latest changes to the tables, oldest first.
        lineage: Digests of the newest generations, by generation.
    """

    def __init__(self) -> None:
        self.tables = entities.EMPTY_TABLES
        self.recent_changes: collections.deque[changes.Change] = (
            collections.deque(maxlen=MAX_RECENT_CHANGES)
        )
        self.lineage: dict[int, str] = {}

    def apply_change(self, change: changes.Change) -> bool:
        """Applies the change that follows the active generation.

        Returns:
            True if the change was applied, False if it is old or skips a
            generation.

        Raises:
            ChainBrokenError: If the change is based on other tables, or a
                different change with its generation was applied here.
        """
        if change.generation <= self.tables.generation:
            self.check_digest(change.generation, change.digest)
            return False
        if change.generation != self.tables.generation + 1:
            return False
        self.tables = changes.apply_change(self.tables, change)
        self.recent_changes.append(change)
        self._record_digest(self.tables)
        return True

    def replace_tables(
        self,
        tables: entities.Tables,
        lineage: dict[int, str],
        last: changes.Change | None = None,
    ) -> bool:
        """Replaces the active tables by newer ones.

        Args:
            tables: Tables to activate.
            lineage: Digests of the generations that led to them.
            last: Change that led to these tables, if known.

        Returns:
            False, without any effect, if the tables are not newer.

        Raises:
            ChainBrokenError: If the tables have another history than the
                active ones.
        """
        for generation, digest in lineage.items():
            self.check_digest(generation, digest)
        if tables.generation <= self.tables.generation:
            self.check_digest(tables.generation, tables.digest)
            return False
        self.tables = tables
        self.recent_changes.clear()
        if last is not None:
            self.recent_changes.append(last)
        self.lineage |= lineage
        self._record_digest(tables)
        return True

    def _record_digest(self, tables: entities.Tables) -> None:
        """Stores the digest of a generation and removes the oldest ones."""
        self.lineage[tables.generation] = tables.digest
        while len(self.lineage) > MAX_LINEAGE_LENGTH:
            del self.lineage[min(self.lineage)]

    def check_digest(self, generation: int, digest: str) -> None:
        """Checks that another process has the same history as this one.

        A generation whose digest is no longer stored passes.

        Args:
            generation: Generation that the other process holds.
            digest: Digest that it has for this generation.

        Raises:
            ChainBrokenError: If the digest here differs.
        """
        if self.lineage.get(generation, digest) != digest:
            raise errors.ChainBrokenError(generation)

    def list_updates(
        self, generation: int, digest: str
    ) -> list[messages.Message]:
        """Returns the messages that bring a subscriber up to date.

        Args:
            generation: Generation that the subscriber holds.
            digest: Digest that it has for this generation.

        Raises:
            ChainBrokenError: If the subscriber has another history.
        """
        self.check_digest(generation, digest)
        if generation >= self.tables.generation:
            return []
        missing = [c for c in self.recent_changes if c.generation > generation]
        if missing and missing[0].generation == generation + 1:
            return [messages.ChangeNotice(change) for change in missing]
        last = self.recent_changes[-1] if self.recent_changes else None
        return [
            messages.Snapshot(self.tables, tuple(self.lineage.items()), last)
        ]
