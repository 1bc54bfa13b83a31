from __future__ import annotations

import asyncio
import random
import unittest
import unittest.mock
from dataclasses import replace

from magnoliarouter.cli.status import _format_gateway
from magnoliarouter.core.coldstart import (
    MAX_COLD_S,
    ColdBelief,
    ColdLimit,
    check_cold_ms,
    parse_cold,
    plan_cold_rate,
)
from magnoliarouter.core.outcome import Completed, NotRun, ResultCode
from magnoliarouter.core.sharedrate import NO_LIMIT, RateNotice, SharedRate
from magnoliarouter.daemon.gatewayview import describe_gateway
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.gateway.evacuations import EvacuationWatch
from magnoliarouter.gateway.ratelimits import EndpointRates
from magnoliarouter.gateway.routes import RouteKind
from magnoliarouter.platform.configuration import decode_configuration
from magnoliarouter.platform.registry import decode_entry
from magnoliarouter.platform.settings import decode_settings
from magnoliarouter.store.validation import ValidationFailure
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.tests.clock import run_auto_advance, wait_until
from magnoliarouter.tests.platform_standin import build_configuration
from magnoliarouter.tests.raw_server import build_response
from magnoliarouter.tests.test_forward import EVENTS, FakeExchange, ForwardCase, build_route
from magnoliarouter.tests.test_gateway import GatewayCase
from magnoliarouter.tests.test_notices import build_stream, respond
from magnoliarouter.tests.test_platform import build_settings
from magnoliarouter.tests.test_ratelimits import Fleet

ENDPOINT = Endpoint("e1", "app", "127.0.0.1:1", "zone-1", 6, False, 100)
RESTARTED = replace(ENDPOINT, started_ms=200)
OVER, SLACK = 1.5, 5.0
# Time in which all daemons read a changed registration: a batch of changes, and a slow store.
REGISTRY_LAG_S = 0.9
# Shortest time in which an endpoint without other requests serves a stream of 95 tokens.
LEAST_STREAM_S = 0.54
LIMIT = ColdLimit(3.0, 8.2)


def count_allowed(per_s):
    """Return how many requests within a second the users' rule allows at a cold endpoint."""
    return per_s * OVER + SLACK


def count_most(times, window_s=1.0):
    """Return the most requests within a second."""
    times, first, most = sorted(times), 0, 0
    for last, at in enumerate(times):
        while at - times[first] > window_s:
            first += 1
        most = max(most, last - first + 1)
    return most


def build_cold_configuration(start_s=3.0, per_s=13.0, version=1):
    configuration = build_configuration(version)
    configuration["services"][0].update(cold_start_s=start_s, cold_per_s=per_s)
    return configuration


class ValueTest(unittest.TestCase):
    def test_times(self):
        for value, seconds in ((b"1500", 1.5), (b" 0 ", 0.0), (b"1,3000.5", 3.0005)):
            self.assertAlmostEqual(parse_cold(value), seconds)
        for value in (b"", b"-1", b"nan", b"inf", b"1e3", b"9" * 19, b"9" * 400, b"x", b"1,"):
            with self.subTest(value=value[:20]):
                self.assertRaisesRegex(ValueError, "valid: ", parse_cold, value)

    def test_values_of_a_registration(self):
        self.assertEqual(check_cold_ms(2500), 2.5)
        for value in (-1, float("nan"), float("inf"), 1e18, "5", None, [], True, {}):
            with self.subTest(value=value):
                self.assertRaisesRegex(ValueError, "valid: 0 to", check_cold_ms, value)

    def test_planned_rate_keeps_two_unaware_parts_within_the_bound(self):
        for per_s in (0.5, 1, 2, 13, 26, 200):
            for over, slack in ((1.5, 5), (1.0, 4), (2.0, 0), (1.0, 0)):
                rate = plan_cold_rate(per_s, over, slack)
                self.assertLessEqual(rate, per_s)
                if rate:
                    self.assertLessEqual(2 * (1 + 1.25 * rate), per_s * over + slack)


