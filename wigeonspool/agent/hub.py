"""The stream server of an agent: gateways, other agents and operators."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Final

import loguru

from wigeonspool import process
from wigeonspool.agent import configuration
from wigeonspool.agent import gathering
from wigeonspool.agent import metrics
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.wire import senders
from wigeonspool.wire import streams

HELLO_BYTES: Final = 4096
HELLO_SECONDS: Final = 5.0


@dataclasses.dataclass(slots=True, eq=False)
class Subscriber:
    """A process that follows this agent.

    Attributes:
        hello: What it opened its stream with.
        stream: Its stream.
        generation: Newest generation that was sent to it.
        report: Latest report, if it is a gateway.
    """

    hello: messages.Hello
    stream: streams.Stream
    generation: int = 0
    report: messages.GatewayReport | None = None


class Hub:
    """Accepts streams and keeps their subscribers up to date.

    Attributes:
        subscribers: Gateways and agents that follow this agent.
        rejected: Streams closed for breaking the protocol, by error code.
    """

    def __init__(
        self,
        state: configuration.ConfigurationState,
        answer: Callable[[messages.Message], messages.Message | None],
        on_heartbeat: Callable[[messages.Heartbeat], None],
        log: process.EventLog,
    ) -> None:
        """Prepares the hub.

        Args:
            state: Tables to feed to subscribers.
            answer: Answers a question of an operator, or None.
            on_heartbeat: Called with each heartbeat of another agent.
            log: Events of this process.
        """
        self._state = state
        self._answer = answer
        self._on_heartbeat = on_heartbeat
        self._log = log
        self._server: asyncio.Server | None = None
        self.subscribers: list[Subscriber] = []
        self.rejected: dict[str, int] = {}
        self._gatherer = gathering.Gatherer(answer)

    async def start(self, address: str) -> None:
        """Listens on host:port.

        Raises:
            OSError: If the address cannot be used.
        """
        host, _, port = address.rpartition(":")
        self._server = await asyncio.start_server(self._serve, host, int(port))

    async def stop(self) -> None:
        """Closes the port and all streams."""
        if self._server is not None:
            self._server.close()
        for subscriber in self.subscribers:
            subscriber.stream.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one stream until it ends."""
        stream = streams.Stream(reader, writer, self._log.clock)
        try:
            await self._converse(stream)
        except errors.WireError as error:
            self.rejected[error.code] = self.rejected.get(error.code, 0) + 1
            metrics.STREAMS_REJECTED.inc({"code": error.code})
            self._log.record(
                events.Kind.PEER_REJECTED,
                detail={"peer": stream.peer, "code": error.code},
            )
            loguru.logger.warning(
                "closed the stream of {}: {}", stream.peer, error
            )
        except OSError as error:
            loguru.logger.info("stream of {} failed: {}", stream.peer, error)
        finally:
            stream.close()

    async def _converse(self, stream: streams.Stream) -> None:
        """Takes the messages of one stream.

        Raises:
            WireError: If the peer broke the protocol.
            OSError: If the stream failed.
        """
        hello = await self._receive_hello(stream)
        if hello is None:
            return
        subscriber = Subscriber(hello, stream)
        if hello.role != "operator":
            self.subscribers.append(subscriber)
            self.feed(subscriber)
        try:
            while (message := await stream.receive()) is not None:
                senders.check_sender(hello.role, message)
                self._take(subscriber, message)
        finally:
            if subscriber in self.subscribers:
                self.subscribers.remove(subscriber)

    async def _receive_hello(
        self, stream: streams.Stream
    ) -> messages.Hello | None:
        """Returns what a peer says of itself, or None if it left.

        Raises:
            WireError: If the peer broke the protocol or sent nothing in time.
            OSError: If the stream failed.
        """
        try:
            async with asyncio.timeout(HELLO_SECONDS):
                hello = await stream.receive(HELLO_BYTES)
        except TimeoutError as error:
            raise errors.FrameStalledError(HELLO_SECONDS) from error
        if hello is None:
            return None
        if not isinstance(hello, messages.Hello):
            raise errors.FrameKindError(type(hello).__name__)
        senders.check_sender(hello.role, hello)
        return hello

    def _take(self, subscriber: Subscriber, message: messages.Message) -> None:
        """Takes one message of a subscriber."""
        if isinstance(message, messages.GatewayReport):
            subscriber.report = message
        elif isinstance(message, messages.Heartbeat):
            self._on_heartbeat(message)
        elif isinstance(message, gathering.Question):
            self._gatherer.ask(subscriber.stream, message, self._list_links())
        elif isinstance(message, gathering.Reply):
            self._gatherer.take(subscriber.hello.process, message)
        else:
            reply = self._answer(message)
            if reply is not None:
                subscriber.stream.post(reply)

    def _list_links(self) -> list[tuple[str, streams.Stream]]:
        """Returns the name and stream of each gateway of the VM."""
        return [
            (s.hello.process, s.stream)
            for s in self.subscribers
            if s.report is not None
        ]

    def feed(self, subscriber: Subscriber) -> None:
        """Brings one subscriber up to the tables in force."""
        for message in self._state.list_messages(subscriber.generation):
            subscriber.stream.post(message)
        subscriber.generation = self._state.tables.generation

    def feed_all(self) -> None:
        """Brings all subscribers up to the tables in force."""
        for subscriber in self.subscribers:
            self.feed(subscriber)

    def broadcast(self, message: messages.Message) -> None:
        """Sends a message to all subscribers."""
        for subscriber in self.subscribers:
            subscriber.stream.post(message)

    def list_reports(self) -> list[messages.GatewayReport]:
        """Returns the latest report of each connected gateway."""
        return [s.report for s in self.subscribers if s.report is not None]
