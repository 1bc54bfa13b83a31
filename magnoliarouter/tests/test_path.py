from __future__ import annotations

import asyncio
import unittest

import aiohttp

from magnoliarouter.standins.demo import MODEL, ZONES, start_zone, wait_for_model
from magnoliarouter.standins.launch import Site, contract_value
from magnoliarouter.store.client import PlatformClient

LIMITS = {"requests_per_second": 50, "tokens_per_second": 5000}


class PathTest(unittest.IsolatedAsyncioTestCase):
    async def test_request_is_streamed_through_real_processes(self):
        async with Site() as site, aiohttp.ClientSession() as session, asyncio.timeout(60):
            platform = await site.start_standin("platform", "127.0.0.1")
            client = PlatformClient(platform.url, session)
            await client.write("contract", "grower", contract_value("grower", "k", current=LIMITS))
            entry = await start_zone(site, platform, 1, ZONES[0])
            await wait_for_model(session, entry)
            body = {"model": MODEL, "prompt": "abc", "stream": True, "max_tokens": 4}
            headers = {"Authorization": "Bearer k", "X-Request-Id": "r1"}
            url = f"{entry.url}/v1/completions"
            async with session.post(url, json=body, headers=headers) as response:
                text = await response.text()
            self.assertEqual(response.status, 200)
            self.assertEqual(response.headers["x-request-id"], "r1")
            frames = text.strip().split("\n\n")
            self.assertEqual(len(frames), 5)
            self.assertEqual(frames[-1], "data: [DONE]")
            self.assertEqual(await entry.stop(), 0)
