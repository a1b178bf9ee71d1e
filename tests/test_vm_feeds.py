"""How entry VMs learn: from the store, from each other, after outages."""

import asyncio
import dataclasses

from tests import fleet
from tests import vm_fleet
from wigeonspool.vm import service


def find_watchers(vms: vm_fleet.VmFleet) -> list[str]:
    """Returns the VMs that follow the store themselves."""
    return [name for name, vm in vms.vms.items() if vm._should_follow_store()]


def knows(vm: service.VmService, identity: str) -> bool:
    """Returns True if a VM knows a target."""
    return identity in vm._cluster.targets


class TestFeeds:
    async def test_one_vm_of_a_region_watches_for_all(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number in range(4):
            await vms.start_vm(f"vm-{number}")
        await fleet.wait_for(lambda: len(find_watchers(vms)) == 1)
        # What the others began to wait for before ends by itself.
        await asyncio.sleep(3.2)
        calls = vms.store.calls["kv-watch"]
        await vms.start_target("t-5", "reads", "zone-a")
        await fleet.wait_for(
            lambda: all(knows(vm, "t-5") for vm in vms.vms.values())
        )
        assert vms.store.calls["kv-watch"] - calls <= 3

    async def test_followers_find_another_when_theirs_dies(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number in range(4):
            await vms.start_vm(f"vm-{number}")
        await fleet.wait_for(lambda: len(find_watchers(vms)) == 1)
        await vms.kill_vm(find_watchers(vms)[0])
        await vms.start_target("t-5", "reads", "zone-a")
        await fleet.wait_for(
            lambda: all(knows(vm, "t-5") for vm in vms.vms.values())
        )

    async def test_gone_target_is_gone_for_followers(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number in range(3):
            await vms.start_vm(f"vm-{number}")
        await fleet.wait_for(lambda: len(find_watchers(vms)) == 1)
        await vms.store.put("servers/t-1", None)
        await fleet.wait_for(
            lambda: not any(knows(vm, "t-1") for vm in vms.vms.values())
        )


class TestOutages:
    async def test_requests_are_served_while_the_store_is_away(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.store.faults.down = True
        await vms.store._notify()
        await asyncio.sleep(0.5)
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
        vms.store.faults.down = False
        version = await vms.configure([])
        known = vms.vms["vm-1"]._cluster
        await fleet.wait_for(
            lambda: (
                known.configuration is not None
                and known.configuration.version == version
            )
        )

    async def test_lapsed_entry_is_used_until_it_should_be_back(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.store.faults.down = True
        await vms.store._notify()
        for identity in vms.targets:
            await vms.store.put(f"servers/{identity}", None)
        await asyncio.sleep(1.0)
        vms.store.faults.down = False
        await fleet.wait_for(
            lambda: vm._cluster.targets["t-1"].suspect_until > 0
        )
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
        await vms.register("t-1")
        await fleet.wait_for(lambda: not knows(vm, "t-2"))
        assert knows(vm, "t-1")

    async def test_lost_history_is_read_anew(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.store.faults.silent_watches = True
        await vms.store.put("servers/t-1", None)
        await vms.start_target("t-5", "reads", "zone-a")
        vms.store.faults.silent_watches = False
        await vms.store.compact()
        await fleet.wait_for(lambda: knows(vm, "t-5"))
        assert not knows(vm, "t-1")

    async def test_vm_that_starts_without_the_store_learns_from_a_seed(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        first = vms.settings["vm-1"]
        vms.store.faults.down = True
        await vms.store._notify()
        # Ports are the same on all VMs of a deployment.
        vms.settings["vm-2"] = dataclasses.replace(
            vm_fleet.build_boot("vm-2", "zone-a", vms.store_address),
            ip="127.0.0.2",
            first_free_port=first.first_free_port,
            seeds=(f"{first.ip}:1",),
        )
        await vms.start_vm("vm-2")
        assert (await vms.send("vm-2", "/read/1"))[0] == 200

    async def test_vm_that_is_turned_away_learns_from_another(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        late = await vms.start_vm("vm-2")
        watcher, follower = "vm-1", "vm-2"
        await fleet.wait_for(lambda: len(find_watchers(vms)) == 1)
        if find_watchers(vms) == ["vm-2"]:
            watcher, follower = follower, watcher
            late = vms.vms[follower]
        assert late._feed_client.is_fresh()
        late._store._url = "http://127.0.0.1:9"
        await vms.start_target("t-5", "reads", "zone-a")
        await fleet.wait_for(lambda: knows(vms.vms[follower], "t-5"))

    async def test_entry_that_was_taken_away_is_written_anew(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        records = vms.store.records
        await fleet.wait_for(lambda: b"vms/vm-1" in records)
        await vms.store._end_lease(records[b"vms/vm-1"].lease)
        assert b"vms/vm-1" not in records
        await fleet.wait_for(lambda: b"vms/vm-1" in records)
        # The lease may stand though its key is gone.
        await vms.store.put("vms/vm-1", None)
        await fleet.wait_for(lambda: b"vms/vm-1" in records)

    async def test_restart_keeps_the_registration(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        await fleet.wait_for(lambda: b"vms/vm-1" in vms.store.records)
        entry = vms.store.records[b"vms/vm-1"]
        await vms.kill_vm("vm-1")
        vm = await vms.start_vm("vm-1")
        await fleet.wait_for(lambda: vm._registration._lease > 0)
        assert vm._registration._lease == entry.lease
        assert vms.store.records[b"vms/vm-1"] is entry


class TestLostFeeders:
    """Pattern: the VMs that all others follow lose the store together."""

    async def test_silent_cut_of_a_feeder_delays_nothing(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number in range(4):
            await vms.start_vm(f"vm-{number}")
        await fleet.wait_for(lambda: len(find_watchers(vms)) == 1)
        (lost,) = find_watchers(vms)
        await fleet.wait_for(
            lambda: len(vms.vms[lost]._feeder.subscribers) == 3
        )
        vms.links[lost].open.clear()
        version = await vms.configure([])
        others = [vm for name, vm in vms.vms.items() if name != lost]

        def is_in_force() -> bool:
            found = [vm._cluster.configuration for vm in others]
            return all(c is not None and c.version == version for c in found)

        await fleet.wait_for(is_in_force, vm_fleet.APPLY_SECONDS)

    async def test_followers_go_to_the_store_themselves(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number, zone in enumerate(("zone-a", "zone-c") * 3):
            await vms.start_vm(f"vm-{number}", zone)
        await fleet.wait_for(lambda: len(find_watchers(vms)) == 2)
        lost = find_watchers(vms)
        for name in lost:
            vms.vms[name]._store._url = "http://127.0.0.1:9"
        vms.store.faults.down = True
        await vms.store._notify()
        await asyncio.sleep(0.3)
        vms.store.faults.down = False
        # They follow each other now, and none of them hears of the store.
        await asyncio.sleep(0.5)
        version = await vms.configure([])
        others = [vm for name, vm in vms.vms.items() if name not in lost]

        def is_in_force() -> bool:
            found = [vm._cluster.configuration for vm in others]
            return all(c is not None and c.version == version for c in found)

        await fleet.wait_for(is_in_force, vm_fleet.APPLY_SECONDS)

    async def test_vm_without_the_store_is_no_source(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        await fleet.wait_for(lambda: vm._follower.find_synced_at() > 0)
        vm._store._url = "http://127.0.0.1:9"
        vms.store.faults.down = True
        await vms.store._notify()
        await fleet.wait_for(lambda: vm._follower.find_synced_at() < 0)
