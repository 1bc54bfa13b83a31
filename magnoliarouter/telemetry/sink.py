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
PIPE_BUF_BYTES = 4096
# Lines that a slow reader may leave waiting.
MAX_BUFFERED_BYTES = 1_048_576
# Ten times what a daemon writes at the peak of 14.5 requests a second.
MAX_LINES_PER_S = 400
# A reader that is stuck is asked again after this.
WRITE_RETRY_S = 0.05


@dataclass(slots=True)
class LineSink:
    """Destination of log messages on one file descriptor.

    Parameters
    ----------
    descriptor : int
        Where lines go.
    max_lines_per_s : int
        Ordinary lines a second.
    max_buffered_bytes : int
        Bytes that may wait for the reader.
    on_drop : callable
        Called with the reason and number of lines dropped.
    """

    descriptor: int
    max_lines_per_s: int = MAX_LINES_PER_S
    max_buffered_bytes: int = MAX_BUFFERED_BYTES
    on_drop: Callable[[str, int], None] = lambda reason, lines: None
    dropped_lines: int = 0
    _buffered_lines: deque[bytes] = field(default_factory=deque)
    _buffered_bytes: int = 0
    _current_second: int = 0
    _lines_in_second: int = 0
    _flush_scheduled: bool = False

    def __call__(self, message: dict[str, Any]) -> None:
        """Take a message; `important` ones are kept beyond the lines a second."""
        important = message.pop("important", False)
        second = int(message.get("timestamp", 0.0))
        if second != self._current_second:
            self._current_second, self._lines_in_second = second, 0
            self._report_dropped_lines(message)
        self._lines_in_second += 1
        if self._lines_in_second > self.max_lines_per_s and not important:
            self._drop_line("rate")
            return
        self._buffer_line(msgspec.json.encode(message, enc_hook=str) + b"\n")

    def flush(self) -> None:
        """Write what the reader takes now."""
        self._flush_scheduled = False
        while self._buffered_lines:
            if not select.select([], [self.descriptor], [], 0)[1]:
                self._schedule_flush(WRITE_RETRY_S)
                return
            line = self._buffered_lines.popleft()
            written_bytes = os.write(self.descriptor, line[:PIPE_BUF_BYTES])
            self._buffered_bytes -= written_bytes
            if written_bytes < len(line):
                self._buffered_lines.appendleft(line[written_bytes:])

    def _buffer_line(self, line: bytes) -> None:
        if self._buffered_bytes + len(line) > self.max_buffered_bytes:
            self._drop_line("reader")
            return
        self._buffered_lines.append(line)
        self._buffered_bytes += len(line)
        if not self._schedule_flush(0.0):
            # Before and after the loop runs, nobody waits for the daemon.
            self.flush()

    def _drop_line(self, reason: str) -> None:
        self.dropped_lines += 1
        self.on_drop(reason, 1)

    def _report_dropped_lines(self, message: dict[str, Any]) -> None:
        if self.dropped_lines:
            report = {"message_type": "log_lines_dropped", "lines": self.dropped_lines}
            report["timestamp"] = message.get("timestamp")
            self.dropped_lines = 0
            self._buffer_line(msgspec.json.encode(report) + b"\n")

    def _schedule_flush(self, seconds: float) -> bool:
        """Flush after some seconds, and return whether there is a loop to do so."""
        if not self._flush_scheduled:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                return False
            self._flush_scheduled = True
            loop.call_later(seconds, self.flush)
        return True
