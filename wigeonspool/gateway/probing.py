"""Asks for the targets to be measured that this gateway holds out."""

from collections.abc import Callable
from typing import Final

from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.model import measurements

ASK_AGAIN_SECONDS: Final = 2.0
MAX_TARGETS: Final = 64


class ProbeAsker:
    """Remembers what it asked for last."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        send: Callable[[measurements.ProbeRequest], None],
    ) -> None:
        """Prepares to ask.

        Args:
            scheduler: Holds the core.
            send: Sends a wish to the agent.
        """
        self._scheduler = scheduler
        self._send = send
        self._asked: dict[str, tuple[str, ...]] = {}
        self._ask_again_at = 0.0

    def observe(self, now: float) -> None:
        """Asks for what is out, at once for what went out since.

        Args:
            now: Time on the core's clock, in seconds.
        """
        out = self._scheduler.core.list_out(now)
        if now >= self._ask_again_at:
            self._asked = {}
            self._ask_again_at = now + ASK_AGAIN_SECONDS
        for pool, targets in out.items():
            if self._asked.get(pool) != targets:
                chosen = targets[:MAX_TARGETS]
                self._send(measurements.ProbeRequest(pool, chosen))
        self._asked = out
