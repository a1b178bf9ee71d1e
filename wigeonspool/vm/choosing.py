"""Chooses the target of a request by what targets tell at that moment."""

import asyncio
import collections
from typing import Final

from wigeonspool.core import knowledge
from wigeonspool.core import patience
from wigeonspool.model import outcomes
from wigeonspool.vm import asking
from wigeonspool.vm import work as works

# Targets asked for a new request: where two thirds are fast, one of two is in
# eight of nine cases.
ASKED_FIRST: Final = 2
# Targets asked at a time once the first were not good.
ASKED_AT_ONCE: Final = 3
# The pace of a target changes several times a second; asking more often than
# this mostly finds the same one.
ASK_AGAIN_SECONDS: Final = 0.02
# Health checks for one request; each costs a part of what it is worth.
MOST_ASKED: Final = 30


class Chooser:
    """Finds targets for requests.

    Attributes:
        times: How long work takes at the usual pace.
    """

    def __init__(self, asker: asking.Asker) -> None:
        """Prepares a chooser.

        Args:
            asker: Asks targets for their load.
        """
        self.times = patience.UsualTimes()
        self._asker = asker
        self._waiting: dict[str, collections.Counter[int]]
        self._waiting = collections.defaultdict(collections.Counter)
        self._loop = asyncio.get_running_loop()

    def find_usual(self, work: works.Work) -> float:
        """Returns how long a request takes at the usual pace, in seconds."""
        return self.times.find(work.kind, work.rule.objective_seconds)

    def learn(
        self, work: works.Work, seconds: float, offer: asking.Offer
    ) -> None:
        """Takes how long an answer took from the target of an offer."""
        usual = self.find_usual(work)
        self.times.learn(work.kind, seconds, offer.prospect.stretch)
        self._asker.learn_last_slot(work.service, seconds, usual, offer)

    async def choose(self, work: works.Work) -> asking.Offer | outcomes.Failure:
        """Returns the target to send a request to."""
        usual = self.find_usual(work)
        step, offer = await self._ask_all(work, usual)
        if step is not patience.Step.WAIT:
            return _conclude(work, step, offer)
        waiting = self._waiting[work.service]
        waiting[work.rule.priority] += 1
        try:
            while step is patience.Step.WAIT:
                await asyncio.sleep(self._find_pause(work, usual))
                step, offer = await self._ask_all(work, usual)
        finally:
            waiting[work.rule.priority] -= 1
        return _conclude(work, step, offer)

    def _find_pause(self, work: works.Work, usual: float) -> float:
        """Returns how long a request waits before it asks again."""
        waiting = self._waiting[work.service]
        urgent = any(
            count and priority < work.rule.priority
            for priority, count in waiting.items()
        )
        return patience.find_pause(
            self._loop.time(),
            usual,
            work.objective_at,
            work.deadline,
            waiting.total(),
            ASK_AGAIN_SECONDS,
            urgent,
        )

    async def find_good(self, work: works.Work) -> asking.Offer | None:
        """Returns a target that is good at once, or None.

        Only the nearest targets are asked, and only once.
        """
        asker = self._asker
        groups = asker.list_candidates(
            work.service, work.tried, work.rule.large
        )
        if not groups:
            return None
        asked = asker.pick(groups[0], ASKED_AT_ONCE)
        work.asked += len(asked)
        offers = await asker.ask_some(asked)
        asker.give_back(offers[1:])
        if offers and patience.is_good(offers[0].prospect):
            return offers[0]
        asker.give_back(offers[:1])
        return None

    async def _ask_all(
        self, work: works.Work, usual: float
    ) -> tuple[patience.Step, asking.Offer | None]:
        """Asks targets, the nearest first, until one is good enough.

        Large answers leave their zone only if nobody there can answer in
        time, since bytes between zones cost more than a wait.

        Returns:
            What to do, and the offer to take if that is it.
        """
        large = work.rule.large
        groups = self._asker.list_candidates(work.service, work.tried, large)
        if not groups and work.tried:
            groups = self._asker.list_candidates(work.service, (), large)
        if large and len(groups) > 1:
            near = groups[:1]
            step, offer = await self._ask_groups(work, usual, near, False)
            if step is not patience.Step.REFUSE:
                return step, offer
            groups = groups[1:]
        return await self._ask_groups(work, usual, groups, True)

    async def _ask_groups(
        self,
        work: works.Work,
        usual: float,
        groups: list[list[knowledge.TargetRow]],
        may_be_late: bool,
    ) -> tuple[patience.Step, asking.Offer | None]:
        """Asks some groups of targets, one after the other.

        Returns:
            What to do, and the offer to take if that is it.
        """
        asker = self._asker
        # Where others wait already, few targets are free; those who wait ask a
        # few at a time, and so does a request that asked many before.
        stop_at = work.asked + ASKED_AT_ONCE
        if not self._waiting[work.service].total():
            stop_at = max(stop_at, MOST_ASKED)
        best: asking.Offer | None = None
        step = self._decide(work, usual, best, bool(groups), may_be_late)
        try:
            while groups and step is patience.Step.ASK:
                asked = asker.pick(groups[0], _count_asked(work))
                groups = _leave_out(groups, asked)
                work.asked += len(asked)
                offers = await asker.ask_some(asked)
                if best is not None:
                    offers.append(best)
                offers.sort(key=asking.rank_offer)
                best = offers[0] if offers else None
                asker.give_back(offers[1:])
                more = bool(groups) and work.asked < stop_at
                step = self._decide(work, usual, best, more, may_be_late)
        except BaseException:
            if best is not None:
                asker.give_back([best])
            raise
        if step is patience.Step.TAKE:
            return step, best
        if best is not None:
            asker.give_back([best])
        return step, None

    def _decide(
        self,
        work: works.Work,
        usual: float,
        best: asking.Offer | None,
        unasked: bool,
        may_be_late: bool,
    ) -> patience.Step:
        """Returns what to do with the best offer so far."""
        return patience.decide(
            self._loop.time(),
            usual,
            None if best is None else best.prospect,
            work.objective_at,
            work.deadline,
            unasked,
            may_be_late,
            self._asker.has_fast(work.service),
        )


def _count_asked(work: works.Work) -> int:
    """Returns how many targets are asked next for a request."""
    return ASKED_AT_ONCE if work.asked else ASKED_FIRST


def _conclude(
    work: works.Work, step: patience.Step, offer: asking.Offer | None
) -> asking.Offer | outcomes.Failure:
    """Returns the offer to take, or the failure of a request without one."""
    if step is patience.Step.TAKE and offer is not None:
        return offer
    return work.fail(outcomes.Reason.DEADLINE_UNREACHABLE)


def _leave_out(
    groups: list[list[knowledge.TargetRow]], asked: list[knowledge.TargetRow]
) -> list[list[knowledge.TargetRow]]:
    """Returns groups of targets without those that were asked."""
    first = [row for row in groups[0] if row not in asked]
    return [first, *groups[1:]] if first else groups[1:]
