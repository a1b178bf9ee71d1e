"""Follows another VM in place of the store."""

import asyncio
from collections.abc import Callable
from typing import Final

from wigeonspool import failures
from wigeonspool.model import errors
from wigeonspool.model import sources
from wigeonspool.vm import feeding
from wigeonspool.vm import feeds
from wigeonspool.vm import following
from wigeonspool.vm import journal

# Round trips between regions take 25 ms.
CONNECT_SECONDS: Final = 0.4
SILENT_SECONDS: Final = 3 * feeding.PULSE_SECONDS
# A VM that nobody followed before needs this long to hear of the store.
GRACE_SECONDS: Final = 1.0
# A feeder that failed is not tried again for this long.
SHUNNED_SECONDS: Final = 2.0
RETRY_SECONDS: Final = 0.1

log = journal.open_part("feed")


class Upstream:
    """The stream to the VM that this one follows.

    Attributes:
        address: Peer address of that VM, or "" if none is followed.
        synced_at: When the store last confirmed what it tells, loop clock.
    """

    def __init__(
        self,
        vm: str,
        intake: following.Intake,
        list_feeders: Callable[[], list[str]],
    ) -> None:
        """Prepares a stream.

        Args:
            vm: Name of this VM.
            intake: Takes what is told.
            list_feeders: Returns the peer addresses of the VMs to follow, the
                best first; none if this VM should follow the store itself.
        """
        self.address = ""
        self.synced_at = float("-inf")
        self._vm = vm
        self._intake = intake
        self._list_feeders = list_feeders
        self._shunned: dict[str, float] = {}
        self._heard_at = float("-inf")
        self._patient_until = 0.0
        self._failures = failures.FailureLog("feed")
        self._loop = asyncio.get_running_loop()

    def is_fresh(self) -> bool:
        """Returns True if another VM tells this one all that is new."""
        now = self._loop.time()
        return bool(self.address) and (
            now - self._heard_at < SILENT_SECONDS
            and now - self.synced_at < following.STALE_SECONDS
        )

    async def step(self) -> None:
        """Follows the best VM until it fails or a better one is there."""
        address = self._choose()
        if not address:
            await asyncio.sleep(RETRY_SECONDS)
            return
        try:
            await self._follow(address)
        except (errors.WireError, OSError) as error:
            self._failures.note(error)
            self._shunned[address] = self._loop.time() + SHUNNED_SECONDS
        finally:
            self.address = ""

    def _choose(self) -> str:
        """Returns the best VM that did not fail lately, or ""."""
        now = self._loop.time()
        for address in self._list_feeders():
            if self._shunned.get(address, 0.0) <= now:
                return address
        return ""

    async def _follow(self, address: str) -> None:
        """Takes what a VM tells.

        Raises:
            WireError: If it broke the protocol.
            OSError: If the connection failed, was silent or the VM is stale.
        """
        host, _, port = address.rpartition(":")
        async with asyncio.timeout(CONNECT_SECONDS):
            reader, writer = await asyncio.open_connection(host, int(port))
        try:
            hello = feeds.Subscribe(
                feeds.VERSION, self._vm, self._intake.revision
            )
            writer.write(feeds.pack(hello))
            self._patient_until = self._loop.time() + GRACE_SECONDS
            while True:
                async with asyncio.timeout(SILENT_SECONDS):
                    message = await feeds.read(reader)
                if message is None:
                    raise ConnectionResetError("the feed ended")
                self._take(address, message)
                if self._choose() != address:
                    return
        finally:
            writer.transport.abort()

    def _take(self, address: str, message: feeds.Message) -> None:
        """Takes one message of the VM that is followed.

        Raises:
            ConnectionError: If that VM has lost the store.
        """
        now = self._loop.time()
        self._heard_at = now
        if isinstance(message, feeds.Items):
            items = feeds.read_items(message.items)
            if message.whole:
                self._intake.replace(items, message.revision)
            else:
                page = sources.Page(tuple(items), message.revision)
                self._intake.take(page)
        elif isinstance(message, feeds.Pulse):
            self.synced_at = now - message.age_seconds
            is_stale = message.age_seconds > following.STALE_SECONDS
            if is_stale and now > self._patient_until:
                raise ConnectionAbortedError("the feeder lost the store")
        if self.address != address:
            self.address = address
            self._failures.clear()
            log.info("following", feeder=address)
