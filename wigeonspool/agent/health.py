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

from wigeonspool.core import measuring
from wigeonspool.model import errors
from wigeonspool.model import measurements

PATH: Final = "/health"
TIMEOUT_SECONDS: Final = 1.0
# With the request, the line and fields below these stay within a probe.
MAX_BODY_BYTES: Final = 512
MAX_LINE_BYTES: Final = 200
MAX_FIELDS: Final = 16
BUFFER_BYTES: Final = 2048
NOT_FOUND_STATUS: Final = 404
OK_STATUS: Final = 200


@dataclasses.dataclass(frozen=True, slots=True)
class HealthAnswer:
    """What came of one probe.

    Attributes:
        state: What it showed, or None if the target has no health endpoint
            or nothing was sent.
        size: Bytes of the request and of what was read of the answer.
    """

    state: measurements.ProbeState | None
    size: int


def _create_socket(address: Any) -> socket.socket:
    """Returns a socket that accepts little more than is read from it."""
    family, kind, protocol, _, _ = address
    created = socket.socket(family, kind, protocol)
    created.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, BUFFER_BYTES)
    return created


@dataclasses.dataclass(slots=True)
class Attempt:
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
    attempt: Attempt = context.trace_request_ctx
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
        max_headers=MAX_FIELDS,
        skip_auto_headers=("Accept", "Accept-Encoding", "User-Agent"),
    )


async def ask_health(
    session: aiohttp.ClientSession, target: str, may_send: Callable[[], bool]
) -> HealthAnswer:
    """Returns what the health endpoint of a target shows.

    Args:
        session: HTTP client for probes.
        target: host:port.
        may_send: Returns True if the probe may leave; asked right before.
    """
    attempt = Attempt(target, may_send)
    try:
        return await _ask(session, attempt)
    except errors.ProbeExpiredError:
        return HealthAnswer(None, 0)
    except aiohttp.ClientResponseError:
        return HealthAnswer(None, measuring.MAX_PROBE_BYTES)
    except (aiohttp.ClientError, OSError, TimeoutError):
        # How much came of an answer that broke off is not known.
        size = measuring.MAX_PROBE_BYTES if attempt.is_sent else 0
        return HealthAnswer(measurements.ProbeState.FAILING, size)


async def _ask(
    session: aiohttp.ClientSession, attempt: Attempt
) -> HealthAnswer:
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
        state = _read_state(response.status, body)
        if len(body) == MAX_BODY_BYTES:
            return HealthAnswer(state, measuring.MAX_PROBE_BYTES)
        asked = len(f"GET {PATH} HTTP/1.1\r\nHost: {attempt.target}\r\n\r\n")
        return HealthAnswer(state, asked + _measure_head(response) + len(body))


def _measure_head(response: aiohttp.ClientResponse) -> int:
    """Returns the bytes of the status line and fields of an answer."""
    line = len(f"HTTP/1.1 {response.status} {response.reason}\r\n\r\n")
    fields = response.raw_headers
    return line + sum(len(name) + len(value) + 4 for name, value in fields)


def _read_state(status: int, body: bytes) -> measurements.ProbeState | None:
    """Returns what an answer says; a plain 200 says that all is well."""
    if status == NOT_FOUND_STATUS:
        return None
    if status != OK_STATUS:
        return measurements.ProbeState.FAILING
    try:
        document = json.loads(body)
    except (ValueError, RecursionError):
        document = body.decode("latin-1").strip()
    said = document.get("state") if isinstance(document, dict) else document
    try:
        return measurements.ProbeState(str(said))
    except ValueError:
        return measurements.ProbeState.OK
