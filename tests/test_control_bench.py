"""The measurement of the cost of the control plane, without its agents."""

import pytest

from wigeonspool.load import control
from wigeonspool.load import process_memory
from wigeonspool.load import tables as load_tables
from wigeonspool.model import entities
from wigeonspool.store import store

ROLLUP = """55d0-7ffd ---p 00000000 00:00 0    [rollup]
Rss:               20480 kB
Pss:               12000 kB
Shared_Clean:       8192 kB
Shared_Dirty:          0 kB
Private_Clean:      2048 kB
Private_Dirty:     10240 kB
"""


class TestProcessMemory:
    def test_private_and_shared_pages_are_separated(self) -> None:
        assert process_memory.parse_smaps_rollup(
            ROLLUP
        ) == process_memory.ProcessMemory(20.0, 12.0, 8.0)

    def test_truncated_file_is_an_error(self) -> None:
        with pytest.raises(KeyError):
            process_memory.parse_smaps_rollup("Rss: 1 kB\n")


class TestCost:
    def test_rates_are_per_second_and_per_node(self) -> None:
        before = control.CounterSnapshot(10.0, 1.0, [0, 0, 0], [0, 0, 0], 5, 1)
        after = control.CounterSnapshot(
            20.0, 1.3, [100, 200, 9000], [50, 60, 1000], 105, 21
        )
        assert control.compute_cost(before, after) == control.Cost(
            3, pytest.approx(1.0), 6.0, 20.0, 1000.0, 10.0, 2.0
        )


class TestTables:
    def test_targets_are_spread_over_all_services(self) -> None:
        tables = load_tables.build_tables(19, 100)
        sizes = {len(pool.targets) for pool in tables.pools.values()}
        assert sizes == {5, 6}
        addresses = {
            t.address for p in tables.pools.values() for t in p.targets
        }
        assert len(addresses) == 100

    def test_each_step_fits_into_a_store_value(self) -> None:
        desired = load_tables.build_tables(1900, 10_000)
        current = entities.EMPTY_TABLES
        for tables in load_tables.split_tables(desired):
            change = control.changes.diff_tables(current, tables, "i", "a", 0.0)
            value = control.change_log.encode_change(change)
            assert len(value) <= store.MAX_VALUE_BYTES
            current = control.changes.apply_change(current, change)
        assert current.pools == desired.pools
