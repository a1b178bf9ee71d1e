"""A gateway without an agent, scripted targets and callers on raw sockets."""

import asyncio
from collections.abc import Awaitable, Callable
import json
from typing import Any

import loguru

from tests import fleet as fleets
from wigeonspool.gateway import service as gateways
from wigeonspool.model import entities
from wigeonspool.model import options

ROUTES = (
    entities.Route("read", "GET", "/queue", "queue", True),
    entities.Route("head", "HEAD", "/queue", "queue", True),
    entities.Route("upload", "PUT", "/queue", "queue", True),
    entities.Route("write", "POST", "/once", "queue", False),
    entities.Route("remove", "DELETE", "/once", "queue", False),
)

Script = Callable[[asyncio.StreamReader, asyncio.StreamWriter], Awaitable[None]]


class StandaloneGateway:
    """A gateway without an agent whose tables a test sets directly."""

    def __init__(self) -> None:
        address = fleets.reserve_address()
        self.address = address
        settings = {
            "vm": "vm-0",
            "zone": "zone-0",
            "region": "region",
            "token_keys": ["test-key"],
            "agent": {"listen": fleets.reserve_address()},
            "gateway": {
                "addresses": [address],
                "metrics": [fleets.reserve_address()],
            },
        }
        parsed = options.Options.model_validate(settings)
        self.service = gateways.GatewayService(parsed, 0)
        self._servers: list[asyncio.Server] = []
        self._writers: list[asyncio.StreamWriter] = []

    async def start(self, *targets: str, slots: int = 4) -> None:
        loguru.logger.disable("wigeonspool.gateway.agent_client")
        await self.service.start()
        self.set_targets(*targets, slots=slots)

    def set_targets(self, *targets: str, slots: int = 4) -> None:
        """Activates tables with one pool of the given targets."""
        view = self.service._view
        listed = tuple(entities.Target(t, "zone-0") for t in targets)
        pool = entities.Pool("queue", slots, listed)
        routes = {route.name: route for route in ROUTES}
        generation = view.tables.generation + 1
        view.update_tables(entities.Tables(generation, routes, {"queue": pool}))
        gateway = self.service._gateway
        view.gateways = {gateway.name: gateway}
        self.service._apply_view()

    async def start_scripted_target(self, serve: Script) -> str:
        """Starts a target that runs a script for each connection."""
        address = fleets.reserve_address()
        host, _, port = address.rpartition(":")

        async def run_script(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            self._writers.append(writer)
            try:
                await serve(reader, writer)
            except (
                OSError,
                asyncio.CancelledError,
                asyncio.IncompleteReadError,
            ):
                writer.close()

        server = await asyncio.start_server(run_script, host, int(port))
        self._servers.append(server)
        return address

    async def build_at_most_once_fields(self, key: str = "k") -> str:
        """Returns the header fields for a request that may run at most once."""
        raw = await call(
            self.address,
            "GET /.wigeonspool/address?pool=queue HTTP/1.1\r\nHost: a\r\n"
            "Connection: close\r\n\r\n",
        )
        assignment = json.loads(split_response(raw)[2])["assignment"]
        return (
            f"Wigeonspool-Assignment: {assignment['token']}\r\n"
            f"Idempotency-Key: {assignment['id']}.{key}\r\n"
        )

    def count(self, outcome: str, reason: str = "") -> int:
        """Returns the number of requests that ended with an outcome."""
        return self.service._ingress.request_counts.get((outcome, reason), 0)

    async def wait_count(self, outcome: str, reason: str = "") -> None:
        await fleets.wait_for(lambda: self.count(outcome, reason) == 1)

    def count_slots(self) -> int:
        """Returns the number of slots that attempts use."""
        rows = self.service._scheduler.core.list_targets("queue")
        return sum(row.in_flight for row in rows)

    async def stop(self) -> None:
        for server in self._servers:
            server.close()
        for writer in self._writers:
            writer.close()
        self.service._caller_server._shutdown_timeout = 0.001
        loguru.logger.enable("wigeonspool.gateway.agent_client")
        await self.service.stop()


async def call(address: str, request: str | bytes) -> bytes:
    """Sends a raw request; returns all bytes until the connection ends."""
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    if isinstance(request, str):
        request = request.encode("latin-1")
    writer.write(request)
    try:
        async with asyncio.timeout(10):
            return await reader.read()
    finally:
        writer.close()


def split_response(raw: bytes) -> tuple[int, list[tuple[str, str]], bytes]:
    """Returns the status, fields and undecoded body of a raw response."""
    head, _, body = raw.partition(b"\r\n\r\n")
    lines = head.decode("latin-1").split("\r\n")
    fields = [line.partition(": ")[::2] for line in lines[1:]]
    return int(lines[0].split()[1]), fields, body


async def read_head(reader: asyncio.StreamReader) -> bytes:
    return await reader.readuntil(b"\r\n\r\n")


async def never_respond(*_: Any) -> None:
    """A target script that sends no response."""
    await asyncio.sleep(60)
