from __future__ import annotations

import asyncio
import unittest
from typing import TYPE_CHECKING

from magnoliarouter.standins.launch import Process, Site, contract_value
from magnoliarouter.standins.load import CompletionRequest, open_load_session, send_completion
from magnoliarouter.store.client import PlatformClient

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    import aiohttp

LIMITS = {"requests_per_second": 500, "tokens_per_second": 500_000}
LONG_STREAM_TOKENS = 60


async def read_started(session: aiohttp.ClientSession, engine: Process) -> int:
    async with session.get(f"{engine.url}/stats") as response:
        return (await response.json())["started"]


async def is_draining(session: aiohttp.ClientSession, guard: Process) -> bool:
    async with session.get(f"{guard.url}/guard/status") as response:
        return (await response.json())["draining"]


async def wait_until(check: Callable[[], Awaitable[bool]]) -> None:
    while True:
        if await check():
            return
        await asyncio.sleep(0.02)


class LeavingTest(unittest.IsolatedAsyncioTestCase):
    async def start_endpoint(self, number: int) -> tuple[Process, Process]:
        host = f"127.0.1.{10 + number}"
        engine = await self.site.start_standin("engine", host)
        settings = {
            "role": "endpoint",
            "name": f"engine-{number}",
            "zone": "zone-1",
            "platform": self.platform.url,
            "listen": {"host": host},
            "target": engine.url,
            "models": ["draft"],
        }
        return engine, await self.site.start_daemon(settings)

    async def start_entry(self) -> Process:
        settings = {
            "role": "entry",
            "name": "entry-1",
            "zone": "zone-1",
            "zones": ["zone-1"],
            "platform": self.platform.url,
            "listen": {"host": "127.0.1.1"},
            "shutdown_seconds": 0,
        }
        return await self.site.start_daemon(settings)

    async def send_request(self, tokens: int = 2, text: str = "Batch note"):
        request = CompletionRequest(self.entry.url, "k", text, tokens)
        return await send_completion(self.session, request)

    async def is_request_served(self) -> bool:
        return (await self.send_request()).complete

    async def count_started(self, engines: list[Process]) -> list[int]:
        return [await read_started(self.session, engine) for engine in engines]

    async def has_started_since(self, engines: list[Process], before: list[int]) -> bool:
        return await self.count_started(engines) != before

    async def test_leaving_endpoint_gets_no_new_work_and_finishes_its_own(self):
        async with Site() as site, open_load_session() as session, asyncio.timeout(60):
            self.site, self.session = site, session
            self.platform = await site.start_standin("platform", "127.0.0.1")
            client = PlatformClient(self.platform.url, session)
            await client.write("contract", "grower", contract_value("grower", "k", current=LIMITS))
            endpoints = await asyncio.gather(self.start_endpoint(0), self.start_endpoint(1))
            self.entry = await self.start_entry()
            engines = [engine for engine, _ in endpoints]
            await wait_until(self.is_request_served)
            before = await self.count_started(engines)
            stream = asyncio.create_task(self.send_request(LONG_STREAM_TOKENS))
            await wait_until(lambda: self.has_started_since(engines, before))
            after = await self.count_started(engines)
            leaving = [new > old for new, old in zip(after, before)].index(True)
            engine, guard = endpoints[leaving]
            guard.child.terminate()
            await wait_until(lambda: is_draining(session, guard))
            results = await asyncio.gather(
                *(self.send_request(text=f"note {n}") for n in range(12))
            )
            self.assertEqual([result.complete for result in results], [True] * 12)
            self.assertEqual(await read_started(session, engine), after[leaving])
            response = await stream
            self.assertTrue(response.complete)
            self.assertEqual(response.body.count(b"data: "), LONG_STREAM_TOKENS + 1)
            self.assertEqual(await asyncio.wait_for(guard.child.wait(), 20), 0)
