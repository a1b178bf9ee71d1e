"""The agent process: it follows the tables and the members of the fleet.

A few agents of each region, the feeders, follow the store. All agents follow
the feeders, so the calls to the store do not grow with the fleet.
"""

import asyncio
import secrets
from typing import Final

import aiohttp
import loguru
import mode

from wigeonspool import process
from wigeonspool.agent import configuration
from wigeonspool.agent import hub
from wigeonspool.agent import members
from wigeonspool.agent import metrics
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.model import options
from wigeonspool.platform import configuration as platform_configuration
from wigeonspool.platform import store
from wigeonspool.platform import vms
from wigeonspool.wire import senders
from wigeonspool.wire import streams

WATCH_IDLE_SECONDS: Final = 30.0
RETRY_SECONDS: Final = 0.5


class AgentService(process.DrainingService):
    """The agent of one entry VM."""

    def __init__(self, settings: options.Options) -> None:
        """Prepares the agent.

        Args:
            settings: Settings of the VM.
        """
        super().__init__()
        self._settings = settings
        self._incarnation = secrets.token_hex(8)
        self._sequence = 0
        self._log = process.EventLog(f"{settings.vm}-agent")
        self._state = configuration.ConfigurationState()
        self._members = members.MemberTable(settings.agent.silence_seconds)
        self._hub = hub.Hub(
            self._state, self._answer, self._take_heartbeat, self._log
        )
        self._vms: list[entities.Vm] = []
        self._feeders: dict[str, asyncio.Task[None]] = {}
        self._upstreams: dict[str, streams.Stream] = {}
        self._watch: asyncio.Task[None] | None = None

    async def on_start(self) -> None:
        """Opens the ports and begins to follow."""
        self._session = aiohttp.ClientSession()
        client = store.StoreClient(
            self._session,
            self._settings.store.url,
            self._settings.store.timeout_seconds,
        )
        self._store = client
        self._changes = platform_configuration.ChangeLog(
            client, self._settings.store.prefix
        )
        await self._hub.start(self._settings.agent.listen)
        self._metrics = await process.serve_metrics(
            self._settings.agent.metrics, self._publish_metrics
        )
        self._log.record(events.Kind.PROCESS_STARTED, vm=self._settings.vm)
        loguru.logger.info("listening on {}", self._settings.agent.listen)

    async def on_stop(self) -> None:
        """Closes ports and streams."""
        for task in self._feeders.values():
            task.cancel()
        if self._watch is not None:
            self._watch.cancel()
        await self._hub.stop()
        await self._metrics.cleanup()
        await self._session.close()

    def _publish_metrics(self) -> None:
        """Brings the metrics up to date."""
        metrics.GENERATION.set({}, self._state.tables.generation)
        metrics.STORE_CALLS.set({}, self._store.calls)
        metrics.MEMBERS.set({}, len(self._members.list_heartbeats()))
        metrics.GATEWAYS.set({}, len(self._hub.list_reports()))
        metrics.SUBSCRIBERS.set({}, len(self._hub.subscribers))
        metrics.EVENTS_DROPPED.set({}, self._log.ring.dropped)

    def _now(self) -> float:
        """Returns the time on this process's monotonic clock."""
        return asyncio.get_running_loop().time()

    @mode.Service.task
    async def _poll_vms(self) -> None:
        """Reads the VM list and follows the feeders that it implies."""
        while not self.should_stop:
            try:
                self._vms = await vms.read_vms(
                    self._session,
                    self._settings.vm_list.url,
                    self._settings.store.timeout_seconds,
                )
            except errors.VmListError as error:
                loguru.logger.info("{}", error)
            self._follow_feeders()
            await self.sleep(self._settings.vm_list.poll_seconds)

    def _follow_feeders(self) -> None:
        """Starts and ends streams so that all feeders are followed."""
        chosen = members.choose_feeders(
            self._vms, self._settings.agent.feeders_per_region
        )
        addresses = {vm.address for vm in chosen}
        if not self._vms:
            addresses = set(self._settings.agent.peers)
        feeds = self._settings.agent.listen in addresses
        addresses.discard(self._settings.agent.listen)
        loop = asyncio.get_running_loop()
        for address in self._feeders.keys() - addresses:
            self._feeders.pop(address).cancel()
        for address in addresses - self._feeders.keys():
            task = loop.create_task(self._follow_feeder(address))
            self._feeders[address] = task
        if feeds and self._watch is None:
            self._watch = loop.create_task(self._follow_store())
        elif not feeds and self._watch is not None:
            self._watch.cancel()
            self._watch = None

    async def _follow_feeder(self, address: str) -> None:
        """Follows one feeder for ever."""
        while True:
            try:
                await self._follow_stream(address)
            except (errors.WireError, OSError) as error:
                loguru.logger.info("feeder {}: {}", address, error)
            await asyncio.sleep(RETRY_SECONDS)

    async def _follow_stream(self, address: str) -> None:
        """Follows a feeder over one stream until that ends.

        Raises:
            WireError: If the feeder broke the protocol.
            OSError: If the stream failed.
        """
        stream = await streams.open_stream(address, self._log.clock)
        name = f"{self._settings.vm}-agent"
        hello = messages.Hello(
            name, "agent", self._incarnation, self._settings.vm
        )
        try:
            await stream.send(hello)
            self._upstreams[address] = stream
            while (message := await stream.receive()) is not None:
                senders.check_sender(senders.AGENT, message)
                self._take(message)
        finally:
            self._upstreams.pop(address, None)
            stream.close()

    def _take(self, message: messages.Message) -> None:
        """Takes one message of a feeder."""
        if isinstance(message, messages.Snapshot):
            if self._state.take_tables(message.tables):
                self._put_in_force()
        elif isinstance(message, messages.ChangeNotice):
            self._take_change(message)
        elif isinstance(message, messages.Members):
            for heartbeat in message.heartbeats:
                self._take_heartbeat(heartbeat)

    def _take_change(self, message: messages.ChangeNotice) -> None:
        """Takes a change, which must follow the generation in force.

        Raises:
            FrameEncodingError: If a change between is missing.
        """
        change = message.change
        if change.generation <= self._state.tables.generation:
            return
        if not self._state.take_change(change):
            raise errors.FrameEncodingError("a change is missing")
        self._put_in_force()

    def _put_in_force(self) -> None:
        """Hands new tables to all subscribers."""
        generation = self._state.tables.generation
        self._log.record(
            events.Kind.CONFIGURATION_IN_FORCE,
            vm=self._settings.vm,
            detail={"generation": str(generation)},
        )
        loguru.logger.info("generation {} in force", generation)
        self._hub.feed_all()

    async def _follow_store(self) -> None:
        """Follows the log of changes in the store."""
        while True:
            try:
                await self._read_changes()
                async for _ in self._store.watch_prefix(
                    self._changes.prefix, 0, WATCH_IDLE_SECONDS
                ):
                    await self._read_changes()
            except errors.StoreError as error:
                loguru.logger.info("{}", error)
                await asyncio.sleep(RETRY_SECONDS)

    async def _read_changes(self) -> None:
        """Takes the changes after the generation in force.

        Raises:
            StoreError: If the store could not serve the call.
        """
        known = self._state.tables.generation
        for change in await self._changes.read_after(known):
            if self._state.take_change(change):
                self._put_in_force()

    def _take_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Takes the heartbeat of another VM."""
        if self._members.take(self._now(), heartbeat):
            self._log.record(events.Kind.MEMBER_JOINED, vm=heartbeat.vm)

    @mode.Service.task
    async def _beat(self) -> None:
        """Tells feeders of this VM and subscribers of all VMs."""
        while not self.should_stop:
            self._send_heartbeat()
            for vm in self._members.drop_silent(self._now()):
                self._log.record(events.Kind.MEMBER_LEFT, vm=vm)
                loguru.logger.info("VM {} is silent", vm)
            self._hub.broadcast(self._build_members())
            await self.sleep(self._settings.agent.heartbeat_seconds)

    def _send_heartbeat(self) -> None:
        """Sends a heartbeat to the feeders and takes it here too."""
        self._sequence += 1
        reports = self._hub.list_reports()
        generations = [report.generation for report in reports]
        heartbeat = messages.Heartbeat(
            vm=self._settings.vm,
            region=self._settings.region,
            address=self._settings.agent.listen,
            incarnation=self._incarnation,
            sequence=self._sequence,
            generation=min([*generations, self._state.tables.generation]),
            gateways=tuple(report.gateway for report in reports),
        )
        self._take_heartbeat(heartbeat)
        for stream in self._upstreams.values():
            stream.post(heartbeat)

    def _build_members(self) -> messages.Members:
        """Returns the members as this agent knows them."""
        leaving = tuple(
            vm.address
            for vm in self._vms
            if vm.role == "target" and vm.state is entities.VmState.LEAVING
        )
        return messages.Members(self._members.list_heartbeats(), leaving)

    def _answer(self, message: messages.Message) -> messages.Message | None:
        """Answers a question of an operator."""
        if isinstance(message, messages.StatusRequest):
            return self._build_members()
        if isinstance(message, messages.EventsRequest):
            return self._log.build_reply(message.wanted)
        if isinstance(message, messages.VmStatusRequest):
            return messages.VmStatusReply(())
        return None
