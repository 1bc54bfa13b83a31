"""Small stand-ins for what the system meets, and the tools that load and fault it."""

from __future__ import annotations

__all__: list[str] = []
