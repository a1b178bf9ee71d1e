"""Health probes: requests to the health endpoint of a target.

Each probe uses a new connection with a small receive buffer and reads a limited
part of the response, so that a target cannot send much more than is read.
"""

import asyncio
from collections.abc import Callable
import dataclasses
import json
import socket
from types import SimpleNamespace
from typing import Any, Final

import aiohttp
import yarl

from wigeonspool.core import probe_budget
from wigeonspool.model import errors
from wigeonspool.model import probe_messages

HEALTH_PATH: Final = "/health"
TIMEOUT_SECONDS: Final = 1.0
# With these limits, a request and its response stay below MAX_PROBE_BYTES.
MAX_BODY_BYTES: Final = 512
MAX_LINE_BYTES: Final = 200
MAX_HEADER_FIELDS: Final = 16
RECEIVE_BUFFER_BYTES: Final = 2048
NOT_FOUND_STATUS: Final = 404
OK_STATUS: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class HealthResponse:
    """The result of one probe.

    Attributes:
        state: State that the target reported; FAILING also if the connection
            failed or the response was not complete in time. None if the target
            has no health endpoint, its response was malformed, or the probe
            was cancelled before it was sent.
        size_bytes: Bytes of the request and of the part of the response that
            was read.
    """

    state: probe_messages.ProbeState | None
    size_bytes: int


def _create_socket(address: Any) -> socket.socket:
    """Returns a socket whose small receive buffer limits what is received."""
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    return created


@dataclasses.dataclass(slots=True)
class ProbeAttempt:
    """A probe that is being sent.

    Attributes:
        target: Address of the target.
        may_send: Returns True if the probe may still be sent.
        is_sent: True once its connection is open.
    """

    target: str
    may_send: Callable[[], bool]
    is_sent: bool = False


async def _check_connect(
    _: aiohttp.ClientSession, context: SimpleNamespace, __: Any
) -> None:
    """Cancels a probe that may no longer open its connection.

    Raises:
        ProbeExpiredError: If the probe may no longer be sent.
    """
    attempt: ProbeAttempt = context.trace_request_ctx
    if not attempt.may_send():
        raise errors.ProbeExpiredError(attempt.target)


async def _check_send(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: Any
) -> None:
    """Cancels a probe that may no longer be sent, or marks it as sent.

    Raises:
        ProbeExpiredError: If the probe may no longer be sent.
    """
    await _check_connect(session, context, params)
    context.trace_request_ctx.is_sent = True


def build_session() -> aiohttp.ClientSession:
    """Returns an HTTP client for probes, which the caller must close."""
    trace = aiohttp.TraceConfig()
    trace.on_connection_create_start.append(_check_connect)
    trace.on_connection_create_end.append(_check_send)
    return aiohttp.ClientSession(
        connector=aiohttp.TCPConnector(
            force_close=True, limit=0, socket_factory=_create_socket
        ),
        timeout=aiohttp.ClientTimeout(total=TIMEOUT_SECONDS),
        trace_configs=[trace],
        auto_decompress=False,
        read_bufsize=MAX_BODY_BYTES,
        max_line_size=MAX_LINE_BYTES,
        max_field_size=MAX_LINE_BYTES,
        max_headers=MAX_HEADER_FIELDS,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
    )


async def probe_health(
    session: aiohttp.ClientSession, target: str, may_send: Callable[[], bool]
) -> HealthResponse:
    """Probes a target; returns its state and the bytes to charge.

    Args:
        session: HTTP client for probes.
        target: host:port of the target.
        may_send: Returns True if the probe may still be sent; called right
            before connecting and before sending.
    """
    attempt = ProbeAttempt(target, may_send)
    try:
        return await _send_probe(session, attempt)
    except errors.ProbeExpiredError:
        return HealthResponse(None, 0)
    except aiohttp.ClientResponseError:
        return HealthResponse(None, probe_budget.MAX_PROBE_BYTES)
    except (aiohttp.ClientError, OSError, TimeoutError):
        # It is unknown how much of a truncated response was received, so the
        # maximum is charged.
        size = probe_budget.MAX_PROBE_BYTES if attempt.is_sent else 0
        return HealthResponse(probe_messages.ProbeState.FAILING, size)


async def _send_probe(
    session: aiohttp.ClientSession, attempt: ProbeAttempt
) -> HealthResponse:
    """Sends one probe and reads its response.

    Raises:
        ProbeExpiredError: If the probe may no longer be sent.
        aiohttp.ClientError: If there was no valid response.
        OSError: If the connection failed.
        TimeoutError: If the response was not complete within the timeout.
    """
    url = yarl.URL(f"http://{attempt.target}{HEALTH_PATH}")
    async with session.get(
        url, allow_redirects=False, trace_request_ctx=attempt
    ) as response:
        try:
            body = await response.content.readexactly(MAX_BODY_BYTES)
        except asyncio.IncompleteReadError as error:
            body = error.partial
        state = _parse_state(response.status, body)
        if len(body) == MAX_BODY_BYTES:
            return HealthResponse(state, probe_budget.MAX_PROBE_BYTES)
        request_bytes = len(
            f"GET {HEALTH_PATH} HTTP/1.1\r\nHost: {attempt.target}\r\n\r\n"
        )
        return HealthResponse(
            state, request_bytes + _count_header_bytes(response) + len(body)
        )


def _count_header_bytes(response: aiohttp.ClientResponse) -> int:
    """Returns the bytes of the status line and header fields."""
    line = len(f"HTTP/1.1 {response.status} {response.reason}\r\n\r\n")
    fields = response.raw_headers
    return line + sum(len(name) + len(value) + 4 for name, value in fields)


def _parse_state(status: int, body: bytes) -> probe_messages.ProbeState | None:
    """Returns the state in a response, or None without a health endpoint.

    The body is JSON with a "state" member, or the plain state. A response with
    status 200 and no known state means OK. Status 404 means that the target
    has no health endpoint, and any other status means FAILING.

    Args:
        status: HTTP status.
        body: Start of the response body.
    """
    if status == NOT_FOUND_STATUS:
        return None
    if status != OK_STATUS:
        return probe_messages.ProbeState.FAILING
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        document = body.decode("latin-1").strip()
    state_text = (
        document.get("state") if isinstance(document, dict) else document
    )
    try:
        return probe_messages.ProbeState(str(state_text))
    except ValueError:
        return probe_messages.ProbeState.OK
