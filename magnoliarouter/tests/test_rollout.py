from __future__ import annotations

import unittest

from magnoliarouter.standins.bench.rollout_judge import AcceptedChange, Outage, PropagationTracker


class PropagationTrackerTest(unittest.TestCase):
    def setUp(self):
        self.tracker = PropagationTracker()
        self.tracker.record_accepted(AcceptedChange("grower", 7, 10.0))

    def measure_propagation(self, *outages):
        return self.tracker.measure_propagation({"one": list(outages)})

    def test_first_report_of_the_version_or_a_newer_one_counts(self):
        for version, at in ((5, 10.1), (8, 10.5), (9, 11.0)):
            self.tracker.record_versions("one", {"grower": version}, at)
        self.assertEqual(self.measure_propagation(), [0.5])

    def test_change_never_seen_is_infinite(self):
        self.tracker.record_versions("one", {"grower": 6}, 11.0)
        self.assertEqual(self.measure_propagation(), [float("inf")])

    def test_time_before_the_end_of_an_outage_does_not_count(self):
        self.tracker.record_versions("one", {"grower": 7}, 16.0)
        self.assertEqual(self.measure_propagation(Outage(9.0, 15.0)), [1.0])
        self.assertEqual(self.measure_propagation(Outage(2.0, 9.0), Outage(17.0, 20.0)), [6.0])

    def test_older_version_at_the_same_daemon_is_a_revert(self):
        self.tracker.record_versions("one", {"grower": 7}, 11.0)
        self.tracker.record_versions("two", {"grower": 6}, 11.5)
        self.assertEqual(self.tracker.reverts, [])
        self.tracker.record_versions("one", {"grower": 6}, 12.0)
        self.assertEqual(self.tracker.reverts, ["one went from 7 to 6 of grower"])
