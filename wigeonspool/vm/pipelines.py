"""Runs the pipelined requests of a connection concurrently.

A caller may send further requests before the response to the first one. The
responses are sent in the order of the requests, but an idempotent request
without a body starts as soon as its head has arrived, if all requests in front
of it are of that kind too. It then runs ahead of its turn, and its response is
held until the responses in front of it have been sent.

A request that is not idempotent never runs ahead: a response in front of it may
close the connection, after which the caller sends it again.
"""

import asyncio
import collections
from collections.abc import Iterable
import dataclasses
from typing import Any, Final, Protocol

import aiohttp
from aiohttp import http
from aiohttp import web

from wigeonspool.vm import request_context
from wigeonspool.vm import request_runner

# A connection with so many requests ahead reads more of them in turn only.
MAX_AHEAD_PER_CONNECTION: Final = 8
MAX_AHEAD_PER_VM: Final = 256
# Bodies of responses that are held, at which no more requests run ahead.
MAX_HELD_BYTES_PER_CONNECTION: Final = 2 * 1024 * 1024
MAX_HELD_BYTES_PER_VM: Final = 16 * 1024 * 1024


@dataclasses.dataclass(slots=True, eq=False)
class PipelinedRequest:
    """A request whose head has arrived and whose response is not sent yet.

    Attributes:
        message: Head of the request, or the library's record of an error.
        payload: Body of the request.
        arrived_at: Estimated time of the arrival of its head, loop clock.
        position: Number of requests in front of it when it arrived.
        may_run_ahead: Whether it may run ahead, or None if not known yet.
        ahead: Its run ahead of its turn, or None.
    """

    message: Any
    payload: aiohttp.StreamReader
    arrived_at: float
    position: int
    may_run_ahead: bool | None = None
    ahead: "AheadRun | None" = None

    @property
    def closes_connection(self) -> bool:
        """True if its connection closes after its response."""
        return bool(getattr(self.message, "should_close", True))


@dataclasses.dataclass(slots=True, eq=False)
class AheadRun:
    """The run of a request ahead of its turn.

    Attributes:
        request: The request as a target sees it.
        task: Runs the request.
        held_bytes: Size of the body that is held.
        ready_at: Time at which the result was complete, loop clock, or None.
        released: True once its turn has begun or it was cancelled.
    """

    request: web.BaseRequest
    task: asyncio.Task[request_runner.RequestResult]
    held_bytes: int = 0
    ready_at: float | None = None
    released: bool = False

    def find_held_seconds(self) -> float:
        """Returns for how long the complete result has been held."""
        if self.ready_at is None:
            return 0.0
        return asyncio.get_running_loop().time() - self.ready_at


class RequestService(Protocol):
    """Runs requests ahead of their turn."""

    def find_arrival_time(self) -> float:
        """Returns when data that is read now arrived, loop clock."""

    def may_run_ahead(self, message: http.RawRequestMessage) -> bool:
        """Returns True if a request is idempotent and may start now."""

    async def run_ahead(
        self, request: web.BaseRequest, arrived_at: float, position: int
    ) -> request_runner.RequestResult:
        """Runs a request and returns its result.

        Args:
            request: Request of the caller.
            arrived_at: Time of its arrival, loop clock.
            position: Number of requests in front of it when it arrived.
        """

    def discard_ahead(self, request: web.BaseRequest) -> None:
        """Ends a request that ran ahead and whose response is not sent."""


@dataclasses.dataclass(slots=True)
class PipelineUse:
    """What the pipelines of a VM use together.

    Attributes:
        ahead: Requests that run ahead, or whose response is held.
        held_bytes: Size of the bodies that are held.
        started_ahead: Number of requests that ran ahead so far.
        waited_in_turn: Number of requests that arrived behind another one and
            did not run ahead.
        held_seconds: Time for which complete responses were held so far.
    """

    ahead: int = 0
    held_bytes: int = 0
    started_ahead: int = 0
    waited_in_turn: int = 0
    held_seconds: float = 0.0


