from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.core.attempts import AttemptTable
from magnoliarouter.core.cache import VersionedCache
from magnoliarouter.core.digest import STALE_S, DigestRow, DigestTable
from magnoliarouter.core.load import LoadReport
from magnoliarouter.core.membership import EntryVm
from magnoliarouter.core.placement import Chosen, NoEndpoint
from magnoliarouter.core.prefixes import CacheChange, hash_head
from magnoliarouter.daemon.collector import Collector
from magnoliarouter.daemon.digests import DigestFollower, order_collectors
from magnoliarouter.endpoints.monitor import EndpointMonitor, _CacheEvent
from magnoliarouter.peers import PeerError
from magnoliarouter.pipeline.call import ModelCall
from magnoliarouter.pipeline.place import Placement
from magnoliarouter.store.objects import VmSpec
from magnoliarouter.telemetry.metrics import Metrics
from magnoliarouter.tests.builders import build_call, build_endpoint
from magnoliarouter.tests.clock import advance, run_paused, settle

IDLE = LoadReport(0, 8, 8)
PREFIX = "x" * 256


def build_row(name="a", report=IDLE, incarnation="i1", zone="zone-1", cache=None):
    return DigestRow(name, zone, incarnation, report, 0.0, cache)


class DigestTableTest(unittest.TestCase):
    def test_only_changes_are_read(self):
        table = DigestTable()
        table.update(build_row("a"), 0.0)
        version = table.version
        table.update(build_row("b"), 0.0)
        self.assertEqual([row.name for row in table.read(version)], ["b"])
        self.assertEqual(table.read(table.version), [])

    def test_endpoint_is_new_once_per_incarnation(self):
        table = DigestTable()
        table.update(build_row(), 0.0)
        first = table.read(0)[0]
        version = table.version
        table.update(build_row(), 1.0)
        again = table.read(version)[0]
        self.assertEqual((first.is_new, again.is_new), (True, False))
        self.assertEqual(first.number, again.number)
        table.update(build_row(incarnation="i2"), 2.0)
        self.assertTrue(table.read(version)[0].is_new)

    def test_cache_changes_are_merged_and_not_sent_to_other_zones(self):
        table = DigestTable()
        table.update(build_row(cache=CacheChange(0, 1, stored=(1, 2))), 0.0)
        table.update(build_row(cache=CacheChange(1, 2, removed=(1,))), 0.0)
        self.assertEqual(table.read(0)[0].cache, CacheChange(0, 2, (2,), (1,)))
        self.assertIsNone(table.read(0, "zone-1")[0].cache)
        self.assertEqual(table.read(0, "zone-2"), [])

    def test_endpoint_without_contact_is_stale(self):
        table = DigestTable()
        table.update(build_row("a"), 0.0)
        table.update(build_row("b"), 0.0)
        table.confirm("b", STALE_S)
        self.assertEqual(table.list_stale(STALE_S + 0.1), ["a"])


class CollectorOrderTest(unittest.TestCase):
    def test_daemons_share_two_collectors_and_fall_back_to_the_rest(self):
        vms = [EntryVm(f"entry-{n}", "zone-1", f"127.0.1.1:{n}") for n in range(6)]
        orders = [order_collectors("zone-1", vm.name, vms) for vm in vms]
        self.assertEqual(len({frozenset(vm.name for vm in order[:2]) for order in orders}), 1)
        self.assertEqual(len({order[0].name for order in orders}), 2)
        self.assertEqual({len(order) for order in orders}, {6})

    def test_leaving_collector_comes_last(self):
        vms = [EntryVm(f"entry-{n}", "zone-1", "127.0.1.1:1", leaving=n < 2) for n in range(3)]
        self.assertEqual(order_collectors("zone-1", "x", vms)[0].name, "entry-2")


class MonitorTest(unittest.TestCase):
    def test_lost_event_resets_the_log(self):
        async def main():
            monitor = EndpointMonitor(AttemptTable("i1"), 8, 8, lambda: 0.0)
            monitor.apply_cache_events([_CacheEvent(1, (11,)), _CacheEvent(2, (12,))])
            self.assertEqual(monitor.read_cache(0).stored, (11, 12))
            monitor.apply_cache_events([_CacheEvent(4, (14,))])
            run = monitor.read_cache(0)
            self.assertEqual((run.stored, run.reset), ((14,), True))

        run_paused(main())

    def test_drain_is_told_at_once_and_load_after_the_pause(self):
        async def main():
            loop = asyncio.get_running_loop()
            table = AttemptTable("i1")
            monitor = EndpointMonitor(table, 8, 8, loop.time)
            waiter = asyncio.create_task(monitor.wait_for_change(1, 10.0, 3.0))
            for number in range(4):
                table.start(str(number), "i1", loop.time())
            monitor.publish_if_changed()
            await advance(2.9)
            self.assertFalse(waiter.done())
            await advance(0.2)
            self.assertTrue(waiter.done())
            waiter = asyncio.create_task(monitor.wait_for_change(monitor.sequence, 10.0, 3.0))
            await settle()
            table.draining = True
            monitor.publish_if_changed()
            await settle()
            self.assertTrue(waiter.done())

        run_paused(main())

    def test_delayed_report_carries_its_age(self):
        async def main():
            loop = asyncio.get_running_loop()
            table = AttemptTable("i1")
            monitor = EndpointMonitor(table, 8, 8, loop.time, report_delay=5.0)
            monitor.publish_if_changed()
            await advance(5.0)
            table.start("1", "i1", loop.time())
            monitor.publish_if_changed()
            report = monitor.report()
            self.assertEqual((report.running, report.age), (0, 5.0))
            await advance(5.0)
            self.assertEqual(monitor.report().running, 1)

        run_paused(main())


