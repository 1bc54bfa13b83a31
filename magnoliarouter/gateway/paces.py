"""Which ranks are slow, so that requests and experts can be moved away from them.

All ranks of a group step together, and a step waits for the slowest. The map leader reads the ranks'
reports while steps are late, and tells the other daemons which ranks are slow.
"""

from __future__ import annotations

from statistics import median
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

__all__ = ["RankPaces", "compare_paces", "limit_by_pace"]

# A rank counts as slow from this multiple of its group's median pace.
SLOW_PACE = 1.25
# What another daemon reported expires if it is not renewed within this time.
REPORT_EXPIRY_S = 1.5
# Streams leave a rank from this relative pace: to read their prompts again costs less than the wait of
# all other streams of the group.
LEAVE_PACE = 2.0


def compare_paces(paces: Mapping[str, float]) -> dict[str, float]:
    """Return the paces of the slow ranks of one group, relative to the group's median pace.

    Parameters
    ----------
    paces : mapping of str to float
        How many times as long as usual each rank takes; ranks without a report are left out.
    """
    if not paces:
        return {}
    usual = median(paces.values())
    if usual <= 0:
        return {}
    return {rank: pace / usual for rank, pace in paces.items() if pace >= SLOW_PACE * usual}


def limit_by_pace(requests: int, pace: float) -> int:
    """Return how many requests a rank may have so that its group waits little for it.

    Parameters
    ----------
    requests : int
        Maximum number of concurrent requests at a rank of usual pace.
    pace : float
        Pace of the rank relative to the others.
    """
    if pace >= LEAVE_PACE:
        return 0
    return requests if pace <= 1.0 else max(1, int(requests / pace))


class RankPaces:
    """Slow ranks as reported by the map leader, or as this daemon itself has read them.

    Parameters
    ----------
    clock : callable
        Loop time in seconds.
    move_streams : callable
        Called with the ranks that streams should leave.
    """

    def __init__(
        self,
        clock: Callable[[], float],
        move_streams: Callable[[list[str]], None] = lambda names: None,
    ) -> None:
        self._clock = clock
        self._move_streams = move_streams
        self._slow: dict[str, float] = {}
        self._reported_at = float("-inf")

    def apply_report(self, slow: dict[str, float]) -> None:
        """Replace the paces of slow ranks."""
        self._slow, self._reported_at = slow, self._clock()
        self._move_streams([rank for rank, pace in slow.items() if pace >= LEAVE_PACE])

    def pace_of(self, identity: str) -> float:
        """Return the pace of an endpoint relative to its group; 1 if it is not known to be slow."""
        if not self._slow or self._clock() - self._reported_at > REPORT_EXPIRY_S:
            return 1.0
        return self._slow.get(identity, 1.0)
