"""Leases of pools' measuring budgets, so that one agent at a time spends each.

The store ends a lease some time after its last renewal. The holder counts its
deadline from before the call that granted or renewed it, less a margin, on a
clock that goes on while the process or its VM is paused. So it stops before
the store gives the pool to another, whatever was lost or late between them.
"""

from collections.abc import Callable, Iterable
import dataclasses
from typing import Final

import loguru

from wigeonspool.core import rendezvous
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.store import store as stores

TTL_SECONDS: Final = 9
SAFETY_MARGIN_SECONDS: Final = 1.0
RENEW_INTERVAL_SECONDS: Final = 3.0
MAX_ACQUISITIONS_PER_STEP: Final = 5
PROBE_LEASE_PREFIX: Final = "lease/measuring/"


def choose_pools(
    vm: str, feeders: Iterable[entities.Vm], pools: Iterable[str]
) -> set[str]:
    """Returns the pools whose budget an agent should spend.

    Args:
        vm: Name of the agent's VM.
        feeders: All feeders.
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
    """A time in which an agent may spend a pool's budget.

    Attributes:
        acquired_at: When it took the pool, on the holder's clock.
        deadline: When it must stop, on the same clock.
    """

    acquired_at: float
    deadline: float


class LeaseManager:
    """Holds one lease of the store and the pools bound to it."""

    def __init__(
        self,
        client: stores.StoreClient,
        prefix: str,
        holder: str,
        now: Callable[[], float],
    ) -> None:
        """Prepares a keeper that holds nothing.

        Args:
            client: Client of the store.
            prefix: Key prefix of this system.
            holder: Identity of this run of the process.
            now: Clock that goes on during pauses, in seconds.
        """
        self._client = client
        self._prefix = prefix + PROBE_LEASE_PREFIX
        self._holder = holder
        self._now = now
        self._lease_id = 0
        self._deadline = float("-inf")
        self._renew_at = float("-inf")
        # When each pool was taken.
        self._acquired_at: dict[str, float] = {}
        self._retry_at: dict[str, float] = {}

    def is_held(self, pool: str) -> bool:
        """Returns True if this agent may spend a pool's budget right now.

        To be asked right before each act, after all that may take time.
        """
        return pool in self._acquired_at and self._now() < self._deadline

    def find_term(self, pool: str) -> LeaseTerm | None:
        """Returns the term in which this agent holds a pool, if it does."""
        if not self.is_held(pool):
            return None
        return LeaseTerm(self._acquired_at[pool], self._deadline)

    def list_held(self) -> set[str]:
        """Returns the pools whose budget this agent may spend right now."""
        return set(self._acquired_at) if self._now() < self._deadline else set()

    async def update(self, assigned: set[str]) -> None:
        """Renews the lease and brings what is held nearer to what is wanted.

        Args:
            assigned: Pools that this agent should hold.

        Raises:
            StoreError: If the store could not serve a call; what is held
                lapses at its deadline.
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
        """Renews the lease if that is due, or is granted a new one.

        Raises:
            StoreError: If the store could not serve the call.
        """
        started_at = self._now()
        if self._lease_id and started_at < self._renew_at:
            return
        if self._lease_id and not await self._client.renew_lease(
            self._lease_id
        ):
            loguru.logger.info("lease lapsed; {} pools", len(self._acquired_at))
            self._clear()
        if not self._lease_id:
            started_at = self._now()
            self._lease_id = await self._client.grant_lease(TTL_SECONDS)
        self._deadline = started_at + TTL_SECONDS - SAFETY_MARGIN_SECONDS
        self._renew_at = started_at + RENEW_INTERVAL_SECONDS

    def _clear(self) -> None:
        """Forgets the lease and all that was bound to it."""
        self._lease_id = 0
        self._deadline = float("-inf")
        self._acquired_at.clear()
        self._retry_at.clear()

    def _build_value(self) -> bytes:
        """Returns what this agent writes under the pools that it holds."""
        return f"{self._holder}/{self._lease_id}".encode()

    async def _acquire(self, pool: str) -> None:
        """Takes a pool unless another agent holds it.

        Raises:
            StoreError: If the store could not serve the call; if the write
                took effect nevertheless, the next step finds it.
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
        """Gives up a pool; from here on it is not acted on.

        Raises:
            StoreError: If the store could not serve the call; the key then
                ends with the lease.
        """
        self._acquired_at.pop(pool, None)
        await self._client.remove_if(self._prefix + pool, self._build_value())

    async def stop(self) -> None:
        """Gives up everything at once, so that others need not wait."""
        lease_id = self._lease_id
        self._clear()
        if lease_id:
            try:
                await self._client.revoke_lease(lease_id)
            except errors.StoreError as error:
                loguru.logger.info("lease left to lapse: {}", error)
