"""Event loop on a clock that advances while the VM is suspended."""

from __future__ import annotations

import asyncio
import time

__all__ = ["BootClockLoop"]


class BootClockLoop(asyncio.SelectorEventLoop):
    """Selector loop whose time includes suspension.

    A key or a lease that is valid for some seconds must not outlive a suspension of the VM. The
    loop's default clock stops during a suspension.
    """

    def time(self) -> float:
        """Return seconds since the VM booted."""
        return time.clock_gettime(time.CLOCK_BOOTTIME)
