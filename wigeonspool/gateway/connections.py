"""Keeps connections to targets, and drops those that cannot be trusted.

A kept connection may have gone silent or dead since its last use. A
connection is therefore not reused past an age limit, nor once another
connection to the same peer proved silent or dead after it was opened.
"""

import asyncio
import dataclasses
import socket
from typing import Any, Final
import weakref

import aiohttp
import yarl

from wigeonspool.gateway import connection_health

KEEPALIVE_IDLE_SECONDS: Final = 15.0
CONNECT_TIMEOUT_SECONDS: Final = 1.0
CONNECT_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
)
MAX_PEERS: Final = 1024
# The kernel gives up on a connection whose peer acknowledges nothing.
TCP_USER_TIMEOUT_MS: Final = 1000
TCP_KEEPALIVE_IDLE_SECONDS: Final = 1
TCP_KEEPALIVE_INTERVAL_SECONDS: Final = 1


@dataclasses.dataclass(slots=True)
class Exchange:
    """One use of a connection: a request and the start of its answer.

    Attributes:
        timeout: Ends the wait for the answer once the peer is suspected.
        suspect_at: Time at which a peer without an answer is suspected, loop
            clock.
        reused: True if the connection had been used before.
        timer: Timer that runs at that time.
    """

    timeout: asyncio.Timeout
    suspect_at: float
    reused: bool = False
    timer: asyncio.TimerHandle | None = None

    def cancel_timer(self) -> None:
        """Stops the timer, since the answer has begun or the wait ended."""
        if self.timer is not None:
            self.timer.cancel()


def open_socket(address: Any) -> socket.socket:
    """Returns a socket that notices a peer that acknowledges nothing."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_SECONDS),
        (socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    ):
        opened.setsockopt(socket.IPPROTO_TCP, option, value)
    return opened


class TargetConnector(aiohttp.TCPConnector):
    """A connector that reuses a connection only while it is trusted."""

    def __init__(self, *, reuse: bool) -> None:
        """Prepares an empty pool.

        Args:
            reuse: False if each request gets a connection of its own.
        """
        if reuse:
            super().__init__(
                limit=0,
                keepalive_timeout=KEEPALIVE_IDLE_SECONDS,
                ttl_dns_cache=None,
                socket_factory=open_socket,
            )
        else:
            super().__init__(
                limit=0,
                force_close=True,
                ttl_dns_cache=None,
                socket_factory=open_socket,
            )
        self._opened_at: weakref.WeakKeyDictionary[Any, float]
        self._opened_at = weakref.WeakKeyDictionary()
        self._reuse_policy = connection_health.ReusePolicy()
        self._peers: dict[str, aiohttp.ClientRequest] = {}

    def invalidate_peer(self, address: str) -> None:
        """Stops the reuse of all connections to a peer opened before now."""
        self._reuse_policy.invalidate_peer(address, self._loop.time())

    async def open(
        self, address: str, exchange: Exchange
    ) -> aiohttp.connector.Connection:
        """Returns a trusted connection, kept or new.

        Args:
            address: host:port of the peer.
            exchange: Its use; told if the connection had been used before.

        Raises:
            ClientConnectorError: If the peer cannot be reached.
            ConnectionTimeoutError: If the peer does not answer.
        """
        peer = self._peers.get(address) or self._add_peer(address)
        while True:
            try:
                connection = await self.connect(peer, [], CONNECT_TIMEOUT)
            except TimeoutError as error:
                raise aiohttp.ConnectionTimeoutError(address) from error
            now = self._loop.time()
            opened_at = self._opened_at.get(connection.protocol)
            if opened_at is None:
                self._opened_at[connection.protocol] = now
                return connection
            if self._reuse_policy.is_reusable(address, opened_at, now):
                exchange.reused = True
                return connection
            connection.close()

    def _add_peer(self, address: str) -> aiohttp.ClientRequest:
        """Returns what the HTTP library connects to a peer by."""
        if len(self._peers) >= MAX_PEERS:
            self._peers.clear()
        url = yarl.URL(f"http://{address}/")
        peer = aiohttp.ClientRequest("GET", url, loop=self._loop)
        self._peers[address] = peer
        return peer
