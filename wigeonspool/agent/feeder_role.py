"""The feeder role of an agent.

A feeder watches the store, holds leases on probe budgets and sends probes.
"""

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

# A new feeder first waits for the state of its peers, because the tables in the
# store may be older.
PEER_TIMEOUT_SECONDS: Final = 2.0
LEASE_INTERVAL_SECONDS: Final = 1.0


class Feeder:
    """Runs the feeder role while this agent is among the chosen feeders.

    Attributes:
        client: Client of the store.
        leases: Leases on the pools whose probe budget this agent may use.
        probe_scheduler: Schedules probes within these budgets.
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
        """Builds the feeder; `run` starts it.

        Args:
            settings: Settings of the VM.
            identity: Identity of this incarnation of the process.
            session: HTTP client for the store.
            state: Active tables.
            event_log: Event log of this process.
            on_change: Called after the tables changed.
            publish_result: Sends the result of a probe to all gateways.
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
        """Runs the feeder role until cancelled.

        Args:
            directory: Current feeders.
            upstreams: Streams to the agents that are followed.
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
        """Maintains the leases of assigned pools; revokes them at the end."""
        try:
            while True:
                self._rank = directory.find_rank() or 0
                current = directory.current
                await self._update_leases(current.feeders if current else ())
                await asyncio.sleep(LEASE_INTERVAL_SECONDS)
        finally:
            await asyncio.shield(self.leases.stop())

    async def _update_leases(self, feeders: tuple[entities.Vm, ...]) -> None:
        """Renews and acquires leases; those that cannot be renewed lapse."""
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
    """Waits, up to a timeout, until a peer has sent its complete state."""
    if not upstreams.has_any():
        return
    try:
        async with asyncio.timeout(PEER_TIMEOUT_SECONDS):
            await upstreams.has_synced.wait()
    except TimeoutError:
        loguru.logger.info("no peer responds; using the store")
