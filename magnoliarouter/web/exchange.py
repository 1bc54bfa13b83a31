"""HTTP request of a caller and the exchange that sends its response."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

from circuits.web.events import response, stream

from magnoliarouter.web.errors import JSON_TYPE, error_body

if TYPE_CHECKING:
    from socket import socket

    from circuits.web.wrappers import Response

    from magnoliarouter.web.server import WebServer

__all__ = ["JSON_TYPE", "CallerGone", "Exchange", "HttpRequest", "error_body"]


class CallerGone(Exception):
    """The caller closed its connection before the response was complete."""


@dataclass(frozen=True, slots=True)
class HttpRequest:
    """Request as received from a caller.

    Parameters
    ----------
    method, path : str
        Method and path of the request line; the path excludes the query string.
    query : dict of str to str
        Query parameters; a repeated name has its last value.
    headers : dict of str to str
        Header fields, names in lower case.
    body : bytes
        Complete body.
    query_string : str
        Query string as received, without the question mark.
    """

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    query_string: str = ""

    @property
    def target(self) -> str:
        """Path and query string, as in a request line."""
        return f"{self.path}?{self.query_string}" if self.query_string else self.path


class Exchange:
    """One request and the methods that send its response.

    Parameters
    ----------
    server : WebServer
        Server that received the request.
    request : HttpRequest
        The request.
    circuits_response : circuits.web.wrappers.Response
        Response object prepared by circuits.web.
    """

    def __init__(
        self, server: WebServer, request: HttpRequest, circuits_response: Response
    ) -> None:
        self.request = request
        self.started = False
        self.finished = False
        self._server = server
        self._circuits_response = circuits_response
        self._sock: socket = circuits_response.request.sock

    async def send(self, status: int, body: bytes, headers: dict[str, str] | None = None) -> None:
        """Send a response with a complete body."""
        self._set_head(status, headers or {})
        self._circuits_response.body = body
        self.started = self.finished = True
        self._server.send_event(response(self._circuits_response))
        await self._server.wait_for_drain(self._sock)

    async def start(self, status: int, headers: dict[str, str]) -> None:
        """Send the head of a streamed response."""
        self._set_head(status, headers)
        self._circuits_response.stream = True
        # circuits.web knows no Content-Length for an empty tuple and therefore sends chunks.
        self._circuits_response.body = ()
        self.started = True
        self._server.send_event(response(self._circuits_response))

    async def write(self, data: bytes) -> None:
        """Send part of a streamed body and wait while the write buffer is full."""
        if data:
            self._server.send_event(stream(self._circuits_response, data))
            await self._server.wait_for_drain(self._sock)

    async def finish(self) -> None:
        """End a streamed body."""
        self.finished = True
        self._server.send_event(stream(self._circuits_response, None))
        await self._server.wait_for_drain(self._sock)

    def abort(self) -> None:
        """Close the connection immediately, so that the caller receives a truncated response."""
        self.finished = True
        self._server.close_connection(self._sock)

    def _set_head(self, status: int, headers: dict[str, str]) -> None:
        self._circuits_response.status = status
        self._circuits_response.headers["Content-Type"] = JSON_TYPE
        if self._server.draining:
            self._circuits_response.close = True
        for name, value in headers.items():
            self._circuits_response.headers[name] = value
