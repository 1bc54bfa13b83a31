from __future__ import annotations

import asyncio
import json
import tempfile
import unittest
from pathlib import Path

from cleo.testers.application_tester import ApplicationTester

from magnoliarouter.cli.main import build_application
from magnoliarouter.cli.result import ExitCode
from magnoliarouter.peers import PeerServer
from magnoliarouter.peers.status import KindStatus, StatusReply, StatusRequest
from magnoliarouter.pipeline.identify import hash_key
from magnoliarouter.standins.platform import PlatformFaults, PlatformStandin
from magnoliarouter.web.loop import Runtime
from magnoliarouter.web.server import WebServer

PEER_KEY = "0123456789abcdef"
RATES = (
    "--set limits.current.requests_per_second=5 --set limits.current.tokens_per_second=100 "
    "--set limits.late.requests_per_second=1 --set limits.late.tokens_per_second=10"
)


class CliTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.standin = PlatformStandin()
        self.store = self.standin.store
        server = WebServer(Runtime(), ("127.0.0.1", 0), self.standin.handle)
        self.addCleanup(server.stop_listening)
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)
        self.settings = self.folder / "settings.json"
        platform = f"http://127.0.0.1:{server.port}"
        self.settings.write_text(json.dumps({"platform": platform, "peer_key": PEER_KEY}))

    async def run_command(self, line, expect=ExitCode.OK):
        tester = ApplicationTester(build_application())
        line = f"{line} --settings {self.settings}"
        code = await asyncio.to_thread(tester.execute, line)
        output, error = tester.io.fetch_output(), tester.io.fetch_error()
        self.assertEqual(code, expect, output + error)
        self.assertNotIn("Traceback", output + error)
        return output + error

    async def run_json(self, line, expect=ExitCode.OK):
        return json.loads((await self.run_command(f"{line} --json", expect)).splitlines()[0])

    async def create_contract(self, customer="grower", key="k"):
        keys = f"""--set 'key_hashes=["{hash_key(key)}"]'"""
        await self.run_command(f"contract create {customer} {keys} {RATES}")

    def contract_value(self, customer="grower"):
        return self.store.objects["contract", customer].value

    async def start_daemon(self, name, build_reply):
        server = PeerServer(PEER_KEY)

        async def handle_status(request):
            return build_reply(request)

        server.add_method("status", StatusRequest, handle_status)
        await server.start("127.0.0.1", 0)
        self.addAsyncCleanup(server.stop)
        self.register_vm(name, f"127.0.0.1:{server.port}")

    def register_vm(self, name, address):
        vm = {"name": name, "zone": "zone-1", "role": "entry", "address": address}
        self.store.write("vm", name, vm, None)


