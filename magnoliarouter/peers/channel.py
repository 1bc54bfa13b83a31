"""Serving of calls between entry daemons: gRPC with generic handlers and MessagePack bodies.

Each pair of daemons keeps one bidirectional stream on which calls and replies are numbered, since
a call of its own costs several times the bytes and processor time of a message on an open stream.
Each method is registered with the type of its request and of its reply; both are checked when they
arrive. A key shared by the system's processes is sent when a stream is opened.
"""

from __future__ import annotations

import asyncio
import hmac
from typing import TYPE_CHECKING, Any, TypeVar

import grpc
import msgspec

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Awaitable, Callable

__all__ = ["PeerError", "PeerServer"]

METHOD_PATH = "/magnoliarouter.Peers/exchange"
KEY_METADATA_NAME = "magnoliarouter-key"
SHUTDOWN_GRACE_S = 0.5
MAX_CONCURRENT_CALLS = 256
MAX_MESSAGE_BYTES = 4_000_000
MAX_STREAMS_PER_CONNECTION = 16
SERVER_OPTIONS = (
    ("grpc.so_reuseport", 0),
    ("grpc.max_concurrent_streams", MAX_STREAMS_PER_CONNECTION),
    ("grpc.max_connection_idle_ms", 300_000),
    # Ends streams of peers that vanished without closing their connection.
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 10_000),
    ("grpc.http2.ping_timeout_ms", 10_000),
    ("grpc.http2.max_pings_without_data", 0),
    # Below the time between pings of callers, which would otherwise be taken for abuse.
    ("grpc.http2.min_ping_interval_without_data_ms", 20_000),
)
# What msgspec raises for bytes that are not the expected message.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

Request = TypeVar("Request", bound=msgspec.Struct)


class PeerError(Exception):
    """A call to a peer got no valid reply; whether the peer acted on it is not known."""


class Call(msgspec.Struct, array_like=True):
    """Call on a stream; `number` is unique on it."""

    number: int
    method: str
    body: msgspec.Raw


class CallReply(msgspec.Struct, array_like=True):
    """Reply to the call of the same number, or why there is none."""

    number: int
    body: msgspec.Raw
    error: str = ""


decode_call = msgspec.msgpack.Decoder(Call).decode
encode = msgspec.msgpack.encode
EMPTY_BODY = msgspec.Raw(encode(None))


class PeerServer:
    """Serves calls of other entry daemons.

    Parameters
    ----------
    key : str
        Key that callers must send.
    on_refuse : callable, optional
        Called with ``"key"`` or ``"malformed"`` for each stream that is refused or ended.

    Attributes
    ----------
    port : int
        Port that is listened on.
    refused : int
        Streams refused for a wrong key.
    malformed : int
        Streams ended because a message on them was no call.
    streams : int
        Streams open now.
    """

    def __init__(self, key: str, on_refuse: Callable[[str], None] = lambda reason: None) -> None:
        self.port = 0
        self.refused = 0
        self.malformed = 0
        self.streams = 0
        self._key = key.encode()
        self._on_refuse = on_refuse
        self._methods: dict[str, Callable[[bytes], Awaitable[bytes]]] = {}
        self._server: grpc.aio.Server | None = None

    def add_method(
        self,
        name: str,
        request_type: type[Request],
        handle: Callable[[Request], Awaitable[msgspec.Struct]],
    ) -> None:
        """Register a method before the server starts.

        Parameters
        ----------
        name : str
            Name of the method.
        request_type : type
            Message that it takes; others are refused as invalid.
        handle : callable
            Coroutine function from request to reply.
        """
        decode = msgspec.msgpack.Decoder(request_type).decode

        async def serve(raw: bytes) -> bytes:
            try:
                request = decode(raw)
            except DECODE_ERRORS as error:
                raise _MalformedRequest(str(error)) from error
            return encode(await handle(request))

        self._methods[name] = serve

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; port 0 takes a free one, found in `port` afterwards."""
        self._server = grpc.aio.server(options=SERVER_OPTIONS)
        self._server.add_generic_rpc_handlers((_SingleMethod(self._serve_stream),))
        self.port = self._server.add_insecure_port(f"{host}:{port}")
        await self._server.start()

    async def stop(self) -> None:
        """Finish calls in progress and stop."""
        if self._server is not None:
            await self._server.stop(SHUTDOWN_GRACE_S)

    async def _serve_stream(
        self, calls: AsyncIterator[bytes], context: grpc.aio.ServicerContext
    ) -> None:
        if not self._has_valid_key(context):
            self.refused += 1
            self._on_refuse("key")
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "peer key is wrong")
        serving: set[asyncio.Task[None]] = set()
        writing = asyncio.Lock()
        readable = True
        self.streams += 1
        try:
            async for raw in calls:
                call = _read_call(raw)
                if call is None:
                    readable = False
                    break
                if len(serving) >= MAX_CONCURRENT_CALLS:
                    await asyncio.wait(serving, return_when=asyncio.FIRST_COMPLETED)
                task = asyncio.create_task(self._serve_call(call, context, writing))
                serving.add(task)
                task.add_done_callback(serving.discard)
            # A write that is cancelled on a live stream would keep it from ending.
            if serving:
                await asyncio.wait(serving)
        finally:
            self.streams -= 1
            for task in serving:
                task.cancel()
        if not readable:
            self.malformed += 1
            self._on_refuse("malformed")
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "call cannot be read")

    async def _serve_call(
        self, call: Call, context: grpc.aio.ServicerContext, writing: asyncio.Lock
    ) -> None:
        reply = encode(await self._handle_call(call))
        if len(reply) > MAX_MESSAGE_BYTES:
            reply = encode(
                CallReply(call.number, EMPTY_BODY, "RESOURCE_EXHAUSTED: reply too large")
            )
        # One writer at a time, as the stream demands.
        async with writing:
            try:
                await context.write(reply)
            except (grpc.RpcError, grpc.aio.UsageError, grpc.aio.InternalError):
                return  # the stream has ended, and the caller knows from that

    async def _handle_call(self, call: Call) -> CallReply:
        serve = self._methods.get(call.method)
        if serve is None:
            valid = ", ".join(sorted(self._methods))
            return CallReply(call.number, EMPTY_BODY, f"UNIMPLEMENTED: valid methods: {valid}")
        try:
            return CallReply(call.number, msgspec.Raw(await serve(bytes(call.body))))
        except _MalformedRequest as error:
            return CallReply(call.number, EMPTY_BODY, f"INVALID_ARGUMENT: {error}")
        except Exception as error:  # one call's fault leaves the stream's other calls unharmed
            context = {"message": f"peer method {call.method} failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)
            return CallReply(call.number, EMPTY_BODY, f"INTERNAL: {type(error).__name__}")

    def _has_valid_key(self, context: grpc.aio.ServicerContext) -> bool:
        for name, value in context.invocation_metadata() or ():
            if name == KEY_METADATA_NAME:
                return hmac.compare_digest(str(value).encode(), self._key)
        return False


class _SingleMethod(grpc.GenericRpcHandler):
    """Routes the one stream method to its handler."""

    def __init__(self, serve: Any) -> None:
        self._handler = grpc.stream_stream_rpc_method_handler(serve)

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        return self._handler if details.method == METHOD_PATH else None


def _read_call(raw: bytes) -> Call | None:
    try:
        return decode_call(raw)
    except DECODE_ERRORS:
        return None


class _MalformedRequest(Exception):
    """The body of a call is not the message that the method takes."""
