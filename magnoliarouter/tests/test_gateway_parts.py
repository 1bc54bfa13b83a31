from __future__ import annotations

import asyncio
import random
import unittest
import unittest.mock

import msgspec

from magnoliarouter.core.retries import SharedRetryBudget
from magnoliarouter.gateway.confirmations import LONG_WAIT_S, Confirmations
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.gateway.frames import FrameSplitter
from magnoliarouter.gateway.freshness import Freshness
from magnoliarouter.gateway.peers import CONFIRMATION_INTERVAL_S, PeerLoads, PeerMessage
from magnoliarouter.gateway.routes import (
    GatewayConfig,
    RequestLimits,
    Route,
    RouteKind,
    RouteTable,
    Tenant,
)
from magnoliarouter.gateway.waiting import MAX_QUEUED_CALLS, WaitQueue
from magnoliarouter.tests.clock import run_auto_advance


def build_route(name, prefix, host="h", shares=(("app", 1.0),), urgency=3):
    return Route(name, host, prefix, RouteKind.SAFE, shares, 1.0, 0.2, urgency)


class RouteTest(unittest.TestCase):
    def test_longest_prefix_of_the_host(self):
        table = RouteTable.build(
            [build_route("a", "/a/"), build_route("ab", "/a/b/"), build_route("o", "/", "other")]
        )
        found = [
            table.find(host, path)
            for host, path in (("h", "/a/b/c"), ("h", "/a/bc"), ("h", "/"), ("other", "/a/"))
        ]
        self.assertEqual([route and route.name for route in found], ["ab", "a", None, "o"])

    def test_share_of_services_follows_weights(self):
        route = build_route("a", "/", shares=(("one", 90), ("two", 10)))
        picked = [route.pick_service(b"%d" % number) for number in range(5000)]
        self.assertAlmostEqual(picked.count("two") / 5000, 0.1, delta=0.02)
        self.assertEqual(route.pick_service(b"7"), route.pick_service(b"7"))

    def test_customers_urgency_goes_first(self):
        config = GatewayConfig(1, RouteTable(), {}, {}, RequestLimits(1, 1, 1, 1))
        route = build_route("a", "/", urgency=3)
        urgencies = [
            config.urgency_of(route, tenant)
            for tenant in (None, Tenant("t"), Tenant("t", 0), Tenant("t", 99))
        ]
        self.assertEqual(urgencies, [3, 3, 0, 9])


class FreshnessTest(unittest.TestCase):
    def test_confirmation_counts_from_when_it_was_asked_for(self):
        fresh = Freshness(key_age_s=4.0, absence_age_s=3.0)
        self.assertFalse(fresh.accepts_keys(0.0))
        fresh.confirm(10.0)
        fresh.confirm(9.0)
        self.assertEqual((fresh.accepts_keys(13.9), fresh.accepts_keys(14.0)), (True, False))
        self.assertEqual((fresh.proves_absence(12.9), fresh.proves_absence(13.0)), (True, False))


class FrameTest(unittest.TestCase):
    def test_any_cut_gives_whole_events_only(self):
        data = b"".join(b"id: %d\r\ndata: x\r\n\r\n" % number for number in range(20))
        for seed in range(30):
            chooser, splitter, passed, start = random.Random(seed), FrameSplitter(), b"", 0
            while start < len(data):
                size = chooser.randint(1, 40)
                passed += splitter.feed(data[start : start + size])
                start += size
                self.assertTrue(not passed or passed.endswith(b"\r\n\r\n"))
            self.assertEqual((passed, splitter.last_id), (data, b"19"))

    def test_part_of_an_event_is_dropped_before_going_on(self):
        splitter = FrameSplitter()
        splitter.feed(b"id: 1\n\nid: 2\nda")
        splitter.restart()
        self.assertEqual(splitter.feed(b"id: 2\ndata: whole\n\n"), b"id: 2\ndata: whole\n\n")


class BudgetTest(unittest.TestCase):
    def test_daemons_together_keep_the_bound_in_every_window(self):
        ratio, slack, window, daemons = 0.2, 90.0, 10.0, 9
        chooser = random.Random(1)
        budgets = [SharedRetryBudget(ratio, slack, window, daemons) for _ in range(daemons)]
        requests, repeats = [], []
        for tick in range(4000):
            now = tick * 0.01
            for budget in budgets:
                if chooser.random() < 0.1:
                    budget.record_request("app", now)
                    requests.append(now)
                if chooser.random() < 0.5 and budget.acquire("app", now):
                    repeats.append(now)
        for start in range(30):
            taken = sum(start <= at < start + window for at in repeats)
            asked = max(
                sum(start - back <= at < start - back + window for at in requests)
                for back in (0.0, window / 2, window)
            )
            self.assertLessEqual(taken, ratio * asked + slack)
        self.assertGreater(len(repeats), 100)

    def test_services_have_budgets_of_their_own(self):
        budget = SharedRetryBudget(0.0, 2.0, 10.0)
        self.assertEqual([budget.acquire("a", 0.0) for _ in range(2)], [True, False])
        self.assertTrue(budget.acquire("b", 0.0))


