from __future__ import annotations

import asyncio
import gc
import random
import unittest
from unittest import mock

import grpc
import msgspec

from magnoliarouter.core.attempts import AttemptTable
from magnoliarouter.core.quota_lines import QuotaRequest
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.endpoints.guard import Guard
from magnoliarouter.peers import PeerClient, PeerError, PeerServer
from magnoliarouter.peers.channel import (
    KEY_METADATA_NAME,
    MAX_MESSAGE_BYTES,
    METHOD_PATH,
    SERVER_OPTIONS,
    encode,
)
from magnoliarouter.peers.client import CHANNEL_OPTIONS, MAX_PENDING_CALLS
from magnoliarouter.peers.messages import DigestRequest
from magnoliarouter.peers.quota_messages import IncarnationRequest, PromiseRequest
from magnoliarouter.peers.relay import RelayRequest
from magnoliarouter.peers.status import StatusRequest
from magnoliarouter.web.loop import Runtime
from magnoliarouter.web.server import WebServer

KEY = "0123456789abcdef"
METHODS = {
    "digest": DigestRequest,
    "incarnation": IncarnationRequest,
    "promise": PromiseRequest,
    "quota": QuotaRequest,
    "relay": RelayRequest,
    "status": StatusRequest,
}
DEEPLY_NESTED = b"\x91" * 100_000
INVALID_UTF8 = b"\x93\x01\xa2\xff\xfe\xc0"


class Text(msgspec.Struct):
    text: str
    pause: float = 0.0


async def echo(request: Text) -> Text:
    await asyncio.sleep(request.pause)
    return request


def draw_bytes(rng: random.Random) -> bytes:
    """Return random bytes, or a valid call with some of its bytes changed."""
    if rng.random() < 0.5:
        return rng.randbytes(rng.randrange(64))
    call = bytearray(encode([rng.randrange(9), rng.choice(list(METHODS)), ["a", 1, 2.5]]))
    for _ in range(rng.randrange(1, 4)):
        call[rng.randrange(len(call))] = rng.randrange(256)
    return bytes(call)


