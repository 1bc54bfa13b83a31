from __future__ import annotations

import asyncio
import dataclasses
import unittest
from unittest.mock import patch

from magnoliarouter.core.pace import REMEMBERED_S, StepCosts
from magnoliarouter.gateway.endpoints import Endpoint
from magnoliarouter.gateway.grouppace import (
    LOG_INTERVAL_S,
    SAMPLE_INTERVAL_S,
    GroupPace,
    read_costs,
)
from magnoliarouter.gateway.pauses import limit_requests
from magnoliarouter.gateway.routes import ExpertProfile, ModelProfile, Service
from magnoliarouter.tests.pacemodel import TROUBLES, PaceModel, Rule, Shares
from magnoliarouter.tests.test_gateway import GatewayCase

COSTS = StepCosts(0.004, 0.002, 5)
GROUP_PROFILE = ModelProfile(5, 0.004, 0.002, 0.0, 50_000.0, 5, ExpertProfile(8, 64, 8, 2, 0.01))


class GroupPaceTest(unittest.TestCase):
    def setUp(self):
        self.requests, self.now = 4.0, 0.0
        self.pace = GroupPace(lambda group: self.requests)

    def _step(self, gap_s: float, streams: int = 5, late_s: float = 0.0) -> None:
        """End a step of the group in all streams, the last of which hears of it later."""
        self.now += gap_s
        for number in range(streams):
            extra_s = late_s if number == streams - 1 else 0.0
            self.pace.record("g", gap_s + extra_s, COSTS, 0.15, self.now)

    def _limits(self) -> list[int]:
        return [
            self.pace.limit_requests("g", f"r{number}", 5, COSTS, 0.15, self.now)
            for number in range(200)
        ]

    def test_one_long_step_limits_requests_until_it_is_forgotten(self):
        self._step(0.06)
        self._step(0.06)
        self.assertEqual(set(self._limits()), {5})
        self._step(0.16)
        self._step(0.06)
        mean = sum(self._limits()) / 200
        self.assertLess(mean, 4.0)
        self.assertGreaterEqual(min(self._limits()), 2)
        gap_s = 5 * (0.004 + mean * (0.16 / 5 - 0.004) / 4.0)
        self.assertLess(gap_s, 0.15)
        for _ in range(int(REMEMBERED_S / 0.06) + 2):
            self._step(0.06)
        self.assertEqual(set(self._limits()), {5})

    def test_one_stream_behind_a_slow_path_limits_nobody(self):
        for _ in range(10):
            self._step(0.06, late_s=0.2)
        self.assertEqual(set(self._limits()), {5})

    def test_group_that_stood_still_limits_nobody(self):
        for gap_s in (0.06, 1.8, 0.06, 0.06):
            self._step(gap_s)
        self.assertEqual(set(self._limits()), {5})

    def test_group_without_streams_is_not_limited(self):
        self.assertEqual(self.pace.limit_requests("other", "r1", 5, COSTS, 0.15, 0.0), 5)

    def test_groups_do_not_limit_each_other(self):
        self._step(0.2)
        self._step(0.2)
        self.assertLess(max(self._limits()), 5)
        self.assertEqual(self.pace.limit_requests("other", "r1", 5, COSTS, 0.15, self.now), 5)

    def test_late_steps_are_logged_once_a_second(self):
        with patch("magnoliarouter.gateway.grouppace.log_event") as log:
            for _ in range(10):
                self._step(0.06)
            self.assertEqual(log.call_count, 0)
            for _ in range(30):
                self._step(0.2)
        self.assertLessEqual(log.call_count, 30 * 0.2 / LOG_INTERVAL_S + 1)
        fields = log.call_args_list[0].kwargs
        self.assertEqual((fields["group"], fields["gap_s"], fields["requests"]), ("g", 0.2, 4.0))
        self.assertAlmostEqual(fields["even_s"], 0.06)

    def test_costs_are_those_of_groups_whose_profile_tells_them(self):
        self.assertEqual(read_costs(GROUP_PROFILE), COSTS)
        self.assertIsNone(read_costs(None))
        for other in (
            dataclasses.replace(GROUP_PROFILE, experts=None),
            dataclasses.replace(GROUP_PROFILE, per_request_s=0.0),
            dataclasses.replace(GROUP_PROFILE, step_s=0.0),
        ):
            self.assertIsNone(read_costs(other))


# The first shift of demand comes unforeseen.
KNOWN_FROM_S = 5.0
# Streams late by a pause, of those that are served.
MAX_LATE = 0.05


