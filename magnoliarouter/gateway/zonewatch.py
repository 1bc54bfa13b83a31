"""Detects zones that this daemon cannot reach.

A call sent into an unreachable zone waits for a connection timeout. One such failure therefore
excludes all endpoints of the zone until a probe connection of the daemon succeeds.
"""

from __future__ import annotations

import asyncio
import random
from typing import TYPE_CHECKING

from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable, Iterable

    from magnoliarouter.gateway.endpoints import Endpoint

__all__ = ["ZoneWatch"]

# Interval between probes of unreachable zones. A connection is cheap compared with the calls that
# wait for the zone to return.
PROBE_INTERVAL_S = 0.5
# Endpoints of a zone probed at once. A single endpoint may have failed on its own.
PROBED_ENDPOINTS = 2


class ZoneWatch:
    """Unreachable zones; the daemon's own zone always counts as reachable.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    connect : callable
        Coroutine function that returns whether a new connection to an address could be opened.
    list_endpoints : callable
        Returns all endpoints.
    on_change : callable
        Called with a zone when it becomes unreachable or reachable.
    """

    def __init__(
        self,
        zone: str,
        connect: Callable[[str], Awaitable[bool]],
        list_endpoints: Callable[[], Iterable[Endpoint]],
        on_change: Callable[[str], None] = lambda zone: None,
    ) -> None:
        self._zone = zone
        self._connect = connect
        self._list_endpoints = list_endpoints
        self._on_change = on_change
        self._unreachable: set[str] = set()
        self._suspected: set[str] = set()
        self._failed_endpoint: dict[str, str] = {}
        self._wake = asyncio.Event()

    def is_unreachable(self, zone: str) -> bool:
        """Return whether a zone is unreachable."""
        return zone in self._unreachable

    def record_unreachable(self, endpoint: Endpoint) -> None:
        """Exclude an endpoint's zone until a probe shows whether other endpoints are reachable."""
        if endpoint.zone != self._zone and endpoint.zone not in self._unreachable:
            self._failed_endpoint[endpoint.zone] = endpoint.identity
            self._set_unreachable(endpoint.zone, f"no connection to {endpoint.identity}")
            self._wake.set()

    def suspect(self, endpoint: Endpoint) -> None:
        """Request a probe of the zone of a silent endpoint."""
        if endpoint.zone != self._zone and endpoint.zone not in self._unreachable:
            self._suspected.add(endpoint.zone)
            self._wake.set()

    async def run(self) -> None:
        """Probe suspected and unreachable zones until cancelled."""
        while True:
            self._wake.clear()
            zones, self._suspected = self._unreachable | self._suspected, set()
            await asyncio.gather(*(self._probe_zone(zone) for zone in zones))
            try:
                async with asyncio.timeout(PROBE_INTERVAL_S if self._unreachable else None):
                    await self._wake.wait()
            except TimeoutError:
                continue

    async def _probe_zone(self, zone: str) -> None:
        endpoints = [endpoint for endpoint in self._list_endpoints() if endpoint.zone == zone]
        # Probes different endpoints each time, since several may be dead, and the endpoint that failed
        # only if the zone has too few others.
        random.shuffle(endpoints)
        endpoints.sort(key=lambda endpoint: endpoint.identity == self._failed_endpoint.get(zone))
        reached = await asyncio.gather(
            *(self._connect(endpoint.address) for endpoint in endpoints[:PROBED_ENDPOINTS])
        )
        if any(reached) or not endpoints:
            self._set_reachable(zone)
        elif zone not in self._unreachable:
            self._set_unreachable(zone, "no probed endpoint accepted a connection")

    def _set_unreachable(self, zone: str, reason: str) -> None:
        self._unreachable.add(zone)
        log_event("zone_lost", zone=zone, reason=reason)
        self._on_change(zone)

    def _set_reachable(self, zone: str) -> None:
        self._failed_endpoint.pop(zone, None)
        if zone in self._unreachable:
            self._unreachable.discard(zone)
            log_event("zone_regained", zone=zone)
            self._on_change(zone)
