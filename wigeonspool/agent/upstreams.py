"""The streams that an agent follows: its feeders, or seeds while none is known.

Each stream brings tables, members and what is needed of the VM list. It is
closed and opened anew if nothing came for too long, since a connection can go
silent for good while new ones work.
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
        address: host:port of it.
        role: Role that this agent opens the stream with.
        replica: Members that it told of.
        failures: Logs what goes wrong with its streams.
        directory: What it told of the VM list.
        stream: Open stream, if any.
        task: Keeps the stream open.
        last_sent: What it was last told of this VM.
        last_pulse: Its last pulse that had a digest.
        heard_at: When it was last heard, on this process's clock.
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
    heard_at: float = float("-inf")


class Upstreams:
    """Follows a changing set of agents.

    Attributes:
        has_synced: Set once any agent has told all that it knows.
        closed_traffic: Traffic of streams that ended.
    """

    def __init__(
        self,
        silence_seconds: float,
        build_hello: Callable[[str], messages.Hello],
        receive_tables: Callable[[messages.Message], None],
        relay_message: Callable[[message_relay.RelayedMessage], None],
        clock: clocks.HybridClock,
    ) -> None:
        """Prepares to follow.

        Args:
            silence_seconds: A stream silent for longer is opened anew.
            build_hello: Returns what opens a stream in a role.
            receive_tables: Takes a message that brings tables or a pulse;
                raises WireError if the stream must be opened anew.
            relay_message: Takes a message that is passed on through the fleet.
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
        """Starts and ends streams so that exactly some agents are followed.

        Args:
            roles: Role to follow each address in.
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
        """Opens all streams anew; what was known may be out of date."""
        for upstream in self._upstreams.values():
            upstream.heard_at = float("-inf")
            if upstream.stream is not None:
                upstream.stream.abort()

    async def _maintain_stream(self, upstream: Upstream) -> None:
        """Follows one agent for ever."""
        while True:
            try:
                await self._follow_stream(upstream)
            except (errors.WireError, OSError, TimeoutError) as error:
                upstream.failures.record(error)
            await asyncio.sleep(RETRY_DELAY_SECONDS)

    async def _follow_stream(self, upstream: Upstream) -> None:
        """Follows an agent over one stream until that ends.

        Raises:
            WireError: If the agent broke the protocol.
            OSError: If the stream failed.
            TimeoutError: If nothing came for too long.
        """
        silence = peer_roles.compute_silence_limit_seconds(
            upstream.role, self._silence_seconds
        )
        async with asyncio.timeout(silence):
            stream = await streams.open_stream(upstream.address, self._clock)
        try:
            upstream.last_sent = None
            upstream.last_pulse = messages.Pulse()
            stream.post(self._build_hello(upstream.role))
            upstream.stream = stream
            async for message in peer_roles.iterate_messages(
                stream, peer_roles.AGENT, silence
            ):
                self._handle_message(upstream, message)
        finally:
            upstream.stream = None
            self.closed_traffic.add(stream)
            stream.abort()

    def _handle_message(
        self, upstream: Upstream, message: messages.Message
    ) -> None:
        """Takes one message of an agent.

        Raises:
            WireError: If the stream must be opened anew.
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
            # Until its first pulse an agent has not told all that it knows.
            self.has_synced.set()
        elif isinstance(message, message_relay.RelayedMessage):
            self._relay_message(message)
        else:
            self._receive_tables(message)
        upstream.failures.record_recovery()
        if isinstance(message, messages.Pulse) or self._is_fresh(upstream):
            upstream.heard_at = asyncio.get_running_loop().time()

    def _is_fresh(self, upstream: Upstream) -> bool:
        """Returns True if an agent was heard a short time ago."""
        now = asyncio.get_running_loop().time()
        silence = peer_roles.compute_silence_limit_seconds(
            upstream.role, self._silence_seconds
        )
        return now - upstream.heard_at <= 2 * silence

    def has_any(self) -> bool:
        """Returns True if any agent is followed."""
        return bool(self._upstreams)

    def list_fresh(self) -> list[Upstream]:
        """Returns the agents that were heard a short time ago."""
        return [u for u in self._upstreams.values() if self._is_fresh(u)]

    def send_heartbeat(
        self,
        heartbeat: messages.Heartbeat,
        include_remote: bool,
    ) -> None:
        """Tells all feeders of this VM.

        Args:
            heartbeat: All that there is to tell.
            include_remote: True to tell agents of other regions too.
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
        """Sends a message to all agents that are followed."""
        for stream in self.list_streams():
            stream.post(message)

    def list_streams(self) -> list[streams.Stream]:
        """Returns the open streams."""
        return [
            u.stream for u in self._upstreams.values() if u.stream is not None
        ]
