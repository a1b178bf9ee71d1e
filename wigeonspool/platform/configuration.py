"""Decodes the configuration that operators write into the product's rules."""

import re
from typing import Final

import msgspec

from wigeonspool.model import credentials
from wigeonspool.model import errors
from wigeonspool.model import fleet
from wigeonspool.platform import value_limits

# Above the limit of the store on the size of a value.
MAX_CONFIGURATION_BYTES: Final = 16 * 1024 * 1024
# Kinds of rules whose requests may run more than once. Requests of any other
# kind run at most once.
IDEMPOTENT_KINDS: Final = frozenset({"safe", "download"})
LARGE_RESPONSE_KINDS: Final = frozenset({"download"})
MAX_VERSION: Final = 2**63 - 1
MAX_WEIGHT: Final = 1e9
MAX_PRIORITY: Final = 1_000_000
MAX_ATTEMPTS: Final = 1_000_000
MAX_CONNECTIONS: Final = 2**31 - 1
# The HTTP parser holds the limits of a head in 32 bits.
MAX_HEADER_BYTES: Final = 2**31 - 1
MAX_BODY_BYTES: Final = 2**63 - 1
MAX_PATH_CHARS: Final = 4096
MAX_TIMEOUT_SECONDS: Final = 24 * 3600.0
# Requests per second, or requests of a burst.
MAX_RATE: Final = 1e9
_PATH: Final = re.compile(f"/[!-~]{{0,{MAX_PATH_CHARS}}}")
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
    # Regions that may serve the requests; empty for all.
    allowed_regions: tuple[str, ...] = ()


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
    # True if a request needs no key.
    public: bool = False


class _Listener(msgspec.Struct, rename="pascal"):
    host: str
    # Rules of the host. Of rules with the same prefix, the first one is used.
    policy: tuple[_Rule, ...] = ()


class _Upstream(msgspec.Struct, rename="pascal"):
    name: str
    health_path: str = "/health"
    max_conns: int = 0
    cold: str = "0s"
    cold_per_s: float = msgspec.field(name="ColdPerS", default=0.0)


class _Tenant(msgspec.Struct, rename="pascal"):
    name: str
    api_keys: tuple[str, ...] = ()
    # Takes precedence over the priority of a rule.
    priority: int | None = None
    # 0 for no limit.
    rate_per_s: float = msgspec.field(name="RatePerS", default=0.0)
    burst: float = 0.0
    allowed_regions: tuple[str, ...] = ()


class _Limits(msgspec.Struct, rename="pascal"):
    max_header_bytes: int = 16 * 1024
    max_body_bytes: int = 64 * 1024 * 1024
    header_timeout: str = "5s"
    idle_timeout: str = "60s"


class _Configuration(msgspec.Struct, rename="pascal"):
    config_version: int
    listeners: tuple[_Listener, ...]
    upstreams: tuple[_Upstream, ...] = ()
    tenants: tuple[_Tenant, ...] = ()
    limits: _Limits = msgspec.field(default_factory=_Limits)


_decoder: Final = msgspec.json.Decoder(_Configuration, strict=False)


def decode_configuration(value: bytes) -> fleet.Configuration:
    """Returns the configuration that a value of the store encodes.

    Raises:
        PlatformFormatError: If the value is not a valid configuration document.
    """
    document = value_limits.decode_json(
        _decoder, value, MAX_CONFIGURATION_BYTES, has_secrets=True
    )
    value_limits.check_range(
        "ConfigVersion", document.config_version, 0, MAX_VERSION
    )
    accounts, account_keys = _build_accounts(document.tenants)
    return fleet.Configuration(
        version=document.config_version,
        hosts=_build_hosts(document.listeners),
        services={u.name: _build_service(u) for u in document.upstreams},
        limits=_build_limits(document.limits),
        accounts=accounts,
        account_keys=account_keys,
    )


def _build_accounts(
    tenants: tuple[_Tenant, ...],
) -> tuple[dict[str, fleet.ClientAccount], dict[bytes, fleet.ClientAccount]]:
    """Returns the client accounts by name, and by the digests of their keys.

    Error messages name the account and never a key.

    Raises:
        PlatformFormatError: If a field is invalid, or a name or a key belongs
            to two accounts.
    """
    accounts: dict[str, fleet.ClientAccount] = {}
    account_keys: dict[bytes, fleet.ClientAccount] = {}
    for tenant in tenants:
        account = _build_account(tenant)
        if account.name in accounts:
            raise errors.PlatformFormatError(
                f"Name: {value_limits.quote(account.name)} is used twice"
            )
        accounts[account.name] = account
        for text in tenant.api_keys:
            key = credentials.encode_key(text)
            if key is None:
                raise errors.PlatformFormatError(
                    f"ApiKeys of {value_limits.quote(account.name)}:"
                    " a key is not valid"
                )
            digest = credentials.digest_key(key)
            if account_keys.setdefault(digest, account) is not account:
                raise errors.PlatformFormatError(
                    f"ApiKeys of {value_limits.quote(account.name)}:"
                    " a key belongs to another account too"
                )
    return accounts, account_keys


