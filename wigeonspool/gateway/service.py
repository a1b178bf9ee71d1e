"""The gateway process: builds its components and stops them in order."""

import asyncio
import dataclasses
import functools
import secrets
import time
from typing import Final

import loguru
import mode

from wigeonspool import eventlog
from wigeonspool import process
from wigeonspool.gateway import agent_client
from wigeonspool.gateway import decision_log
from wigeonspool.gateway import egress
from wigeonspool.gateway import fleet_view
from wigeonspool.gateway import ingress
from wigeonspool.gateway import listener
from wigeonspool.gateway import metrics
from wigeonspool.gateway import pauses
from wigeonspool.gateway import probe_requests
from wigeonspool.gateway import scheduler
from wigeonspool.gateway import statuses
from wigeonspool.gateway import target_states
from wigeonspool.model import entities
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.model import options
from wigeonspool.wire import handshake
from wigeonspool.wire import peer_roles

DRAIN_POLL_SECONDS: Final = 0.01
REPORT_INTERVAL_SECONDS: Final = 0.25
RECONNECT_DELAY_SECONDS: Final = 0.2
# The ports close once no request came for this long, so that no request is in
# transit.
IDLE_BEFORE_CLOSE_SECONDS: Final = 0.25


class GatewayService(process.DrainableService):
    """One gateway process."""

    def __init__(self, settings: options.Options, index: int) -> None:
        """Creates a gateway that is not started.

        Args:
            settings: Settings of the VM.
            index: Which of the VM's gateways this is, from 0.
        """
        super().__init__()
        self._settings = settings
        self._index = index
        self._gateway = entities.Gateway(
            name=f"{settings.vm}-{index}",
            incarnation=secrets.token_hex(8),
            address=settings.gateway.addresses[index],
            zone=settings.zone,
            vm=settings.vm,
        )
        self._generation = 0
        self._draining_targets: frozenset[str] = frozenset()
        self._region_zones: set[str] = set()
        self._log = eventlog.EventLog(self._gateway.name)

    async def on_start(self) -> None:
        """Starts to follow the agent and to serve callers and metrics."""
        self._build_components()
        self.add_future(
            agent_client.follow_forever(
                self._agent_client, RECONNECT_DELAY_SECONDS
            )
        )
        server = listener.CallerServer(self._ingress)
        self._caller_server = await process.serve_http(
            self._gateway.address, server
        )
        self._metrics_server = await process.serve_metrics(
            self._settings.gateway.metrics[self._index],
            metrics.GatewayMetrics(
                self._ingress,
                self._client,
                self._scheduler,
                self._view,
                self._log.ring,
            ).publish,
        )
        self._log.record(events.Kind.PROCESS_STARTED, vm=self._settings.vm)
        loguru.logger.info("serving callers on {}", self._gateway.address)

    def _build_components(self) -> None:
        """Builds the components; they need the running event loop."""
        self._view = fleet_view.FleetView()
        self._scheduler = scheduler.Scheduler(self._settings.zone)
        self._scheduler.on_suspect = lambda suspect: self._agent_client.send(
            suspect
        )
        self._scheduler.sampler = decision_log.DecisionSampler(
            self._settings.gateway.explained_fraction
        )
        self._scheduler.core.on_explained = functools.partial(
            decision_log.record_decision, self._log
        )
        self._client = egress.Egress()
        self._pause_monitor = pauses.PauseMonitor(time.monotonic())
        self._ingress = ingress.Ingress(
            self._gateway,
            self._settings,
            self._view,
            self._scheduler,
            self._client,
            self._log,
            self._pause_monitor,
        )
        self._state_recorder = target_states.TargetStateRecorder(
            self._view, self._scheduler, self._log
        )
        self._agent_client = self._build_agent_client()
        self._probe_requester = probe_requests.ProbeRequester(
            self._scheduler, self._agent_client.send
        )

    def _build_agent_client(self) -> agent_client.AgentClient:
        """Returns the client of the agent, without an open stream."""
        hello = handshake.sign_hello(
            messages.Hello(
                self._gateway.name,
                "gateway",
                self._gateway.incarnation,
                self._settings.vm,
            ),
            self._settings.token_keys,
        )
        return agent_client.AgentClient(
            self._settings.agent.listen,
            hello,
            self._view,
            self._log,
            self._apply_view,
            self._scheduler.merge_suspect,
            self._scheduler.record_probe,
            functools.partial(
                statuses.build_status,
                self._gateway.name,
                self._view,
                self._scheduler,
            ),
            self._settings.agent.heartbeat_seconds,
        )

    def _apply_view(self) -> None:
        """Applies changed tables, gateways and draining targets to the core."""
        if self._view.draining_targets != self._draining_targets:
            self._draining_targets = self._view.draining_targets
            self._scheduler.core.set_draining_targets(self._draining_targets)
        if self._view.tables.generation != self._generation:
            self._generation = self._view.tables.generation
            self._scheduler.configure(list(self._view.tables.pools.values()))
        # The view contains only gateways of this region.
        zones = {gateway.zone for gateway in self._view.gateways.values()}
        if zones != self._region_zones:
            self._region_zones = zones
            self._scheduler.core.set_near_zones(zones)
        self._update_shares()
        self._report()

    def _update_shares(self) -> None:
        """Updates the slots of each pool that this gateway may use."""
        # Callers use old lookup responses for a while, so a draining gateway
        # keeps the slots that it had.
        if not self._ingress.draining:
            self._scheduler.set_slot_limits(self._ingress.compute_shares())

    def _report(self) -> None:
        """Reports this gateway and its demand to the agent."""
        demand = {
            pool: count / REPORT_INTERVAL_SECONDS
            for pool, count in self._ingress.demand.items()
        }
        gateway = dataclasses.replace(
            self._gateway, draining=self._ingress.draining, demand=demand
        )
        self._agent_client.report(
            messages.GatewayReport(gateway, self._view.tables.generation)
        )

    @mode.Service.task
    async def _run_ticks(self) -> None:
        """Runs ticks and periodic reports.

        One timer serves both, since waking an idle process costs more than
        the work that it then does.
        """
        loop = asyncio.get_running_loop()
        report_at = loop.time()
        while not self.should_stop:
            due = min(self._scheduler.core.find_next_tick(), report_at)
            await self._scheduler.ticker.wait(due)
            await self._tick()
            if loop.time() >= report_at:
                report_at = loop.time() + REPORT_INTERVAL_SECONDS
                self._run_periodic_reports()

    async def _tick(self) -> None:
        """Detects pauses and runs the time-dependent parts of the core."""
        if self._pause_monitor.tick(time.monotonic()):
            self._log.record(events.Kind.PROCESS_PAUSED, vm=self._settings.vm)
            loguru.logger.warning("this process did not run for a while")
            # The event loop reads what arrived during the pause.
            for _ in range(pauses.MAX_RESUME_TURNS):
                await asyncio.sleep(0)
            self._pause_monitor.clear_data_age()
        self._scheduler.tick()

    def _run_periodic_reports(self) -> None:
        """Reports to the agent and to the timeline, and updates shares."""
        self._agent_client.check_pause()
        self._report()
        self._update_shares()
        self._ingress.demand.clear()
        self._state_recorder.record_transitions()
        self._probe_requester.request_probes(asyncio.get_running_loop().time())

    async def drain(self) -> None:
        """Moves callers to other gateways, then finishes running requests.

        Requests that are still queued once the callers had time to move are
        refused, so that the callers can send them to another gateway. Draining
        takes at most the `drain_seconds` of the settings.
        """
        loop = asyncio.get_running_loop()
        drain_deadline = loop.time() + self._settings.gateway.drain_seconds
        self._ingress.draining = True
        self._log.record(events.Kind.PROCESS_STOPPING, vm=self._settings.vm)
        loguru.logger.info("draining; address lookups return other gateways")
        self._report()
        await self._wait_for_callers_to_move(drain_deadline)
        self._ingress.reject_new_requests()
        self._scheduler.refuse_queued()
        while loop.time() < drain_deadline:
            idle_at = self._ingress.last_request_at + IDLE_BEFORE_CLOSE_SECONDS
            if not self._count_unfinished() and loop.time() >= idle_at:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        unfinished = self._count_unfinished()
        if unfinished:
            loguru.logger.warning("the drain time ended; {} cut", unfinished)
        else:
            loguru.logger.info("drained")

    async def _wait_for_callers_to_move(self, drain_deadline: float) -> None:
        """Waits until no lookup response that names this gateway is in use.

        A request that arrives meanwhile shows that some callers have not moved
        yet, so the wait starts again. It ends at half of the drain time.

        Args:
            drain_deadline: Time by which draining must end, loop clock.
        """
        loop = asyncio.get_running_loop()
        lookup_ttl_seconds = self._settings.gateway.answer_seconds
        propagated_at = loop.time() + (
            peer_roles.PROPAGATION_HEARTBEATS
            * self._settings.agent.heartbeat_seconds
        )
        reject_at = (loop.time() + drain_deadline) / 2
        while loop.time() < reject_at:
            idle_at = (
                max(propagated_at, self._ingress.last_request_at)
                + lookup_ttl_seconds
            )
            if loop.time() >= idle_at:
                break
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    def _count_unfinished(self) -> int:
        """Returns the number of requests that a stop would interrupt."""
        return max(
            self._ingress.in_flight, self._ingress.key_owner.count_running()
        )

    async def on_stop(self) -> None:
        """Closes the ports and connections."""
        await self._caller_server.cleanup()
        await self._metrics_server.cleanup()
        await self._client.close()
