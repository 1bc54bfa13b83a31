"""Stand-in for a model engine: batched generation, prefix cache, delayed load and cache reports.

Paths besides the completions: ``GET /load`` (a delayed load report), ``GET /cache/events?after=N``
(numbered events, delayed and with gaps), ``GET /stats`` (exact counts for benchmarks). An
interrupted stream is resumed by a request with the same ``x-request-id`` and with
``x-resume-from`` set to the number of tokens received.
"""

from __future__ import annotations

import argparse
import asyncio
from collections import deque

import msgspec

from magnoliarouter.standins.batching import Batch, BatchOptions, Job
from magnoliarouter.standins.process import run_standin
from magnoliarouter.web.server import Exchange, WebServer

__all__ = ["EngineLoad", "EngineStandin"]

LAST_FRAME = b"data: [DONE]\n\n"
CHARACTERS_PER_TOKEN = 4
LOAD_SAMPLE_INTERVAL_S = 0.1


class _ChatMessage(msgspec.Struct):
    content: str
    role: str = "user"


class _CompletionBody(msgspec.Struct):
    model: str
    prompt: str = ""
    messages: list[_ChatMessage] = []
    stream: bool = False
    max_tokens: int = 16


class EngineLoad(msgspec.Struct, frozen=True):
    """Load report of an engine.

    Parameters
    ----------
    running, queued : int
        Numbers of requests in the batch and in the queue.
    slots : int
        Maximum number of requests in the batch.
    step_seconds : float
        Duration of a step in seconds.
    """

    running: int
    queued: int
    slots: int
    step_seconds: float


class EngineStandin:
    """Serves completions from a `Batch`.

    Parameters
    ----------
    options : BatchOptions
        Behaviour of the engine.
    load_lag : float
        Age of the reported load in seconds.
    event_lag : float
        Delay in seconds until a cache event can be read.
    """

    def __init__(
        self, options: BatchOptions, load_lag: float = 0.0, event_lag: float = 0.0
    ) -> None:
        self.batch = Batch(options)
        self.started = 0
        self.cancelled = 0
        self.resumed = 0
        self._load_lag = load_lag
        self._event_lag = event_lag
        self._loop = asyncio.get_running_loop()
        self._load_samples: deque[tuple[float, EngineLoad]] = deque()
        self._sampler = self._loop.create_task(self._sample_load()) if load_lag else None

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        match exchange.request.path:
            case "/load":
                await exchange.send(200, msgspec.json.encode(self._read_lagged_load()))
            case "/cache/events":
                after = int(exchange.request.query.get("after", "0"))
                await exchange.send(200, msgspec.json.encode(self._list_events(after)))
            case "/stats":
                await exchange.send(200, msgspec.json.encode(self._collect_stats()))
            case _:
                await self._handle_completion(exchange)

    async def _handle_completion(self, exchange: Exchange) -> None:
        body = msgspec.json.decode(exchange.request.body, type=_CompletionBody)
        job = self._create_job(body, exchange.request.headers)
        self.started += 1
        self.batch.submit(job)
        try:
            await self._generate(exchange, body, job)
        except BaseException:
            self.cancelled += 1
            self.batch.cancel(job)
            raise

    def _create_job(self, body: _CompletionBody, headers: dict[str, str]) -> Job:
        request_id = headers.get("x-request-id", "")
        received_tokens = int(headers.get("x-resume-from", "0"))
        received_tokens = min(received_tokens, body.max_tokens - 1)
        first_token = (
            self.batch.resume_point(request_id, received_tokens) if received_tokens > 0 else 0
        )
        self.resumed += first_token > 0
        priority = int(headers.get("x-priority", "0"))
        return Job(request_id, _join_prompt(body), priority, body.max_tokens, first_token)

    async def _generate(self, exchange: Exchange, body: _CompletionBody, job: Job) -> None:
        if not body.stream:
            token_texts = [_token_text(job, await job.tokens.get()) for _ in range(body.max_tokens)]
            await exchange.send(200, _encode_completion(body, job, token_texts))
            return
        await exchange.start(200, {"Content-Type": "text/event-stream"})
        index = -1
        while index + 1 < job.max_tokens:
            index = await job.tokens.get()
            await exchange.write(b"data: " + _encode_token(job, index) + b"\n\n")
        await exchange.write(LAST_FRAME)
        await exchange.finish()

    def _measure_load(self) -> EngineLoad:
        batch = self.batch
        return EngineLoad(len(batch.running), batch.queued, batch.options.slots, batch.step_seconds)

    async def _sample_load(self) -> None:
        while True:
            self._load_samples.append((self._loop.time(), self._measure_load()))
            await asyncio.sleep(LOAD_SAMPLE_INTERVAL_S)

    def _read_lagged_load(self) -> EngineLoad:
        if not self._load_lag:
            return self._measure_load()
        limit = self._loop.time() - self._load_lag
        while len(self._load_samples) > 1 and self._load_samples[1][0] <= limit:
            self._load_samples.popleft()
        if not self._load_samples or self._load_samples[0][0] > limit:
            return EngineLoad(0, 0, self.batch.options.slots, self.batch.step_seconds)
        return self._load_samples[0][1]

    def _list_events(self, after: int) -> dict[str, object]:
        limit = self._loop.time() - self._event_lag
        visible = [event for event in self.batch.cache.events if event.time <= limit]
        events = [
            {"sequence": event.sequence, "stored": event.stored, "removed": event.removed}
            for event in visible
            if event.sequence > after
        ]
        return {"events": events, "last": visible[-1].sequence if visible else 0}

    def _collect_stats(self) -> dict[str, float]:
        batch = self.batch
        return {
            "started": self.started,
            "cancelled": self.cancelled,
            "resumed": self.resumed,
            "running": len(batch.running),
            "queued": batch.queued,
            "peak_queue": batch.peak_queue,
            "steps": batch.steps,
            "hit_blocks": batch.cache.hit_blocks,
            "asked_blocks": batch.cache.looked_up_blocks,
        }


