"""Load balancer for expert-parallel model groups, configured by one contract per customer."""

from __future__ import annotations

__all__ = ["__version__"]

__version__ = "0.1.0"
