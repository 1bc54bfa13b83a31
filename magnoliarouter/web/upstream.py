"""Connections to endpoints: raw header fields out, heads and bodies in as they come.

`httptools` parses; this module owns what a proxy must decide itself: which bytes belong to which
request, when a connection may serve another one, and whether an answer is whole.
"""

from __future__ import annotations

import asyncio
import socket
from collections import deque
from dataclasses import dataclass
from enum import Enum
from typing import TYPE_CHECKING

import httptools

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["AnswerHead", "Broken", "Fault", "UpstreamConnection", "UpstreamPool", "split_address"]

Fields = list[tuple[bytes, bytes]]

# A first packet that is lost is sent again after a second only; another endpoint is sooner.
CONNECT_TIMEOUT_S = 0.4
# Unacknowledged bytes for this long mean that the path is gone, not that the peer is slow.
USER_TIMEOUT_MS = 1_500
# A silent path shows after idle + count * interval = 3 s, the platform's span of being in touch.
KEEPALIVE_IDLE_S = 1
KEEPALIVE_INTERVAL_S = 1
KEEPALIVE_COUNT = 2
# Bytes of one answer that wait for a slow caller before the endpoint is held back.
READ_HIGH_WATER_BYTES = 262_144
# An endpoint that names no time keeps idle connections at least this long in every trial seen.
DEFAULT_KEEP_S = 0.5
# A request must not cross the endpoint's close, so reuse ends this much before it.
KEEP_MARGIN_S = 0.4
INFORMATIONAL = range(100, 200)
BODILESS = (204, 304)


class Fault(Enum):
    """How an exchange with an endpoint failed."""

    UNREACHABLE = "unreachable"
    RESET = "reset"
    TRUNCATED = "truncated"
    MALFORMED = "malformed"


class Broken(Exception):
    """The exchange failed; only `Fault.UNREACHABLE` proves that nothing was sent."""

    def __init__(self, fault: Fault, detail: str = "") -> None:
        super().__init__(f"{fault.value}: {detail}" if detail else fault.value)
        self.fault = fault


@dataclass(frozen=True, slots=True)
class AnswerHead:
    """Status line and header fields of an answer.

    Parameters
    ----------
    status : int
        HTTP status.
    fields : list of (bytes, bytes)
        Header fields as received.
    """

    status: int
    fields: Fields


