from __future__ import annotations

import asyncio
import unittest

import aiohttp

from magnoliarouter.endpoints.client import open_session
from magnoliarouter.tests.broken_answers import build_invalid_statuses, replace_status
from magnoliarouter.tests.raw_server import RawServer, build_response
from magnoliarouter.web.bodies import BodyTooLarge, iterate_body, read_body

UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"


class BodyTest(unittest.IsolatedAsyncioTestCase):
    async def open(self, data, endless=b"", reset=False, pause_s=0.0, tracked=True):
        async def handle(peer):
            await peer.read_message()
            await peer.send(data)
            while endless:
                await peer.send(endless)
            await asyncio.sleep(pause_s)
            if reset:
                peer.reset()

        server = await RawServer(handle).start()
        self.addAsyncCleanup(server.stop)
        session = open_session() if tracked else aiohttp.ClientSession()
        session = await self.enterAsyncContext(session)
        return await self.enterAsyncContext(session.get(f"http://{server.address}/"))

    async def test_body_without_length_is_whole_only_after_a_clean_close(self):
        for pause_s in (0.0, 0.05):
            with self.subTest(pause_s=pause_s):
                response = await self.open(UNFRAMED + b"all", pause_s=pause_s)
                self.assertEqual(await read_body(response), b"all")
        response = await self.open(UNFRAMED + b"some", reset=True, pause_s=0.05)
        parts = []
        with self.assertRaises(aiohttp.ClientPayloadError):
            async for part in iterate_body(response):
                parts.append(part)
        self.assertEqual(parts, [b"some"])

    async def test_body_without_length_is_not_trusted_on_an_untracked_connection(self):
        response = await self.open(UNFRAMED + b"all", tracked=False)
        with self.assertRaises(aiohttp.ClientPayloadError):
            await read_body(response)

    async def test_endless_body_is_read_up_to_the_limit(self):
        for head in (UNFRAMED, CHUNKED):
            with self.subTest(head=head):
                response = await self.open(head, endless=b"400\r\n" + b"x" * 1024 + b"\r\n")
                with self.assertRaises(BodyTooLarge):
                    await read_body(response, 100_000)
                self.assertTrue(response.closed)


class HeadTest(unittest.IsolatedAsyncioTestCase):
    async def test_head_without_a_valid_status_is_no_response_and_ends_its_connection(self):
        empty = replace_status(build_response(b""), "000")
        for answer in (*build_invalid_statuses(), empty):
            with self.subTest(answer=answer):

                async def handle(peer, answer=answer):
                    while True:
                        await peer.read_message()
                        await peer.send(answer)

                server = await RawServer(handle).start()
                self.addAsyncCleanup(server.stop)
                async with open_session() as session:
                    for _ in range(2):
                        with self.assertRaises(aiohttp.ClientError):
                            await session.get(f"http://{server.address}/")
                self.assertEqual(server.connections, 2)


if __name__ == "__main__":
    unittest.main()
