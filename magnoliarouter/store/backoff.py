"""Waits between calls: exponential back-off with jitter, and a token bucket that limits calls."""

from __future__ import annotations

import random
from dataclasses import dataclass, field

__all__ = ["Backoff", "CallBudget"]


@dataclass(slots=True)
class Backoff:
    """Exponential back-off with jitter.

    Parameters
    ----------
    initial_s, max_s : float
        First and longest wait in seconds, before jitter.
    random : random.Random
        Source of the jitter, which shortens each wait by up to half.

    Examples
    --------
    >>> backoff = Backoff(1.0, 3.0, random.Random(1))
    >>> [0.5 <= backoff.next_wait() / nominal <= 1.0 for nominal in (1, 2, 3, 3)]
    [True, True, True, True]
    """

    initial_s: float = 0.2
    max_s: float = 5.0
    random: random.Random = field(default_factory=random.Random)
    _next: float = 0.0

    def next_wait(self) -> float:
        """Return the seconds to wait before the next attempt."""
        nominal = self._next or self.initial_s
        self._next = min(2 * nominal, self.max_s)
        return nominal * self.random.uniform(0.5, 1.0)

    def reset(self) -> None:
        """Restart at the first wait; call it after a success."""
        self._next = 0.0


@dataclass(slots=True)
class CallBudget:
    """Token bucket that limits the rate of calls.

    Parameters
    ----------
    rate : float
        Calls per second in the long run.
    burst : float
        Calls that may be made in immediate succession.

    Examples
    --------
    >>> budget = CallBudget(rate=2.0, burst=1.0)
    >>> budget.try_acquire(0.0), budget.try_acquire(0.0), budget.try_acquire(1.0)
    (0.0, 0.5, 0.0)
    """

    rate: float
    burst: float
    _tokens: float | None = None
    _updated: float = 0.0

    def try_acquire(self, now: float) -> float:
        """Reserve one call and return 0, or return the seconds until one is available."""
        if self._tokens is None:
            self._tokens, self._updated = self.burst, now
        self._tokens = min(self.burst, self._tokens + max(0.0, now - self._updated) * self.rate)
        self._updated = max(now, self._updated)
        if self._tokens < 1.0:
            return (1.0 - self._tokens) / self.rate
        self._tokens -= 1.0
        return 0.0
