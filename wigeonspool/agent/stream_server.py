"""The stream server of an agent, for gateways, other agents and operators.

It sends tables, members and synchronization markers to its subscribers, and
handles what they and operators send.
"""

import asyncio
from collections.abc import Awaitable, Callable
import dataclasses
from typing import Final

import loguru

from wigeonspool import eventlog
from wigeonspool.agent import configuration
from wigeonspool.agent import message_relay
from wigeonspool.agent import metrics
from wigeonspool.agent import query_fanout
from wigeonspool.agent import subscribers
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.model import status_messages
from wigeonspool.wire import peer_roles
from wigeonspool.wire import streams

MAX_HELLO_BYTES: Final = 4096
HELLO_TIMEOUT_SECONDS: Final = 5.0
AGENT_ROLES: Final = (peer_roles.AGENT, peer_roles.REMOTE)


@dataclasses.dataclass(slots=True)
class Callbacks:
    """Functions of the agent that the stream server calls.

    Attributes:
        admit: Raises PeerUnknownError for a process that is not admitted.
        build_query_reply: Returns the reply to a query, or None if the message
            is not a query.
        describe_fleet: Returns the VMs of all regions.
        handle_heartbeat: Applies a heartbeat of another agent.
        handle_beat: Applies a heartbeat without changes of the agent with a VM
            name and incarnation; returns False if a full one is needed.
        on_report: Called after each report of a gateway.
        relay_message: Forwards a message that is meant for the whole fleet.
        list_initial_messages: Returns the first messages to a new subscriber
            of a role.
    """

    admit: Callable[[messages.Hello], None]
    build_query_reply: Callable[[messages.Message], messages.Message | None]
    describe_fleet: Callable[[], Awaitable[messages.Members]]
    handle_heartbeat: Callable[[messages.Heartbeat], None]
    handle_beat: Callable[[str, str, messages.Beat], bool]
    on_report: Callable[[], None]
    relay_message: Callable[[message_relay.RelayedMessage], None]
    list_initial_messages: Callable[[str], list[messages.Message]]


