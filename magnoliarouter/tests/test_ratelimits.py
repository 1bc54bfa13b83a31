from __future__ import annotations

import asyncio
import random
import unittest
import unittest.mock
from dataclasses import replace

from magnoliarouter.cli.status import _format_gateway
from magnoliarouter.core.outcome import Completed, NotRun, ResultCode
from magnoliarouter.core.sharedrate import (
    MIN_RATE,
    NO_LIMIT,
    RateNotice,
    SharedRate,
    merge_notices,
    parse_rate,
)
from magnoliarouter.daemon.gatewayview import describe_gateway
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.gateway.peers import (
    PRESENCE_EXPIRY_S,
    RENEW_INTERVAL_S,
    SHARE_INTERVAL_S,
    PeerLoads,
)
from magnoliarouter.gateway.ratelimits import MAX_ENDPOINTS, MAX_UPDATES, EndpointRates
from magnoliarouter.gateway.routes import RouteKind
from magnoliarouter.gateway.waiting import WaitQueue
from magnoliarouter.tests.clock import run_auto_advance, wait_until
from magnoliarouter.tests.raw_server import build_response
from magnoliarouter.tests.test_forward import EVENTS, FakeExchange, ForwardCase, build_route
from magnoliarouter.tests.test_gateway import GatewayCase
from magnoliarouter.tests.test_notices import build_stream, respond

ENDPOINT = Endpoint("e1", "app", "127.0.0.1:1", "zone-1", 6, False, 100)
WINDOW_S = 4.0


def count_allowed(rate):
    """Return how many requests within `WINDOW_S` the users' rule allows."""
    return 1.5 * WINDOW_S * rate + 5


def count_most(times):
    """Return the most requests within `WINDOW_S`."""
    times = sorted(times)
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


class ParseRateTest(unittest.TestCase):
    def test_rates(self):
        for value, rate in ((b"2", 2.0), (b" 1.25 ", 1.25), (b"0", 0.0), (b"3,2.5", 2.5)):
            with self.subTest(value=value):
                self.assertEqual(parse_rate(value), rate)

    def test_malformed_rates_are_refused_by_value(self):
        for value in (b"", b"-1", b"nan", b"inf", b"1e400", b"1,", b".", b"2/s", b"9" * 400):
            with self.subTest(value=value[:10]):
                self.assertRaisesRegex(ValueError, "valid: requests per second", parse_rate, value)


class NoticeOrderTest(unittest.TestCase):
    def test_later_response_stands_and_the_lower_rate_where_the_order_is_unknown(self):
        named = RateNotice(2.0, 10.0, 11.0)
        cases = (
            (RateNotice(NO_LIMIT, 9.0, 12.0), 2.0),
            (RateNotice(NO_LIMIT, 11.0, 12.0), NO_LIMIT),
            (RateNotice(NO_LIMIT, float("-inf"), 12.0), 2.0),
            (RateNotice(1.0, 9.0, 12.0), 1.0),
            (RateNotice(3.0, 10.5, 12.0), 2.0),
            (RateNotice(3.0, 11.5, 12.0), 3.0),
            (RateNotice(1.0, 8.0, 10.0), 2.0),
        )
        for other, rate in cases:
            with self.subTest(other=other):
                self.assertEqual(merge_notices(named, other).rate, rate)
                self.assertEqual(merge_notices(other, named).rate, rate)


