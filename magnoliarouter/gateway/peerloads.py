"""Requests of the other daemons at each endpoint."""

from __future__ import annotations

from dataclasses import dataclass, field

from magnoliarouter.telemetry.logs import log_event

__all__ = ["PEER_LOAD_EXPIRY_S", "PeerLoadSums"]

# The load reported by another daemon expires if it is not renewed within this time.
PEER_LOAD_EXPIRY_S = 1.5
MAX_REQUESTS = 1_000_000


@dataclass(slots=True)
class _Report:
    at: float
    loads: dict[str, int]


@dataclass(slots=True)
class PeerLoadSums:
    """Sums of what the other daemons last reported, kept so that reading one costs no loop."""

    _reports: dict[str, _Report] = field(default_factory=dict)
    _malformed: set[str] = field(default_factory=set)
    _sums: dict[str, int] = field(default_factory=dict)
    # No report expires before this time.
    _expiry_at: float = float("inf")

    def apply(self, peer: str, loads: dict[str, int], now: float) -> dict[str, int]:
        """Replace one daemon's number of requests at each endpoint; `loads` is kept.

        Returns by how many requests the endpoints have more than before.

        Loads with a number that no daemon can have are not applied, and the first such of a daemon
        is logged.
        """
        if loads and not 0 <= min(loads.values()) <= max(loads.values()) <= MAX_REQUESTS:
            if peer not in self._malformed:
                self._malformed.add(peer)
                bad = {name: n for name, n in loads.items() if not 0 <= n <= MAX_REQUESTS}
                log_event("peer_loads_malformed", peer=peer, field="loads", value=repr(bad)[:200])
            return {}
        known = self._reports.get(peer)
        before = known.loads if known is not None else {}
        self._reports[peer] = _Report(now, loads)
        self._expiry_at = min(self._expiry_at, now + PEER_LOAD_EXPIRY_S)
        started = {}
        for identity, requests in loads.items():
            known_requests = before.get(identity, 0)
            if requests != known_requests:
                self._add(identity, requests - known_requests)
                if requests > known_requests:
                    started[identity] = requests - known_requests
        for identity in before.keys() - loads.keys():
            self._add(identity, -before[identity])
        # The requests of a daemon that is heard for the first time may have started long ago.
        return started if known is not None else {}

    def load_of(self, identity: str, now: float) -> int:
        """Return the number of requests of the reporting daemons at an endpoint."""
        if now >= self._expiry_at:
            self._expire(now)
        return self._sums.get(identity, 0)

    def count_reporting(self, now: float) -> int:
        """Return how many other daemons have reported lately."""
        if now >= self._expiry_at:
            self._expire(now)
        return len(self._reports)

    def _expire(self, now: float) -> None:
        expired = [
            peer for peer, report in self._reports.items() if now - report.at >= PEER_LOAD_EXPIRY_S
        ]
        for peer in expired:
            for identity, requests in self._reports.pop(peer).loads.items():
                self._add(identity, -requests)
        oldest = min((report.at for report in self._reports.values()), default=float("inf"))
        self._expiry_at = oldest + PEER_LOAD_EXPIRY_S

    def _add(self, identity: str, requests: int) -> None:
        total = self._sums.get(identity, 0) + requests
        if total:
            self._sums[identity] = total
        else:
            self._sums.pop(identity, None)
