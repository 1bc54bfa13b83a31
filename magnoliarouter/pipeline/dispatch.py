"""Fourth pipeline stage: sends one attempt of a call to the guard of an endpoint."""

from __future__ import annotations

import asyncio
import uuid
from contextlib import asynccontextmanager
from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp
from yarl import URL

from magnoliarouter.core.attempts import StartVerdict
from magnoliarouter.core.outcome import NotRun, ResultCode, Unknown
from magnoliarouter.endpoints.messages import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    FAILURE_HEADER,
    INCARNATION_HEADER,
    PRIORITY_HEADER,
    REQUEST_HEADER,
    VERDICT_HEADER,
    select_relayed_headers,
)
from magnoliarouter.endpoints.proof import UNREACHABLE_REFUSAL, find_refusal, was_unsent
from magnoliarouter.web.bodies import iterate_body

if TYPE_CHECKING:
    from collections.abc import AsyncIterator, Callable, Mapping

    from magnoliarouter.pipeline.call import Call
    from magnoliarouter.store.objects import EndpointSpec

__all__ = ["ATTEMPT_HEADER", "EndpointResponse", "open_attempt"]

REFUSAL_RETRY_AFTER_S = 1.0
REFUSAL_CODES = {
    StartVerdict.DRAINING.value: ResultCode.DRAINING,
    StartVerdict.FENCED.value: ResultCode.FENCED,
    StartVerdict.QUEUE_FULL.value: ResultCode.QUEUE_FULL,
    StartVerdict.TABLE_FULL.value: ResultCode.QUEUE_FULL,
    StartVerdict.TOO_LATE.value: ResultCode.DEADLINE_UNREACHABLE,
    UNREACHABLE_REFUSAL: ResultCode.ENDPOINT_UNREACHABLE,
}


@dataclass(frozen=True, slots=True)
class EndpointResponse:
    """Status and headers of an endpoint's response, with the body still unread.

    Parameters
    ----------
    status : int
        HTTP status.
    attempt : str
        Id of the attempt that the response belongs to.
    headers : dict of str to str
        Header fields for the caller.
    body : async iterator of bytes
        Parts of the unread body; `aiohttp.ClientPayloadError` if it turns out not to be whole.
    """

    status: int
    attempt: str
    headers: dict[str, str]
    body: AsyncIterator[bytes]


@asynccontextmanager
async def open_attempt(
    session: aiohttp.ClientSession,
    endpoint: EndpointSpec,
    call: Call,
    now: float,
    on_headers: Callable[[Mapping[str, str]], None] = lambda headers: None,
) -> AsyncIterator[EndpointResponse | NotRun | Unknown]:
    """Send one attempt and yield its response once the headers have arrived.

    Leaving the context before the end of the body closes the connection, which cancels the
    endpoint's work.

    Parameters
    ----------
    session : aiohttp.ClientSession
        HTTP session of the process.
    endpoint : EndpointSpec
        Endpoint, with the incarnation of the guard that the attempt is addressed to.
    call : Call
        The call.
    now : float
        Current loop time in seconds; the headers must arrive before the call's deadline.
    on_headers : callable, optional
        Called with the header fields of the guard's response.

    Yields
    ------
    EndpointResponse, NotRun or Unknown
        `NotRun` only if no byte left this process, or the guard reports that it did not start the
        attempt.
    """
    attempt = uuid.uuid4().hex
    headers = {
        **call.headers,
        ATTEMPT_HEADER: attempt,
        REQUEST_HEADER: call.request_id,
        INCARNATION_HEADER: endpoint.incarnation,
        PRIORITY_HEADER: str(call.limits.priority),
        DEADLINE_HEADER: str(max(0, int((call.deadline - now) * 1000))),
        "content-type": call.content_type,
    }
    url = URL(f"http://{endpoint.address}{call.path}", encoded=True)
    try:
        async with asyncio.timeout(call.deadline - now):
            response = await session.request(
                call.method, url, headers=headers, data=call.body, allow_redirects=False
            )
    except (aiohttp.ClientError, OSError, TimeoutError) as error:
        if was_unsent(error):
            yield NotRun(ResultCode.ENDPOINT_UNREACHABLE, "no connection to the endpoint")
            return
        late = isinstance(error, TimeoutError)
        code = ResultCode.DEADLINE_EXCEEDED if late else ResultCode.ENDPOINT_ERROR
        yield Unknown(code, type(error).__name__)
        return
    async with response:
        on_headers(response.headers)
        yield _classify(response, attempt)


def _classify(
    response: aiohttp.ClientResponse, attempt: str
) -> EndpointResponse | NotRun | Unknown:
    if response.headers.get(ATTEMPT_HEADER) != attempt:
        response.close()
        return Unknown(ResultCode.WRONG_ATTEMPT, "the answer belongs to another attempt")
    reason = find_refusal(response.headers, attempt)
    if reason is not None:
        code = REFUSAL_CODES.get(reason, ResultCode.ENDPOINT_REFUSED)
        text = f"the endpoint's guard refused it: {reason}"
        return NotRun(code, text, REFUSAL_RETRY_AFTER_S)
    if VERDICT_HEADER in response.headers:
        return Unknown(ResultCode.IN_PROGRESS, "the endpoint's guard knows the attempt already")
    if FAILURE_HEADER in response.headers:
        code = _parse_code(response.headers[FAILURE_HEADER])
        return Unknown(code, "the endpoint's answer was lost behind its guard")
    relayed = select_relayed_headers(response.headers)
    return EndpointResponse(response.status, attempt, relayed, iterate_body(response))


def _parse_code(value: str) -> ResultCode:
    try:
        return ResultCode(int(value))
    except ValueError:
        return ResultCode.ENDPOINT_ERROR
