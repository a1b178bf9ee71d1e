"""Pools connections to targets and drops those that may have failed.

A pooled connection may have become unresponsive or broken since its last use.
It is therefore not reused past an age limit, or if another connection to the
same peer proved unresponsive or broken after it was opened.
"""

import asyncio
import dataclasses
import functools
from typing import Any, Final
import weakref

import aiohttp
from aiohttp import client_proto
import yarl

from wigeonspool.gateway import connection_health
from wigeonspool.gateway import parse_queue
from wigeonspool.gateway import response_protocol
from wigeonspool.gateway import sockets

KEEPALIVE_IDLE_SECONDS: Final = 15.0
CONNECT_TIMEOUT_SECONDS: Final = 1.0
CONNECT_TIMEOUT: Final = aiohttp.ClientTimeout(
    total=None, sock_connect=CONNECT_TIMEOUT_SECONDS
)
MAX_CACHED_PEERS: Final = 1024


@dataclasses.dataclass(slots=True)
class Exchange:
    """One use of a connection: a request and the head of its response.

    Attributes:
        timeout: Ends the wait for the response once the connection is
            suspected.
        suspect_at: Time from which the connection is suspected if no response
            has begun, loop clock.
        reused: True if the connection had been used before.
        timer: Timer that runs at `suspect_at`.
    """

    timeout: asyncio.Timeout
    suspect_at: float
    reused: bool = False
    timer: asyncio.TimerHandle | None = None

    def cancel_timer(self) -> None:
        """Stops the timer once the response has begun or the wait ended."""
        if self.timer is not None:
            self.timer.cancel()


class TargetConnector(aiohttp.TCPConnector):
    """A connector that reuses connections as `ReusePolicy` allows."""

    def __init__(self, *, reuse: bool) -> None:
        """Creates a connector without connections.

        Args:
            reuse: False if each request gets a connection of its own.
        """
        if reuse:
            super().__init__(
                limit=0,
                keepalive_timeout=KEEPALIVE_IDLE_SECONDS,
                ttl_dns_cache=None,
                socket_factory=sockets.open_socket,
            )
        else:
            super().__init__(
                limit=0,
                force_close=True,
                ttl_dns_cache=None,
                socket_factory=sockets.open_socket,
            )
        self._factory = functools.partial(
            _create_protocol,
            loop=self._loop,
            queue=parse_queue.ParseQueue(self._loop),
        )
        self._opened_at: weakref.WeakKeyDictionary[Any, float]
        self._opened_at = weakref.WeakKeyDictionary()
        self._reuse_policy = connection_health.ReusePolicy()
        self._peer_requests: dict[str, aiohttp.ClientRequest] = {}

    def invalidate_peer(self, address: str) -> None:
        """Stops the reuse of all connections to a peer opened before now."""
        self._reuse_policy.invalidate_peer(address, self._loop.time())

    async def open(
        self, address: str, exchange: Exchange
    ) -> aiohttp.connector.Connection:
        """Returns a reusable pooled connection or a new one.

        Args:
            address: host:port of the peer.
            exchange: Exchange that uses the connection; its `reused` is set.

        Raises:
            ClientConnectorError: If no connection could be opened.
            ConnectionTimeoutError: If the connection was not opened in time.
        """
        peer_request = self._peer_requests.get(
            address
        ) or self._create_peer_request(address)
        while True:
            try:
                connection = await self.connect(
                    peer_request, [], CONNECT_TIMEOUT
                )
            except TimeoutError as error:
                raise aiohttp.ConnectionTimeoutError(address) from error
            now = self._loop.time()
            opened_at = self._opened_at.get(connection.protocol)
            if opened_at is None:
                self._opened_at[connection.protocol] = now
                return connection
            is_reusable = self._reuse_policy.is_reusable(
                address, opened_at, now
            )
            if is_reusable and not _holds_data(connection):
                exchange.reused = True
                return connection
            connection.close()

    def _create_peer_request(self, address: str) -> aiohttp.ClientRequest:
        """Returns the request object that `connect` needs to find a peer.

        The objects are cached by address; a full cache is cleared.
        """
        if len(self._peer_requests) >= MAX_CACHED_PEERS:
            self._peer_requests.clear()
        url = yarl.URL(f"http://{address}/")
        peer_request = aiohttp.ClientRequest("GET", url, loop=self._loop)
        self._peer_requests[address] = peer_request
        return peer_request


def _holds_data(connection: aiohttp.connector.Connection) -> bool:
    """Returns True if data has arrived on an idle connection.

    It would be read as the response to the next request.
    """
    protocol = connection.protocol
    if protocol is None or protocol.should_close:
        return True
    return sockets.count_unread_bytes(connection.transport) > 0


def _create_protocol(
    loop: asyncio.AbstractEventLoop, queue: parse_queue.ParseQueue
) -> client_proto.ResponseHandler:
    """Returns the protocol of a new connection."""
    return response_protocol.ResponseProtocol(loop, queue)
