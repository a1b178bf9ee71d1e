"""Connections to targets, each of which is proved alive before its use.

A kept connection may have died or gone silent since its last use. Whoever
sends work therefore asks the target for its load first, and sends the work
over the very connection that the answer came on.
"""

import asyncio
import socket
from typing import Any, Final

from aiohttp import client_proto

from wigeonspool.gateway import connections

# For targets that do not tell when they close an idle connection; a health
# check proves the connection before its use anyway.
IDLE_SECONDS: Final = 8.0
# Taken off the idle time that a target announces, in whole seconds.
IDLE_SLACK_SECONDS: Final = 1.0
# A round trip between regions takes 25 ms; one lost packet costs 200 ms more.
CONNECT_TIMEOUT_SECONDS: Final = 0.4
MAX_IDLE_PER_TARGET: Final = 8


class TargetProtocol(client_proto.ResponseHandler):
    """The HTTP library's protocol, which also tells how a connection ended.

    Attributes:
        was_reset: True if the connection ended by anything but a clean close.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Prepares a protocol for one connection."""
        super().__init__(loop)
        self.was_reset = False

    def connection_lost(self, exc: BaseException | None) -> None:
        """Notes how the connection ended."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class Channel:
    """One connection to a target, used by one exchange at a time.

    Attributes:
        address: host:port of the target.
        protocol: Protocol of the connection.
        idle_since: When it was last given back, loop clock.
        keep_alive_seconds: How long the target keeps it open without use.
        exchange_count: Exchanges that it carried.
    """

    __slots__ = (
        "_pool",
        "address",
        "idle_since",
        "keep_alive_seconds",
        "protocol",
        "exchange_count",
    )

    def __init__(
        self, pool: "ChannelPool", address: str, protocol: TargetProtocol
    ) -> None:
        """Takes an open connection."""
        self._pool = pool
        self.address = address
        self.protocol = protocol
        self.idle_since = 0.0
        self.keep_alive_seconds = IDLE_SECONDS
        self.exchange_count = 0

    @property
    def transport(self) -> asyncio.Transport | None:
        """Transport of the connection, or None once it is closed."""
        return self.protocol.transport

    @property
    def was_reset(self) -> bool:
        """True if the connection did not end by a clean close."""
        return self.protocol.was_reset

    def release(self) -> None:
        """Gives the connection back for further use."""
        self._pool.release(self)

    def close(self) -> None:
        """Closes the connection; what the target runs on it is cancelled."""
        self.protocol.abort()


class ChannelPool:
    """Keeps the idle channels of a VM.

    Attributes:
        opened: Connections opened so far.
        connect_failures: Connections that could not be opened.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Prepares an empty pool."""
        self._loop = loop
        self._idle: dict[str, list[Channel]] = {}
        self.opened = 0
        self.connect_failures = 0

    def acquire(self, address: str) -> Channel | None:
        """Returns an idle channel, or None if one must be opened."""
        idle = self._idle.get(address)
        now = self._loop.time()
        while idle:
            channel = idle.pop()
            fresh = now - channel.idle_since < channel.keep_alive_seconds
            if fresh and is_usable(channel):
                return channel
            channel.close()
        return None

    async def open(
        self, address: str, timeout_seconds: float = CONNECT_TIMEOUT_SECONDS
    ) -> Channel:
        """Returns a new channel.

        Args:
            address: host:port of the target.
            timeout_seconds: Longest time to wait for the connection.

        Raises:
            OSError: If the target refuses it or does not answer in time.
        """
        host, _, port = address.rpartition(":")
        self.opened += 1
        tcp_socket = connections.open_socket(
            (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", None)
        )
        tcp_socket.setblocking(False)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._loop.sock_connect(tcp_socket, (host, int(port)))
                _, protocol = await self._loop.create_connection(
                    lambda: TargetProtocol(self._loop), sock=tcp_socket
                )
        except BaseException as error:
            tcp_socket.close()
            if isinstance(error, OSError):
                self.connect_failures += 1
            raise
        return Channel(self, address, protocol)

    def release(self, channel: Channel) -> None:
        """Keeps a channel for further use, or closes it if that is unsafe."""
        if not is_usable(channel):
            channel.close()
            return
        idle = self._idle.setdefault(channel.address, [])
        if len(idle) >= MAX_IDLE_PER_TARGET:
            channel.close()
            return
        channel.idle_since = self._loop.time()
        idle.append(channel)

    def close_idle(self, address: str) -> None:
        """Closes the idle channels of a target that is gone or silent."""
        for channel in self._idle.pop(address, ()):
            channel.close()

    def close_expired(self) -> None:
        """Closes the channels that have been idle for too long."""
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            kept = []
            for channel in idle:
                if now - channel.idle_since < channel.keep_alive_seconds:
                    kept.append(channel)
                else:
                    channel.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle channels."""
        for address in list(self._idle):
            self.close_idle(address)


def is_usable(channel: Channel) -> bool:
    """Returns True if a channel is open and holds nothing unread."""
    protocol = channel.protocol
    return protocol.is_connected() and not protocol.should_close


def record_keep_alive(channel: Channel, fields: Any) -> bool:
    """Takes from an answer how long its connection may be kept.

    Args:
        channel: Channel that the answer came on.
        fields: Fields of the answer.

    Returns:
        False if the target closes the connection after this answer.
    """
    channel.exchange_count += 1
    if fields.get("Connection", "").lower() == "close":
        return False
    _, _, text = fields.get("Keep-Alive", "").partition("timeout=")
    seconds = text.partition(",")[0].strip()
    if seconds.isdecimal():
        channel.keep_alive_seconds = int(seconds) - IDLE_SLACK_SECONDS
    return True
