"""Checks of the guarantees to callers, one function for each.

Each function returns the places at which a history violates its invariant.
"""

import collections
from collections.abc import Callable, Iterable
import dataclasses
from typing import Final

from wigeonspool.core import probe_budget
from wigeonspool.load import history as histories

DRAINING_BOUND_SECONDS: Final = 2.0
ACTIVATION_BOUND_SECONDS: Final = 3.0
PROBE_WINDOW_SECONDS: Final = 5.0
SERVER_ERROR_STATUS: Final = 500

# Faults that cut connections to the affected process.
CONNECTION_CUTTING_FAULTS: Final = frozenset(
    {"gateway-kill", "silence", "crash", "lost-reply"}
)
# Faults that prevent a process from receiving generations.
GENERATION_BLOCKING_FAULTS: Final = frozenset(
    {"partition", "pause", "store-outage"}
)


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """One violation of an invariant in a history.

    Attributes:
        promise: Name of the invariant.
        subject: Key, request, target, pool or process that it concerns.
        detail: What is wrong.
    """

    promise: str
    subject: str
    detail: str


def _group_runs(
    history: histories.History,
) -> dict[tuple[str, str], list[histories.Run]]:
    """Returns runs by caller and key, or by caller and request without one."""
    groups = collections.defaultdict(list)
    for run in history.runs:
        groups[(run.caller, run.key or run.request)].append(run)
    return groups


def _get_identity(invocation: histories.Invocation) -> tuple[str, str]:
    """Returns the caller and the key, or the request if there is no key."""
    return (invocation.caller, invocation.key or invocation.request)


def _group_submissions(
    history: histories.History,
) -> dict[tuple[str, str], list[histories.Invocation]]:
    """Returns submissions, in order of attempt, by `_get_identity`."""
    groups = collections.defaultdict(list)
    for invocation in history.invocations:
        groups[_get_identity(invocation)].append(invocation)
    for submissions in groups.values():
        submissions.sort(key=lambda submission: submission.attempt)
    return groups


def check_own_responses(history: histories.History) -> list[Violation]:
    """Finds misrouted responses and incomplete ones."""
    return [
        Violation("own-answer", i.request, f"own={i.own} whole={i.whole}")
        for i in history.invocations
        if i.outcome == "answered" and not (i.own and i.whole)
    ]


def check_not_run(history: histories.History) -> list[Violation]:
    """Finds requests that ran although they were reported as not run.

    A run after such a report must belong to a later submission of the key.
    """
    runs = _group_runs(history)
    violations = []
    for identity, submissions in _group_submissions(history).items():
        for not_run in (s for s in submissions if s.outcome == "not_run"):
            for run in runs.get(identity, ()):
                if not _has_later_submission(not_run, run, submissions):
                    detail = f"attempt {not_run.attempt} ran at {run.target}"
                    violations.append(Violation("not-run", identity[1], detail))
    return violations


def _has_later_submission(
    not_run: histories.Invocation,
    run: histories.Run,
    submissions: Iterable[histories.Invocation],
) -> bool:
    """Returns True if a submission after `not_run` explains a run.

    The run must begin after `not_run` ended and after a submission with a
    higher attempt number began.
    """
    return run.started_at >= not_run.ended_at and any(
        submission.attempt > not_run.attempt
        and submission.started_at <= run.started_at
        for submission in submissions
    )


def check_at_most_once(history: histories.History) -> list[Violation]:
    """Finds keys of non-idempotent requests that ran more than once."""
    counts = collections.Counter(
        (r.caller, r.key) for r in history.runs if r.key
    )
    return [
        Violation("at-most-once", key, f"ran {count} times")
        for (_, key), count in counts.items()
        if count > 1
    ]


def check_responses_have_runs(history: histories.History) -> list[Violation]:
    """Finds responses without a run that produced them.

    A key with a response must have exactly one run that ended with a response;
    an idempotent request may have several. Server errors are left out, since a
    target that fails a request immediately records no run.
    """
    runs = _group_runs(history)
    violations = []
    for identity, submissions in _group_submissions(history).items():
        answered = any(
            s.outcome == "answered" and s.status < SERVER_ERROR_STATUS
            for s in submissions
        )
        if not answered:
            continue
        endings = [run.ending for run in runs.get(identity, ())]
        count = endings.count("answered")
        if count < 1 or (count > 1 and not submissions[0].idempotent):
            detail = f"answered, and its runs ended {endings}"
            violations.append(Violation("answer-ran", identity[1], detail))
    return violations


def check_draining(history: histories.History) -> list[Violation]:
    """Finds requests that a draining target received after the bound."""
    violations = []
    for period in history.draining_periods:
        allowed_until = period.started_at + DRAINING_BOUND_SECONDS
        for run in history.runs:
            if run.target != period.target:
                continue
            if allowed_until < run.started_at < period.ended_at:
                late = run.started_at - period.started_at
                detail = f"{run.request} began {late:.2f} s after it left"
                violations.append(Violation("leaving", run.target, detail))
    return violations


