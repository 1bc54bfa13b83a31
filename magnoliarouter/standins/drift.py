"""Expert popularity that changes over time, generated from a seed."""

from __future__ import annotations

import math
import random
from dataclasses import dataclass

__all__ = ["DRIFT_KINDS", "PopularityDrift"]

DRIFT_KINDS = ("season", "court-list")
ZIPF_EXPONENT = 0.6
HOT_EXPERTS_PER_LIST = 4
HOT_EXPERT_FACTOR = 5.0


@dataclass(frozen=True, slots=True)
class PopularityDrift:
    """Popularity of the experts of each layer over time.

    Parameters
    ----------
    kind : {"season", "court-list"}
        ``season`` varies the popularity of every expert as a sine wave with its own phase;
        ``court-list`` picks a new set of popular experts at the start of each period.
    experts : int
        Number of experts in a layer.
    seed : int
        Seed of all choices.
    period : float
        Period of the sine wave, or lifetime of a set of popular experts, in seconds.
    """

    kind: str
    experts: int
    seed: int
    period: float

    def expert_shares(self, layer: int, now: float) -> list[float]:
        """Return the share of a layer's tokens for each expert; the shares add up to 1."""
        rng = random.Random(f"{self.seed}/{layer}")
        popularity_ranks = list(range(1, self.experts + 1))
        rng.shuffle(popularity_ranks)
        base = [popularity_rank**-ZIPF_EXPONENT for popularity_rank in popularity_ranks]
        if self.kind == "season":
            phases = [rng.random() for _ in popularity_ranks]
            cycles = now / self.period
            weights = [
                weight * (1.0 + 0.8 * math.sin(2 * math.pi * (cycles + phase)))
                for weight, phase in zip(base, phases)
            ]
        else:
            weights = self._raise_hot_experts(base, layer, int(now // self.period))
        total = sum(weights)
        return [weight / total for weight in weights]

    def _raise_hot_experts(self, base: list[float], layer: int, number: int) -> list[float]:
        rng = random.Random(f"{self.seed}/{layer}/{number}")
        hot = set(rng.sample(range(self.experts), HOT_EXPERTS_PER_LIST))
        return [weight * (HOT_EXPERT_FACTOR if n in hot else 1.0) for n, weight in enumerate(base)]
