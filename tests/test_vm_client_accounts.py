"""Requests of client accounts at an entry VM."""

from collections.abc import AsyncIterator
import contextlib
import types
from typing import Any

import loguru
import pytest
import pytest_asyncio

from tests import fleet
from tests import vm_fleet
from tests.test_vm_lost_requests import RawCaller
from tests.test_vm_lost_requests import build_head
from wigeonspool.model import fleet as model_fleet
from wigeonspool.model import outcomes
from wigeonspool.platform.standin import target as targets
from wigeonspool.vm import attempts
from wigeonspool.vm import request_context
from wigeonspool.vm import service
from wigeonspool.vm import structured_log

KEY = "key-acme-4711"
OTHER_KEY = "key-globex-0815"
ACME = vm_fleet.build_tenant("acme", KEY)
GLOBEX = vm_fleet.build_tenant("globex", OTHER_KEY)


def build_rules() -> list[Any]:
    """Returns a rule for each kind of request, one of them public."""
    public = vm_fleet.build_rule("open", "/open/", "safe", Service="reads")
    return [
        vm_fleet.build_rule("read", "/read/", "safe", Service="reads"),
        vm_fleet.build_rule("write", "/write/", "unsafe", Service="writes"),
        public | {"Public": True},
    ]


@pytest_asyncio.fixture(name="vms")
async def start_vms() -> AsyncIterator[vm_fleet.VmFleet]:
    started = vm_fleet.VmFleet()
    await started.start()
    await started.configure(build_rules(), tenants=[ACME, GLOBEX])
    await started.start_vm("vm-1")
    yield started
    await started.stop()


async def configure(
    vms: vm_fleet.VmFleet, tenants: list[Any] | None, **options: Any
) -> None:
    """Writes the accounts of a new configuration and waits for the VM."""
    await vms.configure(build_rules(), tenants=tenants, **options)
    await vms.wait_ready("vm-1")


async def connect(vms: vm_fleet.VmFleet) -> RawCaller:
    caller = RawCaller(vms)
    await caller.open()
    return caller


def find_run(vms: vm_fleet.VmFleet, attempt: str) -> targets.Run:
    """Returns a run of an attempt, after checking that all are alike.

    A read may run twice, since a hedged request is sent if it takes long.
    """
    runs = [
        run
        for target in vms.targets.values()
        for run in target.runs
        if run.attempt == attempt
    ]
    assert runs
    for run in runs:
        assert run.accounts == runs[0].accounts
        assert run.has_credentials == runs[0].has_credentials
    return runs[0]


def build_read(
    attempt: str, key: str = "", more: str = "", path: str = "/read/1"
) -> bytes:
    """Returns a request without a body, with a key if it is not empty."""
    if key:
        more = f"Authorization: Bearer {key}\r\n{more}"
    return build_head("GET", path, attempt, more=more)


