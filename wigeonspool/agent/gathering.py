"""Puts an operator's question to all gateways of a VM.

The answer goes out when all have replied, or at a deadline with the names of
those that have not: one gateway that hangs must not hide all others.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
from typing import Final

from wigeonspool.model import inquiries
from wigeonspool.model import messages
from wigeonspool.wire import streams

GATHER_SECONDS: Final = 1.0

Question = inquiries.EventsRequest | inquiries.VmStatusRequest
Reply = inquiries.EventsReply | inquiries.VmStatusReply


@dataclasses.dataclass(slots=True, eq=False)
class Gathering:
    """A question whose replies are awaited.

    Attributes:
        asker: Stream of the operator.
        reply: What was gathered so far.
        waiting: Names of the gateways that have not replied.
    """

    asker: streams.Stream
    reply: Reply
    waiting: set[str]


def merge_replies(first: Reply, second: Reply) -> Reply:
    """Returns what two replies to one question say together.

    A reply of another kind is for another question; it changes nothing.
    """
    if isinstance(first, inquiries.EventsReply):
        if not isinstance(second, inquiries.EventsReply):
            return first
        return dataclasses.replace(
            first,
            events=first.events + second.events,
            dropped=first.dropped | second.dropped,
            missing=first.missing + second.missing,
        )
    if not isinstance(second, inquiries.VmStatusReply):
        return first
    return dataclasses.replace(
        first,
        gateways=first.gateways + second.gateways,
        missing=first.missing + second.missing,
    )


class Gatherer:
    """Holds the questions whose replies are awaited."""

    def __init__(
        self, answer: Callable[[messages.Message], messages.Message | None]
    ) -> None:
        """Prepares to gather.

        Args:
            answer: Gives the agent's own reply to a question.
        """
        self._answer = answer
        self._pending: list[Gathering] = []

    def ask(
        self,
        asker: streams.Stream,
        question: Question,
        gateways: Iterable[tuple[str, streams.Stream]],
    ) -> None:
        """Puts a question to gateways and replies to its asker.

        Args:
            asker: Stream of the operator.
            question: What it asked.
            gateways: Name and stream of each gateway.
        """
        streams_by_name = dict(gateways)
        own = self._answer(question)
        assert isinstance(own, Reply)
        gathering = Gathering(asker, own, set(streams_by_name))
        self._pending.append(gathering)
        for stream in streams_by_name.values():
            stream.post(question)
        loop = asyncio.get_running_loop()
        loop.call_later(GATHER_SECONDS, self._finish, gathering)
        self._finish_if_whole(gathering)

    def take(self, gateway: str, reply: Reply) -> None:
        """Takes a gateway's reply for all questions that await it.

        Args:
            gateway: Name of the gateway.
            reply: What it replied.
        """
        for gathering in list(self._pending):
            if type(gathering.reply) is not type(reply):
                continue
            if gateway not in gathering.waiting:
                continue
            gathering.waiting.discard(gateway)
            gathering.reply = merge_replies(gathering.reply, reply)
            self._finish_if_whole(gathering)

    def _finish_if_whole(self, gathering: Gathering) -> None:
        """Replies to the asker once no gateway is awaited."""
        if not gathering.waiting:
            self._finish(gathering)

    def _finish(self, gathering: Gathering) -> None:
        """Replies to the asker, once."""
        if gathering not in self._pending:
            return
        self._pending.remove(gathering)
        missing = tuple(sorted(gathering.waiting))
        gathering.asker.post(
            dataclasses.replace(
                gathering.reply, missing=gathering.reply.missing + missing
            )
        )
