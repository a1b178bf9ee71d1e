"""Finds the route of a request by the longest matching path prefix."""

from collections.abc import Iterable

from wigeonspool.model import entities


class RouteIndex:
    """Index of routes by method and path prefix.

    A lookup tries each prefix of whole path segments, the longest first, so its
    cost grows with the path and not with the number of routes.
    """

    __slots__ = ("_routes",)

    def __init__(self, routes: Iterable[entities.Route]) -> None:
        """Indexes routes by prefix and method; the first of equal ones wins."""
        self._routes: dict[str, dict[str, entities.Route]] = {}
        for route in routes:
            by_method = self._routes.setdefault(route.path_prefix, {})
            by_method.setdefault(route.method, route)

    def find(self, method: str, path: str) -> entities.Route | None:
        """Returns the route of a request, or None."""
        end = len(path)
        # The empty prefix matches only a path that is empty or begins with a
        # separator, since a prefix consists of whole segments.
        while end or path[:1] in ("", "/", "?"):
            by_method = self._routes.get(path[:end])
            if by_method is not None:
                route = by_method.get(method) or by_method.get("*")
                if route is not None:
                    return route
            if end == 0:
                break
            end = _find_shorter_prefix(path, end)
        return None


def _find_shorter_prefix(path: str, end: int) -> int:
    """Returns the end of the next shorter prefix of whole path segments.

    A prefix ends after a slash, or before a slash or a question mark.
    """
    if path[end - 1] == "/":
        return end - 1
    slash = path.rfind("/", 0, end)
    question = path.rfind("?", 0, end)
    return max(slash + 1, question)
