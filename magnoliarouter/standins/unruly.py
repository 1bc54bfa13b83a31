"""Stand-in for a model engine that sends faulty responses at random, chosen by a seed.

A faulty response is late, belongs to the previous request, repeats its end, is cut off or ends
early. A correct response is a function of the prompt, so that a caller can detect a wrong one.
"""

from __future__ import annotations

import argparse
import asyncio
import hashlib
import random
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.endpoints.messages import ATTEMPT_HEADER
from magnoliarouter.pipeline.deliver import LAST_FRAME
from magnoliarouter.standins.process import run_standin
from magnoliarouter.web.server import WebServer

if TYPE_CHECKING:
    from magnoliarouter.web.exchange import Exchange

__all__ = ["FaultyEngine", "expected_words"]

LATE_DELAY_S = 0.4
# "crossed" responds to the previous request, "doubled" sends the end of the response twice, "cut"
# aborts the connection and "short" ends the response early.
RESPONSE_MODES = ("good", "late", "crossed", "doubled", "cut", "short")


class _CompletionBody(msgspec.Struct):
    prompt: str
    max_tokens: int
    stream: bool = False


def expected_words(prompt: str, count: int) -> list[str]:
    """Return the words of the correct response to a prompt."""
    digest = hashlib.sha256(prompt.encode()).hexdigest()[:12]
    return [f"{digest}.{index}" for index in range(count)]


class FaultyEngine:
    """Sends correct or faulty responses, chosen at random from a seed.

    Parameters
    ----------
    fault_share : float
        Probability of a faulty response.
    seed : int
        Seed of the random choice.
    """

    def __init__(self, fault_share: float, seed: int) -> None:
        self.counts = dict.fromkeys(RESPONSE_MODES, 0)
        self._fault_share = fault_share
        self._random = random.Random(seed)
        self._previous = ("", "none")

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        if exchange.request.path == "/stats":
            await exchange.send(200, msgspec.json.encode(self.counts))
            return
        if exchange.request.method == "GET":
            await exchange.send(404, b"{}")
            return
        body = msgspec.json.decode(exchange.request.body, type=_CompletionBody)
        attempt = exchange.request.headers.get(ATTEMPT_HEADER, "")
        mode = self._choose_mode()
        self.counts[mode] += 1
        prompt = body.prompt
        if mode == "crossed":
            attempt, prompt = self._previous
        self._previous = (attempt, prompt)
        if mode == "late":
            await asyncio.sleep(LATE_DELAY_S)
        words = expected_words(prompt, body.max_tokens)
        send = self._send_stream if body.stream else self._send_completion
        await send(exchange, {ATTEMPT_HEADER: attempt}, words, mode)

    def _choose_mode(self) -> str:
        if self._random.random() >= self._fault_share:
            return "good"
        return self._random.choice(RESPONSE_MODES[1:])

    async def _send_completion(
        self, exchange: Exchange, headers: dict[str, str], words: list[str], mode: str
    ) -> None:
        if mode == "cut":
            exchange.abort()
            return
        text = "".join(words)
        usage = {"prompt_tokens": 1, "completion_tokens": len(words)}
        body = msgspec.json.encode({"choices": [{"text": text}], "usage": usage})
        if mode == "short":
            await exchange.start(200, headers)
            await exchange.write(body[: len(body) // 2])
            exchange.abort()
            return
        await exchange.send(200, body, headers)
        if mode == "doubled":
            await exchange.send(200, body, headers)

    async def _send_stream(
        self, exchange: Exchange, headers: dict[str, str], words: list[str], mode: str
    ) -> None:
        await exchange.start(200, {**headers, "Content-Type": "text/event-stream"})
        sent = words[: len(words) // 2] if mode in ("cut", "short") else words
        for word in sent:
            frame = msgspec.json.encode({"choices": [{"text": word}]})
            await exchange.write(b"data: " + frame + b"\n\n")
            await asyncio.sleep(0)
        if mode == "cut":
            exchange.abort()
            return
        if mode != "short":
            await exchange.write(LAST_FRAME)
        if mode == "doubled":
            await exchange.write(LAST_FRAME)
        await exchange.finish()


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--fault-share", type=float, default=0.3)
    parser.add_argument("--seed", type=int, default=1)
    options, _ = parser.parse_known_args()

    def start(runtime: object, bind: tuple[str, int]) -> WebServer:
        return WebServer(runtime, bind, FaultyEngine(options.fault_share, options.seed).handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
