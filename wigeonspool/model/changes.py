"""Changes of the routes and pools tables.

A change is a delta to the previous generation. Each change has an identity, so
a writer that lost the reply to a write can find out whether its change was
committed. The identities form a chain of digests. The chain shows when two
different changes have the same generation, as after a restore of the store from
a backup, so that two histories are never mixed.
"""

import dataclasses
import hashlib
from typing import Final

from wigeonspool.model import entities
from wigeonspool.model import errors

DIGEST_BYTES: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One change of the configuration.

    Attributes:
        generation: Position in the log; that of the first change is 1.
        change_id: Unique identity, chosen by the writer.
        author: Operator that wrote the change.
        written_at: Wall clock of the writer, in seconds since the epoch.
        put_pools: Pools to add or replace.
        put_routes: Routes to add or replace.
        removed_pools: Names of the pools to remove.
        removed_routes: Names of the routes to remove.
        parent: Digest of the tables that the change is based on; "" for the
            first change.
    """

    generation: int
    change_id: str
    author: str
    written_at: float
    put_pools: tuple[entities.Pool, ...] = ()
    put_routes: tuple[entities.Route, ...] = ()
    removed_pools: tuple[str, ...] = ()
    removed_routes: tuple[str, ...] = ()
    parent: str = ""

    @property
    def digest(self) -> str:
        """Digest of the chain of changes that ends with this one."""
        return extend_chain(self.parent, self.change_id)

    def is_empty(self) -> bool:
        """Returns True if the change adds, replaces and removes nothing."""
        return not (
            self.put_pools
            or self.put_routes
            or self.removed_pools
            or self.removed_routes
        )


def extend_chain(parent: str, change_id: str) -> str:
    """Returns the digest of a chain after one more change.

    Args:
        parent: Digest of the chain before the change.
        change_id: Identity of the change.
    """
    raw = f"{parent}/{change_id}".encode()
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def apply_change(tables: entities.Tables, change: Change) -> entities.Tables:
    """Returns new tables with a change applied.

    Raises:
        ChainBrokenError: If the change is based on tables with another digest.
    """
    if change.parent != tables.digest:
        raise errors.ChainBrokenError(change.generation)
    pools = dict(tables.pools)
    routes = dict(tables.routes)
    for pool_name in change.removed_pools:
        pools.pop(pool_name, None)
    for route_name in change.removed_routes:
        routes.pop(route_name, None)
    pools.update((pool.name, pool) for pool in change.put_pools)
    routes.update((route.name, route) for route in change.put_routes)
    return entities.Tables(change.generation, routes, pools, change.digest)


def diff_tables(
    before: entities.Tables,
    after: entities.Tables,
    change_id: str,
    author: str,
    written_at: float,
) -> Change:
    """Returns the change that turns one version of the tables into another.

    Args:
        before: Tables that the change is based on.
        after: Resulting tables; their generation and digest are ignored.
        change_id: Identity of the new change.
        author: Operator that writes the change.
        written_at: Wall clock, in seconds since the epoch.
    """
    return Change(
        generation=before.generation + 1,
        change_id=change_id,
        author=author,
        written_at=written_at,
        put_pools=tuple(
            pool
            for name, pool in after.pools.items()
            if before.pools.get(name) != pool
        ),
        put_routes=tuple(
            route
            for name, route in after.routes.items()
            if before.routes.get(name) != route
        ),
        removed_pools=tuple(before.pools.keys() - after.pools.keys()),
        removed_routes=tuple(before.routes.keys() - after.routes.keys()),
        parent=before.digest,
    )
