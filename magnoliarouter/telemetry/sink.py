"""Writes log lines without ever waiting for their reader.

Lines wait in memory, within a bound, until the reader takes them. Beyond a number of lines a
second, ordinary ones are dropped and failures kept; what was dropped is counted and said.
"""

from __future__ import annotations

import asyncio
import os
import select
from collections import deque
from dataclasses import dataclass, field
from typing import TYPE_CHECKING, Any

import msgspec

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["LineSink"]

# A pipe that is writable takes so many bytes without blocking (POSIX, PIPE_BUF).
WRITE_BYTES = 4096
# Lines that a slow reader may leave waiting.
BUFFER_BYTES = 1_048_576
# Ten times what a daemon writes at the peak of 14.5 requests a second.
LINES_PER_S = 400
# A reader that is stuck is asked again after this.
RETRY_S = 0.05


@dataclass(slots=True)
class LineSink:
    """Destination of log messages on one file descriptor.

    Parameters
    ----------
    descriptor : int
        Where lines go.
    lines_per_s : int
        Ordinary lines a second.
    buffer_bytes : int
        Bytes that may wait for the reader.
    on_drop : callable
        Called with the reason and number of lines dropped.
    """

    descriptor: int
    lines_per_s: int = LINES_PER_S
    buffer_bytes: int = BUFFER_BYTES
    on_drop: Callable[[str, int], None] = lambda reason, lines: None
    dropped: int = 0
    _lines: deque[bytes] = field(default_factory=deque)
    _waiting: int = 0
    _second: int = 0
    _written: int = 0
    _scheduled: bool = False

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message; `important` ones are kept beyond the lines a second."""
        important = message.pop("important", False)
        second = int(message.get("timestamp", 0.0))
        if second != self._second:
            self._second, self._written = second, 0
            self._tell_dropped(message)
        self._written += 1
        if self._written > self.lines_per_s and not important:
            self._drop("rate")
            return
        self._put(msgspec.json.encode(message, enc_hook=str) + b"\n")

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._scheduled = False
        while self._lines:
            if not select.select([], [self.descriptor], [], 0)[1]:
                self._schedule(RETRY_S)
                return
            line = self._lines.popleft()
            sent = os.write(self.descriptor, line[:WRITE_BYTES])
            self._waiting -= sent
            if sent < len(line):
                self._lines.appendleft(line[sent:])

    def _put(self, line: bytes) -> None:
        if self._waiting + len(line) > self.buffer_bytes:
            self._drop("reader")
            return
        self._lines.append(line)
        self._waiting += len(line)
        if not self._schedule(0.0):
            # Before and after the loop runs, nobody waits for the daemon.
            self.flush()

    def _drop(self, reason: str) -> None:
        self.dropped += 1
        self.on_drop(reason, 1)

    def _tell_dropped(self, message: dict[str, Any]) -> None:
        if self.dropped:
            told = {"message_type": "log_lines_dropped", "lines": self.dropped}
            told["timestamp"] = message.get("timestamp")
            self.dropped = 0
            self._put(msgspec.json.encode(told) + b"\n")

    def _schedule(self, seconds: float) -> bool:
        """Flush after some seconds, and return whether there is a loop to do so."""
        if not self._scheduled:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                return False
            self._scheduled = True
            loop.call_later(seconds, self.flush)
        return True