class BeliefTest(unittest.TestCase):
    def setUp(self):
        self.belief = ColdBelief()

    def until(self, start_s=0.0):
        return self.belief.until(start_s)

    def test_later_word_of_a_source_lengthens_or_shortens_it(self):
        self.belief.record_response(4.0, 10.0, 10.1)
        self.assertAlmostEqual(self.until(), 14.1)
        self.belief.record_response(1.0, 10.5, 10.6)
        self.assertAlmostEqual(self.until(), 11.6)
        self.belief.record_response(5.0, 11.0, 11.1)
        self.assertAlmostEqual(self.until(), 16.1)
        self.belief.record_entry(9.0, 12.0)
        self.belief.record_entry(6.0, 13.0)
        self.assertAlmostEqual(self.until(), 19.0)

    def test_older_word_that_arrives_late_does_not_shorten(self):
        self.belief.record_response(4.0, 10.0, 10.1)
        self.belief.record_response(0.0, 8.0, 10.05)
        self.belief.record_response(0.5, 9.0, 12.0)
        self.assertAlmostEqual(self.until(), 14.1)
        self.belief.record_response(9.0, 8.0, 9.0)
        self.assertAlmostEqual(self.until(), 14.1)

    def test_word_of_one_source_does_not_shorten_that_of_another(self):
        self.belief.record_start(10.0)
        self.belief.record_entry(0.0, 10.5)
        self.belief.record_response(0.0, 10.6, 10.7)
        self.assertAlmostEqual(self.until(start_s=3.0), 13.0)
        self.assertLess(self.until(start_s=0.0), 11.0)
        self.belief.record_peer(5.0, 11.0)
        self.assertAlmostEqual(self.until(start_s=3.0), 16.0)
        self.assertAlmostEqual(self.belief.own_until(3.0), 13.0)


class BucketTest(unittest.TestCase):
    def build(self, rate=NO_LIMIT):
        return SharedRate(RateNotice(rate, 0.0, 0.0), 0.0)

    def test_cold_rate_binds_until_its_end(self):
        bucket = self.build()
        bucket.limit_cold(2.0, 10.0, 4.0, 1.0)
        self.assertEqual(bucket.count_tokens(4.0, 1.0), 0.0)
        self.assertAlmostEqual(bucket.count_tokens(4.25, 1.0), 0.5)
        self.assertTrue(bucket.is_limited)
        bucket.count_tokens(10.0, 1.0)
        self.assertFalse(bucket.is_limited)

    def test_lower_of_two_rates_binds(self):
        for named, cold in ((5.0, 2.0), (2.0, 5.0)):
            bucket = self.build(named)
            bucket.limit_cold(cold, 10.0, 0.0, 1.0)
            self.assertEqual(bucket.rate, 2.0)
            bucket.count_tokens(11.0, 1.0)
            self.assertEqual(bucket.rate, named)

    def test_tokens_before_and_after_the_end_are_those_of_each_rate(self):
        bucket = self.build(4.0)
        bucket.limit_cold(1.0, 1.0, 0.0, 1.0)
        bucket.charge(3, 0.0, 1.0)
        self.assertAlmostEqual(bucket.count_tokens(1.5, 1.0), -3.0 + 1.0 + 0.5 * 4.0)

    def test_endpoint_that_turns_cold_again_starts_with_an_empty_bucket(self):
        bucket = self.build()
        bucket.limit_cold(2.0, 1.0, 0.0, 1.0)
        bucket.limit_cold(2.0, 9.0, 5.0, 1.0)
        self.assertEqual(bucket.count_tokens(5.0, 1.0), 0.0)


