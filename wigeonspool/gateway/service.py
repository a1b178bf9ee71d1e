"""The gateway process: it puts its parts together and stops them in order."""

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
from wigeonspool.gateway import egress
from wigeonspool.gateway import explaining
from wigeonspool.gateway import ingress
from wigeonspool.gateway import link
from wigeonspool.gateway import listener
from wigeonspool.gateway import metrics
from wigeonspool.gateway import pauses
from wigeonspool.gateway import probing
from wigeonspool.gateway import scheduler
from wigeonspool.gateway import statuses
from wigeonspool.gateway import view
from wigeonspool.gateway import watching
from wigeonspool.model import entities
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.model import options
from wigeonspool.wire import proofs
from wigeonspool.wire import senders

POLL_SECONDS: Final = 0.01
REPORT_SECONDS: Final = 0.25
RECONNECT_SECONDS: Final = 0.2
# Ports close after no request came for this long, so that none is on its way.
QUIET_SECONDS: Final = 0.25


class GatewayService(process.DrainingService):
    """One gateway process."""

    def __init__(self, settings: options.Options, index: int) -> None:
        """Prepares the gateway.

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
        self._leaving: frozenset[str] = frozenset()
        self._near_zones: set[str] = set()
        self._log = eventlog.EventLog(self._gateway.name)

    async def on_start(self) -> None:
        """Opens the link to the agent and the callers' port."""
        self._build_parts()
        self.add_future(link.keep_following(self._link, RECONNECT_SECONDS))
        server = listener.CallerServer(self._ingress)
        self._callers = await process.serve_http(self._gateway.address, server)
        self._metrics = await process.serve_metrics(
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

    def _build_parts(self) -> None:
        """Builds the parts; they need the running event loop."""
        self._view = view.FleetView()
        self._scheduler = scheduler.Scheduler(self._settings.zone)
        self._scheduler.on_suspect = lambda suspect: self._link.send(suspect)
        self._scheduler.sampler = explaining.Sampler(
            self._settings.gateway.explained_fraction
        )
        self._scheduler.core.on_explained = functools.partial(
            explaining.record_decision, self._log
        )
        self._client = egress.Egress()
        self._pauses = pauses.PauseMonitor(time.monotonic())
        self._ingress = ingress.Ingress(
            self._gateway,
            self._settings,
            self._view,
            self._scheduler,
            self._client,
            self._log,
            self._pauses,
        )
        self._watcher = watching.TargetWatcher(
            self._view, self._scheduler, self._log
        )
        self._link = self._build_link()
        self._asker = probing.ProbeAsker(self._scheduler, self._link.send)

    def _build_link(self) -> link.AgentLink:
        """Returns the link to the agent, not yet open."""
        hello = proofs.sign_hello(
            messages.Hello(
                self._gateway.name,
                "gateway",
                self._gateway.incarnation,
                self._settings.vm,
            ),
            self._settings.token_keys,
        )
        return link.AgentLink(
            self._settings.agent.listen,
            hello,
            self._view,
            self._log,
            self._take_view,
            self._scheduler.take_suspect,
            self._scheduler.take_probe,
            functools.partial(
                statuses.build_status,
                self._gateway.name,
                self._view,
                self._scheduler,
            ),
            self._settings.agent.heartbeat_seconds,
        )

    def _take_view(self) -> None:
        """Puts new tables and members in force."""
        if self._view.leaving != self._leaving:
            self._leaving = self._view.leaving
            self._scheduler.core.mark_leaving(self._leaving)
        if self._view.tables.generation != self._generation:
            self._generation = self._view.tables.generation
            self._scheduler.configure(list(self._view.tables.pools.values()))
        # Only gateways of this region are in view.
        zones = {gateway.zone for gateway in self._view.gateways.values()}
        if zones != self._near_zones:
            self._near_zones = zones
            self._scheduler.core.set_near_zones(zones)
        self._share_pools()
        self._report()

    def _share_pools(self) -> None:
        """Divides the pools with the other gateways that serve them."""
        # Callers keep old answers for a while, so a gateway that drains
        # goes on with the slots that it had.
        if not self._ingress.draining:
            self._scheduler.share(self._ingress.divide_pools())

    def _report(self) -> None:
        """Tells the agent of this gateway."""
        demand = {
            pool: count / REPORT_SECONDS
            for pool, count in self._ingress.demand.items()
        }
        gateway = dataclasses.replace(
            self._gateway, draining=self._ingress.draining, demand=demand
        )
        self._link.report(
            messages.GatewayReport(gateway, self._view.tables.generation)
        )

    @mode.Service.task
    async def _keep_ticking(self) -> None:
        """Runs what depends on time alone.

        One wait serves for all of it: at rest, each wake of the process costs
        more than what it then does.
        """
        loop = asyncio.get_running_loop()
        report_at = loop.time()
        while not self.should_stop:
            due = min(self._scheduler.core.find_due(), report_at)
            await self._scheduler.ticker.wait(due)
            await self._tick()
            if loop.time() >= report_at:
                report_at = loop.time() + REPORT_SECONDS
                self._report_often()

    async def _tick(self) -> None:
        """Runs the systems of the core that depend on time."""
        if self._pauses.tick(time.monotonic()):
            self._log.record(events.Kind.PROCESS_PAUSED, vm=self._settings.vm)
            loguru.logger.warning("this process did not run for a while")
            for _ in range(pauses.RESUME_TURNS):
                await asyncio.sleep(0)
            self._pauses.end_resume()
        self._scheduler.tick()

    def _report_often(self) -> None:
        """Reports to the agent and to the time line."""
        self._link.check_pause()
        self._report()
        self._share_pools()
        self._ingress.demand.clear()
        self._watcher.observe()
        self._asker.observe(asyncio.get_running_loop().time())

    async def drain(self) -> None:
        """Moves callers elsewhere, then finishes what is in flight.

        What waits in a queue once callers had time to move is refused, so
        that they can send it elsewhere. Takes no longer than the drain
        setting.
        """
        loop = asyncio.get_running_loop()
        give_up_at = loop.time() + self._settings.gateway.drain_seconds
        self._ingress.draining = True
        self._log.record(events.Kind.PROCESS_STOPPING, vm=self._settings.vm)
        loguru.logger.info("draining; callers are told of other gateways")
        self._report()
        await self._move_callers(give_up_at)
        self._ingress.refuse_new_work()
        self._scheduler.refuse_queued()
        while loop.time() < give_up_at:
            quiet_at = self._ingress.worked_at + QUIET_SECONDS
            if not self._count_unfinished() and loop.time() >= quiet_at:
                break
            await asyncio.sleep(POLL_SECONDS)
        cut = self._count_unfinished()
        if cut:
            loguru.logger.warning("the drain time ended; {} cut", cut)
        else:
            loguru.logger.info("drained")

    async def _move_callers(self, give_up_at: float) -> None:
        """Waits until no caller keeps an answer that names this gateway.

        Callers that go on to send show that others have not heard yet.

        Args:
            give_up_at: Time by which this gateway must have stopped.
        """
        loop = asyncio.get_running_loop()
        keep_seconds = self._settings.gateway.answer_seconds
        told_at = loop.time() + (
            senders.HEARTBEATS_TO_TELL * self._settings.agent.heartbeat_seconds
        )
        refuse_at = (loop.time() + give_up_at) / 2
        while loop.time() < refuse_at:
            quiet_at = max(told_at, self._ingress.worked_at) + keep_seconds
            if loop.time() >= quiet_at:
                break
            await asyncio.sleep(POLL_SECONDS)

    def _count_unfinished(self) -> int:
        """Returns the requests that would be cut by a stop."""
        return max(self._ingress.in_flight, self._ingress.home.count_running())

    async def on_stop(self) -> None:
        """Closes the ports and connections."""
        await self._callers.cleanup()
        await self._metrics.cleanup()
        await self._client.close()
