"""Client for calls to other entry daemons, over one open stream to each."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, TypeVar

import grpc
import msgspec

from magnoliarouter.peers.channel import (
    DECODE_ERRORS,
    KEY_METADATA_NAME,
    MAX_MESSAGE_BYTES,
    METHOD_PATH,
    Call,
    CallReply,
    PeerError,
    encode,
)

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["PeerClient"]

DEFAULT_DEADLINE_S = 1.0
MAX_PENDING_CALLS = 1024
CLOCK_TOLERANCE_S = 0.001
CHANNEL_OPTIONS = (
    ("grpc.enable_http_proxy", 0),
    ("grpc.initial_reconnect_backoff_ms", 100),
    ("grpc.min_reconnect_backoff_ms", 1000),
    ("grpc.max_reconnect_backoff_ms", 1000),
    # Closes streams to peers that vanished without closing their connection.
    ("grpc.keepalive_time_ms", 60_000),
    ("grpc.keepalive_timeout_ms", 10_000),
    ("grpc.http2.ping_timeout_ms", 10_000),
    ("grpc.http2.max_pings_without_data", 0),
)

Reply = TypeVar("Reply", bound=msgspec.Struct)

_decode_reply = msgspec.msgpack.Decoder(CallReply).decode


class PeerClient:
    """Calls other entry daemons over one stream for each address.

    Parameters
    ----------
    key : str
        Key that all daemons share.
    """

    def __init__(self, key: str) -> None:
        self._metadata = ((KEY_METADATA_NAME, key),)
        self._streams: dict[str, _Stream] = {}
        self._retired: set[_Stream] = set()
        self._closing: set[asyncio.Task[None]] = set()

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
            Type of the expected reply.
        deadline : float
            Longest wait in seconds.

        Raises
        ------
        PeerError
            No valid reply before the deadline.
        """
        body = encode(request)
        if len(body) > MAX_MESSAGE_BYTES:
            raise PeerError(f"{address} {method}: RESOURCE_EXHAUSTED: request too large")
        stream = self._open_stream(address)
        try:
            async with asyncio.timeout(deadline):
                reply = await stream.call(method, msgspec.Raw(body))
        except TimeoutError as error:
            self._retire_if_silent(address, stream, deadline)
            raise PeerError(f"{address} {method}: DEADLINE_EXCEEDED") from error
        except _StreamEnded as error:
            raise PeerError(f"{address} {method}: {error}") from error
        if reply.error:
            raise PeerError(f"{address} {method}: {reply.error}")
        try:
            return msgspec.msgpack.decode(reply.body, type=reply_type)
        except DECODE_ERRORS as error:
            raise PeerError(f"{address} {method}: {error}") from error

    async def close(self) -> None:
        """Close all streams."""
        streams = [*self._streams.values(), *self._retired]
        self._streams.clear()
        for stream in streams:
            await stream.close()
        await asyncio.gather(*self._closing)

    def _open_stream(self, address: str) -> _Stream:
        stream = self._streams.get(address)
        if stream is None or stream.ended:
            stream = _Stream(address, self._metadata, lambda ended: self._retire(address, ended))
            self._streams[address] = stream
        return stream

    def _retire_if_silent(self, address: str, stream: _Stream, deadline: float) -> None:
        # Nothing was received for the whole deadline: the connection may be half open, or the method
        # is slow. New calls use a new connection; pending calls stay on the old one.
        if stream.seconds_since_received() >= deadline - CLOCK_TOLERANCE_S:
            self._retire(address, stream)

    def _retire(self, address: str, stream: _Stream) -> None:
        """Stop using a stream, and close it once it has no pending calls."""
        if self._streams.get(address) is not stream:
            return
        del self._streams[address]
        task = asyncio.get_running_loop().create_task(self._close_when_idle(stream))
        self._closing.add(task)
        task.add_done_callback(self._closing.discard)

    async def _close_when_idle(self, stream: _Stream) -> None:
        self._retired.add(stream)
        await stream.idle.wait()
        await stream.close()
        self._retired.discard(stream)


