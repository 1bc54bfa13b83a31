from __future__ import annotations

import math
import random
import unittest
from unittest.mock import patch

from magnoliarouter.core.spillover import (
    CallCost,
    SpilloverState,
    ZoneChoice,
    ZoneRoom,
    choose_zones,
    estimate_gain_s,
)
from magnoliarouter.core.work import CallWork
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.platform.configuration import decode_configuration
from magnoliarouter.tests.platform_standin import build_configuration
from magnoliarouter.tests.zoneplay import WORK, ZonePlay, build_profile

# The first token within the target for 95 in 100 calls.
IN_TIME = 0.95
DELAYS_S = {"a": 0.001, "b": 0.001, "c": 0.001}
COST = CallCost(slows_others=True, gain_s=0.1, bytes=3000)


def build_state(now=0.0, **requests):
    state = SpilloverState()
    rooms = {zone: ZoneRoom(count, 100) for zone, count in requests.items()}
    state.observe(rooms, now)
    return state


def choose(state, cost=COST, delays_s=None, senders=1.0, seed=1, calls=400):
    """Return the share of calls that leave, and the reasons of all."""
    rng = random.Random(seed)
    plans = [
        choose_zones(state, "a", cost, delays_s or DELAYS_S, senders, rng) for _ in range(calls)
    ]
    return sum(bool(plan.zones) for plan in plans) / calls, {plan.choice for plan in plans}


class DecisionTest(unittest.TestCase):
    def test_nothing_leaves_a_zone_that_has_room(self):
        self.assertEqual(choose(build_state(a=70, b=0, c=0)), (0.0, {None}))

    def test_share_grows_as_the_zone_fills(self):
        shares = [choose(build_state(a=load, b=10, c=10))[0] for load in (80, 85, 90, 95, 100)]
        self.assertEqual(shares, sorted(shares))
        self.assertEqual((shares[0], shares[-1]), (0.0, 1.0))

    def test_call_that_slows_no_other_stays_longer(self):
        quiet = CallCost(slows_others=False, gain_s=0.1)
        self.assertEqual(choose(build_state(a=89, b=0), quiet)[0], 0.0)
        self.assertGreater(choose(build_state(a=89, b=0), COST)[0], 0.0)

    def test_call_without_a_place_leaves_for_any_zone_with_room(self):
        state = build_state(a=100, b=100, c=40)
        rng = random.Random(1)
        plan = choose_zones(state, "a", None, DELAYS_S, 10.0, rng)
        self.assertEqual((plan.zones, plan.choice), (("c",), ZoneChoice.FULL))

    def test_reserve_of_the_neighbour_is_left_to_its_own_callers(self):
        self.assertEqual(
            choose(build_state(a=100, b=96, c=96), None), (0.0, {ZoneChoice.KEPT_RESERVE})
        )

    def test_rising_neighbour_keeps_more_than_its_reserve(self):
        state = build_state(a=100, b=40)
        for step in range(1, 6):
            state.observe({"a": ZoneRoom(100, 100), "b": ZoneRoom(40 + 10 * step, 100)}, 0.2 * step)
        self.assertEqual(choose(state, None)[0], 0.0)
        state.observe({"a": ZoneRoom(100, 100), "b": ZoneRoom(90, 100)}, 6.0)
        self.assertEqual(choose(state, None)[0], 1.0)

    def test_call_stays_if_the_way_costs_more_than_it_saves(self):
        state, cost = build_state(a=97, b=0), CallCost(True, 0.01)
        far = {"a": 0.0, "b": 0.008}
        self.assertIn(ZoneChoice.KEPT_COST, choose(state, cost, far)[1])
        self.assertEqual(choose(state, cost, far)[0], 0.0)
        self.assertEqual(choose(state, None, far)[0], 1.0)

    def test_small_calls_leave_rather_than_large_ones(self):
        state = build_state(a=88, b=0)
        state.record_bytes(3000)
        small, large = (choose(state, CallCost(True, 0.1, size))[0] for size in (1500, 9000))
        self.assertGreater(small, large)
        self.assertGreater(large, 0.0)

    def test_zone_of_few_places_keeps_one(self):
        state = SpilloverState()
        state.observe({"a": ZoneRoom(6, 6), "b": ZoneRoom(5, 6), "c": ZoneRoom(6, 6)}, 0.0)
        self.assertEqual(choose(state, None)[0], 0.0)
        state.observe({"a": ZoneRoom(6, 6), "b": ZoneRoom(4, 6), "c": ZoneRoom(6, 6)}, 9.0)
        self.assertEqual(choose(state, None)[0], 1.0)

    def test_call_that_was_kept_back_leaves_when_it_asks_again(self):
        """98 daemons wait for a free place: none asks more than twice."""
        for seed in range(50):
            state, rng = build_state(a=100, b=90, c=100), random.Random(seed)
            plans = [choose_zones(state, "a", None, DELAYS_S, 66.0, rng) for _ in range(2)]
            self.assertTrue(plans[0].zones or plans[1].zones)

    def test_daemons_that_see_the_same_places_send_no_more_than_these(self):
        """34 daemons in one moment, whose zones are full, see four places beyond the reserve."""
        sent = 0
        for seed in range(34 * 100):
            share, _ = choose(build_state(a=100, b=91), None, senders=34.0, seed=seed, calls=1)
            sent += share
        self.assertLessEqual(sent / 100, 9)

    def test_nearest_zones_come_first_and_equal_ones_by_room(self):
        state, rng = build_state(a=100, b=50, c=80, d=0), random.Random(1)
        delays = {**DELAYS_S, "d": 0.01}
        plans = [choose_zones(state, "a", None, delays, 1.0, rng).zones for _ in range(300)]
        self.assertEqual({plan[-1] for plan in plans}, {"d"})
        first = [plan[0] for plan in plans]
        self.assertGreater(first.count("b"), first.count("c"))
        self.assertGreater(first.count("c"), 0)

    def test_gain_is_what_running_requests_or_the_next_place_would_take(self):
        self.assertAlmostEqual(estimate_gain_s(False, 0.001, 0.01, 100, 5), 0.2)
        self.assertAlmostEqual(estimate_gain_s(True, 0.004, 0.01, 100, 5), 0.4)


