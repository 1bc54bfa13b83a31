"""Retry budgets: a share of recent successes, so that retries cannot amplify an overload."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass, field

__all__ = ["RetryBudget", "SharedRetryBudget"]

BUCKET_S = 1.0
# Keeps the sum within the bound although other daemons do not yet count one that has just joined,
# and although the daemons' windows are not aligned.
SHARED_BUDGET_SHARE = 0.8


@dataclass(slots=True)
class _Bucket:
    start: float
    successes: int = 0
    retries: int = 0


@dataclass(slots=True)
class RetryBudget:
    """Budget of retries over a sliding window of successes.

    Parameters
    ----------
    share : float
        Retries allowed per success in the window.
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
        """Record a success at a loop time in seconds."""
        self._current_bucket(now).successes += 1

    def allows(self, now: float) -> bool:
        """Return whether the budget allows a retry."""
        self._current_bucket(now)
        successes = sum(bucket.successes for bucket in self._buckets)
        retries = sum(bucket.retries for bucket in self._buckets)
        return retries + 1 <= self.floor + self.share * successes

    def acquire(self, now: float) -> bool:
        """Consume one retry from the budget, and return whether one was available."""
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
    """This daemon's part of the retries that all daemons together may send to a service.

    Each daemon allows a share of its own requests, plus an equal part of the slack, so the sum
    over all daemons stays within the bound without any messages.

    Parameters
    ----------
    ratio : float
        Retries per request that all daemons together may send.
    slack : float
        Retries per window that all daemons together may send in addition.
    window : float
        Length of the window in seconds.
    daemons : int
        Number of daemons that share the slack.
    """

    ratio: float
    slack: float
    window: float
    daemons: int = 1
    _budgets: dict[str, RetryBudget] = field(default_factory=dict)

    def record_request(self, service: str, now: float) -> None:
        """Record a request that a caller sent to a service."""
        self._budget_for(service).record_success(now)

    def allows(self, service: str, now: float) -> bool:
        """Return whether the budget of a service allows a retry."""
        return self._budget_for(service).allows(now)

    def acquire(self, service: str, now: float) -> bool:
        """Consume one retry for a service, and return whether one was available."""
        return self._budget_for(service).acquire(now)

    def _budget_for(self, service: str) -> RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            # A retry is dropped with its bucket, which may start up to one bucket length earlier.
            budget = RetryBudget(self.ratio * SHARED_BUDGET_SHARE, 0, self.window + BUCKET_S)
            self._budgets[service] = budget
        budget.floor = int(SHARED_BUDGET_SHARE * self.slack / max(1, self.daemons))
        return budget
