"""Daemons of all roles, assembled from settings, event loop, servers, logs and metrics."""

from __future__ import annotations

__all__: list[str] = []