class TableTest(unittest.TestCase):
    def setUp(self):
        self.table = EndpointTable("z1", random.Random(1))
        for name, zone in (("a", "z1"), ("b", "z1"), ("c", "z2")):
            self.table.put(Endpoint(name, "app", f"{name}:1", zone, 2))

    def choose(self, tried=(), now=0.0):
        endpoint = self.table.choose("app", set(tried), now)
        return endpoint and endpoint.identity

    def test_least_loaded_counts_other_daemons(self):
        self.table.start_request("a")
        self.table.apply_peer_load("peer", {"b": 1, "c": 2}, 0.0)
        self.assertIn(self.choose(), "ab")
        self.table.start_request("a")
        self.assertEqual(self.choose(), "b")
        self.table.start_request("b")
        self.assertIsNone(self.choose())
        self.assertEqual(self.choose(now=5.0), "c")

    def test_draining_and_tried_endpoints_are_left_out(self):
        self.table.put(Endpoint("a", "app", "a:1", "z1", 2, draining=True))
        self.assertEqual(self.choose(tried=["b"]), "c")
        self.assertIsNone(self.choose(tried=["b", "c"]))

    def test_full_endpoint_is_passed_over_for_a_while(self):
        self.table.record_full("a", 0.0)
        self.assertNotEqual(self.choose(tried=["c"]), "a")
        self.assertEqual(self.choose(tried=["b", "c"]), "a")

    def test_endpoint_that_cannot_be_connected_to_is_ejected(self):
        self.table.outliers.record_failure("a", 0.0, immediate=True)
        self.assertNotIn("a", {self.choose(now=0.1) for _ in range(20)})


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.taken = []
        self.peers = PeerLoads("b", 1, dict, lambda name, loads: self.taken.append((name, loads)))

    def hear(self, name, number, in_charge=False, start=1, loads=None):
        message = PeerMessage(name, start, number, loads or {}, in_charge)
        self.peers.datagram_received(msgspec.msgpack.encode(message), ("127.0.0.1", 9))

    async def test_confirmations_go_with_few_of_the_messages(self):
        sent = []
        self.peers._transport = unittest.mock.Mock()
        self.peers._transport.sendto = lambda data, address: sent.append(
            msgspec.msgpack.decode(data, type=PeerMessage)
        )
        self.peers.set_peers({"a": ("127.0.0.1", 9)})
        digest = 5
        self.peers.read_confirmations = lambda: {"config": (digest, 0.1)}
        for _ in range(20):
            self.peers.schedule_send()
            await asyncio.sleep(0.005)
        self.assertGreater(len(sent), 10)
        self.assertEqual(sum(1 for message in sent if message.confirmed), 1)
        digest = 6
        self.peers.schedule_send()
        await asyncio.sleep(0.01)
        self.assertEqual(sent[-1].confirmed, {"config": (6, 0.1)})
        await asyncio.sleep(2 * CONFIRMATION_INTERVAL_S)
        self.assertEqual(sum(1 for message in sent if message.confirmed), 3)

    async def test_older_messages_of_a_start_are_ignored(self):
        for number, start in ((1, 1), (3, 1), (2, 1), (1, 2)):
            self.hear("a", number, start=start, loads={"e": number})
        self.assertEqual([loads["e"] for _, loads in self.taken], [1, 3, 1])

    async def test_daemon_that_comes_back_elsewhere_is_told_there(self):
        self.peers.set_peers({"a": ("127.0.0.1", 1)})
        self.hear("a", 4, start=1)
        self.assertEqual(self.peers._addresses["a"], ("127.0.0.1", 9))

    async def test_place_among_daemons_heard(self):
        self.assertEqual((self.peers.position(), self.peers.count_daemons()), (0, 1))
        self.hear("a", 1)
        self.hear("c", 1)
        self.assertEqual((self.peers.position(), self.peers.count_daemons()), (1, 3))

    async def test_knowledge_counts_from_when_the_peer_was_last_told(self):
        """The peer's message may have waited in a buffer while this VM was suspended."""
        taken = []
        self.peers.apply_confirmation = lambda kind, digest, at: taken.append((kind, digest, at))
        self.peers._sent_at = {7: 100.0}
        known = {"config": (5, 0.4)}
        for heard in ({"b": (1, 7)}, {"b": (2, 7)}, {"b": (1, 8)}, {}):
            message = PeerMessage("a", 1, len(taken) + 9 + len(heard), {}, False, known, heard)
            self.peers._apply_confirmations(message)
        self.assertEqual(taken, [("config", 5, 99.6)])

    async def test_daemon_that_says_it_lost_the_lease_is_not_waited_for(self):
        self.assertEqual(self.peers.map_lease_silence_s(), float("inf"))
        self.hear("a", 1, in_charge=True)
        self.hear("c", 1)
        self.assertLess(self.peers.map_lease_silence_s(), 1.0)
        self.hear("a", 2)
        self.assertEqual(self.peers.map_lease_silence_s(), float("inf"))