class SharedRateTest(unittest.TestCase):
    def test_bucket_starts_empty_and_holds_little(self):
        bucket = SharedRate(RateNotice(2.0, 0.0, 0.0), 0.0)
        self.assertEqual(bucket.count_tokens(0.0, 1.0), 0.0)
        self.assertAlmostEqual(bucket.count_tokens(0.25, 1.0), 0.5)
        self.assertAlmostEqual(bucket.count_tokens(100.0, 1.0), 1.5)

    def test_debt_is_paid_and_bounded(self):
        bucket = SharedRate(RateNotice(1.0, 0.0, 0.0), 0.0)
        bucket.charge(3, 1.0, 1.0)
        self.assertAlmostEqual(bucket.count_tokens(4.0, 1.0), 1.0)
        bucket.charge(10**9, 4.0, 1.0)
        self.assertGreaterEqual(bucket.count_tokens(14.0, 1.0), 1.0)

    def test_share_of_absent_daemons_is_not_used(self):
        bucket = SharedRate(RateNotice(1.0, 0.0, 0.0), 0.0)
        self.assertAlmostEqual(bucket.count_tokens(0.9, 1 / 3), 0.3)

    def test_limit_that_returns_starts_empty(self):
        bucket = SharedRate(RateNotice(2.0, 0.0, 0.0), 0.0)
        bucket.record(RateNotice(NO_LIMIT, 1.0, 1.1), 1.1, 1.0)
        self.assertFalse(bucket.is_limited)
        bucket.record(RateNotice(2.0, 9.0, 9.1), 9.1, 1.0)
        self.assertEqual(bucket.count_tokens(9.1, 1.0), 0.0)

    def test_rate_of_zero_leaves_rare_requests(self):
        self.assertEqual(SharedRate(RateNotice(0.0, 0.0, 0.0), 0.0).rate, MIN_RATE)


class EndpointRatesTest(unittest.TestCase):
    def setUp(self):
        self.rates = EndpointRates()

    def name(self, rate, endpoint=ENDPOINT, sent_at=0.0, now=1.0):
        return self.rates.record_response(endpoint, rate, sent_at, now)

    def test_rate_concerns_one_start_of_an_endpoint(self):
        self.name(b"1")
        restarted = replace(ENDPOINT, started_ms=200)
        self.assertEqual(self.rates.rate_of(restarted), NO_LIMIT)
        self.name(b"3", restarted)
        self.name(b"1", ENDPOINT, 5.0, 6.0)
        self.assertEqual(self.rates.rate_of(restarted), 3.0)

    def test_malformed_rate_changes_nothing(self):
        self.name(b"1")
        self.assertRaisesRegex(ValueError, "1e400", self.name, b"1e400")
        self.assertEqual(self.rates.rate_of(ENDPOINT), 1.0)

    def test_requests_of_peers_are_charged_once_whatever_is_lost_or_repeated(self):
        other = EndpointRates()
        for rates in (self.rates, other):
            rates.record_response(ENDPOINT, b"1", 0.0, 1.0)
        for now, heard in ((2.0, True), (2.1, False), (2.2, True), (2.3, True)):
            if now < 2.3:
                other.record_request(ENDPOINT, now)
            (update,) = other.collect_updates(now)
            if heard:
                self.rates.apply_update("peer", 7, ENDPOINT, update, now)
        own, others = (rates.count_tokens(ENDPOINT, 2.3) for rates in (self.rates, other))
        self.assertAlmostEqual(own, others)

    def test_restarted_peer_counts_anew(self):
        self.name(b"1")
        update = self.rates.collect_updates(1.0)[0]
        for start, requests in ((1, 50), (1, 51), (2, 1), (2, 2)):
            update.requests = requests
            self.rates.apply_update("peer", start, ENDPOINT, update, 1.0)
        self.assertAlmostEqual(self.rates.count_tokens(ENDPOINT, 1.0), -4.0)

    def test_messages_and_memory_are_bounded(self):
        for number in range(MAX_ENDPOINTS + 5):
            self.name(b"1", replace(ENDPOINT, identity=f"e{number}"))
        self.assertEqual(len(self.rates._entries), MAX_ENDPOINTS)
        self.assertEqual(len(self.rates.collect_updates(1.0)), MAX_UPDATES)
        self.assertEqual(self.rates.collect_updates(9.0), [])


