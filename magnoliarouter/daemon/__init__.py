"""Assembly of the daemon's roles: settings, loop, HTTP server, logs and metrics."""

from __future__ import annotations

__all__: list[str] = []
