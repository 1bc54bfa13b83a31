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

    def position(self):
        return self.index

    def map_lease_silence_s(self):
        return self.silence_s

    def schedule_send(self):
        pass


def start_election(store, address, start=1, position=0):
    loop = asyncio.get_running_loop()
    election = MapLeaderElection(
        store, address, start, FakePeers(position), loop.time, lambda: True
    )
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


if __name__ == "__main__":
    unittest.main()
