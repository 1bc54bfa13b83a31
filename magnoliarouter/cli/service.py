"""Commands ``service put|get|list|delete``: plain services and their non-repeatable calls."""

from __future__ import annotations

from typing import TYPE_CHECKING, Any

import msgspec
from cleo.helpers import argument, option

from magnoliarouter.cli.amendment import apply_assignments, compare_values, read_file
from magnoliarouter.cli.confirmation import build_write_result, wait_until_in_force
from magnoliarouter.cli.output import (
    SHARED_OPTIONS,
    OperatorCommand,
    build_failure,
    build_unverified_failure,
    format_table,
)
from magnoliarouter.cli.result import CommandResult, Done, ExitCode, Failed
from magnoliarouter.cli.view import encode_value
from magnoliarouter.store.client import (
    Ambiguous,
    Conflict,
    Found,
    Missing,
    Unavailable,
    Written,
)
from magnoliarouter.store.objects import ObjectError, ServiceSpec, decode_object
from magnoliarouter.store.settle import delete_settled, write_settled

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from magnoliarouter.cli.desk import CommandContext
    from magnoliarouter.store.client import WriteOutcome

__all__ = ["commands"]

SERVICE = "service"
WAIT_TIMEOUT_S = 30.0
NAME_ARGUMENT = argument("name", "Name of the service")
WAIT_OPTION = option("wait", None, "Return when it is in force at every reachable daemon")


class _WriteCommand(OperatorCommand):
    """Base of the commands that write services."""

    async def resolve_outcome(
        self, context: CommandContext, outcome: WriteOutcome, intended: Any
    ) -> CommandResult:
        """Convert the outcome of a write into a result, after waiting if ``--wait`` is given."""
        name = self.argument("name")
        match outcome:
            case Conflict(current, True):
                return build_unverified_failure(f"service {name}", current)
            case Conflict(current):
                stored = current.value if current else None
                message = f"service {name}: changed by someone else meanwhile; nothing was written"
                message += f"\nyours: {encode_value(intended)}\nthere: {encode_value(stored)}"
                return Failed(ExitCode.CONFLICT, message, {"yours": intended, "current": stored})
            case Ambiguous() | Unavailable():
                return build_failure(outcome, f"service {name}")
        confirmation = None
        if self.option("wait"):
            confirmation = await wait_until_in_force(
                context, SERVICE, name, outcome.version, WAIT_TIMEOUT_S
            )
        text = f"service {name}: accepted as version {outcome.version}"
        return build_write_result(text, {"name": name, "version": outcome.version}, confirmation)


class ServicePut(_WriteCommand):
    """Command ``service put``."""

    name = "service put"
    description = "Create or change a service"
    arguments = [NAME_ARGUMENT]
    options = [
        *SHARED_OPTIONS,
        option("file", None, "JSON file with the service", flag=False),
        option("set", None, "field=value; may be repeated", flag=False, multiple=True),
        option("dry-run", None, "Show what would change, and write nothing"),
        WAIT_OPTION,
    ]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Write the service unless it is modified concurrently."""
        name = self.argument("name")
        found = await context.platform.read(SERVICE, name)
        if isinstance(found, Unavailable):
            return build_failure(found, f"service {name}")
        current = found.items[0] if isinstance(found, Found) else None
        before = current.value if current and isinstance(current.value, dict) else {"name": name}
        value = self._build_value(before)
        if isinstance(value, Failed):
            return value
        if self.option("dry-run"):
            rows = [
                (path, encode_value(old_value), encode_value(new_value))
                for path, old_value, new_value in compare_values(before if current else {}, value)
            ]
            table = format_table(("field", "before", "after"), rows)
            return Done(f"nothing is written\n{table}", value)
        expect = current.version if current else 0
        outcome = await write_settled(context.platform, SERVICE, name, value, expect)
        return await self.resolve_outcome(context, outcome, value)

    def _build_value(self, before: dict[str, Any]) -> dict[str, Any] | Failed:
        path, name = self.option("file"), self.argument("name")
        base = read_file(path) if path else before
        if isinstance(base, Failed):
            return base
        changed = apply_assignments({"name": name, **base}, self.option("set"))
        if isinstance(changed, Failed):
            return changed
        try:
            spec: ServiceSpec = decode_object(SERVICE, changed)
        except ObjectError as error:
            return Failed(ExitCode.INVALID, str(error))
        if spec.name != name:
            return Failed(ExitCode.INVALID, f"service: name is {spec.name!r}, expected {name!r}")
        return msgspec.json.decode(msgspec.json.encode(spec))


class ServiceDelete(_WriteCommand):
    """Command ``service delete``."""

    name = "service delete"
    description = "Delete a service; calls to it are refused from then on"
    arguments = [NAME_ARGUMENT]
    options = [*SHARED_OPTIONS, WAIT_OPTION]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Delete the service unless it is modified concurrently."""
        name = self.argument("name")
        found = await context.platform.read(SERVICE, name)
        if isinstance(found, Missing | Unavailable):
            return build_failure(found, f"service {name}")
        version = found.items[0].version
        outcome = await delete_settled(context.platform, SERVICE, name, version)
        if isinstance(outcome, Written):
            outcome = Written(max(outcome.version, version + 1))
        return await self.resolve_outcome(context, outcome, None)


class ServiceGet(OperatorCommand):
    """Command ``service get``."""

    name = "service get"
    description = "Show a service"
    arguments = [NAME_ARGUMENT]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Read the service."""
        name = self.argument("name")
        found = await context.platform.read(SERVICE, name)
        if isinstance(found, Missing | Unavailable):
            return build_failure(found, f"service {name}")
        item = found.items[0]
        rows = list(item.value.items()) if isinstance(item.value, dict) else [("value", item.value)]
        rows = [(field, encode_value(value)) for field, value in rows]
        table = format_table(("field", "value"), rows)
        return Done(f"service {name}, version {item.version}\n{table}", item.value)


class ServiceList(OperatorCommand):
    """Command ``service list``."""

    name = "service list"
    description = "List all services"

    async def perform(self, context: CommandContext) -> CommandResult:
        """Read all services."""
        found = await context.platform.list(SERVICE)
        if isinstance(found, Unavailable):
            return build_failure(found, "services")
        items = sorted(found.items, key=lambda item: item.name)
        rows = [(item.name, item.version, _describe_service(item.value)) for item in items]
        value = [{"name": i.name, "version": i.version, "value": i.value} for i in items]
        return Done(format_table(("service", "version", "non-repeatable calls"), rows), value)


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [ServicePut(), ServiceGet(), ServiceList(), ServiceDelete()]


def _describe_service(value: Any) -> str:
    try:
        spec: ServiceSpec = decode_object(SERVICE, value)
    except ObjectError as error:
        return f"refused by the daemons: {error}"
    return ", ".join(spec.non_repeatable) or "-"
