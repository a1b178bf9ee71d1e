"""The cost of a decision in executed lines, which noise does not affect."""

import sys
from typing import Any

import pytest

from wigeonspool.load import cost


def count_lines(bench: cost.Bench) -> int:
    """Returns how many lines of the package 280 requests execute."""
    lines = 0

    def trace(frame: Any, event: str, _: Any) -> Any:
        nonlocal lines
        if "wigeonspool" not in frame.f_code.co_filename:
            return None
        lines += event == "line"
        return trace

    sys.settrace(trace)
    try:
        bench.run(280)
    finally:
        sys.settrace(None)
    return lines


class TestCost:
    def test_cost_of_a_decision_does_not_grow_with_the_pool(self) -> None:
        counts = []
        for targets in (40, 4_000):
            bench = cost.Bench(targets)
            bench.fill()
            bench.run(100)
            counts.append(count_lines(bench))
        assert counts[1] == pytest.approx(counts[0], rel=0.5)
