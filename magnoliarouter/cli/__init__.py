"""Command-line tool of operators."""

from __future__ import annotations

__all__: list[str] = []
