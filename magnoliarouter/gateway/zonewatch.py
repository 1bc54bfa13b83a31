"""Which zones are out of reach, as one daemon believes.

A call that is sent into a zone that is cut off waits for a connection time-out, so what one call
learns holds for all endpoints there until a connection of the daemon's own succeeds.
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

# A connection is cheap beside the calls that wait for the zone's return.
PROBE_INTERVAL_S = 0.5
# Endpoints connected to at once; one alone may have failed by itself.
PROBED_ENDPOINTS = 2


class ZoneWatch:
    """Zones that cannot be reached; a daemon's own zone always counts as reachable.

    Parameters
    ----------
    zone : str
        Availability zone of this daemon.
    connect : callable
        Coroutine function that returns whether a new connection to an address could be opened.
    list_endpoints : callable
        Returns all endpoints.
    on_change : callable
        Called with a zone when it is lost or regained.
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
        """Return whether a zone is out of reach."""
        return zone in self._unreachable

    def record_unreachable(self, endpoint: Endpoint) -> None:
        """Leave a zone out until it is known whether more than one endpoint is out of reach."""
        if endpoint.zone != self._zone and endpoint.zone not in self._unreachable:
            self._failed_endpoint[endpoint.zone] = endpoint.identity
            self._set_unreachable(endpoint.zone, f"no connection to {endpoint.identity}")
            self._wake.set()

    def suspect(self, endpoint: Endpoint) -> None:
        """Try whether the zone of a silent endpoint can be reached."""
        if endpoint.zone != self._zone and endpoint.zone not in self._unreachable:
            self._suspected.add(endpoint.zone)
            self._wake.set()

    async def run(self) -> None:
        """Try to reach the zones in doubt, for ever."""
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
        known = [endpoint for endpoint in self._list_endpoints() if endpoint.zone == zone]
        # Others each time, since several may be dead; the one that failed only if there is no other.
        random.shuffle(known)
        known.sort(key=lambda endpoint: endpoint.identity == self._failed_endpoint.get(zone))
        reached = await asyncio.gather(
            *(self._connect(endpoint.address) for endpoint in known[:PROBED_ENDPOINTS])
        )
        if any(reached) or not known:
            self._set_reachable(zone)
        elif zone not in self._unreachable:
            self._set_unreachable(zone, "no connection after silence")

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
