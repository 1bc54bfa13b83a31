"""Commands ``endpoint list|drain|undrain|role``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
from cleo.helpers import argument

from magnoliarouter.cli.ordering import ORDER_OPTIONS, submit_order
from magnoliarouter.cli.output import SHARED_OPTIONS, OperatorCommand, build_failure, format_table
from magnoliarouter.cli.result import CommandResult, Done, ExitCode, Failed
from magnoliarouter.core.orders import Order
from magnoliarouter.store.client import Conflict, Found, Unavailable, Written

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from magnoliarouter.cli.desk import CommandContext
    from magnoliarouter.store.client import WriteOutcome

__all__ = ["commands"]

ENDPOINT_KIND = "endpoint"
HEADERS = ("endpoint", "zone", "kind", "address", "serves", "state")
GUARD_TIMEOUT_S = 2.0
MAX_WRITE_ATTEMPTS = 5
ENDPOINT_ARGUMENT = argument("endpoint", "Name of the endpoint")


class EndpointList(OperatorCommand):
    """Command ``endpoint list``."""

    name = "endpoint list"
    description = "Show all endpoints and whether they take new work"

    async def perform(self, context: CommandContext) -> CommandResult:
        """Read the endpoints."""
        found = await context.platform.list(ENDPOINT_KIND)
        if isinstance(found, Unavailable):
            return build_failure(found, "list of endpoints")
        values = [item.value for item in sorted(found.items, key=lambda item: item.name)]
        return Done(format_table(HEADERS, map(_endpoint_row, values)), values)


class _DrainCommand(OperatorCommand):
    """Base of ``endpoint drain`` and ``endpoint undrain``."""

    arguments = [ENDPOINT_ARGUMENT]
    draining = True

    async def perform(self, context: CommandContext) -> CommandResult:
        """Set or clear the drain request in the platform and notify the guard."""
        name = self.argument("endpoint")
        outcome = await _set_draining(context, name, self.draining)
        match outcome:
            case Conflict():
                message = f"endpoint {name}: it kept changing; ask again"
                return Failed(ExitCode.CONFLICT, message)
            case Written(version):
                pass
            case _:
                return build_failure(outcome, f"endpoint {name}")
        notified = await _notify_guard(context, name, self.draining)
        verb = "takes no new work" if self.draining else "takes new work again"
        suffix = (
            "" if notified else "; its guard did not answer and learns it from the platform only"
        )
        value = {"endpoint": name, "draining": self.draining, "version": version, "guard": notified}
        code = ExitCode.OK if notified else ExitCode.NOT_CONFIRMED
        return Done(f"endpoint {name}: {verb} (version {version}){suffix}", value, code)


class EndpointDrain(_DrainCommand):
    """Command ``endpoint drain``."""

    name = "endpoint drain"
    description = "Send no new work to an endpoint; work in progress finishes"
    draining = True


class EndpointUndrain(_DrainCommand):
    """Command ``endpoint undrain``."""

    name = "endpoint undrain"
    description = "Send new work to a drained endpoint again"
    draining = False


class EndpointRole(OperatorCommand):
    """Command ``endpoint role``."""

    name = "endpoint role"
    description = "Order an endpoint to change its role"
    arguments = [ENDPOINT_ARGUMENT, argument("role", "Role as the engine names it")]
    options = [*SHARED_OPTIONS, *ORDER_OPTIONS]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Submit the order and wait until it is done."""
        order = Order("", "role", "", self.argument("role"))
        return await submit_order(self, context, self.argument("endpoint"), order)


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [EndpointList(), EndpointDrain(), EndpointUndrain(), EndpointRole()]


def _endpoint_row(value: dict[str, Any]) -> tuple[str, ...]:
    serves = ", ".join([*value.get("models", ()), *value.get("services", ())])
    state = "drained by operator" if value.get("drain_requested") else "leaving"
    if not value.get("draining"):
        state = "open"
    kind = value.get("kind", "engine")
    return value["name"], value["zone"], kind, value["address"], serves, state


async def _set_draining(context: CommandContext, name: str, draining: bool) -> WriteOutcome | Any:
    outcome: Any = None
    for _ in range(MAX_WRITE_ATTEMPTS):
        found = await context.platform.read(ENDPOINT_KIND, name)
        if not isinstance(found, Found):
            return found
        item = found.items[0]
        value = {**item.value, "draining": draining, "drain_requested": draining}
        outcome = await context.platform.write(ENDPOINT_KIND, name, value, expect=item.version)
        if not isinstance(outcome, Conflict):
            break
    return outcome


async def _notify_guard(context: CommandContext, name: str, draining: bool) -> bool:
    found = await context.platform.read(ENDPOINT_KIND, name)
    if not isinstance(found, Found):
        return False
    url = f"http://{found.items[0].value['address']}/guard/drain"
    body = msgspec.json.encode({"draining": draining})
    try:
        async with asyncio.timeout(GUARD_TIMEOUT_S):
            async with context.session.post(url, data=body, allow_redirects=False) as response:
                return response.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False
