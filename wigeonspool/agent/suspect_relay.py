"""Passes on which requests crash targets, to all gateways and agents.

Each agent passes a suspect on once, so a ring of feeders ends by itself. The
rate is bounded, so that a wave of crashes cannot spend the control budget.
"""

import collections
from collections.abc import Callable
from typing import Final

from wigeonspool.model import messages

MAX_KNOWN_SUSPECTS: Final = 1000
MAX_RELAYED_PER_SECOND: Final = 20


class SuspectRelay:
    """Remembers the suspects that this agent passed on.

    Attributes:
        dropped: Suspects that were not passed on for the bound on the rate.
    """

    __slots__ = (
        "_known_targets",
        "_relayed_in_window",
        "_window_ends_at",
        "dropped",
    )

    def __init__(self) -> None:
        """Prepares an empty memory."""
        self._known_targets: collections.OrderedDict[int, frozenset[str]] = (
            collections.OrderedDict()
        )
        self._window_ends_at = 0.0
        self._relayed_in_window = 0
        self.dropped = 0

    def relay(
        self,
        now: float,
        suspect: messages.Suspect,
        send: Callable[[messages.Message], None],
    ) -> None:
        """Takes a suspect and passes it on if it tells anything new.

        Args:
            now: Time on this process's clock, in seconds.
            suspect: What a gateway or another agent told.
            send: Sends a message to all that are connected.
        """
        known = self._known_targets.get(suspect.fingerprint, frozenset())
        merged = known | frozenset(suspect.targets)
        if merged == known or not self._try_acquire(now):
            return
        self._known_targets[suspect.fingerprint] = merged
        self._known_targets.move_to_end(suspect.fingerprint)
        if len(self._known_targets) > MAX_KNOWN_SUSPECTS:
            self._known_targets.popitem(last=False)
        send(messages.Suspect(suspect.fingerprint, tuple(sorted(merged))))

    def _try_acquire(self, now: float) -> bool:
        """Returns True if the rate allows one more."""
        if now >= self._window_ends_at:
            self._window_ends_at = now + 1.0
            self._relayed_in_window = 0
        if self._relayed_in_window >= MAX_RELAYED_PER_SECOND:
            self.dropped += 1
            return False
        self._relayed_in_window += 1
        return True
