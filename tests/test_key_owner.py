import asyncio
from collections.abc import AsyncIterator
import json
import time
from typing import Any

import aiohttp
from aiohttp import web
import pytest
import pytest_asyncio

from tests import fleet as fleets
from wigeonspool import process
from wigeonspool.wire import tokens

CALLER = "clerk"


class ScriptedTarget:
    """A target that follows a script of steps, one per request.

    The steps are "shed" (refuses before it runs), "lose" (runs and resets the
    connection), "wait" (responds after `release`), "fail" (status 500),
    "chunked" (no declared length), "drip" (chunked, with a delay before the
    last quarter) and "answer".
    """

    def __init__(self) -> None:
        self.address = fleets.reserve_address()
        self.runs: list[str] = []
        self.script: list[str] = []
        self.body = b"{}"
        self.release = asyncio.Event()

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        step = self.script.pop(0) if self.script else "answer"
        if step == "shed":
            fields = {"Wigeonspool-Outcome": "not_run"}
            return web.Response(status=503, headers=fields)
        await request.read()
        self.runs.append(request.headers.get("Idempotency-Key", ""))
        if step == "lose":
            assert request.transport is not None
            request.transport.abort()
            raise asyncio.CancelledError
        if step == "wait":
            await self.release.wait()
        if step == "fail":
            return web.Response(status=500, body=b"broken")
        if step in ("chunked", "drip"):
            response = web.StreamResponse()
            response.enable_chunked_encoding()
            await response.prepare(request)
            middle = len(self.body) * 3 // 4
            await response.write(self.body[:middle])
            if step == "drip":
                await asyncio.sleep(0.5)
            await response.write(self.body[middle:])
            await response.write_eof()
            return response
        return web.Response(body=self.body)


class Harness:
    """A fleet with one scripted target, and a caller with an assignment."""

    def __init__(self, fleet: fleets.Fleet, target: ScriptedTarget) -> None:
        self.fleet = fleet
        self.target = target
        self.assignment: dict[str, Any] = {}

    async def request_assignment(self, caller: str = CALLER) -> dict[str, Any]:
        seed = next(iter(self.fleet.addresses.values()))
        async with self.fleet.session.get(
            f"http://{seed}/.wigeonspool/address?pool=queue&zone=zone-0",
            headers={"Wigeonspool-Caller": caller},
        ) as response:
            return dict(await response.json())["assignment"]

    @property
    def owner_vm(self) -> str:
        """Name of the VM whose gateway owns the keys."""
        address = self.assignment["home"]
        return next(
            vm for vm, a in self.fleet.addresses.items() if a == address
        )

    @property
    def other_address(self) -> str:
        """Address of the gateway that does not own the keys."""
        return next(
            a
            for a in self.fleet.addresses.values()
            if a != self.assignment["home"]
        )

    async def send(
        self,
        key_suffix: str = "1",
        address: str | None = None,
        method: str = "POST",
        path: str = "/queue/ban",
        body: bytes = b"ban",
        **fields: str,
    ) -> tuple[str, str, bytes]:
        """Sends a request; returns outcome, reason and body of the response."""
        sent_fields = {
            "Wigeonspool-Caller": CALLER,
            "Wigeonspool-Assignment": self.assignment["token"],
            "Idempotency-Key": f"{self.assignment['id']}.{key_suffix}",
        }
        sent_fields |= {
            name.replace("_", "-"): text for name, text in fields.items()
        }
        sent_fields = {name: text for name, text in sent_fields.items() if text}
        async with self.fleet.session.request(
            method,
            f"http://{address or self.assignment['home']}{path}",
            headers=sent_fields,
            data=body,
        ) as response:
            content = await response.read()
            return (
                response.headers.get("Wigeonspool-Outcome", ""),
                response.headers.get("Wigeonspool-Reason", ""),
                content,
            )


async def build_harness(fleet: fleets.Fleet) -> Harness:
    await fleet.start()
    target = ScriptedTarget()
    server = web.Server(target.serve)
    runner = await process.serve_http(target.address, server)
    fleet._stack.push_async_callback(runner.cleanup)
    await fleet.apply(build_document([target.address]))
    await fleets.wait_for(
        lambda: all(len(g._view.gateways) == 2 for g in fleet.gateways.values())
    )
    harness = Harness(fleet, target)
    harness.assignment = await harness.request_assignment()
    return harness


