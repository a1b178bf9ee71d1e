"""Load patterns in which a service cannot serve all requests, in virtual time.

Kinds of requests differ in priority, length and objective. Targets that are
full reject requests, reset their connections, or never respond.
"""

import asyncio
import collections
import dataclasses
import math
import random
from typing import Any, Final

from wigeonspool.core import cluster_state
from wigeonspool.load import emulated_targets
from wigeonspool.load import emulation
from wigeonspool.load import virtual_loop
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.vm import request_context

# Value of a late response, as a fraction of that of one in time.
LATE_VALUE: Final = 0.1
# A refusal after this fraction of the objective is late: its caller could have
# used that time elsewhere.
LATE_REFUSAL_RATIO: Final = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Kind:
    """A kind of requests; times are in seconds.

    Attributes:
        name: Its name.
        priority: Its priority; 0 is the most urgent.
        share: Its fraction of all requests.
        work: Median service time.
        objective: Latency objective.
        limit: Time limit.
        idempotent: True if a request may run more than once.
        value: Value of a response within the objective.
    """

    name: str
    priority: int
    share: float
    work: float
    objective: float
    limit: float
    idempotent: bool
    value: float


@dataclasses.dataclass(frozen=True, slots=True)
class Step:
    """A load step.

    Attributes:
        load: Demand as a fraction of the capacity, without boosts.
        seconds: Duration.
        boosts: Factors of the demand of some kinds.
    """

    load: float
    seconds: float
    boosts: dict[str, float] = dataclasses.field(default_factory=dict)


@dataclasses.dataclass(frozen=True, slots=True)
class Pattern:
    """A load pattern.

    Attributes:
        kinds: Kinds of requests.
        steps: Load steps, in order.
        outage_share: Fraction of the targets that leave for a time.
        outage_at: Begin of that time, from the begin of the emulation.
        outage_seconds: Length of that time.
        resends: How often a caller sends a refused request again.
        resend_seconds: Time until it does.
        silent: True if a target that is full never responds to a request;
            otherwise it rejects the request.
        resets: True if a target that is full resets the connection, so that
            nothing proves that the request did not run.
    """

    kinds: tuple[Kind, ...]
    steps: tuple[Step, ...]
    outage_share: float = 0.0
    outage_at: float = 0.0
    outage_seconds: float = 0.0
    resends: int = 1
    resend_seconds: float = 0.06
    silent: bool = False
    resets: bool = False


