"""Tests of a store that is restored from an older copy of its state."""

import asyncio

from tests import fleet
from tests import vm_fleet
from wigeonspool.platform.standin import target as targets

RESTORE_SECONDS = 5.0


def count_runs(*used: targets.PlatformTarget) -> int:
    """Returns how many requests some targets ran."""
    return sum(len(target.runs) for target in used)


class TestRemovedTargets:
    # Guards against requests to a target that was removed after the store was
    # restored, at a revision that is lower than that of the VM.
    async def test_target_removed_in_the_new_era_gets_no_requests(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        await asyncio.sleep(RESTORE_SECONDS)
        # Raises the revision of the VM above those of the new era.
        for _ in range(20):
            await vms.store.put("status/x", b"")
        revision = vms.store.revision
        await fleet.wait_for(lambda: vm._replica.revision == revision)
        await vms.store.restore(RESTORE_SECONDS)
        await vms.store.put("servers/t-1", None)
        assert vms.store.revision < revision
        await fleet.wait_for(lambda: "t-1" not in vm._cluster.targets, 4.0)
        arrived = count_runs(vms.targets["t-1"])
        for number in range(20):
            assert (await vms.send("vm-1", f"/read/{number}"))[0] == 200
        assert count_runs(vms.targets["t-1"]) == arrived
