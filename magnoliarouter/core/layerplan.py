"""Improves the placement of one layer's experts step by step.

A replicated expert's tokens are split in proportion to its holders' shares, and a rank's share is
its speed, so that each holder of an expert spends the same time on it: tokens / sum of shares.
"""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["LayerPlan", "LayerState", "improve_layer", "measure_times"]

CANDIDATE_RANKS = 4
LEAST_GAIN = 1e-3


@dataclass(frozen=True, slots=True)
class LayerPlan:
    """Placement of one layer after some moves.

    Parameters
    ----------
    layer : int
        The layer.
    row : tuple
        Holders of each expert.
    moves : int
        Experts that some rank has to fetch.
    before, after : float
        Time of the slowest rank, in units of one layer's tokens on a rank of share 1.
    """

    layer: int
    row: tuple[tuple[int, ...], ...]
    moves: int
    before: float
    after: float


@dataclass(slots=True)
class _Change:
    """Candidate: experts that ranks take up and give up, and the slowest time of those touched."""

    slowest: float
    adds: tuple[tuple[int, int], ...]
    drops: tuple[tuple[int, int], ...]


def measure_times(
    row: tuple[tuple[int, ...], ...], tokens: list[float], shares: list[float]
) -> list[float]:
    """Return the time that each rank spends on a layer.

    Parameters
    ----------
    row : tuple
        Holders of each expert.
    tokens : list of float
        Tokens for each expert.
    shares : list of float
        Speed of each rank.
    """
    times = [0.0] * len(shares)
    for holders, load in zip(row, tokens):
        if len(holders) == 1:
            times[holders[0]] += load / shares[holders[0]]
            continue
        spent = load / sum([shares[rank] for rank in holders])
        for rank in holders:
            times[rank] += spent
    return times


