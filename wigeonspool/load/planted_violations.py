"""Plants a violation of each promise in a history that keeps them all.

The checker is tried on these: each must be found, and nothing else.
"""

from collections.abc import Callable
import dataclasses
from typing import Final

from wigeonspool.load import history as histories

Mutation = Callable[[histories.History], None]


def _find_answered(history: histories.History) -> histories.Invocation:
    """Returns a non-idempotent send that was answered."""
    return next(
        send
        for send in history.invocations
        if send.outcome == "answered" and not send.idempotent
    )


def _find_run(
    history: histories.History, send: histories.Invocation
) -> histories.Run:
    """Returns the run of a send's key."""
    return next(run for run in history.runs if run.key == send.key)


def swap_answer(history: histories.History) -> None:
    """Gives a caller the answer to another request."""
    _find_answered(history).own = False


def shorten_answer(history: histories.History) -> None:
    """Gives a caller a part of its answer as the whole."""
    _find_answered(history).whole = False


def deny_run(history: histories.History) -> None:
    """Tells a caller that a request was not run that was running."""
    send = _find_answered(history)
    send.outcome = "not_run"
    send.reason = "target-refused"


def run_delayed_send(history: histories.History) -> None:
    """Runs a send that was delayed after a later one was told not run."""
    send = _find_answered(history)
    run = _find_run(history, send)
    resend = dataclasses.replace(
        send,
        attempt=send.attempt + 1,
        outcome="not_run",
        ended_at=run.started_at - 0.001,
    )
    send.outcome = "left"
    history.invocations.append(resend)


def repeat_run(history: histories.History) -> None:
    """Runs a key a second time, which its caller never learns."""
    run = _find_run(history, _find_answered(history))
    repeated = dataclasses.replace(
        run, started_at=run.ended_at, ending="cancelled"
    )
    history.runs.append(repeated)


def invent_answer(history: histories.History) -> None:
    """Answers a request that no target ran."""
    history.runs.remove(_find_run(history, _find_answered(history)))


def feed_leaving_target(history: histories.History) -> None:
    """Sends work to a target that left long before."""
    run = history.runs[-1]
    history.leavings.append(histories.Leaving(run.target, run.started_at - 2.5))


def cut_request(history: histories.History) -> None:
    """Cuts a read while no fault strikes."""
    send = next(s for s in history.invocations if s.idempotent)
    send.outcome = "cut"


def measure_too_often(history: histories.History) -> None:
    """Measures a pool beyond its number of requests."""
    budget = history.budgets[0]
    count = int(budget.requests_per_second * 7)
    history.probes += [
        histories.Probe(budget.pool, 1.0 + i * 0.001, 1) for i in range(count)
    ]


def measure_too_much(history: histories.History) -> None:
    """Measures a pool beyond its number of bytes."""
    budget = history.budgets[0]
    size = int(budget.bytes_per_second * 7)
    history.probes.append(histories.Probe(budget.pool, 1.0, size))


def revert_generation(history: histories.History) -> None:
    """Puts an older generation in force again."""
    last = max(history.in_force, key=lambda event: event.at)
    older = dataclasses.replace(
        last, generation=last.generation - 1, at=last.at + 0.1
    )
    history.in_force.append(older)


def delay_generation(history: histories.History) -> None:
    """Puts a generation in force too late in one process."""
    accepted = history.accepted[-1]
    history.in_force = [
        dataclasses.replace(event, at=event.at + 4.0)
        if event.generation == accepted.generation
        else event
        for event in history.in_force
    ]


# The promise that each breaks, and no other.
MUTATIONS: Final[dict[str, tuple[str, Mutation]]] = {
    "swap-answer": ("own-answer", swap_answer),
    "shorten-answer": ("own-answer", shorten_answer),
    "deny-run": ("not-run", deny_run),
    "run-delayed-send": ("not-run", run_delayed_send),
    "repeat-run": ("at-most-once", repeat_run),
    "invent-answer": ("answer-ran", invent_answer),
    "feed-leaving-target": ("leaving", feed_leaving_target),
    "cut-request": ("cut", cut_request),
    "measure-too-often": ("measuring", measure_too_often),
    "measure-too-much": ("measuring", measure_too_much),
    "revert-generation": ("generation", revert_generation),
    "delay-generation": ("in-force", delay_generation),
}
