"""Registers this VM in the store, under a lease."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from wigeonspool import failures
from wigeonspool.model import errors
from wigeonspool.model import fleet

# Others find out by themselves that a VM is silent; the lease only clears up
# after VMs that are gone for good.
LEASE_SECONDS: Final = 12.0
RENEW_SECONDS: Final = 4.0
# A VM that others follow must know soon that it lost the store: a silent cut
# shows only in calls without an answer, and renewals are the cheapest ones.
CHECK_SECONDS: Final = 0.5
# Each call is paid, also one that fails.
RETRY_SECONDS: Final = 2.0
# A slow store takes a quarter of a second.
ANSWER_SECONDS: Final = 0.6


class Registry(Protocol):
    """The calls of the store that a registration needs."""

    async def grant(self, seconds: float) -> int:
        """Returns a new lease."""

    async def renew(self, lease: int, seconds: float) -> None:
        """Renews a lease, if the store answers in some seconds."""

    async def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key under a lease; returns its revision."""


class Registration:
    """Keeps the entry of this VM in the store."""

    def __init__(
        self,
        registry: Registry,
        entry: fleet.VmEntry,
        encode: Callable[[fleet.VmEntry], tuple[str, bytes]],
        is_source: Callable[[], bool],
        on_lost: Callable[[], None],
        least_lease_seconds: float = 0.0,
    ) -> None:
        """Prepares a registration.

        Args:
            registry: The store.
            entry: What to register.
            encode: Returns key and value of an entry.
            is_source: Returns True while other VMs rely on this one for what
                the store tells.
            on_lost: Called when the store did not answer.
            least_lease_seconds: Shortest lease that the store grants.
        """
        self._registry = registry
        self._entry = entry
        self._encode = encode
        self._is_source = is_source
        self._on_lost = on_lost
        self._seconds = max(LEASE_SECONDS, least_lease_seconds)
        self._lease = 0
        self._renew_at = 0.0
        self._failures = failures.FailureLog("registration")

    async def tell(self, key: str) -> None:
        """Writes a key that lasts as long as the registration."""
        if not self._lease:
            return
        try:
            await self._registry.write(key, b"", self._lease)
        except errors.StoreError as error:
            self._failures.note(error)

    async def keep(self, held: fleet.VmEntry | None, lease: int) -> None:
        """Registers this VM and renews its lease, for ever.

        Args:
            held: Entry of an earlier run of this VM, if there is one.
            lease: Lease that holds it.
        """
        if held == self._entry:
            self._lease = lease
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= self._renew_at or self._is_source():
                self._renew_at = float("inf")
                seconds = await self._renew()
                self._renew_at = min(self._renew_at, loop.time() + seconds)
            await asyncio.sleep(CHECK_SECONDS)

    def note_lost(self) -> None:
        """Registers this VM anew, since its entry is gone from the store."""
        self._lease = 0
        self._renew_at = 0.0

    async def _renew(self) -> float:
        """Renews the registration; returns after how long to do it again."""
        try:
            await self._step()
        except errors.LeaseEndedError as error:
            self._failures.note(error)
            self._lease = 0
            return 0.0
        except errors.StoreError as error:
            self._failures.note(error)
            self._on_lost()
            return RETRY_SECONDS
        self._failures.clear()
        return RENEW_SECONDS

    async def _step(self) -> None:
        """Renews the lease, or takes one and writes the entry under it.

        Raises:
            StoreError: If the store could not serve a call.
        """
        if self._lease:
            await self._registry.renew(self._lease, ANSWER_SECONDS)
            return
        lease = await self._registry.grant(self._seconds)
        key, value = self._encode(self._entry)
        await self._registry.write(key, value, lease)
        self._lease = lease