class LoadTest(unittest.TestCase):
    """What callers get, and what leaves their zone; places for 40 requests in each zone."""

    def check_in_time(self, play):
        for zone in play.asked:
            self.assertGreaterEqual(play.share_in_time(zone), IN_TIME, zone)
        self.assertEqual(play.waited_in_vain, 0)

    def play(self, seconds=10, keeps_zone=True, seed=1, **shares):
        play = ZonePlay(seed, keeps_zone=keeps_zone)
        for zone, share in shares.items():
            play.offer(zone, 0, seconds, share)
        play.run(seconds + 2)
        return play

    def test_zone_with_one_and_a_half_times_its_room(self):
        by_need = self.play(a=1.5, b=0.6, c=0.6)
        by_load = self.play(a=1.5, b=0.6, c=0.6, keeps_zone=False)
        self.check_in_time(by_need)
        self.assertLess(by_need.share_left(), by_load.share_left())
        # What does not fit into the zone has to leave it: a third of its calls.
        self.assertLess(by_need.left["b"] + by_need.left["c"], by_need.left["a"] / 3)

    def test_load_that_turns_every_six_seconds(self):
        play = ZonePlay(2)
        for turn in range(4):
            for index, zone in enumerate("abc"):
                play.offer(zone, 6 * turn, 6 * turn + 6, 1.5 if index == turn % 3 else 0.6)
        play.run(26)
        self.check_in_time(play)

    def test_almost_nothing_leaves_zones_with_equal_load(self):
        play = self.play(a=0.6, b=0.6, c=0.6)
        self.check_in_time(play)
        self.assertLess(play.share_left(), 0.01)

    def test_full_neighbours_get_nothing(self):
        play = ZonePlay(daemons=9)
        play.occupy("b", 1.0, play.now + 6)
        play.occupy("c", 1.0, play.now + 6)
        play.offer("a", 0.1, 5, 1.5)
        play.run(5.5)
        self.assertEqual(play.left.total(), 0)

    def test_neighbour_that_returns_empty_is_not_overrun(self):
        """34 daemons with waiting calls hear in one moment that 40 places are free."""
        play = ZonePlay(daemons=34)
        play.occupy("b", 1.0, play.now + 3)
        play.offer("a", 0, 6, 1.5)
        play.offer("c", 0, 6, 1.5)
        play.run(2.9)
        self.assertEqual(play.peak["b"], 0)
        play.run(0.4)
        self.assertGreater(play.left.total(), 0)
        self.assertLessEqual(play.peak["b"], play.limit)

    def test_burst_of_34_daemons_at_once_does_not_overrun_the_neighbour(self):
        """All daemons of the full zones have a call in the same moment; b has eight places."""
        peaks = []
        for seed in range(20):
            play = ZonePlay(seed, daemons=34)
            play.occupy("a", 1.0, play.now + 2)
            play.occupy("c", 1.0, play.now + 2)
            play.occupy("b", 0.8, play.now + 2)
            play.run(0.5)
            for table in play.tables:
                if table.zone != "b":
                    play.at(play.now, play.ask, table, play.now)
            play.run(0.003)
            self.assertGreater(play.left.total(), 0)
            peaks.append(play.peak["b"])
        self.assertLessEqual(sum(peaks) / len(peaks), play.limit)

    def test_nothing_is_sent_to_a_zone_that_is_cut_off(self):
        play = ZonePlay()
        play.cut = {"b"}
        play.offer("a", 0, 4, 1.5)
        play.offer("c", 0, 4, 0.4)
        play.run(5)
        self.assertEqual(play.peak["b"], 0)
        self.assertGreaterEqual(play.share_in_time("a"), IN_TIME)


