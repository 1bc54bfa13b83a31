from __future__ import annotations

import asyncio
import random
import resource
import socket
import tracemalloc
import unittest

import aiohttp

from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.tests.crowds import (
    Crowd,
    build_body,
    build_chunks,
    build_short_lines,
    split,
)
from magnoliarouter.tests.raw_server import RawPeer
from magnoliarouter.web.limits import fit_connections
from magnoliarouter.web.loop import Runtime
from magnoliarouter.web.requestmemory import RequestMemory
from magnoliarouter.web.server import ServerLimits, WebServer

LIMITS = ServerLimits(
    max_header_bytes=2000, max_body_bytes=4000, request_timeout_s=0.2, max_connections=50
)
VALID_REQUEST = b"POST /echo HTTP/1.1\r\nHost: a\r\nContent-Length: 5\r\n\r\nhello"
MUTANT_COUNT = 400
FRAGMENTS = (
    b"\r\n",
    b"\x00",
    b"\\r\\nX: y",
    b"Content-Length: -1\r\n",
    b"Content-Length: 9\r\n",
    b"Transfer-Encoding: chunked\r\n",
    b"Transfer-Encoding: gzip, chunked\r\n",
    b"Content-Encoding: gzip\r\n",
    b"Cookie: =;=\xff\r\n",
    b"Host: a:b\r\n",
    b"HTTP/9.9",
    b" " * 50,
    b"%00/../",
)


def mutate(rng: random.Random) -> bytes:
    data = bytearray(VALID_REQUEST)
    for _ in range(rng.randint(1, 4)):
        at = rng.randrange(len(data))
        match rng.randrange(4):
            case 0:
                data[at] = rng.randrange(256)
            case 1:
                del data[at : at + rng.randint(1, 20)]
            case 2:
                data[at:at] = rng.choice(FRAGMENTS)
            case 3:
                data[at:at] = data[:at]
        data = data or bytearray(b"x")
    return bytes(data)


