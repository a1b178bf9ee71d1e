"""Ranks names by rendezvous hashing, with the same result in every process."""

from collections.abc import Iterable

import xxhash


def rank_members(subject: str, names: Iterable[str]) -> list[str]:
    """Returns names ordered by their rendezvous hash for a subject.

    The order of the other names does not change when a name is removed.

    Args:
        subject: What the names are ranked for; each subject has its own order.
        names: Names to rank.
    """
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{subject}/{name}".encode()),
        reverse=True,
    )