class PeerFuzzTest(unittest.IsolatedAsyncioTestCase):
    """No bytes sent to the peer port raise an exception or affect calls on other streams."""

    async def asyncSetUp(self):
        self.faults: list[dict] = []
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(lambda loop, context: self.faults.append(context))
        self.reasons: list[str] = []
        self.server = PeerServer(KEY, self.reasons.append)
        self.server.add_method("echo", Text, echo)
        for name, kind in METHODS.items():
            self.server.add_method(name, kind, self.accept)
        await self.server.start("127.0.0.1", 0)
        self.address = f"127.0.0.1:{self.server.port}"
        self.client = PeerClient(KEY)
        self.rng = random.Random(7)

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.stop()
        await asyncio.sleep(0)
        gc.collect()
        await asyncio.sleep(0)
        self.assertEqual(self.faults, [])
        left = [t for t in asyncio.all_tasks() if "magnoliarouter/peers" in repr(t)]
        self.assertEqual(left, [])

    async def accept(self, request):
        return Text("taken")

    async def call(self, text="x", pause=0.0, deadline=5.0, address=None):
        request = Text(text, pause)
        reply = await self.client.call(address or self.address, "echo", request, Text, deadline)
        self.assertEqual(reply.text, text)
        return reply

    async def send_raw(self, *frames: bytes, key: str = KEY) -> grpc.StatusCode:
        """Send frames on a separate stream and return its final status code."""
        async with grpc.aio.insecure_channel(self.address) as channel:
            stream = channel.stream_stream(METHOD_PATH)(metadata=((KEY_METADATA_NAME, key),))
            try:
                for frame in frames:
                    await stream.write(frame)
                await stream.done_writing()
                async for _ in stream:
                    pass
            except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
                pass
            return await stream.code()

    async def test_random_frames(self):
        slow_call = asyncio.create_task(self.call("long", 0.2))
        frames = [draw_bytes(self.rng) for _ in range(150)]
        frames += [DEEPLY_NESTED, INVALID_UTF8, b"", b"\x00" * 1_000_000]
        for start in range(0, len(frames), 25):
            await asyncio.gather(*(self.send_raw(frame) for frame in frames[start : start + 25]))
            await self.call()
        await slow_call
        self.assertGreater(self.server.malformed, 50)
        self.assertEqual(set(self.reasons), {"malformed"})

    async def test_malformed_frame_ends_only_its_own_stream(self):
        calls = [encode([n, "echo", Text(str(n), 0.05)]) for n in range(20)]
        other_call = asyncio.create_task(self.call("kept", 0.1))
        self.assertEqual(
            await self.send_raw(*calls, DEEPLY_NESTED), grpc.StatusCode.INVALID_ARGUMENT
        )
        await other_call

    async def test_wrong_keys(self):
        keys = ["", "x", KEY[:-1], KEY + "0", KEY.upper()]
        codes = [await self.send_raw(b"\x93", key=key) for key in keys]
        self.assertEqual(set(codes), {grpc.StatusCode.UNAUTHENTICATED})
        self.assertEqual(self.reasons, ["key"] * len(keys))
        await self.call()

    async def test_bodies_of_every_method(self):
        for name in METHODS:
            for _ in range(60):
                body = msgspec.Raw(draw_bytes(self.rng))
                outcome = await self.exchange_raw(name, body)
                self.assertIn(outcome, ("taken", "refused", "ended"))
            for body in (DEEPLY_NESTED, b"\xa2\xff\xfe", b"\x93\xa2\xff\xfe\x01\xa1z", b"\xc1"):
                outcome = await self.exchange_raw(name, msgspec.Raw(body))
                # A message type without fields ignores the contents of the array.
                ignored = ("taken",) if not METHODS[name].__struct_fields__ else ()
                self.assertIn(outcome, ("refused", "ended", *ignored), f"{name} {body[:9]!r}")
        await self.call()

    async def exchange_raw(self, method: str, body: msgspec.Raw) -> str:
        stream = self.client._open_stream(self.address)
        try:
            async with asyncio.timeout(5):
                response = await stream.call(method, body)
        except Exception as error:
            self.assertEqual(type(error).__name__, "_StreamEnded")
            return "ended"
        return "refused" if response.error else "taken"

    async def test_unknown_method_and_large_messages(self):
        with self.assertRaisesRegex(PeerError, "UNIMPLEMENTED: valid methods: digest, echo"):
            await self.client.call(self.address, "no", Text(""), Text)
        other_call = asyncio.create_task(self.call("kept", 0.2))
        with self.assertRaisesRegex(PeerError, "request too large"):
            await self.call("x" * (MAX_MESSAGE_BYTES + 1))
        await self.call("x" * 3_500_000)
        await other_call

    async def test_large_reply_fails_only_its_own_call(self):
        async def grow(request):
            return Text("x" * (MAX_MESSAGE_BYTES + 1))

        self.server.add_method("grow", Text, grow)
        other_call = asyncio.create_task(self.call("kept", 0.2))
        with self.assertRaisesRegex(PeerError, "reply too large"):
            await self.client.call(self.address, "grow", Text(""), Text)
        await other_call

    async def test_reply_of_another_type(self):
        for text in ("a", "\ud7ff"):
            with self.assertRaisesRegex(PeerError, "Expected `array`"):
                await self.client.call(self.address, "echo", Text(text), DigestRequest)

    async def test_calls_that_time_out_leave_no_state_and_replies_are_not_mixed_up(self):
        async def call_with_random_deadline(number: int) -> str:
            pause, deadline = self.rng.choice([(0.0, 5.0), (0.02, 5.0), (5.0, 0.05), (0.0, 1e-4)])
            try:
                await self.call(f"{number} " + "x" * self.rng.randrange(20_000), pause, deadline)
            except PeerError as error:
                self.assertIn("DEADLINE_EXCEEDED", str(error))
                self.assertLess(deadline, 1.0)
                return "late"
            return "right"

        results = await asyncio.gather(
            *(call_with_random_deadline(number) for number in range(400))
        )
        self.assertGreater(results.count("right"), 150)
        self.assertGreater(results.count("late"), 50)
        for stream in (*self.client._streams.values(), *self.client._retired):
            self.assertEqual((len(stream._pending_calls), len(stream._unsent_calls)), (0, 0))

    async def test_slow_method_does_not_affect_other_calls(self):
        other_call = asyncio.create_task(self.call("kept", 0.4))
        for _ in range(3):
            with self.assertRaisesRegex(PeerError, "DEADLINE"):
                await self.call("slow", 5.0, 0.05)
            await self.call()
        await other_call

    async def test_call_cancelled_while_it_is_written_does_not_end_the_stream(self):
        await self.call()
        stream = self.client._streams[self.address]
        other_call = asyncio.create_task(self.call("kept", 0.3))
        for _ in range(50):
            cancelled_call = asyncio.create_task(self.call("x" * 500_000))
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            cancelled_call.cancel()
        await other_call
        self.assertIs(self.client._streams[self.address], stream)

    async def test_pending_calls_to_a_silent_peer_are_bounded(self):
        connections = []
        silent_server = await asyncio.start_server(
            lambda *pair: connections.append(pair), "127.0.0.1", 0
        )
        address = f"127.0.0.1:{silent_server.sockets[0].getsockname()[1]}"
        calls = (self.call("x" * 1000, 0, 0.3, address) for _ in range(MAX_PENDING_CALLS + 50))
        results = await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual({type(result) for result in results}, {PeerError})
        refused = sum("RESOURCE_EXHAUSTED" in str(result) for result in results)
        self.assertEqual(refused, 50)
        self.assertNotIn(address, self.client._streams)
        await self.call()
        for _, writer in connections:
            writer.close()
        silent_server.close()

    async def test_calls_fail_when_their_stream_breaks(self):
        calls = [asyncio.create_task(self.call(str(n), 30.0)) for n in range(20)]
        await self.call()
        port = self.server.port
        await self.server.stop()
        results = await asyncio.gather(*calls, return_exceptions=True)
        self.assertEqual({type(result) for result in results}, {PeerError})
        self.server = PeerServer(KEY)
        self.server.add_method("echo", Text, echo)
        await self.server.start("127.0.0.1", port)
        async with asyncio.timeout(10):
            while True:
                try:
                    await self.call("again", deadline=0.5)
                    return
                except PeerError:
                    await asyncio.sleep(0.05)


