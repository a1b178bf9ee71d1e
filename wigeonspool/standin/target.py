"""Stand-in of targets with slots, service times, faults and a record of runs.

One process serves many targets, each on its own port. Every run of a request is
recorded, so that a checker can compare the runs with the responses that callers
got.
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

# Socket option of Linux, which the socket module does not define.
SO_ATTACH_FILTER: Final = 26
MAX_HEALTH_STATES: Final = 1024
CHUNK_BYTES: Final = 64 * 1024
# Estimate for the request line of a probe and for the status line and header
# fields of its response. The header fields of the probe and the body of the
# response are counted exactly.
ESTIMATED_HEAD_BYTES: Final = 200
CALLER_FIELD: Final = "Wigeonspool-Caller"
REQUEST_FIELD: Final = "Wigeonspool-Request"
KEY_FIELD: Final = "Idempotency-Key"
REMAINING_MS_FIELD: Final = "Wigeonspool-Remaining-Ms"


@dataclasses.dataclass(slots=True)
class Faults:
    """Faults that a target injects, and the states that an operator sets.

    Attributes:
        slow: Factor by which service times are multiplied.
        draining: The target reports that it is draining, in responses and at
            the health endpoint, and refuses every request as not run.
        failing: Every request fails immediately with 500.
        shedding: Every request is refused as not run.
        silent: When this is set, this fraction of the open connections becomes
            unresponsive for good: the kernel drops all data that arrives on
            them. Connections that are opened later work.
        stalled: No request gets a response, on any connection; the health
            endpoint still responds.
        health: Body of each health response in place of the true state; "" to
            report the true state.
        health_lag_seconds: Age of the state that the health endpoint reports,
            in seconds.
        connect_ms: Delay of the first response on a new connection, in
            milliseconds.
        cold_until: Until this time on the monotonic clock, service times are
            5 times longer.
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
    """One request that a target started to run.

    Attributes:
        target: Address of the target.
        request: ID of the request, from its header fields, or "".
        caller: Name of the caller, from its header fields, or "".
        key: Idempotency key, or "".
        path: Path of the request.
        started_at: When its body had arrived, on the wall clock in seconds; it
            may then have waited for a slot.
        ended_at: When it ended, on the wall clock in seconds; 0 while it runs.
        ending: "answered" or "cancelled"; "" while it runs, or if sending a
            large response failed.
        body_bytes: Length of the request body.
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
        at: When it was received, on the wall clock in seconds.
        size_bytes: Bytes of the request and of the response, in part estimated.
    """

    target: str
    at: float
    size_bytes: int


@dataclasses.dataclass(frozen=True, slots=True)
class PathServiceTime:
    """Service time of requests under a path prefix.

    Attributes:
        prefix: Prefix of the path.
        service_ms: Mean service time, in milliseconds.
    """

    prefix: str
    service_ms: float


def drop_incoming_packets(connection: Any) -> None:
    """Makes the kernel drop all packets that arrive on a connection.

    To the peer this looks like a middlebox that has lost the state of the
    connection: nothing is acknowledged any more.
    """
    # A packet filter of one instruction, which accepts 0 bytes of each packet.
    drop_all = ctypes.create_string_buffer(struct.pack("HBBI", 0x06, 0, 0, 0))
    program = struct.pack("HL", 1, ctypes.addressof(drop_all))
    connection.setsockopt(socket.SOL_SOCKET, SO_ATTACH_FILTER, program)


async def _read_body(request: web.BaseRequest) -> tuple[bytes, int]:
    """Returns the first `CHUNK_BYTES` of a body and its total size in bytes."""
    beginning = b""
    size = 0
    async for chunk in request.content.iter_any():
        beginning += chunk[: CHUNK_BYTES - len(beginning)]
        size += len(chunk)
    return beginning, size


