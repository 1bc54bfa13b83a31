"""Measures the gaps between the events of this daemon's streams, by group of ranks.

All ranks of a group step together, so the event gaps of one daemon's streams show how long the
steps of each group take, without a call and without delay.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["EventGapMeter", "limit_requests"]

# Weight of one gap in the moving mean. A daemon has about five streams at a group, so the mean covers
# little more than the last step.
MEAN_WEIGHT = 0.2
# Shares of the longest acceptable event gap above which an endpoint gets one and two requests fewer
# than it has slots, because each further request makes all steps of its group longer.
ONE_LESS_SHARE = 0.68
TWO_LESS_SHARE = 0.8
# The mean expires if no gap is recorded for this time.
MEAN_EXPIRY_S = 1.0


class EventGapMeter:
    """Moving mean of the event gaps of each group.

    Parameters
    ----------
    clock : callable
        Loop time in seconds.
    find_group : callable
        Returns the group of an endpoint, or "" if it has none.
    """

    def __init__(self, clock: Callable[[], float], find_group: Callable[[str], str]) -> None:
        self._clock = clock
        self._find_group = find_group
        self._means: dict[str, tuple[float, float]] = {}

    def record(self, identity: str, gap_s: float) -> None:
        """Record an event gap of a stream at an endpoint, in seconds."""
        group = self._find_group(identity)
        if group:
            mean = self.mean_gap(group)
            mean = gap_s if mean is None else mean + MEAN_WEIGHT * (gap_s - mean)
            self._means[group] = (self._clock(), mean)

    def mean_gap(self, group: str) -> float | None:
        """Return the moving mean of a group's event gaps in seconds, or None without recent gaps."""
        at, mean = self._means.get(group, (-math.inf, 0.0))
        return mean if self._clock() - at < MEAN_EXPIRY_S else None

    def mean_gap_at(self, identity: str) -> float | None:
        """Return the mean event gap of the group of an endpoint, or None without recent gaps."""
        return self.mean_gap(self._find_group(identity))


def limit_requests(slots: int, gap_s: float | None, max_gap_s: float | None) -> int:
    """Return the maximum number of concurrent requests at an endpoint.

    Parameters
    ----------
    slots : int
        Maximum number of concurrent requests that the endpoint supports.
    gap_s : float, optional
        Recent mean event gap of the endpoint's group in seconds.
    max_gap_s : float, optional
        Longest acceptable event gap in seconds.
    """
    if gap_s is None or max_gap_s is None or gap_s <= ONE_LESS_SHARE * max_gap_s:
        return slots
    return max(1, slots - (1 if gap_s <= TWO_LESS_SHARE * max_gap_s else 2))
