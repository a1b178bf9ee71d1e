"""Changes of the two tables, and how tables follow from them.

A change is a delta against the generation before it. Its own identity tells a
writer whether a write whose reply was lost took effect. The identities form a
chain of digests, so that two different changes with one generation, as a
restored store can hold, are told apart and never mixed.
"""

import dataclasses
import hashlib
from typing import Final

from wigeonspool.model import entities
from wigeonspool.model import errors

DIGEST_BYTES: Final = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """One accepted change of configuration.

    Attributes:
        generation: Place in the log; the first change has 1.
        change_id: Unique identity given by its writer.
        author: Operator that wrote it.
        written_at: Wall clock of the writer, in seconds since the epoch.
        put_pools: Pools that it adds or replaces.
        put_routes: Routes that it adds or replaces.
        removed_pools: Names of pools that it removes.
        removed_routes: Names of routes that it removes.
        parent: Digest of the tables that it is based on.
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
        """Digest of the chain up to this change."""
        return extend_chain(self.parent, self.change_id)

    def is_empty(self) -> bool:
        """Returns True if the change alters nothing."""
        return not (
            self.put_pools
            or self.put_routes
            or self.removed_pools
            or self.removed_routes
        )


def extend_chain(parent: str, change_id: str) -> str:
    """Returns the digest of a chain and one more change."""
    raw = f"{parent}/{change_id}".encode()
    return hashlib.blake2b(raw, digest_size=DIGEST_BYTES).hexdigest()


def apply_change(tables: entities.Tables, change: Change) -> entities.Tables:
    """Returns the tables after a change; the given ones stay as they are.

    Raises:
        ChainBrokenError: If the change is based on other tables.
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
    """Returns the change that leads from one state of the tables to another.

    Args:
        before: Tables that the change is based on.
        after: Tables that are wanted; their generation is ignored.
        change_id: Identity of the new change.
        author: Operator that writes it.
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
