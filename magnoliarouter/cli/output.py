"""Base of all commands: shared options, output, exit codes and error handling.

A command derives from `OperatorCommand`, adds its options to `SHARED_OPTIONS` and implements
`perform`, which returns a `Done` or a `Failed`. Its module has a function ``commands()`` and
is listed in ``COMMAND_MODULES`` of `magnoliarouter.cli.main`.
"""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING, Any

import msgspec
from cleo.commands.command import Command
from cleo.helpers import option
from cleo.io.outputs.output import Type

from magnoliarouter.cli.desk import load_cli_settings, open_context
from magnoliarouter.cli.result import CommandResult, ExitCode, Failed
from magnoliarouter.store.client import Ambiguous, Missing, Unavailable

if TYPE_CHECKING:
    from collections.abc import Iterable, Sequence

    from magnoliarouter.cli.desk import CommandContext
    from magnoliarouter.store.objects import StoredObject

__all__ = [
    "SHARED_OPTIONS",
    "OperatorCommand",
    "build_failure",
    "build_unverified_failure",
    "format_table",
]

SHARED_OPTIONS = [
    option("settings", None, "JSON settings file of magnoliactl", flag=False),
    option("platform", None, "Base URL of the platform's object API", flag=False),
    option("json", None, "Print one JSON value instead of tables"),
]


class OperatorCommand(Command):
    """Command that calls the platform or daemons."""

    options = SHARED_OPTIONS

    async def perform(self, context: CommandContext) -> CommandResult:
        """Run the command and return its result."""
        raise NotImplementedError

    def handle(self) -> int:
        """Run `perform`, print its result and return the exit code."""
        settings = load_cli_settings(self.option("settings"), self.option("platform"))
        if isinstance(settings, Failed):
            return self.report(settings)

        async def run() -> CommandResult:
            async with open_context(settings) as context:
                return await self.perform(context)

        return self.report(asyncio.run(run()))

    def report(self, result: CommandResult) -> int:
        """Print a result and return its exit code."""
        if isinstance(result, Failed):
            self._report_failure(result)
        elif self.option("json"):
            self.write(msgspec.json.encode(result.value).decode())
        else:
            self.write(result.text)
        return int(result.code)

    def write(self, text: str) -> None:
        """Print text as it is, without interpreting it as markup."""
        self.io.write_line(text, type=Type.RAW)

    def _report_failure(self, failed: Failed) -> None:
        name = failed.code.name.lower()
        if self.option("json"):
            error = {"code": int(failed.code), "name": name, "message": failed.message}
            body = {"error": {**error, "details": failed.details}}
            self.write(msgspec.json.encode(body).decode())
        self.io.write_error_line(f"magnoliactl: {failed.message}", type=Type.RAW)


def format_table(headers: Sequence[str], rows: Iterable[Sequence[Any]]) -> str:
    """Return rows as text in aligned columns.

    Examples
    --------
    >>> print(format_table(["name", "n"], [["tanks", 3]]))
    NAME   N
    tanks  3
    """
    lines = [[head.upper() for head in headers], *([str(cell) for cell in row] for row in rows)]
    widths = [max(len(cell) for cell in column) for column in zip(*lines, strict=True)]
    padded = ("  ".join(cell.ljust(width) for cell, width in zip(line, widths)) for line in lines)
    return "\n".join(line.rstrip() for line in padded)


def build_failure(outcome: Unavailable | Ambiguous | Missing, subject: str) -> Failed:
    """Convert a platform outcome into a command failure.

    Parameters
    ----------
    outcome : Unavailable, Ambiguous or Missing
        Outcome returned by the platform client.
    subject : str
        Object concerned, such as ``"contract grower"``.
    """
    match outcome:
        case Missing():
            return Failed(ExitCode.NOT_FOUND, f"{subject} does not exist")
        case Ambiguous(reason, failure):
            message = f"{subject}: it cannot be told whether the write took effect ({reason}); "
            return Failed(
                ExitCode.UNKNOWN,
                message + "look at it before you write again",
                {"failure": failure.value},
            )
        case Unavailable(reason, failure):
            message = f"{subject}: the platform did not serve the call ({reason}); nothing changed"
            return Failed(ExitCode.UNAVAILABLE, message, {"failure": failure.value})


def build_unverified_failure(subject: str, current: StoredObject | None) -> Failed:
    """Return the failure of a write that may have taken effect and been overwritten since.

    Parameters
    ----------
    subject : str
        Object concerned.
    current : StoredObject, optional
        Object that the platform currently stores.
    """
    version = current.version if current else None
    message = (
        f"{subject}: an answer was lost and someone else wrote it since; now version {version}"
    )
    details = {"version": version, "current": current.value if current else None}
    return Failed(ExitCode.UNKNOWN, message, details)
