"""Stand-in of targets: slots, service times, faults and a log of runs.

One process serves many targets, each on a port of its own. Every run is
written down, so that a checker can compare it with what callers saw.
"""

import asyncio
import collections
import ctypes
import dataclasses
import json
import random
import socket
import struct
import time
from typing import Any, Final
import weakref

from aiohttp import web

SO_ATTACH_FILTER: Final = 26
KEPT_READINGS: Final = 1024
CHUNK_BYTES: Final = 64 * 1024
# The first lines of a probe and of its answer, and the answer's fields.
HEAD_BYTES: Final = 200
CALLER: Final = "Wigeonspool-Caller"
REQUEST: Final = "Wigeonspool-Request"
KEY: Final = "Idempotency-Key"
REMAINING_MS: Final = "Wigeonspool-Remaining-Ms"


@dataclasses.dataclass(slots=True)
class Faults:
    """What a target does wrong on purpose, or by the operator's wish.

    Attributes:
        slow: Service times are multiplied by this.
        draining: It says so on answers and refuses new connections' work.
        failing: Every request fails at once with 500.
        shedding: Every request is refused as not run.
        silent: Setting it makes this share of the connections that are open
            then silent for good: what comes in on them is dropped unseen.
            New ones work.
        stalled: No request is answered, on any connection.
        health: What the health endpoint claims, if it is not the truth.
        health_lag_seconds: Age of what the health endpoint shows.
        connect_ms: Time that a new connection needs before its first answer.
        cold_until: Until this time on the monotonic clock it is 5 x slower.
    """

    slow: float = 1.0
    draining: bool = False
    failing: bool = False
    shedding: bool = False
    silent: float = 0.0
    stalled: bool = False
    health: str = ""
    health_lag_seconds: float = 0.0
    connect_ms: float = 0.0
    cold_until: float = 0.0


@dataclasses.dataclass(slots=True)
class Run:
    """One request that a target began.

    Attributes:
        target: Address of the target.
        request: Identity that the request carried.
        caller: Caller that it named.
        key: Its idempotency key, or "".
        path: Its path.
        started_at: Wall clock, in seconds.
        ended_at: Wall clock, or 0 while it runs.
        ending: "answered", "cancelled", "failed" or "".
        body_bytes: Length of its body.
    """

    target: str
    request: str
    caller: str
    key: str
    path: str
    started_at: float
    ended_at: float = 0.0
    ending: str = ""
    body_bytes: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class Probe:
    """One request to the health endpoint.

    Attributes:
        target: Address of the target.
        at: Wall clock, in seconds.
        size_bytes: Bytes of the request and of the answer.
    """

    target: str
    at: float
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """How long requests under a path prefix take.

    Attributes:
        prefix: Prefix of the path.
        service_ms: Mean service time.
    """

    prefix: str
    service_ms: float


def drop_incoming(connection: Any) -> None:
    """Makes the kernel drop all that arrives on a connection, unseen.

    To the other end it looks as if something between them had lost track of
    the connection: nothing is acknowledged any more.
    """
    drop_all = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(drop_all))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


async def _read_body(request: web.BaseRequest) -> tuple[bytes, int]:
    """Returns the first part of a body, and its whole length in bytes."""
    head = b""
    size = 0
    async for part in request.content.iter_any():
        head += part[: CHUNK_BYTES - len(head)]
        size += len(part)
    return head, size


