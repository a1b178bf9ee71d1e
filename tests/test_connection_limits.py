"""Tests of the connections that all VMs together keep to one target."""

import pytest

from tests import fleet
from tests import vm_fleet
from wigeonspool.core import connection_limits


class TestIdleLimit:
    """Guards against a limit for all VMs that each VM may use up alone."""

    # Failure: each VM kept up to eight idle connections, so that 133 VMs held
    # more than the 1,060 that a target accepts.
    @pytest.mark.parametrize("vms", [1, 14, 126, 133, 500, 795])
    @pytest.mark.parametrize("max_connections", [1060, 8192])
    def test_all_vms_together_leave_room(
        self, vms: int, max_connections: int
    ) -> None:
        limit = connection_limits.find_idle_limit([max_connections, 0], vms)
        assert limit >= 1
        assert vms * limit < max_connections

    def test_smallest_known_limit_counts(self) -> None:
        assert connection_limits.find_idle_limit([0, 100, 40], 10) == 3

    def test_limit_is_bounded_without_a_known_number(self) -> None:
        limit = connection_limits.find_idle_limit([0, 0], 10)
        assert limit == connection_limits.MAX_IDLE_PER_TARGET

    async def test_vm_follows_the_number_of_registered_vms(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.configure(vms.build_default_rules(), max_connections=8)
        vm = await vms.start_vm("vm-1")
        pool = vm._channel_pool
        await fleet.wait_for(lambda: pool.max_idle_per_target == 6)
        await vms.start_vm("vm-2")
        await fleet.wait_for(lambda: pool.max_idle_per_target == 3)
