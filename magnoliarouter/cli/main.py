"""Command `magnoliactl`: contracts, endpoints, groups and status, for operators."""

from __future__ import annotations

import importlib
import sys
from typing import TYPE_CHECKING

from cleo.application import Application
from cleo.exceptions import CleoError
from cleo.io.outputs.output import Type

from magnoliarouter import __version__
from magnoliarouter.cli.result import ExitCode

if TYPE_CHECKING:
    from cleo.io.inputs.input import Input
    from cleo.io.outputs.output import Output

__all__ = ["build_application", "main"]

# Modules of magnoliarouter.cli; the function `commands()` of each returns its commands.
COMMAND_MODULES: tuple[str, ...] = (
    "codes",
    "config",
    "contract",
    "endpoint",
    "explain",
    "group",
    "key",
    "model",
    "service",
    "settings",
    "status",
)


class OperatorApplication(Application):
    """Application that reports every failure as a message and a numbered exit code."""

    def run(
        self,
        input: Input | None = None,  # noqa: A002 - cleo's parameter name
        output: Output | None = None,
        error_output: Output | None = None,
    ) -> int:
        """Run a command and return its exit code."""
        try:
            return super().run(input, output, error_output)
        except CleoError as error:
            code, message = ExitCode.USAGE, str(error)
        except Exception as error:  # operators get a message, not a traceback
            code, message = ExitCode.INTERNAL, f"internal error: {type(error).__name__}: {error}"
        io = self.create_io(input, output, error_output)
        io.write_error_line(f"magnoliactl: {message}", type=Type.RAW)
        return int(code)


def build_application() -> Application:
    """Return the application with all its commands."""
    application = OperatorApplication("magnoliactl", __version__)
    application.auto_exits(False)
    application.catch_exceptions(False)
    for name in COMMAND_MODULES:
        module = importlib.import_module(f"magnoliarouter.cli.{name}")
        for command in module.commands():
            application.add(command)
    return application


def main() -> int:
    """Run the command named on the command line and return its exit code."""
    return build_application().run()


if __name__ == "__main__":
    sys.exit(main())
