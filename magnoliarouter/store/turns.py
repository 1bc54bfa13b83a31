"""Work that is split into turns of the event loop, so that other tasks run in between."""

from __future__ import annotations

import asyncio
from collections.abc import Generator
from typing import TypeAlias, TypeVar

__all__ = ["Work", "finish", "run_in_turns"]

T = TypeVar("T")
# Yields where a turn may end, and returns the result.
Work: TypeAlias = Generator[None, None, T]


def finish(work: Work[T]) -> T:
    """Run the work without a pause and return its result."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            return stop.value


async def run_in_turns(work: Work[T]) -> T:
    """Run the work and return its result; other tasks run wherever it yields."""
    while True:
        try:
            next(work)
        except StopIteration as stop:
            return stop.value
        await asyncio.sleep(0)