class TestKnownKeys:
    # Guards against targets that do not know the account, or see its key.
    async def test_target_gets_the_account_and_not_the_key(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        for key, name in ((KEY, "acme"), (OTHER_KEY, "globex")):
            for method, path in (("GET", "/read/1"), ("POST", "/write/1")):
                attempt = f"{name}-{method}"
                status, _, _ = await vms.send(
                    "vm-1", path, method, attempt=attempt, key=key
                )
                assert status == 200
                run = find_run(vms, attempt)
                assert run.accounts == (name,)
                assert not run.has_credentials

    # Guards against a retry that has the key or lacks the account.
    async def test_retry_has_the_account_too(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vms.set_faults(lost=True)
        attempt = "lost"
        await vms.send("vm-1", "/read/1", attempt=attempt, key=KEY)
        ran = vms.find_targets_that_ran(attempt)
        assert len(ran) == 2
        for identity in ran:
            for run in vms.targets[identity].runs:
                assert run.accounts == ("acme",)
                assert not run.has_credentials

    # Guards against a body that is lost by the check in front of it.
    async def test_body_of_an_account_arrives(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        status, _, _ = await vms.send(
            "vm-1", "/write/1", "POST", attempt="one", key=KEY, data=b"body"
        )
        assert status == 200
        assert find_run(vms, "one").body == b"body"


class TestAccountsOfALaterVersion:
    # Guards against a key that is forwarded by a request that was waiting.
    async def test_waiting_request_learns_that_accounts_are_configured(
        self,
    ) -> None:
        request: Any = types.SimpleNamespace(
            headers={"Host": "h"}, raw_path="/read/1"
        )
        rule: Any = types.SimpleNamespace(regions=frozenset())
        context = request_context.RequestContext(
            request, "one", rule, "reads", b"", True, 0, 0.0, 0.0, 9.0
        )
        account = model_fleet.ClientAccount("acme")
        limits: Any = None
        for version, accounts, expected in (
            (1, {}, False),
            (2, {"acme": account}, True),
            # A key that was secret once stays so for this request.
            (3, {}, True),
        ):
            context.update_regions(
                model_fleet.Configuration(version, {}, {}, limits, accounts)
            )
            assert context.has_accounts is expected

    # Guards against headers that are built before a new connection is opened.
    async def test_key_is_not_forwarded_over_a_new_connection(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        await configure(vms, None)
        find_channel = attempts._find_channel

        async def find_channel_late(context: Any, candidate: Any) -> Any:
            assert not context.has_accounts
            await configure(vms, [ACME, GLOBEX])
            return await find_channel(context, candidate)

        monkeypatch.setattr(attempts, "_find_channel", find_channel_late)
        status, _, _ = await vms.send(
            "vm-1", "/write/1", "POST", attempt="one", key=KEY
        )
        assert status == 200
        assert not find_run(vms, "one").has_credentials


class TestBadCredentials:
    """A request without one known key gets 401 and does not run."""

    @pytest.mark.parametrize(
        ("fields", "reason"),
        [
            ("", "credentials-missing"),
            ("Authorization:\r\n", "credentials-malformed"),
            ("Authorization: Bearer\r\n", "credentials-malformed"),
            ("Authorization: Bearer \r\n", "credentials-malformed"),
            (f"Authorization: {KEY}\r\n", "credentials-malformed"),
            (f"Authorization: Basic {KEY}\r\n", "credentials-malformed"),
            (f"Authorization: Bearer {KEY} x\r\n", "credentials-malformed"),
            (f"Authorization: Bearer {KEY}é\r\n", "credentials-malformed"),
            (f"Authorization: Bearer {KEY}\r\n" * 2, "credentials-malformed"),
            (
                f"Authorization: Bearer {KEY}\r\nauthorization: x\r\n",
                "credentials-malformed",
            ),
            (
                f"Authorization: Bearer {'k' * 5000}\r\n",
                "credentials-malformed",
            ),
            (f"Authorization: Bearer {KEY}x\r\n", "credentials-unknown"),
            (f"Authorization: Bearer {KEY[:-1]}\r\n", "credentials-unknown"),
            (f"Authorization: Bearer {KEY.upper()}\r\n", "credentials-unknown"),
            (f"X-Api-Key: {KEY}\r\nX-Tenant: acme\r\n", "credentials-missing"),
        ],
    )
    @pytest.mark.parametrize("path", ["/read/1", "/write/1"])
    async def test_request_is_refused_and_the_connection_stays_open(
        self, vms: vm_fleet.VmFleet, fields: str, reason: str, path: str
    ) -> None:
        caller = await connect(vms)
        caller.writer.write(build_read("bad", more=fields, path=path))
        status, body = await caller.read_response()
        assert (status, body.decode()) == (401, reason)
        caller.writer.write(build_read("good", KEY, path=path))
        assert (await caller.read_response())[0] == 200
        assert not vms.find_targets_that_ran("bad")
        counts = vms.vms["vm-1"]._caller_service.counts
        assert counts[outcomes.Outcome.NOT_RUN, reason] == 1

    # Guards against a folded field that is read as a valid key, or that hides
    # one. The parser refuses it as malformed.
    @pytest.mark.parametrize(
        "fields",
        [
            f"Authorization: Bearer\r\n {KEY}x\r\n",
            f"Authorization: Bearer {KEY}\r\n x\r\n",
            f"X-More: a\r\n Authorization: Bearer {KEY}\r\n",
        ],
    )
    async def test_folded_credentials_are_refused(
        self, vms: vm_fleet.VmFleet, fields: str
    ) -> None:
        caller = await connect(vms)
        caller.writer.write(build_read("bad", more=fields))
        assert (await caller.read_response())[0] == 400
        assert not vms.find_targets_that_ran("bad")

    # Guards against an exception, whose text has the whole field.
    async def test_credentials_that_are_not_text_are_refused(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        caller = await connect(vms)
        data = build_read("bad", KEY)
        caller.writer.write(data.replace(KEY.encode(), KEY.encode() + b"\xff"))
        assert await caller.read_response() == (401, b"credentials-malformed")
        caller.writer.write(build_read("good", KEY))
        assert (await caller.read_response())[0] == 200

    # Guards against a response that does not tell callers what is missing.
    async def test_response_names_the_scheme_and_not_the_key(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        status, body, fields = await vms.send("vm-1", "/read/1", key=KEY + "x")
        assert status == 401
        assert fields["WWW-Authenticate"] == "Bearer"
        assert "Retry-After" not in fields
        assert KEY not in str(fields) + body.decode()


class TestOrderOfChecks:
    # Guards against 401 of a VM that knows no account, also while it starts.
    async def test_vm_without_a_configuration_refuses_with_503(self) -> None:
        vms = vm_fleet.VmFleet()
        await vms.start()
        await vms.store.put("op/config", b"{")
        try:
            vm = await vms.start_vm("vm-1", wait=False)
            for key in ("", KEY):
                status, _, _ = await vms.send("vm-1", "/read/1", key=key)
                assert status == 503
            assert vm._cluster.configuration is None
        finally:
            await vms.stop()

    # Guards against callers without a key that cannot tell why.
    async def test_malformed_and_unmatched_requests_are_refused_first(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        caller = await connect(vms)
        for path, attempt, status in (
            ("/a/%2e%2e/read/1", "one", 400),
            ("/none/1", "two", 404),
            ("/read/1", "", 400),
            ("/read/1", "four", 401),
        ):
            caller.writer.write(build_read(attempt, path=path))
            assert (await caller.read_response())[0] == status

    # Guards against a caller without a key that makes a VM read its body.
    async def test_credentials_are_checked_before_the_body(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        caller = await connect(vms)
        head = build_head("POST", "/write/1", "one", 100)
        caller.writer.write(head)
        assert (await caller.read_response())[0] == 401
        caller = await connect(vms)
        head = build_head("POST", "/write/1", "two", 2_000_000_000)
        caller.writer.write(head)
        assert (await caller.read_response())[0] == 401


class TestConnections:
    """The connection after a 401."""

    # Guards against callers that need a new connection for each mistake.
    @pytest.mark.parametrize("length", [0, 1, 1000, 900_000])
    async def test_request_behind_a_refused_body_is_served(
        self, vms: vm_fleet.VmFleet, length: int
    ) -> None:
        caller = await connect(vms)
        head = build_head("POST", "/write/1", "bad", length)
        caller.writer.write(head + b"x" * length)
        assert (await caller.read_response())[0] == 401
        caller.writer.write(build_read("good", KEY))
        assert (await caller.read_response())[0] == 200
        assert not vms.find_targets_that_ran("bad")

    # Guards against a body that is taken for the next request.
    async def test_refused_body_is_not_a_request(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        hidden = build_read("hidden", KEY)
        for length in (None, len(hidden)):
            caller = await connect(vms)
            more, body = "", hidden
            if length is None:
                more = "Transfer-Encoding: chunked\r\n"
                body = b"%x\r\n%s\r\n0\r\n\r\n" % (len(hidden), hidden)
            head = build_head("POST", "/write/1", "bad", length, more)
            caller.writer.write(head + body + build_read(f"ok-{length}", KEY))
            assert (await caller.read_response())[0] == 401
            assert (await caller.read_response())[0] == 200
            assert find_run(vms, f"ok-{length}").accounts == ("acme",)
        assert not vms.find_targets_that_ran("hidden")


class TestChanges:
    """A kept connection uses the configuration that is active."""

    # Guards against a revoked key that works as long as its connection.
    async def test_revoked_key_is_refused_on_a_kept_connection(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        caller = await connect(vms)
        caller.writer.write(build_read("before", KEY))
        assert (await caller.read_response())[0] == 200
        await configure(vms, [vm_fleet.build_tenant("acme", "new"), GLOBEX])
        caller.writer.write(build_read("after", KEY))
        assert (await caller.read_response())[0] == 401
        caller.writer.write(build_read("new", "new"))
        assert (await caller.read_response())[0] == 200
        assert find_run(vms, "new").accounts == ("acme",)

    # Guards against requests of the former account of a key.
    async def test_moved_key_belongs_to_its_new_account(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        caller = await connect(vms)
        for attempt, tenants, name in (
            ("one", [ACME, GLOBEX], "acme"),
            (
                "two",
                [
                    vm_fleet.build_tenant("acme"),
                    vm_fleet.build_tenant("globex", OTHER_KEY, KEY),
                ],
                "globex",
            ),
        ):
            await configure(vms, tenants)
            caller.writer.write(build_read(attempt, KEY))
            assert (await caller.read_response())[0] == 200
            assert find_run(vms, attempt).accounts == (name,)

    # Guards against a check that begins or ends only with a new connection.
    async def test_accounts_are_added_and_removed(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        caller = await connect(vms)
        for attempt, tenants, status in (
            ("one", None, 200),
            ("two", [ACME], 401),
            ("three", [], 200),
        ):
            await configure(vms, tenants)
            caller.writer.write(build_read(attempt))
            assert (await caller.read_response())[0] == status

    # Guards against a configuration that is lost or half applied because of an
    # account in it.
    async def test_invalid_accounts_leave_the_active_ones(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        vm = vms.vms["vm-1"]
        active = vm._cluster.configuration
        unreadable_items = vm._replica.unreadable_items
        twice = vm_fleet.build_tenant("globex", KEY)
        await vms.configure(build_rules(), tenants=[ACME, twice])
        await fleet.wait_for(
            lambda: vm._replica.unreadable_items > unreadable_items
        )
        assert vm._cluster.configuration is active
        status, _, _ = await vms.send("vm-1", "/read/1", key=OTHER_KEY)
        assert status == 200


class TestPipelines:
    """Each pipelined request is checked on its own."""

    # Guards against requests that get the account of the one in front.
    async def test_requests_have_the_accounts_of_their_keys(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        caller = await connect(vms)
        for target in vms.targets.values():
            target.service_ms = 100.0
        keys = [KEY, OTHER_KEY, "", KEY, "unknown", OTHER_KEY]
        caller.writer.write(
            b"".join(build_read(f"a-{i}", key) for i, key in enumerate(keys))
        )
        for index, key in enumerate(keys):
            name = {KEY: "acme", OTHER_KEY: "globex"}.get(key)
            status, _ = await caller.read_response()
            assert status == (401 if name is None else 200)
            if name is None:
                assert not vms.find_targets_that_ran(f"a-{index}")
            else:
                assert find_run(vms, f"a-{index}").accounts == (name,)
        use = vms.vms["vm-1"]._caller_server.pipeline_use
        assert use.started_ahead > 0
        assert (use.ahead, use.held_bytes) == (0, 0)

    # Guards against a key that stays valid for what waits in a pipeline.
    async def test_request_in_turn_uses_the_configuration_of_its_turn(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        caller = await connect(vms)
        vms.targets["t-3"].service_ms = vms.targets["t-4"].service_ms = 1000.0
        caller.writer.write(
            build_read("front", KEY, path="/write/1")
            + build_read("behind", KEY, path="/write/1")
        )
        await fleet.wait_for(lambda: vms.find_targets_that_ran("front"))
        await configure(vms, [GLOBEX])
        assert (await caller.read_response())[0] == 200
        assert (await caller.read_response())[0] == 401
        assert not vms.find_targets_that_ran("behind")


class TestForgedAccounts:
    """What callers state as their account does not reach a target."""

    SPELLINGS = (
        "X-Tenant",
        "x-tenant",
        "X-TENANT",
        "x-TeNaNt",
        "X_Tenant",
        "x_tenant",
        "X.Tenant",
        "X~Tenant",
    )

    @pytest.mark.parametrize("value", ["globex", "", "acme, globex"])
    async def test_all_spellings_are_replaced_by_the_account(
        self, vms: vm_fleet.VmFleet, value: str
    ) -> None:
        more = "".join(f"{name}: {value}\r\n" for name in self.SPELLINGS * 2)
        caller = await connect(vms)
        for attempt, key, path, accounts in (
            ("account", KEY, "/read/1", ("acme",)),
            ("open", KEY, "/open/1", ("acme",)),
            ("anonymous", "", "/open/1", ()),
        ):
            caller.writer.write(build_read(attempt, key, more, path))
            assert (await caller.read_response())[0] == 200
            assert find_run(vms, attempt).accounts == accounts

    # Guards against an account field that is dropped as one of the connection.
    @pytest.mark.parametrize(
        "names", ["X-Tenant", "close, x-tenant", "x_tenant"]
    )
    async def test_connection_field_does_not_remove_the_account(
        self, vms: vm_fleet.VmFleet, names: str
    ) -> None:
        caller = await connect(vms)
        more = f"Connection: {names}\r\nX-Tenant: globex\r\n"
        caller.writer.write(build_read("one", KEY, more))
        assert (await caller.read_response())[0] == 200
        assert find_run(vms, "one").accounts == ("acme",)

    # Guards against a field that hides in a folded one or in a trailer.
    @pytest.mark.parametrize(
        "more",
        [
            "X-More: a\r\n X-Tenant: globex\r\n",
            "X-More: a\r\n\tX-Tenant: globex\r\n",
            "X-Tenant:\r\n globex\r\n",
            "X-Tenant : globex\r\n",
            "X-More: a\nX-Tenant: globex\r\n",
            "X-More: a\rX-Tenant: globex\r\n",
        ],
    )
    async def test_odd_lines_state_no_account(
        self, vms: vm_fleet.VmFleet, more: str
    ) -> None:
        caller = await connect(vms)
        caller.writer.write(build_read("one", KEY, more))
        # The parser refuses them as malformed.
        assert (await caller.read_response())[0] == 400
        assert not vms.find_targets_that_ran("one")

    async def test_trailer_states_no_account(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        caller = await connect(vms)
        more = (
            f"Authorization: Bearer {KEY}\r\nTransfer-Encoding: chunked\r\n"
            "Trailer: X-Tenant\r\n"
        )
        head = build_head("POST", "/write/1", "one", None, more)
        body = b"1\r\nx\r\n0\r\nX-Tenant: globex\r\n\r\n"
        caller.writer.write(head + body)
        assert (await caller.read_response())[0] == 200
        assert find_run(vms, "one").accounts == ("acme",)


class TestPublicRules:
    # Guards against refusals where no key is needed.
    @pytest.mark.parametrize(
        "fields",
        [
            "",
            "Authorization:\r\n",
            "Authorization: Basic x\r\n",
            "Authorization: Bearer unknown\r\n",
            f"Authorization: Bearer {KEY}\r\n" * 2,
        ],
    )
    async def test_request_without_a_known_key_has_no_account(
        self, vms: vm_fleet.VmFleet, fields: str
    ) -> None:
        caller = await connect(vms)
        caller.writer.write(build_read("one", more=fields, path="/open/1"))
        assert (await caller.read_response())[0] == 200
        run = find_run(vms, "one")
        assert run.accounts == ()
        assert not run.has_credentials

    async def test_known_key_gives_its_account(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.send("vm-1", "/open/1", attempt="one", key=KEY)
        run = find_run(vms, "one")
        assert run.accounts == ("acme",)
        assert not run.has_credentials


class TestWithoutAccounts:
    # Guards against changes to the requests of deployments without accounts.
    @pytest.mark.parametrize("tenants", [None, []])
    async def test_fields_are_forwarded_letter_for_letter(
        self, vms: vm_fleet.VmFleet, tenants: list[Any] | None
    ) -> None:
        await configure(vms, tenants)
        caller = await connect(vms)
        more = (
            f"Authorization: Bearer {KEY}\r\nX-TENANT: one\r\n"
            "x_tenant: two\r\nauthorization: Basic x\r\nX-Tenant: three\r\n"
        )
        caller.writer.write(build_read("one", more=more))
        assert (await caller.read_response())[0] == 200
        run = find_run(vms, "one")
        assert run.accounts == ("one", "two", "three")
        assert run.has_credentials
        forwarded = [
            name
            for name in run.field_names
            if name.lower() in ("authorization", "x-tenant", "x_tenant")
        ]
        # The HTTP library reads names that it knows in their usual case.
        assert forwarded == [
            "Authorization",
            "X-TENANT",
            "x_tenant",
            "Authorization",
            "X-Tenant",
        ]


class TestPriority:
    # Guards against an account whose priority does not replace that of a rule.
    async def test_account_replaces_the_priority_of_the_rule(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        urgent = vm_fleet.build_tenant("acme", KEY, Priority=0)
        plain = vm_fleet.build_tenant("globex", OTHER_KEY)
        await configure(vms, [urgent, plain])
        runner = vms.vms["vm-1"]._request_runner
        run = runner.run
        seen = []

        async def record(context: Any) -> Any:
            seen.append((context.account_name, context.priority))
            return await run(context)

        monkeypatch.setattr(runner, "run", record)
        for key, path in ((KEY, "/read/1"), (OTHER_KEY, "/read/1")):
            assert (await vms.send("vm-1", path, key=key))[0] == 200
        assert (await vms.send("vm-1", "/open/1"))[0] == 200
        assert seen == [("acme", 0), ("globex", 1), ("", 1)]


class TestFingerprints:
    # Guards against one account that has the requests of another one refused
    # by a request that crashes targets.
    async def test_accounts_have_fingerprints_of_their_own(
        self, vms: vm_fleet.VmFleet, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        runner = vms.vms["vm-1"]._request_runner
        run = runner.run
        seen = []

        async def record(context: Any) -> Any:
            seen.append(context.fingerprint)
            return await run(context)

        monkeypatch.setattr(runner, "run", record)
        for key, body in (
            (KEY, b"body"),
            (KEY, b"body"),
            (OTHER_KEY, b"body"),
            ("", b"body"),
            ("", b"acme\nbody"),
            ("", b" acme\nbody"),
        ):
            status, _, _ = await vms.send(
                "vm-1", "/open/1", "POST", key=key, data=body
            )
            assert status == 200
        assert seen[0] == seen[1]
        assert len(set(seen)) == 5


class TestMetrics:
    # Guards against refusals and failures that no account is charged with.
    async def test_requests_are_counted_by_account_and_outcome(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        await vms.send("vm-1", "/read/1", key=KEY)
        await vms.send("vm-1", "/open/1", key=OTHER_KEY)
        await vms.send("vm-1", "/open/1")
        await vms.send("vm-1", "/read/1", key="unknown")
        vms.set_faults(lost=True)
        await vms.send("vm-1", "/write/1", "POST", key=KEY)
        vms.set_faults(lost=False, full=True)
        await vms.send("vm-1", "/write/1", "POST", key=OTHER_KEY)
        counter = vms.vms["vm-1"]._caller_service.account_counter
        assert counter.counts == {
            ("acme", "answered"): 1,
            ("globex", "answered"): 1,
            ("acme", "unknown"): 1,
            ("globex", "not_run"): 1,
        }
        url = f"http://{vms.settings['vm-1'].readiness}/metrics"
        async with vms.session.get(url) as response:
            page = await response.text()
        name = "wigeonspool_vm_account_requests_total"
        assert f'{name}{{account="globex",outcome="not_run"}} 1' in page


class Recorder:
    """Records all lines of the log, as an entry VM writes them."""

    def __init__(self) -> None:
        self.lines: list[str] = []

    def write(self, message: Any) -> None:
        line = structured_log.encode_record(message.record).decode()
        self.lines.append(line + str(message))


@contextlib.contextmanager
def record_log() -> Any:
    recorder = Recorder()
    handler = loguru.logger.add(
        recorder.write, level=0, format="{message} {extra}", diagnose=False
    )
    try:
        yield recorder
    finally:
        loguru.logger.remove(handler)


class TestSecrecy:
    """No key appears in a log line, a metric, or a response."""

    async def send_all(self, vms: vm_fleet.VmFleet) -> list[int]:
        """Sends requests that end in many ways; returns their statuses."""
        statuses = []
        for key, path, method in (
            (KEY, "/read/1", "GET"),
            (KEY, "/write/1", "POST"),
            (KEY + "-unknown", "/read/1", "GET"),
            (KEY, "/none/1", "GET"),
            (KEY, "/open/1", "GET"),
        ):
            status, body, fields = await vms.send("vm-1", path, method, key=key)
            assert KEY not in str(fields)
            assert KEY.encode() not in body
            statuses.append(status)
        return statuses

    async def test_key_is_in_no_line_and_no_metric(
        self, vms: vm_fleet.VmFleet, caplog: pytest.LogCaptureFixture
    ) -> None:
        with record_log() as recorder:
            await vms.kill_vm("vm-1")
            await vms.start_vm("vm-1")
            vm = vms.vms["vm-1"]
            assert await self.send_all(vms) == [200, 200, 401, 404, 200]
            vms.set_faults(lost=True)
            assert await self.send_all(vms) == [502, 502, 401, 404, 502]
            vms.set_faults(lost=False, failing=True)
            await self.send_all(vms)
            caller = await connect(vms)
            for more in (
                f"Authorization: Bearer {KEY}\r\n\x00: x\r\n",
                f"Authorization: Bearer {KEY}\x01\r\n",
                f"Authorization: Bearer {KEY}\r\n{'x' * 20_000}: y\r\n",
                f"Authorization : Bearer {KEY}\r\n",
            ):
                caller.writer.write(build_read("odd", more=more))
                await caller.read_response()
                caller = await connect(vms)
            await self.fail_unexpectedly(vms, vm)
            await self.configure_oddly(vms, vm)
            metrics = await self.read_metrics(vms)
        lines = "\n".join(recorder.lines) + caplog.text
        assert '"event":"refused"' in lines
        assert '"event":"ended"' in lines
        assert '"event":"unreadable"' in lines
        assert "a request failed" in lines
        assert "credentials-unknown" in metrics
        for text in (lines, metrics):
            assert KEY not in text
            assert OTHER_KEY not in text

    async def fail_unexpectedly(
        self, vms: vm_fleet.VmFleet, vm: service.VmService
    ) -> None:
        """Sends a request that ends by an exception in the program."""
        runner = vm._request_runner
        run, runner.run = runner.run, None  # type: ignore[assignment, method-assign]
        status, _, _ = await vms.send("vm-1", "/read/1", key=KEY)
        assert status == 503
        runner.run = run  # type: ignore[method-assign]

    async def configure_oddly(
        self, vms: vm_fleet.VmFleet, vm: service.VmService
    ) -> None:
        """Writes configurations that cannot be read."""
        tenant = f'{{"Tenants":[{{"ApiKeys":["{KEY}"],"Name":'
        for value in (
            tenant,
            tenant + "5}]}",
            tenant + "[" * 100,
            tenant + '"a"}],"ConfigVersion":900,"Listeners":5}',
            f'"{KEY}"',
            f'{{"Tenants":[{{"Name":"a","ApiKeys":"{KEY}"}}]}}',
        ):
            count = vm._replica.unreadable_items
            await vms.store.put("op/config", value.encode())
            await fleet.wait_for(
                lambda count=count: vm._replica.unreadable_items > count
            )

    async def read_metrics(self, vms: vm_fleet.VmFleet) -> str:
        url = f"http://{vms.settings['vm-1'].readiness}/metrics"
        async with vms.session.get(url) as response:
            return await response.text()

    # Guards against a line that does not name whom it is about.
    async def test_lines_name_the_account_and_the_reason(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        with record_log() as recorder:
            await vms.send("vm-1", "/read/1", attempt="good", key=KEY)
            await vms.send("vm-1", "/read/1", attempt="bad", key="unknown")
        (ended,) = [x for x in recorder.lines if '"request":"good"' in x]
        (refused,) = [x for x in recorder.lines if '"request":"bad"' in x]
        assert '"account":"acme"' in ended
        assert '"account":""' in refused
        assert '"outcome":"credentials-unknown"' in refused
        assert f'"version":{vms.version}' in refused

    # Guards against a refusal after the check that hides whose request it was.
    async def test_later_refusal_names_the_account(
        self, vms: vm_fleet.VmFleet
    ) -> None:
        caller = await connect(vms)
        more = f"Authorization: Bearer {KEY}\r\n"
        with record_log() as recorder:
            caller.writer.write(
                build_head("POST", "/write/1", "large", 2_000_000, more)
            )
            assert (await caller.read_response())[0] == 413
        (refused,) = [x for x in recorder.lines if '"event":"refused"' in x]
        assert '"account":"acme"' in refused
