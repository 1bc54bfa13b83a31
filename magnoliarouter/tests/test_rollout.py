from __future__ import annotations

import unittest

from magnoliarouter.standins.bench.rollout_judge import Absence, Accepted, RolloutJudge


class RolloutJudgeTest(unittest.TestCase):
    def setUp(self):
        self.judge = RolloutJudge()
        self.judge.accept(Accepted("grower", 7, 10.0))

    def measure(self, *absences):
        return self.judge.measure({"one": list(absences)})

    def test_first_sighting_of_the_version_or_a_newer_one_counts(self):
        for version, at in ((5, 10.1), (8, 10.5), (9, 11.0)):
            self.judge.see("one", {"grower": version}, at)
        self.assertEqual(self.measure(), [0.5])

    def test_change_never_seen_is_infinite(self):
        self.judge.see("one", {"grower": 6}, 11.0)
        self.assertEqual(self.measure(), [float("inf")])

    def test_time_before_an_absence_ended_does_not_count(self):
        self.judge.see("one", {"grower": 7}, 16.0)
        self.assertEqual(self.measure(Absence(9.0, 15.0)), [1.0])
        self.assertEqual(self.measure(Absence(2.0, 9.0), Absence(17.0, 20.0)), [6.0])

    def test_older_version_at_the_same_daemon_is_a_revert(self):
        self.judge.see("one", {"grower": 7}, 11.0)
        self.judge.see("two", {"grower": 6}, 11.5)
        self.assertEqual(self.judge.reverts, [])
        self.judge.see("one", {"grower": 6}, 12.0)
        self.assertEqual(self.judge.reverts, ["one went from 7 to 6 of grower"])
