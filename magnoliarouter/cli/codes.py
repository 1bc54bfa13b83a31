"""Command ``codes``: the numbered result codes that callers and operators see."""

from __future__ import annotations

from typing import TYPE_CHECKING

from cleo.helpers import option

from magnoliarouter.cli.output import SHARED_OPTIONS, OperatorCommand, format_table
from magnoliarouter.cli.result import Done
from magnoliarouter.core.codes import DESCRIPTIONS, render_codes

if TYPE_CHECKING:
    from cleo.commands.command import Command

__all__ = ["commands"]


class Codes(OperatorCommand):
    """Command ``codes``."""

    name = "codes"
    description = "List the result codes with their meaning and what a caller may do next"
    options = [*SHARED_OPTIONS, option("markdown", None, "Print the page docs/RESULT_CODES.md")]

    def handle(self) -> int:
        """Print the table without contacting the platform."""
        if self.option("markdown"):
            return self.report(Done(render_codes().rstrip(), None))
        rows = [
            [int(code), code.name.lower(), text.status, text.meaning, text.advice]
            for code, text in DESCRIPTIONS.items()
        ]
        headers = ["code", "name", "status", "meaning", "advice"]
        value = [dict(zip(headers, row, strict=True)) for row in rows]
        return self.report(Done(format_table(headers, rows), value))


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [Codes()]
