"""Recent demand: an exponentially decayed rate, and a debt to be worked off."""

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
        Amount used beyond what was charged, to be taken from the next stock.
    """

    debt: float = 0.0
    _rate: float = 0.0
    _updated_at: float = 0.0

    def add(self, amount: float, now: float) -> None:
        """Count an amount asked for now."""
        self._rate = self.rate(now) + amount / DECAY_S
        self._updated_at = now

    def rate(self, now: float) -> float:
        """Return the amount a second asked for recently."""
        return self._rate * math.exp(-max(0.0, now - self._updated_at) / DECAY_S)

    def add_debt(self, amount: float) -> None:
        """Add to the debt."""
        self.debt += amount
