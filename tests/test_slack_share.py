"""Tests of the share of the retry slack that a VM holds."""

import asyncio
from collections.abc import Mapping

from tests import vm_fleet
from wigeonspool.load import virtual_loop
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import key_values
from wigeonspool.vm import vm_registration

ENTRY = fleet.VmEntry("vm-1", "north", "zone-a", "a", "p", 1.0)


class LeaseStoreFake:
    """A store that grants leases, unless it fails.

    Attributes:
        error: Raised by each call, or None.
    """

    def __init__(self) -> None:
        self.error: errors.StoreError | None = None

    async def grant(self, seconds: float) -> key_values.GrantedLease:
        self._check()
        return key_values.GrantedLease(1)

    async def renew(self, lease: int, seconds: float) -> int:
        # The reply takes a second.
        await asyncio.sleep(1.0)
        self._check()
        return 0

    async def write_all(
        self, values: Mapping[str, bytes | None], lease: int = 0
    ) -> key_values.WriteResult:
        self._check()
        return key_values.WriteResult(1)

    def _check(self) -> None:
        if self.error is not None:
            raise self.error


async def keep_registered(
    error: errors.StoreError | None, seconds: float
) -> float:
    """Returns the time left of a registration some seconds after an error."""
    store = LeaseStoreFake()
    registration = vm_registration.VmRegistration(
        store,
        ENTRY,
        lambda entry: (entry.name, b""),
        lambda: False,
        lambda: None,
        # Time is virtual here; the real clocks would add to it.
        find_suspended_seconds=lambda: 0.0,
    )
    task = asyncio.create_task(registration.keep_registered(None, 0))
    await asyncio.sleep(10.0)
    store.error = error
    await asyncio.sleep(seconds)
    task.cancel()
    return registration.registered_until - asyncio.get_running_loop().time()


class TestRegistration:
    """Guards against a VM that uses slack that another VM holds by now."""

    def test_renewals_extend_it(self) -> None:
        left = virtual_loop.run(keep_registered(None, 30.0))
        renewal = vm_registration.RENEW_INTERVAL_SECONDS + 2.0
        lease = vm_registration.LEASE_SECONDS
        assert lease - renewal <= left <= lease

    def test_it_ends_with_the_last_lease(self) -> None:
        error = errors.StoreUnavailableError("/v1/kv-keep", "no reply")
        left = virtual_loop.run(
            keep_registered(error, vm_registration.LEASE_SECONDS)
        )
        assert left < 0

    def test_it_ends_once_the_store_has_ended_the_lease(self) -> None:
        error = errors.LeaseEndedError(1)
        left = virtual_loop.run(keep_registered(error, 6.0))
        assert left < 0


class TestSuspension:
    """A suspended machine, whose clock of the event loop stood still."""

    # Guards against a VM that uses slack after its lease ran out while its
    # machine was suspended.
    def test_registration_ends_during_a_long_suspension(self) -> None:
        lease = vm_registration.LEASE_SECONDS
        left = virtual_loop.run(self.suspend(lease))
        assert left < 0

    # Guards against a VM that gives up its share after a short suspension.
    def test_short_suspension_shortens_the_registration(self) -> None:
        lease = vm_registration.LEASE_SECONDS
        suspended = lease / 4
        left = virtual_loop.run(self.suspend(suspended))
        renewal = vm_registration.RENEW_INTERVAL_SECONDS + 2.0
        assert lease - suspended - renewal <= left <= lease - suspended

    # Guards against a suspension that counts on after the next renewal.
    def test_renewal_after_a_suspension_counts_in_full(self) -> None:
        left = virtual_loop.run(self.suspend(1000.0, then_seconds=10.0))
        assert left > 0

    async def suspend(self, seconds: float, then_seconds: float = 0.0) -> float:
        """Returns the time left of a registration after a suspension."""
        suspended = 0.0
        registration = vm_registration.VmRegistration(
            LeaseStoreFake(),
            ENTRY,
            lambda entry: (entry.name, b""),
            lambda: False,
            lambda: None,
            find_suspended_seconds=lambda: suspended,
        )
        task = asyncio.create_task(registration.keep_registered(None, 0))
        await asyncio.sleep(10.0)
        suspended = seconds
        await asyncio.sleep(then_seconds)
        task.cancel()
        now = asyncio.get_running_loop().time()
        return registration.registered_until - now


class TestShares:
    async def test_first_two_vms_of_a_zone_hold_slack(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        started = [await vms.start_vm(f"vm-{n}") for n in range(1, 4)]
        await vms.start_vm("vm-4", zone="zone-b")
        names = {f"vm-{n}" for n in range(1, 5)}
        for vm in started:
            await vms.wait_until_listed(vm, names)
            vm._slack_share.update()
        shares = sorted(vm._slack_share.share for vm in started)
        share = 1 / (2 * len(vm_fleet.ZONES))
        assert shares == [0.0, share, share]
