from hypothesis import given
from hypothesis import settings
from hypothesis import strategies

from wigeonspool.core import measuring

Steps = strategies.lists(
    strategies.tuples(
        strategies.floats(0.0, 0.7),
        strategies.integers(0, 3),
        strategies.integers(100, measuring.MAX_PROBE_BYTES),
    ),
    max_size=150,
)


class TestMeasuringBudget:
    def test_nothing_leaves_without_a_lease(self) -> None:
        row = measuring.MeasuringRow(10.0, 1e6)
        assert not measuring.take_probe(row, 5.0)

    def test_nothing_leaves_after_the_lease(self) -> None:
        row = measuring.MeasuringRow(10.0, 1e6)
        measuring.grant_budget(row, 0.0, 1.0)
        assert measuring.take_probe(row, 0.5)
        assert not measuring.take_probe(row, 1.0)

    def test_budget_of_zero_allows_nothing(self) -> None:
        row = measuring.MeasuringRow(0.0, 1e6)
        measuring.grant_budget(row, 0.0, 1e9)
        assert not measuring.take_probe(row, 1e8)

    @settings(derandomize=True, max_examples=300, deadline=None)
    @given(
        steps=Steps,
        rate=strategies.sampled_from([0.5, 2.0, 10.0]),
        byte_rate=strategies.sampled_from([500.0, 20_000.0]),
    )
    def test_no_sequence_exceeds_the_budget(
        self,
        steps: list[tuple[float, int, int]],
        rate: float,
        byte_rate: float,
    ) -> None:
        """The lease moves between four gateways; all try to measure."""
        rows = [measuring.MeasuringRow(rate, byte_rate) for _ in range(4)]
        now = 0.0
        free_at = 0.0
        sent: list[tuple[float, int]] = []
        for passed, index, size in steps:
            now += passed
            if now >= free_at or rows[index].granted_until > now:
                free_at = now + 1.0
                measuring.grant_budget(rows[index], now, free_at)
            for row in rows:
                if measuring.take_probe(row, now):
                    measuring.settle_probe(row, now, size)
                    sent.append((now, size))
        for first, (start, _) in enumerate(sent):
            spent = 0
            for count, (end, size) in enumerate(sent[first:], start=1):
                spent += size
                span = end - start
                assert count <= rate * span + 1 + 1e-6
                allowed = byte_rate * span + measuring.MAX_PROBE_BYTES
                assert spent <= allowed + 1e-6
