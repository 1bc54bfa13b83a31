from __future__ import annotations

import random
import unittest
from dataclasses import replace

from magnoliarouter.tests.test_quota import (
    EPSILON,
    SLOTS,
    TERMS,
    Traffic,
    measure_excess,
)

STEPS = 4000
GIVE_UP_S = 0.15


class Storm:
    """Demand above the rate in a network that loses, repeats, delays and reorders messages."""

    def __init__(
        self, seed: int, loss: float, changes_holders: bool, permits: int, speed: float
    ) -> None:
        self.random = random.Random(seed)
        self.loss = loss
        self.speed = speed
        self.changes_holders = changes_holders
        self.traffic = Traffic(terms=replace(TERMS, permits=permits))
        self.traffic.start()

    def step(self) -> None:
        traffic, choice = self.traffic, self.random
        traffic.advance(choice.choice([0.0, 0.01, 0.02, 0.05]))
        daemon = choice.randrange(3)
        if choice.random() < 0.7:
            for _ in range(choice.randint(1, 3)):
                traffic.wait(daemon, float(choice.choice([0, 3, 20])))
        for slot in SLOTS:
            if choice.random() < 0.5:
                traffic.ask(daemon, slot)
        self._deliver()
        self._give_up()
        if traffic.running and choice.random() < 0.8:
            running = choice.choice(traffic.running)
            ran = choice.random() < 0.9
            if not ran:
                traffic.requests[traffic.tokens.index(running.spend)].amount = 0.0
            traffic.settle(running, choice.choice([0.1, 0.5, 1.0]) if ran else 0.0, ran)
        if choice.random() < 0.002:
            traffic.crash(daemon)
        if self.changes_holders and choice.random() < 0.004:
            traffic.replace_home(choice.choice(SLOTS))
        if choice.random() < 0.003:
            traffic.advance(choice.choice([0.7, 1.9, 2.3, 4.0]))

    def _deliver(self) -> None:
        traffic, choice = self.traffic, self.random
        while traffic.asks and choice.random() < self.speed:
            place = choice.randrange(len(traffic.asks))
            if choice.random() < self.loss / 2:
                traffic.asks.pop(place)
            else:
                traffic.answer(place, keep=choice.random() < self.loss / 2)
        while traffic.answers and choice.random() < self.speed:
            place = choice.randrange(len(traffic.answers))
            if choice.random() < self.loss:
                traffic.answers.pop(place)
            else:
                traffic.apply(place)

    def _give_up(self) -> None:
        """End the asks that have been on their way for too long."""
        traffic = self.traffic
        for daemon in traffic.daemons:
            for link in daemon._links.values():
                if link.in_flight and traffic.now - link.sent > GIVE_UP_S:
                    daemon.fail(link.in_flight, traffic.now)


class StormTest(unittest.TestCase):
    def check(self, loss: float, changes_holders: bool, permits: int, speed: float = 0.8) -> None:
        for seed in range(4):
            with self.subTest(seed=seed):
                storm = Storm(seed, loss, changes_holders, permits, speed)
                most = 0
                for _ in range(STEPS):
                    storm.step()
                    most = max(most, len(storm.traffic.running))
                self.check_bounds(storm.traffic)
                if not changes_holders:
                    self.assertLessEqual(most, len(SLOTS) * permits)

    def check_bounds(self, traffic: Traffic) -> None:
        homes = len(SLOTS)
        requests = measure_excess(
            traffic.requests, homes * TERMS.request_rate, homes * TERMS.request_cap
        )
        tokens = measure_excess(traffic.tokens, homes * TERMS.token_rate, homes * TERMS.token_cap)
        self.assertLessEqual(requests, EPSILON)
        self.assertLessEqual(tokens, EPSILON)
        self.assertGreater(len(traffic.requests), 30)

    def test_rates_in_a_quiet_network(self):
        self.check(0.0, changes_holders=False, permits=40)

    def test_rates_in_a_lossy_network(self):
        self.check(0.2, changes_holders=False, permits=40)

    def test_rates_in_a_slow_network(self):
        self.check(0.2, changes_holders=True, permits=40, speed=0.35)

    def test_rates_across_changes_of_holder(self):
        self.check(0.1, changes_holders=True, permits=40)

    def test_permits_in_a_lossy_network(self):
        self.check(0.2, changes_holders=False, permits=2)
