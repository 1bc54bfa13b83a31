from __future__ import annotations

import asyncio
import unittest
from collections import deque

from magnoliarouter.core.lease import Lease, LeaseRecord, ReadLease, Wait, WriteLease
from magnoliarouter.store.client import Ambiguous, Conflict, Found, Missing, Written
from magnoliarouter.store.leases import LeaseManager
from magnoliarouter.store.objects import StoredObject
from magnoliarouter.tests.clock import advance, run_paused


class FakePlatform:
    """Store of one object with conditional writes.

    `faults` has one entry for each of the next writes: "answer" loses the response, "effect" the
    write itself, and an empty string neither.
    """

    def __init__(self):
        self.version = 0
        self.item: StoredObject | None = None
        self.faults: deque[str] = deque()

    async def read(self, kind, name):
        return Found(self.version, (self.item,)) if self.item else Missing()

    async def write(self, kind, name, value, expect=None):
        fault = self.faults.popleft() if self.faults else ""
        if fault == "effect":
            return Ambiguous("lost")
        if expect != (self.item.version if self.item else 0):
            return Conflict(self.item)
        self.version += 1
        self.item = StoredObject(kind, name, self.version, value)
        return Ambiguous("lost") if fault == "answer" else Written(self.version)


class LeaseTest(unittest.TestCase):
    def acquire(self, now=0.0):
        lease = Lease("a", duration=9.0, margin=1.0)
        self.assertIsInstance(lease.next_step(now), ReadLease)
        lease.observe(0, None, now)
        step = lease.next_step(now)
        self.assertIsInstance(step, WriteLease)
        lease.confirm(step.record.write, 1, now + 2.0)
        return lease, step

    def test_term_counts_from_before_the_request(self):
        lease, _ = self.acquire(0.0)
        self.assertEqual((lease.held_epoch(7.9), lease.held_epoch(8.0)), (1, None))

    def test_candidate_waits_for_expiry_by_its_own_clock(self):
        _, step = self.acquire()
        other = Lease("b", duration=2.0)
        other.observe(1, step.record, 100.0)
        self.assertEqual(other.next_step(101.0), Wait(109.0))
        takeover = other.next_step(109.0)
        self.assertEqual((takeover.record.epoch, takeover.expect), (2, 1))

    def test_lease_of_an_earlier_start_of_the_same_process_is_free_at_once(self):
        record = LeaseRecord("10.0.0.1:70.a", 4, 9.0, "10.0.0.1:70.a/1")
        for holder, owner, free in (
            ("10.0.0.1:70.b", "10.0.0.1:70.", True),
            ("10.0.0.1:70.b", "", False),
            ("10.0.0.1:701.b", "10.0.0.1:701.", False),
        ):
            lease = Lease(holder, owner=owner)
            lease.observe(3, record, 100.0)
            step = lease.next_step(100.0)
            with self.subTest(holder=holder, owner=owner):
                self.assertEqual(isinstance(step, WriteLease), free)
                if free:
                    self.assertEqual((step.record.epoch, step.expect), (5, 3))

    def test_renewal_restarts_the_candidates_wait(self):
        _, step = self.acquire()
        other = Lease("b", duration=9.0)
        other.observe(1, step.record, 100.0)
        other.observe(2, LeaseRecord("a", 1, 9.0, "a/2"), 105.0)
        self.assertEqual(other.next_step(109.0), Wait(114.0))

    def test_expired_epoch_stays_expired_after_late_confirmation(self):
        lease, _ = self.acquire(0.0)
        renewal = lease.next_step(4.0)
        lease.confirm(renewal.record.write, 2, 11.0)
        self.assertIsNone(lease.held_epoch(11.0))
        self.assertEqual(lease.next_step(11.0).record.epoch, 2)

    def test_lost_answer_is_settled_by_reading_back(self):
        lease = Lease("a", duration=9.0, margin=1.0)
        lease.observe(0, None, 0.0)
        step = lease.next_step(0.0)
        lease.mark_unverified()
        self.assertIsNone(lease.held_epoch(1.0))
        self.assertIsInstance(lease.next_step(1.0), ReadLease)
        lease.observe(1, step.record, 2.0)
        self.assertEqual((lease.held_epoch(7.9), lease.held_epoch(8.0)), (1, None))

    def test_loser_of_a_race_holds_nothing(self):
        lease, other = Lease("a"), Lease("b")
        for each in (lease, other):
            each.observe(0, None, 0.0)
        won, _ = lease.next_step(0.0), other.next_step(0.0)
        other.observe(1, won.record, 0.1)
        self.assertIsNone(other.held_epoch(0.1))

    def test_successor_waits_for_orders_in_flight(self):
        other = Lease("b", duration=9.0, margin=1.0)
        other.observe(1, LeaseRecord("a", 1, 9.0, "a/1"), 0.0)
        step = other.next_step(9.0)
        other.confirm(step.record.write, 2, 9.5)
        self.assertIsNone(other.order_epoch(10.0, checks_fencing=False, max_delivery_s=2.0))
        self.assertEqual(other.order_epoch(10.0, checks_fencing=True, max_delivery_s=2.0), 2)
        self.assertEqual(other.order_epoch(11.5, checks_fencing=False, max_delivery_s=2.0), 2)

    def test_released_lease_is_acquired_at_once_without_delivery_wait(self):
        other = Lease("b")
        other.observe(3, LeaseRecord("a", 4, 9.0, "a/1", released=True), 0.0)
        step = other.next_step(0.0)
        other.confirm(step.record.write, 4, 0.1)
        self.assertEqual(other.order_epoch(0.1, checks_fencing=False, max_delivery_s=9.0), 5)

    def test_lagging_read_is_ignored_but_refused_write_is_believed(self):
        lease, step = self.acquire()
        lease.observe(0, None, 3.0, lagging=True)
        self.assertEqual(lease.held_epoch(3.0), 1)
        lease.observe(0, None, 3.0)
        self.assertIsNone(lease.held_epoch(3.0))
        self.assertEqual(lease.next_step(3.0).record.epoch, 2)


