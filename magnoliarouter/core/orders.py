"""Orders to an endpoint, idempotent by id and fenced by epoch.

An order is a command that a guard applies to its endpoint. The table records the orders of one
guard. Each order is applied at most once, and a repeated order gets the recorded state. Orders with
an older epoch than the newest one seen are refused, which also protects endpoints that do not check
epochs.
"""

from __future__ import annotations

from collections import OrderedDict
from dataclasses import dataclass, field
from enum import Enum

__all__ = ["Order", "OrderState", "OrderTable", "OrderVerdict"]

MAX_ORDERS = 1_024


class OrderState(Enum):
    """Progress of an order."""

    PENDING = "pending"
    RUNNING = "running"
    DONE = "done"
    FAILED = "failed"


class OrderVerdict(Enum):
    """Decision of a guard about a received order."""

    APPLY = "apply"
    KNOWN = "known"
    STALE = "stale"


@dataclass(frozen=True, slots=True)
class Order:
    """Order to one endpoint.

    Parameters
    ----------
    id : str
        Id that identifies repetitions of the order.
    action : str
        ``"load"``, ``"unload"`` or ``"role"``.
    subject : str
        Kind of object to load: ``"model"``, ``"adapter"`` or ``"version"``; empty for a role.
    name : str
        Name of the model, adapter, version or role.
    """

    id: str
    action: str
    subject: str
    name: str


@dataclass(slots=True)
class OrderTable:
    """Orders that a guard has received.

    Parameters
    ----------
    max_orders : int
        Maximum number of recorded orders; running orders are not evicted.

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
        """Record an order that carries its sender's epoch, and return whether to apply it."""
        if not self.raise_epoch(epoch):
            return OrderVerdict.STALE
        state = self._states.get(order.id)
        # A failed order may be retried, for example if the endpoint was unreachable.
        if state not in (None, OrderState.FAILED):
            return OrderVerdict.KNOWN
        self._states[order.id] = OrderState.RUNNING
        self._evict_oldest()
        return OrderVerdict.APPLY

    def raise_epoch(self, epoch: int) -> bool:
        """Refuse epochs older than this one from now on, or return False if it is older itself."""
        if epoch < self.highest_epoch:
            return False
        self.highest_epoch = epoch
        return True

    def is_current(self, epoch: int) -> bool:
        """Return whether no newer epoch was seen; check it right before each effect."""
        return epoch >= self.highest_epoch

    def finish(self, order: Order, state: OrderState) -> None:
        """Record the final state of an order."""
        self._states[order.id] = state

    def find_state(self, order: Order) -> OrderState:
        """Return the state of an order; `PENDING` if it is not recorded."""
        return self._states.get(order.id, OrderState.PENDING)

    def _evict_oldest(self) -> None:
        while len(self._states) > self.max_orders:
            oldest = next(iter(self._states))
            if self._states[oldest] is OrderState.RUNNING:
                return
            del self._states[oldest]
