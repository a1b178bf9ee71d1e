"""The tables that an agent has in force, and the recent changes to them.

Generations only rise. A subscriber that holds a recent generation gets the
changes since; any other gets the whole tables.
"""

import collections
from typing import Final

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import messages

KEPT_CHANGES: Final = 256


class ConfigurationState:
    """Tables in force and the changes that led to them.

    Attributes:
        tables: Tables in force.
    """

    def __init__(self) -> None:
        self.tables = entities.EMPTY_TABLES
        self._recent: collections.deque[changes.Change] = collections.deque(
            maxlen=KEPT_CHANGES
        )

    def take_change(self, change: changes.Change) -> bool:
        """Takes the change after the generation in force.

        Returns:
            True if it is in force now, False if it is old or does not follow.
        """
        if change.generation != self.tables.generation + 1:
            return False
        self.tables = changes.apply_change(self.tables, change)
        self._recent.append(change)
        return True

    def take_tables(self, tables: entities.Tables) -> bool:
        """Takes whole tables; returns False if they are not newer."""
        if tables.generation <= self.tables.generation:
            return False
        self.tables = tables
        self._recent.clear()
        return True

    def list_messages(self, generation: int) -> list[messages.Message]:
        """Returns what brings a subscriber up to date.

        Args:
            generation: Generation that the subscriber holds.
        """
        if generation >= self.tables.generation:
            return []
        missing = [c for c in self._recent if c.generation > generation]
        if missing and missing[0].generation == generation + 1:
            return [messages.ChangeNotice(change) for change in missing]
        return [messages.Snapshot(self.tables)]
