"""Decides whether to use a candidate, to probe further or to wait.

Work takes several times longer on a target that is slow at the moment, and such
slowdowns pass soon. While a request can still be in time later, it is better to
probe again than to start it where its response would be late.
"""

import enum
from typing import Final, NamedTuple

# A target within this limit is used without probing others. The limit admits a
# target with three of its four slots in use and no slowdown from that load.
SLOWDOWN_LIMIT: Final = 1.3
# Work that starts with fewer baseline service times than this before its
# objective is likely to be late.
MIN_REMAINING_RATIO: Final = 1.15
# Weight of one response in a baseline.
SAMPLE_WEIGHT: Final = 0.05
# Margin between the expected end of late work and its deadline: a few round
# trips.
DEADLINE_MARGIN_SECONDS: Final = 0.02
# Late work probes less often by this factor, since work that can still be in
# time has several times the value.
LATE_INTERVAL_FACTOR: Final = 4.0
# Work probes less often by this factor while more urgent requests wait for the
# same targets, so that these are the first to find three of four targets that
# become free.
URGENT_INTERVAL_FACTOR: Final = 3.0
# Baseline service time of a rule without responses so far, as a fraction of its
# objective.
INITIAL_BASELINE_RATIO: Final = 0.35


class Step(enum.Enum):
    """What to do with the best candidate so far.

    SEND: send the request to it.
    PROBE: probe targets that were not probed yet.
    WAIT: probe again after a delay.
    REFUSE: refuse the request, which cannot be answered by its deadline.
    """

    SEND = "take"
    PROBE = "ask"
    WAIT = "wait"
    REFUSE = "refuse"


class TargetEstimate(NamedTuple):
    """Estimated slowdown of a new request at a target.

    Attributes:
        slowdown: Ratio of the expected to the baseline service time.
        cost: Slowdown increased by recent failures and bad health, for ranking.
        full: True if one more request would not raise the target's throughput.
    """

    slowdown: float
    cost: float
    full: bool = False


class BaselineServiceTimes:
    """Baseline service times by rule and service."""

    __slots__ = ("_seconds",)

    def __init__(self) -> None:
        self._seconds: dict[str, float] = {}

    def record(self, name: str, seconds: float, slowdown: float) -> None:
        """Updates a baseline with the service time of one response.

        Args:
            name: Rule and service.
            seconds: Service time of the response.
            slowdown: Slowdown that was expected of the target.
        """
        baseline_seconds = seconds / max(1.0, slowdown)
        recorded = self._seconds.get(name, baseline_seconds)
        self._seconds[name] = (
            recorded + (baseline_seconds - recorded) * SAMPLE_WEIGHT
        )

    def find(self, name: str, objective_seconds: float) -> float:
        """Returns the baseline service time of a rule, in seconds.

        Args:
            name: Rule and service.
            objective_seconds: Objective of the rule, used until a response was
                recorded.
        """
        recorded = self._seconds.get(name)
        return (
            INITIAL_BASELINE_RATIO * objective_seconds
            if recorded is None
            else recorded
        )


def decide(
    now: float,
    baseline_seconds: float,
    best: TargetEstimate | None,
    objective_at: float,
    deadline: float,
    has_unprobed: bool,
    may_be_late: bool = True,
    has_fast_target: bool = True,
) -> Step:
    """Returns what to do next with a request.

    Work does not queue at a target, because it cannot be moved from there, and
    last slots stay free where using them slows a target down. Work waits for a
    better target instead, even past its objective: late work uses only free
    slots.

    Args:
        now: Time on the core's clock, in seconds.
        baseline_seconds: Baseline service time of the work.
        best: Estimate of the best candidate so far, or None.
        objective_at: Time after which the response has less value.
        deadline: Time at which the caller gives up.
        has_unprobed: True if some targets were not probed yet.
        may_be_late: False if the request must not wait for these targets past
            its objective, because targets of other groups are probed then.
        has_fast_target: False if no target of the service was fast recently, so
            that waiting gains nothing.
    """
    usable = best if best is not None and not best.full else None
    if usable is not None:
        in_time = now + baseline_seconds * usable.cost <= objective_at
        if is_within_slowdown_limit(usable) or in_time:
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
    if usable is not None and meets_deadline and not has_fast_target:
        return Step.SEND
    if may_be_late and not is_late(
        now, baseline_seconds, deadline - DEADLINE_MARGIN_SECONDS
    ):
        return Step.WAIT
    return Step.SEND if meets_deadline else Step.REFUSE


def is_within_slowdown_limit(candidate: TargetEstimate) -> bool:
    """Returns True if a candidate is used without probing others."""
    return not candidate.full and candidate.cost <= SLOWDOWN_LIMIT


def is_late(now: float, baseline_seconds: float, until: float) -> bool:
    """Returns True if work that starts now is likely to end after a time.

    Args:
        now: Time on the core's clock, in seconds.
        baseline_seconds: Baseline service time of the work.
        until: Time by which the work should end.
    """
    return now + baseline_seconds * MIN_REMAINING_RATIO >= until


def find_probe_delay(
    now: float,
    baseline_seconds: float,
    objective_at: float,
    deadline: float,
    waiting: int,
    interval_seconds: float,
    more_urgent_queued: bool = False,
) -> float:
    """Returns how long to wait before probing again, in seconds.

    Queued requests share their probes: the more requests are queued, the less
    often each of them probes, so that all together probe as often as one alone.

    Args:
        now: Time on the core's clock, in seconds.
        baseline_seconds: Baseline service time of the work.
        objective_at: Time after which the response has less value.
        deadline: Time at which the caller gives up.
        waiting: Requests to the service that are queued at this VM.
        interval_seconds: Time between two probes of this VM.
        more_urgent_queued: True if a more urgent request is queued as well.
    """
    late = is_late(now, baseline_seconds, objective_at)
    delay = interval_seconds * max(1, waiting)
    if late:
        delay *= LATE_INTERVAL_FACTOR
    if more_urgent_queued:
        delay *= URGENT_INTERVAL_FACTOR
    until = deadline - DEADLINE_MARGIN_SECONDS if late else objective_at
    max_delay = until - baseline_seconds * MIN_REMAINING_RATIO - now
    return max(interval_seconds, min(delay, max_delay))
