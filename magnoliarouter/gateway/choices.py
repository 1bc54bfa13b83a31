"""How often experts were chosen, and how far such counts can be off by chance.

Counts come from one rank of a group. How many a read yields depends on the traffic and on the share
of it that this rank handles, so what is significant follows from the number of choices counted.
Choices of generated tokens are independent of each other. Those of one prompt are not: a read in
which the rank processed a prompt has fifty times the choices, and says as much as one without.
"""

from __future__ import annotations

import math
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Sequence

__all__ = ["ChoiceWindow", "estimate_noise_skew", "estimate_skew_error"]

# Relative standard error of a rank's load up to which older counts are added to a new read. More of
# them would only delay the response to a change of popularity.
WANTED_RELATIVE_ERROR = 0.05
# Time in which the weight of older counts halves. Popularity changes every two to four seconds.
HALF_LIFE_S = 1.0
# Reads whose rates of choices are kept, to tell those with a prompt from those without.
KEPT_RATES = 12
# A read with more than this many times the choices of a read without a prompt holds one.
PROMPT_FACTOR = 2.0
# Ratio of the measured to the expected difference of two reads from which popularity has changed.
CHANGE_FACTOR = 1.6
# Mean absolute value of a normally distributed deviation, in standard deviations.
MEAN_DEVIATION = math.sqrt(2.0 / math.pi)


@dataclass(slots=True)
class ChoiceWindow:
    """Recent choices of each expert, as counted at one rank of a group.

    Parameters
    ----------
    sets, ranks : int
        Number of sets of layers, and of ranks of the group.
    counts : list of float
        Weighted choices of each expert, concatenated over the sets; empty without a read.
    recent : int
        Choices of the last read.
    """

    sets: int
    ranks: int
    counts: list[float] = field(default_factory=list)
    recent: int = 0
    _rates: deque[float] = field(default_factory=lambda: deque(maxlen=KEPT_RATES))

    def clear(self) -> None:
        """Drop the counts; the rates of reads stay."""
        self.counts, self.recent = [], 0

    def add(self, recent: Sequence[int], elapsed_s: float) -> None:
        """Add the choices since the last read, and keep older ones only as far as they help.

        Parameters
        ----------
        recent : sequence of int
            Choices of each expert since the last read, concatenated over the sets.
        elapsed_s : float
            Seconds since the last read.
        """
        self.recent = sum(recent)
        if not self.recent:
            self.counts = self.counts or [0.0] * len(recent)
            return
        rate = self.recent / max(elapsed_s, 1e-3)
        self._rates.append(rate)
        typical = sorted(self._rates)[len(self._rates) // 4]
        has_prompt = rate > PROMPT_FACTOR * typical
        scale = typical / rate if has_prompt else 1.0
        new = [scale * count for count in recent]
        total = sum(self.counts)
        if len(self.counts) != len(recent) or not total:
            self.counts = new
            return
        if not has_prompt and _differ(self.counts, new, self.sets):
            self.counts = new
            return
        # A rank's load in one set is a count with a mean of choices / ranks, and the standard error
        # of such a count is the root of its mean.
        wanted = self.sets * self.ranks / WANTED_RELATIVE_ERROR**2
        missing = max(0.0, wanted - sum(new))
        weight = min(0.5 ** (elapsed_s / HALF_LIFE_S), missing / total)
        self.counts = [one + weight * old for one, old in zip(new, self.counts)]


def _differ(known: Sequence[float], new: Sequence[float], sets: int) -> bool:
    """Return whether two counts differ by more than chance explains, summed over the sets."""
    experts = len(known) // sets
    measured = expected = 0.0
    for start in range(0, len(known), experts):
        old_set, new_set = known[start : start + experts], new[start : start + experts]
        old_total, new_total = sum(old_set) or 1.0, sum(new_set) or 1.0
        scale = (1.0 / old_total + 1.0 / new_total) / (old_total + new_total)
        for old, one in zip(old_set, new_set):
            measured += abs(old / old_total - one / new_total)
            expected += MEAN_DEVIATION * math.sqrt((old + one) * scale)
    return measured > CHANGE_FACTOR * expected


def estimate_noise_skew(choices: float, ranks: int) -> float:
    """Return the skew that counts of an even load show by chance.

    The largest of many normally distributed values exceeds their mean by the square root of twice
    the logarithm of their number, in standard deviations.

    Parameters
    ----------
    choices : float
        Choices counted in one set of layers.
    ranks : int
        Number of ranks of the group.
    """
    if choices <= 0:
        return math.inf
    return 1.0 + math.sqrt(2.0 * math.log(ranks) * ranks / choices)


def estimate_skew_error(skew: float, choices: float, ranks: int) -> float:
    """Return the standard error of a measured skew.

    Parameters
    ----------
    skew : float
        Load of the most loaded rank divided by the mean load.
    choices : float
        Choices counted in one set of layers.
    ranks : int
        Number of ranks of the group.
    """
    if choices <= 0:
        return math.inf
    return math.sqrt(skew * max(0.0, ranks - skew) / choices)
