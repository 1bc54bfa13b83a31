"""Event loops with a simulated clock, for tests of timeouts and intervals."""

from __future__ import annotations

import asyncio
import selectors
import time
import unittest
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from collections.abc import Callable, Coroutine

SETTLE_ROUNDS = 50
# Real time in seconds after which no socket of the process is expected to report anything more.
SOCKET_WAIT_S = 0.001


class PausedLoop(asyncio.SelectorEventLoop):
    """Event loop whose clock `now` changes only when a test advances it; never blocks on sockets."""

    def __init__(self, selector: selectors.BaseSelector | None = None) -> None:
        super().__init__(selector or _NonBlockingSelector())
        self.now = 1000.0

    def time(self) -> float:
        return self.now


class _NonBlockingSelector(selectors.DefaultSelector):
    """Selector that returns at once, since the simulated clock does not advance while it blocks.

    `on_wait` is called with each timeout in seconds that a real selector would wait for.
    """

    on_wait: Callable[[float], None] = staticmethod(lambda seconds: None)

    def select(self, timeout: float | None = None) -> Any:
        if timeout:
            self.on_wait(timeout)
        return super().select(0)


async def advance(seconds: float) -> None:
    """Advance the clock of the running `PausedLoop`, and run all timers that are due, in order."""
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
    """Run all callbacks and tasks that can proceed without the clock advancing."""
    for _ in range(SETTLE_ROUNDS):
        await asyncio.sleep(0)


def run_paused(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on a `PausedLoop` and return its result."""
    with asyncio.Runner(loop_factory=PausedLoop) as runner:
        return runner.run(main)


class AutoAdvanceLoop(PausedLoop):
    """Loop whose clock advances to the next timer whenever no callback is ready."""

    def __init__(self) -> None:
        super().__init__()
        self._selector.on_wait = self._advance_time

    def _advance_time(self, seconds: float) -> None:
        self.now += seconds


def run_auto_advance(main: Coroutine[Any, Any, Any]) -> Any:
    """Run a coroutine on an `AutoAdvanceLoop` and return its result."""
    with asyncio.Runner(loop_factory=AutoAdvanceLoop) as runner:
        return runner.run(main)


class SocketLoop(PausedLoop):
    """Loop for tests with sockets, whose time a busy machine does not change.

    Its clock advances to the next timer when no callback is ready and no socket has anything to
    report for `SOCKET_WAIT_S` of real time.
    """

    def __init__(self) -> None:
        super().__init__(_SocketSelector())
        self._selector.on_wait = self._advance_time

    def _advance_time(self, seconds: float) -> None:
        self.now += seconds


class _SocketSelector(selectors.DefaultSelector):
    """Selector that waits for sockets for a short real time, and then calls `on_wait`."""

    on_wait: Callable[[float], None] = staticmethod(lambda seconds: None)

    def select(self, timeout: float | None = None) -> Any:
        found = super().select(0)
        if found or timeout == 0:
            return found
        found = super().select(SOCKET_WAIT_S)
        if not found and timeout:
            self.on_wait(timeout)
        return found


class SocketTimeCase(unittest.IsolatedAsyncioTestCase):
    """Test case that runs on a `SocketLoop`."""

    def _setupAsyncioRunner(self) -> None:
        # From Python 3.13 on, this is the attribute `loop_factory`.
        self._asyncioRunner = asyncio.Runner(debug=True, loop_factory=SocketLoop)


def stall(seconds: float) -> None:
    """Let time pass in which the running `PausedLoop` does nothing, as a process that is held up."""
    loop = asyncio.get_running_loop()
    assert isinstance(loop, PausedLoop)
    # What was sent before arrives meanwhile.
    time.sleep(SOCKET_WAIT_S)
    loop.now += seconds


async def wait_until(condition: Callable[[], bool], seconds: float = 5.0) -> None:
    """Wait until a condition holds, or fail; the clock of the running loop must advance by itself."""
    step = 0.02
    for _ in range(int(seconds / step)):
        if condition():
            return
        await asyncio.sleep(step)
    raise AssertionError(f"condition did not hold within {seconds} s")


def run_steps(build, steps):
    """Run `steps` on a test case while its `task` runs, on an `AutoAdvanceLoop`; return the result.

    Parameters
    ----------
    build : callable
        Creates the case, an object whose attribute `task` is cancelled at the end.
    steps : callable
        Coroutine function that gets the case.
    """

    async def main():
        case = build()
        await asyncio.sleep(0.1)
        try:
            return await steps(case)
        finally:
            case.task.cancel()

    return run_auto_advance(main())
