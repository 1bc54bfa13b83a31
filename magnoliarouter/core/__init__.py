"""Decisions of the router: pure functions and state machines without I/O or clock reads."""

from __future__ import annotations

from magnoliarouter.core.contract import Contract, Limits, effective_limits
from magnoliarouter.core.outcome import Completed, NotRun, Outcome, ResultCode, Unknown

__all__ = [
    "Completed",
    "Contract",
    "Limits",
    "NotRun",
    "Outcome",
    "ResultCode",
    "Unknown",
    "effective_limits",
]