class EndpointRatesTest(unittest.TestCase):
    def setUp(self):
        self.rates = EndpointRates(find_cold_limit=lambda service: self.limit)
        self.limit = LIMIT

    def test_endpoint_of_the_first_list_is_not_cold_and_a_later_one_is(self):
        self.assertFalse(self.rates.record_entry(ENDPOINT, 10.0, during_traffic=False))
        self.assertEqual(self.rates.limit_of(ENDPOINT, 10.0), NO_LIMIT)
        self.assertFalse(self.rates.record_entry(ENDPOINT, 11.0, during_traffic=True))
        self.assertTrue(self.rates.record_entry(RESTARTED, 12.0, during_traffic=True))
        self.assertEqual(self.rates.limit_of(RESTARTED, 12.0), LIMIT.rate)
        self.assertAlmostEqual(self.rates.cold_s(RESTARTED, 14.0), 1.0)
        self.assertEqual(self.rates.limit_of(RESTARTED, 15.0), NO_LIMIT)
        self.assertTrue(self.rates.allows(RESTARTED, 15.0))

    def test_word_of_the_registration_counts_also_in_the_first_list(self):
        cold = replace(ENDPOINT, cold_s=5.0)
        self.assertTrue(self.rates.record_entry(cold, 10.0, during_traffic=False))
        self.assertAlmostEqual(self.rates.cold_s(ENDPOINT, 11.0), 4.0)
        self.rates.record_entry(replace(ENDPOINT, cold_s=None), 11.0, during_traffic=True)
        self.assertAlmostEqual(self.rates.cold_s(ENDPOINT, 11.0), 4.0)
        self.rates.record_entry(replace(ENDPOINT, cold_s=0.0), 12.0, during_traffic=True)
        self.assertEqual(self.rates.cold_s(ENDPOINT, 12.0), 0.0)

    def test_endpoint_that_turns_cold_after_a_shorter_word_starts_with_an_empty_bucket(self):
        self.rates.record_cold_response(ENDPOINT, 20.0, 0.0, 0.1)
        self.assertFalse(self.rates.allows(ENDPOINT, 0.1))
        self.rates.record_cold_response(ENDPOINT, 0.0, 1.0, 1.1)
        self.assertTrue(self.rates.allows(ENDPOINT, 1.1))
        self.rates.record_cold_response(ENDPOINT, 5.0, 8.0, 8.1)
        self.assertEqual(self.rates.count_tokens(ENDPOINT, 8.1), 0.0)

    def test_endpoints_of_a_zone_that_is_taken_back_count_as_starting(self):
        table = EndpointTable("zone-1", rates=self.rates)
        table.put(ENDPOINT)
        now = 10.0
        watch = EvacuationWatch(table, lambda: now, Metrics(), lambda: None)
        for value, cold_s in ((True, 0.0), (None, LIMIT.start_s)):
            watch.apply("zone-1", value)
            self.assertEqual(self.rates.cold_s(ENDPOINT, now), cold_s)

    def test_word_that_arrives_before_the_configuration_counts(self):
        self.limit = None
        self.rates.record_entry(replace(ENDPOINT, cold_s=5.0), 10.0, during_traffic=False)
        self.assertEqual(self.rates.limit_of(ENDPOINT, 10.0), NO_LIMIT)
        self.limit = LIMIT
        self.assertEqual(self.rates.limit_of(ENDPOINT, 11.0), LIMIT.rate)

    def test_service_without_a_cold_rate_has_no_limit(self):
        self.limit = None
        cold = replace(ENDPOINT, cold_s=5.0)
        self.assertFalse(self.rates.record_entry(cold, 10.0, during_traffic=True))
        self.assertFalse(self.rates.record_start(ENDPOINT, 10.0))
        self.assertFalse(self.rates.record_cold_response(ENDPOINT, 5.0, 10.0, 10.1))
        self.rates.record_request(ENDPOINT, 10.2)
        self.assertTrue(self.rates.allows(ENDPOINT, 10.2))
        self.assertEqual(self.rates.collect_updates(10.2), [])

    def test_word_on_an_earlier_start_does_not_concern_a_later_one(self):
        self.rates.record_entry(replace(RESTARTED, cold_s=2.0), 10.0, during_traffic=False)
        self.assertFalse(self.rates.record_cold_response(ENDPOINT, 90.0, 10.0, 10.1))
        self.assertFalse(self.rates.record_start(ENDPOINT, 10.1))
        self.assertAlmostEqual(self.rates.cold_s(RESTARTED, 10.1), 1.9)

    def test_late_registration_of_an_earlier_start_takes_back_nothing_of_a_later_one(self):
        self.rates.record_entry(RESTARTED, 10.0, during_traffic=False)
        self.rates.record_response(RESTARTED, b"1", 10.0, 10.1)
        self.rates.record_request(RESTARTED, 10.2, 3)
        tokens = self.rates.count_tokens(RESTARTED, 10.3)
        for cold_s in (None, 5.0):
            late = replace(ENDPOINT, cold_s=cold_s)
            self.assertFalse(self.rates.record_entry(late, 10.3, during_traffic=True))
        self.assertFalse(self.rates.record_entry(RESTARTED, 10.3, during_traffic=True))
        self.assertEqual(self.rates.rate_of(RESTARTED), 1.0)
        self.assertEqual(self.rates.count_tokens(RESTARTED, 10.3), tokens)

    def test_peers_learn_and_do_not_prolong_each_other(self):
        other = EndpointRates(find_cold_limit=lambda service: LIMIT)
        self.rates.record_cold_response(ENDPOINT, 2.0, 0.0, 0.0)
        now, sides = 0.0, [self.rates, other]
        while now < 3.0:
            for sender, receiver in (sides, sides[::-1]):
                if sender.allows(ENDPOINT, now):
                    sender.record_request(ENDPOINT, now)
                updates = sender.collect_updates(now)
                now += 0.1
                for update in updates:
                    receiver.apply_update("peer", 1, ENDPOINT, update, now)
            if now < 1.9:
                self.assertTrue(all(side.is_cold(ENDPOINT, now) for side in sides))
        self.assertFalse(any(side.is_cold(ENDPOINT, now) for side in sides))

    def test_update_of_a_peer_charges_the_bucket(self):
        other = EndpointRates(find_cold_limit=lambda service: LIMIT)
        for rates in (self.rates, other):
            rates.record_entry(replace(ENDPOINT, cold_s=5.0), 0.0, during_traffic=False)
        other.record_request(ENDPOINT, 1.0)
        (update,) = other.collect_updates(1.0)
        self.assertLessEqual(update.cold_ms, MAX_COLD_S * 1000)
        self.rates.apply_update("peer", 1, ENDPOINT, update, 1.0)
        tokens = [rates.count_tokens(ENDPOINT, 1.0) for rates in (self.rates, other)]
        self.assertAlmostEqual(*tokens)