def build_document(
    addresses: list[str], prefix: str = "/queue"
) -> dict[str, Any]:
    targets = [{"address": a, "zone": "zone-0"} for a in addresses]
    return {
        "pools": [{"name": "queue", "slots": 4, "targets": targets}],
        "routes": [
            {
                "name": "write",
                "method": "*",
                "path_prefix": prefix,
                "pool": "queue",
                "idempotent": False,
            }
        ],
    }


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[Harness]:
    fleet = fleets.Fleet()
    started = await build_harness(fleet)
    yield started
    await fleet.stop()


@pytest_asyncio.fixture
async def small_harness() -> AsyncIterator[Harness]:
    """A harness whose gateways store 3 keys and 500 bytes of responses."""
    fleet = fleets.Fleet(once_capacity=3, once_answer_bytes=500)
    started = await build_harness(fleet)
    yield started
    await fleet.stop()


class TestAssignment:
    @pytest.mark.parametrize(
        ("fields", "expected"),
        [
            ({"Idempotency_Key": ""}, ("not_run", "key-missing")),
            ({"Idempotency_Key": "short.1"}, ("not_run", "key-malformed")),
            ({"Wigeonspool_Assignment": ""}, ("unknown", "token-missing")),
            ({"Wigeonspool_Assignment": "x.y"}, ("unknown", "token-invalid")),
            ({"Wigeonspool_Caller": "thief"}, ("unknown", "token-invalid")),
        ],
    )
    async def test_request_without_valid_assignment_does_not_run(
        self,
        harness: Harness,
        fields: dict[str, str],
        expected: tuple[str, str],
    ) -> None:
        assert (await harness.send(**fields))[:2] == expected
        assert harness.target.runs == []

    async def test_other_caller_does_not_get_the_response(
        self, harness: Harness
    ) -> None:
        harness.target.body = b"secret"
        await harness.send()
        outcome, _, content = await harness.send(Wigeonspool_Caller="thief")
        assert outcome == "unknown"
        assert b"secret" not in content

    async def test_key_under_another_assignment_does_not_run(
        self, harness: Harness
    ) -> None:
        await harness.send()
        assignment = await harness.request_assignment()
        result = await harness.send(Wigeonspool_Assignment=assignment["token"])
        assert result[:2] == ("unknown", "token-invalid")
        assert len(harness.target.runs) == 1

    async def test_old_signing_key_verifies_until_it_is_removed(self) -> None:
        assignment = tokens.Assignment("i", "c", "h", "n", "a:1", 1.0)
        token = tokens.TokenSigner(["old"]).sign(assignment)
        assert tokens.TokenSigner(["old", "new"]).verify(token) == assignment
        with pytest.raises(Exception, match="signature"):
            tokens.TokenSigner(["new"]).verify(token)


