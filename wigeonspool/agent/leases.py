"""Leases on the probe budgets of pools, so that one agent at a time uses each.

The store ends a lease a fixed time after its last renewal. The holder computes
its own deadline from the time before it sent the call that granted or renewed
the lease, and subtracts a margin. It uses a clock that advances while the
process or its VM is paused. So it stops before the store can grant the pool to
another agent, even if calls or replies are lost or late.
"""

from collections.abc import Callable, Iterable
import dataclasses
from typing import Final

import loguru

from wigeonspool.core import rendezvous
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.store import store as stores

LEASE_TTL_SECONDS: Final = 9
SAFETY_MARGIN_SECONDS: Final = 1.0
RENEW_INTERVAL_SECONDS: Final = 3.0
MAX_ACQUISITIONS_PER_STEP: Final = 5
PROBE_LEASE_PREFIX: Final = "lease/measuring/"


def choose_pools(
    vm: str, feeders: Iterable[entities.Vm], pools: Iterable[str]
) -> set[str]:
    """Returns the pools whose probe budget is assigned to an agent.

    Rendezvous hashing assigns each pool to one feeder.

    Args:
        vm: Name of the agent's VM.
        feeders: All feeders; an agent that is none of them gets no pools.
        pools: Names of all pools.
    """
    names = [feeder.name for feeder in feeders]
    if vm not in names:
        return set()
    return {
        pool
        for pool in pools
        if rendezvous.rank_members(f"measuring/{pool}", names)[0] == vm
    }


@dataclasses.dataclass(frozen=True, slots=True)
class LeaseTerm:
    """A period in which an agent may use a pool's probe budget.

    Attributes:
        acquired_at: When the agent acquired the pool, in seconds on its clock.
        deadline: When it must stop using the budget, on the same clock.
    """

    acquired_at: float
    deadline: float


class LeaseManager:
    """Maintains one lease in the store and the pool keys attached to it.

    All pools share the lease, so one call renews them all.
    """

    def __init__(
        self,
        client: stores.StoreClient,
        prefix: str,
        holder: str,
        now: Callable[[], float],
    ) -> None:
        """Builds a manager that holds no lease.

        Args:
            client: Client of the store.
            prefix: Key prefix of this system.
            holder: Identity of this incarnation of the process.
            now: Clock that advances while the process or its VM is paused, in
                seconds.
        """
        self._client = client
        self._prefix = prefix + PROBE_LEASE_PREFIX
        self._holder = holder
        self._now = now
        self._lease_id = 0
        self._deadline = float("-inf")
        self._renew_at = float("-inf")
        # Acquisition time of each held pool.
        self._acquired_at: dict[str, float] = {}
        # Earliest next attempt for each pool that another agent holds.
        self._retry_at: dict[str, float] = {}

    def is_held(self, pool: str) -> bool:
        """Returns True if this agent may use a pool's probe budget now.

        Callers check this right before each use, after every step that may
        take time, because the lease may lapse meanwhile.
        """
        return pool in self._acquired_at and self._now() < self._deadline

    def find_term(self, pool: str) -> LeaseTerm | None:
        """Returns the current lease term of a pool, or None if not held."""
        if not self.is_held(pool):
            return None
        return LeaseTerm(self._acquired_at[pool], self._deadline)

    def list_held(self) -> set[str]:
        """Returns the pools whose probe budget this agent may use now."""
        return set(self._acquired_at) if self._now() < self._deadline else set()

    async def update(self, assigned: set[str]) -> None:
        """Renews the lease, releases surplus pools and acquires missing ones.

        One call acquires at most `MAX_ACQUISITIONS_PER_STEP` pools.

        Args:
            assigned: Pools that this agent should hold.

        Raises:
            StoreError: If the store could not serve a call; held pools lapse
                at their deadline unless a later call renews the lease.
        """
        if not self._lease_id and not assigned:
            return
        await self._renew()
        for pool in self._acquired_at.keys() - assigned:
            await self._release(pool)
        to_acquire = [
            pool
            for pool in sorted(assigned - self._acquired_at.keys())
            if self._retry_at.get(pool, float("-inf")) <= self._now()
        ]
        for pool in to_acquire[:MAX_ACQUISITIONS_PER_STEP]:
            await self._acquire(pool)

    async def _renew(self) -> None:
        """Renews the lease if due; requests a new one if there is none.

        Raises:
            StoreError: If the store could not serve the call.
        """
        started_at = self._now()
        if self._lease_id and started_at < self._renew_at:
            return
        if self._lease_id and not await self._client.renew_lease(
            self._lease_id
        ):
            loguru.logger.info(
                "lease lapsed with {} pools", len(self._acquired_at)
            )
            self._clear()
        if not self._lease_id:
            started_at = self._now()
            self._lease_id = await self._client.grant_lease(LEASE_TTL_SECONDS)
        self._deadline = started_at + LEASE_TTL_SECONDS - SAFETY_MARGIN_SECONDS
        self._renew_at = started_at + RENEW_INTERVAL_SECONDS

    def _clear(self) -> None:
        """Drops the local record of the lease and of its pools."""
        self._lease_id = 0
        self._deadline = float("-inf")
        self._acquired_at.clear()
        self._retry_at.clear()

    def _build_value(self) -> bytes:
        """Returns the value that this agent writes to keys of its pools."""
        return f"{self._holder}/{self._lease_id}".encode()

    async def _acquire(self, pool: str) -> None:
        """Acquires a pool unless another agent holds it.

        Raises:
            StoreError: If the store could not serve the call. If the key was
                written nevertheless, the next call reads it and holds the pool.
        """
        key = self._prefix + pool
        if await self._client.create(key, self._build_value(), self._lease_id):
            self._acquired_at[pool] = self._now()
            return
        entry = await self._client.read(key)
        if entry is not None and entry.value == self._build_value():
            self._acquired_at[pool] = self._now()
        else:
            self._retry_at[pool] = self._now() + RENEW_INTERVAL_SECONDS

    async def _release(self, pool: str) -> None:
        """Stops using a pool's budget and removes its key from the store.

        Raises:
            StoreError: If the store could not serve the call; the key is then
                removed when the lease ends.
        """
        self._acquired_at.pop(pool, None)
        await self._client.remove_if(self._prefix + pool, self._build_value())

    async def stop(self) -> None:
        """Revokes the lease, so that others can acquire its pools at once."""
        lease_id = self._lease_id
        self._clear()
        if lease_id:
            try:
                await self._client.revoke_lease(lease_id)
            except errors.StoreError as error:
                loguru.logger.info(
                    "lease not revoked, it will lapse: {}", error
                )
