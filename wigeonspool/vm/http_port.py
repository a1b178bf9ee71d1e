"""A listening port with an HTTP server.

The runners of the HTTP library do the same, but load its web applications and
their routing, which an entry VM does not use.
"""

import asyncio
from typing import Final

from aiohttp import web

from wigeonspool import listen_sockets

# Time for the handlers that run when the port is closed.
SHUTDOWN_TIMEOUT_SECONDS: Final = 0.5


class HttpPort:
    """A port on which an HTTP server accepts connections.

    Attributes:
        server: The HTTP server.
    """

    def __init__(self, server: web.Server) -> None:
        """Creates a port that is not open.

        Args:
            server: The HTTP server.
        """
        self.server = server
        self._acceptor: asyncio.Server | None = None

    async def open(
        self, address: str, listeners: listen_sockets.ListenSockets
    ) -> None:
        """Accepts connections, on the listen socket if that is open already.

        Args:
            address: host:port to listen on.
            listeners: Sockets that listen already.

        Raises:
            OSError: If the port cannot be opened.
        """
        listen_socket = listeners.pop_socket(
            address
        ) or listen_sockets.open_listen_socket(address)
        loop = asyncio.get_running_loop()
        self._acceptor = await loop.create_server(
            self.server,
            sock=listen_socket,
            backlog=listen_sockets.LISTEN_BACKLOG,
        )

    def stop_accepting(self) -> None:
        """Closes the listen socket; open connections stay."""
        if self._acceptor is not None:
            self._acceptor.close()
            self._acceptor = None

    async def close(self) -> None:
        """Closes the listen socket, then the connections."""
        self.stop_accepting()
        # Lets connections that were just accepted start their handlers.
        await asyncio.sleep(0)
        self.server.pre_shutdown()
        await self.server.shutdown(SHUTDOWN_TIMEOUT_SECONDS)
