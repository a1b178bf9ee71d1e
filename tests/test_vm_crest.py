"""Load patterns on the real request path of entry VMs, in virtual time."""

import dataclasses
import math

import pytest

from wigeonspool.load import emulated_targets
from wigeonspool.load import emulation
from wigeonspool.load import main
from wigeonspool.load import virtual_loop

SEED = 1
# Below capacity, all requests could be served in time; at least 90% of that
# value is required.
MIN_PAYOFF = 0.9

LAST_SLOT_SLOWER = emulated_targets.EmulationSettings(
    targets=14, work=0.18, slow_share=0.3, full_factor=1.6
)
EQUAL_SLOTS = emulated_targets.EmulationSettings(
    targets=22, work=0.134, objective=0.4, limit=1.2
)


def compute_capacity(settings: emulated_targets.EmulationSettings) -> float:
    """Returns the requests per second that the fast targets can serve.

    The last slot of each target is left free if its use slows work down.
    """
    slots = settings.slots - (1 if settings.full_factor > 1 else 0)
    mean = settings.work * math.exp(settings.spread**2 / 2)
    mean *= 1 + settings.long_share * (settings.long_factor - 1)
    return settings.targets * (1 - settings.slow_share) * slots / mean


class TestCrest:
    """Demand rises suddenly, in some tests above the capacity, and falls."""

    @pytest.mark.parametrize(
        "settings",
        [LAST_SLOT_SLOWER, EQUAL_SLOTS],
        ids=["last-slot-slower", "equal-slots"],
    )
    def test_load_below_capacity_is_served_in_time(
        self, settings: emulated_targets.EmulationSettings
    ) -> None:
        capacity = compute_capacity(settings)
        steps = [(0.4 * capacity, 3.0), (0.85 * capacity, 4.0)]
        counts = emulation.run_load_steps(settings, steps, SEED)
        assert counts[0].payoff >= MIN_PAYOFF
        assert counts[1].payoff >= MIN_PAYOFF

    @pytest.mark.parametrize(
        "settings",
        [LAST_SLOT_SLOWER, EQUAL_SLOTS],
        ids=["last-slot-slower", "equal-slots"],
    )
    def test_overload_harms_neither_served_requests_nor_later_ones(
        self, settings: emulated_targets.EmulationSettings
    ) -> None:
        capacity = compute_capacity(settings)
        load = 1.15
        steps = [(0.4 * capacity, 2.0), (load * capacity, 4.0)]
        counts = emulation.run_load_steps(
            settings, [*steps, (0.4 * capacity, 3.0)], SEED
        )
        assert counts[1].payoff >= 0.75 / load
        assert counts[2].payoff >= MIN_PAYOFF

    def test_queued_requests_share_health_checks(self) -> None:
        capacity = compute_capacity(EQUAL_SLOTS)
        (counts,) = emulation.run_load_steps(
            EQUAL_SLOTS, [(1.3 * capacity, 4.0)], SEED
        ).values()
        # A VM probes three targets every 20 ms, and three for a new request.
        bound = 3 / 0.02 * EQUAL_SLOTS.vms * 4.0 + 3 * counts.offered * 2
        assert counts.asked <= 1.25 * bound


class TestSlowTargets:
    """All targets of a service are slow, so waiting does not help."""

    def test_late_responses_are_returned(self) -> None:
        settings = dataclasses.replace(EQUAL_SLOTS, slow_share=1.0)
        capacity = settings.targets * settings.slots / (settings.work * 5.0)
        (counts,) = emulation.run_load_steps(
            settings, [(0.4 * capacity, 4.0)], SEED
        ).values()
        answered = counts.in_time + counts.late
        assert answered >= 0.75 * counts.offered


class TestPriorities:
    """Requests of two priorities share an overloaded service."""

    @pytest.mark.parametrize("load", [1.05, 1.3])
    def test_higher_priority_has_higher_payoff(self, load: float) -> None:
        settings = dataclasses.replace(LAST_SLOT_SLOWER, priorities=2)
        steps = [(load * compute_capacity(settings), 5.0)]
        counts = emulation.run_emulation(
            settings, steps, SEED
        ).counts_by_priority
        high, low = counts[0], counts[1]
        assert high.payoff > low.payoff


class TestNonIdempotentRequests:
    """Requests that may run only once, on an overloaded service."""

    def test_no_request_runs_twice(self) -> None:
        capacity = compute_capacity(LAST_SLOT_SLOWER)
        counts = emulation.run_load_steps(
            LAST_SLOT_SLOWER, [(1.3 * capacity, 3.0)], SEED, idempotent=False
        )
        assert counts[0].refused > 0
        assert counts[0].most_runs == 1


class TestVirtualTime:
    def test_same_seed_gives_the_same_results(self) -> None:
        steps = [(50.0, 2.0)]
        first = emulation.run_load_steps(EQUAL_SLOTS, steps, 7)
        assert first == emulation.run_load_steps(EQUAL_SLOTS, steps, 7)
        assert first != emulation.run_load_steps(EQUAL_SLOTS, steps, 8)

    def test_sleeps_take_no_real_time(self) -> None:
        async def sleep_an_hour() -> float:
            loop = virtual_loop.asyncio.get_running_loop()
            await virtual_loop.asyncio.sleep(3600)
            return loop.time()

        assert virtual_loop.run(sleep_an_hour()) == pytest.approx(3600)


class TestCommand:
    def test_command_prints_a_line_for_each_step(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        main.emulate(["30x1", "40x1"], set_=["full_factor=1.6", "targets=9"])
        header, first, second = capsys.readouterr().out.splitlines()
        assert header.split()[:2] == ["a", "second"]
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
    def test_invalid_input_exits_with_an_error(
        self,
        steps: list[str],
        fields: list[str],
        capsys: pytest.CaptureFixture[str],
    ) -> None:
        with pytest.raises(SystemExit) as exit_info:
            main.emulate(steps, set_=fields)
        assert exit_info.value.code == main.EXIT_INVALID_SETTINGS
        assert "command line" in capsys.readouterr().err
