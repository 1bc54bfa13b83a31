"""Connections to endpoints, which pass on heads and bodies of responses as they are received.

`httptools` parses. This module decides which bytes belong to which request, when a connection can
be reused, and whether a response is complete.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import httptools

from magnoliarouter.core.framing import (
    MAX_BODY_BYTES,
    ConnectionEnd,
    Framing,
    determine_framing,
    is_whole_at_end,
)
from magnoliarouter.core.status import INFORMATIONAL_STATUSES, find_status_error

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "ResponseHead",
    "UpstreamConnection",
    "UpstreamError",
    "UpstreamErrorKind",
    "UpstreamPool",
    "set_user_timeout",
    "split_address",
]

HeaderFields = list[tuple[bytes, bytes]]

# TCP retransmits a lost SYN only after 1 s; trying another endpoint is faster.
CONNECT_TIMEOUT_S = 0.4
# A timer that runs later than this shows that the process stalled.
STALL_S = 0.1
# Bytes that stay unacknowledged for this long mean a broken network path, unless the receive buffer
# of the peer is full: that counts in the same way.
TCP_USER_TIMEOUT_MS = 1_500
# A peer that reads nothing for a while still has room for this many bytes.
MIN_RECEIVE_BUFFER_BYTES = 32_768
# A network path that drops packets silently is detected after idle + probes * interval = 3 s. That is
# the time (`contact_s`) after which a daemon counts as in contact again after such a disturbance.
TCP_KEEPALIVE_IDLE_S = 1
TCP_KEEPALIVE_INTERVAL_S = 1
TCP_KEEPALIVE_PROBES = 2
# Part of a large body that is handed to the transport at a time, which copies what it cannot send.
SEND_PART_BYTES = 65_536
# Memory of the unread parts of responses above which reading from the endpoint pauses, so that neither
# a slow caller nor the endpoint can exhaust it; each part takes this much beside its bytes.
READ_HIGH_WATER_MARK_BYTES = 65_536
PART_OVERHEAD_BYTES = 64
FIELD_OVERHEAD_BYTES = 256
# Endpoints that announce no keep-alive timeout kept idle connections open for at least this long in
# every trial.
DEFAULT_KEEP_ALIVE_S = 0.5
# Reuse ends this long before the endpoint closes an idle connection, so that a request is not sent
# while the connection is being closed.
KEEP_ALIVE_MARGIN_S = 0.4
# Bytes of a head with the informational responses before it, of a chunk header, or of trailers.
MAX_OVERHEAD_BYTES = 65_536
# Header fields of a response; each takes some hundred bytes however short it is.
MAX_FIELDS = 256
# Responses to other requests that are dropped while one is awaited.
MAX_SKIPPED_RESPONSES = 16


class UpstreamErrorKind(Enum):
    """How a request to an endpoint failed."""

    UNREACHABLE = "unreachable"
    RESET = "reset"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"
    TOO_LARGE = "too large"


class UpstreamError(Exception):
    """A request failed; only `UpstreamErrorKind.UNREACHABLE` proves that nothing was sent."""

    def __init__(self, kind: UpstreamErrorKind, detail: str = "") -> None:
        super().__init__(f"{kind.value}: {detail}" if detail else kind.value)
        self.kind = kind


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """Status and header fields of a response.

    Parameters
    ----------
    status : int
        HTTP status.
    fields : list of (bytes, bytes)
        Header fields as received.
    framing : Framing
        What marks the end of the body.
    """

    status: int
    fields: HeaderFields
    framing: Framing


_END_OF_BODY = object()


def _refuse_body(limit: int) -> UpstreamError:
    return UpstreamError(UpstreamErrorKind.TOO_LARGE, f"body has over {limit} bytes")


def _weigh_item(item: object) -> int:
    """Return the bytes that a part of a response takes while it is unread."""
    if isinstance(item, bytes):
        return len(item) + PART_OVERHEAD_BYTES
    if isinstance(item, ResponseHead):
        size = sum(len(name) + len(value) for name, value in item.fields)
        return size + FIELD_OVERHEAD_BYTES * (1 + len(item.fields))
    return PART_OVERHEAD_BYTES


class UpstreamConnection(asyncio.Protocol):
    """One connection to an endpoint, used by one request at a time.

    Parameters
    ----------
    clock : callable
        Loop time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._transport: asyncio.Transport | None = None
        self._parser = httptools.HttpResponseParser(self)
        self._received_items: deque[object] = deque()
        self._unread_bytes = 0
        self._reading_paused = False
        self._waiter: asyncio.Future[None] | None = None
        self._fields: HeaderFields = []
        self._in_response = False
        self._framing = Framing.NONE
        self._in_head = False
        # Bytes since the parser last passed on a head, a part of a body or an end.
        self._overhead_bytes = 0
        self._bodiless = False
        self._close_after_response = False
        self._busy = False
        self._response_pending = False
        self._peer_closed = False
        self._skipping = False
        self._skipped = 0
        self._patient = False
        # The rest of the body of the request, and whether the transport takes no more for now.
        self._unsent = memoryview(b"")
        self._writing_paused = False
        self.lost = False
        # Whether a request without an id was sent here: a response without one may be its copy.
        self.carried_unnamed_request = False
        # Whether a response here named its request, as the endpoint's other responses then do.
        self.names_responses = False
        self.keep_alive_s = DEFAULT_KEEP_ALIVE_S
        self.idle_since = 0.0

    # --- public interface ----------------------------------------------------------------------

    def send(self, head: bytes, body: bytes | bytearray = b"", bodiless: bool = False) -> None:
        """Send a complete request.

        Parameters
        ----------
        head : bytes
            Encoded head.
        body : bytes or bytearray
            Body, which must not change until it is sent.
        bodiless : bool
            Whether the response has no body regardless of its header fields, as after HEAD.
        """
        self._busy, self._response_pending, self._bodiless = True, True, bodiless
        self._skipped = 0
        assert self._transport is not None
        patient = len(head) + len(body) > MIN_RECEIVE_BUFFER_BYTES
        if patient != self._patient and not self.lost:
            # The endpoint may read the body when a place is free; the caller's deadline ends the wait.
            self._patient = patient
            sock = self._transport.get_extra_info("socket")
            set_user_timeout(sock, 0 if patient else TCP_USER_TIMEOUT_MS)
        if not patient:
            self._transport.write(head + body)
            return
        self._transport.write(head)
        self._unsent = memoryview(body)
        self._send_parts()

    def _send_parts(self) -> None:
        """Send the body as far as the endpoint takes it."""
        assert self._transport is not None
        while self._unsent and not self._writing_paused and not self._transport.is_closing():
            part, self._unsent = self._unsent[:SEND_PART_BYTES], self._unsent[SEND_PART_BYTES:]
            self._transport.write(part)

    async def read_head(self) -> ResponseHead:
        """Return the head of the next response, which may respond to another request.

        Raises
        ------
        UpstreamError
            The connection was closed, or the received bytes are not a valid response.
        """
        if self._skipping:
            await self.skip_body()
        item = await self._read_item()
        if isinstance(item, ResponseHead):
            return item
        raise UpstreamError(UpstreamErrorKind.MALFORMED, "a body without a head")

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or None after a complete body."""
        item = await self._read_item()
        if isinstance(item, bytes):
            return item
        if item is _END_OF_BODY:
            return None
        raise UpstreamError(UpstreamErrorKind.MALFORMED, "a head within a body")

    async def read_body(self, limit: int = MAX_BODY_BYTES) -> bytes:
        """Return the rest of the body.

        Parameters
        ----------
        limit : int
            Largest body in bytes.

        Raises
        ------
        UpstreamError
            The body is not whole, or larger than `limit`.
        """
        body = bytearray()
        while (part := await self.read_part()) is not None:
            body += part
            if len(body) > limit:
                raise _refuse_body(limit)
        return bytes(body)

    async def skip_body(self) -> None:
        """Drop the rest of a response to another request; that of this one is still due.

        If this is cancelled, `read_head` continues it.

        Raises
        ------
        UpstreamError
            The body is not whole or too large, or these are too many responses to drop.
        """
        if not self._skipping:
            self._skipping, self._skipped = True, self._skipped + 1
        if self._skipped > MAX_SKIPPED_RESPONSES:
            reason = f"over {MAX_SKIPPED_RESPONSES} responses to other requests"
            raise UpstreamError(UpstreamErrorKind.MALFORMED, reason)
        size = 0
        while (part := await self.read_part()) is not None:
            size += len(part)
            if size > MAX_BODY_BYTES:
                raise _refuse_body(MAX_BODY_BYTES)
        self._skipping = False
        if not self._received_items:
            self._response_pending = True

    def record_keep_alive(self, seconds: float | None) -> None:
        """Limit the reuse of the connection by the endpoint's keep-alive timeout, if announced."""
        if seconds is not None:
            self.keep_alive_s = max(0.0, seconds - KEEP_ALIVE_MARGIN_S)

    def end_after_response(self) -> None:
        """Have the connection closed when it is released, so that it carries no further request."""
        self._close_after_response = True

    def release(self) -> bool:
        """Mark the connection as idle and return whether it can be reused; close it if not."""
        self._busy = False
        self.idle_since = self._clock()
        # After a response to HEAD, the parser waits for the body that the head announces, and would
        # read the next response as that body.
        reusable = (
            not self.lost
            and not self._received_items
            and not self._response_pending
            and not self._skipping
            and not self._in_response
            and not self._close_after_response
            and not self._bodiless
            and self._transport is not None
            and not self._transport.is_closing()
            and not self._unsent
            and self._transport.get_write_buffer_size() == 0
        )
        if not reusable:
            self.close()
        return reusable

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may serve a request."""
        return (
            not self.lost
            and not self._received_items
            and self._transport is not None
            and not self._transport.is_closing()
            and now - self.idle_since < self.keep_alive_s
        )

    def close(self) -> None:
        """Close immediately, so that the endpoint cancels the request in progress."""
        self._unsent = memoryview(b"")
        if self._transport is not None:
            self._transport.abort()

    async def _read_item(self) -> object:
        while not self._received_items:
            if self.lost:
                raise UpstreamError(UpstreamErrorKind.RESET, "connection lost")
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        item = self._received_items.popleft()
        self._unread_bytes -= _weigh_item(item)
        if self._reading_paused and self._unread_bytes < READ_HIGH_WATER_MARK_BYTES:
            self._reading_paused = False
            assert self._transport is not None
            self._transport.resume_reading()
        if isinstance(item, UpstreamError):
            raise item
        return item

    def _fail(self, reason: str) -> None:
        """Close the connection because the received bytes are no valid response."""
        self._close_after_response = True
        self._add_item(UpstreamError(UpstreamErrorKind.MALFORMED, reason))
        self.close()

    def _add_item(self, item: object) -> None:
        self._overhead_bytes = 0
        self._unread_bytes += _weigh_item(item)
        self._received_items.append(item)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # --- asyncio.Protocol ----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Store the transport and set the TCP options of its socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_tcp_options(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse received bytes."""
        if not self._busy:
            # Bytes received on an idle connection belong to no request.
            self.close()
            return
        self._overhead_bytes += len(data)
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._fail(str(error))
            return
        if self._overhead_bytes > MAX_OVERHEAD_BYTES:
            self._fail(f"over {MAX_OVERHEAD_BYTES} bytes of head, chunk header or trailers")
            return
        if self._unread_bytes > READ_HIGH_WATER_MARK_BYTES and not self._reading_paused:
            self._reading_paused = True
            assert self._transport is not None
            self._transport.pause_reading()

    def eof_received(self) -> None:
        """Record that the endpoint has sent everything; the transport then closes."""
        self._peer_closed = True

    def connection_lost(self, exc: Exception | None) -> None:
        """Report to the reader whether the response is complete or how it failed."""
        self.lost = True
        self._unsent = memoryview(b"")
        if not self._busy:
            return
        end = self._determine_end(exc)
        if self._in_response and is_whole_at_end(self._framing, end):
            self._in_response = False
            self._add_item(_END_OF_BODY)
        else:
            kind = UpstreamErrorKind.TRUNCATED if self._in_response else UpstreamErrorKind.RESET
            self._add_item(UpstreamError(kind, type(exc).__name__ if exc else end.value))

    def pause_writing(self) -> None:
        """Hold the rest of the body back."""
        self._writing_paused = True

    def resume_writing(self) -> None:
        """Go on with the body."""
        self._writing_paused = False
        self._send_parts()

    def _determine_end(self, exc: Exception | None) -> ConnectionEnd:
        if exc is not None:
            return ConnectionEnd.RESET
        return ConnectionEnd.CLOSED_BY_PEER if self._peer_closed else ConnectionEnd.CLOSED_HERE

    # --- callbacks of the httptools parser -----------------------------------------------------

    def on_message_begin(self) -> None:
        """Start a new response."""
        self._in_response, self._response_pending, self._fields = True, True, []
        self._in_head = True

    def on_header(self, name: bytes, value: bytes) -> None:
        """Add a header field; trailer fields are dropped (RFC 9110, section 6.5.1)."""
        if self._in_head:
            if len(self._fields) == MAX_FIELDS:
                raise ValueError(f"over {MAX_FIELDS} header fields")
            self._fields.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """Pass on the head and determine how the body ends."""
        self._in_head = False
        status = self._parser.get_status_code()
        if status in INFORMATIONAL_STATUSES:
            return
        reason = find_status_error(status)
        if reason:
            self._fail(reason)
            return
        self._framing = determine_framing(status, self._fields, self._bodiless)
        if self._framing is Framing.UNSUPPORTED:
            self._fail("body in an unsupported transfer coding, or with two lengths")
            return
        if not self._parser.should_keep_alive():
            self._close_after_response = True
        self._add_item(ResponseHead(status, self._fields, self._framing))
        if self._bodiless:
            self._in_response = False
            self._add_item(_END_OF_BODY)

    def on_body(self, body: bytes) -> None:
        """Pass on bytes of the body."""
        self._add_item(body)

    def on_message_complete(self) -> None:
        """Pass on the end of the response."""
        if self._parser.get_status_code() in INFORMATIONAL_STATUSES or self._bodiless:
            return
        self._in_response = self._response_pending = False
        self._add_item(_END_OF_BODY)


