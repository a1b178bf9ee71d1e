"""Decides whether an offer is good enough, or others are worth asking.

Work takes several times longer on a target that is slow at this moment, and
the moment passes soon. While a request can still be in time later, it is
better to ask again than to start it where it would be late.
"""

import enum
from typing import Final, NamedTuple

# A target this little slower than usual is taken without asking others; one
# that runs three of four requests, and minds none of them, is within it.
GOOD_STRETCH: Final = 1.3
# Work that starts later than this before its objective is likely late.
SPARE_RATIO: Final = 1.15
LEARNING: Final = 0.05
# Between the last moment at which late work may start and its deadline: a few
# round trips.
LATE_SECONDS: Final = 0.02
# Late work asks this much less often, since work that can still be in time is
# worth several times more.
LATE_PATIENCE: Final = 4.0
# Work asks this much less often while something more urgent waits for the same
# targets, which then meets three of four that become free first.
URGENT_PATIENCE: Final = 3.0
# Service time of a rule that was never seen, as a part of its objective.
FIRST_RATIO: Final = 0.35


class Step(enum.Enum):
    """What to do with the best offer so far.

    TAKE: send the request there.
    ASK: ask targets that were not asked yet.
    WAIT: ask again in a moment.
    REFUSE: it cannot be answered by its deadline.
    """

    TAKE = "take"
    ASK = "ask"
    WAIT = "wait"
    REFUSE = "refuse"


class Prospect(NamedTuple):
    """How a target looks.

    Attributes:
        stretch: How many times longer than usual work would take there.
        cost: The same with all that speaks against the target, for ranking.
        full: True if it does no more work with one more request.
    """

    stretch: float
    cost: float
    full: bool = False


class UsualTimes:
    """Service times at the usual pace, by rule and service."""

    __slots__ = ("_seconds",)

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def learn(self, name: str, seconds: float, stretch: float) -> None:
        """Takes the time of one answer.

        Args:
            name: Rule and service.
            seconds: How long it took.
            stretch: How much longer than usual that was expected to be.
        """
        usual = seconds / max(1.0, stretch)
        known = self._seconds.get(name, usual)
        self._seconds[name] = known + (usual - known) * LEARNING

    def find(self, name: str, objective_seconds: float) -> float:
        """Returns the usual time of a rule, in seconds."""
        known = self._seconds.get(name)
        return FIRST_RATIO * objective_seconds if known is None else known


def decide(
    now: float,
    usual: float,
    best: Prospect | None,
    objective_at: float,
    deadline: float,
    unasked: bool,
    may_be_late: bool = True,
    others_fast: bool = True,
) -> Step:
    """Returns what to do next.

    Work does not queue at a target, where nobody can move it any more, and
    leaves last slots free where they slow a target down. It waits for a better
    target, also past its objective: what is late takes only what is free.

    Args:
        now: Time on the core's clock, in seconds.
        usual: Time that the work takes at the usual pace.
        best: The best offer so far, or None.
        objective_at: When the answer loses its full value.
        deadline: When the caller gives up.
        unasked: True if some targets were not asked yet.
        may_be_late: False if others are to be asked once it would be late.
        others_fast: False if no target of the service was fast lately, so that
            nothing is gained by a wait.
    """
    free = best if best is not None and not best.full else None
    if free is not None:
        in_time = now + usual * free.cost <= objective_at
        if is_good(free) or in_time:
            return Step.TAKE
    if unasked:
        return Step.ASK
    if free is not None and now + usual * free.stretch <= objective_at:
        return Step.TAKE
    if not is_late(now, usual, objective_at):
        return Step.WAIT
    may_end = best is not None and now + usual * best.stretch < deadline
    if free is not None and may_end and not others_fast:
        return Step.TAKE
    if may_be_late and not is_late(now, usual, deadline - LATE_SECONDS):
        return Step.WAIT
    return Step.TAKE if may_end else Step.REFUSE


def is_good(best: Prospect) -> bool:
    """Returns True if an offer is taken without asking others."""
    return not best.full and best.cost <= GOOD_STRETCH


def is_late(now: float, usual: float, until: float) -> bool:
    """Returns True if work that starts now likely ends after a time."""
    return now + usual * SPARE_RATIO >= until


def find_pause(
    now: float,
    usual: float,
    objective_at: float,
    deadline: float,
    waiting: int,
    step_seconds: float,
    others_urgent: bool = False,
) -> float:
    """Returns how long to wait before asking again, in seconds.

    What waits together shares its questions: the more requests wait, the less
    often each one asks, and all together ask as often as one alone.

    Args:
        now: Time on the core's clock, in seconds.
        usual: Time that the work takes at the usual pace.
        objective_at: When the answer loses its full value.
        deadline: When the caller gives up.
        waiting: Requests to the service that wait at this VM.
        step_seconds: Time between two questions of this VM.
        others_urgent: True if something more urgent waits as well.
    """
    late = is_late(now, usual, objective_at)
    pause = step_seconds * max(1, waiting)
    if late:
        pause *= LATE_PATIENCE
    if others_urgent:
        pause *= URGENT_PATIENCE
    until = deadline - LATE_SECONDS if late else objective_at
    last = until - usual * SPARE_RATIO - now
    return max(step_seconds, min(pause, last))
