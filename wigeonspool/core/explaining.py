"""Explains a decision by the candidates it had, what it chose and why.

An explanation is built from the rows as the decision found them. It names a
bounded number of targets, whatever the size of the pool, and counts the rest.
"""

from collections.abc import Iterator
import dataclasses
import enum
from typing import Final

from wigeonspool.core import choosing
from wigeonspool.core import pools
from wigeonspool.core import tables
from wigeonspool.model import outcomes

MAX_CANDIDATES: Final = 8


class Choice(enum.StrEnum):
    """What was decided for a request."""

    SENT = "sent"
    QUEUED = "queued"
    REFUSED = "refused"


class Why(enum.StrEnum):
    """Why a request was sent to its target, or has to wait."""

    MOST_FREE = "most-free-slots"
    NO_OTHER = "no-other-target"
    NO_FREE_SLOT = "no-free-slot"
    LONG_WORK_BOUND = "long-work-bound"
    EARLIER_DEADLINES = "earlier-deadlines"


class Verdict(enum.StrEnum):
    """Why a candidate was chosen or passed over."""

    CHOSEN = "chosen"
    EJECTED = "ejected"
    DRAINING = "draining"
    HELD = "held-for-its-health"
    FULL = "no-free-slot"
    LIMITED = "limited-after-bad-signs"
    FAILED_IT = "failed-this-request"
    RUNS_SUSPECT = "runs-a-suspect"
    FARTHER = "farther-group"
    CLOSED = "group-not-open"
    FEWER_FREE = "fewer-free-slots"
    EQUAL = "equal"
    FREE = "free"


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """One target as a decision found it.

    Attributes:
        address: host:port.
        group: How far it is from being the gateway's own.
        state: Whether it may receive work.
        free: Slots that the gateway may use there and does not.
        limit: Slots that the gateway may use there.
        verdict: Why it was chosen or passed over.
    """

    address: str
    group: choosing.Group
    state: tables.TargetState
    free: int
    limit: int
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """One decision with its reasons.

    Attributes:
        request: Identity of the request on the time line.
        pool: Pool that serves it.
        route: Route that it matched.
        choice: What was decided.
        why: Why, if it was not refused.
        reason: Why, if it was refused.
        target: Address of the chosen target, or "".
        attempt: Number of the attempt that was decided on, from 1.
        waited: Time since it was submitted, in seconds.
        remaining: Time until its deadline, in seconds.
        wait: Expected time until queued work leaves it a slot, in seconds.
        mean: Mean service time of its route, in seconds, or 0.0.
        high: Ninety-ninth percentile of that time, or 0.0.
        candidates: Some of the targets, the chosen one first.
        groups: Targets with a free slot, and all targets, by group.
    """

    request: str
    pool: str
    route: str
    choice: Choice
    why: Why | None
    reason: outcomes.Reason | None
    target: str
    attempt: int
    waited: float
    remaining: float
    wait: float = 0.0
    mean: float = 0.0
    high: float = 0.0
    candidates: tuple[Candidate, ...] = ()
    groups: tuple[tuple[int, int], ...] = ()


def explain_send(
    now: float,
    row: pools.PoolRow,
    request: tables.RequestRow,
    target: tables.TargetRow,
    avoided: frozenset[str],
) -> Explanation:
    """Explains why a request is sent to a target; called before it is.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the request.
        request: The request.
        target: The chosen target.
        avoided: Addresses to use only if there is no other.
    """
    why = Why.NO_OTHER if target.address in avoided else Why.MOST_FREE
    return _explain(now, row, request, Choice.SENT, why, None, target, avoided)


def explain_wait(
    now: float,
    row: pools.PoolRow,
    request: tables.RequestRow,
    avoided: frozenset[str],
) -> Explanation:
    """Explains why a new request has to wait.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the request.
        request: The request.
        avoided: Addresses to use only if there is no other.
    """
    why = Why.EARLIER_DEADLINES
    if row.peek() is request:
        why = Why.NO_FREE_SLOT
    elif request.is_long and not row.allows_long():
        why = Why.LONG_WORK_BOUND
    return _explain(now, row, request, Choice.QUEUED, why, None, None, avoided)


