"""Plants violations in a history that satisfies all invariants.

Tests of the checker use them: it must find the planted violation and no other.
"""

from collections.abc import Callable
import dataclasses
from typing import Final

from wigeonspool.load import history as histories

PlantViolation = Callable[[histories.History], None]


def _find_answered(history: histories.History) -> histories.Invocation:
    """Returns the first non-idempotent submission with a response."""
    return next(
        submission
        for submission in history.invocations
        if submission.outcome == "answered" and not submission.idempotent
    )


def _find_run(
    history: histories.History, submission: histories.Invocation
) -> histories.Run:
    """Returns the first run of a submission's key."""
    return next(run for run in history.runs if run.key == submission.key)


def misroute_response(history: histories.History) -> None:
    """Marks a response as one that belongs to another request."""
    _find_answered(history).own = False


def truncate_response(history: histories.History) -> None:
    """Marks the response of an answered submission as truncated."""
    _find_answered(history).whole = False


def report_run_as_not_run(history: histories.History) -> None:
    """Reports a request that ran as not run."""
    submission = _find_answered(history)
    submission.outcome = "not_run"
    submission.reason = "target-refused"


def run_delayed_submission(history: histories.History) -> None:
    """Lets a key run after its later submission was reported as not run.

    The run belongs to the earlier submission, which was delayed.
    """
    submission = _find_answered(history)
    run = _find_run(history, submission)
    retry = dataclasses.replace(
        submission,
        attempt=submission.attempt + 1,
        outcome="not_run",
        ended_at=run.started_at - 0.001,
    )
    submission.outcome = "left"
    history.invocations.append(retry)


def repeat_run(history: histories.History) -> None:
    """Adds a second run of a key, whose result no caller receives."""
    run = _find_run(history, _find_answered(history))
    repeated = dataclasses.replace(
        run, started_at=run.ended_at, ending="cancelled"
    )
    history.runs.append(repeated)


def remove_run(history: histories.History) -> None:
    """Removes the run of a request that has a response."""
    history.runs.remove(_find_run(history, _find_answered(history)))


def send_to_draining_target(history: histories.History) -> None:
    """Lets a target receive a request long after it began to drain."""
    run = history.runs[-1]
    history.draining_periods.append(
        histories.DrainingPeriod(run.target, run.started_at - 2.5)
    )


def cut_connection(history: histories.History) -> None:
    """Cuts the connection of an idempotent request without a fault."""
    submission = next(s for s in history.invocations if s.idempotent)
    submission.outcome = "cut"


def exceed_probe_count(history: histories.History) -> None:
    """Probes a pool more often than its budget allows.

    The budget of seven seconds exceeds that of the checked window of five
    seconds and of the allowed burst of one second.
    """
    budget = history.budgets[0]
    count = int(budget.requests_per_second * 7)
    history.probes += [
        histories.Probe(budget.pool, 1.0 + i * 0.001, 1) for i in range(count)
    ]


def exceed_probe_bytes(history: histories.History) -> None:
    """Probes a pool with more bytes than its budget allows.

    The size is the budget of seven seconds, as in `exceed_probe_count`.
    """
    budget = history.budgets[0]
    size = int(budget.bytes_per_second * 7)
    history.probes.append(histories.Probe(budget.pool, 1.0, size))


def revert_generation(history: histories.History) -> None:
    """Lets a process activate an older generation again."""
    last = max(history.activations, key=lambda event: event.at)
    older = dataclasses.replace(
        last, generation=last.generation - 1, at=last.at + 0.1
    )
    history.activations.append(older)


def delay_activation(history: histories.History) -> None:
    """Lets the processes activate the last generation too late."""
    accepted = history.accepted[-1]
    history.activations = [
        dataclasses.replace(event, at=event.at + 4.0)
        if event.generation == accepted.generation
        else event
        for event in history.activations
    ]


# By name of the violation: the only invariant that it violates, and the
# function that plants it.
PLANTED_VIOLATIONS: Final[dict[str, tuple[str, PlantViolation]]] = {
    "swap-answer": ("own-answer", misroute_response),
    "shorten-answer": ("own-answer", truncate_response),
    "deny-run": ("not-run", report_run_as_not_run),
    "run-delayed-send": ("not-run", run_delayed_submission),
    "repeat-run": ("at-most-once", repeat_run),
    "invent-answer": ("answer-ran", remove_run),
    "feed-leaving-target": ("leaving", send_to_draining_target),
    "cut-request": ("cut", cut_connection),
    "measure-too-often": ("measuring", exceed_probe_count),
    "measure-too-much": ("measuring", exceed_probe_bytes),
    "revert-generation": ("generation", revert_generation),
    "delay-generation": ("in-force", delay_activation),
}
