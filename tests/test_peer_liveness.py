"""Tests the pings between VMs."""

from typing import Any

import pytest

from tests import test_store_keys
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
        # Guards against LOST: `int(port)` ended the task of periodic work.
        protocol, transport = build_protocol()
        odd_vm = build_vm("vm-1", address)
        protocol.monitor([odd_vm, build_vm("vm-2", "10.0.0.2:2")])
        for _ in range(peer_liveness.MAX_MISSED_PINGS):
            protocol.send_pings()
        assert {to for _, to in transport.sent} == {("10.0.0.2", 2)}
        assert not protocol.is_live(odd_vm)
