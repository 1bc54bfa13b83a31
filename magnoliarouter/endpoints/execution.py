"""Runs a call that may run only once on an endpoint and collects its answer."""

from __future__ import annotations

import hashlib
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from magnoliarouter.core.attempts import StoredResponse
from magnoliarouter.endpoints.messages import ATTEMPT_HEADER, is_answer_of
from magnoliarouter.endpoints.proof import was_unsent

if TYPE_CHECKING:
    from yarl import URL

__all__ = ["CROSSED", "Broken", "Executed", "NotReached", "execute"]

CROSSED = "the answer belongs to another attempt"
MAX_KEPT_BYTES = 65_536
MAX_BODY_BYTES = 4_194_304


@dataclass(frozen=True, slots=True)
class Executed:
    """The endpoint answered in full.

    Parameters
    ----------
    answer : StoredResponse
        Answer to keep, without a large body.
    body : bytes
        Whole body for the caller in progress.
    """

    answer: StoredResponse
    body: bytes


@dataclass(frozen=True, slots=True)
class NotReached:
    """No byte of the call left for the endpoint."""

    reason: str


@dataclass(frozen=True, slots=True)
class Broken:
    """The endpoint may have begun the call, and its answer was lost."""

    reason: str


async def execute(
    session: aiohttp.ClientSession, method: str, url: URL, headers: dict[str, str], body: bytes
) -> Executed | NotReached | Broken:
    """Send a call to the endpoint once and read its whole answer.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session that reuses no connection.
    method, url, headers, body
        The call.
    """
    try:
        async with session.request(
            method, url, headers=headers, data=body, allow_redirects=False
        ) as answer:
            if not is_answer_of(answer.headers, headers.get(ATTEMPT_HEADER, "")):
                answer.close()
                return Broken(CROSSED)
            return await _collect(answer)
    except (aiohttp.ClientError, OSError) as error:
        reason = type(error).__name__
        return NotReached(reason) if was_unsent(error) else Broken(reason)


async def _collect(answer: aiohttp.ClientResponse) -> Executed | Broken:
    body = bytearray()
    async for chunk in answer.content.iter_any():
        body += chunk
        if len(body) > MAX_BODY_BYTES:
            return Broken(f"answer is larger than {MAX_BODY_BYTES} bytes")
    kept = bytes(body) if len(body) <= MAX_KEPT_BYTES else None
    content_type = answer.headers.get("content-type", "application/octet-stream")
    digest = hashlib.sha256(body).hexdigest()
    return Executed(
        StoredResponse(answer.status, content_type, digest, len(body), kept), bytes(body)
    )
