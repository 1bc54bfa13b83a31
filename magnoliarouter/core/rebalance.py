"""Rebalancing policy: which experts to move so that the time saved justifies the moves.

The time of a step is the sum over layers of the slowest rank's time, since ranks wait for each
other in every layer. Skew is the excess of the slowest rank's time over the mean, relative to the
mean. A plan is incremental: for each of the layers with the most excess time a short sequence of
changes is tried. Of this sequence, the plan keeps the initial part with the largest net benefit:
the time saved over the horizon less the weighted cost of the moves.
"""

from __future__ import annotations

from dataclasses import dataclass
from typing import Literal

from magnoliarouter.core.expertmap import ExpertMap
from magnoliarouter.core.layerbuild import min_replica_tokens, rebuild_layer
from magnoliarouter.core.layerplan import LayerPlan, LayerState, improve_layer, measure_times

__all__ = [
    "RebalancePlan",
    "RebalancePolicy",
    "bound_skew",
    "choose_policy",
    "decay_tokens",
    "extra_group_load",
    "measure_skew",
    "plan_moves",
]

LOAD_PER_SKEW = 1.0
SWITCHING_LOAD = 0.25


@dataclass(frozen=True, slots=True)
class RebalancePolicy:
    """Thresholds and limits of a rebalancing plan.

    Parameters
    ----------
    cost_weight : float
        Seconds of step time that must be saved per second of the weight store's time.
    horizon_seconds : float
        Time in seconds for which the current popularity of experts is expected to last.
    move_seconds : float
        Time in seconds that the weight store needs for one expert, plus its part of the stall.
    max_moves : int
        Experts that the group may fetch for one plan: its part of the weight store's rate.
    min_skew : float
        Skew below which a layer is left unchanged.
    min_gain : float
        Minimum relative reduction of a layer's slowest time that justifies any move.
    max_layers : int
        Maximum number of layers that one plan optimizes, those with the most excess time first.
    max_changes : int
        Maximum number of changes tried in each of these layers.
    rebuild_skew : float
        Skew after these changes above which a rebuild of the layer is tried as well.
    max_rebuilds : int
        Maximum number of layers that one plan tries to rebuild.
    """

    cost_weight: float
    horizon_seconds: float
    move_seconds: float
    max_moves: int
    min_skew: float
    min_gain: float
    max_layers: int = 16
    max_changes: int = 12
    rebuild_skew: float = 0.15
    max_rebuilds: int = 4


@dataclass(frozen=True, slots=True)
class RebalancePlan:
    """Map to switch to, with its expected benefit and cost.

    Parameters
    ----------
    map : ExpertMap
        New map; the current one if no change justifies its cost.
    layers : tuple of LayerPlan
        Layers that change.
    moves : int
        Number of experts to fetch.
    saved_seconds : float
        Step time in seconds expected to be saved over the horizon.
    cost_seconds : float
        Time in seconds of the weight store and of the stall, not weighted.
    skew_before, skew_after : float
        Expected step-time skew.
    """

    map: ExpertMap
    layers: tuple[LayerPlan, ...]
    moves: int
    saved_seconds: float
    cost_seconds: float
    skew_before: float
    skew_after: float


def choose_policy(
    favour: Literal["skew", "cost"], move_seconds: float, max_moves: int, interval: float
) -> RebalancePolicy:
    """Return the policy for an operator's preference.

    Parameters
    ----------
    favour : {"skew", "cost"}
        Whether to favour low skew or a low cost of moves.
    move_seconds : float
        Time of one move in seconds.
    max_moves : int
        Maximum number of moves in one plan.
    interval : float
        Seconds between plans.
    """
    if favour == "skew":
        return RebalancePolicy(
            cost_weight=0.2,
            horizon_seconds=12 * interval,
            move_seconds=move_seconds,
            max_moves=max_moves,
            min_skew=0.06,
            min_gain=0.01,
        )
    return RebalancePolicy(
        cost_weight=4.0,
        horizon_seconds=12 * interval,
        move_seconds=move_seconds,
        max_moves=max_moves,
        min_skew=0.15,
        min_gain=0.05,
        rebuild_skew=0.5,
    )


def decay_tokens(
    known: list[list[float]], recent: list[list[float]], elapsed: float, half_life: float
) -> list[list[float]]:
    """Return the exponentially weighted average of tokens by layer and expert.

    Parameters
    ----------
    known, recent : list of list of float
        Average so far, empty at first, and tokens counted since.
    elapsed, half_life : float
        Seconds since the last call, and seconds in which the weight of a count halves.
    """
    if len(known) != len(recent):
        return [list(row) for row in recent]
    keep = 0.5 ** (elapsed / half_life)
    return [
        [keep * old + (1 - keep) * new for old, new in zip(old_row, new_row)]
        for old_row, new_row in zip(known, recent)
    ]


