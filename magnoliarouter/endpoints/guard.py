"""Guard: HTTP service in front of one endpoint.

It starts each attempt at most once, refuses attempts made for another incarnation, and relays
the endpoint's answer with the attempt's id on it.
"""

from __future__ import annotations

import re
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.core.attempts import AttemptTable, StartVerdict
from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.daemon.web import error_body
from magnoliarouter.endpoints.report import LOAD_HEADER, GuardStatus, encode_load_header
from magnoliarouter.pipeline.dispatch import (
    ATTEMPT_HEADER,
    DEADLINE_HEADER,
    INCARNATION_HEADER,
    NOT_STARTED_HEADER,
    REFUSAL_HEADER,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.daemon.web import Exchange
    from magnoliarouter.endpoints.monitor import EndpointMonitor

__all__ = ["Guard", "GuardStatus"]

RELAYED_HEADERS = ("x-request-id", ATTEMPT_HEADER, "x-priority", "x-deadline-ms", "content-type")


REFUSAL_CODES = {
    StartVerdict.DRAINING: ResultCode.DRAINING,
    StartVerdict.FENCED: ResultCode.FENCED,
    StartVerdict.QUEUE_FULL: ResultCode.QUEUE_FULL,
    StartVerdict.TABLE_FULL: ResultCode.QUEUE_FULL,
    StartVerdict.TOO_LATE: ResultCode.DEADLINE_UNREACHABLE,
}
EVENT_STREAM = "text/event-stream"
FRAME_START = b"data: "
DEADLINE = re.compile(r"^[0-9]{1,9}$")


class Guard:
    """Serves entry daemons on behalf of one endpoint.

    Parameters
    ----------
    attempts : AttemptTable
        Memory of attempts.
    target : str
        Base URL of the endpoint.
    session : aiohttp.ClientSession
        Session towards the endpoint.
    clock : callable
        Loop time in seconds.
    monitor : EndpointMonitor
        Observations of the endpoint, which go into every answer.
    """

    def __init__(
        self,
        attempts: AttemptTable,
        target: str,
        session: aiohttp.ClientSession,
        clock: Callable[[], float],
        monitor: EndpointMonitor,
    ) -> None:
        self._attempts = attempts
        self._target = target
        self._session = session
        self._clock = clock
        self._monitor = monitor

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request of an entry daemon."""
        if exchange.request.path == "/guard/status":
            await self._tell_status(exchange)
            return
        headers = exchange.request.headers
        attempt = headers.get(ATTEMPT_HEADER, "")
        incarnation = headers.get(INCARNATION_HEADER, "")
        obstacle = self._find_obstacle(headers)
        verdict = self._attempts.start(attempt, incarnation, self._clock(), obstacle)
        if verdict is not StartVerdict.START:
            await self._refuse(exchange, attempt, verdict)
            return
        began, running = self._clock(), self._attempts.running
        self._monitor.note_change()
        try:
            await self._relay(exchange, attempt)
        finally:
            self._attempts.finish(attempt, self._clock())
            self._monitor.note_change()
        self._monitor.note_service(self._clock() - began, running)

    def report(self) -> GuardStatus:
        """Return the guard's report on itself."""
        return self._monitor.describe()

    async def _tell_status(self, exchange: Exchange) -> None:
        query = exchange.request.query
        try:
            after, wait = int(query.get("after", "0")), float(query.get("wait", "0"))
            pause, cache_after = float(query.get("pause", "0")), int(query.get("cache", "-1"))
        except ValueError:
            reason = "valid query: after=N, wait=SECONDS, pause=SECONDS, cache=N"
            body = error_body(ResultCode.MALFORMED_HTTP, "not_run", reason)
            await exchange.send(400, body)
            return
        await self._monitor.wait_for_change(after, wait, pause)
        await exchange.send(200, msgspec.json.encode(self._monitor.describe(cache_after)))

    def _find_obstacle(self, headers: dict[str, str]) -> StartVerdict | None:
        if self._monitor.is_full:
            return StartVerdict.QUEUE_FULL
        left = headers.get(DEADLINE_HEADER, "")
        if DEADLINE.match(left) and int(left) <= self._monitor.expected_wait * 1000:
            return StartVerdict.TOO_LATE
        return None

    def _head(self, attempt: str) -> dict[str, str]:
        return {ATTEMPT_HEADER: attempt, LOAD_HEADER: encode_load_header(self._monitor.report())}

    async def _refuse(self, exchange: Exchange, attempt: str, verdict: StartVerdict) -> None:
        headers = self._head(attempt)
        if verdict is StartVerdict.ALREADY_STARTED:
            headers[REFUSAL_HEADER] = str(int(ResultCode.IN_PROGRESS))
            body = error_body(ResultCode.IN_PROGRESS, "unknown", verdict.value)
            await exchange.send(409, body, headers)
            return
        code = REFUSAL_CODES.get(verdict, ResultCode.ENDPOINT_REFUSED)
        headers[NOT_STARTED_HEADER] = attempt
        headers[REFUSAL_HEADER] = str(int(code))
        body = error_body(code, "not_run", verdict.value)
        await exchange.send(503, body, headers)

    async def _relay(self, exchange: Exchange, attempt: str) -> None:
        request = exchange.request
        headers = {
            name: request.headers[name] for name in RELAYED_HEADERS if name in request.headers
        }
        try:
            async with self._session.request(
                request.method, self._target + request.path, headers=headers, data=request.body
            ) as answer:
                await self._relay_answer(exchange, attempt, answer)
        except aiohttp.ClientConnectorError:
            await self._tell_failure(exchange, attempt, ResultCode.ENDPOINT_UNREACHABLE)
        except (aiohttp.ClientError, OSError):
            if exchange.started:
                exchange.abort()
                return
            await self._tell_failure(exchange, attempt, ResultCode.ENDPOINT_ERROR)

    async def _tell_failure(self, exchange: Exchange, attempt: str, code: ResultCode) -> None:
        """Answer instead of the endpoint; without a connection to it nothing has started."""
        headers = {**self._head(attempt), REFUSAL_HEADER: str(int(code))}
        outcome = "unknown"
        if code is ResultCode.ENDPOINT_UNREACHABLE:
            headers[NOT_STARTED_HEADER] = attempt
            outcome = "not_run"
        await exchange.send(502, error_body(code, outcome, "endpoint gave no answer"), headers)

    async def _relay_answer(
        self, exchange: Exchange, attempt: str, answer: aiohttp.ClientResponse
    ) -> None:
        head = {**self._head(attempt), "Content-Type": answer.content_type}
        await exchange.start(answer.status, head)
        streamed = answer.content_type == EVENT_STREAM
        last: float | None = None
        async for chunk in answer.content.iter_any():
            if streamed:
                last = self._note_tokens(chunk, last)
            await exchange.write(chunk)
        await exchange.finish()

    def _note_tokens(self, chunk: bytes, last: float | None) -> float:
        now = self._clock()
        frames = chunk.count(FRAME_START)
        if last is not None and frames:
            self._monitor.note_token((now - last) / frames)
        return now
