"""Commands on settings files: ``settings check``."""

from __future__ import annotations

from typing import TYPE_CHECKING

import msgspec
from cleo.helpers import argument, option

from magnoliarouter.cli.output import OperatorCommand
from magnoliarouter.cli.result import Done, ExitCode, Failed
from magnoliarouter.daemon.settings import SettingsError, load_settings
from magnoliarouter.platform.settings import read_settings

if TYPE_CHECKING:
    from cleo.commands.command import Command

__all__ = ["commands"]


class SettingsCheck(OperatorCommand):
    """Command ``settings check``."""

    name = "settings check"
    description = "Check a daemon's settings: JSON of this product, or TOML of the users' platform"
    arguments = [argument("file", "Settings file")]
    options = [option("json", None, "Print the settings as one JSON value")]

    def handle(self) -> int:
        """Read and validate the file."""
        path = self.argument("file")
        read = read_settings if str(path).endswith(".toml") else load_settings
        try:
            settings = read(path)
        except SettingsError as error:
            return self.report(Failed(ExitCode.INVALID, str(error)))
        value = msgspec.to_builtins(settings)
        return self.report(Done(f"{path}: valid settings of {settings.name}", value))


def commands() -> list[Command]:
    """Return the commands of this module."""
    return [SettingsCheck()]
