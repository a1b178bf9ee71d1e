"""Keeps the probes of a pool's targets within the pool's budget.

Only the agent that holds the pool's lease may probe. Probes are spaced rather
than counted: after each one, the next may be sent only after the interval that
the budget requires for it, and a new lease holder starts by waiting for a full
interval. Any period of T seconds therefore has at most T times the rate plus
one probe, over all agents.
"""

import dataclasses
from typing import Final

# Most bytes of a probe request and of the part of its response that is read.
MAX_PROBE_BYTES: Final = 8192


@dataclasses.dataclass(slots=True)
class ProbeBudget:
    """The probe budget of one pool at one agent.

    Attributes:
        requests_per_second: Probes allowed over all VMs together.
        bytes_per_second: Probe bytes allowed over all VMs together.
        granted_until: End of the lease on the budget, on the holder's clock.
        sent_at: Time of the last probe while its charge may still be reduced to
            its real size, else -inf.
        next_at: Earliest time of the next probe, on the holder's clock.
        probes: Probes sent so far.
        probe_bytes: Bytes of probes and their responses so far.
    """

    requests_per_second: float
    bytes_per_second: float
    granted_until: float = 0.0
    sent_at: float = float("-inf")
    next_at: float = float("inf")
    probes: int = 0
    probe_bytes: int = 0


def grant_budget(budget: ProbeBudget, now: float, until: float) -> None:
    """Starts or extends the lease on a budget.

    A lease that starts delays the next probe by a full interval, since another
    agent may have probed until now.

    Args:
        budget: Budget of a pool.
        now: Time on the holder's clock, in seconds.
        until: End of the lease, on the same clock.
    """
    if budget.granted_until <= now:
        _delay_next_probe(budget, now)
    budget.granted_until = until


def release_budget(budget: ProbeBudget) -> None:
    """Ends the lease early; another agent may use the budget now."""
    budget.granted_until = float("-inf")


def update_budget(
    budget: ProbeBudget,
    now: float,
    requests_per_second: float,
    bytes_per_second: float,
) -> None:
    """Applies a budget that operators changed.

    The next probe waits for a full interval of the new budget, which covers
    what was used before.

    Args:
        budget: Budget of a pool.
        now: Time on the holder's clock, in seconds.
        requests_per_second: Probes allowed from now on.
        bytes_per_second: Probe bytes allowed from now on.
    """
    previous = (budget.requests_per_second, budget.bytes_per_second)
    if previous == (requests_per_second, bytes_per_second):
        return
    budget.requests_per_second = requests_per_second
    budget.bytes_per_second = bytes_per_second
    _delay_next_probe(budget, now)


def _delay_next_probe(budget: ProbeBudget, now: float) -> None:
    """Delays the next probe by a full interval."""
    budget.sent_at = float("-inf")
    budget.next_at = now + find_interval_seconds(budget, MAX_PROBE_BYTES)


def find_interval_seconds(budget: ProbeBudget, size: int) -> float:
    """Returns the interval that the budget requires after a probe, in seconds.

    Args:
        budget: Budget of a pool.
        size: Bytes of the probe and its response.
    """
    if budget.requests_per_second <= 0 or budget.bytes_per_second <= 0:
        return float("inf")
    return max(1 / budget.requests_per_second, size / budget.bytes_per_second)


def acquire_probe(budget: ProbeBudget, now: float) -> bool:
    """Returns True if a probe may be sent now, and charges the largest size."""
    if now >= budget.granted_until or now < budget.next_at:
        return False
    budget.sent_at = now
    budget.next_at = now + find_interval_seconds(budget, MAX_PROBE_BYTES)
    budget.probes += 1
    return True


def settle_probe(budget: ProbeBudget, sent_at: float, size: int) -> None:
    """Replaces the charge for the largest size by that for the real size.

    The next probe may then be sent earlier. If it was sent already, the charge
    stays: the interval before it has passed, and the one after it covers that
    next probe alone.

    Args:
        budget: Budget of a pool.
        sent_at: Time at which the probe was sent, on the holder's clock.
        size: Bytes of the probe and its response.
    """
    budget.probe_bytes += size
    if sent_at == budget.sent_at:
        budget.next_at = sent_at + find_interval_seconds(budget, size)
