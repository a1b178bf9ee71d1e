"""The retry budget of a pool, so that retries cannot multiply an overload."""

import dataclasses
from typing import Final

from wigeonspool.core import tables

MAX_ATTEMPTS: Final = 3
# Attempts that provably did not run cost a target nothing, so more are made.
MAX_SENDS: Final = 12
# Retries that are allowed beside the fraction, so that a pool with little
# demand can recover from a crash of a target.
MAX_TOKENS: Final = 20.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """What a pool may spend on sending work again.

    Attributes:
        tokens: Retries that are allowed now.
        refused: Retries that the budget did not allow.
    """

    tokens: float = MAX_TOKENS
    refused: int = 0


def add_tokens(budget: RetryBudget, fraction: float) -> None:
    """Adds what a first attempt allows.

    Args:
        budget: Budget of the pool.
        fraction: Retries allowed per first attempt, 0 to 1.
    """
    budget.tokens = min(MAX_TOKENS, budget.tokens + fraction)


def spend_token(budget: RetryBudget) -> bool:
    """Returns True if a retry may be sent, and charges it."""
    if budget.tokens < 1.0:
        budget.refused += 1
        return False
    budget.tokens -= 1.0
    return True


def may_retry(
    now: float,
    budget: RetryBudget,
    request: tables.RequestRow,
    result: tables.Result,
) -> bool:
    """Returns True if a request may be sent once more, and charges it.

    What did not run costs nothing and needs no budget.

    Args:
        now: Time on the core's clock, in seconds.
        budget: Budget of the pool.
        request: Request whose attempt ended without an answer.
        result: How it ended.
    """
    if now >= request.deadline or request.attempts >= MAX_SENDS:
        return False
    if result.kind is tables.ResultKind.NOT_RUN:
        return True
    request.failures += 1
    if not request.idempotent or request.failures >= MAX_ATTEMPTS:
        return False
    return spend_token(budget)
