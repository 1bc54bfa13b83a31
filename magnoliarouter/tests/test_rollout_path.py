from __future__ import annotations

import asyncio
import json
import sys
import unittest

from magnoliarouter.pipeline.identify import hash_key
from magnoliarouter.standins.launch import PEER_KEY, Site


class RolloutPathTest(unittest.IsolatedAsyncioTestCase):
    """Command-line tool, two entry daemons and the platform stand-in as separate processes."""

    async def run_tool(self, *arguments):
        child = await asyncio.create_subprocess_exec(
            sys.executable,
            "-m",
            "magnoliarouter.cli.main",
            *arguments,
            "--json",
            "--settings",
            str(self.settings),
            stdout=asyncio.subprocess.PIPE,
        )
        output, _ = await child.communicate()
        return child.returncode, json.loads(output)

    async def test_amendment_is_in_force_when_the_tool_returns(self):
        async with Site() as site, asyncio.timeout(60):
            platform = await site.start_standin("platform", "127.0.0.1")
            self.settings = site.folder / "magnoliactl.json"
            self.settings.write_text(json.dumps({"platform": platform.url, "peer_key": PEER_KEY}))
            for name in ("entry-1", "entry-2"):
                await site.start_daemon(
                    {"role": "entry", "name": name, "zone": "zone-1", "platform": platform.url}
                )
            rates = "limits.current={'requests_per_second': 5, 'tokens_per_second': 9}"
            keys = json.dumps([hash_key("k")])
            code, report = await self.run_tool(
                *("contract", "create", "grower", "--wait"),
                *("--set", f"key_hashes={keys}", "--set", rates.replace("'", '"')),
            )
            self.assertEqual((code, report["pending"]), (0, {}))
            self.assertEqual(report["confirmed"], ["entry-1", "entry-2"])
            code, status = await self.run_tool("status")
            self.assertEqual(code, 0)
            for reply in status.values():
                contracts = next(kind for kind in reply["kinds"] if kind["kind"] == "contract")
                self.assertEqual((contracts["objects"], contracts["errors"]), (1, {}))
                self.assertTrue(reply["ready"])
