from __future__ import annotations

import asyncio
import socket
import unittest

from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.tests.raw_server import RawPeer
from magnoliarouter.web.ingress import IngressServer
from magnoliarouter.web.limits import ServerLimits
from magnoliarouter.web.turns import LATE_READ_BYTES, TURN_BYTES

LIMITS = ServerLimits(
    max_header_bytes=500, max_body_bytes=1000, request_timeout_s=0.2, idle_timeout_s=0.5
)


class IngressCase(unittest.IsolatedAsyncioTestCase):
    async def asyncSetUp(self):
        self.requests = []
        self.rejected = []
        self.cancelled = 0
        self.server = IngressServer(self.handle, self.rejected.append, LIMITS)
        port = await self.server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{port}"
        self.addCleanup(self.server.abort_all)
        self.addCleanup(self.server.stop_listening)

    async def handle(self, exchange):
        request = exchange.request
        self.requests.append((request.method, request.target, request.fields, bytes(request.body)))
        if request.target.startswith(b"/slow"):
            try:
                await asyncio.sleep(0.1 if request.target == b"/slow" else 5)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise
        if request.target == b"/fail":
            raise RuntimeError("deliberate failure of the handler")
        if request.target == b"/stream":
            exchange.start(200, [(b"X-A", b"1")], b"one")
            await exchange.write(b"two")
            await exchange.finish()
            return
        await exchange.send(200, [(b"X-A", b"1")], request.target)

    async def wait_for(self, condition):
        for _ in range(5000):
            if condition():
                return
            await asyncio.sleep(0.001)
        self.fail("not so within 5 s")

    async def connect_and_send(self, data):
        peer = await RawPeer.connect(self.address)
        self.addCleanup(peer.close)
        await peer.send(data)
        return peer


