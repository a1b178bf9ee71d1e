"""The retry budget of a pool, so that retries cannot multiply an overload."""

import dataclasses
from typing import Final

# Retries that are allowed beside the fraction, so that a pool with little
# demand can recover from a crash of a target.
BURST_RETRIES: Final = 20.0


@dataclasses.dataclass(slots=True)
class RetryBudget:
    """What a pool may spend on sending work again.

    Attributes:
        credit: Retries that are allowed now.
        refused: Retries that the budget did not allow.
    """

    credit: float = BURST_RETRIES
    refused: int = 0


def earn_retries(budget: RetryBudget, fraction: float) -> None:
    """Adds what a first attempt allows.

    Args:
        budget: Budget of the pool.
        fraction: Retries allowed per first attempt, 0 to 1.
    """
    budget.credit = min(BURST_RETRIES, budget.credit + fraction)


def spend_retry(budget: RetryBudget) -> bool:
    """Returns True if a retry may be sent, and charges it."""
    if budget.credit < 1.0:
        budget.refused += 1
        return False
    budget.credit -= 1.0
    return True
