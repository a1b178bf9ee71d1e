"""Registers this VM in the store, under a lease."""

import asyncio
from collections.abc import Callable
from typing import Final, Protocol

from wigeonspool import failure_logs
from wigeonspool.model import errors
from wigeonspool.model import fleet

# Others find out by themselves that a VM is silent; the lease only clears up
# after VMs that are gone for good.
LEASE_SECONDS: Final = 12.0
RENEW_INTERVAL_SECONDS: Final = 4.0
# A VM that others follow must know soon that it lost the store: a silent cut
# shows only in calls without an answer, and renewals are the cheapest ones.
CHECK_INTERVAL_SECONDS: Final = 0.5
# Each call is paid, also one that fails.
RETRY_SECONDS: Final = 2.0
# A slow store takes a quarter of a second.
RENEW_TIMEOUT_SECONDS: Final = 0.6


class LeaseStore(Protocol):
    """The calls of the store that a registration needs."""

    async def grant(self, seconds: float) -> int:
        """Returns a new lease."""

    async def renew(self, lease: int, seconds: float) -> None:
        """Renews a lease, if the store answers in some seconds."""

    async def write(self, key: str, value: bytes, lease: int = 0) -> int:
        """Writes a key under a lease; returns its revision."""


class VmRegistration:
    """Keeps the entry of this VM in the store."""

    def __init__(
        self,
        store: LeaseStore,
        entry: fleet.VmEntry,
        encode: Callable[[fleet.VmEntry], tuple[str, bytes]],
        is_source: Callable[[], bool],
        on_store_lost: Callable[[], None],
        min_lease_seconds: float = 0.0,
    ) -> None:
        """Prepares a registration.

        Args:
            store: The store.
            entry: What to register.
            encode: Returns key and value of an entry.
            is_source: Returns True while other VMs rely on this one for what
                the store tells.
            on_store_lost: Called when the store did not answer.
            min_lease_seconds: Shortest lease that the store grants.
        """
        self._store = store
        self._entry = entry
        self._encode = encode
        self._is_source = is_source
        self._on_store_lost = on_store_lost
        self._lease_seconds = max(LEASE_SECONDS, min_lease_seconds)
        self._lease = 0
        self._renew_at = 0.0
        self._failures = failure_logs.FailureLog("registration")

    async def write_key(self, key: str) -> None:
        """Writes a key that lasts as long as the registration."""
        if not self._lease:
            return
        try:
            await self._store.write(key, b"", self._lease)
        except errors.StoreError as error:
            self._failures.record(error)

    async def keep_registered(
        self, previous_entry: fleet.VmEntry | None, lease: int
    ) -> None:
        """Registers this VM and renews its lease, for ever.

        Args:
            previous_entry: Entry of an earlier run of this VM, if there is one.
            lease: Lease that holds it.
        """
        if previous_entry == self._entry:
            self._lease = lease
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= self._renew_at or self._is_source():
                self._renew_at = float("inf")
                seconds = await self._renew()
                self._renew_at = min(self._renew_at, loop.time() + seconds)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def register_again(self) -> None:
        """Registers this VM anew, since its entry is gone from the store."""
        self._lease = 0
        self._renew_at = 0.0

    async def _renew(self) -> float:
        """Renews the registration; returns after how long to do it again."""
        try:
            await self._renew_or_register()
        except errors.LeaseEndedError as error:
            self._failures.record(error)
            self._lease = 0
            return 0.0
        except errors.StoreError as error:
            self._failures.record(error)
            self._on_store_lost()
            return RETRY_SECONDS
        self._failures.record_recovery()
        return RENEW_INTERVAL_SECONDS

    async def _renew_or_register(self) -> None:
        """Renews the lease, or takes one and writes the entry under it.

        Raises:
            StoreError: If the store could not serve a call.
        """
        if self._lease:
            await self._store.renew(self._lease, RENEW_TIMEOUT_SECONDS)
            return
        lease = await self._store.grant(self._lease_seconds)
        key, value = self._encode(self._entry)
        await self._store.write(key, value, lease)
        self._lease = lease
