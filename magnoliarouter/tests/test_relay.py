from __future__ import annotations

import asyncio
import random
import unittest

from hypothesis import given
from hypothesis import strategies as st

from magnoliarouter.core.membership import EntryVm
from magnoliarouter.core.relays import RelayObservations, plan_relays, should_watch
from magnoliarouter.peers import PeerError
from magnoliarouter.peers.follower import RelayFollower, RelaySelector
from magnoliarouter.peers.relay import RelayItem, RelayLog, RelayLogReader, RelayReply, RelayRequest
from magnoliarouter.store.objects import StoredObject
from magnoliarouter.tests.clock import advance, run_paused
from magnoliarouter.tests.test_replica import (
    HISTORIES,
    INVALID_VALUE,
    NAMES,
    SETTINGS,
    build_item,
    build_replica,
    state_at,
)

ZONES = ("zone-1", "zone-2", "zone-3")


def build_vms(per_zone=4):
    return [EntryVm(f"{zone}-{n}", zone, f"{zone}:{n}") for zone in ZONES for n in range(per_zone)]


class RelayPlanTest(unittest.TestCase):
    def test_two_daemons_of_each_zone_hold_the_duty(self):
        vms = build_vms()
        plans = {vm.name: plan_relays(vm.name, vm.zone, vms) for vm in vms}
        for zone in ZONES:
            holders = [name for name, plan in plans.items() if plan.holds_duty and zone in name]
            self.assertEqual(len(holders), 2)
        for vm in vms:
            plan = plans[vm.name]
            self.assertNotIn(vm.address, plan.local_sources)
            self.assertTrue(all(address.startswith(vm.zone) for address in plan.local_sources))
            if not plan.holds_duty:
                holding = {v.address for v in vms if v.zone == vm.zone and plans[v.name].holds_duty}
                self.assertEqual(set(plan.local_sources[:2]), holding)
            self.assertEqual(len(plan.remote_sources), 4)

    def test_leaving_holder_hands_over(self):
        vms = build_vms()
        first = next(vm for vm in vms if plan_relays(vm.name, vm.zone, vms).holds_duty)
        vms = [EntryVm(v.name, v.zone, v.address, v.name == first.name) for v in vms]
        self.assertFalse(plan_relays(first.name, first.zone, vms).holds_duty)

    def test_first_daemon_of_a_zone_watches(self):
        self.assertTrue(plan_relays("a", "zone-1", []).holds_duty)
        self.assertTrue(plan_relays("a", "zone-9", build_vms()).holds_duty)
        self.assertFalse(plan_relays("not-listed-yet", "zone-1", build_vms()).holds_duty)

    def test_follower_watches_when_followed_without_relays_or_stale(self):
        follower = next(
            plan
            for vm in build_vms()
            if not (plan := plan_relays(vm.name, vm.zone, build_vms())).holds_duty
        )
        for expected, observations in (
            (False, RelayObservations(None, None, 95.0)),
            (True, RelayObservations(90.0, None, 95.0)),
            (False, RelayObservations(80.0, None, 95.0)),
            (True, RelayObservations(None, 95.0, 95.0)),
            (False, RelayObservations(None, 98.5, 95.0)),
            (True, RelayObservations(None, None, 40.0)),
        ):
            with self.subTest(observations):
                self.assertIs(should_watch(follower, observations, 100.0, 0.5), expected)


class RelayModelTest(unittest.TestCase):
    """A follower of two relays under random histories, batches, restarts and switches of relay."""

    @SETTINGS
    @given(HISTORIES, st.data())
    def test_follower_ends_as_its_relays(self, history, data):
        follower = build_replica()
        versions = dict.fromkeys(NAMES, 0)
        relays = [self.build_relay() for _ in range(2)]
        readers = [RelayLogReader({"word": follower}) for _ in range(2)]
        known = [0, 0]
        for _ in range(data.draw(st.integers(1, 10))):
            number = data.draw(st.integers(0, 1))
            if data.draw(st.integers(0, 5)) == 0:
                relays[number], known[number] = self.build_relay(), 0
            up_to_version = data.draw(st.integers(known[number], len(history)))
            self.feed_relay(relays[number][0], history, known[number], up_to_version)
            known[number] = up_to_version
            for _ in range(data.draw(st.integers(0, 3))):
                self.poll(relays[number][1], readers[number])
            for name in NAMES:
                self.assertGreaterEqual(follower.cache.version_of(name), versions[name])
                versions[name] = follower.cache.version_of(name)
        replica, log = relays[0]
        self.feed_relay(replica, history, known[0], len(history))
        for _ in range(2 * len(history) + 3):
            self.poll(log, readers[0])
        current = {c.name: c.value for c in state_at(history, len(history))}
        for name in NAMES:
            if current.get(name) != INVALID_VALUE:
                self.assertEqual(follower.cache.get(name), current.get(name))
        self.assertEqual(follower.version, len(history))
        self.assertEqual(set(follower.errors), set(replica.errors))

    def build_relay(self):
        self.relays_built = getattr(self, "relays_built", 0) + 1
        replica = build_replica()
        log = RelayLog(f"log-{self.relays_built}", lambda: 0.0, batch_bytes=60)
        log.add_replica(replica)
        return replica, log

    def feed_relay(self, replica, history, known, up_to_version):
        if replica.synchronized.is_set():
            changes = [change for change in history if known < change.version <= up_to_version]
            replica.apply_changes(up_to_version, changes, known)
        else:
            replica.apply_list(up_to_version, state_at(history, up_to_version))

    def poll(self, log, reader):
        request = reader.build_request(0.0)
        known = request.incarnation == log.incarnation
        reader.apply(log.read(request.after if known else 0), 0.0)


