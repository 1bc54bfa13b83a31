"""Budget of retries: a share of recent successes, so that retries cannot multiply an overload."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget"]

BUCKET_S = 1.0


@dataclass(slots=True)
class _Bucket:
    start: float
    successes: int = 0
    retries: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Counts successes and retries over a sliding window.

    Parameters
    ----------
    share : float
        Retries allowed for each success of the window.
    floor : int
        Retries allowed in a window without successes.
    window : float
        Length of the window in seconds.

    Examples
    --------
    >>> budget = RetryBudget(share=0.1, floor=1)
    >>> budget.take(0.0), budget.take(0.0)
    (True, False)
    """

    share: float = 0.1
    floor: int = 3
    window: float = 10.0
    _buckets: deque[_Bucket] = field(default_factory=deque)

    def note_success(self, now: float) -> None:
        """Count a success at a loop time."""
        self._current(now).successes += 1

    def take(self, now: float) -> bool:
        """Take one retry out of the budget, and return whether there was one."""
        current = self._current(now)
        successes = sum(bucket.successes for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        if retries + 1 > self.floor + self.share * successes:
            return False
        current.retries += 1
        return True

    def _current(self, now: float) -> _Bucket:
        while self._buckets and now - self._buckets[0].start >= self.window:
            self._buckets.popleft()
        if not self._buckets or now - self._buckets[-1].start >= BUCKET_S:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]
