"""Improves the placement of one layer's experts by successive local changes.

The tokens of a replicated expert are split among the ranks that hold it in proportion to their
shares. If a rank's share is its speed, each holder of an expert spends the same time on it:
tokens / sum of the holders' shares. Where ranks split tokens evenly whatever their speed, all shares
are 1, and a rank's pace is how many times as long as a rank of pace 1 it takes for a token.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Collection

__all__ = ["LayerPlan", "LayerState", "improve_layer", "measure_times"]

CANDIDATE_RANKS = 4
MIN_GAIN = 1e-3


@dataclass(frozen=True, slots=True)
class LayerPlan:
    """Placement of one layer after a number of moves.

    Parameters
    ----------
    layer : int
        Index of the layer.
    row : tuple
        Ranks that hold each expert.
    moves : int
        Number of experts that ranks have to fetch.
    before, after : float
        Time of the slowest rank before and after the moves; a rank of share 1 takes 1 per token.
    """

    layer: int
    row: tuple[tuple[int, ...], ...]
    moves: int
    before: float
    after: float


@dataclass(slots=True)
class _Change:
    """Candidate change of a placement.

    Parameters
    ----------
    slowest : float
        Time of the slowest rank among those that the change affects.
    adds, drops : tuple of (int, int)
        Pairs of an expert and the rank that fetches or drops it.
    """

    slowest: float
    adds: tuple[tuple[int, int], ...]
    drops: tuple[tuple[int, int], ...]


def measure_times(
    row: tuple[tuple[int, ...], ...],
    tokens: list[float],
    shares: list[float],
    paces: list[float] | None = None,
) -> list[float]:
    """Return the time that each rank spends on a layer.

    Parameters
    ----------
    row : tuple
        Ranks that hold each expert.
    tokens : list of float
        Tokens for each expert.
    shares : list of float
        Share of each rank in the tokens of the experts that it holds.
    paces : list of float, optional
        Time of each rank for a token; 1 for each by default.
    """
    times = [0.0] * len(shares)
    for holders, load in zip(row, tokens):
        if len(holders) == 1:
            times[holders[0]] += load / shares[holders[0]]
            continue
        time = load / sum([shares[rank] for rank in holders])
        for rank in holders:
            times[rank] += time
    return times if paces is None else [time * pace for time, pace in zip(times, paces)]


class LayerState:
    """Mutable placement of one layer while changes are searched.

    Parameters
    ----------
    row : tuple
        Ranks that hold each expert at first.
    tokens, shares : list of float
        Tokens for each expert; speed of each rank.
    slots : int
        Experts of the layer that fit on a rank.
    paces : list of float, optional
        Time of each rank for a token; 1 for each by default.
    """

    def __init__(
        self,
        row: tuple[tuple[int, ...], ...],
        tokens: list[float],
        shares: list[float],
        slots: int,
        paces: list[float] | None = None,
    ) -> None:
        self.fetches = 0
        self.tokens = tokens
        self.total_tokens = sum(tokens)
        self.shares = shares
        self.slots = slots
        self.holders = [set(holders) for holders in row]
        self._initial_row = row
        self.share_sums = [sum([shares[rank] for rank in holders]) for holders in row]
        self.held: list[set[int]] = [set() for _ in shares]
        for expert, holders in enumerate(row):
            for rank in holders:
                self.held[rank].add(expert)
        self.paces = paces or [1.0] * len(shares)
        self.times = measure_times(row, tokens, shares, paces)

    def copy_row(self) -> tuple[tuple[int, ...], ...]:
        """Return the ranks that hold each expert."""
        return tuple(tuple(sorted(holders)) for holders in self.holders)

    def find_change(self, excluded_ranks: Collection[int] = ()) -> _Change | None:
        """Return the change that reduces the slowest rank's time most, or None if none does.

        The fastest ranks are tried as partners first, `CANDIDATE_RANKS` at a time.

        Parameters
        ----------
        excluded_ranks : collection of int
            Ranks that must not fetch another expert.
        """
        order = sorted(range(len(self.times)), key=self.times.__getitem__)
        slow = order.pop()
        limit = self.times[slow] * (1 - MIN_GAIN)
        if excluded_ranks:
            order = [rank for rank in order if rank not in excluded_ranks]
        for start in range(0, max(1, len(order)), CANDIDATE_RANKS):
            fast = order[start : start + CANDIDATE_RANKS]
            best = self._find_best(slow, fast, limit, excluded_ranks)
            if best is not None:
                return best
        return None

    def _find_best(
        self, slow: int, fast: list[int], limit: float, excluded_ranks: Collection[int]
    ) -> _Change | None:
        best = None
        for expert in self.held[slow]:
            for change in self._list_changes(slow, expert, fast):
                if change.slowest < limit:
                    if excluded_ranks and any(rank in excluded_ranks for _, rank in change.adds):
                        continue
                    best, limit = change, change.slowest
        return best

    def apply(self, change: _Change) -> None:
        """Apply a change to the placement."""
        for expert, rank in change.drops:
            self._set_holder(expert, rank, present=False)
        for expert, rank in change.adds:
            self._set_holder(expert, rank, present=True)

    def _set_holder(self, expert: int, rank: int, present: bool) -> None:
        holders, load = self.holders[expert], self.tokens[expert]
        if rank not in self._initial_row[expert]:
            self.fetches += 1 if present else -1
        time = load / self.share_sums[expert] if holders else 0.0
        for holder in holders:
            self.times[holder] -= time * self.paces[holder]
        if present:
            holders.add(rank)
            self.held[rank].add(expert)
            self.share_sums[expert] += self.shares[rank]
        else:
            holders.discard(rank)
            self.held[rank].discard(expert)
            self.share_sums[expert] -= self.shares[rank]
        if holders:
            time = load / self.share_sums[expert]
            for holder in holders:
                self.times[holder] += time * self.paces[holder]

    def _list_changes(self, slow: int, expert: int, fast: list[int]) -> list[_Change]:
        changes = []
        load, total = self.tokens[expert], self.share_sums[expert]
        if len(self.holders[expert]) > 1:
            changes.append(self._drop(slow, expert, load, total))
        for rank in fast:
            if rank == slow or rank in self.holders[expert]:
                continue
            if len(self.held[rank]) < self.slots:
                changes.append(self._replicate(slow, expert, rank))
                changes.append(self._move(slow, expert, rank))
            else:
                changes += [
                    self._replace(slow, expert, rank, replaced)
                    for replaced in self.held[rank]
                    if len(self.holders[replaced]) > 1
                ]
            changes += self._swap(slow, expert, rank)
        return changes

    def _drop(self, slow: int, expert: int, load: float, total: float) -> _Change:
        rise = load / (total - self.shares[slow]) - load / total
        others = [
            self.times[rank] + rise * self.paces[rank]
            for rank in self.holders[expert]
            if rank != slow
        ]
        slowest = max(self.times[slow] - load / total * self.paces[slow], *others)
        return _Change(slowest, (), ((expert, slow),))

    def _replicate(self, slow: int, expert: int, rank: int) -> _Change:
        load, total = self.tokens[expert], self.share_sums[expert]
        time = load / (total + self.shares[rank])
        slowest = max(
            self.times[slow] - (load / total - time) * self.paces[slow],
            self.times[rank] + time * self.paces[rank],
        )
        return _Change(slowest, ((expert, rank),), ())

    def _move(self, slow: int, expert: int, rank: int) -> _Change:
        load, total = self.tokens[expert], self.share_sums[expert]
        time = load / (total + self.shares[rank] - self.shares[slow])
        slowest = max(
            self.times[slow] - load / total * self.paces[slow],
            self.times[rank] + time * self.paces[rank],
        )
        slowest = max(slowest, self._slowest_other_holder(expert, slow, time - load / total))
        return _Change(slowest, ((expert, rank),), ((expert, slow),))

    def _replace(self, slow: int, expert: int, rank: int, replaced: int) -> _Change:
        """Replace a rank's replica of `replaced` by one of `expert`."""
        load, total = self.tokens[expert], self.share_sums[expert]
        time = load / (total + self.shares[rank])
        freed = self.tokens[replaced] / self.share_sums[replaced]
        rise = self.tokens[replaced] / (self.share_sums[replaced] - self.shares[rank]) - freed
        others = [
            self.times[other] + (rise - (load / total - time) * (other == slow)) * self.paces[other]
            for other in self.holders[replaced]
            if other != rank
        ]
        slowest = max(
            self.times[slow] - (load / total - time) * self.paces[slow],
            self.times[rank] + (time - freed) * self.paces[rank],
            *others,
        )
        return _Change(slowest, ((expert, rank),), ((replaced, rank),))

    def _swap(self, slow: int, expert: int, rank: int) -> list[_Change]:
        """Swap `expert` with each expert of another rank that the slow rank doesn't hold."""
        share_difference = self.shares[rank] - self.shares[slow]
        load, total = self.tokens[expert], self.share_sums[expert]
        time = load / (total + share_difference)
        slow_pace, fast_pace = self.paces[slow], self.paces[rank]
        slow_rest = self.times[slow] - load / total * slow_pace
        fast_rest = self.times[rank] + time * fast_pace
        slowest_other = self._slowest_other_holder(expert, slow, time - load / total)
        adds_drops = ((expert, rank), (expert, slow))
        changes = []
        for other in self.held[rank]:
            if slow in self.holders[other]:
                continue
            other_tokens, share_sums = self.tokens[other], self.share_sums[other]
            other_time = other_tokens / (share_sums - share_difference)
            rise = other_time - other_tokens / share_sums
            slowest = max(
                slow_rest + other_time * slow_pace,
                fast_rest - other_tokens / share_sums * fast_pace,
                slowest_other,
            )
            if rise > 0:
                slowest = max(slowest, self._slowest_other_holder(other, rank, rise))
            adds = (adds_drops[0], (other, slow))
            changes.append(_Change(slowest, adds, (adds_drops[1], (other, rank))))
        return changes

    def _slowest_other_holder(self, expert: int, rank: int, rise: float) -> float:
        """Return the slowest time of an expert's other holders after an increase of `rise`.

        Returns 0 if there is no other holder or no increase.
        """
        if rise <= 0 or len(self.holders[expert]) == 1:
            return 0.0
        return max(
            [
                self.times[other] + rise * self.paces[other]
                for other in self.holders[expert]
                if other != rank
            ]
        )


def improve_layer(layer: int, state: LayerState, max_changes: int) -> list[LayerPlan]:
    """Return the placement after each of a sequence of changes, with the moves up to it.

    Parameters
    ----------
    layer : int
        Index of the layer.
    state : LayerState
        Placement to improve; it is modified.
    max_changes : int
        Maximum number of changes.
    """
    before = max(state.times)
    plans = []
    for _ in range(max_changes):
        change = state.find_change()
        if change is None:
            break
        state.apply(change)
        row = state.copy_row()
        plans.append(LayerPlan(layer, row, state.fetches, before, max(state.times)))
    return plans
