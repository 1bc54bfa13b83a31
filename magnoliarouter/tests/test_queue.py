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
class Endpoint:
    """Placement with a fixed number of free slots."""

    free: int = 0

    def place(self, call: Call) -> object:
        return NoEndpoint() if self.free > 0 else NoCapacity(1.0)


def build_call(customer: str = "grower", standing: str = "current", seconds: float = 60.0) -> Call:
    contract = build_contract(customer, standing, **{standing: build_limits()})
    work = ModelCall("draft", False, "abc", 1, 2)
    deadline = asyncio.get_running_loop().time() + seconds
    limits = contract.limits[standing]
    return Call("r", contract, limits, "POST", "/v1/completions", "", b"", deadline, work)


def open_queue(endpoint: Endpoint, capacity: int = 4) -> WaitQueue:
    gauge = Gauge("waiting", "Calls that wait", registry=CollectorRegistry())
    return WaitQueue(endpoint, capacity, asyncio.get_running_loop().time, gauge)


class WaitingRoomTest(unittest.TestCase):
    def test_call_goes_on_at_once_when_there_is_room(self):
        async def main():
            self.assertIsNone(await open_queue(Endpoint(1)).wait_for_capacity(build_call()))

        run_paused(main())

    def test_call_goes_on_when_room_appears(self):
        async def main():
            endpoint = Endpoint()
            queue = open_queue(endpoint)
            entering = asyncio.create_task(queue.wait_for_capacity(build_call()))
            await advance(1.0)
            self.assertFalse(entering.done())
            endpoint.free = 1
            await advance(RECHECK_INTERVAL_S)
            self.assertTrue(entering.done())
            self.assertIsNone(entering.result())

        run_paused(main())

    def test_late_payer_is_displaced_and_told_at_once(self):
        async def main():
            queue = open_queue(Endpoint(), capacity=2)
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
            queue = open_queue(Endpoint())
            refusal = asyncio.create_task(queue.wait_for_capacity(build_call(seconds=1.0)))
            await advance(1.0 + 2 * RECHECK_INTERVAL_S)
            self.assertIsInstance(refusal.result(), NotRun)
            self.assertEqual(refusal.result().code, ResultCode.DEADLINE_UNREACHABLE)

        run_paused(main())

    def test_call_that_found_no_room_goes_before_its_equals(self):
        async def main():
            endpoint = Endpoint(1)
            queue = open_queue(endpoint)
            full = ForwardResult(NotRun(ResultCode.QUEUE_FULL, "full", 1.0), False)
            ends = [full, ForwardResult(Completed(ResultCode.OK, 200), True)]
            order = []

            async def forward():
                order.append("first")
                endpoint.free = 0
                return ends.pop(0)

            first = asyncio.create_task(queue.forward_when_placeable(build_call(), forward))
            await advance(0)
            second = asyncio.create_task(queue.wait_for_capacity(build_call()))
            second.add_done_callback(lambda task: order.append("second"))
            await advance(0)
            self.assertEqual(order, ["first"])
            endpoint.free = 1
            await advance(RECHECK_INTERVAL_S)
            self.assertEqual((await first).outcome.code, ResultCode.OK)
            self.assertEqual(order, ["first", "first"])
            endpoint.free = 1
            await advance(RECHECK_INTERVAL_S)
            self.assertEqual(order, ["first", "first", "second"])

        run_paused(main())

    def test_models_wait_apart(self):
        async def main():
            queue = open_queue(Endpoint(), capacity=1)
            first = asyncio.create_task(queue.wait_for_capacity(build_call()))
            other = build_call()
            other = replace(other, work=replace(other.work, model="other"))
            second = asyncio.create_task(queue.wait_for_capacity(other))
            await advance(0)
            self.assertFalse(first.done() or second.done())
            first.cancel()
            second.cancel()

        run_paused(main())
