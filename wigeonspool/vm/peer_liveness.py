"""Detects unavailable VMs by pings, sent as UDP datagrams.

Several times a second, a VM pings the VMs that it returns in address lookups,
and some spare ones. Since datagrams get lost, a VM counts as unavailable only
after several pings in a row without a reply.
"""

import asyncio
from collections.abc import Callable
import contextlib
import dataclasses
from typing import Annotated, Any, Final, Literal

import msgspec

from wigeonspool.model import addresses
from wigeonspool.model import fleet

PING_INTERVAL_SECONDS: Final = 0.2
# After this many pings in a row without a reply, a VM has stopped, hangs or is
# disconnected from the network.
MAX_MISSED_PINGS: Final = 3
# How long a lookup waits for the reply of a VM that was not pinged before. A
# round trip between regions takes 25 ms.
REPLY_TIMEOUT_SECONDS: Final = 0.1
# A VM is pinged for this long after the last lookup that needed it.
MONITORING_SECONDS: Final = 10.0
PING: Final = 0
PONG: Final = 1


# A utilization beyond this is an error, also with the smallest capacity.
MAX_UTILIZATION: Final = 1000.0


class Datagram(msgspec.Struct, array_like=True):
    """The content of one datagram.

    Attributes:
        kind: `PING` or `PONG`.
        sent_at: Time at which the ping was sent, on the clock of its sender.
        busy: Fraction of its capacity that the replying VM uses.
        leaving: True if the replying VM is draining.
        ready: True if the replying VM can serve callers.
    """

    kind: Literal[0, 1]
    sent_at: float
    busy: Annotated[float, msgspec.Meta(ge=0, le=MAX_UTILIZATION)] = 0.0
    leaving: bool = False
    ready: bool = True


@dataclasses.dataclass(slots=True)
class PeerLiveness:
    """The state of one VM that is pinged.

    Attributes:
        missed_pings: Pings in a row without a reply.
        utilization: Fraction of its capacity that it uses.
        is_unavailable: True if it replied that it accepts no new callers.
        monitored_until: Time until which it is pinged, loop clock.
        confirm_by: Time until which lookups wait for its first reply, loop
            clock, or None if none has.
        replied: Set once it has replied.
    """

    missed_pings: int = 0
    utilization: float = 0.0
    is_unavailable: bool = False
    monitored_until: float = 0.0
    confirm_by: float | None = None
    replied: asyncio.Event = dataclasses.field(default_factory=asyncio.Event)


class LivenessProtocol(asyncio.DatagramProtocol):
    """Pings other VMs, and replies to their pings.

    Attributes:
        peers: State of each VM that is pinged, by peer address.
    """

    def __init__(self, build_pong: Callable[[], Datagram]) -> None:
        """Creates a protocol that pings no VM yet.

        Args:
            build_pong: Returns the reply to a ping.
        """
        self.peers: dict[str, PeerLiveness] = {}
        self._build_pong = build_pong
        self._transport: asyncio.DatagramTransport | None = None
        self._loop = asyncio.get_running_loop()

    def connection_made(self, transport: Any) -> None:
        """Stores the transport for replies and pings."""
        self._transport = transport

    def datagram_received(self, data: bytes, addr: Any) -> None:
        """Replies to a ping, or updates the state of the VM that replied."""
        try:
            datagram = msgspec.msgpack.decode(data, type=Datagram)
        except (msgspec.MsgspecError, ValueError, RecursionError):
            # Datagrams of other programs may arrive at this port.
            return
        if datagram.kind == PING and self._transport is not None:
            pong = self._build_pong()
            pong.sent_at = datagram.sent_at
            self._transport.sendto(msgspec.msgpack.encode(pong), addr)
            return
        peer = self.peers.get(f"{addr[0]}:{addr[1]}")
        if peer is not None:
            peer.missed_pings = 0
            peer.utilization = datagram.busy
            peer.is_unavailable = datagram.leaving or not datagram.ready
            peer.replied.set()

    def monitor(self, vms: list[fleet.VmEntry]) -> None:
        """Pings some VMs for `MONITORING_SECONDS` from now on.

        A VM that was not pinged before counts as available until it misses
        pings.
        """
        monitored_until = self._loop.time() + MONITORING_SECONDS
        for vm in vms:
            peer = self.peers.setdefault(vm.peer_address, PeerLiveness())
            peer.monitored_until = monitored_until

    def is_live(self, vm: fleet.VmEntry) -> bool:
        """Returns True unless a VM is known not to accept callers."""
        peer = self.peers.get(vm.peer_address)
        if peer is None:
            return True
        return peer.missed_pings < MAX_MISSED_PINGS and not peer.is_unavailable

    def is_confirmed(self, vm: fleet.VmEntry) -> bool:
        """Returns True if a VM has replied and is not known to be unavailable.

        A VM that is registered may have lost power, and one that has not
        replied may not have started.
        """
        peer = self.peers.get(vm.peer_address)
        return peer is not None and peer.replied.is_set() and self.is_live(vm)

    async def confirm(self, vms: list[fleet.VmEntry]) -> None:
        """Pings VMs and waits until each has replied, or for a short time.

        Does not wait for VMs that did not reply to an earlier call in time.
        """
        self.monitor(vms)
        peers = {vm.peer_address: self.peers[vm.peer_address] for vm in vms}
        now = self._loop.time()
        for address, peer in peers.items():
            if peer.confirm_by is None:
                peer.confirm_by = now + REPLY_TIMEOUT_SECONDS
                self._ping(address, peer)
                self._loop.call_later(
                    REPLY_TIMEOUT_SECONDS / 2, self._ping_again, address, peer
                )
        for peer in peers.values():
            assert peer.confirm_by is not None
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout_at(peer.confirm_by):
                    await peer.replied.wait()

    def _ping_again(self, address: str, peer: PeerLiveness) -> None:
        """Pings a VM that has not replied yet, as one datagram may be lost.

        Both pings together count as one that is missed.
        """
        if not peer.replied.is_set():
            peer.missed_pings -= 1
            self._ping(address, peer)

    def _ping(self, address: str, peer: PeerLiveness) -> None:
        """Pings one VM; the ping counts as missed until its reply arrives."""
        if self._transport is None:
            return
        peer.missed_pings += 1
        data = msgspec.msgpack.encode(Datagram(PING, self._loop.time()))
        # A ping that cannot be sent is a missed one.
        with contextlib.suppress(OSError):
            self._transport.sendto(data, addresses.split_address(address))

    def send_pings(self) -> None:
        """Pings each monitored VM once, and removes expired ones."""
        now = self._loop.time()
        if self._transport is None:
            return
        for address, peer in list(self.peers.items()):
            if peer.monitored_until <= now:
                del self.peers[address]
            else:
                self._ping(address, peer)

    def reset_missed(self) -> None:
        """Clears the missed pings of all VMs, after this process was paused."""
        for peer in self.peers.values():
            peer.missed_pings = 0
