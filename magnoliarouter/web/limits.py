"""Limits on the connections and requests of callers."""

from __future__ import annotations

import resource
from dataclasses import dataclass, replace

__all__ = ["ServerLimits", "fit_connections"]

# Share of the descriptors that a process may open for the connections of callers.
CONNECTIONS_SHARE = 3 / 4


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits of a server on its connections and their requests.

    Parameters
    ----------
    max_header_bytes : int
        Maximum size of the request line and header section, in bytes.
    max_body_bytes : int
        Maximum size of a request body, in bytes.
    request_timeout_s : float
        Maximum time in seconds from the first byte of a request to its last, or in `IngressServer`
        to the end of its head.
    idle_timeout_s : float
        Maximum time in seconds that a connection may stay open between requests, and in
        `IngressServer` also from the end of a request's head to the end of its body.
    max_connections : int
        Maximum number of concurrent connections. For further ones those without a request in
        progress are closed that have been silent for longest; if there are none, the further ones.
    """

    max_header_bytes: int = 16_384
    max_body_bytes: int = 4_194_304
    request_timeout_s: float = 10.0
    idle_timeout_s: float = 75.0
    max_connections: int = 4_096


def fit_connections(limits: ServerLimits) -> ServerLimits:
    """Return limits with no more connections than three quarters of what the process may open."""
    descriptors, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    if descriptors == resource.RLIM_INFINITY:
        return limits
    connections = min(limits.max_connections, int(descriptors * CONNECTIONS_SHARE))
    return replace(limits, max_connections=connections)