class WebServerTest(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.rejected = []
        self.cancelled = asyncio.Event()
        self.faults = []
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(lambda _, context: self.faults.append(context))
        self.server = WebServer(
            Runtime(), ("127.0.0.1", 0), self.handle, LIMITS, self.rejected.append
        )
        self.url = f"http://127.0.0.1:{self.server.port}"

    async def asyncTearDown(self):
        self.server.stop_listening()
        for sock in list(self.server._connections):
            self.server.close_connection(sock)
        self.assertEqual(self.faults, [])

    async def handle(self, exchange):
        request = exchange.request
        if request.path == "/endless":
            await exchange.start(200, {})
            try:
                while True:
                    await exchange.write(b"x" * 1000)
            finally:
                self.cancelled.set()
        await exchange.send(200, request.body, {"X-Path": request.path})

    async def send_raw(self, data: bytes) -> bytes:
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(data)
        try:
            return await reader.read(100_000)
        except ConnectionError:
            return b""
        finally:
            writer.close()

    async def assert_rejected(self, data: bytes, status: bytes, code: ResultCode):
        response = await self.send_raw(data)
        self.assertIn(b"HTTP/1.1 " + status, response)
        self.assertIn(b'"outcome":"not_run"', response)
        self.assertIn(code, self.rejected)

    async def test_body_is_echoed(self):
        self.assertTrue((await self.send_raw(VALID_REQUEST)).endswith(b"\r\n\r\nhello"))

    async def test_pipelined_requests_get_responses_in_order(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(VALID_REQUEST + VALID_REQUEST.replace(b"hello", b"world"))
        first = await reader.readuntil(b"hello")
        second = await reader.readuntil(b"world")
        self.assertEqual((first.count(b"200 OK"), second.count(b"200 OK")), (1, 1))
        writer.close()

    async def test_request_after_head_on_the_same_connection(self):
        reader, writer = await asyncio.open_connection("127.0.0.1", self.server.port)
        writer.write(b"HEAD /a HTTP/1.1\r\nHost: a\r\n\r\n")
        self.assertIn(b"X-Path: /a", await reader.readuntil(b"\r\n\r\n"))
        writer.write(VALID_REQUEST)
        self.assertIn(b"X-Path: /echo", await reader.readuntil(b"hello"))
        writer.close()

    async def test_large_header(self):
        data = b"GET /a HTTP/1.1\r\nHost: a\r\nA: " + b"b" * 10_000
        await self.assert_rejected(data, b"431", ResultCode.HEADER_TOO_LARGE)

    async def test_large_body(self):
        data = VALID_REQUEST.replace(b"Content-Length: 5", b"Content-Length: 9000") + b"x" * 9000
        await self.assert_rejected(data, b"413", ResultCode.BODY_TOO_LARGE)

    async def test_slow_request(self):
        await self.assert_rejected(VALID_REQUEST[:30], b"408", ResultCode.SLOW_REQUEST)

    async def test_ambiguous_framing(self):
        for header in (b"Transfer-Encoding: chunked", b"Transfer-Encoding: gzip, chunked"):
            data = VALID_REQUEST.replace(b"Host: a", b"Host: a\r\n" + header)
            data = data.replace(b"hello", b"0\r\n\r\n")
            await self.assert_rejected(data, b"400", ResultCode.MALFORMED_HTTP)

    async def test_escaped_line_break_in_header(self):
        data = VALID_REQUEST.replace(b"Host: a", b"Host: a\r\nX-Request-Id: a\\r\\nX-Attempt-Id: b")
        await self.assert_rejected(data, b"400", ResultCode.MALFORMED_HTTP)

    async def test_compressed_body(self):
        data = VALID_REQUEST.replace(b"Host: a", b"Host: a\r\nContent-Encoding: br")
        await self.assert_rejected(data, b"400", ResultCode.MALFORMED_HTTP)

    async def test_caller_that_goes_away_cancels_its_request(self):
        async with aiohttp.ClientSession() as session:
            response = await session.get(f"{self.url}/endless")
            await response.content.readexactly(100)
            response.close()
            await asyncio.wait_for(self.cancelled.wait(), 5)

    async def test_slow_caller_applies_backpressure_to_the_stream(self):
        async with aiohttp.ClientSession() as session:
            response = await session.get(f"{self.url}/endless")
            await response.content.readexactly(100)
            unsent = [self.server._count_unsent_bytes(sock) for sock in self.server._connections]
            self.assertLess(max(unsent), 200_000)
            response.close()

    async def test_mutated_requests_do_not_break_the_server(self):
        rng = random.Random(7)
        mutants = [mutate(rng) for _ in range(MUTANT_COUNT)]
        for start in range(0, MUTANT_COUNT, 40):
            responses = await asyncio.gather(
                *(self.send_raw(mutant) for mutant in mutants[start : start + 40])
            )
            for mutant, response in zip(mutants[start : start + 40], responses):
                self.assertRegex(response, rb"^(HTTP/1.1 (200|4\d\d) .*|)", mutant)
                self.assertNotIn(b"HTTP/1.1 5", response, mutant)
        self.assertTrue((await self.send_raw(VALID_REQUEST)).endswith(b"hello"))
        self.assertEqual(self.server.active_requests, 0)


class ConnectionLimitTest(unittest.IsolatedAsyncioTestCase):
    """The server may have two connections."""

    async def asyncSetUp(self):
        self.rejected, self.release, self.started = [], asyncio.Event(), asyncio.Semaphore(0)
        self.server = WebServer(
            Runtime(),
            ("127.0.0.1", 0),
            self.handle,
            ServerLimits(max_connections=2),
            self.rejected.append,
        )
        self.addCleanup(self.server.stop_listening)

    async def handle(self, exchange):
        if exchange.request.path == "/slow":
            self.started.release()
            await self.release.wait()
        await exchange.send(200, exchange.request.path.encode())

    async def connect_and_send(self, data):
        peer = await RawPeer.connect(f"127.0.0.1:{self.server.port}")
        self.addCleanup(peer.close)
        await peer.send(data)
        return peer

    async def test_connection_silent_for_longest_gives_way(self):
        request = b"GET /%b HTTP/1.1\r\nHost: x\r\n\r\n"
        silent = await self.connect_and_send(b"GET /a HTTP/1.1\r\nHost")
        used = await self.connect_and_send(request % b"a")
        self.assertEqual((await used.read_message())[1], b"/a")
        peer = await self.connect_and_send(request % b"b")
        self.assertEqual((await peer.read_message())[1], b"/b")
        response = await asyncio.wait_for(silent.read_all(), 5.0)
        self.assertIn(b"HTTP/1.1 503 ", response)
        self.assertIn(b"Retry-After: 0.200\r\n", response)
        await used.send(request % b"c")
        self.assertEqual((await used.read_message())[1], b"/c")
        self.assertEqual(self.rejected, [ResultCode.CONNECTIONS_FULL])

    async def test_requests_in_progress_keep_their_connections(self):
        busy = [await self.connect_and_send(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n") for _ in "ab"]
        for _ in busy:
            await self.started.acquire()
        late = await RawPeer.connect(f"127.0.0.1:{self.server.port}")
        self.assertEqual(await asyncio.wait_for(late.read_all(), 5.0), b"")
        self.release.set()
        for peer in busy:
            self.assertEqual((await peer.read_message())[1], b"/slow")

    def test_connections_leave_descriptors_of_the_process_free(self):
        descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
        fitted = fit_connections(ServerLimits(max_connections=10_000_000))
        self.assertEqual(fitted.max_connections, descriptors * 3 // 4)
        self.assertEqual(fit_connections(LIMITS), LIMITS)


class MemoryTest(unittest.IsolatedAsyncioTestCase):
    """Crowds of callers that stop just short of the end of their requests."""

    MEMORY_BYTES = 16_000_000
    # Twice the memory for requests: the allocator and the responses need some.
    MAX_PEAK_BYTES = 2 * MEMORY_BYTES

    async def asyncSetUp(self):
        memory = RequestMemory(self.MEMORY_BYTES)
        self.rejected = []
        self.server = WebServer(
            Runtime(), ("127.0.0.1", 0), self.handle, ServerLimits(), self.rejected.append, memory
        )
        self.memory = memory
        self.crowd = Crowd(("127.0.0.1", self.server.port))
        self.addCleanup(self.server.stop_listening)
        self.addCleanup(self.crowd.close)

    async def handle(self, exchange):
        await exchange.send(200, b"%d" % len(exchange.request.body))

    async def request(self, data):
        peer = await RawPeer.connect(f"127.0.0.1:{self.server.port}")
        self.addCleanup(peer.close)
        await peer.send(data)
        head, body = await peer.read_message()
        return head, body

    async def test_crowds_take_a_bounded_memory(self):
        crowds = {
            "heads": (200, [build_short_lines()]),
            "bodies": (20, split(build_body(), 30_000)),
            "chunks": (20, split(build_chunks(65_536), 30_000)),
        }
        tracemalloc.start()
        self.addCleanup(tracemalloc.stop)
        for name, (count, pieces) in crowds.items():
            with self.subTest(name):
                crowd = Crowd(("127.0.0.1", self.server.port))
                self.addCleanup(crowd.close)
                tracemalloc.reset_peak()
                before = tracemalloc.get_traced_memory()[0]
                await crowd.connect(count)
                await crowd.send(pieces)
                head, body = await self.request(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
                self.assertIn(" 200 ", head)
                peak = tracemalloc.get_traced_memory()[1] - before
                self.assertLess(peak, self.MAX_PEAK_BYTES)
                self.assertLessEqual(self.memory.used, self.MEMORY_BYTES)
                crowd.close()

    async def test_refused_request_may_return_and_is_served_in_calm(self):
        size = self.MEMORY_BYTES // 8
        head = b"POST /a HTTP/1.1\r\nHost: x\r\nContent-Length: %d\r\n\r\n" % size
        stalled = [await RawPeer.connect(f"127.0.0.1:{self.server.port}") for _ in range(3)]
        for peer in stalled:
            self.addCleanup(peer.close)
            await peer.send(head + b"x" * (size - 1))
        response = await asyncio.wait_for(stalled[0].read_all(), 5.0)
        self.assertIn(b"HTTP/1.1 503 ", response)
        self.assertIn(b"Retry-After: 0.200\r\n", response)
        self.assertIn(b'"not_run"', response)
        self.assertIn(ResultCode.MEMORY_FULL, self.rejected)
        for peer in stalled:
            peer.close()
        head, body = await self.request(head + b"x" * size)
        self.assertEqual((head.split()[1], body), ("200", b"%d" % size))
        self.assertLess(self.memory.used, size)


class StopTest(unittest.IsolatedAsyncioTestCase):
    """Requests that are under way when the server stops."""

    async def asyncSetUp(self):
        self.release = asyncio.Event()
        self.server = WebServer(Runtime(), ("127.0.0.1", 0), self.handle, LIMITS)

    async def handle(self, exchange):
        if exchange.request.path == "/stream":
            await exchange.start(200, {})
            await exchange.write(b"one")
            await self.release.wait()
            await exchange.finish()
            return
        if exchange.request.path == "/large":
            exchange._sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
        body = b"a" * 60_000 if exchange.request.path == "/large" else exchange.request.body
        await exchange.send(200, body)

    def connect_at_once(self, data, receive_buffer=None):
        """Open a connection and send `data` without letting the server's loop run."""
        sock = socket.socket()
        self.addCleanup(sock.close)
        if receive_buffer is not None:
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive_buffer)
        sock.connect(("127.0.0.1", self.server.port))
        sock.sendall(data)
        sock.setblocking(False)
        return sock

    async def stop(self):
        """Stop as a daemon does; the end of its process closes what is still open."""
        self.server.start_draining()
        self.server.stop_listening()
        await asyncio.wait_for(self.server.wait_until_idle(), 5.0)
        for sock in list(self.server._connections):
            self.server.close_connection(sock)

    async def read_all(self, sock, pause_s=0.0):
        loop, received = asyncio.get_running_loop(), b""
        async with asyncio.timeout(5.0):
            while part := await loop.sock_recv(sock, 4096):
                received += part
                await asyncio.sleep(pause_s)
        return received

    async def test_connections_that_were_not_accepted_yet_are_answered(self):
        waiting = [self.connect_at_once(VALID_REQUEST) for _ in range(20)]
        stopping = asyncio.create_task(self.stop())
        for response in await asyncio.gather(*map(self.read_all, waiting)):
            self.assertTrue(response.endswith(b"hello"), response)
        await stopping

    async def test_request_half_read_is_answered(self):
        sock = self.connect_at_once(VALID_REQUEST[:-2])
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(self.stop())
        await asyncio.sleep(0.05)
        sock.send(VALID_REQUEST[-2:])
        self.assertTrue((await self.read_all(sock)).endswith(b"hello"))
        await stopping

    async def test_connection_opened_just_before_is_answered(self):
        sock = self.connect_at_once(b"")
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(self.stop())
        await asyncio.sleep(0.05)
        sock.send(VALID_REQUEST)
        self.assertTrue((await self.read_all(sock)).endswith(b"hello"))
        await stopping

    async def test_response_that_its_caller_reads_slowly_is_whole(self):
        request = b"GET /large HTTP/1.1\r\nHost: a\r\n\r\n"
        sock = self.connect_at_once(request, receive_buffer=4096)
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(self.stop())
        self.assertGreater(len(await self.read_all(sock, 0.01)), 60_000)
        await stopping

    async def test_pipelined_request_is_answered(self):
        sock = self.connect_at_once(b"GET /stream HTTP/1.1\r\nHost: a\r\n\r\n" + VALID_REQUEST)
        await asyncio.sleep(0.05)
        stopping = asyncio.create_task(self.stop())
        await asyncio.sleep(0.05)
        self.release.set()
        self.assertTrue((await self.read_all(sock)).endswith(b"hello"))
        await stopping

    async def test_idle_connection_does_not_keep_the_server(self):
        self.connect_at_once(b"")
        sock = self.connect_at_once(VALID_REQUEST)
        self.assertIn(b"hello", await asyncio.get_running_loop().sock_recv(sock, 4096))
        await asyncio.wait_for(self.stop(), 1.0)
