"""Third filter: places a call on an endpoint."""

from __future__ import annotations

from collections import Counter
from contextlib import contextmanager
from typing import TYPE_CHECKING

from magnoliarouter.core.placement import Candidate, choose_endpoint
from magnoliarouter.pipeline.call import ApplicationCall, ModelCall

if TYPE_CHECKING:
    from collections.abc import Iterator, Set

    from magnoliarouter.core.cache import VersionedCache
    from magnoliarouter.pipeline.call import Call
    from magnoliarouter.platform.objects import EndpointSpec

__all__ = ["Placement"]


class Placement:
    """Endpoints as one entry daemon sees them.

    Parameters
    ----------
    zone : str
        Availability zone of the daemon.
    endpoints : VersionedCache
        Registered endpoints.
    """

    def __init__(self, zone: str, endpoints: VersionedCache[EndpointSpec]) -> None:
        self._zone = zone
        self._endpoints = endpoints
        self._in_flight: Counter[str] = Counter()

    def place(self, call: Call, tried: Set[str] = frozenset()) -> EndpointSpec | None:
        """Choose an endpoint for a call that was not tried, or None when nothing serves it."""
        candidates = [
            Candidate(spec.name, spec.zone, self._in_flight[spec.name] / spec.slots)
            for spec in self._endpoints.values().values()
            if not spec.draining and spec.name not in tried and _serves(spec, call)
        ]
        chosen = choose_endpoint(_prefix(call), self._zone, candidates)
        return self._endpoints.get(chosen) if chosen else None

    @contextmanager
    def track(self, endpoint: EndpointSpec) -> Iterator[None]:
        """Count an attempt as in progress on an endpoint."""
        self._in_flight[endpoint.name] += 1
        try:
            yield
        finally:
            self._in_flight[endpoint.name] -= 1


def _serves(spec: EndpointSpec, call: Call) -> bool:
    match call.work:
        case ModelCall(model=model):
            return model in spec.models
        case ApplicationCall(service=service):
            return service in spec.services


def _prefix(call: Call) -> str:
    match call.work:
        case ModelCall(prefix=prefix):
            return prefix
        case ApplicationCall():
            return call.request_id
