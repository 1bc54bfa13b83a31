"""Calls between entry daemons: gRPC with generic handlers and MessagePack bodies.

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

__all__ = ["PeerClient", "PeerError", "PeerServer"]

METHOD_PATH = "/magnoliarouter.Peers/exchange"
KEY_FIELD = "magnoliarouter-key"
DEFAULT_DEADLINE_S = 1.0
SHUTDOWN_GRACE_S = 0.5
MAX_CALLS_PER_STREAM = 256
CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 100),
    ("grpc.max_reconnect_backoff_ms", 1000),
)

Request = TypeVar("Request", bound=msgspec.Struct)
Reply = TypeVar("Reply", bound=msgspec.Struct)


class PeerError(Exception):
    """A call to a peer got no valid reply; whether the peer acted on it is not known."""


class _Call(msgspec.Struct, array_like=True):
    """Call on a stream; `number` is unique on it."""

    number: int
    method: str
    body: msgspec.Raw


class _Answer(msgspec.Struct, array_like=True):
    """Reply to the call of the same number, or why there is none."""

    number: int
    body: msgspec.Raw
    error: str = ""


_decode_call = msgspec.msgpack.Decoder(_Call).decode
_decode_answer = msgspec.msgpack.Decoder(_Answer).decode
_encode = msgspec.msgpack.encode
_NOTHING = msgspec.Raw(_encode(None))


class PeerServer:
    """Serves calls of other entry daemons.

    Parameters
    ----------
    key : str
        Key that callers must send.

    Attributes
    ----------
    port : int
        Port that is listened on.
    refused : int
        Streams refused for a wrong key.
    """

    def __init__(self, key: str) -> None:
        self.port = 0
        self.refused = 0
        self._key = key.encode()
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
            return _encode(await handle(decode(raw)))

        self._methods[name] = serve

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; port 0 takes a free one, found in `port` afterwards."""
        self._server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
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
        if not self._is_peer(context):
            self.refused += 1
            await context.abort(grpc.StatusCode.UNAUTHENTICATED, "peer key is wrong")
        serving: set[asyncio.Task[None]] = set()
        writing = asyncio.Lock()
        try:
            async for raw in calls:
                if len(serving) >= MAX_CALLS_PER_STREAM:
                    await asyncio.wait(serving, return_when=asyncio.FIRST_COMPLETED)
                task = asyncio.create_task(self._serve_call(raw, context, writing))
                serving.add(task)
                task.add_done_callback(serving.discard)
        finally:
            for task in serving:
                task.cancel()

    async def _serve_call(
        self, raw: bytes, context: grpc.aio.ServicerContext, writing: asyncio.Lock
    ) -> None:
        try:
            call = _decode_call(raw)
        except msgspec.DecodeError:
            await context.abort(grpc.StatusCode.INVALID_ARGUMENT, "call cannot be read")
            return
        answer = _encode(await self._answer(call))
        # One writer at a time, as the stream demands.
        async with writing:
            await context.write(answer)

    async def _answer(self, call: _Call) -> _Answer:
        serve = self._methods.get(call.method)
        if serve is None:
            valid = ", ".join(sorted(self._methods))
            return _Answer(call.number, _NOTHING, f"UNIMPLEMENTED: valid methods: {valid}")
        try:
            return _Answer(call.number, msgspec.Raw(await serve(bytes(call.body))))
        except msgspec.DecodeError as error:
            return _Answer(call.number, _NOTHING, f"INVALID_ARGUMENT: {error}")
        except Exception as error:  # one call's fault leaves the stream's other calls unharmed
            context = {"message": f"peer method {call.method} failed", "exception": error}
            asyncio.get_running_loop().call_exception_handler(context)
            return _Answer(call.number, _NOTHING, f"INTERNAL: {type(error).__name__}")

    def _is_peer(self, context: grpc.aio.ServicerContext) -> bool:
        for name, value in context.invocation_metadata() or ():
            if name == KEY_FIELD:
                return hmac.compare_digest(str(value).encode(), self._key)
        return False


class _SingleMethod(grpc.GenericRpcHandler):
    """Routes the one stream method to its handler."""

    def __init__(self, serve: Any) -> None:
        self._handler = grpc.stream_stream_rpc_method_handler(serve)

    def service(self, details: grpc.HandlerCallDetails) -> grpc.RpcMethodHandler | None:
        return self._handler if details.method == METHOD_PATH else None


