import asyncio
from typing import Any
from unittest import mock

import pytest

from tests import check_histories as benches
from tests import fleet as fleets
from wigeonspool.agent import probe_scheduler
from wigeonspool.core import dispatcher
from wigeonspool.gateway import fleet_view
from wigeonspool.gateway import service as gateways
from wigeonspool.load import check_histories
from wigeonspool.load import checker

# Bounds of seconds may not hold while other work loads the machine.
TIMED = {"leaving", "in-force"}
# Times at which a planted stop cuts what is in flight.
CUTS = 10


class PlannedBench(benches.FleetBench):
    """A fleet that one kind of planned change strikes."""

    kind = ""

    def __init__(self) -> None:
        super().__init__(doors_piped=False)
        self.faults = {}
        self.plans = {self.kind: self.plans[self.kind], "idle": self.idle}

    async def start(self, vm_count: int = benches.VMS) -> None:
        """Starts slow targets, so that every gateway has work in flight."""
        await super().start(vm_count)
        for target in self.targets.values():
            target.faults.slow = 10.0

    def _claim(self, names: list[str], rng: Any) -> Any:
        """Strikes the first VM, which callers of its zone are told of."""
        return super()._claim(names[:1], rng)

    async def idle(self, _: Any) -> None:
        await asyncio.sleep(0.1)


def check_bench(bench: benches.FleetBench, seed: int) -> set[str]:
    """Returns the promises that one history of a fleet breaks."""
    asyncio.run(check_histories.check_one(bench, seed, check_histories.Tally()))
    return {v.promise for v in checker.find_violations(bench.history)}


async def drain_nothing(self: gateways.GatewayService) -> None:
    """Stops with its connections cut while requests are in flight.

    Some of them are of other gateways, which tell their callers "unknown", so
    several are cut.
    """
    server = self._caller_server.server
    assert server is not None
    for _ in range(CUTS):
        await fleets.wait_for(lambda: self._ingress.in_flight > 0)
        for connection in list(server.connections):
            if connection._current_request is not None:
                assert connection.transport is not None
                connection.transport.abort()
        await asyncio.sleep(0.01)


def ignore_leaving(self: dispatcher.Dispatcher, addresses: Any) -> None:
    """Goes on to send to targets that the VM list calls leaving."""


def take_any_tables(self: fleet_view.FleetView, tables: Any) -> bool:
    """Puts tables in force in any order; each one is taken back once."""
    older = self.tables
    self.tables = tables
    if older.generation:
        loop = asyncio.get_running_loop()
        loop.call_later(0.2, setattr, self, "tables", older)
    return True


def probe_at_will(
    self: probe_scheduler.ProbeScheduler,
) -> list[probe_scheduler.Probe]:
    """Probes whatever is wanted, without regard to its budget."""
    now = self._now()
    found = []
    for name, rows in self._requested.items():
        pool = self._find_pool(name)
        if pool is not None and self._refresh_budget(pool, now) is not None:
            term = self._term_starts[name]
            found += [probe_scheduler.Probe(name, t, now, term) for t in rows]
    return found


PLANTED = {
    "measuring": (
        "own-drain",
        probe_scheduler.ProbeScheduler,
        "start_due_probes",
        probe_at_will,
    ),
    "leaving": (
        "leave",
        dispatcher.Dispatcher,
        "set_draining_targets",
        ignore_leaving,
    ),
    "cut": ("planned-stop", gateways.GatewayService, "drain", drain_nothing),
    "generation": (
        "racing-operators",
        fleet_view.FleetView,
        "update_tables",
        take_any_tables,
    ),
}


class TestHistories:
    @pytest.mark.parametrize("seed", [1, 2])
    def test_fleet_keeps_its_promises_under_faults(self, seed: int) -> None:
        assert check_bench(benches.FleetBench(), seed) - TIMED == set()

    def test_targets_write_down_what_measures_them(self) -> None:
        """Without probes the promise on measuring would hold of itself."""
        with mock.patch.object(PlannedBench, "kind", "own-drain"):
            bench = PlannedBench()
            assert "measuring" not in check_bench(bench, 3)
        assert bench.history.probes

    @pytest.mark.parametrize("promise", PLANTED)
    def test_fault_planted_in_a_fleet_is_found(self, promise: str) -> None:
        kind, owner, attribute, planted = PLANTED[promise]
        with (
            mock.patch.object(PlannedBench, "kind", kind),
            mock.patch.object(owner, attribute, planted),
        ):
            assert promise in check_bench(PlannedBench(), 3)
