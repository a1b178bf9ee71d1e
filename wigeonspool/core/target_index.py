"""Finds the target with the most free slots without a scan of all targets.

Targets are kept in groups, the preferred ones first, and in each group in one
bucket for each number of free slots. An attempt moves its target by one bucket,
so the cost of a choice does not grow with the pool.
"""

import collections
from collections.abc import Iterator
import enum
from typing import Final

from wigeonspool.core import tables

MAX_LEVELS: Final = 16
Bucket = collections.OrderedDict[str, tables.TargetRow]


class Group(enum.IntEnum):
    """Order of preference of targets; this gateway's own come first.

    The slots of a SHARED target belong to other gateways of the zone. NEAR is
    in another zone of the region; traffic to a REMOTE target costs money.
    RESERVE contains the demoted targets of all zones.
    """

    OWN = 0
    SHARED = 1
    NEAR = 2
    REMOTE = 3
    RESERVE = 4


class TargetIndex:
    """The targets of a pool, ordered by group and free slots."""

    __slots__ = ("_buckets", "_positions")

    def __init__(self) -> None:
        """Creates empty buckets."""
        # By group and level, up to the highest level used so far. The buckets
        # are ordered dictionaries, because a plain dictionary keeps empty
        # places of entries that were removed from its front, and each look at
        # its first entry would skip over them.
        self._buckets: list[list[Bucket]] = [[] for _ in Group]
        self._positions: dict[str, tuple[int, int]] = {}

    def update(self, target: tables.TargetRow) -> None:
        """Moves a target to its bucket after any change of its row."""
        level = find_level(target)
        group = find_group(target)
        position = (group, level)
        previous = self._positions.get(target.address)
        if previous == position:
            return
        if previous is not None:
            del self._buckets[previous[0]][previous[1]][target.address]
        self._positions[target.address] = position
        buckets = self._buckets[group]
        while len(buckets) <= level:
            buckets.append(collections.OrderedDict())
        buckets[level][target.address] = target

    def remove(self, address: str) -> None:
        """Removes a target."""
        position = self._positions.pop(address, None)
        if position is not None:
            del self._buckets[position[0]][position[1]][address]

    def choose(
        self,
        avoided: frozenset[str],
        last: int = Group.REMOTE,
        first: int = Group.OWN,
    ) -> tables.TargetRow | None:
        """Returns the target with most free slots in the first usable group.

        Args:
            avoided: Addresses to use only if there is no other.
            last: Last group to search.
            first: First group to search.
        """
        fallback: tables.TargetRow | None = None
        for group in range(first, last + 1):
            buckets = self._buckets[group]
            for level in range(len(buckets) - 1, 0, -1):
                # This skips at most as many rows as there are avoided targets.
                for target in buckets[level].values():
                    if target.address not in avoided:
                        return target
                    fallback = fallback or target
        return fallback

    def iterate(self) -> Iterator[tables.TargetRow]:
        """Yields all targets by group, those with most free slots first."""
        for buckets in self._buckets:
            for bucket in reversed(buckets):
                yield from bucket.values()

    def count_groups(self) -> tuple[tuple[int, int], ...]:
        """Returns per group the targets with a free slot, and all targets."""
        return tuple(
            (sum(map(len, buckets[1:])), sum(map(len, buckets)))
            for buckets in self._buckets
        )


def find_group(target: tables.TargetRow) -> int:
    """Returns the current group of a target."""
    return Group.RESERVE if target.health.demoted else target.group


def find_concurrency_limit(target: tables.TargetRow) -> int:
    """Returns how many attempts of this gateway a target may run now."""
    return min(target.limit, target.health.concurrency_limit)


def find_level(target: tables.TargetRow) -> int:
    """Returns the bucket for a target's free slots; level 0 gets no work.

    The level is the number of free slots, or their fraction in MAX_LEVELS steps
    for a target with more slots than that.
    """
    if target.state is not tables.TargetState.SERVING:
        return 0
    limit = find_concurrency_limit(target)
    free = limit - target.in_flight
    if free <= 0:
        return 0
    if limit <= MAX_LEVELS:
        return free
    return max(1, free * MAX_LEVELS // limit)
