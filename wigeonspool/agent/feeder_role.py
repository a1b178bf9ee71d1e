"""The work of a feeder: it follows the store and holds leases."""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp
import loguru

from wigeonspool import eventlog
from wigeonspool import failure_logs
from wigeonspool.agent import configuration
from wigeonspool.agent import directory as directories
from wigeonspool.agent import leases
from wigeonspool.agent import probe_loop
from wigeonspool.agent import probe_scheduler
from wigeonspool.agent import store_watcher
from wigeonspool.agent import upstreams as upstream_streams
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import options
from wigeonspool.model import probe_messages
from wigeonspool.store import change_log as logs
from wigeonspool.store import store
from wigeonspool.wire import clocks

# A new feeder hears its peers before it reads a store that may be older.
PEER_TIMEOUT_SECONDS: Final = 2.0
LEASE_INTERVAL_SECONDS: Final = 1.0


class Feeder:
    """Does a feeder's work while the VM list says that this agent is one.

    Attributes:
        client: Client of the store.
        leases: Pools whose measuring budget this agent may spend.
        probe_scheduler: Spends these budgets.
    """

    def __init__(
        self,
        settings: options.Options,
        identity: str,
        session: aiohttp.ClientSession,
        state: configuration.ConfigurationState,
        event_log: eventlog.EventLog,
        on_change: Callable[[], None],
        publish_result: Callable[[probe_messages.ProbeResult], None],
    ) -> None:
        """Prepares the work.

        Args:
            settings: Settings of the VM.
            identity: Identity of this run of the process.
            session: HTTP client for the store.
            state: Tables in force.
            event_log: Events of this process.
            on_change: Called after the tables changed.
            publish_result: Tells all gateways of a measured target.
        """
        self._vm = settings.vm
        self._state = state
        self._rank = 0
        self.client = store.StoreClient(
            session, settings.store.url, settings.store.timeout_seconds
        )
        self._store_watcher = store_watcher.StoreWatcher(
            self.client,
            logs.ChangeLog(self.client, settings.store.prefix),
            state,
            event_log,
            identity,
            on_change,
            lambda: self._rank,
        )
        self.leases = leases.LeaseManager(
            self.client,
            settings.store.prefix,
            identity,
            clocks.read_boottime_seconds,
        )
        self.probe_scheduler = probe_scheduler.ProbeScheduler(
            self.leases.find_term,
            lambda pool: state.tables.pools.get(pool),
            clocks.read_boottime_seconds,
            publish_result,
        )
        self._assignment_inputs: tuple[object, object] = ((), ())
        self._assigned_pools: set[str] = set()
        self._failures = failure_logs.FailureLog("leases")

    async def run(
        self,
        directory: directories.VmDirectory,
        upstreams: upstream_streams.Upstreams,
    ) -> None:
        """Works until it is cancelled.

        Args:
            directory: What is known of the VM list.
            upstreams: The agents that are followed.
        """
        lease_task = asyncio.create_task(self._maintain_leases(directory))
        probe_task = asyncio.create_task(
            probe_loop.run_probes(self.probe_scheduler)
        )
        try:
            await _wait_for_peers(upstreams)
            await self._store_watcher.run()
        finally:
            probe_task.cancel()
            lease_task.cancel()

    async def _maintain_leases(
        self, directory: directories.VmDirectory
    ) -> None:
        """Holds the leases of the pools that fall to this agent."""
        try:
            while True:
                self._rank = directory.find_rank() or 0
                known = directory.current
                await self._update_leases(known.feeders if known else ())
                await asyncio.sleep(LEASE_INTERVAL_SECONDS)
        finally:
            await asyncio.shield(self.leases.stop())

    async def _update_leases(self, feeders: tuple[entities.Vm, ...]) -> None:
        """Renews and claims leases; what cannot be renewed lapses."""
        pools = self._state.tables.pools.keys()
        if self._assignment_inputs != (feeders, pools):
            self._assignment_inputs = (feeders, pools)
            self._assigned_pools = leases.choose_pools(self._vm, feeders, pools)
        try:
            await self.leases.update(self._assigned_pools)
        except errors.StoreError as error:
            self._failures.record(error)
        else:
            self._failures.record_recovery()


async def _wait_for_peers(upstreams: upstream_streams.Upstreams) -> None:
    """Waits until a peer has told what is in force, if there is one."""
    if not upstreams.has_any():
        return
    try:
        async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
            await upstreams.has_synced.wait()
    except TimeoutError:
        loguru.logger.info("no peer answers; the store decides")
