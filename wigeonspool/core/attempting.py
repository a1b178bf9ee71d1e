"""Says when a request may be sent once more.

All VMs together may send a service only so many attempts beyond the first of
each request. Each VM keeps to its part of that.
"""

from typing import Final

# Part of the promised fraction that is used; counts of a window lag.
USED_FRACTION: Final = 0.6
# Attempts that did not run are limited too, for a full service refuses all.
MOST_SENDS: Final = 4
# What is left of the time must allow for this many usual service times.
LEAST_ROOM: Final = 1.1


class RetryAllowance:
    """What this VM may send beyond first attempts, by service."""

    __slots__ = ("_burst", "_credits", "_fraction", "refused")

    def __init__(self, fraction: float, slack: float) -> None:
        """Prepares the allowance.

        Args:
            fraction: Attempts beyond the first, as a part of the requests.
            slack: Attempts allowed beside that in a window, over all VMs.
        """
        self._fraction = fraction * USED_FRACTION
        self._burst = slack
        self._credits: dict[str, float] = {}
        self.refused = 0

    def earn(self, service: str, vms: int) -> None:
        """Adds what one request allows.

        Args:
            service: Service that it goes to.
            vms: Entry VMs that share the slack.
        """
        burst = max(1.0, self._burst / (2 * max(1, vms)))
        known = self._credits.get(service, burst)
        self._credits[service] = min(burst, known + self._fraction)

    def spend(self, service: str) -> bool:
        """Returns True if one more attempt may be sent, and charges it."""
        known = self._credits.get(service, 0.0)
        if known < 1.0:
            self.refused += 1
            return False
        self._credits[service] = known - 1.0
        return True


def may_send_again(
    repeatable: bool, not_run: bool, sends: int, runs: int, most_targets: int
) -> bool:
    """Returns True if a request may be sent to another target.

    Args:
        repeatable: True if it may run more than once.
        not_run: True if the last attempt provably did not run.
        sends: Attempts sent so far.
        runs: Attempts of these that may have run.
        most_targets: Most targets that may run it.
    """
    if sends >= MOST_SENDS:
        return False
    if runs and not repeatable:
        return False
    return not_run or runs < most_targets