class TestResends:
    async def test_resend_through_any_gateway_gets_the_same_response(
        self, harness: Harness
    ) -> None:
        harness.target.body = b"first"
        first = await harness.send()
        harness.target.body = b"second"
        assert await harness.send(address=harness.other_address) == first
        assert await harness.send() == first
        assert len(harness.target.runs) == 1

    @pytest.mark.parametrize("method", ["POST", "DELETE", "PUT"])
    @pytest.mark.parametrize("body", [b"", b"ban"])
    async def test_request_whose_response_is_lost_runs_once(
        self, harness: Harness, method: str, body: bytes
    ) -> None:
        harness.target.script = ["lose"]
        for address in (None, harness.other_address, None):
            result = await harness.send(
                method=method, body=body, address=address
            )
            assert result[0] == "unknown"
        assert len(harness.target.runs) == 1

    async def test_resend_gets_the_same_response_without_length(
        self, harness: Harness
    ) -> None:
        harness.target.script = ["chunked"]
        harness.target.body = b"z" * 300_000
        first = await harness.send()
        assert first == ("answered", "", harness.target.body)
        assert await harness.send(address=harness.other_address) == first
        assert len(harness.target.runs) == 1

    @pytest.mark.parametrize("step", ["answer", "chunked"])
    @pytest.mark.parametrize("via_other", [False, True])
    async def test_long_response_reaches_only_its_first_request(
        self, harness: Harness, step: str, via_other: bool
    ) -> None:
        harness.target.script = [step]
        harness.target.body = b"z" * 20_000_000
        address = harness.other_address if via_other else None
        assert await harness.send(address=address) == (
            "answered",
            "",
            harness.target.body,
        )
        for resend_address in (None, harness.other_address):
            result = await harness.send(address=resend_address)
            assert result[:2] == ("unknown", "answer-not-kept")
        assert len(harness.target.runs) == 1

    async def test_resend_gets_the_same_error_response(
        self, harness: Harness
    ) -> None:
        harness.target.script = ["fail"]
        assert await harness.send() == ("answered", "", b"broken")
        assert await harness.send() == ("answered", "", b"broken")
        assert len(harness.target.runs) == 1

    async def test_refused_key_is_sent_to_another_target(
        self, harness: Harness
    ) -> None:
        harness.target.script = ["shed"]
        assert (await harness.send())[0] == "answered"
        assert len(harness.target.runs) == 1

    async def test_refused_key_runs_only_under_a_higher_attempt(
        self, harness: Harness
    ) -> None:
        harness.target.script = ["shed"] * 30
        refused = await harness.send(
            Wigeonspool_Attempt="1", Wigeonspool_Remaining_Ms="800"
        )
        assert refused[:2] == ("not_run", "deadline-passed")
        harness.target.script = []
        late = await harness.send(
            Wigeonspool_Attempt="0", address=harness.other_address
        )
        assert late[0] == "not_run"
        assert harness.target.runs == []
        again = await harness.send(
            Wigeonspool_Attempt="2", address=harness.other_address
        )
        assert again[0] == "answered"
        assert len(harness.target.runs) == 1

    async def test_resend_waits_for_the_running_request(
        self, harness: Harness
    ) -> None:
        harness.target.script = ["wait"]
        first = asyncio.create_task(harness.send())
        await fleets.wait_for(lambda: bool(harness.target.runs))
        second = asyncio.create_task(
            harness.send(address=harness.other_address)
        )
        early = await harness.send(Wigeonspool_Remaining_Ms="50")
        assert early[:2] == ("unknown", "in-progress")
        harness.target.release.set()
        assert await first == await second
        assert len(harness.target.runs) == 1

    async def test_resend_after_a_disconnect_gets_the_response(
        self, harness: Harness
    ) -> None:
        harness.target.script = ["wait"]
        first = asyncio.create_task(harness.send())
        await fleets.wait_for(lambda: bool(harness.target.runs))
        first.cancel()
        await asyncio.sleep(0.05)
        harness.target.release.set()
        assert (await harness.send())[0] == "answered"
        assert len(harness.target.runs) == 1

    async def test_other_body_under_the_same_key_does_not_run(
        self, harness: Harness
    ) -> None:
        await harness.send()
        result = await harness.send(body=b"other")
        assert result[:2] == ("unknown", "key-reused")
        assert len(harness.target.runs) == 1

    async def test_resend_with_long_body_is_not_reported_as_not_run(
        self, harness: Harness
    ) -> None:
        await harness.send()
        for address in (None, harness.other_address):
            result = await harness.send(address=address, body=b"x" * 1_100_000)
            assert result[0] == "unknown"

    async def test_resend_with_invalid_field_is_not_reported_as_not_run(
        self, harness: Harness
    ) -> None:
        await harness.send()
        for address in (None, harness.other_address):
            result = await harness.send(
                address=address, Wigeonspool_Remaining_Ms="soon"
            )
            assert result[0] != "not_run"

    async def test_full_table_refuses_new_keys_and_serves_known_ones(
        self, small_harness: Harness
    ) -> None:
        harness = small_harness
        for number in range(3):
            assert (await harness.send(str(number)))[0] == "answered"
        for _ in range(2):
            result = await harness.send("3")
            assert result[:2] == ("not_run", "table-full")
        assert (await harness.send("0"))[0] == "answered"
        assert len(harness.target.runs) == 3

    async def test_stored_responses_are_bounded(
        self, small_harness: Harness
    ) -> None:
        harness = small_harness
        harness.target.body = b"x" * 300
        for number in range(2):
            assert (await harness.send(str(number)))[0] == "answered"
        result = await harness.send("0")
        assert result[:2] == ("unknown", "answer-not-kept")
        assert (await harness.send("1"))[0] == "answered"
        assert len(harness.target.runs) == 2