class FleetDaemon:
    """Table, queue and rates of one daemon, whose callers wait for an endpoint all the time."""

    def __init__(self, fleet, name):
        self.fleet, self.name = fleet, name
        self.start_again()
        for _ in range(fleet.callers):
            fleet.tasks.append(asyncio.ensure_future(self.call_forever()))
        fleet.tasks.append(asyncio.ensure_future(self.renew_forever()))

    def start_again(self):
        loop = asyncio.get_running_loop()
        self.start = random.getrandbits(32)
        self.table = EndpointTable("zone-1")
        self.table.put(ENDPOINT)
        self.table.rates.read_share = lambda: self.fleet.read_share(self)
        self.table.rates.count_daemons = lambda: len(self.fleet.daemons)
        self.queue = WaitQueue(self.table, loop.time, lambda: len(self.fleet.daemons))

    async def renew_forever(self):
        """Send messages without news, as daemons do to show that they are in contact."""
        loop = asyncio.get_running_loop()
        await asyncio.sleep(RENEW_INTERVAL_S * random.random())
        while True:
            now = loop.time()
            for peer in self.fleet.list_receivers(self):
                if random.random() >= self.fleet.loss:
                    peer.table.rates.record_contact(self.name, now)
            await asyncio.sleep(RENEW_INTERVAL_S)

    async def call_forever(self):
        loop = asyncio.get_running_loop()
        await asyncio.sleep(random.random())
        while True:
            table = self.table
            endpoint = await self.queue.acquire("app", set(), 1, 5.0)
            if endpoint is None:
                await asyncio.sleep(0.05 + random.random() * 0.1)
                continue
            self.fleet.announce(self)
            sent_at = loop.time()
            await asyncio.sleep(self.fleet.draw_delay())
            named = self.fleet.receive(self)
            await asyncio.sleep(self.fleet.hold_s + self.fleet.draw_delay())
            table.finish_request("e1")
            table.rates.record_response(ENDPOINT, named, sent_at, loop.time())
            self.fleet.announce(self)
            self.queue.wake()


class Fleet:
    """Daemons before one endpoint, which hear of each other with delays and losses.

    Daemons at or above `cut_at` lose contact to the others while `is_cut`, and are found absent after
    `PRESENCE_EXPIRY_S`.
    """

    def __init__(self, count, rate, callers=1, loss=0.03, hold_s=0.02):
        self.rate, self.callers, self.loss, self.hold_s = rate, callers, loss, hold_s
        self.tasks, self.arrivals, self.periods = [], [], []
        self.named = str(rate).encode()
        self.cut_at, self.is_cut, self.cut_since = count, False, float("inf")
        self.messages = 0
        # Loop time from which the rule binds, and seconds played since.
        self.since = self.seconds = 0.0
        self.daemons = []
        self.daemons += [FleetDaemon(self, f"d{number}") for number in range(count)]

    def draw_delay(self):
        return random.uniform(0.001, 0.006)

    def side(self, daemon):
        return self.daemons.index(daemon) >= self.cut_at if self.is_cut else False

    def read_share(self, daemon):
        if asyncio.get_running_loop().time() - self.cut_since < PRESENCE_EXPIRY_S:
            return 1.0
        if not self.is_cut:
            return 1.0
        part = len(self.daemons) - self.cut_at if self.side(daemon) else self.cut_at
        return part / len(self.daemons)

    def receive(self, daemon):
        self.arrivals.append((asyncio.get_running_loop().time(), daemon.name))
        return self.named

    def list_receivers(self, daemon):
        side = self.side(daemon)
        return [peer for peer in self.daemons if peer is not daemon and self.side(peer) == side]

    def announce(self, daemon):
        loop = asyncio.get_running_loop()
        updates = daemon.table.rates.collect_updates(loop.time())
        for peer in self.list_receivers(daemon):
            self.messages += 1
            if random.random() >= self.loss:
                loop.call_later(0.001 + self.draw_delay(), self.apply, daemon, peer, updates)

    @staticmethod
    def apply(daemon, peer, updates):
        now = asyncio.get_running_loop().time()
        peer.table.rates.record_contact(daemon.name, now)
        for update in updates:
            peer.table.rates.apply_update(daemon.name, daemon.start, ENDPOINT, update, now)
        peer.queue.schedule_wake()

    def times(self, since=0.0):
        return [at for at, _ in self.arrivals if at >= since]


