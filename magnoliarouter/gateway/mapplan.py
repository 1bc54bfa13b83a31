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
    from collections.abc import Sequence

    from magnoliarouter.gateway.ranks import Row
    from magnoliarouter.gateway.routes import ExpertProfile

__all__ = ["RELAXED_BALANCE", "STRICT_BALANCE", "BalancePolicy", "MapPlan", "NoChange", "plan_map"]

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


def plan_map(
    rows: tuple[Row, ...],
    counts: Sequence[float],
    ranks: int,
    profile: ExpertProfile,
    policy: BalancePolicy = STRICT_BALANCE,
    max_copies: int = 4,
    paces: Sequence[float] = (),
) -> MapPlan | NoChange:
    """Return the map to switch to, or why no map reduces the skew enough.

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
    noise = [estimate_noise_skew(one, ranks) for one in choices]
    before = [_skew(state) for state in states]
    mean_before = sum(before) / len(rows)
    planned = _reduce_skew(rows, states, noise, profile.max_new_experts, policy, max_copies)
    changed = [index for index, (old, new) in enumerate(zip(rows, planned)) if old != new]
    if not changed:
        return NoChange("no set is skewed beyond policy and chance", mean_before, 0.0, 0.0)
    after = sum(map(_skew, states)) / len(rows)
    reduction = mean_before - after
    errors = (estimate_skew_error(before[one], choices[one], ranks) for one in changed)
    error = math.sqrt(sum(error**2 for error in errors)) / len(rows)
    if reduction < max(MIN_SKEW_REDUCTION, SIGNIFICANT_ERRORS * error):
        reason = "too little gain" if reduction < MIN_SKEW_REDUCTION else "too few choices"
        return NoChange(reason, mean_before, reduction, error)
    fetches = [
        rank for old, new in zip(rows, planned) if old != new for rank in _list_fetches(old, new)
    ]
    most = max(map(fetches.count, range(ranks)))
    return MapPlan(planned, len(fetches), most, mean_before, after)


def _reduce_skew(
    rows: tuple[Row, ...],
    states: list[LayerState],
    noise: list[float],
    max_new_experts: int,
    policy: BalancePolicy,
    max_copies: int,
) -> tuple[Row, ...]:
    """Return the map after repeated changes, each to the then most skewed set.

    Parameters
    ----------
    rows : tuple of Row
        Current map.
    states : list of LayerState
        Working state of each set; modified in place.
    noise : list of float
        Skew of each set that chance explains.
    max_new_experts : int
        Maximum number of new experts of one set that a rank accepts in one switch.
    policy : BalancePolicy
        Skew thresholds.
    max_copies : int
        Maximum number of experts that one rank may fetch over all sets.
    """
    planned, ranks = list(rows), range(len(states[0].times))
    fetched = [[0] * len(ranks) for _ in rows]
    remaining_sets = {
        index
        for index, state in enumerate(states)
        if _skew(state) > max(policy.start_skew, noise[index])
    }
    while remaining_sets:
        index = max(remaining_sets, key=lambda one: _skew(states[one]))
        state, fetched_in_set = states[index], fetched[index]
        full_ranks = [
            rank
            for rank in ranks
            if fetched_in_set[rank] >= max_new_experts
            or sum(one[rank] for one in fetched) >= max_copies
        ]
        target_skew = max(policy.target_skew, noise[index])
        change = state.find_change(full_ranks) if _skew(state) > target_skew else None
        if change is None:
            remaining_sets.discard(index)
            continue
        state.apply(change)
        planned[index] = state.copy_row()
        fetches = _list_fetches(rows[index], planned[index])
        fetched[index] = [fetches.count(rank) for rank in ranks]
    return tuple(planned)


def _skew(state: LayerState) -> float:
    return max(state.times) * len(state.times) / sum(state.tokens)


def _list_fetches(old: Row, new: Row) -> list[int]:
    """Return one entry per expert to fetch: the rank that has to fetch it."""
    return [
        rank
        for before, after in zip(old, new)
        if before != after
        for rank in after
        if rank not in before
    ]
