"""Third pipeline stage: chooses an endpoint for a call.

`Placement` holds the endpoint state of one entry daemon (own requests, load reports, cache indexes,
failures); `core.placement` makes the choice.
"""

from __future__ import annotations

import random
from contextlib import contextmanager
from typing import TYPE_CHECKING

from magnoliarouter.core.load import EndpointLoad, LoadReport
from magnoliarouter.core.outliers import OutlierDetector
from magnoliarouter.core.placement import (
    Candidate,
    Choice,
    Chosen,
    LeastLoaded,
    PlacementPolicy,
    PrefixAffinity,
    RandomChoice,
    choose_endpoint,
)
from magnoliarouter.core.prefixes import CacheChange, PrefixIndex, hash_head
from magnoliarouter.pipeline.call import ApplicationCall, ModelCall
from magnoliarouter.pipeline.registry import EndpointRegistry

if TYPE_CHECKING:
    from collections.abc import Callable, Iterator, Set

    from magnoliarouter.core.cache import VersionedCache
    from magnoliarouter.daemon.settings import EntrySettings
    from magnoliarouter.pipeline.call import Call
    from magnoliarouter.store.objects import EndpointSpec, VmSpec

__all__ = ["Placement", "create_policy"]

DEFAULT_QUEUE_LIMIT = 8


def create_policy(settings: EntrySettings) -> PlacementPolicy:
    """Return the placement policy selected in the settings."""
    match settings.placement_policy:
        case "random":
            return RandomChoice()
        case "least-loaded":
            return LeastLoaded()
    return PrefixAffinity(
        remote_zone_seconds=settings.zone_distance_seconds,
        cold_prefix_seconds=settings.cold_prefix_seconds,
    )