SHORT_KEEPALIVE_OPTIONS = {
    "grpc.keepalive_time_ms": 200,
    "grpc.keepalive_timeout_ms": 200,
    "grpc.http2.ping_timeout_ms": 200,
    "grpc.http2.min_ping_interval_without_data_ms": 50,
}


class TcpProxy:
    """In-process TCP proxy that can stop forwarding bytes while its connections stay open."""

    def __init__(self, target: int) -> None:
        self.target = target
        self.forwarding = asyncio.Event()
        self.forwarding.set()
        self.forward_tasks: list[asyncio.Task] = []

    async def start(self) -> str:
        self.server = await asyncio.start_server(self.handle_connection, "127.0.0.1", 0)
        return f"127.0.0.1:{self.server.sockets[0].getsockname()[1]}"

    async def handle_connection(self, reader, writer):
        other_reader, other_writer = await asyncio.open_connection("127.0.0.1", self.target)
        for source, sink in ((reader, other_writer), (other_reader, writer)):
            self.forward_tasks.append(asyncio.create_task(self.forward(source, sink)))

    async def forward(self, source, sink):
        while block := await source.read(65_536):
            await self.forwarding.wait()
            sink.write(block)
        sink.close()

    def stop(self) -> None:
        self.server.close()
        for task in self.forward_tasks:
            task.cancel()


def shorten_keepalive(options):
    return tuple((name, SHORT_KEEPALIVE_OPTIONS.get(name, value)) for name, value in options)


