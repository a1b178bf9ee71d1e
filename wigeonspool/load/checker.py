"""Decides from a history whether the promises to callers were kept."""

import collections
import dataclasses

from wigeonspool.load import history as histories


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
        wrong=sum(not i.own for i in answered),
        repeated=count_repeated(history),
        cut=outcomes["cut"],
        misreported=count_misreported(history),
    )


def count_repeated(history: histories.History) -> int:
    """Returns the number of keys that ran more than once."""
    runs = collections.Counter(
        (run.caller, run.key) for run in history.runs if run.key
    )
    return sum(count > 1 for count in runs.values())


def count_misreported(history: histories.History) -> int:
    """Returns the number of requests told not run that a target began.

    A key counts as not run if that is the last thing its caller was told; a
    request without a key counts by its own identity.
    """
    begun_keys = {(run.caller, run.key) for run in history.runs if run.key}
    begun_requests = {run.request for run in history.runs}
    return sum(
        (i.caller, i.key) in begun_keys
        if i.key
        else i.request in begun_requests
        for i in history.invocations
        if i.outcome == "not_run"
    )
