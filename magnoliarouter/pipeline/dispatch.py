"""Fourth filter: sends an attempt of a call to the guard of one endpoint."""

from __future__ import annotations

import uuid
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from magnoliarouter.core.outcome import NotRun, ResultCode, Unknown
from magnoliarouter.endpoints.messages import ATTEMPT_HEADER, INCARNATION_HEADER, REQUEST_HEADER
from magnoliarouter.pipeline.proof import find_refusal, was_unsent

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from magnoliarouter.pipeline.call import Call
    from magnoliarouter.platform.objects import EndpointSpec

__all__ = ["ATTEMPT_HEADER", "Answer", "open_attempt"]

PRIORITY_HEADER = "x-priority"
DEADLINE_HEADER = "x-deadline-ms"


@dataclass(frozen=True, slots=True)
class Answer:
    """Head of an endpoint's answer whose body is still to be read."""

    status: int
    content_type: str
    body: aiohttp.StreamReader


@asynccontextmanager
async def open_attempt(
    session: aiohttp.ClientSession, endpoint: EndpointSpec, call: Call, now: float
) -> AsyncIterator[Answer | NotRun | Unknown]:
    """Send one attempt and give the answer's head.

    Leaving the context before the body's end closes the connection, which cancels the work.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session of the process.
    endpoint : EndpointSpec
        Endpoint and the incarnation of its guard that the attempt is for.
    call : Call
        The call.
    now : float
        Loop time in seconds.

    Yields
    ------
    Answer, NotRun or Unknown
        `NotRun` only if no byte left this process, or the guard says that it did not start it.
    """
    attempt = uuid.uuid4().hex
    headers = {
        ATTEMPT_HEADER: attempt,
        REQUEST_HEADER: call.request_id,
        INCARNATION_HEADER: endpoint.incarnation,
        PRIORITY_HEADER: str(call.limits.priority),
        DEADLINE_HEADER: str(max(0, int((call.deadline - now) * 1000))),
        "content-type": call.content_type,
    }
    url = f"http://{endpoint.address}{call.path}"
    try:
        response = await session.request(
            call.method, url, headers=headers, data=call.body, allow_redirects=False
        )
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        if was_unsent(error):
            yield NotRun(ResultCode.ENDPOINT_UNREACHABLE, "no connection to the endpoint")
            return
        yield Unknown(ResultCode.ENDPOINT_ERROR, type(error).__name__)
        return
    async with response:
        yield _classify(response, attempt)


def _classify(response: aiohttp.ClientResponse, attempt: str) -> Answer | NotRun | Unknown:
    if response.headers.get(ATTEMPT_HEADER) != attempt:
        response.close()
        return Unknown(ResultCode.WRONG_ATTEMPT, "the answer belongs to another attempt")
    reason = find_refusal(response.headers, attempt)
    if reason is not None:
        return NotRun(ResultCode.ENDPOINT_REFUSED, f"the endpoint's guard refused it: {reason}")
    return Answer(response.status, response.content_type, response.content)
