"""Tests of a store that is restored from an older copy of its state."""

import asyncio
import dataclasses
import json
from typing import Any

import aiohttp
import pytest

from tests import fleet as fleets
from tests import test_replica_state_machine as machine
from tests import test_store_keys
from tests import vm_fleet
from wigeonspool.core import cluster_state
from wigeonspool.core import quarantine
from wigeonspool.core import suspect_reports
from wigeonspool.load import virtual_loop
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import key_values
from wigeonspool.platform import metadata_store
from wigeonspool.platform import store_keys
from wigeonspool.platform import target_entries
from wigeonspool.platform.standin import store as stores
from wigeonspool.platform.standin import target as targets
from wigeonspool.vm import feed_client
from wigeonspool.vm import feed_messages
from wigeonspool.vm import store_follower
from wigeonspool.vm import vm_registration

RESTORE_SECONDS = 5.0
FIRST_ERA = stores.FIRST_ERA


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
        await fleets.wait_for(lambda: vm._replica.revision == revision)
        await vms.store.restore(RESTORE_SECONDS)
        await vms.store.put("servers/t-1", None)
        assert vms.store.revision < revision
        await fleets.wait_for(lambda: "t-1" not in vm._cluster.targets, 4.0)
        arrived = count_runs(vms.targets["t-1"])
        for number in range(20):
            assert (await vms.send("vm-1", f"/read/{number}"))[0] == 200
        assert count_runs(vms.targets["t-1"]) == arrived


def build_target(
    state: fleet.TargetState = fleet.TargetState.SERVING, **fields: Any
) -> fleet.TargetEntry:
    """Returns the entry of t-1."""
    entry = fleet.TargetEntry(
        "t-1", "reads", "10.0.0.1:80", "zone-a", 4, state, 0.0, 1, 3
    )
    return dataclasses.replace(entry, **fields)


class Cluster:
    """A cluster state with the key of t-1."""

    def __init__(self) -> None:
        self.state = cluster_state.ClusterState()
        self.revision = 100

    def write(self, entry: fleet.TargetEntry | None, now: float = 0.0) -> None:
        """Applies a change of the key at the next revision."""
        self.revision += 1
        change = cluster_state.TargetChange("t-1", entry)
        self.state.apply(now, "servers/t-1", self.revision, change)

    def restore(
        self, entry: fleet.TargetEntry | None, now: float = 0.0
    ) -> None:
        """Begins an era whose copy has an entry of t-1, or none."""
        self.revision = 50
        self.state.begin_era(now, self.revision)
        change = cluster_state.TargetChange("t-1", entry)
        self.state.apply(now, "servers/t-1", self.revision, change)
        self.state.end_restored_state()

    def is_used(self) -> bool:
        """Returns True if t-1 may get requests."""
        row = self.state.targets.get("t-1")
        return row is not None and (
            row.entry.state is fleet.TargetState.SERVING
        )


DRAINING = build_target(fleet.TargetState.DRAINING, sequence=4)


