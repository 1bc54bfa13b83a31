"""Recent demand for a resource as an exponentially decayed rate, and outstanding debt."""

from __future__ import annotations

import math
from dataclasses import dataclass

__all__ = ["Demand"]

DECAY_S = 2.0


@dataclass(slots=True)
class Demand:
    """Demand for one resource.

    Parameters
    ----------
    debt : float
        Amount used beyond what was charged, to be deducted from the balance.
    """

    debt: float = 0.0
    _rate: float = 0.0
    _updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Add an amount that is demanded now."""
        self._rate = self.rate(now) + amount / DECAY_S
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the recent demand per second."""
        return self._rate * math.exp(-max(0.0, now - self._updated_at) / DECAY_S)

    def add_debt(self, amount: float) -> None:
        """Increase the debt by an amount."""
        self.debt += amount
