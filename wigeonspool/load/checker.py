"""Checks whether a history violates the guarantees to callers."""

import collections
import dataclasses

from wigeonspool.load import history as histories
from wigeonspool.load import invariants


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Counts of requests in one history.

    Attributes:
        answered: Requests with a response in time.
        late: Requests with a response after their deadline.
        not_run: Requests that were reported to callers as not run.
        unknown: Requests whose outcome is unknown to their callers.
        wrong: Responses that were misrouted or incomplete.
        repeated: Keys of non-idempotent requests that ran more than once.
        cut: Requests whose connection ended without a response.
        misreported: Requests reported as not run that a target started.
    """

    answered: int
    late: int
    not_run: int
    unknown: int
    wrong: int
    repeated: int
    cut: int
    misreported: int

    def has_no_violations(self) -> bool:
        """Returns True if all counts of violations are zero."""
        return not (self.wrong or self.repeated or self.cut or self.misreported)


def check_history(history: histories.History) -> Verdict:
    """Checks some of the invariants and returns the counts of a history."""
    outcomes = collections.Counter(i.outcome for i in history.invocations)
    answered = [i for i in history.invocations if i.outcome == "answered"]
    late = sum(i.ended_at > i.deadline for i in answered)
    return Verdict(
        answered=len(answered) - late,
        late=late,
        not_run=outcomes["not_run"],
        unknown=outcomes["unknown"],
        wrong=len(invariants.check_own_responses(history)),
        repeated=len(invariants.check_at_most_once(history)),
        cut=outcomes["cut"],
        misreported=len(invariants.check_not_run(history)),
    )


def find_violations(history: histories.History) -> list[invariants.Violation]:
    """Returns the violations of all invariants in a history."""
    return [
        violation
        for check in invariants.INVARIANTS.values()
        for violation in check(history)
    ]


def trace_violation(
    history: histories.History, violation: invariants.Violation
) -> list[str]:
    """Returns all faults and the records about the subject, by time."""
    subject = violation.subject
    entries: list[tuple[float, str]] = []
    for submission in history.invocations:
        if subject in (submission.request, submission.key):
            entries.append((submission.started_at, f"send {submission}"))
    for run in history.runs:
        if subject in (run.request, run.key, run.target):
            entries.append((run.started_at, f"run {run}"))
    for event in history.activations:
        if event.process == subject:
            entries.append((event.at, f"in force {event}"))
    for fault in history.faults:
        entries.append((fault.started_at, f"fault {fault}"))
    for period in history.draining_periods:
        if period.target == subject:
            entries.append((period.started_at, f"leaving {period}"))
    return [text for _, text in sorted(entries)]
