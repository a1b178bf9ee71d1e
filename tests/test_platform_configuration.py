"""Configurations of the platform that hold an odd value."""

import json
from typing import Any

import pytest

from tests import test_odd_entries
from tests import test_store_keys
from tests import vm_fleet
from wigeonspool.model import errors
from wigeonspool.platform import configuration

LONG = "1" * 5000 + "s"


def build(field: str, value: Any) -> bytes:
    """Returns a configuration in which one field has another value."""
    rule = vm_fleet.build_rule("read", "/read/", "safe", Service="reads")
    document = vm_fleet.build_configuration(3, [rule])
    backend = {"Service": "reads", "Weight": 1.0}
    rule["Action"]["WeightedBackends"] = [backend]
    for table in (
        document,
        document["Limits"],
        document["Upstreams"][0],
        rule,
        rule["Action"],
        backend,
    ):
        if field in table:
            table[field] = value
    return json.dumps(document).encode()


ODD_FIELDS: list[tuple[str, Any]] = [
    ("ConfigVersion", -1),
    ("ConfigVersion", 10**30),
    ("Weight", -1),
    ("Weight", "nan"),
    ("Weight", "inf"),
    ("Weight", 1e300),
    ("Priority", -1),
    ("Priority", 10**30),
    ("MaxAttempts", -1),
    ("MaxAttempts", 10**30),
    ("MaxConns", -1),
    ("MaxConns", 10**30),
    ("MaxHeaderBytes", 0),
    ("MaxHeaderBytes", 10**12),
    ("MaxBodyBytes", -1),
    ("MaxBodyBytes", 10**30),
    ("HealthPath", "health"),
    ("HealthPath", "/a\r\nX: y"),
    ("HealthPath", "/" + "x" * 5000),
    ("HealthPath", "/a b"),
    ("Name", ""),
    ("Timeout", LONG),
    ("Timeout", "-1s"),
    ("Timeout", "nan"),
    ("Timeout", "infs"),
    ("Timeout", "100000000s"),
    ("Slo", LONG),
    ("HeaderTimeout", LONG),
    ("IdleTimeout", LONG),
]


class TestFields:
    @pytest.mark.parametrize(("field", "value"), ODD_FIELDS)
    def test_field_out_of_range_is_an_error(
        self, field: str, value: Any
    ) -> None:
        with pytest.raises(errors.PlatformFormatError, match=field) as caught:
            configuration.decode_configuration(build(field, value))
        assert len(str(caught.value)) < test_store_keys.MAX_PROBLEM_CHARS

    def test_values_at_the_limits_are_accepted(self) -> None:
        for field, value in (
            ("ConfigVersion", configuration.MAX_VERSION),
            ("Weight", 0),
            ("Weight", configuration.MAX_WEIGHT),
            ("Priority", 0),
            ("Priority", configuration.MAX_PRIORITY),
            ("MaxAttempts", 0),
            ("MaxConns", 0),
            ("MaxConns", configuration.MAX_CONNECTIONS),
            ("MaxHeaderBytes", configuration.MAX_HEADER_BYTES),
            ("MaxBodyBytes", 0),
            ("Timeout", "0s"),
            ("Slo", "86400s"),
            ("HealthPath", "/"),
        ):
            configuration.decode_configuration(build(field, value))


class TestReplica:
    async def test_odd_configuration_leaves_the_old_one(self) -> None:
        # Guards against lost requests: a nested configuration ended each
        # process.
        replica = test_odd_entries.Replica()
        replica.write("op/config", build("", None))
        active = replica.cluster.configuration
        assert active is not None
        nested = build("ConfigVersion", 5)[:-1]
        nested += b', "New": ' + test_store_keys.NESTED + b"}"
        odd_values = [
            b"",
            b"\xff",
            nested,
            *(build(field, value) for field, value in ODD_FIELDS),
        ]
        for value in odd_values:
            replica.write("op/config", value)
            assert replica.cluster.configuration is active
        assert len(replica.lines) == len(odd_values)
        replica.write("op/config", build("ConfigVersion", 7))
        assert replica.cluster.configuration is not None
        assert replica.cluster.configuration.version == 7
