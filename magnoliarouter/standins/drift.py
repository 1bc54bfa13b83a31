"""Expert popularity that drifts, as seeded functions of time."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

__all__ = ["DRIFT_KINDS", "Drift"]

DRIFT_KINDS = ("season", "court-list")
ZIPF_EXPONENT = 0.6
HOT_EXPERTS = 4
HOT_FACTOR = 5.0


@dataclass(frozen=True, slots=True)
class Drift:
    """Popularity of the experts of each layer over time.

    Parameters
    ----------
    kind : {"season", "court-list"}
        Either every expert's popularity swells and fades over a season, each in its own phase,
        or the experts in demand change at once with each new list.
    experts : int
        Experts in a layer.
    seed : int
        Seed of all choices.
    period : float
        Length of a season, or of one list, in seconds.
    """

    kind: str
    experts: int
    seed: int
    period: float

    def weigh(self, layer: int, now: float) -> list[float]:
        """Return the share of a layer's tokens that goes to each expert; the sum is 1."""
        chosen = random.Random(f"{self.seed}/{layer}")
        ranks = list(range(1, self.experts + 1))
        chosen.shuffle(ranks)
        base = [rank**-ZIPF_EXPONENT for rank in ranks]
        if self.kind == "season":
            phases = [chosen.random() for _ in ranks]
            turn = now / self.period
            weights = [
                weight * (1.0 + 0.8 * math.sin(2 * math.pi * (turn + phase)))
                for weight, phase in zip(base, phases)
            ]
        else:
            weights = self._apply_list(base, layer, int(now // self.period))
        total = sum(weights)
        return [weight / total for weight in weights]

    def _apply_list(self, base: list[float], layer: int, number: int) -> list[float]:
        listed = random.Random(f"{self.seed}/{layer}/{number}")
        hot = set(listed.sample(range(self.experts), HOT_EXPERTS))
        return [weight * (HOT_FACTOR if n in hot else 1.0) for n, weight in enumerate(base)]
