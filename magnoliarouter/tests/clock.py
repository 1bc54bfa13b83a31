"""Event loop whose time stands still until a test advances it."""

from __future__ import annotations

import asyncio
import selectors
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

SETTLE_ROUNDS = 50


class PausedLoop(asyncio.SelectorEventLoop):
    """Loop that polls sockets without waiting and reads its time from `now`."""

    def __init__(self) -> None:
        super().__init__(_NonBlockingSelector())
        self.now = 1000.0

    def time(self) -> float:
        return self.now


class _NonBlockingSelector(selectors.DefaultSelector):
    """Selector that never sleeps, since paused time would not pass meanwhile."""

    on_wait: Callable[[float], None] = staticmethod(lambda seconds: None)

    def select(self, timeout: float | None = None) -> Any:
        if timeout:
            self.on_wait(timeout)
        return super().select(0)


async def advance(seconds: float) -> None:
    """Move a `PausedLoop` forward, running every timer on the way in order."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, PausedLoop)
    end = loop.now + seconds
    await settle()
    while True:
        due = [handle.when() for handle in loop._scheduled if not handle.cancelled()]
        step = min(due, default=end + 1)
        if step > end:
            break
        loop.now = max(loop.now, step)
        await settle()
    loop.now = end
    await settle()


async def settle() -> None:
    """Let everything run that needs no time to pass."""
    for _ in range(SETTLE_ROUNDS):
        await asyncio.sleep(0)


def run_paused(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a `PausedLoop` and return its result."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(main)


class AutoAdvanceLoop(PausedLoop):
    """Loop whose time jumps to the next timer whenever nothing else is left to do."""

    def __init__(self) -> None:
        super().__init__()
        self._selector.on_wait = self._advance_time

    def _advance_time(self, seconds: float) -> None:
        self.now += seconds


def run_auto_advance(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a `AutoAdvanceLoop` and return its result."""
    with asyncio.Runner(loop_factory=AutoAdvanceLoop) as runner:
        return runner.run(main)


async def wait_until(condition: Callable[[], bool], seconds: float = 5.0) -> None:
    """Wait until a condition holds on a loop whose time passes, or fail."""
    step = 0.02
    for _ in range(int(seconds / step)):
        if condition():
            return
        await asyncio.sleep(step)
    raise AssertionError(f"condition did not hold within {seconds} s")


def run_steps(build, steps):
    """Return what `steps` returns of a case whose `task` runs beside it, on a clock that jumps."""

    async def main():
        case = build()
        await asyncio.sleep(0.1)
        try:
            return await steps(case)
        finally:
            case.task.cancel()

    return run_auto_advance(main())
