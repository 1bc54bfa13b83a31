"""Model of a group of ranks whose responses to orders may be lost, and a map duty for it."""

from __future__ import annotations

import asyncio
import random

from magnoliarouter.gateway.endpoints import Endpoint
from magnoliarouter.gateway.mapduty import MapDuty
from magnoliarouter.gateway.mapplan import STRICT_BALANCE, iterate_plan
from magnoliarouter.gateway.ranks import (
    Arm,
    Disarm,
    Fence,
    Go,
    Hold,
    OrderResult,
    Prepare,
    RankCounts,
    RankExperts,
    RankReport,
)
from magnoliarouter.gateway.routes import ExpertProfile


class RankModel:
    """One rank; its address is its number as a string."""

    def __init__(self, group, number):
        self.group = group
        self.number = number
        self.reset()

    def reset(self):
        self.version = 0
        self.experts = self.group.initial_experts(self.number)
        self.prepared = {}
        self.highest_version = 0
        self.armed = None
        self.held = None
        self.fencing_number = 0
        self.pace = 1.0

    def apply_order(self, order, epoch, fencing_number):
        if epoch != self.group.epoch:
            return OrderResult.REFUSED
        if fencing_number < self.fencing_number:
            return OrderResult.FENCED
        self.fencing_number = fencing_number
        match order:
            case Prepare(version, rows):
                if version in self.prepared:
                    return OrderResult.TAKEN
                if version <= self.highest_version or self.armed:
                    return OrderResult.REFUSED
                self.highest_version = version
                self.prepared = {version: rows}
            case Arm(version, step):
                if self.armed == (version, step):
                    return OrderResult.TAKEN
                if version not in self.prepared or step <= self.group.step:
                    return OrderResult.REFUSED
                self.armed = (version, step)
            case Hold(step):
                if self.held == step:
                    return OrderResult.TAKEN
                if step <= self.group.step or self.held is not None:
                    return OrderResult.REFUSED
                self.held = step
            case Go(step):
                if self.held == step:
                    self.held = None
            case Disarm(version):
                if self.version == version:
                    return OrderResult.REFUSED
                if self.armed is not None and self.armed[0] == version:
                    self.armed = None
            case Fence():
                pass
        return OrderResult.TAKEN

    def start_step(self, step):
        if self.armed and self.armed[1] <= step:
            version = self.armed[0]
            rows = self.prepared.pop(version)
            self.version, self.armed = version, None
            self.experts = tuple(
                tuple(expert for expert, ranks in enumerate(row) if self.number in ranks)
                for row in rows
            )


