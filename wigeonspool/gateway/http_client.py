"""A small HTTP client for calls to one server, such as the store.

It replaces the session of the HTTP library, which loads cookies, redirects,
proxies, web sockets and TLS at each start of an entry VM.
"""

import asyncio
from collections.abc import AsyncIterator, Mapping
import contextlib
import socket
from typing import Final

import aiohttp
from multidict import CIMultiDict
import yarl

from wigeonspool.gateway import exchanges
from wigeonspool.gateway import response_protocol
from wigeonspool.gateway import sockets

KEEPALIVE_SECONDS: Final = 5.0
CONNECT_TIMEOUT_SECONDS: Final = 1.0
# Methods of calls that are sent again if a kept connection turned out to be
# closed. The caller cannot distinguish the two.
RESENT_METHODS: Final = frozenset({"GET", "HEAD", "PUT", "DELETE"})


class ClientConnection:
    """One connection of a client, used by one call at a time.

    Attributes:
        protocol: The HTTP library's protocol of the connection.
        idle_since: Time of its last release, loop clock.
    """

    __slots__ = ("_idle", "idle_since", "protocol")

    def __init__(
        self,
        protocol: response_protocol.ResponseProtocol,
        idle: "list[ClientConnection]",
    ) -> None:
        """Wraps an open connection.

        Args:
            protocol: Protocol of the connection.
            idle: List to which the connection is released.
        """
        self.protocol = protocol
        self.idle_since = 0.0
        self._idle = idle

    @property
    def transport(self) -> asyncio.Transport | None:
        """Transport of the connection, or None once it is closed."""
        return self.protocol.transport

    def is_usable(self) -> bool:
        """Returns True if the connection can serve another call."""
        protocol = self.protocol
        age = asyncio.get_running_loop().time() - self.idle_since
        return (
            age < KEEPALIVE_SECONDS
            and protocol.is_connected()
            and not protocol.should_close
            and not sockets.count_unread_bytes(self.transport)
        )

    def release(self) -> None:
        """Keeps the connection for another call, unless it must be closed."""
        self.idle_since = asyncio.get_running_loop().time()
        if self.is_usable():
            self._idle.append(self)
        else:
            self.close()

    def close(self) -> None:
        """Closes the connection."""
        self.protocol.abort()


class HttpClient:
    """Makes calls over pooled connections, without redirects and cookies."""

    def __init__(self) -> None:
        """Creates a client without connections."""
        self._idle: dict[str, list[ClientConnection]] = {}
        self._is_closed = False

    async def close(self) -> None:
        """Closes the idle connections; further calls get their own."""
        self._is_closed = True
        for connections in self._idle.values():
            for connection in connections:
                connection.close()
        self._idle.clear()

    @contextlib.asynccontextmanager
    async def request(
        self,
        method: str,
        url: str,
        *,
        params: Mapping[str, str] | None = None,
        data: bytes | None = None,
        headers: Mapping[str, str] | None = None,
        timeout_seconds: float,
        may_resend: bool = True,
    ) -> AsyncIterator[exchanges.TargetResponse]:
        """Makes one call; the context holds its response.

        Args:
            method: HTTP method.
            url: URL of the call.
            params: Query parameters, if any.
            data: Request body, if any.
            headers: Header fields, if any.
            timeout_seconds: Longest time until the end of the context.
            may_resend: True if an idempotent call may be sent again after a
                kept connection broke.

        Raises:
            TimeoutError: If the time has passed.
            aiohttp.ClientError: If the connection ended, or the response is not
                valid HTTP.
            OSError: If the connection failed.
        """
        target = yarl.URL(url).extend_query(params or {})
        fields = CIMultiDict({"Host": target.host_port_subcomponent or ""})
        fields["Accept-Encoding"] = "gzip, deflate"
        fields.update(headers or {})
        async with asyncio.timeout(timeout_seconds):
            response = await self._send(
                method, target, fields, data, may_resend
            )
            try:
                yield response
            finally:
                # Has no effect after the end of the body, which released it.
                response.close()

    async def _send(
        self,
        method: str,
        target: yarl.URL,
        fields: CIMultiDict[str],
        data: bytes | None,
        may_resend: bool,
    ) -> exchanges.TargetResponse:
        """Sends a call on a kept or a new connection; see `request`.

        Raises:
            aiohttp.ClientError: If the connection ended, or the response is not
                valid HTTP.
            OSError: If the connection failed.
        """
        self._close_expired()
        connection = self._pop_idle(target)
        while True:
            is_new = connection is None
            if connection is None:
                connection = await self._open(target)
            try:
                return await exchanges.send_request(
                    connection,
                    method,
                    target.raw_path_qs,
                    fields.copy(),
                    data,
                    auto_decompress=True,
                )
            except (aiohttp.ClientError, OSError) as error:
                # The library reports a reset as an error of its own, which is
                # an OSError but no ConnectionError.
                was_closed = isinstance(
                    error, (aiohttp.ServerDisconnectedError, OSError)
                )
                if is_new or not (was_closed and may_resend):
                    raise
                if method not in RESENT_METHODS:
                    raise
            connection = None

    def _close_expired(self) -> None:
        """Closes idle connections, also to other servers, that are too old."""
        for idle in self._idle.values():
            for connection in [c for c in idle if not c.is_usable()]:
                idle.remove(connection)
                connection.close()

    def _pop_idle(self, target: yarl.URL) -> ClientConnection | None:
        """Returns a usable kept connection, or None."""
        idle = self._idle.get(target.raw_authority)
        while idle:
            connection = idle.pop()
            if connection.is_usable():
                return connection
            connection.close()
        return None

    async def _open(self, target: yarl.URL) -> ClientConnection:
        """Returns a new connection.

        Raises:
            OSError: If it could not be opened in time.
        """
        loop = asyncio.get_running_loop()
        idle = self._idle.setdefault(target.raw_authority, [])
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            addresses = await loop.getaddrinfo(
                target.host, target.port, type=socket.SOCK_STREAM
            )
            tcp_socket = sockets.open_socket(addresses[0])
            try:
                tcp_socket.setblocking(False)
                await loop.sock_connect(tcp_socket, addresses[0][4])
                _, protocol = await loop.create_connection(
                    lambda: response_protocol.ResponseProtocol(loop),
                    sock=tcp_socket,
                )
            except BaseException:
                tcp_socket.close()
                raise
        return ClientConnection(protocol, [] if self._is_closed else idle)
