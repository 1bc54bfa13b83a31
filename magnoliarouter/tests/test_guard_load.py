from __future__ import annotations

import asyncio
import re
import unittest

import msgspec

from magnoliarouter.core.attempts import AttemptTable
from magnoliarouter.core.outcome import NotRun, ResultCode, Unknown
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.endpoints.guard import Guard
from magnoliarouter.endpoints.messages import GuardStatus
from magnoliarouter.endpoints.monitor import EndpointMonitor
from magnoliarouter.endpoints.report import LOAD_HEADER, decode_load_header
from magnoliarouter.pipeline.dispatch import EndpointResponse, open_attempt
from magnoliarouter.tests.broken_answers import replace_status
from magnoliarouter.tests.builders import build_call, build_endpoint
from magnoliarouter.tests.raw_server import RawServer, build_response
from magnoliarouter.web.loop import Runtime
from magnoliarouter.web.server import WebServer


class GuardLoadTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.loop = asyncio.get_running_loop()
        self.session = await self.enterAsyncContext(open_session())
        self.release, self.request_received = asyncio.Event(), asyncio.Event()
        self.engine_headers = {"Content-Type": "application/json"}
        target = self.serve(self.respond)
        self.table = AttemptTable("i1")
        self.monitor = EndpointMonitor(self.table, 1, 0, self.loop.time)
        self.guard = Guard(self.table, target, self.session, self.loop.time, monitor=self.monitor)
        self.url = self.serve(self.guard.handle)
        self.heads = []

    def serve(self, handle) -> str:
        server = WebServer(Runtime(self.loop), ("127.0.0.1", 0), handle)
        self.addCleanup(server.stop_listening)
        return f"http://127.0.0.1:{server.port}"

    async def respond(self, exchange):
        self.request_received.set()
        await self.release.wait()
        await exchange.send(200, b"{}", self.engine_headers)

    async def attempt(self, **changes):
        endpoint = build_endpoint(address=self.url.removeprefix("http://"))
        now = self.loop.time()
        call = build_call(**{"deadline": now + 30.0, **changes})
        opened = open_attempt(self.session, endpoint, call, now, self.heads.append)
        async with opened as response:
            if isinstance(response, EndpointResponse):
                async for _ in response.body:
                    pass
            return response

    async def test_full_guard_refuses_with_proof_and_reports_its_load(self):
        first = asyncio.create_task(self.attempt())
        await self.request_received.wait()
        refused = await self.attempt()
        self.assertIsInstance(refused, NotRun)
        self.assertEqual(refused.code, ResultCode.QUEUE_FULL)
        self.assertEqual(decode_load_header(self.heads[0][LOAD_HEADER]).running, 1)
        self.release.set()
        self.assertEqual((await first).status, 200)

    async def test_guard_refuses_what_would_wait_beyond_its_deadline(self):
        self.monitor.queue_limit = 5
        self.monitor.record_service_time(10.0, 1)
        first = asyncio.create_task(self.attempt())
        await self.request_received.wait()
        refused = await self.attempt(deadline=self.loop.time() + 1.0)
        self.assertEqual(refused.code, ResultCode.DEADLINE_UNREACHABLE)
        self.release.set()
        await first

    async def test_head_without_a_valid_status_proves_nothing(self):
        async def handle(peer):
            head, _ = await peer.read_message()
            attempt = re.search(r"x-attempt-id: (\S+)", head)[1]
            named = build_response(x_attempt_id=attempt, x_not_started=attempt)
            await peer.send(replace_status(named, "000"))

        server = await RawServer(handle).start()
        self.addAsyncCleanup(server.stop)
        self.url = f"http://{server.address}"
        outcome = await self.attempt()
        self.assertEqual(outcome, Unknown(ResultCode.ENDPOINT_ERROR, "MalformedHead"))
        self.assertEqual(self.heads, [])

    async def test_no_answer_before_the_deadline_is_unknown(self):
        outcome = await self.attempt(deadline=self.loop.time() + 0.05)
        self.assertIsInstance(outcome, Unknown)
        self.assertEqual(outcome.code, ResultCode.DEADLINE_EXCEEDED)
        self.release.set()

    async def test_endpoint_cannot_forge_guard_headers(self):
        self.engine_headers |= {"x-start-verdict": "draining", "x-guard-failure": "502"}
        self.engine_headers[LOAD_HEADER] = "[99,1,0]"
        self.release.set()
        response = await self.attempt()
        self.assertIsInstance(response, EndpointResponse)
        self.assertEqual(decode_load_header(self.heads[0][LOAD_HEADER]).running, 1)

    async def test_call_to_an_engine_that_refuses_connections_is_not_run(self):
        self.guard._target = "http://127.0.0.1:1"
        outcome = await self.attempt()
        self.assertIsInstance(outcome, NotRun)
        self.assertEqual(outcome.code, ResultCode.ENDPOINT_UNREACHABLE)

    async def test_status_error_names_the_invalid_query(self):
        async with self.session.get(f"{self.url}/guard/status?after=x") as response:
            self.assertEqual(response.status, 400)
            self.assertIn("after=N", await response.text())

    async def test_draining_guard_responds_to_status_readers_at_once(self):
        self.table.draining = True
        self.monitor.publish_if_changed()
        url = f"{self.url}/guard/status?after={self.monitor.sequence}&wait=30&pause=30"
        async with asyncio.timeout(10), self.session.get(url) as response:
            status = msgspec.json.decode(await response.read(), type=GuardStatus)
        self.assertTrue(status.draining and status.load.draining)