class TargetStandin:
    """A target that sleeps for the service time and echoes the request body."""

    def __init__(
        self,
        address: str,
        slots: int,
        service_times: list[PathServiceTime],
        seed: int,
    ) -> None:
        """Starts without faults. The caller opens the port and uses `serve`.

        Args:
            address: host:port of the target.
            slots: Requests that the target runs concurrently.
            service_times: Service times by path prefix; the first prefix that
                matches is used.
            seed: Seed of the random variation of service times.
        """
        self.address = address
        self.faults = Faults()
        self.runs: list[Run] = []
        self.probes: list[Probe] = []
        self.crashed = False
        self._service_times = service_times
        self._slots = asyncio.Semaphore(slots)
        self._in_flight = 0
        self._transports: weakref.WeakSet[Any] = weakref.WeakSet()
        self._random = random.Random(seed)
        self._health_states: collections.deque[tuple[float, dict[str, Any]]]
        self._health_states = collections.deque(maxlen=MAX_HEALTH_STATES)
        self._record_health_state()

    def set_faults(self, **changed: Any) -> None:
        """Changes the given faults; the others stay as they are."""
        self.faults = dataclasses.replace(self.faults, **changed)
        self._record_health_state()
        if "silent" in changed:
            self._drop_incoming()

    def _drop_incoming(self) -> None:
        """Makes a fraction of the open connections unresponsive."""
        opened = [t for t in self._transports if not t.is_closing()]
        for transport in opened[: round(len(opened) * self.faults.silent)]:
            drop_incoming_packets(transport.get_extra_info("socket"))

    def _draw_service_seconds(self, path: str) -> float:
        """Returns a random service time of a request, in seconds."""
        for service_time in self._service_times:
            if path.startswith(service_time.prefix):
                mean = service_time.service_ms / 1000
                break
        else:
            mean = 0.005
        seconds = mean * self._random.uniform(0.8, 1.2) * self.faults.slow
        if time.monotonic() < self.faults.cold_until:
            seconds *= 5
        return seconds

    async def serve(self, request: web.BaseRequest) -> web.StreamResponse:
        """Serves one request, subject to the faults."""
        if request.path == "/health":
            return self._serve_health(request)
        if request.transport not in self._transports:
            self._transports.add(request.transport)
            await asyncio.sleep(self.faults.connect_ms / 1000)
        if self.faults.stalled:
            await asyncio.sleep(3600)
        if self.faults.failing:
            return web.Response(status=500)
        if self.faults.shedding or self.faults.draining:
            return self._refuse()
        body, size = await _read_body(request)
        if b"crash-target" in body or "crash-target" in request.query:
            self._crash(request)
        run = Run(
            self.address,
            request.headers.get(REQUEST_FIELD, ""),
            request.headers.get(CALLER_FIELD, ""),
            request.headers.get(KEY_FIELD, ""),
            request.path,
            time.time(),
            body_bytes=size,
        )
        self._in_flight += 1
        self._record_health_state()
        try:
            return await self._run(request, run, body)
        except asyncio.CancelledError:
            run.ending = "cancelled"
            raise
        finally:
            self._in_flight -= 1
            self._record_health_state()
            run.ended_at = time.time()

    async def _run(
        self, request: web.BaseRequest, run: Run, body: bytes
    ) -> web.StreamResponse:
        """Runs one request in a slot.

        Refuses the request if its deadline passed before a slot was free.
        """
        remaining_ms = request.headers.get(REMAINING_MS_FIELD)
        deadline = (
            time.monotonic() + int(remaining_ms) / 1000
            if remaining_ms
            else None
        )
        async with self._slots:
            if deadline is not None and time.monotonic() >= deadline:
                return self._refuse()
            self.runs.append(run)
            await asyncio.sleep(self._draw_service_seconds(request.path))
            size = int(request.query.get("bytes", 0))
            if size:
                return await self._send_large_response(request, run, size)
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
            headers=self._build_header_fields(),
        )

    async def _send_large_response(
        self, request: web.BaseRequest, run: Run, size: int
    ) -> web.StreamResponse:
        """Sends a response of a given length in chunks."""
        response = web.StreamResponse(headers=self._build_header_fields())
        response.content_length = size
        await response.prepare(request)
        chunk = b"x" * CHUNK_BYTES
        while size > 0:
            await response.write(chunk[:size])
            size -= CHUNK_BYTES
        await response.write_eof()
        run.ending = "answered"
        return response

    def _build_header_fields(self) -> dict[str, str]:
        """Returns the header fields that report load and draining."""
        fields = {
            "endpoint-load-metrics": "JSON "
            + json.dumps({"named_metrics": {"in_flight": self._in_flight}})
        }
        if self.faults.draining:
            fields["Wigeonspool-Draining"] = "1"
        return fields

    def _refuse(self) -> web.Response:
        """Returns the response that refuses a request as not run."""
        fields = self._build_header_fields() | {
            "Wigeonspool-Outcome": "not_run"
        }
        return web.Response(status=503, headers=fields)

    def _crash(self, request: web.BaseRequest) -> None:
        """Aborts this connection; the target group then closes the port.

        Raises:
            CancelledError: Always, to end the handler of the request.
        """
        self.crashed = True
        assert request.transport is not None
        request.transport.abort()
        raise asyncio.CancelledError

    def _record_health_state(self) -> None:
        """Records the current state, so that the health endpoint can lag."""
        state = "draining" if self.faults.draining else "ok"
        document = {"state": state, "in_flight": self._in_flight}
        self._health_states.append((time.monotonic(), document))

    def _serve_health(self, request: web.BaseRequest) -> web.Response:
        """Serves the health endpoint and records the probe."""
        response = self._build_health()
        body = response.body if isinstance(response.body, bytes) else b""
        size = len(body) + ESTIMATED_HEAD_BYTES
        size += sum(len(n) + len(v) + 4 for n, v in request.raw_headers)
        self.probes.append(Probe(self.address, time.time(), size))
        return response

    def _build_health(self) -> web.Response:
        """Returns the health response, which faults can falsify or make old."""
        if self.faults.health:
            return web.Response(text=self.faults.health)
        reported_at = time.monotonic() - self.faults.health_lag_seconds
        document = self._health_states[0][1]
        for recorded_at, state in self._health_states:
            if recorded_at <= reported_at:
                document = state
        return web.Response(
            body=json.dumps(document).encode(),
            content_type="application/json",
        )
