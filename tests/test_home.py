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
    """A target whose next answers a test writes."""

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


class Scene:
    """A fleet with one scripted target, and a caller with an assignment."""

    def __init__(self, fleet: fleets.Fleet, target: ScriptedTarget) -> None:
        self.fleet = fleet
        self.target = target
        self.assignment: dict[str, Any] = {}

    async def ask_address(self, caller: str = CALLER) -> dict[str, Any]:
        seed = next(iter(self.fleet.addresses.values()))
        async with self.fleet.session.get(
            f"http://{seed}/.wigeonspool/address?pool=queue&zone=zone-0",
            headers={"Wigeonspool-Caller": caller},
        ) as response:
            return dict(await response.json())["assignment"]

    @property
    def home(self) -> str:
        """Name of the VM of the home."""
        address = self.assignment["home"]
        return next(
            vm for vm, a in self.fleet.addresses.items() if a == address
        )

    @property
    def other(self) -> str:
        """Address of the gateway that is not the home."""
        return next(
            a
            for a in self.fleet.addresses.values()
            if a != self.assignment["home"]
        )

    async def send(
        self,
        rest: str = "1",
        at: str | None = None,
        method: str = "POST",
        path: str = "/queue/ban",
        body: bytes = b"ban",
        **fields: str,
    ) -> tuple[str, str, bytes]:
        """Returns outcome, reason and body as the caller sees them."""
        sent = {
            "Wigeonspool-Caller": CALLER,
            "Wigeonspool-Assignment": self.assignment["token"],
            "Idempotency-Key": f"{self.assignment['id']}.{rest}",
        }
        sent |= {name.replace("_", "-"): text for name, text in fields.items()}
        sent = {name: text for name, text in sent.items() if text}
        async with self.fleet.session.request(
            method,
            f"http://{at or self.assignment['home']}{path}",
            headers=sent,
            data=body,
        ) as response:
            content = await response.read()
            return (
                response.headers.get("Wigeonspool-Outcome", ""),
                response.headers.get("Wigeonspool-Reason", ""),
                content,
            )


async def build_scene(fleet: fleets.Fleet) -> Scene:
    await fleet.start()
    target = ScriptedTarget()
    server = web.Server(target.serve)
    runner = await process.serve_http(target.address, server)
    fleet._stack.push_async_callback(runner.cleanup)
    await fleet.apply(declare([target.address]))
    await fleets.wait_for(
        lambda: all(len(g._view.gateways) == 2 for g in fleet.gateways.values())
    )
    scene = Scene(fleet, target)
    scene.assignment = await scene.ask_address()
    return scene


def declare(addresses: list[str], prefix: str = "/queue") -> dict[str, Any]:
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
async def scene() -> AsyncIterator[Scene]:
    fleet = fleets.Fleet()
    built = await build_scene(fleet)
    yield built
    await fleet.stop()


@pytest_asyncio.fixture
async def small_scene() -> AsyncIterator[Scene]:
    """A scene whose home keeps three rows and 100 bytes of answers."""
    fleet = fleets.Fleet(once_capacity=3, once_answer_bytes=500)
    built = await build_scene(fleet)
    yield built
    await fleet.stop()


class TestProof:
    @pytest.mark.parametrize(
        ("fields", "told"),
        [
            ({"Idempotency_Key": ""}, ("not_run", "key-missing")),
            ({"Idempotency_Key": "short.1"}, ("not_run", "key-malformed")),
            ({"Wigeonspool_Assignment": ""}, ("unknown", "token-missing")),
            ({"Wigeonspool_Assignment": "x.y"}, ("unknown", "token-invalid")),
            ({"Wigeonspool_Caller": "thief"}, ("unknown", "token-invalid")),
        ],
    )
    async def test_request_that_proves_nothing_does_not_run(
        self, scene: Scene, fields: dict[str, str], told: tuple[str, str]
    ) -> None:
        assert (await scene.send(**fields))[:2] == told
        assert scene.target.runs == []

    async def test_answer_goes_to_its_own_caller_only(
        self, scene: Scene
    ) -> None:
        scene.target.body = b"secret"
        await scene.send()
        outcome, _, content = await scene.send(Wigeonspool_Caller="thief")
        assert outcome == "unknown"
        assert b"secret" not in content

    async def test_key_under_another_assignment_does_not_run(
        self, scene: Scene
    ) -> None:
        await scene.send()
        other = await scene.ask_address()
        told = await scene.send(Wigeonspool_Assignment=other["token"])
        assert told[:2] == ("unknown", "token-invalid")
        assert len(scene.target.runs) == 1

    async def test_rotated_key_is_taken_and_a_removed_one_is_not(self) -> None:
        assignment = tokens.Assignment("i", "c", "h", "n", "a:1", 1.0)
        former = tokens.TokenSigner(["old"]).sign(assignment)
        assert tokens.TokenSigner(["old", "new"]).verify(former) == assignment
        with pytest.raises(Exception, match="signature"):
            tokens.TokenSigner(["new"]).verify(former)


