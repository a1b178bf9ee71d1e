"""Keeps an agent at the feeders of its region, and makes it one if due.

A feeder reads the VM list, follows the store and holds leases. All others
follow the feeders, or seeds while none is known.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Final

import aiohttp

from wigeonspool import failures
from wigeonspool.agent import directory as directories
from wigeonspool.agent import upstreams as upstream_streams
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.model import options
from wigeonspool.store import vms
from wigeonspool.wire import clocks

# Seeds may know the feeders; the VM list is read if they do not tell so soon.
SEED_SECONDS: Final = 0.5


class Following:
    """Decides whom to follow and whether to be a feeder.

    Attributes:
        directory: What is known of the VM list.
        list_reads: Reads of the VM list.
    """

    def __init__(
        self,
        settings: options.Options,
        session: aiohttp.ClientSession,
        upstreams: upstream_streams.Upstreams,
        tell: Callable[[messages.Directory], None],
        feed: Callable[
            [directories.Directory, upstream_streams.Upstreams],
            Coroutine[None, None, None],
        ],
    ) -> None:
        """Prepares to follow.

        Args:
            settings: Settings of the VM.
            session: HTTP client for the VM list.
            upstreams: Streams to start and end.
            tell: Tells subscribers of a new directory.
            feed: Does a feeder's work until it is cancelled.
        """
        self._settings = settings
        self._reader = vms.VmListReader(
            session, settings.vm_list.url, settings.store.timeout_seconds
        )
        self._upstreams = upstreams
        self._tell = tell
        self._feed = feed
        self._started_at = clocks.read_clock()
        self._near_heard_at = self._started_at
        self._feeding: asyncio.Task[None] | None = None
        self.directory = directories.Directory(
            settings.vm,
            settings.region,
            settings.agent.listen,
            tuple(settings.agent.peers),
        )
        self.list_reads = 0
        self._failures = failures.FailureLog("VM list")

    @property
    def is_feeding(self) -> bool:
        """True if this agent is a feeder."""
        return self._feeding is not None

    async def step(self) -> None:
        """Brings the knowledge of the VM list and the streams up to date."""
        if self.must_read_list():
            await self._read_list()
        rank = self.directory.find_rank()
        if rank is None and self.directory.take_told(self._list_told()):
            self._tell_directory()
            rank = self.directory.find_rank()
        self._upstreams.follow(self.directory.choose_upstreams(self._is_lost()))
        if rank is not None and self._feeding is None:
            loop = asyncio.get_running_loop()
            self._feeding = loop.create_task(
                self._feed(self.directory, self._upstreams)
            )
        elif rank is None:
            self.stop()

    def stop(self) -> None:
        """Ends the work of a feeder."""
        if self._feeding is not None:
            self._feeding.cancel()
            self._feeding = None

    def must_read_list(self) -> bool:
        """Returns True if no other agent tells this one of the VM list."""
        if self.directory.find_rank() is not None:
            return True
        if self._list_told():
            return False
        waits = clocks.read_clock() < self._started_at + SEED_SECONDS
        return not (waits and self._settings.agent.peers)

    def _list_told(self) -> list[messages.Directory]:
        """Returns what agents that were heard of late know of the list."""
        fresh = sorted(self._upstreams.list_fresh(), key=lambda u: u.heard_at)
        return [u.directory for u in fresh if u.directory is not None]

    async def _read_list(self) -> None:
        """Reads the VM list; if that fails, the old one stays."""
        self.list_reads += 1
        try:
            listed = await self._reader.read()
        except errors.VmListError as error:
            self._failures.note(error)
            return
        self._failures.clear()
        per_region = self._settings.agent.feeders_per_region
        if self.directory.take_list(listed, per_region):
            self._tell_directory()

    def _tell_directory(self) -> None:
        """Tells subscribers of the VM list."""
        if self.directory.known is not None:
            self._tell(self.directory.known)

    def _is_lost(self) -> bool:
        """Returns True if no feeder of this region was heard of late."""
        near = self.directory.list_near()
        fresh = {u.address for u in self._upstreams.list_fresh()}
        now = clocks.read_clock()
        if not near or near & fresh:
            self._near_heard_at = now
        limit = 2 * self._settings.agent.silence_seconds
        return now > self._near_heard_at + limit
