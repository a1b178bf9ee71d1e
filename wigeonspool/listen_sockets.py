"""Opens listen sockets before the rest of a process is loaded.

A process takes a large part of a second to load its libraries. Connections that
arrive meanwhile wait in the kernel's queue and are served afterwards instead
of being refused. This module therefore imports nothing that takes time to load.
"""

from collections.abc import Iterable
import socket
import time
from typing import Final

# Connections that the kernel queues until the process accepts them. The callers
# of one VM open fewer at the same time, even when all of them reconnect.
LISTEN_BACKLOG: Final = 1024


class ListenSockets:
    """Listen sockets by address, opened before the servers that use them.

    Attributes:
        opened_at: When the sockets were opened, on the monotonic clock in
            seconds.
        failures: Errors by address, for sockets that could not be opened.
    """

    def __init__(self, addresses: Iterable[str] = ()) -> None:
        """Opens a socket for each address.

        A socket that cannot be opened is no error here: the server of its
        address tries again later, and raises the error if that fails too.

        Args:
            addresses: host:port of each socket.
        """
        self.opened_at = time.monotonic()
        self.failures: dict[str, Exception] = {}
        self._sockets: dict[str, socket.socket] = {}
        for address in addresses:
            try:
                self._sockets[address] = open_listen_socket(address)
            except (OSError, ValueError, OverflowError) as error:
                # An invalid address raises the last two.
                self.failures[address] = error

    def pop_socket(self, address: str) -> socket.socket | None:
        """Returns the socket of an address, if any; the caller then owns it."""
        return self._sockets.pop(address, None)

    def close(self) -> None:
        """Closes the sockets that were not popped."""
        for listen_socket in self._sockets.values():
            listen_socket.close()
        self._sockets.clear()


def open_listen_socket(address: str) -> socket.socket:
    """Returns a non-blocking socket that listens on an address.

    Args:
        address: host:port to listen on.

    Raises:
        OSError: If the socket cannot be bound to the address.
    """
    host, _, port = address.rpartition(":")
    listen_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listen_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listen_socket.bind((host, int(port)))
        listen_socket.listen(LISTEN_BACKLOG)
    except BaseException:
        listen_socket.close()
        raise
    listen_socket.setblocking(False)
    return listen_socket
