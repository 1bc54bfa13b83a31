"""Commands ``endpoint list|drain|undrain|role``."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import aiohttp
import msgspec
from cleo.helpers import argument

from magnoliarouter.cli.ordering import ORDER_OPTIONS, place_order
from magnoliarouter.cli.output import SHARED_OPTIONS, OperatorCommand, explain, format_table
from magnoliarouter.cli.result import CommandResult, Done, ExitCode, Failed
from magnoliarouter.core.orders import Order
from magnoliarouter.store.client import Conflict, Found, Unavailable, Written

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from magnoliarouter.cli.desk import Desk
    from magnoliarouter.store.client import WriteOutcome

__all__ = ["commands"]

KIND = "endpoint"
HEADERS = ("endpoint", "zone", "kind", "address", "serves", "state")
GUARD_TIMEOUT_S = 2.0
WRITE_TRIES = 5
NAME = argument("endpoint", "Name of the endpoint")


class EndpointList(OperatorCommand):
    """Command ``endpoint list``."""

    name = "endpoint list"
    description = "Show all endpoints and whether they take new work"

    async def perform(self, desk: Desk) -> CommandResult:
        """Read the endpoints."""
        found = await desk.platform.list(KIND)
        if isinstance(found, Unavailable):
            return explain(found, "list of endpoints")
        values = [item.value for item in sorted(found.items, key=lambda item: item.name)]
        return Done(format_table(HEADERS, map(_row, values)), values)


class _DrainCommand(OperatorCommand):
    """What ``endpoint drain`` and ``endpoint undrain`` share."""

    arguments = [NAME]
    draining = True

    async def perform(self, desk: Desk) -> CommandResult:
        """Change the request to drain in the platform and tell the guard."""
        name = self.argument("endpoint")
        outcome = await _change(desk, name, self.draining)
        match outcome:
            case Conflict():
                message = f"endpoint {name}: it kept changing; ask again"
                return Failed(ExitCode.CONFLICT, message)
            case Written(version):
                pass
            case _:
                return explain(outcome, f"endpoint {name}")
        told = await _tell_guard(desk, name, self.draining)
        verb = "takes no new work" if self.draining else "takes new work again"
        suffix = "" if told else "; its guard did not answer and learns it from the platform only"
        value = {"endpoint": name, "draining": self.draining, "version": version, "guard": told}
        code = ExitCode.OK if told else ExitCode.NOT_CONFIRMED
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
    arguments = [NAME, argument("role", "Role as the engine names it")]
    options = [*SHARED_OPTIONS, *ORDER_OPTIONS]

    async def perform(self, desk: Desk) -> CommandResult:
        """Place the order and wait until it is done."""
        order = Order("", "role", "", self.argument("role"))
        return await place_order(self, desk, self.argument("endpoint"), order)


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [EndpointList(), EndpointDrain(), EndpointUndrain(), EndpointRole()]


def _row(value: dict[str, Any]) -> tuple[str, ...]:
    serves = ", ".join([*value.get("models", ()), *value.get("services", ())])
    state = "drained by operator" if value.get("drain_requested") else "leaving"
    if not value.get("draining"):
        state = "open"
    kind = value.get("kind", "engine")
    return value["name"], value["zone"], kind, value["address"], serves, state


async def _change(desk: Desk, name: str, draining: bool) -> WriteOutcome | Any:
    outcome: Any = None
    for _ in range(WRITE_TRIES):
        found = await desk.platform.read(KIND, name)
        if not isinstance(found, Found):
            return found
        item = found.items[0]
        value = {**item.value, "draining": draining, "drain_requested": draining}
        outcome = await desk.platform.write(KIND, name, value, expect=item.version)
        if not isinstance(outcome, Conflict):
            break
    return outcome


async def _tell_guard(desk: Desk, name: str, draining: bool) -> bool:
    found = await desk.platform.read(KIND, name)
    if not isinstance(found, Found):
        return False
    url = f"http://{found.items[0].value['address']}/guard/drain"
    body = msgspec.json.encode({"draining": draining})
    try:
        async with asyncio.timeout(GUARD_TIMEOUT_S):
            async with desk.session.post(url, data=body, allow_redirects=False) as answer:
                return answer.status == 200
    except (aiohttp.ClientError, OSError, TimeoutError):
        return False
