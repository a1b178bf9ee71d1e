"""Gathers the events of a VM's processes for an operator."""

import dataclasses

from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.wire import streams


@dataclasses.dataclass(slots=True, eq=False)
class Collection:
    """An operator's question for the events of a VM.

    Attributes:
        stream: Where to reply.
        events: Events gathered so far.
        waiting: Gateways that have not replied.
    """

    stream: streams.Stream
    events: list[events.Event]
    waiting: set[str]

    def reply(self, process: str) -> None:
        """Sends what was gathered."""
        self.stream.post(messages.EventsReply(process, tuple(self.events)))


class EventCollector:
    """Keeps the questions that wait for gateways."""

    def __init__(self) -> None:
        self._collections: list[Collection] = []

    def start(
        self,
        stream: streams.Stream,
        own: messages.EventsReply,
        waiting: set[str],
    ) -> None:
        """Begins to gather events.

        Args:
            stream: Where to reply.
            own: Events of the agent.
            waiting: Names of the gateways that were asked.
        """
        collection = Collection(stream, list(own.events), waiting)
        if not waiting:
            collection.reply(own.process)
            return
        self._collections.append(collection)

    def take(self, process: str, vm: str, reply: messages.EventsReply) -> None:
        """Adds a gateway's events to the questions that wait for them."""
        for collection in list(self._collections):
            collection.waiting.discard(process)
            collection.events += reply.events
            if not collection.waiting:
                self._collections.remove(collection)
                collection.reply(vm)
