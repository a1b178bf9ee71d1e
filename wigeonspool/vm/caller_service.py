"""Serves callers: each request gets the response of a target or a failure.

A failure states whether the request may have run.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import time

import aiohttp
from aiohttp import http
from aiohttp import web
import xxhash

from wigeonspool.core import client_accounts
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
from wigeonspool.vm import pipelines
from wigeonspool.vm import request_context
from wigeonspool.vm import request_runner
from wigeonspool.vm import response_buffers
from wigeonspool.vm import startup_gate
from wigeonspool.vm import structured_log
from wigeonspool.vm import usage_limiter

log = structured_log.get_logger("requests")


@dataclasses.dataclass(slots=True)
class OpenRequest:
    """A request that has no response yet.

    Attributes:
        request: Request of the caller.
        arrived_at: Estimated time of its arrival, loop clock.
        position: Number of requests in front of it on its connection when it
            arrived.
        account: Client account of the caller, or None if it has none or is not
            known yet.
        context: Its state, or None until it has been validated.
    """

    request: web.BaseRequest
    arrived_at: float
    position: int
    account: fleet.ClientAccount | None = None
    context: request_context.RequestContext | None = None


class CallerService:
    """Serves the requests that arrive at one VM.

    Attributes:
        counts: Number of completed requests, by outcome and reason.
        account_counter: Counts the completed requests of client accounts.
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
        limiter: usage_limiter.UsageLimiter,
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
            limiter: Limits requests to the quotas of client accounts.
        """
        self.counts: dict[tuple[str, str], int] = {}
        self.account_counter = client_accounts.AccountCounter()
        self.error_count = 0
        self.draining = False
        self.on_answered: Callable[[str, float], None] = lambda _, __: None
        self._cluster = cluster
        self._runner = runner
        self._protocol_adapter = protocol_adapter
        self._pause_monitor = pause_monitor
        self._gate = gate
        self._buffers = response_buffers.ResponseBuffers()
        # Rules with a response too long for the buffer of its attempt.
        self._long_rules: set[fleet.Rule] = set()
        self._limiter = limiter
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

    def find_arrival_time(self) -> float:
        """Returns when data that is read now arrived, loop clock.

        Data that is read after a pause of the process may be as old as that
        pause is long.
        """
        return self._loop.time() - self._pause_monitor.get_max_data_age(
            time.monotonic()
        )

    def may_run_ahead(self, message: http.RawRequestMessage) -> bool:
        """Returns True if a pipelined request may start before its turn.

        Large responses wait for their turn: an error within one resets the
        connection, and with it all responses behind it. That includes rules
        which had a response too long to buffer in front of other requests.
        """
        configuration = self._cluster.configuration
        if self.draining or configuration is None:
            return False
        rule = _find_rule(configuration, message.headers, message.path)
        return (
            rule is not None
            and rule.idempotent
            and not rule.large_responses
            and rule not in self._long_rules
        )

    async def run_ahead(
        self, request: web.BaseRequest, arrived_at: float, position: int
    ) -> request_runner.RequestResult:
        """Runs a pipelined request before its turn.

        Args:
            request: Request of the caller.
            arrived_at: Time of its arrival, loop clock.
            position: Number of requests in front of it when it arrived.
        """
        served = OpenRequest(request, arrived_at, position)
        self._open_requests[id(request)] = served
        return await self._run(served)

    def discard_ahead(self, request: web.BaseRequest) -> None:
        """Ends a request that ran ahead and whose response is not sent."""
        served = self._open_requests.pop(id(request), None)
        if served is not None:
            self._count_disconnected(served)

    async def serve(
        self, request: web.BaseRequest, pipeline: pipelines.Pipeline
    ) -> web.StreamResponse:
        """Serves one request of a caller, the first one of its connection.

        The call is cancelled if the caller disconnects.

        Args:
            request: Request of the caller.
            pipeline: Requests of its connection.
        """
        pipelined = pipeline.begin_turn()
        served = self._open(request, pipelined)
        closing = True
        try:
            response = await self._serve(served, pipelined, pipeline)
            closing = pipelined.closes_connection
        except asyncio.CancelledError:
            self._count_disconnected(served)
            raise
        except Exception as error:
            if isinstance(error, ConnectionError) and _has_left(request):
                self._count_disconnected(served)
                raise
            response = self._handle_error(served, error)
            closing = pipelined.closes_connection
        finally:
            del self._open_requests[id(request)]
            closing = closing or self._is_last(pipeline)
            pipeline.end_turn(closing)
        if closing:
            response.force_close()
        return response

    def _open(
        self, request: web.BaseRequest, pipelined: pipelines.PipelinedRequest
    ) -> OpenRequest:
        """Returns the state of a request whose turn begins.

        The response is written to `request`, also if it ran ahead as another
        object.
        """
        served = None
        if pipelined.ahead is not None:
            served = self._open_requests.pop(id(pipelined.ahead.request), None)
        if served is None:
            served = OpenRequest(
                request, pipelined.arrived_at, pipelined.position
            )
        served.request = request
        self._open_requests[id(request)] = served
        return served

    def _is_last(self, pipeline: pipelines.Pipeline) -> bool:
        """Returns True if the connection closes after the current response.

        While this VM drains, it does once no request behind it runs ahead: a
        request that was sent to a target must get its response.
        """
        return self.draining and not pipeline.has_ahead()

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
        response = self._build_failure(failure, served.account)
        if served.request.writer.output_size > 0:
            streaming.reset_connection(served.request)
            raise ConnectionError("a response has already begun") from error
        return response

    async def _serve(
        self,
        served: OpenRequest,
        pipelined: pipelines.PipelinedRequest,
        pipeline: pipelines.Pipeline,
    ) -> web.StreamResponse:
        """Returns the response to a request whose turn has come."""
        ahead = pipelined.ahead
        if ahead is None:
            result = await self._run(served)
        else:
            self._log_held(served, ahead)
            result = await ahead.task
        context = served.context
        if context is None or isinstance(result, outcomes.Failure):
            assert isinstance(result, outcomes.Failure)
            return self._build_failure(result, served.account)
        context.request = served.request
        reserved_bytes = 0
        if result.stream is not None and pipeline.has_ahead():
            self._long_rules.add(context.rule)
            try:
                reserved_bytes = await self._buffers.fill(
                    result.stream, context.deadline
                )
            except (TimeoutError, aiohttp.ClientError, OSError) as error:
                return self._build_failure(
                    self._end_buffering(context, error), served.account
                )
        context.closes_connection = self._is_last(pipeline)
        try:
            return await self._build_response(context, result)
        finally:
            self._buffers.release(reserved_bytes)

    def _end_buffering(
        self, context: request_context.RequestContext, error: Exception
    ) -> outcomes.Failure:
        """Logs a response that broke off while it was buffered.

        Returns:
            The failure to report; the connection of the caller stays open.
        """
        reason = (
            outcomes.Reason.DEADLINE_PASSED
            if isinstance(error, TimeoutError)
            else outcomes.Reason.CONNECTION_LOST
        )
        log.warning(
            "a buffered response broke off",
            request=context.identity,
            outcome=reason,
            reason=repr(error),
        )
        return context.build_failure(reason)

    async def _run(self, served: OpenRequest) -> request_runner.RequestResult:
        """Runs a request, logs its result and returns it."""
        context: request_context.RequestContext | outcomes.Failure
        try:
            async with self._runner.start_limits.limit_wait(deadline=None):
                context = await self._build_context(served)
        except TimeoutError:
            context = outcomes.build_refusal(outcomes.Reason.DRAINING)
        if isinstance(context, outcomes.Failure):
            self._log_refusal(served, context)
            return context
        served.context = context
        result: request_runner.RequestResult
        if self._loop.time() >= context.deadline:
            # It waited behind other requests of its connection for too long.
            result = context.build_failure(outcomes.Reason.DEADLINE_PASSED)
        else:
            try:
                async with asyncio.timeout_at(context.deadline):
                    result = await self._run_within_quota(context)
            except TimeoutError:
                result = context.build_failure(outcomes.Reason.DEADLINE_PASSED)
        self._log_result(context, result, served.position)
        return result

    async def _run_within_quota(
        self, context: request_context.RequestContext
    ) -> request_runner.RequestResult:
        """Runs a request, once it has a token if its account has a quota.

        The token of a request that did not run is used for another one.
        """
        account = context.account
        if account is None or account.rate <= 0.0:
            return await self._runner.run(context)
        expires_at = await self._limiter.acquire(account)
        if isinstance(expires_at, outcomes.Failure):
            return expires_at
        token = usage_limiter.UsageToken(self._limiter, account, expires_at)
        context.token = token
        result: request_runner.RequestResult | None = None
        try:
            result = await self._runner.run(context)
            return result
        finally:
            if isinstance(result, outcomes.Failure):
                did_not_run = result.outcome is outcomes.Outcome.NOT_RUN
            else:
                did_not_run = result is None and not context.possible_runs
            if did_not_run:
                token.give_back()

    def _log_held(self, served: OpenRequest, ahead: pipelines.AheadRun) -> None:
        """Logs a response that was complete before its turn."""
        held_ms = round(ahead.find_held_seconds() * 1000)
        if held_ms:
            log.debug(
                "held for its turn",
                request=self._read_identity(served.request),
                position=served.position,
                held_ms=held_ms,
            )

    async def _build_context(
        self, served: OpenRequest
    ) -> request_context.RequestContext | outcomes.Failure:
        """Returns the context of a valid request, or why it is refused.

        Sets the account of the request.
        """
        request, arrived_at = served.request, served.arrived_at
        await self._gate.wait()
        configuration = self._cluster.configuration
        if configuration is None:
            return outcomes.build_refusal(outcomes.Reason.NOT_CONFIGURED)
        self._record_version(configuration)
        if incoming_request.validate_request(request) is not None:
            return outcomes.build_refusal(outcomes.Reason.BAD_REQUEST)
        host = _read_host(request.headers)
        rule = _find_rule(configuration, request.headers, request.raw_path)
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
        account = self._identify_account(request, configuration, rule)
        if isinstance(account, outcomes.Failure):
            return account
        served.account = account
        limit_seconds = rule.limit_seconds
        if caller_fields.remaining_seconds is not None:
            limit_seconds = min(limit_seconds, caller_fields.remaining_seconds)
        service = self._choose_service(host, rule)
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
        account_name = account.name if account else ""
        fingerprint = fingerprint_request(request, host, body, account_name)
        if self._cluster.suspects.is_refused(self._loop.time(), fingerprint):
            crashed = self._cluster.suspects.list_crashed_targets(fingerprint)
            log.info(
                "quarantined",
                request=identity,
                fingerprint=f"{fingerprint:016x}",
                targets=list(crashed),
            )
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
            account=account,
            has_accounts=bool(configuration.accounts),
            configuration_version=configuration.version,
        )

    def _identify_account(
        self,
        request: web.BaseRequest,
        configuration: fleet.Configuration,
        rule: fleet.Rule,
    ) -> fleet.ClientAccount | outcomes.Failure | None:
        """Returns the account of a request, or why it is refused.

        The result is None for a request without an account.
        """
        if not configuration.accounts:
            return None
        account = client_accounts.identify_account(
            configuration,
            rule,
            self._protocol_adapter.read_credentials(request.headers),
        )
        if isinstance(account, outcomes.Reason):
            return outcomes.build_refusal(account)
        return account

    def _record_version(self, configuration: fleet.Configuration) -> None:
        """Records the version of the active configuration.

        Another version begins with new rotations of services, and with no
        rules known to have long responses.
        """
        if configuration.version != self._configuration_version:
            self._configuration_version = configuration.version
            self._rotations.clear()
            self._long_rules.clear()

    def _choose_service(self, host: str, rule: fleet.Rule) -> str | None:
        """Returns the service for the next request that matches a rule.

        Several services take turns by their weights in the rule. Returns None
        if none of them has a positive weight.
        """
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
        self, served: OpenRequest, failure: outcomes.Failure
    ) -> None:
        """Logs that a request was refused before any attempt, and why."""
        log.info(
            "refused",
            request=self._read_identity(served.request),
            account=served.account.name if served.account else "",
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
        position: int,
    ) -> None:
        """Logs the outcome of a request and the steps that led to it.

        A request is logged at the debug level if a target responded by the
        latency objective, and at the info level otherwise.

        Args:
            context: State of the request.
            result: Its outcome.
            position: Number of requests in front of it on its connection when
                it arrived.
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
            account=context.account_name,
            outcome=outcome,
            not_run=not_run,
            version=self._configuration_version,
            after_ms=round((now - context.arrived_at) * 1000),
            limit_ms=round((context.deadline - context.arrived_at) * 1000),
            sends=context.attempts_sent,
            runs=context.possible_runs,
            asked=context.probes_sent,
            seconds=context.hedges_sent,
            position=position,
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
        self._count(
            outcomes.Outcome.ANSWERED, result.outcome.value, context.account
        )
        self.on_answered(
            context.service, self._loop.time() - context.arrived_at
        )
        source = result.stream
        if source is None:
            return caller_responses.build_response(result)
        response = caller_responses.build_stream_response(result, source)
        if context.closes_connection:
            response.force_close()
        streamed = await streaming.stream_response(
            context.request,
            context.identity,
            source,
            context.deadline,
            response,
        )
        return streamed.response

    def _build_failure(
        self, failure: outcomes.Failure, account: fleet.ClientAccount | None
    ) -> web.Response:
        """Counts a failure and returns the response that reports it."""
        self._count(failure.outcome, failure.reason, account)
        return caller_responses.build_failure(
            failure, self._protocol_adapter, self._loop.time()
        )

    def _count_disconnected(self, served: OpenRequest) -> None:
        """Counts a request whose caller disconnected."""
        self._count(
            outcomes.Outcome.UNKNOWN,
            outcomes.Reason.CALLER_LEFT,
            served.account,
        )

    def _count(
        self, outcome: str, reason: str, account: fleet.ClientAccount | None
    ) -> None:
        """Counts a completed request, of an account if it has one."""
        key = (outcome, reason)
        self.counts[key] = self.counts.get(key, 0) + 1
        self.account_counter.count(account, outcome)


