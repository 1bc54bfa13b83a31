"""Order, bound and refusals of waiting calls by need: `core.admission` and the wait queue."""

from __future__ import annotations

import asyncio
import random
import unittest
import unittest.mock

import msgspec

from magnoliarouter.cli.status import _format_gateway
from magnoliarouter.core.admission import (
    FIRST_URGENCY,
    MAX_QUEUED_CALLS,
    MAX_RETURN_S,
    MIN_QUEUED_CALLS,
    UNKNOWN_RETURN_S,
    Joined,
    NeedQueue,
    Room,
)
from magnoliarouter.core.holds import HoldMeter
from magnoliarouter.core.outcome import NotRun, ResultCode
from magnoliarouter.daemon.gatewayview import describe_gateway
from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.gateway.peerqueues import MAX_REPORTED_CALLS, MAX_URGENCIES
from magnoliarouter.gateway.peers import PeerLoads, PeerMessage
from magnoliarouter.gateway.routes import Tenant
from magnoliarouter.gateway.waiting import RETURN_SPREAD_SHARE, WaitQueue
from magnoliarouter.tests.admissionbuilders import build_call, build_config, fill_queue, read_names
from magnoliarouter.tests.clock import run_auto_advance, wait_until
from magnoliarouter.tests.platform_standin import build_configuration
from magnoliarouter.tests.test_forward import ForwardCase, build_route
from magnoliarouter.tests.test_gateway import GatewayCase


class OrderTest(unittest.TestCase):
    def test_started_streams_then_urgency_then_on_time_then_returned_then_arrival(self):
        queue = NeedQueue()
        fill_queue(
            queue,
            build_call("routine", 2),
            build_call("late", 1, on_time_s=-1.0),
            build_call("new", 1),
            build_call("late returned", 1, on_time_s=-1.0, returned=True),
            build_call("returned", 1, returned=True),
            build_call("urgent", 0),
            build_call("stream", FIRST_URGENCY),
        )
        expected = ["stream", "urgent", "returned", "new", "late returned", "late", "routine"]
        self.assertEqual(read_names(queue), expected)

    def test_call_that_turns_late_goes_behind_those_on_time(self):
        queue = NeedQueue()
        fill_queue(queue, build_call("first", 1, on_time_s=0.2), build_call("second", 1))
        self.assertEqual(read_names(queue, 0.2), ["first", "second"])
        self.assertEqual(read_names(queue, 0.3), ["second", "first"])

    def test_account_that_asks_for_little_is_served_before_the_second_share_of_a_large_one(self):
        queue = NeedQueue()
        fill_queue(queue, *(build_call(f"large {number}", 1, "large") for number in range(4)))
        fill_queue(queue, build_call("small", 1, "small"))
        self.assertEqual(read_names(queue)[:2], ["large 0", "small"])

    def test_account_alone_gets_everything(self):
        queue = NeedQueue()
        names = [f"call {number}" for number in range(MAX_QUEUED_CALLS)]
        results = fill_queue(queue, *(build_call(name, 1, "only") for name in names))
        self.assertEqual((results, read_names(queue)), ([Joined()] * len(names), names))

    def test_kind_that_is_served_far_less_often_is_moved_up_until_it_is_not(self):
        queue, room = NeedQueue(), Room(rate=10.0)
        for number in range(40):
            call = build_call(f"urgent {number}", 0)
            fill_queue(queue, call, room=room)
            queue.take(call, 0.0)
        for _ in range(20):
            queue.give_up(build_call("lost", 3), room, 0.0)
        fill_queue(queue, build_call("urgent", 0), build_call("routine", 3), build_call("other", 1))
        self.assertEqual(read_names(queue), ["urgent", "routine", "other"])
        for number in range(20):
            call = build_call(f"routine {number}", 3)
            fill_queue(queue, call, room=room)
            queue.take(call, 0.0)
        fill_queue(queue, build_call("last", 3))
        self.assertEqual(read_names(queue)[-1], "last")


