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

from wigeonspool.core import assignments
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.store import store as stores

TTL_SECONDS: Final = 9
MARGIN_SECONDS: Final = 1.0
RENEW_SECONDS: Final = 3.0
CLAIMS_PER_STEP: Final = 5
MEASURING: Final = "lease/measuring/"


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
        if assignments.rank_members(f"measuring/{pool}", names)[0] == vm
    }


@dataclasses.dataclass(frozen=True, slots=True)
class Term:
    """A time in which an agent may spend a pool's budget.

    Attributes:
        began_at: When it took the pool, on the holder's clock.
        deadline: When it must stop, on the same clock.
    """

    began_at: float
    deadline: float


class LeaseKeeper:
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
        self._prefix = prefix + MEASURING
        self._holder = holder
        self._now = now
        self._lease = 0
        self._deadline = float("-inf")
        self._renew_at = float("-inf")
        # When each pool was taken.
        self._held: dict[str, float] = {}
        self._claim_at: dict[str, float] = {}

    def may_act(self, pool: str) -> bool:
        """Returns True if this agent may spend a pool's budget right now.

        To be asked right before each act, after all that may take time.
        """
        return pool in self._held and self._now() < self._deadline

    def find_term(self, pool: str) -> Term | None:
        """Returns the term in which this agent holds a pool, if it does."""
        if not self.may_act(pool):
            return None
        return Term(self._held[pool], self._deadline)

    def list_held(self) -> set[str]:
        """Returns the pools whose budget this agent may spend right now."""
        return set(self._held) if self._now() < self._deadline else set()

    async def step(self, wanted: set[str]) -> None:
        """Renews the lease and brings what is held nearer to what is wanted.

        Args:
            wanted: Pools that this agent should hold.

        Raises:
            StoreError: If the store could not serve a call; what is held
                lapses at its deadline.
        """
        if not self._lease and not wanted:
            return
        await self._renew()
        for pool in self._held.keys() - wanted:
            await self._release(pool)
        claims = [
            pool
            for pool in sorted(wanted - self._held.keys())
            if self._claim_at.get(pool, float("-inf")) <= self._now()
        ]
        for pool in claims[:CLAIMS_PER_STEP]:
            await self._claim(pool)

    async def _renew(self) -> None:
        """Renews the lease if that is due, or is granted a new one.

        Raises:
            StoreError: If the store could not serve the call.
        """
        started_at = self._now()
        if self._lease and started_at < self._renew_at:
            return
        if self._lease and not await self._client.renew_lease(self._lease):
            loguru.logger.info("lease lapsed; {} pools", len(self._held))
            self._drop()
        if not self._lease:
            started_at = self._now()
            self._lease = await self._client.grant_lease(TTL_SECONDS)
        self._deadline = started_at + TTL_SECONDS - MARGIN_SECONDS
        self._renew_at = started_at + RENEW_SECONDS

    def _drop(self) -> None:
        """Forgets the lease and all that was bound to it."""
        self._lease = 0
        self._deadline = float("-inf")
        self._held.clear()
        self._claim_at.clear()

    def _value(self) -> bytes:
        """Returns what this agent writes under the pools that it holds."""
        return f"{self._holder}/{self._lease}".encode()

    async def _claim(self, pool: str) -> None:
        """Takes a pool unless another agent holds it.

        Raises:
            StoreError: If the store could not serve the call; if the write
                took effect nevertheless, the next step finds it.
        """
        key = self._prefix + pool
        if await self._client.create(key, self._value(), self._lease):
            self._held[pool] = self._now()
            return
        entry = await self._client.read(key)
        if entry is not None and entry.value == self._value():
            self._held[pool] = self._now()
        else:
            self._claim_at[pool] = self._now() + RENEW_SECONDS

    async def _release(self, pool: str) -> None:
        """Gives up a pool; from here on it is not acted on.

        Raises:
            StoreError: If the store could not serve the call; the key then
                ends with the lease.
        """
        self._held.pop(pool, None)
        await self._client.remove_if(self._prefix + pool, self._value())

    async def stop(self) -> None:
        """Gives up everything at once, so that others need not wait."""
        lease = self._lease
        self._drop()
        if lease:
            try:
                await self._client.revoke_lease(lease)
            except errors.StoreError as error:
                loguru.logger.info("lease left to lapse: {}", error)
