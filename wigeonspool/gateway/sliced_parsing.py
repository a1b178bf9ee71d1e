"""Parses what a connection receives in slices, in turns with other connections.

Parsed pieces of a few bytes each take many times the memory and the time of
their bytes, so one read must not be parsed at once.
"""

from typing import TYPE_CHECKING, Final

from aiohttp import base_protocol

from wigeonspool.gateway import parse_queue

# Slices grow while they are the inside of a body.
MIN_SLICE_BYTES: Final = 2 * 1024
MAX_SLICE_BYTES: Final = 16 * 1024

if TYPE_CHECKING:
    Base = base_protocol.BaseProtocol
else:
    # The protocols of the HTTP library, which are added later, bring the base.
    Base = object


class SlicedProtocol(Base):
    """Data that was received and waits to be parsed; none is read meanwhile.

    Attributes:
        parse_seconds: Time that was spent on parsing in the current exchange.
    """

    def init_slices(self, queue: parse_queue.ParseQueue) -> None:
        """Begins without data.

        Args:
            queue: Divides the time for parsing between connections.
        """
        self.parse_seconds = 0.0
        self._parse_queue = queue
        self._slice_bytes = MIN_SLICE_BYTES
        self._backlog = bytearray()
        self._is_queued = False

    def data_received(self, data: bytes) -> None:
        """Passes data to the parser, in slices if it is long."""
        if self._backlog:
            self._backlog += data
            if not data:
                # The library passes empty data to resume the parser.
                self._parse_part(data)
                self._queue_backlog()
        elif len(data) <= MIN_SLICE_BYTES:
            self._parse_part(data)
        else:
            self._backlog += data
            self._queue_backlog()
            if self._backlog:
                self._pause_reading_for_buffer()

    def parse_slice(self) -> bool:
        """Parses a part of the data; returns True if more can be parsed."""
        size = self._slice_bytes
        part = bytes(self._backlog[:size])
        del self._backlog[:size]
        received = self._count_body_bytes()
        self._parse_part(part)
        if self._count_body_bytes() - received >= len(part) / 2:
            self._slice_bytes = min(2 * size, MAX_SLICE_BYTES)
        else:
            self._slice_bytes = MIN_SLICE_BYTES
        if not self._is_open():
            self._backlog.clear()
        self._is_queued = bool(self._backlog) and not self._is_parser_paused()
        if not self._backlog and self._buffer_paused:
            self._resume_reading_for_buffer()
        return self._is_queued

    def drop_backlog(self) -> None:
        """Drops the data of a connection that has ended.

        A connection with such data is not read, so this is not its normal end.
        """
        self._backlog.clear()
        self._parse_queue.discard(self)

    def _resume_reading_for_buffer(self) -> None:
        """Reads on, unless received data still waits to be parsed."""
        if not self._backlog:
            super()._resume_reading_for_buffer()

    def _queue_backlog(self) -> None:
        """Parses the data that waits, in later turns if it takes long."""
        if self._backlog and not (self._is_queued or self._is_parser_paused()):
            self._is_queued = True
            self._parse_queue.add(self)

    def _is_open(self) -> bool:
        """Returns True while the connection is open."""
        return self.transport is not None and not self.transport.is_closing()

    def _is_parser_paused(self) -> bool:
        """Returns True if the parser waits until what it returned is used."""
        return self._reading_paused

    def _parse_part(self, data: bytes) -> None:
        """Passes data to the parser."""
        raise NotImplementedError

    def _count_body_bytes(self) -> int:
        """Returns the size of what has arrived of the current body."""
        raise NotImplementedError
