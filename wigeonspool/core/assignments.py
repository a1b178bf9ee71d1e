"""Chooses which gateways a caller is told for a pool.

A pool is served by few gateways, since the best knowledge of a target is
one's own count of attempts there, and that is complete only if few send.
"""

from collections.abc import Iterable

import xxhash

from wigeonspool.model import entities


def rank_members(subject: str, names: Iterable[str]) -> list[str]:
    """Returns names by rendezvous hash; a lost name moves no other."""
    return sorted(
        names,
        key=lambda name: xxhash.xxh3_64_intdigest(f"{subject}/{name}".encode()),
        reverse=True,
    )


def choose_gateways(
    pool: str,
    zone: str,
    gateways: Iterable[entities.Gateway],
    count: int,
) -> list[entities.Gateway]:
    """Returns the gateways that serve a pool's callers of a zone.

    Args:
        pool: Pool that the caller wants.
        zone: Availability zone of the caller.
        gateways: Live gateways.
        count: Gateways wanted; they lie on different VMs if possible.
    """
    known = {g.name: g for g in gateways}
    # If all are leaving, one that still serves is better than none.
    live = {n: g for n, g in known.items() if not g.draining} or known
    near = {n: g for n, g in live.items() if g.zone == zone}
    candidates = near or live
    ranked = rank_members(f"{pool}/{zone}", candidates)
    chosen: list[entities.Gateway] = []
    for name in ranked:
        gateway = candidates[name]
        if all(other.vm != gateway.vm for other in chosen):
            chosen.append(gateway)
    chosen += [candidates[n] for n in ranked if candidates[n] not in chosen]
    return chosen[:count]