class ContractCommandsTest(CliTest):
    async def test_change_of_standing_changes_the_limits(self):
        await self.create_contract()
        rows = await self.run_json("contract amend grower --set standing=late --dry-run")
        changed = {row["field"]: (row["before"], row["after"]) for row in rows if row["change"]}
        self.assertEqual(
            changed,
            {
                "standing": ("current", "late"),
                "requests_per_second": ("5", "1"),
                "tokens_per_second": ("100", "10"),
            },
        )
        self.assertEqual(self.contract_value()["standing"], "current", "a dry run writes nothing")
        await self.run_command("contract amend grower --set standing=late")
        self.assertEqual(self.contract_value()["standing"], "late")
        self.assertEqual(self.contract_value()["revision"]["number"], 2)

    async def test_history_survives_deletion(self):
        await self.create_contract()
        await self.run_command("contract amend grower --set standing=late --author ann")
        await self.run_command("contract delete grower")
        self.assertIn("deleted", await self.run_command("contract history grower"))
        await self.create_contract()
        history = await self.run_json("contract history grower")
        self.assertEqual([entry["revision"]["number"] for entry in history], [1, 2, 3])
        self.assertEqual(history[1]["revision"]["author"], "ann")

    async def test_error_names_the_invalid_field(self):
        await self.create_contract()
        for change, expected in (
            ("limits.late.requests_per_second=-4", "limits.late.requests_per_second is -4"),
            ("limits.late.requests_per_second=fast", 'requests_per_second is "fast"'),
            ("limits.late.burst=1", "limits.late.*unknown field `burst`.*valid.*burst_seconds"),
            ("colour=red", "unknown field `colour`.*valid fields: customer, key_hashes"),
            ("standing=gone", "standing 'gone' has no limits; valid: current, late, suspended"),
            ("customer=other", "customer is 'other', expected 'grower'"),
            ("limits.late.burst_seconds=null", None),
        ):
            with self.subTest(change):
                if expected is None:
                    await self.run_command(f"contract amend grower --set {change}")
                    continue
                code = ExitCode.INVALID
                text = await self.run_command(f"contract amend grower --set {change}", code)
                self.assertRegex(text, expected)
        self.assertEqual(self.store.version, 2, "invalid amendments write nothing")

    async def test_key_of_other_customer_is_refused(self):
        await self.create_contract()
        await self.create_contract("other", "other-key")
        change = f"""--set 'key_hashes=["{hash_key('k')}"]'"""
        text = await self.run_command(f"contract amend other {change}", ExitCode.INVALID)
        self.assertIn("belongs to customer grower", text)
        await self.run_command("contract delete grower")
        await self.run_command(f"contract amend other {change}", ExitCode.INVALID)
        await self.run_command(f"key release {hash_key('k')}")
        await self.run_command(f"contract amend other {change}")
        await self.run_command(f"key release {hash_key('k')}", ExitCode.INVALID)

    async def test_amendment_from_an_old_file_shows_both_versions(self):
        await self.create_contract()
        file = self.folder / "grower.json"
        file.write_text(json.dumps(await self.run_json("contract get grower")))
        await self.run_command("contract amend grower --set standing=late")
        before = self.store.version
        line = f"contract amend grower --file {file} --set limits.late.weight=2"
        text = await self.run_command(line, ExitCode.CONFLICT)
        self.assertRegex(text, 'standing +"current" +"late"')
        details = (await self.run_json(line, ExitCode.CONFLICT))["error"]["details"]
        self.assertEqual(details["yours"]["standing"], "current")
        self.assertEqual(details["current"]["standing"], "late")
        self.assertEqual(self.store.version, before)

    async def test_racing_operators_lose_nothing(self):
        await self.create_contract()
        lines = [f"contract amend grower --set limits.late.weight={n}" for n in range(2, 8)]
        testers = [ApplicationTester(build_application()) for _ in lines]
        codes = await asyncio.gather(
            *(
                asyncio.to_thread(tester.execute, f"{line} --settings {self.settings}")
                for tester, line in zip(testers, lines, strict=True)
            )
        )
        self.assertLessEqual(set(codes), {ExitCode.OK, ExitCode.CONFLICT})
        history = await self.run_json("contract history grower")
        recorded_weights = [entry["limits"]["late"]["weight"] for entry in history[1:]]
        accepted_weights = [float(n) for n, code in zip(range(2, 8), codes) if code == ExitCode.OK]
        self.assertEqual(sorted(recorded_weights), accepted_weights)
        numbers = [entry["revision"]["number"] for entry in history]
        self.assertEqual(numbers, list(range(1, len(accepted_weights) + 2)))

    async def test_lost_answers_are_settled(self):
        self.standin.faults = PlatformFaults(lose_answers=1.0)
        await self.create_contract()
        await self.run_command("contract amend grower --set standing=late")
        await self.run_command("contract delete grower")
        self.assertEqual(
            await self.run_command("contract list"),
            "".join("CUSTOMER  STANDING  KEYS  STANDINGS  REVISION  VERSION  PROBLEM\n"),
        )

    async def test_platform_down_or_malformed(self):
        await self.create_contract()
        for faults in (PlatformFaults(down=True), PlatformFaults(malformed=True)):
            self.standin.faults = faults
            for line in ("contract list", "contract amend grower --set standing=late", "status"):
                await self.run_command(line, ExitCode.UNAVAILABLE)

    async def test_malformed_contract_is_shown_and_can_be_corrected(self):
        self.store.write("contract", "grower", {"customer": "grower", "key_hashes": 5}, None)
        self.assertIn("refused", await self.run_command("contract get grower", ExitCode.INVALID))
        self.assertIn("key_hashes is 5", await self.run_command("contract list"))
        change = f"--set key_hashes=[] --set standing=late {RATES}"
        await self.run_command(f"contract amend grower {change}")
        self.assertEqual(self.contract_value()["standing"], "late")

    async def test_usage(self):
        for line in (
            "contract get",
            "contract amend grower --bogus",
            "contract fetch grower",
            "contract amend grower --wait --timeout soon",
            "contract amend grower --set standing",
            "status --platform nonsense",
        ):
            with self.subTest(line):
                await self.create_contract_if_missing()
                await self.run_command(line, ExitCode.USAGE)

    async def create_contract_if_missing(self):
        if ("contract", "grower") not in self.store.objects:
            await self.create_contract()