class TestTargets:
    """What a restored copy states of a target that has changed since."""

    # Guards against requests to a target that drains or is gone.
    @pytest.mark.parametrize("last", [DRAINING, None])
    def test_copy_brings_no_target_back(
        self, last: fleet.TargetEntry | None
    ) -> None:
        cluster = Cluster()
        cluster.write(build_target(sequence=4))
        cluster.write(last)
        cluster.restore(build_target())
        assert not cluster.is_used()
        cluster.restore(build_target(sequence=4))
        assert not cluster.is_used()

    # Guards against the start of an earlier process, whose sequence number is
    # higher.
    def test_copy_of_an_earlier_start_brings_no_target_back(self) -> None:
        cluster = Cluster()
        cluster.write(build_target(started_at_ms=2, sequence=1))
        cluster.write(None)
        cluster.restore(build_target(sequence=9))
        assert not cluster.is_used()

    # Guards against a target that is excluded for good.
    @pytest.mark.parametrize("last", [DRAINING, None])
    @pytest.mark.parametrize(
        "entry",
        [
            build_target(sequence=5),
            build_target(sequence=0, started_at_ms=2),
        ],
    )
    def test_newer_entry_in_the_copy_is_used(
        self, last: fleet.TargetEntry | None, entry: fleet.TargetEntry
    ) -> None:
        cluster = Cluster()
        cluster.write(build_target(sequence=4))
        cluster.write(last)
        cluster.restore(entry)
        assert cluster.is_used()

    @pytest.mark.parametrize("last", [DRAINING, None])
    def test_entry_written_since_is_used(
        self, last: fleet.TargetEntry | None
    ) -> None:
        cluster = Cluster()
        cluster.write(build_target(sequence=4))
        cluster.write(last)
        cluster.restore(build_target())
        cluster.write(build_target())
        assert cluster.is_used()

    # Guards against requests to the address of an earlier process.
    def test_newer_entry_stays_if_the_copy_has_an_older_one(self) -> None:
        cluster = Cluster()
        entry = build_target(started_at_ms=2, address="10.0.0.1:81")
        cluster.write(entry)
        cluster.restore(build_target())
        assert cluster.state.targets["t-1"].entry == entry

    # Guards against refusals while targets write their entries again, and
    # against requests to a target that does not.
    def test_target_that_the_copy_lacks_stays_for_the_grace_period(
        self,
    ) -> None:
        grace = cluster_state.REREGISTRATION_GRACE_SECONDS
        cluster = Cluster()
        cluster.write(build_target())
        cluster.restore(None, now=10.0)
        assert cluster.is_used()
        assert not cluster.state.remove_expired_targets(10.0 + grace - 0.1)
        assert cluster.state.remove_expired_targets(10.0 + grace) == ["t-1"]
        # It has left then, also for the copy of another restore.
        cluster.restore(build_target(), now=20.0)
        assert not cluster.is_used()

    def test_draining_target_that_the_copy_lacks_is_removed(self) -> None:
        cluster = Cluster()
        cluster.write(DRAINING)
        cluster.restore(None)
        assert not cluster.state.targets

    # Guards against a target that is taken for one that has just started.
    def test_equal_entry_keeps_its_warmup(self) -> None:
        cluster = Cluster()
        cluster.write(build_target(warmup_seconds=5.0))
        cluster.restore(build_target(warmup_seconds=5.0), now=20.0)
        assert cluster.state.targets["t-1"].warming_until == 5.0

    # Guards against memory that grows with each target that was replaced.
    def test_memory_of_removed_targets_is_bounded(self) -> None:
        state = cluster_state.ClusterState()

        def replace(number: int, now: float) -> None:
            entry = build_target(identity=f"t-{number}")
            for revision, value in ((1, entry), (2, None)):
                change = cluster_state.TargetChange(entry.identity, value)
                state.apply(now, entry.identity, revision, change)

        for number in range(cluster_state.MAX_DEPARTURES + 10):
            replace(number, 0.0)
        assert len(state._departures) == cluster_state.MAX_DEPARTURES
        replace(-1, cluster_state.DEPARTURE_SECONDS)
        assert list(state._departures) == ["t--1"]


class TestOtherState:
    def test_configuration_version_never_goes_down(self) -> None:
        state = cluster_state.ClusterState()
        for version in (7, 4):
            configuration = fleet.Configuration(
                version, {}, {}, fleet.CallerLimits()
            )
            change = cluster_state.ConfigurationChange(configuration)
            state.begin_era(0.0, 5)
            state.apply(0.0, "op/config", 5, change)
            state.end_restored_state()
        assert state.configuration is not None
        assert state.configuration.version == 7

    # Guards against two VMs that hold one share of a limit: a VM whose entry
    # the copy lacks may not know yet.
    def test_vm_that_the_copy_lacks_stays_for_its_lease(self) -> None:
        state = cluster_state.ClusterState()
        entry = test_store_keys.VM_ENTRY
        written = cluster_state.VmChange("vm-1", entry, 8)
        missing = cluster_state.VmChange("vm-1", None)
        state.apply(0.0, "vms/vm-1", 9, written)
        state.begin_era(10.0, 5)
        state.apply(10.0, "vms/vm-1", 5, missing)
        state.end_restored_state()
        assert not state.leases
        end = 10.0 + cluster_state.VM_GRACE_SECONDS
        assert not state.remove_unconfirmed_vms(end - 0.1)
        assert "vm-1" in state.vms
        assert state.remove_unconfirmed_vms(end) == ["vm-1"]
        assert not state.vms

    def test_vm_that_registers_again_stays(self) -> None:
        state = cluster_state.ClusterState()
        entry = test_store_keys.VM_ENTRY
        state.apply(0.0, "k", 9, cluster_state.VmChange("vm-1", entry, 8))
        state.begin_era(10.0, 5)
        state.apply(10.0, "k", 5, cluster_state.VmChange("vm-1", None))
        state.end_restored_state()
        state.apply(10.5, "k", 6, cluster_state.VmChange("vm-1", entry, 8))
        assert not state.remove_unconfirmed_vms(100.0)
        assert "vm-1" in state.vms

    # Guards against requests to an evacuated zone: the copy lacks its key until
    # operators write it again.
    def test_zone_stays_evacuated_until_operators_had_time(self) -> None:
        state = cluster_state.ClusterState()
        begin = cluster_state.EvacuationChange("zone-a", True)
        end = cluster_state.EvacuationChange("zone-a", False)
        state.apply(0.0, "k", 9, begin)
        state.begin_era(10.0, 5)
        assert not state.apply(10.0, "k", 5, end)
        state.end_restored_state()
        ends_at = 10.0 + cluster_state.EVACUATION_GRACE_SECONDS
        assert not state.end_unconfirmed_evacuations(ends_at - 0.1)
        assert state.evacuated == {"zone-a"}
        assert state.end_unconfirmed_evacuations(ends_at) == ["zone-a"]
        assert not state.evacuated

    # Guards against a zone that is used again too early after two restores.
    def test_second_restore_extends_the_time(self) -> None:
        state = cluster_state.ClusterState()
        begin = cluster_state.EvacuationChange("zone-a", True)
        end = cluster_state.EvacuationChange("zone-a", False)
        state.apply(0.0, "k", 9, begin)
        state.begin_era(10.0, 5)
        state.apply(10.0, "k", 5, end)
        state.end_restored_state()
        state.begin_era(14.0, 5)
        state.end_restored_state()
        ends_at = 14.0 + cluster_state.EVACUATION_GRACE_SECONDS
        assert not state.end_unconfirmed_evacuations(ends_at - 0.1)
        assert state.end_unconfirmed_evacuations(ends_at) == ["zone-a"]

    def test_zone_that_is_evacuated_again_stays(self) -> None:
        state = cluster_state.ClusterState()
        begin = cluster_state.EvacuationChange("zone-a", True)
        end = cluster_state.EvacuationChange("zone-a", False)
        state.apply(0.0, "k", 9, begin)
        state.begin_era(10.0, 5)
        state.apply(10.0, "k", 5, end)
        state.end_restored_state()
        assert state.apply(11.0, "k", 6, begin)
        assert not state.end_unconfirmed_evacuations(100.0)
        assert state.evacuated == {"zone-a"}
        assert state.apply(101.0, "k", 7, end)
        assert not state.evacuated


