"""Gateway for plain HTTP services and resumable event streams, beside the model interface."""

from __future__ import annotations

__all__: list[str] = []
