"""Stand-in that responds to every request with a short fixed text, on one of three event loops."""

from __future__ import annotations

import argparse
import importlib
from typing import TYPE_CHECKING, Any

from circuits import handler
from circuits.core.pollers import EPoll, Poll
from circuits.web import BaseServer

from magnoliarouter.standins.process import run_standin
from magnoliarouter.web.server import WebServer

if TYPE_CHECKING:
    from magnoliarouter.web.exchange import Exchange

__all__ = ["LOOPS"]

LOOPS = ("asyncio", "epoll", "poll")
DATA_PATH_MODULES = (
    "magnoliarouter.telemetry.logs",
    "magnoliarouter.telemetry.metrics",
    "magnoliarouter.endpoints.client",
)
RESPONSE_BODY = b'{"echo": true}'


class _CircuitsEcho(BaseServer):
    """The same service on an event loop of circuits."""

    @handler("request", priority=10)
    def _on_request(self, event: Any, request: Any, response: Any) -> Any:
        event.stop()
        response.body = RESPONSE_BODY
        return response


async def _respond(exchange: Exchange) -> None:
    await exchange.send(200, RESPONSE_BODY)


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--loop", choices=LOOPS, default="asyncio")
    parser.add_argument("--data-path", action="store_true", help="load what a bare proxy needs")
    options, rest = parser.parse_known_args()
    if options.data_path:
        for name in DATA_PATH_MODULES:
            importlib.import_module(name)
    if options.loop == "asyncio":
        run_standin(lambda runtime, bind: WebServer(runtime, bind, _respond), parser)
        return
    parser.add_argument("--bind", default="127.0.0.1:0")
    bind = parser.parse_args().bind
    server = _CircuitsEcho(bind, display_banner=False)
    (EPoll if options.loop == "epoll" else Poll)().register(server)
    server.run()


if __name__ == "__main__":
    _main()
