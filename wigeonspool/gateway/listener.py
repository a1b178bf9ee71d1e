"""HTTP server of the callers' port.

A request that is not valid HTTP gets a problem document as its response, and
its connection is closed.
"""

import asyncio
from typing import Any, Final

from aiohttp import web
import loguru

from wigeonspool.gateway import ingress as ingresses
from wigeonspool.gateway import responses
from wigeonspool.gateway import streaming
from wigeonspool.model import outcomes

# The HTTP library reports this status for a request that is not valid HTTP.
STATUS_BAD_REQUEST: Final = 400


class CallerProtocol(web.RequestHandler):
    """One connection of a caller."""

    __slots__ = ("_ingress",)

    def __init__(
        self, server: web.Server, ingress: ingresses.Ingress, **settings: Any
    ) -> None:
        """Creates the protocol of a connection.

        Args:
            server: Server of the connection.
            ingress: Counts the requests that failed here.
            settings: Settings of the HTTP library.
        """
        super().__init__(server, **settings)
        self._ingress = ingress

    def handle_error(
        self,
        request: web.BaseRequest,
        status: int = 500,
        exc: BaseException | None = None,
        message: str | None = None,
    ) -> web.StreamResponse:
        """Returns the response to a failed request, and counts the failure.

        The response closes the connection.

        Raises:
            ConnectionError: If a response has begun, so that none can follow.
        """
        if status == STATUS_BAD_REQUEST:
            failure = outcomes.build_refusal(outcomes.Reason.BAD_REQUEST)
        else:
            failure = outcomes.build_unknown_outcome(
                outcomes.Reason.INTERNAL_ERROR
            )
            loguru.logger.opt(exception=exc).error("a request failed")
        self._ingress.record_result("", failure)
        return streaming.build_final_response(
            request, responses.build_problem(failure, "")
        )


class CallerServer(web.Server):
    """The server of the callers' port."""

    def __init__(self, ingress: ingresses.Ingress) -> None:
        """Creates the server.

        Args:
            ingress: Serves the requests.
        """
        super().__init__(ingress.serve, handler_cancellation=True)
        self._ingress = ingress

    def __call__(self) -> web.RequestHandler:
        """Returns the protocol of a new connection."""
        return CallerProtocol(
            self,
            self._ingress,
            loop=asyncio.get_running_loop(),
            access_log=None,
            auto_decompress=False,
            lingering_time=streaming.LINGER_TIMEOUT_SECONDS,
        )
