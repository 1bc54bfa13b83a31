from __future__ import annotations

import unittest

from magnoliarouter.gateway.pauses import MEAN_EXPIRY_S, EventGapMeter, limit_requests

GROUPS = {"e1": "g0", "e2": "g0", "e3": "g1"}


class EventGapTest(unittest.TestCase):
    def setUp(self):
        self.now = 0.0
        self.meter = EventGapMeter(lambda: self.now, lambda name: GROUPS.get(name, ""))

    def test_ranks_of_a_group_share_one_mean(self):
        for number in range(20):
            self.meter.record(f"e{number % 2 + 1}", 0.08)
        self.meter.record("e3", 0.04)
        self.assertAlmostEqual(self.meter.mean_gap("g0"), 0.08)
        self.assertAlmostEqual(self.meter.mean_gap_at("e2"), 0.08)
        self.assertAlmostEqual(self.meter.mean_gap("g1"), 0.04)

    def test_longer_gaps_show_within_two_steps_of_five_streams(self):
        for _ in range(20):
            self.meter.record("e1", 0.06)
        for _ in range(10):
            self.meter.record("e1", 0.12)
        self.assertGreater(self.meter.mean_gap("g0"), 0.11)

    def test_mean_is_unknown_without_streams(self):
        self.assertIsNone(self.meter.mean_gap("g0"))
        self.meter.record("e1", 0.08)
        self.now = MEAN_EXPIRY_S + 0.01
        self.assertIsNone(self.meter.mean_gap("g0"))
        self.meter.record("e1", 0.03)
        self.assertAlmostEqual(self.meter.mean_gap("g0"), 0.03)

    def test_endpoint_without_a_group_is_ignored(self):
        self.meter.record("e9", 5.0)
        self.assertIsNone(self.meter.mean_gap_at("e9"))

    def test_fewer_requests_where_gaps_are_near_the_maximum(self):
        limits = [limit_requests(6, recent, 0.12) for recent in (None, 0.05, 0.09, 0.2)]
        self.assertEqual(limits, [6, 6, 5, 4])
        self.assertEqual(limit_requests(6, 0.2, None), 6)
        self.assertEqual(limit_requests(1, 0.2, 0.12), 1)
