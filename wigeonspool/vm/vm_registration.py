"""Keeps this VM registered in the store, under a lease."""

import asyncio
from collections.abc import Callable, Mapping
import math
from typing import Final, Protocol

from wigeonspool import failure_logs
from wigeonspool.gateway import pauses
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import key_values
from wigeonspool.vm import structured_log

# Other VMs detect an unresponsive VM by pings. The lease only removes the
# entries of VMs that have stopped for good.
LEASE_SECONDS: Final = 12.0
RENEW_INTERVAL_SECONDS: Final = 4.0
# Interval at which an active feeder renews its lease. It must detect soon that
# it lost the store, and a connection that drops packets shows only by calls
# without a reply; renewals are the cheapest calls.
CHECK_INTERVAL_SECONDS: Final = 0.5
# Time from a failed renewal to the next; not shorter, since each call is paid,
# even if it fails.
RETRY_SECONDS: Final = 2.0
# A slow store takes a quarter of a second to reply.
RENEW_TIMEOUT_SECONDS: Final = 0.6

log = structured_log.get_logger("store")


class LeaseStore(Protocol):
    """The store calls that a registration needs."""

    async def grant(self, seconds: float) -> key_values.GrantedLease:
        """Returns a new lease that lasts some seconds."""

    async def renew(self, lease: int, seconds: float) -> int:
        """Renews a lease; returns the era of the store.

        Waits some seconds for the reply of the store.
        """

    async def write_all(
        self, values: Mapping[str, bytes | None], lease: int = 0
    ) -> key_values.WriteResult:
        """Writes keys under a lease, or removes them."""


