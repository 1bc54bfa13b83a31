from __future__ import annotations

import asyncio
import math
import random
import unittest

from magnoliarouter.gateway.choices import (
    ChoiceWindow,
    estimate_noise_skew,
    estimate_skew_error,
)
from magnoliarouter.gateway.endpoints import Endpoint
from magnoliarouter.gateway.groups import GroupMapSwitcher
from magnoliarouter.gateway.mapduty import MapDuty
from magnoliarouter.gateway.mapplan import RELAXED_BALANCE, MapPlan, NoChange
from magnoliarouter.gateway.routes import ExpertProfile
from magnoliarouter.tests.clock import run_auto_advance
from magnoliarouter.tests.rank_model import (
    FakeMapLease,
    GroupModel,
    cancel_tasks,
    measure_skew,
    plan_map,
)

# Ranks, sets, experts of a set, and experts of a set that fit on a rank.
SHAPES = ((8, 6, 64, 11), (16, 4, 64, 5), (72, 12, 144, 3), (96, 16, 192, 3))


def build_profile(sets, experts, places):
    return ExpertProfile(sets, experts, places, max_new_experts=2, copy_s=0.1)


def build_first_map(ranks, sets, experts):
    return tuple(tuple((expert % ranks,) for expert in range(experts)) for _ in range(sets))


def draw_counts(random_source, weights, choices, sets):
    counts = []
    for _ in range(sets):
        drawn = random_source.choices(range(len(weights)), weights, k=choices)
        counts += [drawn.count(expert) for expert in range(len(weights))]
    return counts


def add_reads(window, *reads):
    for counts, elapsed_s in reads:
        window.add(counts, elapsed_s)
    return window.counts


class EstimateTest(unittest.TestCase):
    def test_enough_new_counts_replace_older_ones(self):
        counts = add_reads(ChoiceWindow(1, 16), ([50_000, 50_000], 0.5), ([50_500, 50_000], 0.5))
        self.assertEqual(counts, [50_500, 50_000])

    def test_older_counts_fill_up_few_new_ones_and_lose_weight(self):
        counts = add_reads(ChoiceWindow(4, 16), ([100, 300] * 4, 1.0), ([110, 290] * 4, 1.0))
        self.assertEqual(counts, [160.0, 440.0] * 4)

    def test_counts_of_another_map_size_are_dropped(self):
        self.assertEqual(add_reads(ChoiceWindow(1, 16), ([11], 0.5), ([5, 6], 0.5)), [5.0, 6.0])

    def test_changed_popularity_drops_older_counts(self):
        old, new = [900, 100, 100, 100], [100, 100, 100, 900]
        self.assertEqual(add_reads(ChoiceWindow(1, 16), (old, 0.5), (new, 0.5)), new)

    def test_read_with_a_prompt_weighs_as_much_as_one_without(self):
        """All choices of a prompt share its content, so they say little about other requests."""
        window = ChoiceWindow(1, 16)
        add_reads(window, ([500, 500], 0.5), ([500, 500], 0.5), ([100_000, 0], 0.5))
        self.assertLess(window.counts[0], 3.0 * window.counts[1])
        self.assertEqual(window.recent, 100_000)

    def test_read_without_choices_keeps_older_counts(self):
        window = ChoiceWindow(1, 16)
        self.assertEqual(add_reads(window, ([5, 6], 0.5), ([0, 0], 0.5)), [5.0, 6.0])
        self.assertEqual(window.recent, 0)

    def test_noise_skew_covers_chance_at_any_size(self):
        source = random.Random(1)
        for ranks in (8, 16, 72, 96):
            for choices in (ranks * 5, ranks * 50, ranks * 500):
                drawn = source.choices(range(ranks), k=choices)
                skew = max(map(drawn.count, range(ranks))) * ranks / choices
                with self.subTest(ranks=ranks, choices=choices):
                    self.assertLess(skew, 1.25 * estimate_noise_skew(choices, ranks))

    def test_without_choices_nothing_is_known(self):
        self.assertEqual(estimate_noise_skew(0, 16), math.inf)
        self.assertEqual(estimate_skew_error(2.0, 0, 16), math.inf)


