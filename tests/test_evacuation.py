"""Zones that operators evacuate, and that are used again."""

import asyncio
from collections.abc import Iterator
from typing import Any

import hypothesis
from hypothesis import strategies
import loguru
import msgspec
import pytest

from tests import fleet
from tests import vm_fleet
from wigeonspool.core import cluster_state
from wigeonspool.model import errors
from wigeonspool.platform import store_keys
from wigeonspool.vm import service
from wigeonspool.vm import structured_log

KEY = "op/evacuate/"


async def evacuate(
    vms: vm_fleet.VmFleet, zone: str, value: bytes | None = b"1"
) -> None:
    """Writes or removes the key of a zone, and waits until VMs know it."""
    await vms.store.put(KEY + zone, value)
    for vm in vms.vms.values():
        await fleet.wait_for(
            lambda cluster=vm._cluster: (
                (zone in cluster.evacuated) == (value is not None)
            )
        )


async def start(vms: vm_fleet.VmFleet, **action: Any) -> service.VmService:
    """Starts a VM, and a target `other` in another zone than t-1 and t-2."""
    await vms.start_target("other", "reads", "zone-b")
    action = {"Service": "reads"} | action
    rule = vm_fleet.build_rule("read", "/read/", "safe", **action)
    await vms.configure([rule])
    return await vms.start_vm("vm-1")


class TestKeys:
    # Guards against an evacuation that depends on what operators write.
    @pytest.mark.parametrize("value", [b"", b"0", b"{}", b"\xff\x00"])
    def test_any_value_evacuates(self, value: bytes) -> None:
        change = store_keys.decode_change(f"{KEY}zone-a", value)
        assert change == cluster_state.EvacuationChange("zone-a", True)

    def test_removed_key_ends_the_evacuation(self) -> None:
        change = store_keys.decode_change(f"{KEY}zone-a", None)
        assert change == cluster_state.EvacuationChange("zone-a", False)

    @pytest.mark.parametrize("zone", ["", "a\nb", "z" * 201])
    def test_odd_zone_is_rejected(self, zone: str) -> None:
        with pytest.raises(errors.PlatformFormatError):
            store_keys.decode_change(KEY + zone, b"")

    # Guards against a key that ends the decoding of all others.
    @hypothesis.settings(derandomize=True)
    @hypothesis.given(
        strategies.text(), strategies.none() | strategies.binary()
    )
    def test_odd_keys_raise_no_other_errors(
        self, zone: str, value: bytes | None
    ) -> None:
        try:
            change = store_keys.decode_change(KEY + zone, value)
        except errors.PlatformFormatError:
            return
        assert change == cluster_state.EvacuationChange(zone, value is not None)


class TestClusterState:
    def test_zone_is_evacuated_while_its_key_exists(self) -> None:
        cluster = cluster_state.ClusterState()
        begin = cluster_state.EvacuationChange("zone-a", True)
        end = cluster_state.EvacuationChange("zone-a", False)
        assert cluster.apply(0.0, "key", 1, begin)
        assert not cluster.apply(0.0, "key", 2, begin)
        assert cluster.evacuated == {"zone-a"}
        assert not cluster.apply(0.0, "key", 1, end), "an older revision"
        assert cluster.apply(0.0, "key", 3, end)
        assert not cluster.apply(0.0, "key", 4, end)
        assert cluster.evacuated == set()