class TargetStandin:
    """One target."""

    def __init__(
        self, address: str, slots: int, works: list[Work], seed: int
    ) -> None:
        """Prepares the target.

        Args:
            address: host:port that it serves.
            slots: Requests that it runs at once.
            works: Service times by path prefix.
            seed: Seed of its service times.
        """
        self.address = address
        self.faults = Faults()
        self.runs: list[Run] = []
        self.probes: list[Probe] = []
        self.crashed = False
        self._works = works
        self._slots = asyncio.Semaphore(slots)
        self._in_flight = 0
        self._transports: weakref.WeakSet[Any] = weakref.WeakSet()
        self._random = random.Random(seed)
        self._readings: collections.deque[tuple[float, dict[str, Any]]]
        self._readings = collections.deque(maxlen=KEPT_READINGS)
        self._record_health()

    def set_faults(self, **changed: Any) -> None:
        """Changes some faults by name."""
        self.faults = dataclasses.replace(self.faults, **changed)
        self._record_health()
        if "silent" in changed:
            self._silence_connections()

    def _silence_connections(self) -> None:
        """Makes a share of the open connections silent."""
        opened = [t for t in self._transports if not t.is_closing()]
        for transport in opened[: round(len(opened) * self.faults.silent)]:
            drop_incoming(transport.get_extra_info("socket"))

    def _find_service_seconds(self, path: str) -> float:
        """Returns the service time of a request."""
        for work in self._works:
            if path.startswith(work.prefix):
                mean = work.service_ms / 1000
                break
        else:
            mean = 0.005
        seconds = mean * self._random.uniform(0.8, 1.2) * self.faults.slow
        if time.monotonic() < self.faults.cold_until:
            seconds *= 5
        return seconds

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Answers one request."""
        if request.path == "/health":
            return self._show_health(request)
        if request.transport not in self._transports:
            self._transports.add(request.transport)
            await asyncio.sleep(self.faults.connect_ms / 1000)
        if self.faults.stalled:
            await asyncio.sleep(3600)
        if self.faults.failing:
            return web.Response(status=500)
        if self.faults.shedding or self.faults.draining:
            return self._shed()
        body, size = await _read_body(request)
        if b"crash-target" in body or "crash-target" in request.query:
            self._crash(request)
        run = Run(
            self.address,
            request.headers.get(REQUEST, ""),
            request.headers.get(CALLER, ""),
            request.headers.get(KEY, ""),
            request.path,
            time.time(),
            body_bytes=size,
        )
        self._in_flight += 1
        self._record_health()
        try:
            return await self._run(request, run, body)
        except asyncio.CancelledError:
            run.ending = "cancelled"
            raise
        finally:
            self._in_flight -= 1
            self._record_health()
            run.ended_at = time.time()

    async def _run(
        self, request: web.BaseRequest, run: Run, body: bytes
    ) -> web.StreamResponse:
        """Runs one request in a slot."""
        limit = request.headers.get(REMAINING_MS)
        deadline = time.monotonic() + int(limit) / 1000 if limit else None
        async with self._slots:
            if deadline is not None and time.monotonic() >= deadline:
                return self._shed()
            self.runs.append(run)
            await asyncio.sleep(self._find_service_seconds(request.path))
            size = int(request.query.get("bytes", 0))
            if size:
                return await self._send_export(request, run, size)
            run.ending = "answered"
        document = {
            "caller": run.caller,
            "request": run.request,
            "key": run.key,
            "target": self.address,
            "echo": body.decode("utf-8", "replace"),
            "body_bytes": run.body_bytes,
        }
        return web.Response(
            body=json.dumps(document).encode(),
            content_type="application/json",
            headers=self._build_fields(),
        )

    async def _send_export(
        self, request: web.BaseRequest, run: Run, size: int
    ) -> web.StreamResponse:
        """Sends a long answer in chunks."""
        response = web.StreamResponse(headers=self._build_fields())
        response.content_length = size
        await response.prepare(request)
        chunk = b"x" * CHUNK_BYTES
        while size > 0:
            await response.write(chunk[:size])
            size -= CHUNK_BYTES
        await response.write_eof()
        run.ending = "answered"
        return response

    def _build_fields(self) -> dict[str, str]:
        """Returns the fields that each answer carries."""
        fields = {
            "endpoint-load-metrics": "JSON "
            + json.dumps({"named_metrics": {"in_flight": self._in_flight}})
        }
        if self.faults.draining:
            fields["Wigeonspool-Draining"] = "1"
        return fields

    def _shed(self) -> web.Response:
        """Refuses a request that was not run."""
        fields = self._build_fields() | {"Wigeonspool-Outcome": "not_run"}
        return web.Response(status=503, headers=fields)

    def _crash(self, request: web.BaseRequest) -> None:
        """Drops this connection and refuses all later ones."""
        self.crashed = True
        assert request.transport is not None
        request.transport.abort()
        raise asyncio.CancelledError

    def _record_health(self) -> None:
        """Keeps a reading, so that the health endpoint can lag."""
        state = "draining" if self.faults.draining else "ok"
        reading = {"state": state, "in_flight": self._in_flight}
        self._readings.append((time.monotonic(), reading))

    def _show_health(self, request: web.BaseRequest) -> web.Response:
        """Answers the health endpoint and writes that down."""
        response = self._build_health()
        body = response.body if isinstance(response.body, bytes) else b""
        size = len(body) + HEAD_BYTES
        size += sum(len(n) + len(v) + 4 for n, v in request.raw_headers)
        self.probes.append(Probe(self.address, time.time(), size))
        return response

    def _build_health(self) -> web.Response:
        """Returns what the health endpoint shows, which may mislead."""
        if self.faults.health:
            return web.Response(text=self.faults.health)
        shown_at = time.monotonic() - self.faults.health_lag_seconds
        document = self._readings[0][1]
        for read_at, reading in self._readings:
            if read_at <= shown_at:
                document = reading
        return web.Response(
            body=json.dumps(document).encode(),
            content_type="application/json",
        )
