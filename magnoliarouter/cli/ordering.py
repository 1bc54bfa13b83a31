"""Submits an order to an endpoint through the platform and waits until it is carried out."""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec
from cleo.helpers import option

from magnoliarouter.cli.output import build_failure
from magnoliarouter.cli.result import CommandResult, Done, ExitCode, Failed
from magnoliarouter.core.orders import Order, OrderState
from magnoliarouter.daemon.orders import ORDER_KIND, OrderSpec
from magnoliarouter.store.client import Found, Written

if TYPE_CHECKING:
    from magnoliarouter.cli.desk import CommandContext
    from magnoliarouter.cli.output import OperatorCommand

__all__ = ["ORDER_OPTIONS", "submit_order"]

DEFAULT_TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.5
ORDER_OPTIONS = [
    option("order", None, "Id of an order placed before, to go on waiting for it", flag=False),
    option("timeout", None, "Longest wait in seconds", flag=False, default=str(DEFAULT_TIMEOUT_S)),
]


async def submit_order(
    command: OperatorCommand, context: CommandContext, endpoint: str, order: Order
) -> CommandResult:
    """Submit an order, or find the one given by ``--order``, and wait until it is done or has failed.

    Parameters
    ----------
    command : OperatorCommand
        Command with `ORDER_OPTIONS`.
    context : CommandContext
        Connections of the command.
    endpoint : str
        Name of the endpoint.
    order : Order
        Order to submit; its id is assigned here.
    """
    try:
        timeout = float(command.option("timeout"))
    except ValueError:
        reason = f"--timeout {command.option('timeout')}: give seconds"
        return Failed(ExitCode.USAGE, reason)
    given_id = command.option("order")
    order_id = given_id or uuid.uuid4().hex[:16]
    if not given_id:
        identified_order = Order(order_id, order.action, order.subject, order.name)
        value = msgspec.to_builtins(OrderSpec(endpoint, identified_order))
        outcome = await context.platform.write(ORDER_KIND, order_id, value, expect=0)
        if not isinstance(outcome, Written):
            return build_failure(outcome, f"order {order_id}")
    return await _wait_for_order(context, order_id, timeout)


async def _wait_for_order(context: CommandContext, order_id: str, timeout: float) -> CommandResult:
    spec: OrderSpec | None = None
    loop = asyncio.get_running_loop()
    deadline = loop.time() + timeout
    while loop.time() < deadline:
        found = await context.platform.read(ORDER_KIND, order_id)
        if isinstance(found, Found):
            spec = msgspec.convert(found.items[0].value, type=OrderSpec)
            if spec.state == OrderState.DONE.value:
                text = f"order {order_id}: done at endpoint {spec.endpoint}"
                return Done(text, msgspec.to_builtins(spec))
            if spec.state == OrderState.FAILED.value:
                return Failed(ExitCode.INVALID, f"order {order_id}: failed: {spec.reason}")
        await asyncio.sleep(POLL_INTERVAL_S)
    state = f"{spec.state} ({spec.reason})" if spec else "not found"
    text = f"order {order_id}: {state}; wait on with --order {order_id}"
    value = msgspec.to_builtins(spec) if spec else None
    return Done(text, value, ExitCode.NOT_CONFIRMED)
