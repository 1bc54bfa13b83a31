"""Structured logs: eliot messages as JSON lines."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import Any

import eliot

__all__ = ["log_event", "open_log"]


def open_log(path: str) -> None:
    """Send all log messages to a file as JSON lines.

    Parameters
    ----------
    path : str
        File to append to; ``"-"`` is standard output.
    """
    if path == "-":
        eliot.to_file(sys.stdout)
        return
    stream = Path(path).open("a", buffering=1, encoding="utf-8")  # noqa: SIM115 - open for life
    eliot.to_file(stream)


def log_event(event: str, **fields: Any) -> None:
    """Write one log line.

    Parameters
    ----------
    event : str
        Kind of event, such as ``"request"``.
    **fields
        JSON-serializable details, such as ``request_id`` or ``code``.
    """
    eliot.log_message(message_type=event, **fields)
