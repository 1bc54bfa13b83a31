"""HTTP client sessions to endpoints and the platform."""

from __future__ import annotations

import aiohttp

from magnoliarouter.web.bodies import TrackedResponse

__all__ = ["open_session"]

CONNECT_TIMEOUT_S = 2.0
KEEPALIVE_S = 5.0


def open_session(reuse: bool = True) -> aiohttp.ClientSession:
    """Open a session that never retries a request by itself.

    Redirects are followed by default in aiohttp; pass ``allow_redirects=False`` with each request.

    Parameters
    ----------
    reuse : bool
        Whether a connection may serve more than one request. If not, a failure to connect proves
        that nothing was sent.

    Returns
    -------
    aiohttp.ClientSession
        Session without a total timeout; set one for each request.
    """
    session = aiohttp.ClientSession(
        connector=_open_connector(reuse),
        response_class=TrackedResponse,
        timeout=aiohttp.ClientTimeout(total=None, sock_connect=CONNECT_TIMEOUT_S),
        auto_decompress=False,
        cookie_jar=aiohttp.DummyCookieJar(),
        skip_auto_headers=("User-Agent", "Accept-Encoding"),
    )
    # aiohttp retries idempotent methods when a kept-alive connection breaks; here, only the
    # caller decides on retries.
    session._retry_connection = False
    return session


def _open_connector(reuse: bool) -> aiohttp.TCPConnector:
    if reuse:
        return aiohttp.TCPConnector(limit=0, keepalive_timeout=KEEPALIVE_S)
    return aiohttp.TCPConnector(limit=0, force_close=True)