class TableTest(unittest.TestCase):
    """Services that ask for none of it, and what operators see."""

    def build_tables(self, zones):
        tables = []
        for with_profile in (True, False):
            table = EndpointTable("a", random.Random(3))
            table.find_profile = lambda service, on=with_profile: (build_profile() if on else None)
            for index, zone in enumerate(zones):
                table.put(Endpoint(f"e{index}", "app", f"e{index}:1", zone, 2))
            tables.append(table)
        return tables

    def fill(self, table):
        chosen = []
        while (endpoint := table.choose("app", set(), 2.0, WORK)) is not None:
            table.start_request(endpoint.identity, WORK)
            chosen.append(endpoint.identity)
        return chosen

    def test_services_of_one_zone_or_of_unknown_zones_are_served_as_before(self):
        for zones in ("aaaa", "bbbb", "bcbc"):
            with_profile, without = self.build_tables(zones)
            self.assertEqual(self.fill(with_profile), self.fill(without))

    def test_zone_whose_endpoints_return_between_two_counts(self):
        table, _ = self.build_tables("abc")
        for back in ("a", "abc"):
            out = {"a", "b", "c"} - set(back)
            table.is_unavailable = lambda endpoint, out=out: endpoint.zone in out
            self.assertIsNotNone(table.choose("app", set(), 1.0, WORK))
        table.is_unavailable = lambda endpoint: endpoint.zone == "a"
        self.assertIsNotNone(table.choose("app", set(), 2.0, WORK))
        table.is_unavailable = lambda endpoint: False
        self.assertIsNotNone(table.choose("app", set(), 2.0, WORK))
        table.is_unavailable = lambda endpoint: True
        self.assertIsNone(table.choose("app", set(), 2.0, WORK))

    def test_callers_of_a_zone_that_lost_its_places_share_those_of_all(self):
        """Two of three endpoints of a stop taking calls; the last place of b is no reserve then."""
        with_profile, _ = self.build_tables("aaabbb")
        self.assertIsNotNone(with_profile.choose("app", set(), 1.0, WORK))
        with_profile.is_unavailable = lambda endpoint: endpoint.identity in ("e1", "e2")
        self.assertEqual(len(self.fill(with_profile)), 8)

    def test_service_without_a_profile_goes_by_load(self):
        _, table = self.build_tables("ab")
        self.assertEqual(self.fill(table), ["e0", "e1", "e0", "e1"])
        self.assertEqual(table.overflow.totals.total(), 0)

    def test_switched_off_it_goes_by_load(self):
        table, _ = self.build_tables("ab")
        table.overflow.is_enabled = False
        self.assertEqual(self.fill(table), ["e0", "e1", "e0", "e1"])

    def test_call_that_left_is_counted_logged_once_and_shown(self):
        table, _ = self.build_tables("aabbbbbbbbbbbbbbbbbbbb")
        counted = []
        table.overflow.count = counted.append
        with patch("magnoliarouter.gateway.overflow.log_event") as log:
            for _ in range(12):
                endpoint = table.choose("app", set(), 1.0, WORK)
                table.start_request(endpoint.identity, WORK)
            self.assertEqual([call.args[0] for call in log.mock_calls], ["zone_overflow_started"])
            for now in (2.0, 9.0):
                table.choose("app", set(), now, CallWork())
        self.assertIn("left_full", counted)
        self.assertEqual(log.mock_calls[-1].args[0], "zone_overflow_ended")
        self.assertEqual(log.mock_calls[-1].kwargs["calls"], table.overflow.totals["left_full"])
        view = table.overflow.describe()["services"]["app"]
        self.assertEqual(view["fullness"]["a"], 1.0)

    def test_choice_that_no_call_follows_is_not_counted(self):
        table, _ = self.build_tables("ab")
        self.fill(table)
        before = dict(table.overflow.totals)
        table.choose("app", set(), 1.0, WORK)
        self.assertEqual(dict(table.overflow.totals), before)


