"""Stand-ins for external systems, and tools for load generation and fault injection."""

from __future__ import annotations

__all__: list[str] = []
