"""Splits a stream of server-sent events at the ends of events."""

from __future__ import annotations

import re
from dataclasses import dataclass, field

__all__ = ["FrameSplitter"]

EVENT_ID = re.compile(rb"^id:[ ]?([^\r\n]*)", re.MULTILINE)
EVENT_END = re.compile(rb"\r?\n\r?\n")


@dataclass(slots=True)
class FrameSplitter:
    """Passes on whole events only and remembers the id of the last one.

    Parameters
    ----------
    last_id : bytes, optional
        Id of the last event that was passed on. Events with a number up to it are dropped: an
        endpoint that goes on elsewhere may repeat some.

    Examples
    --------
    >>> splitter = FrameSplitter()
    >>> splitter.feed(b"id: 1\\ndata: a\\n\\nid: 2\\nda"), splitter.last_id
    (b'id: 1\\ndata: a\\n\\n', b'1')
    """

    last_id: bytes | None = None
    partial: bytearray = field(default_factory=bytearray)

    def feed(self, data: bytes) -> bytes:
        """Take bytes and return those of the events that they complete."""
        self.partial += data
        complete = bytearray()
        start = 0
        for end in EVENT_END.finditer(self.partial):
            event = bytes(self.partial[start : end.end()])
            start = end.end()
            if self._is_new(event):
                complete += event
        del self.partial[:start]
        return bytes(complete)

    def restart(self) -> None:
        """Drop the part of an event that was cut off, before the stream goes on elsewhere."""
        self.partial.clear()

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
