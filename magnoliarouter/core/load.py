"""Load of an endpoint: own requests in progress plus the last report, aged by its lag."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["EndpointLoad", "LoadReport"]

REPORT_HALF_LIFE_S = 5.0


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
    engine_queued : int
        Queue in the engine's own report, as late as that report is.
    """

    running: int
    slots: int
    queue_limit: int
    token_seconds: float = 0.0
    service_seconds: float = 0.0
    draining: bool = False
    engine_queued: int = 0


@dataclass(slots=True)
class EndpointLoad:
    """Load of one endpoint as one entry daemon sees it.

    The report is split into the daemon's own requests, which it counts exactly, and those of
    others, which fade while no report confirms them.
    """

    own: int = 0
    report: LoadReport | None = None
    measured: float = 0.0
    confirmed: float = 0.0
    others: float = 0.0

    def take_report(self, report: LoadReport, measured: float) -> bool:
        """Take a report if it is newer than the last, and return whether it was.

        Parameters
        ----------
        report : LoadReport
            The report.
        measured : float
            Loop time at which it was true.
        """
        if self.report is not None and measured < self.measured:
            return False
        self.report = report
        self.measured = measured
        self.others = float(max(0, report.running - self.own))
        return True

    def confirm(self, measured: float) -> None:
        """Note that the last report still held at a time."""
        self.confirmed = max(self.confirmed, measured)

    def estimate(self, now: float) -> float:
        """Return the requests that the endpoint is likely to hold now."""
        age = max(0.0, now - max(self.measured, self.confirmed))
        return self.own + self.others * 0.5 ** (age / REPORT_HALF_LIFE_S)
