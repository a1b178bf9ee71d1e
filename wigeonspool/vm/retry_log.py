"""Logs what the requests to each service use of the retry budget."""

import asyncio
import dataclasses
from typing import Final

from wigeonspool.core import shared_retry_budget
from wigeonspool.vm import structured_log

INTERVAL_SECONDS: Final = 2.0

log = structured_log.get_logger("requests")


class RetryLog:
    """Logs the use of a retry budget at regular intervals."""

    def __init__(self, budget: shared_retry_budget.ServiceRetryBudget) -> None:
        """Creates a log of a budget that was not used so far."""
        self._budget = budget
        self._logged: dict[str, shared_retry_budget.RetryUse] = {}
        self._loop = asyncio.get_running_loop()
        self._logged_at = self._loop.time()

    def write_if_due(self) -> None:
        """Writes a line for each service that used the budget.

        Does nothing until `INTERVAL_SECONDS` after the last lines.
        """
        now = self._loop.time()
        seconds = now - self._logged_at
        if seconds < INTERVAL_SECONDS:
            return
        self._logged_at = now
        for service, use in self._budget.uses.items():
            logged = self._logged.get(service, shared_retry_budget.RetryUse())
            extra = {
                cause.value: count - logged.extra_attempts[cause]
                for cause, count in use.extra_attempts.items()
            }
            denied = use.denied - logged.denied
            if denied or any(extra.values()):
                log.info(
                    "retry budget",
                    service=service,
                    seconds=round(seconds, 1),
                    requests=use.requests - logged.requests,
                    after_refusals=extra["refused"],
                    after_failures=extra["failed"],
                    hedges=extra["hedged"],
                    denied=denied,
                    tokens=round(self._budget.count_tokens(service, now), 1),
                )
            self._logged[service] = dataclasses.replace(
                use, extra_attempts=dict(use.extra_attempts)
            )
