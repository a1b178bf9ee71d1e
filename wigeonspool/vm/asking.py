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

from wigeonspool.core import estimates
from wigeonspool.core import knowledge
from wigeonspool.core import occupancy
from wigeonspool.core import patience
from wigeonspool.model import border
from wigeonspool.model import fleet
from wigeonspool.vm import channels
from wigeonspool.vm import journal
from wigeonspool.vm import reach

# A health check takes a round trip and a millisecond; with a new connection,
# two round trips. Beyond this the target is not fit for work now.
NEAR_SECONDS: Final = 0.05
REMOTE_SECONDS: Final = 0.15
# Once one has answered, others may take this much longer.
PATIENCE_SECONDS: Final = 0.004
# Until a service is configured; the path that the platform's pages show.
DEFAULT_HEALTH_PATH: Final = "/health"
# Targets change their pace within this time; where none was fast meanwhile,
# none will be soon.
FAST_SECONDS: Final = 0.3
# A target that failed this much more often than half of its service, by one
# recent failure, is asked last.
DOUBTFUL_FAULTS: Final = 1.0
# Failures change over seconds, so what is typical is not counted each time.
TYPICAL_SECONDS: Final = 0.1

log = journal.open_part("targets")


@dataclasses.dataclass(slots=True)
class Offer:
    """A target that answered a health check just now.

    Attributes:
        row: The target.
        channel: Connection that it answered on.
        prospect: How soon it would answer, and what speaks against it.
        report: What it told.
    """

    row: knowledge.TargetRow
    channel: channels.Channel
    prospect: patience.Prospect
    report: border.LoadReport


@dataclasses.dataclass(slots=True)
class AskCounts:
    """What asking cost so far.

    Attributes:
        asked: Health checks sent.
        answered: Health checks answered.
        silent: Kept connections that did not answer.
    """

    asked: int = 0
    answered: int = 0
    silent: int = 0


