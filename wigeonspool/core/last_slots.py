"""Estimates how much slower work is that uses the last slot of a target.

Some targets are slower while they are nearly full, by an amount that no report
contains. Where that is so, a service does more work if its last slots stay
free.
"""

from typing import Final

# Until there are responses, last slots count as no slower than others, so that
# they are used.
INITIAL_SLOWDOWN: Final = 1.0
# At this slowdown, three of four slots in use do as much work as four.
FULL_SLOWDOWN: Final = 1.3
# Weight of one response; the estimate settles after about ten of them.
SAMPLE_WEIGHT: Final = 0.1
# Bounds the effect of a single response, since some requests take several times
# longer on any target.
MAX_SLOWDOWN: Final = 3.0
# A target that runs at its baseline reports a slowdown of up to about this.
BASELINE_SLOWDOWN: Final = 1.2


class LastSlotSlowdowns:
    """Slowdown of work that uses the last slot of a target, by service."""

    __slots__ = ("_slowdowns",)

    def __init__(self) -> None:
        self._slowdowns: dict[str, float] = {}

    def record(
        self, service: str, seconds: float, baseline_seconds: float
    ) -> None:
        """Updates the estimate with work that used the last slot of a target.

        Args:
            service: Service of the target.
            seconds: Service time of the work, on a target without other
                slowdown.
            baseline_seconds: Service time of such work where slots are free.
        """
        slowdown = min(MAX_SLOWDOWN, seconds / baseline_seconds)
        estimate = self.find(service)
        self._slowdowns[service] = (
            estimate + (slowdown - estimate) * SAMPLE_WEIGHT
        )

    def find(self, service: str) -> float:
        """Returns the slowdown of work on a last slot."""
        return self._slowdowns.get(service, INITIAL_SLOWDOWN)


def takes_last_slot(running: int, waiting: int, slots: int) -> bool:
    """Returns True if one more request would use the last slot."""
    return not waiting and running + 1 == slots


def is_at_limit(
    running: int, waiting: int, slots: int, last_slot_slowdown: float
) -> bool:
    """Returns True if one more request would not raise a target's throughput.

    Args:
        running: Requests that run there, including those on their way.
        waiting: Requests that are queued there.
        slots: Requests that it runs at once.
        last_slot_slowdown: Slowdown of work that uses its last slot.
    """
    if running + waiting >= slots:
        return True
    return running + 1 == slots and last_slot_slowdown >= FULL_SLOWDOWN
