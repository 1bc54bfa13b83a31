"""HTTP server of the gateway, which keeps targets and header fields byte for byte.

circuits.web decodes paths, merges header fields into a mapping and gives no access to the raw bytes
of either. The gateway has to forward both unchanged, so this server parses with `httptools` on
asyncio transports.
"""

from __future__ import annotations

import asyncio
import os
import select
import socket
import struct
from collections import OrderedDict, deque
from dataclasses import dataclass, field
from http import HTTPStatus
from typing import TYPE_CHECKING

import httptools

from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.web.errors import JSON_TYPE, error_body
from magnoliarouter.web.limits import ServerLimits
from magnoliarouter.web.memory import UNRESERVED_BYTES, Reservation
from magnoliarouter.web.requestmemory import (
    DEFAULT_REQUEST_MEMORY_BYTES,
    MEMORY_REASON,
    RECEIVE_BUFFER_BYTES,
    REJECTED_RETRY_AFTER_S,
    RequestHold,
    RequestMemory,
    weigh_body,
    weigh_field,
    weigh_request,
)
from magnoliarouter.web.turns import TurnBuffer
from magnoliarouter.web.upstream import (
    MIN_RECEIVE_BUFFER_BYTES,
    TCP_USER_TIMEOUT_MS,
    set_tcp_options,
    set_user_timeout,
)

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

    from magnoliarouter.web.upstream import HeaderFields

__all__ = ["IngressExchange", "IngressRequest", "IngressServer"]

# Complete pipelined requests of one connection above which reading from it pauses.
MAX_PIPELINED_REQUESTS = 8
# Time without input between the response to a rejected request and the close of its connection, and
# the longest. Closing while the caller still sends resets the connection, before it reads the response.
LINGERING_CLOSE_S = 1.0
MAX_LINGERING_S = 5.0
WRITE_HIGH_WATER_MARK_BYTES = 65_536
LISTEN_BACKLOG = 1_024
# Connections accepted in one turn of the loop, which may exceed the limit on them until the next.
ACCEPT_BATCH = 16
# Receive buffer of a connection while a large body arrives.
LARGE_RECEIVE_BUFFER_BYTES = 65_536
CONTINUE_RESPONSE = b"HTTP/1.1 100 Continue\r\n\r\n"
CHUNKED_FIELD = (b"Transfer-Encoding", b"chunked")
LAST_CHUNK = b"0\r\n\r\n"
# Time for the first request on a connection that is still unused when the server stops.
UNUSED_CLOSE_S = 0.5
# Lingering for no time, as struct linger of socket(7): closing resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


@dataclass(slots=True)
class IngressRequest:
    """Request as received.

    Parameters
    ----------
    method, target : bytes
        Method and target of the request line; the target is byte for byte as received.
    fields : list of (bytes, bytes)
        Header fields in the order received.
    body : bytearray
        Complete body.
    received_at : float
        Loop time in seconds at which the first byte was received.
    keep_alive : bool
        Whether the caller keeps the connection open for another request.
    accepts_chunks : bool
        Whether the caller understands chunked bodies, as from HTTP/1.1 on.
    hold : RequestHold, optional
        Memory that the request takes.
    """

    method: bytes
    target: bytes
    fields: HeaderFields
    body: bytearray
    received_at: float
    keep_alive: bool = True
    accepts_chunks: bool = True
    hold: RequestHold | None = None


@dataclass(slots=True)
class _PartialRequest:
    """Request that is not yet completely received; `weight` is the memory that its head takes."""

    hold: RequestHold
    target: bytearray = field(default_factory=bytearray)
    fields: HeaderFields = field(default_factory=list)
    body: bytearray = field(default_factory=bytearray)
    head_complete: bool = False
    expects_continue: bool = False
    received_at: float = 0.0
    weight: int = 0

    def weigh(self) -> int:
        """Return the memory that the request takes."""
        return weigh_request(self.target) + self.weight + weigh_body(len(self.body))


