"""Follows another VM in place of the store."""

import asyncio
from collections.abc import Callable
from typing import Final

from wigeonspool import failure_logs
from wigeonspool.model import errors
from wigeonspool.model import key_values
from wigeonspool.vm import feed_messages
from wigeonspool.vm import feed_server
from wigeonspool.vm import store_follower
from wigeonspool.vm import structured_log

# Round trips between regions take 25 ms.
CONNECT_TIMEOUT_SECONDS: Final = 0.4
UNRESPONSIVE_SECONDS: Final = 3 * feed_server.KEEPALIVE_SECONDS
# A VM that nobody followed before needs this long to hear of the store.
STALE_GRACE_SECONDS: Final = 1.0
# A feeder that failed is not tried again for this long.
AVOID_FAILED_SECONDS: Final = 2.0
RETRY_SECONDS: Final = 0.1

log = structured_log.get_logger("feed")


class FeedClient:
    """The stream to the VM that this one follows.

    Attributes:
        address: Peer address of that VM, or "" if none is followed.
        synced_at: When the store last confirmed what it tells, loop clock.
    """

    def __init__(
        self,
        vm: str,
        replica: store_follower.StoreReplica,
        list_feeders: Callable[[], list[str]],
    ) -> None:
        """Prepares a stream.

        Args:
            vm: Name of this VM.
            replica: Takes what is told.
            list_feeders: Returns the peer addresses of the VMs to follow, the
                best first; none if this VM should follow the store itself.
        """
        self.address = ""
        self.synced_at = float("-inf")
        self._vm = vm
        self._replica = replica
        self._list_feeders = list_feeders
        self._avoided_until: dict[str, float] = {}
        self._received_at = float("-inf")
        self._grace_until = 0.0
        self._failures = failure_logs.FailureLog("feed")
        self._loop = asyncio.get_running_loop()

    def is_fresh(self) -> bool:
        """Returns True if another VM tells this one all that is new."""
        now = self._loop.time()
        return bool(self.address) and (
            now - self._received_at < UNRESPONSIVE_SECONDS
            and now - self.synced_at < store_follower.STALE_SECONDS
        )

    async def step(self) -> None:
        """Follows the best VM until it fails or a better one is there."""
        address = self._choose_feeder()
        if not address:
            await asyncio.sleep(RETRY_SECONDS)
            return
        try:
            await self._follow(address)
        except (errors.WireError, OSError) as error:
            self._failures.record(error)
            self._avoided_until[address] = (
                self._loop.time() + AVOID_FAILED_SECONDS
            )
        finally:
            self.address = ""

    def _choose_feeder(self) -> str:
        """Returns the best VM that did not fail lately, or ""."""
        now = self._loop.time()
        for address in self._list_feeders():
            if self._avoided_until.get(address, 0.0) <= now:
                return address
        return ""

    async def _follow(self, address: str) -> None:
        """Takes what a VM tells.

        Raises:
            WireError: If it broke the protocol.
            OSError: If the connection failed, was silent or the VM is stale.
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            hello = feed_messages.Subscribe(
                feed_messages.VERSION, self._vm, self._replica.revision
            )
            writer.write(feed_messages.encode_message(hello))
            self._grace_until = self._loop.time() + STALE_GRACE_SECONDS
            while True:
                async with asyncio.timeout(UNRESPONSIVE_SECONDS):
                    message = await feed_messages.read_message(reader)
                if message is None:
                    raise ConnectionResetError("the feed ended")
                self._handle_message(address, message)
                if self._choose_feeder() != address:
                    return
        finally:
            writer.transport.abort()

    def _handle_message(
        self, address: str, message: feed_messages.Message
    ) -> None:
        """Takes one message of the VM that is followed.

        Raises:
            ConnectionError: If that VM has lost the store.
        """
        now = self._loop.time()
        self._received_at = now
        if isinstance(message, feed_messages.Items):
            items = feed_messages.decode_items(message.items)
            if message.whole:
                self._replica.apply_snapshot(items, message.revision)
            else:
                page = key_values.Page(tuple(items), message.revision)
                self._replica.apply_page(page)
        elif isinstance(message, feed_messages.Pulse):
            self.synced_at = now - message.age_seconds
            is_stale = message.age_seconds > store_follower.STALE_SECONDS
            if is_stale and now > self._grace_until:
                raise ConnectionAbortedError("the feeder lost the store")
        if self.address != address:
            self.address = address
            self._failures.record_recovery()
            log.info("following", feeder=address)