def check_cut_connections(history: histories.History) -> list[Violation]:
    """Finds requests whose connection was cut without a fault as the cause.

    A planned stop is no fault, so it does not excuse a cut. A passed deadline
    does.
    """
    violations = []
    for submission in history.invocations:
        if (
            submission.outcome != "cut"
            or submission.ended_at >= submission.deadline
        ):
            continue
        explained = any(
            fault.kind in CONNECTION_CUTTING_FAULTS
            and fault.overlaps(submission.started_at, submission.ended_at)
            for fault in history.faults
        )
        if not explained:
            detail = f"at gateway {submission.gateway}: {submission.reason}"
            violations.append(Violation("cut", submission.request, detail))
    return violations


def check_probe_budgets(history: histories.History) -> list[Violation]:
    """Finds pools that were probed beyond their budget."""
    violations = []
    for budget in history.budgets:
        probes = [p for p in history.probes if p.pool == budget.pool]
        probes.sort(key=lambda probe: probe.at)
        window: collections.deque[histories.Probe] = collections.deque()
        for probe in probes:
            window.append(probe)
            while window[0].at <= probe.at - PROBE_WINDOW_SECONDS:
                window.popleft()
            if _exceeds_budget(budget, window):
                detail = f"{len(window)} probes in a window at {probe.at:.2f}"
                violations.append(Violation("measuring", budget.pool, detail))
                break
    return violations


def _exceeds_budget(
    budget: histories.ProbeBudget, window: Iterable[histories.Probe]
) -> bool:
    """Returns True if the probes of one window exceed a budget.

    The budget of the window may be exceeded by a burst: by the budget of one
    second, or by one probe of the largest size if that is more.
    """
    sizes = [probe.size_bytes for probe in window]
    seconds = PROBE_WINDOW_SECONDS
    probe_rate = budget.requests_per_second
    byte_rate = budget.bytes_per_second
    return len(sizes) > probe_rate * seconds + max(probe_rate, 1.0) or sum(
        sizes
    ) > byte_rate * seconds + max(byte_rate, probe_budget.MAX_PROBE_BYTES)


def check_generation_order(history: histories.History) -> list[Violation]:
    """Finds processes that went back to an older generation."""
    current: dict[tuple[str, str], int] = {}
    violations = []
    for event in sorted(history.activations, key=lambda event: event.at):
        process = (event.process, event.incarnation)
        if event.generation < current.get(process, 0):
            detail = f"{current[process]} went back to {event.generation}"
            violations.append(Violation("generation", event.process, detail))
        current[process] = event.generation
    return violations


def check_activation_delay(history: histories.History) -> list[Violation]:
    """Finds processes that activated a generation too late.

    A process must have activated it once it has run for the bound after the
    generation was accepted, without a fault that kept it from receiving the
    generation.
    """
    violations = []
    for accepted in history.accepted:
        for lifetime in history.lifetimes:
            due = _compute_due_time(history, accepted, lifetime)
            if due > min(lifetime.ended_at, history.ended_at):
                continue
            if not _is_active_by(history, accepted.generation, lifetime, due):
                detail = f"{accepted.generation} was not in force in time"
                violations.append(
                    Violation("in-force", lifetime.process, detail)
                )
    return violations


def _compute_due_time(
    history: histories.History,
    accepted: histories.AcceptedGeneration,
    lifetime: histories.ProcessLifetime,
) -> float:
    """Returns the time by which a process must activate a generation."""
    due = max(accepted.at, lifetime.started_at) + ACTIVATION_BOUND_SECONDS
    faults = [
        fault
        for fault in history.faults
        if fault.kind in GENERATION_BLOCKING_FAULTS
        and fault.subject in ("", lifetime.vm)
    ]
    for fault in sorted(faults, key=lambda fault: fault.started_at):
        if fault.overlaps(due - ACTIVATION_BOUND_SECONDS, due):
            due = max(due, fault.ended_at + ACTIVATION_BOUND_SECONDS)
    return due


def _is_active_by(
    history: histories.History,
    generation: int,
    lifetime: histories.ProcessLifetime,
    due: float,
) -> bool:
    """Returns True if a process activated a generation by a given time."""
    return any(
        event.process == lifetime.process
        and event.incarnation == lifetime.incarnation
        and event.generation >= generation
        and event.at <= due
        for event in history.activations
    )


INVARIANTS: Final[dict[str, Callable[[histories.History], list[Violation]]]] = {
    "own-answer": check_own_responses,
    "not-run": check_not_run,
    "at-most-once": check_at_most_once,
    "answer-ran": check_responses_have_runs,
    "leaving": check_draining,
    "cut": check_cut_connections,
    "measuring": check_probe_budgets,
    "generation": check_generation_order,
    "in-force": check_activation_delay,
}
