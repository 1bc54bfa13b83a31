"""HTTP server: circuits.web components that pass each request to a coroutine.

`WebServer` enforces `ServerLimits` before bytes reach the parser of `circuits.web`, and starts one
task per request. The task responds through an `Exchange`, which waits while the write buffer of the
connection is full. When the caller disconnects, the task is cancelled.
"""

from __future__ import annotations

import asyncio
import select
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from socket import SO_RCVBUF, SOL_SOCKET
from typing import TYPE_CHECKING, Any
from urllib.parse import parse_qsl

from circuits import BaseComponent, Event, handler
from circuits.net.events import read, write
from circuits.net.sockets import TCPServer
from circuits.web.http import HTTP

from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.web.exchange import (
    JSON_TYPE,
    CallerGone,
    Exchange,
    HttpRequest,
    error_body,
)
from magnoliarouter.web.limits import ServerLimits, fit_connections
from magnoliarouter.web.requestmemory import (
    DEFAULT_REQUEST_MEMORY_BYTES,
    MEMORY_REASON,
    RECEIVE_BUFFER_BYTES,
    REJECTED_RETRY_AFTER_S,
    REQUEST_OVERHEAD_BYTES,
    RequestHold,
    RequestMemory,
)
from magnoliarouter.web.wellformed import find_request_error, split_body

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine
    from socket import socket

    from circuits.web.errors import httperror
    from circuits.web.wrappers import Request, Response

    from magnoliarouter.web.loop import Runtime

__all__ = ["CallerGone", "Exchange", "HttpRequest", "ServerLimits", "WebServer", "error_body"]

WRITE_HIGH_WATER_MARK_BYTES = 65_536
# Time between the response to a rejected request and the close of its connection.
LINGERING_CLOSE_S = 1.0
# Time for the first request on a connection that is still unused when the server stops.
UNUSED_CLOSE_S = 0.5
# Copies of the input of a request: as received, joined, and parsed.
INPUT_COPIES = 3
# Time in which the loop reads what the kernel has received before the server stopped.
READ_WAITING_S = 0.02


@dataclass(slots=True)
class _Connection:
    """State of one accepted connection."""

    received_bytes: int = 0
    rejected: bool = False
    task: asyncio.Task[None] | None = None
    timer: asyncio.TimerHandle | None = None
    pipelined: list[bytes] = field(default_factory=list)
    pipelined_bytes: int = 0
    hold: RequestHold | None = None
    used: bool = False
    drain_waiters: list[asyncio.Future[None]] = field(default_factory=list)

    def release_hold(self) -> None:
        """Return the memory of the request."""
        if self.hold is not None:
            self.hold.release()
            self.hold = None

    def stop_timer(self) -> None:
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None


class _DirectWriteServer(TCPServer):
    """TCP server that writes to the socket immediately and buffers only what it does not accept."""

    @handler("write", override=True)
    def write(self, sock: socket, data: bytes) -> None:
        if sock in self._buffers and self._buffers[sock]:
            self._buffers[sock].append(data)
            return
        self._write(sock, data)
        if sock in self._buffers and self._buffers[sock] and not self._poller.isWriting(sock):
            self._poller.addWriter(self, sock)


