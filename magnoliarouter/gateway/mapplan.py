"""Plans the next expert map of a group from recent choices.

A step takes as long as the most loaded rank of each set of layers. Each change is therefore made in
the currently most skewed set, as long as its ranks may fetch further experts.
"""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.layerplan import LayerState
from magnoliarouter.gateway.choices import estimate_noise_skew, estimate_skew_error

if TYPE_CHECKING:
    from collections.abc import Generator, Iterable, Sequence

    from magnoliarouter.gateway.ranks import Row
    from magnoliarouter.gateway.routes import ExpertProfile

__all__ = [
    "RELAXED_BALANCE",
    "STRICT_BALANCE",
    "BalancePolicy",
    "MapPlan",
    "NoChange",
    "iterate_plan",
]

# Minimum reduction of the mean skew over the sets that justifies a switch, since each switch copies
# experts and sends orders.
MIN_SKEW_REDUCTION = 0.1
# The reduction must also exceed its standard error this many times, so that chance explains it in
# about one of forty cases.
SIGNIFICANT_ERRORS = 2.0


@dataclass(frozen=True, slots=True)
class BalancePolicy:
    """Skew thresholds of a map; they are not lower because every copy of an expert has a cost.

    Skew is the load of the most loaded rank divided by the mean load. With the map of a second ago,
    sets whose experts did not change had a skew of 1.1 to 1.3 in every trace.

    Parameters
    ----------
    start_skew : float
        Skew up to which a set is not changed.
    target_skew : float
        Skew at which no further changes are made.
    """

    start_skew: float
    target_skew: float


STRICT_BALANCE = BalancePolicy(1.35, 1.1)
RELAXED_BALANCE = BalancePolicy(1.7, 1.35)


@dataclass(frozen=True, slots=True)
class MapPlan:
    """Next map of a group.

    Parameters
    ----------
    rows : tuple of Row
        Ranks of each expert, by set.
    copies : int
        Number of experts that all ranks together have to fetch.
    max_copies_per_rank : int
        Largest number of experts that one rank has to fetch.
    skew_before, skew_after : float
        Mean skew over the sets with the current and with the planned map.
    """

    rows: tuple[Row, ...]
    copies: int
    max_copies_per_rank: int
    skew_before: float
    skew_after: float


@dataclass(frozen=True, slots=True)
class NoChange:
    """Reason to keep the current map.

    Parameters
    ----------
    reason : str
        Why no plan is carried out.
    skew : float
        Mean measured skew over the sets.
    reduction, error : float
        Reduction of the mean skew that the best plan promises, and its standard error.
    """

    reason: str
    skew: float
    reduction: float
    error: float


def iterate_plan(
    rows: tuple[Row, ...],
    counts: Sequence[float],
    ranks: int,
    profile: ExpertProfile,
    policy: BalancePolicy,
    max_copies: int,
    paces: Sequence[float] = (),
) -> Generator[None, None, MapPlan | NoChange]:
    """Plan the map to switch to in short steps, so that a loop can do other work in between.

    Differences between ranks that the number of counted choices does not prove are left alone.

    Parameters
    ----------
    rows : tuple of Row
        Current map: ranks of each expert, by set.
    counts : sequence of float
        Recent choices of each expert, concatenated over the sets.
    ranks : int
        Number of ranks of the group.
    profile : ExpertProfile
        Capacity of a rank, and the number of new experts per switch.
    policy : BalancePolicy
        Skew thresholds.
    max_copies : int
        Maximum number of experts that one rank may fetch.
    paces : sequence of float
        How many times as long as usual each rank takes for its work; empty if all take as long. A
        step waits for the slowest rank, so the share of a slow rank goes to the others.

    Returns
    -------
    MapPlan or NoChange
        The map to switch to, or why no map reduces the skew enough.
    """
    states, choices = [], []
    for index, row in enumerate(rows):
        start = index * profile.experts
        of_set = counts[start : start + profile.experts]
        choices.append(sum(of_set))
        # Experts without choices must not count as free of load.
        tokens = [count + 1.0 for count in of_set]
        states.append(
            LayerState(row, tokens, [1.0] * ranks, profile.experts_per_rank, list(paces) or None)
        )
        yield
    noise = [estimate_noise_skew(one, ranks) for one in choices]
    skews = [_skew(state) for state in states]
    before = list(skews)
    mean_before = sum(before) / len(rows)
    fetches = _FetchCounter(rows, ranks, profile.max_new_experts, max_copies)
    remaining = {
        index for index, skew in enumerate(skews) if skew > max(policy.start_skew, noise[index])
    }
    changed = set()
    while remaining:
        index = max(remaining, key=skews.__getitem__)
        state, change = states[index], None
        if skews[index] > max(policy.target_skew, noise[index]):
            change = state.find_change(fetches.list_full_ranks(index))
        if change is None:
            remaining.discard(index)
            continue
        state.apply(change)
        fetches.record(index, change.adds, change.drops)
        skews[index] = _skew(state)
        changed.add(index)
        yield
    if not changed:
        return NoChange("no set is skewed beyond policy and chance", mean_before, 0.0, 0.0)
    after = sum(skews) / len(rows)
    reduction = mean_before - after
    errors = (estimate_skew_error(before[one], choices[one], ranks) for one in changed)
    error = math.sqrt(sum(error**2 for error in errors)) / len(rows)
    if reduction < max(MIN_SKEW_REDUCTION, SIGNIFICANT_ERRORS * error):
        reason = "too little gain" if reduction < MIN_SKEW_REDUCTION else "too few choices"
        return NoChange(reason, mean_before, reduction, error)
    planned = tuple(
        states[index].copy_row() if index in changed else row for index, row in enumerate(rows)
    )
    return MapPlan(planned, sum(fetches.by_rank), max(fetches.by_rank), mean_before, after)


class _FetchCounter:
    """Experts that each rank has to fetch for a planned map, and which ranks may fetch no more.

    Parameters
    ----------
    rows : tuple of Row
        Current map.
    ranks : int
        Number of ranks of the group.
    max_per_set, max_per_rank : int
        Maximum number of experts that a rank may fetch for one set, and for all sets.
    """

    def __init__(
        self, rows: tuple[Row, ...], ranks: int, max_per_set: int, max_per_rank: int
    ) -> None:
        self.by_rank = [0] * ranks
        self._by_set = [[0] * ranks for _ in rows]
        self._rows = rows
        self._max_per_set = max_per_set
        self._max_per_rank = max_per_rank

    def record(
        self, index: int, adds: Iterable[tuple[int, int]], drops: Iterable[tuple[int, int]]
    ) -> None:
        """Record the experts that ranks fetch and drop in one set by a change."""
        for pairs, step in ((adds, 1), (drops, -1)):
            for expert, rank in pairs:
                if rank not in self._rows[index][expert]:
                    self.by_rank[rank] += step
                    self._by_set[index][rank] += step

    def list_full_ranks(self, index: int) -> set[int]:
        """Return the ranks that may fetch no further expert of a set."""
        return {
            rank
            for rank, (in_set, in_all) in enumerate(zip(self._by_set[index], self.by_rank))
            if in_set >= self._max_per_set or in_all >= self._max_per_rank
        }


def _skew(state: LayerState) -> float:
    return max(state.times) * len(state.times) / state.total_tokens
