from __future__ import annotations

import asyncio
import random
import unittest
import unittest.mock

import msgspec

from magnoliarouter.core.retries import SharedRetryBudget
from magnoliarouter.gateway.call import fingerprint_request
from magnoliarouter.gateway.confirmations import LONG_WAIT_S, Confirmations
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.gateway.frames import MAX_EVENT_BYTES, FrameSplitter
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

    def test_customer_urgency_overrides_route_urgency(self):
        config = GatewayConfig(1, RouteTable(), {}, {}, RequestLimits(1, 1, 1, 1))
        route = build_route("a", "/", urgency=3)
        urgencies = [
            config.urgency_of(route, tenant)
            for tenant in (None, Tenant("t"), Tenant("t", 0), Tenant("t", 99))
        ]
        self.assertEqual(urgencies, [3, 3, 0, 9])


class FingerprintTest(unittest.TestCase):
    def test_requests_are_the_same_by_method_target_caller_and_body(self):
        fields = (b"POST", b"/a/b?c", "key", b"body")
        changes = ((0, b"PUT"), (1, b"/a/b?d"), (2, "other"), (3, b""), (1, b"/a/b?ckey"))
        others = {fingerprint_request(*fields[:at], new, *fields[at + 1 :]) for at, new in changes}
        self.assertEqual(len(others | {fingerprint_request(*fields)}), len(changes) + 1)
        self.assertEqual(fingerprint_request(*fields), fingerprint_request(*fields))
        self.assertNotEqual(
            fingerprint_request(b"GET", b"/a", "bc", b""),
            fingerprint_request(b"GET", b"/ab", "c", b""),
        )


class FreshnessTest(unittest.TestCase):
    def test_confirmation_counts_from_its_request_time(self):
        fresh = Freshness(key_age_s=4.0, absence_age_s=3.0)
        self.assertFalse(fresh.accepts_keys(0.0))
        fresh.confirm(10.0)
        fresh.confirm(9.0)
        self.assertEqual((fresh.accepts_keys(13.9), fresh.accepts_keys(14.0)), (True, False))
        self.assertEqual((fresh.proves_absence(12.9), fresh.proves_absence(13.0)), (True, False))


class FrameTest(unittest.TestCase):
    def test_any_split_passes_whole_events_only(self):
        data = b"".join(b"id: %d\r\ndata: x\r\n\r\n" % number for number in range(20))
        for seed in range(30):
            rng, splitter, passed_on, start = random.Random(seed), FrameSplitter(), b"", 0
            while start < len(data):
                size = rng.randint(1, 40)
                passed_on += splitter.feed(data[start : start + size])
                start += size
                self.assertTrue(not passed_on or passed_on.endswith(b"\r\n\r\n"))
            self.assertEqual((passed_on, splitter.last_id), (data, b"19"))

    def test_every_prefix_of_an_event_is_inside_it(self):
        for line_end in (b"\n", b"\r\n"):
            event = b"id: 1" + line_end + b"data: x" + line_end * 2
            for size in range(len(event)):
                with self.subTest(line_end=line_end, size=size):
                    splitter = FrameSplitter()
                    splitter.feed(event[:size])
                    self.assertEqual(splitter.inside_event, size > 0)
                    splitter.feed(event[size:])
                    self.assertFalse(splitter.inside_event)
                    self.assertEqual(splitter.events, 1)

    def test_events_that_arrive_with_an_oversized_one_are_passed_first(self):
        splitter = FrameSplitter()
        oversized = b"id: 2\ndata: " + b"x" * MAX_EVENT_BYTES
        self.assertEqual(splitter.feed(b"id: 1\n\n" + oversized), b"id: 1\n\n")
        self.assertRaises(ValueError, splitter.feed, b"x")

    def test_partial_event_is_dropped_on_restart(self):
        splitter = FrameSplitter()
        splitter.feed(b"id: 1\n\nid: 2\nda")
        splitter.restart()
        self.assertEqual(splitter.feed(b"id: 2\ndata: whole\n\n"), b"id: 2\ndata: whole\n\n")


class BudgetTest(unittest.TestCase):
    def test_daemons_together_respect_the_budget_in_every_window(self):
        ratio, slack, window, daemons = 0.2, 90.0, 10.0, 9
        rng = random.Random(1)
        budgets = [SharedRetryBudget(ratio, slack, window, daemons) for _ in range(daemons)]
        requests, retries = [], []
        for tick in range(4000):
            now = tick * 0.01
            for budget in budgets:
                if rng.random() < 0.1:
                    budget.record_request("app", now)
                    requests.append(now)
                if rng.random() < 0.5 and budget.acquire("app", now):
                    retries.append(now)
        for start in range(30):
            retry_count = sum(start <= at < start + window for at in retries)
            request_count = max(
                sum(start - offset <= at < start - offset + window for at in requests)
                for offset in (0.0, window / 2, window)
            )
            self.assertLessEqual(retry_count, ratio * request_count + slack)
        self.assertGreater(len(retries), 100)

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

    def test_draining_and_tried_endpoints_are_excluded(self):
        self.table.put(Endpoint("a", "app", "a:1", "z1", 2, draining=True))
        self.assertEqual(self.choose(tried=["b"]), "c")
        self.assertIsNone(self.choose(tried=["b", "c"]))

    def test_full_endpoint_is_skipped_for_a_while(self):
        self.table.record_refusal("a", 0.0)
        self.assertNotEqual(self.choose(tried=["c"]), "a")
        self.assertEqual(self.choose(tried=["b", "c"]), "a")

    def test_endpoint_that_cannot_be_connected_to_is_ejected(self):
        self.table.outliers.record_failure("a", 0.0, immediate=True)
        self.assertNotIn("a", {self.choose(now=0.1) for _ in range(20)})


class PeersTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.applied = []
        self.peers = PeerLoads("b", 1, dict, lambda name, loads: self.applied.append((name, loads)))

    def receive(self, name, number, holds_map_lease=False, start=1, loads=None):
        message = PeerMessage(name, start, number, loads or {}, holds_map_lease)
        self.peers.datagram_received(msgspec.msgpack.encode(message), ("127.0.0.1", 9))

    async def test_confirmations_are_sent_with_few_of_the_messages(self):
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

    async def test_older_messages_of_the_same_start_are_ignored(self):
        for number, start in ((1, 1), (3, 1), (2, 1), (1, 2)):
            self.receive("a", number, start=start, loads={"e": number})
        self.assertEqual([loads["e"] for _, loads in self.applied], [1, 3, 1])

    async def test_restarted_daemon_is_reached_at_its_new_address(self):
        self.peers.set_peers({"a": ("127.0.0.1", 1)})
        self.receive("a", 4, start=1)
        self.assertEqual(self.peers._addresses["a"], ("127.0.0.1", 9))

    async def test_duties_go_to_the_largest_machines_first(self):
        peers = PeerLoads("b", 1, dict, lambda name, loads: None, capacity=40.0)
        for name, capacity in (("a", 40.0), ("c", 40.0), ("d", 200.0), ("e", 20.0)):
            message = PeerMessage(name, 1, 1, {}, capacity=capacity)
            peers.datagram_received(msgspec.msgpack.encode(message), ("127.0.0.1", 9))
        # Before it come d, which is larger, and a, which is as large and named before.
        self.assertEqual(peers.position(), 2)

    async def test_message_of_an_older_build_is_understood(self):
        self.peers.datagram_received(
            msgspec.msgpack.encode(["a", 1, 1, {"e": 2}, True, {}, {}]), ("127.0.0.1", 9)
        )
        self.assertEqual(self.applied, [("a", {"e": 2})])

    async def test_position_among_known_daemons(self):
        self.assertEqual((self.peers.position(), self.peers.count_daemons()), (0, 1))
        self.receive("a", 1)
        self.receive("c", 1)
        self.assertEqual((self.peers.position(), self.peers.count_daemons()), (1, 3))

    async def test_confirmation_age_counts_from_the_last_message_received_by_the_peer(self):
        """The time of receipt may be late: messages stay in a buffer while the VM is suspended."""
        applied = []
        self.peers.apply_confirmation = lambda kind, digest, at: applied.append((kind, digest, at))
        self.peers._sent_at = {7: 100.0}
        confirmed = {"config": (5, 0.4)}
        for last_received in ({"b": (1, 7)}, {"b": (2, 7)}, {"b": (1, 8)}, {}):
            message = PeerMessage(
                "a", 1, len(applied) + 9 + len(last_received), {}, False, confirmed, last_received
            )
            self.peers._apply_confirmations(message)
        self.assertEqual(applied, [("config", 5, 99.6)])

    async def test_daemon_that_reports_a_lost_lease_is_not_waited_for(self):
        self.assertEqual(self.peers.map_lease_silence_s(), float("inf"))
        self.receive("a", 1, holds_map_lease=True)
        self.receive("c", 1)
        self.assertLess(self.peers.map_lease_silence_s(), 1.0)
        self.receive("a", 2)
        self.assertEqual(self.peers.map_lease_silence_s(), float("inf"))


class FakeFeed:
    """Feed that counts its refreshes instead of calling the store."""

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
    """Peers among which this daemon has a fixed position."""

    def __init__(self, index):
        self.index = index

    def position(self):
        return self.index


class ConfirmationsTest(unittest.TestCase):
    def run_feed(self, scenario, position=5):
        async def main():
            loop, feed = asyncio.get_running_loop(), FakeFeed()
            confirmations = Confirmations({feed: 1.0}, FakePeers(position), loop.time)
            task = loop.create_task(confirmations.run())
            try:
                return await scenario(feed, confirmations, loop)
            finally:
                task.cancel()

        return run_auto_advance(main())

    def test_confirmed_daemon_polls_rarely_until_confirmations_stop(self):
        async def scenario(feed, confirmations, loop):
            waits = []
            for _ in range(10):
                self.assertTrue(confirmations.apply("config", 5, loop.time()))
                await asyncio.sleep(0.5)
                waits.append(feed.watch_wait_s)
            feed.waiting = feed.watch_wait_s
            last_confirmed_at = loop.time() - 0.5
            for _ in range(200):
                if feed.refreshes:
                    break
                await asyncio.sleep(0.05)
            return waits[-1], loop.time() - last_confirmed_at, feed.watch_wait_s

        confirmed_wait_s, seconds, last_wait_s = self.run_feed(scenario)
        self.assertEqual((confirmed_wait_s, last_wait_s), (LONG_WAIT_S, 2.0))
        # Keys are accepted for 4.6 s after a confirmation, and a list call takes up to 0.8 s.
        self.assertLess(seconds, 3.8)

    def test_different_digest_confirms_nothing_and_triggers_a_list(self):
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

        self.assertEqual(self.run_feed(scenario, position=1), ({"config": (5, 1.8)}, 1.0))
        self.assertEqual(self.run_feed(scenario, position=2), ({}, LONG_WAIT_S))


