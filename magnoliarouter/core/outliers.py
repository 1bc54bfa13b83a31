"""Outlier detection: ejects endpoints after consecutive failures, but never all of them."""

from __future__ import annotations

import math
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Iterable

__all__ = ["EjectionPolicy", "OutlierDetector"]


@dataclass(frozen=True, slots=True)
class EjectionPolicy:
    """Thresholds and durations of ejections.

    Parameters
    ----------
    failures : int
        Consecutive failures that eject an endpoint; a failed connection ejects it immediately.
    base_ejection_seconds, max_ejection_seconds : float
        Duration of the first ejection, which doubles with each further one, and its maximum.
    min_usable_share : float
        Share of a set of endpoints, rounded up, that stays usable even if more have failed.
    """

    failures: int = 3
    base_ejection_seconds: float = 1.0
    max_ejection_seconds: float = 30.0
    min_usable_share: float = 0.5


@dataclass(slots=True)
class _Health:
    failures: int = 0
    ejections: int = 0
    ejected_until: float = 0.0


@dataclass(slots=True)
class OutlierDetector:
    """Failures and ejections of endpoints as observed by one process.

    Parameters
    ----------
    policy : EjectionPolicy
        Thresholds and durations.
    """

    policy: EjectionPolicy = field(default_factory=EjectionPolicy)
    _health: dict[str, _Health] = field(default_factory=dict)

    def record_success(self, name: str) -> None:
        """Record a response; it ends an ejection and clears earlier failures."""
        self._health.pop(name, None)

    def record_failure(self, name: str, now: float, immediate: bool = False) -> bool:
        """Record a failure and return whether it ejected the endpoint.

        Parameters
        ----------
        name : str
            Endpoint.
        now : float
            Loop time in seconds.
        immediate : bool
            Whether to eject without waiting for further failures, as after a failed connection.
        """
        health = self._health.setdefault(name, _Health())
        health.failures += 1
        if now < health.ejected_until or (health.failures < self.policy.failures and not immediate):
            return False
        length = self.policy.base_ejection_seconds * 2.0**health.ejections
        health.ejected_until = now + min(length, self.policy.max_ejection_seconds)
        health.ejections += 1
        health.failures = 0
        return True

    def is_ejected(self, name: str, now: float) -> bool:
        """Return whether an endpoint is ejected, regardless of the minimum usable share."""
        health = self._health.get(name)
        return health is not None and now < health.ejected_until

    def select_usable(self, names: Iterable[str], now: float) -> set[str]:
        """Return the endpoints that may be used.

        Ejected endpoints are left out. If fewer than the minimum usable share would remain, the
        ejected endpoints whose ejection ends first are included.
        """
        known = list(names)
        usable = {name for name in known if not self.is_ejected(name, now)}
        floor = math.ceil(self.policy.min_usable_share * len(known))
        ejected = sorted(
            set(known) - usable, key=lambda name: (self._health[name].ejected_until, name)
        )
        return usable | set(ejected[: max(0, floor - len(usable))])

    def forget(self, names: Iterable[str]) -> None:
        """Remove endpoints that no longer exist."""
        for name in names:
            self._health.pop(name, None)