class TestSequences:
    @pytest.mark.parametrize(
        ("value", "expected"),
        [
            ("7", 7),
            ("0", 0),
            ("-1", 0),
            ('"7"', 0),
            ("null", 0),
            ("[[]]", 0),
            ("true", 0),
            ("1e400", 0),
            (str(2**63 - 1), 2**63 - 1),
            (str(2**63), 0),
            ("9" * 5000, 0),
        ],
    )
    def test_odd_sequence_does_not_cost_the_entry(
        self, value: str, expected: int
    ) -> None:
        # Guards against a target that is lost for a field that only orders its
        # entries.
        status = f'{{"State": "ready", "Seq": {value}}}'
        document = json.dumps(test_store_keys.ENTRY | {"Status": "status"})
        entry = target_entries.decode_entry(
            "t-1", document.replace('"status"', status).encode()
        )
        assert entry.sequence == expected

    def test_entry_without_a_sequence_is_decoded(self) -> None:
        document = test_store_keys.ENTRY | {"Status": {"State": "ready"}}
        entry = target_entries.decode_entry(
            "t-1", json.dumps(document).encode()
        )
        assert entry.sequence == 0


class EraLeaseStore:
    """A store that grants leases and can be restored.

    Attributes:
        era: Its era.
        restores_before: Calls that a restore precedes.
        writes: Leases of the writes, with their eras.
    """

    def __init__(self) -> None:
        self.era = FIRST_ERA
        self.restores_before: set[str] = set()
        self.writes: list[tuple[int, int]] = []
        self.leases = 0

    def _start_call(self, call: str) -> None:
        if call in self.restores_before:
            self.restores_before.discard(call)
            self.era += 1

    async def grant(self, seconds: float) -> key_values.GrantedLease:
        self._start_call("grant")
        self.leases += 1
        return key_values.GrantedLease(self.leases, self.era)

    async def renew(self, lease: int, seconds: float) -> int:
        self._start_call("renew")
        return self.era

    async def write_all(
        self, values: Any, lease: int = 0
    ) -> key_values.WriteResult:
        self._start_call("write")
        self.writes.append((lease, self.era))
        return key_values.WriteResult(1, self.era)


def build_registration(
    store: EraLeaseStore,
) -> vm_registration.VmRegistration:
    """Returns a registration of vm-1 that renews each time it is asked."""
    return vm_registration.VmRegistration(
        store,
        test_store_keys.VM_ENTRY,
        lambda entry: (entry.name, b""),
        lambda: True,
        lambda: None,
        find_suspended_seconds=lambda: 0.0,
    )