class LeaseKeeperTest(unittest.TestCase):
    def start_manager(self, platform, holder="a", epochs=None):
        clock = asyncio.get_running_loop().time
        on_change = epochs.append if epochs is not None else lambda epoch: None
        manager = LeaseManager(platform, "duty", holder, clock, 9.0, on_change)
        return manager, asyncio.get_running_loop().create_task(manager.run())

    def test_renews_through_lost_answers_and_lost_writes(self):
        async def main():
            platform, epochs = FakePlatform(), []
            platform.faults.extend(("answer", "", "effect", "answer", ""))
            manager, task = self.start_manager(platform, epochs=epochs)
            await advance(60.0)
            task.cancel()
            self.assertEqual(manager.epoch(), 1)
            self.assertEqual(epochs, [1])

        run_paused(main())

    def test_candidate_takes_over_after_the_lapse_and_paused_holder_finds_out(self):
        async def main():
            platform, epochs = FakePlatform(), []
            first, task = self.start_manager(platform, epochs=epochs)
            await advance(1.0)
            task.cancel()
            second, other = self.start_manager(platform, "b")
            await advance(8.0)
            self.assertEqual((first.epoch(), second.epoch()), (None, None))
            await advance(5.0)
            self.assertEqual(second.epoch(), 2)
            other.cancel()

        run_paused(main())

    def test_release_hands_over_at_once(self):
        async def main():
            platform = FakePlatform()
            first, task = self.start_manager(platform)
            await advance(1.0)
            task.cancel()
            await first.release()
            second, other = self.start_manager(platform, "b")
            await advance(1.0)
            self.assertEqual((first.epoch(), second.epoch()), (None, 2))
            other.cancel()

        run_paused(main())
