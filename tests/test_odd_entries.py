"""Entries of another writer that no process expects."""

import asyncio
import collections
from collections.abc import Mapping
import itertools
import json
from typing import Any

import loguru
import pytest

from tests import fleet
from tests import test_store_keys
from tests import vm_fleet
from wigeonspool.core import cluster_state
from wigeonspool.core import quarantine
from wigeonspool.core import suspect_reports
from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.platform import store_keys
from wigeonspool.vm import store_follower
from wigeonspool.vm import suspect_writer
from wigeonspool.vm import vm_registration

GOOD = json.dumps(test_store_keys.ENTRY).encode()
RESTARTED = json.dumps(test_store_keys.ENTRY | {"born": 18}).encode()
ODD = json.dumps(test_store_keys.ENTRY | {"Address": "10.0.0.1:0"}).encode()


class Replica:
    """A replica without a store, and the log lines that it wrote."""

    def __init__(self) -> None:
        self.cluster = cluster_state.ClusterState()
        self.lines: list[Any] = []
        self.changed: list[key_values.KeyValue] = []
        self.replica = store_follower.StoreReplica(
            self.cluster, store_keys.decode_change, self.changed.append
        )
        self.revision = 0

    def write(self, key: str, value: bytes | None, revision: int = 0) -> None:
        """Applies a change of a key, by default with the next revision."""
        self.revision = revision or self.revision + 1
        item = key_values.KeyValue(key, value, self.revision)
        page = key_values.Page((item,), self.revision)
        handler = loguru.logger.add(self.lines.append, level="INFO")
        try:
            self.replica.apply_page(page)
        finally:
            loguru.logger.remove(handler)

    def list_targets(self) -> list[str]:
        """Returns the targets of the service of the entries."""
        targets = self.cluster.list_targets("reads")
        return [row.entry.identity for row in targets]


class TestOddEntries:
    @pytest.mark.parametrize("again", [GOOD, RESTARTED])
    async def test_target_is_usable_again_after_an_odd_entry(
        self, again: bytes
    ) -> None:
        replica = Replica()
        replica.write("servers/t-1", GOOD)
        replica.write("servers/t-2", GOOD)
        replica.write("servers/t-1", ODD)
        assert replica.list_targets() == ["t-2"]
        assert len(replica.lines) == 1
        replica.write("servers/t-1", again)
        assert set(replica.list_targets()) == {"t-1", "t-2"}
        row = replica.cluster.targets["t-1"]
        assert row.entry.started_at_ms == json.loads(again)["born"]
        assert row.suspect_until == 0.0

    async def test_older_entry_does_not_replace_an_odd_one(self) -> None:
        replica = Replica()
        replica.write("servers/t-1", GOOD, 5)
        replica.write("servers/t-1", ODD, 7)
        replica.write("servers/t-1", GOOD, 6)
        replica.write("servers/t-1", GOOD, 7)
        assert not replica.list_targets()

    async def test_odd_entry_names_no_target_after_a_store_outage(
        self,
    ) -> None:
        # A missing entry may have expired only because of the outage; an odd
        # one was written.
        replica = Replica()
        replica.write("servers/t-1", GOOD)
        replica.cluster.store_recovered_at = replica.replica._loop.time()
        replica.write("servers/t-1", ODD)
        assert not replica.list_targets()
        replica.write("servers/t-2", GOOD)
        replica.write("servers/t-2", None)
        assert replica.list_targets() == ["t-2"]

    async def test_unexpected_error_of_a_decoder_costs_one_item(self) -> None:
        # Guards against lost requests: an exception that no decoder foresaw
        # ended the task that follows the store, and with it the process.
        replica = Replica()

        def decode(
            key: str, value: bytes | None, lease: int
        ) -> cluster_state.Change | None:
            if value == b"odd":
                raise RecursionError("x" * 5000)
            return store_keys.decode_change(key, value, lease)

        replica.replica._decode = decode
        replica.write("servers/t-1", b"odd")
        replica.write("servers/t-2", GOOD)
        assert replica.list_targets() == ["t-2"]
        assert replica.replica.unreadable_items == 1
        (line,) = [entry.record["extra"] for entry in replica.lines]
        assert line["key"] == "servers/t-1"
        assert len(line["reason"]) < 400


class OddStore:
    """A store whose calls fail in a way that no caller foresees."""

    def __init__(self) -> None:
        self.calls = 0

    async def read_range(
        self, prefix: str, after: str = "", stale: bool = False
    ) -> key_values.Page:
        """Fails."""
        self.calls += 1
        raise RecursionError

    async def watch(
        self, prefix: str, after: int, wait_seconds: float
    ) -> key_values.Page:
        """Fails, first as if the history had expired."""
        self.calls += 1
        if self.calls % 2:
            raise errors.HistoryExpiredError(after)
        raise KeyError("x")

    async def grant(self, seconds: float) -> key_values.GrantedLease:
        """Fails."""
        raise AttributeError

    async def renew(self, lease: int, seconds: float) -> int:
        """Fails."""
        raise AttributeError

    async def write_all(
        self, values: Mapping[str, bytes | None], lease: int = 0
    ) -> key_values.WriteResult:
        """Fails."""
        raise OverflowError


