"""Places an order in the platform and waits until it has been carried out."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec
from cleo.helpers import option

from magnoliarouter.cli.output import explain
from magnoliarouter.cli.result import CommandResult, Done, ExitCode, Failed
from magnoliarouter.core.orders import Order, OrderState
from magnoliarouter.daemon.orders import ORDER_KIND, OrderSpec
from magnoliarouter.store.client import Found, Written

if TYPE_CHECKING:
    from magnoliarouter.cli.desk import Desk
    from magnoliarouter.cli.output import OperatorCommand

__all__ = ["ORDER_OPTIONS", "place_order"]

DEFAULT_TIMEOUT_S = 60.0
POLL_S = 0.5
ORDER_OPTIONS = [
    option("order", None, "Id of an order placed before, to go on waiting for it", flag=False),
    option("timeout", None, "Longest wait in seconds", flag=False, default=str(DEFAULT_TIMEOUT_S)),
]


async def place_order(
    command: OperatorCommand, desk: Desk, endpoint: str, order: Order
) -> CommandResult:
    """Place an order, or find the one that ``--order`` names, and wait for its end.

    Parameters
    ----------
    command : OperatorCommand
        Command with `ORDER_OPTIONS`.
    desk : Desk
        Connections.
    endpoint : str
        Name of the endpoint.
    order : Order
        The order; its id is chosen here.
    """
    try:
        timeout = float(command.option("timeout"))
    except ValueError:
        reason = f"--timeout {command.option('timeout')}: give seconds"
        return Failed(ExitCode.USAGE, reason)
    known = command.option("order")
    identifier = known or uuid.uuid4().hex[:16]
    if not known:
        chosen = Order(identifier, order.action, order.subject, order.name)
        value = msgspec.to_builtins(OrderSpec(endpoint, chosen))
        outcome = await desk.platform.write(ORDER_KIND, identifier, value, expect=0)
        if not isinstance(outcome, Written):
            return explain(outcome, f"order {identifier}")
    return await _wait(desk, identifier, timeout)


async def _wait(desk: Desk, identifier: str, timeout: float) -> CommandResult:
    spec: OrderSpec | None = None
    loop = asyncio.get_running_loop()
    end = loop.time() + timeout
    while loop.time() < end:
        found = await desk.platform.read(ORDER_KIND, identifier)
        if isinstance(found, Found):
            spec = msgspec.convert(found.items[0].value, type=OrderSpec)
            if spec.state == OrderState.DONE.value:
                text = f"order {identifier}: done at endpoint {spec.endpoint}"
                return Done(text, msgspec.to_builtins(spec))
            if spec.state == OrderState.FAILED.value:
                return Failed(ExitCode.INVALID, f"order {identifier}: failed: {spec.reason}")
        await asyncio.sleep(POLL_S)
    state = f"{spec.state} ({spec.reason})" if spec else "not found"
    text = f"order {identifier}: {state}; wait on with --order {identifier}"
    value = msgspec.to_builtins(spec) if spec else None
    return Done(text, value, ExitCode.NOT_CONFIRMED)
