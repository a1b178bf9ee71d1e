"""Decides from a history whether the promises to callers were kept."""

import collections
import dataclasses

from wigeonspool.load import history as histories
from wigeonspool.load import promises


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Counts over one history.

    Attributes:
        answered: Requests answered in time.
        late: Requests answered after their deadline.
        not_run: Requests that callers were told did not run.
        unknown: Requests whose outcome callers do not know.
        wrong: Answers that were not the caller's own.
        repeated: Keys of non-idempotent requests that ran more than once.
        cut: Requests whose connection ended without an answer.
        misreported: Requests told not run that a target began.
    """

    answered: int
    late: int
    not_run: int
    unknown: int
    wrong: int
    repeated: int
    cut: int
    misreported: int

    def is_kept(self) -> bool:
        """Returns True if no promise was broken."""
        return not (self.wrong or self.repeated or self.cut or self.misreported)


def check_history(history: histories.History) -> Verdict:
    """Returns the counts over a history."""
    outcomes = collections.Counter(i.outcome for i in history.invocations)
    answered = [i for i in history.invocations if i.outcome == "answered"]
    late = sum(i.ended_at > i.deadline for i in answered)
    return Verdict(
        answered=len(answered) - late,
        late=late,
        not_run=outcomes["not_run"],
        unknown=outcomes["unknown"],
        wrong=len(promises.check_own_answers(history)),
        repeated=len(promises.check_at_most_once(history)),
        cut=outcomes["cut"],
        misreported=len(promises.check_not_run(history)),
    )


def find_violations(history: histories.History) -> list[promises.Violation]:
    """Returns where a history breaks any promise."""
    return [
        violation
        for check in promises.PROMISES.values()
        for violation in check(history)
    ]


def trace_violation(
    history: histories.History, violation: promises.Violation
) -> list[str]:
    """Returns what the history holds of the subject, in order of time."""
    subject = violation.subject
    entries: list[tuple[float, str]] = []
    for send in history.invocations:
        if subject in (send.request, send.key):
            entries.append((send.started_at, f"send {send}"))
    for run in history.runs:
        if subject in (run.request, run.key, run.target):
            entries.append((run.started_at, f"run {run}"))
    for event in history.in_force:
        if event.process == subject:
            entries.append((event.at, f"in force {event}"))
    for fault in history.faults:
        entries.append((fault.started_at, f"fault {fault}"))
    for leaving in history.leavings:
        if leaving.target == subject:
            entries.append((leaving.started_at, f"leaving {leaving}"))
    return [text for _, text in sorted(entries)]