class ColdFleet(Fleet):
    """Daemons before one endpoint that is cold; callers wait for it all the time."""

    def __init__(self, count, per_s, start_s=6.0, **options):
        # Whether responses tell how long the endpoint stays cold.
        self.tells = False
        # Parts of the fleet that hear nothing of each other while it is cut; 0 for those of `cut_at`.
        self.parts = 0
        super().__init__(count, 0, **options)
        self.named = None
        self.limit = ColdLimit(start_s, plan_cold_rate(per_s, OVER, SLACK))
        self.cold_from, self.cold_to = float("inf"), float("-inf")
        for daemon in self.daemons:
            self.prepare(daemon)

    def side(self, daemon):
        if self.is_cut and self.parts:
            return self.daemons.index(daemon) * self.parts // len(self.daemons)
        return super().side(daemon)

    def prepare(self, daemon):
        daemon.table.rates.find_cold_limit = lambda service: self.limit

    def receive(self, daemon):
        loop = asyncio.get_running_loop()
        now = loop.time()
        if self.cold_from <= now < self.cold_to and self.tells:
            word = (ENDPOINT, self.cold_to - now, now - 0.01)
            loop.call_later(0.02 + self.draw_delay(), self.apply_word, daemon, word)
        return super().receive(daemon)

    def announce(self, daemon):
        super().announce(daemon)
        loop, loads = asyncio.get_running_loop(), dict(daemon.table.own_requests)
        for peer in self.daemons:
            if peer is not daemon and self.side(peer) == self.side(daemon):
                delay_s = 0.001 + self.draw_delay()
                loop.call_later(delay_s, self.apply_loads, daemon.name, peer, loads)

    @staticmethod
    def apply_loads(name, peer, loads):
        peer.table.apply_peer_load(name, loads, asyncio.get_running_loop().time())
        peer.queue.schedule_wake()

    @staticmethod
    def apply_entry(daemon, entry):
        now = asyncio.get_running_loop().time()
        daemon.table.rates.record_entry(entry, now, during_traffic=True)

    def apply_word(self, daemon, word):
        now = asyncio.get_running_loop().time()
        if daemon.table.rates.record_cold_response(*word, now):
            self.announce(daemon)

    def start_endpoint(self, spread_s):
        """Let the endpoint start now; each daemon reads its entry within `spread_s`."""
        loop = asyncio.get_running_loop()
        self.cold_from, self.cold_to = loop.time(), loop.time() + self.limit.start_s
        for daemon in self.daemons:
            daemon.table.remove("e1")
            loop.call_later(random.random() * spread_s, self.add_endpoint, daemon)

    def add_endpoint(self, daemon):
        now = asyncio.get_running_loop().time()
        daemon.table.put(ENDPOINT)
        daemon.table.rates.record_entry(ENDPOINT, now, during_traffic=True)
        daemon.queue.wake()

    def cold_times(self):
        return [at for at, _ in self.arrivals if self.cold_from <= at < self.cold_to]


