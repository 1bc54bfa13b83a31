"""Command ``explain``: collects what the daemons' logs contain about one request."""

from __future__ import annotations

import sys
from pathlib import Path
from typing import TYPE_CHECKING, Any

import msgspec
from cleo.helpers import argument, option

from magnoliarouter.cli.output import OperatorCommand
from magnoliarouter.cli.result import Done, ExitCode, Failed

if TYPE_CHECKING:
    from collections.abc import Iterable

    from cleo.commands.command import Command

__all__ = ["RequestTrace", "collect_trace", "commands"]

# State changes are shown if they occur during the request or within this time before it. The effect
# of earlier changes is visible in the request's own lines.
CONTEXT_WINDOW_S = 5.0
HIDDEN_FIELDS = {"timestamp", "task_uuid", "task_level", "message_type", "request_id"}
ENDPOINT_STATE_EVENTS = {
    "endpoint_seen",
    "endpoint_draining",
    "endpoint_gone",
    "endpoint_held",
    "endpoint_leaving",
    "endpoint_malformed",
    "endpoint_paused",
    "endpoint_cold",
    "cold_malformed",
    "endpoint_field_malformed",
    "pause_malformed",
    "endpoint_suspected",
}
DAEMON_STATE_EVENTS = {
    "configuration_applied",
    "configuration_older",
    "feed_lost",
    "feed_regained",
    "maps_lease_lost",
    "maps_lease_won",
    "prompt_quarantined",
    "prompt_quarantine_read",
    "prompt_released",
    "started",
    "stopping",
    "broken_off_at_stop",
    "log_lines_dropped",
    "zone_evacuated",
    "zone_evacuation_ended",
}


class RequestTrace(msgspec.Struct):
    """Log lines about one request.

    Parameters
    ----------
    lines : list of dict
        The request's lines and the state changes of daemons and endpoints around them, in
        chronological order; ``daemon`` names the source.
    passed_over : int
        Number of lines that are not log lines of this program.
    """

    lines: list[dict[str, Any]]
    passed_over: int = 0


def collect_trace(request_id: str, sources: Iterable[tuple[str, Iterable[str]]]) -> RequestTrace:
    """Collect the log lines about a request.

    Parameters
    ----------
    request_id : str
        Id of the request.
    sources : iterable of (str, iterable of str)
        Name and lines of each daemon's log.
    """
    trace = RequestTrace([])
    for name, lines in sources:
        decoded = []
        for line in lines:
            message = _decode_line(line)
            if message is None:
                trace.passed_over += bool(line.strip())
            else:
                decoded.append({**message, "daemon": name})
        trace.lines += _select_messages(request_id, decoded)
    trace.lines.sort(key=lambda message: message["timestamp"])
    return trace


def _decode_line(line: str) -> dict[str, Any] | None:
    # Log collectors may prefix a line with a timestamp and a name.
    start = line.find("{")
    if start < 0:
        return None
    try:
        message = msgspec.json.decode(line[start:])
    except (msgspec.MsgspecError, ValueError):
        return None
    if not isinstance(message, dict) or "message_type" not in message:
        return None
    return message if isinstance(message.get("timestamp"), int | float) else None


def _select_messages(request_id: str, messages: list[dict[str, Any]]) -> list[dict[str, Any]]:
    request_messages = [message for message in messages if message.get("request_id") == request_id]
    if not request_messages:
        return []
    window_start = min(message["timestamp"] for message in request_messages) - CONTEXT_WINDOW_S
    window_end = max(message["timestamp"] for message in request_messages)
    used_endpoints = {
        message["endpoint"] for message in request_messages if message.get("endpoint")
    }
    state_changes = [
        message
        for message in messages
        if window_start <= message["timestamp"] <= window_end
        and (
            message["message_type"] in DAEMON_STATE_EVENTS
            or (
                message["message_type"] in ENDPOINT_STATE_EVENTS
                and message.get("endpoint") in used_endpoints
            )
        )
    ]
    return request_messages + state_changes


class Explain(OperatorCommand):
    """Command ``explain``."""

    name = "explain"
    description = "Tell what happened to one request, from log lines of one or more daemons"
    arguments = [
        argument("request", "Id of the request"),
        argument("files", "Log files; standard input if none", optional=True, multiple=True),
    ]
    options = [option("json", None, "Print one JSON value instead of lines")]

    def handle(self) -> int:
        """Read the log lines and print those about the request."""
        files = self.argument("files")
        try:
            sources = [
                (path, Path(path).read_text(encoding="utf-8", errors="replace").splitlines())
                for path in files
            ]
        except OSError as error:
            message = f"cannot read log {error.filename}: {error.strerror}"
            return self.report(Failed(ExitCode.USAGE, message))
        if not files:
            sources = [("-", sys.stdin.read().splitlines())]
        trace = collect_trace(self.argument("request"), sources)
        if not trace.lines:
            message = f"no line about request {self.argument('request')!r}"
            return self.report(Failed(ExitCode.NOT_FOUND, message))
        text = "\n".join(
            _format_message(message, trace.lines[0]["timestamp"]) for message in trace.lines
        )
        if trace.passed_over:
            text += f"\n{trace.passed_over} other lines were passed over"
        return self.report(Done(text, msgspec.to_builtins(trace)))


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [Explain()]


def _format_message(message: dict[str, Any], start: float) -> str:
    fields = {
        name: value
        for name, value in message.items()
        if name not in HIDDEN_FIELDS and name != "daemon" and value not in ("", None)
    }
    text_fields = " ".join(f"{name}={value}" for name, value in fields.items())
    seconds = message["timestamp"] - start
    return f"{seconds:+9.3f} s {message['daemon']} {message['message_type']}: {text_fields}"
