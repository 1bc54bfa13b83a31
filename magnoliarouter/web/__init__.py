"""HTTP serving by circuits.web on the asyncio loop."""

from __future__ import annotations

__all__: list[str] = []
