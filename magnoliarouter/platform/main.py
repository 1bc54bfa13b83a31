"""Runs a gateway daemon on the users' platform."""

from __future__ import annotations

import asyncio
import os
import signal
import sys

from magnoliarouter.daemon.bootclock import BootClockLoop
from magnoliarouter.daemon.gateway import GatewayDaemon, GatewayInterface
from magnoliarouter.daemon.settings import SettingsError
from magnoliarouter.platform.configuration import (
    CONFIGURATION_KIND,
    CONFIGURATION_NAME,
    decode_configuration,
)
from magnoliarouter.platform.evacuations import EVACUATION_KIND, decode_evacuation
from magnoliarouter.platform.headers import PlatformHeaders
from magnoliarouter.platform.objects import RevisionCodec
from magnoliarouter.platform.ranks import PlatformRanks
from magnoliarouter.platform.registry import REGISTRY_KIND, decode_entry
from magnoliarouter.platform.settings import PATH_VARIABLE, read_settings
from magnoliarouter.telemetry.logs import log_event, open_log

__all__ = ["INTERFACE", "main"]

EXIT_OK = 0
EXIT_SETTINGS = 2

INTERFACE = GatewayInterface(
    headers=PlatformHeaders(),
    wire=RevisionCodec(),
    ready_path="/v1/ready",
    configuration_kind=CONFIGURATION_KIND,
    configuration_name=CONFIGURATION_NAME,
    decode_configuration=decode_configuration,
    endpoint_kind=REGISTRY_KIND,
    decode_endpoint=decode_entry,
    evacuation_kind=EVACUATION_KIND,
    decode_evacuation=decode_evacuation,
    open_ranks=PlatformRanks,
)


def main() -> int:
    """Run the daemon until SIGTERM and return its exit code."""
    path = os.environ.get(PATH_VARIABLE)
    if not path:
        print(f"magnoliarouter: variable {PATH_VARIABLE} names no settings file", file=sys.stderr)
        return EXIT_SETTINGS
    try:
        settings = read_settings(path)
    except SettingsError as error:
        print(f"magnoliarouter: {error}", file=sys.stderr)
        return EXIT_SETTINGS
    daemon = GatewayDaemon(settings, INTERFACE)
    drops = daemon.metrics.dropped_log_lines
    sink = open_log("-", lambda reason, lines: drops.labels(reason).inc(lines))
    with asyncio.Runner(loop_factory=BootClockLoop) as runner:
        runner.run(_run(daemon, path))
    sink.flush()
    return EXIT_OK


async def _run(daemon: GatewayDaemon, path: str) -> None:
    stopping = asyncio.Event()
    loop = asyncio.get_running_loop()
    for number in (signal.SIGTERM, signal.SIGINT):
        loop.add_signal_handler(number, stopping.set)
    loop.add_signal_handler(signal.SIGHUP, _reload, daemon, path)
    name = daemon.settings.name
    await daemon.start()
    log_event("started", name=name, zone=daemon.settings.zone, port=daemon.port)
    await stopping.wait()
    log_event("stopping", name=name)
    await daemon.stop()
    log_event("stopped", name=name)


def _reload(daemon: GatewayDaemon, path: str) -> None:
    try:
        settings = read_settings(path)
    except SettingsError as error:
        log_event("settings_refused", reason=str(error))
        return
    daemon.apply_settings(settings)


if __name__ == "__main__":
    sys.exit(main())
