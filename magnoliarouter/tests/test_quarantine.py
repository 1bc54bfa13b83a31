from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.daemon.quarantine import QUARANTINE_KIND, decode_record
from magnoliarouter.gateway.call import fingerprint_request
from magnoliarouter.gateway.quarantine import Quarantine
from magnoliarouter.gateway.routes import RouteKind
from magnoliarouter.tests.builders import build_crash_report
from magnoliarouter.tests.clock import wait_until
from magnoliarouter.tests.raw_server import RawPeer
from magnoliarouter.tests.test_forward import ForwardCase, build_route
from magnoliarouter.tests.test_gateway import GatewayCase

CAUSE = {"record": "cause", "parts": ["bad"], "endpoints": []}
CRASH = {"record": "crash", "endpoint": "e1", "started_ms": 0, "began": [["a", "x"]]}


class QuarantineTest(unittest.TestCase):
    def setUp(self):
        self.quarantine = Quarantine()

    def test_prompt_is_found_if_it_holds_all_parts_of_a_set(self):
        for parts in ("ab", "c"):
            self.quarantine.add(frozenset(parts))
        self.assertEqual(self.quarantine.find("xba"), frozenset("ab"))
        self.assertEqual(self.quarantine.find("cx"), frozenset("c"))
        for prompt in ("", "a", "bx", "x"):
            self.assertIsNone(self.quarantine.find(prompt))

    def test_empty_set_is_never_added(self):
        self.assertFalse(self.quarantine.add(frozenset()))
        self.assertIsNone(self.quarantine.find("ab"))
        self.assertFalse(self.quarantine.remove(frozenset()))

    def test_sets_are_added_and_removed_once(self):
        for parts in ("ab", "ac", "ab"):
            self.quarantine.add(frozenset(parts))
        self.assertEqual(len(list(self.quarantine)), 2)
        self.assertTrue(self.quarantine.remove(frozenset("ab")))
        self.assertFalse(self.quarantine.remove(frozenset("ab")))
        self.assertEqual(self.quarantine.find("abc"), frozenset("ac"))

    def test_malformed_records_are_refused(self):
        self.assertEqual(decode_record(CAUSE).parts, frozenset(["bad"]))
        self.assertEqual(decode_record(CRASH), build_crash_report("e1", ["ax"]))
        changes = ({"parts": []}, {"parts": "ab"}, {"parts": [1]}, {"other": 1}, {"record": "x"})
        values = [{**CAUSE, **change} for change in changes]
        values += [{**CRASH, **change} for change in ({"began": [1]}, {"endpoint": None})]
        for value in (*values, {}, {"parts": ["a"]}, [], None, 5, "x"):
            with self.subTest(value=value), self.assertRaises(ValueError):
                decode_record(value)


