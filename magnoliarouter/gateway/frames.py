"""Splits a stream of server-sent events into complete events."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

from magnoliarouter.core.framing import Framing

__all__ = ["MAX_EVENT_BYTES", "FrameSplitter", "is_event_stream"]

EVENT_STREAM = b"text/event-stream"
EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")
LINE_ENDS = b"\r\n"
# The longest end of an event.
MAX_EVENT_END_BYTES = 4
MAX_EVENT_BYTES = 1_048_576


def is_event_stream(fields: list[tuple[bytes, bytes]]) -> bool:
    """Return whether header fields declare a stream of events, or no other type.

    Parameters
    ----------
    fields : list of (bytes, bytes)
        Header fields of a response.

    Examples
    --------
    >>> is_event_stream([(b"Content-Type", b"text/event-stream; charset=utf-8")])
    True
    """
    for name, value in fields:
        if name.lower() == b"content-type":
            return value.split(b";")[0].strip().lower() == EVENT_STREAM
    return True


@dataclass(slots=True)
class FrameSplitter:
    """Passes only complete events and tracks the id of the last one.

    Parameters
    ----------
    last_id : bytes, optional
        Id of the last event that was passed. Events with a number up to it are dropped, since an
        endpoint that resumes the stream may repeat some.
    events : int
        Number of events that were passed. Comments pass with them, and are no events.
    received : int
        Number of whole events since the last restart, dropped ones included.

    Examples
    --------
    >>> splitter = FrameSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda"), splitter.last_id
    (b'id: 1\\ndata: a\\n\\n', b'1')
    """

    last_id: bytes | None = None
    partial: bytearray = field(default_factory=bytearray)
    events: int = 0
    received: int = 0

    def feed(self, data: bytes) -> bytes:
        """Add received bytes and return the events and comments that they complete.

        Raises
        ------
        ValueError
            The incomplete event has over `MAX_EVENT_BYTES`.
        """
        if len(self.partial) > MAX_EVENT_BYTES:
            raise ValueError(f"an event has over {MAX_EVENT_BYTES} bytes")
        unsearched = max(0, len(self.partial) - MAX_EVENT_END_BYTES + 1)
        self.partial += data
        complete = bytearray()
        start = 0
        for end in EVENT_END.finditer(self.partial, unsearched):
            event = bytes(self.partial[start : end.end()])
            start = end.end()
            if _is_comment(event):
                complete += event
                continue
            self.received += 1
            if self._is_new(event):
                complete += event
                self.events += 1
        del self.partial[:start]
        return bytes(complete)

    @property
    def inside_event(self) -> bool:
        """Whether the bytes received so far end inside an event."""
        return bool(self.partial.strip(LINE_ENDS))

    def find_truncation(self, framing: Framing | None) -> str | None:
        """Return why a stream whose body has ended is not whole, or None if it is.

        Parameters
        ----------
        framing : Framing, optional
            What marked the end of the body.
        """
        if self.inside_event:
            return "the stream ended inside an event"
        if framing is Framing.CLOSE and not self.received:
            return "the stream ended with its connection before any event"
        return None

    def restart(self) -> None:
        """Drop an incomplete event before the stream resumes at another endpoint."""
        self.partial.clear()
        self.received = 0

    def _is_new(self, event: bytes) -> bool:
        found = EVENT_ID.search(event)
        if found is None:
            return True
        event_id = found[1].strip()
        if self.last_id is not None and event_id.isdigit() and self.last_id.isdigit():
            if int(event_id) <= int(self.last_id):
                return False
        self.last_id = event_id
        return True


def _is_comment(event: bytes) -> bool:
    """Return whether a part of a stream has no field of an event."""
    lines = event.splitlines() if event[:1] in (b":", b"\r", b"\n") else (event,)
    return all(not line or line[:1] == b":" for line in lines)
