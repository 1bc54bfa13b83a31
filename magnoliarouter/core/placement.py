"""Choice of an endpoint for a request.

Candidates are ordered by rendezvous hashing of the request's prefix, so that requests with equal
prefixes go to the same endpoint. Endpoints that exceed a bound on their share of the load are
skipped. The less loaded of the first two is selected among the endpoints that hold the prefix in
their cache, and likewise among those that don't. Of these, the endpoint with the lower expected
cost in seconds is chosen; the daemon's own zone is considered first.
"""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, TypeAlias

from magnoliarouter.core.hashing import weighted_rendezvous_order

if TYPE_CHECKING:
    import random

__all__ = [
    "Candidate",
    "Chosen",
    "LeastLoaded",
    "NoCapacity",
    "NoEndpoint",
    "PlacementPolicy",
    "PrefixAffinity",
    "RandomChoice",
    "TooLate",
    "choose_endpoint",
]

DEFAULT_SERVICE_S = 1.0
MIN_SPEED_CLASS = 0.0625
CHOICES_PER_CACHE_STATE = 2


@dataclass(frozen=True, slots=True)
class Candidate:
    """Endpoint that could serve a request.

    Parameters
    ----------
    name, zone : str
        Endpoint and its availability zone.
    outstanding_requests : float
        Estimated number of requests at the endpoint, running and queued.
    slots : int
        Requests that the endpoint processes concurrently.
    queue_limit : int
        Requests that its guard admits beyond the slots.
    token_seconds : float
        Observed time in seconds per token; 0 if unknown.
    service_seconds : float
        Observed time in seconds per request; 0 if unknown.
    warm : bool
        Whether the endpoint is known to hold the request's prefix in its cache.
    extra_load : float
        Additional load in requests per slot, such as the step-time skew of a group of ranks.
    reported_requests : float
        Requests in the last report, neither reduced with its age nor increased by the requests that
        this daemon has sent since.
    """

    name: str
    zone: str
    outstanding_requests: float
    slots: int
    queue_limit: int = 8
    token_seconds: float = 0.0
    service_seconds: float = 0.0
    warm: bool = False
    extra_load: float = 0.0
    reported_requests: float = 0.0

    @property
    def load(self) -> float:
        """Outstanding requests, with the extra load counted as requests."""
        return self.outstanding_requests + self.extra_load * self.slots

    @property
    def is_full(self) -> bool:
        """Whether the guard would refuse another request."""
        return self.outstanding_requests >= self.slots + self.queue_limit

    @property
    def wait(self) -> float:
        """Expected time in seconds until another request would hold a slot."""
        service = self.service_seconds or DEFAULT_SERVICE_S
        return service * max(0.0, self.load + 1 - self.slots) / self.slots


@dataclass(frozen=True, slots=True)
class PrefixAffinity:
    """Rendezvous hashing of the prefix with bounded load.

    Parameters
    ----------
    load_bound : float
        Largest share of the total load that an endpoint may carry, as a multiple of its share of the
        total capacity.
    remote_zone_seconds : float
        Additional time in seconds of a request to another availability zone.
    cold_prefix_seconds : float
        Time in seconds that the fastest endpoint takes to compute a prefix that isn't cached.
    """

    load_bound: float = 1.25
    remote_zone_seconds: float = 0.002
    cold_prefix_seconds: float = 0.1


@dataclass(frozen=True, slots=True)
class RandomChoice:
    """Uniformly random choice among the candidates; for comparison only."""


@dataclass(frozen=True, slots=True)
class LeastLoaded:
    """Least load in the last reports, without any correction; for comparison only."""


PlacementPolicy: TypeAlias = PrefixAffinity | RandomChoice | LeastLoaded


@dataclass(frozen=True, slots=True)
class Chosen:
    """Endpoint chosen for the request, with the expected `wait` for a slot in seconds."""

    name: str
    wait: float
    warm: bool = False
    is_remote: bool = False


@dataclass(frozen=True, slots=True)
class NoEndpoint:
    """No endpoint serves this kind of request."""


@dataclass(frozen=True, slots=True)
class NoCapacity:
    """Every endpoint is full; one is likely to have free capacity after `retry_after` seconds."""

    retry_after: float


@dataclass(frozen=True, slots=True)
class TooLate:
    """No endpoint can start before the deadline.

    `wait` is the shortest expected time in seconds for getting a slot and computing one token.
    """

    wait: float


Choice: TypeAlias = Chosen | NoEndpoint | NoCapacity | TooLate


