"""The callers' port of an entry VM."""

import asyncio
from typing import Any, Final

from aiohttp import web

from wigeonspool.core import knowledge
from wigeonspool.model import fleet
from wigeonspool.vm import journal
from wigeonspool.vm import serving

# Callers may use a connection again up to its idle limit; the port keeps it
# a little longer, so that no request crosses its close.
IDLE_SLACK_SECONDS: Final = 2.0
LINGER_SECONDS: Final = 1.0
STATUS_BAD_REQUEST: Final = 400

log = journal.open_part("callers")


class CallerProtocol(web.RequestHandler):
    """One connection of a caller."""

    __slots__ = ()

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the last response of a connection that broke.

        Raises:
            ConnectionError: If an answer has begun, so that none can follow.
        """
        if status != STATUS_BAD_REQUEST:
            log.opt(exception=exc).error("a request failed")
        if request.writer.output_size > 0:
            raise ConnectionError("an answer has begun")
        response = web.Response(status=status)
        response.force_close()
        return response


class CallerServer(web.Server):
    """The server of the callers' port."""

    def __init__(
        self, service: serving.CallerService, known: knowledge.Knowledge
    ) -> None:
        """Prepares the server.

        Args:
            service: Serves the requests.
            known: Tells the limits that hold for callers.
        """
        super().__init__(service.serve, handler_cancellation=True)
        self._known = known

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        configuration = self._known.configuration
        limits = fleet.CallerLimits()
        if configuration is not None:
            limits = configuration.limits
        settings: dict[str, Any] = {
            "access_log": None,
            "auto_decompress": False,
            "keepalive_timeout": limits.idle_seconds + IDLE_SLACK_SECONDS,
            "lingering_time": LINGER_SECONDS,
            "max_field_size": limits.head_bytes,
            "max_line_size": limits.head_bytes,
        }
        return CallerProtocol(self, loop=asyncio.get_running_loop(), **settings)
