"""The log of configuration changes, its snapshots and its readers."""

import asyncio
import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies
import pytest

from tests import change_log_fakes
from wigeonspool import eventlog
from wigeonspool.agent import configuration as states
from wigeonspool.agent import store_watcher
from wigeonspool.model import changes
from wigeonspool.model import entities
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.standin import store as stores
from wigeonspool.store import change_log
from wigeonspool.store import snapshots
from wigeonspool.store import store as store_client


def list_ids(count: int, first: int = 0) -> list[str]:
    return [f"change-{number}" for number in range(first, first + count)]


class TestChangeLog:
    async def test_lost_reply_to_a_write_is_not_a_conflict(self) -> None:
        faults = iter(["reply-lost", "", ""])
        standin = stores.StoreStandin()
        log = change_log_fakes.build_log(standin, lambda: next(faults, ""))
        change = change_log_fakes.build_change(entities.EMPTY_TABLES, "a")
        await log.propose(change)
        assert (await log.read_tables()).digest == change.digest

    async def test_conflict_error_names_the_committed_change(self) -> None:
        log = change_log_fakes.build_log(stores.StoreStandin())
        empty = entities.EMPTY_TABLES
        await log.propose(change_log_fakes.build_change(empty, "a", "ayla"))
        with pytest.raises(errors.ChangeConflictError) as caught:
            await log.propose(change_log_fakes.build_change(empty, "b", "bora"))
        assert (caught.value.author, caught.value.change_id) == ("ayla", "a")
        assert list((await log.read_tables()).pools) == ["a"]

    async def test_outcome_is_unknown_while_the_store_is_down(self) -> None:
        standin = stores.StoreStandin()
        standin.faults.down = True
        change = change_log_fakes.build_change(entities.EMPTY_TABLES, "a")
        with pytest.raises(errors.ChangeOutcomeUnknownError):
            await change_log_fakes.build_log(standin).propose(change)

    async def test_removed_generation_cannot_be_written_again(self) -> None:
        log = change_log_fakes.build_log(stores.StoreStandin())
        old = change_log_fakes.build_change(entities.EMPTY_TABLES, "late")
        tables = await change_log_fakes.write_changes(log, list_ids(10))
        await log.snapshots.write(tables, {}, "w")
        await log.compact(10, kept_changes=2)
        with pytest.raises(errors.ChangeConflictError):
            await log.propose(old)
        assert await log.read_tables() == tables

    @pytest.mark.parametrize("seed", range(20))
    async def test_concurrent_operators_with_lost_replies_write_one_chain(
        self, seed: int
    ) -> None:
        standin = stores.StoreStandin()
        rng = random.Random(seed)

        def choose_fault() -> str:
            return rng.choice(["", "", "", "", "lost", "reply-lost"])

        accepted: list[str] = []

        async def operate(name: str) -> None:
            log = change_log_fakes.build_log(standin, choose_fault)
            for number in range(8):
                change_id = f"{name}-{number}"
                try:
                    current = await log.read_tables()
                    change = change_log_fakes.build_change(
                        current, change_id, name
                    )
                    await log.propose(change)
                except (errors.StoreError, errors.ChangeConflictError):
                    continue
                except errors.ChangeOutcomeUnknownError:
                    continue
                accepted.append(change_id)

        await asyncio.gather(*map(operate, ["ayla", "bora", "cem"]))
        logged = await change_log_fakes.build_log(standin).read_after(0)
        assert [c.generation for c in logged] == list(range(1, len(logged) + 1))
        tables = entities.EMPTY_TABLES
        for change in logged:
            tables = changes.apply_change(tables, change)
        assert len({c.change_id for c in logged}) == len(logged)
        assert set(accepted) <= {c.change_id for c in logged}
        assert accepted


