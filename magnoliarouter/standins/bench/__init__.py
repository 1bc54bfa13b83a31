"""Experiments on real processes, each with stated targets."""

from __future__ import annotations

__all__: list[str] = []
