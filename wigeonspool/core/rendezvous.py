"""Ranks members for a subject, on all processes alike."""

from collections.abc import Iterable

import xxhash


def rank_members(subject: str, names: Iterable[str]) -> list[str]:
    """Returns names by rendezvous hash; a lost name moves no other."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{subject}/{name}".encode()),
        reverse=True,
    )