class TestRegistration:
    """A lease ID may belong to another VM after a restore."""

    # Guards against a VM that counts on a lease of another VM.
    def test_renewal_in_a_newer_era_does_not_count(self) -> None:
        async def run() -> None:
            store = EraLeaseStore()
            registration = build_registration(store)
            await registration._renew()
            assert registration.lease == 1
            store.restores_before.add("renew")
            await registration._renew()
            assert registration.lease == 0
            assert registration.registered_until == float("-inf")
            await registration._renew()
            assert registration.lease == 2
            assert store.writes == [(1, FIRST_ERA), (2, FIRST_ERA + 1)]

        virtual_loop.run(run())

    # Guards against an entry that another VM's lease holds.
    def test_restore_between_lease_and_entry_registers_again(self) -> None:
        async def run() -> None:
            store = EraLeaseStore()
            registration = build_registration(store)
            store.restores_before.add("write")
            await registration._renew()
            assert registration.lease == 0
            await registration._renew()
            assert registration.lease == 2

        virtual_loop.run(run())

    # Guards against reports that expire with the lease of another VM.
    def test_write_in_a_newer_era_does_not_count(self) -> None:
        async def run() -> None:
            store = EraLeaseStore()
            registration = build_registration(store)
            await registration._renew()
            store.restores_before.add("write")
            with pytest.raises(errors.EraChangedError):
                await registration.write_keys({"k": b""})
            assert registration.lease == 0

        virtual_loop.run(run())

    # Guards against a restarted VM that takes over a lease of another VM.
    def test_lease_of_an_earlier_process_is_checked(self) -> None:
        async def run() -> None:
            store = EraLeaseStore()
            store.era += 1
            store.leases = 7
            registration = build_registration(store)
            task = asyncio.create_task(
                registration.keep_registered(
                    test_store_keys.VM_ENTRY, 7, FIRST_ERA
                )
            )
            await asyncio.sleep(3.0)
            task.cancel()
            assert registration.lease == 8
            assert store.writes == [(8, FIRST_ERA + 1)]

        virtual_loop.run(run())

    # Guards against a valid lease that is dropped, and against one that counts
    # as renewed by a store that does not hold it.
    def test_reply_of_an_older_era_neither_renews_nor_drops(self) -> None:
        async def run() -> None:
            store = EraLeaseStore()
            registration = build_registration(store)
            await registration._renew()
            registered_until = registration.registered_until
            await asyncio.sleep(1.0)
            store.era -= 1
            delay = await registration._renew()
            assert delay == vm_registration.RETRY_SECONDS
            assert registration.lease == 1
            assert registration.registered_until == registered_until

        virtual_loop.run(run())

    # Guards against a renewal that restores what was dropped during it.
    def test_renewal_of_a_dropped_lease_does_not_count(self) -> None:
        async def run() -> None:
            store = EraLeaseStore()
            registration = build_registration(store)
            await registration._renew()
            task = asyncio.create_task(registration._renew())
            await asyncio.sleep(0)
            registration.require_era(FIRST_ERA + 1)
            await task
            assert registration.registered_until == float("-inf")

        virtual_loop.run(run())


class TestReports:
    """Reports of suspects that the copy lacks or that are older in it."""

    def build(self) -> tuple[Any, suspect_reports.SuspectReports]:
        """Returns reports of a VM whose store shows what it wrote."""
        stored: dict[Any, suspect_reports.StoredReport] = {}
        suspects = quarantine.QuarantineTable()
        reports = suspect_reports.SuspectReports(
            suspects, lambda: 0.0, lambda: 1, stored.get
        )
        suspects.record_crash(0.0, 5, "t-1")
        reports.add_crash(0.0, 5, "t-1")
        self.write(reports, 1.0, 100)
        stored[5, "t-1"] = suspect_reports.StoredReport(
            suspect_reports.ReportState.CRASHED, 100, True
        )
        return (stored, suspects), reports

    def write(
        self, reports: suspect_reports.SuspectReports, now: float, revision: int
    ) -> list[suspect_reports.ReportState]:
        """Writes what is due; returns what it states."""
        batch = reports.list_batch(now, 10)
        reports.record_written(batch, revision)
        return [report.state for report in batch]

    # Guards against a report that expires with a lease that has ended.
    def test_own_report_is_written_under_the_new_lease(self) -> None:
        (stored, _), reports = self.build()
        assert self.write(reports, 2.0, 101) == []
        reports.begin_era(2.0)
        # The copy has the report, under the earlier lease.
        stored[5, "t-1"] = dataclasses.replace(
            stored[5, "t-1"], revision=40, is_own=False
        )
        crashed = suspect_reports.ReportState.CRASHED
        assert self.write(reports, 3.0, 41) == [crashed]
        stored[5, "t-1"] = suspect_reports.StoredReport(crashed, 41, True)
        assert self.write(reports, 4.0, 42) == []

    # Guards against a crash that counts again since the copy does not show the
    # answer.
    def test_answer_is_written_again(self) -> None:
        (stored, suspects), reports = self.build()
        suspects.record_answer(5)
        reports.add_answer(2.0, 5, ("t-1",))
        answered = suspect_reports.ReportState.ANSWERED
        assert self.write(reports, 3.0, 101) == [answered]
        reports.begin_era(4.0)
        stored[5, "t-1"] = suspect_reports.StoredReport(
            suspect_reports.ReportState.CRASHED, 40, False
        )
        assert self.write(reports, 5.0, 41) == [answered]


