"""Finds the target with the most free slots without looking at all of them.

Targets stand in groups, the preferred ones first, and in each group in one
bucket for each number of free slots. An attempt moves its target by one
bucket, so the cost of a choice does not grow with the pool.
"""

import collections
from collections.abc import Iterator
import enum
from typing import Final

from wigeonspool.core import tables

MAX_LEVELS: Final = 16
Bucket = collections.OrderedDict[str, tables.TargetRow]


class Group(enum.IntEnum):
    """How far a target is from being this gateway's own.

    NEAR is in another zone of the region; traffic to a REMOTE one is paid.
    RESERVE holds what is held back for its health, wherever it is.
    """

    OWN = 0
    SHARED = 1
    NEAR = 2
    REMOTE = 3
    RESERVE = 4


class TargetIndex:
    """The targets of a pool, arranged by group and free slots."""

    __slots__ = ("_buckets", "_positions")

    def __init__(self) -> None:
        """Prepares empty buckets."""
        # By group and level, up to the highest level that was in use. A plain
        # dictionary keeps the places of what was removed from its front, and
        # each look at its first entry would pass over them.
        self._buckets: list[list[Bucket]] = [[] for _ in Group]
        self._positions: dict[str, tuple[int, int]] = {}

    def update(self, target: tables.TargetRow) -> None:
        """Puts a target where it belongs, after any change of its row."""
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
        """Forgets a target."""
        position = self._positions.pop(address, None)
        if position is not None:
            del self._buckets[position[0]][position[1]][address]

    def choose(
        self,
        tried: frozenset[str],
        last: int = Group.REMOTE,
        first: int = Group.OWN,
    ) -> tables.TargetRow | None:
        """Returns the target with the most free slots of the first group.

        Args:
            tried: Addresses to use only if there is no other.
            last: Last group to look at.
            first: First group to look at.
        """
        fallback: tables.TargetRow | None = None
        for group in range(first, last + 1):
            buckets = self._buckets[group]
            for level in range(len(buckets) - 1, 0, -1):
                # At most as many rows are passed over as were tried.
                for target in buckets[level].values():
                    if target.address not in tried:
                        return target
                    fallback = fallback or target
        return fallback

    def iterate(self) -> Iterator[tables.TargetRow]:
        """Yields all targets, by group and then by free slots."""
        for buckets in self._buckets:
            for bucket in reversed(buckets):
                yield from bucket.values()

    def count_groups(self) -> tuple[tuple[int, int], ...]:
        """Returns targets with a free slot, and all targets, by group."""
        return tuple(
            (sum(map(len, buckets[1:])), sum(map(len, buckets)))
            for buckets in self._buckets
        )


def find_group(target: tables.TargetRow) -> int:
    """Returns the group in which a target stands now."""
    return Group.RESERVE if target.health.demoted else target.group


def find_concurrency_limit(target: tables.TargetRow) -> int:
    """Returns how many attempts a target may have of this gateway now."""
    return min(target.limit, target.health.concurrency_limit)


def find_level(target: tables.TargetRow) -> int:
    """Returns the bucket for a target's free slots; 0 takes no work."""
    if target.state is not tables.TargetState.SERVING:
        return 0
    limit = find_concurrency_limit(target)
    free = limit - target.in_flight
    if free <= 0:
        return 0
    if limit <= MAX_LEVELS:
        return free
    return max(1, free * MAX_LEVELS // limit)
