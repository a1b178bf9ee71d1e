"""Drives the core for a gateway.

The coroutine of each request waits here for the action that the core returns
for it.
"""

import asyncio
from collections.abc import Callable, Mapping

from wigeonspool.core import actions
from wigeonspool.core import dispatcher
from wigeonspool.core import tables
from wigeonspool.gateway import decision_log
from wigeonspool.gateway import ticker
from wigeonspool.model import entities
from wigeonspool.model import messages
from wigeonspool.model import probe_messages


class Scheduler:
    """Connects the coroutines of requests to the dispatcher.

    Attributes:
        core: The dispatcher.
        sampler: Chooses the requests whose decisions are explained.
        ticker: Waits until the next tick is due.
        on_suspect: Called with each request that was running on a target when
            the target crashed, and with each suspect that was answered.
    """

    def __init__(self, zone: str) -> None:
        """Creates a dispatcher without pools.

        Args:
            zone: Availability zone of the gateway.
        """
        self.core = dispatcher.Dispatcher(zone)
        self.sampler = decision_log.DecisionSampler(0.0)
        self.ticker = ticker.Ticker()
        self._loop = asyncio.get_running_loop()
        self._pending: dict[int, asyncio.Future[actions.Action]] = {}
        self._last_id = 0
        self.on_suspect: Callable[[messages.Suspect], None]
        self.on_suspect = lambda suspect: None

    def create_id(self) -> int:
        """Returns a request number that is unique within this process."""
        self._last_id += 1
        return self._last_id

    def configure(self, pools: list[entities.Pool]) -> None:
        """Replaces the pools by those of a new generation."""
        self.core.configure(pools)
        self.tick()

    def set_slot_limits(self, limits: Mapping[str, Mapping[str, int]]) -> None:
        """Sets the slots that this gateway may use, by pool and target."""
        for pool, slots in limits.items():
            self.core.set_slot_limits(pool, slots)
        self.tick()

    def merge_suspect(self, suspect: messages.Suspect) -> None:
        """Merges a report of another gateway about a suspect request."""
        if suspect.answered:
            self.core.remove_crashes(suspect.fingerprint, suspect.targets)
            return
        suspects = [(suspect.fingerprint, suspect.targets)]
        self.core.merge_suspects(self._loop.time(), suspects)

    def record_probe(self, result: probe_messages.ProbeResult) -> None:
        """Passes the result of a probe to the core."""
        self.core.handle_probe_result(self._loop.time(), result)

    def _report_suspect(self, fingerprint: int) -> None:
        """Reports a request that was running when a target crashed."""
        targets = self.core.list_crashed_targets(fingerprint)
        if targets:
            self.on_suspect(messages.Suspect(fingerprint, targets))

    def _report_answer(self, fingerprint: int) -> None:
        """Reports that a request is answered, if it is a suspect until now."""
        targets = self.core.list_crashed_targets(fingerprint)
        if targets:
            self.on_suspect(messages.Suspect(fingerprint, targets, True))

    async def submit(self, request: tables.RequestRow) -> actions.Action:
        """Submits a request; returns its first action, a Send or a Settle.

        Raises:
            TimeoutError: If the deadline of the request passed.
        """
        self._create_future(request.request_id)
        self._dispatch_actions(self.core.submit(self._loop.time(), request))
        return await self._wait_for_action(request)

    async def finish(
        self, request: tables.RequestRow, target: str, result: tables.Result
    ) -> actions.Action:
        """Reports the result of an attempt; returns the request's next action.

        Raises:
            TimeoutError: If the deadline of the request passed.
        """
        self._create_future(request.request_id)
        now = self._loop.time()
        if result.kind is tables.ResultKind.ANSWERED:
            self._report_answer(request.fingerprint)
        self._dispatch_actions(
            self.core.handle_result(now, request.request_id, target, result)
        )
        if result.crashed:
            self._report_suspect(request.fingerprint)
        return await self._wait_for_action(request)

    def abandon(self, request: tables.RequestRow) -> None:
        """Cancels a request that gets no further action.

        Its caller disconnected, its deadline passed or it failed.
        """
        self._pending.pop(request.request_id, None)
        now = self._loop.time()
        self._dispatch_actions(self.core.cancel(now, request.request_id))

    def refuse_queued(self) -> None:
        """Refuses all queued requests, since this gateway stops."""
        self._dispatch_actions(self.core.refuse_queued(self._loop.time()))

    def tick(self) -> None:
        """Runs the time-dependent parts of the core."""
        self._dispatch_actions(self.core.tick(self._loop.time()))

    def _create_future(self, request_id: int) -> None:
        """Creates the future that receives a request's next action."""
        self._pending[request_id] = self._loop.create_future()

    async def _wait_for_action(
        self, request: tables.RequestRow
    ) -> actions.Action:
        """Returns the next action of a request once the core decides on it.

        Raises:
            TimeoutError: If the deadline of the request passed.
        """
        pending = self._pending[request.request_id]
        if not pending.done():
            async with asyncio.timeout_at(request.deadline):
                await pending
        self._pending.pop(request.request_id, None)
        return pending.result()

    def _dispatch_actions(self, ready_actions: list[actions.Action]) -> None:
        """Sets the futures of the coroutines that wait for these actions."""
        self.ticker.expedite()
        for action in ready_actions:
            future = self._pending.get(action.request_id)
            if future is not None and not future.done():
                future.set_result(action)
