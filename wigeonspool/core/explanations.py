"""Explains a decision by its candidates, its result and its cause.

An explanation is built from the rows as they were at the decision. It lists a
bounded number of targets, whatever the size of the pool, and counts the rest.
"""

from collections.abc import Iterator
import dataclasses
import enum
from typing import Final

from wigeonspool.core import pools
from wigeonspool.core import tables
from wigeonspool.core import target_index
from wigeonspool.model import outcomes

MAX_CANDIDATES: Final = 8


class Decision(enum.StrEnum):
    """What was decided for a request."""

    SENT = "sent"
    QUEUED = "queued"
    REFUSED = "refused"


class Cause(enum.StrEnum):
    """Why a request was sent to its target, or is queued."""

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
    DEMOTED = "held-for-its-health"
    FULL = "no-free-slot"
    LIMITED = "limited-after-bad-signs"
    FAILED_REQUEST = "failed-this-request"
    RUNS_SUSPECT = "runs-a-suspect"
    FARTHER = "farther-group"
    CLOSED = "group-not-open"
    FEWER_FREE = "fewer-free-slots"
    EQUAL = "equal"
    FREE = "free"


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """One target as it was at a decision.

    Attributes:
        address: host:port.
        group: Group in the order of preference.
        state: Whether it may receive work.
        free: Free slots that the gateway may use there.
        limit: Slots that the gateway may use there.
        verdict: Why it was chosen or passed over.
    """

    address: str
    group: target_index.Group
    state: tables.TargetState
    free: int
    limit: int
    verdict: Verdict


@dataclasses.dataclass(frozen=True, slots=True)
class Explanation:
    """One decision with its reasons.

    Attributes:
        request: Identity of the request on the timeline.
        pool: Pool that serves it.
        route: Route that it matched.
        decision: What was decided.
        cause: Why, if it was not refused.
        reason: Why, if it was refused.
        target: Address of the chosen target, or "".
        attempt: Number of the attempt that was decided on, from 1.
        waited: Time since it was submitted, in seconds.
        remaining: Time until its deadline, in seconds.
        expected_wait: Expected wait behind queued work, in seconds.
        mean: Mean service time of its route, in seconds, or 0.0 if not known.
        p99: 99th percentile of that time, in seconds, or 0.0 if not known.
        candidates: Some of the targets, the chosen one first.
        groups: Number of targets with a free slot and of all targets, by group.
    """

    request: str
    pool: str
    route: str
    decision: Decision
    cause: Cause | None
    reason: outcomes.Reason | None
    target: str
    attempt: int
    waited: float
    remaining: float
    expected_wait: float = 0.0
    mean: float = 0.0
    p99: float = 0.0
    candidates: tuple[Candidate, ...] = ()
    groups: tuple[tuple[int, int], ...] = ()


def explain_send(
    now: float,
    row: pools.PoolRow,
    request: tables.RequestRow,
    target: tables.TargetRow,
    avoided: frozenset[str],
) -> Explanation:
    """Explains why a request is sent to a target; call it before the send.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the request.
        request: The request.
        target: The chosen target.
        avoided: Addresses to use only if there is no other.
    """
    cause = Cause.NO_OTHER if target.address in avoided else Cause.MOST_FREE
    return _explain(
        now, row, request, Decision.SENT, cause, None, target, avoided
    )


def explain_wait(
    now: float,
    row: pools.PoolRow,
    request: tables.RequestRow,
    avoided: frozenset[str],
) -> Explanation:
    """Explains why a new request is queued.

    Args:
        now: Time on the core's clock, in seconds.
        row: Pool of the request.
        request: The request.
        avoided: Addresses to use only if there is no other.
    """
    cause = Cause.EARLIER_DEADLINES
    if row.peek() is request:
        cause = Cause.NO_FREE_SLOT
    elif request.is_long and not row.allows_long():
        cause = Cause.LONG_WORK_BOUND
    return _explain(
        now, row, request, Decision.QUEUED, cause, None, None, avoided
    )


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
        now,
        row,
        request,
        Decision.REFUSED,
        None,
        reason,
        None,
        request.failed_targets,
    )


def _explain(
    now: float,
    row: pools.PoolRow | None,
    request: tables.RequestRow,
    decision: Decision,
    cause: Cause | None,
    reason: outcomes.Reason | None,
    target: tables.TargetRow | None,
    avoided: frozenset[str],
) -> Explanation:
    """Returns the explanation of a decision."""
    # A request that is refused on submission has no arrival time.
    waited = now - request.arrived_at if request.arrived_at else 0.0
    explanation = Explanation(
        request.sample_id,
        request.pool,
        request.route,
        decision,
        cause,
        reason,
        target.address if target else "",
        request.attempts + (decision is not Decision.REFUSED),
        waited,
        request.deadline - now,
    )
    if row is None:
        return explanation
    times = row.times.find(request.route)
    return dataclasses.replace(
        explanation,
        expected_wait=row.predict_wait(times.is_long),
        mean=times.mean,
        p99=times.p99,
        candidates=_list_candidates(row, request, target, avoided),
        groups=row.index.count_groups(),
    )


def _list_candidates(
    row: pools.PoolRow,
    request: tables.RequestRow,
    chosen: tables.TargetRow | None,
    avoided: frozenset[str],
) -> tuple[Candidate, ...]:
    """Returns the targets to list, the most informative ones first."""
    selected: dict[str, tables.TargetRow] = {}
    for target in _iterate_targets(row, chosen, avoided):
        selected[target.address] = target
        if len(selected) == MAX_CANDIDATES:
            break
    return tuple(
        Candidate(
            target.address,
            target_index.Group(target_index.find_group(target)),
            target.state,
            max(
                0,
                target_index.find_concurrency_limit(target) - target.in_flight,
            ),
            target_index.find_concurrency_limit(target),
            _find_verdict(row, request, target, chosen, avoided),
        )
        for target in selected.values()
    )


def _iterate_targets(
    row: pools.PoolRow,
    chosen: tables.TargetRow | None,
    avoided: frozenset[str],
) -> Iterator[tables.TargetRow]:
    """Yields targets in order of interest, some of them twice."""
    if chosen is not None:
        yield chosen
    for address in (*avoided, *row.ejected):
        if address in row.targets:
            yield row.targets[address]
    yield from row.index.iterate()


def _find_verdict(
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
    if target.health.demoted:
        return Verdict.DEMOTED
    if target.in_flight >= target_index.find_concurrency_limit(target):
        limited = (
            target.health.concurrency_limit <= target.in_flight < target.limit
        )
        return Verdict.LIMITED if limited else Verdict.FULL
    if target.address in request.failed_targets:
        return Verdict.FAILED_REQUEST
    if target.address in avoided:
        return Verdict.RUNS_SUSPECT
    if not row.may_use_group(request, target.group):
        return Verdict.CLOSED
    if chosen is None:
        return Verdict.FREE
    if target.group != chosen.group:
        return Verdict.FARTHER
    level, chosen_level = (
        target_index.find_level(target),
        target_index.find_level(chosen),
    )
    return Verdict.FEWER_FREE if level < chosen_level else Verdict.EQUAL