class Placement:
    """Endpoint state of one entry daemon, from which it chooses endpoints for calls.

    Parameters
    ----------
    zone : str
        Availability zone of the daemon.
    endpoints : VersionedCache
        Registered endpoints.
    clock : callable
        Loop time in seconds.
    policy : PlacementPolicy
        How endpoints are chosen.
    vms : VersionedCache, optional
        VMs as the platform lists them.
    extra_load : callable, optional
        Returns the extra load of an endpoint, given its name, in requests per slot; for instance
        the step-time skew of its group.
    rng : random.Random, optional
        Source of random choices.
    """

    def __init__(
        self,
        zone: str,
        endpoints: VersionedCache[EndpointSpec],
        clock: Callable[[], float],
        policy: PlacementPolicy | None = None,
        vms: VersionedCache[VmSpec] | None = None,
        extra_load: Callable[[str], float] = lambda name: 0.0,
        rng: random.Random | None = None,
    ) -> None:
        self.outliers = OutlierDetector()
        self._zone = zone
        self._registry = EndpointRegistry(endpoints, vms)
        self._clock = clock
        self._policy = policy or PrefixAffinity()
        self._extra_load = extra_load
        self._rng = rng or random.Random()
        self._loads: dict[str, EndpointLoad] = {}
        self._indexes: dict[str, PrefixIndex] = {}
        self._incarnations: dict[str, str] = {}

    def place(self, call: Call, tried: Set[str] = frozenset()) -> Choice:
        """Choose an endpoint for a call, excluding those already tried."""
        now = self._clock()
        serving = [
            spec
            for spec in self._registry.list_serving(call.work)
            if spec.name not in tried and not self._is_draining(spec)
        ]
        usable = self.outliers.select_usable((spec.name for spec in serving), now)
        specs = [spec for spec in serving if spec.name in usable]
        local_choice = self._choose_in_zone(call, specs, now)
        return local_choice or self._choose(call, specs, now)

    def _choose_in_zone(self, call: Call, specs: list[EndpointSpec], now: float) -> Chosen | None:
        """Choose in the daemon's own zone if the wait is at most `remote_zone_seconds`."""
        if not isinstance(self._policy, PrefixAffinity):
            return None
        choice = self._choose(call, [spec for spec in specs if spec.zone == self._zone], now)
        is_within_distance = (
            isinstance(choice, Chosen) and choice.wait <= self._policy.remote_zone_seconds
        )
        return choice if is_within_distance else None

    def _choose(self, call: Call, specs: list[EndpointSpec], now: float) -> Choice:
        prefix_hash = _hash_prefix(call)
        candidates = [self._build_candidate(spec, prefix_hash, now) for spec in specs]
        remaining = call.deadline - now
        return choose_endpoint(
            _build_affinity_key(call), self._zone, candidates, self._policy, self._rng, remaining
        )

    def find(self, name: str) -> EndpointSpec | None:
        """Return a registered endpoint, or None if there is none of this name."""
        return self._registry.find(name)

    @contextmanager
    def track(self, endpoint: EndpointSpec, call: Call) -> Iterator[None]:
        """Count an attempt of a call as in progress on an endpoint."""
        load = self._get_load(endpoint.name)
        prefix_hash = _hash_prefix(call)
        if prefix_hash is not None:
            self._get_index(endpoint.name).expect_block(prefix_hash, self._clock())
        load.record_start(self._clock())
        try:
            yield
        finally:
            load.record_end(self._clock())

    def apply_report(self, name: str, report: LoadReport, sent_at: float) -> None:
        """Apply a load report of an endpoint that was sent at a loop time."""
        self._get_load(name).apply_report(report, sent_at - report.age)

    def set_incarnation(self, name: str, incarnation: str) -> None:
        """Record the incarnation of an endpoint's guard; a new one starts with an empty index."""
        known = self._incarnations.get(name)
        self._incarnations[name] = incarnation
        if known not in (None, incarnation):
            self._get_index(name).restart()
            self._get_load(name).clear_report()

    def apply_cache_change(self, name: str, change: CacheChange) -> bool:
        """Apply cache changes of an endpoint and return whether its index was cleared."""
        return self._get_index(name).apply(change)

    def confirm_reports_except(self, stale: Set[str], measured_at: float) -> None:
        """Record that the last reports were still valid at a loop time, except the stale ones."""
        for name, load in self._loads.items():
            if name not in stale:
                load.confirm(measured_at)

    def forget_unregistered(self) -> None:
        """Drop the state of endpoints that are no longer registered."""
        known = self._registry.list_names()
        removed = [
            name for name in self._loads if name not in known and not self._loads[name].own_requests
        ]
        for name in removed:
            del self._loads[name]
            self._indexes.pop(name, None)
            self._incarnations.pop(name, None)
        self.outliers.forget(removed)

    def _is_draining(self, spec: EndpointSpec) -> bool:
        load = self._loads.get(spec.name)
        return self._is_incarnation_current(spec) and bool(
            load and load.report and load.report.draining
        )

    def _is_incarnation_current(self, spec: EndpointSpec) -> bool:
        """Return whether the recorded state comes from the registered incarnation."""
        return self._incarnations.get(spec.name, spec.incarnation) == spec.incarnation

    def _build_candidate(
        self, spec: EndpointSpec, prefix_hash: int | None, now: float
    ) -> Candidate:
        load = self._get_load(spec.name)
        report = load.report or LoadReport(0, spec.slots, DEFAULT_QUEUE_LIMIT)
        index = self._indexes.get(spec.name)
        return Candidate(
            name=spec.name,
            zone=spec.zone,
            outstanding_requests=load.estimate(now),
            slots=spec.slots,
            queue_limit=report.queue_limit,
            token_seconds=report.token_seconds,
            service_seconds=report.service_seconds,
            warm=index is not None
            and self._is_incarnation_current(spec)
            and index.holds(prefix_hash, now),
            extra_load=self._extra_load(spec.name),
            reported_requests=report.running,
        )

    def _get_load(self, name: str) -> EndpointLoad:
        return self._loads.setdefault(name, EndpointLoad())

    def _get_index(self, name: str) -> PrefixIndex:
        return self._indexes.setdefault(name, PrefixIndex())


def _build_affinity_key(call: Call) -> str:
    match call.work:
        case ModelCall(prefix=prefix):
            return prefix
        case ApplicationCall():
            return call.request_id


def _hash_prefix(call: Call) -> int | None:
    return hash_head(call.work.prefix) if isinstance(call.work, ModelCall) else None
