"""HTTP server: circuits.web components that hand each request to a coroutine.

`ConnectionLimits` filters what reaches the parser, `circuits.web` parses, and `WebServer` starts
one task per request. The task answers through an `Exchange`, which waits while the caller reads
slowly and is cancelled when the caller goes away.
"""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

import msgspec
from circuits import BaseComponent, Event, handler
from circuits.net.events import close, read, write
from circuits.net.sockets import TCPServer
from circuits.web.events import response, stream
from circuits.web.http import HTTP

from magnoliarouter.core.outcome import ResultCode

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from socket import socket

    from circuits.web.errors import httperror
    from circuits.web.wrappers import Request, Response

    from magnoliarouter.daemon.loop import Runtime

__all__ = ["CallerGone", "Exchange", "HttpRequest", "ServerLimits", "WebServer", "error_body"]

WRITE_HIGH_WATER_BYTES = 65_536
LINGER_SECONDS = 1.0
JSON_TYPE = "application/json"


class CallerGone(Exception):
    """The caller closed its connection before the answer was complete."""


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds on what one connection may send.

    Parameters
    ----------
    header_bytes : int
        Largest request line plus header section.
    body_bytes : int
        Largest request body.
    request_seconds : float
        Longest time from the first byte of a request to its last.
    connections : int
        Connections served at once; further ones are closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    request_seconds: float = 10.0
    connections: int = 4_096


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Request as received from a caller.

    Parameters
    ----------
    method, path : str
        Request line; the path is without its query.
    query : dict of str to str
        Query parameters; the last value of a repeated name.
    headers : dict of str to str
        Header fields, names in lower case.
    body : bytes
        Whole body.
    query_string : str
        Query as it was received, without the question mark.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    query_string: str = ""

    @property
    def target(self) -> str:
        """Path with its query, as it goes into a request line."""
        return f"{self.path}?{self.query_string}" if self.query_string else self.path


def error_body(code: ResultCode, outcome: str, reason: str) -> bytes:
    """Return the JSON body of an error answer.

    Parameters
    ----------
    code : ResultCode
        Numbered result.
    outcome : {"not_run", "completed", "unknown"}
        What is known of the request's effect.
    reason : str
        Sentence for the caller.

    Returns
    -------
    bytes
        JSON object ``{"error": {"code", "name", "outcome", "reason"}}``.
    """
    error = {"code": int(code), "name": code.name.lower(), "outcome": outcome, "reason": reason}
    return msgspec.json.encode({"error": error})


