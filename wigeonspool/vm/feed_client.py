"""Follows another VM, a feeder, instead of the store."""

import asyncio
from collections.abc import Callable
from typing import Final

from wigeonspool import failure_logs
from wigeonspool.model import addresses
from wigeonspool.model import key_values
from wigeonspool.vm import feed_messages
from wigeonspool.vm import feed_server
from wigeonspool.vm import store_follower
from wigeonspool.vm import structured_log

# A round trip between regions takes 25 ms.
CONNECT_TIMEOUT_SECONDS: Final = 0.4
UNRESPONSIVE_SECONDS: Final = 3 * feed_server.KEEPALIVE_SECONDS
# A feeder without followers so far needs this long to connect to the store, so
# stale data from it is tolerated for this time.
STALE_GRACE_SECONDS: Final = 1.0
# A feeder that failed is not tried again during this time.
AVOID_FAILED_SECONDS: Final = 2.0
RETRY_SECONDS: Final = 0.1

log = structured_log.get_logger("feed")


class FeederJumpError(ConnectionError):
    """A feeder jumped to a newer state, past changes that a follower needs."""


class FeederEraError(ConnectionError):
    """A feeder has an older era of the store than its follower."""

    def __init__(self, era: int, current: int) -> None:
        super().__init__(f"the feeder is in era {era}, not in era {current}")


class FeedClient:
    """Follows feeders and applies the changes that they send to a replica.

    Attributes:
        address: Peer address of the current feeder, or "" if there is none.
        synced_at: Time at which the store last confirmed the data of the
            feeder, loop clock.
    """

    def __init__(
        self,
        vm: str,
        replica: store_follower.StoreReplica,
        list_feeders: Callable[[], list[str]],
    ) -> None:
        """Creates a client that follows no feeder yet.

        Args:
            vm: Name of this VM.
            replica: Replica to update.
            list_feeders: Returns the peer addresses of the feeders, the best
                first; none if this VM should follow the store itself.
        """
        self.address = ""
        self.synced_at = float("-inf")
        self._vm = vm
        self._replica = replica
        self._list_feeders = list_feeders
        self._avoided_until: dict[str, float] = {}
        self._received_at = float("-inf")
        self._stale_grace_until = 0.0
        self._failures = failure_logs.FailureLog("feed")
        self._loop = asyncio.get_running_loop()

    def is_fresh(self) -> bool:
        """Returns True if a feeder keeps this VM up to date.

        That is the case if its latest message is recent and if the store
        confirmed its data recently.
        """
        now = self._loop.time()
        return bool(self.address) and (
            now - self._received_at < UNRESPONSIVE_SECONDS
            and now - self.synced_at < store_follower.STALE_SECONDS
        )

    async def follow_feeder(self) -> None:
        """Follows the best feeder until it fails or a better one is found.

        Waits for `RETRY_SECONDS` if there is no feeder to follow.
        """
        address = self._choose_feeder()
        if not address:
            await asyncio.sleep(RETRY_SECONDS)
            return
        try:
            await self._follow(address)
        except FeederJumpError:
            log.info(
                "feeder lacks changes",
                feeder=address,
                revision=self._replica.revision,
            )
        except Exception as error:
            # Not only errors of the stream: an unforeseen message must not end
            # the task that follows feeders.
            self._failures.record(error)
            self._avoided_until[address] = (
                self._loop.time() + AVOID_FAILED_SECONDS
            )
        finally:
            self.address = ""

    def _choose_feeder(self) -> str:
        """Returns the best feeder that did not fail lately, or ""."""
        now = self._loop.time()
        for address in self._list_feeders():
            if self._avoided_until.get(address, 0.0) <= now:
                return address
        return ""

    async def _follow(self, address: str) -> None:
        """Connects to a feeder and applies its messages.

        Returns once another feeder is better.

        Raises:
            WireError: If the feeder violated the protocol.
            OSError: If the connection failed, no message came in time or the
                data of the feeder is stale.
        """
        host, port = addresses.split_address(address)
        async with asyncio.timeout(CONNECT_TIMEOUT_SECONDS):
            reader, writer = await asyncio.open_connection(host, port)
        try:
            subscribe = feed_messages.Subscribe(
                feed_messages.VERSION,
                self._vm,
                self._replica.revision,
                self._replica.era,
            )
            writer.write(feed_messages.encode_message(subscribe))
            self._stale_grace_until = self._loop.time() + STALE_GRACE_SECONDS
            while True:
                async with asyncio.timeout(UNRESPONSIVE_SECONDS):
                    message = await feed_messages.read_message(reader)
                if message is None:
                    raise ConnectionResetError("feeder closed the connection")
                self._handle_message(address, message)
                if self._choose_feeder() != address:
                    return
        finally:
            writer.transport.abort()

    def _handle_message(
        self, address: str, message: feed_messages.Message
    ) -> None:
        """Applies one message of the feeder.

        Raises:
            ConnectionError: If the data of the feeder is stale, because it has
                lost the store or has an older era, or if this VM may lack
                changes that the feeder did not see one by one.
        """
        now = self._loop.time()
        self._received_at = now
        if not isinstance(message, feed_messages.Subscribe):
            self._check_era(message)
        if isinstance(message, feed_messages.Items):
            items = feed_messages.decode_items(message.items)
            if (
                message.jumped_from is not None
                and self._replica.newest_revision > message.jumped_from
            ):
                # The first message of the next connection has all keys.
                raise FeederJumpError
            if message.whole:
                self._replica.apply_snapshot(
                    items,
                    message.revision,
                    message.era,
                    message.restored_revision,
                )
            else:
                page = key_values.Page(
                    tuple(items), message.revision, era=message.era
                )
                if message.jumped_from is None:
                    self._replica.apply_page(page)
                else:
                    self._replica.apply_differences(page)
        elif isinstance(message, feed_messages.Pulse):
            self.synced_at = now - message.age_seconds
            is_stale = message.age_seconds > store_follower.STALE_SECONDS
            if is_stale and now > self._stale_grace_until:
                raise ConnectionAbortedError("feeder data is stale")
        if self.address != address:
            self.address = address
            self._failures.record_recovery()
            log.info("following", feeder=address)

    def _check_era(
        self, message: feed_messages.Items | feed_messages.Pulse
    ) -> None:
        """Checks that a message has the era of the replica, or begins a newer.

        Raises:
            FeederEraError: If the message has an older era.
            FeederJumpError: If the message has a newer era but not all keys.
        """
        era = self._replica.era
        if message.era < era:
            log.info(
                "feeder of an older era rejected", era=message.era, current=era
            )
            raise FeederEraError(message.era, era)
        begins_era = isinstance(message, feed_messages.Items) and message.whole
        if message.era > era and not begins_era:
            # The first message of the next connection has all keys.
            raise FeederJumpError
