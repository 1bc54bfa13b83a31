"""Client of endpoint guards for attempts that may run only once."""

from __future__ import annotations

import asyncio
import hashlib
from collections import OrderedDict
from typing import TYPE_CHECKING

import aiohttp
import msgspec
from yarl import URL

from magnoliarouter.core.attempts import START_WINDOW_S, AttemptState, StartVerdict, StoredResponse
from magnoliarouter.core.claimsteps import (
    Answered,
    AttemptDoubt,
    FenceAnswer,
    GuardSilent,
    NotStarted,
    OtherIncarnation,
)
from magnoliarouter.endpoints.messages import (
    ATTEMPT_HEADER,
    FAILURE_HEADER,
    GUARD_CLOCK_HEADER,
    IDEMPOTENCY_HEADER,
    INCARNATION_HEADER,
    NOT_AFTER_HEADER,
    OTHER_INCARNATION,
    REQUEST_HEADER,
    RUN_ONCE_HEADER,
    VERDICT_HEADER,
    FenceReply,
    FenceRequest,
    GuardClock,
)
from magnoliarouter.endpoints.proof import find_refusal, is_fenced, was_unsent
from magnoliarouter.web.bodies import read_body

if TYPE_CHECKING:
    from collections.abc import Callable, Mapping

    from magnoliarouter.core.claimsteps import Target
    from magnoliarouter.pipeline.call import Call
    from magnoliarouter.store.objects import EndpointSpec

__all__ = ["GuardClient"]

CONTROL_TIMEOUT_S = 2.0
MAX_CLOCK_OFFSETS = 1_024
STALE_CLOCK_VERDICTS = (
    StartVerdict.WRONG_INCARNATION.value,
    StartVerdict.EXPIRED.value,
    StartVerdict.CLOCK_AHEAD.value,
)


class GuardClient:
    """Sends attempts to guards and queries their state.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session without connection reuse, so that a failure to connect proves that nothing was
        sent.
    clock : callable
        Loop time in seconds.
    """

    def __init__(self, session: aiohttp.ClientSession, clock: Callable[[], float]) -> None:
        self._session = session
        self._clock = clock
        # Guard clock minus local clock at the receipt of a response, by incarnation. The offset
        # is too small by the response's transit time, so last start times err on the early side.
        self._offsets: OrderedDict[str, float] = OrderedDict()

    async def find_start_deadline(self, spec: EndpointSpec) -> float | None:
        """Return the last start time of a new attempt, on the clock of the endpoint's guard.

        Returns
        -------
        float or None
            None if the guard cannot be reached or has restarted.
        """
        offset = self._offsets.get(spec.incarnation)
        if offset is None:
            offset = await self._fetch_clock(spec)
        return None if offset is None else self._clock() + offset + START_WINDOW_S

    async def send(self, call: Call, target: Target) -> Answered | NotStarted | AttemptDoubt:
        """Send an attempt to its guard once."""
        headers = {
            **call.headers,
            ATTEMPT_HEADER: target.attempt,
            REQUEST_HEADER: call.request_id,
            INCARNATION_HEADER: target.incarnation,
            NOT_AFTER_HEADER: f"{target.not_after:.3f}",
            RUN_ONCE_HEADER: "1",
            IDEMPOTENCY_HEADER: call.work.idempotency_key,
            "content-type": call.content_type,
        }
        url = URL(f"http://{target.address}{call.path}", encoded=True)
        try:
            async with asyncio.timeout(max(0.0, call.deadline - self._clock())):
                async with self._session.request(
                    call.method, url, headers=headers, data=call.body, allow_redirects=False
                ) as response:
                    return await self._classify(response, target)
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            if was_unsent(error):
                return NotStarted("no connection to the endpoint")
            return AttemptDoubt(type(error).__name__)

    async def fence(self, target: Target) -> FenceAnswer | OtherIncarnation | GuardSilent:
        """Ask the guard of a target to fence its attempt, and return the attempt's state."""
        request = FenceRequest(target.attempt, target.incarnation, target.not_after)
        url = f"http://{target.address}/guard/fence"
        reply = await self._send_control("POST", url, msgspec.json.encode(request), FenceReply)
        if reply is None or reply.attempt != target.attempt:
            return GuardSilent()
        if is_fenced(reply, target.attempt):
            return FenceAnswer(AttemptState.FENCED)
        if reply.state == OTHER_INCARNATION:
            return OtherIncarnation()
        try:
            return FenceAnswer(AttemptState(reply.state), reply.answer)
        except ValueError:
            return FenceAnswer(None)

    async def _fetch_clock(self, spec: EndpointSpec) -> float | None:
        url = f"http://{spec.address}/guard/status"
        status = await self._send_control("GET", url, b"", GuardClock)
        if status is None or status.incarnation != spec.incarnation:
            return None
        return self._record_clock(spec.incarnation, status.clock)

    def _record_clock(self, incarnation: str, reading: float) -> float:
        offset = reading - self._clock()
        self._offsets[incarnation] = offset
        self._offsets.move_to_end(incarnation)
        if len(self._offsets) > MAX_CLOCK_OFFSETS:
            self._offsets.popitem(last=False)
        return offset

    async def _send_control(self, method: str, url: str, body: bytes, reply_type: type) -> object:
        try:
            async with asyncio.timeout(CONTROL_TIMEOUT_S):
                async with self._session.request(
                    method, url, data=body, allow_redirects=False
                ) as response:
                    if response.status != 200:
                        return None
                    return msgspec.json.decode(await read_body(response), type=reply_type)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError):
            return None

    async def _classify(
        self, response: aiohttp.ClientResponse, target: Target
    ) -> Answered | NotStarted | AttemptDoubt:
        headers = response.headers
        if headers.get(ATTEMPT_HEADER) != target.attempt:
            return AttemptDoubt("the answer belongs to another attempt")
        refusal = find_refusal(headers, target.attempt)
        if refusal in STALE_CLOCK_VERDICTS:
            # The verdict shows that the offset is unusable; the next attempt reads the clock again.
            self._offsets.pop(target.incarnation, None)
        else:
            self._record_header_clock(headers, target.incarnation)
        if refusal is not None:
            return NotStarted(refusal, fenced=refusal == StartVerdict.FENCED.value)
        if VERDICT_HEADER in headers or FAILURE_HEADER in headers:
            return AttemptDoubt("the guard has no answer to it")
        body = await read_body(response)
        content_type = headers.get("content-type", "application/octet-stream")
        digest = hashlib.sha256(body).hexdigest()
        return Answered(StoredResponse(response.status, content_type, digest, len(body), body))

    def _record_header_clock(self, headers: Mapping[str, str], incarnation: str) -> None:
        try:
            self._record_clock(incarnation, float(headers.get(GUARD_CLOCK_HEADER, "")))
        except ValueError:
            return
