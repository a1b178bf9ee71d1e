"""Sends health checks to targets when a request needs one.

The load that a target reported a tenth of a second ago is out of date, so some
targets are probed for each request. The best of them receives the request over
the connection on which it replied to the health check.
"""

import asyncio
from collections.abc import Collection, Iterator
import dataclasses
import math
import random
import time
from typing import Final

import aiohttp
from aiohttp import http

from wigeonspool.core import cluster_state
from wigeonspool.core import cold_targets
from wigeonspool.core import estimates
from wigeonspool.core import last_slots
from wigeonspool.core import waiting_policy
from wigeonspool.core import zone_silence
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
# Longest wait for health checks that are sent together, as a multiple of the
# longest timeout among them. A connection that cannot be opened takes longer,
# and goes on without the request.
MAX_WAIT_FACTOR: Final = 1.5
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
# Targets for which the end of the cold time after their start is cached.
MAX_CACHED_STARTS: Final = 4096
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
        cold_attempts: Requests sent to cold targets.
    """

    sent: int = 0
    answered: int = 0
    mismatched: int = 0
    unresponsive_connections: int = 0
    errors: int = 0
    cold_attempts: int = 0


class TargetProber:
    """Probes targets and ranks those that reply.

    Attributes:
        counts: Counters of health checks.
        notices: Records what targets state about themselves.
        cold: Limits the requests to cold targets.
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
        self.cold = cold_targets.ColdTargets()
        self._pool = pool
        self._cluster = cluster
        self._protocol_adapter = protocol_adapter
        self._vm_locality = vm_locality
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._last_slots = last_slots.LastSlotSlowdowns()
        self._silence = zone_silence.ZoneSilence()
        # By service and region of the targets.
        self._fast_until: dict[str, dict[str, float]] = {}
        self._median_failures: dict[str, tuple[float, float]] = {}
        # By identity: the entry and the cold time of its service that the end
        # of the cold time after the start was found for.
        self._start_until: dict[
            str, tuple[fleet.TargetEntry, float, float]
        ] = {}

    @property
    def configuration(self) -> fleet.Configuration | None:
        """The active configuration, or None before the first."""
        return self._cluster.configuration

    def list_target_groups(
        self,
        service: str,
        excluded: Collection[str],
        large_responses: bool,
        regions: frozenset[str] | None = None,
    ) -> list[list[cluster_state.TargetRow]]:
        """Returns the targets that accept requests, in groups, nearest first.

        Targets of this zone and of other zones of this region form one group,
        unless responses are large. Targets of zones that have stopped
        responding come after all others.

        Args:
            service: Service of the targets.
            excluded: Identities of targets to leave out.
            large_responses: True if the cost of bytes between zones matters
                more than load.
            regions: Regions of the targets, or None for all.
        """
        now = self._loop.time()
        cold_rate = self._find_cold_rate(service)
        silent_zones = self._silence.list_silent(now)
        distances = len(locality.Distance)
        groups: list[list[cluster_state.TargetRow]]
        groups = [[] for _ in range(2 * distances)]
        for row in self._list_permitted(service, regions):
            if not self._is_available(row, excluded, now, cold_rate):
                continue
            distance = self._vm_locality.find_distance(row.entry.zone)
            if distance is locality.Distance.ZONE and not large_responses:
                distance = locality.Distance.REGION
            is_silent = row.entry.zone in silent_zones
            groups[distance.value + is_silent * distances].append(row)
        return [group for group in groups if group]

    def _is_available(
        self,
        row: cluster_state.TargetRow,
        excluded: Collection[str],
        now: float,
        cold_rate: float,
    ) -> bool:
        """Returns True if a permitted target accepts a request now."""
        if row.entry.identity in excluded or row.health.ejected_until > now:
            return False
        if not self.notices.may_admit(row.entry):
            return False
        return not cold_rate or self._may_send_cold(row, now, cold_rate)

    def may_use(
        self,
        row: cluster_state.TargetRow,
        excluded: Collection[str],
        regions: frozenset[str] | None,
    ) -> bool:
        """Returns True if a request may go to a target now.

        Args:
            row: The target.
            excluded: Identities of targets to leave out.
            regions: Regions of the targets, or None for all.
        """
        if row.entry.state is not fleet.TargetState.SERVING:
            return False
        if not self._is_permitted(row.entry, regions):
            return False
        return self._is_available(
            row,
            excluded,
            self._loop.time(),
            self._find_cold_rate(row.entry.service),
        )

    def is_nearest(
        self,
        row: cluster_state.TargetRow,
        excluded: Collection[str],
        regions: frozenset[str] | None,
    ) -> bool:
        """Returns True if no available target is nearer than a target."""
        groups = self.list_target_groups(
            row.entry.service, excluded, True, regions
        )
        return not groups or row in groups[0]

    def _list_permitted(
        self, service: str, regions: frozenset[str] | None
    ) -> Iterator[cluster_state.TargetRow]:
        """Yields the serving targets of a service that requests may go to.

        Args:
            service: Service of the targets.
            regions: Regions of the targets, or None for all. The region of an
                unknown zone is none of them.
        """
        for row in self._cluster.list_targets(service):
            if row.entry.state is not fleet.TargetState.SERVING:
                continue
            if self._is_permitted(row.entry, regions):
                yield row

    def _is_permitted(
        self, entry: fleet.TargetEntry, regions: frozenset[str] | None
    ) -> bool:
        """Returns True if requests to some regions may go to a target.

        None go to targets of evacuated zones.
        """
        if entry.zone in self._cluster.evacuated:
            return False
        return (
            regions is None
            or self._vm_locality.find_region(entry.zone) in regions
        )

    def lacks_permitted_target(
        self, service: str, regions: frozenset[str] | None
    ) -> bool:
        """Returns True if a restriction leaves no target of a service.

        Restrictions are the regions and evacuated zones. Without any, targets
        may register soon. Targets that are unavailable for a moment count as
        left.
        """
        if regions is None and not self._cluster.evacuated:
            return False
        return next(self._list_permitted(service, regions), None) is None

    def may_send(
        self, row: cluster_state.TargetRow, regions: frozenset[str] | None
    ) -> bool:
        """Returns True if a request to some regions may be sent to a target.

        What applied when the target was selected may have changed.
        """
        if not self.notices.may_send(row.entry):
            return False
        if not self._is_permitted(row.entry, regions):
            return False
        cold_rate = self._find_cold_rate(row.entry.service)
        return not cold_rate or self._may_send_cold(
            row, self._loop.time(), cold_rate
        )

    def begin_attempt(
        self, row: cluster_state.TargetRow, regions: frozenset[str] | None
    ) -> float | None:
        """Counts a request to a target; returns None if it must not be sent.

        To be called immediately before the request is sent.

        Returns:
            The time of the request, loop clock, by which it can be taken back.
        """
        if not self.may_send(row, regions):
            return None
        cold_rate = self._find_cold_rate(row.entry.service)
        now = self._loop.time()
        if not cold_rate or self._find_cold_until(row) <= now:
            return now
        if not self.cold.consume(now, row.entry, cold_rate):
            return None
        self.counts.cold_attempts += 1
        return now

    def _find_cold_rate(self, service: str) -> float:
        """Returns the requests per second that a cold target tolerates.

        Returns 0 if there is no limit.
        """
        configuration = self._cluster.configuration
        if configuration is None or service not in configuration.services:
            return 0.0
        return configuration.services[service].cold_rate

    def _find_cold_until(self, row: cluster_state.TargetRow) -> float:
        """Returns until when a target is cold, loop clock."""
        entry = row.entry
        configuration = self._cluster.configuration
        assert configuration is not None
        cold_seconds = configuration.services[entry.service].cold_seconds
        cached = self._start_until.get(entry.identity)
        if (
            cached is None
            or cached[0] is not entry
            or cached[1] != cold_seconds
        ):
            start_until = cold_targets.find_start_until(
                entry,
                row.warming_until - entry.warmup_seconds,
                time.time() - self._loop.time(),
                cold_seconds,
            )
            if len(self._start_until) > MAX_CACHED_STARTS:
                self._start_until.clear()
            cached = entry, cold_seconds, start_until
            self._start_until[entry.identity] = cached
        return max(cached[2], self.cold.find_reported_until(entry))

    def _may_send_cold(
        self, row: cluster_state.TargetRow, now: float, cold_rate: float
    ) -> bool:
        """Returns True unless a target is cold and gets nothing from this VM.

        Args:
            row: The target.
            now: Time on the loop clock.
            cold_rate: Requests per second that it tolerates while it is cold.
        """
        if self._find_cold_until(row) <= now:
            return True
        return self.cold.find_sendable_at(now, row.entry, cold_rate) <= now

    def is_cold(self, row: cluster_state.TargetRow) -> bool:
        """Returns True if a target is cold and its service limits requests."""
        return (
            self._find_cold_rate(row.entry.service) > 0
            and self._find_cold_until(row) > self._loop.time()
        )

    def _find_no_share_until(
        self, row: cluster_state.TargetRow, now: float, cold_rate: float
    ) -> float | None:
        """Returns when to retry a target that this VM holds no requests for.

        Returns None if it is not cold, or this VM may send it requests.
        """
        cold_until = self._find_cold_until(row)
        if cold_until <= now or not math.isinf(
            self.cold.find_sendable_at(now, row.entry, cold_rate)
        ):
            return None
        return min(cold_until, now + cold_targets.RETRY_SECONDS)

    def find_wanted_at(
        self, service: str, regions: frozenset[str] | None = None
    ) -> float | None:
        """Returns when a target of a service will first want a request.

        An ejected target gets none before the end of its ejection, and a cold
        one none from a VM without a share of its requests.

        Args:
            service: Service of the targets.
            regions: Regions of the targets, or None for all.

        Returns:
            The time on the loop clock, infinity if all its targets leave, or
            None if one of them wants requests now or all are ejected.
        """
        now = self._loop.time()
        reachable = []
        ejected_until = no_share_until = math.inf
        cold_rate = self._find_cold_rate(service)
        for row in self._list_permitted(service, regions):
            if row.health.ejected_until <= now:
                until = cold_rate and self._find_no_share_until(
                    row, now, cold_rate
                )
                if until:
                    no_share_until = min(no_share_until, until)
                else:
                    reachable.append(row.entry)
            elif not self.notices.is_leaving(row.entry):
                ejected_until = min(ejected_until, row.health.ejected_until)
        wanted_at = self.notices.find_wanted_at(reachable)
        if not reachable and not math.isinf(no_share_until):
            wanted_at = no_share_until
        if wanted_at is None:
            return None
        return min(wanted_at, ejected_until, no_share_until)

    def remove_silent(
        self, groups: list[list[cluster_state.TargetRow]]
    ) -> list[list[cluster_state.TargetRow]]:
        """Returns groups without targets of zones that stopped responding."""
        silent_zones = self._silence.list_silent(self._loop.time())
        if not silent_zones:
            return groups
        remaining = [
            [row for row in group if row.entry.zone not in silent_zones]
            for group in groups
        ]
        return [group for group in remaining if group]

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
        Targets that want no requests by now are left out. Returns no candidates
        if none replied within `MAX_WAIT_FACTOR` of the longest timeout.
        """
        tasks = [
            self._loop.create_task(self._try_probe(row))
            for row in rows
            if self.notices.admit(row.entry)
        ]
        candidates: list[Candidate] = []
        timeouts = [self._find_timeout(row) for row in rows]
        stop_at = self._loop.time() + MAX_WAIT_FACTOR * max(timeouts, default=0)
        pending: set[asyncio.Task[Candidate | None]] = set(tasks)
        try:
            while pending:
                timeout_seconds = max(0.0, stop_at - self._loop.time())
                done, pending = await asyncio.wait(
                    pending,
                    timeout=timeout_seconds,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                had_candidates = bool(candidates)
                finished = [task for task in tasks if task in done]
                candidates += [
                    candidate
                    for task in finished
                    if (candidate := task.result())
                ]
                if candidates and not had_candidates:
                    extra_until = self._loop.time() + EXTRA_WAIT_SECONDS
                    stop_at = min(stop_at, extra_until)
        except BaseException:
            self.release_candidates(candidates)
            for task in pending:
                task.add_done_callback(self._release_late)
            raise
        for task in pending:
            task.add_done_callback(self._release_late)
        candidates.sort(key=rank_candidate)
        return candidates

    def has_recently_fast_target(
        self, service: str, regions: frozenset[str] | None = None
    ) -> bool:
        """Returns True if a target of a service reported no slowdown lately.

        Args:
            service: Service of the targets.
            regions: Regions of the targets, or None for all.
        """
        now = self._loop.time()
        return any(
            until > now and (regions is None or region in regions)
            for region, until in self._fast_until.get(service, {}).items()
        )

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
        """Returns the candidates that may still get requests, in their order.

        Releases the connections of the others.
        """
        willing = [c for c in candidates if self.may_send(c.row, None)]
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
        timeout_seconds = self._find_timeout(row)
        address = row.entry.address
        channel = self._pool.acquire(address)
        if channel is not None:
            candidate = await self._probe_over(row, channel, timeout_seconds)
            if candidate is not None or channel.protocol.is_connected():
                return candidate
            if not self.may_send(row, None):
                return None
            self.counts.unresponsive_connections += 1
            self._pool.close_idle(address)
        try:
            channel = await self._pool.open(address)
        except OSError as error:
            self._record_timeout(row, error)
            estimates.record_unreachable(row.health, self._loop.time())
            return None
        candidate = await self._probe_over(row, channel, timeout_seconds)
        if (
            candidate is None
            and not channel.protocol.is_connected()
            and self.may_send(row, None)
        ):
            estimates.record_unreachable(row.health, self._loop.time())
        return candidate

    def _find_timeout(self, row: cluster_state.TargetRow) -> float:
        """Returns the timeout of a health check of a target, in seconds."""
        distance = self._vm_locality.find_distance(row.entry.zone)
        if distance is locality.Distance.REMOTE:
            return REMOTE_TIMEOUT_SECONDS
        return NEAR_TIMEOUT_SECONDS

    def _record_timeout(
        self, row: cluster_state.TargetRow, error: Exception
    ) -> None:
        """Records that a target did not respond, if an error means that."""
        if isinstance(error, TimeoutError):
            now = self._loop.time()
            entry = row.entry
            self._silence.record_timeout(now, entry.zone, entry.identity)

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
        except (aiohttp.ClientError, OSError) as error:
            channel.close()
            self._record_timeout(row, error)
            return None
        except BaseException:
            channel.close()
            raise
        if report is None:
            channel.close()
            return None
        self.counts.answered += 1
        self._silence.record_response(row.entry.zone)
        if report.identity not in ("", row.entry.identity):
            # The address now belongs to another target.
            channel.close()
            estimates.record_unreachable(row.health, self._loop.time())
            return None
        estimates.record_reachable(row.health)
        self._record_cold(row, report.cold_seconds)
        if not self.may_send(row, None):
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

    def _record_cold(
        self, row: cluster_state.TargetRow, cold_seconds: float
    ) -> None:
        """Records for how long a target reported to be cold.

        Logs it if the target was not cold before.
        """
        cold_rate = self._find_cold_rate(row.entry.service)
        if not cold_rate:
            return
        was_cold = self.is_cold(row)
        now = self._loop.time()
        self.cold.record_report(now, row.entry, cold_seconds)
        if cold_seconds and not was_cold:
            log.info(
                "target is cold",
                target=row.entry.identity,
                service=row.entry.service,
                seconds=round(cold_seconds, 3),
            )

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
            region = self._vm_locality.find_region(row.entry.zone)
            fast_until = self._fast_until.setdefault(row.entry.service, {})
            fast_until[region] = now + FAST_TARGET_TTL_SECONDS
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
