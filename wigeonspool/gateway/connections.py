"""Keeps connections to targets, and drops those that cannot be trusted.

A kept connection may have gone silent or dead since its last use. A
connection is therefore not reused past an age limit, nor once another
connection to the same peer proved silent or dead after it was opened.
"""

import asyncio
import contextvars
import dataclasses
import socket
from typing import Any, Final
import weakref

import aiohttp

IDLE_SECONDS: Final = 15.0
AGE_SECONDS: Final = 60.0
CONNECT_SECONDS: Final = 1.0
# The kernel gives up on a connection whose peer acknowledges nothing.
UNACKNOWLEDGED_MS: Final = 1000
PROBE_IDLE_SECONDS: Final = 1
PROBE_INTERVAL_SECONDS: Final = 1


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

    def cancel_suspicion(self) -> None:
        """Stops the timer, since the answer has begun or the wait ended."""
        if self.timer is not None:
            self.timer.cancel()


EXCHANGE: Final[contextvars.ContextVar[Exchange]] = contextvars.ContextVar(
    "exchange"
)


def open_socket(address: Any) -> socket.socket:
    """Returns a socket that notices a peer that acknowledges nothing."""
    family, kind, protocol, _, _ = address
    opened = socket.socket(family, kind, protocol)
    opened.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    for option, value in (
        (socket.TCP_KEEPIDLE, PROBE_IDLE_SECONDS),
        (socket.TCP_KEEPINTVL, PROBE_INTERVAL_SECONDS),
        (socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
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
                keepalive_timeout=IDLE_SECONDS,
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
        self._distrusted_until: dict[tuple[str, int | None], float] = {}

    def distrust(self, host: str, port: int | None) -> None:
        """Stops the reuse of all connections to a peer opened before now."""
        self._distrusted_until[(host, port)] = self._loop.time()

    async def connect(
        self,
        req: aiohttp.ClientRequest,
        traces: list[Any],
        timeout: aiohttp.ClientTimeout,
    ) -> aiohttp.connector.Connection:
        """Returns a trusted connection, kept or new."""
        exchange = EXCHANGE.get()
        peer = (req.host, req.port)
        while True:
            connection = await super().connect(req, traces, timeout)
            now = self._loop.time()
            opened_at = self._opened_at.get(connection.protocol)
            if opened_at is None:
                self._opened_at[connection.protocol] = now
                return connection
            distrusted_until = self._distrusted_until.get(peer, 0.0)
            if opened_at > max(distrusted_until, now - AGE_SECONDS):
                exchange.reused = True
                return connection
            connection.close()


async def forbid_resend(
    request: aiohttp.ClientRequest, handler: aiohttp.ClientHandlerType
) -> aiohttp.ClientResponse:
    """Keeps the HTTP client from sending a request again by itself.

    Raises:
        ClientPayloadError: If the connection ended before the answer.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientPayloadError(repr(error)) from error
