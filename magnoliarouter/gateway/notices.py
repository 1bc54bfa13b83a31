"""What endpoints said about themselves: that they leave, or that they want no requests for a time.

Both bind this daemon alone, which heard them. They concern one start of an endpoint, and outlast
its entry in the registry, which may lag behind.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from dataclasses import dataclass, field
from typing import TYPE_CHECKING

from magnoliarouter.core.decimals import is_decimal

if TYPE_CHECKING:
    from magnoliarouter.gateway.endpoints import Endpoint

__all__ = ["EndpointNotices", "parse_pause"]

# A longer pause is cut to this. It is beyond the deadline of any call, and a value in a wrong unit
# must not take an endpoint out of service for hours.
MAX_PAUSE_S = 60.0
# Endpoints remembered; the oldest notices are forgotten first.
MAX_NOTICES = 4096


def parse_pause(value: bytes) -> float:
    """Return the seconds for which an endpoint wants no requests, at most `MAX_PAUSE_S`.

    Parameters
    ----------
    value : bytes
        Decimal number of seconds, with or without a fraction.

    Raises
    ------
    ValueError
        The value is no number of seconds.

    Examples
    --------
    >>> parse_pause(b"1.5"), parse_pause(b"86400")
    (1.5, 60.0)
    """
    text = value.strip()
    if not is_decimal(text):
        raise ValueError(f"pause is {value!r}; valid: seconds, as in 1 or 0.25")
    seconds = float(text)
    return min(seconds, MAX_PAUSE_S) if math.isfinite(seconds) else MAX_PAUSE_S


@dataclass(slots=True)
class _Notice:
    """Notices of one endpoint name.

    Parameters
    ----------
    left_at_start : int, optional
        Start of the endpoint that said that it leaves.
    paused_start : int
        Start of the endpoint that asked for the pause.
    paused_until : float
        Loop time of the end of the pause.
    malformed : set of str
        Kinds of notices that it gave with a malformed value.
    """

    left_at_start: int | None = None
    paused_start: int = 0
    paused_until: float = float("-inf")
    malformed: set[str] = field(default_factory=set)


@dataclass(slots=True)
class EndpointNotices:
    """Notices by name of the endpoint."""

    _notices: OrderedDict[str, _Notice] = field(default_factory=OrderedDict)

    def record_leaving(self, endpoint: Endpoint) -> bool:
        """Record that an endpoint leaves, and return whether that is new."""
        if self.is_leaving(endpoint):
            return False
        self._open(endpoint.identity).left_at_start = endpoint.started_ms
        return True

    def record_pause(self, endpoint: Endpoint, seconds: float, now: float) -> bool:
        """Record that an endpoint wants no requests, and return whether that lengthens its pause.

        Parameters
        ----------
        endpoint : Endpoint
            The endpoint.
        seconds : float
            Length of the pause from now on.
        now : float
            Loop time in seconds.
        """
        if now + seconds <= max(now, self.paused_until(endpoint)):
            return False
        notice = self._open(endpoint.identity)
        notice.paused_start, notice.paused_until = endpoint.started_ms, now + seconds
        return True

    def record_malformed(self, endpoint: Endpoint, kind: str) -> bool:
        """Record a malformed notice, and return whether it is the endpoint's first of its kind."""
        malformed = self._open(endpoint.identity).malformed
        first = kind not in malformed
        malformed.add(kind)
        return first

    def is_leaving(self, endpoint: Endpoint) -> bool:
        """Return whether this start of an endpoint, or a later one, said that it leaves."""
        notice = self._notices.get(endpoint.identity)
        if notice is None or notice.left_at_start is None:
            return False
        return endpoint.started_ms <= notice.left_at_start

    def paused_until(self, endpoint: Endpoint) -> float:
        """Return the loop time until which an endpoint wants no requests; it may be in the past."""
        notice = self._notices.get(endpoint.identity)
        if notice is None or endpoint.started_ms > notice.paused_start:
            return float("-inf")
        return notice.paused_until

    def _open(self, identity: str) -> _Notice:
        notice = self._notices.setdefault(identity, _Notice())
        self._notices.move_to_end(identity)
        if len(self._notices) > MAX_NOTICES:
            self._notices.popitem(last=False)
        return notice
