"""Stand-in of a target that implements the platform's protocol.

It reads and writes HTTP/1.1 on a plain socket instead of using an HTTP library,
because it must also send invalid responses: duplicate, late, truncated or
without the proof that it ran the request. It records the requests that it ran.
"""

import asyncio
import collections
import contextlib
import dataclasses
import json
import re
import socket
import struct
import time
from typing import Any, Final

BASELINE_PERCENT: Final = 100
# SO_LINGER with a timeout of 0 s: closing the socket sends a reset.
LINGER_RESET: Final = struct.pack("ii", 1, 0)
# Arrivals that a target records; older ones are dropped.
MAX_ARRIVALS: Final = 20_000
HEALTH_PATH: Final = "/health"
STATUS_MISDIRECTED: Final = 421
FAULTS_PATH: Final = "/faults"
ARRIVALS_PATH: Final = "/arrivals"
ENDLESS_BLOCK: Final = bytes(65_536)


@dataclasses.dataclass(slots=True)
class TargetFaults:
    """Injected faults of a target.

    Attributes:
        pace: Service time in percent of the baseline; it is also reported in
            health checks.
        full: Refuses all requests as not run.
        ill: Reports in health checks that it is unhealthy.
        failing: Runs requests and responds with status 500.
        lost: Runs requests and resets the connection instead of responding.
        truncated: Closes the connection before the last byte of a response.
        unproven: Responds with status 200 but without the proof that it ran the
            request.
        extra: Sends each response twice.
        unframed: Sends responses without a length, which end with the
            connection.
        reset_unframed: Like `unframed`, but resets the connection at the end.
        mute: Reads requests, including health checks, and never responds.
        crashing: Crashes when it has run a request.
        leaving: States in all responses, also in those to health checks and in
            refusals, that it leaves; it keeps serving.
        declining_seconds: Refuses all requests as not run and states that it
            wants none for so many seconds, or None to accept requests. Health
            checks are answered as usual.
        repeating: Sends the last refusal on a connection once more before each
            response.
        unnamed: Leaves the identity of the attempt out of refusals.
        endless: Sends response bodies that never end.
        cold_seconds: Time for which the target reports to be cold, counted
            from the first health check or request after this value was set; 0
            if it is warm.
        cold_limit: Crashes if it gets more requests than this in a second while
            it is cold; 0 for no limit.
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
    leaving: bool = False
    declining_seconds: float | None = None
    repeating: bool = False
    unnamed: bool = False
    endless: bool = False
    cold_seconds: float = 0.0
    cold_limit: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Run:
    """One request that a target ran.

    Attributes:
        attempt: Identity of the caller's attempt.
        method: HTTP method.
        path: Path and query.
        body: Request body.
        remaining_ms: How long the caller still waits, in milliseconds, or 0 if
            the request does not state it.
        accounts: Values of the fields that state the account of the caller,
            also under names that a server may read as that of the account.
        has_credentials: True if the request has credentials of the caller.
        field_names: Names of the header fields, in order, as they arrived.
    """

    attempt: str
    method: str
    path: str
    body: bytes
    remaining_ms: int
    accounts: tuple[str, ...] = ()
    has_credentials: bool = False
    field_names: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class Arrival:
    """One request that reached a target, also one that it refused.

    Attributes:
        at: Time of the arrival, in seconds of the monotonic clock, which all
            processes of a machine share.
        attempt: Identity of the caller's attempt, or "" in a health check.
        path: Path and query.
        status: Status of a refusal, or 0 if the request was not refused.
    """

    at: float
    attempt: str
    path: str
    status: int


class PlatformTarget:
    """A target that can fail in the ways of `TargetFaults`.

    Attributes:
        identity: Identity of the target.
        faults: Faults that apply now.
        runs: Requests that it ran, in the order of their start.
        arrivals: Requests and health checks that reached it, the latest
            `MAX_ARRIVALS` of them.
        cancelled: Number of runs that were cancelled because the connection
            closed.
        health_checks: Number of health checks that it answered.
        service_ms: Baseline service time, in milliseconds.
        body: Body of its responses.
    """

    def __init__(self, identity: str, slots: int = 4) -> None:
        """Creates a target without faults that does not listen yet.

        Args:
            identity: Identity of the target.
            slots: Number of slots that it reports; it does not enforce them.
        """
        self.identity = identity
        self.faults = TargetFaults()
        self.runs: list[Run] = []
        self.arrivals: collections.deque[Arrival]
        self.arrivals = collections.deque(maxlen=MAX_ARRIVALS)
        self.cancelled = 0
        self.health_checks = 0
        self.service_ms = 5.0
        self.body = identity.encode()
        self._slots = slots
        # Cold time that the end belongs to.
        self._cold_seconds = 0.0
        self._cold_until = 0.0
        self._running = 0
        self._server: asyncio.Server | None = None
        self._open_writers: set[asyncio.StreamWriter] = set()
        self._refusals: dict[asyncio.StreamWriter, bytes] = {}

    async def start(self, address: str) -> None:
        """Starts to listen on host:port."""
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Stops the target in the same way as a crash."""
        self.crash()

    def crash(self) -> None:
        """Stops listening and resets all open connections."""
        if self._server is not None:
            self._server.close()
        for writer in list(self._open_writers):
            reset(writer)

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handles the requests of one connection."""
        self._open_writers.add(writer)
        try:
            with contextlib.suppress(OSError, asyncio.IncompleteReadError):
                while await self._serve_one(reader, writer):
                    pass
        finally:
            self._open_writers.discard(writer)
            self._refusals.pop(writer, None)
            writer.close()

    async def _serve_one(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> bool:
        """Handles one request; returns False if the connection ends."""
        head = await reader.readuntil(b"\r\n\r\n")
        start_line, *lines = head.decode().split("\r\n")
        method, path, _ = start_line.split(" ")
        fields = dict(line.split(": ", 1) for line in lines if line)
        fields = {name.lower(): value for name, value in fields.items()}
        body = await reader.readexactly(int(fields.get("content-length", "0")))
        if self.faults.mute:
            await reader.read()
            return False
        if path in (FAULTS_PATH, ARRIVALS_PATH):
            self._respond_control(path, body, writer)
            return True
        attempt = fields.get("x-attempt-id", "")
        status = 0 if path == HEALTH_PATH else self._find_refusal(fields)
        self.arrivals.append(Arrival(time.monotonic(), attempt, path, status))
        if path == HEALTH_PATH:
            self._respond_health(writer)
            return True
        if status:
            self._respond_refusal(status, attempt, writer)
            return True
        if self._is_overloaded_cold():
            self.crash()
            return False
        remaining_ms = int(fields.get("x-timeout-remaining", "0"))
        pairs = [line.split(": ", 1) for line in lines if line]
        self.runs.append(
            Run(
                attempt,
                method,
                path,
                body,
                remaining_ms,
                tuple(value for name, value in pairs if states_account(name)),
                "authorization" in fields,
                tuple(name for name, _ in pairs),
            )
        )
        return await self._run(attempt, reader, writer)

    def _respond_control(
        self, path: str, body: bytes, writer: asyncio.StreamWriter
    ) -> None:
        """Sets the faults, or returns the arrivals, as a test asked."""
        data = b""
        if path == FAULTS_PATH:
            self.faults = dataclasses.replace(self.faults, **json.loads(body))
        else:
            rows = [dataclasses.asdict(arrival) for arrival in self.arrivals]
            data = json.dumps(rows).encode()
        writer.write(build_response(200, {}, data))

    def _find_refusal(self, fields: dict[str, str]) -> int:
        """Returns the status of the refusal of a request, or 0 to run it."""
        faults = self.faults
        if fields.get("x-target-instance", self.identity) != self.identity:
            return STATUS_MISDIRECTED
        declines = faults.full or faults.declining_seconds is not None
        if declines or not fields.get("x-attempt-id"):
            return 503
        return 0

    def _respond_refusal(
        self, status: int, attempt: str, writer: asyncio.StreamWriter
    ) -> None:
        """Responds to a request that does not run."""
        header_fields = {"X-Not-Executed": "1", "X-Attempt-Id": attempt}
        seconds = self.faults.declining_seconds
        if status == 503 and seconds is not None:
            header_fields["Retry-After"] = str(seconds)
        if self.faults.unnamed:
            del header_fields["X-Attempt-Id"]
        self._repeat_refusal(writer)
        refusal = self._build_response(status, header_fields, b"")
        self._refusals[writer] = refusal
        writer.write(refusal)

    def _build_response(
        self,
        status: int,
        header_fields: dict[str, str],
        body: bytes,
        framed: bool = True,
    ) -> bytes:
        """Returns a response that states whether the target leaves."""
        if self.faults.leaving:
            header_fields = header_fields | {"Server-Leaving": "1"}
        return build_response(status, header_fields, body, framed)

    def _repeat_refusal(self, writer: asyncio.StreamWriter) -> None:
        """Sends the last refusal on a connection again, as a fault."""
        if self.faults.repeating:
            writer.write(self._refusals.get(writer, b""))

    def _respond_health(self, writer: asyncio.StreamWriter) -> None:
        """Responds to a health check with the load and the health."""
        self.health_checks += 1
        self._repeat_refusal(writer)
        load = f"{self._running},0,{self._slots},{self.faults.pace}"
        header_fields = {
            "X-Instance-Id": self.identity,
            "X-Instance-Load": load,
        }
        cold_ms = self._find_cold_ms()
        if cold_ms > 0:
            header_fields["X-Cold-Remaining"] = str(cold_ms)
        status = 503 if self.faults.ill else 200
        writer.write(self._build_response(status, header_fields, b""))

    def _find_cold_ms(self) -> int:
        """Returns how long the target stays cold, in milliseconds."""
        if self._cold_seconds != self.faults.cold_seconds:
            self._cold_seconds = self.faults.cold_seconds
            self._cold_until = time.monotonic() + self._cold_seconds
        if not self._cold_seconds:
            return 0
        return max(0, round((self._cold_until - time.monotonic()) * 1000))

    def _is_overloaded_cold(self) -> bool:
        """Returns True if the target is cold and got too many requests."""
        limit = self.faults.cold_limit
        if not limit or not self._find_cold_ms():
            return False
        since = time.monotonic() - 1.0
        recent = [
            arrival
            for arrival in self.arrivals
            if arrival.at > since
            and arrival.path != HEALTH_PATH
            and arrival.status != STATUS_MISDIRECTED
        ]
        return len(recent) > limit

    async def _run(
        self,
        attempt: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Runs a request; returns False if the connection ends.

        A run is cancelled as soon as the connection closes.
        """
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
        self._repeat_refusal(writer)
        if self.faults.endless:
            await self._respond_endlessly(attempt, writer)
        return self._respond(attempt, writer)

    def _respond(self, attempt: str, writer: asyncio.StreamWriter) -> bool:
        """Responds to a request that ran.

        Returns False if the connection ends.
        """
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
        data = self._build_response(
            500 if faults.failing else 200, header_fields, self.body
        )
        if faults.truncated:
            writer.write(data[:-1])
            writer.close()
            return False
        if faults.unframed or faults.reset_unframed:
            data = self._build_response(200, header_fields, self.body, False)
            writer.write(data)
            return self._end_unframed(writer)
        writer.write(data)
        if faults.extra:
            writer.write(data)
        return True

    async def _respond_endlessly(
        self, attempt: str, writer: asyncio.StreamWriter
    ) -> None:
        """Sends a body without a length until the connection closes.

        Raises:
            OSError: When it has closed.
        """
        header_fields = {
            "X-Attempt-Id": attempt,
            "X-Response-Seal": f"seal-{attempt}",
        }
        writer.write(build_response(200, header_fields, b"", framed=False))
        while True:
            writer.write(ENDLESS_BLOCK)
            await writer.drain()

    def _end_unframed(self, writer: asyncio.StreamWriter) -> bool:
        """Ends a response without a length; returns False."""
        if self.faults.reset_unframed:
            reset(writer)
        else:
            writer.close()
        return False


def states_account(name: str) -> bool:
    """Returns True if a server may read a field as that of the account.

    Some servers replace special characters in the names of fields.
    """
    return re.sub("[^a-z0-9]", "-", name.lower()) == "x-tenant"


def reset(writer: asyncio.StreamWriter) -> None:
    """Resets a connection; data that is still buffered is discarded.

    The socket of a connection that has ended is closed already.
    """
    connection = writer.get_extra_info("socket")
    if connection is not None and connection.fileno() >= 0:
        connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, LINGER_RESET)
    writer.transport.abort()


def build_response(
    status: int, header_fields: dict[str, str], body: bytes, framed: bool = True
) -> bytes:
    """Returns the bytes of a response.

    Args:
        status: HTTP status.
        header_fields: Header fields except Content-Length.
        body: Response body.
        framed: False to leave out Content-Length.
    """
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in header_fields.items()]
    if framed:
        lines.append(f"Content-Length: {len(body)}")
    head = "\r\n".join([*lines, "", ""])
    return head.encode() + body
