from __future__ import annotations

import random
import unittest
from dataclasses import replace

from magnoliarouter.tests.test_quota import (
    EPSILON,
    QUOTA,
    SLOTS,
    QuotaModel,
    measure_excess,
)

STEPS = 4000
REQUEST_TIMEOUT_S = 0.15


class OverloadedNetwork:
    """Demand above the quota in a network that loses, repeats, delays and reorders messages."""

    def __init__(
        self, seed: int, loss_rate: float, changes_holders: bool, permits: int, delivery_rate: float
    ) -> None:
        self.random = random.Random(seed)
        self.loss_rate = loss_rate
        self.delivery_rate = delivery_rate
        self.changes_holders = changes_holders
        self.model = QuotaModel(quota=replace(QUOTA, permits=permits))
        self.model.start()

    def step(self) -> None:
        model, rng = self.model, self.random
        model.advance(rng.choice([0.0, 0.01, 0.02, 0.05]))
        daemon = rng.randrange(3)
        if rng.random() < 0.7:
            for _ in range(rng.randint(1, 3)):
                model.arrive_or_wait(daemon, float(rng.choice([0, 3, 20])))
        for slot in SLOTS:
            if rng.random() < 0.5:
                model.send_request(daemon, slot)
        self._deliver()
        self._time_out_requests()
        if model.running and rng.random() < 0.8:
            running = rng.choice(model.running)
            ran = rng.random() < 0.9
            if not ran:
                model.requests[model.tokens.index(running.spend)].amount = 0.0
            model.settle(running, rng.choice([0.1, 0.5, 1.0]) if ran else 0.0, ran)
        if rng.random() < 0.002:
            model.crash(daemon)
        if self.changes_holders and rng.random() < 0.004:
            model.replace_home(rng.choice(SLOTS))
        if rng.random() < 0.003:
            model.advance(rng.choice([0.7, 1.9, 2.3, 4.0]))

    def _deliver(self) -> None:
        model, rng = self.model, self.random
        while model.sent_requests and rng.random() < self.delivery_rate:
            number = rng.randrange(len(model.sent_requests))
            if rng.random() < self.loss_rate / 2:
                model.sent_requests.pop(number)
            else:
                model.deliver_request(number, keep=rng.random() < self.loss_rate / 2)
        while model.sent_grants and rng.random() < self.delivery_rate:
            number = rng.randrange(len(model.sent_grants))
            if rng.random() < self.loss_rate:
                model.sent_grants.pop(number)
            else:
                model.deliver_grant(number)

    def _time_out_requests(self) -> None:
        """Fail the requests that have been in flight for longer than the timeout."""
        model = self.model
        for daemon in model.daemons:
            for slot_requests in daemon._slot_requests.values():
                if slot_requests.in_flight and model.now - slot_requests.sent > REQUEST_TIMEOUT_S:
                    daemon.fail(slot_requests.in_flight, model.now)


class StormTest(unittest.TestCase):
    def check_run(
        self, loss_rate: float, changes_holders: bool, permits: int, delivery_rate: float = 0.8
    ) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                network = OverloadedNetwork(
                    seed, loss_rate, changes_holders, permits, delivery_rate
                )
                peak_running = 0
                for _ in range(STEPS):
                    network.step()
                    peak_running = max(peak_running, len(network.model.running))
                self.check_bounds(network.model)
                if not changes_holders:
                    self.assertLessEqual(peak_running, len(SLOTS) * permits)

    def check_bounds(self, model: QuotaModel) -> None:
        homes = len(SLOTS)
        requests = measure_excess(
            model.requests, homes * QUOTA.request_rate, homes * QUOTA.request_cap
        )
        tokens = measure_excess(model.tokens, homes * QUOTA.token_rate, homes * QUOTA.token_cap)
        self.assertLessEqual(requests, EPSILON)
        self.assertLessEqual(tokens, EPSILON)
        self.assertGreater(len(model.requests), 30)

    def test_rates_in_a_quiet_network(self):
        self.check_run(0.0, changes_holders=False, permits=40)

    def test_rates_in_a_lossy_network(self):
        self.check_run(0.2, changes_holders=False, permits=40)

    def test_rates_in_a_slow_network(self):
        self.check_run(0.2, changes_holders=True, permits=40, delivery_rate=0.35)

    def test_rates_across_changes_of_holder(self):
        self.check_run(0.1, changes_holders=True, permits=40)

    def test_permits_in_a_lossy_network(self):
        self.check_run(0.2, changes_holders=False, permits=2)
