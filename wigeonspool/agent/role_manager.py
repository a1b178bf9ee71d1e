"""Decides which agents to follow and whether this agent is a feeder.

A feeder reads the VM list, watches the store and holds leases. All agents
follow the feeders of their region, or the configured peers (seeds) while they
know no feeder. A feeder also follows one feeder of each other region.
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

# A new agent waits this long for a seed to report the feeders before it reads
# the VM list itself.
SEED_TIMEOUT_SECONDS: Final = 0.5


class RoleManager:
    """Reads the VM list if needed, selects upstreams and runs the feeder.

    Attributes:
        directory: Current feeders and draining targets, from the VM list or
            from other agents.
        vm_list_reads: Number of reads of the VM list.
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
        """Builds the manager; streams start with the first `update`.

        Args:
            settings: Settings of the VM.
            session: HTTP client for the VM list.
            upstreams: Streams to the agents that are followed.
            send_directory: Sends a changed directory to subscribers.
            run_feeder: Runs the feeder role until it is cancelled.
        """
        self._settings = settings
        self._reader = vms.VmListReader(
            session, settings.vm_list.url, settings.store.timeout_seconds
        )
        self._upstreams = upstreams
        self._send = send_directory
        self._run_feeder = run_feeder
        self._started_at = clocks.read_boottime_seconds()
        self._region_responsive_at = self._started_at
        self._feeder_task: asyncio.Task[None] | None = None
        self.directory = directories.VmDirectory(
            settings.vm,
            settings.region,
            settings.agent.listen,
            tuple(settings.agent.peers),
        )
        self.vm_list_reads = 0
        self._failures = failure_logs.FailureLog("VM list")

    @property
    def is_feeder(self) -> bool:
        """True if this agent is a feeder."""
        return self._feeder_task is not None

    async def update(self) -> None:
        """Updates the directory, the upstreams and the feeder role."""
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
        """Stops the feeder role, if it is active."""
        if self._feeder_task is not None:
            self._feeder_task.cancel()
            self._feeder_task = None

    def must_read_list(self) -> bool:
        """Returns True if this agent must read the VM list itself.

        Feeders always do. Others do if no responsive agent has reported a
        directory, but first give the seeds, if there are any,
        `SEED_TIMEOUT_SECONDS` to report one.
        """
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
        """Returns directories of responsive agents, the latest sender last."""
        fresh = sorted(
            self._upstreams.list_fresh(), key=lambda u: u.last_received_at
        )
        return [u.directory for u in fresh if u.directory is not None]

    async def _read_list(self) -> None:
        """Reads the VM list; if that fails, the directory stays as it is."""
        self.vm_list_reads += 1
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
        """Sends the directory to subscribers, if there is one."""
        if self.directory.current is not None:
            self._send(self.directory.current)

    def _is_isolated(self) -> bool:
        """Returns True if no feeder of the region was responsive for too long.

        The limit is twice `agent.silence_seconds`, counted from the last time
        that a feeder of this region was responsive or none was known.
        """
        region_feeders = self.directory.list_region_feeders()
        fresh = {u.address for u in self._upstreams.list_fresh()}
        now = clocks.read_boottime_seconds()
        if not region_feeders or region_feeders & fresh:
            self._region_responsive_at = now
        limit = 2 * self._settings.agent.silence_seconds
        return now > self._region_responsive_at + limit
