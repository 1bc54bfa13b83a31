"""Experiments that start real processes, measure them and check the figures against targets."""

from __future__ import annotations

__all__: list[str] = []
