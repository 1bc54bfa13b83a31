"""Bound on the input that one turn of the loop reads."""

from __future__ import annotations

from typing import TYPE_CHECKING

if TYPE_CHECKING:
    import asyncio

__all__ = ["LATE_READ_BYTES", "TURN_BYTES", "TurnBuffer"]

# Input of all connections that one turn of the loop reads in full.
TURN_BYTES = 262_144
MAX_READ_BYTES = 65_536
# What each further connection reads in the same turn: most requests are no larger.
LATE_READ_BYTES = 1_024


class TurnBuffer:
    """Buffer that all connections of a server read into, one after the other.

    The loop reads every connection that has input before it runs anything else. After `TURN_BYTES`
    the others read little each, so that a crowd does not hold up timers and other connections.

    Parameters
    ----------
    loop : asyncio.AbstractEventLoop
        The running loop.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._buffer = memoryview(bytearray(MAX_READ_BYTES))
        self._left = TURN_BYTES

    def get(self) -> memoryview:
        """Return where the next connection may read to."""
        return self._buffer[: min(MAX_READ_BYTES, max(self._left, LATE_READ_BYTES))]

    def take(self, size: int) -> memoryview:
        """Return the bytes that were read; valid until the next read."""
        if self._left == TURN_BYTES:
            self._loop.call_soon(self._start_turn)
        self._left -= size
        return self._buffer[:size]

    def _start_turn(self) -> None:
        self._left = TURN_BYTES
