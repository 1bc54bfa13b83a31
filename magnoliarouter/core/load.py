"""Load estimate of an endpoint: own requests in progress plus the decayed last load report."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["EndpointLoad", "LoadReport"]

REPORT_HALF_LIFE_S = 5.0
HISTORY_S = 15.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """Load report of an endpoint's guard, the process that admits requests to the engine.

    Parameters
    ----------
    running : int
        Attempts admitted to the endpoint, including those that wait for a slot.
    slots : int
        Requests that the endpoint processes concurrently.
    queue_limit : int
        Attempts that the guard admits beyond the slots.
    token_seconds : float
        Observed time in seconds per token of a stream; 0 if unknown.
    service_seconds : float
        Observed time in seconds that a request holds a slot; 0 if unknown.
    draining : bool
        Whether the endpoint accepts no new requests.
    engine_requests : int
        Requests in the engine's own report, which may lag.
    age : float
        Age in seconds of the measurements when the report was sent.
    """

    running: int
    slots: int
    queue_limit: int
    token_seconds: float = 0.0
    service_seconds: float = 0.0
    draining: bool = False
    engine_requests: int = 0
    age: float = 0.0


@dataclass(slots=True)
class EndpointLoad:
    """Load of one endpoint as estimated by one entry daemon.

    The requests in a report are split into the daemon's own requests at that time, which it counts
    exactly, and the requests of other daemons. The latter decay exponentially until the next
    report or confirmation.
    """

    own_requests: int = 0
    report: LoadReport | None = None
    measured_at: float = -math.inf
    confirmed_at: float = -math.inf
    other_requests: float = 0.0
    _history: deque[tuple[float, int]] = field(default_factory=deque)

    def record_start(self, now: float) -> None:
        """Count an own request that starts at a loop time."""
        self._adjust_own_requests(1, now)

    def record_end(self, now: float) -> None:
        """Count an own request that ends at a loop time."""
        self._adjust_own_requests(-1, now)

    def apply_report(self, report: LoadReport, measured_at: float) -> bool:
        """Apply a report unless it is older than the last, and return whether it was applied.

        Parameters
        ----------
        report : LoadReport
            Report to apply.
        measured_at : float
            Loop time in seconds at which the load was measured.
        """
        if measured_at < self.measured_at:
            return False
        self.report = report
        self.measured_at = measured_at
        self.other_requests = float(max(0, report.running - self.own_requests_at(measured_at)))
        return True

    def clear_report(self) -> None:
        """Discard the report, for example after a restart of the endpoint."""
        self.report = None
        self.measured_at = self.confirmed_at = -math.inf
        self.other_requests = 0.0

    def confirm(self, now: float) -> None:
        """Record that the last report was still valid at loop time `now` less the report's age."""
        age = self.report.age if self.report else 0.0
        self.confirmed_at = max(self.confirmed_at, now - age)

    def estimate(self, now: float) -> float:
        """Return the estimated number of requests at the endpoint at loop time `now`."""
        age = max(0.0, now - max(self.measured_at, self.confirmed_at))
        return self.own_requests + self.other_requests * 0.5 ** (age / REPORT_HALF_LIFE_S)

    def own_requests_at(self, moment: float) -> int:
        """Return the number of own requests in progress at a recent loop time."""
        for time, own_requests in reversed(self._history):
            if time <= moment:
                return own_requests
        return self._history[0][1] if self._history else self.own_requests

    def _adjust_own_requests(self, step: int, now: float) -> None:
        if not self._history:
            self._history.append((-math.inf, self.own_requests))
        self.own_requests += step
        self._history.append((now, self.own_requests))
        # The oldest entry stays because it holds the count that is valid until the next entry.
        while len(self._history) > 2 and self._history[1][0] < now - HISTORY_S:
            self._history.popleft()
