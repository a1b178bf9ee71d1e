"""The agent process, which supplies a VM's gateways with cluster state.

Cluster state is the configuration tables and the members of the fleet. A few
agents of each region, the feeders, read the store and the VM list. All agents
follow the feeders of their region: they keep streams open on which the feeders
send changes. So neither the number of calls to the platform nor the bytes that
an agent exchanges grow with the fleet.
"""

import asyncio
import secrets
from typing import Final

import aiohttp
import loguru
import mode

from wigeonspool import eventlog
from wigeonspool import process
from wigeonspool.agent import configuration
from wigeonspool.agent import feeder_role
from wigeonspool.agent import members
from wigeonspool.agent import message_relay
from wigeonspool.agent import metrics
from wigeonspool.agent import metrics_publisher
from wigeonspool.agent import receiver as receivers
from wigeonspool.agent import role_manager
from wigeonspool.agent import status
from wigeonspool.agent import stream_server
from wigeonspool.agent import upstreams
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.model import options
from wigeonspool.model import probe_messages
from wigeonspool.model import status_messages
from wigeonspool.wire import clocks
from wigeonspool.wire import handshake
from wigeonspool.wire import peer_roles

DRAIN_POLL_SECONDS: Final = 0.05


class AgentService(process.DrainableService):
    """The agent of one entry VM."""

    def __init__(self, settings: options.Options) -> None:
        """Builds the agent; `on_start` opens its ports.

        Args:
            settings: Settings of the VM.
        """
        super().__init__()
        self._settings = settings
        self._incarnation = secrets.token_hex(8)
        self._sequence = 0
        self._log = eventlog.EventLog(f"{settings.vm}-agent")
        self._state = configuration.ConfigurationState()
        timeout_seconds = settings.agent.silence_seconds
        self._members = members.MemberTable(timeout_seconds)
        self._live_members: dict[str, messages.Heartbeat] = {}
        self._stream_server = stream_server.StreamServer(
            self._state,
            stream_server.Callbacks(
                admit=self._admit,
                build_query_reply=self._build_query_reply,
                describe_fleet=self._describe_fleet,
                handle_heartbeat=self._handle_heartbeat,
                handle_beat=self._handle_beat,
                on_report=self._on_report,
                relay_message=lambda message: self._relay.relay(message),
                list_initial_messages=self._list_initial_messages,
            ),
            timeout_seconds,
            self._log,
        )
        self._sent_generation = 0
        self._heartbeat_count = 0

    async def on_start(self) -> None:
        """Opens the ports and starts to follow other agents."""
        settings = self._settings
        self._pause_detector = clocks.PauseDetector(
            clocks.compute_pause_limit_seconds(
                silence_seconds=settings.agent.silence_seconds,
                heartbeat_seconds=settings.agent.heartbeat_seconds,
            ),
            clocks.read_boottime_seconds,
        )
        receiver = receivers.TableReceiver(
            self._state, self._log, self._announce_tables
        )
        self._upstreams = upstreams.Upstreams(
            settings.agent.silence_seconds,
            self._build_hello,
            receiver.receive,
            lambda message: self._relay.relay(message),
            self._log.clock,
        )
        self._session = aiohttp.ClientSession()
        self._feeder = feeder_role.Feeder(
            settings,
            f"{settings.vm}-{self._incarnation}",
            self._session,
            self._state,
            self._log,
            self._announce_tables,
            self._publish_probe_result,
        )
        self._relay = message_relay.MessageRelay(
            self._now,
            self._send_all,
            self._upstreams.send,
            self._request_probes,
        )
        self._role_manager = role_manager.RoleManager(
            settings,
            self._session,
            self._upstreams,
            lambda directory: self._stream_server.send(
                peer_roles.REGIONAL_ROLES, directory
            ),
            self._feeder.run,
        )
        await self._stream_server.start(settings.agent.listen)
        self._metrics = await process.serve_metrics(
            settings.agent.metrics, self._publish_metrics
        )
        self._log.record(events.Kind.PROCESS_STARTED, vm=settings.vm)
        loguru.logger.info("listening on {}", settings.agent.listen)

    async def drain(self) -> None:
        """Keeps reporting this VM's draining gateways until they have stopped.

        Gateways that are stopped along with the agent report that they are
        draining. Other VMs must receive that before the agent exits, so it
        waits at least for the time that a report takes to reach them. If no
        gateway is draining by then, only the agent is being replaced.

        Returns after `gateway.drain_seconds` at the latest.
        """
        settings = self._settings
        deadline = self._now() + settings.gateway.drain_seconds
        earliest_exit = self._now() + (
            peer_roles.PROPAGATION_HEARTBEATS * settings.agent.heartbeat_seconds
        )
        loguru.logger.info("draining; waiting for gateways to stop")
        while self._now() < deadline:
            draining = any(
                report.gateway.draining
                for report in self._stream_server.list_reports()
            )
            if not draining and self._now() >= earliest_exit:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def on_stop(self) -> None:
        """Closes ports and streams."""
        self._upstreams.stop()
        self._role_manager.stop()
        await self._feeder.leases.stop()
        await self._stream_server.stop()
        await self._metrics.cleanup()
        await self._session.close()

    def _publish_metrics(self) -> None:
        """Updates all metrics from the current counters and state."""
        metrics_publisher.publish_metrics(
            self._state.tables.generation,
            self._stream_server,
            self._log,
            self._feeder,
            len(self._live_members),
        )
        metrics.PROBE_MESSAGES_DROPPED.set({}, self._relay.count_dropped())
        sent, received = self.count_bytes()
        metrics.PEER_BYTES.set({"direction": "sent"}, sent)
        metrics.PEER_BYTES.set({"direction": "received"}, received)

    def _now(self) -> float:
        """Returns the time on this process's monotonic clock."""
        return asyncio.get_running_loop().time()

    def _build_hello(self, role: str) -> messages.Hello:
        """Returns the signed Hello that opens a stream in a role."""
        hello = messages.Hello(
            process=f"{self._settings.vm}-agent",
            role=role,
            incarnation=self._incarnation,
            vm=self._settings.vm,
            generation=self._state.tables.generation,
            digest=self._state.tables.digest,
        )
        return handshake.sign_hello(hello, self._settings.token_keys)

    @mode.Service.task
    async def _run_role_manager(self) -> None:
        """Updates upstreams and the feeder role at each poll interval."""
        while not self.should_stop:
            await self._role_manager.update()
            await self.sleep(self._settings.vm_list.poll_seconds)

    # Configuration tables.

    def _announce_tables(self) -> None:
        """Logs a new active generation and sends it to all subscribers."""
        generation = self._state.tables.generation
        self._log.record(
            events.Kind.CONFIGURATION_IN_FORCE,
            vm=self._settings.vm,
            detail={"generation": str(generation)},
        )
        loguru.logger.info("generation {} is active", generation)
        self._stream_server.send_updates_to_all()

    # Members of the fleet.

    def _admit(self, hello: messages.Hello) -> None:
        """Checks that a process may open a stream to this agent.

        Operators need no proof. Other processes must hold a key of the fleet
        and run on a VM that is listed or may be listed soon. Gateways must run
        on the VM of this agent.

        Raises:
            PeerUnknownError: If the process is not admitted.
        """
        if hello.role == peer_roles.OPERATOR:
            return
        if not handshake.verify_hello(hello, self._settings.token_keys):
            raise errors.PeerUnknownError(hello.process)
        if hello.role == peer_roles.GATEWAY and hello.vm != self._settings.vm:
            raise errors.PeerUnknownError(hello.process)
        self._role_manager.directory.admit(self._now(), hello.vm)

    def _handle_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Applies the heartbeat of a VM, this one or another."""
        self._members.apply_heartbeat(self._now(), heartbeat)

    def _handle_beat(
        self, vm: str, incarnation: str, beat: messages.Beat
    ) -> bool:
        """Applies a heartbeat without changes.

        Returns:
            False if the VM must send a full heartbeat, because none of this
            incarnation is stored.
        """
        return self._members.apply_beat(self._now(), vm, incarnation, beat)

    def _on_report(self) -> None:
        """Sends a heartbeat early if the VM's lowest generation changed.

        Other VMs then see that all gateways of this VM have activated a new
        generation without waiting for the next regular heartbeat.
        """
        if self._find_lowest_generation() != self._sent_generation:
            self._send_heartbeat()

    def _request_probes(self, request: probe_messages.ProbeRequest) -> None:
        """Schedules probes of the requested targets if this is a feeder."""
        if self._role_manager.is_feeder:
            self._feeder.probe_scheduler.add_request(request)

    def _publish_probe_result(self, result: probe_messages.ProbeResult) -> None:
        """Records the result of a probe and sends it to all gateways."""
        self._log.record(
            events.Kind.TARGET_PROBED,
            target=result.target,
            detail={"pool": result.pool, "state": str(result.state)},
        )
        self._relay.relay(result)

    def _send_all(self, message: messages.Message) -> None:
        """Sends a message to all subscribers and upstream agents."""
        self._stream_server.send(
            (*peer_roles.REGIONAL_ROLES, peer_roles.REMOTE), message
        )
        self._upstreams.send(message)

    def _find_lowest_generation(self) -> int:
        """Returns the lowest generation active in the agent and gateways."""
        reports = self._stream_server.list_reports()
        generations = [report.generation for report in reports]
        return min([*generations, self._state.tables.generation])

    def _list_initial_messages(self, role: str) -> list[messages.Message]:
        """Returns the messages that a new subscriber of a role gets first.

        Configuration tables are sent separately.
        """
        initial: list[messages.Message] = []
        if self._role_manager.directory.current is not None:
            initial.append(self._role_manager.directory.current)
        if role == peer_roles.GATEWAY:
            initial.append(
                messages.Members(tuple(self._live_members.values()), ())
            )
        elif role == peer_roles.AGENT:
            initial.append(self._build_members())
        return initial

    def _build_members(self) -> messages.Members:
        """Returns the members that send heartbeats directly to this agent.

        The message also lists the draining targets.
        """
        directory = self._role_manager.directory.current
        draining = directory.leaving if directory else ()
        return messages.Members(self._members.list_heartbeats(), draining)

    @mode.Service.task
    async def _run_heartbeats(self) -> None:
        """Exchanges heartbeats and member changes at each interval."""
        while not self.should_stop:
            self._heartbeat_count += 1
            self._check_pause()
            self._send_heartbeat()
            self._members.remove_unresponsive(self._now())
            self._stream_server.disconnect_unresponsive()
            changes = self._members.collect_changes()
            if changes is not None:
                self._stream_server.send((peer_roles.AGENT,), changes)
            self._merge_members()
            self._stream_server.send_pulse(peer_roles.REGIONAL_ROLES)
            if self._is_remote_heartbeat_due():
                self._stream_server.send_pulse((peer_roles.REMOTE,))
            await self.sleep(self._settings.agent.heartbeat_seconds)

    def _is_remote_heartbeat_due(self) -> bool:
        """Returns True if this interval's heartbeat goes to other regions."""
        return (
            self._heartbeat_count % peer_roles.HEARTBEATS_PER_REMOTE_BEAT == 0
        )

    def _check_pause(self) -> None:
        """Refreshes cluster state if this process was paused.

        Messages that arrived during the pause are still unread, so members and
        subscribers get new deadlines, and all upstreams are reopened.
        """
        gap = self._pause_detector.tick()
        if not gap:
            return
        self._log.record(
            events.Kind.PROCESS_PAUSED,
            vm=self._settings.vm,
            detail={"seconds": f"{gap:.1f}"},
        )
        loguru.logger.warning("process was paused for {:.1f} s", gap)
        self._members.extend_deadlines(self._now())
        self._stream_server.extend_deadlines()
        self._upstreams.reopen()
        self._pause_detector.mark_refreshed()

    def _send_heartbeat(self) -> None:
        """Sends this VM's heartbeat to the feeders and applies it locally."""
        self._sequence += 1
        self._sent_generation = self._find_lowest_generation()
        reports = self._stream_server.list_reports()
        heartbeat = messages.Heartbeat(
            vm=self._settings.vm,
            region=self._settings.region,
            address=self._settings.agent.listen,
            incarnation=self._incarnation,
            sequence=self._sequence,
            generation=self._sent_generation,
            gateways=tuple(report.gateway for report in reports),
        )
        self._handle_heartbeat(heartbeat)
        self._upstreams.send_heartbeat(
            heartbeat, self._is_remote_heartbeat_due()
        )

    def _merge_members(self) -> None:
        """Merges members of all sources and sends changes to the gateways."""
        fresh = self._upstreams.list_fresh()
        sources = [u.replica.heartbeats.values() for u in fresh]
        # While no feeder responds, outdated members are better than none.
        if not sources and self._role_manager.directory.find_rank() is None:
            sources = [self._live_members.values()]
        merged = members.merge_members(
            [*sources, self._members.list_heartbeats()]
        )
        changes = members.diff_members(self._live_members, merged)
        before = self._live_members
        self._live_members = merged
        if changes is None:
            return
        for vm in changes.left:
            self._log.record(events.Kind.MEMBER_LEFT, vm=vm)
        for heartbeat in changes.changed:
            if heartbeat.vm not in before:
                self._log.record(events.Kind.MEMBER_JOINED, vm=heartbeat.vm)
        self._stream_server.send((peer_roles.GATEWAY,), changes)

    @property
    def generation(self) -> int:
        """Generation of the active tables."""
        return self._state.tables.generation

    def count_platform_calls(self) -> tuple[int, int]:
        """Returns the numbers of calls to the store and VM list reads."""
        return self._feeder.client.calls, self._role_manager.vm_list_reads

    def count_bytes(self) -> tuple[int, int]:
        """Returns the bytes sent to and received from other agents."""
        open_streams = [
            *self._stream_server.list_agent_streams(),
            *self._upstreams.list_streams(),
        ]
        closed_streams = (
            self._stream_server.closed_traffic,
            self._upstreams.closed_traffic,
        )
        sent = sum(s.sent_bytes for s in open_streams)
        received = sum(s.received_bytes for s in open_streams)
        return (
            sent + sum(t.sent_bytes for t in closed_streams),
            received + sum(t.received_bytes for t in closed_streams),
        )

    # Queries of operators.

    def _build_query_reply(
        self, message: messages.Message
    ) -> messages.Message | None:
        """Returns the reply to a query, or None if it is not a query."""
        if isinstance(message, status_messages.RegionRequest):
            return self._build_members()
        return status.build_query_reply(message, self._log, self._feeder)

    async def _describe_fleet(self) -> messages.Members:
        """Returns the VMs of all regions, from one feeder of each region."""
        own = self._build_members()
        directory = self._role_manager.directory.current
        feeders: dict[str, list[entities.Vm]] = {}
        for vm in directory.feeders if directory else ():
            feeders.setdefault(vm.region, []).append(vm)
        if self._role_manager.is_feeder:
            feeders.pop(self._settings.region, None)
        remote = await status.query_regions(feeders)
        merged = members.merge_members([own.heartbeats, *remote])
        return messages.Members(tuple(merged.values()), own.leaving)
