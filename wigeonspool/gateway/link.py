"""Keeps a stream to the agent of the VM: tables and members come in."""

import asyncio
from collections.abc import Callable

import loguru

from wigeonspool.gateway import view as views
from wigeonspool.model import changes
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.process import EventLog
from wigeonspool.wire import senders
from wigeonspool.wire import streams


class AgentLink:
    """Follows the agent and tells it of this gateway."""

    def __init__(
        self,
        address: str,
        hello: messages.Hello,
        view: views.FleetView,
        log: EventLog,
        on_change: Callable[[], None],
        build_status: Callable[[str], messages.GatewayStatus],
    ) -> None:
        """Prepares the link.

        Args:
            address: host:port of the agent.
            hello: What to open each stream with.
            view: Where to put what the agent tells.
            log: Events of this process.
            on_change: Called after the view changed.
            build_status: Returns the state of a pool, or of all for "".
        """
        self._address = address
        self._hello = hello
        self._view = view
        self._log = log
        self._on_change = on_change
        self._build_status = build_status
        self._stream: streams.Stream | None = None

    def report(self, report: messages.GatewayReport) -> None:
        """Tells the agent of this gateway, if a stream is open."""
        if self._stream is not None:
            self._stream.post(report)

    async def follow(self) -> None:
        """Follows the agent over one stream until that ends.

        Raises:
            WireError: If the agent broke the protocol.
            OSError: If the stream failed.
        """
        stream = await streams.open_stream(self._address, self._log.clock)
        try:
            await stream.send(self._hello)
            self._stream = stream
            while (message := await stream.receive()) is not None:
                senders.check_sender(senders.AGENT, message)
                self._take(message, stream)
        finally:
            self._stream = None
            stream.close()

    def _take(self, message: messages.Message, stream: streams.Stream) -> None:
        """Takes one message of the agent."""
        if isinstance(message, messages.Snapshot):
            if self._view.take_tables(message.tables):
                self._put_in_force()
        elif isinstance(message, messages.ChangeNotice):
            self._take_change(message.change)
        elif isinstance(message, messages.Members):
            self._view.gateways = {
                gateway.name: gateway
                for heartbeat in message.heartbeats
                for gateway in heartbeat.gateways
            }
            self._view.leaving = frozenset(message.leaving)
            self._on_change()
        elif isinstance(message, messages.EventsRequest):
            stream.post(self._log.build_reply(message.wanted))
        elif isinstance(message, messages.VmStatusRequest):
            status = self._build_status(message.pool)
            stream.post(messages.VmStatusReply((status,)))

    def _take_change(self, change: changes.Change) -> None:
        """Takes a change that follows the tables in force.

        Raises:
            FrameEncodingError: If a change between is missing.
        """
        tables = self._view.tables
        if change.generation <= tables.generation:
            return
        if change.generation != tables.generation + 1:
            raise errors.FrameEncodingError("a change is missing")
        self._view.take_tables(changes.apply_change(tables, change))
        self._put_in_force()

    def _put_in_force(self) -> None:
        """Makes new tables known to this process and to the time line."""
        self._on_change()
        self._log.record(
            events.Kind.CONFIGURATION_IN_FORCE,
            vm=self._hello.vm,
            detail={"generation": str(self._view.tables.generation)},
        )


async def keep_following(link: AgentLink, retry_seconds: float) -> None:
    """Follows the agent for ever; reconnects after a fixed delay."""
    while True:
        try:
            await link.follow()
        except (errors.WireError, OSError) as error:
            loguru.logger.info("agent stream ended: {}", error)
        await asyncio.sleep(retry_seconds)
