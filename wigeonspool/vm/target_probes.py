"""Asks targets for their load at the moment of choice.

What a target told a tenth of a second ago says little of it now, so a few are
asked for each request, and the best of them gets it over the connection that
it answered on.
"""

import asyncio
from collections.abc import Collection
import dataclasses
import random
from typing import Final

import aiohttp
from aiohttp import http

from wigeonspool.core import cluster_state
from wigeonspool.core import estimates
from wigeonspool.core import last_slots
from wigeonspool.core import waiting_policy
from wigeonspool.model import fleet
from wigeonspool.model import protocols
from wigeonspool.vm import channels
from wigeonspool.vm import locality
from wigeonspool.vm import structured_log

# A health check takes a round trip and a millisecond; with a new connection,
# two round trips. Beyond this the target is not fit for work now.
NEAR_TIMEOUT_SECONDS: Final = 0.05
REMOTE_TIMEOUT_SECONDS: Final = 0.15
# Once one has answered, others may take this much longer.
EXTRA_WAIT_SECONDS: Final = 0.004
# Until a service is configured; the path that the platform's pages show.
DEFAULT_HEALTH_PATH: Final = "/health"
# Targets change their pace within this time; where none was fast meanwhile,
# none will be soon.
FAST_TARGET_TTL_SECONDS: Final = 0.3
# A target that failed this much more often than half of its service, by one
# recent failure, is asked last.
MAX_EXCESS_FAILURES: Final = 1.0
# Failures change over seconds, so what is typical is not counted each time.
TYPICAL_FAILURES_TTL_SECONDS: Final = 0.1

