import asyncio
from collections.abc import AsyncIterator
import json
import pathlib
import re

import pytest
import pytest_asyncio

from tests import lone

FILE = pathlib.Path(__file__).parent / "cases/bad_requests.txt"
ANSWER = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
GET = "GET /queue HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"


def read_cases() -> list[tuple[str, list[str], bytes]]:
    """Returns name, reasons and request of each case."""
    cases = []
    for part in FILE.read_text().split("=== ")[1:]:
        name, reasons, *lines = part.rstrip("\n").split("\n")
        text = re.sub(
            r"\{(\d+)\}", lambda size: "x" * int(size[1]), "".join(lines)
        )
        request = text.encode().decode("unicode_escape").encode("latin-1")
        cases.append((name, reasons.split()[1:], request))
    return cases


CASES = read_cases()


class Scene:
    """A gateway and a target that writes down what it gets."""

    def __init__(self) -> None:
        self.gateway = lone.LoneGateway()
        self.heads: list[str] = []

    async def start(self) -> None:
        await self.gateway.start()
        self.gateway.point_at(await self.gateway.script(self.serve))

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await lone.read_head(reader)
            self.heads.append(head.decode("latin-1"))
            writer.write(ANSWER)

    async def check_alive(self) -> None:
        """Checks that the gateway serves others as before."""
        raw = await lone.call(self.gateway.address, f"{GET}\r\n")
        assert raw.endswith(b"ok")


@pytest_asyncio.fixture
async def scene() -> AsyncIterator[Scene]:
    started = Scene()
    await started.start()
    yield started
    await started.gateway.stop()


class TestBadRequests:
    @pytest.mark.parametrize(
        ("name", "reasons", "request_bytes"), CASES, ids=[c[0] for c in CASES]
    )
    async def test_it_is_refused_before_a_target_sees_it(
        self,
        scene: Scene,
        name: str,
        reasons: list[str],
        request_bytes: bytes,
    ) -> None:
        # What follows on the connection ends it if the case was read short.
        closing = f"{GET}\r\n".encode()
        raw = await lone.call(scene.gateway.address, request_bytes + closing)
        if raw:
            first, _, _ = raw.partition(b"\r\nHTTP/1.1")
            _, fields, body = lone.split_answer(first)
            assert ("Wigeonspool-Outcome", "not_run") in fields
            document = json.JSONDecoder().raw_decode(body.decode())[0]
            assert document["reason"] in reasons
            counted = [scene.gateway.count("not_run", r) for r in reasons]
            assert sum(counted) >= 1
        assert not any("secret" in head for head in scene.heads)
        allowed = "GET /queue HTTP/1.1\r\n"
        assert all(head.startswith(allowed) for head in scene.heads)
        assert all("x-a" not in head.lower() for head in scene.heads)
        await scene.check_alive()

    async def test_half_a_request_costs_nothing(self, scene: Scene) -> None:
        host, _, port = scene.gateway.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /queue HT")
        await writer.drain()
        writer.close()
        await scene.check_alive()
        assert len(scene.heads) == 1


class TestFieldsThatTargetsTrust:
    async def test_callers_cannot_set_what_gateways_say(
        self, scene: Scene
    ) -> None:
        names = ("Forwarded", "Outcome", "Reason", "Draining")
        forged = "".join(f"Wigeonspool-{name}: forged\r\n" for name in names)
        await lone.call(scene.gateway.address, f"{GET}{forged}\r\n")
        assert len(scene.heads) == 1
        assert "forged" not in scene.heads[0]

    async def test_callers_own_fields_pass(self, scene: Scene) -> None:
        fields = "Wigeonspool-Caller: desk\r\nWigeonspool-Request: r-1\r\n"
        await lone.call(scene.gateway.address, f"{GET}{fields}\r\n")
        assert "desk" in scene.heads[0]
        assert "r-1" in scene.heads[0]

    async def test_path_passes_as_it_was_written(self, scene: Scene) -> None:
        line = GET.replace("/queue", "/queue/a%2Fb//c%20d?e=%2e%2e/f&g")
        await lone.call(scene.gateway.address, f"{line}\r\n")
        assert "/queue/a%2Fb//c%20d?e=%2e%2e/f&g" in scene.heads[0]
