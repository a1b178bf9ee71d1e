"""Tests the pings between VMs."""

import asyncio
from typing import Any

import msgspec
import pytest

from tests import test_store_keys
from wigeonspool.load import virtual_loop
from wigeonspool.model import fleet
from wigeonspool.vm import peer_liveness


class Transport:
    """Records the datagrams that a protocol sends."""

    def __init__(self) -> None:
        self.sent: list[tuple[bytes, Any]] = []

    def sendto(self, data: bytes, address: Any) -> None:
        """Records a datagram."""
        self.sent.append((data, address))


def build_protocol() -> tuple[peer_liveness.LivenessProtocol, Transport]:
    """Returns a protocol and the transport that it sends on."""
    protocol = peer_liveness.LivenessProtocol(
        lambda: peer_liveness.Datagram(peer_liveness.PONG, 0.0)
    )
    transport = Transport()
    protocol.connection_made(transport)
    return protocol, transport


def build_vm(name: str, peer_address: str) -> fleet.VmEntry:
    """Returns the entry of a VM with a peer address."""
    return fleet.VmEntry(name, "r", "z", "10.0.0.1:1", peer_address)


class TestPings:
    @pytest.mark.parametrize("address", test_store_keys.INVALID_ADDRESSES)
    async def test_invalid_address_does_not_end_the_pings(
        self, address: str
    ) -> None:
        # Guards against lost requests: `int(port)` ended the task of periodic
        # work.
        protocol, transport = build_protocol()
        odd_vm = build_vm("vm-1", address)
        protocol.monitor([odd_vm, build_vm("vm-2", "10.0.0.2:2")])
        for _ in range(peer_liveness.MAX_MISSED_PINGS):
            protocol.send_pings()
        assert {to for _, to in transport.sent} == {("10.0.0.2", 2)}
        assert not protocol.is_live(odd_vm)


class TestConfirmation:
    """Lookups wait for the first reply of a VM."""

    async def test_vm_is_confirmed_by_its_reply(self) -> None:
        protocol, transport = build_protocol()
        vm = build_vm("vm-1", "10.0.0.1:2")
        confirmation = asyncio.create_task(protocol.confirm([vm]))
        await asyncio.sleep(0)
        # The ping does not wait for the next tick.
        assert [to for _, to in transport.sent] == [("10.0.0.1", 2)]
        assert protocol.is_live(vm) and not protocol.is_confirmed(vm)
        pong = peer_liveness.Datagram(peer_liveness.PONG, 0.0)
        data = msgspec.msgpack.encode(pong)
        protocol.datagram_received(data, ("10.0.0.1", 2))
        await confirmation
        assert protocol.is_confirmed(vm)
        for _ in range(peer_liveness.MAX_MISSED_PINGS):
            protocol.send_pings()
        assert not protocol.is_confirmed(vm)

    async def test_vm_that_is_not_ready_is_not_confirmed(self) -> None:
        protocol, _ = build_protocol()
        vm = build_vm("vm-1", "10.0.0.1:2")
        confirmation = asyncio.create_task(protocol.confirm([vm]))
        await asyncio.sleep(0)
        pong = peer_liveness.Datagram(peer_liveness.PONG, 0.0, ready=False)
        data = msgspec.msgpack.encode(pong)
        protocol.datagram_received(data, ("10.0.0.1", 2))
        await confirmation
        assert not protocol.is_confirmed(vm)

    @pytest.mark.parametrize("address", ["10.0.0.1:2", "odd", ""])
    async def test_lookups_wait_only_once_for_a_vm_without_reply(
        self, address: str, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        # Guards against lookups that each wait for a VM without power.
        monkeypatch.setattr(peer_liveness, "REPLY_TIMEOUT_SECONDS", 0.02)
        protocol, _ = build_protocol()
        vm = build_vm("vm-1", address)
        await protocol.confirm([vm])
        confirm_by = protocol.peers[address].confirm_by
        assert not protocol.is_confirmed(vm)
        await protocol.confirm([vm])
        assert protocol.peers[address].confirm_by == confirm_by

    # Guards against a lookup that omits a VM because one datagram was lost.
    def test_lost_first_ping_is_repeated_in_time(self) -> None:
        async def run() -> None:
            protocol, transport = build_protocol()
            vm = build_vm("vm-1", "10.0.0.1:2")
            confirmation = asyncio.create_task(protocol.confirm([vm]))
            await asyncio.sleep(0)
            assert len(transport.sent) == 1
            while len(transport.sent) == 1 and not confirmation.done():
                await asyncio.sleep(0.001)
            assert not confirmation.done()
            # Both pings count as one, so that the VM is not excluded earlier.
            assert protocol.peers[vm.peer_address].missed_pings == 1
            pong = peer_liveness.Datagram(peer_liveness.PONG, 0.0)
            data = msgspec.msgpack.encode(pong)
            protocol.datagram_received(data, ("10.0.0.1", 2))
            await confirmation
            assert protocol.is_confirmed(vm)

        virtual_loop.run(run())


class TestDatagrams:
    @pytest.mark.parametrize(
        "data",
        [
            b"",
            b"\xc1",
            b"\x91" * 5000,
            b"\x93\x01\x00" + b"\x91" * 5000,
            b"\x96\x01\x00\x00\xc2\xc3" + b"\x91" * 5000 + b"\x00",
            msgspec.msgpack.encode([1, 0.0, float("nan")]),
            msgspec.msgpack.encode([1, 0.0, float("inf")]),
            msgspec.msgpack.encode([1, 0.0, -1.0]),
            msgspec.msgpack.encode([1, 0.0, 1e300]),
            msgspec.msgpack.encode([2**64 - 1, 0.0, 0.5]),
            msgspec.msgpack.encode([2, 0.0, 0.5]),
            msgspec.msgpack.encode(["1", 0.0, 0.5]),
        ],
    )
    async def test_odd_datagram_changes_nothing(self, data: bytes) -> None:
        # A NaN utilization would make the mean of all VMs NaN.
        protocol, transport = build_protocol()
        vm = build_vm("vm-1", "10.0.0.1:2")
        protocol.monitor([vm])
        protocol.send_pings()
        protocol.datagram_received(data, ("10.0.0.1", 2))
        peer = protocol.peers[vm.peer_address]
        assert (peer.missed_pings, peer.utilization) == (1, 0.0)
        assert len(transport.sent) == 1

    @pytest.mark.parametrize("sent_at", [float("nan"), float("inf"), 1e300])
    async def test_ping_with_an_odd_time_gets_a_reply(
        self, sent_at: float
    ) -> None:
        protocol, transport = build_protocol()
        protocol.datagram_received(
            msgspec.msgpack.encode([0, sent_at]), ("10.0.0.1", 2)
        )
        ((data, _),) = transport.sent
        pong = msgspec.msgpack.decode(data, type=peer_liveness.Datagram)
        assert pong.kind == peer_liveness.PONG