class WaitQueueTest(unittest.TestCase):
    def run_queue(self, scenario):
        async def main():
            loop = asyncio.get_running_loop()
            table = EndpointTable("z1")
            table.put(Endpoint("a", "app", "a:1", "z1", 1))
            return await scenario(table, WaitQueue(table, loop.time), loop)

        return run_auto_advance(main())

    def test_slots_are_granted_by_urgency_then_arrival(self):
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

    def test_late_calls_queue_behind_those_that_can_be_on_time(self):
        async def scenario(table, queue, loop):
            order = []

            async def call(name, on_time_s):
                endpoint = await queue.acquire("app", set(), 5, 5.0, loop.time() + on_time_s)
                order.append(name)
                await asyncio.sleep(0.2)
                table.finish_request(endpoint.identity)
                queue.wake()

            calls = [("first", 1.0), ("late", 0.1), ("later", 0.1), ("on time", 1.0)]
            await asyncio.gather(*(call(*arguments) for arguments in calls))
            return order

        self.assertEqual(self.run_queue(scenario), ["first", "on time", "late", "later"])

    def test_wait_ends_at_its_timeout(self):
        async def scenario(table, queue, loop):
            table.start_request("a")
            started_at = loop.time()
            endpoint = await queue.acquire("app", set(), 1, 0.3)
            return endpoint, loop.time() - started_at, queue.length("app"), table.own_requests

        endpoint, seconds, length, own = self.run_queue(scenario)
        self.assertIsNone(endpoint)
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
            started_at = loop.time()
            endpoint = await queue.acquire("app", set(), 1, 1.0)
            seconds = loop.time() - started_at
            await asyncio.gather(*waiting)
            return endpoint, seconds

        self.assertEqual(self.run_queue(scenario), (None, 0.0))

    def test_cancelled_call_releases_its_slot(self):
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

    def test_slot_granted_as_the_wait_ends_is_not_leaked(self):
        """Slot and timeout are due in one loop iteration; a slot without a call would stay occupied."""

        async def scenario(table, queue, loop):
            table.start_request("a")
            end = loop.time() + 0.05

            def release_slot():
                table.finish_request("a")
                queue.wake()

            loop.call_at(end, release_slot)
            endpoint = await queue.acquire("app", set(), 1, end - loop.time())
            return endpoint, dict(table.own_requests)

        endpoint, own = self.run_queue(scenario)
        self.assertEqual(own, {} if endpoint is None else {endpoint.identity: 1})

    def test_slot_that_a_peer_reports_free_is_acquired_after_a_delay(self):
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

    def test_daemons_do_not_all_send_to_one_endpoint(self):
        """Thirty daemons have queued calls; each receives the loads of the others after 3 ms."""
        daemons, slots = 30, 5

        async def main():
            loop = asyncio.get_running_loop()
            tables = [EndpointTable("z1", random.Random(seed)) for seed in range(daemons)]
            queues = [WaitQueue(table, loop.time, lambda: daemons) for table in tables]
            for table in tables:
                for name in "abcd":
                    table.put(Endpoint(name, "app", f"{name}:1", "z1", slots))
            excess = []

            def send_load(number):
                loads = dict(tables[number].own_requests)

                def receive_load():
                    for other in range(daemons):
                        if other != number:
                            tables[other].apply_peer_load(str(number), loads, loop.time())
                            queues[other].schedule_wake()

                loop.call_later(0.003, receive_load)

            async def call(number):
                await asyncio.sleep(random.uniform(0.0, 1.0))
                for _ in range(10):
                    endpoint = await queues[number].acquire("app", set(), 1, 60.0)
                    send_load(number)
                    load = sum(table.own_requests.get(endpoint.identity, 0) for table in tables)
                    excess.append(max(0, load - slots))
                    await asyncio.sleep(random.uniform(0.1, 0.3))
                    tables[number].finish_request(endpoint.identity)
                    queues[number].wake()
                    send_load(number)

            await asyncio.gather(*(call(number % daemons) for number in range(2 * daemons)))
            return excess

        for seed in range(1, 6):
            with self.subTest(seed=seed):
                random.seed(seed)
                excess = run_auto_advance(main())
                self.assertLessEqual(max(excess), slots)
                self.assertLess(sum(excess) / len(excess), 0.25)


if __name__ == "__main__":
    unittest.main()
