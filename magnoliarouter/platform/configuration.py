"""Decodes the operator's configuration object."""

from __future__ import annotations

from typing import Annotated, Any

import msgspec
from msgspec import Meta

from magnoliarouter.gateway.routes import (
    DEFAULT_REPORT_LAG_S,
    ExpertProfile,
    GatewayConfig,
    ModelProfile,
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    Service,
    Tenant,
)
from magnoliarouter.store.validation import check_value
from magnoliarouter.telemetry.logs import log_event

__all__ = ["CONFIGURATION_KIND", "CONFIGURATION_NAME", "decode_configuration"]

CONFIGURATION_KIND = "config"
CONFIGURATION_NAME = "main"

# Requests of all other kinds must not be repeated.
ROUTE_KINDS = {"safe": RouteKind.SAFE, "streaming": RouteKind.STREAM}


# A longer delay is a mistake in the unit. Also excludes nan and infinity.
_Tokens = Annotated[float, msgspec.Meta(ge=0, le=1e12)]
_Milliseconds = Annotated[float, msgspec.Meta(ge=0, le=60_000)]
MAX_LOGGED_CHARS = 80


class _Share(msgspec.Struct):
    service: str
    weight: float


class _Route(msgspec.Struct):
    name: str
    host: str
    path_prefix: str
    kind: str
    timeout_ms: float
    target_latency_ms: float = 1000
    priority: int = 5
    service: str = ""
    traffic_split: list[_Share] = []
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    gap_aim_ms: float | None = None


class _Delay(msgspec.Struct):
    delay_ms: Annotated[float, msgspec.Meta(ge=0, le=10_000)]
    from_zone: str = msgspec.field(name="from")
    # The platform has one name for the end of a distance and of a change of version.
    to_zone: str = msgspec.field(name="target_version")


class _Engine(msgspec.Struct):
    slots: int
    step_ms: float
    per_seq_ms: float = 0
    context_per_k: float = 0
    # In tokens per second, whereas the adjacent fields are in milliseconds.
    read_per_s: float = 0
    stride: int = 1
    sets: int = 0
    experts: int = 0
    places: int = 0
    spare: int = 0
    expert_mb: float = 0
    link_mbps: float = 0
    # Fields that a service is served without are checked apart from the others.
    kv_tokens: Any = 0
    chunk: Any = 0
    delays: Any = None
    report_lag_ms: Any = None


class _Service(msgspec.Struct):
    name: str
    max_connections: int = 0
    engine: _Engine | None = None
    cold_start_s: Annotated[float, Meta(ge=0)] | None = None
    cold_per_s: Annotated[float, Meta(ge=0)] | None = None


class _Limits(msgspec.Struct):
    max_header_bytes: int
    max_body_bytes: int
    header_timeout_ms: float
    idle_timeout_ms: float


class _Tenant(msgspec.Struct):
    name: str
    api_keys: list[str]
    priority: int | None = None


class _Config(msgspec.Struct):
    version: int
    routes: list[_Route]
    services: list[_Service]
    limits: _Limits
    tenants: list[_Tenant] | None = None


def decode_configuration(value: Any) -> GatewayConfig:
    """Convert the operator's object into a configuration.

    Raises
    ------
    ValidationFailure
        A field is missing or invalid.
    """
    raw = check_value(value, _Config)
    limits = raw.limits
    routes = [_decode_route(route) for route in raw.routes]
    max_event_gaps_s: dict[str, float] = {}
    for route in routes:
        for service, _ in route.service_weights:
            if route.max_event_gap_s is not None:
                max_event_gaps_s[service] = min(
                    route.max_event_gap_s, max_event_gaps_s.get(service, route.max_event_gap_s)
                )
    return GatewayConfig(
        raw.version,
        RouteTable.build(routes),
        {service.name: _decode_service(service) for service in raw.services},
        _decode_tenants(raw.tenants),
        RequestLimits(
            limits.max_header_bytes,
            limits.max_body_bytes,
            limits.header_timeout_ms / 1000,
            limits.idle_timeout_ms / 1000,
        ),
        max_event_gaps_s,
    )


def _decode_route(route: _Route) -> Route:
    service_weights = tuple((share.service, share.weight) for share in route.traffic_split)
    return Route(
        route.name,
        route.host.lower(),
        route.path_prefix,
        ROUTE_KINDS.get(route.kind, RouteKind.ONCE),
        service_weights or ((route.service, 1.0),),
        route.timeout_ms / 1000,
        route.target_latency_ms / 1000,
        route.priority,
        max(1, route.attempts),
        route.public,
        route.resumable,
        None if route.gap_aim_ms is None else route.gap_aim_ms / 1000,
    )


def _decode_service(service: _Service) -> Service:
    engine = service.engine
    profile = None
    if engine is not None:
        profile = ModelProfile(
            engine.slots,
            engine.step_ms / 1000,
            engine.per_seq_ms / 1000,
            engine.context_per_k / 1e6,
            engine.read_per_s,
            engine.stride,
            _decode_experts(service, engine),
            int(_read_optional(service, "kv_tokens", engine.kv_tokens, _Tokens, 0)),
            int(_read_optional(service, "chunk", engine.chunk, _Tokens, 0)),
            _decode_delays(_read_optional(service, "delays", engine.delays, list[_Delay], [])),
        )
    return Service(
        service.name,
        service.max_connections,
        profile,
        service.cold_start_s or 0.0,
        service.cold_per_s or 0.0,
    )


def _decode_experts(service: _Service, engine: _Engine) -> ExpertProfile | None:
    if not engine.sets or not engine.link_mbps:
        return None
    # Megabytes divided by megabits per second.
    copy_s = engine.expert_mb * 8 / engine.link_mbps
    lag_ms = _read_optional(
        service, "report_lag_ms", engine.report_lag_ms, _Milliseconds, DEFAULT_REPORT_LAG_S * 1000
    )
    return ExpertProfile(
        engine.sets,
        engine.experts,
        engine.places,
        engine.spare,
        copy_s,
        report_lag_s=lag_ms / 1000,
    )


def _read_optional(service: _Service, name: str, value: Any, model: Any, default: Any) -> Any:
    """Return a field of a service's engine; one that is invalid is logged and counts as missing."""
    if value is None:
        return default
    try:
        return msgspec.convert(value, model)
    except msgspec.ValidationError as error:
        log_event(
            "configuration_field_ignored",
            field=f"services[{service.name}].engine.{name}",
            value=repr(value)[:MAX_LOGGED_CHARS],
            reason=str(error),
        )
        return default


def _decode_delays(delays: list[_Delay]) -> dict[str, dict[str, float]]:
    """Return the delays in seconds; one that is given for one direction holds for both."""
    decoded: dict[str, dict[str, float]] = {}
    for delay in delays:
        decoded.setdefault(delay.from_zone, {})[delay.to_zone] = delay.delay_ms / 1000
    for delay in delays:
        decoded.setdefault(delay.to_zone, {}).setdefault(delay.from_zone, delay.delay_ms / 1000)
    return decoded


def _decode_tenants(tenants: list[_Tenant] | None) -> dict[str, Tenant] | None:
    if tenants is None:
        return None
    return {
        key: Tenant(tenant.name, tenant.priority) for tenant in tenants for key in tenant.api_keys
    }