class TestOutcome:
    async def test_resend_through_any_gateway_gets_the_same_answer(
        self, scene: Scene
    ) -> None:
        scene.target.body = b"first"
        first = await scene.send()
        scene.target.body = b"second"
        assert await scene.send(at=scene.other) == first
        assert await scene.send() == first
        assert len(scene.target.runs) == 1

    @pytest.mark.parametrize("method", ["POST", "DELETE", "PUT"])
    @pytest.mark.parametrize("body", [b"", b"ban"])
    async def test_request_whose_reply_is_lost_runs_once(
        self, scene: Scene, method: str, body: bytes
    ) -> None:
        scene.target.script = ["lose"]
        for at in (None, scene.other, None):
            told = await scene.send(method=method, body=body, at=at)
            assert told[0] == "unknown"
        assert len(scene.target.runs) == 1

    async def test_answer_without_length_is_given_whole_and_again(
        self, scene: Scene
    ) -> None:
        scene.target.script = ["chunked"]
        scene.target.body = b"z" * 300_000
        first = await scene.send()
        assert first == ("answered", "", scene.target.body)
        assert await scene.send(at=scene.other) == first
        assert len(scene.target.runs) == 1

    @pytest.mark.parametrize("step", ["answer", "chunked"])
    @pytest.mark.parametrize("through_other", [False, True])
    async def test_great_answer_reaches_its_first_caller(
        self, scene: Scene, step: str, through_other: bool
    ) -> None:
        scene.target.script = [step]
        scene.target.body = b"z" * 20_000_000
        at = scene.other if through_other else None
        assert await scene.send(at=at) == ("answered", "", scene.target.body)
        for resent_at in (None, scene.other):
            told = await scene.send(at=resent_at)
            assert told[:2] == ("unknown", "answer-not-kept")
        assert len(scene.target.runs) == 1

    async def test_failure_answer_is_given_again(self, scene: Scene) -> None:
        scene.target.script = ["fail"]
        assert await scene.send() == ("answered", "", b"broken")
        assert await scene.send() == ("answered", "", b"broken")
        assert len(scene.target.runs) == 1

    async def test_refused_key_is_sent_to_another_target(
        self, scene: Scene
    ) -> None:
        scene.target.script = ["shed"]
        assert (await scene.send())[0] == "answered"
        assert len(scene.target.runs) == 1

    async def test_refused_key_runs_only_under_a_higher_attempt(
        self, scene: Scene
    ) -> None:
        scene.target.script = ["shed"] * 30
        refused = await scene.send(
            Wigeonspool_Attempt="1", Wigeonspool_Remaining_Ms="800"
        )
        assert refused[:2] == ("not_run", "deadline-passed")
        scene.target.script = []
        late = await scene.send(Wigeonspool_Attempt="0", at=scene.other)
        assert late[0] == "not_run"
        assert scene.target.runs == []
        again = await scene.send(Wigeonspool_Attempt="2", at=scene.other)
        assert again[0] == "answered"
        assert len(scene.target.runs) == 1

    async def test_resend_while_the_first_runs_waits_for_its_answer(
        self, scene: Scene
    ) -> None:
        scene.target.script = ["wait"]
        first = asyncio.create_task(scene.send())
        await fleets.wait_for(lambda: bool(scene.target.runs))
        second = asyncio.create_task(scene.send(at=scene.other))
        short = await scene.send(Wigeonspool_Remaining_Ms="50")
        assert short[:2] == ("unknown", "in-progress")
        scene.target.release.set()
        assert await first == await second
        assert len(scene.target.runs) == 1

    async def test_caller_that_leaves_gets_its_answer_later(
        self, scene: Scene
    ) -> None:
        scene.target.script = ["wait"]
        first = asyncio.create_task(scene.send())
        await fleets.wait_for(lambda: bool(scene.target.runs))
        first.cancel()
        await asyncio.sleep(0.05)
        scene.target.release.set()
        assert (await scene.send())[0] == "answered"
        assert len(scene.target.runs) == 1

    async def test_other_body_under_the_same_key_does_not_run(
        self, scene: Scene
    ) -> None:
        await scene.send()
        told = await scene.send(body=b"other")
        assert told[:2] == ("unknown", "key-reused")
        assert len(scene.target.runs) == 1

    async def test_resend_with_a_great_body_is_not_told_not_run(
        self, scene: Scene
    ) -> None:
        await scene.send()
        for at in (None, scene.other):
            told = await scene.send(at=at, body=b"x" * 1_100_000)
            assert told[0] == "unknown"

    async def test_resend_with_a_bad_field_is_not_told_not_run(
        self, scene: Scene
    ) -> None:
        await scene.send()
        for at in (None, scene.other):
            told = await scene.send(at=at, Wigeonspool_Remaining_Ms="soon")
            assert told[0] != "not_run"

    async def test_full_table_keeps_its_word(self, small_scene: Scene) -> None:
        scene = small_scene
        for number in range(3):
            assert (await scene.send(str(number)))[0] == "answered"
        for _ in range(2):
            told = await scene.send("3")
            assert told[:2] == ("not_run", "table-full")
        assert (await scene.send("0"))[0] == "answered"
        assert len(scene.target.runs) == 3

    async def test_kept_answers_are_bounded(self, small_scene: Scene) -> None:
        scene = small_scene
        scene.target.body = b"x" * 300
        for number in range(2):
            assert (await scene.send(str(number)))[0] == "answered"
        told = await scene.send("0")
        assert told[:2] == ("unknown", "answer-not-kept")
        assert (await scene.send("1"))[0] == "answered"
        assert len(scene.target.runs) == 2


