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
KEY = "key-acme-4711"
OTHER_KEY = "key-globex-0815"


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


def build_accounts(*tenants: Any, **fields: Any) -> bytes:
    """Returns a configuration with client accounts.

    Args:
        tenants: The accounts.
        fields: Fields of the action of its rule.
    """
    rule = vm_fleet.build_rule(
        "read", "/read/", "safe", Service="reads", **fields
    )
    document = vm_fleet.build_configuration(3, [rule], tenants=list(tenants))
    return json.dumps(document).encode()


def build_account(name: Any = "acme", **fields: Any) -> bytes:
    """Returns a configuration with an account that has two keys."""
    return build_accounts(vm_fleet.build_tenant(name, KEY, OTHER_KEY, **fields))


# Each value of one field of an account, with what the error names.
ODD_ACCOUNT_FIELDS: list[tuple[str, Any, str]] = [
    ("Name", "", "Name"),
    ("Name", 5, "Name"),
    ("Name", "a b", "Name"),
    ("Name", "a\r\nX: y", "Name"),
    ("Name", "é", "Name"),
    ("Name", "n" * 201, "Name"),
    ("ApiKeys", KEY, "ApiKeys"),
    ("ApiKeys", [5], "ApiKeys"),
    ("ApiKeys", [KEY, None], "ApiKeys"),
    ("ApiKeys", [KEY, ""], "ApiKeys of 'acme'"),
    ("ApiKeys", [f"{KEY} "], "ApiKeys of 'acme'"),
    ("ApiKeys", [f"{KEY}\n"], "ApiKeys of 'acme'"),
    ("ApiKeys", [f"{KEY}é"], "ApiKeys of 'acme'"),
    ("ApiKeys", [KEY * 100], "ApiKeys of 'acme'"),
    ("Priority", -1, "Priority"),
    ("Priority", 10**30, "Priority"),
    ("Priority", 1.5, "Priority"),
    ("Priority", KEY, "Priority"),
    ("RatePerS", -1, "RatePerS"),
    ("RatePerS", "nan", "RatePerS"),
    ("RatePerS", "inf", "RatePerS"),
    ("RatePerS", 1e300, "RatePerS"),
    ("RatePerS", None, "RatePerS"),
    ("Burst", -0.5, "Burst"),
    ("Burst", "nan", "Burst"),
    ("Burst", 1e300, "Burst"),
    ("AllowedRegions", "north", "AllowedRegions"),
    ("AllowedRegions", [""], "AllowedRegions"),
    ("AllowedRegions", ["n" * 201], "AllowedRegions"),
    ("AllowedRegions", ["a\nb"], "AllowedRegions"),
]


class TestAccounts:
    # Guards against a configuration that is applied with a part of its
    # accounts, and against keys in the log.
    @pytest.mark.parametrize(("field", "value", "named"), ODD_ACCOUNT_FIELDS)
    def test_odd_field_is_an_error_without_a_key(
        self, field: str, value: Any, named: str
    ) -> None:
        tenant = vm_fleet.build_tenant("acme", KEY, OTHER_KEY)
        with pytest.raises(errors.PlatformFormatError, match=named) as caught:
            configuration.decode_configuration(
                build_accounts(tenant | {field: value})
            )
        self.check_text(str(caught.value))

    def check_text(self, text: str) -> None:
        """Checks that an error message is short and holds no key."""
        assert len(text) < test_store_keys.MAX_PROBLEM_CHARS
        assert KEY not in text
        assert OTHER_KEY not in text

    # Guards against requests that belong to an account by chance.
    @pytest.mark.parametrize(
        ("first", "second", "named"),
        [
            (("acme", KEY), ("globex", OTHER_KEY, KEY), "ApiKeys of 'globex'"),
            (("acme", KEY), ("acme", OTHER_KEY), "Name: 'acme'"),
            (("acme",), ("acme",), "Name: 'acme'"),
        ],
    )
    def test_name_or_key_of_two_accounts_is_an_error(
        self, first: tuple[str, ...], second: tuple[str, ...], named: str
    ) -> None:
        tenants = [vm_fleet.build_tenant(*words) for words in (first, second)]
        with pytest.raises(errors.PlatformFormatError, match=named) as caught:
            configuration.decode_configuration(build_accounts(*tenants))
        self.check_text(str(caught.value))

    def test_key_may_be_listed_twice_in_one_account(self) -> None:
        tenant = vm_fleet.build_tenant("acme", KEY, KEY)
        decoded = configuration.decode_configuration(build_accounts(tenant))
        account = decoded.find_account(KEY.encode())
        assert account is decoded.accounts["acme"]
        assert len(decoded.account_keys) == 1

    # Guards against keys in errors about a document that begins with them.
    @pytest.mark.parametrize(
        "value",
        [
            f'{{"Tenants":[{{"ApiKeys":["{KEY}"]',
            f'{{"Tenants":[{{"ApiKeys":["{KEY}"]}}]}}',
            f'{{"Tenants":[{{"ApiKeys":["{KEY}"]}}],"A":{"[" * 100}',
            f'"{KEY}"',
            f'["{KEY}"',
            f'{{"{KEY}":',
            f'{{"ConfigVersion":"{KEY}"}}',
        ],
    )
    def test_error_quotes_no_part_of_a_configuration(self, value: str) -> None:
        with pytest.raises(errors.PlatformFormatError) as caught:
            configuration.decode_configuration(value.encode())
        self.check_text(str(caught.value))

    def test_values_at_the_limits_are_accepted(self) -> None:
        for field, value in (
            ("Name", "n" * 200),
            ("Name", "!~"),
            ("ApiKeys", []),
            ("ApiKeys", ["k"]),
            ("ApiKeys", ["k" * 1024]),
            ("ApiKeys", ['!"~']),
            ("Priority", 0),
            ("Priority", None),
            ("Priority", configuration.MAX_PRIORITY),
            ("RatePerS", 0),
            ("RatePerS", 0.001),
            ("RatePerS", configuration.MAX_RATE),
            ("Burst", 0),
            ("AllowedRegions", []),
            ("AllowedRegions", ["north", "south", "north"]),
        ):
            tenant = vm_fleet.build_tenant("acme", KEY) | {field: value}
            decoded = configuration.decode_configuration(build_accounts(tenant))
            assert len(decoded.accounts) == 1

    def test_fields_have_their_values(self) -> None:
        decoded = configuration.decode_configuration(
            build_account(
                Priority=0,
                RatePerS=12.5,
                Burst=30,
                AllowedRegions=["north", "south"],
            )
        )
        account = decoded.accounts["acme"]
        assert account.priority == 0
        assert (account.rate, account.burst) == (12.5, 30.0)
        assert account.regions == {"north", "south"}
        for key in (KEY, OTHER_KEY):
            assert decoded.find_account(key.encode()) is account
        assert decoded.find_account(b"key-acme") is None
        plain = configuration.decode_configuration(build_account())
        account = plain.accounts["acme"]
        assert account.priority is None
        assert (account.rate, account.burst) == (0.0, 0.0)
        assert account.regions == frozenset()

    # Guards against accounts where none are configured.
    def test_configuration_without_accounts_has_none(self) -> None:
        for value in (build("", None), build_accounts()):
            decoded = configuration.decode_configuration(value)
            assert decoded.accounts == {}
            assert decoded.find_account(KEY.encode()) is None


