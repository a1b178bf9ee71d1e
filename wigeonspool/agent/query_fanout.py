"""Sends an operator's query to all gateways of a VM and merges the replies.

The merged reply is sent when all gateways have replied, or at a timeout with
the names of those that have not, so that one gateway that hangs does not hide
the others.
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
    """A query that some gateways have not replied to.

    Attributes:
        requester: Stream of the operator.
        reply: Replies merged so far, with that of the agent.
        pending_gateways: Names of the gateways that have not replied.
    """

    requester: streams.Stream
    reply: Reply
    pending_gateways: set[str]


def merge_replies(first: Reply, second: Reply) -> Reply:
    """Returns the first reply extended by the second one.

    If the second one is of another type, it replies to another query, and the
    first one is returned unchanged.
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
    """Stores pending queries and sends each merged reply once."""

    def __init__(
        self,
        build_query_reply: Callable[
            [messages.Message], messages.Message | None
        ],
    ) -> None:
        """Builds a fan-out without pending queries.

        Args:
            build_query_reply: Returns the agent's own reply to a query.
        """
        self._build_query_reply = build_query_reply
        self._pending: list[PendingQuery] = []

    def send_query(
        self,
        requester: streams.Stream,
        query: Query,
        gateways: Iterable[tuple[str, streams.Stream]],
    ) -> None:
        """Sends a query to gateways; the merged reply goes to the operator.

        Args:
            requester: Stream of the operator.
            query: Query of the operator.
            gateways: Name and stream of each gateway.
        """
        streams_by_name = dict(gateways)
        own_reply = self._build_query_reply(query)
        assert isinstance(own_reply, Reply)
        pending = PendingQuery(requester, own_reply, set(streams_by_name))
        self._pending.append(pending)
        for stream in streams_by_name.values():
            stream.post(query)
        loop = asyncio.get_running_loop()
        loop.call_later(QUERY_TIMEOUT_SECONDS, self._send_reply, pending)
        self._send_reply_if_complete(pending)

    def receive_reply(self, gateway: str, reply: Reply) -> None:
        """Adds a gateway's reply to all pending queries of its type.

        Args:
            gateway: Name of the gateway.
            reply: Reply of the gateway.
        """
        for pending in list(self._pending):
            if type(pending.reply) is not type(reply):
                continue
            if gateway not in pending.pending_gateways:
                continue
            pending.pending_gateways.discard(gateway)
            pending.reply = merge_replies(pending.reply, reply)
            self._send_reply_if_complete(pending)

    def _send_reply_if_complete(self, pending: PendingQuery) -> None:
        """Replies to the operator if no gateway is pending."""
        if not pending.pending_gateways:
            self._send_reply(pending)

    def _send_reply(self, pending: PendingQuery) -> None:
        """Replies to the operator unless that was done before."""
        if pending not in self._pending:
            return
        self._pending.remove(pending)
        missing = tuple(sorted(pending.pending_gateways))
        pending.requester.post(
            dataclasses.replace(
                pending.reply, missing=pending.reply.missing + missing
            )
        )
