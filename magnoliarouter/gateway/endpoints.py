"""Endpoints known to this daemon, and the load on each."""

from __future__ import annotations

import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from magnoliarouter.core.evacuations import ZoneEvacuations
from magnoliarouter.core.outliers import EjectionPolicy, OutlierDetector
from magnoliarouter.core.sharedrate import NO_LIMIT
from magnoliarouter.core.spillover import ZoneRoom
from magnoliarouter.core.work import NO_WORK, CallWork
from magnoliarouter.gateway.endpointwork import EndpointWork
from magnoliarouter.gateway.notices import EndpointNotices
from magnoliarouter.gateway.overflow import ZoneOverflow
from magnoliarouter.gateway.peerloads import PeerLoadSums
from magnoliarouter.gateway.ratelimits import EndpointRates

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable, Iterator

    from magnoliarouter.gateway.routes import ModelProfile

__all__ = ["Endpoint", "EndpointTable"]

# An endpoint that refused a request is ranked behind the others for this time.
REFUSAL_PENALTY_S = 0.15
# Bounds of the estimated outage. A group forms again 0.6 s after a lost rank has returned, and a lost
# rank or zone seldom returns within 2 s. Callers wait 8 s and come back once, within a third of that
# time, so one that is told too little is refused for good.
MIN_OUTAGE_S = 3.0
MAX_OUTAGE_S = 4.0
# Where calls do not leave the zone by need, an endpoint in another zone is ranked as if it had this
# many more requests: a hop between zones costs little compared with a slot in a batch.
REMOTE_ZONE_PENALTY_REQUESTS = 0.3


@dataclass(frozen=True, slots=True)
class Endpoint:
    """Endpoint as registered in the store.

    Parameters
    ----------
    identity : str
        Name of the endpoint; most starts have a different one.
    service, address, zone : str
        Service name, ``"host:port"``, and availability zone.
    slots : int
        Maximum number of concurrent requests.
    draining : bool
        Whether it accepts no new requests.
    started_ms : int
        Time of day of its start in milliseconds, which tells starts with the same name apart; 0 if
        unknown.
    software : str
        Version of its software; empty if unknown.
    cold_s : float, optional
        Seconds for which it stays cold, as of its registration; None if that says nothing.
    fault : str
        What is malformed in its registration and not needed to use it; empty if nothing is.
    sequence : int, optional
        Number of this registration since the start of the endpoint; None if unknown.
    """

    identity: str
    service: str
    address: str
    zone: str
    slots: int
    draining: bool = False
    started_ms: int = 0
    software: str = ""
    cold_s: float | None = None
    fault: str = ""
    sequence: int | None = None


# An endpoint, its load, and the largest load with which it gets a request, plus one.
_Rated: TypeAlias = tuple[Endpoint, int, int]


