"""Plays the seeds of a soak by hand."""

from __future__ import annotations

import argparse
import asyncio
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from collections.abc import Awaitable, Callable

__all__ = ["play_seeds"]


def play_seeds(
    description: str, play: Callable[[int, float], Awaitable[tuple[str, list[str]]]]
) -> int:
    """Play seeds, print what each found, and return 1 if a promise was broken, else 0.

    Parameters
    ----------
    description : str
        What the soak does, for its help.
    play : callable
        Coroutine function that plays a seed for some seconds, and returns a summary and the broken
        promises.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seeds", type=int, default=50)
    parser.add_argument("--first", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=6.0)
    arguments = parser.parse_args()
    broken = 0
    for seed in range(arguments.first, arguments.first + arguments.seeds):
        summary, violations = asyncio.run(play(seed, arguments.seconds))
        print(f"seed {seed}: {summary}", flush=True)
        for violation in violations[:5]:
            print(f"  {violation}", flush=True)
        broken += bool(violations)
    return 1 if broken else 0
