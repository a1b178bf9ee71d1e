"""Decodes the operators' configuration into the product's rules."""

from typing import Final

import msgspec

from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.platform import duration_text

# Kinds whose requests may run more than once; any other kind runs once.
REPEATABLE_KINDS: Final = frozenset({"safe", "download"})
LARGE_KINDS: Final = frozenset({"download"})
DEFAULT_TIMEOUT: Final = "30s"


class _Part(msgspec.Struct, rename="pascal"):
    service: str
    weight: float


class _Action(msgspec.Struct, rename="pascal"):
    # Either one service or several with weights.
    service: str | None = None
    weighted_backends: tuple[_Part, ...] = ()
    # Longest time that a caller is kept waiting.
    timeout: str = DEFAULT_TIMEOUT
    max_attempts: int = 1


class _Match(msgspec.Struct, rename="pascal"):
    prefix: str


class _Rule(msgspec.Struct, rename="pascal"):
    match: _Match
    action: _Action
    name: str = ""
    kind: str = ""
    # Time within which an answer has its full value.
    slo: str | None = None
    priority: int = 1


class _Listener(msgspec.Struct, rename="pascal"):
    host: str
    # The rules of the host.
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
    """Returns the configuration in a value of the store.

    Raises:
        PlatformFormatError: If it is not one.
    """
    try:
        found = _decoder.decode(value)
    except (msgspec.MsgspecError, ValueError) as error:
        raise errors.PlatformFormatError(f"configuration: {error}") from error
    return fleet.Configuration(
        version=found.config_version,
        hosts=_build_hosts(found.listeners),
        services={
            u.name: fleet.Service(u.name, u.health_path)
            for u in found.upstreams
        },
        limits=fleet.CallerLimits(
            max_head_bytes=found.limits.max_header_bytes,
            max_body_bytes=found.limits.max_body_bytes,
            head_timeout_seconds=duration_text.parse_seconds(
                found.limits.header_timeout
            ),
            idle_timeout_seconds=duration_text.parse_seconds(
                found.limits.idle_timeout
            ),
        ),
    )


def _build_hosts(
    listeners: tuple[_Listener, ...],
) -> dict[str, tuple[fleet.Rule, ...]]:
    """Returns the rules of each host, the longest prefix first."""
    hosts: dict[str, list[fleet.Rule]] = {}
    for listener in listeners:
        rules = hosts.setdefault(listener.host.lower(), [])
        rules += [_build_rule(rule) for rule in listener.policy]
    return {
        host: tuple(sorted(rules, key=lambda r: len(r.prefix), reverse=True))
        for host, rules in hosts.items()
    }


def _build_rule(rule: _Rule) -> fleet.Rule:
    """Returns the product's form of a rule."""
    action = rule.action
    shares = tuple(
        fleet.Share(part.service, part.weight)
        for part in action.weighted_backends
    )
    if action.service:
        shares = (fleet.Share(action.service, 1.0),)
    limit = duration_text.parse_seconds(action.timeout)
    objective = (
        limit if rule.slo is None else duration_text.parse_seconds(rule.slo)
    )
    return fleet.Rule(
        name=rule.name,
        prefix=rule.match.prefix,
        shares=shares,
        idempotent=rule.kind in REPEATABLE_KINDS,
        large_responses=rule.kind in LARGE_KINDS,
        objective_seconds=objective,
        limit_seconds=limit,
        max_targets=max(1, action.max_attempts),
        priority=rule.priority,
    )
