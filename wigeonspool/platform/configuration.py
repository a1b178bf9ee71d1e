"""Decodes the configuration that operators write into the product's rules."""

from typing import Final

import msgspec

from wigeonspool.model import fleet
from wigeonspool.platform import duration_text
from wigeonspool.platform import value_limits

# Above the limit of the store on the size of a value.
MAX_CONFIGURATION_BYTES: Final = 16 * 1024 * 1024
# Kinds of rules whose requests may run more than once. Requests of any other
# kind run at most once.
IDEMPOTENT_KINDS: Final = frozenset({"safe", "download"})
LARGE_RESPONSE_KINDS: Final = frozenset({"download"})
DEFAULT_TIMEOUT: Final = "30s"


class _WeightedBackend(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Action(msgspec.Struct, rename="pascal"):
    # A rule names either one service or several with weights.
    service: str | None = None
    weighted_backends: tuple[_WeightedBackend, ...] = ()
    # Longest time until the caller gets a response.
    timeout: str = DEFAULT_TIMEOUT
    max_attempts: int = 1


class _Match(msgspec.Struct, rename="pascal"):
    prefix: str


class _Rule(msgspec.Struct, rename="pascal"):
    match: _Match
    action: _Action
    name: str = ""
    kind: str = ""
    # Latency objective: time within which a response has its full value.
    slo: str | None = None
    # 0 is the most urgent.
    priority: int = 1


class _Listener(msgspec.Struct, rename="pascal"):
    host: str
    # Rules of the host. Of rules with the same prefix, the first one is used.
    policy: tuple[_Rule, ...] = ()


class _Upstream(msgspec.Struct, rename="pascal"):
    name: str
    health_path: str = "/health"


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout: str = "5s"
    idle_timeout: str = "60s"


class _Configuration(msgspec.Struct, rename="pascal"):
    config_version: int
    listeners: tuple[_Listener, ...]
    upstreams: tuple[_Upstream, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder: Final = msgspec.json.Decoder(_Configuration, strict=False)


def decode_configuration(value: bytes) -> fleet.Configuration:
    """Returns the configuration that a value of the store encodes.

    Raises:
        PlatformFormatError: If the value is not a valid configuration document.
    """
    document = value_limits.decode_json(
        _decoder, value, MAX_CONFIGURATION_BYTES
    )
    return fleet.Configuration(
        version=document.config_version,
        hosts=_build_hosts(document.listeners),
        services={
            u.name: fleet.Service(u.name, u.health_path)
            for u in document.upstreams
        },
        limits=fleet.CallerLimits(
            max_head_bytes=document.limits.max_header_bytes,
            max_body_bytes=document.limits.max_body_bytes,
            head_timeout_seconds=duration_text.parse_seconds(
                document.limits.header_timeout
            ),
            idle_timeout_seconds=duration_text.parse_seconds(
                document.limits.idle_timeout
            ),
        ),
    )


def _build_hosts(
    listeners: tuple[_Listener, ...],
) -> dict[str, tuple[fleet.Rule, ...]]:
    """Returns the rules by host in lower case, the longest prefix first.

    Raises:
        PlatformFormatError: If a duration is malformed.
    """
    hosts: dict[str, list[fleet.Rule]] = {}
    for listener in listeners:
        rules = hosts.setdefault(listener.host.lower(), [])
        rules += [_build_rule(rule) for rule in listener.policy]
    return {
        host: tuple(sorted(rules, key=lambda r: len(r.prefix), reverse=True))
        for host, rules in hosts.items()
    }


def _build_rule(rule: _Rule) -> fleet.Rule:
    """Converts a rule of the platform into a rule of the product.

    If the rule names one service, its weighted backends are ignored. A rule
    without a latency objective has its timeout as the objective.

    Raises:
        PlatformFormatError: If a duration is malformed.
    """
    action = rule.action
    weighted_services = tuple(
        fleet.WeightedService(backend.service, backend.weight)
        for backend in action.weighted_backends
    )
    if action.service:
        weighted_services = (fleet.WeightedService(action.service, 1.0),)
    limit_seconds = duration_text.parse_seconds(action.timeout)
    objective_seconds = (
        limit_seconds
        if rule.slo is None
        else duration_text.parse_seconds(rule.slo)
    )
    return fleet.Rule(
        name=rule.name,
        prefix=rule.match.prefix,
        weighted_services=weighted_services,
        idempotent=rule.kind in IDEMPOTENT_KINDS,
        large_responses=rule.kind in LARGE_RESPONSE_KINDS,
        objective_seconds=objective_seconds,
        limit_seconds=limit_seconds,
        max_targets=max(1, action.max_attempts),
        priority=rule.priority,
    )
