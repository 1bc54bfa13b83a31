"""Server for calls between entry daemons: gRPC with generic handlers and MessagePack bodies.

A client keeps one bidirectional stream to each peer, on which calls and replies are numbered. A
separate gRPC call for each request would cost several times the bytes and processor time of a
message on an open stream. The types of a method's request and reply are checked on receipt. The key
that all daemons share is sent when a stream is opened.
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
    # Closes streams of peers that vanished without closing their connection.
    ("grpc.keepalive_time_ms", 20_000),
    ("grpc.keepalive_timeout_ms", 10_000),
    ("grpc.http2.ping_timeout_ms", 10_000),
    ("grpc.http2.max_pings_without_data", 0),
    # Below the interval between the pings of clients, which would otherwise be treated as abuse.
    ("grpc.http2.min_ping_interval_without_data_ms", 20_000),
)
# Raised by msgspec for bytes that are not the expected message.
DECODE_ERRORS = (msgspec.MsgspecError, ValueError, RecursionError)

Request = TypeVar("Request", bound=msgspec.Struct)


class PeerError(Exception):
    """A call to a peer got no valid reply; whether the peer executed it is unknown."""


class Call(msgspec.Struct, array_like=True):
    """Call on a stream; `number` is unique within the stream."""

    number: int
    method: str
    body: msgspec.Raw


class CallReply(msgspec.Struct, array_like=True):
    """Reply to the call with the same number, or an error."""

    number: int
    body: msgspec.Raw
    error: str = ""


decode_call = msgspec.msgpack.Decoder(Call).decode
encode = msgspec.msgpack.encode
EMPTY_BODY = msgspec.Raw(encode(None))


class PeerServer:
    """Serves calls from other entry daemons.

    Parameters
    ----------
    key : str
        Key that clients must send.
    on_refuse : callable, optional
        Called for each stream that is refused or closed, with the reason: ``"key"`` for a wrong key
        or ``"malformed"`` for a message that is not a call.

    Attributes
    ----------
    port : int
        Port that the server listens on.
    refused : int
        Streams refused because of a wrong key.
    malformed : int
        Streams closed because a message was not a valid call.
    streams : int
        Streams currently open.
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
            Type of the request; any other message gets an INVALID_ARGUMENT reply.
        handle : callable
            Coroutine function that returns the reply to a request.
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
        """Listen on an address; port 0 selects a free port and stores it in `port`."""
        self._server = grpc.aio.server(options=SERVER_OPTIONS)
        self._server.add_generic_rpc_handlers((_SingleMethod(self._serve_stream),))
        self.port = self._server.add_insecure_port(f"{host}:{port}")
        await self._server.start()

    async def stop(self) -> None:
        """Stop, after a grace period for calls in progress."""
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
            # Cancelling a write on an open stream would prevent the stream from closing.
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
        # gRPC permits only one write at a time on a stream.
        async with writing:
            try:
                await context.write(reply)
            except (grpc.RpcError, grpc.aio.UsageError, grpc.aio.InternalError):
                return  # the stream has closed, which the client notices

    async def _handle_call(self, call: Call) -> CallReply:
        serve = self._methods.get(call.method)
        if serve is None:
            valid = ", ".join(sorted(self._methods))
            return CallReply(call.number, EMPTY_BODY, f"UNIMPLEMENTED: valid methods: {valid}")
        try:
            return CallReply(call.number, msgspec.Raw(await serve(bytes(call.body))))
        except _MalformedRequest as error:
            return CallReply(call.number, EMPTY_BODY, f"INVALID_ARGUMENT: {error}")
        except Exception as error:  # a failed call must not affect other calls on the stream
            context = {"message": f"peer method {call.method} failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)
            return CallReply(call.number, EMPTY_BODY, f"INTERNAL: {type(error).__name__}")

    def _has_valid_key(self, context: grpc.aio.ServicerContext) -> bool:
        for name, value in context.invocation_metadata() or ():
            if name == KEY_METADATA_NAME:
                return hmac.compare_digest(str(value).encode(), self._key)
        return False


class _SingleMethod(grpc.GenericRpcHandler):
    """Routes the single stream method to its handler."""

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
    """The body of a call is not a valid request of the method."""