class FleetTest(unittest.TestCase):
    """Sums over all daemons, in paused time."""

    # Seconds after which the rule binds: the first responses have named the rate everywhere.
    CONTACT_S = 3.0
    PLAY_S = 24.0

    def play(self, count, rate, steps=None, **options):
        async def main():
            random.seed(f"{count} {rate}")
            loop = asyncio.get_running_loop()
            began = loop.time()
            fleet = Fleet(count, rate, **options)
            if steps is None:
                await asyncio.sleep(self.PLAY_S)
            else:
                await steps(fleet)
            for task in fleet.tasks:
                task.cancel()
            fleet.seconds = loop.time() - began - self.CONTACT_S
            fleet.since = began + self.CONTACT_S
            return fleet

        return run_auto_advance(main())

    def test_sum_keeps_to_the_rate_and_uses_it(self):
        for count, rate in ((1, 1.2), (9, 0), (9, 0.5), (9, 1.2), (9, 10), (98, 1.2), (98, 10)):
            with self.subTest(daemons=count, rate=rate):
                fleet = self.play(count, rate, callers=2 if count < 50 else 1)
                times = fleet.times(fleet.since)
                self.assertLessEqual(count_most(times), count_allowed(rate))
                self.assertGreaterEqual(len(times), 0.8 * rate * fleet.seconds - 1)

    def test_sum_of_many_daemons_keeps_to_the_rate(self):
        fleet = self.play(376, 2)
        times = fleet.times(fleet.since)
        self.assertLessEqual(count_most(times), count_allowed(2))
        self.assertGreaterEqual(len(times), 0.8 * 2 * fleet.seconds)

    def test_daemons_that_are_cut_off_keep_to_their_part(self):
        async def cut(fleet):
            loop = asyncio.get_running_loop()
            await asyncio.sleep(8.0)
            fleet.cut_at, fleet.is_cut, fleet.cut_since = 6, True, loop.time()
            await asyncio.sleep(10.0)
            fleet.is_cut, fleet.cut_since = False, float("inf")
            await asyncio.sleep(8.0)

        for rate in (1.2, 5):
            with self.subTest(rate=rate):
                fleet = self.play(9, rate, cut, callers=2)
                times = fleet.times(fleet.since)
                self.assertLessEqual(count_most(times), count_allowed(rate))
                self.assertGreaterEqual(len(times), 0.7 * rate * fleet.seconds)

    def test_daemons_that_restart_in_turn_do_not_add_to_it(self):
        async def restart(fleet):
            for daemon in fleet.daemons:
                await asyncio.sleep(2.5)
                daemon.start_again()

        fleet = self.play(9, 1.2, restart, callers=1)
        self.assertLessEqual(count_most(fleet.times(fleet.since)), count_allowed(1.2))

    def test_end_of_a_limit_is_learnt_by_all(self):
        async def end(fleet):
            await asyncio.sleep(8.0)
            fleet.named = None
            await asyncio.sleep(1.0 + 1.0 / MIN_RATE)
            fleet.arrivals.clear()
            await asyncio.sleep(2.0)

        for rate in (0, 1.2):
            with self.subTest(rate=rate):
                fleet = self.play(9, rate, end, callers=1)
                self.assertEqual(len({name for _, name in fleet.arrivals}), 9)
                self.assertGreater(len(fleet.arrivals), 9 * 2.0 * 5)

    def test_lower_and_higher_limits_in_turn(self):
        async def change(fleet):
            for named in (b"4", b"1", b"4", b"1"):
                fleet.named = named
                await asyncio.sleep(6.0)
                fleet.periods.append((named, asyncio.get_running_loop().time()))

        fleet = self.play(9, 4, change, callers=2)
        for named, end in fleet.periods:
            # The rate of before holds until the first response that names the new one.
            times = [at for at in fleet.times(end - 4.0) if at < end]
            self.assertLessEqual(count_most(times), count_allowed(float(named)))
            self.assertGreaterEqual(len(times), 0.6 * float(named) * 4.0)

    def test_messages_of_a_daemon_follow_the_rate_and_not_its_callers(self):
        few, many = (self.play(9, 1.2, callers=callers) for callers in (1, 6))
        self.assertLess(many.messages, 1.5 * few.messages + 200)


