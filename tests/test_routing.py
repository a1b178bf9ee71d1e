"""Checks the route index against the rule that the longest prefix wins."""

import hypothesis
from hypothesis import strategies

from wigeonspool.core import routing
from wigeonspool.model import entities

PATHS = strategies.text("/?ab", max_size=7)
METHODS = strategies.sampled_from(["GET", "POST", "*"])


def matches_prefix(prefix: str, path: str) -> bool:
    rest = path.removeprefix(prefix)
    if not path.startswith(prefix):
        return False
    return not rest or prefix.endswith("/") or rest[0] in "/?"


class TestRouteIndex:
    @hypothesis.settings(derandomize=True, max_examples=500, deadline=None)
    @hypothesis.given(
        rules=strategies.lists(
            strategies.tuples(METHODS, PATHS), unique=True, max_size=8
        ),
        path=PATHS,
    )
    def test_longest_prefix_wins(
        self, rules: list[tuple[str, str]], path: str
    ) -> None:
        routes = [
            entities.Route(f"r{i}", method, prefix, "pool", idempotent=True)
            for i, (method, prefix) in enumerate(rules)
        ]
        matching = [
            route
            for route in routes
            if route.method in ("GET", "*")
            and matches_prefix(route.path_prefix, path)
        ]
        best = max(
            matching,
            key=lambda route: (len(route.path_prefix), route.method != "*"),
            default=None,
        )
        assert routing.RouteIndex(routes).find("GET", path) == best