class TestSnapshots:
    async def test_large_tables_are_split_into_parts_that_fit_the_store(
        self,
    ) -> None:
        standin = stores.StoreStandin()
        log = change_log_fakes.build_log(standin)
        pools = {
            name: change_log_fakes.build_pool(name, targets=200)
            for name in list_ids(120)
        }
        tables = entities.Tables(7, {}, pools, "digest")
        assert await log.snapshots.write(tables, {7: "digest"}, "w")
        assert len(standin.records) > 2
        stored = await log.snapshots.read_newest()
        assert stored == snapshots.StoredSnapshot(tables, {7: "digest"})

    async def test_incomplete_snapshot_is_not_read(self) -> None:
        standin = stores.StoreStandin()
        faults = iter(["", "", "lost"])
        writer = change_log_fakes.build_log(standin, lambda: next(faults, ""))
        tables = await change_log_fakes.write_changes(
            change_log_fakes.build_log(standin), list_ids(3)
        )
        with pytest.raises(errors.StoreUnavailableError):
            await writer.snapshots.write(tables, {}, "w")
        log = change_log_fakes.build_log(standin)
        assert await log.snapshots.read_newest() is None
        assert await log.read_tables() == tables

    async def test_damaged_part_is_detected(self) -> None:
        standin = stores.StoreStandin()
        log = change_log_fakes.build_log(standin)
        await log.snapshots.write(entities.Tables(3, {}, {}, "d"), {}, "w")
        part = next(key for key in standin.records if b"config/part" in key)
        standin.records[part].value = b"damaged"
        with pytest.raises(errors.StoreReplyError):
            await log.snapshots.read_newest()

    async def test_tables_are_read_from_snapshot_and_changes(self) -> None:
        log = change_log_fakes.build_log(stores.StoreStandin())
        middle = await change_log_fakes.write_changes(log, list_ids(20))
        await log.snapshots.write(middle, {}, "w")
        await log.compact(20, kept_changes=5)
        tables = await change_log_fakes.write_changes(
            log, list_ids(7, first=20)
        )
        update = await log.read_update(entities.EMPTY_TABLES)
        assert update.base is not None
        assert update.base.tables == middle
        assert len(update.changes) == 7
        assert await log.read_tables() == tables

    async def test_reader_far_behind_starts_at_the_snapshot(self) -> None:
        log = change_log_fakes.build_log(stores.StoreStandin())
        old = await change_log_fakes.write_changes(log, list_ids(2))
        tables = await change_log_fakes.write_changes(
            log, list_ids(20, first=2)
        )
        await log.snapshots.write(tables, {}, "w")
        await log.compact(22, kept_changes=3)
        update = await log.read_update(old)
        assert update.base is not None
        assert update.base.tables.generation == 22


class Feeder:
    """The tables and the store watcher of a feeder, on a store stand-in."""

    def __init__(self, standin: stores.StoreStandin, name: str = "f") -> None:
        client = change_log_fakes.DirectClient(standin)
        self.log = change_log.ChangeLog(client, change_log_fakes.PREFIX)
        self.state = states.ConfigurationState()
        self.events = eventlog.EventLog(name)
        self.generations: list[int] = []
        self.watcher = store_watcher.StoreWatcher(
            client,
            self.log,
            self.state,
            self.events,
            name,
            self.record_generation,
            lambda: 0,
        )

    def record_generation(self) -> None:
        self.generations.append(self.state.tables.generation)

    def list_kinds(self) -> list[events.Kind]:
        return [event.kind for event in self.events.ring.list_events()]


