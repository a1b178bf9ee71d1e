"""Connections to targets, each of which is probed before it is used.

A pooled connection may have been closed or may have become unresponsive since
its last use. A health check is therefore sent first, and the request follows
on the connection on which the response to the health check arrived.
"""

import asyncio
from collections.abc import Callable
import socket
from typing import Any, Final

from wigeonspool.core import connection_limits
from wigeonspool.gateway import parse_queue
from wigeonspool.gateway import response_protocol
from wigeonspool.gateway import sockets
from wigeonspool.model import addresses
from wigeonspool.model import errors
from wigeonspool.vm import structured_log

# How long a connection may stay idle if its target does not announce when it
# closes idle connections. A health check tests the connection before each
# request anyway.
IDLE_SECONDS: Final = 8.0
# Subtracted from the idle time that a target announces in whole seconds.
IDLE_SLACK_SECONDS: Final = 1.0
# A round trip between regions takes 25 ms; one lost packet costs 200 ms more.
CONNECT_TIMEOUT_SECONDS: Final = 0.4
MAX_KEEP_ALIVE_DIGITS: Final = 6

log = structured_log.get_logger("targets")


class TargetProtocol(response_protocol.ResponseProtocol):
    """A protocol that accepts data only as a response.

    Attributes:
        was_reset: True if the connection ended by anything but a clean close.
        response_due: True from the start of an exchange to its end.
    """

    def __init__(
        self,
        loop: asyncio.AbstractEventLoop,
        on_unsolicited: Callable[[], None] = lambda: None,
        queue: parse_queue.ParseQueue | None = None,
    ) -> None:
        """Creates the protocol of one connection.

        Args:
            loop: The event loop.
            on_unsolicited: Called if data arrives while no response is due,
                after which the connection is closed.
            queue: Divides the time for parsing between connections, or None if
                this connection is the only one.
        """
        super().__init__(loop, queue)
        self.was_reset = False
        self.response_due = False
        self._on_unsolicited = on_unsolicited

    def begin_exchange(self) -> bool:
        """Makes a response due; returns False if the connection is unusable.

        A connection with unread data is unusable, since the data would be read
        as the response. To be called immediately before a request is written.
        """
        if not self.is_connected() or self.should_close:
            return False
        if sockets.count_unread_bytes(self.transport):
            return False
        self.response_due = True
        return True

    def end_exchange(self) -> None:
        """Records that the response is complete, so that no data is due."""
        self.response_due = False
        self._reject_unsolicited_responses()

    def _parse_part(self, data: bytes) -> None:
        """Passes data to the parser; closes if no response is due."""
        if self.response_due:
            super()._parse_part(data)
            self._reject_unsolicited_responses()
        elif data:
            self._reject()

    def _reject_unsolicited_responses(self) -> None:
        """Closes the connection if it holds a response that is not due."""
        if not self.response_due and len(self):
            self._reject()

    def _reject(self) -> None:
        """Closes the connection and reports data that is no response."""
        self.abort()
        self._on_unsolicited()

    def connection_lost(self, exc: BaseException | None) -> None:
        """Records whether the connection was closed cleanly."""
        self.was_reset = exc is not None
        super().connection_lost(exc)


