"""Age of the configuration, and up to which age its keys and missing entries are valid."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Freshness"]


@dataclass(slots=True)
class Freshness:
    """Time at which the configuration was last confirmed to be up to date.

    Times are of a clock that continues while the VM is suspended. A confirmation is valid as of the
    time its call was sent, because the daemon cannot see changes made in the store after that.

    Parameters
    ----------
    key_age_s : float
        Age in seconds up to which keys are accepted: less than the time within which a revoked key
        must be rejected everywhere.
    absence_age_s : float
        Age in seconds up to which a route or key missing from the configuration is reported as
        nonexistent.
    """

    key_age_s: float
    absence_age_s: float
    confirmed_at: float | None = None

    def confirm(self, asked_at: float) -> None:
        """Record a confirmation by a call that was sent at `asked_at`."""
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation; infinite without one."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def accepts_keys(self, now: float) -> bool:
        """Return whether the configuration is recent enough to accept keys."""
        return self.age(now) < self.key_age_s

    def proves_absence(self, now: float) -> bool:
        """Return whether an entry missing from the configuration is known not to exist."""
        return self.age(now) < self.absence_age_s
