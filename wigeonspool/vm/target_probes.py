"""Sends health checks to targets when a request needs one.

The load that a target reported a tenth of a second ago is out of date, so some
targets are probed for each request. The best of them receives the request over
the connection on which it replied to the health check.
"""

import asyncio
from collections.abc import Collection
import dataclasses
import math
import random
from typing import Final

import aiohttp
from aiohttp import http

from wigeonspool.core import cluster_state
from wigeonspool.core import estimates
from wigeonspool.core import last_slots
from wigeonspool.core import waiting_policy
from wigeonspool.gateway import exchanges
from wigeonspool.model import fleet
from wigeonspool.model import protocols
from wigeonspool.vm import channels
from wigeonspool.vm import locality
from wigeonspool.vm import structured_log
from wigeonspool.vm import target_notices

# A health check takes one round trip and a millisecond, or two round trips with
# a new connection. A target that takes longer is not fit for requests now.
NEAR_TIMEOUT_SECONDS: Final = 0.05
REMOTE_TIMEOUT_SECONDS: Final = 0.15
# Time that the other targets have to reply after the first one has replied.
EXTRA_WAIT_SECONDS: Final = 0.004
# Longest body of a response to a health check, which needs none.
MAX_BODY_BYTES: Final = 64 * 1024
# Path for services that are not configured yet, as the documentation of the
# platform shows it.
DEFAULT_HEALTH_PATH: Final = "/health"
# The slowdown of a target changes within this time. If no target of a service
# was fast during it, none is expected to be fast soon.
FAST_TARGET_TTL_SECONDS: Final = 0.3
# A target whose failure score exceeds the median of its service by more than
# this, which is one recent failure, is probed last.
MAX_EXCESS_FAILURES: Final = 1.0
# Failure scores change over seconds, so the median is cached for this time.
MEDIAN_FAILURES_TTL_SECONDS: Final = 0.1

log = structured_log.get_logger("targets")


@dataclasses.dataclass(slots=True)
class Candidate:
    """A target that has just replied to a health check.

    Attributes:
        row: The target.
        channel: Connection on which it replied.
        estimate: Its expected slowdown, and its cost for ranking.
        report: The load that it reported.
        round_trip_seconds: Time from sending the health check to its response.
        probed_at: Time at which the health check was sent, loop clock.
    """

    row: cluster_state.TargetRow
    channel: channels.Channel
    estimate: waiting_policy.TargetEstimate
    report: protocols.LoadReport
    round_trip_seconds: float
    probed_at: float = 0.0


@dataclasses.dataclass(slots=True)
class ProbeCounts:
    """Counters of health checks since the start of the process.

    Attributes:
        sent: Health checks sent.
        answered: Health checks with a valid response.
        mismatched: Responses to requests that arrived in place of a response
            to a health check.
        unresponsive_connections: Pooled connections that ended, or on which no
            usable response came in time.
        errors: Health checks that ended by an unexpected exception.
    """

    sent: int = 0
    answered: int = 0
    mismatched: int = 0
    unresponsive_connections: int = 0
    errors: int = 0


