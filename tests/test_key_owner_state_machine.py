"""Interleavings of faults over the real key owner, runner and core.

Guards against a key that runs more than once, is reported as not run although
it ran, or gets another key's response. Time is virtual: a jump of the clock is
a pause of the whole process. Targets, callers and the connections between
gateways are fakes.
"""

import asyncio
from collections.abc import AsyncIterator, Coroutine, Iterator
import contextlib
import gc
import itertools
from typing import Any
from unittest import mock

import hypothesis
from hypothesis import stateful
from hypothesis import strategies
from multidict import CIMultiDict
import pytest

from wigeonspool import eventlog
from wigeonspool.core import idempotency
from wigeonspool.core import tables
from wigeonspool.gateway import egress
from wigeonspool.gateway import headers
from wigeonspool.gateway import key_owner
from wigeonspool.gateway import responses
from wigeonspool.gateway import runner as runners
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.load import history as histories
from wigeonspool.load import invariants
from wigeonspool.model import entities
from wigeonspool.model import options
from wigeonspool.model import outcomes
from wigeonspool.wire import tokens

TOKEN_SECONDS = 20.0
SETTLE_TURNS = 30
ROUTE = entities.Route("write", "POST", "/", "pool", idempotent=False)
TARGETS = ("t0:1", "t1:1")
MODES = ("answer", "fail", "shed", "lose", "silent", "slow", "refuse")


class VirtualLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock a test moves; it starts far from zero."""

    now = 1000.0

    def time(self) -> float:
        return self.now


class Content:
    """Body of a fake request, which is returned in one piece."""

    def __init__(self, body: bytes) -> None:
        self._body = body

    async def readany(self) -> bytes:
        body, self._body = self._body, b""
        return body

    async def iter_any(self) -> AsyncIterator[bytes]:
        while chunk := await self.readany():
            yield chunk


class Request:
    """The parts of an HTTP request that a key owner reads."""

    method = "POST"
    raw_path = "/"
    transport = None
    body_exists = True

    def __init__(self, fields: Any, body: bytes) -> None:
        self.headers = CIMultiDict(fields)
        self.content_length = len(body)
        self.content = Content(body)


class Gateway:
    """One incarnation of a gateway.

    Attributes:
        entity: Identity and address of the gateway.
        home: The key owner under test.
        stopped: Future that is done once the process was killed.
        reachable: Set while requests reach the gateway; others wait.
        tasks: Requests that the gateway has accepted.
    """

    def __init__(self, world: "World", name: str, incarnation: int) -> None:
        self.world = world
        self.entity = entities.Gateway(
            name, str(incarnation), f"{name}:1", "z", name
        )
        self.scheduler = schedulers.Scheduler("z")
        targets = tuple(entities.Target(a, "z") for a in TARGETS)
        self.scheduler.configure([entities.Pool("pool", 1, targets)])
        client: Any = world
        runner = runners.RequestRunner(
            self.scheduler, client, eventlog.EventLog(name)
        )
        settings = options.GatewayOptions(
            once_capacity=4, once_answer_bytes=30, token_seconds=TOKEN_SECONDS
        )
        self.home = key_owner.KeyOwner(
            self.entity, settings, world.signer, runner, client
        )
        self.stopped = asyncio.get_running_loop().create_future()
        self.reachable = asyncio.Event()
        self.reachable.set()
        self.tasks: set[asyncio.Task[Any]] = set()

    async def serve(self, request: Any, deadline: float) -> Any:
        """Returns the result, or None if this process is killed first."""
        await self.reachable.wait()
        coroutine = self.home.serve(request, ROUTE, "", deadline)
        task = asyncio.get_running_loop().create_task(coroutine)
        self.tasks.add(task)
        await asyncio.wait(
            {task, self.stopped}, return_when=asyncio.FIRST_COMPLETED
        )
        return None if self.stopped.done() else task.result()

    def kill(self) -> None:
        self.stopped.set_result(None)
        running = [row.task for row in self.home._running_keys.values()]
        for task in [*self.tasks, *running]:
            assert task is not None
            task.cancel()


class World:
    """Gateways, targets and callers; also the egress of the gateways.

    Attributes:
        wall_offset: Difference of the wall clock to the loop clock, in seconds.
        modes: How each target handles requests, one of `MODES`.
        release: Set for a moment to let the targets in mode "slow" respond.
        lose_forwards: True if responses between gateways are lost.
        incarnations: Numbers of the next incarnations.
        clock: Logical clock that orders the events of the history.
        sends: Submissions of callers.
    """

    def __init__(self, loop: VirtualLoop) -> None:
        self.loop = loop
        self.wall_offset = 0.0
        self.signer = tokens.TokenSigner(["k"])
        self.history = histories.History()
        self.modes = dict.fromkeys(TARGETS, "answer")
        self.release = asyncio.Event()
        self.lose_forwards = False
        self.incarnations = itertools.count()
        self.clock = itertools.count()
        self.gateways = {name: self.build(name) for name in ("a", "b")}
        self.sends: set[asyncio.Task[None]] = set()

    def monotonic(self) -> float:
        return self.loop.now

    def time(self) -> float:
        return self.loop.now + self.wall_offset

    def build(self, name: str) -> Gateway:
        """Returns a new incarnation of a gateway."""
        return Gateway(self, name, next(self.incarnations))

    async def send_attempt(
        self, address: str, outgoing: egress.OutgoingRequest, **_: Any
    ) -> egress.AttemptResult:
        async with asyncio.timeout_at(outgoing.deadline):
            if address in TARGETS:
                return await self._run(address, outgoing)
            return await self._forward(address, outgoing)

    async def _run(
        self, address: str, outgoing: egress.OutgoingRequest
    ) -> egress.AttemptResult:
        mode = self.modes[address]
        if mode in ("shed", "refuse"):
            return egress.AttemptResult(
                tables.Result(tables.ResultKind.NOT_RUN)
            )
        key = outgoing.fields[headers.IDEMPOTENCY_KEY]
        run_at = float(next(self.clock))
        caller = outgoing.fields[headers.CALLER]
        ending = "answered" if mode in ("answer", "fail", "slow") else "lost"
        self.history.runs.append(
            histories.Run(address, "", caller, key, "/", run_at, run_at, ending)
        )
        if mode == "silent":
            await asyncio.Event().wait()
        if mode == "slow":
            await self.release.wait()
        if mode == "lose":
            return egress.AttemptResult(tables.Result(tables.ResultKind.LOST))
        failed = mode == "fail"
        kind = (
            tables.ResultKind.FAILED if failed else tables.ResultKind.ANSWERED
        )
        response = idempotency.Response(
            500 if failed else 200, (), key.encode()
        )
        return egress.AttemptResult(
            tables.Result(kind), complete_response=response
        )

    async def _forward(
        self, address: str, outgoing: egress.OutgoingRequest
    ) -> egress.AttemptResult:
        gateway = self.gateways[address.partition(":")[0]]
        body = outgoing.body
        assert isinstance(body, bytes)
        request = Request(outgoing.fields, body)
        owner_result = await gateway.serve(request, outgoing.deadline)
        if owner_result is None or self.lose_forwards:
            return egress.AttemptResult(tables.Result(tables.ResultKind.LOST))
        if isinstance(owner_result, outcomes.Failure):
            problem = responses.build_problem(owner_result, "")
            fields = tuple(problem.headers.items())
            response = idempotency.Response(problem.status, fields, b"")
        else:
            answered_fields = (
                (str(headers.OUTCOME), "answered"),
                *owner_result.headers,
            )
            response = idempotency.Response(
                owner_result.status, answered_fields, owner_result.body
            )
        result = tables.Result(tables.ResultKind.ANSWERED)
        return egress.AttemptResult(result, complete_response=response)

    async def call(
        self, key: str, token: str, via: str, attempt: int, seconds: float
    ) -> None:
        """Submits a key once and records what its caller receives."""
        invocation = histories.Invocation(
            "", "c", key, "pool", False, float(next(self.clock)), 0.0
        )
        invocation.attempt = attempt
        self.history.invocations.append(invocation)
        fields = {
            headers.CALLER: "c",
            headers.IDEMPOTENCY_KEY: key,
            headers.ASSIGNMENT: token,
            headers.ATTEMPT: str(attempt),
        }
        gateway = self.gateways[via]
        request = Request(fields, b"body")
        result = await gateway.serve(request, self.loop.now + seconds)
        invocation.ended_at = float(next(self.clock))
        if result is None:
            invocation.outcome = "cut"
        elif isinstance(result, outcomes.Failure):
            invocation.outcome = result.outcome
            invocation.reason = result.reason
        else:
            invocation.outcome = "answered"
            invocation.status = result.status
            invocation.own = result.body == key.encode()


NAMES = strategies.sampled_from(["a", "b"])


# The derandomized examples derive from the source text of this class, so any
# change of it changes which interleavings run.
class HomeMachine(stateful.RuleBasedStateMachine):
    """Two gateways, two targets with one slot each, and two faults or more."""

    keys = stateful.Bundle("keys")

    def __init__(self) -> None:
        super().__init__()
        self.loop = VirtualLoop()
        self.world = self.run(self._build())
        self.patch = mock.patch.object(key_owner, "time", self.world)
        self.patch.start()
        self.attempts: dict[str, int] = {}

    async def _build(self) -> World:
        return World(self.loop)

    def run(self, work: Coroutine[Any, Any, Any]) -> Any:
        return self.loop.run_until_complete(work)

    async def _settle(self) -> None:
        for _ in range(SETTLE_TURNS):
            await asyncio.sleep(0)

    @stateful.rule(target=keys, home=NAMES)
    def get_key(self, home: str) -> tuple[str, str]:
        name = f"key-{len(self.attempts)}"
        self.attempts[name] = -1
        gateway = self.world.gateways[home].entity
        assignment = tokens.Assignment(
            name.ljust(tokens.ASSIGNMENT_ID_CHARS, "-"),
            "c",
            gateway.name,
            gateway.incarnation,
            gateway.address,
            self.world.time() + TOKEN_SECONDS,
        )
        token = self.world.signer.sign(assignment)
        return (f"{assignment.assignment_id}.{name}", token)

    @stateful.rule(
        key=keys,
        via=NAMES,
        numbered=strategies.booleans(),
        seconds=strategies.sampled_from([0.5, 3.0, 30.0]),
    )
    def send(
        self, key: tuple[str, str], via: str, numbered: bool, seconds: float
    ) -> None:
        name = key[0].partition(".")[2]
        self.attempts[name] += int(numbered or self.attempts[name] < 0)
        work = self.world.call(*key, via, self.attempts[name], seconds)
        self.world.sends.add(self.loop.create_task(work))
        self.run(self._settle())

    @stateful.rule(
        address=strategies.sampled_from(TARGETS),
        mode=strategies.sampled_from(MODES),
    )
    def change_target(self, address: str, mode: str) -> None:
        self.world.modes[address] = mode

    @stateful.rule(key=keys, via=NAMES)
    def send_while_all_shed(self, key: tuple[str, str], via: str) -> None:
        """A refusal needs this row of steps, which chance seldom makes."""
        modes = dict(self.world.modes)
        for address in TARGETS:
            self.change_target(address, "shed")
        self.send(key, via, numbered=True, seconds=0.5)
        self.pass_time(0.6)
        self.world.modes = modes

    @stateful.rule()
    def release_slow(self) -> None:
        self.world.release.set()
        self.run(self._settle())
        self.world.release.clear()

    @stateful.rule(lost=strategies.booleans())
    def lose_forwards(self, lost: bool) -> None:
        self.world.lose_forwards = lost

    @stateful.rule(name=NAMES)
    def hold(self, name: str) -> None:
        self.world.gateways[name].reachable.clear()

    @stateful.rule(name=NAMES)
    def let_go(self, name: str) -> None:
        self.world.gateways[name].reachable.set()
        self.run(self._settle())

    @stateful.rule(name=NAMES)
    def restart(self, name: str) -> None:
        self.world.gateways[name].kill()
        self.world.gateways[name] = self.run(self._rebuild(name))
        self.run(self._settle())

    async def _rebuild(self, name: str) -> Gateway:
        return self.world.build(name)

    @stateful.rule(name=NAMES)
    def drain(self, name: str) -> None:
        self.world.gateways[name].home.draining = True

    @stateful.rule(seconds=strategies.sampled_from([0.3, 0.6, 2.0, 25.0]))
    def pass_time(self, seconds: float) -> None:
        self.loop.now += seconds
        for gateway in self.world.gateways.values():
            self.loop.call_soon(gateway.scheduler.tick)
        self.run(self._settle())

    @stateful.rule(seconds=strategies.sampled_from([-15.0, 15.0]))
    def step_wall_clock(self, seconds: float) -> None:
        self.world.wall_offset += seconds

    @stateful.invariant()
    def no_send_failed(self) -> None:
        for task in self.world.sends:
            assert not task.done() or task.exception() is None

    @stateful.invariant()
    def promises_hold(self) -> None:
        assert self.list_broken() == []

    def list_broken(self) -> list[invariants.Violation]:
        return [
            violation
            for name in ("own-answer", "not-run", "at-most-once", "answer-ran")
            for violation in invariants.INVARIANTS[name](self.world.history)
        ]

    @stateful.invariant()
    def bounds_hold(self) -> None:
        for gateway in self.world.gateways.values():
            assert len(gateway.home._table) <= 4
            assert gateway.home._table.response_bytes <= 30

    def teardown(self) -> None:
        for gateway in self.world.gateways.values():
            gateway.kill()
        for task in self.world.sends:
            task.cancel()
        self.run(self._settle())
        self.patch.stop()
        self.loop.close()


@pytest.fixture(autouse=True)
def disable_garbage_collection() -> Iterator[None]:
    """Disables garbage collection while hypothesis parses source code.

    A finalizer that parses code at the same time makes CPython 3.11 raise
    SystemError: AST constructor recursion depth mismatch.
    """
    gc.collect()
    gc.disable()
    yield
    gc.enable()


TestHomeMachine = HomeMachine.TestCase
TestHomeMachine.settings = hypothesis.settings(
    derandomize=True,
    max_examples=400,
    stateful_step_count=40,
    deadline=None,
    database=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)


def reserve_again(
    self: idempotency.IdempotencyTable,
    now: float,
    submission: idempotency.KeySubmission,
) -> None:
    self._rows[submission.index] = idempotency.KeyRow(
        submission.body_digest, submission.expires_at, submission.attempt
    )


def refuse_after_sending(
    self: runners.RequestRunner, row: tables.RequestRow, sent: bool = True
) -> outcomes.Failure:
    self._scheduler.abandon(row)
    return outcomes.build_refusal(outcomes.Reason.DEADLINE_PASSED)


def accept_any_refusal(
    self: idempotency.IdempotencyTable,
    index: idempotency.KeyIndex,
    failure: outcomes.Failure,
) -> bool:
    return True


def remove_all_rows(self: idempotency.IdempotencyTable, now: float) -> None:
    self._rows.clear()
    self._expiries.clear()


def free_refused_row(
    self: idempotency.IdempotencyTable,
    index: idempotency.KeyIndex,
    failure: outcomes.Failure,
) -> bool:
    self._rows[index].state = idempotency.KeyState.REFUSED
    self._rows[index].failure = failure
    self._rows[index].attempt = -1
    return True


def refuse_without_rejecting_token(
    self: idempotency.IdempotencyTable,
    now: float,
    submission: idempotency.KeySubmission,
) -> outcomes.Failure:
    return outcomes.build_refusal(outcomes.Reason.TABLE_FULL)


def report_unknown_as_not_run(reason: outcomes.Reason) -> outcomes.Failure:
    return outcomes.build_refusal(reason)


def return_misrouted_response(row: idempotency.KeyRow) -> idempotency.Response:
    return idempotency.Response(200, (), b"another's")


def run_resend(machine: HomeMachine) -> None:
    key = machine.get_key("a")
    machine.send(key, "a", True, 3.0)
    machine.send(key, "b", True, 3.0)


def run_past_deadline(machine: HomeMachine) -> None:
    for address in TARGETS:
        machine.change_target(address, "silent")
    machine.send(machine.get_key("a"), "a", True, 0.5)
    machine.pass_time(0.6)


def run_delayed_submission(machine: HomeMachine) -> None:
    key = machine.get_key("a")
    machine.hold("b")
    machine.send(key, "b", True, 30.0)
    for address in TARGETS:
        machine.change_target(address, "shed")
    machine.send(key, "a", True, 0.5)
    machine.pass_time(0.6)
    for address in TARGETS:
        machine.change_target(address, "answer")
    machine.let_go("b")
    machine.pass_time(2.0)


def run_lost_response(machine: HomeMachine) -> None:
    machine.change_target(TARGETS[0], "lose")
    machine.send(machine.get_key("a"), "a", True, 3.0)


def run_full_table(machine: HomeMachine) -> None:
    keys = [machine.get_key("a") for _ in range(4)]
    for key in keys:
        machine.send(key, "a", True, 3.0)
    machine.pass_time(2.0)
    key = machine.get_key("a")
    machine.hold("b")
    machine.send(key, "b", True, 30.0)
    machine.send(key, "a", True, 30.0)
    for _ in range(32):
        machine.pass_time(0.6)
    machine.let_go("b")


# By fault: the shortest interleaving that exposes it, and the patches that
# inject it.
MUTATIONS: dict[str, tuple[Any, list[tuple[Any, str, Any]]]] = {
    "a resend reserves its key again": (
        run_resend,
        [(idempotency.IdempotencyTable, "reserve", reserve_again)],
    ),
    "a sent request is refused at its deadline": (
        run_past_deadline,
        [
            (runners.RequestRunner, "_expire", refuse_after_sending),
            (idempotency.IdempotencyTable, "mark_refused", accept_any_refusal),
        ],
    ),
    "rows are removed before their token expires": (
        run_resend,
        [(idempotency.IdempotencyTable, "_remove_expired", remove_all_rows)],
    ),
    "an older submission of a refused key runs": (
        run_delayed_submission,
        [(idempotency.IdempotencyTable, "mark_refused", free_refused_row)],
    ),
    "a key refused by a full table runs later": (
        run_full_table,
        [
            (
                idempotency.IdempotencyTable,
                "_refuse_without_row",
                refuse_without_rejecting_token,
            )
        ],
    ),
    "an unknown outcome is reported as not run": (
        run_lost_response,
        [(outcomes, "build_unknown_outcome", report_unknown_as_not_run)],
    ),
    "a resend gets a misrouted response": (
        run_resend,
        [(idempotency, "find_outcome", return_misrouted_response)],
    ),
}


class TestMutations:
    @pytest.mark.parametrize("name", MUTATIONS)
    def test_injected_fault_is_detected(self, name: str) -> None:
        scenario, patches = MUTATIONS[name]
        with contextlib.ExitStack() as stack:
            for patched, attribute, replacement in patches:
                patch = mock.patch.object(patched, attribute, replacement)
                stack.enter_context(patch)
            assert self.find_violations(scenario)

    @pytest.mark.parametrize("name", MUTATIONS)
    def test_no_violation_without_the_fault(self, name: str) -> None:
        assert self.find_violations(MUTATIONS[name][0]) == []

    def find_violations(self, scenario: Any) -> list[invariants.Violation]:
        machine = HomeMachine()
        try:
            scenario(machine)
            return machine.list_broken()
        finally:
            machine.teardown()
