"""Guard in front of one endpoint, and the adapters to the endpoint behind it."""

from __future__ import annotations

__all__: list[str] = []