class ServiceCommandsTest(CliTest):
    async def test_put_get_list_delete(self):
        change = """--set 'non_repeatable=["POST /release"]'"""
        text = await self.run_command(f"service put tanks {change} --dry-run")
        self.assertRegex(text, r'non_repeatable +null +\["POST /release"\]')
        self.assertEqual(self.store.version, 0)
        await self.run_command(f"service put tanks {change} --wait")
        self.assertEqual(
            self.store.objects["service", "tanks"].value,
            {"name": "tanks", "non_repeatable": ["POST /release"]},
        )
        self.assertRegex(await self.run_command("service list"), r"tanks +1 +POST /release")
        self.assertIn("POST /release", await self.run_command("service get tanks"))
        await self.run_command("service delete tanks")
        await self.run_command("service get tanks", ExitCode.NOT_FOUND)

    async def test_malformed_call_pattern_is_refused(self):
        change = """--set 'non_repeatable=["release"]'"""
        text = await self.run_command(f"service put tanks {change}", ExitCode.INVALID)
        self.assertIn('non_repeatable[0] is "release"', text)


class ConfirmationTest(CliTest):
    async def test_wait_names_daemons_that_have_not_confirmed(self):
        requests = []

        def confirm_late(request):
            requests.append(request)
            version = 99 if len(requests) > 2 else 0
            return StatusReply("one", "zone-1", 1.0, True, applied={"grower": version})

        def report_refusal(request):
            kinds = [KindStatus("contract", 0, 9, errors={"grower": "key is taken"})]
            return StatusReply("two", "zone-1", 1.0, True, kinds=kinds)

        await self.start_daemon("one", confirm_late)
        await self.start_daemon("two", report_refusal)
        self.register_vm("three", "127.0.0.1:1")
        await self.create_contract()
        line = "contract amend grower --set standing=late --wait --timeout 1.5"
        report = await self.run_json(line, ExitCode.NOT_CONFIRMED)
        self.assertEqual(report["confirmed"], ["one"])
        self.assertEqual(requests[0], StatusRequest("contract", ["grower"]))
        self.assertEqual(set(report["pending"]), {"two", "three"})
        self.assertEqual(report["pending"]["two"], "refused: key is taken")
        self.assertIn("not reachable", report["pending"]["three"])

    async def test_wait_ends_when_all_have_confirmed(self):
        await self.start_daemon(
            "one", lambda request: StatusReply("one", "z", 1.0, True, applied={"grower": 99})
        )
        await self.create_contract()
        text = await self.run_command("contract amend grower --set standing=late --wait")
        self.assertIn("in force at 1 daemons", text)

    async def test_status(self):
        kinds = [KindStatus("contract", 3, 17, 0.5, {"grower": "bad field"})]
        await self.start_daemon(
            "one", lambda request: StatusReply("one", "zone-1", 1.0, True, "peers", kinds)
        )
        self.register_vm("two", "127.0.0.1:1")
        text = await self.run_command("status", ExitCode.NOT_CONFIRMED)
        self.assertRegex(text, r"one +zone-1 +ready +peers +3 +17 +0\.5 +1")
        self.assertRegex(text, r"two +- +not reachable")
        self.assertRegex(text, r"contract/grower +bad field +1")


class KeyCommandsTest(CliTest):
    async def test_new_key_matches_its_hash(self):
        first, second = await self.run_json("key new"), await self.run_json("key new")
        self.assertEqual(hash_key(first["key"]), first["key_hash"])
        self.assertNotEqual(first["key"], second["key"])
        self.assertGreaterEqual(len(first["key"]), 43)


class ExitCodesPageTest(unittest.TestCase):
    def test_page_lists_every_code(self):
        page = Path(__file__).parents[2] / "docs" / "operators" / "exit-codes.md"
        text = page.read_text(encoding="utf-8")
        for code in ExitCode:
            self.assertIn(f"| {int(code)} | `{code.name.lower()}` |", text)
