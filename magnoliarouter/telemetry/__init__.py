"""Logs and metrics of a daemon."""

from __future__ import annotations

__all__: list[str] = []
