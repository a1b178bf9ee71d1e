"""Sends the cluster state to other VMs, so that few VMs call the store."""

import asyncio
import collections
from collections.abc import Callable
from typing import Final

from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.vm import feed_messages
from wigeonspool.vm import store_follower
from wigeonspool.vm import structured_log

# A follower tries another feeder after three intervals without a message.
KEEPALIVE_SECONDS: Final = 0.4
# Recent changes that are stored, so that a follower that reconnects receives
# only the changes that it missed.
MAX_RECENT_CHANGES: Final = 2000
# Age that is reported for data that the store has not confirmed; the message
# format has no infinity.
MAX_AGE_SECONDS: Final = 1e6
# A follower that leaves more than this unread is disconnected; it reconnects
# and gets the changes again.
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
        """Creates a feeder without followers.

        Args:
            replica: State to send.
            find_synced_at: Returns the time at which the store last confirmed
                the replica, loop clock.
        """
        self.subscribers: dict[asyncio.StreamWriter, str] = {}
        self._replica = replica
        self._find_synced_at = find_synced_at
        self._recent_changes: collections.deque[key_values.KeyValue] = (
            collections.deque()
        )
        self._unsent_changes: list[key_values.KeyValue] = []
        self._last_dropped_revision = 0
        self._sent_revision = 0
        self._recorded_era = 0
        self._sent_era = 0
        self._server: asyncio.Server | None = None
        self._closed = False
        self._loop = asyncio.get_running_loop()

    async def start(self, address: str) -> None:
        """Starts to accept followers.

        Args:
            address: host:port to listen on.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(
            self._serve, host, int(port), backlog=1024
        )

    def close(self) -> None:
        """Disconnects all followers and accepts no new ones."""
        self._closed = True
        if self._server is not None:
            self._server.close()
        for writer in list(self.subscribers):
            writer.transport.abort()

    def record_change(self, item: key_values.KeyValue) -> None:
        """Stores a change for the followers.

        Drops the oldest one if there are more than `MAX_RECENT_CHANGES`, and
        all of an older era.
        """
        self._drop_older_era()
        self._unsent_changes.append(item)
        self._recent_changes.append(item)
        if len(self._recent_changes) > MAX_RECENT_CHANGES:
            dropped = self._recent_changes.popleft()
            # The changes of a range that was read come in the order of keys.
            self._last_dropped_revision = max(
                self._last_dropped_revision, dropped.revision
            )

    def _drop_older_era(self) -> None:
        """Drops the stored changes if they belong to an older era."""
        if self._recorded_era != self._replica.era:
            self._recorded_era = self._replica.era
            self._recent_changes.clear()
            self._unsent_changes.clear()
            self._last_dropped_revision = 0

    def send_changes(self) -> None:
        """Sends all followers the changes since the last call.

        In a new era of the store, they get all keys.
        """
        if self._sent_era != self._replica.era:
            self._send_era()
            return
        revision = self._replica.revision
        if revision <= self._sent_revision and not self._unsent_changes:
            return
        # Not only those newer than the last message: a range that was read may
        # be newer than the revision.
        changes, self._unsent_changes = self._unsent_changes, []
        self._sent_revision = revision
        message = feed_messages.Items(
            revision,
            feed_messages.encode_items(changes),
            whole=False,
            jumped_from=self._replica.pop_jump(),
            era=self._sent_era,
        )
        self._broadcast(feed_messages.encode_message(message))

    def _send_era(self) -> None:
        """Sends all followers the keys of a new era of the store."""
        self._drop_older_era()
        self._sent_era = self._replica.era
        self._sent_revision = self._replica.revision
        self._unsent_changes.clear()
        self._replica.pop_jump()
        self._broadcast(feed_messages.encode_message(self._build_whole()))

    def send_keepalive(self) -> None:
        """Sends all followers the revision and the age of the replica."""
        age_seconds = self._loop.time() - self._find_synced_at()
        message = feed_messages.Pulse(
            self._replica.revision,
            min(age_seconds, MAX_AGE_SECONDS),
            self._replica.era,
        )
        self._broadcast(feed_messages.encode_message(message))

    def _broadcast(self, data: bytes) -> None:
        """Writes a frame to all followers without waiting for them.

        Followers that leave too much unread are disconnected.
        """
        for writer in list(self.subscribers):
            unread_bytes = writer.transport.get_write_buffer_size()
            if unread_bytes > MAX_UNREAD_BYTES:
                writer.transport.abort()
            elif not writer.is_closing():
                writer.write(data)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one follower until it disconnects."""
        try:
            message = await feed_messages.read_message(reader)
            if not isinstance(message, feed_messages.Subscribe) or self._closed:
                return
            if message.version != feed_messages.VERSION:
                raise errors.FrameVersionError(message.version)
            log.info("follower joined", follower=message.vm)
            writer.write(
                feed_messages.encode_message(
                    self._build_first_message(message.revision, message.era)
                )
            )
            self.subscribers[writer] = message.vm
            self.send_keepalive()
            while await feed_messages.read_message(reader) is not None:
                pass
        except Exception as error:
            log.info("follower left", reason=repr(error))
        finally:
            self.subscribers.pop(writer, None)
            writer.transport.abort()

    def _build_first_message(
        self, revision: int, era: int = 0
    ) -> feed_messages.Items:
        """Returns the first message for a follower.

        The message holds the changes after the revision of the follower, or all
        keys if some of these changes are not stored any more or the follower
        has another era.

        Args:
            revision: Revision up to which the follower has all changes.
            era: Era of that revision.
        """
        # Sends pending changes to the other followers first, so that all
        # followers continue from the revision of this message.
        self.send_changes()
        if era == self._replica.era and revision >= max(
            self._last_dropped_revision, self._replica.snapshot_revision
        ):
            changes = [i for i in self._recent_changes if i.revision > revision]
            return feed_messages.Items(
                self._replica.revision,
                feed_messages.encode_items(changes),
                False,
                era=era,
            )
        return self._build_whole()

    def _build_whole(self) -> feed_messages.Items:
        """Returns a message with all keys."""
        return feed_messages.Items(
            self._replica.revision,
            feed_messages.encode_items(list(self._replica.items.values())),
            True,
            era=self._replica.era,
            restored_revision=self._replica.restored_revision,
        )
