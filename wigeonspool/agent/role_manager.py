"""Keeps an agent at the feeders of its region, and makes it one if due.

A feeder reads the VM list, follows the store and holds leases. All others
follow the feeders, or seeds while none is known.
"""

import asyncio
from collections.abc import Callable, Coroutine
from typing import Final

import aiohttp

from wigeonspool import failure_logs
from wigeonspool.agent import directory as directories
from wigeonspool.agent import upstreams as upstream_streams
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.model import options
from wigeonspool.store import vms
from wigeonspool.wire import clocks

# Seeds may know the feeders; the VM list is read if they do not tell so soon.
SEED_TIMEOUT_SECONDS: Final = 0.5


class RoleManager:
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
        send_directory: Callable[[messages.Directory], None],
        run_feeder: Callable[
            [directories.VmDirectory, upstream_streams.Upstreams],
            Coroutine[None, None, None],
        ],
    ) -> None:
        """Prepares to follow.

        Args:
            settings: Settings of the VM.
            session: HTTP client for the VM list.
            upstreams: Streams to start and end.
            send_directory: Tells subscribers of a new directory.
            run_feeder: Does a feeder's work until it is cancelled.
        """
        self._settings = settings
        self._reader = vms.VmListReader(
            session, settings.vm_list.url, settings.store.timeout_seconds
        )
        self._upstreams = upstreams
        self._send = send_directory
        self._run_feeder = run_feeder
        self._started_at = clocks.read_boottime_seconds()
        self._region_heard_at = self._started_at
        self._feeder_task: asyncio.Task[None] | None = None
        self.directory = directories.VmDirectory(
            settings.vm,
            settings.region,
            settings.agent.listen,
            tuple(settings.agent.peers),
        )
        self.list_reads = 0
        self._failures = failure_logs.FailureLog("VM list")

    @property
    def is_feeder(self) -> bool:
        """True if this agent is a feeder."""
        return self._feeder_task is not None

    async def update(self) -> None:
        """Brings the knowledge of the VM list and the streams up to date."""
        if self.must_read_list():
            await self._read_list()
        rank = self.directory.find_rank()
        if rank is None and self.directory.update_from_peers(
            self._list_reported()
        ):
            self._send_directory()
            rank = self.directory.find_rank()
        self._upstreams.set_upstreams(
            self.directory.choose_upstreams(self._is_isolated())
        )
        if rank is not None and self._feeder_task is None:
            loop = asyncio.get_running_loop()
            self._feeder_task = loop.create_task(
                self._run_feeder(self.directory, self._upstreams)
            )
        elif rank is None:
            self.stop()

    def stop(self) -> None:
        """Ends the work of a feeder."""
        if self._feeder_task is not None:
            self._feeder_task.cancel()
            self._feeder_task = None

    def must_read_list(self) -> bool:
        """Returns True if no other agent tells this one of the VM list."""
        if self.directory.find_rank() is not None:
            return True
        if self._list_reported():
            return False
        is_waiting = (
            clocks.read_boottime_seconds()
            < self._started_at + SEED_TIMEOUT_SECONDS
        )
        return not (is_waiting and self._settings.agent.peers)

    def _list_reported(self) -> list[messages.Directory]:
        """Returns what agents that were heard of late know of the list."""
        fresh = sorted(self._upstreams.list_fresh(), key=lambda u: u.heard_at)
        return [u.directory for u in fresh if u.directory is not None]

    async def _read_list(self) -> None:
        """Reads the VM list; if that fails, the old one stays."""
        self.list_reads += 1
        try:
            listed = await self._reader.read()
        except errors.VmListError as error:
            self._failures.record(error)
            return
        self._failures.record_recovery()
        per_region = self._settings.agent.feeders_per_region
        if self.directory.update_from_list(listed, per_region):
            self._send_directory()

    def _send_directory(self) -> None:
        """Tells subscribers of the VM list."""
        if self.directory.current is not None:
            self._send(self.directory.current)

    def _is_isolated(self) -> bool:
        """Returns True if no feeder of this region was heard of late."""
        region_feeders = self.directory.list_region_feeders()
        fresh = {u.address for u in self._upstreams.list_fresh()}
        now = clocks.read_boottime_seconds()
        if not region_feeders or region_feeders & fresh:
            self._region_heard_at = now
        limit = 2 * self._settings.agent.silence_seconds
        return now > self._region_heard_at + limit
