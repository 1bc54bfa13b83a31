from __future__ import annotations

import asyncio
import random
import unittest
from dataclasses import replace

from magnoliarouter.core.layerplan import LayerState, measure_times
from magnoliarouter.gateway.mapduty import MapDuty
from magnoliarouter.gateway.mapplan import MapPlan
from magnoliarouter.gateway.paces import (
    REPORT_EXPIRY_S,
    RankPaces,
    compare_paces,
    limit_by_pace,
)
from magnoliarouter.gateway.routes import ExpertProfile
from magnoliarouter.tests.clock import run_auto_advance
from magnoliarouter.tests.rank_model import (
    FakeMapLease,
    GroupModel,
    build_ranks,
    cancel_tasks,
    plan_map,
)


class PaceTest(unittest.TestCase):
    def test_slow_ranks_stand_out_from_their_group(self):
        self.assertEqual(compare_paces({"a": 1.0, "b": 1.0, "c": 5.0}), {"c": 5.0})
        self.assertEqual(compare_paces({"a": 2.0, "b": 2.0, "c": 10.0}), {"c": 5.0})

    def test_ranks_that_are_all_slow_do_not_stand_out(self):
        for paces in ({}, {"a": 4.0, "b": 4.0}, {"a": 1.0, "b": 1.1}, {"a": 0.0, "b": 0.0}):
            with self.subTest(paces=paces):
                self.assertEqual(compare_paces(paces), {})

    def test_slow_rank_gets_fewer_requests_or_none(self):
        limits = {pace: limit_by_pace(6, pace) for pace in (1.0, 1.5, 1.9, 2.0, 12.0)}
        self.assertEqual(limits, {1.0: 6, 1.5: 4, 1.9: 3, 2.0: 0, 12.0: 0})

    def test_report_expires_and_streams_leave_very_slow_ranks(self):
        now, left = [0.0], []
        paces = RankPaces(lambda: now[0], left.extend)
        paces.apply_report({"a": 1.5, "b": 6.0})
        self.assertEqual((paces.pace_of("a"), paces.pace_of("b"), paces.pace_of("c")), (1.5, 6, 1))
        self.assertEqual(left, ["b"])
        now[0] = REPORT_EXPIRY_S + 0.1
        self.assertEqual(paces.pace_of("b"), 1.0)


class SlowRankMapTest(unittest.TestCase):
    def test_times_stay_exact_through_changes_of_a_layer_with_slow_ranks(self):
        for seed in range(40):
            source = random.Random(seed)
            ranks, experts = 6, 12
            row = tuple((expert % ranks,) for expert in range(experts))
            tokens = [source.uniform(1, 100) for _ in range(experts)]
            paces = [source.choice((1.0, 1.0, 3.0, 12.0)) for _ in range(ranks)]
            state = LayerState(row, tokens, [1.0] * ranks, 4, paces)
            for _ in range(30):
                change = state.find_change()
                if change is None:
                    break
                state.apply(change)
                expected = measure_times(state.copy_row(), tokens, state.shares, paces)
                self.assertLessEqual(
                    max(abs(one - two) for one, two in zip(state.times, expected)), 1e-6
                )

    def test_experts_leave_a_slow_rank_within_a_few_switches(self):
        profile = ExpertProfile(4, 64, 5, 2, 0.1)
        rows = tuple(tuple((expert % 16,) for expert in range(64)) for _ in range(4))
        counts = [100.0] * 256
        paces = [12.0] + [1.0] * 15
        skews = []
        for _ in range(4):
            plan = plan_map(rows, counts, 16, profile, max_copies=1, paces=paces)
            if not isinstance(plan, MapPlan):
                break
            rows = plan.rows
            skews.append(plan.skew_after)
        self.assertGreater(skews[0], skews[-1])
        self.assertLess(skews[-1], 2.0)
        for row in rows:
            self.assertTrue(all(row))
            for rank in range(16):
                self.assertLessEqual(sum(rank in ranks for ranks in row), 5)


class SlowRankDutyTest(unittest.TestCase):
    def run_duty(self, gaps, pace):
        """Run a duty whose event gaps are `gaps` in turn, five seconds each; rank 2 has `pace`."""

        async def main():
            model = GroupModel()
            model.ranks[2].pace = pace
            loop = asyncio.get_running_loop()
            gap, reports, seen = [gaps[0]], [], []
            read_report = model.read_report

            async def count_reports(address):
                reports.append(address)
                return await read_report(address)

            model.read_report = count_reports
            ranks = [
                (rank, replace(profile, max_event_gap_s=0.12))
                for rank, profile in build_ranks(model)
            ]
            duty = MapDuty(
                model, lambda: ranks, FakeMapLease(), loop.time, lambda group: gap[0],
                on_paces=lambda slow: None,
            )  # fmt: skip
            tasks = [loop.create_task(model.run()), loop.create_task(duty.run())]
            for gap[0] in gaps:
                reports.clear()
                await asyncio.sleep(5.0)
                seen.append((duty.list_slow_ranks(), len(reports)))
                model.ranks[2].pace = 1.0 if gap[0] > 0.12 and len(seen) > 1 else pace
            await cancel_tasks(*tasks, *duty.list_tasks())
            return seen

        return run_auto_advance(main())

    def test_slow_rank_is_found_while_steps_are_late_and_forgotten_after(self):
        seen = self.run_duty((0.3, 0.3, 0.3), 5.0)
        self.assertEqual([slow for slow, _ in seen], [{"i2": 5.0}, {"i2": 5.0}, {}])

    def test_reports_are_not_read_while_steps_are_short(self):
        (slow, _), (_, reads) = self.run_duty((0.04, 0.04), 5.0)
        self.assertEqual(slow, {})
        self.assertLess(reads, 20)

    def test_reports_are_read_at_most_once_a_second_without_a_slow_rank(self):
        _, (slow, reads) = self.run_duty((0.3, 0.3), 1.0)
        self.assertEqual(slow, {})
        self.assertLess(reads, 40)


if __name__ == "__main__":
    unittest.main()
