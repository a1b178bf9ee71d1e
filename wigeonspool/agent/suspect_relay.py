"""Forwards requests suspected of crashing targets to gateways and agents.

Each agent forwards the same information once, so messages do not circulate
between feeders. The rate is limited, so that a burst of crashes cannot use up
the bandwidth for control traffic.
"""

import collections
from collections.abc import Callable
from typing import Final

from wigeonspool.model import messages

MAX_STORED_SUSPECTS: Final = 1000
MAX_RELAYED_PER_SECOND: Final = 20


class SuspectRelay:
    """Forwards suspects and stores the targets that each one crashed.

    Attributes:
        dropped: Number of suspects not forwarded because of the rate limit.
    """

    __slots__ = (
        "_forwarded_targets",
        "_relayed_in_window",
        "_window_ends_at",
        "dropped",
    )

    def __init__(self) -> None:
        """Creates a relay that has forwarded nothing."""
        self._forwarded_targets: collections.OrderedDict[
            int, frozenset[str]
        ] = collections.OrderedDict()
        self._window_ends_at = 0.0
        self._relayed_in_window = 0
        self.dropped = 0

    def relay(
        self,
        now: float,
        suspect: messages.Suspect,
        send: Callable[[messages.Message], None],
    ) -> None:
        """Forwards a suspect if it names a target not yet forwarded for it.

        Sends all targets stored for the suspect. A suspect that was answered is
        forwarded if its crashes were, whatever the rate.

        Args:
            now: Time on this process's clock, in seconds.
            suspect: Report of a gateway or another agent.
            send: Sends a message to all connected processes.
        """
        forwarded = self._forwarded_targets.get(
            suspect.fingerprint, frozenset()
        )
        if suspect.answered:
            self._relay_answer(suspect, forwarded, send)
            return
        merged = forwarded | frozenset(suspect.targets)
        if merged == forwarded or not self._try_acquire(now):
            return
        self._forwarded_targets[suspect.fingerprint] = merged
        self._forwarded_targets.move_to_end(suspect.fingerprint)
        if len(self._forwarded_targets) > MAX_STORED_SUSPECTS:
            self._forwarded_targets.popitem(last=False)
        send(messages.Suspect(suspect.fingerprint, tuple(sorted(merged))))

    def _relay_answer(
        self,
        suspect: messages.Suspect,
        forwarded: frozenset[str],
        send: Callable[[messages.Message], None],
    ) -> None:
        """Forwards that a suspect was answered, and drops its crashes.

        Args:
            suspect: Report of a gateway or another agent.
            forwarded: Targets forwarded for the suspect.
            send: Sends a message to all connected processes.
        """
        remaining = forwarded - frozenset(suspect.targets)
        if remaining == forwarded:
            return
        if remaining:
            self._forwarded_targets[suspect.fingerprint] = remaining
        else:
            del self._forwarded_targets[suspect.fingerprint]
        send(suspect)

    def _try_acquire(self, now: float) -> bool:
        """Counts one message; returns True if the rate limit allows it."""
        if now >= self._window_ends_at:
            self._window_ends_at = now + 1.0
            self._relayed_in_window = 0
        if self._relayed_in_window >= MAX_RELAYED_PER_SECOND:
            self.dropped += 1
            return False
        self._relayed_in_window += 1
        return True
