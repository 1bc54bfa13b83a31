"""Restarts background tasks that end by an exception."""

from __future__ import annotations

import asyncio
import traceback
from typing import TYPE_CHECKING

from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["keep_running"]

# A task that fails at once is tried again at this interval, so that it takes little processor time.
RESTART_INTERVAL_S = 1.0
LOGGED_FRAMES = 3


async def keep_running(
    name: str,
    run: Callable[[], Awaitable[None]],
    on_failure: Callable[[str], None] = lambda name: None,
) -> None:
    """Run a task until it returns or is cancelled, and start it again after an exception.

    Parameters
    ----------
    name : str
        Name of the task for the log.
    run : callable
        Coroutine function of the task; it goes on from the state that the last run left.
    on_failure : callable
        Called with the name after each exception.
    """
    while True:
        try:
            await run()
            return
        except Exception as error:
            frames = traceback.extract_tb(error.__traceback__)[-LOGGED_FRAMES:]
            log_event(
                "task_failed",
                task=name,
                reason=f"{type(error).__name__}: {error}",
                where=[f"{frame.name}:{frame.lineno}" for frame in frames],
                important=True,
            )
            on_failure(name)
        await asyncio.sleep(RESTART_INTERVAL_S)