class FakeFeed:
    """Feed whose calls are counted and not made."""

    def __init__(self, kind="config", digest=5, confirmed_at=None):
        self.kind, self.value, self.confirmed_at = kind, digest, confirmed_at
        self.watch_wait_s, self.waiting, self.refreshes = 2.0, 0.0, 0
        self.synchronized = asyncio.Event()
        self.synchronized.set()

    def digest(self):
        return self.value

    def is_waiting_longer(self, wait):
        return self.waiting > wait

    def refresh(self):
        self.refreshes += 1


class FakePeers:
    """Peers of which this daemon is the n-th."""

    def __init__(self, place):
        self.number = place

    def position(self):
        return self.number


class ConfirmationsTest(unittest.TestCase):
    def run_feed(self, scenario, place=5):
        async def main():
            loop, feed = asyncio.get_running_loop(), FakeFeed()
            confirmations = Confirmations({feed: 1.0}, FakePeers(place), loop.time)
            task = loop.create_task(confirmations.run())
            try:
                return await scenario(feed, confirmations, loop)
            finally:
                task.cancel()

        return run_auto_advance(main())

    def test_confirmed_daemon_waits_long_and_asks_soon_when_it_is_confirmed_no_longer(self):
        async def scenario(feed, confirmations, loop):
            waits = []
            for _ in range(10):
                self.assertTrue(confirmations.apply("config", 5, loop.time()))
                await asyncio.sleep(0.5)
                waits.append(feed.watch_wait_s)
            feed.waiting = feed.watch_wait_s
            last = loop.time() - 0.5
            for _ in range(200):
                if feed.refreshes:
                    break
                await asyncio.sleep(0.05)
            return waits[-1], loop.time() - last, feed.watch_wait_s

        long, seconds, short = self.run_feed(scenario)
        self.assertEqual((long, short), (LONG_WAIT_S, 2.0))
        # Keys are honoured for 4.6 s, and a list takes up to 0.8 s.
        self.assertLess(seconds, 3.8)

    def test_digest_that_differs_is_no_confirmation_and_leads_to_a_list(self):
        async def scenario(feed, confirmations, loop):
            results = []
            for _ in range(20):
                results.append(confirmations.apply("config", 6, loop.time()))
                await asyncio.sleep(0.1)
            return results, feed.refreshes

        results, refreshes = self.run_feed(scenario)
        self.assertEqual((set(results), refreshes), ({False}, 1))

    def test_first_two_daemons_confirm_for_the_others(self):
        async def scenario(feed, confirmations, loop):
            feed.confirmed_at = loop.time() - 1.5
            confirmations.apply("config", 5, loop.time())
            await asyncio.sleep(0.3)
            return confirmations.collect(), feed.watch_wait_s

        self.assertEqual(self.run_feed(scenario, place=1), ({"config": (5, 1.8)}, 1.0))
        self.assertEqual(self.run_feed(scenario, place=2), ({}, LONG_WAIT_S))


