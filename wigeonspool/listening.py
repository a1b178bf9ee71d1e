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
BACKLOG: Final = 1024


class Listeners:
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
        self._opened: dict[str, socket.socket] = {}
        for address in addresses:
            try:
                self._opened[address] = open_listener(address)
            except OSError as error:
                self.failures[address] = error

    def take(self, address: str) -> socket.socket | None:
        """Returns the open port of an address, for its server to keep."""
        return self._opened.pop(address, None)

    def close(self) -> None:
        """Closes the ports that no server took."""
        for opened in self._opened.values():
            opened.close()
        self._opened.clear()


def open_listener(address: str) -> socket.socket:
    """Returns a socket that listens.

    Args:
        address: host:port to listen on.

    Raises:
        OSError: If the address cannot be used.
    """
    host, _, port = address.rpartition(":")
    opened = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    try:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        opened.bind((host, int(port)))
        opened.listen(BACKLOG)
    except OSError:
        opened.close()
        raise
    opened.setblocking(False)
    return opened
