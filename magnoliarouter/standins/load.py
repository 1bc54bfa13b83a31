"""Load generator: sends model requests at a given rate and records the responses."""

from __future__ import annotations

import asyncio
import random
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.pipeline.deliver import LAST_FRAME

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = [
    "CompletionRequest",
    "CompletionResult",
    "open_load_session",
    "send_completion",
    "send_at_rate",
]

REQUEST_TIMEOUT_S = 60.0


@dataclass(frozen=True, slots=True)
class CompletionRequest:
    """One completion request.

    Parameters
    ----------
    url : str
        Base URL of an entry daemon, or of an engine.
    key : str
        API key of the customer.
    prompt : str
        Prompt text.
    max_tokens : int
        Number of tokens to generate.
    stream : bool
        Whether to stream the tokens.
    model : str
        Model name.
    """

    url: str
    key: str
    prompt: str
    max_tokens: int = 16
    stream: bool = True
    model: str = "draft"


@dataclass(slots=True)
class CompletionResult:
    """Outcome of one request.

    Parameters
    ----------
    status : int
        HTTP status; 0 if there was no response.
    sent_at : float
        Loop time in seconds at which the request was sent.
    first_token_s : float
        Seconds until the first part of the body: the first token of a stream.
    total_s : float
        Seconds until the end of the response.
    gaps : list of float
        Seconds between consecutive parts of the body.
    complete : bool
        Whether a stream ended with its last frame, or another response at its full length.
    body : bytes
        All bytes received.
    """

    status: int = 0
    sent_at: float = 0.0
    first_token_s: float = 0.0
    total_s: float = 0.0
    gaps: list[float] = field(default_factory=list)
    complete: bool = False
    body: bytes = b""


def open_load_session() -> aiohttp.ClientSession:
    """Open a session without a connection limit."""
    timeout = aiohttp.ClientTimeout(total=REQUEST_TIMEOUT_S)
    return aiohttp.ClientSession(connector=aiohttp.TCPConnector(limit=0), timeout=timeout)


async def send_completion(
    session: aiohttp.ClientSession, request: CompletionRequest
) -> CompletionResult:
    """Send one request and read its response; a failure is recorded, not raised."""
    clock = asyncio.get_running_loop().time
    result = CompletionResult(sent_at=clock())
    body = {
        "model": request.model,
        "prompt": request.prompt,
        "max_tokens": request.max_tokens,
        "stream": request.stream,
    }
    headers = {"Authorization": f"Bearer {request.key}", "Content-Type": "application/json"}
    url = f"{request.url}/v1/completions"
    try:
        async with session.post(url, data=msgspec.json.encode(body), headers=headers) as response:
            result.status = response.status
            await _read_response(response, result, clock)
            result.complete = not request.stream or result.body.endswith(LAST_FRAME)
    except (aiohttp.ClientError, OSError, TimeoutError):
        result.complete = False
    result.total_s = clock() - result.sent_at
    return result


async def _read_response(
    response: aiohttp.ClientResponse, result: CompletionResult, clock: Callable[[], float]
) -> None:
    parts = []
    last = 0.0
    async for part in response.content.iter_any():
        now = clock()
        if parts:
            result.gaps.append(now - last)
        else:
            result.first_token_s = now - result.sent_at
        last = now
        parts.append(part)
    result.body = b"".join(parts)


async def send_at_rate(
    session: aiohttp.ClientSession,
    make_request: Callable[[int], CompletionRequest],
    rate: float,
    seconds: float,
    seed: int,
) -> list[CompletionResult]:
    """Send requests at a mean rate with exponential intervals, and return all results.

    Parameters
    ----------
    make_request : callable
        Returns the request for an index.
    rate : float
        Mean number of requests per second.
    seconds : float
        Time in seconds during which requests are sent.
    seed : int
        Seed of the intervals.
    """
    rng = random.Random(seed)
    clock = asyncio.get_running_loop().time
    start = due = clock()
    tasks = []
    while due < start + seconds:
        await asyncio.sleep(max(0.0, due - clock()))
        request = make_request(len(tasks))
        tasks.append(asyncio.create_task(send_completion(session, request)))
        due += rng.expovariate(rate)
    return list(await asyncio.gather(*tasks))
