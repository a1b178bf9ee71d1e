"""A store client that calls the stand-in directly and injects faults."""

import asyncio
from collections.abc import Callable
import random
from typing import Any

from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.standin import store as stores
from wigeonspool.store import change_log
from wigeonspool.store import store

PREFIX = "/wigeonspool/"


class DirectClient(store.StoreClient):
    """Calls the stand-in without sockets.

    `fault` returns "lost" to lose a call, "reply-lost" to lose its reply, or ""
    for no fault.
    """

    def __init__(
        self, standin: stores.StoreStandin, fault: Callable[[], str] = str
    ) -> None:
        self.calls = 0
        self._standin = standin
        self._fault = fault

    async def _call(self, path: str, body: dict[str, Any]) -> dict[str, Any]:
        self.calls += 1
        fault = self._fault()
        # Lets other tasks run between any two calls.
        await asyncio.sleep(0)
        if fault == "lost" or self._standin.faults.down:
            raise errors.StoreUnavailableError(path, "lost")
        serve = {
            "/v3/kv/range": self._standin._range,
            "/v3/kv/txn": self._standin._txn,
            "/v3/kv/deleterange": self._standin._delete,
        }[path]
        reply = serve(body)
        if fault == "reply-lost":
            raise errors.StoreUnavailableError(path, "reply lost")
        reply["header"] = {"revision": str(self._standin.revision)}
        return reply


def build_log(
    standin: stores.StoreStandin, fault: Callable[[], str] = str
) -> change_log.ChangeLog:
    return change_log.ChangeLog(DirectClient(standin, fault), PREFIX)


def build_pool(name: str, targets: int = 1, seed: int = 0) -> entities.Pool:
    """Returns a pool with random addresses, which hardly compress."""
    rng = random.Random(f"{name}/{seed}")
    listed = tuple(
        entities.Target(f"{rng.randbytes(24).hex()}:80", "zone-0")
        for _ in range(targets)
    )
    return entities.Pool(name, 4, listed)


def build_change(
    current: entities.Tables, change_id: str, author: str = "ayla"
) -> changes.Change:
    """Returns a change that adds one pool named after the change."""
    pools = {**current.pools, change_id: build_pool(change_id)}
    new_tables = entities.Tables(0, current.routes, pools)
    return changes.diff_tables(current, new_tables, change_id, author, 1.0)


async def write_changes(
    log: change_log.ChangeLog, ids: list[str]
) -> entities.Tables:
    """Appends a change for each id to the log; returns the new tables."""
    current = await log.read_tables()
    for change_id in ids:
        change = build_change(current, change_id)
        await log.propose(change)
        current = changes.apply_change(current, change)
    return current
