"""Routes, services and keys of one configuration version."""

from __future__ import annotations

from dataclasses import dataclass, field
from enum import Enum
from typing import TYPE_CHECKING

import xxhash

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = [
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


class RouteKind(Enum):
    """What may be repeated."""

    SAFE = "safe"
    ONCE = "once"
    STREAM = "stream"


@dataclass(frozen=True, slots=True)
class Route:
    """Where the requests below one path prefix of one host go.

    Parameters
    ----------
    name, host, prefix : str
        Name, host in lower case, and path prefix.
    kind : RouteKind
        What may be repeated.
    service_weights : tuple of (str, float)
        Services with the weight that each has in the traffic.
    timeout_s : float
        Longest time until the final answer.
    target_latency_s : float
        Time within which an answer is worth most.
    urgency : int
        0 is the most urgent.
    attempts : int
        Endpoints to which one request may be sent.
    public : bool
        Whether no key is asked for.
    resumable : bool
        Whether a stream may go on at another endpoint.
    max_event_gap_s : float, optional
        Longest pause between the events of a stream that is on time.
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
        """Return the service of one request, the same for the same id."""
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
        Sets of layers, and experts in each.
    experts_per_rank : int
        Experts of a set that fit on a rank.
    max_new_experts : int
        Experts of a set that a rank takes at once.
    copy_s : float
        Time in which a rank fetches one expert.
    max_event_gap_s : float, optional
        Shortest pause between events that some route calls late.
    """

    sets: int
    experts: int
    experts_per_rank: int
    max_new_experts: int
    copy_s: float
    max_event_gap_s: float | None = None


@dataclass(frozen=True, slots=True)
class ModelProfile:
    """What is known of the speed of a model service's endpoints.

    Parameters
    ----------
    slots : int
        Requests that one endpoint works on at once.
    step_s, per_request_s, per_context_s : float
        Length of a step, and what each writing request and each token of context add to it.
    prompt_tokens_per_s : float
        Prompt tokens read in a second.
    steps_per_event : int
        Steps between two events of a stream.
    experts : ExpertProfile, optional
        Experts, where the endpoints are ranks of groups.
    """

    slots: int
    step_s: float
    per_request_s: float
    per_context_s: float
    prompt_tokens_per_s: float
    steps_per_event: int
    experts: ExpertProfile | None = None


@dataclass(frozen=True, slots=True)
class Service:
    """Endpoints that serve the same requests."""

    name: str
    max_connections: int
    profile: ModelProfile | None = None


@dataclass(frozen=True, slots=True)
class Tenant:
    """Customer that holds keys."""

    name: str
    urgency: int | None = None


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on what a caller may send."""

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
        """Return the table of some routes."""
        table = cls()
        for route in routes:
            table._hosts.setdefault(route.host, []).append(route)
        for group in table._hosts.values():
            group.sort(key=lambda route: len(route.prefix), reverse=True)
        return table

    def find(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, or None.

        Parameters
        ----------
        host : str
            Host in lower case, without a port.
        path : str
            Path as sent, without its query.
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
        Grows with every change, in uneven steps.
    routes : RouteTable
        All routes.
    services : dict of str to Service
        Services by name.
    tenants : dict of str to Tenant
        Customers by key; None where no key is asked for at all.
    limits : RequestLimits
        Bounds on callers.
    max_event_gaps_s : dict of str to float
        Shortest pause that a route calls late, by service.
    """

    version: int
    routes: RouteTable
    services: dict[str, Service]
    tenants: dict[str, Tenant] | None
    limits: RequestLimits
    max_event_gaps_s: dict[str, float] = field(default_factory=dict)

    def urgency_of(self, route: Route, tenant: Tenant | None) -> int:
        """Return the urgency of a request; the customer's goes before the route's."""
        own = tenant.urgency if tenant is not None else None
        value = route.urgency if own is None else own
        return min(max(value, URGENCIES[0]), URGENCIES[-1])