def choose_endpoint(
    key: str,
    zone: str,
    candidates: list[Candidate],
    policy: PlacementPolicy,
    rng: random.Random,
    remaining: float = math.inf,
) -> Choice:
    """Choose the endpoint that serves a request.

    Parameters
    ----------
    key : str
        Start of the prompt, or another key that is equal for requests that share cached work.
    zone : str
        Availability zone of the entry daemon.
    candidates : list of Candidate
        Endpoints that may serve it.
    policy : PrefixAffinity, RandomChoice or LeastLoaded
        Placement policy.
    rng : random.Random
        Random number generator.
    remaining : float
        Time in seconds until the request's deadline.
    """
    if not candidates:
        return NoEndpoint()
    available = [candidate for candidate in candidates if not candidate.is_full]
    if not available:
        return NoCapacity(min(_time_to_free_capacity(candidate) for candidate in candidates))
    shortest = min(candidate.wait + candidate.token_seconds for candidate in available)
    if shortest >= remaining:
        return TooLate(shortest)
    match policy:
        case PrefixAffinity():
            return _choose_by_prefix(key, zone, available, policy)
        case RandomChoice():
            chosen = rng.choice(available)
        case LeastLoaded():
            rng.shuffle(available)
            chosen = min(
                available, key=lambda candidate: candidate.reported_requests / candidate.slots
            )
    return Chosen(chosen.name, chosen.wait, chosen.warm, chosen.zone != zone)


@dataclass(slots=True)
class _ZoneCandidates:
    """Candidates of one zone or of all other zones, which share a load bound."""

    key: str
    candidates: list[Candidate]
    policy: PrefixAffinity
    weights: dict[str, float] = field(default_factory=dict)

    def __post_init__(self) -> None:
        fastest = min((c.token_seconds for c in self.candidates if c.token_seconds), default=0.0)
        self.weights = {c.name: c.slots * _speed_class(c, fastest) for c in self.candidates}

    def select(self) -> list[Candidate]:
        """Return the best candidate that holds the prefix and the best that doesn't."""
        by_name = {candidate.name: candidate for candidate in self.candidates}
        order = [by_name[name] for name in weighted_rendezvous_order(self.key, self.weights)]
        total = sum(candidate.load for candidate in self.candidates) + 1
        share = self.policy.load_bound * total / sum(self.weights.values())
        # Loads are rounded down so that at least one candidate is always within its bound.
        fitting = [c for c in order if int(c.load) + 1 <= math.ceil(share * self.weights[c.name])]
        warm = [candidate for candidate in fitting if candidate.warm][:CHOICES_PER_CACHE_STATE]
        cold = [candidate for candidate in fitting if not candidate.warm][:CHOICES_PER_CACHE_STATE]
        return [min(some, key=self._relative_load) for some in (warm, cold) if some]

    def estimate_cost(self, candidate: Candidate, zone: str) -> float:
        """Return the part of the expected time to the first token that differs by candidate.

        The result is in seconds.
        """
        speed = self.weights[candidate.name] / candidate.slots
        cost = candidate.wait + candidate.token_seconds
        if not candidate.warm:
            cost += self.policy.cold_prefix_seconds / speed
        if candidate.zone != zone:
            cost += self.policy.remote_zone_seconds
        return cost

    def _relative_load(self, candidate: Candidate) -> float:
        return (candidate.load + 1) / self.weights[candidate.name]


def _choose_by_prefix(
    key: str, zone: str, candidates: list[Candidate], policy: PrefixAffinity
) -> Chosen:
    local = _ZoneCandidates(key, [c for c in candidates if c.zone == zone], policy)
    remote = _ZoneCandidates(key, [c for c in candidates if c.zone != zone], policy)
    # Endpoints in other zones are compared only if the wait at every selected local endpoint exceeds
    # the additional time of a request to another zone.
    found = local.select() if local.candidates else []
    if remote.candidates and all(
        candidate.wait > policy.remote_zone_seconds for candidate in found
    ):
        found += remote.select()
    zones = {c.name: (local if c.zone == zone else remote) for c in found}
    best = min(found, key=lambda c: zones[c.name].estimate_cost(c, zone))
    return Chosen(best.name, best.wait, best.warm, best.zone != zone)


def _speed_class(candidate: Candidate, fastest: float) -> float:
    """Return the speed relative to the fastest, rounded to a power of two so it rarely changes."""
    if not candidate.token_seconds or not fastest:
        return 1.0
    speed = fastest / candidate.token_seconds
    return max(MIN_SPEED_CLASS, 2.0 ** round(math.log2(speed)))


def _time_to_free_capacity(candidate: Candidate) -> float:
    service = candidate.service_seconds or DEFAULT_SERVICE_S
    excess = candidate.outstanding_requests + 1 - candidate.slots - candidate.queue_limit
    return service * max(1.0, excess) / candidate.slots
