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
    """A probe that left, and when its answer is there."""

    at: float
    size: int
    settles_at: float
    row: probe_budget.ProbeBudget


def check_windows(sent: list[Sent], rate: float, byte_rate: float) -> None:
    """Checks every window that begins and ends with a probe."""
    for first, begin in enumerate(sent):
        spent = 0
        for count, end in enumerate(sent[first:], start=1):
            spent += end.size
            span = end.at - begin.at
            assert count <= rate * span + 1 + 1e-6
            allowed = byte_rate * span + probe_budget.MAX_PROBE_BYTES
            assert spent <= allowed + 1e-3


class TestMeasuringBudget:
    def test_nothing_leaves_without_a_lease(self) -> None:
        row = probe_budget.ProbeBudget(10.0, 1e6)
        assert not probe_budget.acquire_probe(row, 5.0)

    def test_nothing_leaves_after_the_lease(self) -> None:
        row = probe_budget.ProbeBudget(10.0, 1e6)
        probe_budget.grant_budget(row, 0.0, 1.0)
        assert probe_budget.acquire_probe(row, 0.5)
        assert not probe_budget.acquire_probe(row, 1.0)

    def test_budget_of_zero_allows_nothing(self) -> None:
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
        """The lease moves between four agents; all try to measure.

        Answers come late, so that several probes are under way at one time.
        """
        rows = [probe_budget.ProbeBudget(rate, byte_rate) for _ in range(4)]
        now = 0.0
        free_at = 0.0
        sent: list[Sent] = []
        waiting: list[Sent] = []
        for passed, index, size, delay in steps:
            now += passed
            for probe in [p for p in waiting if p.settles_at <= now]:
                waiting.remove(probe)
                probe_budget.settle_probe(probe.row, probe.at, probe.size)
            if now >= free_at or rows[index].granted_until > now:
                free_at = now + 1.0
                probe_budget.grant_budget(rows[index], now, free_at)
            for row in rows:
                if probe_budget.acquire_probe(row, now):
                    sent.append(Sent(now, size, now + delay, row))
                    waiting.append(sent[-1])
        check_windows(sent, rate, byte_rate)

    def test_budget_that_changed_begins_with_a_whole_space(self) -> None:
        row = probe_budget.ProbeBudget(100.0, 1e6)
        probe_budget.grant_budget(row, 0.0, 1e9)
        assert probe_budget.acquire_probe(row, 1.0)
        probe_budget.update_budget(row, 1.0, 0.1, 1e6)
        probe_budget.settle_probe(row, 1.0, 100)
        assert not probe_budget.acquire_probe(row, 10.9)
        assert probe_budget.acquire_probe(row, 11.1)

    def test_budget_that_was_lost_early_begins_with_a_whole_space(
        self,
    ) -> None:
        """Another agent may have spent it before the old deadline."""
        row = probe_budget.ProbeBudget(1.0, 1e6)
        probe_budget.grant_budget(row, 0.0, 8.0)
        probe_budget.release_budget(row)
        assert not probe_budget.acquire_probe(row, 2.0)
        probe_budget.grant_budget(row, 2.0, 10.0)
        assert not probe_budget.acquire_probe(row, 2.9)
        assert probe_budget.acquire_probe(row, 3.1)