log = structured_log.get_logger("targets")


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that answered a health check just now.

    Attributes:
        row: The target.
        channel: Connection that it answered on.
        estimate: How soon it would answer, and what speaks against it.
        report: What it told.
    """

    row: cluster_state.TargetRow
    channel: channels.Channel
    estimate: waiting_policy.TargetEstimate
    report: protocols.LoadReport


@dataclasses.dataclass(slots=True)
class ProbeCounts:
    """What asking cost so far.

    Attributes:
        sent: Health checks sent.
        answered: Health checks answered.
        unresponsive_connections: Kept connections that did not answer.
    """

    sent: int = 0
    answered: int = 0
    unresponsive_connections: int = 0


class TargetProber:
    """Asks targets, and offers the best of those that answer.

    Attributes:
        counts: What it cost.
    """

    def __init__(
        self,
        pool: channels.ChannelPool,
        cluster: cluster_state.ClusterState,
        protocol_adapter: protocols.ProtocolAdapter,
        vm_locality: locality.VmLocality,
    ) -> None:
        """Prepares an asker.

        Args:
            pool: Connections to targets.
            cluster: What is known of targets.
            protocol_adapter: Protocol of the targets.
            vm_locality: Where this VM is.
        """
        self.counts = ProbeCounts()
        self._pool = pool
        self._cluster = cluster
        self._protocol_adapter = protocol_adapter
        self._vm_locality = vm_locality
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._last_slots = last_slots.LastSlotSlowdowns()
        self._fast_until: dict[str, float] = {}
        self._typical_failures: dict[str, tuple[float, float]] = {}

    def list_target_groups(
        self, service: str, excluded: Collection[str], large: bool
    ) -> list[list[cluster_state.TargetRow]]:
        """Returns the targets that may get work, in groups, nearest first.

        Args:
            service: Service that must run the work.
            excluded: Identities of targets to leave out.
            large: True if bytes between zones weigh more than load.
        """
        now = self._loop.time()
        groups: list[list[cluster_state.TargetRow]] = [[], [], []]
        for row in self._cluster.list_targets(service):
            if row.entry.state is not fleet.TargetState.SERVING:
                continue
            if row.entry.identity in excluded or row.health.ejected_until > now:
                continue
            distance = self._vm_locality.find_distance(row.entry.zone)
            if distance is locality.Distance.ZONE and not large:
                distance = locality.Distance.REGION
            groups[distance.value].append(row)
        return [group for group in groups if group]

    def sample_targets(
        self, group: list[cluster_state.TargetRow], count: int
    ) -> list[cluster_state.TargetRow]:
        """Returns some targets of a group at random.

        Those with fewer recent failures go first.
        """
        now = self._loop.time()
        picked = self._random.sample(group, min(len(group), 2 * count))
        picked.sort(key=lambda row: self._has_excess_failures(row, now))
        return picked[:count]

    def _has_excess_failures(
        self, row: cluster_state.TargetRow, now: float
    ) -> bool:
        """Returns True if a target fails more than others of its service."""
        typical = self._find_typical_failures(row.entry.service, now)
        failures = estimates.decay_failures(row.health, now)
        return failures > typical + MAX_EXCESS_FAILURES

    async def probe_targets(
        self, rows: list[cluster_state.TargetRow]
    ) -> list[Candidate]:
        """Returns the offers of those targets that answer soon, best first."""
        tasks = [self._loop.create_task(self._probe(row)) for row in rows]
        candidates: list[Candidate] = []
        stop_at: float | None = None
        pending: set[asyncio.Task[Candidate | None]] = set(tasks)
        try:
            while pending:
                seconds = None
                if stop_at is not None:
                    seconds = max(0.0, stop_at - self._loop.time())
                done, pending = await asyncio.wait(
                    pending,
                    timeout=seconds,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                finished = [task for task in tasks if task in done]
                candidates += [o for task in finished if (o := task.result())]
                if candidates and stop_at is None:
                    stop_at = self._loop.time() + EXTRA_WAIT_SECONDS
        except BaseException:
            self.release_candidates(candidates)
            for task in pending:
                task.add_done_callback(_release_late)
            raise
        for task in pending:
            task.add_done_callback(_release_late)
        candidates.sort(key=rank_candidate)
        return candidates

    def has_recently_fast_target(self, service: str) -> bool:
        """Returns True if some target of a service was fast lately."""
        return self._fast_until.get(service, 0.0) > self._loop.time()

    def record_last_slot(
        self,
        service: str,
        seconds: float,
        baseline_seconds: float,
        candidate: Candidate,
    ) -> None:
        """Takes the time of an answer, if it tells of a target's last slot.

        Args:
            service: Service of the target.
            seconds: How long the answer took.
            baseline_seconds: How long it takes where slots are free.
            candidate: Offer of the target.
        """
        report = candidate.report
        slots = report.slots or candidate.row.entry.slots
        is_last = last_slots.takes_last_slot(
            report.running, report.waiting, slots
        )
        if is_last and report.slowdown <= last_slots.BASELINE_SLOWDOWN:
            self._last_slots.record(service, seconds, baseline_seconds)

    def release_candidates(self, candidates: list[Candidate]) -> None:
        """Gives back the connections of offers that are not taken."""
        for candidate in candidates:
            candidate.channel.release()

    async def is_reachable(self, address: str) -> bool:
        """Returns True if a target takes a connection."""
        try:
            channel = await self._pool.open(address)
        except OSError:
            return False
        channel.release()
        return True

    async def _probe(self, row: cluster_state.TargetRow) -> Candidate | None:
        """Asks one target; returns None unless it is fit for work."""
        remote = (
            self._vm_locality.find_distance(row.entry.zone)
            is locality.Distance.REMOTE
        )
        timeout_seconds = (
            REMOTE_TIMEOUT_SECONDS if remote else NEAR_TIMEOUT_SECONDS
        )
        address = row.entry.address
        channel = self._pool.acquire(address)
        if channel is not None:
            candidate = await self._probe_over(row, channel, timeout_seconds)
            if candidate is not None or channel.protocol.is_connected():
                return candidate
            self.counts.unresponsive_connections += 1
            self._pool.close_idle(address)
        try:
            channel = await self._pool.open(address)
        except OSError:
            estimates.record_unreachable(row.health, self._loop.time())
            return None
        candidate = await self._probe_over(row, channel, timeout_seconds)
        if candidate is None and not channel.protocol.is_connected():
            estimates.record_unreachable(row.health, self._loop.time())
        return candidate

    async def _probe_over(
        self,
        row: cluster_state.TargetRow,
        channel: channels.Channel,
        timeout_seconds: float,
    ) -> Candidate | None:
        """Asks over one connection, which is closed unless it is offered."""
        probed_at = self._loop.time()
        self.counts.sent += 1
        try:
            async with asyncio.timeout(timeout_seconds):
                report = await self._send_health_check(row, channel)
        except (aiohttp.ClientError, OSError):
            channel.close()
            return None
        except BaseException:
            channel.close()
            raise
        if report is None:
            channel.close()
            return None
        self.counts.answered += 1
        if report.identity not in ("", row.entry.identity):
            # The address belongs to another target now.
            channel.close()
            estimates.record_unreachable(row.health, self._loop.time())
            return None
        estimates.record_reachable(row.health)
        estimate = self._estimate(row, report, probed_at)
        return Candidate(row, channel, estimate, report)

    async def _send_health_check(
        self, row: cluster_state.TargetRow, channel: channels.Channel
    ) -> protocols.LoadReport | None:
        """Sends a health check; returns None if the answer is not usable.

        Raises:
            ClientError: If the connection ended or the answer breaks HTTP.
            OSError: If the connection failed.
        """
        protocol = channel.protocol
        transport = channel.transport
        if transport is None:
            return None
        path = self._find_health_path(row.entry.service)
        protocol.set_response_params(
            read_until_eof=False, auto_decompress=False
        )
        head = f"GET {path} HTTP/1.1\r\nHost: {row.entry.address}\r\n\r\n"
        transport.write(head.encode())
        try:
            while True:
                message, content = await protocol.read()
                await content.read()
                report = self._protocol_adapter.read_load_report(
                    message.code, message.headers
                )
                # Any other answer came late and belongs to an earlier request.
                if report.slots or report.identity:
                    break
        except http.HttpProcessingError as error:
            raise aiohttp.ClientPayloadError(repr(error)) from error
        if not channels.record_keep_alive(channel, message.headers):
            return None
        return report

    def _find_health_path(self, service: str) -> str:
        """Returns the path at which the targets of a service tell of load."""
        configuration = self._cluster.configuration
        if configuration is None or service not in configuration.services:
            return DEFAULT_HEALTH_PATH
        return configuration.services[service].health_path

    def _estimate(
        self,
        row: cluster_state.TargetRow,
        report: protocols.LoadReport,
        probed_at: float,
    ) -> waiting_policy.TargetEstimate:
        """Returns how a target looks, by its report and by its past."""
        now = self._loop.time()
        health = row.health
        running = report.running + estimates.count_reservations(
            health, probed_at
        )
        slots = report.slots or row.entry.slots
        last_slot = self._last_slots.find(row.entry.service)
        slowdown = estimates.estimate_slowdown(
            running, report.waiting, slots, report.slowdown, last_slot
        )
        full = last_slots.is_at_limit(running, report.waiting, slots, last_slot)
        if row.warming_until > now:
            slowdown *= estimates.WARMUP_COST
        failures = estimates.decay_failures(health, now)
        failures -= self._find_typical_failures(row.entry.service, now)
        cost = slowdown * (1.0 + estimates.FAILURE_COST * max(0.0, failures))
        if row.suspect_until or not report.healthy:
            cost *= estimates.UNHEALTHY_COST
        if report.slowdown <= last_slots.BASELINE_SLOWDOWN:
            self._fast_until[row.entry.service] = now + FAST_TARGET_TTL_SECONDS
        return waiting_policy.TargetEstimate(slowdown, cost, full)

    def _find_typical_failures(self, service: str, now: float) -> float:
        """Returns how much the targets of a service fail alike just now."""
        typical, until = self._typical_failures.get(service, (0.0, now))
        if now < until:
            return typical
        rows = self._cluster.list_targets(service)
        typical = estimates.find_median_failures((r.health for r in rows), now)
        self._typical_failures[service] = (
            typical,
            now + TYPICAL_FAILURES_TTL_SECONDS,
        )
        return typical


def rank_candidate(candidate: Candidate) -> tuple[bool, float]:
    """Returns what offers are sorted by, the best first."""
    return candidate.estimate.full, candidate.estimate.cost


def _release_late(task: asyncio.Task[Candidate | None]) -> None:
    """Gives back the connection of an offer that came too late."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log.opt(exception=error).error("a health check failed")
        return
    candidate = task.result()
    if candidate is not None:
        candidate.channel.release()
