"""Transports for the HTTP calls to the platform."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Protocol

from magnoliarouter.store.results import Failure, Unavailable
from magnoliarouter.web.upstream import UpstreamError, UpstreamErrorKind

if TYPE_CHECKING:
    from collections.abc import Callable

    import aiohttp

    from magnoliarouter.store.wire import StoreCall
    from magnoliarouter.web.upstream import ResponseHead, UpstreamConnection, UpstreamPool

__all__ = ["SessionTransport", "Transport", "UpstreamTransport"]


class Transport(Protocol):
    """Sends calls to one address."""

    async def exchange(
        self, call: StoreCall, timeout: float, limit: int
    ) -> tuple[int, bytes] | Unavailable:
        """Send a call and return the status and body, or why there is no usable response.

        Parameters
        ----------
        call : StoreCall
            Call to send.
        timeout : float
            Longest time in seconds until the response is complete.
        limit : int
            Largest response body in bytes.
        """


class SessionTransport:
    """Sends calls over an aiohttp session.

    Parameters
    ----------
    base_url : str
        URL of the platform, such as ``"http://127.0.0.1:8000"``.
    session : aiohttp.ClientSession
        HTTP session of the process; it must not retry requests by itself.
    """

    def __init__(self, base_url: str, session: aiohttp.ClientSession) -> None:
        self._base_url = base_url
        self._session = session

    async def exchange(
        self, call: StoreCall, timeout: float, limit: int
    ) -> tuple[int, bytes] | Unavailable:
        """Send a call and return the status and body, or why there is no usable response."""
        import aiohttp
        from yarl import URL

        from magnoliarouter.web.bodies import BodyTooLarge, read_body

        url = URL(self._base_url + call.target, encoded=True)
        try:
            async with asyncio.timeout(timeout):
                async with self._session.request(
                    call.method, url, headers=call.headers, data=call.body, allow_redirects=False
                ) as response:
                    return response.status, await read_body(response, limit)
        except BodyTooLarge:
            return _too_large(limit)
        except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as error:
            return Unavailable(type(error).__name__, Failure.CONNECT)
        except TimeoutError:
            return Unavailable(f"no answer within {timeout:g} s", Failure.TIMEOUT)
        except (aiohttp.ClientError, OSError, ValueError) as error:
            return Unavailable(type(error).__name__, Failure.BROKEN)


class UpstreamTransport:
    """Sends calls over the connection pool of the gateway, which needs no other HTTP library.

    Parameters
    ----------
    address : str
        ``"host:port"`` of the store.
    pool : UpstreamPool
        Pool of HTTP connections.
    on_head : callable
        Called with the head of each response, also one that belongs to another request.
    is_other : callable
        Returns whether a head belongs to a request of another user of the pool; these calls have
        no id. Such a response is dropped.
    may_send : callable
        Returns whether a call may still be sent, once its connection is open.
    """

    def __init__(
        self,
        address: str,
        pool: UpstreamPool,
        on_head: Callable[[ResponseHead], None] = lambda head: None,
        is_other: Callable[[ResponseHead], bool] = lambda head: False,
        may_send: Callable[[], bool] = lambda: True,
    ) -> None:
        self._address = address
        self._pool = pool
        self._on_head = on_head
        self._is_other = is_other
        self._may_send = may_send

    async def exchange(
        self, call: StoreCall, timeout: float, limit: int
    ) -> tuple[int, bytes] | Unavailable:
        """Send a call and return the status and body, or why there is no usable response."""
        connection: UpstreamConnection | None = None
        try:
            async with asyncio.timeout(timeout):
                connection = await self._pool.acquire(self._address)
                if not self._may_send():
                    return Unavailable("not sent: its permission ended", Failure.NOT_SENT)
                connection.carried_unnamed_request = True
                connection.send(self._encode(call))
                head = await self._read_head(connection)
                while self._is_other(head):
                    await connection.skip_body()
                    head = await self._read_head(connection)
                return head.status, await connection.read_body(limit)
        except TimeoutError:
            return Unavailable(f"no answer within {timeout:g} s", Failure.TIMEOUT)
        except UpstreamError as error:
            if error.kind is UpstreamErrorKind.TOO_LARGE:
                return _too_large(limit)
            unsent = error.kind is UpstreamErrorKind.UNREACHABLE
            return Unavailable(str(error), Failure.CONNECT if unsent else Failure.BROKEN)
        finally:
            if connection is not None:
                self._pool.release(self._address, connection)

    async def _read_head(self, connection: UpstreamConnection) -> ResponseHead:
        head = await connection.read_head()
        self._on_head(head)
        return head

    def _encode(self, call: StoreCall) -> bytes:
        lines = [f"{call.method} {call.target} HTTP/1.1", f"Host: {self._address}"]
        lines += [f"{name}: {value}" for name, value in call.headers.items()]
        if call.body is not None:
            lines.append("Content-Type: application/json")
            lines.append(f"Content-Length: {len(call.body)}")
        return "\r\n".join(lines).encode() + b"\r\n\r\n" + (call.body or b"")


def _too_large(limit: int) -> Unavailable:
    return Unavailable(f"answer of more than {limit} bytes", Failure.TOO_LARGE)