class TestLostOwner:
    async def test_resend_after_its_route_is_removed_gets_the_response(
        self, harness: Harness
    ) -> None:
        first = await harness.send()
        await harness.fleet.apply(
            build_document([harness.target.address], "/other")
        )
        assert await harness.send() == first
        assert await harness.send(address=harness.other_address) == first

    async def test_outcome_is_unknown_if_the_owner_is_unreachable(
        self, harness: Harness
    ) -> None:
        await harness.send()
        await harness.fleet.kill_gateway(harness.owner_vm)
        result = await harness.send(address=harness.other_address)
        assert result[:2] == ("unknown", "home-unreachable")

    async def test_outcome_is_unknown_after_the_owner_restarted(
        self, harness: Harness
    ) -> None:
        await harness.send()
        owner_vm = harness.owner_vm
        await harness.fleet.agents[owner_vm].stop()
        await harness.fleet.kill_gateway(owner_vm)
        await harness.fleet.start_gateway(owner_vm)
        for address in (None, harness.other_address):
            result = await harness.send(address=address)
            assert result[:2] == ("unknown", "home-gone")
        assert len(harness.target.runs) == 1

    async def test_response_of_another_process_at_the_owner_address_is_rejected(
        self, harness: Harness
    ) -> None:
        owner_vm = harness.owner_vm
        address = harness.assignment["home"]
        await harness.fleet.kill_gateway(owner_vm)

        async def answer(_: web.BaseRequest) -> web.StreamResponse:
            return web.Response(body=json.dumps({"stranger": True}).encode())

        runner = await process.serve_http(address, web.Server(answer))
        result = await harness.send(address=harness.other_address)
        await runner.cleanup()
        assert result[:2] == ("unknown", "home-unreachable")

    async def test_request_is_forwarded_only_once(
        self, harness: Harness
    ) -> None:
        result = await harness.send(
            address=harness.other_address, Wigeonspool_Forwarded="x"
        )
        assert result[:2] == ("unknown", "home-gone")
        assert harness.target.runs == []


class TestPause:
    async def test_request_that_waited_through_a_pause_does_not_run(
        self, harness: Harness
    ) -> None:
        """A request must not run after its deadline passed during a pause.

        The event loop is blocked, as SIGSTOP would block the process.
        """
        host, _, port = harness.assignment["home"].rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        # The connection is accepted before the pause.
        await asyncio.sleep(0.05)
        key = f"{harness.assignment['id']}.1"
        writer.write(
            f"POST /queue/ban HTTP/1.1\r\nHost: x\r\n"
            f"Wigeonspool-Caller: {CALLER}\r\n"
            f"Wigeonspool-Assignment: {harness.assignment['token']}\r\n"
            f"Idempotency-Key: {key}\r\nContent-Length: 3\r\n"
            f"Wigeonspool-Remaining-Ms: 400\r\n\r\nban".encode()
        )
        time.sleep(1.0)
        await asyncio.sleep(0.3)
        writer.close()
        assert harness.target.runs == []
        result = await harness.send()
        assert result[:2] == ("not_run", "deadline-passed")

    async def test_deadline_is_checked_right_before_the_attempt(
        self, harness: Harness, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        """A request must not be sent if its deadline passed in the decision.

        The process is paused while the core chooses a target.
        """
        gateway = harness.fleet.gateways[harness.owner_vm]
        core = gateway._scheduler.core
        find = core._find_avoided

        def pause_and_find(*args: Any) -> Any:
            time.sleep(0.3)
            return find(*args)

        monkeypatch.setattr(core, "_find_avoided", pause_and_find)
        result = await harness.send(Wigeonspool_Remaining_Ms="200")
        assert result[:2] == ("not_run", "deadline-passed")
        assert harness.target.runs == []


@pytest.mark.parametrize("count", [30])
async def test_concurrent_submissions_of_one_key_run_once(
    harness: Harness, count: int
) -> None:
    addresses = [None, harness.other_address]
    submissions = [harness.send(address=addresses[i % 2]) for i in range(count)]
    results = await asyncio.gather(*submissions)
    assert {result[0] for result in results} == {"answered"}
    assert len(harness.target.runs) == 1


def test_connector_error_is_a_client_os_error() -> None:
    """The egress must therefore catch connect errors before other errors."""
    assert issubclass(aiohttp.ClientConnectorError, aiohttp.ClientOSError)


async def test_long_response_that_has_begun_continues_past_its_deadline(
    harness: Harness,
) -> None:
    harness.target.script = ["drip"]
    harness.target.body = b"z" * 2_000_000
    result = await harness.send(Wigeonspool_Remaining_Ms="300")
    assert result == ("answered", "", harness.target.body)
    assert len(harness.target.runs) == 1
