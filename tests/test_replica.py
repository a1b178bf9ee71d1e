"""The replica of the store, with states of different ages."""

import json

from tests import test_store_keys
from wigeonspool.core import cluster_state
from wigeonspool.model import key_values
from wigeonspool.platform import store_keys
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
