from __future__ import annotations

import unittest
from functools import cache

from magnoliarouter.core.coldstart import ColdLimit, plan_cold_rate
from magnoliarouter.core.evacuations import RETURN_S
from magnoliarouter.tests.hardloadbuilders import ENDPOINTS_PER_ZONE, SLOTS, ZONES
from magnoliarouter.tests.hardloadreport import UNUSED_SHARE
from magnoliarouter.tests.test_coldstart import OVER, SLACK, count_allowed, count_most
from magnoliarouter.tests.zonereturn import BACK_S, END_S, leave_and_return, play_return

COLD_S, COLD_PER_S = 3.0, 13.0
COLD_LIMIT = ColdLimit(COLD_S, plan_cold_rate(COLD_PER_S, OVER, SLACK))
ZONE_PLACES = ENDPOINTS_PER_ZONE * SLOTS
# Places that become free in the time in which calls look for one, and count as used.
FREE_PLACES = 10

play = cache(play_return)


class ReturnTest(unittest.TestCase):
    """A zone that is taken back at full load, and what all daemons together send there."""

    def check_no_jump(self, player, zone, back):
        """Check what reaches each endpoint of a zone while it is cold."""
        for name, times in player.arrivals(zone).items():
            cold = [at for at in times if back <= at < back + COLD_S]
            self.assertLessEqual(count_most(cold), count_allowed(COLD_PER_S), name)
        self.check_load_follows_the_slots(player, zone, back)

    def check_load_follows_the_slots(self, player, zone, back):
        for sample in player.samples:
            if back <= sample.at < back + RETURN_S:
                share = (sample.at - back) / RETURN_S
                limit = 1 + int((SLOTS - 1) * share)
                # Daemons that choose at the same moment, before they hear of each other.
                overshoot = len(player.names)
                most = min(ENDPOINTS_PER_ZONE * limit + overshoot, ZONE_PLACES)
                self.assertLessEqual(sample.running[zone], most, sample)

    def check_places_are_used(self, player):
        """Check that no more places than the target allows are free while calls wait."""
        self.assertLessEqual(player.measure_unused(0.0, END_S), UNUSED_SHARE)

    def check_nobody_is_refused_for_it(self, player, start):
        refused = player.count_refused(start, END_S, FREE_PLACES)
        self.assertLessEqual(refused, 0.02 * len(player.fates))

    def test_warm_zone_is_used_at_once(self):
        for daemons in (9, 34):
            with self.subTest(daemons=daemons):
                player = play(daemons, *leave_and_return(ZONES[0]))
                self.check_load_follows_the_slots(player, ZONES[0], BACK_S)
                self.check_places_are_used(player)
                self.check_nobody_is_refused_for_it(player, BACK_S + RETURN_S)

    def test_cold_zone_keeps_to_its_bound(self):
        for daemons in (9, 34, 98):
            with self.subTest(daemons=daemons):
                changes = leave_and_return(ZONES[0], cold_s=COLD_S)
                player = play(daemons, *changes, cold_limit=COLD_LIMIT)
                self.check_no_jump(player, ZONES[0], BACK_S)

    def test_two_zones_in_turn(self):
        first, second = ZONES[:2]
        changes = (
            *leave_and_return(first, 0.5, 2.0),
            *leave_and_return(second, 2.0, 3.5, COLD_S),
        )
        player = play(9, *changes, cold_limit=COLD_LIMIT)
        self.check_no_jump(player, first, 2.0)
        self.check_no_jump(player, second, 3.5)

    def test_all_zones_at_once(self):
        changes = [one for zone in ZONES for one in leave_and_return(zone)]
        player = play(9, *changes, cold_limit=COLD_LIMIT)
        for zone in ZONES:
            self.check_no_jump(player, zone, BACK_S)
        end = player.samples[int((BACK_S + COLD_S) / player.SAMPLE_S)]
        self.assertGreater(sum(end.running.values()), 0.5 * 3 * ZONE_PLACES)

    def test_zone_that_is_evacuated_again_while_it_returns(self):
        again = BACK_S + RETURN_S / 2
        changes = (*leave_and_return(ZONES[0]), *leave_and_return(ZONES[0], again, again + 1.0))
        player = play(9, *changes, cold_limit=COLD_LIMIT)
        for times in player.arrivals(ZONES[0]).values():
            self.assertEqual([at for at in times if again < at < again + 1.0], [])
        self.check_no_jump(player, ZONES[0], again + 1.0)


if __name__ == "__main__":
    unittest.main()
