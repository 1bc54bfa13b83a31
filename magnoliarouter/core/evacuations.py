"""Availability zones that the operator evacuates, and how load returns to them."""

from __future__ import annotations

from dataclasses import dataclass, field

__all__ = ["RETURN_S", "ZoneEvacuations"]

# Time in which the endpoints of a zone get back all of their concurrency slots. They are empty when
# an evacuation ends, so that all daemons would choose them for all new calls at the same moment. In
# this time each daemon has renewed what the others know of its load.
RETURN_S = 0.5


@dataclass(slots=True)
class ZoneEvacuations:
    """Evacuated zones, and zones that were taken back a short time ago.

    Examples
    --------
    >>> evacuations = ZoneEvacuations()
    >>> evacuations.begin("zone-1", 5.0), evacuations.begin("zone-1", 6.0)
    (True, False)
    >>> evacuations.is_evacuated("zone-1"), evacuations.end("zone-1", 9.0)
    (True, 4.0)
    >>> evacuations.limit_requests(7, "zone-1", 9.0 + RETURN_S / 2)
    4
    """

    _began_at: dict[str, float] = field(default_factory=dict)
    _ended_at: dict[str, float] = field(default_factory=dict)

    def begin(self, zone: str, now: float) -> bool:
        """Record that a zone is evacuated, and return whether that is new."""
        if zone in self._began_at:
            return False
        self._began_at[zone] = now
        self._ended_at.pop(zone, None)
        return True

    def end(self, zone: str, now: float) -> float | None:
        """Record that a zone is taken back, and return the seconds for which it was evacuated.

        It is None if the zone was not evacuated.
        """
        began_at = self._began_at.pop(zone, None)
        if began_at is None:
            return None
        self._ended_at[zone] = now
        return now - began_at

    def is_evacuated(self, zone: str) -> bool:
        """Return whether no request may be sent to the endpoints of a zone."""
        return zone in self._began_at

    def list(self) -> list[str]:
        """Return the evacuated zones in the order of their names."""
        return sorted(self._began_at)

    def limit_requests(self, requests: int, zone: str, now: float) -> int:
        """Return how many concurrent requests an endpoint of a zone may have.

        Parameters
        ----------
        requests : int
            Number that the endpoint may have otherwise.
        zone : str
            Zone of the endpoint.
        now : float
            Loop time in seconds.
        """
        ended_at = self._ended_at.get(zone)
        if ended_at is None:
            return requests
        share = (now - ended_at) / RETURN_S
        if share >= 1.0:
            del self._ended_at[zone]
            return requests
        return min(requests, 1 + int((requests - 1) * share))
