"""Serves callers: each request gets one answer, its own or an honest no."""

import asyncio
from collections.abc import Callable
import time

from aiohttp import web
import xxhash

from wigeonspool.core import knowledge
from wigeonspool.core import weights
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import incoming
from wigeonspool.gateway import pauses
from wigeonspool.gateway import streaming
from wigeonspool.model import border
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.vm import journal
from wigeonspool.vm import replies
from wigeonspool.vm import running
from wigeonspool.vm import starting
from wigeonspool.vm import work as works

log = journal.open_part("requests")


class CallerService:
    """Serves the requests that arrive at one VM.

    Attributes:
        in_flight: Requests received and not answered yet.
        counts: Requests that ended, by outcome and reason.
        leaving: True once this VM prepares to stop.
        on_answered: Called with the service and the seconds of each answer.
    """

    def __init__(
        self,
        vm: str,
        known: knowledge.Knowledge,
        runner: running.Runner,
        words: border.Border,
        pauses_monitor: pauses.PauseMonitor,
        gate: starting.StartGate,
    ) -> None:
        """Prepares the service.

        Args:
            vm: Name of the VM.
            known: What is known of rules and targets.
            runner: Sends requests to targets.
            words: Protocol of callers.
            pauses_monitor: Tells how long what is read now has waited.
            gate: Holds requests until the configuration is first known.
        """
        self.in_flight = 0
        self.counts: dict[tuple[str, str], int] = {}
        self.leaving = False
        self.on_answered: Callable[[str, float], None] = lambda _, __: None
        self._known = known
        self._runner = runner
        self._words = words
        self._pauses = pauses_monitor
        self._gate = gate
        self._rotations: dict[str, weights.ShareRotation] = {}
        self._version = -1
        self._offset = xxhash.xxh3_64_intdigest(vm.encode()) / 2**64
        self._loop = asyncio.get_running_loop()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request of a caller."""
        self.in_flight += 1
        try:
            response = await self._serve(request)
        except asyncio.CancelledError:
            self._count(outcomes.Outcome.UNKNOWN, outcomes.Reason.CALLER_LEFT)
            raise
        finally:
            self.in_flight -= 1
        if self.leaving:
            response.force_close()
        return response

    async def _serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Returns the response to a request."""
        work = await self._admit(request)
        if isinstance(work, outcomes.Failure):
            self._log_refusal(request, work)
            return self._build_failure(work)
        try:
            async with asyncio.timeout_at(work.deadline):
                ending = await self._runner.run(work)
        except TimeoutError:
            ending = work.fail(outcomes.Reason.DEADLINE_PASSED)
        self._log_ending(work, ending)
        if isinstance(ending, outcomes.Failure):
            return self._build_failure(ending)
        return await self._build_answer(work, ending)

    async def _admit(
        self, request: web.BaseRequest
    ) -> works.Work | outcomes.Failure:
        """Returns the work of a proper request, or why there is none."""
        arrived_at = self._loop.time() - self._pauses.find_age(time.monotonic())
        await self._gate.wait()
        configuration = self._known.configuration
        if configuration is None:
            return outcomes.refuse(outcomes.Reason.NOT_CONFIGURED)
        if incoming.find_problem(request) is not None:
            return outcomes.refuse(outcomes.Reason.BAD_REQUEST)
        host = request.headers.get("Host", "").partition(":")[0].lower()
        path = request.raw_path.partition("?")[0]
        rule = configuration.find_rule(host, path)
        if rule is None:
            return outcomes.refuse(outcomes.Reason.NO_ROUTE)
        asked = self._words.read_asked(request.headers)
        limit = rule.limit_seconds
        if asked.remaining_seconds is not None:
            limit = min(limit, asked.remaining_seconds)
        service = self._choose_service(configuration, host, rule)
        if service is None:
            return outcomes.refuse(outcomes.Reason.NO_TARGET)
        deadline = arrived_at + limit
        length = request.content_length
        if length is not None and length > configuration.limits.body_bytes:
            return outcomes.refuse(outcomes.Reason.BODY_TOO_LARGE)
        try:
            body, held = await incoming.read_body(request, deadline)
        except errors.BodyUnreadableError as error:
            return outcomes.refuse(
                outcomes.Reason.DEADLINE_PASSED
                if error.late
                else outcomes.Reason.BAD_REQUEST
            )
        fingerprint = find_fingerprint(request, host, body)
        if self._known.suspects.is_refused(self._loop.time(), fingerprint):
            return outcomes.refuse(outcomes.Reason.QUARANTINED)
        return works.Work(
            request,
            asked.identity,
            rule,
            service,
            body,
            held,
            fingerprint,
            arrived_at,
            arrived_at + rule.objective_seconds,
            deadline,
        )

    def _choose_service(
        self, configuration: fleet.Configuration, host: str, rule: fleet.Rule
    ) -> str | None:
        """Returns the service that runs the next request of a rule."""
        if configuration.version != self._version:
            self._version = configuration.version
            self._rotations.clear()
        if len(rule.shares) == 1:
            return rule.shares[0].service
        name = f"{host}{rule.prefix}"
        rotation = self._rotations.get(name)
        if rotation is None:
            rotation = weights.ShareRotation(rule.shares, self._offset)
            self._rotations[name] = rotation
        return rotation.choose()

    def _log_refusal(
        self, request: web.BaseRequest, failure: outcomes.Failure
    ) -> None:
        """Logs a request that was never sent, and why."""
        log.info(
            "refused",
            request=self._words.read_asked(request.headers).identity,
            outcome=failure.reason,
            not_run=True,
            version=self._version,
        )

    def _log_ending(self, work: works.Work, ending: running.Ending) -> None:
        """Logs how a request ended, and what decided it."""
        now = self._loop.time()
        not_run = False
        write = log.info
        if isinstance(ending, outcomes.Failure):
            outcome: str = ending.reason
            not_run = ending.outcome is outcomes.Outcome.NOT_RUN
        else:
            outcome = ending.ended.value
            if now <= work.objective_at:
                write = log.debug
        write(
            "ended",
            request=work.identity,
            rule=work.rule.name,
            service=work.service,
            outcome=outcome,
            not_run=not_run,
            version=self._version,
            after_ms=round((now - work.arrived_at) * 1000),
            limit_ms=round((work.deadline - work.arrived_at) * 1000),
            sends=work.sends,
            runs=work.runs,
            asked=work.asked,
            seconds=work.seconds,
            steps=work.steps,
        )

    async def _build_answer(
        self, work: works.Work, result: works.AttemptResult
    ) -> web.StreamResponse:
        """Returns the response that carries a target's answer."""
        self._count(outcomes.Outcome.ANSWERED, result.ended.value)
        self.on_answered(work.service, self._loop.time() - work.arrived_at)
        source = result.source
        if source is None:
            return replies.build_answer(result)
        response = replies.build_stream(result, source)
        if self.leaving:
            response.force_close()
        streamed = await streaming.pass_on(
            work.request, work.identity, source, work.deadline, response
        )
        return streamed.response

    def _build_failure(self, failure: outcomes.Failure) -> web.Response:
        """Returns the response that tells of a failure."""
        self._count(failure.outcome, failure.reason)
        return replies.build_failure(failure, self._words)

    def _count(self, outcome: str, reason: str) -> None:
        """Counts a request that ended."""
        index = (outcome, reason)
        self.counts[index] = self.counts.get(index, 0) + 1


def find_fingerprint(
    request: web.BaseRequest, host: str, body: exchanges.Body
) -> int:
    """Returns a number that is equal for resends of the same request."""
    hasher = xxhash.xxh3_64()
    hasher.update(f"{request.method} {host}{request.raw_path}\n".encode())
    if isinstance(body, bytes):
        hasher.update(body)
    return hasher.intdigest()