class TestFeeds:
    def build_item(self, identity: str, revision: int) -> key_values.KeyValue:
        value = json.dumps(test_store_keys.ENTRY).encode()
        return key_values.KeyValue(f"servers/{identity}", value, revision)

    # Guards against followers that stay in the era that their feeder left.
    async def test_followers_get_all_keys_of_a_new_era(self) -> None:
        feeder, follower = machine.Vm(), machine.Vm()
        old = [self.build_item("t-1", 90)]
        feeder.replica.apply_snapshot(old, 90, FIRST_ERA)
        feeder.feeder.connect(0, 0)
        new = [self.build_item("t-2", 7)]
        feeder.replica.apply_snapshot(new, 8, FIRST_ERA + 1)
        feeder.feeder.send_changes()
        page = key_values.Page(
            (self.build_item("t-3", 9),), 9, era=FIRST_ERA + 1
        )
        feeder.replica.apply_page(page)
        feeder.feeder.send_changes()
        assert feeder.feeder.messages is not None
        for message in feeder.feeder.messages:
            follower.client._handle_message("a", message)
        assert set(follower.replica.items) == {"servers/t-2", "servers/t-3"}
        assert follower.replica.era == FIRST_ERA + 1
        assert follower.replica.revision == 9

    # Guards against changes of an older era that a feeder sends as new ones,
    # since the new era changed nothing for it.
    async def test_reconnecting_follower_gets_no_change_of_an_older_era(
        self,
    ) -> None:
        feeder, follower = machine.Vm(), machine.Vm()
        feeder.replica.apply_snapshot([], 1, FIRST_ERA)
        items = (self.build_item("t-1", 90), self.build_item("t-2", 91))
        feeder.replica.apply_page(key_values.Page(items, 91, era=FIRST_ERA))
        feeder.feeder.send_changes()
        copy = [self.build_item("t-1", 7), self.build_item("t-2", 8)]
        for vm in (feeder, follower):
            vm.replica.apply_snapshot(copy, 10, FIRST_ERA + 1)
        removed = key_values.KeyValue("servers/t-2", None, 11)
        page = key_values.Page((removed,), 11, era=FIRST_ERA + 1)
        follower.replica.apply_page(page)
        feeder.feeder.connect(10, FIRST_ERA + 1)
        assert feeder.feeder.messages is not None
        for message in feeder.feeder.messages:
            follower.client._handle_message("a", message)
        assert list(follower.cluster.targets) == ["t-1"]

    # Guards against a target that a follower excludes for good: it had seen
    # the removal before the restore, for its feeder nothing has changed.
    async def test_first_entry_of_a_new_era_is_passed_on(self) -> None:
        feeder, follower = machine.Vm(), machine.Vm()
        for vm in (feeder, follower):
            vm.replica.apply_snapshot([self.build_item("t-1", 5)], 5, FIRST_ERA)
        removed = key_values.KeyValue("servers/t-1", None, 6)
        follower.replica.apply_page(
            key_values.Page((removed,), 6, era=FIRST_ERA)
        )
        for vm in (feeder, follower):
            vm.replica.apply_snapshot(
                [self.build_item("t-1", 3)], 4, FIRST_ERA + 1
            )
        assert not follower.cluster.targets
        feeder.feeder.connect(4, FIRST_ERA + 1)
        written = (self.build_item("t-1", 5),)
        feeder.replica.apply_page(
            key_values.Page(written, 5, era=FIRST_ERA + 1)
        )
        feeder.feeder.send_changes()
        assert feeder.feeder.messages is not None
        for message in feeder.feeder.messages:
            follower.client._handle_message("a", message)
        assert list(follower.cluster.targets) == ["t-1"]

    # Guards against a feeder that was cut off and undoes a restore.
    @pytest.mark.parametrize(
        "message",
        [
            feed_messages.Items(900, (), True, era=FIRST_ERA),
            feed_messages.Items(900, (), False, era=FIRST_ERA),
            feed_messages.Pulse(900, 0.0, FIRST_ERA),
            # Of an earlier version.
            feed_messages.Items(900, (), True),
            feed_messages.Pulse(900, 0.0),
        ],
    )
    async def test_feeder_of_an_older_era_is_rejected(
        self, message: feed_messages.Message
    ) -> None:
        vm = machine.Vm()
        items = [self.build_item("t-1", 7)]
        vm.replica.apply_snapshot(items, 8, FIRST_ERA + 1)
        with pytest.raises(feed_client.FeederEraError):
            vm.client._handle_message("a", message)
        assert list(vm.cluster.targets) == ["t-1"]
        assert not vm.client.address

    # Guards against changes of a new era that are applied to an older state.
    async def test_changes_do_not_begin_an_era(self) -> None:
        vm = machine.Vm()
        vm.replica.apply_snapshot([self.build_item("t-1", 7)], 8, FIRST_ERA)
        for message in (
            feed_messages.Items(9, (), False, era=FIRST_ERA + 1),
            feed_messages.Pulse(9, 0.0, FIRST_ERA + 1),
        ):
            with pytest.raises(feed_client.FeederJumpError):
                vm.client._handle_message("a", message)
        assert vm.replica.era == FIRST_ERA

    @pytest.mark.parametrize(
        ("document", "message"),
        [
            ([0, 1, "vm", 5], feed_messages.Subscribe(1, "vm", 5, 0)),
            ([1, 5, [], True], feed_messages.Items(5, (), True)),
            ([1, 5, [], False, 3], feed_messages.Items(5, (), False, 3)),
            ([2, 5, 0.5], feed_messages.Pulse(5, 0.5, 0)),
            # Of a later version.
            ([2, 5, 0.5, 7, "x"], feed_messages.Pulse(5, 0.5, 7)),
        ],
    )
    def test_messages_of_other_versions_are_read(
        self, document: Any, message: feed_messages.Message
    ) -> None:
        converted: Any = feed_messages.msgspec.convert(
            document, feed_messages.Message
        )
        assert converted == message