class ShareTest(unittest.TestCase):
    def test_daemons_out_of_contact_keep_their_part_until_they_say_that_they_stopped(self):
        async def main():
            loop = asyncio.get_running_loop()
            peers = PeerLoads("d0", 1, dict, lambda name, loads: None)
            others = [
                PeerLoads(f"d{number}", 1, dict, lambda name, loads: None) for number in (1, 2)
            ]
            peers.set_peers({f"d{number}": ("127.0.0.1", number) for number in (1, 2, 3)})
            self.assertEqual(peers.read_share(), 1 / 4)
            for other in others:
                other._transport = _Link(peers)
                other.set_peers({"d0": ("127.0.0.1", 9)})
                other._send()
            await asyncio.sleep(SHARE_INTERVAL_S)
            self.assertEqual(peers.read_share(), 3 / 4)
            others[0].announce_stop()
            others[0]._timer.cancel()
            await asyncio.sleep(SHARE_INTERVAL_S)
            self.assertEqual(peers.read_share(), 2 / 3)
            others[1]._timer.cancel()
            await asyncio.sleep(PRESENCE_EXPIRY_S + SHARE_INTERVAL_S)
            self.assertEqual(peers.read_share(), 1 / 3)
            self.assertGreater(loop.time(), 0)

        run_auto_advance(main())


class _Link:
    """Transport that hands datagrams to another daemon."""

    def __init__(self, peer):
        self.peer = peer

    def sendto(self, data, address):
        self.peer.datagram_received(data, ("127.0.0.1", 5))

    def close(self):
        pass


class ForwardRateTest(ForwardCase):
    LIMITED = build_response(Server_Limit="0.5")

    def rate(self):
        return self.table.rates.rate_of(self.table.find("e1"))

    async def test_every_kind_of_response_can_name_a_rate(self):
        limit = {"Server_Limit": "2"}
        answers = {
            "success": (RouteKind.SAFE, build_response(**limit)),
            "refusal": (RouteKind.SAFE, build_response(status=503, X_Not_Executed="1", **limit)),
            "failure": (RouteKind.SAFE, build_response(status=500, **limit)),
            "stream": (RouteKind.STREAM, build_stream(*EVENTS, **limit)),
            "response to another request": (
                RouteKind.SAFE,
                build_response(request_id="r0", **limit) + build_response(),
            ),
        }
        for name, (kind, answer) in answers.items():
            with self.subTest(name):
                self.table.rates = EndpointRates()
                self.table.outliers.forget(["e1"])
                await self.add(respond(answer))
                await self.forward(build_route(kind, 1))
                self.assertEqual(self.rate(), 2.0)

    async def test_refusal_and_other_endpoints_do_not_end_a_limit(self):
        for fields in (
            {"status": 503, "X_Not_Executed": "1"},
            {"status": 421, "Server_Limit": "9"},
            {"stamp": None},
        ):
            with self.subTest(fields=fields):
                self.table.rates = EndpointRates()
                self.table.outliers.forget(["e1"])
                await self.add(respond(build_response(Server_Limit="50"), build_response(**fields)))
                for _ in range(2):
                    self.exchange = FakeExchange()
                    await self.forward(build_route(RouteKind.ONCE, 1))
                    await asyncio.sleep(0.03)
                self.assertEqual(self.rate(), 50.0)

    async def test_response_without_a_rate_ends_it(self):
        await self.add(respond(build_response(Server_Limit="20"), build_response()))
        for rate in (20.0, NO_LIMIT):
            self.exchange = FakeExchange()
            self.assertIsInstance(await self.forward(build_route()), Completed)
            self.assertEqual(self.rate(), rate)

    async def test_calls_beyond_the_rate_are_refused_at_once_with_the_time_that_is_left(self):
        await self.add(respond(self.LIMITED))
        await self.forward(build_route())
        started_at, self.exchange = self.clock(), FakeExchange()
        outcome = await self.forward(build_route())
        self.assertLess(self.clock() - started_at, 0.1)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(outcome.code, ResultCode.ENDPOINTS_LIMITED)
        self.assertGreaterEqual(outcome.retry_after, 1.9)
        self.assertLess(outcome.retry_after, 3.1)

    async def test_endpoint_without_a_rate_takes_what_the_other_does_not(self):
        await self.add_two(respond(self.LIMITED), respond(build_response()))
        for _ in range(8):
            self.exchange = FakeExchange()
            self.assertIsInstance(await self.forward(build_route()), Completed)
        self.assertEqual(self.tried().count("e1"), 1)

    async def test_request_that_was_not_sent_is_not_charged(self):
        server = await self.add(respond(build_response(Server_Limit="4")))
        await self.forward(build_route())
        await asyncio.sleep(0.4)
        await server.stop()
        self.pool.drop(server.address)
        self.exchange = FakeExchange()
        outcome = await self.forward(build_route(RouteKind.ONCE, 1))
        self.assertIsInstance(outcome, NotRun)
        self.assertGreaterEqual(
            self.table.rates.count_tokens(self.table.find("e1"), self.clock()), 1.0
        )

    async def test_malformed_rate_is_logged_with_its_value_and_not_followed(self):
        await self.add(respond(build_response(Server_Limit="1e400")))
        with unittest.mock.patch("magnoliarouter.gateway.forward.log_event") as log:
            for _ in range(3):
                self.exchange = FakeExchange()
                self.assertIsInstance(await self.forward(build_route()), Completed)
        logged = [call for call in log.call_args_list if call.args[0] == "rate_malformed"]
        self.assertEqual(len(logged), 1)
        self.assertIn("1e400", logged[0].kwargs["reason"])
        self.assertEqual(self.rate(), NO_LIMIT)

    async def test_stream_that_a_caller_reads_waits_for_the_rate(self):
        broken = build_stream(*EVENTS[:3], b"id: 4\nda")
        await self.add_two(respond(broken), respond(build_stream(*EVENTS[3:])))
        self.table.rates.record_response(self.table.find("e2"), b"2", 0.0, self.clock())
        outcome = await self.forward(build_route(RouteKind.STREAM, 2, 4.0, resumable=True))
        self.assertEqual(outcome, Completed(ResultCode.OK, 200))
        self.assertEqual(self.exchange.body, b"".join(EVENTS))


