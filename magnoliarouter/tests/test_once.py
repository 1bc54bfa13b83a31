from __future__ import annotations

import asyncio
import unittest

import aiohttp

from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.standins.bookings import BookingSite
from magnoliarouter.standins.launch import Site


class OnceTest(unittest.IsolatedAsyncioTestCase):
    """Requests with an idempotency key, which must run at most once, through real processes."""

    async def asyncSetUp(self):
        self.site = await self.enterAsyncContext(Site())
        session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.bookings = BookingSite(self.site, session)
        await self.bookings.start(entries=2, endpoints=1)

    def count_executions(self, key):
        return sum(execution.key == key for execution in self.bookings.read_executions())

    async def test_each_way_of_repeating(self):
        first, second = self.bookings.entries
        async with asyncio.timeout(30):
            await self.repeat_gets_the_stored_outcome(first, second)
            await self.concurrent_requests_run_once(first, second)
            await self.other_body_is_refused(first)
            await self.store_down_refuses(first)
            await self.disconnected_caller_is_still_booked(first, second)
            await self.lost_response_stays_unknown(first, second)

    async def repeat_gets_the_stored_outcome(self, first, second):
        response = await self.bookings.book(first, "k1", "7 -> 3")
        repeated = await self.bookings.book(second, "k1", "7 -> 3")
        self.assertEqual((response.status, repeated.status), (200, 200))
        self.assertEqual(response.body, repeated.body)
        self.assertEqual(self.count_executions("k1"), 1)

    async def concurrent_requests_run_once(self, first, second):
        calls = (self.bookings.book(entry, "k2", "x") for entry in (first, second) * 3)
        replies = await asyncio.gather(*calls)
        bodies = {reply.body for reply in replies if reply.outcome == "completed"}
        self.assertEqual((len(bodies), self.count_executions("k2")), (1, 1))

    async def other_body_is_refused(self, first):
        reply = await self.bookings.book(first, "k1", "other")
        self.assertEqual((reply.status, reply.code), (422, ResultCode.KEY_REUSED))

    async def store_down_refuses(self, first):
        await self.bookings.set_faults(self.bookings.platform, down=True)
        reply = await self.bookings.book(first, "k3", "x")
        await self.bookings.set_faults(self.bookings.platform)
        self.assertEqual((reply.outcome, reply.code), ("not_run", ResultCode.PLATFORM_UNAVAILABLE))
        self.assertEqual(self.count_executions("k3"), 0)

    async def disconnected_caller_is_still_booked(self, first, second):
        await self.bookings.set_faults(self.bookings.applications[0], late=1.0, late_seconds=0.5)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.25):
                await self.bookings.book(first, "k4", "x")
        await self.bookings.set_faults(self.bookings.applications[0])
        while (reply := await self.bookings.book(second, "k4", "x")).outcome != "completed":
            self.assertEqual(reply.code, ResultCode.IN_PROGRESS)
            await asyncio.sleep(0.05)
        self.assertEqual(self.count_executions("k4"), 1)

    async def lost_response_stays_unknown(self, first, second):
        await self.bookings.set_faults(self.bookings.applications[0], lose_answer=1.0)
        replies = [await self.bookings.book(entry, "k5", "x") for entry in (first, second, first)]
        self.assertEqual({reply.code for reply in replies}, {ResultCode.OUTCOME_UNKNOWN})
        self.assertEqual(self.count_executions("k5"), 1)
