"""Emulation of entry VMs under load, in virtual time.

Each VM probes, selects, sends and retries with the real code; connections and
targets are emulated.
"""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
import math
import random
from typing import Any, Final

import msgspec

from wigeonspool.core import cluster_state
from wigeonspool.load import emulated_targets
from wigeonspool.load import virtual_loop
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.model import vm_settings
from wigeonspool.vm import request_context
from wigeonspool.vm import request_runner

SERVICE = "reads"
DEFAULT_SETTINGS: Final = emulated_targets.EmulationSettings()


@dataclasses.dataclass(slots=True)
class RequestCounts:
    """Counts of requests by outcome, and of the work that they caused.

    Attributes:
        offered: Requests of callers.
        in_time: Requests with a response within their objective.
        late: Requests with a response after their objective.
        refused: Requests that ended as not run, after the caller's retry.
        failed: Requests that ended in any other way.
        asked: Health checks sent.
        sends: Attempts sent to targets.
        most_runs: Largest number of targets that ran the same request.
    """

    offered: int = 0
    in_time: int = 0
    late: int = 0
    refused: int = 0
    failed: int = 0
    asked: int = 0
    sends: int = 0
    most_runs: int = 0

    @property
    def payoff(self) -> float:
        """Value of the responses per request; a late one counts a tenth."""
        return (self.in_time + 0.1 * self.late) / max(1, self.offered)


@dataclasses.dataclass(frozen=True, slots=True)
class EndedRequest:
    """A caller's request that has ended.

    Attributes:
        sent_at: When its caller sent it first, from the begin of the emulation.
        in_time: True if it got a response within its objective.
        refused: True if it ended as not run.
    """

    sent_at: float
    in_time: bool
    refused: bool


