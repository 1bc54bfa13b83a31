from __future__ import annotations

import unittest
from collections import Counter

from magnoliarouter.core.fairness import (
    DeadlineUnreachable,
    Displaced,
    FairQueue,
    Queued,
    QueueEntry,
    QueueFull,
)

FIRST_RANK, SECOND_RANK = (0, 0), (1, 0)


def build_entry(
    customer: str, rank=FIRST_RANK, weight: float = 1.0, deadline: float = 1e6
) -> QueueEntry:
    return QueueEntry(rank, customer, weight, deadline, object())


class FairQueueTest(unittest.TestCase):
    def serve(self, queue: FairQueue, count: int, interval: float = 0.1) -> list[str]:
        return [queue.pop(interval * (index + 1)).customer for index in range(count)]

    def test_lower_rank_is_served_first(self):
        queue = FairQueue(10)
        for customer, rank in (
            ("late", SECOND_RANK),
            ("late", SECOND_RANK),
            ("current", FIRST_RANK),
        ):
            queue.push(build_entry(customer, rank), 0.0)
        self.assertEqual(self.serve(queue, 3), ["current", "late", "late"])

    def test_turns_follow_weights_regardless_of_demand(self):
        queue = FairQueue(400)
        for _ in range(100):
            queue.push(build_entry("heavy", weight=3.0), 0.0)
        for _ in range(100):
            queue.push(build_entry("light", weight=1.0), 0.0)
        served = Counter(self.serve(queue, 80))
        self.assertEqual(served, {"heavy": 60, "light": 20})

    def test_later_customer_gets_no_credit_for_past_turns(self):
        queue = FairQueue(400)
        for _ in range(100):
            queue.push(build_entry("early"), 0.0)
        self.serve(queue, 50)
        for _ in range(50):
            queue.push(build_entry("new"), 6.0)
        served = Counter(self.serve(queue, 40))
        self.assertAlmostEqual(served["new"], 20, delta=1)

    def test_full_queue_displaces_the_entry_served_last(self):
        queue = FairQueue(4)
        for _ in range(4):
            self.assertEqual(queue.push(build_entry("late", SECOND_RANK), 0.0), Queued())
        outcome = queue.push(build_entry("current"), 0.0)
        self.assertIsInstance(outcome, Displaced)
        self.assertEqual((outcome.entry.customer, len(queue)), ("late", 4))
        self.assertIsInstance(queue.push(build_entry("late", SECOND_RANK), 0.0), QueueFull)

    def test_flood_of_one_customer_is_displaced_by_customers_of_equal_weight(self):
        queue = FairQueue(10)
        for _ in range(10):
            queue.push(build_entry("flood"), 0.0)
        outcomes = [queue.push(build_entry("modest"), 0.0) for _ in range(8)]
        self.assertEqual(sum(isinstance(outcome, Displaced) for outcome in outcomes), 5)
        self.assertEqual(Counter(self.serve(queue, 10)), {"flood": 5, "modest": 5})

    def test_call_that_cannot_be_served_in_time_is_refused_at_once(self):
        queue = FairQueue(100)
        for _ in range(30):
            queue.push(build_entry("grower"), 0.0)
        self.serve(queue, 10, interval=1.0)
        outcome = queue.push(build_entry("grower", deadline=15.0), 10.0)
        self.assertIsInstance(outcome, DeadlineUnreachable)
        self.assertAlmostEqual(outcome.retry_after, 20.0)

    def test_expired_calls_are_found(self):
        queue = FairQueue(10)
        queue.push(build_entry("a", deadline=5.0), 0.0)
        queue.push(build_entry("b", deadline=50.0), 0.0)
        self.assertEqual(queue.expire(4.0), [])
        self.assertEqual([entry.customer for entry in queue.expire(5.1)], ["a"])
        self.assertEqual(len(queue), 1)

    def test_cancelled_call_is_removed(self):
        queue = FairQueue(10)
        entry = build_entry("a")
        queue.push(entry, 0.0)
        self.assertTrue(queue.remove(entry.item))
        self.assertFalse(queue.remove(entry.item))
