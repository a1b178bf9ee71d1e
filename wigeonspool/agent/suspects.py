"""Passes on which requests crash targets, to all gateways and agents.

Each agent passes a suspect on once, so a ring of feeders ends by itself. The
rate is bounded, so that a wave of crashes cannot spend the control budget.
"""

import collections
from collections.abc import Callable
from typing import Final

from wigeonspool.model import messages

KEPT_SUSPECTS: Final = 1000
PASSED_PER_SECOND: Final = 20


class SuspectRelay:
    """Remembers the suspects that this agent passed on.

    Attributes:
        dropped: Suspects that were not passed on for the bound on the rate.
    """

    __slots__ = ("_known", "_passed", "_window_ends_at", "dropped")

    def __init__(self) -> None:
        """Prepares an empty memory."""
        self._known: collections.OrderedDict[int, frozenset[str]] = (
            collections.OrderedDict()
        )
        self._window_ends_at = 0.0
        self._passed = 0
        self.dropped = 0

    def take(
        self,
        now: float,
        suspect: messages.Suspect,
        pass_on: Callable[[messages.Message], None],
    ) -> None:
        """Takes a suspect and passes it on if it tells anything new.

        Args:
            now: Time on this process's clock, in seconds.
            suspect: What a gateway or another agent told.
            pass_on: Sends a message to all that are connected.
        """
        known = self._known.get(suspect.fingerprint, frozenset())
        joined = known | frozenset(suspect.targets)
        if joined == known or not self._may_pass(now):
            return
        self._known[suspect.fingerprint] = joined
        self._known.move_to_end(suspect.fingerprint)
        if len(self._known) > KEPT_SUSPECTS:
            self._known.popitem(last=False)
        pass_on(messages.Suspect(suspect.fingerprint, tuple(sorted(joined))))

    def _may_pass(self, now: float) -> bool:
        """Returns True if the rate allows one more."""
        if now >= self._window_ends_at:
            self._window_ends_at = now + 1.0
            self._passed = 0
        if self._passed >= PASSED_PER_SECOND:
            self.dropped += 1
            return False
        self._passed += 1
        return True
