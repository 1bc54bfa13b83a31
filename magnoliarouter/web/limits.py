"""Bounds on what callers may send."""

from __future__ import annotations

from dataclasses import dataclass

__all__ = ["ServerLimits"]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Bounds on what one connection may send.

    Parameters
    ----------
    max_header_bytes : int
        Largest request line plus header section.
    max_body_bytes : int
        Largest request body.
    request_timeout_s : float
        Longest time from the first byte of a request to its last.
    idle_timeout_s : float
        Longest time that a connection may stay open between requests.
    max_connections : int
        Connections served at once; further ones are closed.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    max_connections: int = 4_096
