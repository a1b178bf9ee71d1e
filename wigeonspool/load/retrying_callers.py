"""Callers that send reads once and retry writes until they have a response."""

import asyncio
from collections.abc import Mapping
import dataclasses
import json
import random
import time
from typing import Any, Final

import aiohttp

from wigeonspool.load import history as histories

MAX_SUBMISSIONS: Final = 4
TIME_LIMIT_SECONDS: Final = 1.5
# Bounds of a random timeout, after which an impatient caller gives up.
IMPATIENT_TIMEOUT_SECONDS: Final = (0.2, 2.0)
PATIENT_TIME_LIMIT_SECONDS: Final = 10.0
# Bounds of a random delay.
RETRY_DELAY_SECONDS: Final = (0.01, 0.3)
ADDRESS_TIMEOUT_SECONDS: Final = 0.5
# Of ten requests, this many ask for a large response.
LARGE_RESPONSES_IN_TEN: Final = 2
# One of these sizes is chosen at random.
LARGE_RESPONSE_BYTES: Final = (300_000, 3_000_000)


@dataclasses.dataclass(frozen=True, slots=True)
class Request:
    """A request that a caller submits once or several times.

    Attributes:
        name: Its identity, the same for all its submissions.
        path: Path and query.
        size_bytes: Length of a large response, or 0.
        numbered: True if its submissions carry rising attempt numbers.
    """

    name: str
    path: str
    size_bytes: int
    numbered: bool