class PeerClient:
    """Calls other entry daemons, one stream for each address.

    Parameters
    ----------
    key : str
        Key of the system's processes.
    """

    def __init__(self, key: str) -> None:
        self._metadata = ((KEY_FIELD, key),)
        self._streams: dict[str, _Stream] = {}

    async def call(
        self,
        address: str,
        method: str,
        request: msgspec.Struct,
        reply_type: type[Reply],
        deadline: float = DEFAULT_DEADLINE_S,
    ) -> Reply:
        """Call a method of a peer.

        Parameters
        ----------
        address : str
            ``host:port`` of the peer.
        method : str
            Name of the method.
        request : msgspec.Struct
            Message to send.
        reply_type : type
            Message expected back.
        deadline : float
            Longest wait in seconds.

        Raises
        ------
        PeerError
            No valid reply in time.
        """
        stream = self._open_stream(address)
        try:
            async with asyncio.timeout(deadline):
                answer = await stream.ask(method, msgspec.Raw(_encode(request)))
        except TimeoutError as error:
            self._drop_if_silent(address, stream, deadline)
            raise PeerError(f"{address} {method}: DEADLINE_EXCEEDED") from error
        except _StreamEnded as error:
            raise PeerError(f"{address} {method}: {error}") from error
        if answer.error:
            raise PeerError(f"{address} {method}: {answer.error}")
        try:
            return msgspec.msgpack.decode(answer.body, type=reply_type)
        except msgspec.DecodeError as error:
            raise PeerError(f"{address} {method}: {error}") from error

    async def close(self) -> None:
        """Close all streams."""
        streams, self._streams = list(self._streams.values()), {}
        for stream in streams:
            await stream.close()

    def _open_stream(self, address: str) -> _Stream:
        stream = self._streams.get(address)
        if stream is None or stream.ended:
            stream = self._streams[address] = _Stream(address, self._metadata)
        return stream

    def _drop_if_silent(self, address: str, stream: _Stream, deadline: float) -> None:
        # Nothing came for the whole deadline: the connection may be half open.
        if stream.silence() >= deadline and self._streams.get(address) is stream:
            del self._streams[address]
            stream.abandon()


class _StreamEnded(Exception):
    """The stream broke off before the reply came."""


class _Stream:
    """Open stream to one peer and the calls that wait for replies on it."""

    def __init__(self, address: str, metadata: tuple[tuple[str, str], ...]) -> None:
        self.ended = False
        self._loop = asyncio.get_running_loop()
        self._heard = self._loop.time()
        self._channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._call = self._channel.stream_stream(METHOD_PATH)(metadata=metadata)
        self._number = 0
        self._waiting: dict[int, asyncio.Future[_Answer]] = {}
        self._writing = asyncio.Lock()
        self._reader = self._loop.create_task(self._read())

    async def ask(self, method: str, body: msgspec.Raw) -> _Answer:
        """Send a call and wait for its reply."""
        self._number += 1
        number = self._number
        reply: asyncio.Future[_Answer] = self._loop.create_future()
        self._waiting[number] = reply
        try:
            await self._send(_encode(_Call(number, method, body)))
            return await reply
        finally:
            self._waiting.pop(number, None)

    def silence(self) -> float:
        """Return the seconds since the peer was last heard."""
        return self._loop.time() - self._heard

    async def close(self) -> None:
        """End the stream and its connection."""
        self.ended = True
        self._call.cancel()
        await asyncio.gather(self._reader, return_exceptions=True)
        await self._channel.close()

    def abandon(self) -> None:
        """End the stream without waiting."""
        self.ended = True
        self._closing = self._loop.create_task(self.close())

    async def _send(self, raw: bytes) -> None:
        try:
            async with self._writing:
                await self._call.write(raw)
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError) as error:
            raise _StreamEnded(_explain(error)) from error

    async def _read(self) -> None:
        reason: BaseException | None = None
        try:
            async for raw in self._call:
                self._heard = self._loop.time()
                self._deliver(raw)
        except (grpc.aio.AioRpcError, asyncio.CancelledError, msgspec.DecodeError) as error:
            reason = error
        finally:
            self._end(reason)

    def _deliver(self, raw: bytes) -> None:
        answer = _decode_answer(raw)
        reply = self._waiting.get(answer.number)
        if reply is not None and not reply.done():
            reply.set_result(answer)

    def _end(self, reason: BaseException | None) -> None:
        self.ended = True
        for reply in self._waiting.values():
            if not reply.done():
                reply.set_exception(_StreamEnded(_explain(reason)))
        # The channel may be closed only once its last call has ended.
        self._closing = self._loop.create_task(self._channel.close())


def _explain(error: BaseException | None) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return error.code().name
    return "UNAVAILABLE"