class UnresponsivePeerTest(unittest.IsolatedAsyncioTestCase):
    """A peer whose connection stops carrying bytes but is not closed."""

    async def asyncSetUp(self):
        with mock.patch(
            "magnoliarouter.peers.channel.SERVER_OPTIONS", shorten_keepalive(SERVER_OPTIONS)
        ):
            self.server = PeerServer(KEY)
            self.server.add_method("echo", Text, echo)
            await self.server.start("127.0.0.1", 0)
        self.proxy = TcpProxy(self.server.port)
        self.client = PeerClient(KEY)
        self.address = await self.proxy.start()

    async def asyncTearDown(self):
        await self.client.close()
        await self.server.stop()
        self.proxy.stop()

    async def call(self):
        await self.client.call(self.address, "echo", Text("x"), Text)

    async def test_server_ends_the_stream(self):
        await self.call()
        self.assertEqual(self.server.streams, 1)
        self.proxy.forwarding.clear()
        async with asyncio.timeout(10):
            while self.server.streams:  # noqa: ASYNC110 - closed by grpc
                await asyncio.sleep(0.02)

    async def test_client_drops_the_stream(self):
        options = shorten_keepalive(CHANNEL_OPTIONS)
        with mock.patch("magnoliarouter.peers.client.CHANNEL_OPTIONS", options):
            await self.call()
        # The server must not treat keepalive pings of an idle client as abuse.
        stream = self.client._streams[self.address]
        await asyncio.sleep(1.0)
        await self.call()
        self.assertIs(self.client._streams[self.address], stream)
        self.proxy.forwarding.clear()
        async with asyncio.timeout(10):
            while self.client._streams or self.client._retired:  # noqa: ASYNC110
                await asyncio.sleep(0.02)


class GuardControlFuzzTest(unittest.IsolatedAsyncioTestCase):
    """No body or query of a control request to a guard raises an exception."""

    async def asyncSetUp(self):
        self.faults: list[dict] = []
        self.loop = asyncio.get_running_loop()
        self.loop.set_exception_handler(lambda loop, context: self.faults.append(context))
        self.session = await self.enterAsyncContext(open_session())
        guard = Guard(AttemptTable("i"), "http://127.0.0.1:1", self.session, self.loop.time)
        server = WebServer(Runtime(self.loop), ("127.0.0.1", 0), guard.handle)
        self.addCleanup(server.stop_listening)
        self.url = f"http://127.0.0.1:{server.port}"

    async def asyncTearDown(self):
        self.assertEqual(self.faults, [])

    async def fence(self, body: bytes) -> int:
        async with self.session.post(f"{self.url}/guard/fence", data=body) as response:
            msgspec.json.decode(await response.read())
            return response.status

    async def test_bodies_of_a_fence(self):
        rng = random.Random(11)
        valid_body = b'{"attempt": "a", "incarnation": "i", "not_after": 1.0}'
        bodies = [rng.randbytes(rng.randrange(40)) for _ in range(100)]
        for _ in range(200):
            body = bytearray(valid_body)
            body[rng.randrange(len(body))] = rng.randrange(256)
            bodies.append(bytes(body))
        bodies += [b"", b"null", b"[" * 100_000, b'{"attempt": "\xff"}', valid_body + valid_body]
        statuses = {await self.fence(body) for body in bodies}
        self.assertEqual(statuses, {200, 400})
        self.assertEqual(await self.fence(valid_body), 200)

    async def test_queries_of_the_status(self):
        values = ("", "x", "nan", "inf", "-inf", "1e999", "9" * 5000, "-1", "%00", "1_0")
        for name in ("after", "wait", "pause", "cache"):
            for value in values:
                with self.subTest(f"{name}={value[:9]}"):
                    url = f"{self.url}/guard/status?{name}={value}"
                    async with asyncio.timeout(3), self.session.get(url) as response:
                        self.assertIn(response.status, (200, 400, 414, 431))