class StreamServer:
    """Accepts streams and keeps their subscribers up to date.

    Attributes:
        subscribers: Gateways and agents that follow this agent.
        rejected: Number of streams closed because the peer was not admitted or
            broke the protocol, by error code.
        disconnect_count: Number of subscribers disconnected because they were
            unresponsive or read too slowly.
        closed_traffic: Bytes exchanged on closed streams of other agents.
    """

    def __init__(
        self,
        state: configuration.ConfigurationState,
        callbacks: Callbacks,
        silence_seconds: float,
        log: eventlog.EventLog,
    ) -> None:
        """Builds the server; `start` opens its port.

        Args:
            state: Tables to send to subscribers.
            callbacks: Functions of the agent that the server calls.
            silence_seconds: A subscriber that sends nothing for longer is
                disconnected.
            log: Event log of this process.
        """
        self._state = state
        self._callbacks = callbacks
        self._silence_seconds = silence_seconds
        self._log = log
        self._server: asyncio.Server | None = None
        self.subscribers: list[subscribers.Subscriber] = []
        self.rejected: dict[str, int] = {}
        self.disconnect_count = 0
        self.closed_traffic = subscribers.Traffic()
        self._query_fanout = query_fanout.QueryFanout(
            callbacks.build_query_reply
        )

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

    def _now(self) -> float:
        """Returns the time on this process's monotonic clock."""
        return asyncio.get_running_loop().time()

    def _compute_deadline(self, hello: messages.Hello) -> float:
        """Returns the deadline for the next message of a subscriber."""
        return self._now() + peer_roles.compute_stream_timeout_seconds(
            hello.role, self._silence_seconds
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Handles one stream until it ends and logs why it failed."""
        stream = streams.Stream(reader, writer, self._log.clock)
        try:
            await self._handle_messages(stream)
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
        except errors.ChainBrokenError as error:
            loguru.logger.warning("refused {}: {}", stream.peer, error)
        except OSError as error:
            loguru.logger.info("stream of {} failed: {}", stream.peer, error)
        finally:
            stream.close()

    async def _handle_messages(self, stream: streams.Stream) -> None:
        """Receives and handles the messages of one stream until it ends.

        Raises:
            WireError: If the peer broke the protocol or is not admitted.
            ChainBrokenError: If the peer has another history of changes.
            OSError: If the stream failed.
        """
        hello = await self._receive_hello(stream)
        if hello is None:
            return
        self._callbacks.admit(hello)
        subscriber = subscribers.Subscriber(
            hello,
            stream,
            hello.generation,
            hello.digest,
            self._compute_deadline(hello),
        )
        try:
            if hello.role != peer_roles.OPERATOR:
                self._subscribe(subscriber)
            while (message := await stream.receive()) is not None:
                subscriber.expires_at = self._compute_deadline(subscriber.hello)
                peer_roles.check_sender(hello.role, message)
                await self._handle_message(subscriber, message)
        finally:
            if subscriber in self.subscribers:
                self.subscribers.remove(subscriber)
            if hello.role in AGENT_ROLES:
                self.closed_traffic.add(stream)
            if stream.overflowed:
                self.disconnect_count += 1
                loguru.logger.info(
                    "disconnected {}: reads too slowly", hello.process
                )

    async def _receive_hello(
        self, stream: streams.Stream
    ) -> messages.Hello | None:
        """Returns the Hello of a peer, or None if it closed the stream.

        Raises:
            WireError: If the peer broke the protocol or sent no Hello within
                the timeout.
            OSError: If the stream failed.
        """
        try:
            async with asyncio.timeout(HELLO_TIMEOUT_SECONDS):
                hello = await stream.receive(MAX_HELLO_BYTES)
        except TimeoutError as error:
            raise errors.FrameStalledError(HELLO_TIMEOUT_SECONDS) from error
        if hello is None:
            return None
        if not isinstance(hello, messages.Hello):
            raise errors.FrameKindError(type(hello).__name__)
        peer_roles.check_sender(hello.role, hello)
        return hello

    def _subscribe(self, subscriber: subscribers.Subscriber) -> None:
        """Adds a subscriber and sends it the current cluster state.

        Raises:
            ChainBrokenError: If the subscriber has another history of changes.
        """
        for message in self._callbacks.list_initial_messages(
            subscriber.hello.role
        ):
            subscriber.stream.post(message)
        self._send_updates([subscriber])
        self.subscribers.append(subscriber)

    async def _handle_message(
        self, subscriber: subscribers.Subscriber, message: messages.Message
    ) -> None:
        """Handles one message of a subscriber or operator.

        Raises:
            PeerUnknownError: If it is a heartbeat for another VM than the
                sender's.
        """
        hello = subscriber.hello
        if isinstance(message, messages.GatewayReport):
            subscriber.report = message
            self._callbacks.on_report()
        elif isinstance(message, message_relay.RelayedMessage):
            self._callbacks.relay_message(message)
        elif isinstance(message, messages.Heartbeat):
            if message.vm != hello.vm:
                raise errors.PeerUnknownError(message.vm)
            self._callbacks.handle_heartbeat(message)
        elif isinstance(message, messages.Beat):
            # A beat from another region only keeps its stream open; heartbeats
            # of its VM are not stored here.
            if hello.role == peer_roles.AGENT:
                self._handle_beat(subscriber, message)
        elif isinstance(message, query_fanout.Query):
            self._query_fanout.send_query(
                subscriber.stream, message, self._list_gateway_streams()
            )
        elif isinstance(message, query_fanout.Reply):
            self._query_fanout.receive_reply(hello.process, message)
        elif isinstance(message, status_messages.StatusRequest):
            subscriber.stream.post(await self._callbacks.describe_fleet())
        else:
            reply = self._callbacks.build_query_reply(message)
            if reply is not None:
                subscriber.stream.post(reply)

    def _handle_beat(
        self, subscriber: subscribers.Subscriber, beat: messages.Beat
    ) -> None:
        """Handles a heartbeat without changes.

        Closes the stream of an agent of which no full heartbeat is stored; it
        sends one when it connects again.
        """
        hello = subscriber.hello
        if not self._callbacks.handle_beat(hello.vm, hello.incarnation, beat):
            subscriber.stream.close()

    def _list_gateway_streams(self) -> list[tuple[str, streams.Stream]]:
        """Returns the name and stream of each gateway that sent a report."""
        return [
            (s.hello.process, s.stream)
            for s in self.subscribers
            if s.report is not None
        ]

    def _send_updates(self, recipients: list[subscribers.Subscriber]) -> None:
        """Sends subscribers the changes, or the complete tables, they lack.

        Each message is packed once for all subscribers that hold the same
        generation.

        Raises:
            ChainBrokenError: If a subscriber has another history of changes.
        """
        tables = self._state.tables
        packed: dict[tuple[int, str], list[bytes]] = {}
        for subscriber in recipients:
            version = (subscriber.generation, subscriber.digest)
            if version not in packed:
                packed[version] = [
                    streams.pack_message(message, self._log.clock)
                    for message in self._state.list_updates(*version)
                ]
            for data in packed[version]:
                subscriber.stream.post_frame(data)
            if subscriber.generation < tables.generation:
                subscriber.generation = tables.generation
                subscriber.digest = tables.digest

    def send_updates_to_all(self) -> None:
        """Sends all subscribers the changes, or the complete tables, they lack.

        Raises:
            ChainBrokenError: If a subscriber has another history of changes.
        """
        self._send_updates(self.subscribers)

    def send(self, roles: tuple[str, ...], message: messages.Message) -> None:
        """Sends a message to the subscribers of some roles."""
        data = streams.pack_message(message, self._log.clock)
        for subscriber in self.subscribers:
            if subscriber.hello.role in roles:
                subscriber.stream.post_frame(data)

    def send_pulse(self, roles: tuple[str, ...]) -> None:
        """Sends a synchronization marker to the subscribers of some roles.

        It contains the active generation and its digest, but is empty for a
        subscriber whose last marker contained the same.
        """
        tables = self._state.tables
        pulse = messages.Pulse(tables.generation, tables.digest)
        full_frame = streams.pack_message(pulse, self._log.clock)
        empty_frame = streams.pack_message(messages.Pulse(), self._log.clock)
        for subscriber in self.subscribers:
            if subscriber.hello.role in roles:
                is_repeated = subscriber.last_pulse == pulse
                subscriber.last_pulse = pulse
                subscriber.stream.post_frame(
                    empty_frame if is_repeated else full_frame
                )

    def disconnect_unresponsive(self) -> None:
        """Disconnects subscribers that sent nothing before their deadline."""
        now = self._now()
        for subscriber in list(self.subscribers):
            if subscriber.expires_at <= now:
                self.disconnect_count += 1
                self.subscribers.remove(subscriber)
                subscriber.stream.abort()
                loguru.logger.info(
                    "disconnected {}: unresponsive", subscriber.hello.process
                )

    def extend_deadlines(self) -> None:
        """Restarts all timeouts after a pause in which no message was read."""
        for subscriber in self.subscribers:
            subscriber.expires_at = self._compute_deadline(subscriber.hello)

    def list_reports(self) -> list[messages.GatewayReport]:
        """Returns the latest report of each connected gateway."""
        return [s.report for s in self.subscribers if s.report is not None]

    def list_agent_streams(self) -> list[streams.Stream]:
        """Returns the open streams of other agents."""
        return [
            s.stream for s in self.subscribers if s.hello.role in AGENT_ROLES
        ]
