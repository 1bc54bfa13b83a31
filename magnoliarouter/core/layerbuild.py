"""Rebuilds the placement of one layer from scratch.

An expert stays on a rank that holds it already as long as it fits there, to save transfers.
"""

from __future__ import annotations

from magnoliarouter.core.layerplan import LayerPlan, LayerState, improve_layer, measure_times

__all__ = ["min_replica_tokens", "rebuild_layer"]

SEARCH_ROUNDS = 20
# Hysteresis: an expert keeps its number of replicas while its tokens stay within these factors of
# the limit on tokens per replica.
KEEP_COUNT_ABOVE = 0.6
KEEP_COUNT_BELOW = 1.15

Row = tuple[tuple[int, ...], ...]


def min_replica_tokens(tokens: list[float], slots: int) -> float:
    """Return the smallest limit on tokens per replica that needs no more replicas than slots.

    An expert with more tokens than the limit needs several replicas.
    """
    low, high = 0.0, max(tokens, default=0.0)
    for _ in range(SEARCH_ROUNDS):
        middle = (low + high) / 2
        needed = sum([max(1, -int(-load // middle)) for load in tokens]) if middle else slots + 1
        low, high = (low, middle) if needed <= slots else (middle, high)
    return high


def rebuild_layer(
    layer: int,
    row: Row,
    tokens: list[float],
    shares: list[float],
    slots: int,
    tolerance: float,
    max_changes: int,
) -> LayerPlan | None:
    """Return a placement that assigns the largest replicas first, or None if they don't fit.

    A replica stays on a rank that already holds the expert as long as that rank finishes within
    the tolerance of an even split; otherwise it goes to the rank that would finish first.

    Parameters
    ----------
    layer : int
        Index of the layer.
    row : tuple
        Ranks that hold each expert now.
    tokens, shares : list of float
        Tokens for each expert; speed of each rank.
    slots : int
        Experts of the layer that fit on a rank.
    tolerance : float
        Fraction by which a rank may finish later than with an even split.
    max_changes : int
        Maximum number of changes that improve the placement afterwards.
    """
    counts = _choose_replica_counts(row, tokens, slots * len(shares), len(shares))
    limit = sum(tokens) / sum(shares) * (1 + tolerance)
    placed_row = _place_replicas(row, tokens, counts, shares, slots, limit)
    if placed_row is None:
        return None
    state = LayerState(placed_row, tokens, shares, slots)
    plans = improve_layer(layer, state, max_changes)
    final = plans[-1].row if plans else placed_row
    moves = sum([len(set(new) - set(old)) for old, new in zip(row, final) if old != new])
    before = max(measure_times(row, tokens, shares))
    return LayerPlan(layer, final, moves, before, max(state.times))


def _choose_replica_counts(row: Row, tokens: list[float], slots: int, ranks: int) -> list[int]:
    replica_tokens = min_replica_tokens(tokens, slots)
    counts = []
    for holders, load in zip(row, tokens):
        current_count = len(holders)
        target_count = min(ranks, max(1, -int(-load // replica_tokens))) if replica_tokens else 1
        keep_count = (
            load <= replica_tokens * KEEP_COUNT_BELOW * current_count
            and load > replica_tokens * KEEP_COUNT_ABOVE * (current_count - 1)
        )
        counts.append(current_count if keep_count else target_count)
    excess = sum(counts) - slots
    smallest = sorted(range(len(counts)), key=lambda expert: tokens[expert] / counts[expert])
    for expert in smallest:
        if excess <= 0:
            break
        removed = min(excess, counts[expert] - 1)
        counts[expert] -= removed
        excess -= removed
    return counts


def _place_replicas(
    row: Row,
    tokens: list[float],
    counts: list[int],
    shares: list[float],
    slots: int,
    limit: float,
) -> Row | None:
    times = [0.0] * len(shares)
    free = [slots] * len(shares)
    placed: list[list[int]] = [[] for _ in tokens]
    tokens_per_replica = [load / count for load, count in zip(tokens, counts)]
    for expert in sorted(
        range(len(tokens_per_replica)), key=tokens_per_replica.__getitem__, reverse=True
    ):
        replica_tokens, chosen = tokens_per_replica[expert], placed[expert]
        for rank in sorted(row[expert], key=times.__getitem__):
            if len(chosen) < counts[expert] and free[rank]:
                if times[rank] + replica_tokens / shares[rank] <= limit:
                    _assign(rank, replica_tokens, chosen, times, free, shares)
        while len(chosen) < counts[expert]:
            rank = _find_earliest_rank(replica_tokens, chosen, times, free, shares)
            if rank is None:
                break
            _assign(rank, replica_tokens, chosen, times, free, shares)
        if not chosen:
            return None
    return tuple([tuple(sorted(chosen)) for chosen in placed])


def _assign(
    rank: int,
    replica_tokens: float,
    chosen: list[int],
    times: list[float],
    free: list[int],
    shares: list[float],
) -> None:
    chosen.append(rank)
    times[rank] += replica_tokens / shares[rank]
    free[rank] -= 1


def _find_earliest_rank(
    replica_tokens: float,
    chosen: list[int],
    times: list[float],
    free: list[int],
    shares: list[float],
) -> int | None:
    best, earliest = None, float("inf")
    for rank, (spent, share) in enumerate(zip(times, shares)):
        finish = spent + replica_tokens / share
        if finish < earliest and free[rank] and rank not in chosen:
            best, earliest = rank, finish
    return best