class SignificanceTest(unittest.TestCase):
    def test_chance_moves_nothing(self):
        for ranks, sets, experts, places in SHAPES:
            for choices in (20, ranks, 20 * ranks):
                counts = draw_counts(random.Random(choices), [1.0] * experts, choices, sets)
                rows = build_first_map(ranks, sets, experts)
                plan = plan_map(
                    rows, counts, ranks, build_profile(sets, experts, places), RELAXED_BALANCE, 1
                )
                with self.subTest(ranks=ranks, choices=choices):
                    self.assertIsInstance(plan, NoChange)

    def test_popular_experts_are_seen_in_few_choices(self):
        """A quarter of the choices goes to four experts; a rank of many makes few choices."""
        for ranks, sets, experts, places in SHAPES[1:]:
            weights = [experts / 12.0 if expert < 4 else 1.0 for expert in range(experts)]
            counts = draw_counts(random.Random(ranks), weights, 15 * ranks, sets)
            rows = build_first_map(ranks, sets, experts)
            profile = build_profile(sets, experts, places)
            plan = plan_map(rows, counts, ranks, profile, RELAXED_BALANCE, 1)
            with self.subTest(ranks=ranks):
                self.assertIsInstance(plan, MapPlan)
                self.assertLess(plan.skew_after, plan.skew_before - 0.1)


class SmallShareTest(unittest.TestCase):
    """One rank of many makes 11,000 to 25,000 choices between two reads."""

    def run_model(self, shape, choices_per_s, seconds=6.0):
        ranks, sets, experts, places = shape

        async def main():
            model = GroupModel(size=ranks, sets=sets, experts=experts)
            rest = choices_per_s * model.step_s / sets / 10
            model.popularity = [
                [rest / 16 if expert < 4 else rest * 0.75 / experts for expert in range(experts)]
                for _ in range(sets)
            ]
            profile = build_profile(sets, experts, places)
            members = [
                (Endpoint(f"i{number}", "llm", str(number), "zone-1", 6), profile)
                for number in range(ranks)
            ]
            loop = asyncio.get_running_loop()
            duty = MapDuty(model, lambda: members, FakeMapLease(), loop.time)
            tasks = [loop.create_task(model.run()), loop.create_task(duty.run())]
            before = measure_skew(model)
            await asyncio.sleep(seconds)
            await cancel_tasks(*tasks, *duty.list_tasks())
            return model, before, measure_skew(model)

        return run_auto_advance(main())

    def test_maps_follow_the_choices_of_a_rank_with_a_small_share(self):
        for shape in SHAPES[1:]:
            for choices_per_s in (22_000, 2_000_000):
                with self.subTest(shape=shape, choices_per_s=choices_per_s):
                    model, before, after = self.run_model(shape, choices_per_s)
                    self.assertGreater(model.ranks[0].version, 0)
                    self.assertLess(after, 0.7 * before)
                    self.assertEqual(model.mixed_steps, [])

    def test_counts_of_the_wrong_length_are_ignored(self):
        async def main():
            model = GroupModel()
            switcher = GroupMapSwitcher(
                "g",
                {n: Endpoint(f"i{n}", "llm", str(n), "zone-1", 6) for n in range(model.size)},
                model,
                lambda: 1,
                asyncio.get_running_loop().time,
            )
            await switcher.read_map(build_profile(2, 8, 4))
            await switcher.read_recent_counts()
            model.counts = [1, 2, 3]
            return await switcher.read_recent_counts(), switcher.choices.counts

        self.assertEqual(run_auto_advance(main()), (False, []))

    def test_nearly_no_choices_move_nothing(self):
        for shape in SHAPES[1:]:
            with self.subTest(shape=shape):
                model, _, _ = self.run_model(shape, shape[1] * 20, seconds=1.5)
                self.assertEqual(model.ranks[0].version, 0)


if __name__ == "__main__":
    unittest.main()