class PaceModelTest(unittest.TestCase):
    """Rules side by side on a model of 63 ranks with 5 slots each."""

    def _play(self, load: float, trouble: str, daemons: int) -> dict[Rule, Shares]:
        return {
            rule: PaceModel(load, rule, TROUBLES[trouble], daemons, seconds=15.0)
            .play()
            .describe(KNOWN_FROM_S)
            for rule in Rule
        }

    def _check_shifts(self, load: float) -> None:
        for daemons in (17, 34, 98):
            with self.subTest(load=load, daemons=daemons):
                shares = self._play(load, "shifts", daemons)
                limited, free = shares[Rule.WORST_STEP], shares[Rule.NONE]
                served = 1.0 - limited.refused
                self.assertLessEqual(limited.late_by_pause / served, MAX_LATE)
                if free.late_by_pause > MAX_LATE:
                    self.assertGreater(limited.on_time, free.on_time)

    def test_popularity_that_shifts_again_and_again_makes_few_streams_late(self):
        for load in (0.8, 1.0, 1.3):
            self._check_shifts(load)

    def test_shifts_at_twice_the_room_make_few_streams_late(self):
        self._check_shifts(2.0)

    def test_even_load_and_one_slow_rank_are_served_as_without_a_limit(self):
        for trouble in ("none", "slow rank"):
            for load in (0.8, 1.3):
                with self.subTest(trouble=trouble, load=load):
                    shares = self._play(load, trouble, 34)
                    on_time = shares[Rule.WORST_STEP].on_time
                    self.assertGreater(on_time, shares[Rule.NONE].on_time - 0.02)

    def test_load_does_not_swing_while_many_daemons_limit_it_at_once(self):
        for daemons in (17, 98):
            model = PaceModel(1.5, Rule.WORST_STEP, TROUBLES["shifts"], daemons, seconds=20.0)
            settled = [requests for now, _, requests in model.play().gaps if 8.0 < now < 20.0]
            self.assertGreater(min(settled), 0.7 * max(settled))


class LoadLimitTest(GatewayCase):
    async def _start_with(self, profile, max_gaps_s):
        daemon = await self.start()
        await self.wait_ready(daemon)
        service = Service("s", 100, profile)
        daemon.config = dataclasses.replace(
            daemon.config, services={"s": service}, max_event_gaps_s=max_gaps_s
        )
        daemon._plan_step_bounds()
        daemon._gap_meter._clock = lambda: 1.0
        self.ranks = [Endpoint(f"r{number}", "s", "127.0.0.1:9", "z", 5) for number in range(8)]
        for rank in self.ranks:
            daemon.table.put(rank)
            daemon.table.own_requests[rank.identity] = 4
        daemon._group_watch._list_ranks = lambda: self.ranks
        daemon._group_watch._groups = {rank.identity: "g" for rank in self.ranks}
        return daemon

    async def _record_steps(self, daemon, *gaps_s):
        for gap_s in gaps_s:
            for rank in self.ranks:
                daemon._gap_meter.record(rank.identity, gap_s)
            await asyncio.sleep(2 * SAMPLE_INTERVAL_S)

    def _read_limits(self, daemon):
        return [daemon.table.concurrency_limit(rank) for rank in self.ranks]

    async def test_worst_step_limits_the_ranks_of_a_group_after_it_is_over(self):
        daemon = await self._start_with(GROUP_PROFILE, {"s": 0.15})
        await self._record_steps(daemon, 0.06, 0.06)
        self.assertEqual(set(self._read_limits(daemon)), {5})
        await self._record_steps(daemon, 0.17, *[0.06] * 6)
        limits = self._read_limits(daemon)
        self.assertLess(sum(limits), 4 * len(limits))
        self.assertGreaterEqual(min(limits), 2)

    async def test_services_that_ask_for_none_of_it_are_limited_as_before(self):
        plain = dataclasses.replace(GROUP_PROFILE, experts=None)
        for profile, max_gaps_s in ((GROUP_PROFILE, {}), (plain, {"s": 0.15}), (None, {"s": 0.15})):
            with self.subTest(profile=profile, max_gaps_s=max_gaps_s):
                daemon = await self._start_with(profile, max_gaps_s)
                for gap_s in (0.17, 0.06, 0.11, 0.2):
                    await self._record_steps(daemon, *[gap_s] * 3)
                    mean_s = daemon._gap_meter.mean_gap("g")
                    before = limit_requests(5, mean_s, max_gaps_s.get("s"))
                    self.assertEqual(set(self._read_limits(daemon)), {before})
                self.assertEqual(daemon._group_pace._groups, {})
