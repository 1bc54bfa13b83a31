"""Command `magnoliarouterd`: runs one daemon in the role that its settings name."""

from __future__ import annotations

import argparse
import asyncio
import ctypes
import signal
import sys

from magnoliarouter.daemon.settings import (
    EndpointSettings,
    EntrySettings,
    Settings,
    SettingsError,
    load_settings,
)
from magnoliarouter.telemetry.logs import log_event, open_log

__all__ = ["main"]

EXIT_OK = 0
EXIT_SETTINGS = 2
M_ARENA_MAX = -8


def main(arguments: list[str] | None = None) -> int:
    """Run the daemon until SIGTERM and return its exit code.

    Parameters
    ----------
    arguments : list of str, optional
        Command line; that of the process by default.
    """
    options = _parse(arguments)
    try:
        settings = load_settings(options.settings)
    except SettingsError as error:
        print(f"magnoliarouterd: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    if options.check:
        print(f"{options.settings}: valid settings of role {type(settings).__struct_config__.tag}")
        return EXIT_OK
    _limit_malloc_arenas()
    open_log(settings.log_file)
    asyncio.run(_run(settings))
    return EXIT_OK


def _parse(arguments: list[str] | None) -> argparse.Namespace:
    parser = argparse.ArgumentParser(prog="magnoliarouterd", description=__doc__)
    parser.add_argument("settings", help="JSON settings file")
    parser.add_argument("--check", action="store_true", help="check the settings and exit")
    return parser.parse_args(arguments)


def _limit_malloc_arenas() -> None:
    """Limit malloc to one arena, so that gRPC's idle threads retain no memory of their own."""
    ctypes.CDLL(None).mallopt(M_ARENA_MAX, 1)


async def _run(settings: Settings) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(signal_number, stopping.set)
    match settings:
        case EntrySettings():
            from magnoliarouter.daemon.entry import EntryDaemon

            daemon = EntryDaemon(settings)
        case EndpointSettings():
            from magnoliarouter.daemon.endpoint import EndpointDaemon

            daemon = EndpointDaemon(settings)
    await daemon.start()
    log_event("started", name=settings.name, zone=settings.zone, port=daemon.port)
    await stopping.wait()
    log_event("stopping", name=settings.name)
    await daemon.stop()
    log_event("stopped", name=settings.name)


if __name__ == "__main__":
    sys.exit(main())
