"""Tests how entry VMs get the cluster state from the store or each other."""

import asyncio
import dataclasses

import pytest

from tests import fleet
from tests import vm_fleet
from wigeonspool.platform.standin import store as stores
from wigeonspool.vm import feed_server
from wigeonspool.vm import service


def find_store_followers(vms: vm_fleet.VmFleet) -> list[str]:
    """Returns the VMs that follow the store themselves."""
    return [name for name, vm in vms.vms.items() if vm._should_follow_store()]


def has_target(vm: service.VmService, identity: str) -> bool:
    """Returns True if the cluster state of a VM has a target."""
    return identity in vm._cluster.targets


class TestFeeds:
    async def test_one_vm_of_a_region_watches_the_store(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number in range(4):
            await vms.start_vm(f"vm-{number}")
        await fleet.wait_for(lambda: len(find_store_followers(vms)) == 1)
        # Watches that the other VMs started before end within this time.
        await asyncio.sleep(3.2)
        calls = vms.store.calls["kv-watch"]
        await vms.start_target("t-5", "reads", "zone-a")
        await fleet.wait_for(
            lambda: all(has_target(vm, "t-5") for vm in vms.vms.values())
        )
        assert vms.store.calls["kv-watch"] - calls <= 3

    async def test_followers_change_the_feeder_if_it_stops(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number in range(4):
            await vms.start_vm(f"vm-{number}")
        await fleet.wait_for(lambda: len(find_store_followers(vms)) == 1)
        await vms.kill_vm(find_store_followers(vms)[0])
        await vms.start_target("t-5", "reads", "zone-a")
        await fleet.wait_for(
            lambda: all(has_target(vm, "t-5") for vm in vms.vms.values())
        )

    async def test_removed_target_is_removed_at_followers(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number in range(3):
            await vms.start_vm(f"vm-{number}")
        await fleet.wait_for(lambda: len(find_store_followers(vms)) == 1)
        await vms.store.put("servers/t-1", None)
        await fleet.wait_for(
            lambda: not any(has_target(vm, "t-1") for vm in vms.vms.values())
        )


class TestOutages:
    async def test_requests_are_served_while_the_store_is_down(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.store.faults.down = True
        await vms.store._notify()
        await asyncio.sleep(0.5)
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
        vms.store.faults.down = False
        version = await vms.configure([])
        cluster = vms.vms["vm-1"]._cluster
        await fleet.wait_for(
            lambda: (
                cluster.configuration is not None
                and cluster.configuration.version == version
            )
        )

    async def test_expired_entry_is_used_until_the_target_should_be_back(
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
        await fleet.wait_for(lambda: not has_target(vm, "t-2"))
        assert has_target(vm, "t-1")

    async def test_all_keys_are_read_again_after_a_compaction(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        vms.store.faults.silent_watches = True
        await vms.store.put("servers/t-1", None)
        await vms.start_target("t-5", "reads", "zone-a")
        vms.store.faults.silent_watches = False
        await vms.store.compact()
        await fleet.wait_for(lambda: has_target(vm, "t-5"))
        assert not has_target(vm, "t-1")

    async def test_vm_that_starts_without_the_store_follows_a_seed(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        seed = vms.settings["vm-1"]
        vms.store.faults.down = True
        await vms.store._notify()
        # All VMs of a deployment use the same port.
        vms.settings["vm-2"] = dataclasses.replace(
            vm_fleet.build_settings("vm-2", "zone-a", vms.store_address),
            ip="127.0.0.2",
            first_free_port=seed.first_free_port,
            seeds=(f"{seed.ip}:1",),
        )
        await vms.start_vm("vm-2")
        assert (await vms.send("vm-2", "/read/1"))[0] == 200

    async def test_vm_that_cannot_reach_the_store_follows_another_vm(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        follower_vm = await vms.start_vm("vm-2")
        feeder, follower = "vm-1", "vm-2"
        await fleet.wait_for(lambda: len(find_store_followers(vms)) == 1)
        if find_store_followers(vms) == ["vm-2"]:
            feeder, follower = follower, feeder
            follower_vm = vms.vms[follower]
        assert follower_vm._feed_client.is_fresh()
        follower_vm._store._url = "http://127.0.0.1:9"
        await vms.start_target("t-5", "reads", "zone-a")
        await fleet.wait_for(lambda: has_target(vms.vms[follower], "t-5"))

    async def test_removed_entry_of_a_vm_is_written_again(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        records = vms.store.records
        await fleet.wait_for(lambda: b"vms/vm-1" in records)
        await vms.store._end_lease(records[b"vms/vm-1"].lease)
        assert b"vms/vm-1" not in records
        await fleet.wait_for(lambda: b"vms/vm-1" in records)
        # A key may be removed while its lease is still valid.
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


class TestStaleReads:
    """Replies to stale reads show an older state of the store."""

    async def start_follower(
        self, vms: vm_fleet.VmFleet, delay_ms: float
    ) -> service.VmService:
        """Starts vm-2, which can reach vm-1 before it has read the store."""
        seed = vms.settings["vm-1"]
        # All VMs of a deployment use the same port.
        vms.settings["vm-2"] = dataclasses.replace(
            vm_fleet.build_settings("vm-2", "zone-a", vms.store_address),
            ip="127.0.0.2",
            first_free_port=seed.first_free_port,
            seeds=(f"{seed.ip}:1",),
        )
        vms.store.faults.delay_ms = delay_ms
        follower = await vms.start_vm("vm-2", wait=False)
        await fleet.wait_for(lambda: follower._follower._loaded)
        vms.store.faults.delay_ms = 0
        return follower

    # Guards against a target that left and is used again, since a read of an
    # older state was applied over the newer state of a feeder.
    async def test_removed_target_stays_removed_after_a_restart(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        await asyncio.sleep(1.5)
        vms.store.faults.stale_seconds = (1.0,)
        await vms.store.put("servers/t-1", None)
        await fleet.wait_for(lambda: not has_target(vm, "t-1"))
        follower = await self.start_follower(vms, delay_ms=300)
        assert "t-2" in follower._cluster.targets
        assert "t-1" not in follower._cluster.targets

    # Guards against a target that left and stays in use, since the key that a
    # newer read lacks was kept and its removal skipped.
    async def test_target_removed_after_the_feeders_state_is_removed(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.start_vm("vm-1")
        vms.store.faults.silent_watches = True
        await vms.store.put("servers/t-1", None)
        follower = await self.start_follower(vms, delay_ms=300)
        assert "t-1" not in follower._cluster.targets
        vms.store.faults.silent_watches = False

    # Guards against a change that is lost, since a page of the first read is
    # older than the page before it.
    async def test_change_on_an_older_page_is_applied(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number in range(stores.MAX_PAGE_ITEMS):
            await vms.store.put(f"a/{number:02}", b"")
        await asyncio.sleep(1.5)
        await vms.store.put("servers/t-1", None)
        await asyncio.sleep(0.2)
        # The first page, which shows no targets, is newer than the second one.
        vms.store.faults.stale_seconds = (0.0, 1.0)
        vm = await vms.start_vm("vm-1", wait=False)
        await fleet.wait_for(lambda: vm._follower.find_synced_at() > 0)
        await fleet.wait_for(lambda: not has_target(vm, "t-1"))
        assert has_target(vm, "t-2")


class TestJumps:
    """A feeder reads all keys, past changes that it did not see."""

    # Guards against followers that miss what exceeds the changes that a feeder
    # keeps for reconnects.
    async def test_followers_get_all_changes_of_a_large_read(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(feed_server, "MAX_RECENT_CHANGES", 5)
        for number in range(2):
            await vms.start_vm(f"vm-{number}")
        await fleet.wait_for(lambda: len(find_store_followers(vms)) == 1)
        vms.store.faults.silent_watches = True
        for number in range(20):
            entry = vms.store.records[b"servers/t-1"].value
            await vms.store.put(f"servers/more-{number}", entry)
        vms.store.faults.silent_watches = False
        await vms.store.compact()
        await fleet.wait_for(
            lambda: all(
                has_target(vm, f"more-{number}")
                for vm in vms.vms.values()
                for number in range(20)
            )
        )


class TestFeedersWithoutStore:
    """VMs that other VMs follow lose their connection to the store."""

    async def test_feeder_whose_store_connection_hangs_delays_no_change(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number in range(4):
            await vms.start_vm(f"vm-{number}")
        await fleet.wait_for(lambda: len(find_store_followers(vms)) == 1)
        (feeder_without_store,) = find_store_followers(vms)
        await fleet.wait_for(
            lambda: len(vms.vms[feeder_without_store]._feeder.subscribers) == 3
        )
        vms.store_pipes[feeder_without_store].forwarding.clear()
        version = await vms.configure([])
        others = [
            vm for name, vm in vms.vms.items() if name != feeder_without_store
        ]

        def is_active() -> bool:
            configurations = [vm._cluster.configuration for vm in others]
            return all(
                configuration is not None and configuration.version == version
                for configuration in configurations
            )

        await fleet.wait_for(is_active, vm_fleet.APPLY_SECONDS)

    async def test_followers_use_the_store_if_all_feeders_lose_it(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for number, zone in enumerate(("zone-a", "zone-c") * 3):
            await vms.start_vm(f"vm-{number}", zone)
        await fleet.wait_for(lambda: len(find_store_followers(vms)) == 2)
        feeders_without_store = find_store_followers(vms)
        for name in feeders_without_store:
            vms.vms[name]._store._url = "http://127.0.0.1:9"
        vms.store.faults.down = True
        await vms.store._notify()
        await asyncio.sleep(0.3)
        vms.store.faults.down = False
        # The feeders now follow each other, and neither can reach the store.
        await asyncio.sleep(0.5)
        version = await vms.configure([])
        others = [
            vm
            for name, vm in vms.vms.items()
            if name not in feeders_without_store
        ]

        def is_active() -> bool:
            configurations = [vm._cluster.configuration for vm in others]
            return all(
                configuration is not None and configuration.version == version
                for configuration in configurations
            )

        await fleet.wait_for(is_active, vm_fleet.APPLY_SECONDS)

    async def test_vm_without_the_store_has_no_confirmed_state(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        await fleet.wait_for(lambda: vm._follower.find_synced_at() > 0)
        vm._store._url = "http://127.0.0.1:9"
        vms.store.faults.down = True
        await vms.store._notify()
        await fleet.wait_for(lambda: vm._follower.find_synced_at() < 0)