class TestRegionsAndColdTargets:
    @pytest.mark.parametrize("names", ["north", [""], [5], ["n" * 201], None])
    def test_odd_regions_of_a_rule_are_an_error(self, names: Any) -> None:
        with pytest.raises(errors.PlatformFormatError, match="AllowedRegions"):
            configuration.decode_configuration(
                build_accounts(AllowedRegions=names)
            )

    def test_rule_has_its_regions(self) -> None:
        decoded = configuration.decode_configuration(
            build_accounts(AllowedRegions=["north"])
        )
        rule = decoded.find_rule(vm_fleet.HOST, "/read/1")
        assert rule is not None
        assert rule.regions == {"north"}
        assert not rule.public

    def build_rule_field(self, field: str, value: Any) -> bytes:
        """Returns a configuration whose rule has a further field."""
        rule = vm_fleet.build_rule("read", "/read/", "safe", Service="reads")
        rule[field] = value
        document = vm_fleet.build_configuration(3, [rule])
        return json.dumps(document).encode()

    @pytest.mark.parametrize("value", ["maybe", 5, None, [], 0.5])
    def test_odd_public_rule_is_an_error(self, value: Any) -> None:
        # Guards against a rule that is public by mistake.
        with pytest.raises(errors.PlatformFormatError, match="Public"):
            configuration.decode_configuration(
                self.build_rule_field("Public", value)
            )

    @pytest.mark.parametrize("public", [True, False])
    def test_rule_is_public_if_it_says_so(self, public: bool) -> None:
        decoded = configuration.decode_configuration(
            self.build_rule_field("Public", public)
        )
        rule = decoded.find_rule(vm_fleet.HOST, "/read/1")
        assert rule is not None
        assert rule.public is public

    def build_service(self, **fields: Any) -> bytes:
        """Returns a configuration whose first service has more fields."""
        rule = vm_fleet.build_rule("read", "/read/", "safe", Service="reads")
        document = vm_fleet.build_configuration(3, [rule])
        document["Upstreams"][0].update(fields)
        return json.dumps(document).encode()

    @pytest.mark.parametrize(
        ("field", "value"),
        [
            ("Cold", LONG),
            ("Cold", "-1s"),
            ("Cold", "nan"),
            ("Cold", "100000000s"),
            ("Cold", "5"),
            ("ColdPerS", -1),
            ("ColdPerS", "nan"),
            ("ColdPerS", 1e300),
            ("ColdPerS", []),
        ],
    )
    def test_odd_limit_of_cold_targets_is_an_error(
        self, field: str, value: Any
    ) -> None:
        with pytest.raises(errors.PlatformFormatError, match=field):
            configuration.decode_configuration(
                self.build_service(**{field: value})
            )

    def test_service_has_its_limit_of_cold_targets(self) -> None:
        decoded = configuration.decode_configuration(
            self.build_service(Cold="1500ms", ColdPerS=2.5)
        )
        service = decoded.services["other"]
        assert (service.cold_seconds, service.cold_rate) == (1.5, 2.5)
        plain = decoded.services["reads"]
        assert (plain.cold_seconds, plain.cold_rate) == (0.0, 0.0)


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