def set_tcp_options(sock: socket.socket) -> None:
    """Disable Nagle's algorithm and let the kernel detect a broken network path."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, TCP_KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, TCP_KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, TCP_KEEPALIVE_PROBES)
    set_user_timeout(sock, TCP_USER_TIMEOUT_MS)


def set_user_timeout(sock: socket.socket, milliseconds: int) -> None:
    """Set how long sent bytes may stay unacknowledged or unsent; 0 for the system's own limit."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, milliseconds)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``"host:port"``; ValueError if the port is not a number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class UpstreamPool:
    """Pool of idle connections by address.

    Parameters
    ----------
    clock : callable
        Loop time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened_connections = 0

    async def acquire(self, address: str) -> UpstreamConnection:
        """Return an idle connection to an address, or a new one.

        Parameters
        ----------
        address : str
            ``"host:port"``.

        Raises
        ------
        UpstreamError
            No connection could be opened, so nothing was sent.
        """
        idle = self._idle.get(address, [])
        while idle:
            connection = idle.pop()
            if connection.is_usable(self._clock()):
                return connection
            connection.close()
        return await self.connect(address)

    async def connect(self, address: str) -> UpstreamConnection:
        """Return a new connection to an address; raises as `acquire` does."""
        until = self._clock() + CONNECT_TIMEOUT_S
        try:
            try:
                connection = await self._open(address)
            except TimeoutError:
                if self._clock() - until < STALL_S:
                    raise
                # This process stalled, so that the timeout says nothing of the network.
                connection = await self._open(address)
        except (OSError, ValueError, OverflowError) as error:
            raise UpstreamError(
                UpstreamErrorKind.UNREACHABLE, f"{address}: {type(error).__name__}"
            ) from error
        self.opened_connections += 1
        return connection

    async def _open(self, address: str) -> UpstreamConnection:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            _, connection = await asyncio.get_running_loop().create_connection(
                lambda: UpstreamConnection(self._clock), *split_address(address)
            )
        return connection

    async def can_connect(self, address: str) -> bool:
        """Return whether a new connection to an address can be opened; it is added to the pool."""
        try:
            connection = await self.connect(address)
        except UpstreamError:
            return False
        self.release(address, connection)
        return True

    async def is_refused(self, address: str) -> bool:
        """Return whether the host of an address refuses connections: no process listens there."""
        try:
            connection = await self.connect(address)
        except UpstreamError as error:
            return isinstance(error.__cause__, ConnectionRefusedError)
        self.release(address, connection)
        return False

    def release(self, address: str, connection: UpstreamConnection) -> None:
        """Return a connection to the pool if it can be reused; close it if not."""
        if connection.release() and connection.keep_alive_s > 0:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.close()

    def drop(self, address: str) -> None:
        """Close the idle connections of an address that is no longer used."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)
