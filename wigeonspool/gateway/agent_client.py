"""Follows the VM's agent over a stream that carries tables and members."""

import asyncio
from collections.abc import Callable
import dataclasses
from typing import Final

import loguru

from wigeonspool import eventlog
from wigeonspool import failure_logs
from wigeonspool.gateway import fleet_view
from wigeonspool.model import changes
from wigeonspool.model import errors
from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.model import probe_messages
from wigeonspool.model import status_messages
from wigeonspool.wire import clocks
from wigeonspool.wire import peer_roles
from wigeonspool.wire import streams

# An agent sends several synchronization markers within this time.
RECEIVE_TIMEOUT_SECONDS: Final = 3.0
# A longer time between two checks is a pause of this process. The limit is
# above any work of the event loop, and below the time within which a change
# must be active.
MIN_PAUSE_SECONDS: Final = 2.0


class AgentClient:
    """Applies the agent's messages and reports this gateway to the agent.

    Attributes:
        failures: Logs failures of the streams to the agent.
    """

    def __init__(
        self,
        address: str,
        hello: messages.Hello,
        view: fleet_view.FleetView,
        log: eventlog.EventLog,
        on_change: Callable[[], None],
        on_suspect: Callable[[messages.Suspect], None],
        on_probe: Callable[[probe_messages.ProbeResult], None],
        build_status: Callable[[str], status_messages.GatewayStatus],
        report_interval_seconds: float,
    ) -> None:
        """Creates a client without a stream.

        Args:
            address: host:port of the agent.
            hello: First message of each stream.
            view: Updated from the agent's messages.
            log: Timeline events of this process.
            on_change: Called after the view changed.
            on_suspect: Called with each request that another gateway suspects
                of crashing targets.
            on_probe: Called with each result of a probe.
            build_status: Returns the status of a pool, or of all for "".
            report_interval_seconds: Least time before an unchanged report is
                sent again.
        """
        self._address = address
        self._hello = hello
        self._view = view
        self._log = log
        self._on_change = on_change
        self._on_suspect = on_suspect
        self._on_probe = on_probe
        self._build_status = build_status
        self._report_interval_seconds = report_interval_seconds
        self._next_report_at = 0.0
        self._last_report: messages.GatewayReport | None = None
        self._stream: streams.Stream | None = None
        self.failures = failure_logs.FailureLog("agent stream")
        self._members: dict[str, messages.Heartbeat] = {}
        self._pause_detector = clocks.PauseDetector(
            MIN_PAUSE_SECONDS, clocks.read_boottime_seconds
        )
        view.set_freshness_check(hello.process, self._pause_detector.is_current)

    def send(
        self,
        message: messages.GatewayReport
        | messages.Suspect
        | probe_messages.ProbeRequest,
    ) -> None:
        """Sends a message to the agent; drops it if no stream is open."""
        if self._stream is not None:
            self._stream.post(message)

    def report(self, report: messages.GatewayReport) -> None:
        """Sends a report of this gateway, unless it repeats a recent one."""
        now = asyncio.get_running_loop().time()
        if report == self._last_report and now < self._next_report_at:
            return
        self._last_report = report
        self._next_report_at = now + self._report_interval_seconds
        self.send(report)

    async def follow(self) -> None:
        """Follows the agent over one stream until that ends.

        Raises:
            WireError: If the agent broke the protocol.
            OSError: If the stream failed.
            ChainBrokenError: If the agent has another history of changes.
            TimeoutError: If no message came within the receive timeout.
        """
        stream = await streams.open_stream(self._address, self._log.clock)
        try:
            tables = self._view.tables
            await stream.send(
                dataclasses.replace(
                    self._hello,
                    generation=tables.generation,
                    digest=tables.digest,
                )
            )
            self._stream = stream
            self._last_report = None
            async for message in peer_roles.iterate_messages(
                stream, peer_roles.AGENT, RECEIVE_TIMEOUT_SECONDS
            ):
                self._handle_message(message, stream)
        finally:
            self._stream = None
            stream.close()

    def _handle_message(
        self, message: messages.Message, stream: streams.Stream
    ) -> None:
        """Applies one message of the agent.

        Raises:
            FrameEncodingError: If a change is missing before a received one.
            ChainBrokenError: If a change does not follow the active tables.
        """
        if isinstance(message, messages.Snapshot):
            if self._view.update_tables(message.tables):
                self._announce_tables()
        elif isinstance(message, messages.ChangeNotice):
            self._apply_change(message.change)
        elif isinstance(message, messages.Members):
            self._members = {
                heartbeat.vm: heartbeat for heartbeat in message.heartbeats
            }
            self._update_gateways()
        elif isinstance(message, messages.MemberChanges):
            for vm in message.left:
                self._members.pop(vm, None)
            self._members |= {
                heartbeat.vm: heartbeat for heartbeat in message.changed
            }
            self._update_gateways()
        elif isinstance(message, messages.Directory):
            self._view.draining_targets = frozenset(message.leaving)
            self._on_change()
        elif isinstance(message, messages.Pulse):
            # The agent sends all its state before its first marker. The rest of
            # a stream from before a pause may be out of date, so its markers
            # are ignored.
            if stream is self._stream:
                self._pause_detector.mark_refreshed()
                self.failures.record_recovery()
        elif isinstance(message, messages.Suspect):
            self._on_suspect(message)
        elif isinstance(message, probe_messages.ProbeResult):
            self._on_probe(message)
        elif isinstance(message, status_messages.EventsRequest):
            stream.post(self._log.build_reply(message.wanted))
        elif isinstance(message, status_messages.VmStatusRequest):
            status = self._build_status(message.pool)
            stream.post(status_messages.VmStatusReply((status,)))

    def _update_gateways(self) -> None:
        """Replaces the gateways of the view by those of all members."""
        self._view.gateways = {
            gateway.name: gateway
            for heartbeat in self._members.values()
            for gateway in heartbeat.gateways
        }
        self._on_change()

    def check_pause(self) -> None:
        """Reconnects to the agent if this process was paused.

        Must be called several times in `MIN_PAUSE_SECONDS`. Until the cluster
        state is refreshed, the view lists no gateway but this one.
        """
        gap = self._pause_detector.tick()
        if not gap:
            return
        loguru.logger.warning("this process was paused for {:.1f} s", gap)
        if self._stream is not None:
            self._stream.abort()
            self._stream = None

    def _apply_change(self, change: changes.Change) -> None:
        """Applies a change to the active tables, unless it is an old one.

        Raises:
            FrameEncodingError: If a change before this one is missing.
            ChainBrokenError: If the change follows other tables.
        """
        tables = self._view.tables
        if change.generation <= tables.generation:
            return
        if change.generation != tables.generation + 1:
            raise errors.FrameEncodingError("a change is missing")
        self._view.update_tables(changes.apply_change(tables, change))
        self._announce_tables()

    def _announce_tables(self) -> None:
        """Activates new tables and records them on the timeline."""
        self._on_change()
        self._log.record(
            events.Kind.CONFIGURATION_IN_FORCE,
            vm=self._hello.vm,
            detail={"generation": str(self._view.tables.generation)},
        )


async def follow_forever(client: AgentClient, retry_seconds: float) -> None:
    """Follows the agent forever; reconnects after a fixed delay.

    Args:
        client: Client of the agent.
        retry_seconds: Delay before each reconnection.
    """
    while True:
        try:
            await client.follow()
        except (errors.WireError, OSError, TimeoutError) as error:
            client.failures.record(error)
        except errors.ChainBrokenError as error:
            loguru.logger.warning(
                "configuration differs from the agent's: {}", error
            )
        await asyncio.sleep(retry_seconds)
