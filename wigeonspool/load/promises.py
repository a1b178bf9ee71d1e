"""One function for each promise: it returns where a history breaks it."""

import collections
from collections.abc import Callable, Iterable
import dataclasses
from typing import Final

from wigeonspool.core import probe_budget
from wigeonspool.load import history as histories

LEAVING_BOUND_SECONDS: Final = 2.0
IN_FORCE_BOUND_SECONDS: Final = 3.0
MEASURING_WINDOW_SECONDS: Final = 5.0
SERVER_FAILURE_STATUS: Final = 500

# Faults that cut connections to the process they strike.
CUTTING: Final = frozenset({"gateway-kill", "silence", "crash", "lost-reply"})
# Faults that keep a process from hearing of generations.
DEAFENING: Final = frozenset({"partition", "pause", "store-outage"})


@dataclasses.dataclass(frozen=True, slots=True)
class Violation:
    """A promise that a history breaks.

    Attributes:
        promise: Name of the promise.
        subject: Key, request, target, pool or process that it is about.
        detail: What is wrong.
    """

    promise: str
    subject: str
    detail: str


def _group_runs(
    history: histories.History,
) -> dict[tuple[str, str], list[histories.Run]]:
    """Returns runs by caller and key, or by caller and request."""
    groups = collections.defaultdict(list)
    for run in history.runs:
        groups[(run.caller, run.key or run.request)].append(run)
    return groups


def _identify(invocation: histories.Invocation) -> tuple[str, str]:
    """Returns the caller and the key, or the request, of a send."""
    return (invocation.caller, invocation.key or invocation.request)


def _group_sends(
    history: histories.History,
) -> dict[tuple[str, str], list[histories.Invocation]]:
    """Returns sends by caller and key, in order of attempt."""
    groups = collections.defaultdict(list)
    for invocation in history.invocations:
        groups[_identify(invocation)].append(invocation)
    for sends in groups.values():
        sends.sort(key=lambda send: send.attempt)
    return groups


def check_own_answers(history: histories.History) -> list[Violation]:
    """Finds answers that are not the caller's own, or not whole."""
    return [
        Violation("own-answer", i.request, f"own={i.own} whole={i.whole}")
        for i in history.invocations
        if i.outcome == "answered" and not (i.own and i.whole)
    ]


def check_not_run(history: histories.History) -> list[Violation]:
    """Finds requests told not run that ran.

    A run after a caller was told so must belong to a later send of the key.
    """
    runs = _group_runs(history)
    found = []
    for identity, sends in _group_sends(history).items():
        for told in (s for s in sends if s.outcome == "not_run"):
            for run in runs.get(identity, ()):
                if not _has_later_send(told, run, sends):
                    detail = f"attempt {told.attempt} ran at {run.target}"
                    found.append(Violation("not-run", identity[1], detail))
    return found