class LayerState:
    """Working state of one layer.

    Parameters
    ----------
    row : tuple
        Holders of each expert.
    tokens, shares : list of float
        Tokens for each expert; speed of each rank.
    slots : int
        Experts of the layer that fit on a rank.
    """

    def __init__(
        self,
        row: tuple[tuple[int, ...], ...],
        tokens: list[float],
        shares: list[float],
        slots: int,
    ) -> None:
        self.tokens = tokens
        self.shares = shares
        self.slots = slots
        self.holders = [set(holders) for holders in row]
        self.sums = [sum([shares[rank] for rank in holders]) for holders in row]
        self.held: list[set[int]] = [set() for _ in shares]
        for expert, holders in enumerate(row):
            for rank in holders:
                self.held[rank].add(expert)
        self.times = measure_times(row, tokens, shares)

    def copy_row(self) -> tuple[tuple[int, ...], ...]:
        """Return the holders of each expert."""
        return tuple(tuple(sorted(holders)) for holders in self.holders)

    def find_change(self) -> _Change | None:
        """Return the change that helps the slowest rank most, or None if none does."""
        order = sorted(range(len(self.times)), key=self.times.__getitem__)
        slow = order[-1]
        limit = self.times[slow] * (1 - LEAST_GAIN)
        best: _Change | None = None
        for expert in self.held[slow]:
            for change in self._list_changes(slow, expert, order[:CANDIDATE_RANKS]):
                if change.slowest < (best.slowest if best else limit):
                    best = change
        return best

    def apply(self, change: _Change) -> None:
        """Carry out a change."""
        for expert, rank in change.drops:
            self._set_holder(expert, rank, present=False)
        for expert, rank in change.adds:
            self._set_holder(expert, rank, present=True)

    def _set_holder(self, expert: int, rank: int, present: bool) -> None:
        holders, load = self.holders[expert], self.tokens[expert]
        spent = load / self.sums[expert] if holders else 0.0
        for holder in holders:
            self.times[holder] -= spent
        if present:
            holders.add(rank)
            self.held[rank].add(expert)
            self.sums[expert] += self.shares[rank]
        else:
            holders.discard(rank)
            self.held[rank].discard(expert)
            self.sums[expert] -= self.shares[rank]
        if holders:
            spent = load / self.sums[expert]
            for holder in holders:
                self.times[holder] += spent

    def _list_changes(self, slow: int, expert: int, fast: list[int]) -> list[_Change]:
        found = []
        load, total = self.tokens[expert], self.sums[expert]
        if len(self.holders[expert]) > 1:
            found.append(self._drop(slow, expert, load, total))
        for rank in fast:
            if rank == slow or rank in self.holders[expert]:
                continue
            if len(self.held[rank]) < self.slots:
                found.append(self._replicate(slow, expert, rank))
                found.append(self._move(slow, expert, rank))
            else:
                spare = self._find_spare(rank)
                if spare is not None:
                    found.append(self._replace(slow, expert, rank, spare))
            found += self._swap(slow, expert, rank)
        return found

    def _drop(self, slow: int, expert: int, load: float, total: float) -> _Change:
        rise = load / (total - self.shares[slow]) - load / total
        others = [self.times[rank] + rise for rank in self.holders[expert] if rank != slow]
        slowest = max(self.times[slow] - load / total, *others)
        return _Change(slowest, (), ((expert, slow),))

    def _replicate(self, slow: int, expert: int, rank: int) -> _Change:
        load, total = self.tokens[expert], self.sums[expert]
        spent = load / (total + self.shares[rank])
        slowest = max(self.times[slow] - load / total + spent, self.times[rank] + spent)
        return _Change(slowest, ((expert, rank),), ())

    def _move(self, slow: int, expert: int, rank: int) -> _Change:
        load, total = self.tokens[expert], self.sums[expert]
        spent = load / (total + self.shares[rank] - self.shares[slow])
        slowest = max(self.times[slow] - load / total, self.times[rank] + spent)
        rise = spent - load / total
        if len(self.holders[expert]) > 1 and rise > 0:
            others = [self.times[other] for other in self.holders[expert] if other != slow]
            slowest = max(slowest, max(others) + rise)
        return _Change(slowest, ((expert, rank),), ((expert, slow),))

    def _replace(self, slow: int, expert: int, rank: int, spare: int) -> _Change:
        """Let a rank give up a replica of `spare` and take one of `expert`."""
        load, total = self.tokens[expert], self.sums[expert]
        spent = load / (total + self.shares[rank])
        freed = self.tokens[spare] / self.sums[spare]
        rise = self.tokens[spare] / (self.sums[spare] - self.shares[rank]) - freed
        others = [
            self.times[other] + rise - (load / total - spent) * (other == slow)
            for other in self.holders[spare]
            if other != rank
        ]
        slowest = max(
            self.times[slow] - load / total + spent, self.times[rank] - freed + spent, *others
        )
        return _Change(slowest, ((expert, rank),), ((spare, rank),))

    def _find_spare(self, rank: int) -> int | None:
        spares = [expert for expert in self.held[rank] if len(self.holders[expert]) > 1]
        return min(spares, key=lambda expert: self.tokens[expert] / self.sums[expert], default=None)

    def _swap(self, slow: int, expert: int, rank: int) -> list[_Change]:
        if len(self.holders[expert]) > 1:
            return []
        load = self.tokens[expert]
        slow_rest = self.times[slow] - load / self.shares[slow]
        fast_rest = self.times[rank] + load / self.shares[rank]
        found = []
        for other in self.held[rank]:
            if len(self.holders[other]) > 1:
                continue
            given = self.tokens[other]
            slowest = max(
                slow_rest + given / self.shares[slow], fast_rest - given / self.shares[rank]
            )
            adds = ((expert, rank), (other, slow))
            found.append(_Change(slowest, adds, ((expert, slow), (other, rank))))
        return found


def improve_layer(layer: int, state: LayerState, max_changes: int) -> list[LayerPlan]:
    """Return the placements that successive changes lead to, each with its moves so far.

    Parameters
    ----------
    layer : int
        The layer.
    state : LayerState
        Working state; it is changed.
    max_changes : int
        Longest sequence of changes.
    """
    before = max(state.times)
    plans = []
    moves = 0
    for _ in range(max_changes):
        change = state.find_change()
        if change is None:
            break
        state.apply(change)
        moves += len(change.adds)
        plans.append(LayerPlan(layer, state.copy_row(), moves, before, max(state.times)))
    return plans
