"""Experiments ``rebalance`` and ``planner``: policies on the same drift, and the time of a plan."""

from __future__ import annotations

import math
import time
from typing import Any

from magnoliarouter.core.expertmap import spread_evenly
from magnoliarouter.core.rebalance import choose_policy, plan_moves
from magnoliarouter.standins.bench.experiment import Experiment, Report, percentile
from magnoliarouter.standins.bench.groupsim import GroupSize, Outcome, compare_policies
from magnoliarouter.standins.drift import DRIFT_KINDS, PopularityDrift

__all__ = ["experiments"]

SEED_COUNT = 3
MAX_SKEW_RATIO = 1.05
SKEW_MOVES_SHARE = 1 / 3
COST_MOVES_SHARE = 1 / 10
COST_REDUCTION_SHARE = 1 / 2
DECODE_STEP_S = 0.043
PLANNER_REPEATS = 5
PLANNER_SIZES = (
    (8, 64, 60),
    (16, 64, 60),
    (32, 64, 60),
    (32, 16, 60),
    (32, 32, 60),
    (32, 64, 15),
    (32, 64, 30),
)


async def compare(options: Any) -> Report:
    """Compare never moving, rebuilding every interval, and the policy with no and with both weights."""
    report = Report()
    size = GroupSize()
    for kind in DRIFT_KINDS:
        for seed in range(options.seed, options.seed + SEED_COUNT):
            outcomes = compare_policies(kind, seed, size)
            name = f"{kind}/{seed}"
            report.figures[name] = {
                policy: _summarize(outcome, size) for policy, outcome in outcomes.items()
            }
            report.figures[name]["bound_mean"] = _rounded_mean(outcomes["never"].bounds)
            _check_outcomes(report, name, outcomes)
        outcomes = compare_policies(kind, options.seed, size, transfer=True)
        report.figures[f"{kind}/{options.seed}/with-transfer"] = {
            policy: _summarize(outcome, size) for policy, outcome in outcomes.items()
        }
    return report


def _check_outcomes(report: Report, name: str, outcomes: dict[str, Outcome]) -> None:
    skew = {policy: _rounded_mean(outcome.skews) for policy, outcome in outcomes.items()}
    moves = {policy: sum(outcome.moves) for policy, outcome in outcomes.items()}
    report.expect(
        skew["skew"] <= MAX_SKEW_RATIO * skew["greedy"], f"{name}: skew weight within 5% of greedy"
    )
    report.expect(
        moves["skew"] <= SKEW_MOVES_SHARE * moves["greedy"],
        f"{name}: skew weight at most a third of greedy's moves",
    )
    report.expect(
        moves["cost"] <= COST_MOVES_SHARE * moves["greedy"],
        f"{name}: cost weight at most a tenth of greedy's moves",
    )
    report.expect(
        skew["never"] - skew["cost"] >= COST_REDUCTION_SHARE * (skew["never"] - skew["greedy"]),
        f"{name}: cost weight at least half of greedy's reduction",
    )


def _summarize(outcome: Outcome, size: GroupSize) -> dict[str, Any]:
    moves = sum(outcome.moves)
    minutes = size.intervals * size.interval_s / 60
    return {
        "skew_mean": _rounded_mean(outcome.skews),
        "skew_p95": round(percentile(outcome.skews, 0.95), 4),
        "moves": moves,
        "gb_per_minute": round(moves * size.expert_bytes / 1e9 / minutes, 2),
        "stall_s": round(outcome.stall_seconds, 3),
    }


def _rounded_mean(values: list[float]) -> float:
    return round(sum(values) / len(values), 4)


async def measure_planner(options: Any) -> Report:
    """Measure the time of a plan against ranks, experts and layers."""
    report = Report()
    times = {}
    for ranks, experts, layers in PLANNER_SIZES:
        milliseconds = _time_plan(ranks, experts, layers, options.seed)
        times[ranks, experts, layers] = milliseconds
        report.figures[f"{ranks}x{experts}x{layers}_ms"] = round(milliseconds, 2)
    full = times[32, 64, 60]
    report.figures["slope_ranks"] = _growth_exponent(times[8, 64, 60], full, 4)
    report.figures["slope_experts"] = _growth_exponent(times[32, 16, 60], full, 4)
    report.figures["slope_layers"] = _growth_exponent(times[32, 64, 15], full, 4)
    report.expect(full < DECODE_STEP_S * 1000 / 2, "32 x 64 x 60 planned in half of a step's 43 ms")
    return report


def _growth_exponent(small: float, large: float, factor: float) -> float:
    """Return the exponent with which the time grows."""
    return round(math.log(large / small) / math.log(factor), 2)


def _time_plan(ranks: int, experts: int, layers: int, seed: int) -> float:
    drift = PopularityDrift("court-list", experts, seed, 600.0)
    tokens = [drift.expert_shares(layer, 0.0) for layer in range(layers)]
    current = spread_evenly(ranks, layers, experts)
    slots = 2 * -(-experts // ranks)
    policy = choose_policy("skew", 0.025, 400, 20.0)
    best = math.inf
    for _ in range(PLANNER_REPEATS):
        start_time = time.process_time()
        plan_moves(current, tokens, [1.0] * ranks, slots, policy)
        best = min(best, time.process_time() - start_time)
    return 1000 * best


def experiments() -> list[Experiment]:
    """Return the experiments of this module."""
    return [
        Experiment("rebalance", "Skew and moves of rebalancing policies on one drift", compare),
        Experiment("planner", "Time of a plan against ranks, experts and layers", measure_planner),
    ]
