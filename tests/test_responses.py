import asyncio
from collections.abc import AsyncIterator
import http.client
import pathlib
import socket
import tracemalloc
from typing import Any

import aiohttp
import pytest
import pytest_asyncio
import yaml

from tests import fleet as fleets
from tests import standalone_gateway

CASES = yaml.safe_load(
    (pathlib.Path(__file__).parent / "cases/answers.yaml").read_text()
)
GET = "GET /queue HTTP/1.1\r\nHost: a\r\nConnection: close\r\n"
MEGABYTE = 1024 * 1024


@pytest_asyncio.fixture
async def gateway() -> AsyncIterator[standalone_gateway.StandaloneGateway]:
    started = standalone_gateway.StandaloneGateway()
    await started.start()
    yield started
    await started.stop()


@pytest_asyncio.fixture
async def session() -> AsyncIterator[aiohttp.ClientSession]:
    async with aiohttp.ClientSession() as opened:
        yield opened


async def point_at_target(
    gateway: standalone_gateway.StandaloneGateway,
    response: bytes,
    end: str = "close",
) -> None:
    """Points the gateway at a target that sends these bytes as its response.

    Then the target closes the connection if `end` is "close"; otherwise the
    connection stays open without further data.
    """

    async def serve(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await standalone_gateway.read_head(reader)
        writer.write(response)
        await writer.drain()
        if end == "close":
            writer.close()
        else:
            await asyncio.sleep(60)

    gateway.set_targets(await gateway.start_scripted_target(serve))


class TestResponses:
    @pytest.mark.parametrize("case", CASES, ids=lambda case: case["name"])
    async def test_response_reaches_the_caller(
        self,
        gateway: standalone_gateway.StandaloneGateway,
        case: dict[str, Any],
    ) -> None:
        end = "close" if case.get("close") else "stay"
        await point_at_target(gateway, case["answer"].encode(), end)
        start = GET.replace("GET", case["method"], 1)
        raw = await standalone_gateway.call(gateway.address, f"{start}\r\n")
        status, fields, body = standalone_gateway.split_response(raw)
        assert status == case["status"]
        assert body.decode() == case["body"]
        for name, values in case.get("present", {}).items():
            received = [v for n, v in fields if n.lower() == name.lower()]
            assert received == values
        names = {name.lower() for name, _ in fields}
        assert not names & {n.lower() for n in case.get("absent", [])}
        assert gateway.count("answered") == 1


class TestTruncatedResponses:
    LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 1000000\r\n\r\n"
    CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    RESPONSES = (LENGTH + b"x" * 600_000, CHUNKED + b"5\r\nhello\r\n")

    @pytest.mark.parametrize("truncated", RESPONSES, ids=["length", "chunked"])
    async def test_truncated_response_does_not_look_complete(
        self,
        gateway: standalone_gateway.StandaloneGateway,
        session: aiohttp.ClientSession,
        truncated: bytes,
    ) -> None:
        await point_at_target(gateway, truncated)
        with pytest.raises(aiohttp.ClientError):
            async with session.get(
                f"http://{gateway.address}/queue"
            ) as response:
                await response.read()
        await gateway.wait_count("unknown", "connection-lost")
        assert gateway.count("answered") == 0
        assert gateway.count_slots() == 0

    async def test_http_1_0_caller_sees_a_reset(
        self, gateway: standalone_gateway.StandaloneGateway
    ) -> None:
        """To such a caller, a closed connection is the end of a response."""
        await point_at_target(gateway, self.RESPONSES[1])
        with pytest.raises(ConnectionResetError):
            await standalone_gateway.call(
                gateway.address, "GET /queue HTTP/1.0\r\n\r\n"
            )

    async def test_streamed_response_ends_at_its_deadline(
        self,
        gateway: standalone_gateway.StandaloneGateway,
        session: aiohttp.ClientSession,
    ) -> None:
        await point_at_target(gateway, self.RESPONSES[0], "stay")
        with pytest.raises(aiohttp.ClientError):
            async with session.get(
                f"http://{gateway.address}/queue",
                headers={"Wigeonspool-Remaining-Ms": "200"},
            ) as response:
                await response.read()
        await gateway.wait_count("unknown", "deadline-passed")
        assert gateway.count_slots() == 0

    async def test_short_truncated_response_is_retried(
        self, gateway: standalone_gateway.StandaloneGateway
    ) -> None:
        requests = 0

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            nonlocal requests
            await standalone_gateway.read_head(reader)
            requests += 1
            body = b"he" if requests == 1 else b"hello"
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n")
            writer.write(body)
            writer.close()

        gateway.set_targets(await gateway.start_scripted_target(serve))
        raw = await standalone_gateway.call(gateway.address, f"{GET}\r\n")
        assert raw.endswith(b"\r\n\r\nhello")
        assert requests == 2


class TestDisconnectedCallers:
    async def disconnect(self, fleet: fleets.Fleet, path: str) -> None:
        """Disconnects during a request and checks that it is cancelled."""
        host, _, port = fleet.addresses["vm-0"].rpartition(":")
        _, writer = await asyncio.open_connection(host, int(port))
        writer.write(f"GET {path} HTTP/1.1\r\nHost: a\r\n\r\n".encode())
        target = next(iter(fleet.targets.values()))
        await fleets.wait_for(lambda: target.runs)
        await asyncio.sleep(0.05)
        writer.close()
        await fleets.wait_for(lambda: target.runs[0].ending)
        assert target.runs[0].ending == "cancelled"
        ingress = fleet.gateways["vm-0"]._ingress
        index = ("unknown", "caller-left")
        await fleets.wait_for(lambda: ingress.request_counts.get(index) == 1)

    @pytest.mark.parametrize("path", ["/queue", "/queue?bytes=200000000"])
    async def test_work_is_cancelled_at_the_target(
        self, fleet: fleets.Fleet, path: str
    ) -> None:
        service_ms = 1.0 if "bytes" in path else 60_000.0
        await fleet.start_target(service_ms=service_ms)
        await fleet.apply(fleet.build_document())
        await self.disconnect(fleet, path)

    @pytest.mark.parametrize(
        ("start", "size", "reason"),
        [
            ("POST /once", 15_000_000, "caller-left"),
            ("GET /queue", 50_000_000, "deadline-passed"),
        ],
        ids=["once", "streamed"],
    )
    async def test_caller_that_stops_reading_holds_no_slot(
        self,
        gateway: standalone_gateway.StandaloneGateway,
        start: str,
        size: int,
        reason: str,
    ) -> None:
        fields = ""
        if start.startswith("POST"):
            fields = await gateway.build_at_most_once_fields()
        head = f"HTTP/1.1 200 OK\r\nContent-Length: {size}\r\n\r\n"
        await point_at_target(gateway, head.encode() + b"x" * size, "stay")
        host, _, port = gateway.address.rpartition(":")
        with socket.socket() as caller:
            # A small buffer, so that the kernel cannot buffer the complete
            # response.
            caller.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            caller.connect((host, int(port)))
            caller.sendall(
                f"{start} HTTP/1.1\r\nHost: a\r\n{fields}"
                "Wigeonspool-Remaining-Ms: 1500\r\n\r\n".encode()
            )
            await gateway.wait_count("unknown", reason)
        assert gateway.count_slots() == 0
        assert gateway.count("answered") == 0
        server = gateway.service._caller_server.server
        assert server is not None
        await fleets.wait_for(lambda: not server.connections)


class TestMemory:
    BODY_BYTES = 64 * MEGABYTE
    MAX_MEMORY_BYTES = 4 * MEGABYTE

    async def test_long_response_is_not_buffered(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        await fleet.apply(fleet.build_document())
        url = f"http://{fleet.addresses['vm-0']}/queue?bytes={self.BODY_BYTES}"
        tracemalloc.start()
        try:
            received = 0
            async with fleet.session.get(url) as response:
                async for chunk in response.content.iter_any():
                    received += len(chunk)
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert received == self.BODY_BYTES
        assert peak < self.MAX_MEMORY_BYTES

    async def test_long_upload_is_not_buffered(
        self, fleet: fleets.Fleet
    ) -> None:
        target = await fleet.start_target()
        document = fleet.build_document()
        document["routes"][0]["method"] = "PUT"
        await fleet.apply(document)

        async def send() -> AsyncIterator[bytes]:
            for _ in range(self.BODY_BYTES // MEGABYTE):
                yield b"x" * MEGABYTE

        url = f"http://{fleet.addresses['vm-0']}/queue"
        tracemalloc.start()
        try:
            async with fleet.session.put(url, data=send()) as response:
                assert response.status == 200
            _, peak = tracemalloc.get_traced_memory()
        finally:
            tracemalloc.stop()
        assert target.runs[0].body_bytes == self.BODY_BYTES
        assert peak < 2 * self.MAX_MEMORY_BYTES


class TestUploads:
    async def test_upload_refused_halfway_is_not_retried(
        self,
        gateway: standalone_gateway.StandaloneGateway,
        session: aiohttp.ClientSession,
    ) -> None:
        heads = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            heads.append(await standalone_gateway.read_head(reader))
            await reader.readexactly(100_000)
            writer.write(
                b"HTTP/1.1 503 No\r\nWigeonspool-Outcome: not_run\r\n"
                b"Content-Length: 0\r\n\r\n"
            )
            await asyncio.sleep(60)

        gateway.set_targets(
            await gateway.start_scripted_target(serve),
            await gateway.start_scripted_target(serve),
        )
        async with session.put(
            f"http://{gateway.address}/queue", data=b"x" * 2 * MEGABYTE
        ) as response:
            assert response.headers["Wigeonspool-Outcome"] == "not_run"
        assert len(heads) == 1

    async def test_upload_whose_connection_breaks_is_unknown(
        self,
        gateway: standalone_gateway.StandaloneGateway,
        session: aiohttp.ClientSession,
    ) -> None:
        heads = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            heads.append(await standalone_gateway.read_head(reader))
            await reader.readexactly(100_000)
            writer.transport.abort()

        gateway.set_targets(
            await gateway.start_scripted_target(serve),
            await gateway.start_scripted_target(serve),
        )
        async with session.put(
            f"http://{gateway.address}/queue", data=b"x" * 2 * MEGABYTE
        ) as response:
            assert response.headers["Wigeonspool-Outcome"] == "unknown"
        assert len(heads) == 1

    async def test_caller_that_expects_continue_gets_it(
        self, gateway: standalone_gateway.StandaloneGateway
    ) -> None:
        await point_at_target(
            gateway, b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n", "stay"
        )
        start = GET.replace("GET", "PUT", 1)
        raw = await standalone_gateway.call(
            gateway.address,
            f"{start}Content-Length: 2\r\nExpect: 100-continue\r\n\r\nok",
        )
        assert raw.startswith(b"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK")

    async def test_request_without_its_body_ends_at_its_deadline(
        self, gateway: standalone_gateway.StandaloneGateway
    ) -> None:
        gateway.set_targets(
            await gateway.start_scripted_target(
                standalone_gateway.never_respond
            )
        )
        start = GET.replace("GET", "PUT", 1)
        fields = "Content-Length: 9\r\nWigeonspool-Remaining-Ms: 100\r\n"
        raw = await standalone_gateway.call(
            gateway.address, f"{start}{fields}\r\nabc"
        )
        status, response_fields, _ = standalone_gateway.split_response(raw)
        assert status == http.client.GATEWAY_TIMEOUT
        assert ("Wigeonspool-Outcome", "not_run") in response_fields

    async def test_encoded_body_is_forwarded_unchanged(
        self, gateway: standalone_gateway.StandaloneGateway
    ) -> None:
        bodies = []

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            head = await standalone_gateway.read_head(reader)
            bodies.append((head, await reader.readexactly(4)))
            writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
            await asyncio.sleep(60)

        gateway.set_targets(await gateway.start_scripted_target(serve))
        start = GET.replace("GET", "PUT", 1)
        await standalone_gateway.call(
            gateway.address,
            f"{start}Content-Length: 4\r\nContent-Encoding: gzip\r\n\r\nabcd",
        )
        assert bodies[0][1] == b"abcd"
        assert b"content-encoding: gzip" in bodies[0][0].lower()
        assert b"transfer-encoding" not in bodies[0][0].lower()


class TestGatewayWithoutTables:
    async def test_requests_are_refused_as_not_configured(
        self, fleet: fleets.Fleet
    ) -> None:
        """A gateway that has just started does not know which routes exist.

        It must not report a request without a known route as having none.
        """
        gateway = fleet.gateways["vm-0"]
        assert gateway._view.tables.generation == 0
        url = f"http://{fleet.addresses['vm-0']}/queue/1"
        for method in ("GET", "POST"):
            async with fleet.session.request(method, url) as response:
                content = await response.json()
            assert response.status == 503
            assert content["outcome"] == "not_run"
            assert content["reason"] == "not-configured"
        await fleet.apply(fleet.build_document())
        async with fleet.session.get(f"{url[:-8]}/nowhere") as response:
            assert (await response.json())["reason"] == "no-route"
