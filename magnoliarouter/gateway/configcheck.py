"""Looks for entries of a configuration that can never match, and for values that contradict.

The decoder accepts each of them: one wrong entry does not take the others out of force.
"""

from __future__ import annotations

from collections import Counter
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

from magnoliarouter.gateway.routes import URGENCIES, RouteKind

if TYPE_CHECKING:
    from collections.abc import Iterable, Iterator

    from magnoliarouter.gateway.routes import GatewayConfig, RequestLimits, Route

__all__ = ["Finding", "Severity", "check_configuration", "sort_findings"]


class Severity(Enum):
    """`ERROR`: requests fail or never match. `WARNING`: it works, perhaps not as intended."""

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """What is wrong with one entry.

    Parameters
    ----------
    severity : Severity
        Whether requests fail because of it.
    entry : str
        Entry, such as ``"route chat"``.
    reason : str
        Value, and what is valid.
    """

    severity: Severity
    entry: str
    reason: str


def check_configuration(config: GatewayConfig) -> list[Finding]:
    """Return what is wrong with a configuration, errors first."""
    routes = config.routes.list()
    findings = [finding for route in routes for finding in _check_route(route, config)]
    findings += _find_shadowed(routes)
    findings += _check_limits(config.limits)
    findings += _find_unused(routes, config)
    return sort_findings(findings)


def sort_findings(findings: Iterable[Finding]) -> list[Finding]:
    """Return findings with the errors first, otherwise in the same order."""
    return sorted(findings, key=lambda finding: finding.severity is not Severity.ERROR)


def _check_route(route: Route, config: GatewayConfig) -> Iterator[Finding]:
    entry = f"route {route.name}"
    yield from _check_address(entry, route)
    yield from _check_shares(entry, route, config)
    yield from _check_times(entry, route)
    if config.tenants is not None and not config.tenants and not route.public:
        yield _error(entry, "it needs a key, and no customer holds one")
    if route.urgency not in URGENCIES:
        yield _warning(
            entry, f"priority is {route.urgency}; valid: {URGENCIES[0]} to {URGENCIES[-1]}"
        )
    if route.resumable and route.kind is not RouteKind.STREAM:
        yield _warning(entry, "it is resumable, which has an effect on streams only")
    elif route.resumable and route.attempts == 1:
        yield _warning(entry, "it is resumable, but one attempt leaves none to resume with")


def _check_address(entry: str, route: Route) -> Iterator[Finding]:
    if not route.host or ":" in route.host:
        yield _error(entry, f"host is {route.host!r}, which never matches; valid: without a port")
    if not route.prefix.startswith("/"):
        yield _error(
            entry, f"path prefix is {route.prefix!r}, which never matches; valid: from a slash on"
        )
    elif not route.prefix.endswith("/"):
        reason = f"path prefix is {route.prefix!r}, which also matches {route.prefix + 'x'!r}"
        yield _warning(entry, reason)
    if any(mark in route.prefix for mark in "?# "):
        reason = f"path prefix is {route.prefix!r}, which never matches; valid: a path"
        yield _error(entry, reason)


def _check_shares(entry: str, route: Route, config: GatewayConfig) -> Iterator[Finding]:
    for service, weight in route.service_weights:
        if service not in config.services:
            yield _error(entry, f"service {service!r} is not in the list of services")
        if not 0 <= weight < float("inf"):
            yield _error(entry, f"weight of service {service!r} is {weight}; valid: 0 or more")
        elif weight == 0:
            yield _warning(entry, f"weight of service {service!r} is 0, so that it gets nothing")
    if not any(weight > 0 for _, weight in route.service_weights):
        yield _error(entry, "no service has a weight above 0")
    for service, count in Counter(service for service, _ in route.service_weights).items():
        if count > 1:
            yield _warning(entry, f"service {service!r} is listed {count} times")


def _check_times(entry: str, route: Route) -> Iterator[Finding]:
    if not 0 < route.timeout_s < float("inf"):
        yield _error(entry, f"time-out is {route.timeout_s:g} s; valid: above 0")
        return
    if not 0 < route.target_latency_s < float("inf"):
        yield _error(entry, f"target latency is {route.target_latency_s:g} s; valid: above 0")
    elif route.timeout_s < route.target_latency_s:
        yield _warning(
            entry,
            f"time-out of {route.timeout_s:g} s ends before the target latency of "
            f"{route.target_latency_s:g} s",
        )
    if route.max_event_gap_s is None:
        return
    if route.kind is not RouteKind.STREAM:
        yield _warning(entry, "it has a longest gap between events, and is no stream")
    if not 0 < route.max_event_gap_s < float("inf"):
        reason = f"longest gap between events is {route.max_event_gap_s:g} s; valid: above 0"
        yield _error(entry, reason)
    elif route.timeout_s < route.max_event_gap_s:
        yield _warning(
            entry,
            f"time-out of {route.timeout_s:g} s ends before the longest gap between events of "
            f"{route.max_event_gap_s:g} s",
        )


def _find_shadowed(routes: list[Route]) -> Iterator[Finding]:
    """Return the routes with the host and prefix of an earlier one, which gets all requests."""
    winners: dict[tuple[str, str], Route] = {}
    names = Counter(route.name for route in routes)
    for route in routes:
        winner = winners.setdefault((route.host, route.prefix), route)
        if winner is not route:
            yield _error(
                f"route {route.name}",
                f"it never matches: route {winner.name} has host {route.host!r} and path prefix "
                f"{route.prefix!r} as well",
            )
    for name, count in names.items():
        if count > 1:
            yield _warning(f"route {name}", f"{count} routes have this name")


def _check_limits(limits: RequestLimits) -> Iterator[Finding]:
    named = {
        "size of the head": limits.header_bytes,
        "size of the body": limits.body_bytes,
        "time for the head": limits.header_timeout_s,
        "idle time": limits.idle_timeout_s,
    }
    for name, value in named.items():
        if not 0 < value < float("inf"):
            yield _error("limits", f"{name} is {value:g}; valid: above 0")
    if 0 < limits.idle_timeout_s < limits.header_timeout_s:
        yield _warning(
            "limits",
            f"idle time of {limits.idle_timeout_s:g} s, which also bounds the body, is below the "
            f"{limits.header_timeout_s:g} s for the head",
        )


def _find_unused(routes: list[Route], config: GatewayConfig) -> Iterator[Finding]:
    used = {service for route in routes for service, weight in route.service_weights if weight > 0}
    for name in config.services:
        if name not in used:
            yield _warning(f"service {name}", "no route leads to it")


def _error(entry: str, reason: str) -> Finding:
    return Finding(Severity.ERROR, entry, reason)


def _warning(entry: str, reason: str) -> Finding:
    return Finding(Severity.WARNING, entry, reason)