def _read_host(fields: protocols.Headers) -> str:
    """Returns the host that a request names, without a port."""
    return fields.get("Host", "").partition(":")[0].lower()


def _find_rule(
    configuration: fleet.Configuration, fields: protocols.Headers, target: str
) -> fleet.Rule | None:
    """Returns the rule that a request matches, or None.

    Args:
        configuration: Configuration in force.
        fields: Header fields of the request.
        target: Path and query of the request.
    """
    return configuration.find_rule(_read_host(fields), target.partition("?")[0])


def _has_left(request: web.BaseRequest) -> bool:
    """Returns True if the connection of a request is closed."""
    return request.transport is None or request.transport.is_closing()


def fingerprint_request(
    request: web.BaseRequest, host: str, body: exchanges.Body, account: str
) -> int:
    """Returns a hash that is equal for resends of the same request.

    Bodies that are streamed are not part of the hash. The same request of two
    accounts has two hashes, so that one account cannot cause the refusal of
    requests of another one.

    Args:
        request: Request of the caller.
        host: Host that it names.
        body: Its body.
        account: Name of the caller's client account, or "".
    """
    hasher = xxhash.xxh3_64()
    # The path and the account have no spaces, so that no request without an
    # account has the hash of one with an account.
    suffix = f" {account}" if account else ""
    hasher.update(
        f"{request.method} {host}{request.raw_path}{suffix}\n".encode()
    )
    if isinstance(body, bytes):
        hasher.update(body)
    return hasher.intdigest()
