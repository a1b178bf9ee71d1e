"""The agent process: it follows the tables and the members of the fleet.

A few agents of each region, the feeders, follow the store and the VM list. All
agents follow the feeders of their region, so the calls to the platform do not
grow with the fleet, nor do the bytes that an agent exchanges.
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
from wigeonspool.agent import feeding
from wigeonspool.agent import following
from wigeonspool.agent import hub
from wigeonspool.agent import members
from wigeonspool.agent import metrics
from wigeonspool.agent import publishing
from wigeonspool.agent import receiver as receivers
from wigeonspool.agent import relays
from wigeonspool.agent import status
from wigeonspool.agent import upstreams
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import inquiries
from wigeonspool.model import measurements
from wigeonspool.model import messages
from wigeonspool.model import options
from wigeonspool.wire import clocks
from wigeonspool.wire import proofs
from wigeonspool.wire import senders

DRAIN_POLL_SECONDS: Final = 0.05


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
        self._log = eventlog.EventLog(f"{settings.vm}-agent")
        self._state = configuration.ConfigurationState()
        silence = settings.agent.silence_seconds
        self._members = members.MemberTable(silence)
        self._joined: dict[str, messages.Heartbeat] = {}
        self._hub = hub.Hub(
            self._state,
            hub.Callbacks(
                admit=self._admit,
                answer=self._answer,
                describe_fleet=self._describe_fleet,
                take_heartbeat=self._take_heartbeat,
                take_beat=self._take_beat,
                note_report=self._note_report,
                pass_on=lambda message: self._relay.take(message),
                list_greetings=self._list_greetings,
            ),
            silence,
            self._log,
        )
        self._told_generation = 0
        self._beats = 0

    async def on_start(self) -> None:
        """Opens the ports and begins to follow."""
        settings = self._settings
        self._detector = clocks.PauseDetector(
            clocks.find_pause_seconds(
                silence_seconds=settings.agent.silence_seconds,
                heartbeat_seconds=settings.agent.heartbeat_seconds,
            ),
            clocks.read_clock,
        )
        receiver = receivers.TableReceiver(
            self._state, self._log, self._put_in_force
        )
        self._upstreams = upstreams.Upstreams(
            settings.agent.silence_seconds,
            self._build_hello,
            receiver.take,
            lambda message: self._relay.take(message),
            self._log.clock,
        )
        self._session = aiohttp.ClientSession()
        self._feeder = feeding.Feeder(
            settings,
            f"{settings.vm}-{self._incarnation}",
            self._session,
            self._state,
            self._log,
            self._put_in_force,
            self._tell_probe,
        )
        self._relay = relays.Relay(
            self._now,
            self._send_all,
            self._upstreams.send,
            self._want_probes,
        )
        self._following = following.Following(
            settings,
            self._session,
            self._upstreams,
            lambda known: self._hub.send(senders.NEAR, known),
            self._feeder.run,
        )
        await self._hub.start(settings.agent.listen)
        self._metrics = await process.serve_metrics(
            settings.agent.metrics, self._publish_metrics
        )
        self._log.record(events.Kind.PROCESS_STARTED, vm=settings.vm)
        loguru.logger.info("listening on {}", settings.agent.listen)

    async def drain(self) -> None:
        """Tells others of the gateways of this VM until those have stopped.

        Gateways that are asked to stop along with the agent say so first; if
        none does, only the agent is replaced and nobody needs to be told.
        """
        settings = self._settings
        give_up_at = self._now() + settings.gateway.drain_seconds
        leave_at = self._now() + (
            senders.HEARTBEATS_TO_TELL * settings.agent.heartbeat_seconds
        )
        loguru.logger.info("draining; gateways are waited for")
        while self._now() < give_up_at:
            draining = any(
                report.gateway.draining for report in self._hub.list_reports()
            )
            if not draining and self._now() >= leave_at:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def on_stop(self) -> None:
        """Closes ports and streams."""
        self._upstreams.stop()
        self._following.stop()
        await self._feeder.leases.stop()
        await self._hub.stop()
        await self._metrics.cleanup()
        await self._session.close()

    def _publish_metrics(self) -> None:
        """Brings the metrics up to date."""
        publishing.publish(
            self._state.tables.generation,
            self._hub,
            self._log,
            self._feeder,
            len(self._joined),
        )
        metrics.MEASUREMENTS_DROPPED.set({}, self._relay.count_dropped())
        sent, received = self.count_bytes()
        metrics.PEER_BYTES.set({"direction": "sent"}, sent)
        metrics.PEER_BYTES.set({"direction": "received"}, received)

    def _now(self) -> float:
        """Returns the time on this process's monotonic clock."""
        return asyncio.get_running_loop().time()

    def _build_hello(self, role: str) -> messages.Hello:
        """Returns what opens a stream in a role."""
        hello = messages.Hello(
            process=f"{self._settings.vm}-agent",
            role=role,
            incarnation=self._incarnation,
            vm=self._settings.vm,
            generation=self._state.tables.generation,
            digest=self._state.tables.digest,
        )
        return proofs.sign_hello(hello, self._settings.token_keys)

    @mode.Service.task
    async def _keep_following(self) -> None:
        """Keeps at the feeders, and becomes one if the VM list says so."""
        while not self.should_stop:
            await self._following.step()
            await self.sleep(self._settings.vm_list.poll_seconds)

    # The tables.

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

    # The members.

    def _admit(self, hello: messages.Hello) -> None:
        """Checks that a process belongs to the fleet.

        Raises:
            PeerUnknownError: If it does not.
        """
        if hello.role == senders.OPERATOR:
            return
        if not proofs.check_hello(hello, self._settings.token_keys):
            raise errors.PeerUnknownError(hello.process)
        if hello.role == senders.GATEWAY and hello.vm != self._settings.vm:
            raise errors.PeerUnknownError(hello.process)
        self._following.directory.admit(self._now(), hello.vm)

    def _take_heartbeat(self, heartbeat: messages.Heartbeat) -> None:
        """Takes the heartbeat of another VM, or of this one."""
        self._members.take(self._now(), heartbeat)

    def _take_beat(
        self, vm: str, incarnation: str, beat: messages.Beat
    ) -> bool:
        """Takes a beat; returns False if all must be told again."""
        return self._members.take_beat(self._now(), vm, incarnation, beat)

    def _note_report(self) -> None:
        """Tells at once that all gateways have a new generation in force."""
        if self._find_generation() != self._told_generation:
            self._send_heartbeat()

    def _want_probes(self, request: measurements.ProbeRequest) -> None:
        """Takes a wish for targets to be measured; feeders measure."""
        if self._following.is_feeding:
            self._feeder.prober.want(request)

    def _tell_probe(self, result: measurements.ProbeResult) -> None:
        """Tells all gateways what this agent measured."""
        self._log.record(
            events.Kind.TARGET_PROBED,
            target=result.target,
            detail={"pool": result.pool, "state": str(result.state)},
        )
        self._relay.take(result)

    def _send_all(self, message: messages.Message) -> None:
        """Sends a message to all processes that are connected."""
        self._hub.send((*senders.NEAR, senders.REMOTE), message)
        self._upstreams.send(message)

    def _find_generation(self) -> int:
        """Returns the generation in force on all processes of the VM."""
        reports = self._hub.list_reports()
        generations = [report.generation for report in reports]
        return min([*generations, self._state.tables.generation])

    def _list_greetings(self, role: str) -> list[messages.Message]:
        """Returns what a new subscriber is told first."""
        told: list[messages.Message] = []
        if self._following.directory.known is not None:
            told.append(self._following.directory.known)
        if role == senders.GATEWAY:
            told.append(messages.Members(tuple(self._joined.values()), ()))
        elif role == senders.AGENT:
            told.append(self._build_members())
        return told

    def _build_members(self) -> messages.Members:
        """Returns the members that are heard directly."""
        known = self._following.directory.known
        leaving = known.leaving if known else ()
        return messages.Members(self._members.list_heartbeats(), leaving)

    @mode.Service.task
    async def _beat(self) -> None:
        """Tells feeders of this VM and subscribers of their members."""
        while not self.should_stop:
            self._beats += 1
            self._check_pause()
            self._send_heartbeat()
            self._members.drop_silent(self._now())
            self._hub.cut_off_silent()
            changes = self._members.collect_changes()
            if changes is not None:
                self._hub.send((senders.AGENT,), changes)
            self._join_members()
            self._hub.send_pulse(senders.NEAR)
            if self._is_remote_due():
                self._hub.send_pulse((senders.REMOTE,))
            await self.sleep(self._settings.agent.heartbeat_seconds)

    def _is_remote_due(self) -> bool:
        """Returns True in the beats in which other regions are told."""
        return self._beats % senders.REMOTE_BEATS == 0

    def _check_pause(self) -> None:
        """Notices that this process stood still, and renews its knowledge."""
        gap = self._detector.tick()
        if not gap:
            return
        self._log.record(
            events.Kind.PROCESS_PAUSED,
            vm=self._settings.vm,
            detail={"seconds": f"{gap:.1f}"},
        )
        loguru.logger.warning("paused for {:.1f} s", gap)
        self._members.extend(self._now())
        self._hub.extend()
        self._upstreams.reopen()
        self._detector.refresh()

    def _send_heartbeat(self) -> None:
        """Sends a heartbeat to the feeders and takes it here too."""
        self._sequence += 1
        self._told_generation = self._find_generation()
        reports = self._hub.list_reports()
        heartbeat = messages.Heartbeat(
            vm=self._settings.vm,
            region=self._settings.region,
            address=self._settings.agent.listen,
            incarnation=self._incarnation,
            sequence=self._sequence,
            generation=self._told_generation,
            gateways=tuple(report.gateway for report in reports),
        )
        self._take_heartbeat(heartbeat)
        self._upstreams.tell(heartbeat, self._is_remote_due())

    def _join_members(self) -> None:
        """Joins what feeders tell, and tells the gateways what changed."""
        fresh = self._upstreams.list_fresh()
        told = [u.mirror.rows.values() for u in fresh]
        # While nothing is heard, the old knowledge is better than none.
        if not told and self._following.directory.find_rank() is None:
            told = [self._joined.values()]
        joined = members.join_members([*told, self._members.list_heartbeats()])
        changes = members.diff_members(self._joined, joined)
        before = self._joined
        self._joined = joined
        if changes is None:
            return
        for vm in changes.left:
            self._log.record(events.Kind.MEMBER_LEFT, vm=vm)
        for heartbeat in changes.changed:
            if heartbeat.vm not in before:
                self._log.record(events.Kind.MEMBER_JOINED, vm=heartbeat.vm)
        self._hub.send((senders.GATEWAY,), changes)

    @property
    def generation(self) -> int:
        """Generation in force."""
        return self._state.tables.generation

    def count_calls(self) -> tuple[int, int]:
        """Returns the calls made to the store and reads of the VM list."""
        return self._feeder.client.calls, self._following.list_reads

    def count_bytes(self) -> tuple[int, int]:
        """Returns the bytes sent to and received from other agents."""
        open_streams = [
            *self._hub.list_streams(),
            *self._upstreams.list_streams(),
        ]
        ended = (self._hub.closed, self._upstreams.closed)
        sent = sum(s.sent_bytes for s in open_streams)
        received = sum(s.received_bytes for s in open_streams)
        return (
            sent + sum(t.sent_bytes for t in ended),
            received + sum(t.received_bytes for t in ended),
        )

    # The questions of operators.

    def _answer(self, message: messages.Message) -> messages.Message | None:
        """Answers a question of an operator or of another agent."""
        if isinstance(message, inquiries.RegionRequest):
            return self._build_members()
        return status.answer_question(message, self._log, self._feeder)

    async def _describe_fleet(self) -> messages.Members:
        """Returns the VMs of all regions, as one feeder of each knows them."""
        own = self._build_members()
        known = self._following.directory.known
        feeders: dict[str, list[entities.Vm]] = {}
        for vm in known.feeders if known else ():
            feeders.setdefault(vm.region, []).append(vm)
        if self._following.is_feeding:
            feeders.pop(self._settings.region, None)
        told = await status.ask_regions(feeders)
        joined = members.join_members([own.heartbeats, *told])
        return messages.Members(tuple(joined.values()), own.leaving)
