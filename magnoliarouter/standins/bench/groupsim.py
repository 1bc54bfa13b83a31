"""Group model in one process, for comparing rebalancing policies on the same loads."""

from __future__ import annotations

import random
from dataclasses import dataclass, field, replace

from magnoliarouter.core.expertmap import FULL_SHARE, ExpertMap, count_moves, spread_evenly
from magnoliarouter.core.layerplan import measure_times
from magnoliarouter.core.rebalance import bound_skew, choose_policy, decay_tokens, plan_moves
from magnoliarouter.core.stragglers import StragglerState, choose_share, evaluate_rank
from magnoliarouter.standins.drift import PopularityDrift

__all__ = ["GroupSize", "Outcome", "compare_policies", "rebuild_map"]

SLOW_RANK = 5
SLOW_RANK_SPEED = 0.6
SLOW_START_SHARE, SLOW_END_SHARE = 0.4, 0.7
COUNT_NOISE_STDDEV = 0.03
HALF_LIFE_INTERVALS = 0.5
STALL_PER_SWITCH_S = 0.005
POLICIES = ("never", "once", "greedy", "free", "skew", "cost")


@dataclass(frozen=True, slots=True)
class GroupSize:
    """Size of the model and of its environment.

    Parameters
    ----------
    ranks, layers, experts, slots : int
        Group, and experts of one layer that fit on a rank.
    expert_bytes : int
        Size of one expert of one layer.
    store_bytes_per_s : float
        Bytes a second of the weight store that are this group's.
    interval_s : float
        Seconds between plans.
    intervals : int
        Length of the run.
    period_s : float
        Length of a season or of a court list in seconds.
    """

    ranks: int = 32
    layers: int = 16
    experts: int = 64
    slots: int = 4
    expert_bytes: int = 50_000_000
    store_bytes_per_s: float = 2e9
    interval_s: float = 20.0
    intervals: int = 90
    period_s: float = 600.0

    @property
    def move_seconds(self) -> float:
        """Time that the weight store needs for one expert."""
        return self.expert_bytes / self.store_bytes_per_s


@dataclass(slots=True)
class Outcome:
    """What one policy brought.

    Parameters
    ----------
    skews, bounds : list of float
        Step-time skew and its lower bound in each interval.
    moves : list of int
        Experts fetched in each interval.
    switches : int
        Maps switched to.
    """

    skews: list[float] = field(default_factory=list)
    bounds: list[float] = field(default_factory=list)
    moves: list[int] = field(default_factory=list)
    switches: int = 0

    @property
    def stall_seconds(self) -> float:
        """Time that the group stood still for switches."""
        return STALL_PER_SWITCH_S * self.switches


@dataclass(slots=True)
class _PolicyRun:
    """One policy at work; it sees counted tokens and measured speeds, not the true ones.

    With `transfer`, a new map comes into force once the weight store has carried its moves, and
    no other is planned meanwhile.
    """

    name: str
    size: GroupSize
    map: ExpertMap
    transfer: bool
    previous_map: ExpertMap | None = None
    in_force_at: float = 0.0
    outcome: Outcome = field(default_factory=Outcome)
    tokens: list[list[float]] = field(default_factory=list)
    rank_states: list[StragglerState] = field(default_factory=list)

    def plan(self, counted: list[list[float]], speeds: list[float], now: float) -> None:
        """Take the counts of the last interval and switch to a new map if it is worth it."""
        interval_s = self.size.interval_s
        half_life = HALF_LIFE_INTERVALS * interval_s
        self.tokens = decay_tokens(self.tokens, counted, interval_s, half_life)
        if now + interval_s < self.in_force_at:
            self.outcome.moves.append(0)
            return
        self.rank_states = [
            evaluate_rank(state, speed, now) for state, speed in zip(self.rank_states, speeds)
        ]
        shares = [
            choose_share(state.level, speed, share / FULL_SHARE)
            for state, speed, share in zip(self.rank_states, speeds, self.map.shares)
        ]
        target = self._choose_map(shares)
        moves = count_moves(self.map, target)
        self.outcome.moves.append(moves)
        self.outcome.switches += target != self.map
        self.previous_map, self.map = self.map, target
        if self.transfer:
            self.in_force_at = now + interval_s + moves * self.size.move_seconds

    def measure_skew(self, true_loads: list[list[float]], speeds: list[float], now: float) -> float:
        """Return the skew over an interval, part of which may run on the old map."""
        interval_s = self.size.interval_s
        share = min(1.0, max(0.0, (self.in_force_at - now) / interval_s))
        skew = _measure_true_skew(self.map, true_loads, speeds) if share < 1 else 0.0
        if not share:
            return skew
        return (
            share * _measure_true_skew(self.previous_map, true_loads, speeds) + (1 - share) * skew
        )

    def _choose_map(self, shares: list[float]) -> ExpertMap:
        encoded = tuple(max(1, round(share * FULL_SHARE)) for share in shares)
        current = ExpertMap(self.map.ranks, self.map.layers, encoded)
        match self.name:
            case "never":
                return self.map
            case "once" if any(self.outcome.moves):
                return self.map
            case "once" | "greedy":
                return rebuild_map(current, self.tokens, shares, self.size.slots)
        size = self.size
        max_moves = int(size.interval_s / 2 / size.move_seconds)
        favour = "cost" if self.name == "cost" else "skew"
        policy = choose_policy(favour, size.move_seconds, max_moves, size.interval_s)
        if self.name == "free":
            policy = replace(policy, cost_weight=0.0, min_skew=0.0, min_gain=0.0)
        return plan_moves(current, self.tokens, shares, size.slots, policy).map


