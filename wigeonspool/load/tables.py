"""Writes tables of a given size to the store, to measure the control plane."""

import time
from typing import Final
import uuid

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.store import change_log

# A change must fit into one value of the store, together with its framing.
MAX_CHANGE_BYTES: Final = 700_000
POOL_BYTES_ESTIMATE: Final = 1_000


def build_tables(services: int, targets: int) -> entities.Tables:
    """Returns tables with one pool and one route for each service.

    Args:
        services: Number of services.
        targets: Number of targets of all services, assigned to them in turn.
    """
    pools: dict[str, entities.Pool] = {}
    routes: dict[str, entities.Route] = {}
    for number in range(services):
        name = f"service-{number:04d}"
        pool_targets = tuple(
            entities.Target(f"10.{t >> 16}.{t >> 8 & 255}.{t & 255}:8080", "z")
            for t in range(number, targets, services)
        )
        pools[name] = entities.Pool(name, 4, pool_targets)
        routes[name] = entities.Route(name, "*", f"/{name}", name, True)
    return entities.Tables(0, routes, pools)


def split_tables(desired: entities.Tables) -> list[entities.Tables]:
    """Returns the tables to write one after another up to the desired ones.

    Each contains the pools of the previous one and more, so that the change
    between two of them fits into one value of the store.
    """
    size_estimate = len(desired.pools) * POOL_BYTES_ESTIMATE
    # An encoded target takes about 64 bytes.
    size_estimate += sum(len(p.targets) for p in desired.pools.values()) * 64
    steps = max(1, -(-size_estimate // MAX_CHANGE_BYTES))
    names = list(desired.pools)
    stages: list[entities.Tables] = []
    for step in range(1, steps + 1):
        included = names[: len(names) * step // steps]
        stages.append(
            entities.Tables(
                0,
                {name: desired.routes[name] for name in included},
                {name: desired.pools[name] for name in included},
            )
        )
    return stages


async def apply_tables(
    log: change_log.ChangeLog, desired: entities.Tables
) -> int:
    """Writes tables to the log and returns the resulting generation.

    Raises:
        WigeonspoolError: If the store is unavailable or refused a change.
    """
    current = await log.read_tables()
    for tables in split_tables(desired):
        change = changes.diff_tables(
            current, tables, uuid.uuid4().hex, "load", time.time()
        )
        await log.propose(change)
        current = changes.apply_change(current, change)
    return current.generation
