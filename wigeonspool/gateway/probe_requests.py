"""Asks for the targets to be measured that this gateway holds out."""

from collections.abc import Callable
from typing import Final

from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.model import probe_messages

REPEAT_REQUEST_SECONDS: Final = 2.0
MAX_TARGETS: Final = 64


class ProbeRequester:
    """Remembers what it asked for last."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        send: Callable[[probe_messages.ProbeRequest], None],
    ) -> None:
        """Prepares to ask.

        Args:
            scheduler: Holds the core.
            send: Sends a wish to the agent.
        """
        self._scheduler = scheduler
        self._send = send
        self._requested: dict[str, tuple[str, ...]] = {}
        self._repeat_at = 0.0

    def request_probes(self, now: float) -> None:
        """Asks for what is out, at once for what went out since.

        Args:
            now: Time on the core's clock, in seconds.
        """
        ejected = self._scheduler.core.list_probe_targets(now)
        if now >= self._repeat_at:
            self._requested = {}
            self._repeat_at = now + REPEAT_REQUEST_SECONDS
        for pool, targets in ejected.items():
            if self._requested.get(pool) != targets:
                selected = targets[:MAX_TARGETS]
                self._send(probe_messages.ProbeRequest(pool, selected))
        self._requested = ejected
