"""Learns how much longer work takes that takes the last slot of a target.

Some targets are slower while they are nearly full, by an amount that nobody
tells. Where that is so, a service does more work if its last slots stay free.
"""

from typing import Final

# Until answers tell: last slots are as good as others, and are tried.
INITIAL_SLOWDOWN: Final = 1.0
# From here on, three of four slots do as much work as four.
FULL_SLOWDOWN: Final = 1.3
# Weight of one answer; a ratio is known after about ten of them.
SAMPLE_WEIGHT: Final = 0.1
# Some requests take several times longer wherever they run.
MAX_SLOWDOWN: Final = 3.0
# A target at its usual pace tells about this much.
BASELINE_SLOWDOWN: Final = 1.2


class LastSlotSlowdowns:
    """How much longer work takes on last slots, by service."""

    __slots__ = ("_slowdowns",)

    def __init__(self) -> None:
        self._slowdowns: dict[str, float] = {}

    def record(
        self, service: str, seconds: float, baseline_seconds: float
    ) -> None:
        """Takes the time of work that took the last slot of a target.

        Args:
            service: Service of the target.
            seconds: How long the work took, at the usual pace.
            baseline_seconds: How long it takes where slots are free.
        """
        slowdown = min(MAX_SLOWDOWN, seconds / baseline_seconds)
        known = self.find(service)
        self._slowdowns[service] = known + (slowdown - known) * SAMPLE_WEIGHT

    def find(self, service: str) -> float:
        """Returns how many times longer work takes on a last slot."""
        return self._slowdowns.get(service, INITIAL_SLOWDOWN)


def takes_last_slot(running: int, waiting: int, slots: int) -> bool:
    """Returns True if one more request would take the last slot."""
    return not waiting and running + 1 == slots


def is_at_limit(
    running: int, waiting: int, slots: int, last_slot_slowdown: float
) -> bool:
    """Returns True if a target does no more work with one more request.

    Args:
        running: Requests that run there, with those on their way.
        waiting: Requests that wait there.
        slots: Requests that it runs at once.
        last_slot_slowdown: How many times longer work takes on its last slot.
    """
    if running + waiting >= slots:
        return True
    return running + 1 == slots and last_slot_slowdown >= FULL_SLOWDOWN