class Channel:
    """One connection to a target, used by one exchange at a time.

    Attributes:
        address: host:port of the target.
        protocol: Protocol of the connection.
        idle_since: Time of its last release to the pool, loop clock.
        keep_alive_seconds: How long the target keeps it open while idle.
        exchange_count: Requests and health checks sent on it and answered.
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
        """Wraps an open connection.

        Args:
            pool: Pool that the channel is released to.
            address: host:port of the target.
            protocol: Protocol of the connection.
        """
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

    async def open_another(self) -> "Channel":
        """Returns a new channel to the same target.

        Raises:
            OSError: If the target refuses it or does not reply in time.
        """
        return await self._pool.open(self.address)

    def release(self) -> None:
        """Releases the connection to the pool for further use."""
        self._pool.release(self)

    def close(self) -> None:
        """Closes the connection, which cancels a running request on it."""
        self.protocol.abort()


class ChannelPool:
    """Holds the idle channels of a VM, and opens new ones.

    Attributes:
        connect_attempts: Number of connections that were started, including
            those that failed.
        connect_failures: Number of connections that could not be opened.
        unsolicited_responses: Number of connections that were closed because
            data arrived while no response was due.
        max_idle_per_target: Number of idle channels to one target that are
            kept.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Creates an empty pool."""
        self._loop = loop
        self._idle: dict[str, list[Channel]] = {}
        self._parse_queue = parse_queue.ParseQueue(loop)
        self.connect_attempts = 0
        self.connect_failures = 0
        self.unsolicited_responses = 0
        self.max_idle_per_target = connection_limits.MAX_IDLE_PER_TARGET

    def acquire(self, address: str) -> Channel | None:
        """Returns a usable idle channel, or None if one must be opened.

        Closes idle channels of the target that are expired or not usable.
        """
        idle = self._idle.get(address)
        now = self._loop.time()
        while idle:
            channel = idle.pop()
            is_fresh = now - channel.idle_since < channel.keep_alive_seconds
            if is_fresh and is_usable(channel):
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
            OSError: If the address is invalid, or the target refuses the
                connection or does not reply in time.
        """
        self.connect_attempts += 1
        try:
            host, port = addresses.split_address(address)
        except errors.AddressInvalidError:
            self.connect_failures += 1
            raise
        tcp_socket = sockets.open_socket(
            (socket.AF_INET, socket.SOCK_STREAM, socket.IPPROTO_TCP, "", None)
        )
        tcp_socket.setblocking(False)
        tcp_socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        try:
            async with asyncio.timeout(timeout_seconds):
                await self._loop.sock_connect(tcp_socket, (host, port))
                _, protocol = await self._loop.create_connection(
                    lambda: TargetProtocol(
                        self._loop,
                        lambda: self._count_unsolicited(address),
                        self._parse_queue,
                    ),
                    sock=tcp_socket,
                )
        except BaseException as error:
            tcp_socket.close()
            if isinstance(error, OSError):
                self.connect_failures += 1
            raise
        return Channel(self, address, protocol)

    def release(self, channel: Channel) -> None:
        """Adds a channel to the pool.

        Closes it instead if it is unusable, or if the pool holds
        `max_idle_per_target` channels to its target already.
        """
        channel.protocol.end_exchange()
        if not is_usable(channel):
            channel.close()
            return
        idle = self._idle.setdefault(channel.address, [])
        if len(idle) >= self.max_idle_per_target:
            channel.close()
            return
        channel.idle_since = self._loop.time()
        idle.append(channel)

    def close_idle(self, address: str) -> None:
        """Closes the idle channels of an unreachable or unresponsive target."""
        for channel in self._idle.pop(address, ()):
            channel.close()

    def close_expired(self) -> None:
        """Closes the channels that have been idle for too long."""
        now = self._loop.time()
        for address, idle in list(self._idle.items()):
            remaining = []
            for channel in idle:
                if now - channel.idle_since < channel.keep_alive_seconds:
                    remaining.append(channel)
                else:
                    channel.close()
            if remaining:
                self._idle[address] = remaining
            else:
                del self._idle[address]

    def close(self) -> None:
        """Closes all idle channels."""
        for address in list(self._idle):
            self.close_idle(address)

    def _count_unsolicited(self, address: str) -> None:
        """Counts and logs data that arrived while no response was due."""
        self.unsolicited_responses += 1
        log.warning("unsolicited data", target=address)


def is_usable(channel: Channel) -> bool:
    """Returns True if a channel is open and holds no unread data."""
    protocol = channel.protocol
    return protocol.is_connected() and not protocol.should_close


def record_keep_alive(channel: Channel, fields: Any) -> bool:
    """Counts an exchange and updates the keep-alive time of its channel.

    Args:
        channel: Channel on which a response arrived.
        fields: Header fields of the response.

    Returns:
        False if the target closes the connection after this response.
    """
    channel.exchange_count += 1
    if "close" in list_connection_options(fields):
        return False
    _, _, text = fields.get("Keep-Alive", "").partition("timeout=")
    seconds = text.partition(",")[0].strip()
    if (
        seconds.isascii()
        and seconds.isdecimal()
        and len(seconds) <= MAX_KEEP_ALIVE_DIGITS
    ):
        channel.keep_alive_seconds = int(seconds) - IDLE_SLACK_SECONDS
    return True


def list_connection_options(fields: Any) -> list[str]:
    """Returns the options of all Connection fields, in lower case."""
    options = ",".join(fields.getall("Connection", ()))
    return [option.strip().lower() for option in options.split(",")]
