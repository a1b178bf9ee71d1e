"""Asks the health endpoint of a target, and reads a bounded part of its answer.

Each probe has a connection of its own with a small receive buffer, so that a
target cannot send much more than what is read.
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

PATH: Final = "/health"
TIMEOUT_SECONDS: Final = 1.0
# With the request, the line and fields below these stay within a probe.
MAX_BODY_BYTES: Final = 512
MAX_LINE_BYTES: Final = 200
MAX_HEADER_FIELDS: Final = 16
RECEIVE_BUFFER_BYTES: Final = 2048
NOT_FOUND_STATUS: Final = 404
OK_STATUS: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class HealthResponse:
    """What came of one probe.

    Attributes:
        state: What it showed, or None if the target has no health endpoint
            or nothing was sent.
        size_bytes: Bytes of the request and of what was read of the answer.
    """

    state: probe_messages.ProbeState | None
    size_bytes: int


def _create_socket(address: Any) -> socket.socket:
    """Returns a socket that accepts little more than is read from it."""
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(
        socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES
    )
    return created


@dataclasses.dataclass(slots=True)
class ProbeAttempt:
    """A probe on its way.

    Attributes:
        target: Address to ask.
        may_send: Returns True if the probe may leave.
        is_sent: True once its connection is open.
    """

    target: str
    may_send: Callable[[], bool]
    is_sent: bool = False


async def _check_connect(
    _: aiohttp.ClientSession, context: SimpleNamespace, __: Any
) -> None:
    """Ends a probe that may not open its connection any more.

    Raises:
        ProbeExpiredError: If it may not.
    """
    attempt: ProbeAttempt = context.trace_request_ctx
    if not attempt.may_send():
        raise errors.ProbeExpiredError(attempt.target)


async def _check_send(
    session: aiohttp.ClientSession, context: SimpleNamespace, params: Any
) -> None:
    """Ends a probe that may not be sent any more.

    Raises:
        ProbeExpiredError: If it may not.
    """
    await _check_connect(session, context, params)
    context.trace_request_ctx.is_sent = True


def build_session() -> aiohttp.ClientSession:
    """Returns the HTTP client for probes; its caller closes it."""
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
    """Returns what the health endpoint of a target shows.

    Args:
        session: HTTP client for probes.
        target: host:port.
        may_send: Returns True if the probe may leave; asked right before.
    """
    attempt = ProbeAttempt(target, may_send)
    try:
        return await _send_probe(session, attempt)
    except errors.ProbeExpiredError:
        return HealthResponse(None, 0)
    except aiohttp.ClientResponseError:
        return HealthResponse(None, probe_budget.MAX_PROBE_BYTES)
    except (aiohttp.ClientError, OSError, TimeoutError):
        # How much came of an answer that broke off is not known.
        size = probe_budget.MAX_PROBE_BYTES if attempt.is_sent else 0
        return HealthResponse(probe_messages.ProbeState.FAILING, size)


async def _send_probe(
    session: aiohttp.ClientSession, attempt: ProbeAttempt
) -> HealthResponse:
    """Sends one probe.

    Raises:
        ProbeExpiredError: If it may not leave any more.
        aiohttp.ClientError: If no proper answer came.
        OSError: If the connection failed.
        TimeoutError: If the answer was not whole in time.
    """
    url = yarl.URL(f"http://{attempt.target}{PATH}")
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
            f"GET {PATH} HTTP/1.1\r\nHost: {attempt.target}\r\n\r\n"
        )
        return HealthResponse(
            state, request_bytes + _count_header_bytes(response) + len(body)
        )


def _count_header_bytes(response: aiohttp.ClientResponse) -> int:
    """Returns the bytes of the status line and fields of an answer."""
    line = len(f"HTTP/1.1 {response.status} {response.reason}\r\n\r\n")
    fields = response.raw_headers
    return line + sum(len(name) + len(value) + 4 for name, value in fields)


def _parse_state(status: int, body: bytes) -> probe_messages.ProbeState | None:
    """Returns what an answer says; a plain 200 says that all is well."""
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
