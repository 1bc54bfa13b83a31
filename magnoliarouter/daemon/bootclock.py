"""Event loop on a clock that goes on while the VM is suspended."""

from __future__ import annotations

import asyncio
import time

__all__ = ["BootClockLoop"]


class BootClockLoop(asyncio.SelectorEventLoop):
    """Selector loop whose time counts suspension.

    What is honoured for some seconds, such as a key or a lease, must not outlive a suspension in
    which the loop's usual clock stands still.
    """

    def time(self) -> float:
        """Return seconds since the VM booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
