"""Streams to the agents that this agent follows.

These are feeders, or the configured seeds while no feeder is known. Each stream
delivers tables, members and the needed parts of the VM list. A stream that
delivers nothing for too long is closed and reopened, since one connection can
stall for good while new ones work.
"""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Final

from wigeonspool import failure_logs
from wigeonspool.agent import members
from wigeonspool.agent import message_relay
from wigeonspool.agent import subscribers
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.wire import clocks
from wigeonspool.wire import peer_roles
from wigeonspool.wire import streams

RETRY_DELAY_SECONDS: Final = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """One agent that is followed.

    Attributes:
        address: host:port of the agent.
        role: Role in which this agent opens the stream.
        replica: Members that the agent reported.
        failures: Log of failures of its streams.
        directory: Directory that the agent sent last, if any.
        stream: Open stream, if any.
        task: Task that keeps the stream open.
        last_sent: Full heartbeat that was last sent on the stream.
        last_pulse: Last synchronization marker that contained a digest.
        last_received_at: When its last message was received, in seconds on
            this process's clock. After a long gap or a reopening, only a
            synchronization marker sets it again, because the agent sends its
            complete state before the first marker.
    """

    address: str
    role: str
    replica: members.MemberReplica
    failures: failure_logs.FailureLog
    directory: messages.Directory | None = None
    stream: streams.Stream | None = None
    task: asyncio.Task[None] | None = None
    last_sent: messages.Heartbeat | None = None
    last_pulse: messages.Pulse = messages.Pulse()
    last_received_at: float = float("-inf")


