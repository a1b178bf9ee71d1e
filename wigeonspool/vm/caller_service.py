"""Serves callers: each request gets the response of a target or a failure.

A failure states whether the request may have run.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time

from aiohttp import web
import xxhash

from wigeonspool.core import cluster_state
from wigeonspool.core import drain_policy
from wigeonspool.core import traffic_split
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import incoming_request
from wigeonspool.gateway import pauses
from wigeonspool.gateway import streaming
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.model import protocols
from wigeonspool.vm import caller_responses
from wigeonspool.vm import request_context
from wigeonspool.vm import request_runner
from wigeonspool.vm import startup_gate
from wigeonspool.vm import structured_log

log = structured_log.get_logger("requests")


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A request that has no response yet.

    Attributes:
        request: Request of the caller.
        context: Its state, or None until it has been validated.
    """

    request: web.BaseRequest
    context: request_context.RequestContext | None = None


class CallerService:
    """Serves the requests that arrive at one VM.

    Attributes:
        counts: Number of completed requests, by outcome and reason.
        error_count: Number of requests that ended by an unexpected exception.
        draining: True while this VM prepares to stop.
        on_answered: Called for each successful or failed response of a target,
            with the service and the duration of the request in seconds.
    """

    def __init__(
        self,
        vm: str,
        cluster: cluster_state.ClusterState,
        runner: request_runner.RequestRunner,
        protocol_adapter: protocols.ProtocolAdapter,
        pause_monitor: pauses.PauseMonitor,
        gate: startup_gate.StartupGate,
    ) -> None:
        """Creates the service.

        Args:
            vm: Name of the VM.
            cluster: Cluster state, with the configuration and the targets.
            runner: Sends requests to targets.
            protocol_adapter: Protocol of callers.
            pause_monitor: Returns how long data that is read now may have
                waited while the process did not run.
            gate: Delays requests until the first configuration is loaded.
        """
        self.counts: dict[tuple[str, str], int] = {}
        self.error_count = 0
        self.draining = False
        self.on_answered: Callable[[str, float], None] = lambda _, __: None
        self._cluster = cluster
        self._runner = runner
        self._protocol_adapter = protocol_adapter
        self._pause_monitor = pause_monitor
        self._gate = gate
        self._rotations: dict[str, traffic_split.WeightedRoundRobin] = {}
        self._configuration_version = -1
        self._rotation_offset = xxhash.xxh3_64_intdigest(vm.encode()) / 2**64
        # By object identity, since requests are not hashable.
        self._open_requests: dict[int, OpenRequest] = {}
        self._loop = asyncio.get_running_loop()

    @property
    def in_flight(self) -> int:
        """Number of requests received and not completed yet."""
        return len(self._open_requests)

    def begin_drain(self, schedule: drain_policy.DrainSchedule) -> None:
        """Closes the connection after each response from now on.

        Requests that cannot end in time are refused, also those that wait for
        a target already.

        Args:
            schedule: Schedule of the stop.
        """
        self.draining = True
        self._runner.start_limits.apply_schedule(schedule)

    def log_cut(self) -> int:
        """Logs each open request as aborted; returns their number."""
        for served in self._open_requests.values():
            log.warning("cut", request=self._read_identity(served.request))
        return len(self._open_requests)

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request of a caller.

        The call is cancelled if the caller disconnects.
        """
        served = OpenRequest(request)
        self._open_requests[id(request)] = served
        try:
            response = await self._serve(served)
        except asyncio.CancelledError:
            self._count(outcomes.Outcome.UNKNOWN, outcomes.Reason.CALLER_LEFT)
            raise
        except Exception as error:
            if isinstance(error, ConnectionError) and _has_left(request):
                self._count(
                    outcomes.Outcome.UNKNOWN, outcomes.Reason.CALLER_LEFT
                )
                raise
            response = self._handle_error(served, error)
        finally:
            del self._open_requests[id(request)]
        if self.draining:
            response.force_close()
        return response

    def _handle_error(
        self, served: OpenRequest, error: Exception
    ) -> web.StreamResponse:
        """Returns the response to a request that ended by an exception.

        Raises:
            ConnectionError: If a response has begun, so that the connection is
                reset instead.
        """
        context = served.context
        reason = outcomes.Reason.INTERNAL_ERROR
        failure = (
            outcomes.build_refusal(reason)
            if context is None
            else context.build_failure(reason)
        )
        self.error_count += 1
        log.opt(exception=error).error(
            "a request failed",
            request=self._read_identity(served.request),
            not_run=failure.outcome is outcomes.Outcome.NOT_RUN,
        )
        response = self._build_failure(failure)
        if served.request.writer.output_size > 0:
            streaming.reset_connection(served.request)
            raise ConnectionError("a response has already begun") from error
        return response

    async def _serve(self, served: OpenRequest) -> web.StreamResponse:
        """Runs a request, logs its result and returns the response."""
        request = served.request
        context: request_context.RequestContext | outcomes.Failure
        try:
            async with self._runner.start_limits.limit_wait(deadline=None):
                context = await self._build_context(request)
        except TimeoutError:
            context = outcomes.build_refusal(outcomes.Reason.DRAINING)
        if isinstance(context, outcomes.Failure):
            self._log_refusal(request, context)
            return self._build_failure(context)
        served.context = context
        try:
            async with asyncio.timeout_at(context.deadline):
                result = await self._runner.run(context)
        except TimeoutError:
            result = context.build_failure(outcomes.Reason.DEADLINE_PASSED)
        self._log_result(context, result)
        if isinstance(result, outcomes.Failure):
            return self._build_failure(result)
        return await self._build_response(context, result)

    async def _build_context(
        self, request: web.BaseRequest
    ) -> request_context.RequestContext | outcomes.Failure:
        """Returns the context of a valid request, or why it is refused."""
        arrived_at = self._loop.time() - self._pause_monitor.get_max_data_age(
            time.monotonic()
        )
        await self._gate.wait()
        configuration = self._cluster.configuration
        if configuration is None:
            return outcomes.build_refusal(outcomes.Reason.NOT_CONFIGURED)
        if incoming_request.validate_request(request) is not None:
            return outcomes.build_refusal(outcomes.Reason.BAD_REQUEST)
        host = request.headers.get("Host", "").partition(":")[0].lower()
        path = request.raw_path.partition("?")[0]
        rule = configuration.find_rule(host, path)
        if rule is None:
            return outcomes.build_refusal(outcomes.Reason.NO_ROUTE)
        caller_fields = self._protocol_adapter.read_request_metadata(
            request.headers
        )
        identity = caller_fields.identity
        if not identity or not identity.isprintable():
            # Without an identity, no response can be matched with the request.
            # Bytes that are not UTF-8 would be left out when it is forwarded.
            return outcomes.build_refusal(outcomes.Reason.BAD_REQUEST)
        limit_seconds = rule.limit_seconds
        if caller_fields.remaining_seconds is not None:
            limit_seconds = min(limit_seconds, caller_fields.remaining_seconds)
        service = self._choose_service(configuration, host, rule)
        if service is None:
            return outcomes.build_refusal(outcomes.Reason.NO_TARGET)
        deadline = arrived_at + limit_seconds
        length = request.content_length
        if length is not None and length > configuration.limits.max_body_bytes:
            return outcomes.build_refusal(outcomes.Reason.BODY_TOO_LARGE)
        try:
            body, replayable = await incoming_request.read_body(
                request, deadline
            )
        except errors.BodyUnreadableError as error:
            return outcomes.build_refusal(
                outcomes.Reason.DEADLINE_PASSED
                if error.timed_out
                else outcomes.Reason.BAD_REQUEST
            )
        fingerprint = fingerprint_request(request, host, body)
        if self._cluster.suspects.is_refused(self._loop.time(), fingerprint):
            return outcomes.build_refusal(outcomes.Reason.QUARANTINED)
        return request_context.RequestContext(
            request,
            identity,
            rule,
            service,
            body,
            replayable,
            fingerprint,
            arrived_at,
            arrived_at + rule.objective_seconds,
            deadline,
        )

    def _choose_service(
        self, configuration: fleet.Configuration, host: str, rule: fleet.Rule
    ) -> str | None:
        """Returns the service for the next request that matches a rule.

        Several services take turns by their weights in the rule. Returns None
        if none of them has a positive weight.
        """
        if configuration.version != self._configuration_version:
            self._configuration_version = configuration.version
            self._rotations.clear()
        if len(rule.weighted_services) == 1:
            return rule.weighted_services[0].service
        rotation_key = f"{host}{rule.prefix}"
        rotation = self._rotations.get(rotation_key)
        if rotation is None:
            rotation = traffic_split.WeightedRoundRobin(
                rule.weighted_services, self._rotation_offset
            )
            self._rotations[rotation_key] = rotation
        return rotation.choose()

    def _log_refusal(
        self, request: web.BaseRequest, failure: outcomes.Failure
    ) -> None:
        """Logs that a request was refused before any attempt, and why."""
        log.info(
            "refused",
            request=self._read_identity(request),
            outcome=failure.reason,
            not_run=True,
            version=self._configuration_version,
        )

    def _read_identity(self, request: web.BaseRequest) -> str:
        """Returns the caller's id of a request."""
        return self._protocol_adapter.read_request_metadata(
            request.headers
        ).identity

    def _log_result(
        self,
        context: request_context.RequestContext,
        result: request_runner.RequestResult,
    ) -> None:
        """Logs the outcome of a request and the steps that led to it.

        A request is logged at the debug level if a target responded by the
        latency objective, and at the info level otherwise.
        """
        now = self._loop.time()
        not_run = False
        write = log.info
        if isinstance(result, outcomes.Failure):
            outcome: str = result.reason
            not_run = result.outcome is outcomes.Outcome.NOT_RUN
        else:
            outcome = result.outcome.value
            if now <= context.objective_at:
                write = log.debug
        # `sends` counts attempts, `runs` those that may have run, `asked`
        # health checks, and `seconds` hedged requests.
        write(
            "ended",
            request=context.identity,
            rule=context.rule.name,
            service=context.service,
            outcome=outcome,
            not_run=not_run,
            version=self._configuration_version,
            after_ms=round((now - context.arrived_at) * 1000),
            limit_ms=round((context.deadline - context.arrived_at) * 1000),
            sends=context.attempts_sent,
            runs=context.possible_runs,
            asked=context.probes_sent,
            seconds=context.hedges_sent,
            steps=context.steps,
        )

    async def _build_response(
        self,
        context: request_context.RequestContext,
        result: request_context.AttemptResult,
    ) -> web.StreamResponse:
        """Returns the response that forwards the response of a target.

        A response that was too long to buffer is streamed to the caller first.
        """
        self._count(outcomes.Outcome.ANSWERED, result.outcome.value)
        self.on_answered(
            context.service, self._loop.time() - context.arrived_at
        )
        source = result.stream
        if source is None:
            return caller_responses.build_response(result)
        response = caller_responses.build_stream_response(result, source)
        if self.draining:
            response.force_close()
        streamed = await streaming.stream_response(
            context.request,
            context.identity,
            source,
            context.deadline,
            response,
        )
        return streamed.response

    def _build_failure(self, failure: outcomes.Failure) -> web.Response:
        """Counts a failure and returns the response that reports it."""
        self._count(failure.outcome, failure.reason)
        return caller_responses.build_failure(
            failure, self._protocol_adapter, self._loop.time()
        )

    def _count(self, outcome: str, reason: str) -> None:
        """Counts a completed request."""
        key = (outcome, reason)
        self.counts[key] = self.counts.get(key, 0) + 1


def _has_left(request: web.BaseRequest) -> bool:
    """Returns True if the connection of a request is closed."""
    return request.transport is None or request.transport.is_closing()


def fingerprint_request(
    request: web.BaseRequest, host: str, body: exchanges.Body
) -> int:
    """Returns a hash that is equal for resends of the same request.

    Bodies that are streamed are not part of the hash.
    """
    hasher = xxhash.xxh3_64()
    hasher.update(f"{request.method} {host}{request.raw_path}\n".encode())
    if isinstance(body, bytes):
        hasher.update(body)
    return hasher.intdigest()
