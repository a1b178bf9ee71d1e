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

PING_SECONDS: Final = 0.2
# So many pings in a row without an answer: gone, frozen or cut off.
MOST_MISSED: Final = 3
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
class PeerRow:
    """What is known of one VM's life.

    Attributes:
        missed: Pings in a row without an answer.
        busy: Part of its capacity that it uses.
        refusing: True if it says that it takes no new callers.
        wanted_until: Deadline of the interest in it, loop clock.
    """

    missed: int = 0
    busy: float = 0.0
    refusing: bool = False
    wanted_until: float = 0.0


class LifeProtocol(asyncio.DatagramProtocol):
    """Asks other VMs whether they live, and answers them.

    Attributes:
        rows: What is known of each VM that is asked, by address.
    """

    def __init__(self, describe: Callable[[], Datagram]) -> None:
        """Prepares the protocol.

        Args:
            describe: Returns the answer to a ping.
        """
        self.rows: dict[str, PeerRow] = {}
        self._describe = describe
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
            answer = self._describe()
            answer.sent_at = found.sent_at
            self._transport.sendto(msgspec.msgpack.encode(answer), addr)
            return
        row = self.rows.get(f"{addr[0]}:{addr[1]}")
        if row is not None:
            row.missed = 0
            row.busy = found.busy
            row.refusing = found.leaving or not found.ready

    def want(self, vms: list[fleet.VmEntry]) -> None:
        """Asks some VMs from now on; they are taken to live meanwhile."""
        until = self._loop.time() + INTEREST_SECONDS
        for vm in vms:
            row = self.rows.setdefault(vm.peer_address, PeerRow())
            row.wanted_until = until

    def is_live(self, vm: fleet.VmEntry) -> bool:
        """Returns True unless a VM is known to take no callers."""
        row = self.rows.get(vm.peer_address)
        if row is None:
            return True
        return row.missed < MOST_MISSED and not row.refusing

    def ping(self) -> None:
        """Asks each VM of interest once."""
        now = self._loop.time()
        if self._transport is None:
            return
        data = msgspec.msgpack.encode(Datagram(PING, now))
        for address, row in list(self.rows.items()):
            if row.wanted_until <= now:
                del self.rows[address]
                continue
            row.missed += 1
            host, _, port = address.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def forgive(self) -> None:
        """Takes all VMs to live; this process stood still itself."""
        for row in self.rows.values():
            row.missed = 0
