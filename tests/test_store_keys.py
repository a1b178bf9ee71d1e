"""Decoding of store keys, whose values any client of the store may write."""

import dataclasses
import json
from typing import Any

import pytest

from wigeonspool.core import cluster_state
from wigeonspool.core import suspect_reports
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.platform import store_keys
from wigeonspool.platform import target_entries
from wigeonspool.platform import value_limits

ENTRY: dict[str, Any] = {
    "Address": "10.0.0.1:80",
    "Info": {"Service": "reads", "Zone": "zone-a", "Slots": 4},
    "Status": {"State": "ready", "Seq": 3, "Cold_time": "0ms"},
    "born": 17,
}


VM_ENTRY = fleet.VmEntry(
    "vm-1", "north", "zone-a", "10.0.0.1:80", "10.0.0.1:81", 0.86
)
NESTED = b"[" * 5000 + b"]" * 5000
INVALID_ADDRESSES = [
    "127.0.0.1:99999",
    "127.0.0.1:65536",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:+1",
    "127.0.0.1: 80",
    "127.0.0.1:٣٣",
    "127.0.0.1:" + "1" * 5000,
    "127.0.0.1:",
    "127.0.0.1",
    ":80",
    "a..b:80",
    "localhost:80",
    "127.0.0.256:80",
    "127.0.0.1\0:80",
    "127.0.0.1\r\n:80",
    "a" * 140 + ":80",
    "a" * 5000 + ":80",
    "::1:80",
    "[::1]:80",
]
MAX_PROBLEM_CHARS = 400


def add_field(document: dict[str, Any], value: bytes) -> bytes:
    """Returns a JSON document with one more field, given as JSON."""
    return json.dumps(document).encode()[:-1] + b', "New": ' + value + b"}"


def build_entry(**fields: Any) -> dict[str, Any]:
    """Returns an entry in which the fields have other values."""
    return {
        "Address": fields.get("Address", ENTRY["Address"]),
        "Info": {k: fields.get(k, v) for k, v in ENTRY["Info"].items()},
        "Status": {k: fields.get(k, v) for k, v in ENTRY["Status"].items()},
        "born": fields.get("born", ENTRY["born"]),
    }


def decode(entry: Any) -> cluster_state.TargetChange:
    value = entry if isinstance(entry, bytes) else json.dumps(entry).encode()
    change = store_keys.decode_change("servers/t-1", value)
    assert isinstance(change, cluster_state.TargetChange)
    return change


class TestTargetEntries:
    def test_complete_entry_is_decoded(self) -> None:
        change = decode(ENTRY)
        assert change.entry is not None
        assert not change.problem
        assert change.entry.started_at_ms == 17

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
    def test_invalid_entry_is_reported_and_registers_no_target(
        self, entry: Any
    ) -> None:
        change = decode(entry)
        assert change.entry is None
        assert change.problem

    def test_deeply_nested_entry_is_reported_and_registers_no_target(
        self,
    ) -> None:
        # Guards against lost requests: such an entry ended each process that
        # read it.
        change = decode(add_field(ENTRY, NESTED))
        assert change.entry is None
        assert "levels" in change.problem
        assert len(change.problem) < MAX_PROBLEM_CHARS

    @pytest.mark.parametrize("address", INVALID_ADDRESSES)
    def test_entry_with_an_invalid_address_registers_no_target(
        self, address: str
    ) -> None:
        # Guards against lost requests: a connection to such an address ended
        # requests with a 500, because its error was no OSError.
        change = decode(ENTRY | {"Address": address})
        assert change.entry is None
        assert "Address" in change.problem
        assert len(change.problem) < MAX_PROBLEM_CHARS

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("Slots", 10**30),
            ("Slots", target_entries.MAX_SLOTS + 1),
            ("Slots", -1),
            ("Slots", 1.5),
            ("Slots", 1e308),
            ("born", 10**30),
            ("born", 2**64 - 1),
            ("born", -1),
            ("born", 1.5),
            ("Cold_time", "1" * 5000 + "s"),
            ("Cold_time", "99999999s"),
            ("Cold_time", "٣s"),
            ("Cold_time", "-1s"),
            ("Cold_time", "nan"),
            ("Service", ""),
            ("Service", "x" * 5000),
            ("Service", "a\0b"),
            ("Zone", "x" * 5000),
            ("Zone", "a\nb"),
            ("State", "x" * 5000),
        ],
    )
    def test_entry_with_a_field_out_of_range_registers_no_target(
        self, field: str, value: Any
    ) -> None:
        # Guards against lost requests: a feeder could not encode integers of
        # 2^64 and more, and a duration of 5,000 digits was infinite.
        change = decode(build_entry(**{field: value}))
        assert change.entry is None
        assert field in change.problem
        assert len(change.problem) < MAX_PROBLEM_CHARS

    def test_values_at_the_limits_are_accepted(self) -> None:
        change = decode(
            build_entry(
                Slots=target_entries.MAX_SLOTS,
                born=target_entries.MAX_BORN_MS,
                Cold_time=f"{target_entries.MAX_COLD_SECONDS}s",
                Service="é" * 100,
                Zone="",
            )
        )
        assert change.entry is not None

    @pytest.mark.parametrize("identity", ["", "a b", "a\r\nb", "é", "x" * 201])
    def test_identity_that_fits_no_header_registers_no_target(
        self, identity: str
    ) -> None:
        value = json.dumps(ENTRY).encode()
        change = store_keys.decode_change(f"servers/{identity}", value)
        assert isinstance(change, cluster_state.TargetChange)
        assert change.entry is None
        assert "identity" in change.problem

    def test_entry_above_the_size_limit_is_reported(self) -> None:
        change = decode(ENTRY | {"New": "x" * target_entries.MAX_ENTRY_BYTES})
        assert change.entry is None
        assert "bytes" in change.problem

    def test_unknown_fields_within_the_limits_are_ignored(self) -> None:
        depth = value_limits.MAX_DEPTH - 1
        for value in (
            b"[" * depth + b"]" * depth,
            b"[" + b",".join([b"[{}]"] * 1000) + b"]",
            b'"' + b"[" * 1000 + b'"',
            b'"\\"' + b"[" * 1000 + b'"',
            b"1" + b"0" * 10_000,
        ):
            assert decode(add_field(ENTRY, value)).entry is not None

    def test_removed_entry_is_no_problem(self) -> None:
        change = store_keys.decode_change("servers/t-1", None)
        assert change == cluster_state.TargetChange("t-1", None)