class IngressExchange:
    """One request and the methods that send its response.

    Parameters
    ----------
    connection : _Connection
        Connection that received the request.
    request : IngressRequest
        The request.
    """

    def __init__(self, connection: _Connection, request: IngressRequest) -> None:
        self.request = request
        self.started = False
        self.finished = False
        self.cancel_when_caller_gone = True
        # Loop time at which a caller that has not taken what was written is given up.
        self.write_until = float("inf")
        # Returned once the caller has received the response.
        self.reservation = Reservation()
        self._connection = connection

    @property
    def caller_gone(self) -> bool:
        """Whether the caller closed the connection."""
        return self._connection.lost

    async def send(self, status: int, fields: HeaderFields, body: bytes | bytearray) -> None:
        """Send a response with a complete body; its caller may still have to receive it."""
        self.started = self.finished = True
        length = (b"Content-Length", str(len(body)).encode())
        content = b"" if self.request.method == b"HEAD" else body
        head = self._encode_head(status, [*fields, length])
        if len(content) <= UNRESERVED_BYTES:
            self._connection.write(head + content)
            return
        self._connection.write(head)
        self._connection.write(content)

    def start(self, status: int, fields: HeaderFields, data: bytes) -> None:
        """Send the head of a streamed response with the first bytes of its body."""
        self.started = True
        if self.request.accepts_chunks:
            fields = [*fields, CHUNKED_FIELD]
        else:
            # The end of the connection has to mark the end of the body.
            self.request.keep_alive = False
        self._connection.write(self._encode_head(status, fields) + self._encode_part(data))

    async def write(self, data: bytes) -> None:
        """Send bytes of a streamed body and wait while the write buffer is full."""
        if data:
            self._connection.write(self._encode_part(data))
        await self._connection.drain(self.write_until)

    async def finish(self) -> None:
        """End a streamed body as complete; its caller may still have to receive it."""
        self.finished = True
        if self.request.accepts_chunks:
            self._connection.write(LAST_CHUNK)

    def abort(self) -> None:
        """Close the connection immediately, so that the caller receives a truncated response."""
        self.finished = True
        self._connection.abort()

    def _encode_part(self, data: bytes) -> bytes:
        if not self.request.accepts_chunks or not data:
            return data
        return b"%x\r\n%b\r\n" % (len(data), data)

    def _encode_head(self, status: int, fields: HeaderFields) -> bytes:
        connection = self._connection
        keep_alive = self.request.keep_alive and (
            not connection.server.draining or connection.has_next_request()
        )
        if not keep_alive:
            self._connection.close_after_response = True
            fields = [*fields, (b"Connection", b"close")]
        return encode_head(status, fields)


def encode_head(status: int, fields: HeaderFields) -> bytes:
    """Return the encoded status line and header fields of a response."""
    try:
        phrase = HTTPStatus(status).phrase
    except ValueError:
        phrase = "Status"
    lines = [f"HTTP/1.1 {status} {phrase}".encode()]
    lines += [name + b": " + value for name, value in fields]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def _encode_rejection(
    status: int, code: ResultCode, reason: str, retry_after_s: float | None
) -> bytes:
    body = error_body(code, "not_run", reason)
    fields = [
        (b"Content-Type", JSON_TYPE.encode()),
        (b"Content-Length", str(len(body)).encode()),
        (b"Connection", b"close"),
    ]
    if retry_after_s is not None:
        fields.append((b"Retry-After", b"%.3f" % retry_after_s))
    return encode_head(status, fields) + body


