"""What every process does alike: metrics, events, start and stop."""

import asyncio
from collections.abc import Callable, Mapping
import signal
from typing import Final

from aiohttp import web
import aioprometheus
import mode
import uvloop

from wigeonspool.model import events
from wigeonspool.model import inquiries
from wigeonspool.wire import clocks

EXIT_INVALID_SETTINGS: Final = 2
CLOSE_SECONDS: Final = 0.5


class EventLog:
    """Stamps the events of this process and keeps the newest.

    Attributes:
        clock: Clock of this process; streams make it follow their peers.
        ring: The newest events.
    """

    __slots__ = ("_process", "clock", "ring")

    def __init__(self, process: str) -> None:
        self._process = process
        self.clock = clocks.HybridClock(process)
        self.ring = events.Ring(process)

    def record(
        self,
        kind: events.Kind,
        request: str = "",
        target: str = "",
        vm: str = "",
        detail: Mapping[str, str] | None = None,
    ) -> None:
        """Adds an event that happens now.

        Args:
            kind: What happened.
            request: Identity of the request it is about, or "".
            target: Address of the target it is about, or "".
            vm: Name of the VM it is about, or "".
            detail: Further facts by name; not changed afterwards.
        """
        entry = self._stamp(kind, request, target, vm, detail)
        self.ring.append(entry)

    def record_decision(
        self, kind: events.Kind, request: str, target: str, detail: events.Facts
    ) -> None:
        """Adds a decision that is made now, with its reasons."""
        entry = self._stamp(kind, request, target, "", detail)
        self.ring.append_decision(entry)

    def _stamp(
        self,
        kind: events.Kind,
        request: str,
        target: str,
        vm: str,
        detail: Mapping[str, str] | None,
    ) -> events.Entry:
        """Returns an event that happens now, as it is kept."""
        clock = self.clock
        clock.advance()
        return events.Entry(
            clock.wall_ms, clock.counter, kind, request, target, vm, detail
        )

    def build_reply(self, wanted: events.Filter) -> inquiries.EventsReply:
        """Returns the events of this process that are wanted."""
        return inquiries.EventsReply(
            self._process,
            tuple(self.ring.list_events(wanted)),
            {self._process: self.ring.dropped},
        )


async def serve_http(address: str, server: web.Server) -> web.ServerRunner:
    """Starts an HTTP server.

    Args:
        address: host:port to listen on.
        server: Its handler.

    Returns:
        The runner that stops it.
    """
    host, _, port = address.rpartition(":")
    runner = web.ServerRunner(server, shutdown_timeout=CLOSE_SECONDS)
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), backlog=1024)
    await site.start()
    return runner


def render_metrics(
    request: web.BaseRequest, publish: Callable[[], None]
) -> web.Response:
    """Returns the metrics page of this process.

    Args:
        request: Request for the page.
        publish: Brings the metrics up to date.
    """
    publish()
    accepts = request.headers.getall("Accept", [])
    content, fields = aioprometheus.render(aioprometheus.REGISTRY, accepts)
    return web.Response(body=content, headers=fields)


async def serve_metrics(
    address: str, publish: Callable[[], None]
) -> web.ServerRunner:
    """Starts the metrics page of this process.

    Args:
        address: host:port to listen on.
        publish: Brings the metrics up to date; called at each scrape.

    Returns:
        The runner that stops it.
    """

    async def show(request: web.BaseRequest) -> web.StreamResponse:
        """Answers a scrape."""
        if request.path != "/metrics":
            return web.Response(status=404)
        return render_metrics(request, publish)

    return await serve_http(address, web.Server(show))


class DrainingService(mode.Service):
    """A service that finishes its work before it stops."""

    async def drain(self) -> None:
        """Finishes work in flight; called once, before the stop."""

    async def reload(self) -> None:
        """Takes new settings; called at each SIGHUP."""


async def _run_until_stopped(service: DrainingService) -> None:
    """Runs a service until it stops or a signal asks it to."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
    reloads: set[asyncio.Task[None]] = set()

    def reload() -> None:
        """Starts a reload; its task is kept until it ends."""
        task = loop.create_task(service.reload())
        reloads.add(task)
        task.add_done_callback(reloads.discard)

    loop.add_signal_handler(signal.SIGHUP, reload)
    await service.start()
    crashed = loop.create_task(service.wait_until_stopped())
    asked = loop.create_task(stop.wait())
    await asyncio.wait((crashed, asked), return_when=asyncio.FIRST_COMPLETED)
    if not crashed.done():
        await service.drain()
    await service.stop()
    asked.cancel()


def run_service(service: DrainingService) -> None:
    """Runs a service to its end on a new event loop."""
    uvloop.run(_run_until_stopped(service))