class GroupModel:
    """Ranks that run steps in lockstep, with the methods of `RankClient`.

    With probability `loss_rate` the response to an order is lost; the order then takes effect at
    once or seconds later. `mixed_steps` has the steps in which ranks used different map versions.
    An idle group makes no steps. Reports show the state of `report_lag_s` ago.
    """

    def __init__(
        self, size=4, sets=2, experts=8, step_s=0.05, loss_rate=0.0, seed=1, report_lag_s=0.0
    ):
        self.size, self.sets, self.experts = size, sets, experts
        self.step_s, self.loss_rate = step_s, loss_rate
        self.random = random.Random(seed)
        self.step, self.epoch = 0, 1
        self.mixed_steps = []
        self.response_timeout_s = 0.05
        self.held_time_s = 0.0
        self.idle = False
        self.report_lag_s = report_lag_s
        self.past_reports = {}
        self.sent = []
        self.ranks = [RankModel(self, number) for number in range(size)]
        self.popularity = [
            [1000 if expert == 0 else 10 for expert in range(experts)] for _ in range(sets)
        ]
        self.counts = [0] * (sets * experts)

    def initial_experts(self, number):
        own = tuple(range(number, self.experts, self.size))
        return (own,) * self.sets

    async def run(self):
        while True:
            await asyncio.sleep(self.step_s)
            self.remember_reports()
            if self.idle:
                continue
            if any(rank.held is not None and rank.held <= self.step + 1 for rank in self.ranks):
                self.held_time_s += self.step_s
                continue
            self.step += 1
            for rank in self.ranks:
                rank.start_step(self.step)
            versions = {(rank.version, rank.experts and rank.version) for rank in self.ranks}
            if len(versions) > 1:
                self.mixed_steps.append((self.step, sorted(versions)))
            flat = [count for row in self.popularity for count in row]
            self.counts = [total + tokens * 10 for total, tokens in zip(self.counts, flat)]

    def restart_group(self):
        self.epoch += 1
        for rank in self.ranks:
            rank.reset()

    # --- RankClient ---

    async def read_report(self, address):
        await asyncio.sleep(0.002)
        if not self.report_lag_s:
            return self.report(self.ranks[int(address)])
        self.remember_reports()
        until = asyncio.get_running_loop().time() - self.report_lag_s
        past = self.past_reports[int(address)]
        return next((report for at, report in reversed(past) if at <= until), past[0][1])

    def report(self, rank):
        armed, armed_step = rank.armed or (None, None)
        prepared = max(rank.prepared, default=None)
        return RankReport(
            "g", self.epoch, rank.number, self.size, True, self.step, rank.version, prepared,
            armed, rank.held, rank.pace, armed_step,
        )  # fmt: skip

    def remember_reports(self):
        now = asyncio.get_running_loop().time()
        for rank in self.ranks if self.report_lag_s else ():
            self.past_reports.setdefault(rank.number, []).append((now, self.report(rank)))

    async def read_counts(self, address):
        await asyncio.sleep(0.002)
        return RankCounts(self.step, self.epoch, tuple(self.counts))

    async def read_experts(self, address):
        await asyncio.sleep(0.002)
        rank = self.ranks[int(address)]
        return RankExperts(self.epoch, rank.version, rank.experts)

    async def send(self, address, order, epoch, fencing_number, size, timeout_s=None):
        rank = self.ranks[int(address)]
        self.sent.append((address, order, epoch, fencing_number))
        if self.random.random() < self.loss_rate:
            if self.random.random() < 0.8:
                delay = self.random.uniform(2.0, 12.0)
                asyncio.get_running_loop().call_later(
                    delay, rank.apply_order, order, epoch, fencing_number
                )
            else:
                rank.apply_order(order, epoch, fencing_number)
            await asyncio.sleep(self.response_timeout_s * (2 if isinstance(order, Prepare) else 1))
            return OrderResult.UNKNOWN
        await asyncio.sleep(0.002)
        return rank.apply_order(order, epoch, fencing_number)


PROFILE = ExpertProfile(sets=2, experts=8, experts_per_rank=4, max_new_experts=2, copy_s=0.1)


def build_ranks(model):
    return [
        (Endpoint(f"i{number}", "llm", str(number), "zone-1", 6), PROFILE)
        for number in range(model.size)
    ]


class FakeMapLease:
    """Map lease that is held while `fencing_number` is not None."""

    def __init__(self, fencing_number=1):
        self.fencing_number = fencing_number

    def __call__(self):
        return self.fencing_number


def start_map_duty(model, lease):
    loop = asyncio.get_running_loop()
    duty = MapDuty(model, lambda: build_ranks(model), lease, loop.time)
    return duty, loop.create_task(duty.run())


async def cancel_tasks(*tasks):
    for task in tasks:
        task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)


def measure_skew(model):
    loads = [0.0] * model.size
    for index, row in enumerate(model.popularity):
        holders = [
            [rank.number for rank in model.ranks if expert in rank.experts[index]]
            for expert in range(model.experts)
        ]
        for expert, ranks in enumerate(holders):
            for rank in ranks:
                loads[rank] += row[expert] / len(ranks)
    return max(loads) * model.size / sum(loads)


def plan_map(rows, counts, ranks, profile, policy=STRICT_BALANCE, max_copies=4, paces=()):
    """Run all steps of a plan at once."""
    steps = iterate_plan(rows, counts, ranks, profile, policy, max_copies, paces)
    while True:
        try:
            next(steps)
        except StopIteration as stop:
            return stop.value
