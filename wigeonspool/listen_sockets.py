"""Opens ports before the rest of a process is loaded.

A process takes a good part of a second to load its libraries. Whoever connects
meanwhile waits in the kernel's queue and is served then, instead of being
refused. This module therefore imports nothing that takes time to load.
"""

from collections.abc import Iterable
import socket
import time
from typing import Final

# Connections that wait for the process; more than one VM's callers open at
# once when all of them come back.
LISTEN_BACKLOG: Final = 1024


class ListenSockets:
    """Ports that are open already.

    Attributes:
        opened_at: When they were opened, monotonic clock.
        failures: Ports that could not be opened, and why.
    """

    def __init__(self, addresses: Iterable[str] = ()) -> None:
        """Opens ports; one that cannot be opened is left to its server.

        Args:
            addresses: host:port of each.
        """
        self.opened_at = time.monotonic()
        self.failures: dict[str, OSError] = {}
        self._sockets: dict[str, socket.socket] = {}
        for address in addresses:
            try:
                self._sockets[address] = open_listen_socket(address)
            except OSError as error:
                self.failures[address] = error

    def pop_socket(self, address: str) -> socket.socket | None:
        """Returns the open port of an address, for its server to keep."""
        return self._sockets.pop(address, None)

    def close(self) -> None:
        """Closes the ports that no server took."""
        for opened in self._sockets.values():
            opened.close()
        self._sockets.clear()


def open_listen_socket(address: str) -> socket.socket:
    """Returns a socket that listens.

    Args:
        address: host:port to listen on.

    Raises:
        OSError: If the address cannot be used.
    """
    host, _, port = address.rpartition(":")
    listen_socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        listen_socket.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        listen_socket.bind((host, int(port)))
        listen_socket.listen(LISTEN_BACKLOG)
    except OSError:
        listen_socket.close()
        raise
    listen_socket.setblocking(False)
    return listen_socket
