from __future__ import annotations

import json
import tempfile
import unittest
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from magnoliarouter.cli.explain import collect_trace
from magnoliarouter.cli.main import build_application
from magnoliarouter.cli.result import ExitCode


def build_log_line(event, at, **fields):
    return json.dumps({"message_type": event, "timestamp": at, "task_level": [1], **fields})


LOGS = {
    "front-1": [
        "Starting up, not one of ours",
        build_log_line("configuration_applied", 1.0, version=3),
        build_log_line("configuration_applied", 8.0, version=4),
        build_log_line("endpoint_suspected", 9.0, endpoint="e1"),
        build_log_line("endpoint_suspected", 9.1, endpoint="e7"),
        "12:00:01 front-1 "
        + build_log_line("attempt", 10.0, request_id="r1", endpoint="e1", attempt=1),
        build_log_line("attempt", 10.1, request_id="r2", endpoint="e7", attempt=1),
        build_log_line(
            "attempt_failed", 10.2, request_id="r1", endpoint="e1", code=502, reason="reset"
        ),
        '{"broken": ',
        "[1, 2]",
        build_log_line(
            "request", 10.3, request_id="r1", code=502, outcome="unknown", reason="reset"
        ),
    ],
    "front-2": [build_log_line("configuration_applied", 9.5, version=9)],
}


class CollectTraceTest(unittest.TestCase):
    def test_trace_holds_request_lines_and_recent_endpoint_state(self):
        trace = collect_trace("r1", LOGS.items())
        events = [(entry["message_type"], entry.get("endpoint")) for entry in trace.lines]
        self.assertEqual(
            events,
            [
                ("configuration_applied", None),
                ("endpoint_suspected", "e1"),
                ("attempt", "e1"),
                ("attempt_failed", "e1"),
                ("request", None),
            ],
        )
        self.assertEqual(trace.passed_over, 3)

    def test_trace_holds_what_the_endpoint_said_about_itself(self):
        events = ("endpoint_leaving", "endpoint_paused", "pause_malformed")
        notices = [build_log_line(event, 9.5, endpoint="e1") for event in events]
        trace = collect_trace("r1", [("front-1", [*LOGS["front-1"], *notices])])
        found = [entry["message_type"] for entry in trace.lines]
        self.assertEqual([event for event in found if event in events], list(events))


class CommandTest(unittest.TestCase):
    def run_command(self, name, arguments):
        tester = CommandTester(build_application().find(name))
        code = tester.execute(arguments)
        return code, tester.io.fetch_output(), tester.io.fetch_error()

    def write_file(self, text, suffix):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        path = Path(folder.name) / f"file{suffix}"
        path.write_text(text, encoding="utf-8")
        return str(path)

    def test_explain(self):
        path = self.write_file("\n".join(LOGS["front-1"]), ".log")
        code, output, _ = self.run_command("explain", f"r1 {path}")
        self.assertEqual(code, ExitCode.OK)
        self.assertIn("attempt_failed", output)
        self.assertIn("3 other lines were passed over", output)
        code, output, _ = self.run_command("explain", f"r1 {path} --json")
        self.assertEqual(json.loads(output)["passed_over"], 3)
        code, _, error = self.run_command("explain", f"r9 {path}")
        self.assertEqual(code, ExitCode.NOT_FOUND)
        self.assertIn("r9", error)
        self.assertEqual(self.run_command("explain", "r1 /nowhere.log")[0], ExitCode.USAGE)

    def test_settings_check(self):
        text = """
            node_name = "front-a-1"
            zone = "a"
            ip = "10.1.0.40"
            port_range = [7340, 7355]
            [listen]
            front = "10.1.0.40:8227"
            ready = "10.1.0.40:8220"
            [platform]
            address = "10.200.1.7:8223"
            [bounds]
            drain_ms = 2000
        """
        good = self.write_file(text, ".toml")
        bad = self.write_file(text.replace("2000", '"soon"'), ".toml")
        self.assertEqual(self.run_command("settings check", good)[0], ExitCode.OK)
        code, _, error = self.run_command("settings check", bad)
        self.assertEqual(code, ExitCode.INVALID)
        self.assertIn('drain_ms is "soon"', error)
        code, _, error = self.run_command(
            "settings check", self.write_file('{"role": "x"}', ".json")
        )
        self.assertEqual(code, ExitCode.INVALID)
        self.assertIn("valid roles", error)

    def test_status_of_an_unreachable_gateway(self):
        code, _, error = self.run_command("gateway status", "127.0.0.1:1")
        self.assertEqual(code, ExitCode.UNAVAILABLE)
        self.assertIn("127.0.0.1:1", error)


if __name__ == "__main__":
    unittest.main()
