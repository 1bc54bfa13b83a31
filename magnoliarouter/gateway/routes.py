"""Routes, services, customers and limits of one configuration version."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
    "DEFAULT_REPORT_LAG_S",
    "ExpertProfile",
    "GatewayConfig",
    "ModelProfile",
    "RequestLimits",
    "Route",
    "RouteKind",
    "RouteTable",
    "Service",
    "Tenant",
]

URGENCIES = range(10)
# Age of the state in reports of ranks that do not name one.
DEFAULT_REPORT_LAG_S = 0.5
# Between the zones of one region.
DEFAULT_ZONE_DELAY_S = 0.002


class RouteKind(Enum):
    """Which requests of a route may be retried after they may have run.

    `SAFE` requests may run repeatedly, `ONCE` requests may not. `STREAM` requests receive an event
    stream and may run repeatedly if the route is resumable.
    """

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Route:
    """Destination and rules for requests to one host and path prefix.

    Parameters
    ----------
    name, host, prefix : str
        Name, host in lower case, and path prefix.
    kind : RouteKind
        Whether requests may be repeated.
    service_weights : tuple of (str, float)
        Services, each with its weight in the traffic.
    timeout_s : float
        Maximum time in seconds until the final response.
    target_latency_s : float
        Time in seconds within which a response has its full value.
    urgency : int
        0 is the most urgent.
    attempts : int
        Maximum number of endpoints to which one request is sent.
    public : bool
        Whether no key is required.
    resumable : bool
        Whether a stream may resume at another endpoint.
    max_event_gap_s : float, optional
        Longest acceptable gap in seconds between the events of a stream.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    service_weights: tuple[tuple[str, float], ...]
    timeout_s: float
    target_latency_s: float
    urgency: int = 5
    attempts: int = 1
    public: bool = False
    resumable: bool = False
    max_event_gap_s: float | None = None

    @property
    def repeatable(self) -> bool:
        """Whether a request may run more than once."""
        return self.kind is RouteKind.SAFE or (self.kind is RouteKind.STREAM and self.resumable)

    def pick_service(self, request_id: bytes) -> str:
        """Return the service of one request; the same id always gets the same service."""
        if len(self.service_weights) == 1:
            return self.service_weights[0][0]
        total = sum(weight for _, weight in self.service_weights)
        point = xxhash.xxh32_intdigest(request_id) / 2**32 * total
        for service, weight in self.service_weights:
            point -= weight
            if point < 0:
                return service
        return self.service_weights[-1][0]


@dataclass(frozen=True, slots=True)
class ExpertProfile:
    """Experts of a service whose endpoints are ranks of groups.

    Parameters
    ----------
    sets, experts : int
        Number of sets of layers, and of experts in each set.
    experts_per_rank : int
        Number of experts of a set that fit on a rank.
    max_new_experts : int
        Number of new experts of a set that a rank accepts in one switch.
    copy_s : float
        Time in seconds in which a rank fetches one expert.
    max_event_gap_s : float, optional
        Smallest of the longest acceptable event gaps, in seconds, of the routes to the service.
    report_lag_s : float
        Age in seconds of the state that a rank reports.
    """

    sets: int
    experts: int
    experts_per_rank: int
    max_new_experts: int
    copy_s: float
    max_event_gap_s: float | None = None
    report_lag_s: float = DEFAULT_REPORT_LAG_S


@dataclass(frozen=True, slots=True)
class ModelProfile:
    """Speed of the endpoints of a model service.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests at one endpoint.
    step_s, per_request_s, per_context_s : float
        Base length of a step in seconds, and the seconds added by each request that generates tokens
        and by each token of context.
    prompt_tokens_per_s : float
        Prompt tokens processed per second.
    steps_per_event : int
        Steps between two events of a stream.
    experts : ExpertProfile, optional
        Experts, if the endpoints are ranks of groups.
    memory_tokens : int
        Tokens of prompts and answers that fit into an endpoint's memory; 0 if unknown.
    prompt_chunk_tokens : int
        Prompt tokens that are processed between two steps; 0 if unlimited.
    zone_delays_s : dict of str to (dict of str to float)
        One-way delays between availability zones in seconds, as far as they are known.
    """

    slots: int
    step_s: float
    per_request_s: float
    per_context_s: float
    prompt_tokens_per_s: float
    steps_per_event: int
    experts: ExpertProfile | None = None
    memory_tokens: int = 0
    prompt_chunk_tokens: int = 0
    zone_delays_s: dict[str, dict[str, float]] = field(default_factory=dict, hash=False)

    def zone_delay_s(self, one: str, other: str) -> float:
        """Return the one-way delay between two zones in seconds."""
        return self.zone_delays_s.get(one, {}).get(other, DEFAULT_ZONE_DELAY_S)


