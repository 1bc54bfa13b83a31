"""Mean time for which the requests of one service hold a place at an endpoint."""

from __future__ import annotations

import statistics
from collections import deque
from dataclasses import dataclass, field

__all__ = ["HoldMeter"]

# The last requests that are remembered, and how many must have ended before the mean is known.
MAX_HOLDS = 32
MIN_HOLDS = 3
# A longer time, as in a stall, counts as this multiple of the median.
LONG_HOLD_FACTOR = 2.0


@dataclass(slots=True)
class HoldMeter:
    """Mean over the last requests, in which the few that met a stall count little.

    Examples
    --------
    >>> meter = HoldMeter()
    >>> for seconds in (0.5, 0.5, 0.5, 9.0):
    ...     meter.record(seconds)
    >>> meter.mean_s()
    0.625
    """

    _holds: deque[float] = field(default_factory=lambda: deque(maxlen=MAX_HOLDS))
    _mean_s: float | None = None

    def record(self, seconds: float) -> None:
        """Record for how long a request held its place."""
        self._holds.append(seconds)
        self._mean_s = None

    def mean_s(self) -> float | None:
        """Return the mean time in seconds, or None if too few requests have ended."""
        if self._mean_s is None and len(self._holds) >= MIN_HOLDS:
            longest = LONG_HOLD_FACTOR * statistics.median(self._holds)
            self._mean_s = statistics.fmean(min(hold, longest) for hold in self._holds) or None
        return self._mean_s
