"""Patterns of load on the real path of entry VMs, in virtual time."""

import dataclasses
import math

import pytest

from wigeonspool.load import emulation
from wigeonspool.load import main
from wigeonspool.load import targets
from wigeonspool.load import virtual

SEED = 1
# A good proxy earns nine tenths of what the targets can serve.
GOOD = 0.9

MINDING = targets.Shape(targets=14, work=0.18, slow_share=0.3, full_factor=1.6)
EVEN = targets.Shape(targets=22, work=0.134, objective=0.4, limit=1.2)


def find_capacity(shape: targets.Shape) -> float:
    """Returns the requests a second that fast targets can serve."""
    slots = shape.slots - (1 if shape.full_factor > 1 else 0)
    mean = shape.work * math.exp(shape.spread**2 / 2)
    mean *= 1 + shape.long_share * (shape.long_factor - 1)
    return shape.targets * (1 - shape.slow_share) * slots / mean


class TestCrest:
    """Many users come at once, and go again."""

    @pytest.mark.parametrize("shape", [MINDING, EVEN], ids=["minding", "even"])
    def test_what_fits_is_in_time(self, shape: targets.Shape) -> None:
        capacity = find_capacity(shape)
        steps = [(0.4 * capacity, 3.0), (0.85 * capacity, 4.0)]
        figures = emulation.play(shape, steps, SEED)
        assert figures[0].payoff >= GOOD
        assert figures[1].payoff >= GOOD

    @pytest.mark.parametrize("shape", [MINDING, EVEN], ids=["minding", "even"])
    def test_too_much_spoils_neither_the_rest_nor_what_follows(
        self, shape: targets.Shape
    ) -> None:
        capacity = find_capacity(shape)
        load = 1.15
        steps = [(0.4 * capacity, 2.0), (load * capacity, 4.0)]
        figures = emulation.play(shape, [*steps, (0.4 * capacity, 3.0)], SEED)
        assert figures[1].payoff >= 0.75 / load
        assert figures[2].payoff >= GOOD

    def test_requests_that_wait_share_their_questions(self) -> None:
        capacity = find_capacity(EVEN)
        (figures,) = emulation.play(
            EVEN, [(1.3 * capacity, 4.0)], SEED
        ).values()
        # One VM asks three targets in each 20 ms, and three for a new request.
        bound = 3 / 0.02 * EVEN.vms * 4.0 + 3 * figures.offered * 2
        assert figures.asked <= 1.25 * bound


class TestSlowTargets:
    """All targets of a service are slow, so that no wait helps."""

    def test_late_answers_are_given(self) -> None:
        shape = dataclasses.replace(EVEN, slow_share=1.0)
        capacity = shape.targets * shape.slots / (shape.work * 5.0)
        (figures,) = emulation.play(
            shape, [(0.4 * capacity, 4.0)], SEED
        ).values()
        answered = figures.in_time + figures.late
        assert answered >= 0.75 * figures.offered


class TestPriorities:
    """Requests of two priorities share a service at a crest."""

    @pytest.mark.parametrize("load", [1.05, 1.3])
    def test_the_more_urgent_are_served_better(self, load: float) -> None:
        shape = dataclasses.replace(MINDING, priorities=2)
        steps = [(load * find_capacity(shape), 5.0)]
        found = emulation.emulate(shape, steps, SEED).by_priority
        urgent, other = found[0], found[1]
        assert urgent.payoff > other.payoff


class TestUnsafeWork:
    """Requests that may run once only, at a crest."""

    def test_none_runs_twice(self) -> None:
        capacity = find_capacity(MINDING)
        figures = emulation.play(
            MINDING, [(1.3 * capacity, 3.0)], SEED, repeatable=False
        )
        assert figures[0].refused > 0
        assert figures[0].most_runs == 1


class TestVirtualTime:
    def test_same_seed_gives_the_same_figures(self) -> None:
        steps = [(50.0, 2.0)]
        first = emulation.play(EVEN, steps, 7)
        assert first == emulation.play(EVEN, steps, 7)
        assert first != emulation.play(EVEN, steps, 8)

    def test_sleeps_take_no_real_time(self) -> None:
        async def work() -> float:
            loop = virtual.asyncio.get_running_loop()
            await virtual.asyncio.sleep(3600)
            return loop.time()

        assert virtual.run(work()) == pytest.approx(3600)


class TestCommand:
    def test_it_prints_a_line_a_step(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        main.emulate(["30x1", "40x1"], set_=["full_factor=1.6", "targets=9"])
        head, first, second = capsys.readouterr().out.splitlines()
        assert head.split()[:2] == ["a", "second"]
        assert first.split()[0] == "30"
        assert float(second.split()[2]) > 0.5

    @pytest.mark.parametrize(
        ("steps", "fields"),
        [
            (["30"], []),
            (["0x3"], []),
            (["30xinf"], []),
            (["30x1"], ["nothing=1"]),
            (["30x1"], ["slots"]),
            (["30x1"], ["slots=many"]),
            (["30x1"], ["targets=0"]),
        ],
    )
    def test_bad_input_ends_with_a_reason(
        self,
        steps: list[str],
        fields: list[str],
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        with pytest.raises(SystemExit) as ended:
            main.emulate(steps, set_=fields)
        assert ended.value.code == main.EXIT_INVALID_SETTINGS
        assert "command line" in capsys.readouterr().err
