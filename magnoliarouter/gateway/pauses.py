"""Pauses between the events of streams, as this daemon's own streams show them.

A group's ranks step together, so the streams of one daemon tell how long the steps of each group
are, without a call and without delay.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["EventGapMeter", "limit_requests"]

# Part that one pause has in the mean: a daemon has some five streams at a group, so that the mean is
# of little more than the last step.
MEAN_WEIGHT = 0.2
# Part of the pause called late above which an endpoint gets one request less than it has places for,
# and two less: each further request makes all steps of its group longer.
ONE_LESS_SHARE = 0.68
TWO_LESS_SHARE = 0.8
# Without a pause for so long, nothing is known.
MEAN_EXPIRY_S = 1.0


class EventGapMeter:
    """Recent pauses of each group.

    Parameters
    ----------
    clock : callable
        Loop time in seconds.
    find_group : callable
        Returns the group of an endpoint, or "" if it is in none.
    """

    def __init__(self, clock: Callable[[], float], find_group: Callable[[str], str]) -> None:
        self._clock = clock
        self._find_group = find_group
        self._means: dict[str, tuple[float, float]] = {}

    def record(self, identity: str, gap_s: float) -> None:
        """Take a pause of a stream at an endpoint."""
        group = self._find_group(identity)
        if group:
            mean = self.mean_gap(group)
            mean = gap_s if mean is None else mean + MEAN_WEIGHT * (gap_s - mean)
            self._means[group] = (self._clock(), mean)

    def mean_gap(self, group: str) -> float | None:
        """Return the mean of a group's last pauses in seconds, or None if there were none."""
        at, mean = self._means.get(group, (-math.inf, 0.0))
        return mean if self._clock() - at < MEAN_EXPIRY_S else None

    def mean_gap_at(self, identity: str) -> float | None:
        """Return the same for the group of an endpoint."""
        return self.mean_gap(self._find_group(identity))


def limit_requests(slots: int, gap_s: float | None, max_gap_s: float | None) -> int:
    """Return how many requests an endpoint should have at once.

    Parameters
    ----------
    slots : int
        Places that the endpoint has.
    gap_s : float, optional
        Recent pause between events there.
    max_gap_s : float, optional
        Pause from which on an answer is late.
    """
    if gap_s is None or max_gap_s is None or gap_s <= ONE_LESS_SHARE * max_gap_s:
        return slots
    return max(1, slots - (1 if gap_s <= TWO_LESS_SHARE * max_gap_s else 2))
