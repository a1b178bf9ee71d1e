"""Runs a request: attempts at targets until one answers or none may."""

import asyncio
from collections.abc import Awaitable, Callable
from typing import Final, Protocol

from wigeonspool.core import attempting
from wigeonspool.core import estimates
from wigeonspool.core import knowledge
from wigeonspool.core import naming
from wigeonspool.model import boot
from wigeonspool.model import border
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.vm import asking
from wigeonspool.vm import attempts
from wigeonspool.vm import choosing
from wigeonspool.vm import journal
from wigeonspool.vm import work as works

# A target that crashed refuses connections by then.
CRASH_SECONDS: Final = 0.05
# What did not run costs a target less than what failed.
NOT_RUN_WEIGHT: Final = 0.5

log = journal.open_part("requests")

Ending = works.AttemptResult | outcomes.Failure


class Sending(Protocol):
    """Sends attempts to targets.

    Attributes:
        foreign: Answers that belonged to other requests.
    """

    foreign: int

    async def send(
        self, work: works.Work, offer: asking.Offer
    ) -> works.AttemptResult:
        """Sends a request to the target of an offer."""


class Runner:
    """Sends requests to targets.

    Attributes:
        on_crash: Called with a fingerprint and the target that crashed.
    """

    def __init__(
        self,
        settings: boot.Boot,
        known: knowledge.Knowledge,
        asker: asking.Asker,
        words: border.Border,
    ) -> None:
        """Prepares a runner.

        Args:
            settings: Settings of the VM.
            known: What is known of targets.
            asker: Asks targets for their load.
            words: Protocol of the targets.
        """
        self.on_crash: Callable[[int, str], Awaitable[None]] = _ignore_crash
        self._known = known
        self._asker = asker
        self._words = words
        self._sender: Sending = attempts.Sender(words)
        self._chooser = choosing.Chooser(asker)
        self._allowance = attempting.RetryAllowance()
        self._checking: set[asyncio.Task[None]] = set()
        self._loop = asyncio.get_running_loop()
        self.apply_bounds(settings.bounds, len(settings.regions))

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

    @property
    def retries_refused(self) -> int:
        """Attempts that the retry allowance did not cover."""
        return self._allowance.refused

    def replace_sender(self, sender: "Sending") -> None:
        """Sends attempts in another way, such as to emulated targets."""
        self._sender = sender

    @property
    def foreign(self) -> int:
        """Answers of targets that belonged to other requests."""
        return self._sender.foreign

    async def run(self, work: works.Work) -> Ending:
        """Sends a request to targets until one answers it or none may.

        Raises:
            TimeoutError: If its deadline passed.
        """
        self._allowance.earn(work.service, self._loop.time())
        while True:
            offer = await self._chooser.choose(work)
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
        usual = self._chooser.find_usual(work)
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
        now = self._loop.time()
        reserve = attempting.SECOND_RESERVE
        if not self._allowance.spend(work.service, now, reserve):
            return None
        return await self._chooser.find_good(work)

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
        try:
            result = await self._sender.send(work, offer)
        except asyncio.CancelledError:
            work.note(self._loop.time(), "no-answer", row.entry.identity, 0.0)
            raise
        now = self._loop.time()
        work.note(now, result.ended.value, row.entry.identity, 0.0)
        self._learn(work, offer, result, now - started_at)
        return result

    def _learn(
        self,
        work: works.Work,
        offer: asking.Offer,
        result: works.AttemptResult,
        seconds: float,
    ) -> None:
        """Takes from the result of an attempt what it tells of the target."""
        row = offer.row
        now = self._loop.time()
        if result.ended is works.Ended.ANSWERED:
            self._chooser.learn(work, seconds, offer)
            self._known.suspects.clear(work.fingerprint)
            return
        if result.ended is works.Ended.NOT_RUN:
            work.runs -= 1
            estimates.note_fault(row.health, now, NOT_RUN_WEIGHT)
            return
        estimates.note_fault(row.health, now)
        if result.ended is works.Ended.LOST:
            self._watch_crash(work.fingerprint, row.entry)

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

    def _may_send_again(
        self, work: works.Work, result: works.AttemptResult
    ) -> bool:
        """Returns True if a request goes to another target, and charges it."""
        now = self._loop.time()
        allowed = work.held and attempting.may_send_again(
            work.rule.repeatable,
            result.ended is works.Ended.NOT_RUN,
            work.sends,
            work.runs,
            work.rule.most_targets,
        )
        if not allowed:
            work.note(now, "may-not-repeat", "", 0.0)
            return False
        usual = self._chooser.find_usual(work)
        if work.deadline - now < usual * attempting.LEAST_ROOM:
            work.note(now, "no-time-to-repeat", "", 0.0)
            return False
        if not self._allowance.spend(work.service, now):
            work.note(now, "allowance-spent", "", 0.0)
            return False
        return True

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


async def _ignore_crash(fingerprint: int, target: str) -> None:
    """Tells nobody of a crash."""


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