def _build_account(tenant: _Tenant) -> fleet.ClientAccount:
    """Converts a tenant of the platform into a client account.

    Raises:
        PlatformFormatError: If a field is out of range.
    """
    value_limits.check_identity(tenant.name, "Name")
    if tenant.priority is not None:
        value_limits.check_range("Priority", tenant.priority, 0, MAX_PRIORITY)
    value_limits.check_range("RatePerS", tenant.rate_per_s, 0.0, MAX_RATE)
    value_limits.check_range("Burst", tenant.burst, 0.0, MAX_RATE)
    return fleet.ClientAccount(
        name=tenant.name,
        priority=tenant.priority,
        rate=tenant.rate_per_s,
        burst=tenant.burst,
        regions=_build_regions(tenant.allowed_regions),
    )


def _build_regions(names: tuple[str, ...]) -> frozenset[str]:
    """Returns a set of regions.

    Raises:
        PlatformFormatError: If the name of a region is invalid.
    """
    for name in names:
        value_limits.check_name("AllowedRegions", name)
    return frozenset(names)


def _build_service(upstream: _Upstream) -> fleet.Service:
    """Converts an upstream of the platform into a service.

    Raises:
        PlatformFormatError: If its name, health path or number of connections
            is invalid.
    """
    value_limits.check_name("Name", upstream.name)
    value_limits.check_range("MaxConns", upstream.max_conns, 0, MAX_CONNECTIONS)
    if _PATH.fullmatch(upstream.health_path) is None:
        raise errors.PlatformFormatError(
            f"HealthPath: {value_limits.quote(upstream.health_path)}"
            " is not a path"
        )
    value_limits.check_range("ColdPerS", upstream.cold_per_s, 0.0, MAX_RATE)
    return fleet.Service(
        name=upstream.name,
        health_path=upstream.health_path,
        max_connections=upstream.max_conns,
        cold_seconds=value_limits.parse_duration(
            "Cold", upstream.cold, MAX_TIMEOUT_SECONDS
        ),
        cold_rate=upstream.cold_per_s,
    )


def _build_limits(limits: _Limits) -> fleet.CallerLimits:
    """Converts the limits on callers' requests.

    Raises:
        PlatformFormatError: If a limit is out of range.
    """
    value_limits.check_range(
        "MaxHeaderBytes", limits.max_header_bytes, 1, MAX_HEADER_BYTES
    )
    value_limits.check_range(
        "MaxBodyBytes", limits.max_body_bytes, 0, MAX_BODY_BYTES
    )
    return fleet.CallerLimits(
        max_head_bytes=limits.max_header_bytes,
        max_body_bytes=limits.max_body_bytes,
        head_timeout_seconds=value_limits.parse_duration(
            "HeaderTimeout", limits.header_timeout, MAX_TIMEOUT_SECONDS
        ),
        idle_timeout_seconds=value_limits.parse_duration(
            "IdleTimeout", limits.idle_timeout, MAX_TIMEOUT_SECONDS
        ),
    )


def _build_hosts(
    listeners: tuple[_Listener, ...],
) -> dict[str, tuple[fleet.Rule, ...]]:
    """Returns the rules by host in lower case, the longest prefix first.

    Raises:
        PlatformFormatError: If a field is out of range.
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
        PlatformFormatError: If a field is out of range.
    """
    action = rule.action
    value_limits.check_range("Priority", rule.priority, 0, MAX_PRIORITY)
    value_limits.check_range(
        "MaxAttempts", action.max_attempts, 0, MAX_ATTEMPTS
    )
    for backend in action.weighted_backends:
        value_limits.check_range("Weight", backend.weight, 0.0, MAX_WEIGHT)
    weighted_services = tuple(
        fleet.WeightedService(backend.service, backend.weight)
        for backend in action.weighted_backends
    )
    if action.service:
        weighted_services = (fleet.WeightedService(action.service, 1.0),)
    limit_seconds = value_limits.parse_duration(
        "Timeout", action.timeout, MAX_TIMEOUT_SECONDS
    )
    objective_seconds = (
        limit_seconds
        if rule.slo is None
        else value_limits.parse_duration("Slo", rule.slo, MAX_TIMEOUT_SECONDS)
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
        public=rule.public,
        regions=_build_regions(action.allowed_regions),
    )
