"""What every process does alike: logs, metrics, events, start and stop."""

import asyncio
from collections.abc import Mapping
import json
import signal
import sys
from typing import Any, Final

from aiohttp import web
import aioprometheus
import loguru
import mode
import uvloop

from wigeonspool.model import events
from wigeonspool.model import messages
from wigeonspool.model import options
from wigeonspool.wire import clocks

EXIT_INVALID_SETTINGS: Final = 2
TEXT_FORMAT: Final = "{time:HH:mm:ss.SSS} {level} {extra[part]}: {message}"


def configure_logs(part: str, settings: options.LogOptions) -> None:
    """Directs the log of this process to standard error.

    Args:
        part: Prefix of each line.
        settings: Format and lowest level.
    """
    loguru.logger.remove()
    loguru.logger.configure(extra={"part": part})
    if settings.format == "text":
        loguru.logger.add(sys.stderr, format=TEXT_FORMAT, level=settings.level)
        return
    loguru.logger.add(write_json_line, level=settings.level)


def write_json_line(message: Any) -> None:
    """Writes one log record as a line of JSON."""
    record = message.record
    line = {
        "time": record["time"].isoformat(),
        "level": record["level"].name,
        "part": record["extra"]["part"],
        "message": record["message"],
    }
    print(json.dumps(line), file=sys.stderr)


class EventLog:
    """Stamps the events of this process and keeps the newest."""

    __slots__ = ("_clock", "_process", "ring")

    def __init__(self, process: str) -> None:
        self._process = process
        self._clock = clocks.HybridClock(process)
        self.ring = events.Ring()

    def record(
        self,
        kind: events.Kind,
        request: str = "",
        target: str = "",
        vm: str = "",
        detail: Mapping[str, str] | None = None,
    ) -> None:
        """Adds an event that happens now."""
        stamp = self._clock.issue_stamp()
        event = events.Event(
            stamp, kind, request, target, vm, {**(detail or {})}
        )
        self.ring.append(event)

    def build_reply(self) -> messages.EventsReply:
        """Returns all that this process can tell of its events."""
        return messages.EventsReply(
            self._process,
            tuple(self.ring.list_events()),
            {self._process: self.ring.dropped},
        )

    def observe(self, stamp: events.Stamp) -> None:
        """Orders later events after one of another process."""
        self._clock.observe_stamp(stamp)


async def serve_http(address: str, server: web.Server) -> web.ServerRunner:
    """Starts an HTTP server.

    Args:
        address: host:port to listen on.
        server: Its handler.

    Returns:
        The runner that stops it.
    """
    host, _, port = address.rpartition(":")
    runner = web.ServerRunner(server)
    await runner.setup()
    site = web.TCPSite(runner, host, int(port), backlog=1024)
    await site.start()
    return runner


async def show_metrics(request: web.BaseRequest) -> web.StreamResponse:
    """Answers a scrape of the metrics of this process."""
    if request.path != "/metrics":
        return web.Response(status=404)
    accepts = request.headers.getall("Accept", [])
    content, headers = aioprometheus.render(aioprometheus.REGISTRY, accepts)
    return web.Response(body=content, headers=headers)


class DrainingService(mode.Service):
    """A service that finishes its work before it stops."""

    async def drain(self) -> None:
        """Finishes work in flight; called once, before the stop."""


async def _run_until_stopped(service: DrainingService) -> None:
    """Runs a service until it stops or a signal asks it to."""
    loop = asyncio.get_running_loop()
    stop = asyncio.Event()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stop.set)
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