class BoundTest(unittest.TestCase):
    def admit(self, queue, *calls, room=Room(), now=0.0):  # noqa: B008
        return fill_queue(queue, *calls, room=room, now=now)[-1]

    def test_urgent_call_displaces_the_one_that_would_be_served_last(self):
        queue = NeedQueue()
        fill_queue(queue, *(build_call(str(number), 3) for number in range(MAX_QUEUED_CALLS)))
        result = self.admit(queue, build_call("urgent", 0))
        self.assertEqual(result.displaced.item, str(MAX_QUEUED_CALLS - 1))
        self.assertEqual(result.refusal.code, ResultCode.DISPLACED)
        self.assertEqual((len(queue), read_names(queue)[0]), (MAX_QUEUED_CALLS, "urgent"))

    def test_call_that_would_be_served_last_is_refused_at_once_by_a_full_queue(self):
        queue = NeedQueue()
        fill_queue(queue, *(build_call(str(number), 0) for number in range(MAX_QUEUED_CALLS)))
        result = self.admit(queue, build_call("routine", 3))
        self.assertEqual(result.refusal.code, ResultCode.QUEUE_FULL)
        self.assertEqual(result.refusal.retry_after, UNKNOWN_RETURN_S)

    def test_started_stream_always_waits(self):
        queue = NeedQueue()
        names = [f"stream {number}" for number in range(2 * MAX_QUEUED_CALLS)]
        results = fill_queue(
            queue,
            *(build_call(name, FIRST_URGENCY, on_time_s=-1.0) for name in names),
            room=Room(rate=0.1),
        )
        self.assertEqual((results, read_names(queue)), ([Joined()] * len(names), names))

    def test_as_many_calls_wait_as_can_start_on_time(self):
        room = Room(rate=40.0, daemons=2)
        for on_time_s, expected in ((0.5, 10), (0.01, MIN_QUEUED_CALLS), (0.75, 15)):
            queue = NeedQueue()
            fill_queue(
                queue,
                *(build_call(str(number), 1, on_time_s=on_time_s) for number in range(50)),
                room=room,
            )
            self.assertEqual(len(queue), expected, on_time_s)

    def test_call_that_cannot_be_served_within_its_wait_is_refused_on_arrival(self):
        queue, room = NeedQueue(), Room(rate=2.0)
        fill_queue(queue, *(build_call(str(number), 1) for number in range(3)), room=room)
        result = self.admit(queue, build_call("last", 1, wait_s=1.5), room=room)
        self.assertEqual(result.refusal.code, ResultCode.DEADLINE_UNREACHABLE)
        self.assertIn("expected in 2.0 s", result.refusal.reason)
        self.assertIsInstance(
            self.admit(queue, build_call("urgent", 0, wait_s=1.5), room=room), Joined
        )

    def test_calls_that_wait_elsewhere_count(self):
        room = Room(rate=10.0, daemons=3, peers=[[0, 5], [0, 0, 40]])
        result = self.admit(NeedQueue(), build_call("urgent", 0, wait_s=1.0), room=room)
        self.assertIsInstance(result, Joined)
        result = self.admit(NeedQueue(), build_call("routine", 1, wait_s=1.0), room=room)
        self.assertEqual(result.refusal.code, ResultCode.DEADLINE_UNREACHABLE)


class ReturnTimeTest(unittest.TestCase):
    def refuse(self, queue, urgency, room, now=0.0):
        return queue.give_up(build_call("refused", urgency), room, now).retry_after

    def test_return_is_not_before_the_calls_ahead_are_served(self):
        queue, room = NeedQueue(), Room(rate=2.0, peers=[[0, 1, 4]])
        fill_queue(queue, build_call("waiting", 1), room=room)
        self.assertGreaterEqual(self.refuse(queue, 2, room), (1 + 1 + 5) / 2.0)
        self.assertAlmostEqual(self.refuse(queue, 0, room), (1 + 1) / 2.0)

    def test_callers_are_told_times_one_after_the_other(self):
        queue, room = NeedQueue(), Room(rate=20.0)
        times = [self.refuse(queue, 1, room) for _ in range(6)]
        gaps = [second - first for first, second in zip(times, times[1:], strict=False)]
        self.assertGreaterEqual(min(gaps), 1 / 20.0)

    def test_return_time_is_bounded(self):
        queue, room = NeedQueue(), Room(rate=0.5)
        times = [self.refuse(queue, 1, room) for _ in range(20)]
        self.assertEqual((times[0], times[-1], max(times)), (2.0, MAX_RETURN_S, MAX_RETURN_S))