class TestStoreWatcher:
    async def test_log_that_lost_its_newest_changes_is_restored(self) -> None:
        standin = stores.StoreStandin()
        feeder = Feeder(standin)
        await change_log_fakes.write_changes(feeder.log, list_ids(5))
        backup = standin.copy_records()
        tables = await change_log_fakes.write_changes(
            feeder.log, list_ids(3, 5)
        )
        await feeder.watcher.sync()
        await standin.restore_records(backup)
        await feeder.watcher.sync()
        assert feeder.state.tables == tables
        assert feeder.list_kinds() == [
            events.Kind.CONFIGURATION_STALE_HEAD,
            events.Kind.CONFIGURATION_RESTORED,
        ]
        assert await feeder.log.read_tables() == tables
        await change_log_fakes.write_changes(feeder.log, ["next"])
        await feeder.watcher.sync()
        assert feeder.state.tables.generation == 9

    async def test_empty_store_gets_the_active_tables(self) -> None:
        standin = stores.StoreStandin()
        feeder = Feeder(standin)
        tables = await change_log_fakes.write_changes(feeder.log, list_ids(300))
        await feeder.watcher.sync()
        await standin.restore_records({})
        await feeder.watcher.sync()
        assert await feeder.log.read_tables() == tables
        other = Feeder(standin)
        await other.watcher.sync()
        assert other.state.tables == tables

    async def test_other_changes_after_a_restored_backup_are_not_applied(
        self,
    ) -> None:
        standin = stores.StoreStandin()
        feeder = Feeder(standin)
        await change_log_fakes.write_changes(feeder.log, list_ids(5))
        backup = standin.copy_records()
        tables = await change_log_fakes.write_changes(
            feeder.log, list_ids(3, 5)
        )
        await feeder.watcher.sync()
        await standin.restore_records(backup)
        await change_log_fakes.write_changes(feeder.log, ["x", "y", "z", "w"])
        with pytest.raises(errors.ChainBrokenError):
            await feeder.watcher.sync()
        assert feeder.state.tables == tables
        # After an operator removed the other changes, the log is restored.
        for number in range(6, 10):
            key = f"{change_log_fakes.PREFIX}config/change/{number:016d}"
            del standin.records[key.encode()]
        await feeder.watcher.sync()
        assert await feeder.log.read_tables() == tables

    async def test_snapshots_are_written_and_old_changes_removed(self) -> None:
        standin = stores.StoreStandin()
        feeder = Feeder(standin)
        for _ in range(7):
            await change_log_fakes.write_changes(
                feeder.log,
                list_ids(200, feeder.state.tables.generation),
            )
            await feeder.watcher.sync()
        kept = [key for key in standin.records if b"config/change" in key]
        assert len(kept) <= store_watcher.RETAINED_CHANGES + 1
        late = Feeder(standin)
        await late.watcher.sync()
        assert late.state.tables == feeder.state.tables

    @settings(derandomize=True, max_examples=60, deadline=None)
    @given(
        steps=strategies.lists(
            strategies.sampled_from(
                ["write", "read-a", "read-b", "backup", "restore", "replace"]
            ),
            max_size=25,
        )
    )
    def test_generations_only_rise_on_one_chain(self, steps: list[str]) -> None:
        asyncio.run(self._interleave(steps))

    async def _interleave(self, steps: list[str]) -> None:
        standin = stores.StoreStandin()
        feeders = {"a": Feeder(standin, "a"), "b": Feeder(standin, "b")}
        backup = standin.copy_records()
        for number, step in enumerate(steps):
            before = {n: f.state.tables for n, f in feeders.items()}
            log = change_log_fakes.build_log(standin)
            try:
                if step == "write":
                    await change_log_fakes.write_changes(log, [f"w{number}"])
                elif step == "backup":
                    backup = standin.copy_records()
                elif step == "restore":
                    await standin.restore_records(backup)
                elif step == "replace":
                    # A new VM gets tables of a peer before it reads the store.
                    peer = feeders["b"].state
                    feeders["a"] = Feeder(standin, "a")
                    for message in peer.list_updates(0, ""):
                        apply_message(feeders["a"].state, message)
                    before["a"] = feeders["a"].state.tables
                else:
                    await feeders[step[-1]].watcher.sync()
            except (errors.ChainBrokenError, errors.StoreError):
                pass
            for name, tables in before.items():
                now = feeders[name].state.tables
                assert now.generation >= tables.generation
                assert set(tables.pools) <= set(now.pools)


def apply_message(
    state: states.ConfigurationState, message: messages.Message
) -> bool:
    if isinstance(message, messages.Snapshot):
        return state.replace_tables(
            message.tables, dict(message.lineage), message.last
        )
    assert isinstance(message, messages.ChangeNotice)
    return state.apply_change(message.change)


class TestConfigurationState:
    def build(self, ids: list[str]) -> states.ConfigurationState:
        state = states.ConfigurationState()
        for change_id in ids:
            state.apply_change(
                change_log_fakes.build_change(state.tables, change_id)
            )
        return state

    def test_subscriber_gets_only_the_missing_changes(self) -> None:
        state = self.build(list_ids(5))
        other = self.build(list_ids(3))
        updates = state.list_updates(
            other.tables.generation, other.tables.digest
        )
        assert [type(m) for m in updates] == [messages.ChangeNotice] * 2
        assert all(apply_message(other, message) for message in updates)
        assert other.tables == state.tables

    def test_subscriber_with_another_history_gets_an_error(self) -> None:
        state = self.build(list_ids(5))
        other = self.build([*list_ids(2), "other"])
        with pytest.raises(errors.ChainBrokenError):
            state.list_updates(3, other.tables.digest)

    def test_snapshot_with_another_history_is_rejected(self) -> None:
        state = self.build([*list_ids(2), "other"])
        snapshot = self.build(list_ids(9)).list_updates(0, "")
        before = state.tables
        with pytest.raises(errors.ChainBrokenError):
            for message in snapshot:
                apply_message(state, message)
        assert state.tables == before

    def test_older_tables_are_ignored(self) -> None:
        state = self.build(list_ids(5))
        older = self.build(list_ids(3))
        assert not state.replace_tables(older.tables, dict(older.lineage))
        assert state.tables.generation == 5


class TestMaxValueSize:
    def test_too_large_change_is_rejected_before_the_write(self) -> None:
        pool = change_log_fakes.build_pool("big", targets=20_000)
        change = changes.Change(1, "id", "ayla", 1.0, put_pools=(pool,))
        with pytest.raises(errors.ChangeTooLargeError):
            change_log.encode_change(change)
        assert store_client.MAX_VALUE_BYTES == stores.MAX_VALUE_BYTES