_END = object()


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
        self._items: deque[object] = deque()
        self._held_bytes = 0
        self._paused = False
        self._waiter: asyncio.Future[None] | None = None
        self._fields: Fields = []
        self._in_message = False
        self._until_close = False
        self._bodiless = False
        self._closing_answer = False
        self._busy = False
        self._owed = False
        self.lost = False
        self.keep_s = DEFAULT_KEEP_S
        self.idle_since = 0.0

    # --- what the user of the connection calls -------------------------------------------------

    def send(self, data: bytes, bodiless: bool = False) -> None:
        """Send a whole request.

        Parameters
        ----------
        data : bytes
            Head and body.
        bodiless : bool
            Whether the answer has no body whatever its head says, as after HEAD.
        """
        self._busy, self._owed, self._bodiless = True, True, bodiless
        assert self._transport is not None
        self._transport.write(data)

    async def read_head(self) -> AnswerHead:
        """Return the next answer's head, of which there may be more than one.

        Raises
        ------
        Broken
            The connection ended, or what came is no answer.
        """
        item = await self._next()
        if isinstance(item, AnswerHead):
            return item
        raise Broken(Fault.MALFORMED, "a body without a head")

    async def read_part(self) -> bytes | None:
        """Return the next bytes of the body, or None at its proper end."""
        item = await self._next()
        if isinstance(item, bytes):
            return item
        if item is _END:
            return None
        raise Broken(Fault.MALFORMED, "a head within a body")

    async def read_body(self) -> bytes:
        """Return the rest of the body."""
        parts = []
        while (part := await self.read_part()) is not None:
            parts.append(part)
        return b"".join(parts)

    def note_keep(self, seconds: float | None) -> None:
        """Take the idle time that the endpoint announced."""
        if seconds is not None:
            self.keep_s = max(0.0, seconds - KEEP_MARGIN_S)

    def release(self) -> bool:
        """End the use of the connection and return whether it may serve another request."""
        self._busy = False
        self.idle_since = self._clock()
        clean = (
            not self.lost
            and not self._items
            and not self._owed
            and not self._in_message
            and not self._closing_answer
            and not self._bodiless
            and self._transport is not None
            and not self._transport.is_closing()
            and self._transport.get_write_buffer_size() == 0
        )
        if not clean:
            self.close()
        return clean

    def is_usable(self, now: float) -> bool:
        """Return whether an idle connection may take a request."""
        return (
            not self.lost
            and not self._items
            and self._transport is not None
            and not self._transport.is_closing()
            and now - self.idle_since < self.keep_s
        )

    def close(self) -> None:
        """Close at once; the endpoint drops what it was doing for it."""
        if self._transport is not None:
            self._transport.abort()

    async def _next(self) -> object:
        while not self._items:
            if self.lost:
                raise Broken(Fault.RESET, "connection lost")
            self._waiter = asyncio.get_running_loop().create_future()
            try:
                await self._waiter
            finally:
                self._waiter = None
        item = self._items.popleft()
        if isinstance(item, bytes):
            self._held_bytes -= len(item)
            if self._paused and self._held_bytes < READ_HIGH_WATER_BYTES:
                self._paused = False
                assert self._transport is not None
                self._transport.resume_reading()
        if isinstance(item, Broken):
            raise item
        return item

    def _put(self, item: object) -> None:
        self._items.append(item)
        if self._waiter is not None and not self._waiter.done():
            self._waiter.set_result(None)

    # --- asyncio.Protocol ----------------------------------------------------------------------

    def connection_made(self, transport: asyncio.BaseTransport) -> None:
        """Take the socket."""
        assert isinstance(transport, asyncio.Transport)
        self._transport = transport
        set_liveness(transport.get_extra_info("socket"))

    def data_received(self, data: bytes) -> None:
        """Parse what came."""
        if not self._busy:
            # Bytes that nobody asked for belong to no request.
            self.close()
            return
        try:
            self._parser.feed_data(data)
        except (httptools.HttpParserError, httptools.HttpParserUpgrade) as error:
            self._closing_answer = True
            self._put(Broken(Fault.MALFORMED, str(error)))
            self.close()
            return
        if self._held_bytes > READ_HIGH_WATER_BYTES and not self._paused:
            self._paused = True
            assert self._transport is not None
            self._transport.pause_reading()

    def connection_lost(self, exc: Exception | None) -> None:
        """Tell the reader how the connection ended."""
        self.lost = True
        if not self._busy:
            return
        if self._in_message and self._until_close and exc is None:
            self._in_message = False
            self._put(_END)
        else:
            fault = Fault.TRUNCATED if self._in_message else Fault.RESET
            self._put(Broken(fault, type(exc).__name__ if exc else "end of connection"))

    # --- httptools -----------------------------------------------------------------------------

    def on_message_begin(self) -> None:
        """Start of an answer."""
        self._in_message, self._owed, self._fields = True, True, []

    def on_header(self, name: bytes, value: bytes) -> None:
        """One header field."""
        self._fields.append((name, value.rstrip(b" \t")))

    def on_headers_complete(self) -> None:
        """End of the head."""
        status = self._parser.get_status_code()
        if status in INFORMATIONAL:
            return
        names = {name.lower() for name, _ in self._fields}
        framed = b"content-length" in names or b"transfer-encoding" in names
        self._until_close = not framed and status not in BODILESS
        if not self._parser.should_keep_alive():
            self._closing_answer = True
        self._put(AnswerHead(status, self._fields))
        if self._bodiless:
            self._in_message = False
            self._put(_END)

    def on_body(self, body: bytes) -> None:
        """Bytes of the body."""
        self._held_bytes += len(body)
        self._put(body)

    def on_message_complete(self) -> None:
        """End of the answer."""
        if self._parser.get_status_code() in INFORMATIONAL or self._bodiless:
            return
        self._in_message = self._owed = False
        self._put(_END)


def set_liveness(sock: socket.socket) -> None:
    """Let the kernel notice a path that went silent."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEPALIVE_IDLE_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_S)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEPALIVE_COUNT)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, USER_TIMEOUT_MS)


def split_address(address: str) -> tuple[str, int]:
    """Return host and port of ``"host:port"``; ValueError if the port is no number."""
    host, _, port = address.rpartition(":")
    return host, int(port)


class UpstreamPool:
    """Idle connections by address.

    Parameters
    ----------
    clock : callable
        Loop time in seconds.
    """

    def __init__(self, clock: Callable[[], float]) -> None:
        self._clock = clock
        self._idle: dict[str, list[UpstreamConnection]] = {}
        self.opened = 0

    async def take(self, address: str) -> UpstreamConnection:
        """Return a connection to an address, idle or new.

        Parameters
        ----------
        address : str
            ``"host:port"``.

        Raises
        ------
        Broken
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
        """Return a new connection to an address; raises as `take` does."""
        loop = asyncio.get_running_loop()
        try:
            async with asyncio.timeout(CONNECT_TIMEOUT_S):
                _, connection = await loop.create_connection(
                    lambda: UpstreamConnection(self._clock), *split_address(address)
                )
        except (OSError, ValueError) as error:
            raise Broken(Fault.UNREACHABLE, f"{address}: {type(error).__name__}") from error
        self.opened += 1
        return connection

    async def can_connect(self, address: str) -> bool:
        """Return whether a new connection to an address can be opened, and keep it."""
        try:
            connection = await self.connect(address)
        except Broken:
            return False
        self.give_back(address, connection)
        return True

    def give_back(self, address: str, connection: UpstreamConnection) -> None:
        """Keep a connection whose exchange ended cleanly; close any other."""
        if connection.release() and connection.keep_s > 0:
            self._idle.setdefault(address, []).append(connection)
        else:
            connection.close()

    def drop(self, address: str) -> None:
        """Close the idle connections of an address that is used no longer."""
        for connection in self._idle.pop(address, []):
            connection.close()

    def close(self) -> None:
        """Close all idle connections."""
        for address in list(self._idle):
            self.drop(address)