class TestRequests:
    # Guards against requests to a zone that operators take away.
    async def test_evacuated_zone_gets_no_requests_until_it_returns(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start(vms)
        await evacuate(vms, "zone-a")
        for number in range(8):
            response = await vms.send("vm-1", f"/read/{number}")
            assert response[:2] == (200, b"other")
        await evacuate(vms, "zone-a", None)
        vms.set_faults("other", full=True)
        assert (await vms.send("vm-1", "/read/1"))[1] in (b"t-1", b"t-2")

    # Guards against a VM that starts during an evacuation and does not know it.
    async def test_vm_that_starts_during_an_evacuation_keeps_it(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.store.put(KEY + "zone-a", b"")
        await start(vms)
        for number in range(4):
            assert (await vms.send("vm-1", f"/read/{number}"))[1] == b"other"

    # Guards against an odd key that costs the evacuations beside it.
    async def test_odd_keys_cost_only_themselves(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.store.put(KEY, b"")
        await vms.store.put(KEY + "a\nb", b"")
        await start(vms)
        await evacuate(vms, "zone-b", b"\xff")
        assert vms.vms["vm-1"]._cluster.evacuated == {"zone-b"}
        assert (await vms.send("vm-1", "/read/1"))[1] in (b"t-1", b"t-2")

    # Guards against a caller that waits although no target is left.
    async def test_request_is_refused_at_once_if_no_zone_is_left(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start(vms, Timeout="60s")
        await evacuate(vms, "zone-a")
        await evacuate(vms, "zone-b")
        sending = vms.send("vm-1", "/read/1", attempt="one", remaining="60000")
        async with asyncio.timeout(10.0):
            assert (await sending)[0] == 503
        assert vms.find_targets_that_ran("one") == []

    # Guards against a request that an evacuation aborts.
    async def test_request_that_was_sent_continues(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start(vms, Timeout="20s", MaxAttempts=1)
        await evacuate(vms, "zone-b")
        vms.targets["t-1"].service_ms = vms.targets["t-2"].service_ms = 1000.0
        task = asyncio.create_task(
            vms.send("vm-1", "/read/1", attempt="one", remaining="20000")
        )
        await fleet.wait_for(lambda: vms.find_targets_that_ran("one"))
        await evacuate(vms, "zone-a")
        assert (await task)[0] == 200
        assert len(vms.find_targets_that_ran("one")) == 1

    # Guards against a target that was selected just before its zone was
    # evacuated, also by a retry.
    async def test_selected_target_is_checked_before_the_request_is_sent(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = await start(vms)
        selector = vm._request_runner._selector
        select = selector.select
        selected: list[str] = []

        async def select_and_evacuate(context: Any) -> Any:
            candidate = await select(context)
            selected.append(candidate.row.entry.zone)
            if len(selected) == 1:
                await evacuate(vms, candidate.row.entry.zone)
            return candidate

        selector.select = select_and_evacuate  # type: ignore
        status, body, _ = await vms.send("vm-1", "/read/1", attempt="one")
        assert status == 200
        (target,) = vms.find_targets_that_ran("one")
        assert body == target.encode()
        zones = {"t-1": "zone-a", "t-2": "zone-a", "other": "zone-b"}
        assert zones[target] != selected[0]

    # Guards against a retry in the zone that was evacuated meanwhile.
    async def test_retry_avoids_the_evacuated_zone(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await start(vms, Timeout="20s", MaxAttempts=4)
        vms.set_faults("t-1", "t-2", "other", failing=True)
        await evacuate(vms, "zone-a")
        assert (await vms.send("vm-1", "/read/1", attempt="one"))[0] == 500
        assert set(vms.find_targets_that_ran("one")) == {"other"}


@pytest.fixture(name="log_lines")
def collect_log_lines() -> Iterator[list[dict[str, Any]]]:
    """Yields a list that receives each line of the log."""
    lines: list[dict[str, Any]] = []

    def add_line(message: Any) -> None:
        lines.append(
            msgspec.json.decode(structured_log.encode_record(message.record))
        )

    sink = loguru.logger.add(add_line, level="DEBUG")
    yield lines
    loguru.logger.remove(sink)


class TestReports:
    # Guards against an evacuation that operators cannot see.
    async def test_evacuated_zones_are_logged_and_a_metric(
        self, vms: vm_fleet.VmFleet, log_lines: list[dict[str, Any]]
    ) -> None:
        await start(vms)
        await evacuate(vms, "zone-a")
        await fleet.wait_for(
            lambda: any(x["event"] == "zone evacuated" for x in log_lines)
        )
        url = f"http://{vms.settings['vm-1'].readiness}/metrics"
        async with vms.session.get(url) as response:
            assert "wigeonspool_vm_zones_evacuated 1" in await response.text()
        await evacuate(vms, "zone-a", None)
        await fleet.wait_for(
            lambda: any(x["event"] == "zone used again" for x in log_lines)
        )
        lines = [x for x in log_lines if x["event"].startswith("zone ")]
        assert [(x["zone"], x["evacuated"]) for x in lines] == [
            ("zone-a", ["zone-a"]),
            ("zone-a", []),
        ]