class RecordsTest(GatewayCase):
    async def send_prompt(self, daemon, parts):
        peer = await RawPeer.connect(daemon.settings.listen)
        self.addCleanup(peer.close)
        await peer.send(
            b"GET /a/x HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: r1\r\nX-Deadline-Ms: 900\r\n"
            b"Authorization: Bearer key-1\r\nX-Prompt-Prefix: " + parts + b"\r\n\r\n"
        )
        head, body = await asyncio.wait_for(peer.read_message(), 5.0)
        return int(head.split()[1]), head, body

    async def test_prompt_recorded_in_the_store_is_refused_as_not_run(self):
        await self.store.put(QUARANTINE_KIND, "one", CAUSE)
        daemon = await self.start()
        await self.wait_ready(daemon)
        status, head, body = await self.send_prompt(daemon, b"a:1,bad:2,c:3")
        self.assertEqual(status, 503)
        self.assertIn(b"prompt_quarantined", body)
        self.assertIn(b"not_run", body)
        # A third of the time that the caller has left.
        self.assertRegex(head, r"Retry-After: 0\.(29|30)")
        self.assertEqual((await self.send_prompt(daemon, b"a:1,c:3"))[0], 200)
        self.assertEqual(len(self.engine.heads), 1)

    async def test_set_found_by_a_daemon_reaches_all_others_and_those_that_start_later(self):
        first, second = await self.start("front-1"), await self.start("front-2")
        for daemon in (first, second):
            await self.wait_ready(daemon)
        first.quarantine.add(frozenset(["bad"]))
        first._quarantine_records.write_cause(frozenset(["bad"]))
        await wait_until(lambda: frozenset(["bad"]) in second.quarantine, 2.0)
        third = await self.start("front-3")
        await self.wait_ready(third)
        self.assertEqual((await self.send_prompt(third, b"bad:2,c:3"))[0], 503)

    async def test_set_is_recorded_once_the_store_serves_again(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.store.fault = "busy"
        daemon._quarantine_records.write_cause(frozenset(["bad"]))
        await asyncio.sleep(0.6)
        self.store.fault = ""
        await wait_until(lambda: self.list_records() == [CAUSE], 3.0)

    async def test_set_on_which_another_daemon_saw_an_answer_is_released_everywhere(self):
        finder, witness = await self.start("front-1"), await self.start("front-2")
        for daemon in (finder, witness):
            await self.wait_ready(daemon)
        cause, other = frozenset(["f", "request:1"]), frozenset(["f", "request:2"])
        witness._crash_watch._own_answered.record(["request:1"], asyncio.get_running_loop().time())
        finder.quarantine.add(cause)
        finder._quarantine_records.write_cause(cause)
        await wait_until(lambda: not list(finder.quarantine) and not self.list_records(), 3.0)
        self.assertEqual(list(witness.quarantine), [])
        witness._crash_watch._own_answered.record(["f"], asyncio.get_running_loop().time())
        finder.quarantine.add(other)
        finder._quarantine_records.write_cause(other)
        await wait_until(lambda: list(witness.quarantine) == [other], 3.0)

    async def test_crashes_of_before_the_start_hold_no_request_back(self):
        fingerprint = fingerprint_request(b"GET", b"/a/x", "key-1", b"")
        for number in range(4):
            crash = {**CRASH, "endpoint": f"e{number}", "began": [], "waiting": [[fingerprint]]}
            await self.store.put(QUARANTINE_KIND, f"crash-{number}", crash)
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.assertEqual((await self.send_prompt(daemon, b"a:1"))[0], 200)

    async def test_records_for_other_software_are_released_together(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        cause = frozenset(["request:1"])
        for version in ("v1", "v2"):
            daemon.quarantine.add(cause, frozenset([("app", version)]))
            daemon._quarantine_records.write_cause(cause)
            await asyncio.sleep(0.5)
        self.assertEqual(len(self.list_records()), 2)
        name = next(item.name for item in self.store.store.list(QUARANTINE_KIND))
        await self.store.put(QUARANTINE_KIND, name, None)
        await wait_until(lambda: not self.list_records() and not list(daemon.quarantine), 3.0)

    def list_records(self):
        return [item.value for item in self.store.store.list(QUARANTINE_KIND)]

    async def test_deleted_record_releases_its_prompt_everywhere(self):
        await self.store.put(QUARANTINE_KIND, "one", CAUSE)
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.assertEqual((await self.send_prompt(daemon, b"bad:2,c:3"))[0], 503)
        await self.store.put(QUARANTINE_KIND, "one", None)
        await wait_until(lambda: not list(daemon.quarantine), 2.0)
        self.assertEqual((await self.send_prompt(daemon, b"bad:2,c:3"))[0], 200)

    async def test_crashes_in_the_store_reach_daemons_that_share_no_datagram(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        for number in range(50):
            await self.send_prompt(daemon, f"{number:x}:1,c:1".encode())
        for number in range(2):
            began = [[f"d{number}", "bad"]]
            crash = {**CRASH, "endpoint": f"e{number}", "began": began}
            await self.store.put(QUARANTINE_KIND, f"crash-{number}", crash)
            await asyncio.sleep(0.3)
        await wait_until(lambda: frozenset(["bad"]) in daemon.quarantine, 2.0)
        await wait_until(lambda: CAUSE["parts"] in map(read_parts, self.list_records()), 2.0)

    async def test_crashes_of_a_released_cause_are_deleted(self):
        await self.store.put(QUARANTINE_KIND, "one", CAUSE)
        for name, began in (("crash-1", [["d", "bad"]]), ("crash-2", [["d", "e"]])):
            await self.store.put(QUARANTINE_KIND, name, {**CRASH, "began": began})
        daemon = await self.start()
        await self.wait_ready(daemon)
        await self.store.put(QUARANTINE_KIND, "one", None)
        await wait_until(lambda: len(self.list_records()) == 1, 2.0)
        self.assertEqual(self.list_records()[0]["began"], [["d", "e"]])

    async def test_crash_is_recorded_unless_its_cause_is_known(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        records = daemon._quarantine_records
        daemon.quarantine.add(frozenset(["bad"]))
        records.write_crash(build_crash_report("e1", [["d", "bad"]]))
        records.write_crash(build_crash_report("e2", [["d", "e"]]))
        await wait_until(lambda: bool(self.list_records()), 2.0)
        await asyncio.sleep(0.1)
        self.assertEqual([one["endpoint"] for one in self.list_records()], ["e2"])

    async def test_malformed_records_refuse_no_prompt(self):
        for number, value in enumerate(({"parts": []}, {**CAUSE, "parts": []}, "text", [1])):
            await self.store.put(QUARANTINE_KIND, f"bad-{number}", value)
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.assertEqual((await self.send_prompt(daemon, b"a:2,c:3"))[0], 200)
        self.assertEqual(len(daemon._quarantine_records.feed.errors), 4)


def read_parts(record):
    return record.get("parts")


class WaitingTest(ForwardCase):
    async def test_waiting_call_is_refused_at_once_when_its_prompt_is_quarantined(self):
        async def hold(peer):
            await asyncio.sleep(2.0)

        await self.add(hold, slots=1)
        self.quarantine.on_add = self.waiting.wake
        route = build_route(RouteKind.STREAM, 1, 4.0)
        first = asyncio.create_task(self.forward(route))
        await asyncio.sleep(0.05)
        fields = {"X-Prompt-Prefix": b"bad:1,c:2"}
        waiting = asyncio.create_task(self.forward(route, **fields))
        await asyncio.sleep(0.05)
        self.assertEqual(self.waiting.length("app"), 1)
        self.quarantine.add(frozenset(["bad"]))
        outcome = await asyncio.wait_for(waiting, 0.1)
        self.assertEqual(outcome.code, ResultCode.PROMPT_QUARANTINED)
        first.cancel()


if __name__ == "__main__":
    unittest.main()
