from __future__ import annotations

import json

import msgspec

from magnoliarouter.cli.result import ExitCode
from magnoliarouter.core.expertmap import spread_evenly
from magnoliarouter.core.mapmessages import Schedule
from magnoliarouter.core.mapstate import MapRecord
from magnoliarouter.daemon.grouphealth import GroupHealth
from magnoliarouter.endpoints.group import RankLoad
from magnoliarouter.store.groups import GroupHealthSpec
from magnoliarouter.tests import test_cli
from magnoliarouter.web.loop import Runtime
from magnoliarouter.web.server import WebServer

EXPERT_TOKENS = [[9, 1, 1, 1]]


class GroupCommandsTest(test_cli.CliTest):
    async def asyncSetUp(self):
        await super().asyncSetUp()
        ranks = [self.start_rank(rank) for rank in range(2)]
        self.spec = {"name": "g1", "ranks": ranks, "layers": 1, "experts": 4}
        self.store.write("group", "g1", self.spec, None)
        record = MapRecord(3, Schedule(7, 20, 6), 7, 0, ((7, spread_evenly(2, 1, 4).encode()),))
        self.store.write("map", "g1", msgspec.to_builtins(record), None)

    def start_rank(self, rank):
        tokens = [] if rank else EXPERT_TOKENS
        load = RankLoad(rank, 41, 0.02, 1.0, tokens, 2, 0.5)

        async def send_load(exchange):
            await exchange.send(200, msgspec.json.encode(load))

        server = WebServer(Runtime(), ("127.0.0.1", 0), send_load)
        self.addCleanup(server.stop_listening)
        return f"127.0.0.1:{server.port}"

    async def test_list_and_show(self):
        self.assertEqual((await self.run_json("group list"))[0]["version"], 7)
        shown = await self.run_json("group show g1")
        self.assertEqual((shown["version"], shown["silent_ranks"]), (7, 0))
        self.assertAlmostEqual(shown["skew"], 10 / 6 - 1, places=3)
        self.assertEqual(shown["ranks"][1]["step"], 41)

    async def test_silent_rank_is_reported(self):
        spec = {**self.spec, "ranks": [self.spec["ranks"][0], "127.0.0.1:1"]}
        self.store.write("group", "g1", spec, None)
        text = await self.run_command("group show g1", ExitCode.NOT_CONFIRMED)
        self.assertIn("silent", text)

    async def test_dry_run_shows_saving_and_cost(self):
        plan = await self.run_json("group rebalance g1 --dry-run")
        self.assertGreater(plan["moves"], 0)
        self.assertLess(plan["skew_after"], plan["skew_before"])
        self.assertGreater(plan["saved_seconds"], plan["cost_seconds"])
        await self.run_command("group rebalance g1", ExitCode.USAGE)

    async def test_pin_and_unpin(self):
        await self.run_command("group pin g1")
        self.assertTrue(self.store.objects["group", "g1"].value["pinned"])
        await self.run_command("group pin g1 --off")
        self.assertNotIn("pinned", self.store.objects["group", "g1"].value)

    async def test_apply_names_bad_field(self):
        path = self.folder / "group.json"
        path.write_text(json.dumps({**self.spec, "name": "g2"}))
        await self.run_command(f"group apply {path}")
        self.assertIn(("group", "g2"), self.store.objects)
        path.write_text(json.dumps({**self.spec, "favour": "speed"}))
        text = await self.run_command(f"group apply {path}", ExitCode.INVALID)
        self.assertIn("favour", text)

    async def test_unknown_group(self):
        await self.run_command("group show nobody", ExitCode.NOT_FOUND)

    async def test_health_counts_as_load_of_endpoints(self):
        health = GroupHealth()
        health.update("g1", GroupHealthSpec("g1", 0.4, 0.4, 7, (), ("engine-1",)))
        self.assertEqual(health.extra_load("engine-1"), 0.4)
        self.assertEqual(health.extra_load("engine-2"), 0.0)
        health.update("g1", None)
        self.assertEqual(health.extra_load("engine-1"), 0.0)


del test_cli  # tests of `test_cli` run from that module alone
