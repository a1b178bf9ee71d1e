"""Puts an operator's question to all gateways of a VM.

The answer goes out when all have replied, or at a deadline with the names of
those that have not: one gateway that hangs must not hide all others.
"""

import asyncio
from collections.abc import Callable, Iterable
import dataclasses
from typing import Final

from wigeonspool.model import messages
from wigeonspool.model import status_messages
from wigeonspool.wire import streams

QUERY_TIMEOUT_SECONDS: Final = 1.0

Query = status_messages.EventsRequest | status_messages.VmStatusRequest
Reply = status_messages.EventsReply | status_messages.VmStatusReply


@dataclasses.dataclass(slots=True, eq=False)
class PendingQuery:
    """A question whose replies are awaited.

    Attributes:
        requester: Stream of the operator.
        reply: What was gathered so far.
        waiting: Names of the gateways that have not replied.
    """

    requester: streams.Stream
    reply: Reply
    waiting: set[str]


def merge_replies(first: Reply, second: Reply) -> Reply:
    """Returns what two replies to one question say together.

    A reply of another kind is for another question; it changes nothing.
    """
    if isinstance(first, status_messages.EventsReply):
        if not isinstance(second, status_messages.EventsReply):
            return first
        return dataclasses.replace(
            first,
            events=first.events + second.events,
            dropped=first.dropped | second.dropped,
            missing=first.missing + second.missing,
        )
    if not isinstance(second, status_messages.VmStatusReply):
        return first
    return dataclasses.replace(
        first,
        gateways=first.gateways + second.gateways,
        missing=first.missing + second.missing,
    )


class QueryFanout:
    """Holds the questions whose replies are awaited."""

    def __init__(
        self,
        answer_query: Callable[[messages.Message], messages.Message | None],
    ) -> None:
        """Prepares to gather.

        Args:
            answer_query: Gives the agent's own reply to a question.
        """
        self._answer_query = answer_query
        self._pending: list[PendingQuery] = []

    def send_query(
        self,
        requester: streams.Stream,
        query: Query,
        gateways: Iterable[tuple[str, streams.Stream]],
    ) -> None:
        """Puts a question to gateways and replies to its asker.

        Args:
            requester: Stream of the operator.
            query: What it asked.
            gateways: Name and stream of each gateway.
        """
        streams_by_name = dict(gateways)
        own = self._answer_query(query)
        assert isinstance(own, Reply)
        pending = PendingQuery(requester, own, set(streams_by_name))
        self._pending.append(pending)
        for stream in streams_by_name.values():
            stream.post(query)
        loop = asyncio.get_running_loop()
        loop.call_later(QUERY_TIMEOUT_SECONDS, self._finish, pending)
        self._finish_if_complete(pending)

    def receive_reply(self, gateway: str, reply: Reply) -> None:
        """Takes a gateway's reply for all questions that await it.

        Args:
            gateway: Name of the gateway.
            reply: What it replied.
        """
        for pending in list(self._pending):
            if type(pending.reply) is not type(reply):
                continue
            if gateway not in pending.waiting:
                continue
            pending.waiting.discard(gateway)
            pending.reply = merge_replies(pending.reply, reply)
            self._finish_if_complete(pending)

    def _finish_if_complete(self, pending: PendingQuery) -> None:
        """Replies to the asker once no gateway is awaited."""
        if not pending.waiting:
            self._finish(pending)

    def _finish(self, pending: PendingQuery) -> None:
        """Replies to the asker, once."""
        if pending not in self._pending:
            return
        self._pending.remove(pending)
        missing = tuple(sorted(pending.waiting))
        pending.requester.post(
            dataclasses.replace(
                pending.reply, missing=pending.reply.missing + missing
            )
        )
