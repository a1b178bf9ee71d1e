"""Runs one policy against fakes in virtual time.

An event heap moves the clock; nothing here sleeps or reads a real clock, so
that the same seed gives the same figures on any machine.
"""

from collections.abc import Callable
import heapq
import itertools
import random
from typing import Any, Final

from wigeonspool.core import actions
from wigeonspool.core import tables
from wigeonspool.load import carrier as carriers
from wigeonspool.load import experiment as experiments
from wigeonspool.load import fakes
from wigeonspool.load import parties
from wigeonspool.load import servers
from wigeonspool.load import tally as tallies
from wigeonspool.model import outcomes

UNBOUNDED_SLOTS: Final = 1_000_000
GIVE_UP_SECONDS: Final = 60.0


class Harness:
    """One run of one policy."""

    def __init__(
        self,
        experiment: experiments.Experiment,
        fleet: parties.Fleet,
        seed: int,
        slots: int = 0,
    ) -> None:
        """Prepares the run.

        Args:
            experiment: What happens.
            fleet: The policy under test.
            seed: Seed of arrivals, service times and callers' choices.
            slots: Slots of each target; 0 takes the experiment's.
        """
        self._experiment = experiment
        self._fleet = fleet
        self._arrivals = random.Random(seed)
        self._spread = random.Random(seed + 1)
        self._heap: list[tuple[float, int, Callable[..., None], Any]] = []
        self._order = itertools.count()
        self._ids = itertools.count(1)
        self._jobs: dict[int, parties.Job] = {}
        self.tally = tallies.Tally(experiment)
        self._network = fakes.FakeNetwork(experiment)
        self._network.is_counting = self.tally.is_measured
        self._carrier = carriers.Carrier(
            self._push,
            self._deliver,
            seed + 3,
            fleet.deciders,
            fleet.keeps_deadlines,
        )
        self._servers = servers.Servers(
            experiment,
            self._network,
            self._push,
            self._carrier.deliver,
            seed + 2,
            slots or experiment.targets.slots,
        )
        self._gateways = {g.name: g for g in parties.list_gateways(experiment)}
        self._lost: set[str] = set()
        self._kept: dict[tuple[str, int], list[tuple[str, float]]] = {}
        self._received = dict.fromkeys(self._gateways, 0)

    def run(self) -> tallies.Tally:
        """Runs the experiment to its end and returns what was measured."""
        self._schedule_start()
        heap = self._heap
        give_up_at = self._experiment.seconds + GIVE_UP_SECONDS
        while heap and heap[0][0] < give_up_at:
            now, _, act, what = heapq.heappop(heap)
            act(now, what)
        for job in list(self._jobs.values()):
            self._end(
                1e9, job, outcomes.build_unknown(outcomes.Reason.IN_PROGRESS)
            )
        self.tally.attempts = self._servers.attempts
        self.tally.measuring_bytes = self._servers.measuring_bytes
        self.tally.by_target = self._servers.begun
        self.tally.crashes = self._servers.crashes
        self.tally.suspected = self._carrier.suspected
        self.tally.silence_found_ms = self._carrier.found_seconds * 1000
        self.tally.total_bytes = self._network.total_bytes
        self.tally.cross_region_bytes = self._network.cross_region_bytes
        return self.tally

    def _schedule_start(self) -> None:
        """Puts the first event of each kind onto the heap."""
        gateways = self._experiment.gateways
        for index, name in enumerate(self._fleet.deciders):
            offset = gateways.tick_ms / 1000 * index / len(self._gateways)
            self._push(offset, self._tick, name)
        for group in range(self._experiment.caller_groups):
            life = self._experiment.answer_seconds
            at = life * group / self._experiment.caller_groups
            for zone in self._experiment.zones:
                self._ask(0.0, (zone.name, group, False))
                self._push(at, self._ask, (zone.name, group, True))
        self._push(gateways.beat_ms / 1000, self._beat, None)
        self._push(0.0, self._arrive, None)
        for fault in self._experiment.faults:
            self._push(fault.at_s, self._begin_fault, fault)
            self._push(fault.until_s, self._servers.end_fault, fault)
        if (resends := self._experiment.resends) is not None:
            for at in resends.list_times():
                self._push(at, self._resend, resends.work)

    def _push(self, at: float, act: Callable[..., None], what: Any) -> None:
        """Plans an event."""
        if at < 1e9:
            heapq.heappush(self._heap, (at, next(self._order), act, what))

    def _tick(self, now: float, name: str) -> None:
        """Ticks one gateway."""
        if name not in self._lost:
            self._execute(now, name, self._fleet.deciders[name].tick(now))
        if now < self._experiment.seconds or self._jobs:
            step = self._experiment.gateways.tick_ms / 1000
            self._push(now + step, self._tick, name)

    def _beat(self, now: float, _: None) -> None:
        """Gives every gateway the digests of demand."""
        step = self._experiment.gateways.beat_ms / 1000
        live = [name for name in self._gateways if name not in self._lost]
        demand = {name: self._received[name] / step for name in live}
        self._fleet.take_beat(now, demand, live)
        self._received = dict.fromkeys(self._gateways, 0)
        if now < self._experiment.seconds or self._jobs:
            self._push(now + step, self._beat, None)

    def _ask(self, now: float, what: tuple[str, int, bool]) -> None:
        """Renews the kept address answer of a group of callers."""
        zone, group, again = what
        self._kept[(zone, group)] = self._fleet.name_gateways(zone)
        if again and now < self._experiment.seconds:
            at = now + self._experiment.answer_seconds
            self._push(at, self._ask, what)

    def _arrive(self, now: float, _: None) -> None:
        """Sends the next request of a caller."""
        experiment = self._experiment
        if now >= experiment.seconds:
            return
        rng = self._arrivals
        works = experiment.works
        work = rng.choices(works, [w.share for w in works])[0]
        service = work.service_ms / 1000
        if work.spread == "exponential":
            service = rng.expovariate(1 / service)
        self._offer(now, work, service, rng)
        rate = experiment.compute_capacity() * experiment.find_load(now)
        self._push(now + rng.expovariate(rate), self._arrive, None)

    def _resend(self, now: float, work: experiments.Work) -> None:
        """Sends once more what its caller sends again and again."""
        self._offer(now, work, work.service_ms / 1000, self._spread)

    def _offer(
        self,
        now: float,
        work: experiments.Work,
        service: float,
        rng: random.Random,
    ) -> None:
        """Sends a request of a caller in a zone drawn by chance."""
        zone = rng.choice(self._experiment.zones).name
        deadline = now + work.deadline_ms / 1000
        job = parties.Job(next(self._ids), work, zone, service, now, deadline)
        self._jobs[job.request_id] = job
        self.tally.record_offer(job)
        self._call(now, job)

    def _call(self, now: float, job: parties.Job) -> None:
        """Sends a request to a gateway that its caller was told."""
        group = job.request_id % self._experiment.caller_groups
        named = self._kept[(job.zone, group)]
        weights = [weight for _, weight in named]
        job.gateway = self._spread.choices([n for n, _ in named], weights)[0]
        zone = self._gateways[job.gateway].zone
        size = job.work.request_bytes
        at = self._network.carry(now, job.zone, zone, size, caller=True)
        self._push(at, self._receive, job)

    def _receive(self, now: float, job: parties.Job) -> None:
        """Takes a request at its gateway."""
        if job.gateway in self._lost:
            # The connection is refused, so the caller asks anew.
            group = job.request_id % self._experiment.caller_groups
            self._ask(now, (job.zone, group, False))
            self._call(now + self._experiment.links.caller_ms / 1000, job)
            return
        self._received[job.gateway] += 1
        zone = self._gateways[job.gateway].zone
        back = self._network.carry(now, zone, job.zone, 0, caller=True) - now
        deadline = job.deadline - back
        row = tables.RequestRow(
            job.request_id,
            parties.POOL,
            job.work.name,
            deadline,
            job.work.idempotent,
            job.work.priority,
            job.work.fingerprint,
        )
        if self._fleet.keeps_deadlines:
            self._push(deadline, self._expire, job)
        decider = self._fleet.deciders[job.gateway]
        self._execute(now, job.gateway, decider.submit(now, row))

    def _expire(self, now: float, job: parties.Job) -> None:
        """Gives up on a request at its deadline."""
        if job.ended or job.gateway in self._lost:
            return
        running = job.attempt is not None
        decider = self._fleet.deciders[job.gateway]
        done = decider.cancel(now, job.request_id)
        reason = outcomes.Reason.DEADLINE_PASSED
        ran = running or job.runs
        failure = (
            outcomes.build_unknown(reason)
            if ran
            else outcomes.build_refusal(reason)
        )
        self._execute(now, job.gateway, done)
        self._settle(now, job, failure)

    def _execute(
        self, now: float, name: str, done: list[actions.Action]
    ) -> None:
        """Performs the actions of a gateway."""
        for action in done:
            job = self._jobs.get(action.request_id)
            if job is None or job.ended:
                continue
            if isinstance(action, actions.Send):
                self._send(now, name, job, action.target)
            elif isinstance(action, actions.Settle):
                self._settle(now, job, action.failure)
            elif job.attempt is not None:
                zone = self._gateways[name].zone
                self._carrier.drop(job.attempt)
                self._servers.cancel(now, job.attempt, zone)

    def _send(
        self, now: float, name: str, job: parties.Job, target: str
    ) -> None:
        """Sends an attempt to a target."""
        keeps = self._fleet.keeps_deadlines
        deadline = job.deadline if keeps else float("inf")
        job.attempt = fakes.Attempt(
            job.request_id, name, target, job.service, deadline
        )
        zone = self._gateways[name].zone
        self.tally.record_attempt(now, job, self._servers.has_fault(target))
        self._carrier.send(now, job, zone, self._servers)

    def _deliver(
        self, now: float, attempt: fakes.Attempt, result: tables.Result
    ) -> None:
        """Takes the result of an attempt at its gateway."""
        job = self._jobs.get(attempt.request_id)
        if attempt.gateway in self._lost or job is None or job.ended:
            return
        if job.attempt is attempt:
            job.attempt = None
        job.failed = result.kind is tables.ResultKind.FAILED
        decider = self._fleet.deciders[attempt.gateway]
        done = decider.handle_result(
            now, job.request_id, attempt.target, result
        )
        self._execute(now, attempt.gateway, done)
        if result.crashed:
            step = self._experiment.gateways.tell_ms / 1000
            tell = self._fleet.share_suspects
            self._push(now + step, lambda at, _: tell(at), None)

    def _settle(
        self, now: float, job: parties.Job, failure: outcomes.Failure | None
    ) -> None:
        """Tells a caller how its request ended."""
        job.ended = True
        zone = self._gateways[job.gateway].zone
        size = job.work.answer_bytes if failure is None else 1
        at = self._network.carry(now, zone, job.zone, size, caller=True)
        self._end(at, job, failure)

    def _end(
        self, at: float, job: parties.Job, failure: outcomes.Failure | None
    ) -> None:
        """Counts how a request ended for its caller."""
        job.ended = True
        del self._jobs[job.request_id]
        self.tally.record_end(at, job, failure)

    def _begin_fault(self, now: float, fault: experiments.Fault) -> None:
        """Begins a fault at its targets, and at gateways of a lost zone."""
        changed = self._servers.begin_fault(now, fault)
        if fault.kind == "silent":
            self._carrier.silence(now, fault, changed)
        if fault.kind == "drain":
            at = now + fault.listed_after_s
            tell = self._fleet.mark_leaving
            self._push(at, lambda _, leaving: tell(leaving), changed)
        if fault.kind != "lost" or not fault.zone:
            return
        for gateway in self._gateways.values():
            if gateway.zone == fault.zone:
                self._lost.add(gateway.name)
        cut = outcomes.build_unknown(outcomes.Reason.CONNECTION_LOST)
        for job in list(self._jobs.values()):
            if job.gateway in self._lost and job.attempt is not None:
                self._end(now, job, cut)
