"""Chooses the target of a request by what targets tell at that moment."""

import asyncio
from typing import Final

from wigeonspool.core import knowledge
from wigeonspool.core import patience
from wigeonspool.model import outcomes
from wigeonspool.vm import asking
from wigeonspool.vm import work as works

# Targets asked for one request at a time.
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
        self._loop = asyncio.get_running_loop()

    def find_usual(self, work: works.Work) -> float:
        """Returns how long a request takes at the usual pace, in seconds."""
        return self.times.find(work.kind, work.rule.objective_seconds)

    def learn(
        self, work: works.Work, seconds: float, offer: asking.Offer
    ) -> None:
        """Takes how long an answer took from the target of an offer."""
        self.times.learn(work.kind, seconds, offer.prospect.stretch)

    async def choose(self, work: works.Work) -> asking.Offer | outcomes.Failure:
        """Returns the target to send a request to."""
        usual = self.find_usual(work)
        while True:
            offer, step = await self._ask_all(work, usual)
            if step is patience.Step.TAKE and offer is not None:
                return offer
            if offer is not None:
                self._asker.give_back([offer])
            if step is patience.Step.REFUSE:
                return work.fail(outcomes.Reason.DEADLINE_UNREACHABLE)
            await asyncio.sleep(ASK_AGAIN_SECONDS)

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
        if offers and offers[0].prospect.cost <= patience.GOOD_STRETCH:
            return offers[0]
        asker.give_back(offers[:1])
        return None

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


def _leave_out(
    groups: list[list[knowledge.TargetRow]], asked: list[knowledge.TargetRow]
) -> list[list[knowledge.TargetRow]]:
    """Returns groups of targets without those that were asked."""
    first = [row for row in groups[0] if row not in asked]
    return [first, *groups[1:]] if first else groups[1:]