class IngressServer:
    """HTTP server bound to one address.

    Parameters
    ----------
    handle : callable
        Coroutine function that responds to the request of an `IngressExchange`.
    on_reject : callable
        Called with the `ResultCode` of each request rejected before it reached `handle`.
    limits : ServerLimits
        Limits on connections and requests; may be replaced while the server runs.
    memory : RequestMemory, optional
        Memory that the requests of all servers of the process may take together.
    """

    def __init__(
        self,
        handle: Callable[[IngressExchange], Coroutine[None, None, None]],
        on_reject: Callable[[ResultCode], None] = lambda code: None,
        limits: ServerLimits | None = None,
        memory: RequestMemory | None = None,
    ) -> None:
        self.limits = limits or ServerLimits()
        self.memory = memory or RequestMemory(DEFAULT_REQUEST_MEMORY_BYTES)
        self.draining = False
        self.stopping = False
        self.handle = handle
        self.on_reject = on_reject
        # The connection that has been silent for longest comes first.
        self.connections: OrderedDict[_Connection, None] = OrderedDict()
        self.tasks: set[asyncio.Task[None]] = set()
        self._server: asyncio.Server | None = None
        self._closing: asyncio.Task[None] | None = None
        self._idle_waiter: asyncio.Future[None] | None = None

    async def start(self, host: str, port: int) -> int:
        """Listen and return the port.

        Raises
        ------
        OSError
            The address cannot be bound.
        """
        loop = asyncio.get_running_loop()
        self.input = TurnBuffer(loop)
        listener = socket.create_server((host, port), backlog=LISTEN_BACKLOG)
        # Connections inherit it, so that none grows its window before it is accepted.
        listener.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
        self._server = await loop.create_server(
            lambda: _Connection(self), sock=listener, backlog=ACCEPT_BATCH
        )
        listener.listen(LISTEN_BACKLOG)
        return int(self._server.sockets[0].getsockname()[1])

    @property
    def active_requests(self) -> int:
        """Requests in progress."""
        return len(self.tasks)

    def start_draining(self) -> None:
        """Close each connection after its next response, so that callers move to other gateways."""
        self.draining = True

    def stop_listening(self) -> None:
        """Accept no connections other than those that already wait, and close idle connections."""
        if self.stopping or self._server is None:
            return
        self.stopping = True
        loop = self._server.get_loop()
        if not loop.is_running():
            self._server.close()
            return
        for listener in self._server.sockets:
            loop.remove_reader(listener.fileno())
        self._closing = loop.create_task(self._close_listeners(self._server))

    async def wait_until_idle(self, timeout_s: float) -> None:
        """Wait until no request is in progress, for at most `timeout_s` seconds.

        After `stop_listening`, wait until all connections have ended: also those with a request
        that is still arriving, or with bytes that their callers have not received.
        """
        deadline = asyncio.get_running_loop().time() + timeout_s
        if self._closing is not None:
            await asyncio.wait((self._closing,), timeout=timeout_s)
        while self.tasks or (self.stopping and self.connections):
            remaining_s = deadline - asyncio.get_running_loop().time()
            if remaining_s <= 0:
                return
            self._idle_waiter = asyncio.get_running_loop().create_future()
            await asyncio.wait((self._idle_waiter,), timeout=remaining_s)

    def close_silent(self) -> bool:
        """Close the connection that has been silent for longest, if any has no request in progress.

        Callers hold idle connections for as long as they like, so the newest is not the one to go.
        """
        return any(connection.close_for_another() for connection in self.connections)

    def report_end(self) -> None:
        """Have `wait_until_idle` look again, after the end of a request or connection."""
        if self._idle_waiter is not None and not self._idle_waiter.done():
            self._idle_waiter.set_result(None)

    async def _close_listeners(self, server: asyncio.Server) -> None:
        """Take over the connections that the kernel has accepted, since a close resets them."""
        try:
            # The loop hands over the connections that it has accepted itself.
            await asyncio.sleep(0)
            waiting = [sock for one in server.sockets for sock in _accept_waiting(one.fileno())]
        finally:
            server.close()
        loop = asyncio.get_running_loop()
        await asyncio.gather(
            *(loop.connect_accepted_socket(lambda: _Connection(self), sock) for sock in waiting),
            return_exceptions=True,
        )
        for connection in list(self.connections):
            connection.close_if_idle()

    def abort_all(self) -> None:
        """Close all connections immediately, including those with requests in progress."""
        for connection in list(self.connections):
            connection.abort()