class GatewayRateTest(GatewayCase):
    RATE = 2.0

    async def test_endpoint_gets_no_more_than_the_rate_that_it_named_from_all_daemons(self):
        self.engine.fields = {"Server-Limit": str(self.RATE)}
        daemons = [await self.start(f"front-{number}") for number in range(3)]
        for daemon in daemons:
            await self.wait_ready(daemon)
        await wait_until(lambda: all(daemon.peers.read_share() == 1.0 for daemon in daemons))
        loop, times, statuses = asyncio.get_running_loop(), [], []
        serve = self.engine.heads.append

        class Heads(list):
            def append(self, head):
                times.append(loop.time())
                serve(head)

        self.engine.heads = Heads()
        began = loop.time()

        async def call(daemon, number):
            await asyncio.sleep(random.random() * 0.2)
            while loop.time() - began < 7.0:
                status, _, _ = await self.send_request(daemon, request_id=f"{number}")
                statuses.append(status)
                await asyncio.sleep(0.2)

        await asyncio.gather(*(call(daemons[number % 3], number) for number in range(12)))
        bound = [at for at in times if at - began > 1.0]
        self.assertLessEqual(count_most(bound), count_allowed(self.RATE))
        self.assertGreaterEqual(len(bound), 0.6 * self.RATE * 6.0)
        self.assertEqual(set(statuses), {200, 503})

    async def test_status_names_the_rate_of_an_endpoint(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        daemon.table.rates.record_response(daemon.table.find("e1"), b"1.5", 0.0, 1.0)
        status = describe_gateway(daemon, asyncio.get_running_loop().time())
        self.assertRegex(_format_gateway(status), r"e1.* ready, 1\.5 requests/s")


if __name__ == "__main__":
    unittest.main()
