"""Age of the configuration: until when keys may be honoured and absences believed."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["Freshness"]


@dataclass(slots=True)
class Freshness:
    """When the configuration was last known to be the newest.

    Times are of a clock that goes on while the VM is suspended, and a confirmation counts from
    when its call was sent: what the store knew later, this daemon cannot know.

    Parameters
    ----------
    key_age_s : float
        Age up to which keys are honoured: less than the time within which a withdrawn key must
        be out of use everywhere.
    absence_age_s : float
        Age up to which "no such route" and "no such key" are believed.
    """

    key_age_s: float
    absence_age_s: float
    confirmed_at: float | None = None

    def confirm(self, asked_at: float) -> None:
        """Take a confirmation of a call that was sent at a time."""
        if self.confirmed_at is None or asked_at > self.confirmed_at:
            self.confirmed_at = asked_at

    def age(self, now: float) -> float:
        """Return the seconds since the last confirmation; infinite without one."""
        return float("inf") if self.confirmed_at is None else now - self.confirmed_at

    def accepts_keys(self, now: float) -> bool:
        """Return whether keys may be honoured."""
        return self.age(now) < self.key_age_s

    def proves_absence(self, now: float) -> bool:
        """Return whether what is missing from the configuration is known not to exist."""
        return self.age(now) < self.absence_age_s
