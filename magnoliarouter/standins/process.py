"""Runs a stand-in as a separate process."""

from __future__ import annotations

import argparse
import asyncio
import signal
from typing import TYPE_CHECKING

from magnoliarouter.web.loop import Runtime

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.web.server import WebServer

__all__ = ["run_standin"]


def run_standin(
    start: Callable[[Runtime, tuple[str, int]], WebServer],
    parser: argparse.ArgumentParser | None = None,
) -> None:
    """Serve a stand-in until SIGTERM.

    Parameters
    ----------
    start : callable
        Creates the server from a runtime and a listening address.
    parser : argparse.ArgumentParser, optional
        Parser with the options of the stand-in; ``--bind HOST:PORT`` is added.
    """
    parser = parser or argparse.ArgumentParser()
    parser.add_argument("--bind", default="127.0.0.1:0")
    host, port = parser.parse_args().bind.rsplit(":", 1)
    asyncio.run(_serve(start, (host, int(port))))


async def _serve(
    start: Callable[[Runtime, tuple[str, int]], WebServer], bind: tuple[str, int]
) -> None:
    stopped = asyncio.Event()
    asyncio.get_running_loop().add_signal_handler(signal.SIGTERM, stopped.set)
    server = start(Runtime(), bind)
    print(f"listening {server.host}:{server.port}", flush=True)
    await stopped.wait()
