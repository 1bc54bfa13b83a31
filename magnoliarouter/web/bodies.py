"""Checks the heads of aiohttp responses, reads their bodies, and decides whether they are whole.

aiohttp itself detects that a body with a length or in chunks ends early. A body without either ends
with its connection, and aiohttp ends it in the same way whether the connection was closed or reset.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
from multidict import CIMultiDict, CIMultiDictProxy

from magnoliarouter.core.framing import (
    MAX_BODY_BYTES,
    ConnectionEnd,
    Framing,
    determine_framing,
    is_whole_at_end,
)
from magnoliarouter.core.status import find_status_error
from magnoliarouter.web.wellformed import find_field_error

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from aiohttp.client_proto import ResponseHandler
    from aiohttp.connector import Connection

__all__ = [
    "BodyTooLarge",
    "MalformedHead",
    "TrackedResponse",
    "iterate_body",
    "limit_parts",
    "read_body",
]


class BodyTooLarge(aiohttp.ClientPayloadError):
    """A body is larger than its reader takes."""


class MalformedHead(aiohttp.ClientError):
    """A head is not that of a final response, so that nothing in it may be read."""


class TrackedResponse(aiohttp.ClientResponse):
    """Response that checks its head, and remembers its connection.

    aiohttp itself accepts any three digits for a status and control characters in fields, decodes
    fields as UTF-8, and releases the connection when the body ends.
    """

    _body_protocol: ResponseHandler | None = None
    _decoded_headers: CIMultiDictProxy[str] | None = None

    async def start(self, connection: Connection) -> aiohttp.ClientResponse:
        """Read the head of the response; raises `MalformedHead` if it is none."""
        self._body_protocol = protocol = connection.protocol
        await super().start(connection)
        reason = find_status_error(self.status) or find_field_error(self.headers)
        if reason:
            # After an empty body, the connection has been released for reuse already.
            if protocol is not None:
                protocol.close()
            raise MalformedHead(reason)
        return self

    @property
    def headers(self) -> CIMultiDictProxy[str]:
        """Header fields decoded as Latin-1, as servers here encode them: their bytes pass unchanged."""
        if self._decoded_headers is None:
            fields = (
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in self.raw_headers
            )
            self._decoded_headers = CIMultiDictProxy(CIMultiDict(fields))
        return self._decoded_headers

    def find_connection_end(self) -> ConnectionEnd:
        """Return how the connection ended, after the body has ended with it."""
        protocol = self._body_protocol
        if protocol is None or isinstance(protocol.exception(), OSError):
            return ConnectionEnd.RESET
        return ConnectionEnd.CLOSED_BY_PEER


async def iterate_body(response: aiohttp.ClientResponse) -> AsyncIterator[bytes]:
    """Yield the parts of a body as they arrive.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response of a session that `open_session` opened.

    Raises
    ------
    aiohttp.ClientPayloadError
        The body is not whole.
    """
    async for part in response.content.iter_any():
        yield part
    reason = _find_truncation(response)
    if reason:
        raise aiohttp.ClientPayloadError(reason)


async def read_body(response: aiohttp.ClientResponse, limit: int = MAX_BODY_BYTES) -> bytes:
    """Return a whole body of at most `limit` bytes; raises `aiohttp.ClientPayloadError` if not.

    The connection of a response that is not read to its end is closed.
    """
    try:
        return b"".join([part async for part in limit_parts(iterate_body(response), limit)])
    except aiohttp.ClientPayloadError:
        response.close()
        raise


async def limit_parts(parts: AsyncIterator[bytes], limit: int) -> AsyncIterator[bytes]:
    """Yield the parts of a body; raises `BodyTooLarge` after `limit` bytes."""
    size = 0
    async for part in parts:
        size += len(part)
        if size > limit:
            raise BodyTooLarge(f"body has over {limit} bytes")
        yield part


def _find_truncation(response: aiohttp.ClientResponse) -> str:
    """Return why a body that has ended may not be whole, or an empty string if it is."""
    bodiless = response.method == "HEAD"
    framing = determine_framing(response.status, list(response.raw_headers), bodiless)
    if framing is Framing.UNSUPPORTED:
        return "body in an unsupported transfer coding, or with two lengths"
    if framing is not Framing.CLOSE:
        return ""
    if not isinstance(response, TrackedResponse):
        return "body without a length, on a connection that is not tracked"
    end = response.find_connection_end()
    return "" if is_whole_at_end(framing, end) else f"body without a length, connection {end.value}"
