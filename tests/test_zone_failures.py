"""Zones whose targets all stop responding at once, while connections hang."""

import asyncio
from typing import Any

import pytest

from tests import vm_fleet
from wigeonspool.core import zone_silence
from wigeonspool.vm import channels
from wigeonspool.vm import service
from wigeonspool.vm import target_probes


class TestZoneSilence:
    # Guards against one target that makes its zone the last choice.
    def test_zone_is_silent_after_several_targets(self) -> None:
        silence = zone_silence.ZoneSilence()
        silence.record_timeout(0.0, "zone-a", "t-1")
        silence.record_timeout(0.1, "zone-a", "t-1")
        assert silence.list_silent(0.1) == set()
        silence.record_timeout(0.2, "zone-a", "t-2")
        silence.record_timeout(0.2, "zone-b", "t-3")
        assert silence.list_silent(0.2) == {"zone-a"}

    # Guards against a zone that stays the last choice although it is back.
    def test_response_ends_the_silence(self) -> None:
        silence = zone_silence.ZoneSilence()
        silence.record_timeout(0.0, "zone-a", "t-1")
        silence.record_timeout(0.0, "zone-a", "t-2")
        silence.record_response("zone-a")
        silence.record_timeout(0.1, "zone-a", "t-1")
        assert silence.list_silent(0.1) == set()

    # Guards against a zone that is not tried again.
    def test_silence_ends(self) -> None:
        silence = zone_silence.ZoneSilence()
        silence.record_timeout(0.0, "zone-a", "t-1")
        silence.record_timeout(0.5, "zone-a", "t-2")
        end = 0.5 + zone_silence.SILENCE_SECONDS
        assert silence.list_silent(end - 0.01) == {"zone-a"}
        assert silence.list_silent(end) == set()
        silence.record_timeout(end, "zone-a", "t-2")
        assert silence.list_silent(end) == set()


def hang_connections(
    vm: service.VmService, addresses: set[str], hanging: asyncio.Event
) -> None:
    """Lets new connections to some addresses hang until an event is set."""
    pool = vm._channel_pool
    open_channel = pool.open

    async def open_or_hang(address: str, *options: Any) -> channels.Channel:
        if address in addresses:
            await hanging.wait()
            raise TimeoutError
        return await open_channel(address, *options)

    pool.open = open_or_hang  # type: ignore


async def start(vms: vm_fleet.VmFleet, kind: str) -> service.VmService:
    """Starts a VM with eight targets in its zone and three in the next."""
    for number in range(10, 16):
        await vms.start_target(f"t-{number}", "reads", "zone-a")
    for number in range(20, 23):
        await vms.start_target(f"t-{number}", "reads", "zone-b")
    rule = vm_fleet.build_rule(
        "read", "/read/", kind, Service="reads", Timeout="20s"
    )
    await vms.configure([rule])
    return await vms.start_vm("vm-1")


def list_addresses(vms: vm_fleet.VmFleet, zone: str) -> set[str]:
    """Returns the addresses of the targets of a zone."""
    return {
        address
        for _, target_zone, address in vms._registrations.values()
        if target_zone == zone
    }


class TestHangingZone:
    # Guards against a request that waits for connections that hang, one batch
    # of health checks after the other. Without a limit, these wait forever.
    @pytest.mark.parametrize("kind", ["safe", "download"])
    async def test_requests_are_served_by_other_zones(
        self, vms: vm_fleet.VmFleet, kind: str
    ) -> None:
        vm = await start(vms, kind)
        hanging = asyncio.Event()
        hang_connections(vm, list_addresses(vms, "zone-a"), hanging)
        zone_b = {b"t-20", b"t-21", b"t-22"}
        for number in range(5):
            path = f"/read/{number}"
            status, body, _ = await vms.send("vm-1", path, remaining="9000")
            assert status == 200
            assert body in zone_b
        hanging.set()

    # Guards against requests that each find out for themselves that a zone has
    # failed, by the timeouts of its targets.
    @pytest.mark.parametrize("kind", ["safe", "download"])
    async def test_zone_is_probed_last_once_it_is_silent(
        self,
        vms: vm_fleet.VmFleet,
        kind: str,
        monkeypatch: pytest.MonkeyPatch,
    ) -> None:
        monkeypatch.setattr(zone_silence, "SILENCE_SECONDS", 60.0)
        # Without ejections, only the silence of the zone decides.
        monkeypatch.setattr(
            target_probes.estimates, "record_unreachable", lambda *_: None
        )
        vm = await start(vms, kind)
        dead = [
            identity
            for identity, (_, zone, _) in vms._registrations.items()
            if zone == "zone-a"
        ]
        vms.set_faults(*dead, mute=True)
        probed: list[str] = []
        probe = vm._prober._probe

        async def record_probe(row: Any) -> Any:
            probed.append(row.entry.zone)
            return await probe(row)

        vm._prober._probe = record_probe  # type: ignore
        number = 0
        while not vm._prober._silence.list_silent(vm._prober._loop.time()):
            number += 1
            await vms.send("vm-1", f"/read/{number}", remaining="9000")
        probed.clear()
        for _ in range(10):
            response = await vms.send("vm-1", "/read/1", remaining="9000")
            assert response[0] == 200
        assert probed
        assert "zone-a" not in probed

    # Guards against a zone that is left out although no other one is there.
    async def test_silent_zone_is_used_if_there_is_no_other(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.setattr(zone_silence, "SILENCE_SECONDS", 60.0)
        vm = await vms.start_vm("vm-1")
        now = asyncio.get_running_loop().time()
        for identity in ("t-1", "t-2"):
            vm._prober._silence.record_timeout(now, "zone-a", identity)
        assert (await vms.send("vm-1", "/read/1"))[0] == 200
        assert not vm._prober._silence.list_silent(now)
