"""Stand-in for a model engine: continuous batching with limited slots and streamed answers."""

from __future__ import annotations

import argparse
import asyncio

import msgspec

from magnoliarouter.daemon.web import Exchange, WebServer
from magnoliarouter.standins.process import run_standin

__all__ = ["EngineStandin"]

LAST_FRAME = b"data: [DONE]\n\n"


class _Message(msgspec.Struct):
    content: str


class _Body(msgspec.Struct):
    model: str
    prompt: str = ""
    messages: list[_Message] = []
    stream: bool = False
    max_tokens: int = 16


class EngineStandin:
    """Generates one token a step for every request that holds a slot.

    Parameters
    ----------
    slots : int
        Requests in one batch.
    step_seconds : float
        Time of one step.
    """

    def __init__(self, slots: int = 8, step_seconds: float = 0.02) -> None:
        self.step_seconds = step_seconds
        self.started = 0
        self.cancelled = 0
        self._slots = asyncio.Semaphore(slots)

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.request.path == "/stats":
            stats = {"started": self.started, "cancelled": self.cancelled}
            await exchange.send(200, msgspec.json.encode(stats))
            return
        body = msgspec.json.decode(exchange.request.body, type=_Body)
        prompt = body.prompt or "".join(message.content for message in body.messages)
        async with self._slots:
            self.started += 1
            try:
                await self._generate(exchange, body, prompt)
            except asyncio.CancelledError:
                self.cancelled += 1
                raise

    async def _generate(self, exchange: Exchange, body: _Body, prompt: str) -> None:
        words = [f"{prompt[:16]}.{index} " for index in range(body.max_tokens)]
        if not body.stream:
            await asyncio.sleep(self.step_seconds * len(words))
            await exchange.send(200, _encode_whole(body, prompt, words))
            return
        await exchange.start(200, {"Content-Type": "text/event-stream"})
        for word in words:
            await asyncio.sleep(self.step_seconds)
            await exchange.write(b"data: " + _encode_token(word) + b"\n\n")
        await exchange.write(LAST_FRAME)
        await exchange.finish()


def _encode_token(word: str) -> bytes:
    return msgspec.json.encode({"choices": [{"index": 0, "text": word}]})


def _encode_whole(body: _Body, prompt: str, words: list[str]) -> bytes:
    usage = {"prompt_tokens": len(prompt) // 4, "completion_tokens": len(words)}
    choice = {"index": 0, "text": "".join(words), "finish_reason": "length"}
    return msgspec.json.encode({"model": body.model, "choices": [choice], "usage": usage})


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--slots", type=int, default=8)
    parser.add_argument("--step-seconds", type=float, default=0.02)
    options, _ = parser.parse_known_args()

    def start(runtime: object, bind: tuple[str, int]) -> WebServer:
        engine = EngineStandin(options.slots, options.step_seconds)
        return WebServer(runtime, bind, engine.handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
