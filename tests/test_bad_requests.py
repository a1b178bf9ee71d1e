import asyncio
from collections.abc import AsyncIterator
import json
import pathlib
import re

import pytest
import pytest_asyncio

from tests import standalone_gateway

FILE = pathlib.Path(__file__).parent / "cases/bad_requests.txt"
RESPONSE = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"
GET = "GET /queue HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"


def read_cases() -> list[tuple[str, list[str], bytes]]:
    """Returns name, reasons and request of each case."""
    cases = []
    for case in FILE.read_text().split("=== ")[1:]:
        name, reasons, *lines = case.rstrip("\n").split("\n")
        text = re.sub(
            r"\{(\d+)\}", lambda size: "x" * int(size[1]), "".join(lines)
        )
        request = text.encode().decode("unicode_escape").encode("latin-1")
        cases.append((name, reasons.split()[1:], request))
    return cases


CASES = read_cases()


class Harness:
    """A gateway and a target that records the request heads it receives."""

    def __init__(self) -> None:
        self.gateway = standalone_gateway.StandaloneGateway()
        self.heads: list[str] = []

    async def start(self) -> None:
        await self.gateway.start()
        self.gateway.set_targets(
            await self.gateway.start_scripted_target(self.serve)
        )

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        while True:
            head = await standalone_gateway.read_head(reader)
            self.heads.append(head.decode("latin-1"))
            writer.write(RESPONSE)

    async def check_serving(self) -> None:
        """Checks that the gateway still serves other requests."""
        raw = await standalone_gateway.call(self.gateway.address, f"{GET}\r\n")
        assert raw.endswith(b"ok")


@pytest_asyncio.fixture
async def harness() -> AsyncIterator[Harness]:
    started = Harness()
    await started.start()
    yield started
    await started.gateway.stop()


class TestBadRequests:
    @pytest.mark.parametrize(
        ("name", "reasons", "request_bytes"), CASES, ids=[c[0] for c in CASES]
    )
    async def test_bad_request_does_not_reach_a_target(
        self,
        harness: Harness,
        name: str,
        reasons: list[str],
        request_bytes: bytes,
    ) -> None:
        # If the gateway takes only a part of the case for a request, this one
        # still makes it close the connection, which ends the call.
        following = f"{GET}\r\n".encode()
        raw = await standalone_gateway.call(
            harness.gateway.address, request_bytes + following
        )
        if raw:
            first, _, _ = raw.partition(b"\r\nHTTP/1.1")
            _, fields, body = standalone_gateway.split_response(first)
            assert ("Wigeonspool-Outcome", "not_run") in fields
            document = json.JSONDecoder().raw_decode(body.decode())[0]
            assert document["reason"] in reasons
            counted = [harness.gateway.count("not_run", r) for r in reasons]
            assert sum(counted) >= 1
        assert not any("secret" in head for head in harness.heads)
        allowed = "GET /queue HTTP/1.1\r\n"
        assert all(head.startswith(allowed) for head in harness.heads)
        assert all("x-a" not in head.lower() for head in harness.heads)
        await harness.check_serving()

    async def test_incomplete_request_is_dropped(
        self, harness: Harness
    ) -> None:
        host, _, port = harness.gateway.address.rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(b"GET /queue HT")
        await writer.drain()
        writer.close()
        await harness.check_serving()
        assert len(harness.heads) == 1


class TestHeaderFields:
    async def test_reserved_fields_of_callers_are_dropped(
        self, harness: Harness
    ) -> None:
        names = ("Forwarded", "Outcome", "Reason", "Draining")
        forged = "".join(f"Wigeonspool-{name}: forged\r\n" for name in names)
        await standalone_gateway.call(
            harness.gateway.address, f"{GET}{forged}\r\n"
        )
        assert len(harness.heads) == 1
        assert "forged" not in harness.heads[0]

    async def test_fields_of_callers_are_forwarded(
        self, harness: Harness
    ) -> None:
        fields = "Wigeonspool-Caller: desk\r\nWigeonspool-Request: r-1\r\n"
        await standalone_gateway.call(
            harness.gateway.address, f"{GET}{fields}\r\n"
        )
        assert "desk" in harness.heads[0]
        assert "r-1" in harness.heads[0]

    async def test_path_is_forwarded_unchanged(self, harness: Harness) -> None:
        line = GET.replace("/queue", "/queue/a%2Fb//c%20d?e=%2e%2e/f&g")
        await standalone_gateway.call(harness.gateway.address, f"{line}\r\n")
        assert "/queue/a%2Fb//c%20d?e=%2e%2e/f&g" in harness.heads[0]