class TargetProber:
    """Probes targets and ranks those that reply.

    Attributes:
        counts: Counters of health checks.
        notices: Records what targets state about themselves.
    """

    def __init__(
        self,
        pool: channels.ChannelPool,
        cluster: cluster_state.ClusterState,
        protocol_adapter: protocols.ProtocolAdapter,
        vm_locality: locality.VmLocality,
        vm: str = "",
    ) -> None:
        """Creates a prober.

        Args:
            pool: Connections to targets.
            cluster: Cluster state, with the targets and their health.
            protocol_adapter: Protocol of the targets.
            vm_locality: Zone and region of this VM.
            vm: Name of this VM.
        """
        self.counts = ProbeCounts()
        self.notices = target_notices.NoticeRecorder(vm, pool, protocol_adapter)
        self._pool = pool
        self._cluster = cluster
        self._protocol_adapter = protocol_adapter
        self._vm_locality = vm_locality
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._last_slots = last_slots.LastSlotSlowdowns()
        self._fast_until: dict[str, float] = {}
        self._median_failures: dict[str, tuple[float, float]] = {}

    def list_target_groups(
        self, service: str, excluded: Collection[str], large_responses: bool
    ) -> list[list[cluster_state.TargetRow]]:
        """Returns the targets that accept requests, in groups, nearest first.

        Targets of this zone and of other zones of this region form one group,
        unless responses are large.

        Args:
            service: Service of the targets.
            excluded: Identities of targets to leave out.
            large_responses: True if the cost of bytes between zones matters
                more than load.
        """
        now = self._loop.time()
        groups: list[list[cluster_state.TargetRow]] = [[], [], []]
        for row in self._cluster.list_targets(service):
            if row.entry.state is not fleet.TargetState.SERVING:
                continue
            if row.entry.identity in excluded or row.health.ejected_until > now:
                continue
            if not self.notices.may_admit(row.entry):
                continue
            distance = self._vm_locality.find_distance(row.entry.zone)
            if distance is locality.Distance.ZONE and not large_responses:
                distance = locality.Distance.REGION
            groups[distance.value].append(row)
        return [group for group in groups if group]

    def find_wanted_at(self, service: str) -> float | None:
        """Returns when a target of a service will first want a request.

        An ejected target gets none before the end of its ejection.

        Returns:
            The time on the loop clock, infinity if all its targets leave, or
            None if one of them wants requests now or all are ejected.
        """
        now = self._loop.time()
        reachable = []
        ejected_until = math.inf
        for row in self._cluster.list_targets(service):
            if row.entry.state is not fleet.TargetState.SERVING:
                continue
            if row.health.ejected_until <= now:
                reachable.append(row.entry)
            elif not self.notices.is_leaving(row.entry):
                ejected_until = min(ejected_until, row.health.ejected_until)
        wanted_at = self.notices.find_wanted_at(reachable)
        return None if wanted_at is None else min(wanted_at, ejected_until)

    def draw_fraction(self) -> float:
        """Returns a random number from 0 to 1."""
        return self._random.random()

    def sample_targets(
        self, group: list[cluster_state.TargetRow], count: int
    ) -> list[cluster_state.TargetRow]:
        """Returns some targets of a group at random.

        Draws twice as many as needed and prefers those without excess failures.
        """
        now = self._loop.time()
        drawn = self._random.sample(group, min(len(group), 2 * count))
        drawn.sort(key=lambda row: self._has_excess_failures(row, now))
        return drawn[:count]

    def _has_excess_failures(
        self, row: cluster_state.TargetRow, now: float
    ) -> bool:
        """Returns True if a target fails more than most of its service."""
        median = self._find_median_failures(row.entry.service, now)
        failures = estimates.decay_failures(row.health, now)
        return failures > median + MAX_EXCESS_FAILURES

    async def probe_targets(
        self, rows: list[cluster_state.TargetRow]
    ) -> list[Candidate]:
        """Probes targets concurrently; returns the candidates, best first.

        Once one target has replied, the others have `EXTRA_WAIT_SECONDS`.
        Targets that want no requests by now are left out.
        """
        tasks = [
            self._loop.create_task(self._try_probe(row))
            for row in rows
            if self.notices.admit(row.entry)
        ]
        candidates: list[Candidate] = []
        stop_at: float | None = None
        pending: set[asyncio.Task[Candidate | None]] = set(tasks)
        try:
            while pending:
                timeout_seconds = None
                if stop_at is not None:
                    timeout_seconds = max(0.0, stop_at - self._loop.time())
                done, pending = await asyncio.wait(
                    pending,
                    timeout=timeout_seconds,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                finished = [task for task in tasks if task in done]
                candidates += [
                    candidate
                    for task in finished
                    if (candidate := task.result())
                ]
                if candidates and stop_at is None:
                    stop_at = self._loop.time() + EXTRA_WAIT_SECONDS
        except BaseException:
            self.release_candidates(candidates)
            for task in pending:
                task.add_done_callback(self._release_late)
            raise
        for task in pending:
            task.add_done_callback(self._release_late)
        candidates.sort(key=rank_candidate)
        return candidates

    def has_recently_fast_target(self, service: str) -> bool:
        """Returns True if a target of a service reported no slowdown lately."""
        return self._fast_until.get(service, 0.0) > self._loop.time()

    def record_last_slot(
        self,
        service: str,
        seconds: float,
        baseline_seconds: float,
        candidate: Candidate,
    ) -> None:
        """Updates the last-slot slowdown of a service from a response.

        Does nothing unless the request took the last free slot of its target.
        Responses of targets that reported a slowdown are ignored, since the
        slowdown would be attributed to the last slot.

        Args:
            service: Service of the target.
            seconds: Time from sending the attempt to the response.
            baseline_seconds: Baseline service time, with free slots.
            candidate: The target, as it replied before the request was sent.
        """
        report = candidate.report
        slots = report.slots or candidate.row.entry.slots
        is_last = last_slots.takes_last_slot(
            report.running, report.waiting, slots
        )
        if is_last and report.slowdown <= last_slots.BASELINE_SLOWDOWN:
            self._last_slots.record(service, seconds, baseline_seconds)

    def update_estimates(self, candidates: list[Candidate]) -> None:
        """Updates the estimates of candidates, and sorts them, best first.

        The requests that were sent to a target since its health check count as
        running there.
        """
        for candidate in candidates:
            candidate.estimate = self._estimate(
                candidate.row, candidate.report, candidate.probed_at
            )
        candidates.sort(key=rank_candidate)

    def release_candidates(self, candidates: list[Candidate]) -> None:
        """Releases the connections of candidates that are not used."""
        for candidate in candidates:
            self.notices.put_back(candidate.row.entry, candidate.channel)

    def _release_late(self, task: asyncio.Task[Candidate | None]) -> None:
        """Releases the connection of a candidate that replied too late."""
        if task.cancelled():
            return
        error = task.exception()
        if error is not None:
            log.opt(exception=error).error("a health check failed")
            return
        candidate = task.result()
        if candidate is not None:
            self.release_candidates([candidate])

    def drop_unwilling(self, candidates: list[Candidate]) -> list[Candidate]:
        """Returns the candidates that still want requests, in their order.

        Releases the connections of the others.
        """
        willing = [c for c in candidates if self.notices.may_send(c.row.entry)]
        self.release_candidates([c for c in candidates if c not in willing])
        return willing

    async def is_reachable(self, entry: fleet.TargetEntry) -> bool:
        """Returns True if a target accepts a new connection."""
        try:
            channel = await self._pool.open(entry.address)
        except OSError:
            return False
        self.notices.put_back(entry, channel)
        return True

    async def _try_probe(
        self, row: cluster_state.TargetRow
    ) -> Candidate | None:
        """Probes one target; an unexpected exception counts as its failure."""
        try:
            return await self._probe(row)
        except Exception as error:
            self.counts.errors += 1
            log.opt(exception=error).error(
                "a health check failed", target=row.entry.identity
            )
            estimates.record_unreachable(row.health, self._loop.time())
            return None

    async def _probe(self, row: cluster_state.TargetRow) -> Candidate | None:
        """Probes one target; returns None unless it replies in time.

        If a pooled connection turns out to be dead, the target is probed over
        a new one.
        """
        is_remote = (
            self._vm_locality.find_distance(row.entry.zone)
            is locality.Distance.REMOTE
        )
        timeout_seconds = (
            REMOTE_TIMEOUT_SECONDS if is_remote else NEAR_TIMEOUT_SECONDS
        )
        address = row.entry.address
        channel = self._pool.acquire(address)
        if channel is not None:
            candidate = await self._probe_over(row, channel, timeout_seconds)
            if candidate is not None or channel.protocol.is_connected():
                return candidate
            if not self.notices.may_send(row.entry):
                return None
            self.counts.unresponsive_connections += 1
            self._pool.close_idle(address)
        try:
            channel = await self._pool.open(address)
        except OSError:
            estimates.record_unreachable(row.health, self._loop.time())
            return None
        candidate = await self._probe_over(row, channel, timeout_seconds)
        if (
            candidate is None
            and not channel.protocol.is_connected()
            and self.notices.may_send(row.entry)
        ):
            estimates.record_unreachable(row.health, self._loop.time())
        return candidate

    async def _probe_over(
        self,
        row: cluster_state.TargetRow,
        channel: channels.Channel,
        timeout_seconds: float,
    ) -> Candidate | None:
        """Probes a target over one connection.

        Closes the connection and returns None if it fails, or if the response
        is late, unusable or from another target than the expected one. Also
        returns None if the target wants no requests, before or after the
        response.
        """
        if not self.notices.may_send(row.entry):
            self.notices.put_back(row.entry, channel)
            return None
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
            # The address now belongs to another target.
            channel.close()
            estimates.record_unreachable(row.health, self._loop.time())
            return None
        estimates.record_reachable(row.health)
        if not self.notices.may_send(row.entry):
            self.notices.put_back(row.entry, channel)
            return None
        estimate = self._estimate(row, report, probed_at)
        round_trip_seconds = self._loop.time() - probed_at
        return Candidate(
            row, channel, estimate, report, round_trip_seconds, probed_at
        )

    async def _send_health_check(
        self, row: cluster_state.TargetRow, channel: channels.Channel
    ) -> protocols.LoadReport | None:
        """Sends a health check; returns None if the connection is not usable.

        Raises:
            ClientError: If the connection ended or the response is not valid
                HTTP.
            OSError: If the connection failed.
        """
        protocol = channel.protocol
        transport = channel.transport
        if transport is None or not protocol.begin_exchange():
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
                self._read_notice(row, message)
                _, complete = await exchanges.read_limited(
                    content, MAX_BODY_BYTES
                )
                if not complete:
                    return None
                report = self._protocol_adapter.read_load_report(
                    message.code, message.headers
                )
                if report is not None and (report.slots or report.identity):
                    break
                if report is not None and not self.notices.may_send(row.entry):
                    break
                # The response arrived late and belongs to an earlier request
                # on this connection.
                self.counts.mismatched += 1
                protocol.force_close()
        except http.HttpProcessingError as error:
            raise aiohttp.ClientPayloadError(repr(error)) from error
        protocol.end_exchange()
        if not channels.record_keep_alive(channel, message.headers):
            return None
        return report

    def _read_notice(
        self, row: cluster_state.TargetRow, message: http.RawResponseMessage
    ) -> None:
        """Records what a target states about itself in a health check response.

        Ignores late responses to earlier requests, and responses of other
        targets that use the address now.
        """
        report = self._protocol_adapter.read_load_report(
            message.code, message.headers
        )
        if report is not None and report.identity in ("", row.entry.identity):
            self.notices.read(row.entry, "", message.code, message.headers)

    def _find_health_path(self, service: str) -> str:
        """Returns the path at which the targets of a service report load."""
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
        """Returns the estimate for a target from its report and its health.

        Args:
            row: The target.
            report: The load that it reported.
            probed_at: Time at which the health check was sent, loop clock;
                requests sent to the target after that are added to its load.
        """
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
        # A rejection shows that there was no room after the health check.
        is_full = health.rejected_at >= probed_at or last_slots.is_at_limit(
            running, report.waiting, slots, last_slot
        )
        if row.warming_until > now:
            slowdown *= estimates.WARMUP_COST
        failures = estimates.decay_failures(health, now)
        failures -= self._find_median_failures(row.entry.service, now)
        cost = slowdown * (1.0 + estimates.FAILURE_COST * max(0.0, failures))
        if row.suspect_until or not report.healthy:
            cost *= estimates.UNHEALTHY_COST
        if report.slowdown <= last_slots.BASELINE_SLOWDOWN:
            self._fast_until[row.entry.service] = now + FAST_TARGET_TTL_SECONDS
        return waiting_policy.TargetEstimate(slowdown, cost, is_full)

    def _find_median_failures(self, service: str, now: float) -> float:
        """Returns the median failure score of the targets of a service."""
        median, expires_at = self._median_failures.get(service, (0.0, now))
        if now < expires_at:
            return median
        rows = self._cluster.list_targets(service)
        median = estimates.find_median_failures((r.health for r in rows), now)
        self._median_failures[service] = (
            median,
            now + MEDIAN_FAILURES_TTL_SECONDS,
        )
        return median


def rank_candidate(candidate: Candidate) -> tuple[bool, float]:
    """Returns the sort key of a candidate; the best one sorts first."""
    return candidate.estimate.full, candidate.estimate.cost
