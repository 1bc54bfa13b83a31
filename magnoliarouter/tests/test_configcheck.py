from __future__ import annotations

import copy
import json
import random
import tempfile
import unittest
from pathlib import Path

from cleo.testers.application_tester import ApplicationTester

from magnoliarouter.cli.main import build_application
from magnoliarouter.cli.result import ExitCode
from magnoliarouter.gateway.configcheck import Severity
from magnoliarouter.platform.configcheck import check_document
from magnoliarouter.platform.configuration import decode_configuration
from magnoliarouter.store.validation import ValidationFailure
from magnoliarouter.tests.platform_standin import build_configuration

ERROR, WARNING = Severity.ERROR, Severity.WARNING
ROUTE = "route r/a/"
SECOND = {"name": "tenant-2", "api_keys": ["key-1"]}
# Changes of one field each, and what is found: severity, entry and a part of the reason.
ROUTE_CASES = (
    ({"path_prefix": "/a"}, WARNING, "also matches '/ax'"),
    ({"path_prefix": "a/"}, ERROR, "never matches"),
    ({"path_prefix": "/a?b/"}, ERROR, "never matches"),
    ({"host": "h.example:80"}, ERROR, "without a port"),
    ({"host": ""}, ERROR, "never matches"),
    ({"service": "gone"}, ERROR, "'gone' is not in the list"),
    ({"traffic_split": [{"service": "app", "weight": 0}]}, ERROR, "no service has a weight"),
    ({"traffic_split": [{"service": "app", "weight": -1}]}, ERROR, "weight of service 'app' is -1"),
    ({"traffic_split": [{"service": "app", "weight": 1}]}, WARNING, "no effect beside"),
    ({"timeout_ms": 0}, ERROR, "time-out is 0 s"),
    ({"timeout_ms": 150}, WARNING, "ends before the target latency of 0.2 s"),
    ({"target_latency_ms": -5}, ERROR, "target latency is -0.005 s"),
    ({"attempts": 0}, ERROR, "attempts is 0"),
    ({"priority": 12}, WARNING, "priority is 12; valid: 0 to 9"),
    ({"resumable": True}, WARNING, "streams only"),
    ({"gap_aim_ms": 100}, WARNING, "no stream"),
    ({"kind": "streaming", "gap_aim_ms": 900}, WARNING, "before the longest gap"),
    ({"kind": "streaming", "gap_aim_ms": 0}, ERROR, "longest gap between events is 0 s"),
    ({"kind": "streaming", "resumable": True, "attempts": 1}, WARNING, "to resume with"),
)


class ConfigCheckTest(unittest.TestCase):
    def find(self, value, in_force=None):
        return [
            (finding.severity, finding.entry, finding.reason)
            for finding in check_document(value, in_force)
        ]

    def assert_found(self, value, severity, entry, part):
        found = self.find(value)
        self.assertTrue(
            any((kind, name) == (severity, entry) and part in text for kind, name, text in found),
            found,
        )

    def test_sound_configuration(self):
        self.assertEqual(self.find(build_configuration(2), build_configuration(1)), [])

    def test_routes(self):
        for change, severity, part in ROUTE_CASES:
            with self.subTest(change=change):
                value = build_configuration()
                value["routes"][0] |= change
                self.assert_found(value, severity, ROUTE, part)

    def test_route_behind_another_with_its_host_and_prefix_never_matches(self):
        value = build_configuration(routes=("/a/", "/a/b/", "/b/"))
        value["routes"].append({**value["routes"][0], "name": "late", "host": "H.Example"})
        found = self.find(value)
        self.assertEqual([entry for _, entry, _ in found], ["route late"])
        self.assertIn("route r/a/ has host 'h.example'", found[0][2])
        self.assertEqual(decode_configuration(value).routes.find("h.example", "/a/").name, "r/a/")

    def test_limits(self):
        for change, severity, part in (
            ({"max_header_bytes": 0}, ERROR, "size of the head is 0"),
            ({"idle_timeout_ms": -1}, ERROR, "idle time is -0.001"),
            ({"idle_timeout_ms": 2000}, WARNING, "below the 3 s for the head"),
        ):
            with self.subTest(change=change):
                value = build_configuration()
                value["limits"] |= change
                self.assert_found(value, severity, "limits", part)

    def test_services_and_tenants(self):
        service = {"name": "app"}
        for field, entry, severity, name, part in (
            ("services", service, ERROR, "service app", "2 services have this name"),
            ("services", {"name": "spare"}, WARNING, "service spare", "no route leads to it"),
            ("tenants", SECOND, ERROR, "tenant tenant-2", "key 1 is held by tenant tenant-1"),
            ("tenants", {**SECOND, "api_keys": []}, WARNING, "tenant tenant-2", "no key"),
            ("tenants", {**SECOND, "api_keys": [" k"]}, ERROR, "tenant tenant-2", "never matches"),
        ):
            with self.subTest(entry=entry):
                value = build_configuration()
                value[field].append(entry)
                self.assert_found(value, severity, name, part)
        without = {**build_configuration(), "tenants": []}
        self.assert_found(without, ERROR, ROUTE, "no customer holds one")
        self.assertEqual(self.find({**without, "tenants": None}), [])

    def test_version_that_daemons_would_not_take(self):
        found = self.find(build_configuration(4), build_configuration(4))
        self.assertEqual(found, [(ERROR, "version", "version is 4; valid: above the 4 in force")])

    def test_any_valid_document_is_checked_without_an_exception(self):
        rng = random.Random(1)
        odd = (None, -1, 0, 1e308, "", " ", "x" * 50, [], {}, True, [None], [{}])
        checked = 0
        for _ in range(3000):
            value = copy.deepcopy(build_configuration(routes=("/a/", "/b/")))
            target = rng.choice([value, *value["routes"], *value["services"], *value["tenants"]])
            target = rng.choice((target, value["limits"]))
            target[rng.choice(list(target))] = rng.choice(odd)
            try:
                check_document(value, build_configuration())
                checked += 1
            except ValidationFailure:
                continue
        self.assertGreater(checked, 100)


class ConfigCommandTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.folder = Path(folder.name)

    def write(self, name, content):
        path = self.folder / name
        path.write_text(content if isinstance(content, str) else json.dumps(content))
        return path

    def run_command(self, line):
        tester = ApplicationTester(build_application())
        code = tester.execute(f"config check {line}")
        output, error = tester.io.fetch_output(), tester.io.fetch_error()
        self.assertNotIn("Traceback", output + error)
        return code, output, error

    def test_exit_codes(self):
        sound = build_configuration()
        doubtful, wrong = build_configuration(), build_configuration()
        doubtful["routes"][0]["priority"] = 12
        wrong["routes"][0]["host"] = "h:1"
        for content, expected in (
            (sound, ExitCode.OK),
            ({"metadata": {"name": "main"}, "spec": sound}, ExitCode.OK),
            (doubtful, ExitCode.DOUBTFUL),
            (wrong, ExitCode.INVALID),
            ({**sound, "routes": 5}, ExitCode.INVALID),
            ({"metadata": {}, "spec": [1]}, ExitCode.INVALID),
            ("[" * 100_000, ExitCode.INVALID),
            ("\x00", ExitCode.INVALID),
            ("[]", ExitCode.INVALID),
        ):
            with self.subTest(content=str(content)[:60]):
                path = self.write("new.json", content)
                self.assertEqual(self.run_command(f"{path}")[0], expected)
        for line in (f"{self.folder}/none.json", f"{path} --in-force {self.folder}"):
            code, _, error = self.run_command(line)
            self.assertEqual(code, ExitCode.INVALID)
            self.assertIn("file ", error)
        self.assertEqual(self.run_command("")[0], ExitCode.USAGE)

    def test_differences_from_the_configuration_in_force(self):
        before = build_configuration(3, ("secret-1", "secret-2"), ("/a/", "/b/"))
        after = build_configuration(5, ("secret-2", "secret-3"), ("/b/", "/c/"))
        after["routes"][0]["timeout_ms"] = 900
        new, old = self.write("new.json", after), self.write("old.json", before)
        code, output, _ = self.run_command(f"{new} --in-force {old} --json")
        self.assertEqual(code, ExitCode.OK)
        value = json.loads(output)
        changes = {change["field"]: change for change in value["changes"]}
        self.assertEqual(
            set(changes),
            {
                "version",
                "routes.r/a/",
                "routes.r/b/.timeout_ms",
                "routes.r/c/",
                "tenants.tenant-1.api_keys",
            },
        )
        self.assertIsNone(changes["routes.r/a/"]["new"])
        self.assertEqual(changes["version"], {"field": "version", "in_force": 3, "new": 5})
        code, output, _ = self.run_command(f"{new} --in-force {old}")
        self.assertIn("0 errors, 0 warnings\n5 fields differ", output)
        self.assertIn("2 keys, 1 of them withdrawn", output)
        self.assertIn("2 keys, 1 of them new", output)
        self.assertNotIn("secret", output)


if __name__ == "__main__":
    unittest.main()