class VmRegistration:
    """Writes the entry of this VM to the store and renews its lease.

    A lease belongs to the era of the store in which it was granted. After a
    restore its ID may belong to another VM, so it is not used in a newer era.
    """

    def __init__(
        self,
        store: LeaseStore,
        entry: fleet.VmEntry,
        encode_entry: Callable[[fleet.VmEntry], tuple[str, bytes]],
        is_active_feeder: Callable[[], bool],
        on_store_lost: Callable[[], None],
        min_lease_seconds: float = 0.0,
        find_suspended_seconds: Callable[[], float] = (
            pauses.read_suspended_seconds
        ),
    ) -> None:
        """Creates a registration without a lease.

        Args:
            store: The store.
            entry: Entry to register.
            encode_entry: Returns the key and the value of an entry.
            is_active_feeder: Returns True while other VMs receive the changes
                of the store from this one.
            on_store_lost: Called when a call to the store failed.
            min_lease_seconds: Shortest lease that the store grants.
            find_suspended_seconds: Returns for how long the machine has been
                suspended; the clock of the loop does not count that time.
        """
        self._lease_end = -math.inf
        self._suspended_seconds = 0.0
        self._find_suspended_seconds = find_suspended_seconds
        self._store = store
        self._entry = entry
        self._encode_entry = encode_entry
        self._is_active_feeder = is_active_feeder
        self._on_store_lost = on_store_lost
        self._lease_seconds = max(LEASE_SECONDS, min_lease_seconds)
        self._lease = 0
        self._lease_era = 0
        # Newest era of the store that is known.
        self._required_era = 0
        self._renew_at = 0.0
        self._failures = failure_logs.FailureLog("registration")

    @property
    def registered_until(self) -> float:
        """Time until which the store keeps the entry, loop clock.

        It is earlier by the time for which the machine was suspended since the
        last renewal.
        """
        suspended = self._find_suspended_seconds() - self._suspended_seconds
        # The two clocks are not read at the same moment.
        return self._lease_end - max(0.0, suspended)

    @property
    def lease(self) -> int:
        """Lease of this VM, or 0 if it is not registered."""
        return self._lease

    async def write_keys(self, values: Mapping[str, bytes | None]) -> int:
        """Writes keys that expire with the lease of this VM, or removes keys.

        Args:
            values: New value of each key, or None to remove it.

        Returns:
            Store revision that wrote them.

        Raises:
            EraChangedError: If the store began a new era. The keys may have
                been written under a lease of another VM.
            StoreError: If this VM is not registered, or the store could not
                serve the call.
        """
        if not self._lease:
            raise errors.StoreUnavailableError("write", "VM is not registered")
        era = self._lease_era
        written = await self._store.write_all(values, self._lease)
        self.require_era(written.era)
        _check_era(era, written.era)
        if self._required_era > era:
            raise errors.EraChangedError(era, self._required_era)
        return written.revision

    async def keep_registered(
        self,
        previous_entry: fleet.VmEntry | None,
        lease: int,
        era: int = 0,
    ) -> None:
        """Registers this VM and renews its lease until it is cancelled.

        Args:
            previous_entry: Entry of an earlier incarnation of this VM, or None.
                If it is equal to the current entry, its lease is reused.
            lease: Lease of the previous entry.
            era: Era of the store in which the previous entry was read.
        """
        if previous_entry == self._entry and era >= self._required_era:
            self._lease = lease
            self._lease_era = era
        loop = asyncio.get_running_loop()
        while True:
            if loop.time() >= self._renew_at or self._is_active_feeder():
                self._renew_at = float("inf")
                delay = await self._renew()
                self._renew_at = min(self._renew_at, loop.time() + delay)
            await asyncio.sleep(CHECK_INTERVAL_SECONDS)

    def register_again(self) -> None:
        """Registers this VM again, since its entry was removed."""
        self._end_registration()
        self._renew_at = 0.0

    def require_era(self, era: int) -> None:
        """Registers this VM again if its lease is of an older era.

        Args:
            era: An era that the store had.
        """
        self._required_era = max(era, self._required_era)
        if self._lease and era > self._lease_era:
            log.info(
                "registration of an older era",
                lease=self._lease,
                old=self._lease_era,
                era=era,
            )
            self.register_again()

    def _end_registration(self) -> None:
        """Drops the lease, which has ended or belongs to an older era."""
        self._lease = 0
        self._lease_end = -math.inf

    async def _renew(self) -> float:
        """Renews the registration; returns the seconds to the next renewal."""
        try:
            await self._renew_or_register()
        except (errors.LeaseEndedError, errors.EraChangedError) as error:
            self._failures.record(error)
            self._end_registration()
            return 0.0
        except Exception as error:
            # Not only errors of the store: an unforeseen reply must not end
            # the registration.
            self._failures.record(error)
            self._on_store_lost()
            return RETRY_SECONDS
        self._failures.record_recovery()
        return RENEW_INTERVAL_SECONDS

    async def _renew_or_register(self) -> None:
        """Renews the lease, or gets one and writes the entry under it.

        Raises:
            LeaseEndedError: If the lease has expired.
            EraChangedError: If the lease was granted in an older era.
            StoreError: If the store could not serve a call.
        """
        # The lease begins when the call reaches the store.
        lease_end = asyncio.get_running_loop().time() + self._lease_seconds
        suspended_seconds = self._find_suspended_seconds()
        if self._lease:
            lease, lease_era = self._lease, self._lease_era
            era = await self._store.renew(lease, RENEW_TIMEOUT_SECONDS)
            self.require_era(era)
            _check_era(lease_era, era)
            if (self._lease, self._lease_era) != (lease, lease_era):
                # It was dropped during the call.
                return
        else:
            granted = await self._store.grant(self._lease_seconds)
            key, value = self._encode_entry(self._entry)
            written = await self._store.write_all({key: value}, granted.lease)
            self.require_era(written.era)
            _check_era(granted.era, written.era)
            if self._required_era > granted.era:
                raise errors.EraChangedError(granted.era, self._required_era)
            self._lease, self._lease_era = granted.lease, granted.era
        self._lease_end = lease_end
        self._suspended_seconds = suspended_seconds


def _check_era(lease_era: int, era: int) -> None:
    """Checks that a reply has the era in which a lease was granted.

    Raises:
        EraChangedError: If it has a newer era.
        StoreUnavailableError: If it has an older era. The lease may still be
            valid, but was not renewed.
    """
    if era > lease_era:
        raise errors.EraChangedError(lease_era, era)
    if era < lease_era:
        raise errors.StoreUnavailableError("lease", "reply has an older era")