class FakePeers:
    """Peers that respond through the collector at their address; the others are unreachable."""

    def __init__(self, collectors):
        self.collectors = collectors
        self.called_addresses = []

    async def call(self, address, method, request, reply_type, deadline):
        self.called_addresses.append(address)
        if address not in self.collectors:
            raise PeerError(address)
        return await self.collectors[address].serve(request)


class DigestFollowerTest(unittest.TestCase):
    def setUp(self):
        self.now = 100.0
        self.endpoints = VersionedCache()
        self.vms = VersionedCache()
        for number in (1, 2):
            vm = VmSpec(f"entry-{number}", "zone-1", "entry", f"peer-{number}")
            self.vms.apply(vm.name, 1, vm)
        self.placement = Placement("zone-1", self.endpoints, lambda: self.now)
        self.metrics = Metrics()

    def build_collector(self):
        return Collector("zone-1", VersionedCache(), None, lambda: self.now)

    def build_follower(self, peers):
        return DigestFollower(
            "entry-9",
            "zone-1",
            self.vms,
            self.placement,
            self.build_collector(),
            peers,
            lambda: self.now,
            self.metrics,
        )

    def place(self):
        return self.placement.place(build_call(ModelCall("draft", False, PREFIX, 64, 80)))

    def test_report_cache_and_drain_reach_the_placement(self):
        async def main():
            self.endpoints.apply("a", 1, build_endpoint("a"))
            collector = self.build_collector()
            follower = self.build_follower(FakePeers({"peer-1": collector, "peer-2": collector}))
            cache = CacheChange(0, 1, stored=(hash_head(PREFIX),))
            collector.table.update(build_row(cache=cache), self.now)
            await follower.fetch()
            self.assertTrue(self.place().warm)
            draining = LoadReport(0, 8, 8, draining=True)
            collector.table.update(build_row(report=draining), self.now)
            await follower.fetch()
            self.assertEqual(self.place(), NoEndpoint())

        run_paused(main())

    def test_other_zones_are_read_through_the_own_collector_without_caches(self):
        async def main():
            self.vms.apply("far", 1, VmSpec("far", "zone-2", "entry", "peer-far"))
            self.vms.apply("entry-9", 1, VmSpec("entry-9", "zone-1", "entry", "peer-9"))
            for number in (1, 2):
                self.vms.apply(f"entry-{number}", 2, None)
            self.endpoints.apply("b", 1, build_endpoint("b", zone="zone-2"))
            far = Collector("zone-2", VersionedCache(), None, lambda: self.now)
            cache = CacheChange(0, 1, stored=(hash_head(PREFIX),))
            far.table.update(build_row("b", zone="zone-2", cache=cache), self.now)
            follower = self.build_follower(FakePeers({"peer-far": far}))
            for _ in range(3):
                await follower.fetch()
                self.now += 1.0
            self.assertFalse(self.place().warm)
            draining = LoadReport(0, 8, 8, draining=True)
            far.table.update(build_row("b", draining, zone="zone-2"), self.now)
            await follower.fetch()
            await follower.fetch()
            self.assertEqual(self.place(), NoEndpoint())

        run_paused(main())

    def test_dead_collector_is_skipped_and_avoided(self):
        async def main():
            self.endpoints.apply("a", 1, build_endpoint("a"))
            collector = self.build_collector()
            first = order_collectors(
                "zone-1",
                "entry-9",
                [EntryVm(vm.name, vm.zone, vm.address) for vm in self.vms.values().values()],
            )[0]
            alive = {"peer-1": collector, "peer-2": collector}
            del alive[first.address]
            peers = FakePeers(alive)
            follower = self.build_follower(peers)
            collector.table.update(build_row(), self.now)
            await follower.fetch()
            await follower.fetch()
            self.assertEqual(peers.called_addresses.count(first.address), 1)
            self.assertEqual(len(peers.called_addresses), 3)
            self.assertIsInstance(self.place(), Chosen)

        run_paused(main())

    def test_missing_collector_is_counted_and_reports_fade(self):
        async def main():
            self.endpoints.apply("a", 1, build_endpoint("a"))
            self.placement.apply_report("a", LoadReport(15, 8, 8), self.now)
            await self.build_follower(FakePeers({})).fetch()
            self.now += 60.0
            self.assertAlmostEqual(self.place().wait, 0.0)
            failures = self.metrics.digest_failures.labels("zone-1")
            self.assertEqual(failures._value.get(), 1)

        run_paused(main())

    def test_restarted_collector_is_read_from_the_start(self):
        async def main():
            self.endpoints.apply("a", 1, build_endpoint("a"))
            old, new = self.build_collector(), self.build_collector()
            peers = FakePeers({"peer-1": old, "peer-2": old})
            follower = self.build_follower(peers)
            for _ in range(3):
                old.table.update(build_row(), self.now)
            await follower.fetch()
            peers.collectors = {"peer-1": new, "peer-2": new}
            self.now += 1.0
            draining = LoadReport(0, 8, 8, draining=True)
            new.table.update(build_row(report=draining), self.now)
            await follower.fetch()
            await follower.fetch()
            self.assertEqual(self.place(), NoEndpoint())

        run_paused(main())