def explain_refusal(
    now: float,
    row: pools.PoolRow | None,
    request: tables.RequestRow,
    reason: outcomes.Reason,
) -> Explanation:
    """Explains why a request is refused.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the request, or None if it is not configured.
        request: The request.
        reason: Why it is refused.
    """
    return _explain(
        now, row, request, Choice.REFUSED, None, reason, None, request.tried
    )


def _explain(
    now: float,
    row: pools.PoolRow | None,
    request: tables.RequestRow,
    choice: Choice,
    why: Why | None,
    reason: outcomes.Reason | None,
    target: tables.TargetRow | None,
    avoided: frozenset[str],
) -> Explanation:
    """Returns the explanation of a decision."""
    # A request that is refused at once has no time of arrival.
    waited = now - request.arrived_at if request.arrived_at else 0.0
    plain = Explanation(
        request.sampled_as,
        request.pool,
        request.route,
        choice,
        why,
        reason,
        target.address if target else "",
        request.attempts + (choice is not Choice.REFUSED),
        waited,
        request.deadline - now,
    )
    if row is None:
        return plain
    times = row.times.find(request.route)
    return dataclasses.replace(
        plain,
        wait=row.predict_wait(times.is_long),
        mean=times.mean,
        high=times.high,
        candidates=_list_candidates(row, request, target, avoided),
        groups=row.index.count_groups(),
    )


def _list_candidates(
    row: pools.PoolRow,
    request: tables.RequestRow,
    chosen: tables.TargetRow | None,
    avoided: frozenset[str],
) -> tuple[Candidate, ...]:
    """Returns the targets to name, those that tell most first."""
    named: dict[str, tables.TargetRow] = {}
    for target in _iterate_targets(row, chosen, avoided):
        named[target.address] = target
        if len(named) == MAX_CANDIDATES:
            break
    return tuple(
        Candidate(
            target.address,
            choosing.Group(choosing.find_group(target)),
            target.state,
            max(0, choosing.find_limit(target) - target.in_flight),
            choosing.find_limit(target),
            _judge(row, request, target, chosen, avoided),
        )
        for target in named.values()
    )


def _iterate_targets(
    row: pools.PoolRow,
    chosen: tables.TargetRow | None,
    avoided: frozenset[str],
) -> Iterator[tables.TargetRow]:
    """Yields targets, some of them twice."""
    if chosen is not None:
        yield chosen
    for address in (*avoided, *row.ejected):
        if address in row.targets:
            yield row.targets[address]
    yield from row.index.iterate()


def _judge(
    row: pools.PoolRow,
    request: tables.RequestRow,
    target: tables.TargetRow,
    chosen: tables.TargetRow | None,
    avoided: frozenset[str],
) -> Verdict:
    """Returns why a target was chosen or passed over."""
    if target is chosen:
        return Verdict.CHOSEN
    if target.state is tables.TargetState.EJECTED:
        return Verdict.EJECTED
    if target.state is tables.TargetState.DRAINING:
        return Verdict.DRAINING
    if target.health.held:
        return Verdict.HELD
    if target.in_flight >= choosing.find_limit(target):
        limited = target.health.cap <= target.in_flight < target.limit
        return Verdict.LIMITED if limited else Verdict.FULL
    if target.address in request.tried:
        return Verdict.FAILED_IT
    if target.address in avoided:
        return Verdict.RUNS_SUSPECT
    if not row.is_open(request, target.group):
        return Verdict.CLOSED
    if chosen is None:
        return Verdict.FREE
    if target.group != chosen.group:
        return Verdict.FARTHER
    mine, best = choosing.find_level(target), choosing.find_level(chosen)
    return Verdict.FEWER_FREE if mine < best else Verdict.EQUAL
