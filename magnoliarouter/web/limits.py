"""Bounds on what callers may send."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServerLimits"]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds on what one connection may send.

    Parameters
    ----------
    header_bytes : int
        Largest request line plus header section.
    body_bytes : int
        Largest request body.
    request_seconds : float
        Longest time from the first byte of a request to its last.
    idle_seconds : float
        Longest time that a connection may stay open between requests.
    connections : int
        Connections served at once; further ones are closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 4_194_304
    request_seconds: float = 10.0
    idle_seconds: float = 75.0
    connections: int = 4_096
