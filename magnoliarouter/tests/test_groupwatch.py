from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.gateway.endpoints import Endpoint, EndpointTable
from magnoliarouter.gateway.groupwatch import POLL_INTERVAL_S, GroupWatch
from magnoliarouter.gateway.waiting import WaitQueue
from magnoliarouter.tests.builders import build_rank_report
from magnoliarouter.tests.clock import run_steps

RANKS = {f"e{number}": f"g{number // 2}" for number in range(4)}


class Ranks:
    """Four ranks of two groups; those named in `silent` time out."""

    def __init__(self):
        self.open = {"g0": True, "g1": True}
        self.silent = set()
        self.groups = dict(RANKS)
        self.polled = []

    async def read_report(self, address):
        self.polled.append(address)
        if address in self.silent:
            await asyncio.sleep(0.25)
            return None
        group = self.groups[address]
        return build_rank_report(group, open=self.open.get(group, True))


class Case:
    def __init__(self):
        self.clock = asyncio.get_running_loop().time
        self.table = EndpointTable("zone-1")
        for name in RANKS:
            self.table.put(Endpoint(name, "model", name, "zone-1", 2))
        self.ranks = Ranks()
        self.waiting = WaitQueue(self.table, self.clock)
        self.watch = GroupWatch(self.ranks, self.table.list, self.clock, self.waiting.wake)
        self.table.is_unavailable = lambda endpoint: self.watch.is_stalled(endpoint.identity)
        self.task = asyncio.get_running_loop().create_task(self.watch.run())

    def stalled(self):
        return [name for name in RANKS if self.watch.is_stalled(name)]


def run_case(steps):
    return run_steps(Case, steps)


class GroupWatchTest(unittest.TestCase):
    def test_each_rank_is_polled_once_without_faults(self):
        async def steps(case):
            await asyncio.sleep(10.0)
            return sorted(case.ranks.polled)

        self.assertEqual(run_case(steps), sorted(RANKS))

    def test_stall_of_one_rank_applies_to_its_group_until_it_recovers(self):
        async def steps(case):
            case.ranks.open["g1"] = False
            case.watch.record_stall("e2")
            first = case.stalled()
            await asyncio.sleep(3.0)
            during = case.stalled()
            case.ranks.open["g1"] = True
            await asyncio.sleep(2 * POLL_INTERVAL_S)
            return first, during, case.stalled()

        self.assertEqual(run_case(steps), (["e2", "e3"], ["e2", "e3"], []))

    def test_old_report_does_not_overrule_a_refusal(self):
        async def steps(case):
            case.watch.record_stall("e0")
            await asyncio.sleep(POLL_INTERVAL_S)
            early = case.stalled()
            await asyncio.sleep(2 * POLL_INTERVAL_S)
            return early, case.stalled()

        self.assertEqual(run_case(steps), (["e0", "e1"], []))

    def test_suspicion_is_resolved_by_a_rank_that_responds(self):
        async def steps(case):
            case.ranks.silent.add("e0")
            case.watch.suspect("e0")
            await asyncio.sleep(0.5)
            cleared = case.stalled()
            case.ranks.open["g0"] = False
            case.watch.suspect("e0")
            await asyncio.sleep(0.5)
            return cleared, case.stalled()

        self.assertEqual(run_case(steps), ([], ["e0", "e1"]))

    def test_new_ranks_are_polled_and_removed_ranks_are_forgotten(self):
        async def steps(case):
            case.watch.record_stall("e0")
            for name in ("e0", "e1"):
                case.table.remove(name)
            await asyncio.sleep(1.0)
            known = case.watch.list_members("e0")
            case.table.put(Endpoint("e1", "model", "e1", "zone-1", 2))
            await asyncio.sleep(1.0)
            return known, case.watch.list_members("e1")

        self.assertEqual(run_case(steps), ({"e0"}, {"e1"}))

    def test_rank_serves_only_in_a_group_and_may_join_one_later(self):
        async def steps(case):
            case.ranks.groups["e0"] = ""
            case.table.remove("e0")
            await asyncio.sleep(0.5)
            case.table.put(Endpoint("e0", "model", "e0", "zone-1", 2))
            await asyncio.sleep(1.0)
            alone = case.stalled()
            case.ranks.groups["e0"] = "g0"
            await asyncio.sleep(2.0)
            return alone, case.stalled(), case.watch.find_group("e0")

        self.assertEqual(run_case(steps), (["e0"], [], "g0"))

    def test_no_slot_is_acquired_at_a_stalled_group(self):
        async def steps(case):
            case.ranks.open["g0"] = False
            case.watch.record_stall("e0")
            acquired = [await case.waiting.acquire("model", set(), 1, 0.0) for _ in range(5)]
            return [endpoint and endpoint.identity for endpoint in acquired]

        acquired = run_case(steps)
        self.assertEqual(sorted(acquired[:4]), ["e2", "e2", "e3", "e3"])
        self.assertIsNone(acquired[4])

    def test_waiting_call_is_refused_at_once_when_the_last_group_stalls(self):
        async def steps(case):
            for _ in range(8):
                await case.waiting.acquire("model", set(), 1, 0.0)
            started_at = case.clock()
            case.ranks.open.update(g0=False, g1=False)
            waiting = asyncio.ensure_future(case.waiting.acquire("model", set(), 1, 5.0))
            await asyncio.sleep(0.01)
            case.watch.record_stall("e0")
            case.watch.record_stall("e2")
            return await waiting, case.clock() - started_at

        endpoint, seconds = run_case(steps)
        self.assertIsNone(endpoint)
        self.assertLess(seconds, 0.05)