class HoldMeterTest(unittest.TestCase):
    def test_mean_is_unknown_at_first_and_a_stall_counts_little(self):
        meter = HoldMeter()
        self.assertIsNone(meter.mean_s())
        for _ in range(20):
            meter.record(0.5)
        for _ in range(4):
            meter.record(9.0)
        self.assertAlmostEqual(meter.mean_s(), 0.58, delta=0.01)


class ConfigurationTest(unittest.TestCase):
    def test_services_whose_calls_can_differ_in_urgency(self):
        for urgencies, tenants, expected in (
            ((1, 1), None, set()),
            ((1, 2), None, {"app"}),
            ((1,), {"k": Tenant("a")}, set()),
            ((1,), {"k": Tenant("a"), "l": Tenant("b", 0)}, {"app"}),
            ((1, 2), {"k": Tenant("a", 5)}, set()),
        ):
            with self.subTest(urgencies=urgencies, tenants=tenants):
                config = build_config(urgencies, tenants)
                self.assertEqual(config.list_mixed_services(), expected)


class WaitQueueByNeedTest(unittest.TestCase):
    """One endpoint with one slot, which each call holds for 0.2 s."""

    HOLD_S = 0.2

    def run_queue(self, scenario, daemons=1, by_need=True):
        async def main():
            self.loop = asyncio.get_running_loop()
            self.table = EndpointTable("z1", random.Random(1))
            self.table.put(Endpoint("a", "app", "a:1", "z1", 1))
            self.queue = WaitQueue(self.table, self.loop.time, lambda: daemons)
            self.by_need = by_need
            self.queue.serves_by_need = lambda service: self.by_need
            self.order = []
            return await scenario()

        random.seed(1)
        return run_auto_advance(main())

    async def call(self, name, urgency=1, wait_s=5.0, **fields):
        started_at = self.loop.time()
        result = await self.queue.acquire("app", set(), urgency, wait_s, **fields)
        waited = self.loop.time() - started_at
        if result is not None and not isinstance(result, NotRun):
            self.order.append(name)
            await asyncio.sleep(self.HOLD_S)
            self.table.finish_request(result.identity)
            self.queue.record_hold("app", self.HOLD_S)
            self.queue.wake()
        return result, waited

    def start(self, *arguments, **fields):
        return self.loop.create_task(self.call(*arguments, **fields))

    async def warm_up(self):
        for _ in range(4):
            await self.call("warm")
        self.order.clear()

    def test_displaced_call_is_refused_at_once_as_not_run(self):
        async def scenario():
            calls = [self.start(number, 3) for number in range(1 + MAX_QUEUED_CALLS)]
            await asyncio.sleep(0.1)
            calls.append(self.start("urgent", 0))
            return await asyncio.gather(*calls)

        results = self.run_queue(scenario)
        refusal, waited = results[MAX_QUEUED_CALLS]
        self.assertEqual((refusal.code, round(waited, 3)), (ResultCode.DISPLACED, 0.1))
        self.assertEqual(self.order[:2], [0, "urgent"])
        self.assertEqual(self.queue.describe()["app"]["refused"], {"displaced": 1})

    def test_call_without_a_chance_is_refused_at_once_with_the_time_that_is_ahead(self):
        async def scenario():
            await self.warm_up()
            calls = [self.start(number) for number in range(5)]
            await asyncio.sleep(0)
            refused = await self.call("refused", wait_s=0.6)
            await asyncio.gather(*calls)
            return refused

        refusal, waited = self.run_queue(scenario)
        self.assertEqual((refusal.code, waited), (ResultCode.DEADLINE_UNREACHABLE, 0.0))
        self.assertTrue(1.0 <= refusal.retry_after <= 1.0 * (1 + RETURN_SPREAD_SHARE) + 0.01)

    def test_caller_that_returned_goes_before_new_ones_of_its_kind(self):
        async def scenario():
            calls = [self.start(name) for name in ("first", "new")]
            calls.append(self.start("returned", returned=True))
            calls.append(self.start("urgent", 0))
            await asyncio.gather(*calls)

        self.run_queue(scenario)
        self.assertEqual(self.order, ["first", "urgent", "returned", "new"])

    def test_wait_that_ends_is_refused_with_a_return_time(self):
        async def scenario():
            self.table.start_request("a")
            return await self.call("call", wait_s=0.3)

        refusal, waited = self.run_queue(scenario)
        self.assertEqual((refusal.code, round(waited, 3)), (ResultCode.QUEUE_FULL, 0.3))
        self.assertGreaterEqual(refusal.retry_after, UNKNOWN_RETURN_S)

    def test_service_that_turns_keeps_its_waiting_calls(self):
        for turns in ([False, True], [True, False], [True, False, True]):

            async def scenario(turns=turns):
                self.by_need = turns[0]
                calls = [self.start(name, 3) for name in ("first", "second", "third")]
                calls.append(self.start("urgent", 0))
                for by_need in turns[1:]:
                    await asyncio.sleep(0.05)
                    self.by_need = by_need
                    self.queue.wake()
                return await asyncio.gather(*calls)

            results = self.run_queue(scenario)
            self.assertEqual(self.order, ["first", "urgent", "second", "third"], turns)
            self.assertEqual(len(results), 4)

    def test_cancelled_call_releases_its_slot(self):
        async def scenario():
            self.table.start_request("a")
            task = self.start("call")
            await asyncio.sleep(0.01)
            self.table.finish_request("a")
            self.queue.wake()
            task.cancel()
            await asyncio.gather(task, return_exceptions=True)
            return dict(self.table.own_requests), self.queue.length("app")

        self.assertEqual(self.run_queue(scenario), ({}, 0))

    def test_delay_before_a_reported_slot_does_not_grow_with_the_daemons(self):
        async def scenario():
            self.table.start_request("a")
            task = self.start("only", 3)
            await asyncio.sleep(0.3001)
            self.table.finish_request("a")
            self.queue.schedule_wake()
            return await task

        for daemons in (9, 34, 98):
            _, waited = self.run_queue(scenario, daemons)
            self.assertLess(waited, 0.335, daemons)

    def test_daemon_with_less_urgent_calls_draws_later_by_a_bounded_time(self):
        async def scenario():
            self.table.start_request("a")
            task = self.start("routine", 3)
            await asyncio.sleep(0.01)
            delays = []
            for peers in ([], [[0, 1]], [[0, 1]] * 90, [[0, 0, 0, 0, 1]] * 3):
                self.queue.list_peer_queues = lambda service, peers=peers: peers
                with unittest.mock.patch("random.random", return_value=0.0):
                    found = self.queue._find("app")
                    delays.append(self.queue._choose_delay_s("app", found))
            self.table.finish_request("a")
            self.queue.wake()
            await task
            return delays

        alone, one, many, equal = self.run_queue(scenario, 98)
        self.assertEqual(alone, equal)
        self.assertGreater(one, alone)
        self.assertGreater(many, one)
        self.assertLess(many, 0.02)

    def test_status_names_waiting_calls_rate_and_expected_wait(self):
        async def scenario():
            await self.warm_up()
            calls = [self.start(number, urgency) for number, urgency in enumerate((1, 1, 3))]
            await asyncio.sleep(0.01)
            described = self.queue.describe()["app"]
            await asyncio.gather(*calls)
            return described

        described = self.run_queue(scenario)
        self.assertEqual((described["order"], described["waiting"]), ("need", {"1": 1, "3": 1}))
        self.assertAlmostEqual(described["places_per_s"], 5.0, delta=0.1)
        self.assertAlmostEqual(described["expected_wait_s"]["1"], 0.4, delta=0.05)

    def test_other_daemons_are_told_of_calls_by_need_alone(self):
        async def scenario():
            self.table.start_request("a")
            announced = unittest.mock.Mock()
            self.queue.announce = announced
            task = self.start("call", 2, wait_s=0.1)
            await asyncio.sleep(0.01)
            reported = self.queue.report_queues()
            await task
            return reported, announced.call_count

        self.assertEqual(self.run_queue(scenario), ({"app": [0, 0, 0, 1]}, 1))
        self.assertEqual(self.run_queue(scenario, by_need=False), ({}, 0))


