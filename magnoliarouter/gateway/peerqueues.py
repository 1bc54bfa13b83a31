"""Calls that wait at the other daemons by urgency, as they last reported them."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["MAX_REPORTED_CALLS", "PeerQueues"]

# No daemon holds more waiting calls of one urgency for one service.
MAX_REPORTED_CALLS = 1_000
# Urgencies from that of a started stream to the last one of the routes.
MAX_URGENCIES = 11


@dataclass(slots=True)
class PeerQueues:
    """Waiting calls of the other daemons.

    Parameters
    ----------
    expiry_s : float
        Seconds after which a report no longer counts.
    registered : collection of str, optional
        Daemons whose reports count; None for all.
    """

    expiry_s: float
    registered: Collection[str] | None = None
    _reports: dict[str, tuple[float, dict[str, list[int]]]] = field(default_factory=dict)
    _malformed: set[str] = field(default_factory=set)

    def apply(self, peer: str, queues: dict[str, list[int]], now: float) -> None:
        """Replace the report of a daemon: for each service, its calls by urgency.

        A report with a number that no daemon can have is not applied, and the first such of a
        daemon is logged.
        """
        bad = {
            service: counts
            for service, counts in queues.items()
            if len(counts) > MAX_URGENCIES
            or not all(0 <= calls <= MAX_REPORTED_CALLS for calls in counts)
        }
        if not bad:
            if queues:
                self._reports[peer] = (now, queues)
            else:
                self._reports.pop(peer, None)
        elif peer not in self._malformed:
            self._malformed.add(peer)
            log_event("peer_loads_malformed", peer=peer, field="queues", value=repr(bad)[:200])

    def list(self, service: str, now: float) -> list[list[int]]:
        """Return the calls that wait for a service by urgency, for each daemon that holds any."""
        return [
            queues[service]
            for peer, (at, queues) in self._reports.items()
            if service in queues
            and now - at < self.expiry_s
            and (self.registered is None or peer in self.registered)
        ]
