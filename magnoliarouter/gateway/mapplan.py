"""Plans the next expert map of a group from recent choices.

A step lasts as long as the most loaded rank of each set, so a map is improved set by set: a few
changes each, as long as the set is skewed and its ranks may take further experts.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from magnoliarouter.core.layerplan import LayerState

if TYPE_CHECKING:
    from collections.abc import Sequence

    from magnoliarouter.gateway.ranks import Row
    from magnoliarouter.gateway.routes import ExpertProfile

__all__ = ["EASY", "HARD", "MapEffort", "MapPlan", "plan_map"]

# Most loaded rank over the mean. With the map of a second ago, sets whose experts did not change
# stand at 1.1 to 1.3 in every trace.
# Three to six changes a set gave the same mean skew in replays of a trace; four move fewest.
CHANGES_A_SET = 4
# Copies of a rank for one switch, each of 0.15 s: what is popular changes every few seconds, so two
# short switches help more than one that comes when it is over.
MOST_COPIES_A_RANK = 4
# Mean skew over the sets that a switch must save; each switch copies experts and costs orders.
LEAST_SAVING = 0.1


@dataclass(frozen=True, slots=True)
class MapEffort:
    """How even a map should be; every copy of an expert has its price.

    Parameters
    ----------
    worth_a_move : float
        Skew up to which a set is left alone.
    good_enough : float
        Skew at which no further change is made.
    """

    worth_a_move: float
    good_enough: float


HARD = MapEffort(1.35, 1.1)
EASY = MapEffort(1.7, 1.35)


@dataclass(frozen=True, slots=True)
class MapPlan:
    """Next map of a group.

    Parameters
    ----------
    rows : tuple of Row
        Ranks of each expert, by set.
    copies : int
        Experts that ranks have to fetch, in all.
    most_copies : int
        Experts that the busiest rank has to fetch.
    before, after : float
        Mean over the sets of the most loaded rank's part over the mean.
    """

    rows: tuple[Row, ...]
    copies: int
    most_copies: int
    before: float
    after: float


def plan_map(
    rows: tuple[Row, ...],
    counts: Sequence[int],
    ranks: int,
    profile: ExpertProfile,
    effort: MapEffort = HARD,
) -> MapPlan | None:
    """Return the map to switch to, or None if none is worth it.

    Parameters
    ----------
    rows : tuple of Row
        Map in force: ranks of each expert, by set.
    counts : sequence of int
        Recent choices of each expert, set after set.
    ranks : int
        Ranks of the group.
    profile : ExpertProfile
        Places of a rank, and how many new experts it takes at once.
    effort : MapEffort
        How even the map should be.
    """
    states, planned = [], list(rows)
    for index, row in enumerate(rows):
        start = index * profile.experts
        # Experts that nobody chose must not look free of charge.
        tokens = [count + 1.0 for count in counts[start : start + profile.experts]]
        states.append(LayerState(row, tokens, [1.0] * ranks, profile.places))
    skews = [_skew(state) for state in states]
    fetched, after = [0] * ranks, sum(skews)
    for index in sorted(range(len(rows)), key=skews.__getitem__, reverse=True):
        if skews[index] <= effort.worth_a_move:
            break
        changed, skew = _improve(
            states[index], rows[index], fetched, profile.spare, effort.good_enough
        )
        for rank in _list_fetches(rows[index], changed):
            fetched[rank] += 1
        planned[index] = changed
        after -= skews[index] - skew
    sets = len(rows)
    if sum(skews) - after < LEAST_SAVING * sets:
        return None
    return MapPlan(tuple(planned), sum(fetched), max(fetched), sum(skews) / sets, after / sets)


def _improve(
    state: LayerState, row: Row, fetched: list[int], spare: int, good_enough: float
) -> tuple[Row, float]:
    """Return the set after some changes, and its skew.

    Parameters
    ----------
    state : LayerState
        Working state of the set; it is changed.
    row : Row
        Ranks of each expert so far.
    fetched : list of int
        Experts that each rank has to fetch already for other sets.
    spare : int
        Experts of one set that a rank takes at once.
    good_enough : float
        Skew at which no further change is made.
    """
    best, skew = row, _skew(state)
    for _ in range(CHANGES_A_SET):
        change = state.find_change() if skew > good_enough else None
        if change is None:
            break
        state.apply(change)
        changed = state.copy_row()
        fetches = _list_fetches(row, changed)
        new = [fetches.count(rank) for rank in range(len(fetched))]
        if max(new) > spare or max(map(sum, zip(new, fetched))) > MOST_COPIES_A_RANK:
            break
        best, skew = changed, _skew(state)
    return best, skew


def _skew(state: LayerState) -> float:
    return max(state.times) * len(state.times) / sum(state.times)


def _list_fetches(old: Row, new: Row) -> list[int]:
    """Return the rank of each expert that a rank has to fetch."""
    return [
        rank
        for before, after in zip(old, new)
        if before != after
        for rank in after
        if rank not in before
    ]