class Asker:
    """Asks targets, and offers the best of those that answer.

    Attributes:
        counts: What it cost.
    """

    def __init__(
        self,
        pool: channels.ChannelPool,
        known: knowledge.Knowledge,
        words: border.Border,
        place: reach.Place,
    ) -> None:
        """Prepares an asker.

        Args:
            pool: Connections to targets.
            known: What is known of targets.
            words: Protocol of the targets.
            place: Where this VM is.
        """
        self.counts = AskCounts()
        self._pool = pool
        self._known = known
        self._words = words
        self._place = place
        self._loop = asyncio.get_running_loop()
        self._random = random.Random()
        self._last_slots = occupancy.LastSlots()
        self._fast_until: dict[str, float] = {}
        self._typical: dict[str, tuple[float, float]] = {}

    def list_candidates(
        self, service: str, avoided: Collection[str], large: bool
    ) -> list[list[knowledge.TargetRow]]:
        """Returns the targets that may get work, in groups, nearest first.

        Args:
            service: Service that must run the work.
            avoided: Identities of targets to leave out.
            large: True if bytes between zones weigh more than load.
        """
        now = self._loop.time()
        groups: list[list[knowledge.TargetRow]] = [[], [], []]
        for row in self._known.list_targets(service):
            if row.entry.state is not fleet.TargetState.SERVING:
                continue
            if row.entry.identity in avoided or row.health.out_until > now:
                continue
            distance = self._place.measure(row.entry.zone)
            if distance is reach.Distance.ZONE and not large:
                distance = reach.Distance.REGION
            groups[distance.value].append(row)
        return [group for group in groups if group]

    def pick(
        self, group: list[knowledge.TargetRow], count: int
    ) -> list[knowledge.TargetRow]:
        """Returns some targets of a group at random.

        Those with fewer recent failures go first.
        """
        now = self._loop.time()
        picked = self._random.sample(group, min(len(group), 2 * count))
        picked.sort(key=lambda row: self._is_doubtful(row, now))
        return picked[:count]

    def _is_doubtful(self, row: knowledge.TargetRow, now: float) -> bool:
        """Returns True if a target fails more than others of its service."""
        typical = self._find_typical_faults(row.entry.service, now)
        faults = estimates.read_faults(row.health, now)
        return faults > typical + DOUBTFUL_FAULTS

    async def ask_some(self, rows: list[knowledge.TargetRow]) -> list[Offer]:
        """Returns the offers of those targets that answer soon, best first."""
        tasks = [self._loop.create_task(self._ask(row)) for row in rows]
        offers: list[Offer] = []
        give_up_at: float | None = None
        waiting: set[asyncio.Task[Offer | None]] = set(tasks)
        try:
            while waiting:
                seconds = None
                if give_up_at is not None:
                    seconds = max(0.0, give_up_at - self._loop.time())
                done, waiting = await asyncio.wait(
                    waiting,
                    timeout=seconds,
                    return_when=asyncio.FIRST_COMPLETED,
                )
                if not done:
                    break
                ended = [task for task in tasks if task in done]
                offers += [o for task in ended if (o := task.result())]
                if offers and give_up_at is None:
                    give_up_at = self._loop.time() + PATIENCE_SECONDS
        except BaseException:
            self.give_back(offers)
            for task in waiting:
                task.add_done_callback(_give_back_late)
            raise
        for task in waiting:
            task.add_done_callback(_give_back_late)
        offers.sort(key=rank_offer)
        return offers

    def has_fast(self, service: str) -> bool:
        """Returns True if some target of a service was fast lately."""
        return self._fast_until.get(service, 0.0) > self._loop.time()

    def learn_last_slot(
        self, service: str, seconds: float, usual: float, offer: Offer
    ) -> None:
        """Takes the time of an answer, if it tells of a target's last slot.

        Args:
            service: Service of the target.
            seconds: How long the answer took.
            usual: How long it takes where slots are free.
            offer: Offer of the target.
        """
        report = offer.report
        slots = report.slots or offer.row.entry.slots
        is_last = occupancy.takes_last_slot(
            report.running, report.waiting, slots
        )
        if is_last and report.pace <= occupancy.USUAL_PACE:
            self._last_slots.learn(service, seconds, usual)

    def give_back(self, offers: list[Offer]) -> None:
        """Gives back the connections of offers that are not taken."""
        for offer in offers:
            offer.channel.release()

    async def is_reachable(self, address: str) -> bool:
        """Returns True if a target takes a connection."""
        try:
            channel = await self._pool.open(address)
        except OSError:
            return False
        channel.release()
        return True

    async def _ask(self, row: knowledge.TargetRow) -> Offer | None:
        """Asks one target; returns None unless it is fit for work."""
        remote = self._place.measure(row.entry.zone) is reach.Distance.REMOTE
        seconds = REMOTE_SECONDS if remote else NEAR_SECONDS
        address = row.entry.address
        channel = self._pool.take(address)
        if channel is not None:
            offer = await self._ask_over(row, channel, seconds)
            if offer is not None or channel.protocol.is_connected():
                return offer
            self.counts.silent += 1
            self._pool.drop(address)
        try:
            channel = await self._pool.open(address)
        except OSError:
            estimates.note_unreachable(row.health, self._loop.time())
            return None
        offer = await self._ask_over(row, channel, seconds)
        if offer is None and not channel.protocol.is_connected():
            estimates.note_unreachable(row.health, self._loop.time())
        return offer

    async def _ask_over(
        self,
        row: knowledge.TargetRow,
        channel: channels.Channel,
        seconds: float,
    ) -> Offer | None:
        """Asks over one connection, which is closed unless it is offered."""
        asked_at = self._loop.time()
        self.counts.asked += 1
        try:
            async with asyncio.timeout(seconds):
                report = await self._exchange(row, channel)
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
            estimates.note_unreachable(row.health, self._loop.time())
            return None
        estimates.note_reachable(row.health)
        prospect = self._weigh(row, report, asked_at)
        return Offer(row, channel, prospect, report)

    async def _exchange(
        self, row: knowledge.TargetRow, channel: channels.Channel
    ) -> border.LoadReport | None:
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
                report = self._words.read_report(message.code, message.headers)
                # Any other answer came late and belongs to an earlier request.
                if report.slots or report.identity:
                    break
        except http.HttpProcessingError as error:
            raise aiohttp.ClientPayloadError(repr(error)) from error
        if not channels.note_keep_alive(channel, message.headers):
            return None
        return report

    def _find_health_path(self, service: str) -> str:
        """Returns the path at which the targets of a service tell of load."""
        configuration = self._known.configuration
        if configuration is None or service not in configuration.services:
            return DEFAULT_HEALTH_PATH
        return configuration.services[service].health_path

    def _weigh(
        self,
        row: knowledge.TargetRow,
        report: border.LoadReport,
        asked_at: float,
    ) -> patience.Prospect:
        """Returns how a target looks, by its report and by its past."""
        now = self._loop.time()
        health = row.health
        running = report.running + estimates.count_claims(health, asked_at)
        slots = report.slots or row.entry.slots
        last_slot = self._last_slots.find(row.entry.service)
        stretch = estimates.estimate_stretch(
            running, report.waiting, slots, report.pace, last_slot
        )
        full = occupancy.is_full(running, report.waiting, slots, last_slot)
        if row.cold_until > now:
            stretch *= estimates.COLD_COST
        faults = estimates.read_faults(health, now)
        faults -= self._find_typical_faults(row.entry.service, now)
        cost = stretch * (1.0 + estimates.FAULT_COST * max(0.0, faults))
        if row.doubted_until or not report.healthy:
            cost *= estimates.ILL_COST
        if report.pace <= occupancy.USUAL_PACE:
            self._fast_until[row.entry.service] = now + FAST_SECONDS
        return patience.Prospect(stretch, cost, full)

    def _find_typical_faults(self, service: str, now: float) -> float:
        """Returns how much the targets of a service fail alike just now."""
        typical, until = self._typical.get(service, (0.0, now))
        if now < until:
            return typical
        rows = self._known.list_targets(service)
        typical = estimates.find_typical_faults((r.health for r in rows), now)
        self._typical[service] = (typical, now + TYPICAL_SECONDS)
        return typical


def rank_offer(offer: Offer) -> tuple[bool, float]:
    """Returns what offers are sorted by, the best first."""
    return offer.prospect.full, offer.prospect.cost


def _give_back_late(task: asyncio.Task[Offer | None]) -> None:
    """Gives back the connection of an offer that came too late."""
    if task.cancelled():
        return
    error = task.exception()
    if error is not None:
        log.opt(exception=error).error("a health check failed")
        return
    offer = task.result()
    if offer is not None:
        offer.channel.release()