def _join_prompt(body: _CompletionBody) -> str:
    if not body.messages:
        return body.prompt
    return "\n".join(f"{message.role}: {message.content}" for message in body.messages)


def _token_text(job: Job, index: int) -> str:
    return f"{job.prompt[:16]}.{index} "


def _count_usage(job: Job) -> dict[str, int]:
    return {
        "prompt_tokens": len(job.prompt) // CHARACTERS_PER_TOKEN,
        "completion_tokens": job.max_tokens,
    }


def _encode_token(job: Job, index: int) -> bytes:
    choice = {"index": 0, "text": _token_text(job, index)}
    if index + 1 < job.max_tokens:
        return msgspec.json.encode({"choices": [choice]})
    choice["finish_reason"] = "length"
    return msgspec.json.encode({"choices": [choice], "usage": _count_usage(job)})


def _encode_completion(body: _CompletionBody, job: Job, token_texts: list[str]) -> bytes:
    choice = {"index": 0, "text": "".join(token_texts), "finish_reason": "length"}
    usage = _count_usage(job)
    return msgspec.json.encode({"model": body.model, "choices": [choice], "usage": usage})


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    for name, default in (
        ("slots", 8),
        ("step-seconds", 0.02),
        ("step-growth", 0.15),
        ("block-seconds", 0.002),
        ("cache-blocks", 2048),
        ("speed", 1.0),
        ("event-gap", 0.0),
        ("seed", 1),
        ("load-lag", 0.0),
        ("event-lag", 0.0),
    ):
        parser.add_argument(f"--{name}", type=type(default), default=default)
    options, _ = parser.parse_known_args()
    batch = BatchOptions(
        options.slots,
        options.step_seconds,
        options.step_growth,
        options.block_seconds,
        options.cache_blocks,
        options.speed,
        options.event_gap,
        options.seed,
    )

    def start(runtime: object, bind: tuple[str, int]) -> WebServer:
        engine = EngineStandin(batch, options.load_lag, options.event_lag)
        return WebServer(runtime, bind, engine.handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
