from __future__ import annotations

import unittest

from magnoliarouter.core.expertmap import ExpertMap, spread_evenly
from magnoliarouter.core.layerplan import measure_times
from magnoliarouter.core.stragglers import MitigationLevel
from magnoliarouter.daemon.groupbalance import GroupBalancer
from magnoliarouter.daemon.groups import GroupMetrics
from magnoliarouter.endpoints.group import RankLoad
from magnoliarouter.store.client import Unavailable, Written
from magnoliarouter.store.groups import GroupSpec
from magnoliarouter.telemetry.metrics import Metrics

RANKS = 4


class FakeRanks:
    def __init__(self):
        self.speeds = [1.0] * RANKS
        self.tokens = [[90, 10, 10, 10, 10, 10, 10, 10]]
        self.silent = False

    async def read_loads(self):
        loads = [
            RankLoad(rank, 1, 0.02, speed, [] if rank else self.tokens, 0, 0.0)
            for rank, speed in enumerate(self.speeds)
        ]
        return [*loads[:-1], None] if self.silent else loads


class FakePlatform:
    def __init__(self):
        self.written = []
        self.outcome = Written(1)

    async def write(self, kind, name, value):
        self.written.append(value)
        return self.outcome


class GroupBalanceTest(unittest.IsolatedAsyncioTestCase):
    def setUp(self):
        self.now = 0.0
        self.ranks, self.platform = FakeRanks(), FakePlatform()
        self.map = spread_evenly(RANKS, 1, 8)

    def build_balancer(self, **changes):
        addresses = tuple(f"127.0.0.1:{rank + 1}" for rank in range(RANKS))
        spec = GroupSpec("g1", addresses, 1, 8, **changes)
        metrics = GroupMetrics(Metrics())
        return GroupBalancer(spec, self.platform, self.ranks, lambda: self.now, metrics)

    async def propose_after(self, balancer, seconds=20.0):
        self.now += seconds
        return await balancer.propose_plan(1, lambda version: self.map.encode())

    async def test_one_plan_per_interval(self):
        balancer = self.build_balancer()
        self.assertGreater((await self.propose_after(balancer)).moves, 0)
        self.assertIsNone(await self.propose_after(balancer, 5.0))

    async def test_pinned_group_gets_no_plan_but_reports_its_health(self):
        self.assertIsNone(await self.propose_after(self.build_balancer(pinned=True)))
        self.assertGreater(self.platform.written[0]["extra_load"], 0)

    async def test_silent_rank_prevents_plan(self):
        self.ranks.silent = True
        self.assertIsNone(await self.propose_after(self.build_balancer()))

    async def test_slow_rank_gets_smaller_share_then_is_drained_and_reported(self):
        balancer = self.build_balancer()
        self.ranks.speeds[2] = 0.3
        plan = await self.propose_after(balancer)
        self.assertEqual(plan.map.shares, (100, 100, 30, 100))
        for _ in range(10):
            self.map = ExpertMap.decode(plan.map.encode()) if plan else self.map
            plan = await self.propose_after(balancer)
        self.assertIs(balancer.stragglers[2].level, MitigationLevel.REPORTED)
        self.assertEqual(self.platform.written[-1]["stragglers"], (2,))
        self.assertEqual(self.map.shares[2], 2)
        shares = [share / 100 for share in self.map.shares]
        times = measure_times(self.map.layers[0], self.ranks.tokens[0], shares)
        carried_tokens = times[2] * shares[2]
        self.assertLess(carried_tokens, 0.01 * sum(self.ranks.tokens[0]))

    async def test_health_is_written_again_after_a_failure(self):
        balancer = self.build_balancer(pinned=True)
        self.platform.outcome = Unavailable("down")
        await self.propose_after(balancer)
        self.platform.outcome = Written(2)
        await self.propose_after(balancer)
        await self.propose_after(balancer)
        self.assertEqual(len(self.platform.written), 2)

    async def test_long_switch_counts_as_load(self):
        balancer = self.build_balancer(pinned=True)
        await self.propose_after(balancer)
        await balancer.publish(switching=True)
        steady, switching = (value["extra_load"] for value in self.platform.written)
        self.assertAlmostEqual(switching - steady, 0.25)
