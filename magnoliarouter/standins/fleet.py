"""Stand-in for many endpoints at once: the guards of a whole fleet in one process.

Each guard listens on an address of its availability zone, 127.0.ZONE.x, and is registered
in the platform as an engine. Nothing stands behind the guards; they answer status and reports.
"""

from __future__ import annotations

import argparse
import asyncio
import uuid
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.attempts import AttemptTable
from magnoliarouter.daemon.web import Exchange, WebServer
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.endpoints.guard import Guard
from magnoliarouter.platform.client import PlatformClient, Written
from magnoliarouter.platform.objects import EndpointSpec
from magnoliarouter.standins.process import run_standin

if TYPE_CHECKING:
    import aiohttp

    from magnoliarouter.daemon.loop import Runtime

__all__ = ["Fleet"]

NOWHERE = "http://127.0.0.1:1"
ADDRESSES_PER_ZONE = 200
REGISTER_RETRY_S = 0.2


class Fleet:
    """Guards of many endpoints.

    Parameters
    ----------
    runtime : Runtime
        Root component.
    platform : str
        Base URL of the platform.
    count, zones : int
        Endpoints, spread evenly over zones ``zone-1`` and up.
    """

    def __init__(self, runtime: Runtime, platform: str, count: int, zones: int) -> None:
        self.registered = 0
        self._runtime = runtime
        self._platform = platform
        self._count = count
        self._zones = zones

    async def run(self) -> None:
        """Start and register all guards."""
        async with open_session() as session:
            client = PlatformClient(self._platform, session)
            for number in range(self._count):
                await self._start_guard(client, session, number)
                self.registered += 1
            await asyncio.Event().wait()

    async def handle(self, exchange: Exchange) -> None:
        """Tell how many endpoints are registered."""
        await exchange.send(200, msgspec.json.encode({"registered": self.registered}))

    async def _start_guard(
        self, client: PlatformClient, session: aiohttp.ClientSession, number: int
    ) -> None:
        zone = number % self._zones + 1
        host = f"127.0.{zone}.{10 + number // self._zones % ADDRESSES_PER_ZONE}"
        attempts = AttemptTable(uuid.uuid4().hex)
        guard = Guard(attempts, NOWHERE, session, self._runtime.loop.time)
        server = WebServer(self._runtime, (host, 0), guard.handle)
        spec = EndpointSpec(
            name=f"engine-{number}",
            zone=f"zone-{zone}",
            address=f"{host}:{server.port}",
            incarnation=attempts.incarnation,
            models=("draft",),
        )
        while True:
            value = msgspec.to_builtins(spec)
            if isinstance(await client.write("endpoint", spec.name, value), Written):
                return
            await asyncio.sleep(REGISTER_RETRY_S)


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--count", type=int, default=16)
    parser.add_argument("--zones", type=int, default=1)
    options, _ = parser.parse_known_args()
    running: list[asyncio.Task[None]] = []

    def start(runtime: Runtime, bind: tuple[str, int]) -> WebServer:
        fleet = Fleet(runtime, options.platform, options.count, options.zones)
        running.append(runtime.loop.create_task(fleet.run()))
        return WebServer(runtime, bind, fleet.handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
