"""The replica of the store, with states of different ages."""

import json

import pytest

from tests import test_replica_state_machine as machine
from tests import test_store_keys
from wigeonspool.core import cluster_state
from wigeonspool.model import key_values
from wigeonspool.platform import store_keys
from wigeonspool.vm import feed_client
from wigeonspool.vm import store_follower

ENTRY = json.dumps(test_store_keys.ENTRY).encode()


def build_item(
    identity: str, revision: int, removed: bool = False
) -> key_values.KeyValue:
    """Returns the entry of a target, or its removal."""
    value = None if removed else ENTRY
    return key_values.KeyValue(f"servers/{identity}", value, revision)


class Replica(store_follower.StoreReplica):
    """A replica that records what it passes on."""

    def __init__(self) -> None:
        self.cluster = cluster_state.ClusterState()
        self.passed_on: list[key_values.KeyValue] = []
        super().__init__(
            self.cluster, store_keys.decode_change, self.passed_on.append
        )

    def apply_changes(self, revision: int, *items: key_values.KeyValue) -> None:
        """Applies changes up to a revision."""
        self.apply_page(key_values.Page(items, revision))


class TestOlderStates:
    # Guards against a target that comes back with a state that is older than
    # its removal.
    async def test_older_state_brings_no_removed_key_back(self) -> None:
        replica = Replica()
        replica.apply_changes(10, build_item("t-1", 5), build_item("t-2", 6))
        replica.apply_changes(12, build_item("t-1", 11, removed=True))
        replica.apply_snapshot([build_item("t-1", 5), build_item("t-2", 6)], 9)
        assert list(replica.cluster.targets) == ["t-2"]
        assert replica.revision == 12

    # Guards against the same with a VM that never saw the key, since it started
    # with the newer state.
    async def test_older_state_brings_back_no_key_that_was_never_held(
        self,
    ) -> None:
        replica = Replica()
        replica.apply_snapshot([build_item("t-2", 6)], 12)
        replica.apply_snapshot([build_item("t-1", 5), build_item("t-2", 6)], 9)
        assert list(replica.cluster.targets) == ["t-2"]
        assert list(replica.items) == ["servers/t-2"]

    # Guards against an older state that removes what was added since.
    async def test_older_state_removes_no_newer_key(self) -> None:
        replica = Replica()
        replica.apply_changes(12, build_item("t-1", 5), build_item("t-2", 11))
        replica.apply_snapshot([build_item("t-1", 5)], 9)
        assert set(replica.cluster.targets) == {"t-1", "t-2"}

    # Guards against a target that stays in use, since a newer state without it
    # was taken for an older one.
    async def test_newer_state_removes_missing_keys(self) -> None:
        replica = Replica()
        replica.apply_changes(10, build_item("t-1", 5), build_item("t-2", 6))
        replica.apply_snapshot([build_item("t-2", 6)], 12)
        assert list(replica.cluster.targets) == ["t-2"]
        assert replica.passed_on[-1] == build_item("t-1", 12, removed=True)

    async def test_item_newer_than_an_older_state_is_applied(self) -> None:
        replica = Replica()
        replica.apply_changes(10, build_item("t-1", 5))
        replica.apply_snapshot([build_item("t-2", 11)], 9)
        assert set(replica.cluster.targets) == {"t-1", "t-2"}


