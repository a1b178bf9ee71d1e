"""The work of a feeder: it follows the store and holds leases."""

import asyncio
from collections.abc import Callable
from typing import Final

import aiohttp
import loguru

from wigeonspool import eventlog
from wigeonspool import failures
from wigeonspool.agent import configuration
from wigeonspool.agent import directory as directories
from wigeonspool.agent import follower
from wigeonspool.agent import leases
from wigeonspool.agent import measuring
from wigeonspool.agent import probing
from wigeonspool.agent import upstreams as upstream_streams
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import measurements
from wigeonspool.model import options
from wigeonspool.store import configuration as logs
from wigeonspool.store import store
from wigeonspool.wire import clocks

# A new feeder hears its peers before it reads a store that may be older.
PEER_SECONDS: Final = 2.0
LEASE_STEP_SECONDS: Final = 1.0


class Feeder:
    """Does a feeder's work while the VM list says that this agent is one.

    Attributes:
        client: Client of the store.
        leases: Pools whose measuring budget this agent may spend.
        prober: Spends these budgets.
    """

    def __init__(
        self,
        settings: options.Options,
        identity: str,
        session: aiohttp.ClientSession,
        state: configuration.ConfigurationState,
        event_log: eventlog.EventLog,
        on_change: Callable[[], None],
        tell: Callable[[measurements.ProbeResult], None],
    ) -> None:
        """Prepares the work.

        Args:
            settings: Settings of the VM.
            identity: Identity of this run of the process.
            session: HTTP client for the store.
            state: Tables in force.
            event_log: Events of this process.
            on_change: Called after the tables changed.
            tell: Tells all gateways of a measured target.
        """
        self._vm = settings.vm
        self._state = state
        self._rank = 0
        self.client = store.StoreClient(
            session, settings.store.url, settings.store.timeout_seconds
        )
        self._follower = follower.StoreFollower(
            self.client,
            logs.ChangeLog(self.client, settings.store.prefix),
            state,
            event_log,
            identity,
            on_change,
            lambda: self._rank,
        )
        self.leases = leases.LeaseKeeper(
            self.client, settings.store.prefix, identity, clocks.read_clock
        )
        self.prober = probing.Prober(
            self.leases.find_term,
            lambda pool: state.tables.pools.get(pool),
            clocks.read_clock,
            tell,
        )
        self._chosen_from: tuple[object, object] = ((), ())
        self._chosen: set[str] = set()
        self._failures = failures.FailureLog("leases")

    async def run(
        self,
        directory: directories.Directory,
        upstreams: upstream_streams.Upstreams,
    ) -> None:
        """Works until it is cancelled.

        Args:
            directory: What is known of the VM list.
            upstreams: The agents that are followed.
        """
        keeping = asyncio.create_task(self._keep_leases(directory))
        probing_task = asyncio.create_task(
            measuring.keep_measuring(self.prober)
        )
        try:
            await _hear_peers(upstreams)
            await self._follower.follow()
        finally:
            probing_task.cancel()
            keeping.cancel()

    async def _keep_leases(self, directory: directories.Directory) -> None:
        """Holds the leases of the pools that fall to this agent."""
        try:
            while True:
                self._rank = directory.find_rank() or 0
                known = directory.known
                await self._step_leases(known.feeders if known else ())
                await asyncio.sleep(LEASE_STEP_SECONDS)
        finally:
            await asyncio.shield(self.leases.stop())

    async def _step_leases(self, feeders: tuple[entities.Vm, ...]) -> None:
        """Renews and claims leases; what cannot be renewed lapses."""
        pools = self._state.tables.pools.keys()
        if self._chosen_from != (feeders, pools):
            self._chosen_from = (feeders, pools)
            self._chosen = leases.choose_pools(self._vm, feeders, pools)
        try:
            await self.leases.step(self._chosen)
        except errors.StoreError as error:
            self._failures.note(error)
        else:
            self._failures.clear()


async def _hear_peers(upstreams: upstream_streams.Upstreams) -> None:
    """Waits until a peer has told what is in force, if there is one."""
    if not upstreams.has_any():
        return
    try:
        async with asyncio.timeout(PEER_SECONDS):
            await upstreams.heard.wait()
    except TimeoutError:
        loguru.logger.info("no peer answers; the store decides")
