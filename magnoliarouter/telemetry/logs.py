"""Structured logs: eliot messages, written as JSON lines."""

from __future__ import annotations

import os
import sys
from typing import TYPE_CHECKING, Any

import eliot

from magnoliarouter.telemetry.sink import LineSink

if TYPE_CHECKING:
    from collections.abc import Callable

__all__ = ["log_event", "open_log"]


def open_log(
    path: str, on_drop: Callable[[str, int], None] = lambda reason, lines: None
) -> LineSink:
    """Write all log messages to a file as JSON lines.

    Parameters
    ----------
    path : str
        File to append to; ``"-"`` is standard output.
    on_drop : callable, optional
        Called with the reason and the number of dropped lines.
    """
    if path == "-":
        descriptor = sys.stdout.fileno()
    else:
        descriptor = os.open(path, os.O_WRONLY | os.O_APPEND | os.O_CREAT, 0o644)
    sink = LineSink(descriptor, on_drop=on_drop)
    eliot.add_destinations(sink)
    return sink


def log_event(event: str, **fields: Any) -> None:
    """Write one log line.

    Parameters
    ----------
    event : str
        Kind of event, such as ``"request"``.
    **fields
        JSON-serializable details, such as ``request_id`` or ``code``. ``important=True`` exempts
        the line from the rate limit.
    """
    eliot.log_message(message_type=event, **fields)
