"""Divides the time for parsing responses between connections.

A target that sends many small pieces costs far more time per byte than others.
Each turn of the event loop therefore parses for a limited time, and the
connection that has used the least of it is next.
"""

import asyncio
import time
from typing import Final, Protocol

# All connections together may parse for so long in one turn of the event loop.
MAX_SECONDS_PER_TURN: Final = 0.002


class Connection(Protocol):
    """A connection with received data that is not parsed yet.

    Attributes:
        parse_seconds: Time that was spent on its current exchange.
    """

    parse_seconds: float

    def parse_slice(self) -> bool:
        """Parses a part of the data; returns True if more is left."""


class ParseQueue:
    """The connections whose data waits to be parsed."""

    __slots__ = ("_loop", "_used_seconds", "_waiting", "_turn")

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        """Creates an empty queue.

        Args:
            loop: The event loop.
        """
        self._loop = loop
        self._waiting: list[Connection] = []
        self._used_seconds = 0.0
        # Runs in the next turn of the loop if anything was parsed in this one.
        self._turn: asyncio.Handle | None = None

    def add(self, connection: Connection) -> None:
        """Parses the data of a connection, in later turns if it takes long."""
        self._waiting.append(connection)
        self._parse()

    def discard(self, connection: Connection) -> None:
        """Removes a connection that is closed."""
        if connection in self._waiting:
            self._waiting.remove(connection)

    def _begin_turn(self) -> None:
        """Parses what is left of earlier turns."""
        self._turn = None
        self._used_seconds = 0.0
        if self._waiting:
            self._parse()

    def _parse(self) -> None:
        """Parses until nothing is left or the time of this turn is used up."""
        if self._turn is None:
            self._turn = self._loop.call_soon(self._begin_turn)
        while self._waiting and self._used_seconds < MAX_SECONDS_PER_TURN:
            connection = min(self._waiting, key=_get_parse_seconds)
            started_at = time.perf_counter()
            is_left = connection.parse_slice()
            seconds = time.perf_counter() - started_at
            connection.parse_seconds += seconds
            self._used_seconds += seconds
            if not is_left:
                self.discard(connection)


def _get_parse_seconds(connection: Connection) -> float:
    """Returns the time that was spent on the exchange of a connection."""
    return connection.parse_seconds
