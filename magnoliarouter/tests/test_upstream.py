from __future__ import annotations

import asyncio
import tracemalloc
import unittest

from magnoliarouter.tests.raw_server import RawServer, build_response
from magnoliarouter.web.upstream import UpstreamError, UpstreamErrorKind, UpstreamPool

REQUEST = b"GET / HTTP/1.1\r\nHost: x\r\n\r\n"


class UpstreamTest(unittest.IsolatedAsyncioTestCase):
    async def start(self, handle):
        server = await RawServer(handle).start()
        self.addAsyncCleanup(server.stop)
        self.pool = UpstreamPool(asyncio.get_running_loop().time)
        self.addCleanup(self.pool.close)
        return server

    async def send_request(self, server):
        connection = await self.pool.acquire(server.address)
        try:
            connection.send(REQUEST)
            head = await connection.read_head()
            return head.status, await connection.read_body()
        finally:
            self.pool.release(server.address, connection)

    async def test_connection_is_reused(self):
        async def handle(peer):
            while True:
                await peer.read_message()
                await peer.send(build_response())

        server = await self.start(handle)
        self.assertEqual([await self.send_request(server) for _ in range(3)], [(200, b"ok")] * 3)
        self.assertEqual(server.connections, 1)

    async def test_connection_with_a_pending_response_is_not_reused(self):
        async def handle(peer):
            await peer.read_message()
            await asyncio.sleep(0.1)
            await peer.send(build_response(b"late"))
            await peer.read_message()
            await peer.send(build_response(b"second"))

        server = await self.start(handle)
        with self.assertRaises(TimeoutError):
            async with asyncio.timeout(0.03):
                await self.send_request(server)
        await self.send_request(server)
        self.assertEqual(server.connections, 2)

    async def test_surplus_bytes_close_the_connection(self):
        for surplus in (b"garbage", build_response(b"twice")):
            with self.subTest(surplus=surplus):

                async def handle(peer, surplus=surplus):
                    while True:
                        await peer.read_message()
                        await peer.send(build_response() + surplus)

                server = await self.start(handle)
                for _ in range(2):
                    self.assertEqual(await self.send_request(server), (200, b"ok"))
                self.assertEqual(server.connections, 2)

    async def test_bytes_on_an_idle_connection_close_it(self):
        async def handle(peer):
            await peer.read_message()
            await peer.send(build_response())
            await asyncio.sleep(0.02)
            await peer.send(build_response(b"late"))
            await asyncio.sleep(1)

        server = await self.start(handle)
        await self.send_request(server)
        await asyncio.sleep(0.05)
        self.assertEqual(await self.send_request(server), (200, b"ok"))
        self.assertEqual(server.connections, 2)

    async def test_truncated_responses(self):
        head = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\n"
        chunked = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
        cases = (
            (b"", UpstreamErrorKind.RESET),
            (b"HTTP/1.1 20", UpstreamErrorKind.TRUNCATED),
            (head + b"half", UpstreamErrorKind.TRUNCATED),
            (chunked + b"4\r\nhalf\r\n", UpstreamErrorKind.TRUNCATED),
            (b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip\r\n\r\nx", UpstreamErrorKind.MALFORMED),
            (
                b"HTTP/1.1 200 OK\r\nTransfer-Encoding: gzip, chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
                UpstreamErrorKind.MALFORMED,
            ),
            (b"what is this\r\n\r\n", UpstreamErrorKind.MALFORMED),
        )
        for data, kind in cases:
            with self.subTest(data=data):

                async def handle(peer, data=data):
                    await peer.read_message()
                    await peer.send(data)

                server = await self.start(handle)
                with self.assertRaises(UpstreamError) as caught:
                    await self.send_request(server)
                self.assertEqual(caught.exception.kind, kind)

    async def test_response_without_length_ends_with_its_connection(self):
        async def handle(peer):
            await peer.read_message()
            await peer.send(b"HTTP/1.1 200 OK\r\n\r\nall of it")

        server = await self.start(handle)
        self.assertEqual(await self.send_request(server), (200, b"all of it"))

    async def test_response_without_length_that_is_reset_is_truncated(self):
        async def handle(peer):
            await peer.read_message()
            await peer.send(b"HTTP/1.1 200 OK\r\n\r\nsome of it")
            await asyncio.sleep(0.02)
            peer.reset()

        server = await self.start(handle)
        with self.assertRaises(UpstreamError) as caught:
            await self.send_request(server)
        self.assertEqual(caught.exception.kind, UpstreamErrorKind.TRUNCATED)

    async def test_response_without_length_that_this_side_closes_is_not_complete(self):
        async def handle(peer):
            await peer.read_message()
            await peer.send(b"HTTP/1.1 200 OK\r\n\r\nsome of it")
            await asyncio.sleep(1)

        server = await self.start(handle)
        connection = await self.pool.acquire(server.address)
        connection.send(REQUEST)
        await connection.read_head()
        connection.close()
        with self.assertRaises(UpstreamError):
            await connection.read_body()

    async def test_informational_responses_are_skipped(self):
        async def handle(peer):
            await peer.read_message()
            await peer.send(b"HTTP/1.1 100 Continue\r\n\r\n" + build_response())

        server = await self.start(handle)
        self.assertEqual(await self.send_request(server), (200, b"ok"))

    async def test_refused_connection_proves_that_nothing_was_sent(self):
        async def handle(peer):
            return

        server = await self.start(handle)
        await server.stop()
        with self.assertRaises(UpstreamError) as caught:
            await self.pool.acquire(server.address)
        self.assertEqual(caught.exception.kind, UpstreamErrorKind.UNREACHABLE)

    async def test_endpoint_may_read_a_large_request_late(self):
        """An endpoint whose places are taken reads a request when one is free."""
        body = b"a" * 8_000_000

        async def handle(peer):
            await peer.reader.readuntil(b"\r\n\r\n")
            await asyncio.sleep(2.5)
            await peer.reader.readexactly(len(body))
            await peer.send(build_response())

        server = await self.start(handle)
        connection = await self.pool.acquire(server.address)
        connection.send(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body) + body)
        self.assertEqual((await connection.read_head()).status, 200)
        self.pool.release(server.address, connection)

    async def test_large_body_is_held_once(self):
        async def handle(peer):
            await asyncio.sleep(5.0)

        server = await self.start(handle)
        connection = await self.pool.acquire(server.address)
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        body = bytearray(8_000_000)
        connection.send(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body), body)
        await asyncio.sleep(0.02)
        self.assertLess(tracemalloc.get_traced_memory()[1], len(body) + 1_000_000)
        connection.close()

    async def test_rest_of_a_body_that_is_answered_early_is_not_taken_for_a_request(self):
        body = bytes(range(256)) * 31_250
        received = asyncio.get_running_loop().create_future()

        async def handle(peer):
            await peer.reader.readuntil(b"\r\n\r\n")
            await peer.send(build_response())
            received.set_result(await peer.read_all())

        server = await self.start(handle)
        connection = await self.pool.acquire(server.address)
        connection.send(b"POST / HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % len(body), body)
        self.assertEqual((await connection.read_head()).status, 200)
        await connection.read_body()
        self.pool.release(server.address, connection)
        self.assertIsNot(await self.pool.acquire(server.address), connection)
        self.assertTrue(body.startswith(await received))

    async def test_announced_idle_timeout_is_respected(self):
        async def handle(peer):
            while True:
                await peer.read_message()
                await peer.send(build_response())

        server = await self.start(handle)
        connection = await self.pool.acquire(server.address)
        connection.record_keep_alive(0.0)
        connection.send(REQUEST)
        await connection.read_head()
        await connection.read_body()
        self.pool.release(server.address, connection)
        await self.send_request(server)
        self.assertEqual(server.connections, 2)


if __name__ == "__main__":
    unittest.main()
