"""Budget of retries: a share of recent successes, so that retries cannot multiply an overload."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget", "SharedRetryBudget"]

BUCKET_S = 1.0
# A daemon that has just joined is not counted by all others yet, and windows have edges.
SHARED_BUDGET_SHARE = 0.8


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
    >>> budget.acquire(0.0), budget.acquire(0.0)
    (True, False)
    """

    share: float = 0.1
    floor: int = 3
    window: float = 10.0
    _buckets: deque[_Bucket] = field(default_factory=deque)

    def record_success(self, now: float) -> None:
        """Count a success at a loop time."""
        self._current_bucket(now).successes += 1

    def allows(self, now: float) -> bool:
        """Return whether a retry may be taken."""
        self._current_bucket(now)
        successes = sum(bucket.successes for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        return retries + 1 <= self.floor + self.share * successes

    def acquire(self, now: float) -> bool:
        """Take one retry out of the budget, and return whether there was one."""
        if not self.allows(now):
            return False
        self._current_bucket(now).retries += 1
        return True

    def _current_bucket(self, now: float) -> _Bucket:
        while self._buckets and now - self._buckets[0].start >= self.window:
            self._buckets.popleft()
        if not self._buckets or now - self._buckets[-1].start >= BUCKET_S:
            self._buckets.append(_Bucket(now))
        return self._buckets[-1]


@dataclass(slots=True)
class SharedRetryBudget:
    """This daemon's part of the repeats that all daemons together may send to a service.

    Each daemon grants a share of its own requests, and an equal part of what is granted beside
    it, so that the sum keeps the bound without any message.

    Parameters
    ----------
    ratio : float
        Repeats for each request that all daemons together may send.
    slack : float
        Repeats in a window that are granted beside it.
    window : float
        Length of the window in seconds.
    daemons : int
        Daemons that share the slack.
    """

    ratio: float
    slack: float
    window: float
    daemons: int = 1
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def record_request(self, service: str, now: float) -> None:
        """Count a request that callers sent to a service."""
        self._budget_for(service).record_success(now)

    def allows(self, service: str, now: float) -> bool:
        """Return whether a repeat for a service may be taken."""
        return self._budget_for(service).allows(now)

    def acquire(self, service: str, now: float) -> bool:
        """Take one repeat for a service, and return whether there was one."""
        return self._budget_for(service).acquire(now)

    def _budget_for(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            # A repeat is forgotten with its bucket, which may begin a bucket's length before it.
            budget = RetryBudget(self.ratio * SHARED_BUDGET_SHARE, 0, self.window + BUCKET_S)
            self._budgets[service] = budget
        budget.floor = int(SHARED_BUDGET_SHARE * self.slack / max(1, self.daemons))
        return budget
