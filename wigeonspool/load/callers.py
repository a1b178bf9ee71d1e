"""Callers that query addresses, cache the reply and send open-loop load.

Each request is sent when it is due, whether or not earlier ones have a
response, and its latency counts from the due time, so that a stall shows in the
latencies of all requests that were due during it.
"""

import asyncio
import dataclasses
import json
import random
import time
from typing import Any, Final

import aiohttp

from wigeonspool.load import history as histories

QUERY_TIMEOUT_SECONDS: Final = 2.0
MAX_QUERY_ATTEMPTS: Final = 10


@dataclasses.dataclass(frozen=True, slots=True)
class RequestKind:
    """One kind of request that callers send.

    Attributes:
        pool: Pool to query addresses for.
        method: HTTP method.
        path: Path and query.
        rate: Requests per second.
        idempotent: True if it may run more than once.
        limit_seconds: Time limit of each request.
    """

    pool: str
    method: str
    path: str
    rate: float
    idempotent: bool
    limit_seconds: float


@dataclasses.dataclass(slots=True)
class CachedAddresses:
    """A reply to the address query.

    Attributes:
        addresses: Gateways to use.
        assignment: Id, gateway (`home`) and token for non-idempotent
            requests.
        expires_at: Monotonic time until which it may be used, in seconds.
    """

    addresses: list[str]
    assignment: dict[str, Any]
    expires_at: float


class Caller:
    """One caller of the system."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        name: str,
        zone: str,
        seeds: list[str],
        history: histories.History,
        rng: random.Random,
    ) -> None:
        """Creates a caller without cached addresses.

        Args:
            session: HTTP client to use.
            name: Name that it sends as its own.
            zone: Availability zone that it queries addresses for.
            seeds: Gateways that it may query first.
            history: Where it records its requests.
            rng: Source of its random choices.
        """
        self._session = session
        self._name = name
        self._zone = zone
        self._seeds = seeds
        self._history = history
        self._rng = rng
        self._cache: dict[str, CachedAddresses] = {}
        self._queries: dict[str, asyncio.Task[CachedAddresses]] = {}
        self._count = 0

    async def find_gateways(self, pool: str) -> CachedAddresses:
        """Returns the gateways of a pool, queried again once expired.

        Concurrent calls for a pool share one query.

        Raises:
            ConnectionError: If no gateway replied.
        """
        cached = self._cache.get(pool)
        if cached is not None and cached.expires_at > time.monotonic():
            return cached
        task = self._queries.get(pool)
        if task is None:
            task = asyncio.get_running_loop().create_task(
                self._query_gateways(pool)
            )
            self._queries[pool] = task
            task.add_done_callback(lambda _: self._queries.pop(pool, None))
        return await task

    async def _query_gateways(self, pool: str) -> CachedAddresses:
        """Queries cached and seed gateways in turn until one replies.

        Gives up after `MAX_QUERY_ATTEMPTS`.

        Raises:
            ConnectionError: If no gateway replied.
        """
        cached = self._cache.get(pool)
        addresses = [*(cached.addresses if cached else []), *self._seeds]
        for attempt in range(MAX_QUERY_ATTEMPTS):
            address = addresses[attempt % len(addresses)]
            try:
                document = await self._query_gateway(address, pool)
            except (aiohttp.ClientError, OSError, ValueError):
                await asyncio.sleep(0.05)
                continue
            reply = CachedAddresses(
                [entry["address"] for entry in document["addresses"]],
                document["assignment"],
                time.monotonic() + document["remaining_ms"] / 1000,
            )
            self._cache[pool] = reply
            return reply
        raise ConnectionError(f"no gateway answered for {pool}")

    async def _query_gateway(self, address: str, pool: str) -> dict[str, Any]:
        """Returns the reply of one gateway to the address query."""
        async with self._session.get(
            f"http://{address}/.wigeonspool/address",
            params={"pool": pool, "zone": self._zone},
            headers={"Wigeonspool-Caller": self._name},
            timeout=aiohttp.ClientTimeout(total=QUERY_TIMEOUT_SECONDS),
        ) as response:
            response.raise_for_status()
            document: dict[str, Any] = await response.json()
            return document

    async def send_request(
        self, kind: RequestKind, due: float
    ) -> histories.Invocation:
        """Sends one request and returns its record, also if it failed.

        Args:
            kind: Kind of the request.
            due: Wall-clock time at which the request was due, in seconds.
        """
        self._count += 1
        request = f"{self._name}-{self._count}"
        invocation = histories.Invocation(
            request=request,
            caller=self._name,
            key="",
            pool=kind.pool,
            idempotent=kind.idempotent,
            started_at=due,
            deadline=due + kind.limit_seconds,
        )
        self._history.invocations.append(invocation)
        try:
            cached = await self.find_gateways(kind.pool)
            await self._send_to_gateway(kind, invocation, cached)
        except (aiohttp.ClientError, OSError) as error:
            invocation.outcome = "cut"
            invocation.reason = repr(error)
        invocation.ended_at = time.time()
        return invocation

    async def _send_to_gateway(
        self,
        kind: RequestKind,
        invocation: histories.Invocation,
        cached: CachedAddresses,
    ) -> None:
        """Sends a request to a gateway and records the response."""
        remaining = max(0.0, invocation.deadline - time.time())
        fields = {
            "Wigeonspool-Caller": self._name,
            "Wigeonspool-Request": invocation.request,
            "Wigeonspool-Remaining-Ms": str(int(remaining * 1000)),
        }
        address = self._rng.choice(cached.addresses)
        body = None
        if not kind.idempotent:
            address = cached.assignment["home"]
            invocation.key = f"{cached.assignment['id']}.{invocation.request}"
            fields["Wigeonspool-Assignment"] = cached.assignment["token"]
            fields["Idempotency-Key"] = invocation.key
            body = invocation.request.encode()
        async with self._session.request(
            kind.method,
            f"http://{address}{kind.path}",
            headers=fields,
            data=body,
        ) as response:
            content = await response.read()
            record_response(invocation, response, content)


def record_response(
    invocation: histories.Invocation,
    response: aiohttp.ClientResponse,
    content: bytes,
) -> None:
    """Records the outcome, and whether the response is the caller's own."""
    invocation.outcome = response.headers.get("Wigeonspool-Outcome", "unknown")
    invocation.reason = response.headers.get("Wigeonspool-Reason", "")
    if invocation.outcome != "answered":
        return
    if response.content_type != "application/json":
        return
    document = json.loads(content)
    invocation.target = document.get("target", "")
    invocation.own = (
        document.get("request") == invocation.request
        and document.get("caller") == invocation.caller
    )


async def send_load(
    caller: Caller, kind: RequestKind, seconds: float, rng: random.Random
) -> None:
    """Sends requests of one kind at random times, at the rate of the kind.

    Returns once all of them have ended.

    Args:
        caller: Caller that sends them.
        kind: Kind of the requests.
        seconds: Length of the load.
        rng: Source of the times.
    """
    loop = asyncio.get_running_loop()
    wall_offset = time.time() - loop.time()
    due = loop.time()
    stop_at = due + seconds
    tasks: set[asyncio.Task[Any]] = set()
    while True:
        due += rng.expovariate(kind.rate)
        if due >= stop_at:
            break
        delay = due - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        task = loop.create_task(caller.send_request(kind, due + wall_offset))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)