class IngressTest(IngressCase):
    async def test_request_arrives_byte_for_byte(self):
        peer = await self.connect_and_send(
            b"POST /a//b/%2e/../c?x=%20&y HTTP/1.1\r\nHost: H\r\nx-Odd:  v 1 \r\nX-Odd: 2\r\n"
            b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n"
        )
        await peer.read_message()
        method, target, fields, body = self.requests[0]
        self.assertEqual((method, target, body), (b"POST", b"/a//b/%2e/../c?x=%20&y", b"abcde"))
        odd = [(name, value) for name, value in fields if name.lower() == b"x-odd"]
        self.assertEqual(odd, [(b"x-Odd", b"v 1"), (b"X-Odd", b"2")])

    async def test_pipelined_requests_get_responses_in_order(self):
        peer = await self.connect_and_send(
            b"".join(
                b"GET /%b HTTP/1.1\r\nHost: x\r\n\r\n" % path for path in (b"slow", b"b", b"c")
            )
        )
        bodies = [(await peer.read_message())[1] for _ in range(3)]
        self.assertEqual(bodies, [b"/slow", b"/b", b"/c"])

    async def test_streamed_response_to_a_caller_that_knows_no_chunks(self):
        peer = await self.connect_and_send(
            b"GET /stream HTTP/1.0\r\nHost: x\r\nConnection: keep-alive\r\n\r\n"
        )
        head, _, body = (await peer.read_all()).partition(b"\r\n\r\n")
        self.assertEqual(body, b"onetwo")
        self.assertNotIn(b"chunked", head)
        self.assertIn(b"Connection: close", head)

    async def test_stream_that_is_broken_off_never_ends_as_complete(self):
        async def break_off(exchange):
            exchange.start(200, [], b"one")
            await exchange.write(b"two")
            await asyncio.sleep(0.05)
            if exchange.request.target == b"/abort":
                exchange.abort()
            elif exchange.request.target == b"/fail":
                raise RuntimeError("deliberate failure of the handler")
            else:
                self.server.abort_all()

        self.server.handle = break_off
        for version in (b"1.0", b"1.1"):
            for target in (b"/abort", b"/fail", b"/stop"):
                with self.subTest(version=version, target=target):
                    request = b"GET %b HTTP/%b\r\nHost: x\r\n\r\n" % (target, version)
                    peer = await self.connect_and_send(request)
                    if version == b"1.0":
                        with self.assertRaises(ConnectionResetError):
                            await peer.read_all()
                    else:
                        self.assertNotIn(b"0\r\n\r\n", await peer.read_all())

    async def test_streamed_response(self):
        peer = await self.connect_and_send(
            b"GET /stream HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        response = await peer.read_all()
        self.assertTrue(response.endswith(b"\r\n\r\n3\r\none\r\n3\r\ntwo\r\n0\r\n\r\n"))

    async def test_refused_requests(self):
        cases = (
            (b"GET / HTTP/1.1\r\nX: " + b"a" * 600, 431, ResultCode.HEADER_TOO_LARGE),
            (
                b"POST / HTTP/1.1\r\nContent-Length: 2000\r\n\r\n" + b"a" * 1500,
                413,
                ResultCode.BODY_TOO_LARGE,
            ),
            (b"GET / HTTP/1.1\r\nHost: x\r\n", 408, ResultCode.SLOW_REQUEST),
            (b"GARBAGE\r\n\r\n", 400, ResultCode.MALFORMED_HTTP),
            (
                b"POST / HTTP/1.1\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n",
                400,
                ResultCode.MALFORMED_HTTP,
            ),
            (b"GET / HTTP/1.1\r\nX: a\r\n folded\r\n\r\n", 400, ResultCode.MALFORMED_HTTP),
            (b"GET / HTTP/1.1\r\nUpgrade: a\r\nConnection: upgrade\r\n\r\n", 400, None),
        )
        for data, status, code in cases:
            with self.subTest(data=data[:60]):
                self.rejected.clear()
                peer = await self.connect_and_send(data)
                response = await peer.read_all()
                self.assertIn(b"HTTP/1.1 %d " % status, response)
                self.assertIn(b"Connection: close", response)
                self.assertEqual(self.rejected, [code or ResultCode.MALFORMED_HTTP])
        self.assertEqual(self.requests, [])

    async def test_caller_that_sends_its_body_to_the_end_reads_the_refusal(self):
        head = b"POST / HTTP/1.1\r\nContent-Length: 20000\r\n\r\n"
        peer = await self.connect_and_send(head)
        for _ in range(20):
            await asyncio.sleep(0.1)
            await peer.send(b"a" * 1000)
        response = await peer.read_all()
        self.assertIn(b"HTTP/1.1 413 ", response)
        self.assertIn(b'"not_run"', response)

    async def test_caller_that_disconnects_cancels_its_request(self):
        peer = await self.connect_and_send(b"GET /slow5 HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.05)
        peer.close()
        await asyncio.sleep(0.05)
        self.assertEqual((self.cancelled, self.server.active_requests), (1, 0))

    async def test_failing_handler_responds_with_unknown_outcome(self):
        asyncio.get_running_loop().set_exception_handler(lambda loop, context: None)
        peer = await self.connect_and_send(b"GET /fail HTTP/1.1\r\nHost: x\r\n\r\n")
        head, body = await peer.read_message()
        self.assertIn(" 500 ", head)
        self.assertIn(b'"unknown"', body)

    async def test_idle_connection_is_closed_after_its_timeout(self):
        peer = await self.connect_and_send(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        await peer.read_message()
        await asyncio.sleep(0.4)
        await peer.send(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual((await peer.read_message())[1], b"/b")
        self.assertEqual(await asyncio.wait_for(peer.read_all(), 1.0), b"")

    async def test_draining_server_closes_after_the_next_response(self):
        peer = await self.connect_and_send(b"GET /slow HTTP/1.1\r\nHost: x\r\n\r\n")
        idle = await self.connect_and_send(b"")
        await asyncio.sleep(0.03)
        self.server.start_draining()
        self.server.stop_listening()
        head, body = await peer.read_message()
        self.assertIn("Connection: close", head)
        self.assertEqual(body, b"/slow")
        self.assertEqual(await idle.read_all(), b"")
        await self.server.wait_until_idle(1.0)
        self.assertEqual(self.server.active_requests, 0)

    async def test_response_started_before_draining_closes_its_connection(self):
        """The response head announced keep-alive, but a later request could not be completed."""
        release = asyncio.Event()

        async def stream(exchange):
            exchange.start(200, [], b"one")
            await release.wait()
            await exchange.finish()

        self.server.handle = stream
        peer = await self.connect_and_send(b"GET /s HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.03)
        self.server.start_draining()
        self.server.stop_listening()
        release.set()
        response = await asyncio.wait_for(peer.read_all(), 0.4)
        self.assertTrue(response.endswith(b"0\r\n\r\n"))

    async def test_caller_may_pause_while_it_reads_a_large_response(self):
        async def respond(exchange):
            await exchange.send(200, [], b"a" * 16_000_000)

        self.server.limits = ServerLimits(idle_timeout_s=4.0)
        self.server.handle = respond
        peer = await self.connect_and_send(
            b"GET /a HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n"
        )
        await peer.reader.readexactly(100)
        await asyncio.sleep(2.5)
        self.assertGreater(len(await peer.read_all()), 15_999_000)

    async def test_handler_is_done_before_its_caller_has_read_a_large_response(self):
        """What it holds for the request, such as a place at an endpoint, is free again."""
        done = []

        async def respond(exchange):
            await exchange.send(200, [], b"a" * 16_000_000)
            done.append(exchange.request.target)

        self.server.handle = respond
        request = b"GET /%b HTTP/1.1\r\nHost: x\r\n\r\n"
        peer = await self.connect_and_send(request % b"a" + request % b"b")
        await asyncio.sleep(0.2)
        self.assertEqual((done, self.server.active_requests), ([b"/a"], 1))
        for _ in range(2):
            await peer.reader.readuntil(b"\r\n\r\n")
            await peer.reader.readexactly(16_000_000)
        self.assertEqual(done, [b"/a", b"/b"])

    async def test_stream_ends_at_its_deadline_although_its_caller_reads_a_little(self):
        loop = asyncio.get_running_loop()
        ended_at = []

        async def respond(exchange):
            exchange.write_until = loop.time() + 0.4
            exchange.start(200, [], b"")
            try:
                while True:
                    await exchange.write(b"a" * 100_000)
            finally:
                ended_at.append(loop.time())

        self.server.handle = respond
        started_at = loop.time()
        peer = await self.connect_and_send(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        for _ in range(10):
            await asyncio.sleep(0.1)
            if not ended_at:
                await peer.reader.read(1)
        self.assertTrue(ended_at)
        self.assertLess(ended_at[0] - started_at, 0.6)

    async def test_expected_continue_is_sent(self):
        peer = await self.connect_and_send(
            b"POST /a HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        )
        self.assertIn("100 Continue", (await peer.read_message())[0])
        await peer.send(b"ab")
        self.assertEqual((await peer.read_message())[1], b"/a")

    async def test_continue_waits_for_the_end_of_the_response_in_progress(self):
        async def stream(exchange):
            exchange.start(200, [], b"one")
            await asyncio.sleep(0.05)
            await exchange.write(b"two" + bytes(exchange.request.body))
            await exchange.finish()

        self.server.handle = stream
        expecting = b"POST /b HTTP/1.1\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n"
        peer = await self.connect_and_send(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        await peer.reader.readuntil(b"\r\n\r\n3\r\none\r\n")
        await peer.send(expecting)
        self.assertEqual(await peer.reader.readexactly(13), b"3\r\ntwo\r\n0\r\n\r\n")
        self.assertIn("100 Continue", (await peer.read_message())[0])
        await peer.send(b"xy")
        self.assertTrue((await peer.reader.readuntil(b"0\r\n\r\n")).endswith(b"twoxy\r\n0\r\n\r\n"))


class TurnTest(IngressCase):
    async def test_turn_of_the_loop_reads_a_bounded_part_of_the_input_of_all_connections(self):
        count, size = 50, 20_000
        self.server.limits = ServerLimits(idle_timeout_s=5.0)
        head = b"POST /a HTTP/1.1\r\nContent-Length: %d\r\n\r\n" % (size + 1)
        peers = [await self.connect_and_send(head) for _ in range(count)]
        await self.wait_for(lambda: sum(map(self.holds_head, self.server.connections)) == count)
        for peer in peers:
            peer.writer.write(b"x" * size)
        read, largest = 0, 0
        while read < count * size:
            await asyncio.sleep(0)
            total = sum(len(one._partial_request.body) for one in self.server.connections)
            read, largest = total, max(largest, total - read)
        self.assertLess(largest, TURN_BYTES + size + count * LATE_READ_BYTES)

    @staticmethod
    def holds_head(connection):
        return connection._partial_request is not None and connection._partial_request.head_complete


class ConnectionLimitTest(IngressCase):
    """The server may have two connections."""

    async def asyncSetUp(self):
        await super().asyncSetUp()
        self.server.limits = ServerLimits(max_connections=2, idle_timeout_s=5.0)

    async def read_to_the_end(self, peer):
        """Return what a closed connection still delivers; closing it with unread input resets it."""
        try:
            return await asyncio.wait_for(peer.read_all(), 2.0)
        except ConnectionResetError:
            return b""

    async def test_connection_silent_for_longest_gives_way(self):
        request = b"GET /%b HTTP/1.1\r\nHost: x\r\n\r\n"
        silent = await self.connect_and_send(b"")
        used = await self.connect_and_send(request % b"a")
        self.assertEqual((await used.read_message())[1], b"/a")
        peer = await self.connect_and_send(request % b"b")
        self.assertEqual((await peer.read_message())[1], b"/b")
        self.assertEqual(await self.read_to_the_end(silent), b"")
        await used.send(request % b"c")
        self.assertEqual((await used.read_message())[1], b"/c")
        self.assertEqual(self.rejected, [ResultCode.CONNECTIONS_FULL])

    async def test_request_that_is_arriving_is_refused_as_not_run(self):
        arriving = await self.connect_and_send(b"GET /a HTTP/1.1\r\nHost")
        await self.wait_for(lambda: any(one.has_next_request() for one in self.server.connections))
        peers = [await self.connect_and_send(b"GET /slow HTTP/1.1\r\n\r\n") for _ in range(2)]
        response = await self.read_to_the_end(arriving)
        self.assertTrue(response.startswith(b"HTTP/1.1 503 "), response)
        self.assertIn(b"Retry-After: 0.200\r\n", response)
        for peer in peers:
            self.assertEqual((await peer.read_message())[1], b"/slow")

    async def test_requests_in_progress_keep_their_connections(self):
        busy = [await self.connect_and_send(b"GET /slow HTTP/1.1\r\n\r\n") for _ in range(2)]
        await self.wait_for(lambda: self.server.active_requests == 2)
        late = await self.connect_and_send(b"GET /late HTTP/1.1\r\n\r\n")
        self.assertEqual(await self.read_to_the_end(late), b"")
        for peer in busy:
            self.assertEqual((await peer.read_message())[1], b"/slow")


class StopTest(IngressCase):
    """Requests that are under way when the server stops."""

    def connect_at_once(self, data):
        """Open a connection and send `data` without letting the server's loop run."""
        host, _, port = self.address.rpartition(":")
        sock = socket.create_connection((host, int(port)))
        self.addCleanup(sock.close)
        sock.sendall(data)
        sock.setblocking(False)
        return sock

    async def read_response(self, sock):
        async with asyncio.timeout(2.0):
            reader, writer = await asyncio.open_connection(sock=sock)
            self.addCleanup(writer.close)
            return await reader.read()

    def hold_streams(self):
        """Have `/s` answered by a stream that goes on until the returned event is set."""
        release = asyncio.Event()

        async def respond(exchange):
            if exchange.request.target == b"/s":
                exchange.start(200, [], b"one")
                await release.wait()
                await exchange.finish()
            else:
                await exchange.send(200, [], exchange.request.target)

        self.server.handle = respond
        return release

    async def stop(self):
        """Stop as a daemon does; the end of its process closes what is still open."""
        self.server.start_draining()
        self.server.stop_listening()
        await self.server.wait_until_idle(2.0)
        self.server.abort_all()

    async def test_connections_that_were_not_accepted_yet_are_answered(self):
        request = b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n"
        waiting = [self.connect_at_once(request) for _ in range(20)]
        stopping = asyncio.create_task(self.stop())
        responses = await asyncio.gather(*map(self.read_response, waiting))
        await stopping
        for response in responses:
            self.assertTrue(response.endswith(b"\r\n\r\n/a"), response)
            self.assertIn(b"Connection: close", response)

    async def test_connection_opened_just_before_is_answered(self):
        peer = await self.connect_and_send(b"")
        await asyncio.sleep(0.03)
        stopping = asyncio.create_task(self.stop())
        await asyncio.sleep(0.03)
        await peer.send(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertEqual((await peer.read_message())[1], b"/a")
        await stopping

    async def test_request_on_a_kept_connection_that_was_not_read_yet_is_answered(self):
        sock = self.connect_at_once(b"")
        loop = asyncio.get_running_loop()
        await loop.sock_sendall(sock, b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"/a", await loop.sock_recv(sock, 1000))
        sock.send(b"GET /b HTTP/1.1\r\nHost: x\r\n\r\n")
        stopping = asyncio.create_task(self.stop())
        response = await self.read_response(sock)
        await stopping
        self.assertTrue(response.endswith(b"/b"), response)

    async def test_request_half_read_is_answered(self):
        peer = await self.connect_and_send(b"POST /a HTTP/1.1\r\nContent-Length: 2\r\n\r\na")
        await asyncio.sleep(0.03)
        stopping = asyncio.create_task(self.stop())
        await asyncio.sleep(0.1)
        await peer.send(b"b")
        head, body = await peer.read_message()
        await stopping
        self.assertIn("Connection: close", head)
        self.assertEqual(self.requests[-1][3], b"ab")

    async def test_pipelined_requests_are_answered(self):
        release = self.hold_streams()
        request = b"GET /%b HTTP/1.1\r\nHost: x\r\n\r\n"
        peer = await self.connect_and_send(request % b"s" + request % b"b" + request % b"c")
        await asyncio.sleep(0.03)
        stopping = asyncio.create_task(self.stop())
        await asyncio.sleep(0.03)
        release.set()
        response = await peer.read_all()
        await stopping
        self.assertIn(b"\r\n\r\n/b", response)
        self.assertTrue(response.endswith(b"\r\n\r\n/c"), response)
        self.assertEqual(response.count(b"Connection: close"), 1)

    async def test_kept_connection_is_told_of_its_end_while_draining(self):
        """A close without a word crosses the caller's next request."""
        release = self.hold_streams()
        peer = await self.connect_and_send(b"GET /s HTTP/1.1\r\nHost: x\r\n\r\n")
        await peer.reader.readuntil(b"one")
        self.server.start_draining()
        release.set()
        await peer.reader.readuntil(b"0\r\n\r\n")
        await asyncio.sleep(0.03)
        await peer.send(b"GET /t HTTP/1.1\r\nHost: x\r\n\r\n")
        self.assertIn(b"Connection: close", await peer.read_all())

    async def test_response_that_its_caller_reads_slowly_is_whole(self):
        """The handler is done as soon as the rest of the response fits into the write buffer."""
        size = 60_000

        async def respond(exchange):
            sock = exchange._connection._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, 4096)
            await exchange.send(200, [], b"a" * size)

        self.server.handle = respond
        host, _, port = self.address.rpartition(":")
        sock = socket.socket()
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
        sock.connect((host, int(port)))
        sock.sendall(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        sock.setblocking(False)
        self.addCleanup(sock.close)
        await asyncio.sleep(0.1)
        stopping = asyncio.create_task(self.stop())
        received, loop = 0, asyncio.get_running_loop()
        while part := await loop.sock_recv(sock, 4096):
            received += len(part)
            await asyncio.sleep(0.01)
        await stopping
        self.assertGreater(received, size)

    async def test_caller_that_reads_nothing_ends_the_stop_late_only(self):
        async def respond(exchange):
            await exchange.send(200, [], b"a" * 16_000_000)

        self.server.handle = respond
        await self.connect_and_send(b"GET /a HTTP/1.1\r\nHost: x\r\n\r\n")
        await asyncio.sleep(0.1)
        self.server.stop_listening()
        await asyncio.wait_for(self.server.wait_until_idle(0.3), 0.6)
        self.assertEqual(len(self.server.connections), 1)


if __name__ == "__main__":
    unittest.main()
