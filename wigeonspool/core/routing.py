"""Finds the route of a request: the longest prefix of its path wins."""

from collections.abc import Iterable

from wigeonspool.model import entities


class RouteIndex:
    """Routes arranged for lookup by method and path."""

    __slots__ = ("_by_length",)

    def __init__(self, routes: Iterable[entities.Route]) -> None:
        """Arranges routes, the longest prefix first."""
        self._by_length = sorted(
            routes,
            key=lambda route: (-len(route.path_prefix), route.method == "*"),
        )

    def find(self, method: str, path: str) -> entities.Route | None:
        """Returns the route of a request, or None."""
        for route in self._by_length:
            if route.method in (method, "*") and _matches(
                route.path_prefix, path
            ):
                return route
        return None


def _matches(prefix: str, path: str) -> bool:
    """Returns True if a path lies under a prefix, by whole segments."""
    if not path.startswith(prefix):
        return False
    rest = path[len(prefix) :]
    return not rest or prefix.endswith("/") or rest[0] in "/?"