def _accept_waiting(descriptor: int) -> list[socket.socket]:
    """Return the connections that wait at a listening socket."""
    accepted = []
    with socket.socket(fileno=os.dup(descriptor)) as listener:
        listener.setblocking(False)
        while len(accepted) < LISTEN_BACKLOG:
            try:
                sock, _ = listener.accept()
            except ConnectionAbortedError:
                continue
            except OSError:
                break
            sock.setblocking(False)
            accepted.append(sock)
    return accepted


class _Connection(asyncio.BufferedProtocol):
    """Connection of one caller."""

    def __init__(self, server: IngressServer) -> None:
        self.server = server
        self.lost = False
        self.close_after_response = False
        self._loop = asyncio.get_running_loop()
        self._parser = httptools.HttpRequestParser(self)
        self._partial_request: _PartialRequest | None = None
        # Bytes received since the last complete request, and since its last body bytes.
        self._received_bytes = 0
        self._overhead_bytes = 0
        self._pipelined_requests: deque[IngressRequest] = deque()
        self._exchange: IngressExchange | None = None
        self._task: asyncio.Task[None] | None = None
        self._timer: asyncio.TimerHandle | None = None
        self._drain_waiter: asyncio.Future[None] | None = None
        # Whether further input is dropped, and the response that says so while another is sent.
        self._rejected = False
        self._rejection: bytes | None = None
        self._input_dropped = False
        self._reading_paused = False
        self._used = False
        self._patient = False
        self._wide = False

    # --- interface of IngressExchange and IngressServer ----------------------------------------

    def write(self, data: bytes | bytearray) -> None:
        if self.lost:
            return
        patient = len(data) > MIN_RECEIVE_BUFFER_BYTES
        if patient and not self._patient:
            # The caller may pause while it reads, as long as it may while it sends.
            self._set_patient(True)
        self._transport.write(data)

    def _set_patient(self, patient: bool) -> None:
        self._patient = patient
        idle_ms = int(self.server.limits.idle_timeout_s * 1000)
        sock = self._transport.get_extra_info("socket")
        set_user_timeout(
            sock, max(idle_ms, TCP_USER_TIMEOUT_MS) if patient else TCP_USER_TIMEOUT_MS
        )

    async def drain(self, until: float = float("inf")) -> None:
        """Wait while the write buffer is full; close the connection if it is at the time `until`."""
        if self._drain_waiter is None:
            return
        timer = self._loop.call_at(until, self.abort) if until < float("inf") else None
        try:
            await self._drain_waiter
        finally:
            if timer is not None:
                timer.cancel()

    def abort(self) -> None:
        exchange = self._exchange
        if exchange is not None and exchange.started and not exchange.request.accepts_chunks:
            # A close would mark the end of the body.
            sock = self._transport.get_extra_info("socket")
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        self._transport.abort()

    def has_next_request(self) -> bool:
        """Return whether a further request has arrived, in whole or in part."""
        return (
            self._partial_request is not None
            or bool(self._pipelined_requests)
            or self._rejection is not None
        )

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress, arriving or expected."""
        if self._task is not None or self._rejected or self.has_next_request():
            return
        if not self._used:
            # Its caller has just opened it to send a request.
            self._start_timer(UNUSED_CLOSE_S, self._transport.close)
        elif not self._has_unread_input():
            self._transport.close()

    def close_for_another(self) -> bool:
        """Close the connection unless a request is in progress, and return whether it is closed."""
        if self._task is not None:
            return False
        if self._partial_request is not None:
            self._rejected = True
            self._transport.write(
                _encode_rejection(
                    503,
                    ResultCode.CONNECTIONS_FULL,
                    "this daemon has as many connections as it may",
                    REJECTED_RETRY_AFTER_S,
                )
            )
        self.server.on_reject(ResultCode.CONNECTIONS_FULL)
        # The loop closes it in its next turn; until then it must not be chosen again.
        self.server.connections.pop(self)
        self._transport.abort()
        self.lost = True
        return True

    def _has_unread_input(self) -> bool:
        poll = select.poll()
        poll.register(self._transport.get_extra_info("socket").fileno(), select.POLLIN)
        return bool(poll.poll(0))

    # --- asyncio.BufferedProtocol --------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        full = len(self.server.connections) >= self.server.limits.max_connections
        if full and not self.server.close_silent():
            self.server.on_reject(ResultCode.CONNECTIONS_FULL)
            transport.abort()
            return
        self.server.connections[self] = None
        set_tcp_options(transport.get_extra_info("socket"))
        transport.set_write_buffer_limits(WRITE_HIGH_WATER_MARK_BYTES)
        idle_s = self.server.limits.idle_timeout_s
        self._start_timer(UNUSED_CLOSE_S if self.server.stopping else idle_s, transport.close)

    def get_buffer(self, sizehint: int) -> memoryview:
        return self.server.input.get()

    def buffer_updated(self, nbytes: int) -> None:
        data = self.server.input.take(nbytes)
        if self._rejected:
            self._input_dropped = True
            return
        self.server.connections.move_to_end(self)
        self._received_bytes += nbytes
        self._overhead_bytes += nbytes
        try:
            self._parser.feed_data(data)
        except httptools.HttpParserUpgrade:
            self._reject(400, ResultCode.MALFORMED_HTTP, "protocol upgrades are not served")
        except httptools.HttpParserError as error:
            # A rejected request makes the parser fail as well.
            if not self._rejected:
                self._reject(400, ResultCode.MALFORMED_HTTP, str(error))
        else:
            self._check_sizes()

    def eof_received(self) -> bool:
        return False

    def connection_lost(self, exc: Exception | None) -> None:
        self.lost = True
        self.server.connections.pop(self, None)
        self.server.report_end()
        self._stop_timer()
        self.resume_writing()
        self._drop_requests()
        if self._task is not None and self._exchange is not None:
            if self._exchange.cancel_when_caller_gone:
                self._task.cancel()

    def pause_writing(self) -> None:
        self._drain_waiter = self._loop.create_future()

    def resume_writing(self) -> None:
        if self._drain_waiter is not None:
            if not self._drain_waiter.done():
                self._drain_waiter.set_result(None)
            self._drain_waiter = None

    # --- callbacks of the httptools parser -----------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a new request."""
        if self._rejected:
            raise ValueError("a request before this one was rejected")
        self._used = True
        hold = RequestHold(self.server.memory, self._give_up)
        self._partial_request = _PartialRequest(hold, received_at=self._loop.time())
        if self._task is None:
            self._start_timer(self.server.limits.request_timeout_s, self._reject_slow_request)

    def on_url(self, url: bytes) -> None:
        """Append a part of the target."""
        assert self._partial_request is not None
        self._partial_request.target += url

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailer fields are dropped (RFC 9110, section 6.5.1)."""
        partial = self._partial_request
        assert partial is not None
        if partial.head_complete:
            return
        partial.fields.append((name, value.rstrip(b" \t")))
        partial.weight += weigh_field(name, value)

    def on_headers_complete(self) -> None:
        """Mark the head as complete and send ``100 Continue`` if the caller expects it."""
        partial = self._partial_request
        assert partial is not None
        partial.head_complete = True
        self._overhead_bytes = 0
        if self._task is None:
            # A large body over a slow link may take longer to arrive than a head may.
            self._start_timer(self.server.limits.idle_timeout_s, self._reject_slow_request)
        size = 0
        for name, value in partial.fields:
            match name.lower():
                case b"content-length" if value.isdigit():
                    size = int(value[:20])
                case b"expect":
                    partial.expects_continue = value.lower() == b"100-continue"
        if size > self.server.limits.max_body_bytes:
            self._reject(413, ResultCode.BODY_TOO_LARGE, "body is too large")
        elif not self.server.memory.has_room(partial.weigh() + weigh_body(size)):
            self._reject(503, ResultCode.MEMORY_FULL, MEMORY_REASON, REJECTED_RETRY_AFTER_S)
        elif self._task is None:
            self._send_continue(partial)
        if self._rejected:
            raise ValueError("the body of this request is not read")

    def on_body(self, body: bytes) -> None:
        """Append bytes to the body."""
        assert self._partial_request is not None
        self._partial_request.body += body
        self._overhead_bytes = 0

    def on_message_complete(self) -> None:
        """Queue the complete request, and serve it if no other is in progress."""
        partial, self._partial_request = self._partial_request, None
        assert partial is not None
        self._set_wide(False)
        self._received_bytes = self._overhead_bytes = 0
        if self._parser.should_upgrade():
            # The bytes that follow would not be HTTP; the parser raises HttpParserUpgrade next.
            partial.hold.release()
            return
        self._pipelined_requests.append(
            IngressRequest(
                self._parser.get_method(),
                bytes(partial.target),
                partial.fields,
                partial.body,
                partial.received_at,
                self._parser.should_keep_alive(),
                self._parser.get_http_version() != "1.0",
                partial.hold,
            )
        )
        partial.hold.resize(partial.weigh())
        if self._rejected:
            return
        if self._task is None:
            self._serve_next()
        elif len(self._pipelined_requests) > MAX_PIPELINED_REQUESTS and not self._reading_paused:
            self._reading_paused = True
            self._transport.pause_reading()

    # --- internal ------------------------------------------------------------------------------

    def _check_sizes(self) -> None:
        partial, limits = self._partial_request, self.server.limits
        if partial is None:
            return
        if not partial.head_complete and self._received_bytes > limits.max_header_bytes:
            self._reject(431, ResultCode.HEADER_TOO_LARGE, "header section is too large")
        elif partial.head_complete and self._overhead_bytes > limits.max_header_bytes:
            self._reject(431, ResultCode.HEADER_TOO_LARGE, "chunk header or trailers are too large")
        elif len(partial.body) > limits.max_body_bytes:
            self._reject(413, ResultCode.BODY_TOO_LARGE, "body is too large")
        else:
            self._set_wide(len(partial.body) > LARGE_RECEIVE_BUFFER_BYTES)
            unread = 2 * LARGE_RECEIVE_BUFFER_BYTES if self._wide else 0
            partial.hold.resize(partial.weigh() + unread)

    def _set_wide(self, wide: bool) -> None:
        """Have the kernel keep more unread bytes while a large body arrives, over a long path."""
        if wide == self._wide:
            return
        self._wide = wide
        size = LARGE_RECEIVE_BUFFER_BYTES if wide else RECEIVE_BUFFER_BYTES
        sock = self._transport.get_extra_info("socket")
        sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, size)
        sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_WINDOW_CLAMP, size)

    def _give_up(self) -> None:
        """Refuse the requests that have not been started, since there is no memory for them."""
        self._drop_requests()
        self._reject(503, ResultCode.MEMORY_FULL, MEMORY_REASON, REJECTED_RETRY_AFTER_S)

    def _drop_requests(self) -> None:
        """Release the requests that have not been started."""
        partial, self._partial_request = self._partial_request, None
        if partial is not None:
            partial.hold.release()
        for request in self._pipelined_requests:
            if request.hold is not None:
                request.hold.release()
        self._pipelined_requests.clear()

    def _send_continue(self, partial: _PartialRequest) -> None:
        """Ask for the body if the caller waits for that; must not come within another response."""
        if partial.expects_continue and not partial.body:
            self._transport.write(CONTINUE_RESPONSE)
        partial.expects_continue = False

    def _serve_next(self) -> None:
        self._stop_timer()
        if self._patient:
            self._set_patient(False)
        request = self._pipelined_requests.popleft()
        if request.hold is not None:
            request.hold.settle()
        self._exchange = IngressExchange(self, request)
        self._task = self._loop.create_task(self._run_handler(self._exchange))
        self.server.tasks.add(self._task)
        self._task.add_done_callback(self._on_handler_done)

    async def _run_handler(self, exchange: IngressExchange) -> None:
        try:
            await self.server.handle(exchange)
        except Exception:
            if exchange.started:
                exchange.abort()
            else:
                body = error_body(ResultCode.INTERNAL, "unknown", "internal error")
                await exchange.send(500, [(b"Content-Type", JSON_TYPE.encode())], body)
            raise
        # The handler is done with the request, but the next response has to wait for this one.
        await self.drain()

    def _on_handler_done(self, task: asyncio.Task[None]) -> None:
        self.server.tasks.discard(task)
        self.server.report_end()
        if self._exchange is not None:
            self._exchange.reservation.release()
            if self._exchange.request.hold is not None:
                self._exchange.request.hold.release()
        self._task = self._exchange = None
        if not task.cancelled() and task.exception() is not None:
            self._loop.call_exception_handler(
                {"message": "request handler failed", "exception": task.exception(), "task": task}
            )
        if self.lost:
            return
        self.server.connections.move_to_end(self)
        if self.close_after_response or task.cancelled():
            self._transport.close()
            return
        if self._reading_paused and len(self._pipelined_requests) <= MAX_PIPELINED_REQUESTS:
            self._reading_paused = False
            self._transport.resume_reading()
        if self._pipelined_requests:
            self._serve_next()
        elif self._rejection is not None:
            self._write_last(self._rejection)
        elif self._partial_request is not None:
            self._send_continue(self._partial_request)
            self._start_timer(self.server.limits.request_timeout_s, self._reject_slow_request)
        else:
            self._start_timer(self.server.limits.idle_timeout_s, self._transport.close)
            if self.server.stopping:
                self.close_if_idle()

    def _reject_slow_request(self) -> None:
        self._reject(408, ResultCode.SLOW_REQUEST, "request took too long to arrive")

    def _reject(
        self, status: int, code: ResultCode, reason: str, retry_after_s: float | None = None
    ) -> None:
        """Reject the request that is arriving, after the responses to those before it."""
        self._rejected = True
        self.server.on_reject(code)
        partial, self._partial_request = self._partial_request, None
        if partial is not None:
            partial.hold.release()
        response = _encode_rejection(status, code, reason, retry_after_s)
        if self._task is not None:
            # An error response must not be inserted into the bytes of the one that is being sent.
            self._rejection = response
            return
        self._write_last(response)

    def _write_last(self, response: bytes) -> None:
        """Write the last response on the connection, and close it once the caller could read it."""
        self._rejection = None
        self._transport.write(response)
        try:
            self._transport.write_eof()
        except OSError:
            # The caller has closed the connection, and its host answered the response with a reset.
            self._transport.abort()
            return
        self._linger(self._loop.time() + MAX_LINGERING_S)

    def _linger(self, until: float) -> None:
        """Close once the caller has stopped sending, and at the loop time `until` at the latest."""
        self._input_dropped = False
        wait_s = min(LINGERING_CLOSE_S, until - self._loop.time())
        self._start_timer(wait_s, lambda: self._end_linger(until))

    def _end_linger(self, until: float) -> None:
        if self._input_dropped and self._loop.time() < until:
            self._linger(until)
        else:
            self._transport.abort()

    def _start_timer(self, delay_s: float, callback: Callable[[], None]) -> None:
        self._stop_timer()
        self._timer = self._loop.call_later(delay_s, callback)

    def _stop_timer(self) -> None:
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