class TestLostHome:
    async def test_resend_after_the_route_is_removed_is_not_told_not_run(
        self, scene: Scene
    ) -> None:
        first = await scene.send()
        await scene.fleet.apply(declare([scene.target.address], "/other"))
        assert await scene.send() == first
        assert await scene.send(at=scene.other) == first

    async def test_home_that_is_gone_leaves_the_outcome_unknown(
        self, scene: Scene
    ) -> None:
        await scene.send()
        await scene.fleet.kill_gateway(scene.home)
        told = await scene.send(at=scene.other)
        assert told[:2] == ("unknown", "home-unreachable")

    async def test_home_that_restarted_without_tables_denies_nothing(
        self, scene: Scene
    ) -> None:
        await scene.send()
        home = scene.home
        await scene.fleet.agents[home].stop()
        await scene.fleet.kill_gateway(home)
        await scene.fleet.start_gateway(home)
        for at in (None, scene.other):
            told = await scene.send(at=at)
            assert told[:2] == ("unknown", "home-gone")
        assert len(scene.target.runs) == 1

    async def test_stranger_at_the_home_address_gives_no_answer(
        self, scene: Scene
    ) -> None:
        home = scene.home
        address = scene.assignment["home"]
        await scene.fleet.kill_gateway(home)

        async def answer(_: web.BaseRequest) -> web.StreamResponse:
            return web.Response(body=json.dumps({"stranger": True}).encode())

        runner = await process.serve_http(address, web.Server(answer))
        told = await scene.send(at=scene.other)
        await runner.cleanup()
        assert told[:2] == ("unknown", "home-unreachable")

    async def test_request_is_passed_on_once(self, scene: Scene) -> None:
        told = await scene.send(at=scene.other, Wigeonspool_Forwarded="x")
        assert told[:2] == ("unknown", "home-gone")
        assert scene.target.runs == []


class TestPause:
    async def test_work_that_waited_through_a_pause_does_not_run_late(
        self, scene: Scene
    ) -> None:
        """The whole loop is blocked, as SIGSTOP would block a process."""
        host, _, port = scene.assignment["home"].rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        # The connection is accepted before the pause.
        await asyncio.sleep(0.05)
        key = f"{scene.assignment['id']}.1"
        writer.write(
            f"POST /queue/ban HTTP/1.1\r\nHost: x\r\n"
            f"Wigeonspool-Caller: {CALLER}\r\n"
            f"Wigeonspool-Assignment: {scene.assignment['token']}\r\n"
            f"Idempotency-Key: {key}\r\nContent-Length: 3\r\n"
            f"Wigeonspool-Remaining-Ms: 400\r\n\r\nban".encode()
        )
        time.sleep(1.0)
        await asyncio.sleep(0.3)
        writer.close()
        assert scene.target.runs == []
        told = await scene.send()
        assert told[:2] == ("not_run", "deadline-passed")

    async def test_deadline_is_checked_right_before_the_attempt(
        self, scene: Scene, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        gateway = scene.fleet.gateways[scene.home]
        core = gateway._scheduler.core
        find = core._find_avoided

        def pause_and_find(*args: Any) -> Any:
            time.sleep(0.3)
            return find(*args)

        monkeypatch.setattr(core, "_find_avoided", pause_and_find)
        told = await scene.send(Wigeonspool_Remaining_Ms="200")
        assert told[:2] == ("not_run", "deadline-passed")
        assert scene.target.runs == []


@pytest.mark.parametrize("count", [30])
async def test_racing_sends_of_one_key_run_once(
    scene: Scene, count: int
) -> None:
    places = [None, scene.other]
    sends = [scene.send(at=places[i % 2]) for i in range(count)]
    told = await asyncio.gather(*sends)
    assert {t[0] for t in told} == {"answered"}
    assert len(scene.target.runs) == 1


def test_client_errors_are_as_the_egress_expects() -> None:
    assert issubclass(aiohttp.ClientConnectorError, aiohttp.ClientOSError)


async def test_great_answer_that_has_begun_outlives_its_deadline(
    scene: Scene,
) -> None:
    scene.target.script = ["drip"]
    scene.target.body = b"z" * 2_000_000
    told = await scene.send(Wigeonspool_Remaining_Ms="300")
    assert told == ("answered", "", scene.target.body)
    assert len(scene.target.runs) == 1
