from __future__ import annotations

import asyncio
import random
import unittest

from magnoliarouter.tests.test_gateway import GatewayCase

WINDOW_S = 4.0


def count_allowed(rate):
    """Return how many requests within `WINDOW_S` the users' rule allows."""
    return 1.5 * WINDOW_S * rate + 5


def count_most(times):
    """Return the most requests within `WINDOW_S`."""
    times = sorted(times)
    first = most = 0
    for last, at in enumerate(times):
        while at - times[first] > WINDOW_S:
            first += 1
        most = max(most, last - first + 1)
    return most


class GatewayRateTest(GatewayCase):
    RATE = 2.0

    async def test_endpoint_gets_no_more_than_the_rate_that_it_named_from_all_daemons(self):
        self.engine.fields = {"Server-Limit": str(self.RATE)}
        daemons = [await self.start(f"front-{number}") for number in range(3)]
        for daemon in daemons:
            await self.wait_ready(daemon)
        await asyncio.sleep(0.5)
        loop, times, statuses = asyncio.get_running_loop(), [], []
        serve = self.engine.heads.append

        class Heads(list):
            def append(self, head):
                times.append(loop.time())
                serve(head)

        self.engine.heads = Heads()
        began = loop.time()

        async def call(daemon, number):
            await asyncio.sleep(random.random() * 0.2)
            while loop.time() - began < 7.0:
                status, _, _ = await self.send_request(daemon, request_id=f"{number}")
                statuses.append(status)
                await asyncio.sleep(0.2)

        await asyncio.gather(*(call(daemons[number % 3], number) for number in range(12)))
        bound = [at for at in times if at - began > 1.0]
        self.assertLessEqual(count_most(bound), count_allowed(self.RATE))
        self.assertGreaterEqual(len(bound), 0.6 * self.RATE * 6.0)
        self.assertEqual(set(statuses), {200, 503})


if __name__ == "__main__":
    unittest.main()
