"""Serves callers: each request gets one answer, its own or an honest no."""

import asyncio
from collections.abc import Awaitable, Callable
import time
from typing import Final

from aiohttp import web
from multidict import CIMultiDict
import xxhash

from wigeonspool.core import attempting
from wigeonspool.core import estimates
from wigeonspool.core import knowledge
from wigeonspool.core import naming
from wigeonspool.core import patience
from wigeonspool.core import weights
from wigeonspool.gateway import exchanges
from wigeonspool.gateway import incoming
from wigeonspool.gateway import pauses
from wigeonspool.gateway import streaming
from wigeonspool.model import boot
from wigeonspool.model import border
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.vm import asking
from wigeonspool.vm import attempts
from wigeonspool.vm import journal
from wigeonspool.vm import work as works

# Targets asked for one request at a time.
ASKED_AT_ONCE: Final = 3
# The pace of a target changes about every 150 ms; asking more often than this
# finds no new one.
ASK_AGAIN_SECONDS: Final = 0.02
# Health checks for one request; each costs a part of what it is worth.
MOST_ASKED: Final = 30
# A caller that was refused for want of room comes back when the work of one
# slot is done, about; one whose target refused it may come back at once.
RETRY_SECONDS: Final = 0.15
RETRY_SOON_SECONDS: Final = 0.02
# A VM without knowledge has it after one round trip to the store.
STARTING_SECONDS: Final = 0.2
STATUS_NO_RULE: Final = 404
STATUS_TOO_LARGE: Final = 413
STATUS_BAD_REQUEST: Final = 400

# A target that crashed refuses connections by then.
CRASH_SECONDS: Final = 0.05
# A request that crashes targets is refused for far longer than this.
QUARANTINE_SECONDS: Final = 5.0
RETRY_AFTER: Final = {
    outcomes.Reason.QUARANTINED: QUARANTINE_SECONDS,
    outcomes.Reason.NOT_CONFIGURED: STARTING_SECONDS,
    outcomes.Reason.TARGET_REFUSED: RETRY_SOON_SECONDS,
}

log = journal.open_part("requests")

Ending = works.AttemptResult | outcomes.Failure


