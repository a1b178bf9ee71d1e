"""Feeds other VMs what this one learns, so that few call the store."""

import asyncio
import collections
from collections.abc import Callable
from typing import Final

from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.vm import feed_messages
from wigeonspool.vm import store_follower
from wigeonspool.vm import structured_log

# Followers look elsewhere after three of these without a sign.
KEEPALIVE_SECONDS: Final = 0.4
# Changes that are kept, so that a follower which was away gets only those.
MAX_KEPT_CHANGES: Final = 2000
# What was never confirmed is this old; infinity is no number of the format.
MAX_AGE_SECONDS: Final = 1e6
# A follower that leaves this much unread is cut off, and comes back.
MAX_UNREAD_BYTES: Final = 4 * 1024 * 1024

log = structured_log.get_logger("feed")


class Feeder:
    """Serves the VMs that follow this one.

    Attributes:
        subscribers: Streams to the followers, with the names of their VMs.
    """

    def __init__(
        self,
        replica: store_follower.StoreReplica,
        find_synced_at: Callable[[], float],
    ) -> None:
        """Prepares a feeder.

        Args:
            replica: What this VM knows.
            find_synced_at: Returns when the store last confirmed that, loop
                clock.
        """
        self.subscribers: dict[asyncio.StreamWriter, str] = {}
        self._replica = replica
        self._find_synced_at = find_synced_at
        self._changes: collections.deque[key_values.KeyValue] = (
            collections.deque()
        )
        self._oldest_kept_revision = 0
        self._sent_revision = 0
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

    def record_change(self, item: key_values.KeyValue) -> None:
        """Keeps a change for the followers."""
        self._changes.append(item)
        if len(self._changes) > MAX_KEPT_CHANGES:
            self._oldest_kept_revision = self._changes.popleft().revision

    def send_changes(self) -> None:
        """Tells all followers what is new to them."""
        revision = self._replica.revision
        if revision <= self._sent_revision:
            return
        fresh = [
            item
            for item in self._changes
            if item.revision > self._sent_revision
        ]
        self._sent_revision = revision
        items = feed_messages.encode_items(fresh)
        self._broadcast(
            feed_messages.encode_message(
                feed_messages.Items(revision, items, False)
            )
        )

    def send_keepalive(self) -> None:
        """Tells all followers that this VM lives, and how fresh it is."""
        age = self._loop.time() - self._find_synced_at()
        message = feed_messages.Pulse(
            self._replica.revision, min(age, MAX_AGE_SECONDS)
        )
        self._broadcast(feed_messages.encode_message(message))

    def _broadcast(self, data: bytes) -> None:
        """Sends a frame to all followers without waiting for them."""
        for writer in list(self.subscribers):
            unread = writer.transport.get_write_buffer_size()
            if unread > MAX_UNREAD_BYTES:
                writer.transport.abort()
            elif not writer.is_closing():
                writer.write(data)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one follower until it leaves."""
        try:
            message = await feed_messages.read_message(reader)
            if not isinstance(message, feed_messages.Subscribe) or self._closed:
                return
            if message.version != feed_messages.VERSION:
                raise errors.FrameVersionError(message.version)
            log.info("follower joined", follower=message.vm)
            writer.write(
                feed_messages.encode_message(
                    self._build_first_message(message.revision)
                )
            )
            self.subscribers[writer] = message.vm
            self.send_keepalive()
            while await feed_messages.read_message(reader) is not None:
                pass
        except (errors.WireError, OSError) as error:
            log.info("follower left", reason=repr(error))
        finally:
            self.subscribers.pop(writer, None)
            writer.transport.abort()

    def _build_first_message(self, revision: int) -> feed_messages.Items:
        """Returns what a follower with a revision must be told first."""
        current_revision = self._replica.revision
        # What it is told now must not be missing from what all are told later.
        self.send_changes()
        if (
            max(self._oldest_kept_revision, self._replica.snapshot_revision)
            <= revision
        ):
            fresh = [i for i in self._changes if i.revision > revision]
            return feed_messages.Items(
                current_revision, feed_messages.encode_items(fresh), False
            )
        items = list(self._replica.items.values())
        return feed_messages.Items(
            current_revision, feed_messages.encode_items(items), True
        )