class RetryingCaller:
    """A caller that sends reads once and retries writes."""

    def __init__(
        self,
        session: aiohttp.ClientSession,
        name: str,
        connect_addresses: Mapping[str, str],
        history: histories.History,
        rng: random.Random,
        impatient: bool = True,
    ) -> None:
        """Creates a caller that has sent nothing.

        Args:
            session: HTTP client to use.
            name: Name that it sends as its own.
            connect_addresses: Where to connect, by the address of a gateway.
            history: Where it records its submissions.
            rng: Source of its random choices.
            impatient: True for short time limits and timeouts, and for
                concurrent submissions of one key.
        """
        self._impatient = impatient
        self._session = session
        self._name = name
        self._connect_addresses = connect_addresses
        self._history = history
        self._rng = rng
        self._count = 0

    async def run(self, until: float) -> None:
        """Sends one request after the other until a monotonic time."""
        while time.monotonic() < until:
            document = await self._query_addresses()
            if document is None:
                await asyncio.sleep(RETRY_DELAY_SECONDS[0])
            elif self._rng.random() < 0.5:
                await self._send_read(document)
            else:
                await self._send_write(document)

    async def _query_addresses(self) -> dict[str, Any] | None:
        """Returns the reply of a random gateway to the address query.

        Returns None if there was no successful reply.
        """
        address = self._rng.choice(list(self._connect_addresses.values()))
        try:
            async with self._session.get(
                f"http://{address}/.wigeonspool/address?pool=queue&zone=zone-0",
                headers={"Wigeonspool-Caller": self._name},
                timeout=aiohttp.ClientTimeout(total=ADDRESS_TIMEOUT_SECONDS),
            ) as response:
                if response.status != 200:
                    return None
                document: dict[str, Any] = await response.json()
                return document
        except (aiohttp.ClientError, OSError):
            return None

    def _create_request(self) -> Request:
        """Returns a new request with random properties."""
        self._count += 1
        size = 0
        if self._rng.randrange(10) < LARGE_RESPONSES_IN_TEN:
            size = self._rng.choice(LARGE_RESPONSE_BYTES)
        path = f"/queue/work?bytes={size}" if size else "/queue/work"
        numbered = self._rng.random() < 0.7
        return Request(f"{self._name}-{self._count}", path, size, numbered)

    async def _send_read(self, document: dict[str, Any]) -> None:
        """Sends an idempotent request once."""
        request = self._create_request()
        address = self._rng.choice(document["addresses"])["address"]
        fields = {"Wigeonspool-Request": request.name}
        submission = self._record_start(request, "", 0, address)
        await self._submit(request, submission, "GET", fields)

    async def _send_write(self, document: dict[str, Any]) -> None:
        """Submits a non-idempotent request until it has a response.

        Gives up after `MAX_SUBMISSIONS`. Retries may go to a gateway that does
        not own the key, and an impatient caller sometimes submits again without
        awaiting the response.
        """
        request = self._create_request()
        assignment = document["assignment"]
        fields = {
            "Wigeonspool-Request": request.name,
            "Wigeonspool-Assignment": assignment["token"],
            "Idempotency-Key": f"{assignment['id']}.{request.name}",
        }
        concurrent: set[asyncio.Task[None]] = set()
        for attempt in range(MAX_SUBMISSIONS):
            number = attempt if request.numbered else 0
            fields["Wigeonspool-Attempt"] = str(number)
            address = assignment["home"]
            if attempt and self._rng.random() < 0.6:
                address = self._rng.choice(list(self._connect_addresses))
            key = fields["Idempotency-Key"]
            submission = self._record_start(request, key, number, address)
            coroutine = self._submit(request, submission, "POST", dict(fields))
            if self._impatient and self._rng.random() < 0.1:
                concurrent.add(
                    asyncio.get_running_loop().create_task(coroutine)
                )
                await asyncio.sleep(0)
                continue
            await coroutine
            if submission.outcome == "answered":
                break
            await asyncio.sleep(self._rng.uniform(*RETRY_DELAY_SECONDS))
        if concurrent:
            await asyncio.wait(concurrent)

    def _record_start(
        self, request: Request, key: str, attempt: int, address: str
    ) -> histories.Invocation:
        """Records that a submission begins and returns the record."""
        now = time.time()
        submission = histories.Invocation(
            request=request.name,
            caller=self._name,
            key=key,
            pool="queue",
            idempotent=not key,
            started_at=now,
            deadline=now + TIME_LIMIT_SECONDS,
            attempt=attempt,
            gateway=address,
        )
        self._history.invocations.append(submission)
        return submission

    def _choose_limits(self) -> tuple[float, float]:
        """Returns a time limit and the timeout of a submission, in seconds.

        The gateway is sent the time limit; the caller gives up at the timeout.
        """
        if not self._impatient:
            return (PATIENT_TIME_LIMIT_SECONDS, 2 * PATIENT_TIME_LIMIT_SECONDS)
        limit = self._rng.choice((0.1, 0.3, TIME_LIMIT_SECONDS))
        return (limit, self._rng.uniform(*IMPATIENT_TIMEOUT_SECONDS))

    async def _submit(
        self,
        request: Request,
        submission: histories.Invocation,
        method: str,
        fields: dict[str, str],
    ) -> None:
        """Submits a request once and records the outcome."""
        fields["Wigeonspool-Caller"] = self._name
        limit, timeout = self._choose_limits()
        fields["Wigeonspool-Remaining-Ms"] = str(int(limit * 1000))
        submission.deadline = submission.started_at + limit
        address = self._connect_addresses.get(
            submission.gateway, submission.gateway
        )
        try:
            async with self._session.request(
                method,
                f"http://{address}{request.path}",
                headers=fields,
                data=None if method == "GET" else request.name.encode(),
                timeout=aiohttp.ClientTimeout(total=timeout),
            ) as response:
                record_outcome(submission, response)
                content = await response.read()
                record_content(request, submission, content)
        except aiohttp.ClientConnectorError as error:
            submission.outcome, submission.reason = "unreached", repr(error)
        except TimeoutError:
            submission.outcome, submission.reason = "left", "patience ended"
        except (aiohttp.ClientError, OSError) as error:
            submission.outcome, submission.reason = "cut", repr(error)
        submission.ended_at = time.time()


def record_outcome(
    submission: histories.Invocation, response: aiohttp.ClientResponse
) -> None:
    """Records the status, outcome and reason in a response head."""
    submission.status = response.status
    submission.outcome = response.headers.get("Wigeonspool-Outcome", "untold")
    submission.reason = response.headers.get("Wigeonspool-Reason", "")


def record_content(
    request: Request, submission: histories.Invocation, content: bytes
) -> None:
    """Records whether a response is complete and the caller's own."""
    if submission.outcome != "answered" or submission.status != 200:
        return
    if request.size_bytes:
        submission.whole = len(content) == request.size_bytes
        return
    document = json.loads(content)
    submission.target = document["target"]
    submission.own = (
        document["caller"] == submission.caller
        and document["request"] == request.name
        and document["key"] == submission.key
    )
