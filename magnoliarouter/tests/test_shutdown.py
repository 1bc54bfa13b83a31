from __future__ import annotations

import asyncio
import json
import sys
import unittest

import aiohttp

from magnoliarouter.standins.demo import MODEL, ZONES, start_zone, wait_for_model
from magnoliarouter.standins.launch import Site, contract_value
from magnoliarouter.store.client import PlatformClient

LIMITS = {"requests_per_second": 50, "tokens_per_second": 50_000}
BODY = {"model": MODEL, "prompt": "abc", "stream": True, "max_tokens": 60}
HEADERS = {"Authorization": "Bearer k"}


class ShutdownTest(unittest.IsolatedAsyncioTestCase):
    """Daemons that shut down, are killed and receive commands, as real processes."""

    async def asyncSetUp(self):
        self.site = await self.enterAsyncContext(Site())
        self.session = await self.enterAsyncContext(aiohttp.ClientSession())
        self.platform = await self.site.start_standin("platform", "127.0.0.1")
        self.client = PlatformClient(self.platform.url, self.session)
        await self.client.write("contract", "grower", contract_value("grower", "k", current=LIMITS))
        self.entry = await start_zone(self.site, self.platform, 1, ZONES[0])
        self.engine, self.guard = self.site.processes[1], self.site.processes[2]
        await wait_for_model(self.session, self.entry)

    async def read_stream(self, started: asyncio.Event) -> str:
        url = f"{self.entry.url}/v1/completions"
        async with self.session.post(url, json=BODY, headers=HEADERS) as response:
            text = b""
            async for chunk in response.content.iter_any():
                started.set()
                text += chunk
        return text.decode()

    async def read_stats(self):
        async with self.session.get(f"{self.engine.url}/stats") as response:
            return await response.json(content_type=None)

    async def wait_until_cancelled(self):
        while True:
            if (await self.read_stats())["cancelled"]:
                return
            await asyncio.sleep(0.02)

    async def run_command(self, *arguments: str):
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            *("-m", "magnoliarouter.cli.main", *arguments),
            *("--platform", self.platform.url, "--json"),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await child.communicate()
        return child.returncode, json.loads(output)

    async def test_streams_finish_while_both_daemons_leave(self):
        async with asyncio.timeout(30):
            started = asyncio.Event()
            stream = asyncio.create_task(self.read_stream(started))
            await started.wait()
            codes = await asyncio.gather(self.entry.stop(), self.guard.stop())
            self.assertTrue((await stream).endswith("data: [DONE]\n\n"))
            self.assertEqual(codes, [0, 0])
            stored = await self.client.read("endpoint", "engine-1")
            self.assertTrue(stored.items[0].value["draining"])

    async def test_stream_of_a_killed_entry_daemon_is_cancelled(self):
        async with asyncio.timeout(30):
            started = asyncio.Event()
            stream = asyncio.create_task(self.read_stream(started))
            await started.wait()
            await self.entry.kill()
            with self.assertRaises(aiohttp.ClientError):
                await stream
            await self.wait_until_cancelled()

    async def test_operators_drain_outlives_the_guard(self):
        async with asyncio.timeout(30):
            code, value = await self.run_command("endpoint", "drain", "engine-1")
            self.assertEqual((code, value["guard"]), (0, True))
            async with self.session.get(f"{self.guard.url}/guard/status") as response:
                self.assertTrue((await response.json(content_type=None))["draining"])
            await self.guard.kill()
            settings = self.site.folder / "engine-1.json"
            await self.site.start_daemon(json.loads(settings.read_text()))
            await self.client.watch("endpoint", value["version"])
            _, listed = await self.run_command("endpoint", "list")
            self.assertTrue(listed[0]["drain_requested"] and listed[0]["draining"])
            code, _ = await self.run_command("endpoint", "undrain", "engine-1")
            self.assertEqual(code, 0)

    async def test_order_is_executed_once_and_shown_in_the_registration(self):
        async with asyncio.timeout(30):
            engine = await self.site.start_standin("orders", "127.0.1.1")
            settings = json.loads((self.site.folder / "engine-1.json").read_text())
            listen = {"host": "127.0.1.1"}
            changes = {"name": "engine-9", "target": engine.url, "listen": listen}
            await self.site.start_daemon({**settings, **changes})
            code, value = await self.run_command("model", "load", "engine-9", "summary")
            self.assertEqual((code, value["state"]), (0, "done"))
            code, again = await self.run_command(
                "model", "load", "engine-9", "summary", "--order", value["order"]["id"]
            )
            self.assertEqual((code, again), (0, value))
            async with self.session.get(f"{engine.url}/journal") as response:
                journal = await response.json(content_type=None)
            self.assertEqual([effect["id"] for effect in journal], [value["order"]["id"]])
            while "summary" not in (await self.read_models()):
                await self.client.watch("endpoint", 0, 0.1)

    async def read_models(self):
        return (await self.client.read("endpoint", "engine-9")).items[0].value["models"]
