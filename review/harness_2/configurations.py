"""Large configurations, within the limits of the pages."""

import json

from review.harness_2 import deployment

# The store's `ValueBytes`.
MAX_VALUE_BYTES = 1_048_576


def build_large(
    version: int, rules: list[dict], services: list[str], routes: int, size: int
) -> bytes:
    """Returns a configuration with many routes beside some rules.

    Args:
        version: Its version.
        rules: Rules that the case uses.
        services: All services.
        routes: Number of further routes, each with a path of its own.
        size: Size of the document in bytes, at most `MAX_VALUE_BYTES`.
    """
    document = _build(version, rules, services, routes, 0)
    padding = (size - len(document)) // routes
    document = _build(version, rules, services, routes, padding)
    assert len(document) <= MAX_VALUE_BYTES
    return document


def _build(
    version: int,
    rules: list[dict],
    services: list[str],
    routes: int,
    padding: int,
) -> bytes:
    more = [
        deployment.build_rule(
            f"r-{index:05d}",
            f"/route{index}/{'p' * padding}/",
            "safe",
            WeightedBackends=[
                {"Service": service, "Weight": 10} for service in services[:2]
            ],
            AllowedRegions=[],
        )
        for index in range(routes)
    ]
    document = deployment.build_configuration(version, rules + more, services)
    return json.dumps(document, separators=(",", ":")).encode()
