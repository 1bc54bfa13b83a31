from __future__ import annotations

import asyncio
import unittest
from dataclasses import dataclass, replace

from prometheus_client import CollectorRegistry, Gauge

from magnoliarouter.core.outcome import Completed, NotRun, ResultCode
from magnoliarouter.core.placement import NoCapacity, NoEndpoint
from magnoliarouter.pipeline.call import Call, ModelCall
from magnoliarouter.pipeline.queue import RECHECK_INTERVAL_S, WaitQueue
from magnoliarouter.pipeline.retry import ForwardResult
from magnoliarouter.tests.builders import build_contract, build_limits
from magnoliarouter.tests.clock import advance, run_paused


@dataclass
class FakePlacement:
    """Placement with a fixed number of free slots."""

    free_slots: int = 0

    def place(self, call: Call) -> object:
        return NoEndpoint() if self.free_slots > 0 else NoCapacity(1.0)


def build_call(customer: str = "grower", standing: str = "current", seconds: float = 60.0) -> Call:
    contract = build_contract(customer, standing, **{standing: build_limits()})
    work = ModelCall("draft", False, "abc", 1, 2)
    deadline = asyncio.get_running_loop().time() + seconds
    limits = contract.limits[standing]
    return Call("r", contract, limits, "POST", "/v1/completions", "", b"", deadline, work)


def open_queue(placement: FakePlacement, capacity: int = 4) -> WaitQueue:
    gauge = Gauge("waiting", "Calls that wait", registry=CollectorRegistry())
    return WaitQueue(placement, capacity, asyncio.get_running_loop().time, gauge)


class WaitQueueTest(unittest.TestCase):
    def test_call_continues_at_once_when_a_slot_is_free(self):
        async def main():
            self.assertIsNone(await open_queue(FakePlacement(1)).wait_for_capacity(build_call()))

        run_paused(main())

    def test_call_continues_when_a_slot_becomes_free(self):
        async def main():
            placement = FakePlacement()
            queue = open_queue(placement)
            pending = asyncio.create_task(queue.wait_for_capacity(build_call()))
            await advance(1.0)
            self.assertFalse(pending.done())
            placement.free_slots = 1
            await advance(RECHECK_INTERVAL_S)
            self.assertTrue(pending.done())
            self.assertIsNone(pending.result())

        run_paused(main())

    def test_call_of_a_late_payer_is_displaced_and_refused_at_once(self):
        async def main():
            queue = open_queue(FakePlacement(), capacity=2)
            late = [
                asyncio.create_task(queue.wait_for_capacity(build_call("slow", "late")))
                for _ in range(2)
            ]
            await advance(0)
            current = asyncio.create_task(queue.wait_for_capacity(build_call()))
            await advance(0)
            refused = [task.result() for task in late if task.done()]
            self.assertEqual([refusal.code for refusal in refused], [ResultCode.DISPLACED])
            self.assertFalse(current.done())
            full = await queue.wait_for_capacity(build_call("slow", "late"))
            self.assertEqual(full.code, ResultCode.QUEUE_FULL)
            self.assertGreater(full.retry_after, 0)
            current.cancel()
            next(task for task in late if not task.done()).cancel()
            await advance(0)
            self.assertEqual(queue.waiting._value.get(), 0)

        run_paused(main())

    def test_deadline_ends_the_wait(self):
        async def main():
            queue = open_queue(FakePlacement())
            refusal = asyncio.create_task(queue.wait_for_capacity(build_call(seconds=1.0)))
            await advance(1.0 + 2 * RECHECK_INTERVAL_S)
            self.assertIsInstance(refusal.result(), NotRun)
            self.assertEqual(refusal.result().code, ResultCode.DEADLINE_UNREACHABLE)

        run_paused(main())

    def test_call_refused_as_full_is_queued_ahead_of_its_equals(self):
        async def main():
            placement = FakePlacement(1)
            queue = open_queue(placement)
            full = ForwardResult(NotRun(ResultCode.QUEUE_FULL, "full", 1.0), False)
            results = [full, ForwardResult(Completed(ResultCode.OK, 200), True)]
            order = []

            async def forward():
                order.append("first")
                placement.free_slots = 0
                return results.pop(0)

            first = asyncio.create_task(queue.forward_when_placeable(build_call(), forward))
            await advance(0)
            second = asyncio.create_task(queue.wait_for_capacity(build_call()))
            second.add_done_callback(lambda task: order.append("second"))
            await advance(0)
            self.assertEqual(order, ["first"])
            placement.free_slots = 1
            await advance(RECHECK_INTERVAL_S)
            self.assertEqual((await first).outcome.code, ResultCode.OK)
            self.assertEqual(order, ["first", "first"])
            placement.free_slots = 1
            await advance(RECHECK_INTERVAL_S)
            self.assertEqual(order, ["first", "first", "second"])

        run_paused(main())

    def test_models_have_separate_queues(self):
        async def main():
            queue = open_queue(FakePlacement(), capacity=1)
            first = asyncio.create_task(queue.wait_for_capacity(build_call()))
            other = build_call()
            other = replace(other, work=replace(other.work, model="other"))
            second = asyncio.create_task(queue.wait_for_capacity(other))
            await advance(0)
            self.assertFalse(first.done() or second.done())
            first.cancel()
            second.cancel()

        run_paused(main())