class TestReadsOfSeveralPages:
    """Pages are read from replicas of the store of different ages."""

    def build_ranges(
        self, first: key_values.Page, second: key_values.Page
    ) -> list[store_follower.KeyRange]:
        """Returns a read of two pages; the first ends with t-1."""
        end = "servers/t-1"
        return [
            store_follower.KeyRange("", end, first),
            store_follower.KeyRange(end, None, second),
        ]

    # Guards against a change that is lost, since a page is older than the first
    # one, after whose revision the watch began.
    async def test_watch_begins_after_the_oldest_page(self) -> None:
        replica = Replica()
        first = key_values.Page((build_item("t-1", 5),), 12, more=True)
        second = key_values.Page((build_item("t-2", 6),), 9)
        replica.apply_ranges(self.build_ranges(first, second))
        assert replica.revision == 9
        replica.apply_changes(12, build_item("t-2", 10, removed=True))
        assert list(replica.cluster.targets) == ["t-1"]

    # Guards against a target that comes back for a moment, since a page showed
    # its removal already and the watch repeats what was before.
    async def test_watch_does_not_undo_a_newer_page(self) -> None:
        replica = Replica()
        first = key_values.Page((), 12, more=True)
        second = key_values.Page((build_item("t-2", 6),), 9)
        replica.apply_ranges(self.build_ranges(first, second))
        replica.apply_changes(10, build_item("t-1", 10))
        assert list(replica.cluster.targets) == ["t-2"]

    # Guards against the same at a follower, which gets the removal that a page
    # of its feeder showed, and then the changes before it.
    async def test_older_change_does_not_undo_a_newer_removal(self) -> None:
        replica = Replica()
        replica.apply_changes(6, build_item("t-1", 3), build_item("t-2", 4))
        replica.apply_changes(6, build_item("t-1", 12, removed=True))
        replica.apply_changes(7, build_item("t-1", 7))
        assert list(replica.cluster.targets) == ["t-2"]
        assert list(replica.items) == ["servers/t-2"]

    # Guards against an unreadable item that removes the key that it stands for.
    async def test_item_without_a_readable_key_removes_no_key(self) -> None:
        replica = Replica()
        replica.apply_changes(5, build_item("t-1", 5))
        page = key_values.Page((), 9, unreadable_keys=("",))
        replica.apply_ranges([store_follower.KeyRange("", None, page)])
        assert list(replica.cluster.targets) == ["t-1"]


class TestFeedersBehindFollowers:
    """A feeder reads all keys, past changes that its follower needs."""

    # Guards against a target that stays in use, since the feeder has just
    # started and never held it.
    async def test_follower_that_is_ahead_gets_all_keys(self) -> None:
        feeder, follower = machine.Vm(), machine.Vm()
        follower.replica.apply_page(key_values.Page((build_item("t-1", 5),), 5))
        feeder.feeder.connect(follower.replica.revision)
        feeder.replica.apply_snapshot([build_item("t-2", 6)], 9)
        feeder.feeder.send_changes()
        messages = feeder.feeder.messages
        assert messages is not None
        follower.client._handle_message("a", messages[0])
        with pytest.raises(feed_client.FeederJumpError):
            follower.client._handle_message("a", messages[1])
        feeder.feeder.connect(follower.replica.revision)
        assert feeder.feeder.messages is not None
        follower.client._handle_message("a", feeder.feeder.messages[0])
        assert list(follower.cluster.targets) == ["t-2"]

    # Guards against a removal that is lost, since the feeder knew it from a
    # page that its follower did not get.
    async def test_follower_gets_changes_that_a_page_showed(self) -> None:
        feeder, follower = machine.Vm(), machine.Vm()
        follower.replica.apply_page(
            key_values.Page((build_item("t-1", 1), build_item("t-2", 2)), 2)
        )
        first = key_values.Page((), 4, more=True)
        second = key_values.Page((), 1)
        end = "servers/t-1"
        feeder.replica.apply_ranges(
            [
                store_follower.KeyRange("", end, first),
                store_follower.KeyRange(end, None, second),
            ]
        )
        feeder.feeder.connect(follower.replica.revision)
        changes = (build_item("t-2", 2), build_item("t-1", 3, removed=True))
        feeder.replica.apply_page(key_values.Page(changes, 4))
        feeder.feeder.send_changes()
        assert feeder.feeder.messages is not None
        for message in feeder.feeder.messages:
            follower.client._handle_message("a", message)
        assert list(follower.cluster.targets) == ["t-2"]
        assert follower.replica.revision == 4

    async def test_follower_that_is_not_ahead_gets_differences(self) -> None:
        feeder, follower = machine.Vm(), machine.Vm()
        feeder.replica.apply_snapshot([build_item("t-1", 5)], 5)
        feeder.feeder.connect(follower.replica.revision)
        feeder.replica.apply_snapshot([build_item("t-2", 6)], 9)
        feeder.feeder.send_changes()
        assert feeder.feeder.messages is not None
        for message in feeder.feeder.messages:
            follower.client._handle_message("a", message)
        assert list(follower.cluster.targets) == ["t-2"]
        assert follower.replica.revision == 9
