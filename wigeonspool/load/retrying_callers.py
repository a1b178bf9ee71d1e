"""Callers that send again until they know how their request ended."""

import asyncio
from collections.abc import Mapping
import dataclasses
import json
import random
import time
from typing import Any, Final

import aiohttp

from wigeonspool.load import history as histories

MAX_SENDS: Final = 4
LIMIT_SECONDS: Final = 1.5
PATIENCE_SECONDS: Final = (0.2, 2.0)
CALM_SECONDS: Final = 10.0
PAUSE_SECONDS: Final = (0.01, 0.3)
ASK_SECONDS: Final = 0.5
# Of ten requests, this many ask for an answer of many bytes.
GREAT_ANSWERS_IN_TEN: Final = 2
GREAT_ANSWER_BYTES: Final = (300_000, 3_000_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """What a caller wants done.

    Attributes:
        name: Its identity, the same for all its sends.
        path: Path and query.
        size_bytes: Length of a great answer, or 0.
        numbered: True if its sends carry rising attempt numbers.
    """

    name: str
    path: str
    size_bytes: int
    numbered: bool


class Resender:
    """One caller that sends reads and writes and resends writes."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        name: str,
        doors: Mapping[str, str],
        history: histories.History,
        rng: random.Random,
        hurried: bool = True,
    ) -> None:
        """Prepares the caller.

        Args:
            session: HTTP client to use.
            name: Name that it gives.
            doors: Where to connect, by the address of each gateway.
            history: Where it records what it saw.
            rng: Source of its choices.
            hurried: True if it grants little time and gives up early.
        """
        self._hurried = hurried
        self._session = session
        self._name = name
        self._doors = doors
        self._history = history
        self._rng = rng
        self._count = 0

    async def work(self, until: float) -> None:
        """Sends one request after the other until a monotonic time."""
        while time.monotonic() < until:
            answer = await self._ask()
            if answer is None:
                await asyncio.sleep(PAUSE_SECONDS[0])
            elif self._rng.random() < 0.5:
                await self._read(answer)
            else:
                await self._write(answer)

    async def _ask(self) -> dict[str, Any] | None:
        """Asks a gateway for addresses; returns None if it has none."""
        door = self._rng.choice(list(self._doors.values()))
        try:
            async with self._session.get(
                f"http://{door}/.wigeonspool/address?pool=queue&zone=zone-0",
                headers={"Wigeonspool-Caller": self._name},
                timeout=aiohttp.ClientTimeout(total=ASK_SECONDS),
            ) as response:
                if response.status != 200:
                    return None
                answer: dict[str, Any] = await response.json()
                return answer
        except (aiohttp.ClientError, OSError):
            return None

    def _create_request(self) -> Request:
        """Returns a new request."""
        self._count += 1
        size = 0
        if self._rng.randrange(10) < GREAT_ANSWERS_IN_TEN:
            size = self._rng.choice(GREAT_ANSWER_BYTES)
        path = f"/queue/work?bytes={size}" if size else "/queue/work"
        numbered = self._rng.random() < 0.7
        return Request(f"{self._name}-{self._count}", path, size, numbered)

    async def _read(self, answer: dict[str, Any]) -> None:
        """Sends an idempotent request once."""
        request = self._create_request()
        address = self._rng.choice(answer["addresses"])["address"]
        fields = {"Wigeonspool-Request": request.name}
        send = self._record(request, "", 0, address)
        await self._send(request, send, "GET", fields)

    async def _write(self, answer: dict[str, Any]) -> None:
        """Sends a non-idempotent request until its ending is known."""
        request = self._create_request()
        assignment = answer["assignment"]
        fields = {
            "Wigeonspool-Request": request.name,
            "Wigeonspool-Assignment": assignment["token"],
            "Idempotency-Key": f"{assignment['id']}.{request.name}",
        }
        twins: set[asyncio.Task[None]] = set()
        for attempt in range(MAX_SENDS):
            number = attempt if request.numbered else 0
            fields["Wigeonspool-Attempt"] = str(number)
            address = assignment["home"]
            if attempt and self._rng.random() < 0.6:
                address = self._rng.choice(list(self._doors))
            key = fields["Idempotency-Key"]
            send = self._record(request, key, number, address)
            work = self._send(request, send, "POST", dict(fields))
            if self._hurried and self._rng.random() < 0.1:
                twins.add(asyncio.get_running_loop().create_task(work))
                await asyncio.sleep(0)
                continue
            await work
            if send.outcome == "answered":
                break
            await asyncio.sleep(self._rng.uniform(*PAUSE_SECONDS))
        if twins:
            await asyncio.wait(twins)

    def _record(
        self, request: Request, key: str, attempt: int, address: str
    ) -> histories.Invocation:
        """Writes down that a send begins."""
        now = time.time()
        send = histories.Invocation(
            request=request.name,
            caller=self._name,
            key=key,
            pool="queue",
            idempotent=not key,
            started_at=now,
            deadline=now + LIMIT_SECONDS,
            attempt=attempt,
            gateway=address,
        )
        self._history.invocations.append(send)
        return send

    def _choose_limits(self) -> tuple[float, float]:
        """Returns the time granted and the time waited, in seconds."""
        if not self._hurried:
            return (CALM_SECONDS, 2 * CALM_SECONDS)
        limit = self._rng.choice((0.1, 0.3, LIMIT_SECONDS))
        return (limit, self._rng.uniform(*PATIENCE_SECONDS))

    async def _send(
        self,
        request: Request,
        send: histories.Invocation,
        method: str,
        fields: dict[str, str],
    ) -> None:
        """Sends once and writes down what came of it."""
        fields["Wigeonspool-Caller"] = self._name
        limit, patience = self._choose_limits()
        fields["Wigeonspool-Remaining-Ms"] = str(int(limit * 1000))
        send.deadline = send.started_at + limit
        door = self._doors.get(send.gateway, send.gateway)
        try:
            async with self._session.request(
                method,
                f"http://{door}{request.path}",
                headers=fields,
                data=None if method == "GET" else request.name.encode(),
                timeout=aiohttp.ClientTimeout(total=patience),
            ) as response:
                read_outcome(send, response)
                content = await response.read()
                read_answer(request, send, content)
        except aiohttp.ClientConnectorError as error:
            send.outcome, send.reason = "unreached", repr(error)
        except TimeoutError:
            send.outcome, send.reason = "left", "patience ended"
        except (aiohttp.ClientError, OSError) as error:
            send.outcome, send.reason = "cut", repr(error)
        send.ended_at = time.time()


def read_outcome(
    send: histories.Invocation, response: aiohttp.ClientResponse
) -> None:
    """Writes down what the head of an answer tells."""
    send.status = response.status
    send.outcome = response.headers.get("Wigeonspool-Outcome", "untold")
    send.reason = response.headers.get("Wigeonspool-Reason", "")


def read_answer(
    request: Request, send: histories.Invocation, content: bytes
) -> None:
    """Writes down whether an answer is whole and the caller's own."""
    if send.outcome != "answered" or send.status != 200:
        return
    if request.size_bytes:
        send.whole = len(content) == request.size_bytes
        return
    document = json.loads(content)
    send.target = document["target"]
    send.own = (
        document["caller"] == send.caller
        and document["request"] == request.name
        and document["key"] == send.key
    )
