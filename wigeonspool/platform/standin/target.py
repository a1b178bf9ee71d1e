"""Stand-in of a target that speaks the platform's protocol.

It answers by hand, so that it can also answer wrongly: twice, late, cut off
or without a proof. It writes down what it ran.
"""

import asyncio
import contextlib
import dataclasses
import json
import socket
import struct
from typing import Any, Final

BASELINE_PERCENT: Final = 100
LINGER_RESET: Final = struct.pack("ii", 1, 0)


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """What a target does wrong on purpose.

    Attributes:
        pace: Percent of the usual time that work takes.
        full: It refuses all work as not run.
        ill: Its health check says that it is not fit.
        failing: It runs work and answers 500.
        lost: It runs work and resets the connection.
        truncated: It resets the connection halfway through its answer.
        unproven: It answers 200 without the proof that it ran the request.
        extra: It sends each answer twice.
        unframed: Its answers have no length and end with the connection.
        reset_unframed: Such an answer ends with a reset.
        mute: It reads and answers nothing.
        crashing: It crashes once it has run a request.
    """

    pace: int = BASELINE_PERCENT
    full: bool = False
    ill: bool = False
    failing: bool = False
    lost: bool = False
    truncated: bool = False
    unproven: bool = False
    extra: bool = False
    unframed: bool = False
    reset_unframed: bool = False
    mute: bool = False
    crashing: bool = False


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One request that a target ran.

    Attributes:
        attempt: Identity of the caller's attempt.
        method: HTTP method.
        path: Path and query.
        body: Its body.
        remaining_ms: Time that it was given, in milliseconds.
    """

    attempt: str
    method: str
    path: str
    body: bytes
    remaining_ms: int


class PlatformTarget:
    """One target.

    Attributes:
        identity: Its identity.
        faults: What it does wrong.
        runs: Requests that it ran.
        cancelled: Runs that ended since their connection closed.
        health_checks: Health checks that it answered.
        service_ms: How long work takes at the usual pace.
        body: What it answers.
    """

    def __init__(self, identity: str, slots: int = 4) -> None:
        """Prepares a target.

        Args:
            identity: Its identity.
            slots: Requests that it runs at once.
        """
        self.identity = identity
        self.faults = TargetFaults()
        self.runs: list[Run] = []
        self.cancelled = 0
        self.health_checks = 0
        self.service_ms = 5.0
        self.body = identity.encode()
        self._slots = slots
        self._running = 0
        self._server: asyncio.Server | None = None
        self._open: set[asyncio.StreamWriter] = set()

    async def start(self, address: str) -> None:
        """Listens on host:port."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Ends as by a crash."""
        self.crash()

    def crash(self) -> None:
        """Takes no connections any more, and resets all that are open."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one connection."""
        self._open.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_one(reader, writer):
                    pass
        finally:
            self._open.discard(writer)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Serves one request; returns False if the connection ends."""
        head = await reader.readuntil(b"\r\n\r\n")
        first, *lines = head.decode().split("\r\n")
        method, path, _ = first.split(" ")
        fields = dict(line.split(": ", 1) for line in lines if line)
        fields = {name.lower(): value for name, value in fields.items()}
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        if self.faults.mute:
            await reader.read()
            return False
        if path == "/health":
            self._answer_health(writer)
            return True
        if path == "/faults":
            self.faults = dataclasses.replace(self.faults, **json.loads(body))
            writer.write(build_response(200, {}, b""))
            return True
        expected = fields.get("x-target-instance", self.identity)
        attempt = fields.get("x-attempt-id", "")
        if expected != self.identity or self.faults.full or not attempt:
            status = 421 if expected != self.identity else 503
            header_fields = {"X-Not-Executed": "1", "X-Attempt-Id": attempt}
            writer.write(build_response(status, header_fields, b""))
            return True
        remaining_ms = int(fields.get("x-timeout-remaining", "0"))
        self.runs.append(Run(attempt, method, path, body, remaining_ms))
        return await self._run(attempt, reader, writer)

    def _answer_health(self, writer: asyncio.StreamWriter) -> None:
        """Answers a health check."""
        self.health_checks += 1
        load = f"{self._running},0,{self._slots},{self.faults.pace}"
        header_fields = {
            "X-Instance-Id": self.identity,
            "X-Instance-Load": load,
        }
        writer.write(
            build_response(503 if self.faults.ill else 200, header_fields, b"")
        )

    async def _run(
        self,
        attempt: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Runs a request; returns False if the connection ends."""
        self._running += 1
        disconnect: asyncio.Task[Any] = asyncio.ensure_future(reader.read(1))
        try:
            seconds = (
                self.service_ms * self.faults.pace / BASELINE_PERCENT / 1000
            )
            done, _ = await asyncio.wait({disconnect}, timeout=seconds)
            if done:
                self.cancelled += 1
                return False
        finally:
            self._running -= 1
            disconnect.cancel()
            with contextlib.suppress(asyncio.CancelledError):
                await disconnect
        return self._answer(attempt, writer)

    def _answer(self, attempt: str, writer: asyncio.StreamWriter) -> bool:
        """Answers a request that ran; returns False if the connection ends."""
        faults = self.faults
        header_fields = {
            "X-Attempt-Id": attempt,
            "X-Response-Seal": f"seal-{attempt}",
        }
        if faults.crashing:
            self.crash()
            return False
        if faults.lost:
            reset(writer)
            return False
        if faults.unproven:
            del header_fields["X-Response-Seal"]
        data = build_response(
            500 if faults.failing else 200, header_fields, self.body
        )
        if faults.truncated:
            writer.write(data[:-1])
            writer.close()
            return False
        if faults.unframed or faults.reset_unframed:
            writer.write(
                build_response(200, header_fields, self.body, framed=False)
            )
            return self._end_unframed(writer)
        writer.write(data)
        if faults.extra:
            writer.write(data)
        return True

    def _end_unframed(self, writer: asyncio.StreamWriter) -> bool:
        """Ends an answer that has no length."""
        if self.faults.reset_unframed:
            reset(writer)
        else:
            writer.close()
        return False


def reset(writer: asyncio.StreamWriter) -> None:
    """Ends a connection by a reset, once what was written has left."""
    opened = writer.get_extra_info("socket")
    if opened is not None:
        opened.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def build_response(
    status: int, header_fields: dict[str, str], body: bytes, framed: bool = True
) -> bytes:
    """Returns the bytes of an answer."""
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in header_fields.items()]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""])
    return head.encode() + body
