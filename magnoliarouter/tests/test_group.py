from __future__ import annotations

import asyncio
import unittest

import aiohttp

from magnoliarouter.standins.bench.expertmap import GROUP_SETTINGS, RANK_OPTIONS
from magnoliarouter.standins.bench.groupsite import GroupSite
from magnoliarouter.standins.launch import Site


class GroupTest(unittest.IsolatedAsyncioTestCase):
    async def test_switch_and_restart_of_a_rank_in_real_processes(self):
        async with Site() as site, aiohttp.ClientSession() as session, asyncio.timeout(60):
            group = GroupSite(site, session, 61, 3, GROUP_SETTINGS, RANK_OPTIONS)
            await group.start()
            url = f"http://{group.rank_processes[0].address}/rank/order"
            async with session.post(url, data=b'{"type": "Query", "epoch": 99}') as response:
                self.assertEqual(response.status, 401)
            armed = await group.wait_for_phase({"arm"}, 0, 30.0)
            self.assertIsNotNone(armed)
            await group.restart_rank(1)
            version = armed.version
            while version <= armed.version:
                event = await group.wait_for_phase({"idle"}, len(group.events), 30.0)
                version = event.version
            # The steps are written by another process, so that there is no event to wait for.
            while version not in {line.version for line in group.read_steps()}:  # noqa: ASYNC110
                await asyncio.sleep(0.05)
            versions_by_step = {}
            for line in group.read_steps():
                versions_by_step.setdefault((line.generation, line.step), set()).add(line.version)
            self.assertEqual(
                [step for step, versions in versions_by_step.items() if len(versions) > 1], []
            )
            self.assertGreater(len({min(versions) for versions in versions_by_step.values()}), 1)
