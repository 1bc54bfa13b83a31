"""Calls between entry daemons: gRPC with generic handlers and MessagePack bodies.

Each method is registered with the type of its request and of its reply; both are checked when
they arrive. A key shared by the system's processes is sent with every call.
"""

from __future__ import annotations

import hmac
from typing import TYPE_CHECKING, Any, TypeVar

import grpc
import msgspec

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["PeerClient", "PeerError", "PeerServer"]

SERVICE = "magnoliarouter.Peers"
KEY_FIELD = "magnoliarouter-key"
DEFAULT_DEADLINE_S = 1.0
SHUTDOWN_GRACE_S = 0.5
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


class PeerServer:
    """Serves calls of other entry daemons.

    Parameters
    ----------
    key : str
        Key that callers must send.
    """

    def __init__(self, key: str) -> None:
        self.port = 0
        self.refused = 0
        self._key = key.encode()
        self._methods: dict[str, grpc.RpcMethodHandler] = {}
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

        async def serve(raw: bytes, context: grpc.aio.ServicerContext) -> bytes:
            if not self._is_peer(context):
                self.refused += 1
                await context.abort(grpc.StatusCode.UNAUTHENTICATED, "peer key is wrong")
            try:
                request = decode(raw)
            except msgspec.DecodeError as error:
                await context.abort(grpc.StatusCode.INVALID_ARGUMENT, f"{name}: {error}")
            return msgspec.msgpack.encode(await handle(request))

        self._methods[name] = grpc.unary_unary_rpc_method_handler(serve)

    async def start(self, host: str, port: int) -> None:
        """Listen on an address; port 0 takes a free one, found in `port` afterwards."""
        self._server = grpc.aio.server(options=(("grpc.so_reuseport", 0),))
        handler = grpc.method_handlers_generic_handler(SERVICE, self._methods)
        self._server.add_generic_rpc_handlers((handler,))
        self.port = self._server.add_insecure_port(f"{host}:{port}")
        await self._server.start()

    async def stop(self) -> None:
        """Finish calls in progress and stop."""
        if self._server is not None:
            await self._server.stop(SHUTDOWN_GRACE_S)

    def _is_peer(self, context: grpc.aio.ServicerContext) -> bool:
        for name, value in context.invocation_metadata() or ():
            if name == KEY_FIELD:
                return hmac.compare_digest(str(value).encode(), self._key)
        return False


class PeerClient:
    """Calls other entry daemons, one channel for each address.

    Parameters
    ----------
    key : str
        Key of the system's processes.
    """

    def __init__(self, key: str) -> None:
        self._metadata = ((KEY_FIELD, key),)
        self._channels: dict[str, grpc.aio.Channel] = {}

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
        call = self._channel(address).unary_unary(f"/{SERVICE}/{method}")
        raw: Any = msgspec.msgpack.encode(request)
        try:
            answer = await call(raw, timeout=deadline, metadata=self._metadata)
        except grpc.aio.AioRpcError as error:
            raise PeerError(f"{address} {method}: {error.code().name}") from error
        try:
            return msgspec.msgpack.decode(answer, type=reply_type)
        except msgspec.DecodeError as error:
            raise PeerError(f"{address} {method}: {error}") from error

    async def close(self) -> None:
        """Close all channels."""
        for channel in self._channels.values():
            await channel.close()
        self._channels.clear()

    def _channel(self, address: str) -> grpc.aio.Channel:
        channel = self._channels.get(address)
        if channel is None:
            channel = grpc.aio.insecure_channel(address, options=CHANNEL_OPTIONS)
            self._channels[address] = channel
        return channel
