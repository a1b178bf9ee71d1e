"""Decides whether an offer is good enough, or others are worth asking.

Work takes several times longer on a target that is slow at this moment, and
the moment passes soon. While a request can still be in time later, it is
better to ask again than to start it where it would be late.
"""

import enum
from typing import Final, NamedTuple

# A target this little slower than usual is taken without asking others.
GOOD_STRETCH: Final = 1.6
# Work that starts later than this before its objective is likely late.
SPARE_RATIO: Final = 1.15
LEARNING: Final = 0.05
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
    """

    stretch: float
    cost: float


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
) -> Step:
    """Returns what to do next.

    Args:
        now: Time on the core's clock, in seconds.
        usual: Time that the work takes at the usual pace.
        best: The best offer so far, or None.
        objective_at: When the answer loses its full value.
        deadline: When the caller gives up.
        unasked: True if some targets were not asked yet.
    """
    if best is not None and best.cost <= GOOD_STRETCH:
        return Step.TAKE
    if best is not None and now + usual * best.cost <= objective_at:
        return Step.TAKE
    if unasked:
        return Step.ASK
    if best is not None and now + usual * best.stretch <= objective_at:
        return Step.TAKE
    if now + usual * SPARE_RATIO < objective_at:
        return Step.WAIT
    if best is None:
        return Step.REFUSE
    in_time = now + usual * best.stretch < deadline
    return Step.TAKE if in_time else Step.REFUSE