class _StreamEnded(Exception):
    """The stream closed before the reply was received."""


class _Stream:
    """Open stream to one peer, with its pending calls.

    `idle` is set while no calls are pending.

    A single long-lived task writes all calls: gRPC closes a stream when a write on it is cancelled,
    and the deadline of one call must not end the others.
    """

    def __init__(
        self,
        address: str,
        metadata: tuple[tuple[str, str], ...],
        on_end: Callable[[_Stream], None],
    ) -> None:
        self.ended = False
        self._on_end = on_end
        self._loop = asyncio.get_running_loop()
        self._last_received_at = self._loop.time()
        self._channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
        self._grpc_call = self._channel.stream_stream(METHOD_PATH)(metadata=metadata)
        self._number = 0
        self._pending_calls: dict[int, asyncio.Future[CallReply]] = {}
        self._unsent_calls: dict[int, bytes] = {}
        self._has_unsent = asyncio.Event()
        self.idle = asyncio.Event()
        self.idle.set()
        self._reader = self._loop.create_task(self._read())
        self._writer = self._loop.create_task(self._write())

    async def call(self, method: str, body: msgspec.Raw) -> CallReply:
        """Send a call and wait for its reply."""
        if len(self._pending_calls) >= MAX_PENDING_CALLS:
            raise _StreamEnded("RESOURCE_EXHAUSTED: too many calls wait for this peer")
        self._number += 1
        number = self._number
        future: asyncio.Future[CallReply] = self._loop.create_future()
        self._pending_calls[number] = future
        self.idle.clear()
        self._unsent_calls[number] = encode(Call(number, method, body))
        self._has_unsent.set()
        try:
            return await future
        finally:
            self._pending_calls.pop(number, None)
            self._unsent_calls.pop(number, None)
            if not self._pending_calls:
                self.idle.set()

    def seconds_since_received(self) -> float:
        """Return the seconds since the last message from the peer."""
        return self._loop.time() - self._last_received_at

    async def close(self) -> None:
        """Close the stream and its connection."""
        self.ended = True
        self._grpc_call.cancel()
        self._writer.cancel()
        await asyncio.gather(self._reader, self._writer, return_exceptions=True)
        # The channel may be closed only after its last call has ended.
        await self._channel.close()

    async def _write(self) -> None:
        try:
            while not self.ended:
                await self._has_unsent.wait()
                self._has_unsent.clear()
                while self._unsent_calls:
                    await self._grpc_call.write(
                        self._unsent_calls.pop(next(iter(self._unsent_calls)))
                    )
        except (grpc.aio.AioRpcError, asyncio.InvalidStateError):
            self._grpc_call.cancel()  # the reader gets the reason and fails all pending calls

    async def _read(self) -> None:
        reason: BaseException | None = None
        try:
            async for raw in self._grpc_call:
                self._last_received_at = self._loop.time()
                self._deliver(raw)
        except (grpc.aio.AioRpcError, asyncio.CancelledError, *DECODE_ERRORS) as error:
            reason = error
        finally:
            self._end(reason)

    def _deliver(self, raw: bytes) -> None:
        reply = _decode_reply(raw)
        future = self._pending_calls.get(reply.number)
        if future is not None and not future.done():
            future.set_result(reply)

    def _end(self, reason: BaseException | None) -> None:
        self.ended = True
        self._writer.cancel()
        self._grpc_call.cancel()
        for future in self._pending_calls.values():
            if not future.done():
                future.set_exception(_StreamEnded(_describe_end(reason)))
        self._on_end(self)


def _describe_end(error: BaseException | None) -> str:
    if isinstance(error, grpc.aio.AioRpcError):
        return error.code().name
    return "UNAVAILABLE"
