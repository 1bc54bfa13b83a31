"""Last pipeline stage: delivers an endpoint's response, complete or visibly truncated."""

from __future__ import annotations

from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.core.framing import MAX_BODY_BYTES
from magnoliarouter.core.outcome import Completed, Outcome, ResultCode, Unknown
from magnoliarouter.web.bodies import limit_parts
from magnoliarouter.web.exchange import error_body

if TYPE_CHECKING:
    from collections.abc import AsyncIterator

    from magnoliarouter.pipeline.dispatch import EndpointResponse
    from magnoliarouter.pipeline.meter import TokenMeter
    from magnoliarouter.web.exchange import Exchange

__all__ = ["FrameScanner", "deliver_stream", "deliver_buffered"]

EVENT_STREAM = "text/event-stream"
LAST_FRAME = b"data: [DONE]\n\n"
FRAME_END = b"\n\n"
TRUNCATED = Unknown(ResultCode.STREAM_TRUNCATED, "the endpoint's answer broke off")


class _Usage(msgspec.Struct):
    prompt_tokens: int
    completion_tokens: int


class _BufferedResponse(msgspec.Struct):
    usage: _Usage


@dataclass(slots=True)
class FrameScanner:
    """Counts the frames of a server-sent event stream and detects its final frame.

    Each frame holds one line of JSON, so an empty line always ends a frame.

    Examples
    --------
    >>> scanner = FrameScanner()
    >>> scanner.feed(b"data: 1\\n"), scanner.feed(b"\\ndata: [DONE]\\n\\n"), scanner.ended
    (0, 1, True)
    """

    _tail: bytes = field(default=b"")

    def feed(self, data: bytes) -> int:
        """Process the next bytes and return the number of token frames that end in them."""
        overlap = self._tail[-1:]
        frames = (overlap + data).count(FRAME_END)
        self._tail = (self._tail + data)[-len(LAST_FRAME) :]
        return frames - self.ended

    @property
    def ended(self) -> bool:
        """Whether the last frame has arrived with nothing after it."""
        return self._tail == LAST_FRAME


async def deliver_buffered(
    exchange: Exchange, response: EndpointResponse, headers: dict[str, str], meter: TokenMeter
) -> Outcome:
    """Read the complete response before sending it, so that a truncated one never looks complete.

    Nothing of a truncated response is sent, so that the call can be retried on another endpoint.
    """
    try:
        body = b"".join([part async for part in limit_parts(response.body, MAX_BODY_BYTES)])
    except (aiohttp.ClientError, OSError) as error:
        meter.is_exact = False
        reason = f"{TRUNCATED.reason}: {error}" if str(error) else TRUNCATED.reason
        return Unknown(TRUNCATED.code, reason)
    _record_usage(body, meter)
    await exchange.send(response.status, body, {**response.headers, **headers})
    return Completed(ResultCode.OK, response.status)


async def deliver_stream(
    exchange: Exchange, response: EndpointResponse, headers: dict[str, str], meter: TokenMeter
) -> Outcome:
    """Relay a stream of server-sent events as it arrives, up to its final frame.

    A stream that is truncated, or continues after its last frame, ends in an ``error`` event and
    without the last frame. Nothing is sent of a stream that breaks off before its first byte, so
    that the call can be retried on another endpoint.
    """
    chunks = aiter(response.body)
    first = await _read_first(chunks)
    if not first:
        return TRUNCATED
    await exchange.start(
        response.status, {**response.headers, **headers, "Content-Type": EVENT_STREAM}
    )
    scanner = FrameScanner()
    complete = await _relay_stream(exchange, first, chunks, scanner, meter)
    if not complete:
        frame = error_body(TRUNCATED.code, "unknown", TRUNCATED.reason)
        await exchange.write(b"\n\nevent: error\ndata: " + frame + b"\n\n")
        await exchange.finish()
        return TRUNCATED
    await exchange.write(LAST_FRAME)
    await exchange.finish()
    return Completed(ResultCode.OK, response.status)


async def _read_first(chunks: AsyncIterator[bytes]) -> bytes:
    """Return the first bytes of a stream, or empty bytes if it ended or failed before any."""
    try:
        return await anext(chunks, b"")
    except (aiohttp.ClientError, OSError):
        return b""


async def _relay_stream(
    exchange: Exchange,
    first: bytes,
    chunks: AsyncIterator[bytes],
    scanner: FrameScanner,
    meter: TokenMeter,
) -> bool:
    """Relay all frames but the last and return whether the stream was complete."""
    withheld, chunk = b"", first
    try:
        while chunk:
            meter.record_streamed_tokens(scanner.feed(chunk))
            withheld += chunk
            end = withheld.find(LAST_FRAME)
            if 0 <= end < len(withheld) - len(LAST_FRAME):
                await exchange.write(withheld[:end])
                return False
            # The last frame is withheld until the endpoint has ended its response cleanly.
            withheld_size = _count_withheld(withheld)
            await exchange.write(withheld[: len(withheld) - withheld_size])
            withheld = withheld[len(withheld) - withheld_size :]
            chunk = await anext(chunks, b"")
    except (aiohttp.ClientError, OSError):
        return False
    return scanner.ended and withheld == LAST_FRAME


def _count_withheld(data: bytes) -> int:
    """Return the length of the longest suffix of `data` that is a prefix of the last frame."""
    for length in range(min(len(data), len(LAST_FRAME)), 0, -1):
        if data.endswith(LAST_FRAME[:length]):
            return length
    return 0


def _record_usage(body: bytes, meter: TokenMeter) -> None:
    try:
        usage = msgspec.json.decode(body, type=_BufferedResponse).usage
    except msgspec.DecodeError:
        meter.is_exact = False
        return
    meter.record_usage(usage.prompt_tokens, usage.completion_tokens)
