"""Sends attempts to targets over kept HTTP connections."""

import asyncio
import dataclasses
from typing import Final

import aiohttp
from multidict import CIMultiDict

from wigeonspool.core import once
from wigeonspool.core import tables
from wigeonspool.gateway import headers

WHOLE_ANSWER_BYTES: Final = 256 * 1024
STATUS_UNAVAILABLE: Final = 503

Body = bytes | aiohttp.StreamReader | None


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """What is sent to a target.

    Attributes:
        method: HTTP method.
        path: Path and query as the caller wrote them.
        fields: Header fields to pass on.
        body: Whole body, or the caller's stream.
        deadline: Time by which the caller wants the answer, loop clock.
    """

    method: str
    path: str
    fields: CIMultiDict[str]
    body: Body
    deadline: float


@dataclasses.dataclass(slots=True)
class Attempt:
    """What became of one attempt.

    Attributes:
        result: What the core learns, or None while an answer streams.
        answer: The whole answer, if there is one.
        response: The open answer, if it is too long to hold.
    """

    result: tables.Result | None
    answer: once.Answer | None = None
    response: aiohttp.ClientResponse | None = None


class Egress:
    """Holds the connections of a gateway to targets and other gateways."""

    def __init__(self) -> None:
        connector = aiohttp.TCPConnector(
            limit=0, keepalive_timeout=60, ttl_dns_cache=None
        )
        self._session = aiohttp.ClientSession(
            connector=connector,
            auto_decompress=False,
            cookie_jar=aiohttp.DummyCookieJar(),
            timeout=aiohttp.ClientTimeout(total=None),
            skip_auto_headers=("User-Agent", "Accept-Encoding", "Accept"),
        )
        self._loop = asyncio.get_running_loop()

    async def close(self) -> None:
        """Closes all connections."""
        await self._session.close()

    async def attempt(
        self,
        address: str,
        outgoing: Outgoing,
        may_retry_connection: bool,
        whole_bytes: int = WHOLE_ANSWER_BYTES,
    ) -> Attempt:
        """Sends one attempt and reads its answer if it is short.

        Args:
            address: host:port to send to.
            outgoing: What to send.
            may_retry_connection: True if the HTTP client may send again after
                a lost connection.
            whole_bytes: Longest answer to hold whole.

        Raises:
            TimeoutError: If the deadline passed.
        """
        try:
            async with asyncio.timeout_at(outgoing.deadline):
                response = await self._open(
                    address, outgoing, may_retry_connection
                )
                return await self._read(response, whole_bytes)
        except aiohttp.ClientConnectorError:
            return Attempt(tables.Result(tables.ResultKind.NOT_RUN))
        except (aiohttp.ClientError, OSError) as error:
            if isinstance(error, TimeoutError):
                raise
            return Attempt(tables.Result(tables.ResultKind.LOST))

    async def _open(
        self, address: str, outgoing: Outgoing, may_retry_connection: bool
    ) -> aiohttp.ClientResponse:
        """Sends the request and returns the open answer."""
        remaining = outgoing.deadline - self._loop.time()
        fields = outgoing.fields.copy()
        fields[headers.REMAINING_MS] = str(max(0, int(remaining * 1000)))
        return await self._session.request(
            outgoing.method,
            f"http://{address}{outgoing.path}",
            headers=fields,
            data=outgoing.body,
            allow_redirects=False,
            middlewares=() if may_retry_connection else (send_single,),
        )

    async def _read(
        self, response: aiohttp.ClientResponse, whole_bytes: int
    ) -> Attempt:
        """Reads a short answer whole, or returns a long one open."""
        length = response.content_length
        if length is None or length > whole_bytes:
            return Attempt(None, response=response)
        body = await response.read()
        answer = once.Answer(
            response.status, filter_fields(response.headers), body
        )
        return Attempt(classify_answer(response), answer=answer)


async def send_single(
    request: aiohttp.ClientRequest,
    handler: aiohttp.ClientHandlerType,
) -> aiohttp.ClientResponse:
    """Keeps the HTTP client from sending a request a second time.

    By itself it sends some methods again after a lost connection, also if
    that was a new one and the first send may have run.

    Raises:
        ClientConnectorError: If there was no connection.
        ClientConnectionError: If the connection was lost.
    """
    try:
        return await handler(request)
    except aiohttp.ClientConnectorError:
        raise
    except (aiohttp.ClientOSError, aiohttp.ServerDisconnectedError) as error:
        raise aiohttp.ClientConnectionError(repr(error)) from error


def filter_fields(
    fields: "CIMultiDict[str] | aiohttp.typedefs.LooseHeaders",
) -> tuple[tuple[str, str], ...]:
    """Returns the header fields that pass from one hop to the next."""
    return tuple(
        (name, value)
        for name, value in CIMultiDict(fields).items()
        if name.lower() not in headers.HOP_BY_HOP
    )


def classify_answer(response: aiohttp.ClientResponse) -> tables.Result:
    """Returns what the core learns from a whole answer."""
    draining = headers.DRAINING in response.headers
    if response.status < 500:
        kind = tables.ResultKind.ANSWERED
    elif (
        response.status == STATUS_UNAVAILABLE
        and response.headers.get(headers.OUTCOME) == "not_run"
    ):
        kind = tables.ResultKind.NOT_RUN
    else:
        kind = tables.ResultKind.FAILED
    return tables.Result(kind, draining=draining)