class TestOtherKeys:
    @pytest.mark.parametrize(
        ("key", "value"),
        [
            ("vms/vm-1", b"\x93"),
            ("suspects/xyz/t-1", b""),
            ("op/config", b"{}"),
            ("op/config", b'{"New": ' + NESTED + b"}"),
        ],
    )
    def test_invalid_value_raises_an_error(
        self, key: str, value: bytes
    ) -> None:
        with pytest.raises(errors.PlatformFormatError):
            store_keys.decode_change(key, value)

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("address", "10.0.0.1:99999"),
            ("address", "a..b:80"),
            ("peer_address", "10.0.0.1:99999"),
            ("peer_address", "10.0.0.1:x"),
            ("peer_address", "10.0.0.1\0:1"),
            ("capacity", float("nan")),
            ("capacity", float("inf")),
            ("capacity", float("-inf")),
            ("capacity", 0.0),
            ("capacity", -1.0),
            ("region", "x" * 300),
            ("zone", "a\nb"),
        ],
    )
    def test_vm_with_an_invalid_field_is_an_error(
        self, field: str, value: Any
    ) -> None:
        # Guards against lost requests: an odd port ended the loop that pings
        # VMs.
        entry = dataclasses.replace(VM_ENTRY, **{field: value})
        key, encoded = store_keys.encode_vm(entry)
        with pytest.raises(errors.PlatformFormatError, match=field) as caught:
            store_keys.decode_change(key, encoded)
        assert len(str(caught.value)) < MAX_PROBLEM_CHARS

    def test_vm_entry_is_decoded_as_it_was_encoded(self) -> None:
        change = store_keys.decode_change(*store_keys.encode_vm(VM_ENTRY), 3)
        assert change == cluster_state.VmChange("vm-1", VM_ENTRY, 3)

    def test_deeply_nested_vm_entry_is_an_error(self) -> None:
        _, encoded = store_keys.encode_vm(VM_ENTRY)
        # An array of five fields becomes one of six.
        nested = b"\x96" + encoded[1:] + b"\x91" * 3000 + b"\x00"
        with pytest.raises(errors.PlatformFormatError):
            store_keys.decode_change("vms/vm-1", nested)

    @pytest.mark.parametrize(
        "name",
        [
            "f" * 17 + "/t-1",
            "f" * 100_000 + "/t-1",
            "-1/t-1",
            "0x1/t-1",
            "1_0/t-1",
            " 1/t-1",
            "٣/t-1",
            "/t-1",
            "1/",
            "1",
            "1/" + "x" * 5000,
            "1/a\r\nb",
        ],
    )
    def test_invalid_suspect_is_an_error(self, name: str) -> None:
        with pytest.raises(errors.PlatformFormatError) as caught:
            store_keys.decode_change(f"suspects/{name}", b"")
        assert len(str(caught.value)) < MAX_PROBLEM_CHARS

    def test_suspect_is_decoded_from_its_key(self) -> None:
        key = store_keys.build_suspect_key(2**64 - 1, "t-1")
        change = store_keys.decode_change(key, b"")
        assert change == cluster_state.SuspectChange(2**64 - 1, "t-1")

    @pytest.mark.parametrize("state", list(suspect_reports.ReportState))
    def test_report_is_decoded_as_it_was_encoded(
        self, state: suspect_reports.ReportState
    ) -> None:
        report = suspect_reports.SuspectReport((7, "t-1"), state, 0.0)
        key, value = store_keys.encode_report(report)
        change = store_keys.decode_change(key, value)
        assert change == cluster_state.SuspectChange(7, "t-1", state)

    def test_unknown_report_counts_as_a_crash(self) -> None:
        key = store_keys.build_suspect_key(7, "t-1")
        change = store_keys.decode_change(key, b"later version")
        assert change == cluster_state.SuspectChange(7, "t-1")

    def test_other_prefixes_are_ignored(self) -> None:
        assert store_keys.decode_change("status/x", b"\xff") is None
