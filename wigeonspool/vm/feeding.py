"""Feeds other VMs what this one learns, so that few call the store."""

import asyncio
import collections
from collections.abc import Callable
from typing import Final

from wigeonspool.model import errors
from wigeonspool.model import sources
from wigeonspool.vm import feeds
from wigeonspool.vm import following
from wigeonspool.vm import journal

# Followers look elsewhere after three of these without a sign.
PULSE_SECONDS: Final = 0.4
# Changes that are kept, so that a follower which was away gets only those.
KEPT_CHANGES: Final = 2000
# What was never confirmed is this old; infinity is no number of the format.
OLDEST_SECONDS: Final = 1e6
# A follower that leaves this much unread is cut off, and comes back.
MOST_UNREAD_BYTES: Final = 4 * 1024 * 1024

log = journal.open_part("feed")


class Feeder:
    """Serves the VMs that follow this one.

    Attributes:
        subscribers: Streams to the followers, with the names of their VMs.
    """

    def __init__(
        self, intake: following.Intake, find_synced: Callable[[], float]
    ) -> None:
        """Prepares a feeder.

        Args:
            intake: What this VM knows.
            find_synced: Returns when the store last confirmed that, loop
                clock.
        """
        self.subscribers: dict[asyncio.StreamWriter, str] = {}
        self._intake = intake
        self._find_synced = find_synced
        self._changes: collections.deque[sources.Item] = collections.deque()
        self._kept_from = 0
        self._told = 0
        self._server: asyncio.Server | None = None
        self._closed = False
        self._loop = asyncio.get_running_loop()

    async def start(self, address: str) -> None:
        """Opens the port.

        Args:
            address: host:port for other VMs.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=1024
        )

    def close(self) -> None:
        """Cuts off all followers and takes no more."""
        self._closed = True
        if self._server is not None:
            self._server.close()
        for writer in list(self.subscribers):
            writer.transport.abort()

    def note(self, item: sources.Item) -> None:
        """Keeps a change for the followers."""
        self._changes.append(item)
        if len(self._changes) > KEPT_CHANGES:
            self._kept_from = self._changes.popleft().revision

    def tell(self) -> None:
        """Tells all followers what is new to them."""
        revision = self._intake.revision
        if revision <= self._told:
            return
        fresh = [item for item in self._changes if item.revision > self._told]
        self._told = revision
        items = feeds.write_items(fresh)
        self._post_all(feeds.pack(feeds.Items(revision, items, False)))

    def pulse(self) -> None:
        """Tells all followers that this VM lives, and how fresh it is."""
        age = self._loop.time() - self._find_synced()
        message = feeds.Pulse(self._intake.revision, min(age, OLDEST_SECONDS))
        self._post_all(feeds.pack(message))

    def _post_all(self, data: bytes) -> None:
        """Sends a frame to all followers without waiting for them."""
        for writer in list(self.subscribers):
            unread = writer.transport.get_write_buffer_size()
            if unread > MOST_UNREAD_BYTES:
                writer.transport.abort()
            elif not writer.is_closing():
                writer.write(data)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one follower until it leaves."""
        try:
            message = await feeds.read(reader)
            if not isinstance(message, feeds.Subscribe) or self._closed:
                return
            if message.version != feeds.VERSION:
                raise errors.FrameVersionError(message.version)
            log.info("follower joined", follower=message.vm)
            writer.write(feeds.pack(self._greet(message.revision)))
            self.subscribers[writer] = message.vm
            self.pulse()
            while await feeds.read(reader) is not None:
                pass
        except (errors.WireError, OSError) as error:
            log.info("follower left", reason=repr(error))
        finally:
            self.subscribers.pop(writer, None)
            writer.transport.abort()

    def _greet(self, revision: int) -> feeds.Items:
        """Returns what a follower with a revision must be told first."""
        known = self._intake.revision
        # What it is told now must not be missing from what all are told later.
        self.tell()
        if max(self._kept_from, self._intake.whole_at) <= revision:
            fresh = [i for i in self._changes if i.revision > revision]
            return feeds.Items(known, feeds.write_items(fresh), False)
        items = list(self._intake.items.values())
        return feeds.Items(known, feeds.write_items(items), True)