class PeerReportTest(unittest.IsolatedAsyncioTestCase):
    def receive(self, peers, name, number, queues):
        message = PeerMessage(name, 1, number, {}, queues=queues)
        peers.datagram_received(msgspec.msgpack.encode(message), ("127.0.0.1", 9))

    async def test_lengths_out_of_range_are_logged_once_and_leave_the_last_good_ones(self):
        peers = PeerLoads("b", 1, dict, lambda name, loads: None)
        self.receive(peers, "a", 1, {"app": [0, 2]})
        bad = ([-1], [MAX_REPORTED_CALLS + 1], [0] * (MAX_URGENCIES + 1), [0, 10**15])
        with unittest.mock.patch("magnoliarouter.gateway.peerqueues.log_event") as log:
            for number, counts in enumerate(bad):
                self.receive(peers, "a", 2 + number, {"app": counts})
                self.assertEqual(peers.list_queues("app"), [[0, 2]])
        self.assertEqual(log.call_count, 1)
        self.assertEqual(log.call_args.kwargs["field"], "queues")
        self.assertIn("-1", log.call_args.kwargs["value"])
        self.receive(peers, "a", 9, {})
        self.assertEqual(peers.list_queues("app"), [])

    async def test_daemon_that_does_not_exist_is_ignored(self):
        peers = PeerLoads("b", 1, dict, lambda name, loads: None)
        peers.set_peers({"a": ("127.0.0.1", 9)})
        self.receive(peers, "x", 1, {"app": [0, 900]})
        self.receive(peers, "a", 1, {"app": [1]})
        self.assertEqual(peers.list_queues("app"), [[1]])

    async def test_message_of_an_older_build_is_decoded(self):
        fields = msgspec.msgpack.decode(msgspec.msgpack.encode(PeerMessage("a", 1, 2, {"e": 1})))
        older = msgspec.msgpack.encode(fields[:15])
        self.assertEqual(msgspec.msgpack.decode(older, type=PeerMessage).queues, {})


