"""The stream server of an agent: gateways, other agents and operators."""

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
    """What the hub asks of the agent.

    Attributes:
        admit: Raises PeerUnknownError for a process that is no member.
        answer_query: Answers a question, or None if it is none.
        describe_fleet: Returns the VMs of all regions.
        handle_heartbeat: Takes a heartbeat of another agent.
        handle_beat: Takes a beat of the agent of a VM and incarnation; False
            if all must be told again.
        on_report: Called after a gateway reported.
        relay_message: Takes a message that is passed on through the fleet.
        list_initial_messages: Returns what a new subscriber of a role is told.
    """

    admit: Callable[[messages.Hello], None]
    answer_query: Callable[[messages.Message], messages.Message | None]
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
        rejected: Streams closed for breaking the protocol, by error code.
        cut_off: Subscribers that were too slow or silent.
        closed_traffic: Traffic of agents' streams that ended.
    """

    def __init__(
        self,
        state: configuration.ConfigurationState,
        callbacks: Callbacks,
        silence_seconds: float,
        log: eventlog.EventLog,
    ) -> None:
        """Prepares the hub.

        Args:
            state: Tables to feed to subscribers.
            callbacks: What the hub asks of the agent.
            silence_seconds: A subscriber silent for longer is cut off.
            log: Events of this process.
        """
        self._state = state
        self._callbacks = callbacks
        self._silence_seconds = silence_seconds
        self._log = log
        self._server: asyncio.Server | None = None
        self.subscribers: list[subscribers.Subscriber] = []
        self.rejected: dict[str, int] = {}
        self.cut_off = 0
        self.closed_traffic = subscribers.Traffic()
        self._query_fanout = query_fanout.QueryFanout(callbacks.answer_query)

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

    def _find_deadline(self, hello: messages.Hello) -> float:
        """Returns by when a subscriber must send something."""
        return self._now() + peer_roles.compute_silence_limit_seconds(
            hello.role, self._silence_seconds
        )

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Serves one stream until it ends."""
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
        """Takes the messages of one stream.

        Raises:
            WireError: If the peer broke the protocol or is no member.
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
            self._find_deadline(hello),
        )
        try:
            if hello.role != peer_roles.OPERATOR:
                self._subscribe(subscriber)
            while (message := await stream.receive()) is not None:
                subscriber.silence_deadline = self._find_deadline(
                    subscriber.hello
                )
                peer_roles.check_sender(hello.role, message)
                await self._handle_message(subscriber, message)
        finally:
            if subscriber in self.subscribers:
                self.subscribers.remove(subscriber)
            if hello.role in AGENT_ROLES:
                self.closed_traffic.add(stream)
            if stream.overflowed:
                self.cut_off += 1
                loguru.logger.info("{} reads too slowly", hello.process)

    async def _receive_hello(
        self, stream: streams.Stream
    ) -> messages.Hello | None:
        """Returns what a peer says of itself, or None if it left.

        Raises:
            WireError: If the peer broke the protocol or sent nothing in time.
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
        """Tells a new subscriber all that it needs.

        Raises:
            ChainBrokenError: If it has another history of changes.
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
        """Takes one message.

        Raises:
            PeerUnknownError: If the sender may not send it.
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
            reply = self._callbacks.answer_query(message)
            if reply is not None:
                subscriber.stream.post(reply)

    def _handle_beat(
        self, subscriber: subscribers.Subscriber, beat: messages.Beat
    ) -> None:
        """Takes a beat; an agent that is not known must connect anew."""
        hello = subscriber.hello
        if not self._callbacks.handle_beat(hello.vm, hello.incarnation, beat):
            subscriber.stream.close()

    def _list_gateway_streams(self) -> list[tuple[str, streams.Stream]]:
        """Returns the name and stream of each gateway of the VM."""
        return [
            (s.hello.process, s.stream)
            for s in self.subscribers
            if s.report is not None
        ]

    def _send_updates(self, recipients: list[subscribers.Subscriber]) -> None:
        """Brings subscribers up to the tables in force.

        Each message is packed once for all that hold the same generation.

        Raises:
            ChainBrokenError: If one has another history of changes.
        """
        tables = self._state.tables
        packed: dict[tuple[int, str], list[bytes]] = {}
        for subscriber in recipients:
            held = (subscriber.generation, subscriber.digest)
            if held not in packed:
                packed[held] = [
                    streams.pack_message(message, self._log.clock)
                    for message in self._state.list_updates(*held)
                ]
            for data in packed[held]:
                subscriber.stream.post_frame(data)
            if subscriber.generation < tables.generation:
                subscriber.generation = tables.generation
                subscriber.digest = tables.digest

    def send_updates_to_all(self) -> None:
        """Brings all subscribers up to the tables in force."""
        self._send_updates(self.subscribers)

    def send(self, roles: tuple[str, ...], message: messages.Message) -> None:
        """Sends a message to the subscribers of some roles."""
        data = streams.pack_message(message, self._log.clock)
        for subscriber in self.subscribers:
            if subscriber.hello.role in roles:
                subscriber.stream.post_frame(data)

    def send_pulse(self, roles: tuple[str, ...]) -> None:
        """Tells the subscribers of some roles which tables are in force.

        What a subscriber was told is not repeated to it.
        """
        tables = self._state.tables
        pulse = messages.Pulse(tables.generation, tables.digest)
        full_frame = streams.pack_message(pulse, self._log.clock)
        empty_frame = streams.pack_message(messages.Pulse(), self._log.clock)
        for subscriber in self.subscribers:
            if subscriber.hello.role in roles:
                known = subscriber.last_pulse == pulse
                subscriber.last_pulse = pulse
                subscriber.stream.post_frame(
                    empty_frame if known else full_frame
                )

    def cut_off_silent(self) -> None:
        """Drops subscribers that are silent."""
        now = self._now()
        for subscriber in list(self.subscribers):
            if subscriber.silence_deadline <= now:
                self.cut_off += 1
                self.subscribers.remove(subscriber)
                subscriber.stream.abort()
                loguru.logger.info("{} is silent", subscriber.hello.process)

    def extend_deadlines(self) -> None:
        """Gives all subscribers time anew; this process did not listen."""
        for subscriber in self.subscribers:
            subscriber.silence_deadline = self._find_deadline(subscriber.hello)

    def list_reports(self) -> list[messages.GatewayReport]:
        """Returns the latest report of each connected gateway."""
        return [s.report for s in self.subscribers if s.report is not None]

    def list_agent_streams(self) -> list[streams.Stream]:
        """Returns the open streams of other agents."""
        return [
            s.stream for s in self.subscribers if s.hello.role in AGENT_ROLES
        ]
