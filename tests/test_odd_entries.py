"""Entries of another writer that no process expects."""

import json
from typing import Any

import loguru
import pytest

from tests import test_store_keys
from wigeonspool.core import cluster_state
from wigeonspool.model import key_values
from wigeonspool.platform import store_keys
from wigeonspool.vm import store_follower

GOOD = json.dumps(test_store_keys.ENTRY).encode()
RESTARTED = json.dumps(test_store_keys.ENTRY | {"born": 18}).encode()
ODD = json.dumps(test_store_keys.ENTRY | {"Address": "10.0.0.1:0"}).encode()


class Replica:
    """A replica without a store, and the log lines that it wrote."""

    def __init__(self) -> None:
        self.cluster = cluster_state.ClusterState()
        self.lines: list[Any] = []
        self.changed: list[key_values.KeyValue] = []
        self.replica = store_follower.StoreReplica(
            self.cluster, store_keys.decode_change, self.changed.append
        )
        self.revision = 0

    def write(self, key: str, value: bytes | None, revision: int = 0) -> None:
        """Applies a change of a key, by default with the next revision."""
        self.revision = revision or self.revision + 1
        item = key_values.KeyValue(key, value, self.revision)
        page = key_values.Page((item,), self.revision)
        handler = loguru.logger.add(self.lines.append, level="INFO")
        try:
            self.replica.apply_page(page)
        finally:
            loguru.logger.remove(handler)

    def list_targets(self) -> list[str]:
        """Returns the targets of the service of the entries."""
        targets = self.cluster.list_targets("reads")
        return [row.entry.identity for row in targets]


class TestOddEntries:
    @pytest.mark.parametrize("again", [GOOD, RESTARTED])
    async def test_target_is_usable_again_after_an_odd_entry(
        self, again: bytes
    ) -> None:
        replica = Replica()
        replica.write("servers/t-1", GOOD)
        replica.write("servers/t-2", GOOD)
        replica.write("servers/t-1", ODD)
        assert replica.list_targets() == ["t-2"]
        assert len(replica.lines) == 1
        replica.write("servers/t-1", again)
        assert set(replica.list_targets()) == {"t-1", "t-2"}
        row = replica.cluster.targets["t-1"]
        assert row.entry.started_at_ms == json.loads(again)["born"]
        assert row.suspect_until == 0.0

    async def test_older_entry_does_not_replace_an_odd_one(self) -> None:
        replica = Replica()
        replica.write("servers/t-1", GOOD, 5)
        replica.write("servers/t-1", ODD, 7)
        replica.write("servers/t-1", GOOD, 6)
        replica.write("servers/t-1", GOOD, 7)
        assert not replica.list_targets()

    async def test_odd_entry_names_no_target_after_a_store_outage(
        self,
    ) -> None:
        # A missing entry may have expired only because of the outage; an odd
        # one was written.
        replica = Replica()
        replica.write("servers/t-1", GOOD)
        replica.cluster.store_recovered_at = replica.replica._loop.time()
        replica.write("servers/t-1", ODD)
        assert not replica.list_targets()
        replica.write("servers/t-2", GOOD)
        replica.write("servers/t-2", None)
        assert replica.list_targets() == ["t-2"]