class WaitingTest(unittest.TestCase):
    def run_queue(self, scenario):
        async def main():
            loop = asyncio.get_running_loop()
            table = EndpointTable("z1")
            table.put(Endpoint("a", "app", "a:1", "z1", 1))
            return await scenario(table, WaitQueue(table, loop.time), loop)

        return run_auto_advance(main())

    def test_places_go_by_urgency_then_arrival(self):
        async def scenario(table, queue, loop):
            order = []

            async def call(name, urgency):
                endpoint = await queue.acquire("app", set(), urgency, 5.0)
                order.append(name)
                await asyncio.sleep(0.01)
                table.finish_request(endpoint.identity)
                queue.wake()

            first = loop.create_task(call("first", 5))
            await asyncio.sleep(0)
            rest = [("late", 5), ("later", 5), ("urgent", 0)]
            await asyncio.gather(first, *(call(*arguments) for arguments in rest))
            return order, dict(table.own_requests)

        order, own = self.run_queue(scenario)
        self.assertEqual((order, own), (["first", "urgent", "late", "later"], {}))

    def test_late_calls_go_behind_those_that_can_be_on_time(self):
        async def scenario(table, queue, loop):
            order = []

            async def call(name, fresh_s):
                endpoint = await queue.acquire("app", set(), 5, 5.0, loop.time() + fresh_s)
                order.append(name)
                await asyncio.sleep(0.2)
                table.finish_request(endpoint.identity)
                queue.wake()

            calls = [("first", 1.0), ("late", 0.1), ("later", 0.1), ("on time", 1.0)]
            await asyncio.gather(*(call(*arguments) for arguments in calls))
            return order

        self.assertEqual(self.run_queue(scenario), ["first", "on time", "late", "later"])

    def test_wait_ends_in_its_time(self):
        async def scenario(table, queue, loop):
            table.start_request("a")
            began = loop.time()
            place = await queue.acquire("app", set(), 1, 0.3)
            return place, loop.time() - began, queue.length("app"), table.own_requests

        place, seconds, length, own = self.run_queue(scenario)
        self.assertIsNone(place)
        self.assertAlmostEqual(seconds, 0.3, delta=0.01)
        self.assertEqual((length, own), (0, {"a": 1}))

    def test_queue_is_bounded(self):
        async def scenario(table, queue, loop):
            table.start_request("a")
            waiting = [
                loop.create_task(queue.acquire("app", set(), 1, 1.0))
                for _ in range(MAX_QUEUED_CALLS)
            ]
            await asyncio.sleep(0.01)
            began = loop.time()
            place = await queue.acquire("app", set(), 1, 1.0)
            seconds = loop.time() - began
            await asyncio.gather(*waiting)
            return place, seconds

        self.assertEqual(self.run_queue(scenario), (None, 0.0))

    def test_caller_that_leaves_gives_its_place_back(self):
        async def scenario(table, queue, loop):
            table.start_request("a")
            task = loop.create_task(queue.acquire("app", set(), 1, 5.0))
            await asyncio.sleep(0.01)
            table.finish_request("a")
            queue.wake()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return dict(table.own_requests), queue.length("app")

        self.assertEqual(self.run_queue(scenario), ({}, 0))

    def test_place_that_comes_as_the_wait_ends_is_not_lost(self):
        """Both are due in one turn of the loop; a place that nobody has would stay taken."""

        async def scenario(table, queue, loop):
            table.start_request("a")
            end = loop.time() + 0.05

            def free():
                table.finish_request("a")
                queue.wake()

            loop.call_at(end, free)
            place = await queue.acquire("app", set(), 1, end - loop.time())
            return place, dict(table.own_requests)

        place, own = self.run_queue(scenario)
        self.assertEqual(own, {} if place is None else {place.identity: 1})

    def test_place_another_daemon_reports_free_is_taken_after_a_while(self):
        async def scenario(table, queue, loop):
            table.apply_peer_load("peer", {"a": 1}, loop.time())
            task = loop.create_task(queue.acquire("app", set(), 1, 5.0))
            await asyncio.sleep(0.001)
            table.apply_peer_load("peer", {}, loop.time())
            queue.schedule_wake()
            at_once = task.done()
            await asyncio.sleep(0.06)
            return at_once, task.done()

        self.assertEqual(self.run_queue(scenario), (False, True))

    def test_daemons_do_not_all_send_to_one_place(self):
        """Thirty daemons with calls that wait; each hears of the others after 3 ms."""
        daemons, slots = 30, 5

        async def main():
            loop = asyncio.get_running_loop()
            tables = [EndpointTable("z1", random.Random(seed)) for seed in range(daemons)]
            queues = [WaitQueue(table, loop.time, lambda: daemons) for table in tables]
            for table in tables:
                for name in "abcd":
                    table.put(Endpoint(name, "app", f"{name}:1", "z1", slots))
            over = []

            def tell(number):
                loads = dict(tables[number].own_requests)

                def hear():
                    for other in range(daemons):
                        if other != number:
                            tables[other].apply_peer_load(str(number), loads, loop.time())
                            queues[other].schedule_wake()

                loop.call_later(0.003, hear)

            async def call(number):
                await asyncio.sleep(random.uniform(0.0, 1.0))
                for _ in range(10):
                    endpoint = await queues[number].acquire("app", set(), 1, 60.0)
                    tell(number)
                    load = sum(table.own_requests.get(endpoint.identity, 0) for table in tables)
                    over.append(max(0, load - slots))
                    await asyncio.sleep(random.uniform(0.1, 0.3))
                    tables[number].finish_request(endpoint.identity)
                    queues[number].wake()
                    tell(number)

            await asyncio.gather(*(call(number % daemons) for number in range(2 * daemons)))
            return over

        for seed in range(1, 6):
            with self.subTest(seed=seed):
                random.seed(seed)
                over = run_auto_advance(main())
                self.assertLessEqual(max(over), slots)
                self.assertLess(sum(over) / len(over), 0.25)


if __name__ == "__main__":
    unittest.main()
