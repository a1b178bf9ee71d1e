"""Tables of any size, written to the store for measurements of control."""

import time
from typing import Final
import uuid

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.store import change_log

# A change must fit into one value of the store, with room for its frame.
CHANGES_BYTES: Final = 700_000
POOL_BYTES: Final = 1_000


def build_tables(services: int, targets: int) -> entities.Tables:
    """Returns tables of some services with their targets spread evenly."""
    pools: dict[str, entities.Pool] = {}
    routes: dict[str, entities.Route] = {}
    for number in range(services):
        name = f"service-{number:04d}"
        listed = tuple(
            entities.Target(f"10.{t >> 16}.{t >> 8 & 255}.{t & 255}:8080", "z")
            for t in range(number, targets, services)
        )
        pools[name] = entities.Pool(name, 4, listed)
        routes[name] = entities.Route(name, "*", f"/{name}", name, True)
    return entities.Tables(0, routes, pools)


def split_tables(wanted: entities.Tables) -> list[entities.Tables]:
    """Returns growing tables, each a change below the store's bound more."""
    sizes = len(wanted.pools) * POOL_BYTES
    sizes += sum(len(p.targets) for p in wanted.pools.values()) * 64
    steps = max(1, -(-sizes // CHANGES_BYTES))
    names = list(wanted.pools)
    grown: list[entities.Tables] = []
    for step in range(1, steps + 1):
        kept = names[: len(names) * step // steps]
        grown.append(
            entities.Tables(
                0,
                {name: wanted.routes[name] for name in kept},
                {name: wanted.pools[name] for name in kept},
            )
        )
    return grown


async def apply_tables(
    log: change_log.ChangeLog, wanted: entities.Tables
) -> int:
    """Writes tables to the log; returns their generation.

    Raises:
        WigeonspoolError: If the store refused them.
    """
    held = await log.read_tables()
    for tables in split_tables(wanted):
        change = changes.diff_tables(
            held, tables, uuid.uuid4().hex, "load", time.time()
        )
        await log.propose(change)
        held = changes.apply_change(held, change)
    return held.generation
