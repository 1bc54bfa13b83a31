"""HTTP servers and connections to endpoints, on the asyncio loop."""

from __future__ import annotations

__all__: list[str] = []
