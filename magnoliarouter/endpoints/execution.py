"""Sends a call that may run only once to the endpoint and reads its response."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from magnoliarouter.core.attempts import StoredResponse
from magnoliarouter.endpoints.messages import ATTEMPT_HEADER, may_belong_to
from magnoliarouter.endpoints.proof import was_unsent
from magnoliarouter.web.bodies import read_body

if TYPE_CHECKING:
    from yarl import URL

__all__ = ["WRONG_ATTEMPT_REASON", "ResponseLost", "Executed", "NotReached", "execute"]

WRONG_ATTEMPT_REASON = "the answer belongs to another attempt"
MAX_STORED_BODY_BYTES = 65_536


@dataclass(frozen=True, slots=True)
class Executed:
    """The endpoint sent a complete response.

    Parameters
    ----------
    response : StoredResponse
        Response to store, without the body if it is large.
    body : bytes
        Complete body for the current caller.
    """

    response: StoredResponse
    body: bytes


@dataclass(frozen=True, slots=True)
class NotReached:
    """No byte of the call was sent to the endpoint."""

    reason: str


@dataclass(frozen=True, slots=True)
class ResponseLost:
    """The endpoint may have started the call, and its response was lost."""

    reason: str


async def execute(
    session: aiohttp.ClientSession, method: str, url: URL, headers: dict[str, str], body: bytes
) -> Executed | NotReached | ResponseLost:
    """Send a call to the endpoint once and read its complete response.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session without connection reuse.
    method, url, headers, body
        The call.
    """
    try:
        async with session.request(
            method, url, headers=headers, data=body, allow_redirects=False
        ) as response:
            if not may_belong_to(response.headers, headers.get(ATTEMPT_HEADER, "")):
                response.close()
                return ResponseLost(WRONG_ATTEMPT_REASON)
            return await _read_response(response)
    except (aiohttp.ClientError, OSError) as error:
        reason = type(error).__name__
        return NotReached(reason) if was_unsent(error) else ResponseLost(reason)


async def _read_response(response: aiohttp.ClientResponse) -> Executed:
    body = await read_body(response)
    stored_body = body if len(body) <= MAX_STORED_BODY_BYTES else None
    content_type = response.headers.get("content-type", "application/octet-stream")
    digest = hashlib.sha256(body).hexdigest()
    return Executed(
        StoredResponse(response.status, content_type, digest, len(body), stored_body), body
    )