def compare_policies(
    kind: str, seed: int, size: GroupSize, transfer: bool = False
) -> dict[str, Outcome]:
    """Run all policies on the same drift, counts and straggler.

    Parameters
    ----------
    kind : str
        Kind of drift; see `PopularityDrift`.
    seed : int
        Seed of drift and counting noise.
    size : GroupSize
        Size of the model.
    transfer : bool
        Whether moves take the weight store's time; otherwise they are done at once.
    """
    drift = PopularityDrift(kind, size.experts, seed, size.period_s)
    noise = random.Random(f"{seed}/noise")
    first = spread_evenly(size.ranks, size.layers, size.experts)
    runs = [
        _PolicyRun(name, size, first, transfer, rank_states=[StragglerState()] * size.ranks)
        for name in POLICIES
    ]
    for number in range(size.intervals):
        now = number * size.interval_s
        layers = range(size.layers)
        true_loads = [drift.expert_shares(layer, now + size.interval_s / 2) for layer in layers]
        speeds = _list_speeds(size, number)
        bound = bound_skew(true_loads, speeds, size.slots)
        for run in runs:
            run.outcome.skews.append(run.measure_skew(true_loads, speeds, now))
            run.outcome.bounds.append(bound)
        counted = [
            [load * noise.gauss(1.0, COUNT_NOISE_STDDEV) for load in row] for row in true_loads
        ]
        for run in runs:
            run.plan(counted, speeds, now)
    return {run.name: run.outcome for run in runs}


def rebuild_map(
    current: ExpertMap, tokens: list[list[float]], shares: list[float], slots: int
) -> ExpertMap:
    """Return a map built anew: replicas for the hottest, then the largest first.

    Each expert goes to the rank that ends first; a present holder is preferred on a tie.
    """
    rows = [_rebuild_row(row, load, shares, slots) for row, load in zip(current.layers, tokens)]
    return ExpertMap(current.ranks, tuple(rows), current.shares)


def _rebuild_row(
    row: tuple[tuple[int, ...], ...], load: list[float], shares: list[float], slots: int
) -> tuple[tuple[int, ...], ...]:
    ranks = range(len(shares))
    counts = [1] * len(load)
    for _ in range(slots * len(shares) - len(load)):
        hottest = max(range(len(load)), key=lambda expert: load[expert] / counts[expert])
        if counts[hottest] >= len(shares):
            break
        counts[hottest] += 1
    times = [0.0] * len(shares)
    free = [slots] * len(shares)
    placed: list[list[int]] = [[] for _ in load]
    order = sorted(range(len(load)), key=lambda expert: -load[expert] / counts[expert])
    for expert in order:
        part = load[expert] / counts[expert]
        for _ in range(counts[expert]):
            open_ranks = [rank for rank in ranks if free[rank] and rank not in placed[expert]]
            if not open_ranks:
                break
            chosen = min(
                open_ranks,
                key=lambda rank: (times[rank] + part / shares[rank], rank not in row[expert]),
            )
            times[chosen] += part / shares[chosen]
            free[chosen] -= 1
            placed[expert].append(chosen)
    return tuple(tuple(sorted(found)) for found in placed)


def _list_speeds(size: GroupSize, number: int) -> list[float]:
    speeds = [1.0] * size.ranks
    if SLOW_START_SHARE <= number / size.intervals < SLOW_END_SHARE:
        speeds[SLOW_RANK % size.ranks] = SLOW_RANK_SPEED
    return speeds


def _measure_true_skew(current: ExpertMap, tokens: list[list[float]], speeds: list[float]) -> float:
    shares = [share / FULL_SHARE for share in current.shares]
    slowest = mean = 0.0
    for row, load in zip(current.layers, tokens):
        planned = measure_times(row, load, shares)
        times = [time * share / speed for time, share, speed in zip(planned, shares, speeds)]
        slowest += max(times)
        mean += sum(times) / len(times)
    return slowest / mean - 1.0
