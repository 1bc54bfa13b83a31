"""Orders to an endpoint: idempotent by id, fenced by epoch.

The table is the memory of one guard. It applies an order at most once, tells those that ask again
how it went, and refuses orders that carry an older epoch than the newest one it has seen, also on
behalf of endpoints that do not check.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Order", "OrderState", "OrderTable", "OrderVerdict"]

MAX_ORDERS = 1_024


class OrderState(Enum):
    """How far an order has come."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class OrderVerdict(Enum):
    """What a guard does with an order that arrives."""

    APPLY = "apply"
    KNOWN = "known"
    STALE = "stale"


@dataclass(frozen=True, slots=True)
class Order:
    """Order to one endpoint.

    Parameters
    ----------
    id : str
        Id by which a repeated order is recognized.
    action : str
        ``"load"``, ``"unload"`` or ``"role"``.
    subject : str
        Kind of what is loaded: ``"model"``, ``"adapter"`` or ``"version"``; empty for a role.
    name : str
        Model, adapter, version or role.
    """

    id: str
    action: str
    subject: str
    name: str


@dataclass(slots=True)
class OrderTable:
    """Orders that a guard has seen.

    Parameters
    ----------
    max_orders : int
        Ended orders remembered.

    Examples
    --------
    >>> table, order = OrderTable(), Order("o1", "load", "model", "draft")
    >>> table.accept(order, epoch=4)
    <OrderVerdict.APPLY: 'apply'>
    >>> table.accept(order, epoch=3)
    <OrderVerdict.STALE: 'stale'>
    >>> table.accept(order, epoch=5)
    <OrderVerdict.KNOWN: 'known'>
    """

    max_orders: int = MAX_ORDERS
    highest_epoch: int = 0
    _states: OrderedDict[str, OrderState] = field(default_factory=OrderedDict)

    def accept(self, order: Order, epoch: int) -> OrderVerdict:
        """Take an order that arrived with the fencing number of its sender."""
        if not self.raise_epoch(epoch):
            return OrderVerdict.STALE
        state = self._states.get(order.id)
        # A failed order may be sent again, for instance when the endpoint was away.
        if state not in (None, OrderState.FAILED):
            return OrderVerdict.KNOWN
        self._states[order.id] = OrderState.RUNNING
        self._evict_oldest()
        return OrderVerdict.APPLY

    def raise_epoch(self, epoch: int) -> bool:
        """Refuse older epochs from now on, and return whether this one is not older."""
        if epoch < self.highest_epoch:
            return False
        self.highest_epoch = epoch
        return True

    def is_current(self, epoch: int) -> bool:
        """Return whether no newer epoch was seen; ask again right before an effect."""
        return epoch >= self.highest_epoch

    def finish(self, order: Order, state: OrderState) -> None:
        """Note how an order ended."""
        self._states[order.id] = state

    def find_state(self, order: Order) -> OrderState:
        """Return how far an order has come."""
        return self._states.get(order.id, OrderState.PENDING)

    def _evict_oldest(self) -> None:
        while len(self._states) > self.max_orders:
            oldest = next(iter(self._states))
            if self._states[oldest] is OrderState.RUNNING:
                return
            del self._states[oldest]
