"""Fourth filter: sends an attempt of a call to the guard of one endpoint."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from magnoliarouter.core.outcome import NotRun, ResultCode, Unknown

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping

    from magnoliarouter.pipeline.call import Call
    from magnoliarouter.platform.objects import EndpointSpec

__all__ = ["ATTEMPT_HEADER", "Answer", "open_attempt"]

ATTEMPT_HEADER = "x-attempt-id"
REQUEST_HEADER = "x-request-id"
INCARNATION_HEADER = "x-incarnation"
PRIORITY_HEADER = "x-priority"
DEADLINE_HEADER = "x-deadline-ms"
NOT_STARTED_HEADER = "x-not-started"
REFUSAL_HEADER = "x-refusal-code"
REFUSED_RETRY_S = 1.0


@dataclass(frozen=True, slots=True)
class Answer:
    """Head of an endpoint's answer whose body is still to be read."""

    status: int
    content_type: str
    body: aiohttp.StreamReader


@asynccontextmanager
async def open_attempt(
    session: aiohttp.ClientSession,
    endpoint: EndpointSpec,
    call: Call,
    now: float,
    on_head: Callable[[Mapping[str, str]], None] = lambda headers: None,
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
        Loop time in seconds; the head must come before the call's deadline.
    on_head : callable, optional
        Called with the header fields of the guard's answer.

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
        async with asyncio.timeout(call.deadline - now):
            response = await session.request(call.method, url, headers=headers, data=call.body)
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError):
        yield NotRun(ResultCode.ENDPOINT_UNREACHABLE, "no connection to the endpoint")
        return
    except TimeoutError:
        yield Unknown(ResultCode.DEADLINE_EXCEEDED, "no answer before the deadline")
        return
    except (aiohttp.ClientError, OSError) as error:
        yield Unknown(ResultCode.ENDPOINT_ERROR, type(error).__name__)
        return
    async with response:
        on_head(response.headers)
        yield _classify(response, attempt)


def _classify(response: aiohttp.ClientResponse, attempt: str) -> Answer | NotRun | Unknown:
    if response.headers.get(ATTEMPT_HEADER) != attempt:
        response.close()
        return Unknown(ResultCode.WRONG_ATTEMPT, "the answer belongs to another attempt")
    refusal = _parse_refusal(response.headers.get(REFUSAL_HEADER, ""))
    if response.headers.get(NOT_STARTED_HEADER) == attempt:
        reason = "the endpoint's guard did not start it"
        return NotRun(refusal or ResultCode.ENDPOINT_REFUSED, reason, REFUSED_RETRY_S)
    if refusal is not None:
        return Unknown(refusal, "the endpoint's guard got no answer from it")
    return Answer(response.status, response.content_type, response.content)


def _parse_refusal(value: str) -> ResultCode | None:
    try:
        return ResultCode(int(value))
    except ValueError:
        return None
