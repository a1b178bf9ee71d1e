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
RETRY_SECONDS: Final = 0.5


class Registry(Protocol):
    """The calls of the store that a registration needs."""

    async def grant(self, seconds: float) -> int:
        """Returns a new lease."""

    async def renew(self, lease: int) -> None:
        """Renews a lease."""

    async def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key under a lease; returns its revision."""


class Registration:
    """Keeps the entry of this VM in the store."""

    def __init__(
        self,
        registry: Registry,
        entry: fleet.VmEntry,
        encode: Callable[[fleet.VmEntry], tuple[str, bytes]],
    ) -> None:
        """Prepares a registration.

        Args:
            registry: The store.
            entry: What to register.
            encode: Returns key and value of an entry.
        """
        self._registry = registry
        self._entry = entry
        self._encode = encode
        self._lease = 0
        self._failures = failures.FailureLog("registration")

    async def keep(self, held: fleet.VmEntry | None, lease: int) -> None:
        """Registers this VM and renews its lease, for ever.

        Args:
            held: Entry of an earlier run of this VM, if there is one.
            lease: Lease that holds it.
        """
        if held == self._entry:
            self._lease = lease
        while True:
            try:
                await self._step()
                seconds = RENEW_SECONDS
                self._failures.clear()
            except errors.LeaseEndedError as error:
                self._failures.note(error)
                self._lease = 0
                seconds = 0.0
            except errors.StoreError as error:
                self._failures.note(error)
                seconds = RETRY_SECONDS
            await asyncio.sleep(seconds)

    async def _step(self) -> None:
        """Renews the lease, or takes one and writes the entry under it.

        Raises:
            StoreError: If the store could not serve a call.
        """
        if self._lease:
            await self._registry.renew(self._lease)
            return
        lease = await self._registry.grant(LEASE_SECONDS)
        key, value = self._encode(self._entry)
        await self._registry.write(key, value, lease)
        self._lease = lease
