from __future__ import annotations

import doctest
import unittest

from magnoliarouter.core import pace
from magnoliarouter.core.pace import (
    REMEMBERED_S,
    StepCosts,
    StretchMemory,
    limit_mean_requests,
    measure_stretch,
    round_for,
)

COSTS = StepCosts(0.004, 0.002, 5)


class StepCostsTest(unittest.TestCase):
    def test_examples(self):
        self.assertEqual(doctest.testmod(pace).failed, 0)

    def test_unknown_figures_limit_nothing(self):
        self.assertTrue(COSTS.is_known())
        for costs in (StepCosts(0.0, 0.002, 5), StepCosts(0.004, 0.0, 5), StepCosts(0.004, 0.1, 0)):
            self.assertFalse(costs.is_known(), costs)

    def test_stretch_is_what_the_gap_was_longer_by(self):
        for requests in (1.0, 2.5, 5.0):
            for stretch in (1.0, 1.7, 4.0):
                gap_s = COSTS.expect_gap_s(requests, stretch)
                self.assertAlmostEqual(measure_stretch(COSTS, gap_s, requests), stretch)

    def test_few_requests_are_not_taken_for_a_stretch(self):
        gap_s = COSTS.expect_gap_s(1.0)
        self.assertEqual(measure_stretch(COSTS, gap_s, 0.1), 1.0)
        self.assertEqual(measure_stretch(COSTS, 0.0, 3.0), 1.0)


class LimitTest(unittest.TestCase):
    def test_worst_step_is_within_the_longest_acceptable_gap(self):
        for stretch in (1.0, 1.5, 2.0, 3.0):
            requests = limit_mean_requests(COSTS, stretch, 0.15)
            self.assertLess(COSTS.expect_gap_s(requests, stretch), 0.15)

    def test_nobody_is_starved_however_long_steps_are(self):
        self.assertEqual(limit_mean_requests(COSTS, 1000.0, 0.15), 2.0)
        self.assertEqual(limit_mean_requests(StepCosts(0.001, 0.002, 5), 1000.0, 0.15), 1.0)

    def test_limits_of_endpoints_have_the_limit_as_their_mean(self):
        endpoints = [f"endpoint-{number}" for number in range(400)]
        for requests in (2.0, 2.5, 2.9):
            limits = [round_for(requests, endpoint) for endpoint in endpoints]
            self.assertLessEqual(set(limits), {2, 3})
            self.assertAlmostEqual(sum(limits) / len(limits), requests, delta=0.08)
            self.assertEqual(limits, [round_for(requests, endpoint) for endpoint in endpoints])


class StretchMemoryTest(unittest.TestCase):
    def test_worst_step_counts_for_a_limited_time(self):
        memory = StretchMemory()
        self.assertIsNone(memory.read_worst(0.0))
        memory.record(3.0, 0.0)
        memory.record(1.2, 1.0)
        self.assertEqual(memory.read_worst(REMEMBERED_S), 3.0)
        self.assertEqual(memory.read_worst(REMEMBERED_S + 0.1), 1.2)
        self.assertIsNone(memory.read_worst(REMEMBERED_S + 1.1))

    def test_memory_is_bounded_by_the_steps_that_may_still_count(self):
        memory = StretchMemory()
        for number in range(10_000):
            memory.record(3.0 - number * 1e-4, number * 0.05)
            memory.read_worst(number * 0.05)
        self.assertLessEqual(len(memory._worst), REMEMBERED_S / 0.05 + 2)
