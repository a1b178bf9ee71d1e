"""Keeps the measuring of a pool's targets within the pool's budget.

Only the agent that holds the pool's lease may measure. Probes are spaced
rather than counted: after each one, the next may leave only when the budget
has paid for it, and a new holder begins with a whole space. So any interval
of T seconds sees at most T times the rate plus one probe, over all agents.
"""

import dataclasses
from typing import Final

# The request and all that is read of its answer stay below this.
MAX_PROBE_BYTES: Final = 8192


@dataclasses.dataclass(slots=True)
class ProbeBudget:
    """The measuring budget of one pool at one agent.

    Attributes:
        requests_per_second: Probes allowed over all VMs together.
        bytes_per_second: Probe bytes allowed over all VMs together.
        granted_until: Deadline of the lease on the budget, holder's clock.
        sent_at: Time of the last probe, if it may still be charged less.
        next_at: Earliest time of the next probe, holder's clock.
        probes: Probes sent so far.
        probe_bytes: Bytes of probes and their answers so far.
    """

    requests_per_second: float
    bytes_per_second: float
    granted_until: float = 0.0
    sent_at: float = float("-inf")
    next_at: float = float("inf")
    probes: int = 0
    probe_bytes: int = 0


def grant_budget(row: ProbeBudget, now: float, until: float) -> None:
    """Takes or extends the lease on a budget.

    Args:
        row: Budget of a pool.
        now: Time on the holder's clock, in seconds.
        until: Deadline of the lease, on the same clock.
    """
    if row.granted_until <= now:
        _delay_next_probe(row, now)
    row.granted_until = until


def release_budget(row: ProbeBudget) -> None:
    """Gives up a budget before its deadline; another may spend it now."""
    row.granted_until = float("-inf")


def update_budget(
    row: ProbeBudget,
    now: float,
    requests_per_second: float,
    bytes_per_second: float,
) -> None:
    """Takes a budget that operators changed.

    What was spent before is paid for by a whole space of the new budget.

    Args:
        row: Budget of a pool.
        now: Time on the holder's clock, in seconds.
        requests_per_second: Probes allowed from now on.
        bytes_per_second: Probe bytes allowed from now on.
    """
    before = (row.requests_per_second, row.bytes_per_second)
    if before == (requests_per_second, bytes_per_second):
        return
    row.requests_per_second = requests_per_second
    row.bytes_per_second = bytes_per_second
    _delay_next_probe(row, now)


def _delay_next_probe(row: ProbeBudget, now: float) -> None:
    """Lets the next probe wait for a whole space."""
    row.sent_at = float("-inf")
    row.next_at = now + find_interval_seconds(row, MAX_PROBE_BYTES)


def find_interval_seconds(row: ProbeBudget, size: int) -> float:
    """Returns the time that pays for a probe, in seconds.

    Args:
        row: Budget of a pool.
        size: Bytes of the probe and its answer.
    """
    if row.requests_per_second <= 0 or row.bytes_per_second <= 0:
        return float("inf")
    return max(1 / row.requests_per_second, size / row.bytes_per_second)


def acquire_probe(row: ProbeBudget, now: float) -> bool:
    """Returns True if a probe may leave now, and charges a whole one."""
    if now >= row.granted_until or now < row.next_at:
        return False
    row.sent_at = now
    row.next_at = now + find_interval_seconds(row, MAX_PROBE_BYTES)
    row.probes += 1
    return True


def settle_probe(row: ProbeBudget, sent_at: float, size: int) -> None:
    """Charges a probe's real size in place of the largest one.

    Once another probe has left, the time that it waited cannot be given back:
    the space after that one pays for that one alone.

    Args:
        row: Budget of a pool.
        sent_at: Time at which the probe left, on the holder's clock.
        size: Bytes of the probe and its answer.
    """
    row.probe_bytes += size
    if sent_at == row.sent_at:
        row.next_at = sent_at + find_interval_seconds(row, size)
