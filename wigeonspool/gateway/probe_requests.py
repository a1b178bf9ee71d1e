"""Requests probes of this gateway's unavailable targets from the agent."""

from collections.abc import Callable
from typing import Final

from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.model import probe_messages

REPEAT_REQUEST_SECONDS: Final = 2.0
MAX_TARGETS_PER_REQUEST: Final = 64


class ProbeRequester:
    """Requests probes and records which targets it last requested them of."""

    def __init__(
        self,
        scheduler: schedulers.Scheduler,
        send: Callable[[probe_messages.ProbeRequest], None],
    ) -> None:
        """Creates a requester that has requested no probes.

        Args:
            scheduler: Holds the core.
            send: Sends a probe request to the agent.
        """
        self._scheduler = scheduler
        self._send = send
        self._requested: dict[str, tuple[str, ...]] = {}
        self._repeat_at = 0.0

    def request_probes(self, now: float) -> None:
        """Requests probes of the unavailable targets of each pool.

        Probes are requested as soon as the unavailable targets of a pool
        change, and for all pools again every `REPEAT_REQUEST_SECONDS`.

        Args:
            now: Time on the core's clock, in seconds.
        """
        unavailable = self._scheduler.core.list_probe_targets(now)
        if now >= self._repeat_at:
            self._requested = {}
            self._repeat_at = now + REPEAT_REQUEST_SECONDS
        for pool, targets in unavailable.items():
            if self._requested.get(pool) != targets:
                selected = targets[:MAX_TARGETS_PER_REQUEST]
                self._send(probe_messages.ProbeRequest(pool, selected))
        self._requested = unavailable
