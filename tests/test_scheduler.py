"""What gateways tell each other about requests that crash targets."""

import asyncio

from wigeonspool.core import actions
from wigeonspool.core import tables
from wigeonspool.gateway import scheduler as schedulers
from wigeonspool.model import entities
from wigeonspool.model import messages

FINGERPRINT = 7
LOST = tables.Result(tables.ResultKind.LOST, crashed=True)
ANSWERED = tables.Result(tables.ResultKind.ANSWERED)
TARGETS = ("t0:1", "t1:1")


class Gateway:
    """The scheduler of a gateway, with the reports that it sends."""

    def __init__(self) -> None:
        self.scheduler = schedulers.Scheduler("z")
        self.reports: list[messages.Suspect] = []
        self.scheduler.on_suspect = self.reports.append
        listed = tuple(entities.Target(target, "z") for target in TARGETS)
        self.scheduler.configure([entities.Pool("a", 4, listed)])

    async def run(self, result: tables.Result) -> str:
        """Runs the request, with one result; returns the target that ran it."""
        deadline = asyncio.get_running_loop().time() + 9.0
        request = tables.RequestRow(
            self.scheduler.create_id(),
            "a",
            "r",
            deadline,
            idempotent=False,
            fingerprint=FINGERPRINT,
        )
        action = await self.scheduler.submit(request)
        assert isinstance(action, actions.Send)
        await self.scheduler.finish(request, action.target, result)
        return action.target

    def list_suspects(self) -> list[tuple[int, tuple[str, ...]]]:
        """Returns the suspects of the gateway."""
        return self.scheduler.core.list_suspects()


class TestSuspects:
    # Guards against a request that other gateways refuse for crashes from
    # before its last answer.
    async def test_answer_clears_the_suspect_at_other_gateways(self) -> None:
        first, second = Gateway(), Gateway()
        target = await first.run(LOST)
        second.scheduler.merge_suspect(first.reports[-1])
        assert second.list_suspects() == [(FINGERPRINT, (target,))]
        await first.run(ANSWERED)
        assert first.reports[-1] == messages.Suspect(
            FINGERPRINT, (target,), True
        )
        second.scheduler.merge_suspect(first.reports[-1])
        assert second.list_suspects() == first.list_suspects() == []

    async def test_answer_to_no_suspect_is_not_reported(self) -> None:
        gateway = Gateway()
        await gateway.run(ANSWERED)
        assert gateway.reports == []

    async def test_later_crash_counts_after_an_answer(self) -> None:
        gateway = Gateway()
        gateway.scheduler.merge_suspect(
            messages.Suspect(FINGERPRINT, ("t0:1", "t1:1"))
        )
        gateway.scheduler.merge_suspect(
            messages.Suspect(FINGERPRINT, ("t0:1",), True)
        )
        assert gateway.list_suspects() == [(FINGERPRINT, ("t1:1",))]