class Emulation:
    """Entry VMs, targets and callers of one service.

    Attributes:
        targets: Emulated targets by identity.
        ended: Requests that have ended, in the order of their end.
        counts: Counts by index of the load step in which a request was sent.
        counts_by_priority: Counts by priority of the request; health checks,
            attempts and runs are not counted here.
    """

    def __init__(
        self,
        settings: emulated_targets.EmulationSettings,
        seed: int,
        idempotent: bool,
    ) -> None:
        """Creates the VMs and targets on the running event loop.

        Args:
            settings: Settings of the emulation.
            seed: Seed of all random choices.
            idempotent: True if requests may run more than once.
        """
        self.counts: dict[int, RequestCounts] = collections.defaultdict(
            RequestCounts
        )
        self.counts_by_priority: dict[int, RequestCounts]
        self.counts_by_priority = collections.defaultdict(RequestCounts)
        self._settings = settings
        self._rng = random.Random(seed)
        self._loop = asyncio.get_running_loop()
        self.ended: list[EndedRequest] = []
        declining_count = round(settings.decline_share * settings.targets)
        self.targets = {
            f"t-{i}": emulated_targets.EmulatedTarget(
                settings, random.Random(f"{seed}/{i}"), i < declining_count
            )
            for i in range(settings.targets)
        }
        self._rules = [
            fleet.Rule(
                name=f"rule-{priority}",
                prefix=f"/{priority}/",
                weighted_services=(fleet.WeightedService(SERVICE, 1.0),),
                idempotent=idempotent,
                large_responses=False,
                objective_seconds=settings.objective,
                limit_seconds=settings.limit,
                max_targets=2,
                priority=priority,
            )
            for priority in range(settings.priorities)
        ]
        self._vms = [self._build_vm(i) for i in range(settings.vms)]
        self._submission_count = 0
        self._request_tasks: set[asyncio.Task[None]] = set()

    def _build_vm(
        self, index: int
    ) -> tuple[request_runner.RequestRunner, emulated_targets.EmulatedSender]:
        """Returns the request runner and the sender of one entry VM."""
        cluster = cluster_state.ClusterState()
        for number, identity in enumerate(self.targets):
            entry = fleet.TargetEntry(
                identity=identity,
                service=SERVICE,
                address=f"10.0.0.{number}:1",
                zone=emulated_targets.ZONE,
                slots=self._settings.slots,
                state=fleet.TargetState.SERVING,
                warmup_seconds=0.0,
                started_at_ms=0,
            )
            change = cluster_state.TargetChange(identity, entry)
            cluster.apply(0.0, identity, 1, change)
        rng = random.Random(self._rng.random())
        prober = emulated_targets.EmulatedProber(
            cluster, self.targets, self._settings, rng, f"vm-{index}"
        )
        regions = {
            f"zone-{i}": emulated_targets.ZONE
            for i in range(self._settings.vms // 2)
        }
        vm = vm_settings.VmSettings(
            vm=f"vm-{index}",
            ip="",
            zone=emulated_targets.ZONE,
            region=emulated_targets.ZONE,
            capacity=1.0,
            callers="",
            readiness="",
            directory="",
            control="",
            first_free_port=0,
            seeds=(),
            regions=regions,
            store="",
            min_lease_seconds=1.0,
            bounds=vm_settings.DeploymentLimits(0.2, 60.0, 10.0, 6.0, 5.0),
        )
        protocol_adapter: Any = _ProtocolAdapterStub()
        runner = request_runner.RequestRunner(
            vm, cluster, prober, protocol_adapter
        )
        sender = emulated_targets.EmulatedSender(
            self.targets, self._settings, f"vm-{index}", prober.notices
        )
        runner.replace_sender(sender)
        runner.retry_budget.set_slack_share(
            1.0 / self._settings.vms, self._loop.time()
        )
        return runner, sender

    async def send_load(self, rate: float, seconds: float, step: int) -> None:
        """Sends requests at random times and does not await the responses.

        Args:
            rate: Requests per second.
            seconds: Duration of the load step.
            step: Index of the load step, under which requests are counted.
        """
        until = self._loop.time() + seconds
        while self._loop.time() < until:
            await asyncio.sleep(self._rng.expovariate(rate))
            task = self._loop.create_task(self._send_request(step))
            self._request_tasks.add(task)
            task.add_done_callback(self._request_tasks.discard)

    async def wait_until_idle(self) -> None:
        """Waits for twice the limit, by which time all requests have ended."""
        await asyncio.sleep(2 * self._settings.limit)

    async def _send_request(self, step: int) -> None:
        """Sends one request of a caller and counts its result.

        A request that fails is retried once, at another VM after 60 ms.
        """
        step_counts = self.counts[step]
        rule = self._rng.choice(self._rules)
        priority_counts = self.counts_by_priority[rule.priority]
        step_counts.offered += 1
        priority_counts.offered += 1
        first_sent_at = self._loop.time()
        service_seconds = self._draw_service_seconds()
        vm_indexes = self._rng.sample(range(len(self._vms)), 2)
        result: Any = None
        for index in vm_indexes:
            result = await self._submit(
                index, rule, first_sent_at, service_seconds, step_counts
            )
            if not isinstance(result, outcomes.Failure):
                break
            await asyncio.sleep(0.06)
        seconds = self._loop.time() - first_sent_at
        for counts in (step_counts, priority_counts):
            self._count_result(counts, result, seconds)
        self._record_end(first_sent_at, result, seconds)

    def _draw_service_seconds(self) -> float:
        """Returns a random service time, without slowdown, in seconds."""
        settings = self._settings
        seconds = settings.work * self._rng.lognormvariate(0.0, settings.spread)
        if self._rng.random() < settings.long_share:
            seconds *= settings.long_factor
        return seconds

    async def _submit(
        self,
        index: int,
        rule: fleet.Rule,
        first_sent_at: float,
        service_seconds: float,
        counts: RequestCounts,
    ) -> request_runner.RequestResult:
        """Submits a request to one VM and returns its result.

        Its health checks and attempts are counted.

        Args:
            index: Index of the VM.
            rule: Rule of the request.
            first_sent_at: When its caller sent it first, loop clock. The time
                limit counts from then, the objective from this submission.
            service_seconds: Service time without slowdown.
            counts: Counts of the load step.
        """
        runner, sender = self._vms[index]
        now = self._loop.time()
        self._submission_count += 1
        request: Any = None
        context = request_context.RequestContext(
            request,
            f"a-{self._submission_count}",
            rule,
            SERVICE,
            b"",
            True,
            self._submission_count,
            now,
            now + self._settings.objective,
            first_sent_at + self._settings.limit,
        )
        sender.service_seconds[context.identity] = service_seconds
        result: request_runner.RequestResult
        try:
            async with asyncio.timeout_at(context.deadline):
                result = await runner.run(context)
        except TimeoutError:
            result = context.build_failure(outcomes.Reason.DEADLINE_PASSED)
        counts.asked += context.probes_sent
        counts.sends += context.attempts_sent
        runs = sender.runs.pop(context.identity, 0)
        counts.most_runs = max(counts.most_runs, runs)
        return result

    def _count_result(
        self,
        counts: RequestCounts,
        result: request_runner.RequestResult,
        seconds: float,
    ) -> None:
        """Counts a request by its outcome and its duration in seconds."""
        if isinstance(result, outcomes.Failure):
            if result.outcome is outcomes.Outcome.NOT_RUN:
                counts.refused += 1
            else:
                counts.failed += 1
        elif result.outcome is not request_context.AttemptOutcome.ANSWERED:
            counts.failed += 1
        elif seconds <= self._settings.objective:
            counts.in_time += 1
        else:
            counts.late += 1

    def _record_end(
        self,
        sent_at: float,
        result: request_runner.RequestResult,
        seconds: float,
    ) -> None:
        """Records the end of a request that took a number of seconds."""
        in_time = refused = False
        if isinstance(result, outcomes.Failure):
            refused = result.outcome is outcomes.Outcome.NOT_RUN
        elif result.outcome is request_context.AttemptOutcome.ANSWERED:
            in_time = seconds <= self._settings.objective
        self.ended.append(EndedRequest(sent_at, in_time, refused))


class _ProtocolAdapterStub:
    """A protocol adapter with the one attribute that a runner reads."""

    not_run_statuses: frozenset[int] = frozenset({503})


def run_load_steps(
    settings: emulated_targets.EmulationSettings,
    steps: list[tuple[float, float]],
    seed: int = 1,
    idempotent: bool = True,
) -> dict[int, RequestCounts]:
    """Runs an emulation and returns the counts of each load step.

    The parameters are those of `run_emulation`.
    """
    return run_emulation(settings, steps, seed, idempotent).counts


def run_emulation(
    settings: emulated_targets.EmulationSettings,
    steps: list[tuple[float, float]],
    seed: int = 1,
    idempotent: bool = True,
) -> Emulation:
    """Runs an emulation in virtual time and returns it after all load steps.

    Args:
        settings: Settings of the emulation.
        steps: Requests per second and duration in seconds of each load step,
            in order.
        seed: Seed of all random choices.
        idempotent: True if requests may run more than once.
    """

    async def run_steps() -> Emulation:
        """Sends the load of all steps and waits until all requests ended."""
        emulation = Emulation(settings, seed, idempotent)
        for step, (rate, seconds) in enumerate(steps):
            await emulation.send_load(rate, seconds, step)
        await emulation.wait_until_idle()
        return emulation

    return virtual_loop.run(run_steps())


def read_settings(
    assignments: Iterable[str],
    settings: emulated_targets.EmulationSettings = DEFAULT_SETTINGS,
) -> emulated_targets.EmulationSettings:
    """Returns settings with the fields that field=value pairs replace.

    Args:
        assignments: field=value pairs.
        settings: Settings in which they replace fields.

    Raises:
        SettingsError: If a pair has no value, its field does not exist or its
            value is invalid or out of range.
    """
    values: dict[str, Any] = dataclasses.asdict(settings)
    for assignment in assignments:
        name, equals, text = assignment.partition("=")
        if not equals:
            raise errors.SettingsError("command line", name, "no value")
        if name not in values:
            raise errors.SettingsError("command line", name, "no such field")
        values[name] = text
    try:
        return msgspec.convert(
            values, emulated_targets.EmulationSettings, strict=False
        )
    except msgspec.ValidationError as error:
        raise errors.SettingsError(
            "command line", "--set", str(error)
        ) from error


def read_steps(texts: Iterable[str]) -> list[tuple[float, float]]:
    """Returns load steps, each written as RATExSECONDS.

    Raises:
        SettingsError: If a step has another form, or a value that is not
            positive and finite.
    """
    steps = []
    for text in texts:
        rate, _, seconds = text.partition("x")
        try:
            step = (float(rate), float(seconds))
        except ValueError:
            step = (0.0, 0.0)
        if not (0 < step[0] < math.inf and 0 < step[1] < math.inf):
            raise errors.SettingsError("command line", text, "not like 60x4")
        steps.append(step)
    return steps


def print_counts(
    steps: list[tuple[float, float]], counts_by_step: dict[int, RequestCounts]
) -> None:
    """Prints the counts of each load step as a table."""
    print(
        f"{'a second':>9}{'offered':>9}{'payoff':>8}{'late':>7}{'refused':>9}"
        f"{'failed':>8}{'checks':>8}{'sends':>7}"
    )
    for index, (rate, _) in enumerate(steps):
        counts = counts_by_step[index]
        offered = max(1, counts.offered)
        print(
            f"{rate:>9.0f}{counts.offered:>9}{counts.payoff:>8.3f}"
            f"{counts.late / offered:>7.3f}{counts.refused / offered:>9.3f}"
            f"{counts.failed / offered:>8.3f}{counts.asked / offered:>8.1f}"
            f"{counts.sends / offered:>7.2f}"
        )