class ExpiredStore:
    """A store without keys that has the history of no revision.

    Attributes:
        revision: Its revision.
        reads: Number of reads of all keys.
    """

    def __init__(self) -> None:
        self.revision = 50
        self.reads = 0

    async def read_range(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> key_values.Page:
        """Returns a page without keys."""
        self.reads += 1
        return key_values.Page((), self.revision, era=0)

    async def watch(
        self, prefix: str, after: int, seconds: float
    ) -> key_values.Page:
        """Fails with a response of status 410."""
        raise errors.HistoryExpiredError(after)


class TestFollower:
    """Restores during the calls of a follower of the store."""

    def build(self) -> tuple[machine.RestoredStore, machine.FollowingVm]:
        store = machine.RestoredStore()
        for identity in machine.IDENTITIES:
            store.write(identity, machine.build_state(0, 1))
        return store, machine.FollowingVm(store)

    # Guards against a state whose pages are of two eras.
    def test_restore_between_two_pages_reads_all_again(self) -> None:
        async def run() -> None:
            store, vm = self.build()
            store.events.append(lambda: store.restore(3))
            await vm.follower.load(stale=True)
            assert (vm.replica.era, vm.replica.revision) == store.position
            assert set(vm.cluster.targets) == set(machine.IDENTITIES[:3])

        virtual_loop.run(run())

    # Guards against a follower that misses what a restore lost, since the
    # store has its revision again.
    def test_watch_does_not_continue_from_an_older_era(self) -> None:
        async def run() -> None:
            store, vm = self.build()
            await vm.follower.load(stale=True)

            def restore() -> None:
                store.restore(3)
                for _ in range(5):
                    store.write("t-0", machine.build_state(1, 2))

            store.events.append(restore)
            await vm.follower.poll_changes()
            assert (vm.replica.era, vm.replica.revision) == store.position
            expired_at = asyncio.get_running_loop().time() + 3.0
            vm.cluster.remove_expired_targets(expired_at)
            assert set(vm.cluster.targets) == set(machine.IDENTITIES[:3])

        virtual_loop.run(run())

    # Guards against a state of an older era that undoes a restore.
    def test_stale_read_of_an_older_era_is_replaced(self) -> None:
        async def run() -> None:
            store, vm = self.build()
            await vm.follower.load(stale=True)
            store.restore(3)
            await vm.follower.poll_changes()
            store.ages = [1, 1, 1]
            await vm.follower.load(stale=True)
            assert (vm.replica.era, vm.replica.revision) == store.position

        virtual_loop.run(run())

    # Guards against a new era that begins with a state from which entries that
    # were written again since are missing.
    def test_stale_read_of_a_newer_era_is_replaced(self) -> None:
        async def run() -> None:
            store, vm = self.build()
            await vm.follower.load(stale=True)
            store.restore(3)
            for identity in machine.IDENTITIES:
                store.write(identity, machine.build_state(1, 2))
            store.ages = [4, 4, 4]
            await vm.follower.load(stale=True)
            assert (vm.replica.era, vm.replica.revision) == store.position

        virtual_loop.run(run())

    # Guards against paid calls: an empty replica has nothing to lose.
    def test_stale_first_read_of_one_era_is_used(self) -> None:
        async def run() -> None:
            store, vm = self.build()
            store.restore(0)
            store.ages = [1, 1, 1]
            await vm.follower.load(stale=True)
            assert vm.replica.era == FIRST_ERA
            await vm.follower.poll_changes()
            assert (vm.replica.era, vm.replica.revision) == store.position

        virtual_loop.run(run())

    # Guards against a VM that learns of a restore only from its next watch.
    def test_era_of_another_call_starts_a_read(self) -> None:
        async def run() -> None:
            store, vm = self.build()
            await vm.follower.load(stale=True)
            store.restore(3)
            store.write("t-0", machine.build_state(1, 2))
            vm.follower.require_era(store.position[0])
            assert not vm.follower.is_behind()
            await asyncio.sleep(store_follower.ERA_FEED_SECONDS)
            assert vm.follower.is_behind()
            await vm.follower.poll_changes()
            assert (vm.replica.era, vm.replica.revision) == store.position
            assert not vm.follower.is_behind()

        virtual_loop.run(run())

    # Guards against reads of all keys without pause, as no era is newer.
    def test_expired_history_without_progress_waits(self) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            store = ExpiredStore()
            cluster = cluster_state.ClusterState()
            replica = store_follower.StoreReplica(
                cluster, store_keys.decode_change, lambda item: None
            )
            replica.apply_snapshot([], store.revision + 50)
            follower = store_follower.StoreFollower(store, replica, cluster)
            pauses = []
            for _ in range(4):
                reads, started_at = store.reads, loop.time()
                await follower.poll_changes()
                # The fake takes no time, so only a pause advances the clock.
                assert store.reads > reads and loop.time() > started_at
                pauses.append(loop.time() - started_at)
            assert pauses[-1] > pauses[0]

        virtual_loop.run(run())

    # Guards against a pause that delays changes after a useful read.
    def test_expired_history_with_progress_does_not_wait(self) -> None:
        async def run() -> None:
            loop = asyncio.get_running_loop()
            store = ExpiredStore()
            cluster = cluster_state.ClusterState()
            replica = store_follower.StoreReplica(
                cluster, store_keys.decode_change, lambda item: None
            )
            follower = store_follower.StoreFollower(store, replica, cluster)
            await follower.load(stale=False)
            store.revision += 50
            started_at = loop.time()
            await follower.poll_changes()
            assert replica.revision == store.revision
            assert loop.time() == started_at

        virtual_loop.run(run())


class TestStoreClient:
    """Calls of the client to the stand-in."""

    # Guards against a condition on a revision that the store assigned again.
    async def test_condition_of_another_era_writes_nothing(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        client = metadata_store.MetadataStore(vms.store_address)
        try:
            written = await client.write("k", b"1")
            assert written.era == FIRST_ERA
            await vms.store.restore(0.0)
            await client.read_range("k")
            with pytest.raises(errors.EraChangedError):
                await client.write("k", b"2", expected={"k": written.revision})
            assert vms.store.records[b"k"].value == b"1"
        finally:
            await client.close()

    async def test_watch_beyond_the_restored_revision_has_expired(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        client = metadata_store.MetadataStore(vms.store_address)
        try:
            with pytest.raises(errors.HistoryExpiredError):
                await client.watch("", vms.store.revision + 1, 0.1)
        finally:
            await client.close()

    @pytest.mark.parametrize("field", ["x", "-1", "1.5", "٣", "9" * 30])
    async def test_odd_era_is_an_error_of_the_store(
        self,
        vms: vm_fleet.VmFleet,
        monkeypatch: pytest.MonkeyPatch,
        field: str,
    ) -> None:
        # Guards against a state that is taken for one of era 0 or of an era
        # that no restore exceeds.
        monkeypatch.setattr(vms.store, "era", field)
        client = metadata_store.MetadataStore(vms.store_address)
        try:
            with pytest.raises(errors.StoreReplyError):
                await client.renew(1)
            assert client.newest_era == 0
        finally:
            await client.close()


class TestStandin:
    async def test_restore_goes_back(self, vms: vm_fleet.VmFleet) -> None:
        store = vms.store
        client = metadata_store.MetadataStore(vms.store_address)
        try:
            granted = await client.grant(20.0)
            await client.write("a", b"1", granted.lease)
            await asyncio.sleep(0.3)
            revision = store.revision
            lost = await client.grant(20.0)
            await client.write("a", b"2", lost.lease)
            await client.revoke(granted.lease)
            await store.restore(0.2)
            assert store.revision == revision
            assert store.records[b"a"].value == b"1"
            assert set(store.leases) == {granted.lease}
            # The number is assigned again.
            again = await client.grant(20.0)
            assert again == key_values.GrantedLease(lost.lease, FIRST_ERA + 1)
            page = await client.read_range("a")
            assert page.era == FIRST_ERA + 1
        finally:
            await client.close()

    async def test_stale_reads_return_the_older_era(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await asyncio.sleep(0.5)
        await vms.store.restore(0.1)
        vms.store.faults.stale_seconds = (0.2, 0.0)
        client = metadata_store.MetadataStore(vms.store_address)
        try:
            eras = [
                (await client.read_range("", stale=True)).era for _ in range(2)
            ]
            assert eras == [FIRST_ERA, FIRST_ERA + 1]
        finally:
            await client.close()

    # Guards against a watch that the HTTP library sends again, and that then
    # waits in the new era from a revision of the old one.
    async def test_waiting_watch_is_cut(self, vms: vm_fleet.VmFleet) -> None:
        client = metadata_store.MetadataStore(vms.store_address)
        try:
            await client.read_range("")
            watch = asyncio.create_task(
                client.watch("", vms.store.revision, 5.0)
            )
            await asyncio.sleep(0.2)
            await vms.store.restore(0.1)
            with pytest.raises(errors.StoreUnavailableError):
                await watch
        finally:
            await client.close()

    async def test_restore_by_call(self, vms: vm_fleet.VmFleet) -> None:
        url = f"http://{vms.store_address}/restore"
        async with (
            aiohttp.ClientSession() as session,
            session.post(url, json={"seconds_ago": 0.0}) as response,
        ):
            assert await response.json() == {"era": FIRST_ERA + 1}


class TestVms:
    """VM processes with the stand-in."""

    # Guards against VMs whose entries are held by leases of other VMs.
    async def test_all_vms_register_again_under_new_leases(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        names = {f"vm-{number}" for number in range(3)}
        started = [await vms.start_vm(name) for name in sorted(names)]
        for vm in started:
            await vms.wait_until_listed(vm, names)
        await asyncio.sleep(0.5)
        await vms.store.restore(0.2)

        def are_registered() -> bool:
            leases = {vm._registration.lease for vm in started}
            keys = {f"vms/{name}".encode() for name in names}
            records = vms.store.records
            return (
                len(leases) == len(started)
                and keys <= records.keys()
                and all(
                    vm._registration._lease_era == FIRST_ERA + 1
                    and vm._replica.era == FIRST_ERA + 1
                    and records[f"vms/{vm._settings.vm}".encode()].lease
                    == vm._registration.lease
                    for vm in started
                )
            )

        await fleets.wait_for(are_registered)
        for vm in started:
            vm._slack_share.update()
        assert sum(vm._slack_share.share > 0 for vm in started) == 2

    # Guards against a VM that stays in the older era since it cannot reach the
    # store itself.
    async def test_vm_without_the_store_gets_the_era_from_its_feeder(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        started = [await vms.start_vm(f"vm-{number}") for number in range(2)]
        for vm in started:
            await vms.wait_until_listed(vm, {"vm-0", "vm-1"})
        await fleets.wait_for(
            lambda: sum(vm._should_follow_store() for vm in started) == 1
        )
        (follower,) = [vm for vm in started if not vm._should_follow_store()]
        follower._store._url = "http://127.0.0.1:9"
        await vms.store.restore(0.1)
        await vms.store.put("servers/t-1", None)
        await fleets.wait_for(lambda: follower._replica.era == FIRST_ERA + 1)
        await fleets.wait_for(lambda: "t-1" not in follower._cluster.targets)
        # Its lease may belong to another VM now.
        assert follower._registration.lease == 0
        follower._slack_share.update()
        budget = follower._request_runner.retry_budget
        assert not budget.count_tokens(
            "reads", asyncio.get_running_loop().time()
        )

    # Guards against requests that are refused during a restore.
    async def test_requests_are_served_during_a_restore(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        await vms.start_target("t-5", "reads", "zone-a")
        await fleets.wait_for(lambda: "t-5" in vm._cluster.targets)
        # The copy has none of the targets.
        await vms.store.restore(stores.MAX_STALE_SECONDS)
        await fleets.wait_for(lambda: vm._replica.era == FIRST_ERA + 1)
        assert vm._cluster.configuration is not None
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
        await vms.register("t-1")
        await fleets.wait_for(lambda: "t-5" not in vm._cluster.targets)
        assert list(vm._cluster.list_targets("reads"))

    async def test_store_without_eras_gets_the_same_calls(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vms.store.sends_era = False
        vm = await vms.start_vm("vm-1")
        await fleets.wait_for(lambda: vm._registration.lease > 0)
        reads = vms.store.calls["kv-range"]
        await vms.start_target("t-5", "reads", "zone-a")
        await fleets.wait_for(lambda: "t-5" in vm._cluster.targets)
        assert vm._replica.era == 0
        assert vms.store.calls["kv-range"] == reads
        assert vms.store.calls["kv-lease"] == 1

    # Guards against paid calls that only eras cause.
    async def test_first_read_of_a_store_with_eras_is_not_repeated(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        await fleets.wait_for(lambda: vm._registration.lease > 0)
        assert vms.store.calls["kv-range"] == 1