class RelayLogReaderTest(unittest.TestCase):
    def setUp(self):
        self.replica = build_replica()
        self.reader = RelayLogReader({"word": self.replica})

    def test_refused_objects_come_after_those_in_force(self):
        order = []
        self.replica.on_item = lambda item, refused: order.append(item.name)
        relay = build_replica()
        log = RelayLog("one", lambda: 0.0)
        log.add_replica(relay)
        relay.apply(build_item("b", 2, INVALID_VALUE))
        relay.apply(build_item("a", 3, "x"))
        self.reader.apply(log.read(0), 0.0)
        self.assertEqual(order, ["a", "b"])

    def test_absence_from_an_incomplete_log_deletes_nothing(self):
        self.replica.apply(build_item("a", 3, "x"))
        self.reader.apply(RelayReply("one", 0, [], complete={}), 0.0)
        self.assertEqual(self.replica.cache.get("a"), "x")
        self.reader.apply(RelayReply("one", 1, [], complete={"word": 9}), 0.0)
        self.assertIsNone(self.replica.cache.get("a"))

    def test_floor_of_the_relay_is_adopted(self):
        self.replica.apply(build_item("a", 3, "x"))
        reply = RelayReply("one", 0, [], complete={"word": 9}, floors={"word": 5})
        self.reader.apply(reply, 0.0)
        self.assertEqual(self.replica.cache.get("a"), "x")

    def test_unreadable_items_are_skipped(self):
        items = [RelayItem(b"\xff{", False), RelayItem(b'{"kind": 5}', True)]
        self.reader.apply(RelayReply("one", 1, items), 0.0)
        self.assertEqual(dict(self.replica.cache.values()), {})

    def test_age_counts_from_the_platform(self):
        self.reader.apply(RelayReply("one", 1, [], ages={"word": 7.0}), 100.0)
        self.assertEqual(self.replica.last_contact_at, 93.0)


class RelayLogTest(unittest.TestCase):
    def test_waits_for_changes_and_responds_to_a_new_follower_at_once(self):
        async def main():
            loop = asyncio.get_running_loop()
            log = RelayLog("one", loop.time)
            log.add_replica(replica := build_replica())
            first = await log.serve(RelayRequest("", 0, 5.0))
            self.assertEqual((first.items, loop.time()), ([], 1000.0))
            waiting = asyncio.create_task(log.serve(RelayRequest("one", 0, 5.0)))
            await asyncio.sleep(1.0)
            replica.apply(StoredObject("word", "a", 1, "x"))
            self.assertEqual(len((await waiting).items), 1)
            return log.last_request_at

        async def drive():
            task = asyncio.create_task(main())
            await advance(10)
            return await task

        self.assertEqual(run_paused(drive()), 1000.0)


class ScriptedPeers:
    """Peers whose logs respond at once, except for those in `silent`."""

    def __init__(self, logs):
        self.logs, self.silent, self.requests = logs, set(), []

    async def call(self, address, method, request, reply_type, deadline):
        self.requests.append((address, request.after))
        if address in self.silent:
            await asyncio.sleep(deadline)
            raise PeerError(f"{address}: silent")
        return await self.logs[address].serve(request)


class RelayFollowerTest(unittest.TestCase):
    def test_switches_relay_and_resumes_when_the_first_returns(self):
        async def main():
            clock = asyncio.get_running_loop().time
            relays = {}
            for address in ("one", "two"):
                relay = build_replica()
                relays[address] = relay, RelayLog(address, clock)
                relays[address][1].add_replica(relay)
                relay.apply_list(1, [build_item("a", 1, "x")])
            peers = ScriptedPeers({address: log for address, (_, log) in relays.items()})
            replica, polls = build_replica(), []
            selector = RelaySelector(clock, random.Random(1))
            follower = RelayFollower(
                *(0, peers, {"word": replica}, selector, lambda: ("one", "two")),
                *(clock, 4.0, polls.append),
            )
            task = asyncio.create_task(follower.run())
            await advance(1)
            self.assertEqual(follower.address, "one")
            peers.silent.add("one")
            await advance(10)
            self.assertEqual(follower.address, "two")
            relays["two"][0].apply(build_item("a", 2, "y"))
            await advance(1)
            self.assertEqual(replica.cache.get("a"), "y")
            self.assertIn("silent", polls)
            peers.silent.clear()
            peers.requests.clear()
            await advance(30)
            self.assertEqual(follower.address, "one")
            self.assertNotIn(("one", 0), peers.requests, "the log is not read again from its start")
            self.assertIsNone(follower.silent_since)
            peers.silent |= {"one", "two"}
            await advance(30)
            self.assertIsNotNone(follower.silent_since)
            task.cancel()

        run_paused(main())
