"""Keeps the measuring of a pool's targets within the pool's budget.

Only the gateway that holds the pool's lease may measure. Probes are spaced
rather than counted: after each one, the next may leave only when the budget
has paid for it, and a new holder begins with a whole space. So any interval
of T seconds sees at most T times the rate plus one probe, over all gateways.
"""

import dataclasses
from typing import Final

# A probe's answer is cut off here, which bounds the debt of one probe.
MAX_PROBE_BYTES: Final = 4096


@dataclasses.dataclass(slots=True)
class MeasuringRow:
    """The measuring budget of one pool at one gateway.

    Attributes:
        requests_per_second: Probes allowed over all VMs together.
        bytes_per_second: Probe bytes allowed over all VMs together.
        granted_until: Deadline of the lease on the budget, core's clock.
        next_at: Earliest time of the next probe, core's clock.
        probes: Probes sent so far.
        probe_bytes: Bytes of probes and their answers so far.
    """

    requests_per_second: float
    bytes_per_second: float
    granted_until: float = 0.0
    next_at: float = float("inf")
    probes: int = 0
    probe_bytes: int = 0


def grant_budget(row: MeasuringRow, now: float, until: float) -> None:
    """Takes or extends the lease on a budget.

    Args:
        row: Budget of a pool.
        now: Time on the core's clock, in seconds.
        until: Deadline of the lease, on the core's clock.
    """
    if row.granted_until <= now:
        row.next_at = now + find_space_seconds(row, MAX_PROBE_BYTES)
    row.granted_until = until


def find_space_seconds(row: MeasuringRow, size: int) -> float:
    """Returns the time that pays for a probe, in seconds.

    Args:
        row: Budget of a pool.
        size: Bytes of the probe and its answer.
    """
    if row.requests_per_second <= 0 or row.bytes_per_second <= 0:
        return float("inf")
    return max(1 / row.requests_per_second, size / row.bytes_per_second)


def take_probe(row: MeasuringRow, now: float) -> bool:
    """Returns True if a probe may leave now, and charges a whole one."""
    if now >= row.granted_until or now < row.next_at:
        return False
    row.next_at = now + find_space_seconds(row, MAX_PROBE_BYTES)
    row.probes += 1
    return True


def settle_probe(row: MeasuringRow, sent_at: float, size: int) -> None:
    """Charges a probe's real size in place of the largest one.

    Args:
        row: Budget of a pool.
        sent_at: Time at which the probe left, on the core's clock.
        size: Bytes of the probe and its answer.
    """
    row.probe_bytes += size
    paid_at = sent_at + find_space_seconds(row, min(size, MAX_PROBE_BYTES))
    row.next_at = min(row.next_at, paid_at)
