from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.daemon.quarantine import QUARANTINE_KIND, decode_quarantined
from magnoliarouter.gateway.quarantine import Quarantine
from magnoliarouter.gateway.routes import RouteKind
from magnoliarouter.tests.clock import wait_until
from magnoliarouter.tests.raw_server import RawPeer
from magnoliarouter.tests.test_forward import ForwardCase, build_route
from magnoliarouter.tests.test_gateway import GatewayCase


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
        self.assertEqual(decode_quarantined({"parts": ["a", "b"]}), frozenset("ab"))
        for value in ({}, {"parts": []}, {"parts": "ab"}, {"parts": [1]}, [], None, 5, "x",
                      {"parts": ["a"], "other": 1}):  # fmt: skip
            with self.subTest(value=value), self.assertRaises(ValueError):
                decode_quarantined(value)


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
        await self.store.put(QUARANTINE_KIND, "one", {"parts": ["bad"]})
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
        first._quarantine_records.write(frozenset(["bad"]))
        await wait_until(lambda: frozenset(["bad"]) in second.quarantine, 2.0)
        third = await self.start("front-3")
        await self.wait_ready(third)
        self.assertEqual((await self.send_prompt(third, b"bad:2,c:3"))[0], 503)

    async def test_set_is_recorded_once_the_store_serves_again(self):
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.store.fault = "busy"
        daemon._quarantine_records.write(frozenset(["bad"]))
        await asyncio.sleep(0.6)
        self.store.fault = ""
        await wait_until(lambda: self.list_records() == [{"parts": ["bad"], "endpoints": []}], 3.0)

    def list_records(self):
        return [item.value for item in self.store.store.list(QUARANTINE_KIND)]

    async def test_deleted_record_releases_its_prompt_everywhere(self):
        await self.store.put(QUARANTINE_KIND, "one", {"parts": ["bad"]})
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.assertEqual((await self.send_prompt(daemon, b"bad:2,c:3"))[0], 503)
        await self.store.put(QUARANTINE_KIND, "one", None)
        await wait_until(lambda: not list(daemon.quarantine), 2.0)
        self.assertEqual((await self.send_prompt(daemon, b"bad:2,c:3"))[0], 200)

    async def test_malformed_records_refuse_no_prompt(self):
        for number, value in enumerate(({"parts": []}, {"parts": [""] * 300}, "text", [1])):
            await self.store.put(QUARANTINE_KIND, f"bad-{number}", value)
        daemon = await self.start()
        await self.wait_ready(daemon)
        self.assertEqual((await self.send_prompt(daemon, b"a:2,c:3"))[0], 200)
        self.assertEqual(len(daemon._quarantine_records.feed.errors), 4)


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
