"""Commands ``model load|unload``."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import argument, option

from magnoliarouter.cli.ordering import ORDER_OPTIONS, submit_order
from magnoliarouter.cli.output import SHARED_OPTIONS, OperatorCommand
from magnoliarouter.cli.result import CommandResult, ExitCode, Failed
from magnoliarouter.core.orders import Order

if TYPE_CHECKING:
    from cleo.commands.command import Command

    from magnoliarouter.cli.desk import CommandContext

__all__ = ["commands"]

SUBJECTS = ("model", "adapter", "version")


class _ModelCommand(OperatorCommand):
    """Base of ``model load`` and ``model unload``."""

    action = "load"
    arguments = [
        argument("endpoint", "Name of the endpoint"),
        argument("name", "Model, adapter or version"),
    ]
    options = [
        *SHARED_OPTIONS,
        *ORDER_OPTIONS,
        option("kind", None, f"One of {', '.join(SUBJECTS)}", flag=False, default="model"),
    ]

    async def perform(self, context: CommandContext) -> CommandResult:
        """Submit the order and wait until it is done."""
        subject = self.option("kind")
        if subject not in SUBJECTS:
            reason = f"--kind {subject}: valid kinds: {', '.join(SUBJECTS)}"
            return Failed(ExitCode.USAGE, reason)
        order = Order("", self.action, subject, self.argument("name"))
        return await submit_order(self, context, self.argument("endpoint"), order)


class ModelLoad(_ModelCommand):
    """Command ``model load``."""

    name = "model load"
    description = "Order an endpoint to load a model, adapter or version"
    action = "load"


class ModelUnload(_ModelCommand):
    """Command ``model unload``."""

    name = "model unload"
    description = "Order an endpoint to unload a model, adapter or version"
    action = "unload"


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [ModelLoad(), ModelUnload()]
