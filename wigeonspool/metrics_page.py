"""The page with the metrics of a process."""

from collections.abc import Callable

from aiohttp import web
import aioprometheus


def render_metrics(
    request: web.BaseRequest, update_metrics: Callable[[], None]
) -> web.Response:
    """Returns the metrics page of this process.

    Args:
        request: Request for the page.
        update_metrics: Brings the metrics up to date; called first.
    """
    update_metrics()
    accept_values = request.headers.getall("Accept", [])
    content, header_fields = aioprometheus.render(
        aioprometheus.REGISTRY, accept_values
    )
    return web.Response(body=content, headers=header_fields)