@dataclass(frozen=True, slots=True)
class Service:
    """Endpoints that serve the same requests.

    Parameters
    ----------
    name : str
        Name of the service.
    max_connections : int
        Maximum number of connections to one endpoint from all daemons.
    profile : ModelProfile, optional
        Speed of the endpoints of a model service.
    cold_start_s : float
        Seconds for which an endpoint is cold after a start during traffic.
    cold_requests_per_s : float
        Requests per second that a cold endpoint tolerates; 0 if any number.
    """

    name: str
    max_connections: int
    profile: ModelProfile | None = None
    cold_start_s: float = 0.0
    cold_requests_per_s: float = 0.0


@dataclass(frozen=True, slots=True)
class Tenant:
    """Customer, with the urgency that overrides the route's if set."""

    name: str
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Limits on the size and duration of a caller's request."""

    header_bytes: int
    body_bytes: int
    header_timeout_s: float
    idle_timeout_s: float


@dataclass(slots=True)
class RouteTable:
    """Routes by host, longest prefix first."""

    _hosts: dict[str, list[Route]] = field(default_factory=dict)

    @classmethod
    def build(cls, routes: Iterable[Route]) -> RouteTable:
        """Return a table of the given routes."""
        table = cls()
        for route in routes:
            table._hosts.setdefault(route.host, []).append(route)
        for host_routes in table._hosts.values():
            host_routes.sort(key=lambda route: len(route.prefix), reverse=True)
        return table

    def list(self) -> list[Route]:
        """Return all routes; of two with the same host and prefix, the first one gets requests."""
        return [route for routes in self._hosts.values() for route in routes]

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching path prefix, or None.

        Parameters
        ----------
        host : str
            Host in lower case, without a port.
        path : str
            Path as received, without the query.
        """
        for route in self._hosts.get(host, ()):
            if path.startswith(route.prefix):
                return route
        return None


@dataclass(frozen=True, slots=True)
class GatewayConfig:
    """One version of the operator's configuration.

    Parameters
    ----------
    version : int
        Increases with every change, not always by one.
    routes : RouteTable
        All routes.
    services : dict of str to Service
        Services by name.
    tenants : dict of str to Tenant
        Customers by key; None if no route requires a key.
    limits : RequestLimits
        Limits on callers' requests.
    max_event_gaps_s : dict of str to float
        Smallest of the longest acceptable event gaps of the routes to a service, by service.
    """

    version: int
    routes: RouteTable
    services: dict[str, Service]
    tenants: dict[str, Tenant] | None
    limits: RequestLimits
    max_event_gaps_s: dict[str, float] = field(default_factory=dict)

    def list_mixed_services(self) -> frozenset[str]:
        """Return the services whose requests can differ in urgency."""
        tenants = list((self.tenants or {}).values())
        urgencies: dict[str, set[int]] = {}
        for route in self.routes.list():
            senders = [None, *tenants] if route.public or not tenants else tenants
            known = {self.urgency_of(route, sender) for sender in senders}
            for service, weight in route.service_weights:
                if weight > 0:
                    urgencies.setdefault(service, set()).update(known)
        return frozenset(service for service, known in urgencies.items() if len(known) > 1)

    def urgency_of(self, route: Route, tenant: Tenant | None) -> int:
        """Return the urgency of a request; the customer's overrides the route's."""
        own = tenant.urgency if tenant is not None else None
        value = route.urgency if own is None else own
        return min(max(value, URGENCIES[0]), URGENCIES[-1])
