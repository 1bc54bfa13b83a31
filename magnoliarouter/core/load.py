"""Load of an endpoint: own requests in progress plus the last report, aged by its lag."""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field

__all__ = ["EndpointLoad", "LoadReport"]

REPORT_HALF_LIFE_S = 5.0
HISTORY_S = 15.0


@dataclass(frozen=True, slots=True)
class LoadReport:
    """What the guard of an endpoint reports.

    Parameters
    ----------
    running : int
        Attempts inside the endpoint, those that wait for a slot included.
    slots : int
        Requests that the endpoint works on at once.
    queue_limit : int
        Attempts beyond the slots that the guard lets in.
    token_seconds : float
        Observed time for each token of a stream; 0 if none was seen yet.
    service_seconds : float
        Observed time for each request once it holds a slot; 0 if none was seen yet.
    draining : bool
        Whether the endpoint takes no new work.
    engine_requests : int
        Requests in the engine's own report, as late as that report is.
    age : float
        Seconds since the report was true when it was sent.
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
    """Load of one endpoint as one entry daemon sees it.

    A report is split into the daemon's own requests at that time, which it knows exactly, and
    those of others, which fade while no report confirms them.
    """

    own_requests: int = 0
    report: LoadReport | None = None
    measured_at: float = -math.inf
    confirmed_at: float = -math.inf
    other_requests: float = 0.0
    _history: deque[tuple[float, int]] = field(default_factory=deque)

    def record_start(self, now: float) -> None:
        """Count an own request that begins."""
        self._adjust_own_requests(1, now)

    def record_end(self, now: float) -> None:
        """Count an own request that ends."""
        self._adjust_own_requests(-1, now)

    def apply_report(self, report: LoadReport, measured_at: float) -> bool:
        """Take a report if it is newer than the last, and return whether it was.

        Parameters
        ----------
        report : LoadReport
            The report.
        measured_at : float
            Loop time at which it was true.
        """
        if measured_at < self.measured_at:
            return False
        self.report = report
        self.measured_at = measured_at
        self.other_requests = float(max(0, report.running - self.own_requests_at(measured_at)))
        return True

    def clear_report(self) -> None:
        """Drop the report, as after a new start of the endpoint."""
        self.report = None
        self.measured_at = self.confirmed_at = -math.inf
        self.other_requests = 0.0

    def confirm(self, now: float) -> None:
        """Note at a loop time that the last report still holds, as late as reports are."""
        age = self.report.age if self.report else 0.0
        self.confirmed_at = max(self.confirmed_at, now - age)

    def estimate(self, now: float) -> float:
        """Return the requests that the endpoint is likely to hold now."""
        age = max(0.0, now - max(self.measured_at, self.confirmed_at))
        return self.own_requests + self.other_requests * 0.5 ** (age / REPORT_HALF_LIFE_S)

    def own_requests_at(self, moment: float) -> int:
        """Return the own requests in progress at a loop time of the recent past."""
        for time, own_requests in reversed(self._history):
            if time <= moment:
                return own_requests
        return self._history[0][1] if self._history else self.own_requests

    def _adjust_own_requests(self, step: int, now: float) -> None:
        if not self._history:
            self._history.append((-math.inf, self.own_requests))
        self.own_requests += step
        self._history.append((now, self.own_requests))
        # The oldest entry stays, since it tells the count until the next one.
        while len(self._history) > 2 and self._history[1][0] < now - HISTORY_S:
            self._history.popleft()
