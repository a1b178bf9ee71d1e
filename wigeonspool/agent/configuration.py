"""The tables that an agent has in force, and the recent changes to them.

Generations only rise. A subscriber that holds a recent generation gets the
changes since; any other gets the whole tables. Digests of the generations so
far tell whether tables from elsewhere go on from those in force here.
"""

import collections
from typing import Final

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import messages

MAX_CHANGES: Final = 256
MAX_DIGESTS: Final = 64


class ConfigurationState:
    """Tables in force and the changes that led to them.

    Attributes:
        tables: Tables in force.
        recent_changes: Newest changes that led to them, oldest first.
        lineage: Digests of the newest generations.
    """

    def __init__(self) -> None:
        self.tables = entities.EMPTY_TABLES
        self.recent_changes: collections.deque[changes.Change] = (
            collections.deque(maxlen=MAX_CHANGES)
        )
        self.lineage: dict[int, str] = {}

    def apply_change(self, change: changes.Change) -> bool:
        """Takes the change after the generation in force.

        Returns:
            True if it is in force now, False if it is old or does not follow.

        Raises:
            ChainBrokenError: If it follows other tables, or another change
                was taken under its generation.
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
        """Takes whole tables; returns False if they are not newer.

        Args:
            tables: Tables to take.
            lineage: Digests of the generations that led to them.
            last: Change that made them, if known.

        Raises:
            ChainBrokenError: If the lineage shows another history than the
                one in force here.
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
        """Keeps the digest of a generation and drops the oldest ones."""
        self.lineage[tables.generation] = tables.digest
        while len(self.lineage) > MAX_DIGESTS:
            del self.lineage[min(self.lineage)]

    def check_digest(self, generation: int, digest: str) -> None:
        """Checks what another process holds at a generation.

        Raises:
            ChainBrokenError: If another change was taken here.
        """
        if self.lineage.get(generation, digest) != digest:
            raise errors.ChainBrokenError(generation)

    def list_updates(
        self, generation: int, digest: str
    ) -> list[messages.Message]:
        """Returns what brings a subscriber up to date.

        Args:
            generation: Generation that the subscriber holds.
            digest: Its digest there.

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
