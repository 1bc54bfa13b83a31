"""Writes log lines without blocking on their reader.

Lines are buffered in memory, up to a limit, until the reader accepts them. Above a limit on lines
per second, ordinary lines are dropped and important ones, such as failures, are kept. Dropped lines
are counted, and the count is logged.
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

# A pipe that polls as writable accepts this many bytes without blocking (POSIX, PIPE_BUF).
PIPE_BUF_BYTES = 4096
# Size limit of the buffer of lines for a slow reader.
MAX_BUFFERED_BYTES = 1_048_576
# Ten times the rate at which a daemon logs at the peak of 14.5 requests per second.
MAX_LINES_PER_S = 400
# Delay before the next try when the descriptor is not writable.
WRITE_RETRY_S = 0.05


@dataclass(slots=True)
class LineSink:
    """Destination of log messages on one file descriptor.

    Parameters
    ----------
    descriptor : int
        File descriptor to write to.
    max_lines_per_s : int
        Maximum number of lines per second; important lines are written beyond it.
    max_buffered_bytes : int
        Maximum number of bytes buffered for the reader.
    on_drop : callable
        Called with the reason and the number of dropped lines.
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
        """Write a message as a JSON line; `important` ones are exempt from the rate limit."""
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
        """Write buffered lines while the descriptor accepts them without blocking."""
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
            # Before the loop starts and after it ends, no request waits for the daemon.
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

    def _schedule_flush(self, delay_s: float) -> bool:
        """Schedule a flush after `delay_s` seconds; return whether there is a running loop."""
        if not self._flush_scheduled:
            try:
                loop = asyncio.get_running_loop()
            except RuntimeError:
                return False
            self._flush_scheduled = True
            loop.call_later(delay_s, self.flush)
        return True
