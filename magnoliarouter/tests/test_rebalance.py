from __future__ import annotations

import random
import unittest
from dataclasses import replace

from hypothesis import given, settings
from hypothesis import strategies as st

from magnoliarouter.core.expertmap import ExpertMap, count_moves, spread_evenly
from magnoliarouter.core.layerbuild import rebuild_layer
from magnoliarouter.core.layerplan import LayerState, improve_layer, measure_times
from magnoliarouter.core.rebalance import (
    bound_skew,
    choose_policy,
    decay_tokens,
    measure_skew,
    plan_moves,
)
from magnoliarouter.core.stragglers import (
    MitigationLevel,
    StragglerState,
    choose_share,
    evaluate_rank,
)
from magnoliarouter.standins.bench.chart import draw_text
from magnoliarouter.standins.bench.groupsim import GroupSize, compare_policies, rebuild_map

RANKS, LAYERS, EXPERTS, SLOTS = 4, 3, 8, 3
POLICY = choose_policy("skew", 0.01, 100, 20.0)


def build_tokens(seed: int) -> list[list[float]]:
    chosen = random.Random(seed)
    return [[chosen.expovariate(1.0) for _ in range(EXPERTS)] for _ in range(LAYERS)]


def plan(current, seed=1, speeds=(1.0,) * RANKS, policy=POLICY):
    return plan_moves(current, build_tokens(seed), list(speeds), SLOTS, policy)


class PlanTest(unittest.TestCase):
    @settings(derandomize=True, deadline=None, max_examples=60, database=None)
    @given(st.integers(0, 10_000), st.lists(st.floats(0.3, 1.5), min_size=4, max_size=4))
    def test_plan_is_valid_and_never_worse(self, seed, speeds):
        current = spread_evenly(RANKS, LAYERS, EXPERTS)
        found = plan(current, seed, speeds)
        self.assertEqual(found.moves, count_moves(current, found.map))
        self.assertLessEqual(found.skew_after, found.skew_before + 1e-9)
        self.assertGreaterEqual(
            found.skew_after, bound_skew(build_tokens(seed), speeds, SLOTS) - 1e-6
        )
        for row in found.map.layers:
            held = [sum(rank in holders for holders in row) for rank in range(RANKS)]
            self.assertLessEqual(max(held), SLOTS)

    @settings(derandomize=True, deadline=None, max_examples=40, database=None)
    @given(st.integers(0, 10_000))
    def test_working_times_stay_true(self, seed):
        tokens = build_tokens(seed)[0]
        shares = [1.0, 0.6, 1.2, 1.0]
        state = LayerState(spread_evenly(RANKS, 1, EXPERTS).layers[0], tokens, shares, SLOTS)
        plans = improve_layer(0, state, 10)
        self.assertTrue(plans)
        for spent, true in zip(state.times, measure_times(plans[-1].row, tokens, shares)):
            self.assertAlmostEqual(spent, true)

    def test_second_plan_for_same_load_moves_nothing(self):
        first = plan(spread_evenly(RANKS, LAYERS, EXPERTS))
        self.assertGreater(first.moves, 0)
        self.assertEqual(plan(first.map).moves, 0)

    def test_dear_move_is_not_made(self):
        current = spread_evenly(RANKS, LAYERS, EXPERTS)
        dear = replace(POLICY, cost_weight=1e6)
        self.assertIs(plan(current, policy=dear).map, current)

    def test_move_budget_binds(self):
        current = spread_evenly(RANKS, LAYERS, EXPERTS)
        found = plan(current, policy=replace(POLICY, max_moves=2))
        self.assertLessEqual(found.moves, 2)
        self.assertGreater(found.moves, 0)

    def test_hot_expert_is_replicated(self):
        tokens = [[20.0] + [1.0] * 7]
        found = plan_moves(spread_evenly(4, 1, 8), tokens, [1.0] * 4, SLOTS, POLICY)
        self.assertGreater(len(found.map.layers[0][0]), 1)

    def test_slow_rank_gets_less(self):
        tokens = [[1.0] * 8]
        speeds = [0.4, 1.0, 1.0, 1.0]
        found = plan_moves(spread_evenly(4, 1, 8), tokens, speeds, SLOTS, POLICY)
        work = [time * speed for time, speed in zip(_times(found.map, tokens, speeds), speeds)]
        self.assertLess(work[0], 0.7 * max(work))

    def test_rebuild_keeps_what_fits(self):
        tokens = build_tokens(3)[0]
        first = rebuild_layer(0, spread_evenly(4, 1, 8).layers[0], tokens, [1.0] * 4, 3, 0.1, 20)
        again = rebuild_layer(0, first.row, tokens, [1.0] * 4, 3, 0.1, 20)
        self.assertLess(again.moves, first.moves)
        self.assertLess(first.after, first.before)

    def test_decayed_tokens(self):
        self.assertEqual(decay_tokens([], [[4.0]], 1.0, 1.0), [[4.0]])
        self.assertEqual(decay_tokens([[0.0]], [[4.0]], 1.0, 1.0), [[2.0]])

    def test_bound_is_below_rebuilt_map(self):
        tokens = build_tokens(5)
        built = rebuild_map(spread_evenly(RANKS, LAYERS, EXPERTS), tokens, [1.0] * 4, SLOTS)
        skew = measure_skew(built, tokens, [1.0] * 4)
        self.assertLessEqual(bound_skew(tokens, [1.0] * 4, SLOTS), skew)


def _times(found: ExpertMap, tokens, speeds):
    return measure_times(found.layers[0], tokens[0], speeds)


class StragglerTest(unittest.TestCase):
    def test_escalation_and_recovery(self):
        state = StragglerState()
        cares = []
        for now in (0.0, 59.0, 61.0, 181.0):
            state = evaluate_rank(state, 0.3, now)
            cares.append(state.level)
        reweighted = MitigationLevel.REWEIGHTED
        self.assertEqual(
            cares, [reweighted, reweighted, MitigationLevel.DRAINED, MitigationLevel.REPORTED]
        )
        self.assertEqual(evaluate_rank(state, 1.0, 182.0), StragglerState())

    def test_share_follows_speed_without_flutter(self):
        self.assertEqual(choose_share(MitigationLevel.REWEIGHTED, 0.6, 1.0), 0.6)
        self.assertEqual(choose_share(MitigationLevel.REWEIGHTED, 0.65, 0.6), 0.6)
        self.assertEqual(choose_share(MitigationLevel.HEALTHY, 0.95, 0.6), 1.0)
        self.assertLess(choose_share(MitigationLevel.DRAINED, 0.3, 0.3), 0.05)


class ComparisonTest(unittest.TestCase):
    def test_policies_order_by_weight(self):
        size = GroupSize(ranks=8, layers=4, experts=16, intervals=12, period_s=120.0)
        outcomes = compare_policies("season", 1, size)
        moves = {name: sum(outcome.moves) for name, outcome in outcomes.items()}
        skews = {name: sum(outcome.skews) for name, outcome in outcomes.items()}
        self.assertEqual(moves["never"], 0)
        self.assertLess(moves["cost"], moves["skew"])
        self.assertLess(moves["skew"], moves["greedy"])
        self.assertLess(skews["skew"], skews["never"])
        rows = draw_text(outcomes).splitlines()
        self.assertEqual(len(rows), 2 * len(outcomes))
        self.assertEqual({len(row.split("|")[1]) for row in rows}, {size.intervals})