class ForwardedCallTest(ForwardCase):
    async def test_call_without_a_chance_is_refused_unsent_with_a_true_time(self):
        await self.add(lambda peer: asyncio.sleep(0), slots=1)
        self.waiting.serves_by_need = lambda service: True
        for _ in range(4):
            self.waiting.record_hold("app", 0.2)
        self.table.start_request("e1")
        waiting = [
            asyncio.create_task(self.waiting.acquire("app", set(), 1, 9.0, customer="tenant-1"))
            for _ in range(20)
        ]
        await asyncio.sleep(0)
        started_at = self.clock()
        outcome = await self.forward(build_route())
        self.assertLess(self.clock() - started_at, 0.1)
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(outcome.code, ResultCode.DEADLINE_UNREACHABLE)
        self.assertTrue(4.2 <= outcome.retry_after <= 4.2 * (1 + RETURN_SPREAD_SHARE) + 0.01)
        self.assertEqual(self.heads, [])
        for task in waiting:
            task.cancel()
        await asyncio.gather(*waiting, return_exceptions=True)


class SettingTest(GatewayCase):
    async def test_setting_and_configuration_in_force_decide_how_a_service_is_served(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        served = daemon._queue.serves_by_need
        self.assertEqual(daemon.settings.admission, "arrival")
        daemon.settings = msgspec.structs.replace(daemon.settings, admission="auto")
        self.assertFalse(served("app"))
        configuration = build_configuration(2, routes=("/a/", "/public/"))
        configuration["routes"][1]["priority"] = 3
        await self.store.put("config", "main", configuration)
        await wait_until(lambda: served("app"))
        self.assertFalse(served("other"))
        await self.check_status(daemon)
        for admission, expected in (("arrival", False), ("need", True), ("auto", True)):
            daemon.settings = msgspec.structs.replace(daemon.settings, admission=admission)
            self.assertIs(served("app"), expected)
        await self.store.put("config", "main", build_configuration(3))
        await wait_until(lambda: not served("app"))

    async def check_status(self, daemon):
        for _ in range(self.engine.build_entry()["slots"]):
            daemon.table.start_request("e1")
        waits = asyncio.create_task(daemon._queue.acquire("app", set(), 3, 0.2))
        await asyncio.sleep(0.1)
        now = asyncio.get_running_loop().time()
        self.assertRegex(_format_gateway(describe_gateway(daemon, now)), r"app +3 +1 ")
        self.assertIsInstance(await waits, NotRun)
        refused = _format_gateway(describe_gateway(daemon, now))
        self.assertRegex(refused, r"app +queue_full +1")


if __name__ == "__main__":
    unittest.main()
