"""A stand-in of an instance; hooks let a test answer late, wrongly or not."""

import asyncio
import dataclasses
import time

from review.harness_2 import http1


@dataclasses.dataclass
class Run:
    """A request that an instance began to work on.

    Attributes:
        at: Time, steady clock.
        target: Instance.
        attempt: Its `X-Attempt-Id`.
        request: The request.
    """

    at: float
    target: str
    attempt: str
    request: http1.Message


class Target:
    """An instance of a service.

    Attributes:
        identity: Its id.
        runs: Requests that it ran.
        heads: Time and head of each request that reached it, also unread ones.
        work_seconds: How long a request takes.
        on_request: Called with this target, the request and the streams in
            place of the usual answer; returns False to close the connection.
        on_early: The same, called before the body is read; returns None to
            go on as usual.
        leaving: True while it reports `draining`.
        window_bytes: Receive buffer of a connection; 0 for the default.
    """

    def __init__(
        self,
        identity: str,
        service: str,
        zone: str,
        host: str,
        port: int,
        slots: int = 4,
    ) -> None:
        self.identity = identity
        self.service = service
        self.zone = zone
        self.host = host
        self.port = port
        self.slots = slots
        self.runs: list[Run] = []
        self.heads: list[tuple[float, http1.Message]] = []
        self.broken: list[str] = []
        self.work_seconds = 0.02
        self.on_request = None
        self.on_early = None
        self.leaving = False
        self.notice = False
        self.running = 0
        self.cold_ms = 0
        self.body_bytes = 200
        self.window_bytes = 0
        self.born = int(time.time() * 1000)
        self.sequence = 0
        self.writers: set[asyncio.StreamWriter] = set()
        self._server: asyncio.Server | None = None

    @property
    def address(self) -> str:
        """host:port."""
        return f"{self.host}:{self.port}"

    async def start(self) -> None:
        """Opens the port."""
        self._server = await http1.start_server(
            self._serve, self.host, self.port, self.window_bytes
        )

    async def stop(self) -> None:
        """Closes the port and resets the connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self.writers):
            writer.transport.abort()

    def build_entry(self, state: str = "ready") -> dict:
        """Returns the entry for `servers/ID`."""
        self.sequence += 1
        return {
            "Address": self.address,
            "Info": {
                "Service": self.service,
                "ConfigVersion": "v1",
                "Zone": self.zone,
                "Slots": self.slots,
            },
            "Status": {
                "State": state,
                "Seq": self.sequence,
                "Cold_time": f"{self.cold_ms}ms",
            },
            "born": self.born,
        }

    def build_answer(
        self, request: http1.Message, status: str = "200 OK", extra=()
    ) -> bytes:
        """Returns a sound answer with seal and id."""
        attempt = request.get("x-attempt-id")
        body = f"{self.identity} {attempt} ".encode()
        body += b"x" * max(0, self.body_bytes - len(body))
        fields = [
            ("X-Attempt-Id", attempt),
            ("X-Response-Seal", f"{self.identity}.{attempt}"),
            *extra,
        ]
        if self.notice:
            fields.append(("Server-Leaving", "1"))
        return http1.build(f"HTTP/1.1 {status}", fields, body)

    async def _serve(self, reader, writer) -> None:
        self.writers.add(writer)
        try:
            while (request := await http1.read_head(reader)) is not None:
                if not await self._handle(request, reader, writer):
                    return
        except (OSError, ValueError, asyncio.IncompleteReadError) as error:
            self.broken.append(repr(error))
            raise
        finally:
            self.writers.discard(writer)

    async def _handle(self, request, reader, writer) -> bool:
        if request.path == "/health":
            status = "503 X" if self.leaving else "200 OK"
            fields = [
                ("X-Instance-Id", self.identity),
                ("X-Instance-Load", f"{self.running},0,{self.slots},100"),
            ]
            if self.cold_ms:
                fields.append(("X-Cold-Remaining", str(self.cold_ms)))
            if self.notice:
                fields.append(("Server-Leaving", "1"))
            writer.write(http1.build(f"HTTP/1.1 {status}", fields))
            return True
        self.heads.append((time.monotonic(), request))
        expected = request.get("x-target-instance")
        if expected and expected != self.identity:
            await http1.read_body(reader, request)
            writer.write(
                http1.build(
                    "HTTP/1.1 421 X",
                    [
                        ("X-Instance-Id", self.identity),
                        ("X-Attempt-Id", request.get("x-attempt-id")),
                    ],
                )
            )
            return True
        if self.on_early is not None:
            result = await self.on_early(self, request, reader, writer)
            if result is not None:
                return result
        request.body = await http1.read_body(reader, request)
        if self.on_request is not None:
            result = await self.on_request(self, request, reader, writer)
            if result is not None:
                return result
        self.record(request)
        self.running += 1
        try:
            await asyncio.sleep(self.work_seconds)
        finally:
            self.running -= 1
        writer.write(self.build_answer(request))
        await writer.drain()
        return True

    def record(self, request: http1.Message) -> None:
        """Records that a request runs."""
        self.runs.append(
            Run(
                time.monotonic(),
                self.identity,
                request.get("x-attempt-id"),
                request,
            )
        )