class CallerService:
    """Serves the requests that arrive at one VM.

    Attributes:
        in_flight: Requests received and not answered yet.
        counts: Requests that ended, by outcome and reason.
        leaving: True once this VM prepares to stop.
        on_crash: Called with a fingerprint and the target that crashed.
        on_answered: Called with the service and the seconds of each answer.
    """

    def __init__(
        self,
        settings: boot.Boot,
        known: knowledge.Knowledge,
        asker: asking.Asker,
        words: border.Border,
        pauses_monitor: pauses.PauseMonitor,
    ) -> None:
        """Prepares the service.

        Args:
            settings: Settings of the VM.
            known: What is known of rules and targets.
            asker: Asks targets for their load.
            words: Protocol of callers and targets.
            pauses_monitor: Tells how long what is read now has waited.
        """
        self.in_flight = 0
        self.counts: dict[tuple[str, str], int] = {}
        self.leaving = False
        self.on_crash: Callable[[int, str], Awaitable[None]] = _ignore_crash
        self._checking: set[asyncio.Task[None]] = set()
        self.on_answered: Callable[[str, float], None] = lambda _, __: None
        self._known = known
        self._asker = asker
        self._words = words
        self._pauses = pauses_monitor
        self._sender = attempts.Sender(words)
        self._times = patience.UsualTimes()
        self._allowance = attempting.RetryAllowance()
        self.apply_bounds(settings.bounds, len(settings.regions))
        self._rotations: dict[str, weights.ShareRotation] = {}
        self._version = -1
        self._offset = xxhash.xxh3_64_intdigest(settings.vm.encode()) / 2**64
        self._loop = asyncio.get_running_loop()

    @property
    def retries_refused(self) -> int:
        """Attempts that the retry allowance did not cover."""
        return self._allowance.refused

    def apply_bounds(self, bounds: boot.Bounds, zones: int) -> None:
        """Takes what is promised anew.

        Args:
            bounds: What is promised.
            zones: Availability zones of the deployment.
        """
        self._allowance.set_bounds(
            bounds.retry_fraction,
            bounds.retry_slack,
            bounds.retry_window_seconds,
            naming.LEAST_NAMED * max(1, zones),
        )

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
            return self._build_failure(work)
        try:
            async with asyncio.timeout_at(work.deadline):
                ending = await self._run(work)
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

    async def _run(self, work: works.Work) -> Ending:
        """Sends a request to targets until one answers it or none may.

        Raises:
            TimeoutError: If its deadline passed.
        """
        self._allowance.earn(work.service, self._loop.time())
        while True:
            offer = await self._choose(work)
            if isinstance(offer, outcomes.Failure):
                return offer
            result = await self._send_watched(work, offer)
            if result.ended is works.Ended.ANSWERED:
                return result
            if not self._may_send_again(work, result):
                return self._conclude(work, result)

    async def _send_watched(
        self, work: works.Work, offer: asking.Offer
    ) -> works.AttemptResult:
        """Sends an attempt, and a second one beside it if it takes long.

        Returns:
            The answer that came first, or the result that came last.
        """
        now = self._loop.time()
        usual = self._find_usual(work)
        second_at = attempting.find_second_at(now, usual, work.objective_at)
        if second_at is None or not work.rule.repeatable or not work.held:
            return await self._send(work, offer)
        tasks = {self._loop.create_task(self._send(work, offer))}
        try:
            done, _ = await asyncio.wait(tasks, timeout=second_at - now)
            if not done:
                second = await self._choose_second(work)
                if second is not None:
                    work.seconds += 1
                    sending = self._send(work, second)
                    tasks.add(self._loop.create_task(sending))
            return await _await_best(tasks)
        finally:
            for task in tasks:
                task.cancel()

    async def _choose_second(self, work: works.Work) -> asking.Offer | None:
        """Returns where to send a second attempt, or None if nowhere.

        Second attempts must not take room that first attempts need, so only a
        target that is good at once is used.
        """
        if work.runs >= work.rule.most_targets:
            return None
        asker = self._asker
        groups = asker.list_candidates(
            work.service, work.tried, work.rule.large
        )
        if not groups or not self._allowance.spend(
            work.service, self._loop.time(), attempting.SECOND_RESERVE
        ):
            return None
        asked = asker.pick(groups[0], ASKED_AT_ONCE)
        work.asked += len(asked)
        offers = await asker.ask_some(asked)
        asker.give_back(offers[1:])
        if offers and offers[0].prospect.cost <= patience.GOOD_STRETCH:
            return offers[0]
        asker.give_back(offers[:1])
        return None

    def _find_usual(self, work: works.Work) -> float:
        """Returns how long a request takes at the usual pace, in seconds."""
        name = f"{work.rule.prefix}{work.service}"
        return self._times.find(name, work.rule.objective_seconds)

    async def _send(
        self, work: works.Work, offer: asking.Offer
    ) -> works.AttemptResult:
        """Sends one attempt and learns from how it ends."""
        row = offer.row
        started_at = self._loop.time()
        estimates.claim(row.health, started_at)
        work.sends += 1
        # Until there is proof of the contrary, it may run.
        work.runs += 1
        work.tried.add(row.entry.identity)
        work.note(
            started_at, "sent", row.entry.identity, offer.prospect.stretch
        )
        result = await self._sender.send(work, offer)
        now = self._loop.time()
        work.note(now, result.ended.value, row.entry.identity, 0.0)
        if result.ended is works.Ended.NOT_RUN:
            work.runs -= 1
            estimates.note_fault(row.health, now, 0.5)
        elif result.ended is works.Ended.ANSWERED:
            name = f"{work.rule.prefix}{work.service}"
            seconds = now - started_at
            self._times.learn(name, seconds, offer.prospect.stretch)
        else:
            estimates.note_fault(row.health, now)
        if result.ended is works.Ended.ANSWERED:
            self._known.suspects.clear(work.fingerprint)
        elif result.ended is works.Ended.LOST:
            self._watch_crash(work.fingerprint, row.entry)
        return result

    def _watch_crash(self, fingerprint: int, entry: fleet.TargetEntry) -> None:
        """Finds out beside the request whether its target crashed."""
        task = self._loop.create_task(self._confirm_crash(fingerprint, entry))
        self._checking.add(task)
        task.add_done_callback(self._checking.discard)

    async def _confirm_crash(
        self, fingerprint: int, entry: fleet.TargetEntry
    ) -> None:
        """Tells of a crash if a target takes no connection any more."""
        await asyncio.sleep(CRASH_SECONDS)
        if await self._asker.is_reachable(entry.address):
            return
        now = self._loop.time()
        self._known.suspects.note_crash(now, fingerprint, entry.identity)
        crashes = self._known.suspects.find_crashes(fingerprint)
        log.warning(
            "target crashed",
            target=entry.identity,
            fingerprint=f"{fingerprint:016x}",
            crashes=len(crashes),
        )
        if entry.identity in crashes:
            await self.on_crash(fingerprint, entry.identity)

    async def _choose(
        self, work: works.Work
    ) -> asking.Offer | outcomes.Failure:
        """Returns the target to send a request to."""
        usual = self._find_usual(work)
        while True:
            offer, step = await self._ask_all(work, usual)
            if step is patience.Step.TAKE and offer is not None:
                return offer
            if offer is not None:
                self._asker.give_back([offer])
            if step is patience.Step.REFUSE:
                return work.fail(outcomes.Reason.DEADLINE_UNREACHABLE)
            await asyncio.sleep(ASK_AGAIN_SECONDS)

    async def _ask_all(
        self, work: works.Work, usual: float
    ) -> tuple[asking.Offer | None, patience.Step]:
        """Asks targets, the nearest first, until one is good enough.

        Large answers leave their zone only if nobody there can answer in
        time, since bytes between zones cost more than a wait.

        Returns:
            The best offer, and what to do with it.
        """
        large = work.rule.large
        groups = self._asker.list_candidates(work.service, work.tried, large)
        if not groups and work.tried:
            groups = self._asker.list_candidates(work.service, (), large)
        if not large:
            return await self._ask_groups(work, usual, groups)
        best, step = await self._ask_groups(work, usual, groups[:1])
        if len(groups) > 1 and (best is None or step is patience.Step.REFUSE):
            if best is not None:
                self._asker.give_back([best])
            return await self._ask_groups(work, usual, groups[1:])
        return best, step

    async def _ask_groups(
        self,
        work: works.Work,
        usual: float,
        groups: list[list[knowledge.TargetRow]],
    ) -> tuple[asking.Offer | None, patience.Step]:
        """Asks some groups of targets, one after the other.

        Returns:
            The best offer, and what to do with it.
        """
        asker = self._asker
        # A request that was patient for long asks a few at a time.
        stop_at = max(MOST_ASKED, work.asked + ASKED_AT_ONCE)
        best: asking.Offer | None = None
        step = self._decide(work, usual, best, bool(groups))
        try:
            while groups and step is patience.Step.ASK:
                asked = asker.pick(groups[0], ASKED_AT_ONCE)
                groups = _leave_out(groups, asked)
                work.asked += len(asked)
                offers = await asker.ask_some(asked)
                if best is not None:
                    offers.append(best)
                offers.sort(key=lambda offer: offer.prospect.cost)
                best = offers[0] if offers else None
                asker.give_back(offers[1:])
                more = bool(groups) and work.asked < stop_at
                step = self._decide(work, usual, best, more)
        except BaseException:
            if best is not None:
                asker.give_back([best])
            raise
        return best, step

    def _decide(
        self,
        work: works.Work,
        usual: float,
        best: asking.Offer | None,
        unasked: bool,
    ) -> patience.Step:
        """Returns what to do with the best offer so far."""
        return patience.decide(
            self._loop.time(),
            usual,
            None if best is None else best.prospect,
            work.objective_at,
            work.deadline,
            unasked,
        )

    def _may_send_again(
        self, work: works.Work, result: works.AttemptResult
    ) -> bool:
        """Returns True if a request goes to another target, and charges it."""
        allowed = work.held and attempting.may_send_again(
            work.rule.repeatable,
            result.ended is works.Ended.NOT_RUN,
            work.sends,
            work.runs,
            work.rule.most_targets,
        )
        if not allowed:
            return False
        usual = self._find_usual(work)
        room = work.deadline - self._loop.time()
        if room < usual * attempting.LEAST_ROOM:
            return False
        return self._allowance.spend(work.service, self._loop.time())

    def _conclude(
        self, work: works.Work, result: works.AttemptResult
    ) -> Ending:
        """Returns the ending of a request that is not sent again."""
        promises = result.status in self._words.promising
        if result.ended is works.Ended.FAILED and not promises:
            return result
        if result.ended is works.Ended.FAILED:
            return work.fail(outcomes.Reason.TARGET_FAILED)
        if result.ended is works.Ended.NOT_RUN:
            return work.fail(outcomes.Reason.TARGET_REFUSED)
        return work.fail(outcomes.Reason.CONNECTION_LOST)

    def _log_ending(self, work: works.Work, ending: Ending) -> None:
        """Logs how a request ended, and what decided it."""
        now = self._loop.time()
        not_run = False
        if isinstance(ending, outcomes.Failure):
            outcome: str = ending.reason
            not_run = ending.outcome is outcomes.Outcome.NOT_RUN
        elif now > work.objective_at:
            outcome = ending.ended.value
        else:
            return
        log.info(
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
        fields = CIMultiDict(result.fields)
        if result.source is None:
            return web.Response(
                status=result.status, headers=fields, body=result.body
            )
        response = web.StreamResponse(status=result.status, headers=fields)
        response.content_length = result.source.content_length
        if self.leaving:
            response.force_close()
        streamed = await streaming.pass_on(
            work.request, work.identity, result.source, work.deadline, response
        )
        return streamed.response

    def _build_failure(self, failure: outcomes.Failure) -> web.Response:
        """Returns the response that tells of a failure."""
        self._count(failure.outcome, failure.reason)
        status = self._find_status(failure)
        fields: dict[str, str] = {"Content-Type": "text/plain"}
        if status == self._words.refusal_status:
            seconds = RETRY_AFTER.get(failure.reason, RETRY_SECONDS)
            fields.update(self._words.write_retry(seconds))
        return web.Response(
            status=status, headers=fields, body=failure.reason.encode()
        )

    def _find_status(self, failure: outcomes.Failure) -> int:
        """Returns the status that tells of a failure."""
        if failure.reason is outcomes.Reason.NO_ROUTE:
            return STATUS_NO_RULE
        if failure.reason is outcomes.Reason.BODY_TOO_LARGE:
            return STATUS_TOO_LARGE
        if failure.reason is outcomes.Reason.BAD_REQUEST:
            return STATUS_BAD_REQUEST
        if failure.outcome is outcomes.Outcome.NOT_RUN:
            return self._words.refusal_status
        if failure.reason is outcomes.Reason.DEADLINE_PASSED:
            return self._words.late_status
        return self._words.doubt_status

    def _count(self, outcome: str, reason: str) -> None:
        """Counts a request that ended."""
        index = (outcome, reason)
        self.counts[index] = self.counts.get(index, 0) + 1


def _leave_out(
    groups: list[list[knowledge.TargetRow]], asked: list[knowledge.TargetRow]
) -> list[list[knowledge.TargetRow]]:
    """Returns groups of targets without those that were asked."""
    first = [row for row in groups[0] if row not in asked]
    return [first, *groups[1:]] if first else groups[1:]


async def _ignore_crash(fingerprint: int, target: str) -> None:
    """Tells nobody of a crash."""


def find_fingerprint(
    request: web.BaseRequest, host: str, body: exchanges.Body
) -> int:
    """Returns a number that is equal for resends of the same request."""
    hasher = xxhash.xxh3_64()
    hasher.update(f"{request.method} {host}{request.raw_path}\n".encode())
    if isinstance(body, bytes):
        hasher.update(body)
    return hasher.intdigest()


async def _await_best(
    tasks: set[asyncio.Task[works.AttemptResult]],
) -> works.AttemptResult:
    """Returns the first answer of some attempts, or the last result."""
    waiting = set(tasks)
    while True:
        done, waiting = await asyncio.wait(
            waiting, return_when=asyncio.FIRST_COMPLETED
        )
        results = [task.result() for task in done]
        for result in results:
            if result.ended is works.Ended.ANSWERED or not waiting:
                return result
