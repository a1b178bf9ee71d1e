"""What the adapter makes of keys that anybody may have written."""

import json
from typing import Any

import pytest

from wigeonspool.core import cluster_state
from wigeonspool.model import errors
from wigeonspool.platform import store_keys

ENTRY: dict[str, Any] = {
    "Address": "10.0.0.1:80",
    "Info": {"Service": "reads", "Zone": "zone-a", "Slots": 4},
    "Status": {"State": "ready", "Seq": 3, "Cold_time": "0ms"},
    "born": 17,
}


def decode(entry: Any) -> cluster_state.TargetChange:
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    found = store_keys.decode_change("servers/t-1", value)
    assert isinstance(found, cluster_state.TargetChange)
    return found


class TestTargetEntries:
    def test_whole_entry_names_a_target(self) -> None:
        found = decode(ENTRY)
        assert found.entry is not None
        assert not found.problem
        assert found.entry.started_at_ms == 17

    @pytest.mark.parametrize(
        "entry",
        [
            b"",
            b"\xff",
            [],
            {"Address": 3},
            ENTRY | {"Status": {"State": "resting"}},
            ENTRY | {"Status": {"State": "ready", "Cold_time": "soon"}},
            ENTRY | {"Address": "10.0.0.1"},
            ENTRY | {"Info": {"Service": "", "Zone": "z", "Slots": 4}},
            ENTRY | {"Info": {"Service": "reads", "Zone": "z", "Slots": 0}},
        ],
    )
    def test_unreadable_entry_names_none_and_tells_why(
        self, entry: Any
    ) -> None:
        found = decode(entry)
        assert found.entry is None
        assert found.problem

    def test_missing_entry_is_no_problem(self) -> None:
        found = store_keys.decode_change("servers/t-1", None)
        assert found == cluster_state.TargetChange("t-1", None)


class TestOtherKeys:
    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("vms/vm-1", b"\x93"),
            ("suspects/xyz/t-1", b""),
            ("op/config", b"{}"),
        ],
    )
    def test_unreadable_value_is_told(self, key: str, value: bytes) -> None:
        with pytest.raises(errors.PlatformFormatError):
            store_keys.decode_change(key, value)

    def test_keys_of_others_are_of_no_concern(self) -> None:
        assert store_keys.decode_change("status/x", b"\xff") is None