class Upstreams:
    """Follows a changing set of agents.

    Attributes:
        has_synced: Set once any agent has sent its complete state.
        closed_traffic: Bytes exchanged on closed streams.
    """

    def __init__(
        self,
        silence_seconds: float,
        build_hello: Callable[[str], messages.Hello],
        receive_tables: Callable[[messages.Message], None],
        relay_message: Callable[[message_relay.RelayedMessage], None],
        clock: clocks.HybridClock,
    ) -> None:
        """Creates an empty set of upstreams.

        Args:
            silence_seconds: A stream that delivers nothing for longer is
                reopened.
            build_hello: Returns the Hello for a stream in a role.
            receive_tables: Handles tables, changes and synchronization
                markers; raises WireError if the stream must be reopened.
            relay_message: Forwards a message that is meant for the whole
                fleet.
            clock: Clock of this process, which stamps messages.
        """
        self._clock = clock
        self._silence_seconds = silence_seconds
        self._build_hello = build_hello
        self._receive_tables = receive_tables
        self._relay_message = relay_message
        self._upstreams: dict[str, Upstream] = {}
        self.has_synced = asyncio.Event()
        self.closed_traffic = subscribers.Traffic()

    def set_upstreams(self, roles: dict[str, str]) -> None:
        """Starts and ends streams to follow exactly the given agents.

        Args:
            roles: Role of the stream to each address.
        """
        loop = asyncio.get_running_loop()
        for address, upstream in list(self._upstreams.items()):
            if roles.get(address) != upstream.role:
                self._remove(address)
        for address, role in roles.items():
            if address not in self._upstreams:
                log = failure_logs.FailureLog(f"feeder {address}")
                upstream = Upstream(address, role, members.MemberReplica(), log)
                upstream.task = loop.create_task(
                    self._maintain_stream(upstream)
                )
                self._upstreams[address] = upstream

    def _remove(self, address: str) -> None:
        """Ends one stream."""
        upstream = self._upstreams.pop(address)
        if upstream.task is not None:
            upstream.task.cancel()

    def stop(self) -> None:
        """Ends all streams."""
        self.set_upstreams({})

    def reopen(self) -> None:
        """Reopens all streams and treats their state as out of date."""
        for upstream in self._upstreams.values():
            upstream.last_received_at = float("-inf")
            if upstream.stream is not None:
                upstream.stream.abort()

    async def _maintain_stream(self, upstream: Upstream) -> None:
        """Keeps a stream to one agent open until the task is cancelled."""
        while True:
            try:
                await self._follow_stream(upstream)
            except (errors.WireError, OSError, TimeoutError) as error:
                upstream.failures.record(error)
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _follow_stream(self, upstream: Upstream) -> None:
        """Opens a stream to an agent and handles messages until it ends.

        Raises:
            WireError: If the agent broke the protocol.
            OSError: If the stream failed.
            TimeoutError: If the stream could not be opened, or delivered
                nothing, within the stream timeout of its role.
        """
        timeout_seconds = peer_roles.compute_stream_timeout_seconds(
            upstream.role, self._silence_seconds
        )
        async with asyncio.timeout(timeout_seconds):
            stream = await streams.open_stream(upstream.address, self._clock)
        try:
            upstream.last_sent = None
            upstream.last_pulse = messages.Pulse()
            stream.post(self._build_hello(upstream.role))
            upstream.stream = stream
            async for message in peer_roles.iterate_messages(
                stream, peer_roles.AGENT, timeout_seconds
            ):
                self._handle_message(upstream, message)
        finally:
            upstream.stream = None
            self.closed_traffic.add(stream)
            stream.abort()

    def _handle_message(
        self, upstream: Upstream, message: messages.Message
    ) -> None:
        """Handles one message of an agent.

        Raises:
            WireError: If the stream must be reopened.
        """
        if isinstance(message, messages.Members):
            upstream.replica.replace(message.heartbeats)
        elif isinstance(message, messages.MemberChanges):
            upstream.replica.update(message)
        elif isinstance(message, messages.Directory):
            upstream.directory = message
        elif isinstance(message, messages.Pulse):
            if message.digest:
                upstream.last_pulse = message
            self._receive_tables(upstream.last_pulse)
            # An agent sends its complete state before its first marker.
            self.has_synced.set()
        elif isinstance(message, message_relay.RelayedMessage):
            self._relay_message(message)
        else:
            self._receive_tables(message)
        upstream.failures.record_recovery()
        if isinstance(message, messages.Pulse) or self._is_fresh(upstream):
            upstream.last_received_at = asyncio.get_running_loop().time()

    def _is_fresh(self, upstream: Upstream) -> bool:
        """Returns True if the agent is responsive.

        It is if `last_received_at` is no longer ago than twice the stream
        timeout of its role.
        """
        now = asyncio.get_running_loop().time()
        timeout_seconds = peer_roles.compute_stream_timeout_seconds(
            upstream.role, self._silence_seconds
        )
        return now - upstream.last_received_at <= 2 * timeout_seconds

    def has_any(self) -> bool:
        """Returns True if this agent follows any other."""
        return bool(self._upstreams)

    def list_fresh(self) -> list[Upstream]:
        """Returns the responsive agents."""
        return [u for u in self._upstreams.values() if self._is_fresh(u)]

    def send_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
        include_remote: bool,
    ) -> None:
        """Sends a heartbeat to all upstream agents.

        An agent of this region gets the full heartbeat if relayed fields or
        demand changed since the last one on its stream, otherwise a heartbeat
        without changes. An agent of another region never gets the full one.

        Args:
            heartbeat: Full heartbeat of this VM.
            include_remote: True to send to agents of other regions too.
        """
        beat = messages.Beat(heartbeat.sequence, heartbeat.generation)
        for upstream in self._upstreams.values():
            if upstream.stream is None:
                continue
            if upstream.role == peer_roles.REMOTE:
                if include_remote:
                    upstream.stream.post(beat)
                continue
            last_sent = upstream.last_sent
            if (
                last_sent is not None
                and members.list_relayed_fields(last_sent)
                == members.list_relayed_fields(heartbeat)
                and not members.measure_demand_change(last_sent, heartbeat)
            ):
                upstream.stream.post(beat)
            else:
                upstream.stream.post(heartbeat)
                upstream.last_sent = heartbeat

    def send(self, message: messages.Message) -> None:
        """Sends a message on all open streams."""
        for stream in self.list_streams():
            stream.post(message)

    def list_streams(self) -> list[streams.Stream]:
        """Returns the open streams."""
        return [
            u.stream for u in self._upstreams.values() if u.stream is not None
        ]
