from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.daemon.mapelection import MAPS_LEASE_S, MapLeaderElection
from magnoliarouter.tests.clock import run_auto_advance, wait_until
from magnoliarouter.tests.test_lease import FakePlatform


class FakePeers:
    """Other daemons: this daemon's position among them, and the silence of a map leader."""

    def __init__(self, position):
        self.index = position
        self.silence_s = float("inf")
        self.holds_map_lease = lambda: False
        self.other = None

    def position(self):
        return self.index

    def map_lease_silence_s(self):
        return self.silence_s

    def schedule_send(self):
        """Pass what this daemon reports as map leader on to the other one."""
        lease = self.read_map_lease() if self.other is not None else None
        if lease is not None:
            self.other.apply_map_lease(lease)


def start_election(store, address, start=1, position=0):
    loop = asyncio.get_running_loop()
    peers = FakePeers(position)
    election = MapLeaderElection(store, address, start, peers, loop.time, lambda: True)
    return election, loop.create_task(election.run())


async def wait_for_lease(election):
    loop = asyncio.get_running_loop()
    began = loop.time()
    await wait_until(lambda: election.fencing_number() is not None)
    return loop.time() - began


class ElectionTest(unittest.TestCase):
    def test_first_daemon_by_capacity_claims_before_the_others(self):
        async def main():
            store = FakePlatform()
            second, second_task = start_election(store, "b:1", position=3)
            first, first_task = start_election(store, "a:1", position=0)
            await asyncio.sleep(1.0)
            held = first.fencing_number(), second.fencing_number()
            for task in (first_task, second_task):
                task.cancel()
            return held

        self.assertEqual(run_auto_advance(main()), (1, None))

    def test_restarted_holder_is_back_before_its_lease_expires(self):
        async def main(address):
            store = FakePlatform()
            before, task = start_election(store, "a:1", start=1)
            await wait_for_lease(before)
            task.cancel()
            before._lease_task.cancel()
            after, task = start_election(store, address, start=2)
            seconds = await wait_for_lease(after)
            task.cancel()
            return seconds, after.fencing_number()

        same, other = run_auto_advance(main("a:1")), run_auto_advance(main("b:1"))
        self.assertLess(same[0], 1.0)
        self.assertGreater(other[0], MAPS_LEASE_S)
        self.assertEqual((same[1], other[1]), (2, 2))

    def test_next_leader_counts_the_lease_from_the_reports_of_the_last(self):
        """The leader is suspended at different times after its last renewal."""

        async def main(reports, suspended_after_s):
            loop, store = asyncio.get_running_loop(), FakePlatform()
            first, first_task = start_election(store, "a:1")
            await wait_for_lease(first)
            second, second_task = start_election(store, "b:1", start=2)
            first._peers.other = second._peers if reports else None
            second._peers.silence_s = 0.0
            await asyncio.sleep(suspended_after_s)
            first_task.cancel()
            first._lease_task.cancel()
            suspended_at = loop.time()

            async def fall_silent():
                while True:
                    second._peers.silence_s = loop.time() - suspended_at
                    await asyncio.sleep(0.01)

            silent = loop.create_task(fall_silent())
            last_held_until = first._lease.lease._held_until
            await wait_for_lease(second)
            won_at = loop.time()
            silent.cancel()
            second_task.cancel()
            return won_at - suspended_at, won_at - last_held_until

        for suspended_after_s in (2.0, 2.1, 2.2, 2.3, 2.4):
            with self.subTest(suspended_after_s=suspended_after_s):
                with_reports, margin_s = run_auto_advance(main(True, suspended_after_s))
                without, _ = run_auto_advance(main(False, suspended_after_s))
                self.assertLess(with_reports, MAPS_LEASE_S + 0.3)
                self.assertGreater(margin_s, 0.0)
                self.assertGreater(without, with_reports + 0.4)

    def test_leader_that_resigns_leaves_the_lease_to_another_daemon(self):
        async def main():
            store = FakePlatform()
            first, first_task = start_election(store, "a:1")
            await wait_for_lease(first)
            second, second_task = start_election(store, "b:1", start=2)
            first.resign()
            at_once = first.fencing_number()
            seconds = await wait_for_lease(second)
            first_task.cancel()
            second_task.cancel()
            return at_once, seconds, first.fencing_number(), second.fencing_number()

        at_once, seconds, former, number = run_auto_advance(main())
        self.assertIsNone(former)
        self.assertEqual((at_once, number), (None, 2))
        self.assertLess(seconds, MAPS_LEASE_S)

    def test_leader_that_resigns_competes_again_if_nobody_else_does(self):
        async def main():
            election, task = start_election(FakePlatform(), "a:1")
            await wait_for_lease(election)
            election.resign()
            await asyncio.sleep(0.1)
            seconds = await wait_for_lease(election)
            task.cancel()
            return seconds, election.fencing_number()

        seconds, number = run_auto_advance(main())
        self.assertGreater(seconds, 3.0)
        self.assertEqual(number, 2)


if __name__ == "__main__":
    unittest.main()
