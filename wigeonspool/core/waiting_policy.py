"""Decides whether an offer is good enough, or others are worth asking.

Work takes several times longer on a target that is slow at this moment, and
the moment passes soon. While a request can still be in time later, it is
better to ask again than to start it where it would be late.
"""

import enum
from typing import Final, NamedTuple

# A target this little slower than usual is taken without asking others; one
# that runs three of four requests, and minds none of them, is within it.
GOOD_SLOWDOWN: Final = 1.3
# Work that starts later than this before its objective is likely late.
MIN_REMAINING_RATIO: Final = 1.15
SAMPLE_WEIGHT: Final = 0.05
# Between the last moment at which late work may start and its deadline: a few
# round trips.
DEADLINE_MARGIN_SECONDS: Final = 0.02
# Late work asks this much less often, since work that can still be in time is
# worth several times more.
LATE_INTERVAL_FACTOR: Final = 4.0
# Work asks this much less often while something more urgent waits for the same
# targets, which then meets three of four that become free first.
URGENT_INTERVAL_FACTOR: Final = 3.0
# Service time of a rule that was never seen, as a part of its objective.
INITIAL_BASELINE_RATIO: Final = 0.35


class Step(enum.Enum):
    """What to do with the best offer so far.

    SEND: send the request there.
    PROBE: ask targets that were not asked yet.
    WAIT: ask again in a moment.
    REFUSE: it cannot be answered by its deadline.
    """

    SEND = "take"
    PROBE = "ask"
    WAIT = "wait"
    REFUSE = "refuse"


class TargetEstimate(NamedTuple):
    """How a target looks.

    Attributes:
        slowdown: How many times longer than usual work would take there.
        cost: The same with all that speaks against the target, for ranking.
        full: True if it does no more work with one more request.
    """

    slowdown: float
    cost: float
    full: bool = False


class BaselineServiceTimes:
    """Service times at the usual pace, by rule and service."""

    __slots__ = ("_seconds",)

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def record(self, name: str, seconds: float, slowdown: float) -> None:
        """Takes the time of one answer.

        Args:
            name: Rule and service.
            seconds: How long it took.
            slowdown: How much longer than usual that was expected to be.
        """
        baseline_seconds = seconds / max(1.0, slowdown)
        known = self._seconds.get(name, baseline_seconds)
        self._seconds[name] = known + (baseline_seconds - known) * SAMPLE_WEIGHT

    def find(self, name: str, objective_seconds: float) -> float:
        """Returns the usual time of a rule, in seconds."""
        known = self._seconds.get(name)
        return (
            INITIAL_BASELINE_RATIO * objective_seconds
            if known is None
            else known
        )


def decide(
    now: float,
    baseline_seconds: float,
    best: TargetEstimate | None,
    objective_at: float,
    deadline: float,
    has_unprobed: bool,
    may_be_late: bool = True,
    others_fast: bool = True,
) -> Step:
    """Returns what to do next.

    Work does not queue at a target, where nobody can move it any more, and
    leaves last slots free where they slow a target down. It waits for a better
    target, also past its objective: what is late takes only what is free.

    Args:
        now: Time on the core's clock, in seconds.
        baseline_seconds: Time that the work takes at the usual pace.
        best: The best offer so far, or None.
        objective_at: When the answer loses its full value.
        deadline: When the caller gives up.
        has_unprobed: True if some targets were not asked yet.
        may_be_late: False if others are to be asked once it would be late.
        others_fast: False if no target of the service was fast lately, so that
            nothing is gained by a wait.
    """
    usable = best if best is not None and not best.full else None
    if usable is not None:
        in_time = now + baseline_seconds * usable.cost <= objective_at
        if is_good(usable) or in_time:
            return Step.SEND
    if has_unprobed:
        return Step.PROBE
    if (
        usable is not None
        and now + baseline_seconds * usable.slowdown <= objective_at
    ):
        return Step.SEND
    if not is_late(now, baseline_seconds, objective_at):
        return Step.WAIT
    meets_deadline = (
        best is not None and now + baseline_seconds * best.slowdown < deadline
    )
    if usable is not None and meets_deadline and not others_fast:
        return Step.SEND
    if may_be_late and not is_late(
        now, baseline_seconds, deadline - DEADLINE_MARGIN_SECONDS
    ):
        return Step.WAIT
    return Step.SEND if meets_deadline else Step.REFUSE


def is_good(candidate: TargetEstimate) -> bool:
    """Returns True if an offer is taken without asking others."""
    return not candidate.full and candidate.cost <= GOOD_SLOWDOWN


def is_late(now: float, baseline_seconds: float, until: float) -> bool:
    """Returns True if work that starts now likely ends after a time."""
    return now + baseline_seconds * MIN_REMAINING_RATIO >= until


def find_probe_delay(
    now: float,
    baseline_seconds: float,
    objective_at: float,
    deadline: float,
    waiting: int,
    interval_seconds: float,
    others_urgent: bool = False,
) -> float:
    """Returns how long to wait before asking again, in seconds.

    What waits together shares its questions: the more requests wait, the less
    often each one asks, and all together ask as often as one alone.

    Args:
        now: Time on the core's clock, in seconds.
        baseline_seconds: Time that the work takes at the usual pace.
        objective_at: When the answer loses its full value.
        deadline: When the caller gives up.
        waiting: Requests to the service that wait at this VM.
        interval_seconds: Time between two questions of this VM.
        others_urgent: True if something more urgent waits as well.
    """
    late = is_late(now, baseline_seconds, objective_at)
    delay = interval_seconds * max(1, waiting)
    if late:
        delay *= LATE_INTERVAL_FACTOR
    if others_urgent:
        delay *= URGENT_INTERVAL_FACTOR
    until = deadline - DEADLINE_MARGIN_SECONDS if late else objective_at
    last = until - baseline_seconds * MIN_REMAINING_RATIO - now
    return max(interval_seconds, min(delay, last))
