"""Queues calls while all endpoints that serve them are full."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.core.fairness import (
    DeadlineUnreachable,
    Displaced,
    FairQueue,
    QueueEntry,
    QueueFull,
)
from magnoliarouter.core.outcome import NotRun, ResultCode
from magnoliarouter.core.placement import NoCapacity
from magnoliarouter.pipeline.call import ModelCall
from magnoliarouter.pipeline.retry import ForwardResult, explain_choice

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

    from prometheus_client import Gauge

    from magnoliarouter.core.outcome import Outcome
    from magnoliarouter.pipeline.call import Call
    from magnoliarouter.pipeline.place import Placement

__all__ = ["WaitQueue", "rank_call"]

RECHECK_INTERVAL_S = 0.05
PREFERRED_STANDING = "current"


def rank_call(call: Call) -> tuple[int, int]:
    """Return the rank of a call: standing "current" first, then the contract's priority."""
    return (int(call.contract.standing != PREFERRED_STANDING), call.limits.priority)


@dataclass(slots=True, eq=False)
class _Waiter:
    call: Call
    decision: asyncio.Future[NotRun | None]


@dataclass(slots=True)
class WaitQueue:
    """Calls of one entry daemon that wait for an endpoint.

    Parameters
    ----------
    placement : Placement
        Determines whether a call can be placed now.
    capacity : int
        Maximum number of calls that wait for each model or service.
    clock : callable
        Loop time in seconds.
    waiting : Gauge
        Gauge of the number of waiting calls.
    """

    placement: Placement
    capacity: int
    clock: Callable[[], float]
    waiting: Gauge
    _queues: dict[str, FairQueue] = field(default_factory=dict)
    _paused_until: dict[str, float] = field(default_factory=dict)
    _timer: asyncio.TimerHandle | None = None

    async def forward_when_placeable(
        self, call: Call, forward: Callable[[], Awaitable[ForwardResult]]
    ) -> ForwardResult:
        """Forward a call once there is free capacity; wait again if the endpoints turn out full.

        Parameters
        ----------
        call : Call
            The call.
        forward : callable
            Coroutine function that forwards the call.
        """
        refusal = await self.wait_for_capacity(call)
        while refusal is None:
            try:
                result = await forward()
            finally:
                self.serve_queues()
            if result.responded or not _is_queue_full(result.outcome):
                return result
            refusal = await self.wait_for_capacity(call, requeued=True)
        return ForwardResult(refusal, False)

    async def wait_for_capacity(self, call: Call, requeued: bool = False) -> NotRun | None:
        """Wait until a call can be placed and return None, or return why it is refused.

        Parameters
        ----------
        call : Call
            The call.
        requeued : bool
            Whether the call was forwarded before but found the endpoints full.
        """
        name = _name_queue(call)
        queue = self._queues.setdefault(name, FairQueue(self.capacity))
        if not queue and not requeued and not isinstance(self.placement.place(call), NoCapacity):
            return None
        if requeued:
            # The known load of the endpoints was outdated, so the queue pauses before the next try.
            self._paused_until[name] = self.clock() + RECHECK_INTERVAL_S
        waiter = _Waiter(call, asyncio.get_running_loop().create_future())
        refusal = self._push(queue, waiter, requeued)
        if refusal is not None:
            return refusal
        self._set_timer()
        try:
            return await waiter.decision
        finally:
            queue.remove(waiter)
            self._update_gauge()

    def serve_queues(self) -> None:
        """Release calls that can be placed and refuse those that cannot meet their deadline."""
        for name, queue in list(self._queues.items()):
            self._expire(queue)
            if self.clock() >= self._paused_until.get(name, 0.0) and self._serve_next(queue):
                # The released call is counted on its endpoint before the next one is considered.
                asyncio.get_running_loop().call_soon(self.serve_queues)
            if not queue:
                del self._queues[name]
                self._paused_until.pop(name, None)
        self._update_gauge()

    def _push(self, queue: FairQueue, waiter: _Waiter, requeued: bool) -> NotRun | None:
        call = waiter.call
        contract, limits = call.contract, call.limits
        rank, weight = rank_call(call), limits.weight
        entry = QueueEntry(rank, contract.customer, weight, call.deadline, waiter, requeued)
        match queue.push(entry, self.clock()):
            case QueueFull(retry_after):
                return NotRun(ResultCode.QUEUE_FULL, "the queue is full", retry_after)
            case DeadlineUnreachable(retry_after):
                reason = f"the deadline cannot be met: {retry_after:.1f} s to wait"
                return NotRun(ResultCode.DEADLINE_UNREACHABLE, reason, retry_after)
            case Displaced(displaced, retry_after):
                reason = "the queue is full and others are served first"
                _resolve(displaced, NotRun(ResultCode.DISPLACED, reason, retry_after))
        self._update_gauge()
        return None

    def _serve_next(self, queue: FairQueue) -> bool:
        entry = queue.peek()
        if entry is None:
            return False
        choice = self.placement.place(entry.item.call)
        if isinstance(choice, NoCapacity):
            return False
        queue.pop(self.clock())
        refusal = explain_choice(choice)
        _resolve(entry, None if refusal.code is ResultCode.NO_ENDPOINT else refusal)
        return True

    def _expire(self, queue: FairQueue) -> None:
        for entry in queue.expire(self.clock()):
            reason = "the deadline cannot be met in the queue any more"
            wait = queue.estimate_wait(len(queue))
            _resolve(entry, NotRun(ResultCode.DEADLINE_UNREACHABLE, reason, wait))

    def _set_timer(self) -> None:
        if self._timer is None:
            loop = asyncio.get_running_loop()
            self._timer = loop.call_later(RECHECK_INTERVAL_S, self._on_timer)

    def _on_timer(self) -> None:
        self._timer = None
        self.serve_queues()
        if self._queues:
            self._set_timer()

    def _update_gauge(self) -> None:
        self.waiting.set(sum(len(queue) for queue in self._queues.values()))


def _name_queue(call: Call) -> str:
    work = call.work
    return f"model/{work.model}" if isinstance(work, ModelCall) else f"service/{work.service}"


def _is_queue_full(outcome: Outcome) -> bool:
    return isinstance(outcome, NotRun) and outcome.code is ResultCode.QUEUE_FULL


def _resolve(entry: QueueEntry, refusal: NotRun | None) -> None:
    decision = entry.item.decision
    if not decision.done():
        decision.set_result(refusal)
