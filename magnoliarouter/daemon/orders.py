"""Controller of orders: sends the platform's order objects to guards until they are done.

An order is a command to a guard. One entry daemon at a time holds the lease. An order is an object
in the platform, so it survives the process that wrote it and the controller. The next controller
sends it again with a newer epoch, and the guard reports its progress.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.core.orders import Order, OrderState
from magnoliarouter.endpoints.orders import OrderReply, OrderRequest
from magnoliarouter.store.client import Found
from magnoliarouter.store.objects import EndpointSpec, ObjectError, decode_object
from magnoliarouter.store.values import decode_small
from magnoliarouter.telemetry.logs import log_event
from magnoliarouter.web.bodies import read_body

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.store.client import PlatformClient
    from magnoliarouter.store.objects import StoredObject

__all__ = ["ORDER_KIND", "OrderController", "OrderSpec"]

ORDER_KIND = "order"
POLL_INTERVAL_S = 1.0
CALL_TIMEOUT_S = 2.0


class OrderSpec(msgspec.Struct, frozen=True):
    """Order as stored in the platform.

    Parameters
    ----------
    endpoint : str
        Name of the endpoint.
    order : Order
        The order.
    state : str
        Value of `OrderState`.
    reason : str
        Why the order has not succeeded so far.
    """

    endpoint: str
    order: Order
    state: str = OrderState.PENDING.value
    reason: str = ""


class OrderController:
    """Carries out orders while the lease is held.

    Parameters
    ----------
    client : PlatformClient
        Client of the platform.
    session : aiohttp.ClientSession
        Session without connection reuse.
    epoch : callable
        Returns the fencing number while the lease is held, else None.
    """

    def __init__(
        self,
        client: PlatformClient,
        session: aiohttp.ClientSession,
        epoch: Callable[[], int | None],
    ) -> None:
        self._client = client
        self._session = session
        self._epoch = epoch

    async def run(self) -> None:
        """Carry out orders until cancelled."""
        while True:
            if self._epoch() is not None:
                await self.carry_out_all()
            await asyncio.sleep(POLL_INTERVAL_S)

    async def carry_out_all(self) -> None:
        """Advance each unfinished order by one step."""
        match await self._client.list(ORDER_KIND, decode_small):
            case Found(_, items):
                for item in items:
                    await self._carry_out(item)

    async def _carry_out(self, item: StoredObject) -> None:
        try:
            spec = msgspec.convert(item.value, type=OrderSpec)
        except msgspec.ValidationError as error:
            log_event("order_invalid", order=item.name, error=str(error))
            return
        if spec.state in (OrderState.DONE.value, OrderState.FAILED.value):
            return
        endpoint = await self._find_endpoint(spec.endpoint)
        # Read right before the effect: a controller that was paused may have lost the lease.
        epoch = self._epoch()
        if epoch is None:
            return
        state, reason = OrderState.PENDING.value, f"endpoint {spec.endpoint} is not registered"
        if endpoint is not None:
            reply = await self._send(endpoint, OrderRequest(epoch, spec.order))
            if reply.state == "stale":
                return
            state, reason = reply.state, reply.reason
        if (state, reason) != (spec.state, spec.reason):
            changed = msgspec.structs.replace(spec, state=state, reason=reason)
            value = msgspec.to_builtins(changed)
            await self._client.write(ORDER_KIND, item.name, value, expect=item.version)

    async def _find_endpoint(self, name: str) -> EndpointSpec | None:
        match await self._client.read("endpoint", name):
            case Found(_, (item,)):
                try:
                    return decode_object("endpoint", item.value)
                except ObjectError:
                    return None
        return None

    async def _send(self, endpoint: EndpointSpec, request: OrderRequest) -> OrderReply:
        url = f"http://{endpoint.address}/guard/orders"
        try:
            async with asyncio.timeout(CALL_TIMEOUT_S):
                async with self._session.post(
                    url, data=msgspec.json.encode(request), allow_redirects=False
                ) as response:
                    return msgspec.json.decode(await read_body(response), type=OrderReply)
        except (aiohttp.ClientError, OSError, TimeoutError, msgspec.DecodeError) as error:
            return OrderReply(OrderState.PENDING.value, 0, type(error).__name__)
