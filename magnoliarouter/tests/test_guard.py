from __future__ import annotations

import asyncio
import unittest

import aiohttp
import msgspec
from yarl import URL

from magnoliarouter.core.attempts import START_WINDOW_S, AttemptTable
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.endpoints.guard import Guard
from magnoliarouter.endpoints.messages import FenceReply, FenceRequest
from magnoliarouter.tests.broken_answers import (
    build_invalid_names,
    build_invalid_statuses,
    build_invalid_values,
)
from magnoliarouter.tests.raw_server import RawPeer
from magnoliarouter.web.loop import Runtime
from magnoliarouter.web.server import WebServer

OK = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain; charset=x\r\nContent-Length: 2\r\n"


class Origin:
    """Endpoint that sends scripted bytes as responses to the requests of each connection."""

    def __init__(self, *responses: bytes, close: bool = False, reset: bool = False) -> None:
        self.responses = list(responses)
        self.heads: list[str] = []
        self.close = close
        self.reset = reset
        self.release = asyncio.Event()
        self.release.set()

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.serve, "127.0.0.1", 0)
        return f"http://127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def serve(self, reader, writer):
        try:
            while True:
                head = (await reader.readuntil(b"\r\n\r\n")).decode()
                self.heads.append(head)
                await self.release.wait()
                writer.write(self.responses.pop(0) if self.responses else b"")
                await writer.drain()
                if self.close or not self.responses:
                    break
        except asyncio.IncompleteReadError:
            pass
        if self.reset:
            await asyncio.sleep(0.05)
            RawPeer(reader, writer).reset()
        writer.close()


class GuardTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, *responses: bytes, close: bool = False, reset: bool = False):
        loop = asyncio.get_running_loop()
        self.origin = Origin(*responses, close=close, reset=reset)
        target = await self.origin.start()
        self.table = AttemptTable("one")
        self.session = await self.enterAsyncContext(open_session())
        once = await self.enterAsyncContext(open_session(reuse=False))
        self.guard = Guard(self.table, target, self.session, loop.time, once)
        server = WebServer(Runtime(loop), ("127.0.0.1", 0), self.guard.handle)
        self.addCleanup(server.stop_listening)
        self.addCleanup(self.origin.server.close)
        self.url = f"http://127.0.0.1:{server.port}"

    async def send(self, method="GET", path="/x", attempt="a", **headers):
        fields = {"x-attempt-id": attempt, "x-incarnation": "one", **headers}
        request = self.session.request(
            method, URL(self.url + path, encoded=True), headers=fields, allow_redirects=False
        )
        async with request as response:
            return response.status, response.headers, await response.read()

    async def send_once(self, attempt="a"):
        not_after = str(asyncio.get_running_loop().time() + START_WINDOW_S)
        return await self.send(
            "POST", attempt=attempt, **{"x-run-once": "1", "x-not-after": not_after}
        )

    async def fence(self, attempt, incarnation="one"):
        not_after = asyncio.get_running_loop().time() + START_WINDOW_S
        body = msgspec.json.encode(FenceRequest(attempt, incarnation, not_after))
        async with self.session.post(f"{self.url}/guard/fence", data=body) as response:
            return msgspec.json.decode(await response.read(), type=FenceReply)

    async def check_lost(self, answer):
        """Check that an answer of the endpoint counts for nothing, and is not kept."""
        await self.open(answer, answer, close=True)
        for send, state in ((self.send, "finished"), (self.send_once, "broken")):
            status, headers, _ = await send(attempt=state)
            self.assertEqual((status, headers["x-guard-failure"]), (502, "502"))
            self.assertNotIn("x-not-started", headers)
            reply = await self.fence(state)
            self.assertEqual((reply.state, reply.answer), (state, None))

    async def test_query_and_end_to_end_fields_pass(self):
        await self.open(OK + b"X-Own: v\r\nConnection: X-Hop\r\nX-Hop: h\r\n\r\nok")
        _, headers, body = await self.send(
            path="/x%20y?a=%2F&b=1", **{"X-Ask": "q", "TE": "trailers"}
        )
        head = self.origin.heads[0]
        self.assertEqual(head.split("\r\n")[0], "GET /x%20y?a=%2F&b=1 HTTP/1.1")
        self.assertIn("q", head)
        self.assertNotIn("trailers", head)
        self.assertEqual((headers["x-own"], "x-hop" in headers, body), ("v", False, b"ok"))
        self.assertEqual(headers["content-type"], "text/plain; charset=x")

    async def test_fields_of_the_content_pass_whether_connection_names_them_or_not(self):
        fields = b"Content-Encoding: br\r\nConnection: Content-Type, content-encoding\r\n"
        await self.open(OK + fields + b"\r\nok")
        _, headers, _ = await self.send()
        self.assertEqual(headers["content-type"], "text/plain; charset=x")
        self.assertEqual(headers["content-encoding"], "br")

    async def test_redirect_is_not_followed(self):
        await self.open(b"HTTP/1.1 302 Found\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", OK)
        status, headers, _ = await self.send()
        self.assertEqual((status, headers["location"], len(self.origin.heads)), (302, "/other", 1))

    async def test_put_on_a_broken_kept_alive_connection_is_not_repeated(self):
        await self.open(OK + b"\r\nok", b"", close=False)
        self.assertEqual((await self.send("PUT"))[0], 200)
        # The second request is sent on the kept-alive connection, which closes without a response.
        status, _, _ = await self.send("PUT", attempt="b")
        self.assertEqual((status, len(self.origin.heads)), (502, 2))

    async def test_every_truncation_of_a_response_is_visible(self):
        truncated_responses = (
            OK + b"\r\no",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nok",
            b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok",
        )
        for truncated in truncated_responses:
            with self.subTest(truncated):
                await self.open(truncated, reset=True)
                try:
                    status, _, _ = await self.send()
                except aiohttp.ClientPayloadError:
                    continue
                self.assertEqual(status, 502)

    async def test_body_with_two_lengths_does_not_pass_as_whole(self):
        await self.open(*[OK + b"Content-Length: 5\r\n\r\nok"] * 2, close=True)
        self.assertEqual((await self.send_once("b"))[0], 502)
        try:
            status, _, _ = await self.send()
        except aiohttp.ClientPayloadError:
            return
        self.assertEqual(status, 502)

    async def test_responses_that_end_early_by_a_clean_close_are_visible(self):
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        for truncated in (OK + b"\r\no", chunked + b"2\r\nok\r\n", chunked + b"5\r\nok"):
            with self.subTest(truncated):
                await self.open(truncated, close=True)
                with self.assertRaises(aiohttp.ClientPayloadError):
                    await self.send()

    async def test_response_without_length_passes_whole(self):
        whole = b"HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nok"
        await self.open(whole, whole, close=True)
        self.assertEqual((await self.send())[2], b"ok")
        self.assertEqual((await self.send_once("b"))[2], b"ok")
        self.assertEqual((await self.fence("b")).state, "finished")

    async def test_event_stream_without_length_that_is_reset_is_not_relayed_as_complete(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n"
        await self.open(head + b"data: 1\n\n", reset=True)
        with self.assertRaises(aiohttp.ClientPayloadError):
            await self.send()

    async def test_response_without_length_that_is_reset_is_not_recorded_as_complete(self):
        await self.open(b"HTTP/1.1 200 OK\r\n\r\nsome of it", reset=True)
        self.assertEqual((await self.send_once())[0], 502)
        self.assertEqual((await self.fence("a")).state, "broken")

    async def test_call_that_may_run_once_outlives_its_caller(self):
        await self.open(OK + b"\r\nok")
        self.origin.release.clear()
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.2):
                await self.send_once()
        self.assertEqual((await self.fence("a")).state, "running")
        self.origin.release.set()
        await self.guard.wait_until_idle()
        reply = await self.fence("a")
        self.assertEqual((reply.state, reply.answer.body), ("finished", b"ok"))

    async def test_unreachable_endpoint_proves_not_run(self):
        await self.open()
        self.origin.server.close()
        await self.origin.server.wait_closed()
        status, headers, _ = await self.send_once()
        self.assertEqual((status, headers["x-not-started"]), (503, "a"))
        self.assertEqual((await self.fence("a")).state, "fenced")

    async def test_lost_answer_is_no_proof(self):
        await self.open(b"HTTP/1.1 200 OK\r\n", close=True)
        status, headers, _ = await self.send_once()
        self.assertEqual((status, "x-not-started" in headers), (502, False))
        self.assertEqual((await self.fence("a")).state, "broken")

    async def test_head_without_a_valid_status_is_no_answer(self):
        for answer in build_invalid_statuses(x_attempt_id="a", x_not_started="a"):
            with self.subTest(answer):
                await self.check_lost(answer)

    async def test_line_that_is_no_field_does_not_pass(self):
        for line in build_invalid_names():
            with self.subTest(line):
                await self.open(OK + line + b"X-Last: l\r\n\r\nok", close=True)
                status, headers, body = await self.send()
                if status == 200:
                    self.assertEqual((headers["x-last"], body), ("l", b"ok"))
                    self.assertIn(line[:1], (b" ", b"\t"))
                else:
                    self.assertEqual((status, headers["x-guard-failure"]), (502, "502"))

    async def test_control_bytes_in_a_field_do_not_pass(self):
        for line in build_invalid_values():
            with self.subTest(line):
                await self.check_lost(OK + line + b"\r\nok")

    async def test_bytes_over_0x7f_in_a_field_pass_unchanged(self):
        await self.open(OK + b"X-Own: caf\xc3\xa9 \xe9\r\n\r\nok")
        status, headers, body = await self.send()
        self.assertEqual((status, body), (200, b"ok"))
        self.assertEqual(headers["x-own"].encode("latin-1"), b"caf\xc3\xa9 \xe9")

    async def test_type_with_bytes_over_0x7f_of_a_call_that_may_run_once_is_kept(self):
        await self.open(b"HTTP/1.1 200 OK\r\nContent-Type: a/\xe9\r\nContent-Length: 2\r\n\r\nok")
        status, headers, _ = await self.send_once()
        self.assertEqual((status, headers["content-type"]), (200, "a/\xe9"))
        self.assertEqual((await self.fence("a")).answer.content_type, "a/\xe9")

    async def test_head_that_ends_early_is_no_answer(self):
        whole = OK + b"\r\n"
        for size in range(0, len(whole), 3):
            with self.subTest(whole[:size]):
                await self.check_lost(whole[:size])

    async def test_fence_before_start_and_of_another_incarnation(self):
        await self.open(OK + b"\r\nok")
        self.assertEqual((await self.fence("a")).state, "fenced")
        status, headers, _ = await self.send_once()
        self.assertEqual((status, headers["x-start-verdict"]), (503, "fenced"))
        self.assertEqual((await self.fence("b", "zero")).state, "other incarnation")
        self.assertEqual(self.origin.heads, [])