def _has_later_send(
    told: histories.Invocation,
    run: histories.Run,
    sends: Iterable[histories.Invocation],
) -> bool:
    """Returns True if a send after one told not run explains a run."""
    return run.started_at >= told.ended_at and any(
        send.attempt > told.attempt and send.started_at <= run.started_at
        for send in sends
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


def check_answers_ran(history: histories.History) -> list[Violation]:
    """Finds answers that no run gave.

    A key that was answered has exactly one run, which answered. What a target
    fails at once has no run.
    """
    runs = _group_runs(history)
    found = []
    for identity, sends in _group_sends(history).items():
        answered = any(
            s.outcome == "answered" and s.status < SERVER_FAILURE_STATUS
            for s in sends
        )
        if not answered:
            continue
        endings = [run.ending for run in runs.get(identity, ())]
        count = endings.count("answered")
        if count < 1 or (count > 1 and not sends[0].idempotent):
            detail = f"answered, and its runs ended {endings}"
            found.append(Violation("answer-ran", identity[1], detail))
    return found


def check_leaving(history: histories.History) -> list[Violation]:
    """Finds work that a leaving target received after the bound."""
    found = []
    for leaving in history.leavings:
        closed_at = leaving.started_at + LEAVING_BOUND_SECONDS
        for run in history.runs:
            if run.target != leaving.target:
                continue
            if closed_at < run.started_at < leaving.ended_at:
                late = run.started_at - leaving.started_at
                detail = f"{run.request} began {late:.2f} s after it left"
                found.append(Violation("leaving", run.target, detail))
    return found


def check_cuts(history: histories.History) -> list[Violation]:
    """Finds requests that were cut with no fault to explain it.

    A planned stop is no fault, so it explains no cut. A deadline does.
    """
    found = []
    for send in history.invocations:
        if send.outcome != "cut" or send.ended_at >= send.deadline:
            continue
        explained = any(
            fault.kind in CUTTING
            and fault.overlaps(send.started_at, send.ended_at)
            for fault in history.faults
        )
        if not explained:
            detail = f"at gateway {send.gateway}: {send.reason}"
            found.append(Violation("cut", send.request, detail))
    return found


def check_measuring(history: histories.History) -> list[Violation]:
    """Finds pools that were measured beyond their budget."""
    found = []
    for budget in history.budgets:
        probes = [p for p in history.probes if p.pool == budget.pool]
        probes.sort(key=lambda probe: probe.at)
        window: collections.deque[histories.Probe] = collections.deque()
        for probe in probes:
            window.append(probe)
            while window[0].at <= probe.at - MEASURING_WINDOW_SECONDS:
                window.popleft()
            if _exceeds(budget, window):
                detail = f"{len(window)} probes in a window at {probe.at:.2f}"
                found.append(Violation("measuring", budget.pool, detail))
                break
    return found


def _exceeds(
    budget: histories.Budget, window: Iterable[histories.Probe]
) -> bool:
    """Returns True if the probes of one window exceed a budget.

    One second's worth, and at least one whole probe, may come as a burst.
    """
    sizes = [probe.size_bytes for probe in window]
    seconds = MEASURING_WINDOW_SECONDS
    requests = budget.requests_per_second
    size = budget.bytes_per_second
    return len(sizes) > requests * seconds + max(requests, 1.0) or sum(
        sizes
    ) > size * seconds + max(size, probe_budget.MAX_PROBE_BYTES)


def check_generations(history: histories.History) -> list[Violation]:
    """Finds processes that went back to an older generation."""
    held: dict[tuple[str, str], int] = {}
    found = []
    for event in sorted(history.in_force, key=lambda event: event.at):
        owner = (event.process, event.incarnation)
        if event.generation < held.get(owner, 0):
            detail = f"{held[owner]} went back to {event.generation}"
            found.append(Violation("generation", event.process, detail))
        held[owner] = event.generation
    return found


def check_in_force(history: histories.History) -> list[Violation]:
    """Finds processes that had a generation too late.

    A process must have it once it has run for the bound after the generation
    was accepted with no fault that kept it from hearing.
    """
    found = []
    for accepted in history.accepted:
        for life in history.lives:
            due = _find_due(history, accepted, life)
            if due > min(life.ended_at, history.ended_at):
                continue
            if not _holds_by(history, accepted.generation, life, due):
                detail = f"{accepted.generation} was not in force in time"
                found.append(Violation("in-force", life.process, detail))
    return found


def _find_due(
    history: histories.History,
    accepted: histories.Accepted,
    life: histories.Life,
) -> float:
    """Returns by when a process must have a generation in force."""
    due = max(accepted.at, life.started_at) + IN_FORCE_BOUND_SECONDS
    faults = [
        fault
        for fault in history.faults
        if fault.kind in DEAFENING and fault.subject in ("", life.vm)
    ]
    for fault in sorted(faults, key=lambda fault: fault.started_at):
        if fault.overlaps(due - IN_FORCE_BOUND_SECONDS, due):
            due = max(due, fault.ended_at + IN_FORCE_BOUND_SECONDS)
    return due


def _holds_by(
    history: histories.History,
    generation: int,
    life: histories.Life,
    due: float,
) -> bool:
    """Returns True if a process had a generation by some time."""
    return any(
        event.process == life.process
        and event.incarnation == life.incarnation
        and event.generation >= generation
        and event.at <= due
        for event in history.in_force
    )


PROMISES: Final[dict[str, Callable[[histories.History], list[Violation]]]] = {
    "own-answer": check_own_answers,
    "not-run": check_not_run,
    "at-most-once": check_at_most_once,
    "answer-ran": check_answers_ran,
    "leaving": check_leaving,
    "cut": check_cuts,
    "measuring": check_measuring,
    "generation": check_generations,
    "in-force": check_in_force,
}
