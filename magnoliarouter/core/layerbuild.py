"""Builds the placement of one layer anew, leaving experts where they are if they fit there."""

from __future__ import annotations

from magnoliarouter.core.layerplan import LayerPlan, LayerState, improve_layer, measure_times

__all__ = ["min_replica_tokens", "rebuild_layer"]

SEARCH_ROUNDS = 20
KEEP_COUNT_ABOVE = 0.6
KEEP_COUNT_BELOW = 1.15

Row = tuple[tuple[int, ...], ...]


def min_replica_tokens(tokens: list[float], slots: int) -> float:
    """Return the least tokens a replica for which the replicas needed fit into the slots."""
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
    """Return a placement built from the largest part down, or None if it does not fit.

    A part stays with a present holder as long as that ends within the tolerance of an even split;
    otherwise it goes to the rank that ends first.

    Parameters
    ----------
    layer : int
        The layer.
    row : tuple
        Present holders of each expert.
    tokens, shares : list of float
        Tokens for each expert; speed of each rank.
    slots : int
        Experts of the layer that fit on a rank.
    tolerance : float
        Share by which a rank may end later than with an even split.
    max_changes : int
        Changes that may improve the result afterwards.
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