@dataclasses.dataclass(slots=True)
class KindCounts:
    """Counts of the requests of one kind.

    Attributes:
        offered: Requests of callers.
        in_time: Requests with a response within the objective.
        late: Requests with a response after it.
        refused: Requests that ended as not run.
        unknown: Requests that may have run and have no response.
        late_refusals: Submissions that were refused late.
        seconds: Sum of the times until a response, in seconds.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    unknown: int = 0
    late_refusals: int = 0
    seconds: float = 0.0

    @property
    def in_time_share(self) -> float:
        """Fraction of the requests with a response within the objective."""
        return self.in_time / max(1, self.offered)


@dataclasses.dataclass(slots=True)
class PatternResult:
    """Result of a load pattern.

    Attributes:
        kinds: Counts by name of the kind.
        steps: Counts by index of the load step.
        value: Value of all responses, as a fraction of the offered value.
        sent: Attempts that reached targets.
        rejected: Attempts for which their target had no room.
        health_checks: Health checks sent.
        most_runs: Largest number of targets that ran the same non-idempotent
            request.
    """

    kinds: dict[str, KindCounts]
    steps: dict[int, KindCounts]
    value: float
    sent: int
    rejected: int
    health_checks: int
    most_runs: int


class FullTarget(emulated_targets.EmulatedTarget):
    """A target that rejects requests while it is full.

    Attributes:
        sent: Attempts that reached it.
        rejected: Attempts for which it had no room.
    """

    def __init__(
        self,
        settings: emulated_targets.EmulationSettings,
        rng: random.Random,
        pattern: Pattern,
    ) -> None:
        """Creates an idle target on the running event loop."""
        super().__init__(settings, rng)
        self.sent = 0
        self.rejected = 0
        self._pattern = pattern

    async def run(
        self, service_seconds: float, deadline: float
    ) -> request_context.AttemptOutcome:
        """Runs a request; one without room is rejected or not answered."""
        self.sent += 1
        if self._slots.locked() and self.waiting >= self._settings.queue:
            self.rejected += 1
            if self._pattern.silent:
                await asyncio.Event().wait()
            if self._pattern.resets:
                return request_context.AttemptOutcome.UNKNOWN
            return request_context.AttemptOutcome.NOT_RUN
        return await super().run(service_seconds, deadline)


class PatternEmulation(emulation.Emulation):
    """Entry VMs, targets and callers of one load pattern."""

    def __init__(
        self,
        settings: emulated_targets.EmulationSettings,
        pattern: Pattern,
        seed: int,
    ) -> None:
        """Creates the VMs and targets on the running event loop.

        Args:
            settings: Settings of the emulation.
            pattern: Load pattern.
            seed: Seed of all random choices.
        """
        super().__init__(settings, seed, idempotent=True)
        self._pattern = pattern
        self.full_targets = [
            FullTarget(settings, random.Random(f"{seed}/{name}"), pattern)
            for name in self.targets
        ]
        self.targets.update(
            zip(list(self.targets), self.full_targets, strict=True)
        )
        self._kind_rules = {
            kind.name: fleet.Rule(
                name=kind.name,
                prefix=f"/{kind.name}/",
                weighted_services=(
                    fleet.WeightedService(emulation.SERVICE, 1.0),
                ),
                idempotent=kind.idempotent,
                large_responses=False,
                objective_seconds=kind.objective,
                limit_seconds=kind.limit,
                max_targets=2,
                priority=kind.priority,
            )
            for kind in pattern.kinds
        }
        self.kind_counts: dict[str, KindCounts] = collections.defaultdict(
            KindCounts
        )
        self.step_counts: dict[int, KindCounts] = collections.defaultdict(
            KindCounts
        )
        self.most_runs = 0
        self._revision = 1

    async def run_pattern(self) -> None:
        """Sends the load of all steps and waits until all requests ended."""
        outage = self._loop.create_task(self._run_outage())
        for index, step in enumerate(self._pattern.steps):
            await self._send_step(step, index)
        await asyncio.sleep(
            (1 + self._pattern.resends)
            * max(kind.limit for kind in self._pattern.kinds)
        )
        await outage

    def build_result(self) -> PatternResult:
        """Returns the result of the pattern."""
        value = offered = 0.0
        for kind in self._pattern.kinds:
            counts = self.kind_counts[kind.name]
            value += kind.value * (counts.in_time + LATE_VALUE * counts.late)
            offered += kind.value * counts.offered
        return PatternResult(
            dict(self.kind_counts),
            dict(self.step_counts),
            value / max(1.0, offered),
            sum(target.sent for target in self.full_targets),
            sum(target.rejected for target in self.full_targets),
            sum(vm[0]._prober.counts.sent for vm in self._vms),
            self.most_runs,
        )

    async def _run_outage(self) -> None:
        """Lets some targets leave, and return at the end of the outage."""
        pattern = self._pattern
        if not pattern.outage_share:
            return
        names = list(self.targets)
        names = names[: round(len(names) * pattern.outage_share)]
        await asyncio.sleep(pattern.outage_at)
        self._set_state(names, fleet.TargetState.DRAINING)
        await asyncio.sleep(pattern.outage_seconds)
        self._set_state(names, fleet.TargetState.SERVING)

    def _set_state(self, names: list[str], state: fleet.TargetState) -> None:
        """Sets the state of some targets at all VMs."""
        self._revision += 1
        for runner, _ in self._vms:
            for name in names:
                entry = runner._cluster.targets[name].entry
                entry = dataclasses.replace(entry, state=state)
                change = cluster_state.TargetChange(name, entry)
                runner._cluster.apply(
                    self._loop.time(), name, self._revision, change
                )

    async def _send_step(self, step: Step, index: int) -> None:
        """Sends the requests of a load step at random times."""
        kinds = self._pattern.kinds
        capacity = compute_capacity(self._settings, kinds)
        rates = [
            step.load * capacity * kind.share * step.boosts.get(kind.name, 1.0)
            for kind in kinds
        ]
        until = self._loop.time() + step.seconds
        while True:
            gap = self._rng.expovariate(sum(rates))
            if self._loop.time() + gap >= until:
                break
            await asyncio.sleep(gap)
            (kind,) = self._rng.choices(kinds, rates)
            task = self._loop.create_task(self._send_kind(kind, index))
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)

    async def _send_kind(self, kind: Kind, step: int) -> None:
        """Sends one request of a caller, and again if it is refused."""
        counts = [self.kind_counts[kind.name], self.step_counts[step]]
        settings = self._settings
        seconds = kind.work * self._rng.lognormvariate(0.0, settings.spread)
        vms = self._rng.sample(
            range(len(self._vms)),
            min(len(self._vms), 1 + self._pattern.resends),
        )
        first_sent_at = self._loop.time()
        result: Any = None
        for index in vms:
            sent_at = self._loop.time()
            result = await self._submit_kind(
                index, kind, first_sent_at, seconds
            )
            is_refused = (
                isinstance(result, outcomes.Failure)
                and result.outcome is outcomes.Outcome.NOT_RUN
            )
            waited = self._loop.time() - sent_at
            if not is_refused:
                break
            if waited > LATE_REFUSAL_RATIO * kind.objective:
                for count in counts:
                    count.late_refusals += 1
            if self._loop.time() >= first_sent_at + kind.limit:
                break
            await asyncio.sleep(self._pattern.resend_seconds)
        elapsed = self._loop.time() - first_sent_at
        for count in counts:
            self._count_kind(count, kind, result, elapsed)

    def _count_kind(
        self, counts: KindCounts, kind: Kind, result: Any, seconds: float
    ) -> None:
        """Counts a request that has ended."""
        counts.offered += 1
        if isinstance(result, outcomes.Failure):
            if result.outcome is outcomes.Outcome.NOT_RUN:
                counts.refused += 1
            else:
                counts.unknown += 1
            return
        if result.outcome is not request_context.AttemptOutcome.ANSWERED:
            counts.unknown += 1
            return
        counts.seconds += seconds
        if seconds <= kind.objective:
            counts.in_time += 1
        else:
            counts.late += 1

    async def _submit_kind(
        self, index: int, kind: Kind, first_sent_at: float, seconds: float
    ) -> Any:
        """Submits a request to one VM and returns its result."""
        runner, sender = self._vms[index]
        now = self._loop.time()
        self._submission_count += 1
        request: Any = None
        context = request_context.RequestContext(
            request,
            f"a-{self._submission_count}",
            self._kind_rules[kind.name],
            emulation.SERVICE,
            b"",
            True,
            self._submission_count,
            now,
            first_sent_at + kind.objective,
            first_sent_at + kind.limit,
        )
        sender.service_seconds[context.identity] = seconds
        result: Any
        if now >= context.deadline:
            return context.build_failure(outcomes.Reason.DEADLINE_PASSED)
        try:
            async with asyncio.timeout_at(context.deadline):
                result = await runner.run(context)
        except TimeoutError:
            result = context.build_failure(outcomes.Reason.DEADLINE_PASSED)
        runs = sender.runs.pop(context.identity, 0)
        if not kind.idempotent:
            self.most_runs = max(self.most_runs, runs)
        return result


def compute_capacity(
    settings: emulated_targets.EmulationSettings, kinds: tuple[Kind, ...]
) -> float:
    """Returns the requests per second that the fast targets can serve.

    The last slot of each target is left free if its use slows work down.
    """
    slots = settings.slots - (1 if settings.full_factor > 1 else 0)
    shares = sum(kind.share for kind in kinds)
    mean = sum(kind.share * kind.work for kind in kinds) / shares
    mean *= math.exp(settings.spread**2 / 2)
    return settings.targets * (1 - settings.slow_share) * slots / mean


def run_pattern(
    settings: emulated_targets.EmulationSettings, pattern: Pattern, seed: int
) -> PatternResult:
    """Runs a load pattern in virtual time and returns its result.

    Args:
        settings: Settings of the targets and VMs.
        pattern: Load pattern.
        seed: Seed of all random choices.
    """

    async def run() -> PatternResult:
        """Runs the pattern and returns its result."""
        pattern_emulation = PatternEmulation(settings, pattern, seed)
        await pattern_emulation.run_pattern()
        return pattern_emulation.build_result()

    return virtual_loop.run(run())


URGENT: Final = Kind("urgent", 0, 0.3, 0.12, 0.4, 1.2, False, 4.0)
USUAL: Final = Kind("usual", 1, 0.5, 0.15, 0.6, 1.5, True, 2.0)
LONG: Final = Kind("long", 2, 0.2, 0.45, 2.0, 4.0, True, 1.0)
KINDS: Final = (URGENT, USUAL, LONG)

# A sixth of the slots beyond the capacity of the fast targets is not used.
SETTINGS: Final = emulated_targets.EmulationSettings(
    targets=24,
    queue=0,
    slow_share=0.25,
    full_factor=1.7,
    long_share=0.0,
)

PATTERNS: Final = {
    "calm": Pattern(KINDS, (Step(0.5, 6.0),)),
    "peak": Pattern(KINDS, (Step(0.6, 1.0), Step(1.5, 4.0), Step(0.6, 2.0))),
    "peak-resets": Pattern(
        KINDS, (Step(0.6, 1.0), Step(1.5, 4.0), Step(0.6, 2.0)), resets=True
    ),
    "peak-silent": Pattern(
        KINDS, (Step(0.6, 1.0), Step(1.5, 4.0), Step(0.6, 2.0)), silent=True
    ),
    "long-before-urgent": Pattern(
        KINDS,
        (
            Step(0.6, 1.0),
            Step(0.6, 0.5, {"long": 9.0}),
            Step(0.6, 1.0, {"urgent": 3.0}),
            Step(0.6, 2.0),
        ),
    ),
    "hot-account": Pattern(
        KINDS,
        (Step(0.6, 1.0), Step(0.6, 4.0, {"usual": 6.0}), Step(0.6, 2.0)),
    ),
    "immediate-resends": Pattern(
        KINDS,
        (Step(0.6, 1.0), Step(1.5, 4.0), Step(0.6, 2.0)),
        resends=6,
        resend_seconds=0.005,
    ),
    "rollout": Pattern(
        KINDS,
        (Step(0.7, 7.0),),
        outage_share=0.5,
        outage_at=1.0,
        outage_seconds=4.0,
    ),
    "peak-without-zone": Pattern(
        KINDS,
        (Step(0.6, 1.0), Step(1.3, 4.0), Step(0.6, 2.0)),
        outage_share=1 / 3,
        outage_at=1.0,
        outage_seconds=4.0,
    ),
}