class Pipeline:
    """The requests of one connection, in the order of their arrival."""

    __slots__ = (
        "_closed",
        "_held_bytes",
        "_protocol",
        "_requests",
        "_service",
        "_use",
    )

    def __init__(
        self,
        protocol: web.RequestHandler,
        service: RequestService,
        use: PipelineUse,
    ) -> None:
        """Creates the pipeline of a new connection.

        Args:
            protocol: Protocol of the connection.
            service: Runs requests ahead.
            use: What all pipelines of this VM use.
        """
        self._protocol = protocol
        self._service = service
        self._use = use
        self._requests: collections.deque[PipelinedRequest]
        self._requests = collections.deque()
        self._held_bytes = 0
        self._closed = False

    def add(self, messages: Iterable[tuple[Any, aiohttp.StreamReader]]) -> None:
        """Adds requests whose heads have arrived; starts what may run ahead.

        Args:
            messages: Heads and bodies, as parsed by the HTTP library.
        """
        arrived_at = self._service.find_arrival_time()
        for message, payload in messages:
            position = len(self._requests)
            self._requests.append(
                PipelinedRequest(message, payload, arrived_at, position)
            )
        self._start_ahead()

    def begin_turn(self) -> PipelinedRequest:
        """Returns the first request, whose turn begins."""
        first = self._requests[0]
        if first.ahead is not None:
            self._stop_holding(first.ahead)
        elif first.position:
            self._use.waited_in_turn += 1
        return first

    def end_turn(self, closing: bool) -> None:
        """Removes the first request, whose response is complete.

        Args:
            closing: True if the connection closes after that response, so that
                no request behind it may be sent to a target.
        """
        self._requests.popleft()
        if closing:
            self.close()
        else:
            self._start_ahead()

    def has_ahead(self) -> bool:
        """Returns True if a request behind the first one runs ahead."""
        return any(
            request.ahead is not None
            for index, request in enumerate(self._requests)
            if index
        )

    def close(self) -> None:
        """Cancels the requests that run ahead; starts no other one."""
        self._closed = True
        for request in self._requests:
            run = request.ahead
            # A request in its turn ends with its handler.
            if run is None or run.released:
                continue
            self._stop_holding(run)
            request.ahead = None
            _abandon(run.task)
            self._service.discard_ahead(run.request)

    def _start_ahead(self) -> None:
        """Starts the requests that may run ahead of their turn."""
        if self._closed or len(self._requests) <= 1:
            return
        count = 0
        for index, request in enumerate(self._requests):
            if not self._may_run_ahead(request):
                return
            if not index:
                continue
            if request.ahead is None:
                if count >= MAX_AHEAD_PER_CONNECTION or self._is_full():
                    return
                request.ahead = self._run_ahead(request)
            count += 1

    def _is_full(self) -> bool:
        """Returns True if no further request may run ahead."""
        return (
            self._use.ahead >= MAX_AHEAD_PER_VM
            or self._use.held_bytes >= MAX_HELD_BYTES_PER_VM
            or self._held_bytes >= MAX_HELD_BYTES_PER_CONNECTION
        )

    def _may_run_ahead(self, request: PipelinedRequest) -> bool:
        """Returns True if a request may run beside those in front of it."""
        if request.may_run_ahead is None:
            message = request.message
            request.may_run_ahead = (
                isinstance(message, http.RawRequestMessage)
                and request.payload is aiohttp.streams.EMPTY_PAYLOAD
                and not message.should_close
                and not message.upgrade
                and self._service.may_run_ahead(message)
            )
        return request.may_run_ahead

    def _run_ahead(self, pipelined: PipelinedRequest) -> AheadRun:
        """Starts a request ahead of its turn."""
        loop = asyncio.get_running_loop()
        request = web.BaseRequest(
            pipelined.message,
            pipelined.payload,
            self._protocol,
            http.StreamWriter(self._protocol, loop),
            asyncio.current_task(),  # type: ignore[arg-type]
            loop,
        )
        task = loop.create_task(
            self._service.run_ahead(
                request, pipelined.arrived_at, pipelined.position
            )
        )
        run = AheadRun(request, task)
        self._use.ahead += 1
        self._use.started_ahead += 1
        task.add_done_callback(lambda _: self._begin_holding(run))
        return run

    def _begin_holding(self, run: AheadRun) -> None:
        """Counts the result of a run that ended before its turn."""
        task = run.task
        if run.released or task.cancelled() or task.exception() is not None:
            return
        run.ready_at = asyncio.get_running_loop().time()
        result = task.result()
        if isinstance(result, request_context.AttemptResult):
            run.held_bytes = len(result.body)
        self._held_bytes += run.held_bytes
        self._use.held_bytes += run.held_bytes

    def _stop_holding(self, run: AheadRun) -> None:
        """Subtracts a run whose turn begins, or that is cancelled."""
        run.released = True
        self._use.ahead -= 1
        self._use.held_bytes -= run.held_bytes
        self._held_bytes -= run.held_bytes
        self._use.held_seconds += run.find_held_seconds()


def _abandon(task: asyncio.Task[request_runner.RequestResult]) -> None:
    """Cancels a run, or closes the response that it holds."""
    if not task.done():
        task.cancel()
    elif not task.cancelled() and task.exception() is None:
        result = task.result()
        if isinstance(result, request_context.AttemptResult) and result.stream:
            result.stream.close()