class FleetTest(unittest.TestCase):
    """Sums over all daemons within any second, in paused time."""

    def play(self, count, per_s, steps, **options):
        async def main():
            random.seed(f"{count} {per_s}")
            fleet = ColdFleet(count, per_s, **options)
            await steps(fleet)
            for task in fleet.tasks:
                task.cancel()
            return fleet

        return run_auto_advance(main())

    @staticmethod
    async def start(fleet, spread_s=0.6):
        for daemon in fleet.daemons:
            daemon.table.remove("e1")
        await asyncio.sleep(1.0)
        fleet.start_endpoint(spread_s)
        await asyncio.sleep(fleet.limit.start_s)

    def check(self, fleet, per_s):
        self.assertLessEqual(count_most(fleet.cold_times()), count_allowed(per_s))

    def test_sum_keeps_to_the_bound_after_a_start_and_uses_the_rate(self):
        for count in (1, 9, 34, 98):
            for per_s in (1, 13, 26):
                with self.subTest(daemons=count, per_s=per_s):
                    fleet = self.play(count, per_s, self.start, callers=2 if count < 50 else 1)
                    self.check(fleet, per_s)
                    enough = 0.6 * fleet.limit.rate * fleet.limit.start_s - 2
                    self.assertGreaterEqual(len(fleet.cold_times()), enough)

    def test_sum_keeps_to_the_bound_when_all_learn_of_the_start_at_once(self):
        for count in (9, 34, 98):
            with self.subTest(daemons=count):
                fleet = self.play(count, 13, lambda fleet: self.start(fleet, 0.0))
                self.check(fleet, 13)

    def test_daemons_without_each_others_messages_keep_to_the_bound(self):
        async def cut(fleet):
            loop = asyncio.get_running_loop()
            for daemon in fleet.daemons:
                daemon.table.remove("e1")
            await asyncio.sleep(1.0)
            fleet.start_endpoint(0.3)
            await asyncio.sleep(2.0)
            fleet.is_cut, fleet.cut_since = True, loop.time()
            await asyncio.sleep(5.0)
            fleet.is_cut, fleet.cut_since = False, float("inf")
            await asyncio.sleep(3.0)

        async def cut_in_half(fleet):
            fleet.cut_at = len(fleet.daemons) // 2
            await cut(fleet)

        async def cut_in_three(fleet):
            fleet.parts = 3
            await cut(fleet)

        for count in (9, 34, 98):
            for per_s in (1, 13, 26):
                for steps in (cut_in_half, cut_in_three):
                    with self.subTest(daemons=count, per_s=per_s, cut=steps.__name__):
                        fleet = self.play(count, per_s, steps, start_s=10.0)
                        self.check(fleet, per_s)

    def test_endpoint_that_turns_cold_is_spared_as_soon_as_its_responses_say_so(self):
        async def turn(fleet):
            loop = asyncio.get_running_loop()
            fleet.tells = True
            await asyncio.sleep(3.0)
            fleet.cold_from, fleet.cold_to = loop.time(), loop.time() + 4.0
            await asyncio.sleep(5.0)

        for count in (1, 9, 34):
            with self.subTest(daemons=count):
                fleet = self.play(count, 13, turn, callers=2)
                self.check(fleet, 13)
                after = [at for at, _ in fleet.arrivals if at > fleet.cold_to + 0.4]
                self.assertGreater(len(after), 2 * fleet.limit.rate * 0.6)

    @staticmethod
    async def turn_by_registry(fleet):
        """Let the endpoint turn cold while only its registration says so, which is read late."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(5.0)
        fleet.cold_from, fleet.cold_to = loop.time(), loop.time() + 3.0
        for daemon in fleet.daemons:
            word = (daemon, replace(ENDPOINT, cold_s=3.0))
            loop.call_later(random.uniform(0.0, REGISTRY_LAG_S), fleet.apply_entry, *word)
        await asyncio.sleep(3.5)

    def test_slots_bound_what_long_requests_send_before_the_first_word(self):
        for count in (9, 34, 98):
            with self.subTest(daemons=count):
                fleet = self.play(
                    count, 26, self.turn_by_registry, callers=2, hold_s=LEAST_STREAM_S
                )
                self.check(fleet, 26)
                self.assertGreater(len(fleet.cold_times()), 6)

    def test_what_short_requests_send_before_the_first_word_is_bounded(self):
        for count in (9, 34):
            with self.subTest(daemons=count):
                fleet = self.play(count, 26, self.turn_by_registry, callers=2, hold_s=0.022)
                self.check(fleet, 26)

    def test_daemons_that_restart_in_turn_do_not_add_to_it(self):
        async def restart(fleet):
            fleet.tells = True
            for daemon in fleet.daemons:
                daemon.table.remove("e1")
            fleet.start_endpoint(0.3)
            for daemon in fleet.daemons:
                await asyncio.sleep(1.0)
                daemon.start_again()
                fleet.prepare(daemon)
                entry = replace(ENDPOINT, cold_s=fleet.cold_to - asyncio.get_running_loop().time())
                daemon.table.rates.record_entry(
                    entry, asyncio.get_running_loop().time(), during_traffic=False
                )

        fleet = self.play(9, 13, restart, start_s=10.0)
        self.check(fleet, 13)


class ForwardColdTest(ForwardCase):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.limit = ColdLimit(3.0, 1.0)
        self.table.rates.find_cold_limit = lambda service: self.limit

    def cold_s(self, name="e1"):
        return self.table.rates.cold_s(self.table.find(name), self.clock())

    async def test_every_kind_of_response_can_tell(self):
        cold = {"X_Cold_Ms": "2000"}
        answers = {
            "success": (RouteKind.SAFE, build_response(**cold)),
            "refusal": (RouteKind.SAFE, build_response(status=503, X_Not_Executed="1", **cold)),
            "failure": (RouteKind.SAFE, build_response(status=500, **cold)),
            "stream": (RouteKind.STREAM, build_stream(*EVENTS, **cold)),
        }
        for name, (kind, answer) in answers.items():
            with self.subTest(name):
                self.table.rates = EndpointRates(find_cold_limit=lambda service: self.limit)
                self.table.outliers.forget(["e1"])
                await self.add(respond(answer))
                await self.forward(build_route(kind, 1))
                self.assertAlmostEqual(self.cold_s(), 2.0, delta=0.3)

    async def test_response_of_another_endpoint_says_nothing(self):
        await self.add(respond(build_response(status=421, stamp=None, X_Cold_Ms="2000")))
        await self.forward(build_route(RouteKind.ONCE, 1))
        self.assertEqual(self.cold_s(), 0.0)

    async def test_calls_beyond_the_rate_are_refused_with_the_time_that_is_left(self):
        await self.add(respond(build_response(X_Cold_Ms="30000")))
        await self.forward(build_route())
        self.exchange = FakeExchange()
        outcome = await self.forward(build_route())
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(outcome.code, ResultCode.ENDPOINTS_LIMITED)
        self.assertGreater(outcome.retry_after, 0.5)

    async def test_malformed_time_is_logged_once_and_changes_nothing(self):
        good, bad = (build_response(X_Cold_Ms=value) for value in ("2000", "-5"))
        await self.add(respond(good, bad))
        self.limit = ColdLimit(3.0, 1000.0)
        with unittest.mock.patch("magnoliarouter.gateway.forward.log_event") as log:
            for _ in range(4):
                self.exchange = FakeExchange()
                self.assertIsInstance(await self.forward(build_route()), Completed)
                await asyncio.sleep(0.01)
        logged = [call for call in log.call_args_list if call.args[0] == "cold_malformed"]
        self.assertEqual(len(logged), 1)
        self.assertIn("-5", logged[0].kwargs["reason"])
        self.assertGreater(self.cold_s(), 1.0)

    async def test_endpoint_that_cannot_be_connected_to_counts_as_starting(self):
        server = await self.add(respond(build_response()))
        await server.stop()
        await self.forward(build_route(RouteKind.ONCE, 1))
        self.assertGreater(self.cold_s(), 2.0)

    async def test_broken_off_streams_of_a_stalled_group_say_nothing(self):
        async def break_off(peer):
            await peer.send(build_stream(*EVENTS[:3], b"id: 4\nda"))
            peer.reset()

        await self.add(break_off)
        await self.forward(build_route(RouteKind.STREAM, 1))
        self.assertEqual(self.cold_s(), 0.0)

    async def test_service_without_a_cold_rate_is_served_as_before(self):
        self.limit = None
        await self.add(respond(build_response(X_Cold_Ms="60000")))
        for _ in range(12):
            self.exchange = FakeExchange()
            self.assertIsInstance(await self.forward(build_route()), Completed)
        self.assertEqual(self.table.rates.collect_updates(self.clock()), [])


class DaemonTest(GatewayCase):
    async def start_cold(self, *names, per_s=2.0):
        await self.store.put("config", "main", build_cold_configuration(per_s=per_s))
        daemons = [await self.start(name) for name in names or ["front-1"]]
        for daemon in daemons:
            await self.wait_ready(daemon)
        return daemons

    async def test_endpoints_of_the_first_list_are_not_cold(self):
        (daemon,) = await self.start_cold()
        statuses = [(await self.send_request(daemon))[0] for _ in range(12)]
        self.assertEqual(set(statuses), {200})

    async def test_endpoint_that_starts_during_traffic_is_spared(self):
        (daemon,) = await self.start_cold()
        await self.add_engine("e2", born=5)
        await wait_until(lambda: daemon.table.find("e2") is not None)
        now = asyncio.get_running_loop().time()
        rates = daemon.table.rates
        self.assertFalse(rates.is_cold(daemon.table.find("e1"), now))
        self.assertAlmostEqual(rates.cold_s(daemon.table.find("e2"), now), 3.0, delta=0.5)
        view = describe_gateway(daemon, now)
        self.assertRegex(_format_gateway(view), r"e2.* cold for 2\.\d+ s, 1\.6 requests/s")

    async def test_all_daemons_keep_to_the_bound_at_a_cold_endpoint(self):
        daemons = await self.start_cold("front-1", "front-2", "front-3")
        await wait_until(lambda: all(daemon.peers.read_share() == 1.0 for daemon in daemons))
        loop, times = asyncio.get_running_loop(), []
        cold = await self.add_engine("e2", cold_remaining_ms=4000, born=7)
        record = cold.heads.append

        class Heads(list):
            def append(self, head):
                times.append(loop.time())
                record(head)

        cold.heads = Heads()
        await self.store.put("servers", "e1", None)
        await wait_until(
            lambda: all(
                [one.identity for one in daemon.table.list()] == ["e2"] for daemon in daemons
            )
        )
        began = loop.time()

        async def call(daemon, number):
            while loop.time() - began < 3.0:
                await self.send_request(daemon, request_id=f"{number}")
                await asyncio.sleep(0.1 * random.random())

        await asyncio.gather(*(call(daemons[number % 3], number) for number in range(12)))
        self.assertLessEqual(count_most(times), count_allowed(2.0))
        self.assertGreater(len(times), 2)

    async def test_malformed_field_of_a_registration_leaves_the_endpoint_usable(self):
        (daemon,) = await self.start_cold()
        with unittest.mock.patch("magnoliarouter.daemon.gateway.log_event") as log:
            for sequence, value in enumerate((-1, "soon", 1e18, [2])):
                entry = self.engine.build_entry(cold_remaining_ms=value, sequence=sequence)
                await self.store.put("servers", "e1", entry)
                await asyncio.sleep(0.6)
        logged = [one for one in log.call_args_list if one.args[0] == "endpoint_field_malformed"]
        self.assertEqual(len(logged), 1)
        self.assertIn("cold_remaining_ms", logged[0].kwargs["reason"])
        statuses = [(await self.send_request(daemon))[0] for _ in range(8)]
        self.assertEqual(set(statuses), {200})

    async def test_deployment_without_cold_fields_is_served_as_before(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        await self.store.put(
            "servers", "e1", self.engine.build_entry(cold_remaining_ms=60_000, born=9)
        )
        await asyncio.sleep(0.3)
        statuses = [(await self.send_request(daemon))[0] for _ in range(12)]
        self.assertEqual(set(statuses), {200})
        self.assertEqual(daemon.peers.collect_rates(), [])


class PlatformTest(unittest.TestCase):
    def test_fields_of_a_service(self):
        config = decode_configuration(build_cold_configuration(3.0, 26.0))
        service = config.services["app"]
        self.assertEqual((service.cold_start_s, service.cold_requests_per_s), (3.0, 26.0))
        service = decode_configuration(build_configuration()).services["app"]
        self.assertEqual((service.cold_start_s, service.cold_requests_per_s), (0.0, 0.0))
        for bad in (-1.0, "5"):
            configuration = build_cold_configuration(per_s=bad)
            self.assertRaises(ValidationFailure, decode_configuration, configuration)

    def test_bounds_of_the_settings(self):
        bounds = decode_settings(build_settings(bounds={"cold_over": 2, "cold_slack": 0})).bounds
        self.assertEqual((bounds.cold_over, bounds.cold_slack), (2.0, 0.0))

    def test_field_of_a_registration(self):
        entry = {
            "service": "app",
            "address": "10.0.0.1:80",
            "zone": "z",
            "slots": 5,
            "state": "ready",
        }
        cases = ((2500, 2.5, ""), (0, 0.0, ""), (None, None, ""), (-1, None, "-1"))
        for value, seconds, text in cases:
            endpoint = decode_entry("e1", {**entry, "cold_remaining_ms": value})
            self.assertEqual(endpoint.cold_s, seconds)
            self.assertIn(text, endpoint.fault)
        self.assertIsNone(decode_entry("e1", entry).cold_s)


if __name__ == "__main__":
    unittest.main()
