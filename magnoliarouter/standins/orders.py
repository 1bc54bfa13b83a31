"""Stand-in for the part of an engine that takes orders, and a process that gives them.

Run with ``--holder`` it is a holder of a lease that sends orders all the time; otherwise it serves
``POST /orders`` and tells at ``GET /journal`` which orders took effect, in their order. An engine
with ``--checks-fencing`` refuses orders with an older epoch, one without takes them all.
"""

from __future__ import annotations

import argparse
import asyncio
import uuid
from typing import TYPE_CHECKING

import aiohttp
import msgspec

from magnoliarouter.endpoints.client import open_session
from magnoliarouter.standins.process import run_standin
from magnoliarouter.store.client import PlatformClient
from magnoliarouter.store.leases import LeaseManager
from magnoliarouter.web.server import WebServer

if TYPE_CHECKING:
    from magnoliarouter.web.exchange import Exchange
    from magnoliarouter.web.loop import Runtime

__all__ = ["Effect", "OrderHolder", "OrderedEngine"]

ORDER_EVERY_S = 0.02
ORDER_TIMEOUT_S = 0.4
DELIVERY_S = 1.0


class Effect(msgspec.Struct, frozen=True):
    """Order that took effect.

    Parameters
    ----------
    id : str
        Id of the order.
    epoch : int
        Fencing number that it carried.
    """

    id: str
    epoch: int


class OrderedEngine:
    """Engine that takes orders.

    Parameters
    ----------
    checks_fencing : bool
        Whether it refuses an older epoch than the newest it has seen.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self.journal: list[Effect] = []
        self._checks_fencing = checks_fencing
        self._highest = 0

    async def handle(self, exchange: Exchange) -> None:
        """Answer one request."""
        if exchange.request.path == "/journal":
            await exchange.send(200, msgspec.json.encode(self.journal))
            return
        if exchange.request.path != "/orders":
            await exchange.send(404, b"{}")
            return
        effect = msgspec.json.decode(exchange.request.body, type=Effect)
        if self._checks_fencing and effect.epoch < self._highest:
            await exchange.send(409, b"{}")
            return
        self._highest = max(self._highest, effect.epoch)
        self.journal.append(effect)
        await exchange.send(200, b"{}")


class OrderHolder:
    """Process that gives orders while it holds a lease, without any daemon.

    Parameters
    ----------
    platform : str
        Base URL of the platform.
    guards, engines : list of str
        Base URLs of guards, and of engines that no guard stands before.
    duration : float
        Duration of the lease in seconds.
    blind : bool
        Whether to go on with the epoch once acquired, without asking again. For comparison.
    """

    def __init__(
        self, platform: str, guards: list[str], engines: list[str], duration: float, blind: bool
    ) -> None:
        self._platform = platform
        self._guards = guards
        self._engines = engines
        self._duration = duration
        self._blind = blind
        self._sent = 0
        self._acquired: int | None = None

    async def run(self) -> None:
        """Hold the lease and give orders for ever."""
        loop = asyncio.get_running_loop()
        async with open_session() as session, open_session(reuse=False) as orders:
            client = PlatformClient(self._platform, session)
            holder = uuid.uuid4().hex
            self.keeper = LeaseManager(
                client, "orders", holder, loop.time, self._duration, self._note
            )
            gives = [self._give_guard(orders, url) for url in self._guards]
            gives += [self._give_engine(orders, url) for url in self._engines]
            await asyncio.gather(self.keeper.run(), *gives)

    def _note(self, epoch: int | None) -> None:
        self._acquired = epoch or self._acquired

    def _epoch(self, fenced: bool) -> int | None:
        if self._blind:
            return self._acquired
        return self.keeper.order_epoch(checks_fencing=fenced, delivery=DELIVERY_S)

    async def _give_guard(self, session: aiohttp.ClientSession, url: str) -> None:
        while True:
            if (epoch := self._epoch(fenced=True)) is not None:
                body = {"epoch": epoch, "order": self._next_order()}
                await self._send(session, f"{url}/guard/orders", body)
            await asyncio.sleep(ORDER_EVERY_S)

    async def _give_engine(self, session: aiohttp.ClientSession, url: str) -> None:
        while True:
            if (epoch := self._epoch(fenced=False)) is not None:
                body = {"epoch": epoch, **self._next_order()}
                await self._send(session, f"{url}/orders", body)
            await asyncio.sleep(ORDER_EVERY_S)

    def _next_order(self) -> dict[str, str]:
        self._sent += 1
        return {"id": f"{id(self)}-{self._sent}", "action": "role", "subject": "", "name": "p"}

    async def _send(self, session: aiohttp.ClientSession, url: str, body: object) -> None:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with session.post(url, data=msgspec.json.encode(body)) as answer:
                    await answer.read()
        except (aiohttp.ClientError, OSError, TimeoutError):
            return


def _main() -> None:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--checks-fencing", action="store_true")
    parser.add_argument("--holder", action="store_true")
    parser.add_argument("--blind", action="store_true")
    parser.add_argument("--platform", default="")
    parser.add_argument("--guard", action="append", default=[])
    parser.add_argument("--engine", action="append", default=[])
    parser.add_argument("--duration", type=float, default=1.0)
    options, _ = parser.parse_known_args()
    running: list[asyncio.Task[None]] = []

    def start(runtime: Runtime, bind: tuple[str, int]) -> WebServer:
        if options.holder:
            holder = OrderHolder(
                options.platform, options.guard, options.engine, options.duration, options.blind
            )
            running.append(runtime.loop.create_task(holder.run()))
        return WebServer(runtime, bind, OrderedEngine(options.checks_fencing).handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
