"""The probe budget of a pool."""

import dataclasses

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from wigeonspool.core import probe_budget

Steps = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 0.7),
        strategies.integers(0, 3),
        strategies.integers(100, probe_budget.MAX_PROBE_BYTES),
        strategies.sampled_from([0.0, 0.0, 0.2, 1.0]),
    ),
    max_size=150,
)


@dataclasses.dataclass(slots=True)
class Sent:
    """A probe that was sent, and when its response arrives."""

    at: float
    size: int
    settles_at: float
    row: probe_budget.ProbeBudget


def check_windows(sent: list[Sent], rate: float, byte_rate: float) -> None:
    """Checks the budget in every window that begins and ends with a probe."""
    for first, begin in enumerate(sent):
        used_bytes = 0
        for count, end in enumerate(sent[first:], start=1):
            used_bytes += end.size
            span = end.at - begin.at
            assert count <= rate * span + 1 + 1e-6
            allowed = byte_rate * span + probe_budget.MAX_PROBE_BYTES
            assert used_bytes <= allowed + 1e-3


class TestProbeBudget:
    def test_no_probe_is_sent_without_a_lease(self) -> None:
        row = probe_budget.ProbeBudget(10.0, 1e6)
        assert not probe_budget.acquire_probe(row, 5.0)

    def test_no_probe_is_sent_after_the_lease(self) -> None:
        row = probe_budget.ProbeBudget(10.0, 1e6)
        probe_budget.grant_budget(row, 0.0, 1.0)
        assert probe_budget.acquire_probe(row, 0.5)
        assert not probe_budget.acquire_probe(row, 1.0)

    def test_budget_of_zero_allows_no_probe(self) -> None:
        row = probe_budget.ProbeBudget(0.0, 1e6)
        probe_budget.grant_budget(row, 0.0, 1e9)
        assert not probe_budget.acquire_probe(row, 1e8)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        steps=Steps,
        rate=strategies.sampled_from([0.5, 2.0, 10.0]),
        byte_rate=strategies.sampled_from([500.0, 20_000.0]),
    )
    def test_no_sequence_exceeds_the_budget(
        self,
        steps: list[tuple[float, int, int, float]],
        rate: float,
        byte_rate: float,
    ) -> None:
        """The lease moves between four agents, which all try to probe.

        Responses come late, so that several probes run at the same time.
        """
        rows = [probe_budget.ProbeBudget(rate, byte_rate) for _ in range(4)]
        now = 0.0
        lease_until = 0.0
        sent: list[Sent] = []
        pending: list[Sent] = []
        for passed, index, size, delay in steps:
            now += passed
            for probe in [p for p in pending if p.settles_at <= now]:
                pending.remove(probe)
                probe_budget.settle_probe(probe.row, probe.at, probe.size)
            if now >= lease_until or rows[index].granted_until > now:
                lease_until = now + 1.0
                probe_budget.grant_budget(rows[index], now, lease_until)
            for row in rows:
                if probe_budget.acquire_probe(row, now):
                    sent.append(Sent(now, size, now + delay, row))
                    pending.append(sent[-1])
        check_windows(sent, rate, byte_rate)

    def test_changed_budget_starts_with_a_full_interval(self) -> None:
        row = probe_budget.ProbeBudget(100.0, 1e6)
        probe_budget.grant_budget(row, 0.0, 1e9)
        assert probe_budget.acquire_probe(row, 1.0)
        probe_budget.update_budget(row, 1.0, 0.1, 1e6)
        probe_budget.settle_probe(row, 1.0, 100)
        assert not probe_budget.acquire_probe(row, 10.9)
        assert probe_budget.acquire_probe(row, 11.1)

    def test_budget_released_early_starts_with_a_full_interval(
        self,
    ) -> None:
        """Another agent may have used it before the old end of the lease."""
        row = probe_budget.ProbeBudget(1.0, 1e6)
        probe_budget.grant_budget(row, 0.0, 8.0)
        probe_budget.release_budget(row)
        assert not probe_budget.acquire_probe(row, 2.0)
        probe_budget.grant_budget(row, 2.0, 10.0)
        assert not probe_budget.acquire_probe(row, 2.9)
        assert probe_budget.acquire_probe(row, 3.1)
