"""Stand-in for many endpoints: the guards of a whole fleet in one process.

Each guard listens on an address of its availability zone, 127.0.ZONE.x, and is registered on the
platform as an engine. No engine runs behind the guards; they respond to requests for status and
reports, and attempts can be simulated so that their load changes.
"""

from __future__ import annotations

import argparse
import asyncio
import random
import uuid
from typing import TYPE_CHECKING

import msgspec

from magnoliarouter.core.attempts import AttemptTable
from magnoliarouter.endpoints.client import open_session
from magnoliarouter.endpoints.guard import Guard
from magnoliarouter.endpoints.monitor import EndpointMonitor
from magnoliarouter.standins.process import run_standin
from magnoliarouter.store.client import PlatformClient, Written
from magnoliarouter.store.objects import EndpointSpec
from magnoliarouter.web.server import Exchange, WebServer

if TYPE_CHECKING:
    import aiohttp

    from magnoliarouter.web.loop import Runtime

__all__ = ["GuardFleet"]

UNREACHABLE_URL = "http://127.0.0.1:1"
ADDRESSES_PER_ZONE = 200
REGISTER_RETRY_S = 0.2
CONCURRENCY_SLOTS = 8
MEAN_ATTEMPT_S = 0.5


class GuardFleet:
    """Guards of many endpoints in one process.

    Parameters
    ----------
    runtime : Runtime
        Root component.
    platform : str
        Base URL of the platform.
    count, zones : int
        Number of endpoints, and of the zones ``zone-1`` and up over which they are spread evenly.
    rate : float
        Simulated attempts per second at each endpoint, with a mean duration of `MEAN_ATTEMPT_S`.
    """

    def __init__(
        self, runtime: Runtime, platform: str, count: int, zones: int, rate: float = 0.0
    ) -> None:
        self.registered = 0
        self._runtime = runtime
        self._platform = platform
        self._count = count
        self._zones = zones
        self._rate = rate
        self._random = random.Random(1)
        self._simulations: set[asyncio.Task[None]] = set()

    async def run(self) -> None:
        """Start and register all guards, and run until cancelled."""
        async with open_session() as session:
            client = PlatformClient(self._platform, session)
            for number in range(self._count):
                await self._start_guard(client, session, number)
                self.registered += 1
            await asyncio.Event().wait()

    async def handle(self, exchange: Exchange) -> None:
        """Report the number of registered endpoints."""
        await exchange.send(200, msgspec.json.encode({"registered": self.registered}))

    async def _start_guard(
        self, client: PlatformClient, session: aiohttp.ClientSession, number: int
    ) -> None:
        zone = number % self._zones + 1
        host = f"127.0.{zone}.{10 + number // self._zones % ADDRESSES_PER_ZONE}"
        attempts = AttemptTable(uuid.uuid4().hex)
        clock = self._runtime.loop.time
        monitor = EndpointMonitor(attempts, CONCURRENCY_SLOTS, CONCURRENCY_SLOTS, clock)
        guard = Guard(attempts, UNREACHABLE_URL, session, clock, monitor=monitor)
        if self._rate:
            self._simulations.add(asyncio.create_task(self._simulate_attempts(attempts, monitor)))
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

    async def _simulate_attempts(self, attempts: AttemptTable, monitor: EndpointMonitor) -> None:
        loop = self._runtime.loop

        def finish_attempt(attempt: str) -> None:
            attempts.finish(attempt, loop.time())
            monitor.publish_if_changed()

        while True:
            await asyncio.sleep(self._random.expovariate(self._rate))
            attempt = uuid.uuid4().hex
            attempts.start(attempt, attempts.incarnation, loop.time())
            monitor.publish_if_changed()
            loop.call_later(self._random.expovariate(1 / MEAN_ATTEMPT_S), finish_attempt, attempt)


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--platform", required=True)
    parser.add_argument("--count", type=int, default=16)
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--rate", type=float, default=0.0)
    options, _ = parser.parse_known_args()
    running: list[asyncio.Task[None]] = []

    def start(runtime: Runtime, bind: tuple[str, int]) -> WebServer:
        fleet = GuardFleet(runtime, options.platform, options.count, options.zones, options.rate)
        running.append(runtime.loop.create_task(fleet.run()))
        return WebServer(runtime, bind, fleet.handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