class TestLoops:
    # Guard against lost requests: an exception of another type ended the tasks.
    async def test_follower_survives_unexpected_errors(self) -> None:
        replica = Replica()
        store = OddStore()
        follower = store_follower.StoreFollower(
            store, replica.replica, replica.cluster
        )
        await follower.load_once()
        await follower.poll_changes()
        follower._loaded = True
        await follower.poll_changes()
        await follower.poll_changes()
        assert follower.is_failing()
        assert store.calls >= 4

    async def test_registration_survives_unexpected_errors(self) -> None:
        lost: list[None] = []
        registration = vm_registration.VmRegistration(
            OddStore(),
            test_store_keys.VM_ENTRY,
            store_keys.encode_vm,
            lambda: False,
            lambda: lost.append(None),
        )
        assert await registration._renew() == vm_registration.RETRY_SECONDS
        assert lost
        registration._lease = 1
        with pytest.raises(OverflowError):
            await registration.write_keys({"suspects/1/t-1": b""})

    async def test_suspect_writer_survives_unexpected_errors(
        self, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(suspect_writer, "RETRY_SECONDS", 0.0)
        calls = []

        async def fail(reports: list[suspect_reports.SuspectReport]) -> int:
            calls.append(reports)
            raise OverflowError

        suspects = quarantine.QuarantineTable()
        now = asyncio.get_running_loop().time()
        suspects.record_crash(now, 1, "t-1")
        writer = suspect_writer.SuspectWriter(
            suspect_reports.SuspectReports(
                suspects, lambda: 0.0, lambda: 1, lambda subject: None
            ),
            fail,
            max_batch=1,
        )
        writer.add_crash(1, "t-1")
        for _ in range(3):
            await writer.write_due()
        assert len(calls) == 2

    async def test_process_continues_after_an_error_of_a_task(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        vm = await vms.start_vm("vm-1")
        failures = []

        def fail(*arguments: object) -> None:
            failures.append(arguments)
            raise OverflowError

        for component, name in (
            (vm._feeder, "send_changes"),
            (vm._liveness, "send_pings"),
            (vm._settings_file, "is_changed"),
            (vm._feed_client, "_choose_feeder"),
        ):
            failures.clear()
            with monkeypatch.context() as patch:
                patch.setattr(component, name, fail)
                await fleet.wait_for(lambda: len(failures) >= 2)
        await vms.start_target("t-5", "reads", "zone-a")
        await fleet.wait_for(lambda: "t-5" in vm._cluster.targets)
        assert not vm.crashed


def build_odd_entries() -> list[bytes]:
    """Returns entries that name no target."""
    entry = test_store_keys.ENTRY
    addresses = [
        entry | {"Address": address}
        for address in test_store_keys.INVALID_ADDRESSES
    ]
    fields = [
        test_store_keys.build_entry(**fields)
        for fields in (
            {"Slots": 10**30},
            {"Slots": -1},
            {"born": 10**30},
            {"born": 2**64 - 1},
            {"born": -1},
            {"Cold_time": "1" * 5000 + "s"},
            {"Service": "x" * 5000},
            {"State": "resting"},
        )
    ]
    documents = [json.dumps(odd).encode() for odd in (*addresses, *fields)]
    nested = test_store_keys.add_field(entry, test_store_keys.NESTED)
    return [*documents, nested, b"", b"\xff", b"[]", b"null", b"[" * 100_000]


class TestFleet:
    # Guard against lost requests: one odd entry ended each process that read
    # the list, or requests got a 500.
    @pytest.mark.parametrize("vm_count", [1, 3])
    async def test_odd_entries_cost_no_request_and_no_follower(
        self, vms: vm_fleet.VmFleet, vm_count: int
    ) -> None:
        names = [f"vm-{number}" for number in range(vm_count)]
        for name in names:
            await vms.start_vm(name)
        statuses: list[int] = []

        async def send_requests() -> None:
            for number in itertools.count():
                name = names[number % vm_count]
                statuses.append((await vms.send(name, "/read/1"))[0])

        lines: list[Any] = []
        handler = loguru.logger.add(lines.append, level="WARNING")
        sender = asyncio.create_task(send_requests())
        odd_entries = build_odd_entries()
        for number, odd_entry in enumerate(odd_entries):
            # The entry was good before, so that its change is passed on.
            good = test_store_keys.build_entry(Service="other")
            key = f"servers/odd-{number}"
            await vms.store.put(key, json.dumps(good).encode())
            await vms.store.put(key, odd_entry)
            await asyncio.sleep(0.02)
        await vms.start_target("t-5", "reads", "zone-a")
        await vms.configure(vms.build_default_rules())
        for name in names:
            await vms.wait_ready(name)
            targets = vms.vms[name]._cluster.targets
            await fleet.wait_for(
                lambda targets=targets: set(targets) == set(vms.targets)
            )
            assert not vms.vms[name].crashed
        sender.cancel()
        await asyncio.wait([sender])
        loguru.logger.remove(handler)
        assert set(statuses) == {200}
        keys = collections.Counter(
            line.record["extra"]["key"]
            for line in lines
            if line.record["message"] == "unreadable"
        )
        assert len(keys) == len(odd_entries)
        assert max(keys.values()) <= vm_count
        assert all(len(str(line)) < 1000 for line in lines)

    async def test_odd_entry_of_the_only_target_is_refused_and_restored(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await vms.start_vm("vm-1")
        for identity in ("t-1", "t-2"):
            await vms.store.put(f"servers/{identity}", ODD)
        await fleet.wait_for(lambda: "t-2" not in vm._cluster.targets)
        status, _, fields = await vms.send("vm-1", "/read/1", remaining="200")
        assert status == 503, fields
        await vms.register("t-1")
        await fleet.wait_for(lambda: "t-1" in vm._cluster.targets)
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
