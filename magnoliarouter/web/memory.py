"""Bound on the memory that responses of endpoints take together."""

from __future__ import annotations

import asyncio
from collections import deque

__all__ = ["ByteBudget", "Reservation", "UNRESERVED_BYTES"]

# Bytes of one response that are held without a reservation.
UNRESERVED_BYTES = 65_536


class ByteBudget:
    """Bytes that all large responses of a process may hold at the same time.

    Parameters
    ----------
    limit : int
        Number of bytes. A larger reservation counts as one of this size.
    """

    def __init__(self, limit: int) -> None:
        self.limit = limit
        self._free = limit
        self._waiting: deque[tuple[int, asyncio.Future[None]]] = deque()

    @property
    def reserved(self) -> int:
        """Bytes that are reserved."""
        return self.limit - self._free

    async def acquire(self, amount: int) -> int:
        """Wait in turn until `amount` bytes are free, and return the bytes reserved."""
        amount = min(amount, self.limit)
        if amount <= self._free and not self._waiting:
            self._free -= amount
            return amount
        turn: asyncio.Future[None] = asyncio.get_running_loop().create_future()
        self._waiting.append((amount, turn))
        try:
            await turn
        except asyncio.CancelledError:
            if turn.done() and not turn.cancelled():
                self.release(amount)
            else:
                self._serve()
            raise
        return amount

    def release(self, amount: int) -> None:
        """Return reserved bytes."""
        self._free += amount
        self._serve()

    def _serve(self) -> None:
        while self._waiting:
            amount, turn = self._waiting[0]
            if not turn.cancelled():
                if amount > self._free:
                    return
                self._free -= amount
                turn.set_result(None)
            self._waiting.popleft()


class Reservation:
    """Bytes that one exchange has reserved, until its caller has received the response."""

    def __init__(self) -> None:
        self.held = 0
        self._budget: ByteBudget | None = None

    async def acquire(self, budget: ByteBudget, amount: int) -> None:
        """Reserve bytes unless some are reserved already."""
        if not self.held:
            self.held, self._budget = await budget.acquire(amount), budget

    def release(self) -> None:
        """Return what is reserved."""
        if self._budget is not None:
            self._budget.release(self.held)
            self.held, self._budget = 0, None
