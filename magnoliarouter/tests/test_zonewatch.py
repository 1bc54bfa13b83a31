from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.gateway.endpoints import Endpoint
from magnoliarouter.gateway.zonewatch import PROBE_INTERVAL_S, ZoneWatch
from magnoliarouter.tests.clock import run_steps

NEAR = Endpoint("n1", "app", "n1", "zone-1", 2)
FAR = [Endpoint(f"f{number}", "app", f"f{number}", "zone-2", 2) for number in range(3)]


class Case:
    def __init__(self, endpoints):
        self.down = set()
        self.probed = []
        self.changes = []
        self.watch = ZoneWatch("zone-1", self.connect, lambda: endpoints, self.changes.append)
        self.task = asyncio.get_running_loop().create_task(self.watch.run())

    async def connect(self, address):
        self.probed.append(address)
        if address in self.down:
            await asyncio.sleep(0.4)
            return False
        await asyncio.sleep(0.005)
        return True


def run_case(steps, endpoints=(NEAR, *FAR)):
    return run_steps(lambda: Case(endpoints), steps)


class ZoneWatchTest(unittest.TestCase):
    def test_zone_with_one_dead_endpoint_is_reachable_after_a_probe(self):
        async def steps(case):
            case.down.add("f0")
            case.watch.record_unreachable(FAR[0])
            at_once = case.watch.is_unreachable("zone-2")
            await asyncio.sleep(0.05)
            return at_once, case.watch.is_unreachable("zone-2"), "f0" in case.probed

        self.assertEqual(run_case(steps), (True, False, False))

    def test_zone_with_some_dead_endpoints_is_soon_reachable_again(self):
        async def steps(case):
            case.down.update(("f0", "f1", "f2"))
            case.watch.record_unreachable(FAR[0])
            await asyncio.sleep(10 * PROBE_INTERVAL_S)
            return case.watch.is_unreachable("zone-2")

        more = [Endpoint(f"f{number}", "app", f"f{number}", "zone-2", 2) for number in (3, 4)]
        self.assertFalse(run_case(steps, (NEAR, *FAR, *more)))

    def test_zone_is_unreachable_until_a_connection_succeeds(self):
        async def steps(case):
            case.down.update(("f0", "f1", "f2"))
            case.watch.record_unreachable(FAR[0])
            await asyncio.sleep(5.0)
            during = case.watch.is_unreachable("zone-2")
            case.down.clear()
            await asyncio.sleep(2 * PROBE_INTERVAL_S)
            return during, case.watch.is_unreachable("zone-2"), case.changes

        self.assertEqual(run_case(steps), (True, False, ["zone-2", "zone-2"]))

    def test_silent_zone_is_probed_before_it_counts_as_unreachable(self):
        async def steps(case):
            case.watch.suspect(FAR[0])
            at_once = case.watch.is_unreachable("zone-2")
            await asyncio.sleep(0.5)
            cleared = case.watch.is_unreachable("zone-2")
            case.down.update(("f0", "f1", "f2"))
            case.watch.suspect(FAR[0])
            await asyncio.sleep(0.5)
            return at_once, cleared, case.watch.is_unreachable("zone-2")

        self.assertEqual(run_case(steps), (False, False, True))

    def test_own_zone_is_never_unreachable(self):
        async def steps(case):
            case.down.add("n1")
            case.watch.record_unreachable(NEAR)
            case.watch.suspect(NEAR)
            await asyncio.sleep(1.0)
            return case.watch.is_unreachable("zone-1"), case.probed

        self.assertEqual(run_case(steps), (False, []))

    def test_zone_without_endpoints_does_not_stay_unreachable(self):
        async def steps(case):
            case.watch.record_unreachable(FAR[0])
            await asyncio.sleep(2 * PROBE_INTERVAL_S)
            return case.watch.is_unreachable("zone-2")

        self.assertFalse(run_case(steps, (NEAR,)))
