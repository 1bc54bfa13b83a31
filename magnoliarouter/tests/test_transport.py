from __future__ import annotations

import asyncio
import unittest

from magnoliarouter.endpoints.client import open_session
from magnoliarouter.store.results import Failure
from magnoliarouter.store.transport import SessionTransport, UpstreamTransport
from magnoliarouter.store.wire import StoreCall
from magnoliarouter.tests.broken_answers import build_invalid_statuses
from magnoliarouter.tests.raw_server import RawServer
from magnoliarouter.web.upstream import UpstreamPool

LENGTH = b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\n"
CHUNKED = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
UNFRAMED = b"HTTP/1.1 200 OK\r\n\r\n"


class TransportTest(unittest.IsolatedAsyncioTestCase):
    """Both transports, on responses that end in different ways."""

    async def exchange(self, data, reset=False):
        async def handle(peer):
            await peer.read_message()
            await peer.send(data)
            await asyncio.sleep(0.05)
            if reset:
                peer.reset()

        server = await RawServer(handle).start()
        self.addAsyncCleanup(server.stop)
        session = await self.enterAsyncContext(open_session())
        pool = UpstreamPool(asyncio.get_running_loop().time)
        self.addCleanup(pool.close)
        transports = (
            SessionTransport(f"http://{server.address}", session),
            UpstreamTransport(server.address, pool),
        )
        return [await one.exchange(StoreCall("GET", "/x"), 1.0, 100) for one in transports]

    async def test_whole_responses_are_returned(self):
        for data in (LENGTH + b"null", CHUNKED + b"4\r\nnull\r\n0\r\n\r\n", UNFRAMED + b"null"):
            with self.subTest(data=data):
                self.assertEqual(await self.exchange(data), [(200, b"null")] * 2)

    async def test_responses_that_end_early_are_unavailable(self):
        for data in (LENGTH + b"nu", CHUNKED + b"4\r\nnull\r\n", CHUNKED + b"4\r\nnull\r\n0\r\n"):
            with self.subTest(data=data):
                for result in await self.exchange(data):
                    self.assertIs(result.failure, Failure.BROKEN)

    async def test_response_without_length_that_is_reset_is_unavailable(self):
        for result in await self.exchange(UNFRAMED + b"null", reset=True):
            self.assertIs(result.failure, Failure.BROKEN)

    async def test_head_without_a_valid_status_is_no_response(self):
        for data in build_invalid_statuses():
            with self.subTest(data=data):
                for result in await self.exchange(data):
                    self.assertIs(result.failure, Failure.BROKEN)


if __name__ == "__main__":
    unittest.main()