class Exchange:
    """One request and the means to answer it.

    Parameters
    ----------
    server : WebServer
        Server that received the request.
    request : HttpRequest
        The request.
    raw : circuits.web.wrappers.Response
        Response object prepared by circuits.web.
    """

    def __init__(self, server: WebServer, request: HttpRequest, raw: Response) -> None:
        self.request = request
        self.started = False
        self.finished = False
        self._server = server
        self._raw = raw
        self._sock: socket = raw.request.sock

    async def send(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Answer with a whole body."""
        self._set_head(status, headers or {})
        self._raw.body = body
        self.started = self.finished = True
        self._server.send_event(response(self._raw))
        await self._server.wait_for_drain(self._sock)

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a streamed answer."""
        self._set_head(status, headers)
        self._raw.stream = True
        # An empty tuple has no length that circuits.web would announce, so it picks chunks.
        self._raw.body = ()
        self.started = True
        self._server.send_event(response(self._raw))

    async def write(self, data: bytes) -> None:
        """Send part of a streamed body, waiting while the caller reads slowly."""
        if data:
            self._server.send_event(stream(self._raw, data))
            await self._server.wait_for_drain(self._sock)

    async def finish(self) -> None:
        """End a streamed body."""
        self.finished = True
        self._server.send_event(stream(self._raw, None))
        await self._server.wait_for_drain(self._sock)

    def abort(self) -> None:
        """Close the connection at once, so that the caller sees a truncated answer."""
        self.finished = True
        self._server.close_connection(self._sock)

    def _set_head(self, status: int, headers: dict[str, str]) -> None:
        self._raw.status = status
        self._raw.headers["Content-Type"] = JSON_TYPE
        for name, value in headers.items():
            self._raw.headers[name] = value


@dataclass(slots=True)
class _Connection:
    """Bookkeeping of one accepted connection."""

    received: int = 0
    rejected: bool = False
    task: asyncio.Task[None] | None = None
    timer: asyncio.TimerHandle | None = None
    pending: list[bytes] = field(default_factory=list)
    pending_bytes: int = 0
    waiters: list[asyncio.Future[None]] = field(default_factory=list)

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class WebServer(BaseComponent):
    """HTTP server bound to one address.

    Parameters
    ----------
    runtime : Runtime
        Root component.
    bind : tuple of (str, int)
        Address and port; port 0 takes a free one.
    handle : callable
        Coroutine function that answers an `Exchange`.
    limits : ServerLimits
        Bounds on connections and requests.
    on_reject : callable, optional
        Called with the `ResultCode` of each request refused before it reached `handle`.

    Raises
    ------
    OSError
        The address cannot be bound.
    """

    channel = "web"
    secure = False
    display_banner = False

    def __init__(
        self,
        runtime: Runtime,
        bind: tuple[str, int],
        handle: Callable[[Exchange], Coroutine[Any, Any, None]],
        limits: ServerLimits | None = None,
        on_reject: Callable[[ResultCode], None] = lambda code: None,
    ) -> None:
        # Each server has its own channel, so that several can live in one process.
        channel = f"web-{id(self)}"
        super().__init__(channel=channel)
        self._runtime = runtime
        self._handle = handle
        self._limits = limits or ServerLimits()
        self._on_reject = on_reject
        self._connections: dict[socket, _Connection] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self.server = TCPServer(bind, channel=channel).register(self)
        self.http = HTTP(self, channel=channel).register(self)
        self.register(runtime)

    @property
    def host(self) -> str:
        """Address that the server is bound to."""
        return self.server.host

    @property
    def port(self) -> int:
        """Port that the server is bound to."""
        return self.server.port

    @property
    def active(self) -> int:
        """Requests in progress."""
        return len(self._tasks)

    async def wait_until_idle(self) -> None:
        """Wait until no request is in progress."""
        while self._tasks:
            await asyncio.wait(self._tasks)

    def stop_listening(self) -> None:
        """Accept no further connections; those open go on."""
        listener = self.server._sock
        if listener is not None:
            self.server._poller.discard(listener)
            listener.close()

    def close_connection(self, sock: socket) -> None:
        """Close a connection without waiting for unsent bytes."""
        self.server._close(sock)

    def close_idle_connections(self) -> None:
        """Close connections on which no request is in progress."""
        for sock, connection in list(self._connections.items()):
            if connection.task is None:
                self.fire(close(sock))

    def send_event(self, event: Event) -> None:
        """Fire an event and dispatch it now, so that its bytes count as unsent at once."""
        self.fire(event)
        self._runtime.dispatch()

    async def wait_for_drain(self, sock: socket) -> None:
        """Wait until the unsent bytes of a connection fall below the high-water mark.

        Raises
        ------
        CallerGone
            The connection was closed.
        """
        while True:
            connection = self._connections.get(sock)
            if connection is None:
                raise CallerGone
            if self._unsent(sock) <= WRITE_HIGH_WATER_BYTES:
                return
            waiter = self._runtime.loop.create_future()
            connection.waiters.append(waiter)
            await waiter

    def _unsent(self, sock: socket) -> int:
        buffers = self.server._buffers
        return sum(len(part) for part in buffers[sock]) if sock in buffers else 0

    @handler("connect")
    def _on_connect(self, sock: socket, *peer: Any) -> None:
        if len(self._connections) >= self._limits.connections:
            self._on_reject(ResultCode.QUEUE_FULL)
            self.close_connection(sock)
            return
        self._connections[sock] = _Connection()

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        # circuits.web keeps the parser of a half-received request for ever.
        self.http._buffers.pop(sock, None)
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        connection.stop_timer()
        _wake(connection)
        if connection.task is not None:
            connection.task.cancel()

    @handler("read", priority=10)
    def _on_read(self, event: read, sock: socket, data: bytes) -> None:
        connection = self._connections.get(sock)
        if connection is None or connection.rejected:
            event.stop()
        elif connection.task is not None:
            event.stop()
            self._hold_back(sock, connection, data)
        else:
            self._count(event, sock, connection, len(data))

    def _hold_back(self, sock: socket, connection: _Connection, data: bytes) -> None:
        # Bytes of a pipelined request wait until the one in progress is answered.
        connection.pending.append(data)
        connection.pending_bytes += len(data)
        if connection.pending_bytes > self._limits.header_bytes:
            self.close_connection(sock)

    def _count(self, event: read, sock: socket, connection: _Connection, size: int) -> None:
        connection.received += size
        if connection.timer is None:
            connection.timer = self._runtime.loop.call_later(
                self._limits.request_seconds, self._time_out, sock
            )
        parser = self.http._buffers.get(sock)
        in_body = parser is not None and parser.is_headers_complete()
        if not in_body and connection.received - size > self._limits.header_bytes:
            event.stop()
            self._reject(sock, 431, ResultCode.HEADER_TOO_LARGE, "header section is too large")
        elif connection.received > self._limits.header_bytes + self._limits.body_bytes:
            event.stop()
            self._reject(sock, 413, ResultCode.BODY_TOO_LARGE, "body is too large")

    def _time_out(self, sock: socket) -> None:
        self._reject(sock, 408, ResultCode.SLOW_REQUEST, "request took too long to arrive")

    def _reject(self, sock: socket, status: int, code: ResultCode, reason: str) -> None:
        self._on_reject(code)
        body = error_body(code, "not_run", reason)
        head = (
            f"HTTP/1.1 {status} Rejected\r\nContent-Type: {JSON_TYPE}\r\n"
            f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
        )
        connection = self._connections[sock]
        connection.rejected = True
        connection.stop_timer()
        self.http._buffers.pop(sock, None)
        self.http._clients.pop(sock, None)
        self.fire(write(sock, head.encode() + body))
        # Closing with unread bytes would reset the connection before the answer is read.
        connection.timer = self._runtime.loop.call_later(
            LINGER_SECONDS, self.close_connection, sock
        )

    @handler("httperror", priority=10)
    def _on_httperror(
        self, event: httperror, request: Request, raw: Response, code: int = 400, **details: Any
    ) -> None:
        event.stop()
        status = code if isinstance(code, int) and code >= 400 else 500
        result = ResultCode.MALFORMED_HTTP if status < 500 else ResultCode.INTERNAL
        self._on_reject(result)
        reason = details.get("description") or "request is not valid HTTP"
        raw.status = status
        raw.close = True
        raw.headers["Content-Type"] = JSON_TYPE
        raw.body = error_body(result, "not_run", reason)
        self.fire(response(raw))

    @handler("redirect", priority=10)
    def _on_redirect(self, event: Any, request: Request, raw: Response, *args: Any) -> None:
        # circuits.web redirects unusual paths; an API answers them as malformed instead.
        event.stop()
        self._on_reject(ResultCode.MALFORMED_HTTP)
        raw.status = 400
        raw.close = True
        raw.headers["Content-Type"] = JSON_TYPE
        raw.body = error_body(ResultCode.MALFORMED_HTTP, "not_run", "path is not normalized")
        self.fire(response(raw))

    @handler("request", priority=10)
    def _on_request(self, event: Any, request: Request, raw: Response, *args: Any) -> bool:
        event.stop()
        connection = self._connections.get(request.sock)
        if connection is None:
            return True
        connection.stop_timer()
        connection.received = 0
        exchange = Exchange(self, _convert_request(request), raw)
        if len(exchange.request.body) > self._limits.body_bytes:
            self._reject(request.sock, 413, ResultCode.BODY_TOO_LARGE, "body is too large")
            return True
        task = self._runtime.loop.create_task(self._run(exchange))
        connection.task = task
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_answered(request.sock, raw, done))
        return True

    async def _run(self, exchange: Exchange) -> None:
        try:
            await self._handle(exchange)
        except CallerGone:
            return
        except Exception:
            if exchange.started:
                exchange.abort()
            else:
                body = error_body(ResultCode.INTERNAL, "unknown", "internal error")
                await exchange.send(500, body)
            raise

    def _on_answered(self, sock: socket, raw: Response, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        connection = self._connections.get(sock)
        if not task.cancelled() and task.exception() is not None:
            self._runtime.loop.call_exception_handler(
                {"message": "request handler failed", "exception": task.exception(), "task": task}
            )
        if connection is None or connection.task is not task:
            return
        connection.task = None
        if task.cancelled():
            self.close_connection(sock)
            return
        pending, connection.pending, connection.pending_bytes = connection.pending, [], 0
        for data in pending:
            self.fire(read(sock, data))

    @handler("_write", priority=0)
    def _on_written(self, sock: socket) -> None:
        connection = self._connections.get(sock)
        if connection is not None and connection.waiters:
            if self._unsent(sock) <= WRITE_HIGH_WATER_BYTES:
                _wake(connection)


def _wake(connection: _Connection) -> None:
    for waiter in connection.waiters:
        if not waiter.done():
            waiter.set_result(None)
    connection.waiters.clear()


def _convert_request(request: Request) -> HttpRequest:
    return HttpRequest(
        method=request.method,
        path=request.path,
        query=dict(parse_qsl(request.qs or "")),
        headers={name.lower(): value for name, value in request.headers.items()},
        body=request.body.read(),
        query_string=request.qs or "",
    )
