"""The streams that an agent follows: its feeders, or seeds while none is known.

Each stream brings tables, members and what is needed of the VM list. It is
closed and opened anew if nothing came for too long, since a connection can go
silent for good while new ones work.
"""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Final

from wigeonspool import failures
from wigeonspool.agent import members
from wigeonspool.agent import relays
from wigeonspool.agent import subscribers
from wigeonspool.model import errors
from wigeonspool.model import messages
from wigeonspool.wire import clocks
from wigeonspool.wire import senders
from wigeonspool.wire import streams

RETRY_SECONDS: Final = 0.5


@dataclasses.dataclass(slots=True, eq=False)
class Upstream:
    """One agent that is followed.

    Attributes:
        address: host:port of it.
        role: Role that this agent opens the stream with.
        mirror: Members that it told of.
        failures: Logs what goes wrong with its streams.
        directory: What it told of the VM list.
        stream: Open stream, if any.
        task: Keeps the stream open.
        told: What it was last told of this VM.
        pulse: Its last pulse that had a digest.
        heard_at: When it was last heard, on this process's clock.
    """

    address: str
    role: str
    mirror: members.Mirror
    failures: failures.FailureLog
    directory: messages.Directory | None = None
    stream: streams.Stream | None = None
    task: asyncio.Task[None] | None = None
    told: messages.Heartbeat | None = None
    pulse: messages.Pulse = messages.Pulse()
    heard_at: float = float("-inf")


class Upstreams:
    """Follows a changing set of agents.

    Attributes:
        heard: Set once any agent has told all that it knows.
        closed: Traffic of streams that ended.
    """

    def __init__(
        self,
        silence_seconds: float,
        build_hello: Callable[[str], messages.Hello],
        take: Callable[[messages.Message], None],
        pass_on: Callable[[relays.Passed], None],
        clock: clocks.HybridClock,
    ) -> None:
        """Prepares to follow.

        Args:
            silence_seconds: A stream silent for longer is opened anew.
            build_hello: Returns what opens a stream in a role.
            take: Takes a message that brings tables or a pulse; raises
                WireError if the stream must be opened anew.
            pass_on: Takes a message that is passed on through the fleet.
            clock: Clock of this process, which stamps messages.
        """
        self._clock = clock
        self._silence_seconds = silence_seconds
        self._build_hello = build_hello
        self._take_tables = take
        self._pass_on = pass_on
        self._upstreams: dict[str, Upstream] = {}
        self.heard = asyncio.Event()
        self.closed = subscribers.Traffic()

    def follow(self, roles: dict[str, str]) -> None:
        """Starts and ends streams so that exactly some agents are followed.

        Args:
            roles: Role to follow each address in.
        """
        loop = asyncio.get_running_loop()
        for address, upstream in list(self._upstreams.items()):
            if roles.get(address) != upstream.role:
                self._drop(address)
        for address, role in roles.items():
            if address not in self._upstreams:
                log = failures.FailureLog(f"feeder {address}")
                upstream = Upstream(address, role, members.Mirror(), log)
                upstream.task = loop.create_task(self._keep(upstream))
                self._upstreams[address] = upstream

    def _drop(self, address: str) -> None:
        """Ends one stream."""
        upstream = self._upstreams.pop(address)
        if upstream.task is not None:
            upstream.task.cancel()

    def stop(self) -> None:
        """Ends all streams."""
        self.follow({})

    def reopen(self) -> None:
        """Opens all streams anew; what was known may be out of date."""
        for upstream in self._upstreams.values():
            upstream.heard_at = float("-inf")
            if upstream.stream is not None:
                upstream.stream.abort()

    async def _keep(self, upstream: Upstream) -> None:
        """Follows one agent for ever."""
        while True:
            try:
                await self._follow_stream(upstream)
            except (errors.WireError, OSError, TimeoutError) as error:
                upstream.failures.note(error)
            await asyncio.sleep(RETRY_SECONDS)

    async def _follow_stream(self, upstream: Upstream) -> None:
        """Follows an agent over one stream until that ends.

        Raises:
            WireError: If the agent broke the protocol.
            OSError: If the stream failed.
            TimeoutError: If nothing came for too long.
        """
        silence = senders.find_silence(upstream.role, self._silence_seconds)
        async with asyncio.timeout(silence):
            stream = await streams.open_stream(upstream.address, self._clock)
        try:
            upstream.told = None
            upstream.pulse = messages.Pulse()
            stream.post(self._build_hello(upstream.role))
            upstream.stream = stream
            async for message in senders.iterate_messages(
                stream, senders.AGENT, silence
            ):
                self._take(upstream, message)
        finally:
            upstream.stream = None
            self.closed.add(stream)
            stream.abort()

    def _take(self, upstream: Upstream, message: messages.Message) -> None:
        """Takes one message of an agent.

        Raises:
            WireError: If the stream must be opened anew.
        """
        if isinstance(message, messages.Members):
            upstream.mirror.replace(message.heartbeats)
        elif isinstance(message, messages.MemberChanges):
            upstream.mirror.update(message)
        elif isinstance(message, messages.Directory):
            upstream.directory = message
        elif isinstance(message, messages.Pulse):
            if message.digest:
                upstream.pulse = message
            self._take_tables(upstream.pulse)
            # Until its first pulse an agent has not told all that it knows.
            self.heard.set()
        elif isinstance(message, relays.Passed):
            self._pass_on(message)
        else:
            self._take_tables(message)
        upstream.failures.clear()
        if isinstance(message, messages.Pulse) or self._is_fresh(upstream):
            upstream.heard_at = asyncio.get_running_loop().time()

    def _is_fresh(self, upstream: Upstream) -> bool:
        """Returns True if an agent was heard a short time ago."""
        now = asyncio.get_running_loop().time()
        silence = senders.find_silence(upstream.role, self._silence_seconds)
        return now - upstream.heard_at <= 2 * silence

    def has_any(self) -> bool:
        """Returns True if any agent is followed."""
        return bool(self._upstreams)

    def list_fresh(self) -> list[Upstream]:
        """Returns the agents that were heard a short time ago."""
        return [u for u in self._upstreams.values() if self._is_fresh(u)]

    def tell(
        self,
        heartbeat: messages.Heartbeat,
        tell_remote: bool,
    ) -> None:
        """Tells all feeders of this VM.

        Args:
            heartbeat: All that there is to tell.
            tell_remote: True to tell agents of other regions too.
        """
        beat = messages.Beat(heartbeat.sequence, heartbeat.generation)
        for upstream in self._upstreams.values():
            if upstream.stream is None:
                continue
            if upstream.role == senders.REMOTE:
                if tell_remote:
                    upstream.stream.post(beat)
                continue
            told = upstream.told
            if (
                told is not None
                and members.describe(told) == members.describe(heartbeat)
                and not members.measure_demand(told, heartbeat)
            ):
                upstream.stream.post(beat)
            else:
                upstream.stream.post(heartbeat)
                upstream.told = heartbeat

    def send(self, message: messages.Message) -> None:
        """Sends a message to all agents that are followed."""
        for stream in self.list_streams():
            stream.post(message)

    def list_streams(self) -> list[streams.Stream]:
        """Returns the open streams."""
        return [
            u.stream for u in self._upstreams.values() if u.stream is not None
        ]
