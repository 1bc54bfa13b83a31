from __future__ import annotations

import unittest
from functools import cache

from magnoliarouter.tests import hardloadbuilders as builders
from magnoliarouter.tests.hardload import play
from magnoliarouter.tests.hardloadreport import find_missed

DAEMONS = 9

play_once = cache(play)


class LoadTargets:
    """Targets of every load; a subclass names the builder of its load, and the daemons' setting."""

    build = staticmethod(builders.build_light)
    admission = "arrival"

    def setUp(self):
        self.report = play_once(type(self).build, DAEMONS, 1, self.admission)
        self.missed = find_missed(self.report)

    def test_no_kind_and_no_account_is_left_out(self):
        self.assertIsNone(self.missed.get("floor"))

    def test_large_prompts_are_served_half_as_often_as_all(self):
        self.assertIsNone(self.missed.get("large prompts"))

    def test_urgent_kinds_are_served_as_often_as_less_urgent_ones(self):
        self.assertIsNone(self.missed.get("urgency"))

    def test_refusals_come_at_once(self):
        self.assertIsNone(self.missed.get("refusal time"))

    def test_places_are_used_while_calls_wait(self):
        self.assertIsNone(self.missed.get("unused places"))


class LightTest(LoadTargets, unittest.TestCase):
    def test_all_are_served_in_time(self):
        self.assertEqual(self.report.refusal_times(), [])
        self.assertEqual(self.report.share(), 1.0)

    def test_same_seed_gives_the_same_play(self):
        again = play(builders.build_light, DAEMONS)
        self.assertEqual(again.describe(), self.report.describe())


class KindBurstTest(LoadTargets, unittest.TestCase):
    build = staticmethod(builders.build_kind_burst)

    def test_refused_callers_return_once(self):
        refusals = [len(fate.refusals) for fate in self.report.fates if not fate.served]
        self.assertEqual(max(refusals), 2)


class KindBurstByNeedTest(KindBurstTest):
    admission = "auto"


class UrgentBurstTest(LoadTargets, unittest.TestCase):
    build = staticmethod(builders.build_urgent_burst)


class LargeAccountTest(LoadTargets, unittest.TestCase):
    build = staticmethod(builders.build_large_account)

    def test_accounts_that_ask_for_little_are_served_as_often_as_all(self):
        self.assertIsNone(self.missed.get("small accounts"))


class LargeAccountByNeedTest(LargeAccountTest):
    admission = "auto"


class LargePromptsTest(LoadTargets, unittest.TestCase):
    build = staticmethod(builders.build_large_prompts)


class UnevenZonesTest(LoadTargets, unittest.TestCase):
    build = staticmethod(builders.build_uneven_zones)


class TurningZonesTest(LoadTargets, unittest.TestCase):
    build = staticmethod(builders.build_turning_zones)


class EvacuationTest(LoadTargets, unittest.TestCase):
    build = staticmethod(builders.build_evacuation)


class StartTest(LoadTargets, unittest.TestCase):
    build = staticmethod(builders.build_start)


class HalvingTest(LoadTargets, unittest.TestCase):
    build = staticmethod(builders.build_halving)


if __name__ == "__main__":
    unittest.main()
