"""Orders at the guard: refuses those of older epochs and sends the others to the endpoint."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.core.orders import Order, OrderState, OrderTable, OrderVerdict
from magnoliarouter.endpoints.relay import read_message

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.web.exchange import Exchange

__all__ = ["OrderReply", "OrderRequest", "OrderService"]

ORDER_TIMEOUT_S = 300.0


class OrderRequest(msgspec.Struct, frozen=True):
    """Order with the fencing epoch of its sender.

    Parameters
    ----------
    epoch : int
        Epoch of the lease under which it is sent.
    order : Order, optional
        The order; without one, the request only makes the guard refuse older epochs.
    """

    epoch: int
    order: Order | None = None


class OrderReply(msgspec.Struct, frozen=True):
    """Reply of a guard to an order.

    Parameters
    ----------
    state : str
        A value of `OrderState`, ``"stale"``, or ``"raised"`` without an order.
    epoch : int
        Highest epoch that the guard has received.
    reason : str
        Why the order failed.
    """

    state: str
    epoch: int
    reason: str = ""


class OrderService:
    """Handles ``POST /guard/orders``.

    Parameters
    ----------
    target : str
        Base URL of the endpoint, which accepts orders at ``/orders``.
    session : aiohttp.ClientSession
        Session without connection reuse.
    on_done : callable
        Called with each order that took effect.
    """

    def __init__(
        self, target: str, session: aiohttp.ClientSession, on_done: Callable[[Order], None]
    ) -> None:
        self.table = OrderTable()
        self._target = target
        self._session = session
        self._on_done = on_done
        self._failure_reasons: dict[str, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._send_lock = asyncio.Lock()

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        request = await read_message(exchange, OrderRequest)
        if request is None:
            return
        reply = self._accept(request)
        status = 409 if reply.state == OrderVerdict.STALE.value else 200
        await exchange.send(status, msgspec.json.encode(reply))

    def _accept(self, request: OrderRequest) -> OrderReply:
        order = request.order
        if order is None:
            raised = self.table.raise_epoch(request.epoch)
            return self._reply("raised" if raised else OrderVerdict.STALE.value)
        match self.table.accept(order, request.epoch):
            case OrderVerdict.STALE:
                return self._reply(OrderVerdict.STALE.value)
            case OrderVerdict.APPLY:
                task = asyncio.get_running_loop().create_task(self._apply(order, request.epoch))
                self._tasks.add(task)
                task.add_done_callback(self._tasks.discard)
        state = self.table.find_state(order)
        return self._reply(state.value, self._failure_reasons.get(order.id, ""))

    def _reply(self, state: str, reason: str = "") -> OrderReply:
        return OrderReply(state, self.table.highest_epoch, reason)

    async def _apply(self, order: Order, epoch: int) -> None:
        # Orders are sent one at a time, so that an older one cannot overtake a newer one.
        async with self._send_lock:
            failure = "an order of a newer epoch came first"
            if self.table.is_current(epoch):
                failure = await self._send(order, epoch)
        self._failure_reasons.pop(order.id, None)
        if failure:
            self._failure_reasons[order.id] = failure
            self.table.finish(order, OrderState.FAILED)
            return
        self.table.finish(order, OrderState.DONE)
        self._on_done(order)

    async def _send(self, order: Order, epoch: int) -> str:
        """Send an order to the endpoint and return why it failed, or an empty string."""
        body = msgspec.json.encode({"epoch": epoch, **msgspec.to_builtins(order)})
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with self._session.post(
                    f"{self._target}/orders", data=body, allow_redirects=False
                ) as response:
                    return "" if response.status == 200 else f"endpoint answered {response.status}"
        except (aiohttp.ClientError, OSError, TimeoutError) as error:
            return type(error).__name__
