"""Which client account a request belongs to, without a network."""

import dataclasses

import hypothesis
from hypothesis import strategies
from multidict import CIMultiDict
from multidict import CIMultiDictProxy
import pytest

from wigeonspool.core import client_accounts
from wigeonspool.model import credentials
from wigeonspool.model import fleet
from wigeonspool.model import outcomes
from wigeonspool.platform import http_protocol

FUZZ = hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
KEYS = {"key-1": "acme", "key-2": "acme", "KEY-3": "globex", "!~": "globex"}
RULE = fleet.Rule(
    name="read",
    prefix="/read/",
    weighted_services=(),
    idempotent=True,
    large_responses=False,
    objective_seconds=0.4,
    limit_seconds=1.5,
    max_targets=2,
    priority=1,
)
PUBLIC = dataclasses.replace(RULE, public=True)


def build_configuration(keys: dict[str, str]) -> fleet.Configuration:
    """Returns a configuration with the accounts of some keys."""
    accounts = {name: fleet.ClientAccount(name) for name in keys.values()}
    return fleet.Configuration(
        version=1,
        hosts={},
        services={},
        limits=fleet.CallerLimits(),
        accounts=accounts,
        account_keys={
            credentials.digest_key(key.encode()): accounts[name]
            for key, name in keys.items()
        },
    )


CONFIGURATION = build_configuration(KEYS)


def read(*values: str) -> tuple[bytes | None, ...]:
    """Returns the credentials of a request with some fields."""
    fields = CIMultiDict([("Authorization", value) for value in values])
    return http_protocol.read_credentials(CIMultiDictProxy(fields))


def identify(
    *values: str, rule: fleet.Rule = RULE
) -> fleet.ClientAccount | outcomes.Reason | None:
    return client_accounts.identify_account(CONFIGURATION, rule, read(*values))


class TestKnownKeys:
    # Guards against a valid key that gets 401.
    @pytest.mark.parametrize("scheme", ["Bearer", "bearer", "BEARER", "bEaReR"])
    @pytest.mark.parametrize(("key", "name"), KEYS.items())
    def test_key_belongs_to_its_account(
        self, scheme: str, key: str, name: str
    ) -> None:
        for rule in (RULE, PUBLIC):
            account = identify(f"{scheme} {key}", rule=rule)
            assert account is CONFIGURATION.accounts[name]

    # Guards against an account that is found by a part or another spelling of
    # its key.
    @pytest.mark.parametrize(
        "key", ["key-", "key-11", "KEY-1", "key-3", "Bearer key-1", "key-1,"]
    )
    def test_similar_key_is_unknown(self, key: str) -> None:
        assert isinstance(identify(f"Bearer {key}"), outcomes.Reason)

    # Guards against a scan over all keys, and comparisons of keys themselves.
    def test_configuration_holds_digests_only(self) -> None:
        for key in KEYS:
            assert key not in repr(CONFIGURATION)
            assert key.encode() not in CONFIGURATION.account_keys


class TestRejections:
    @pytest.mark.parametrize(
        ("values", "reason"),
        [
            ((), outcomes.Reason.CREDENTIALS_MISSING),
            (("",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Bearer",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Bearer ",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("key-1",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Bearerkey-1",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Bearer\tkey-1",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Basic key-1",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Bearer key-1 x",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Bearer key-1\x00",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Bearer key-\xe9",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Bearer key-\udce9",), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Bearer " + "k" * 1025,), outcomes.Reason.CREDENTIALS_MALFORMED),
            (("Bearer " + "k" * 1024,), outcomes.Reason.CREDENTIALS_UNKNOWN),
            (("Bearer key-1",) * 2, outcomes.Reason.CREDENTIALS_MALFORMED),
            (
                ("Bearer key-1", "Basic eA=="),
                outcomes.Reason.CREDENTIALS_MALFORMED,
            ),
            (("Bearer nobody",), outcomes.Reason.CREDENTIALS_UNKNOWN),
        ],
    )
    def test_credentials_without_one_known_key_are_rejected(
        self, values: tuple[str, ...], reason: outcomes.Reason
    ) -> None:
        assert identify(*values) is reason
        # A public rule serves the same request without an account.
        assert identify(*values, rule=PUBLIC) is None


class TestWithoutAccounts:
    # Guards against refusals in a deployment without accounts.
    def test_any_request_is_served_without_an_account(self) -> None:
        configuration = build_configuration({})
        for values in ((), ("Bearer key-1",), ("Basic x", "")):
            account = client_accounts.identify_account(
                configuration, RULE, read(*values)
            )
            assert account is None


class TestCounter:
    # Guards against a metric that grows with each new name of an account.
    def test_names_are_bounded(self) -> None:
        counter = client_accounts.AccountCounter()
        limit = client_accounts.MAX_COUNTED_ACCOUNTS
        for _ in range(2):
            for number in range(limit + 5):
                account = fleet.ClientAccount(f"account-{number}")
                counter.count(account, outcomes.Outcome.ANSWERED)
        names = {name for name, _ in counter.counts}
        assert len(names) == limit + 1
        other = (client_accounts.OTHER_ACCOUNTS, outcomes.Outcome.ANSWERED)
        assert counter.counts[other] == 10
        assert counter.counts["account-0", outcomes.Outcome.ANSWERED] == 2

    def test_request_without_an_account_is_not_counted(self) -> None:
        counter = client_accounts.AccountCounter()
        counter.count(None, outcomes.Outcome.ANSWERED)
        assert counter.counts == {}


class TestAnyFields:
    """Whatever the fields hold, an account needs exactly one of its keys."""

    @FUZZ
    @hypothesis.given(
        strategies.lists(
            strategies.one_of(
                strategies.text(max_size=20),
                strategies.builds(
                    "{}{}{}".format,
                    strategies.sampled_from(["Bearer", "bearer", "Basic", ""]),
                    strategies.sampled_from([" ", "  ", "\t", "", ","]),
                    strategies.sampled_from([*KEYS, "nobody", ""]),
                ),
            ),
            max_size=3,
        ),
        strategies.booleans(),
    )
    def test_account_is_that_of_the_only_key(
        self, values: list[str], public: bool
    ) -> None:
        expected = None
        if len(values) == 1:
            scheme, _, rest = values[0].partition(" ")
            if scheme.lower() == "bearer":
                expected = KEYS.get(rest.lstrip(" "))
        result = identify(*values, rule=PUBLIC if public else RULE)
        if expected is not None:
            assert result is CONFIGURATION.accounts[expected]
        elif public:
            assert result is None
        else:
            assert isinstance(result, outcomes.Reason)

    @FUZZ
    @hypothesis.given(strategies.text(alphabet="Bearer \t\x00\x7f~!é"))
    def test_valid_keys_of_requests_and_configurations_are_equal(
        self, text: str
    ) -> None:
        # Guards against a key that a configuration accepts and no request can
        # state.
        if credentials.encode_key(text) is not None:
            assert read(f"Bearer {text}") == (text.encode(),)
