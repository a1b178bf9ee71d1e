"""The retry budget of a pool: keeps retries from amplifying an overload."""

import dataclasses
from typing import Final

from wigeonspool.core import tables

# Attempts of a request that may have run.
MAX_POSSIBLE_RUNS: Final = 3
# All attempts of a request. Those that provably did not run cost a target
# nothing, so more of these are allowed.
MAX_ATTEMPTS: Final = 12
# Retries that are allowed in addition to the fraction, so that a pool with
# little demand can recover from a crash of a target.
MAX_TOKENS: Final = 20.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """Token bucket for the retries of one pool.

    Attributes:
        tokens: Retries that are allowed now.
        refused: Retries that the budget did not allow.
    """

    tokens: float = MAX_TOKENS
    refused: int = 0


def add_tokens(budget: RetryBudget, fraction: float) -> None:
    """Adds the tokens that one first attempt allows.

    Args:
        budget: Budget of the pool.
        fraction: Retries allowed per first attempt, 0 to 1.
    """
    budget.tokens = min(MAX_TOKENS, budget.tokens + fraction)


def consume_token(budget: RetryBudget) -> bool:
    """Returns True if a retry may be sent, and uses a token."""
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
    """Returns True if a request may be sent again, and charges the budget.

    An attempt that may have run is added to the failures of its request. One
    that did not run cost nothing, so its retry needs no token.

    Args:
        now: Time on the core's clock, in seconds.
        budget: Budget of the pool.
        request: Request whose attempt ended without a response.
        result: How the attempt ended.
    """
    if now >= request.deadline or request.attempts >= MAX_ATTEMPTS:
        return False
    if result.kind is tables.ResultKind.NOT_RUN:
        return True
    request.failures += 1
    if not request.idempotent or request.failures >= MAX_POSSIBLE_RUNS:
        return False
    return consume_token(budget)
