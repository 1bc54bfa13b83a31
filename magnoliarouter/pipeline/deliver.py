"""Last filter: carries an endpoint's answer to the caller, whole or visibly broken."""

from __future__ import annotations

from dataclasses import dataclass
from typing import TYPE_CHECKING

import aiohttp

from magnoliarouter.core.outcome import Completed, Outcome, ResultCode, Unknown
from magnoliarouter.daemon.web import error_body

if TYPE_CHECKING:
    from magnoliarouter.daemon.web import Exchange
    from magnoliarouter.pipeline.dispatch import Answer

__all__ = ["Delivery", "deliver_stream", "deliver_whole"]

EVENT_STREAM = "text/event-stream"
LAST_FRAME = b"data: [DONE]\n\n"
FRAME_START = b"data: "


@dataclass(frozen=True, slots=True)
class Delivery:
    """How an answer's delivery ended.

    Parameters
    ----------
    outcome : Outcome
        `Completed`, or `Unknown` for a truncated answer.
    tokens : int
        Generated tokens that were carried.
    """

    outcome: Outcome
    tokens: int


async def deliver_whole(exchange: Exchange, answer: Answer, headers: dict[str, str]) -> Delivery:
    """Read a whole answer, then send it, so that a truncated one never looks complete."""
    try:
        body = await answer.body.read()
    except (aiohttp.ClientError, OSError):
        outcome = Unknown(ResultCode.STREAM_TRUNCATED, "the endpoint's answer broke off")
        body = error_body(outcome.code, "unknown", outcome.reason)
        await exchange.send(502, body, headers)
        return Delivery(outcome, 0)
    await exchange.send(answer.status, body, {**headers, "Content-Type": answer.content_type})
    return Delivery(Completed(ResultCode.OK, answer.status), 0)


async def deliver_stream(exchange: Exchange, answer: Answer, headers: dict[str, str]) -> Delivery:
    """Carry a stream of server-sent events as it comes, up to its explicit last frame."""
    await exchange.start(answer.status, {**headers, "Content-Type": EVENT_STREAM})
    tokens, tail = 0, b""
    try:
        async for chunk in answer.body.iter_any():
            tokens += chunk.count(FRAME_START)
            tail = (tail + chunk)[-len(LAST_FRAME) :]
            await exchange.write(chunk)
    except (aiohttp.ClientError, OSError):
        tail = b""
    if tail != LAST_FRAME:
        outcome = Unknown(ResultCode.STREAM_TRUNCATED, "the endpoint's stream broke off")
        frame = error_body(outcome.code, "unknown", outcome.reason)
        await exchange.write(b"\n\nevent: error\ndata: " + frame + b"\n\n")
        await exchange.finish()
        return Delivery(outcome, tokens)
    await exchange.finish()
    return Delivery(Completed(ResultCode.OK, answer.status), max(0, tokens - 1))
