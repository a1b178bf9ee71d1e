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


def grant_budget(row: ProbeBudget, now: float, until: float) -> None:
    """Starts or extends the lease on a budget.

    Args:
        row: Budget of a pool.
        now: Time on the holder's clock, in seconds.
        until: End of the lease, on the same clock.
    """
    if row.granted_until <= now:
        _delay_next_probe(row, now)
    row.granted_until = until


def release_budget(row: ProbeBudget) -> None:
    """Ends the lease early; another agent may use the budget now."""
    row.granted_until = float("-inf")


def update_budget(
    row: ProbeBudget,
    now: float,
    requests_per_second: float,
    bytes_per_second: float,
) -> None:
    """Applies a budget that operators changed.

    The next probe waits for a full interval of the new budget, which covers
    what was used before.

    Args:
        row: Budget of a pool.
        now: Time on the holder's clock, in seconds.
        requests_per_second: Probes allowed from now on.
        bytes_per_second: Probe bytes allowed from now on.
    """
    previous = (row.requests_per_second, row.bytes_per_second)
    if previous == (requests_per_second, bytes_per_second):
        return
    row.requests_per_second = requests_per_second
    row.bytes_per_second = bytes_per_second
    _delay_next_probe(row, now)


def _delay_next_probe(row: ProbeBudget, now: float) -> None:
    """Delays the next probe by a full interval."""
    row.sent_at = float("-inf")
    row.next_at = now + find_interval_seconds(row, MAX_PROBE_BYTES)


def find_interval_seconds(row: ProbeBudget, size: int) -> float:
    """Returns the interval that the budget requires after a probe, in seconds.

    Args:
        row: Budget of a pool.
        size: Bytes of the probe and its response.
    """
    if row.requests_per_second <= 0 or row.bytes_per_second <= 0:
        return float("inf")
    return max(1 / row.requests_per_second, size / row.bytes_per_second)


def acquire_probe(row: ProbeBudget, now: float) -> bool:
    """Returns True if a probe may be sent now, and charges the largest size."""
    if now >= row.granted_until or now < row.next_at:
        return False
    row.sent_at = now
    row.next_at = now + find_interval_seconds(row, MAX_PROBE_BYTES)
    row.probes += 1
    return True


def settle_probe(row: ProbeBudget, sent_at: float, size: int) -> None:
    """Replaces the charge for the largest size by that for the real size.

    This has no effect once another probe was sent: the time that it waited is
    not returned, and the interval after it covers that probe alone.

    Args:
        row: Budget of a pool.
        sent_at: Time at which the probe was sent, on the holder's clock.
        size: Bytes of the probe and its response.
    """
    row.probe_bytes += size
    if sent_at == row.sent_at:
        row.next_at = sent_at + find_interval_seconds(row, size)
