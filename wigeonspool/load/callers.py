"""Callers: they ask for addresses, keep the answer and send open-loop load.

A request is due at its time whether or not earlier ones were answered, and
its latency counts from then, so that a stall is not hidden.
"""

import asyncio
import dataclasses
import json
import random
import time
from typing import Any, Final

import aiohttp

from wigeonspool.load import history as histories

ASK_SECONDS: Final = 2.0
ATTEMPTS_TO_ASK: Final = 10


@dataclasses.dataclass(frozen=True, slots=True)
class Work:
    """One kind of request that callers send.

    Attributes:
        pool: Pool to ask an address for.
        method: HTTP method.
        path: Path and query.
        rate: Requests per second.
        idempotent: True if it may run more than once.
        limit_seconds: Time in which the answer is wanted.
    """

    pool: str
    method: str
    path: str
    rate: float
    idempotent: bool
    limit_seconds: float


@dataclasses.dataclass(slots=True)
class KeptAnswer:
    """An answer to the address question.

    Attributes:
        addresses: Gateways to use.
        assignment: Identity, home and token for non-idempotent requests.
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
        """Prepares the caller.

        Args:
            session: HTTP client to use.
            name: Name that it gives.
            zone: Availability zone that it asks for.
            seeds: Gateways that it may ask first.
            history: Where it records what it saw.
            rng: Source of its choices.
        """
        self._session = session
        self._name = name
        self._zone = zone
        self._seeds = seeds
        self._history = history
        self._rng = rng
        self._kept: dict[str, KeptAnswer] = {}
        self._asking: dict[str, asyncio.Task[KeptAnswer]] = {}
        self._count = 0

    async def find_gateways(self, pool: str) -> KeptAnswer:
        """Returns the kept answer for a pool; asks again once it is old."""
        kept = self._kept.get(pool)
        if kept is not None and kept.expires_at > time.monotonic():
            return kept
        task = self._asking.get(pool)
        if task is None:
            task = asyncio.get_running_loop().create_task(self._ask(pool))
            self._asking[pool] = task
            task.add_done_callback(lambda _: self._asking.pop(pool, None))
        return await task

    async def _ask(self, pool: str) -> KeptAnswer:
        """Asks the gateways it knows, one after the other."""
        known = self._kept.get(pool)
        addresses = [*(known.addresses if known else []), *self._seeds]
        for attempt in range(ATTEMPTS_TO_ASK):
            address = addresses[attempt % len(addresses)]
            try:
                document = await self._ask_one(address, pool)
            except (aiohttp.ClientError, OSError, ValueError):
                await asyncio.sleep(0.05)
                continue
            kept = KeptAnswer(
                [entry["address"] for entry in document["addresses"]],
                document["assignment"],
                time.monotonic() + document["remaining_ms"] / 1000,
            )
            self._kept[pool] = kept
            return kept
        raise ConnectionError(f"no gateway answered for {pool}")

    async def _ask_one(self, address: str, pool: str) -> dict[str, Any]:
        """Asks one gateway the address question."""
        async with self._session.get(
            f"http://{address}/.wigeonspool/address",
            params={"pool": pool, "zone": self._zone},
            headers={"Wigeonspool-Caller": self._name},
            timeout=aiohttp.ClientTimeout(total=ASK_SECONDS),
        ) as response:
            response.raise_for_status()
            document: dict[str, Any] = await response.json()
            return document

    async def call(self, work: Work, due: float) -> histories.Invocation:
        """Sends one request that was due at a wall-clock time."""
        self._count += 1
        request = f"{self._name}-{self._count}"
        invocation = histories.Invocation(
            request=request,
            caller=self._name,
            key="",
            pool=work.pool,
            idempotent=work.idempotent,
            started_at=due,
            deadline=due + work.limit_seconds,
        )
        self._history.invocations.append(invocation)
        try:
            kept = await self.find_gateways(work.pool)
            await self._send(work, invocation, kept)
        except (aiohttp.ClientError, OSError) as error:
            invocation.outcome = "cut"
            invocation.reason = repr(error)
        invocation.ended_at = time.time()
        return invocation

    async def _send(
        self, work: Work, invocation: histories.Invocation, kept: KeptAnswer
    ) -> None:
        """Sends a request to a gateway and records how it ended."""
        remaining = max(0.0, invocation.deadline - time.time())
        fields = {
            "Wigeonspool-Caller": self._name,
            "Wigeonspool-Request": invocation.request,
            "Wigeonspool-Remaining-Ms": str(int(remaining * 1000)),
        }
        address = self._rng.choice(kept.addresses)
        body = None
        if not work.idempotent:
            address = kept.assignment["home"]
            invocation.key = f"{kept.assignment['id']}.{invocation.request}"
            fields["Wigeonspool-Assignment"] = kept.assignment["token"]
            fields["Idempotency-Key"] = invocation.key
            body = invocation.request.encode()
        async with self._session.request(
            work.method,
            f"http://{address}{work.path}",
            headers=fields,
            data=body,
        ) as response:
            content = await response.read()
            record_answer(invocation, response, content)


def record_answer(
    invocation: histories.Invocation,
    response: aiohttp.ClientResponse,
    content: bytes,
) -> None:
    """Records what a caller reads from an answer."""
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
    caller: Caller, work: Work, seconds: float, rng: random.Random
) -> None:
    """Sends one kind of request at random times of a given rate.

    Args:
        caller: Who sends.
        work: What it sends.
        seconds: For how long.
        rng: Source of the times.
    """
    loop = asyncio.get_running_loop()
    offset = time.time() - loop.time()
    due = loop.time()
    stop_at = due + seconds
    tasks: set[asyncio.Task[Any]] = set()
    while True:
        due += rng.expovariate(work.rate)
        if due >= stop_at:
            break
        delay = due - loop.time()
        if delay > 0:
            await asyncio.sleep(delay)
        task = loop.create_task(caller.call(work, due + offset))
        tasks.add(task)
        task.add_done_callback(tasks.discard)
    if tasks:
        await asyncio.wait(tasks)
