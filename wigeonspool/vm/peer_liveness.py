"""Finds out which VMs live, by datagrams that they answer at once.

A VM that callers are told of is asked several times a second by those that
name it. Datagrams get lost, so only a few in a row tell that it is gone.
"""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Any, Final

import msgspec

from wigeonspool.model import fleet

PING_INTERVAL_SECONDS: Final = 0.2
# So many pings in a row without an answer: gone, frozen or cut off.
MAX_MISSED_PINGS: Final = 3
# Callers asked for a zone within this time, so its VMs are worth asking.
INTEREST_SECONDS: Final = 10.0
PING: Final = 0
PONG: Final = 1


class Datagram(msgspec.Struct, array_like=True):
    """What one datagram holds.

    Attributes:
        kind: Ping or pong.
        sent_at: When the ping was sent, on its sender's clock.
        busy: Part of its capacity that the answering VM uses.
        leaving: True if the answering VM prepares to stop.
        ready: True if the answering VM can serve callers.
    """

    kind: int
    sent_at: float
    busy: float = 0.0
    leaving: bool = False
    ready: bool = True


@dataclasses.dataclass(slots=True)
class PeerLiveness:
    """What is known of one VM's life.

    Attributes:
        missed_pings: Pings in a row without an answer.
        utilization: Part of its capacity that it uses.
        is_unavailable: True if it says that it takes no new callers.
        monitored_until: Deadline of the interest in it, loop clock.
    """

    missed_pings: int = 0
    utilization: float = 0.0
    is_unavailable: bool = False
    monitored_until: float = 0.0


class LivenessProtocol(asyncio.DatagramProtocol):
    """Asks other VMs whether they live, and answers them.

    Attributes:
        peers: What is known of each VM that is asked, by address.
    """

    def __init__(self, build_pong: Callable[[], Datagram]) -> None:
        """Prepares the protocol.

        Args:
            build_pong: Returns the answer to a ping.
        """
        self.peers: dict[str, PeerLiveness] = {}
        self._build_pong = build_pong
        self._transport: asyncio.DatagramTransport | None = None
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: Any) -> None:
        """Takes the transport."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Answers a ping, or takes the answer to one."""
        try:
            found = msgspec.msgpack.decode(data, type=Datagram)
        except (msgspec.MsgspecError, ValueError):
            # Anybody can send a datagram; one that is none of ours is nothing.
            return
        if found.kind == PING and self._transport is not None:
            answer = self._build_pong()
            answer.sent_at = found.sent_at
            self._transport.sendto(msgspec.msgpack.encode(answer), addr)
            return
        row = self.peers.get(f"{addr[0]}:{addr[1]}")
        if row is not None:
            row.missed_pings = 0
            row.utilization = found.busy
            row.is_unavailable = found.leaving or not found.ready

    def monitor(self, vms: list[fleet.VmEntry]) -> None:
        """Asks some VMs from now on; they are taken to live meanwhile."""
        until = self._loop.time() + INTEREST_SECONDS
        for vm in vms:
            row = self.peers.setdefault(vm.peer_address, PeerLiveness())
            row.monitored_until = until

    def is_live(self, vm: fleet.VmEntry) -> bool:
        """Returns True unless a VM is known to take no callers."""
        row = self.peers.get(vm.peer_address)
        if row is None:
            return True
        return row.missed_pings < MAX_MISSED_PINGS and not row.is_unavailable

    def send_pings(self) -> None:
        """Asks each VM of interest once."""
        now = self._loop.time()
        if self._transport is None:
            return
        data = msgspec.msgpack.encode(Datagram(PING, now))
        for address, row in list(self.peers.items()):
            if row.monitored_until <= now:
                del self.peers[address]
                continue
            row.missed_pings += 1
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def reset_missed(self) -> None:
        """Takes all VMs to live; this process stood still itself."""
        for row in self.peers.values():
            row.missed_pings = 0
