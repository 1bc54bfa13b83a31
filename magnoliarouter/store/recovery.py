"""Takes turns at an unavailable store, so that the calls of one process do not all fail at once."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from magnoliarouter.store.backoff import Backoff

__all__ = ["SharedRecovery"]


class SharedRecovery:
    """Back-off that all callers of one store share.

    After a failure, a caller waits for its turn. One caller at a time calls the store again, each
    after a wait of the back-off; as soon as one of them succeeds, the others go on at once. The
    turns go round, since a store may fail some calls and serve others.

    Parameters
    ----------
    backoff : Backoff
        Waits between the calls.
    """

    def __init__(self, backoff: Backoff) -> None:
        self._backoff = backoff
        self._turn = asyncio.Lock()
        self._recovered = asyncio.Event()

    async def wait(self) -> None:
        """Wait after a failed call until the store may be called again."""
        recovered = self._recovered
        async with self._turn:
            if recovered.is_set():
                return
            try:
                async with asyncio.timeout(self._backoff.next_wait()):
                    await recovered.wait()
            except TimeoutError:
                return

    def record_success(self) -> None:
        """Let all callers that wait go on, after a call succeeded."""
        self._backoff.reset()
        if self._turn.locked():
            self._recovered.set()
            self._recovered = asyncio.Event()