@dataclass(slots=True)
class EndpointTable:
    """Endpoints by identity, their load and their health.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    random : random.Random
        Breaks ties, so that daemons with the same state do not all choose the same endpoint.
    concurrency_limit : callable
        Returns the maximum number of concurrent requests at an endpoint.
    is_unavailable : callable
        Returns whether an endpoint cannot serve because its group is stalled or its zone is
        unreachable.
    find_profile : callable
        Returns the profile of a service, or None.
    """

    zone: str
    random: random.Random = field(default_factory=random.Random)
    concurrency_limit: Callable[[Endpoint], int] = lambda endpoint: endpoint.slots
    is_unavailable: Callable[[Endpoint], bool] = lambda endpoint: False
    outliers: OutlierDetector = field(
        default_factory=lambda: OutlierDetector(
            EjectionPolicy(failures=3, max_ejection_seconds=4.0)
        )
    )
    notices: EndpointNotices = field(default_factory=EndpointNotices)
    rates: EndpointRates = field(default_factory=EndpointRates)
    evacuations: ZoneEvacuations = field(default_factory=ZoneEvacuations)
    overflow: ZoneOverflow = field(init=False)
    find_profile: Callable[[str], ModelProfile | None] = lambda service: None
    work: EndpointWork = field(default_factory=EndpointWork)
    # Loop time of the last choice or message, which start no later than the calls that follow.
    _seen_at: float = 0.0
    own_requests: dict[str, int] = field(default_factory=dict)
    _endpoints: dict[str, Endpoint] = field(default_factory=dict)
    _services: dict[str, dict[str, Endpoint]] = field(default_factory=dict)
    _penalized_until: dict[str, float] = field(default_factory=dict)
    _peer_loads: PeerLoadSums = field(default_factory=PeerLoadSums)
    _served_at: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        self.overflow = ZoneOverflow(self.zone, self.random)
        self.overflow.find_profile = lambda service: self.find_profile(service)

    def put(self, endpoint: Endpoint) -> None:
        """Add or replace an endpoint."""
        self._discard(endpoint.identity)
        self._endpoints[endpoint.identity] = endpoint
        self._services.setdefault(endpoint.service, {})[endpoint.identity] = endpoint

    def remove(self, identity: str) -> Endpoint | None:
        """Remove an endpoint and return it, or None if it is not in the table."""
        self.work.forget(identity)
        return self._discard(identity)

    def _discard(self, identity: str) -> Endpoint | None:
        endpoint = self._endpoints.pop(identity, None)
        if endpoint is not None:
            self._services[endpoint.service].pop(identity, None)
        return endpoint

    def find(self, identity: str) -> Endpoint | None:
        """Return an endpoint by its identity."""
        return self._endpoints.get(identity)

    def list(self) -> Iterable[Endpoint]:
        """Return all endpoints."""
        return self._endpoints.values()

    def start_request(self, identity: str, work: CallWork = NO_WORK) -> None:
        """Count a request sent to an endpoint."""
        self.own_requests[identity] = self.own_requests.get(identity, 0) + 1
        self.overflow.record_start(identity, work)
        endpoint = self._endpoints.get(identity)
        if endpoint is not None:
            self.work.start(endpoint, self.find_profile(endpoint.service), work, self._seen_at)

    def cancel_request(self, endpoint: Endpoint, now: float, work: CallWork = NO_WORK) -> None:
        """Stop counting a request that was placed and not sent."""
        self.finish_request(endpoint.identity, work)
        self.work.unread(endpoint, self.find_profile(endpoint.service), work)
        self.rates.record_request(endpoint, now, -1)

    def finish_request(self, identity: str, work: CallWork = NO_WORK) -> None:
        """Stop counting a request that has ended."""
        self.work.finish(identity, work)
        left = self.own_requests.get(identity, 0) - 1
        if left > 0:
            self.own_requests[identity] = left
        else:
            self.own_requests.pop(identity, None)

    def record_refusal(self, identity: str, now: float) -> None:
        """Record that an endpoint refused a request, so that others are preferred for a short time."""
        self._penalized_until[identity] = now + REFUSAL_PENALTY_S

    def record_success(self, endpoint: Endpoint, now: float) -> None:
        """Record that an endpoint served a request."""
        self.outliers.record_success(endpoint.identity)
        self._served_at[endpoint.service] = now

    def estimate_recovery_s(self, service: str, now: float) -> float:
        """Return the seconds after which a service in an outage is expected to serve again.

        An outage is assumed to continue for as long as it has already lasted.
        """
        since = now - self._served_at.get(service, now)
        return min(max(since, MIN_OUTAGE_S), MAX_OUTAGE_S)

    def apply_peer_load(self, peer: str, loads: dict[str, int], now: float) -> None:
        """Store another daemon's number of requests at each endpoint."""
        for identity, calls in self._peer_loads.apply(peer, loads, now).items():
            endpoint = self._endpoints.get(identity)
            if endpoint is not None:
                profile = self.find_profile(endpoint.service)
                self.work.start_others(endpoint, profile, calls, now)

    def apply_long_prompts(self, peer: str, prompts: dict[str, int], now: float) -> None:
        """Count the tokens by which another daemon's prompts at endpoints were longer than usual."""
        for identity, tokens in prompts.items():
            endpoint = self._endpoints.get(identity)
            if endpoint is not None:
                profile = self.find_profile(endpoint.service)
                self.work.read_extra(peer, endpoint, profile, tokens, now)

    def load_of(self, identity: str, now: float) -> int:
        """Return the number of requests at an endpoint, from this and the reporting daemons."""
        return self.own_requests.get(identity, 0) + self._peer_loads.load_of(identity, now)

    def choose(
        self, service: str, tried: set[str], now: float, work: CallWork = NO_WORK
    ) -> Endpoint | None:
        """Return the endpoint for the next request, or None if none has free capacity."""
        self._seen_at, profile = now, self.find_profile(service)
        usable = self._list_usable(service, tried, now)
        if not self.overflow.applies(service):
            return self._pick(self._rate(usable, now), work, profile, now)
        zones = self._rate_zones(service, usable, tried, now)
        rooms = self.overflow.read_rooms(service)
        if len(rooms) < 2 or self.overflow.is_reduced(service):
            return self._pick(self._rate(usable, now), work, profile, now)
        chosen = self._pick(zones(self.zone), work, profile, now)
        load = None if chosen is None else self.load_of(chosen.identity, now)
        daemons = 1 + self._peer_loads.count_reporting(now)
        senders = daemons * (len(rooms) - 1) / len(rooms)
        plan = self.overflow.plan(service, load, work, senders)
        for zone in plan.zones:
            away = self._pick(zones(zone), work, profile, now)
            if away is not None:
                chosen = away
                break
        if chosen is not None:
            self.overflow.remember(service, chosen.identity, plan)
        return chosen

    def _rate_zones(
        self, service: str, usable: list[Endpoint], tried: set[str], now: float
    ) -> Callable[[str], Iterable[_Rated]]:
        """Count the rooms of the zones if they are old, and return the endpoints of one zone."""
        if not self.overflow.needs_rooms(service, now):
            return lambda zone: self._rate((one for one in usable if one.zone == zone), now)
        zones: dict[str, list[_Rated]] = {}
        for one in self._rate(self._list_usable(service, set(), now) if tried else usable, now):
            zones.setdefault(one[0].zone, []).append(one)
        rooms = {zone: _count_room(rated) for zone, rated in zones.items()}
        self.overflow.observe(service, rooms, now)
        return lambda zone: (one for one in zones.get(zone, ()) if one[0].identity not in tried)

    def _rate(self, endpoints: Iterable[Endpoint], now: float) -> list[_Rated]:
        rated = []
        for endpoint in endpoints:
            load = self.load_of(endpoint.identity, now)
            limit = self.concurrency_limit(endpoint)
            if self.notices.paused_until(endpoint) > now or not self.rates.allows(endpoint, now):
                limit = 0
            rated.append((endpoint, load, limit))
        return rated

    def _pick(
        self, rated: Iterable[_Rated], work: CallWork, profile: ModelProfile | None, now: float
    ) -> Endpoint | None:
        best, best_score = None, float("inf")
        for endpoint, load, limit in rated:
            if load >= limit:
                continue
            score = load / endpoint.slots
            score += (
                REMOTE_ZONE_PENALTY_REQUESTS / endpoint.slots if endpoint.zone != self.zone else 0.0
            )
            score += self.random.random() * 0.5 / endpoint.slots
            score += 1.0 if self._penalized_until.get(endpoint.identity, 0.0) > now else 0.0
            if profile is not None:
                others = load - self.own_requests.get(endpoint.identity, 0)
                score += self.work.weigh(endpoint, profile, work, others, now) / endpoint.slots
            if score < best_score:
                best, best_score = endpoint, score
        return best

    def find_pause_end(self, service: str, tried: set[str], now: float) -> float | None:
        """Return when the first pause ends if every endpoint that could serve a call pauses.

        Parameters
        ----------
        service : str
            Requested service.
        tried : set of str
            Endpoints excluded from the choice.
        now : float
            Loop time in seconds.
        """
        first = None
        for endpoint in self._list_accepting(service):
            if endpoint.identity in tried or self.is_unavailable(endpoint):
                continue
            end = self.notices.paused_until(endpoint)
            if end <= now:
                return None
            first = end if first is None else min(first, end)
        return first

    def estimate_rate_wait_s(
        self, service: str, tried: set[str], requests: int, now: float
    ) -> float:
        """Return the seconds until the rates of a service's endpoints allow a number of requests.

        It is 0 if an endpoint that could serve the call has no limited rate.
        """
        usable = self._list_usable(service, tried, now)
        return self.rates.estimate_wait_s(usable, requests, now)

    def estimate_rate(self, service: str, hold_s: float, now: float) -> float:
        """Return how many places of a service become free per second while all are taken.

        Parameters
        ----------
        service : str
            The service.
        hold_s : float
            Mean time in seconds for which a request holds a place.
        now : float
            Loop time in seconds.
        """
        return sum(
            min(self.concurrency_limit(endpoint) / hold_s, self.rates.limit_of(endpoint, now))
            for endpoint in self._list_usable(service, set(), now)
            if self.notices.paused_until(endpoint) <= now
        )

    def describe_rate(self, endpoint: Endpoint, now: float) -> dict[str, float]:
        """Return rate and free requests of an endpoint for the log; empty without a limit."""
        rate = self.rates.limit_of(endpoint, now)
        if rate == NO_LIMIT:
            return {}
        return {"rate": round(rate, 3), "tokens": round(self.rates.count_tokens(endpoint, now), 2)}

    def find_withdrawal(self, endpoint: Endpoint, now: float) -> str | None:
        """Return why an endpoint that was chosen gets no request any more, or None."""
        current = self._endpoints.get(endpoint.identity)
        if current is None:
            return "the endpoint is gone"
        if current.draining or self.notices.is_leaving(endpoint):
            return "the endpoint is leaving"
        if self.evacuations.is_evacuated(endpoint.zone):
            return "the endpoint's zone is evacuated"
        if self.notices.paused_until(endpoint) > now:
            return "the endpoint asked for a pause"
        return None

    def runs_software(self, service: str, software: str) -> bool:
        """Return whether an endpoint of a service runs a version of its software."""
        return any(
            endpoint.software == software for endpoint in self._services.get(service, {}).values()
        )

    def has_endpoints(self, service: str) -> bool:
        """Return whether any endpoint of a service accepts requests."""
        return any(self._list_accepting(service))

    def has_only_evacuated(self, service: str) -> bool:
        """Return whether a service has endpoints that stay, and all of them in evacuated zones."""
        staying = list(self._list_staying(service))
        return bool(staying) and all(
            self.evacuations.is_evacuated(endpoint.zone) for endpoint in staying
        )

    def has_available_endpoint(self, service: str) -> bool:
        """Return whether any endpoint of a service accepts requests and is available."""
        return any(not self.is_unavailable(endpoint) for endpoint in self._list_accepting(service))

    def _list_accepting(self, service: str) -> Iterator[Endpoint]:
        for endpoint in self._list_staying(service):
            if not self.evacuations.is_evacuated(endpoint.zone):
                yield endpoint

    def _list_staying(self, service: str) -> Iterator[Endpoint]:
        for endpoint in self._services.get(service, {}).values():
            if not endpoint.draining and not self.notices.is_leaving(endpoint):
                yield endpoint

    def _list_usable(self, service: str, tried: set[str], now: float) -> list[Endpoint]:
        candidates = {
            endpoint.identity: endpoint
            for endpoint in self._list_accepting(service)
            if endpoint.identity not in tried and not self.is_unavailable(endpoint)
        }
        usable = self.outliers.select_usable(candidates, now)
        return [endpoint for name, endpoint in candidates.items() if name in usable]


def _count_room(rated: list[_Rated]) -> ZoneRoom:
    """Return the room of a zone; an endpoint that takes no request now has no free place."""
    requests = places = busiest = 0
    for _, load, limit in rated:
        requests += load
        places += max(load, limit)
        busiest = max(busiest, load)
    return ZoneRoom(requests, places, busiest)