def plan_moves(
    current: ExpertMap,
    tokens: list[list[float]],
    speeds: list[float],
    slots: int,
    policy: RebalancePolicy,
) -> RebalancePlan:
    """Return a plan with the moves whose benefit exceeds their weighted cost.

    Takes O(layers x held experts + max_layers x max_changes x slots^2) time.

    Parameters
    ----------
    current : ExpertMap
        Map in force; the new map keeps its shares.
    tokens : list of list of float
        Tokens by layer and expert.
    speeds : list of float
        Speed of each rank, 1 for a healthy one; also its share of replicated experts.
    slots : int
        Experts of one layer that fit on a rank.
    policy : RebalancePolicy
        Thresholds and limits.
    """
    times = [
        measure_times(row, layer_tokens, speeds)
        for row, layer_tokens in zip(current.layers, tokens)
    ]
    peaks = [max(layer) for layer in times]
    step_time = sum(peaks) or 1.0
    means = [sum(layer) / len(layer) for layer in times]
    worst = sorted(range(len(times)), key=lambda layer: means[layer] - peaks[layer])
    candidates = [
        layer
        for layer in worst[: policy.max_layers]
        if peaks[layer] > means[layer] * (1 + policy.min_skew)
    ]
    chosen: list[LayerPlan] = []
    moves = rebuilds = 0
    for layer in candidates:
        row, layer_tokens = current.layers[layer], tokens[layer]
        options = improve_layer(
            layer, LayerState(row, layer_tokens, speeds, slots), policy.max_changes
        )
        remaining_peak = options[-1].after if options else peaks[layer]
        if rebuilds < policy.max_rebuilds and remaining_peak > _rebuild_threshold_time(
            layer_tokens, speeds, policy
        ):
            rebuilds += 1
            rebuilt = rebuild_layer(
                layer, row, layer_tokens, speeds, slots, policy.min_skew, policy.max_changes
            )
            options += [rebuilt] if rebuilt else []
        plan = _choose_best(options, step_time, policy, policy.max_moves - moves)
        if plan is not None:
            chosen.append(plan)
            moves += plan.moves
    return _build_plan(current, tokens, speeds, chosen, policy)


def measure_skew(current: ExpertMap, tokens: list[list[float]], speeds: list[float]) -> float:
    """Return the step-time skew, (slowest - mean)/mean, of the times summed over all layers."""
    slowest = mean = 0.0
    for row, layer_tokens in zip(current.layers, tokens):
        times = measure_times(row, layer_tokens, speeds)
        slowest += max(times)
        mean += sum(times) / len(times)
    return slowest / mean - 1.0 if mean else 0.0


def bound_skew(tokens: list[list[float]], speeds: list[float], slots: int) -> float:
    """Return a lower bound on the skew of any map for the same loads.

    In each layer, the slowest rank can't be faster than with an even split over the ranks by speed.
    Nor can it be faster than the least time per replica for which the replicas needed fit into the
    slots of all ranks.
    """
    slowest = mean = 0.0
    for layer_tokens in tokens:
        even = sum(layer_tokens) / sum(speeds)
        mean += even
        slowest += max(even, min_replica_tokens(layer_tokens, slots * len(speeds)) / max(speeds))
    return slowest / mean - 1.0 if mean else 0.0


def extra_group_load(skew: float, switching: bool) -> float:
    """Return the load in requests per slot that a group's state adds to each of its endpoints.

    Parameters
    ----------
    skew : float
        Step-time skew.
    switching : bool
        Whether a switch of its map is in progress.

    Examples
    --------
    >>> extra_group_load(0.5, False), extra_group_load(0.0, True)
    (0.5, 0.25)
    """
    return LOAD_PER_SKEW * max(0.0, skew) + (SWITCHING_LOAD if switching else 0.0)


def _rebuild_threshold_time(
    layer_tokens: list[float], speeds: list[float], policy: RebalancePolicy
) -> float:
    """Return the slowest time of a layer above which a rebuild is tried."""
    return sum(layer_tokens) / sum(speeds) * (1 + policy.rebuild_skew)


def _choose_best(
    plans: list[LayerPlan], step_time: float, policy: RebalancePolicy, allowed: int
) -> LayerPlan | None:
    best, best_net = None, 0.0
    for plan in plans:
        gain = plan.before - plan.after
        if plan.moves > allowed or gain < policy.min_gain * plan.before:
            continue
        saved = policy.horizon_seconds * gain / step_time
        net_saved = saved - policy.cost_weight * policy.move_seconds * plan.moves
        if net_saved > best_net:
            best, best_net = plan, net_saved
    return best


def _build_plan(
    current: ExpertMap,
    tokens: list[list[float]],
    speeds: list[float],
    chosen: list[LayerPlan],
    policy: RebalancePolicy,
) -> RebalancePlan:
    rows = list(current.layers)
    for plan in chosen:
        rows[plan.layer] = plan.row
    new_map = ExpertMap(current.ranks, tuple(rows), current.shares) if chosen else current
    before = measure_skew(current, tokens, speeds)
    after = measure_skew(new_map, tokens, speeds) if chosen else before
    moves = sum(plan.moves for plan in chosen)
    saved = policy.horizon_seconds * (1 - (1 + after) / (1 + before))
    return RebalancePlan(
        new_map, tuple(chosen), moves, saved, moves * policy.move_seconds, before, after
    )