class WebServer(BaseComponent):
    """HTTP server bound to one address.

    Parameters
    ----------
    runtime : Runtime
        Root component.
    bind : tuple of (str, int)
        Address and port; port 0 selects a free port.
    handle : callable
        Coroutine function that responds to the request of an `Exchange`.
    limits : ServerLimits
        Limits on connections and requests.
    on_reject : callable, optional
        Called with the `ResultCode` of each request rejected before it reached `handle`.
    memory : RequestMemory, optional
        Memory that the requests of all callers may take together.

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
        memory: RequestMemory | None = None,
    ) -> None:
        # Each server has its own channel, so that one process can run several servers.
        channel = f"web-{id(self)}"
        super().__init__(channel=channel)
        self._runtime = runtime
        self._handle = handle
        self._limits = fit_connections(limits or ServerLimits())
        self._on_reject = on_reject
        self._memory = memory or RequestMemory(DEFAULT_REQUEST_MEMORY_BYTES)
        # The connection that has been silent for longest comes first.
        self._connections: OrderedDict[socket, _Connection] = OrderedDict()
        self._tasks: set[asyncio.Task[None]] = set()
        self.draining = False
        self._stopping = False
        self._idle_waiter: asyncio.Future[None] | None = None
        self.server = _DirectWriteServer(bind, channel=channel).register(self)
        self.server._sock.setsockopt(SOL_SOCKET, SO_RCVBUF, RECEIVE_BUFFER_BYTES)
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
    def active_requests(self) -> int:
        """Requests in progress."""
        return len(self._tasks)

    async def wait_until_idle(self) -> None:
        """Wait until no request is in progress.

        Wait also, for at most the time that a request may take to arrive, for requests that are
        still arriving and for bytes that their callers have not received.
        """
        if self._stopping:
            await asyncio.sleep(READ_WAITING_S)
        deadline: float | None = None
        while self._tasks or any(map(self._is_busy, self._connections)):
            if self._tasks:
                await asyncio.wait(self._tasks)
                continue
            now = self._runtime.loop.time()
            deadline = deadline or now + self._limits.request_timeout_s
            if now >= deadline:
                return
            self._idle_waiter = self._runtime.loop.create_future()
            await asyncio.wait((self._idle_waiter,), timeout=deadline - now)

    def _is_busy(self, sock: socket) -> bool:
        connection = self._connections[sock]
        return bool(
            connection.received_bytes
            or connection.pipelined
            or (self._stopping and not connection.used)
            or self._count_unsent_bytes(sock)
        )

    def _report_end(self) -> None:
        """Have `wait_until_idle` look again."""
        if self._idle_waiter is not None and not self._idle_waiter.done():
            self._idle_waiter.set_result(None)

    def start_draining(self) -> None:
        """Close each connection after its next response, so that clients move to other servers."""
        self.draining = True

    def stop_listening(self) -> None:
        """Accept no connections other than those that already wait; open connections remain."""
        listener = self.server._sock
        if listener is None or self._stopping:
            return
        self._stopping = True
        self.server._poller.discard(listener)
        # Closing the listening socket resets the connections that the kernel has accepted.
        poll = select.poll()
        poll.register(listener, select.POLLIN)
        for _ in range(self._limits.max_connections):
            if not poll.poll(0):
                break
            deque(self.server._accept() or (), maxlen=0)
        listener.close()
        for sock, connection in self._connections.items():
            if not connection.used and not connection.received_bytes:
                self._start_idle_timer(sock, connection)

    def close_connection(self, sock: socket) -> None:
        """Close a connection and discard its unsent bytes."""
        self.server._close(sock)

    def send_event(self, event: Event) -> None:
        """Fire an event and dispatch it immediately, so that `wait_for_drain` counts its bytes."""
        # No handler uses the success event, so it is disabled to save one event per write.
        event.success = False
        self.fire(event)
        self._runtime.dispatch()

    async def wait_for_drain(self, sock: socket) -> None:
        """Wait until the unsent bytes of a connection are at most the high-water mark.

        Raises
        ------
        CallerGone
            The connection was closed.
        """
        while True:
            connection = self._connections.get(sock)
            if connection is None:
                raise CallerGone
            if self._count_unsent_bytes(sock) <= WRITE_HIGH_WATER_MARK_BYTES:
                return
            waiter = self._runtime.loop.create_future()
            connection.drain_waiters.append(waiter)
            await waiter

    def _count_unsent_bytes(self, sock: socket) -> int:
        buffers = self.server._buffers
        return sum(len(part) for part in buffers[sock]) if sock in buffers else 0

    @handler("connect")
    def _on_connect(self, sock: socket, *peer: Any) -> None:
        if len(self._connections) >= self._limits.max_connections:
            self._on_reject(ResultCode.CONNECTIONS_FULL)
            silent = self._find_silent()
            if silent is None:
                self.close_connection(sock)
                return
            self._close_silent(silent)
        connection = self._connections[sock] = _Connection()
        self._start_idle_timer(sock, connection)

    def _find_silent(self) -> socket | None:
        """Return the connection without a request in progress that has been silent for longest."""
        return next(
            (sock for sock, connection in self._connections.items() if connection.task is None),
            None,
        )

    def _close_silent(self, sock: socket) -> None:
        """Close a connection for another one; a request that is arriving on it is refused."""
        connection = self._connections[sock]
        if connection.received_bytes and not connection.rejected:
            reason = "this daemon has as many connections as it may"
            self.server.write(
                sock,
                _encode_rejection(503, ResultCode.CONNECTIONS_FULL, reason, REJECTED_RETRY_AFTER_S),
            )
        self.close_connection(sock)
        # The event of its end is handled later.
        self._on_disconnect(sock)

    @handler("disconnect")
    def _on_disconnect(self, sock: socket) -> None:
        # circuits.web never discards the parser of a partially received request.
        self.http._buffers.pop(sock, None)
        connection = self._connections.pop(sock, None)
        if connection is None:
            return
        self._report_end()
        connection.stop_timer()
        connection.release_hold()
        _wake_drain_waiters(connection)
        if connection.task is not None:
            connection.task.cancel()

    @handler("read", priority=10)
    def _on_read(self, event: read, sock: socket, data: bytes) -> None:
        connection = self._connections.get(sock)
        if connection is None or connection.rejected:
            event.stop()
            return
        self._connections.move_to_end(sock)
        if connection.task is not None:
            event.stop()
            self._defer_pipelined(sock, connection, data)
        else:
            self._check_request_size(event, sock, connection, len(data))

    def _defer_pipelined(self, sock: socket, connection: _Connection, data: bytes) -> None:
        # Pipelined requests are buffered until the request in progress has its response. The buffer
        # holds at most `max_header_bytes`; a connection that sends more is closed.
        connection.pipelined.append(data)
        connection.pipelined_bytes += len(data)
        if connection.pipelined_bytes > self._limits.max_header_bytes:
            self.close_connection(sock)
        elif connection.hold is not None:
            connection.hold.resize(connection.hold.size + INPUT_COPIES * len(data))

    def _check_request_size(
        self, event: read, sock: socket, connection: _Connection, size: int
    ) -> None:
        if not connection.received_bytes:
            connection.stop_timer()
            connection.timer = self._runtime.loop.call_later(
                self._limits.request_timeout_s, self._reject_slow_request, sock
            )
        connection.received_bytes += size
        parser = self.http._buffers.get(sock)
        in_body = parser is not None and parser.is_headers_complete()
        # The parser has not read the last `size` bytes yet. They may complete the head, so only the
        # bytes before them certainly belong to it.
        if not in_body and connection.received_bytes - size > self._limits.max_header_bytes:
            event.stop()
            self._reject(sock, 431, ResultCode.HEADER_TOO_LARGE, "header section is too large")
        elif (
            connection.received_bytes > self._limits.max_header_bytes + self._limits.max_body_bytes
        ):
            event.stop()
            self._reject(sock, 413, ResultCode.BODY_TOO_LARGE, "body is too large")
        else:
            if connection.hold is None:
                connection.hold = RequestHold(self._memory, lambda: self._give_up(sock))
            connection.hold.resize(
                REQUEST_OVERHEAD_BYTES + INPUT_COPIES * connection.received_bytes
            )
            if connection.rejected:
                event.stop()

    def _give_up(self, sock: socket) -> None:
        """Refuse a request that is arriving, since there is no memory for it."""
        self._reject(sock, 503, ResultCode.MEMORY_FULL, MEMORY_REASON, REJECTED_RETRY_AFTER_S)

    def _start_idle_timer(self, sock: socket, connection: _Connection) -> None:
        connection.stop_timer()
        waits_s = UNUSED_CLOSE_S if self._stopping else self._limits.idle_timeout_s
        connection.timer = self._runtime.loop.call_later(waits_s, self.close_connection, sock)

    def _reject_slow_request(self, sock: socket) -> None:
        self._reject(sock, 408, ResultCode.SLOW_REQUEST, "request took too long to arrive")

    def _reject(
        self,
        sock: socket,
        status: int,
        code: ResultCode,
        reason: str,
        retry_after_s: float | None = None,
    ) -> None:
        connection = self._connections.get(sock)
        if connection is None or connection.rejected:
            return
        connection.release_hold()
        self._on_reject(code)
        connection.rejected = True
        connection.stop_timer()
        self.http._buffers.pop(sock, None)
        self.http._clients.pop(sock, None)
        self.fire(write(sock, _encode_rejection(status, code, reason, retry_after_s)))
        # Closing with unread input would reset the connection before the caller reads the response.
        connection.timer = self._runtime.loop.call_later(
            LINGERING_CLOSE_S, self.close_connection, sock
        )

    @handler("httperror", priority=10)
    def _on_httperror(
        self,
        event: httperror,
        request: Request,
        response: Response,
        code: int = 400,
        **details: Any,
    ) -> None:
        # Tasks send all other responses, so circuits.web fires this event only for requests that
        # it cannot parse.
        event.stop()
        reason = details.get("description") or "request is not valid HTTP"
        self._reject(request.sock, 400, ResultCode.MALFORMED_HTTP, reason)

    @handler("exception", channel="runtime")
    def _on_exception(self, *error: Any, fevent: Event, **details: Any) -> None:
        # Malformed requests raise exceptions of many types in circuits.web's read handler.
        if fevent.name == "read" and fevent.channels == (self.channel,):
            reason = "request is not valid HTTP"
            self._reject(fevent.args[0], 400, ResultCode.MALFORMED_HTTP, reason)

    @handler("redirect", priority=10)
    def _on_redirect(self, event: Any, request: Request, response: Response, *args: Any) -> None:
        # circuits.web redirects paths that are not normalized; an API rejects them as malformed.
        event.stop()
        reason = "path is not normalized"
        self._reject(request.sock, 400, ResultCode.MALFORMED_HTTP, reason)

    @handler("request", priority=10)
    def _on_request(self, event: Any, request: Request, response: Response, *args: Any) -> bool:
        event.stop()
        connection = self._connections.get(request.sock)
        if connection is None:
            return True
        connection.stop_timer()
        if connection.hold is not None:
            connection.hold.settle()
        connection.used, connection.received_bytes = True, 0
        headers = {name.lower(): value for name, value in request.headers.items()}
        error = find_request_error(request.path, headers)
        if error:
            self._reject(request.sock, 400, ResultCode.MALFORMED_HTTP, error)
            return True
        body, rest = split_body(request.body.read(), headers)
        if len(body) > self._limits.max_body_bytes:
            self._reject(request.sock, 413, ResultCode.BODY_TOO_LARGE, "body is too large")
            return True
        if rest:
            connection.pipelined.append(rest)
            connection.pipelined_bytes = len(rest)
        exchange = Exchange(self, _convert_request(request, headers, body), response)
        task = self._runtime.loop.create_task(self._run_handler(exchange))
        connection.task = task
        self._tasks.add(task)
        task.add_done_callback(lambda done: self._on_handler_done(request.sock, response, done))
        return True

    async def _run_handler(self, exchange: Exchange) -> None:
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

    def _on_handler_done(self, sock: socket, response: Response, task: asyncio.Task[None]) -> None:
        self._tasks.discard(task)
        self._report_end()
        connection = self._connections.get(sock)
        if not task.cancelled() and task.exception() is not None:
            self._runtime.loop.call_exception_handler(
                {"message": "request handler failed", "exception": task.exception(), "task": task}
            )
        if connection is None or connection.task is not task:
            return
        connection.task = None
        connection.release_hold()
        self._connections.move_to_end(sock)
        # circuits.web retains a HEAD request and would reuse it for the next request.
        self.http._clients.pop(sock, None)
        if task.cancelled():
            self.close_connection(sock)
            return
        self._start_idle_timer(sock, connection)
        pipelined, connection.pipelined, connection.pipelined_bytes = connection.pipelined, [], 0
        for data in pipelined:
            self.fire(read(sock, data))

    @handler("_write", priority=0)
    def _on_written(self, sock: socket) -> None:
        self._report_end()
        connection = self._connections.get(sock)
        if connection is not None and connection.drain_waiters:
            if self._count_unsent_bytes(sock) <= WRITE_HIGH_WATER_MARK_BYTES:
                _wake_drain_waiters(connection)


def _encode_rejection(
    status: int, code: ResultCode, reason: str, retry_after_s: float | None
) -> bytes:
    body = error_body(code, "not_run", reason)
    retry_after = "" if retry_after_s is None else f"Retry-After: {retry_after_s:.3f}\r\n"
    head = (
        f"HTTP/1.1 {status} Rejected\r\nContent-Type: {JSON_TYPE}\r\n{retry_after}"
        f"Content-Length: {len(body)}\r\nConnection: close\r\n\r\n"
    )
    return head.encode() + body


def _wake_drain_waiters(connection: _Connection) -> None:
    for waiter in connection.drain_waiters:
        if not waiter.done():
            waiter.set_result(None)
    connection.drain_waiters.clear()


def _convert_request(request: Request, headers: dict[str, str], body: bytes) -> HttpRequest:
    return HttpRequest(
        method=request.method,
        path=request.path,
        query=dict(parse_qsl(request.qs or "")),
        headers=headers,
        body=body,
        query_string=request.qs or "",
    )
