"""Guard: HTTP service in front of one endpoint.

It starts each attempt at most once, refuses attempts made for another incarnation, and relays
the endpoint's answer with the attempt's id on it.
"""

from __future__ import annotations

from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.core.attempts import AttemptTable, StartVerdict
from magnoliarouter.core.outcome import ResultCode
from magnoliarouter.daemon.exchange import error_body
from magnoliarouter.pipeline.dispatch import (
    ATTEMPT_HEADER,
    INCARNATION_HEADER,
    NOT_STARTED_HEADER,
)

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.daemon.web import Exchange

__all__ = ["Guard", "GuardStatus"]

RELAYED_HEADERS = ("x-request-id", ATTEMPT_HEADER, "x-priority", "x-deadline-ms", "content-type")


class GuardStatus(msgspec.Struct, frozen=True):
    """Report of a guard on itself.

    Parameters
    ----------
    incarnation : str
        Id of the guard's present start.
    running : int
        Attempts in progress.
    draining : bool
        Whether new attempts are refused.
    """

    incarnation: str
    running: int
    draining: bool


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
    """

    def __init__(
        self,
        attempts: AttemptTable,
        target: str,
        session: aiohttp.ClientSession,
        clock: Callable[[], float],
    ) -> None:
        self._attempts = attempts
        self._target = target
        self._session = session
        self._clock = clock

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request of an entry daemon."""
        if exchange.request.path == "/guard/status":
            await exchange.send(200, msgspec.json.encode(self.report()))
            return
        headers = exchange.request.headers
        attempt = headers.get(ATTEMPT_HEADER, "")
        incarnation = headers.get(INCARNATION_HEADER, "")
        verdict = self._attempts.start(attempt, incarnation, self._clock())
        if verdict is not StartVerdict.START:
            await self._refuse(exchange, attempt, verdict)
            return
        try:
            await self._relay(exchange, attempt)
        finally:
            self._attempts.finish(attempt, self._clock())

    def report(self) -> GuardStatus:
        """Return the guard's report on itself."""
        table = self._attempts
        return GuardStatus(table.incarnation, table.running, table.draining)

    async def _refuse(self, exchange: Exchange, attempt: str, verdict: StartVerdict) -> None:
        headers = {ATTEMPT_HEADER: attempt}
        if verdict is StartVerdict.ALREADY_STARTED:
            body = error_body(ResultCode.IN_PROGRESS, "unknown", verdict.value)
            await exchange.send(409, body, headers)
            return
        headers[NOT_STARTED_HEADER] = attempt
        body = error_body(ResultCode.ENDPOINT_REFUSED, "not_run", verdict.value)
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
        except (aiohttp.ClientError, OSError) as error:
            if exchange.started:
                exchange.abort()
                return
            body = error_body(ResultCode.ENDPOINT_ERROR, "unknown", type(error).__name__)
            await exchange.send(502, body, {ATTEMPT_HEADER: attempt})

    async def _relay_answer(
        self, exchange: Exchange, attempt: str, answer: aiohttp.ClientResponse
    ) -> None:
        head = {ATTEMPT_HEADER: attempt, "Content-Type": answer.content_type}
        await exchange.start(answer.status, head)
        async for chunk in answer.content.iter_any():
            await exchange.write(chunk)
        await exchange.finish()
