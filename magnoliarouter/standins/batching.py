"""Continuous batching for the engine stand-in, with a priority queue and a prefix cache."""

from __future__ import annotations

import asyncio
import heapq
import itertools
import random
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from magnoliarouter.core.prefixes import HEAD_BLOCKS, hash_blocks

__all__ = ["Batch", "BatchOptions", "CacheEvent", "Job", "PrefixCache"]

MAX_CACHE_EVENTS = 4096
MAX_RESUMABLE_STREAMS = 1024
PREFILL_BLOCKS_PER_STEP = 32


@dataclass(frozen=True, slots=True)
class BatchOptions:
    """Behaviour of a simulated engine.

    Parameters
    ----------
    slots : int
        Maximum number of requests in a batch.
    step_seconds : float
        Duration of a step with one request, in seconds.
    step_growth : float
        Fraction by which a full batch lengthens a step; a smaller batch lengthens it
        proportionally less.
    block_seconds : float
        Time to compute one prompt block that is not in the cache, in seconds.
    cache_blocks : int
        Capacity of the prefix cache in blocks.
    speed : float
        Divisor of all times; 0.25 makes the engine four times slower.
    event_loss_share : float
        Probability that a cache event is lost.
    seed : int
        Seed of the event loss.
    """

    slots: int = 8
    step_seconds: float = 0.02
    step_growth: float = 0.15
    block_seconds: float = 0.002
    cache_blocks: int = 2048
    speed: float = 1.0
    event_loss_share: float = 0.0
    seed: int = 1


@dataclass(frozen=True, slots=True)
class CacheEvent:
    """Numbered change of the prefix cache; reports only blocks at the head of a prompt."""

    sequence: int
    time: float
    stored: tuple[int, ...]
    removed: tuple[int, ...]


@dataclass(slots=True)
class Job:
    """Request in the engine.

    Parameters
    ----------
    request_id : str
        Id by which an interrupted stream can be resumed.
    prompt : str
        Whole prompt.
    priority : int
        0 is served first.
    max_tokens : int
        Number of tokens to generate.
    generated : int
        Number of tokens generated so far; a resumed stream starts above 0.
    """

    request_id: str
    prompt: str
    priority: int
    max_tokens: int
    generated: int = 0
    cancelled: bool = False
    cached_blocks: int = 0
    prefill_blocks: int = 0
    tokens: asyncio.Queue[int] = field(default_factory=asyncio.Queue)

    @property
    def is_done(self) -> bool:
        """Whether all tokens are generated."""
        return self.generated >= self.max_tokens


class PrefixCache:
    """LRU cache of prompt blocks.

    Parameters
    ----------
    options : BatchOptions
        Cache size and event loss.
    """

    def __init__(self, options: BatchOptions) -> None:
        self.sequence = 0
        self.hit_blocks = 0
        self.looked_up_blocks = 0
        self.events: deque[CacheEvent] = deque(maxlen=MAX_CACHE_EVENTS)
        self._options = options
        self._random = random.Random(options.seed)
        self._blocks: OrderedDict[int, int] = OrderedDict()

    def load_prompt(self, prompt: str, now: float) -> tuple[int, int]:
        """Look up a prompt, store its missing blocks, and return the hit and miss counts."""
        blocks = hash_blocks(prompt)
        hits = 0
        while hits < len(blocks) and blocks[hits] in self._blocks:
            hits += 1
        self.hit_blocks += hits
        self.looked_up_blocks += len(blocks)
        stored = tuple(block for block in blocks[hits:HEAD_BLOCKS])
        for depth, block in reversed(list(enumerate(blocks))):
            self._blocks[block] = depth
            self._blocks.move_to_end(block)
        self._publish_event(stored, self._evict(), now)
        return hits, len(blocks) - hits

    def _evict(self) -> tuple[int, ...]:
        removed = []
        while len(self._blocks) > self._options.cache_blocks:
            block, depth = self._blocks.popitem(last=False)
            if depth < HEAD_BLOCKS:
                removed.append(block)
        return tuple(removed)

    def _publish_event(self, stored: tuple[int, ...], removed: tuple[int, ...], now: float) -> None:
        if not stored and not removed:
            return
        self.sequence += 1
        if self._random.random() >= self._options.event_loss_share:
            self.events.append(CacheEvent(self.sequence, now, stored, removed))


class Batch:
    """Runs the requests in the batch step by step, and queues the others by priority.

    Parameters
    ----------
    options : BatchOptions
        Behaviour of the engine.
    """

    def __init__(self, options: BatchOptions) -> None:
        self.options = options
        self.cache = PrefixCache(options)
        self.running: list[Job] = []
        self.peak_queue = 0
        self.steps = 0
        self._queue: list[tuple[int, int, Job]] = []
        self._arrival_numbers = itertools.count()
        self._resumable: OrderedDict[str, int] = OrderedDict()
        self._loop = asyncio.get_running_loop()
        self._task: asyncio.Task[None] | None = None

    @property
    def queued(self) -> int:
        """Number of requests that wait for a slot in the batch."""
        return sum(1 for _, _, job in self._queue if not job.cancelled)

    @property
    def step_seconds(self) -> float:
        """Duration of a step of the current batch in seconds, without prefill."""
        options = self.options
        fullness = max(0, len(self.running) - 1) / max(1, options.slots - 1)
        growth = 1 + options.step_growth * fullness
        return options.step_seconds * growth / options.speed

    def submit(self, job: Job) -> None:
        """Queue a request."""
        heapq.heappush(self._queue, (job.priority, next(self._arrival_numbers), job))
        if self._task is None or self._task.done():
            self._task = self._loop.create_task(self._run())

    def cancel(self, job: Job) -> None:
        """Stop a request; its id can resume the stream."""
        job.cancelled = True
        self.running = [other for other in self.running if other is not job]
        if job.request_id:
            self._resumable[job.request_id] = job.generated
            while len(self._resumable) > MAX_RESUMABLE_STREAMS:
                self._resumable.popitem(last=False)

    def resume_point(self, request_id: str, received_tokens: int) -> int:
        """Return the token index at which a stream resumes, and forget its id."""
        return min(received_tokens, self._resumable.pop(request_id, 0))

    async def _run(self) -> None:
        while self.running or self.queued:
            self._fill_batch()
            self.peak_queue = max(self.peak_queue, self.queued)
            prefill = self._prefill()
            step_s = self.step_seconds + prefill * self.options.block_seconds / self.options.speed
            await asyncio.sleep(step_s)
            self._emit_tokens()
            self.steps += 1

    def _fill_batch(self) -> None:
        while self._queue and len(self.running) < self.options.slots:
            _, _, job = heapq.heappop(self._queue)
            if job.cancelled:
                continue
            hits, misses = self.cache.load_prompt(job.prompt, self._loop.time())
            job.cached_blocks, job.prefill_blocks = hits, misses
            self.running.append(job)

    def _prefill(self) -> int:
        budget = PREFILL_BLOCKS_PER_STEP
        for job in self.running:
            computed = min(budget, job.prefill_blocks)
            job.prefill_blocks -= computed
            budget -= computed
        return PREFILL_BLOCKS_PER_STEP - budget

    def _emit_tokens(self) -> None:
        for job in self.running:
            if job.prefill_blocks == 0 and not job.is_done:
                job.tokens.put_nowait(job.generated)
                job.generated += 1
        self.running = [job for job in self.running if not job.is_done]