class ReducedZoneTest(unittest.TestCase):
    def observe(self, *limits):
        state = SpilloverState()
        for now, places in enumerate(((100, 100, 100), limits)):
            rooms = {zone: ZoneRoom(10, limit) for zone, limit in zip("abc", places)}
            state.observe(rooms, float(now))
        return state

    def test_zone_that_lost_its_places_is_reduced(self):
        state = self.observe(30, 100, 100)
        self.assertEqual([state.is_reduced(zone) for zone in "abc"], [True, False, False])
        self.assertTrue(state.is_reduced("unknown"))

    def test_no_zone_is_reduced_where_all_endpoints_get_fewer_requests(self):
        state = self.observe(60, 60, 60)
        self.assertEqual([state.is_reduced(zone) for zone in "abc"], [False] * 3)


class ConfigurationTest(unittest.TestCase):
    def decode(self, **fields):
        value = build_configuration(1)
        engine = {"slots": 5, "step_ms": 4.5, **fields}
        value["services"][0]["engine"] = engine
        return decode_configuration(value).services[value["services"][0]["name"]].profile

    def test_delays_between_zones(self):
        delays = [
            {"from": "a", "target_version": "b", "delay_ms": 1.4},
            {"from": "b", "target_version": "c", "delay_ms": 3},
            {"from": "c", "target_version": "b", "delay_ms": 4},
        ]
        profile = self.decode(delays=delays, kv_tokens=1000)
        self.assertEqual(profile.memory_tokens, 1000)
        pairs = {"ab": 0.0014, "ba": 0.0014, "bc": 0.003, "cb": 0.004}
        for (one, other), delay_s in pairs.items():
            self.assertAlmostEqual(profile.zone_delay_s(one, other), delay_s)
        self.assertEqual(profile.zone_delay_s("a", "c"), self.decode().zone_delay_s("a", "c"))

    def test_malformed_fields_are_logged_and_count_as_not_given(self):
        pair = {"from": "a", "target_version": "b"}
        bad_delays = (5, "x", {"a": 1}, [pair], [{**pair, "delay_ms": -1}], [["a"]])
        cases = [("delays", value) for value in bad_delays]
        cases += [("kv_tokens", value) for value in (-1, "x", math.nan, math.inf, 1e300, [])]
        for name, value in cases:
            with self.subTest(name=name, value=value):
                with patch("magnoliarouter.platform.configuration.log_event") as log:
                    profile = self.decode(**{name: value})
                self.assertEqual((profile.zone_delays_s, profile.memory_tokens), ({}, 0))
                log.assert_called_once()
                self.assertIn(name, log.mock_calls[0].kwargs["field"])


if __name__ == "__main__":
    unittest.main()
