"""Ends a delivery at the call's deadline with an error that the caller sees."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.core.outcome import Completed, Outcome, ResultCode, Unknown
from magnoliarouter.web.exchange import error_body

if TYPE_CHECKING:
    from collections.abc import Awaitable

    from magnoliarouter.web.exchange import Exchange

__all__ = ["deliver_before_deadline"]

DEADLINE_OUTCOME = Unknown(
    ResultCode.DEADLINE_EXCEEDED, "the answer was not complete at the deadline"
)
DEADLINE_STATUS = 504
ERROR_FRAME_TIMEOUT_S = 1.0


async def deliver_before_deadline(
    exchange: Exchange, delivery: Awaitable[Outcome], deadline: float, headers: dict[str, str]
) -> Outcome:
    """Await a delivery until the deadline.

    Parameters
    ----------
    exchange : Exchange
        The caller's request.
    delivery : awaitable
        Delivers the response; cancelled at the deadline, which cancels the endpoint's work.
    deadline : float
        Loop time in seconds.
    headers : dict of str to str
        Header fields of the error response sent at the deadline.

    Returns
    -------
    Outcome
        Outcome of the delivery, or `Unknown` with `DEADLINE_EXCEEDED`.
    """
    try:
        async with asyncio.timeout_at(deadline):
            return await delivery
    except TimeoutError:
        if exchange.finished:
            return Completed(ResultCode.OK, 200)
        await _send_deadline_error(exchange, headers)
        return DEADLINE_OUTCOME


async def _send_deadline_error(exchange: Exchange, headers: dict[str, str]) -> None:
    body = error_body(DEADLINE_OUTCOME.code, "unknown", DEADLINE_OUTCOME.reason)
    if not exchange.started:
        await exchange.send(DEADLINE_STATUS, body, headers)
        return
    try:
        async with asyncio.timeout(ERROR_FRAME_TIMEOUT_S):
            await exchange.write(b"\n\nevent: error\ndata: " + body + b"\n\n")
            await exchange.finish()
    except TimeoutError:
        # The error event cannot be written to a caller that does not read, so the connection is
        # closed within the stream.
        exchange.abort()
