"""Stand-in for the order interface of an engine, and a process that sends orders to it.

With ``--holder`` it acquires a lease and keeps sending orders; otherwise it accepts orders at
``POST /orders`` and returns those that it applied, in order, at ``GET /journal``. With
``--checks-fencing`` it refuses orders of an older epoch, without it applies all orders.
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

__all__ = ["AppliedOrder", "OrderSender", "OrderReceiver"]

ORDER_INTERVAL_S = 0.02
ORDER_TIMEOUT_S = 0.4
ORDER_DELIVERY_S = 1.0


class AppliedOrder(msgspec.Struct, frozen=True):
    """Order that the engine applied.

    Parameters
    ----------
    id : str
        Id of the order.
    epoch : int
        Fencing epoch of the order.
    """

    id: str
    epoch: int


class OrderReceiver:
    """Engine that accepts orders.

    Parameters
    ----------
    checks_fencing : bool
        Whether it refuses an epoch older than the newest that it has received.
    """

    def __init__(self, checks_fencing: bool) -> None:
        self.journal: list[AppliedOrder] = []
        self._checks_fencing = checks_fencing
        self._highest_epoch = 0

    async def handle(self, exchange: Exchange) -> None:
        """Handle one request."""
        if exchange.request.path == "/journal":
            await exchange.send(200, msgspec.json.encode(self.journal))
            return
        if exchange.request.path != "/orders":
            await exchange.send(404, b"{}")
            return
        order = msgspec.json.decode(exchange.request.body, type=AppliedOrder)
        if self._checks_fencing and order.epoch < self._highest_epoch:
            await exchange.send(409, b"{}")
            return
        self._highest_epoch = max(self._highest_epoch, order.epoch)
        self.journal.append(order)
        await exchange.send(200, b"{}")


class OrderSender:
    """Sends orders while it holds a lease, without a daemon.

    Parameters
    ----------
    platform : str
        Base URL of the platform.
    guards, engines : list of str
        Base URLs of guards, and of engines without a guard.
    duration : float
        Duration of the lease in seconds.
    keeps_epoch : bool
        Whether to keep using the last acquired epoch without checking the lease again, as a
        comparison.
    """

    def __init__(
        self,
        platform: str,
        guards: list[str],
        engines: list[str],
        duration: float,
        keeps_epoch: bool,
    ) -> None:
        self._platform = platform
        self._guards = guards
        self._engines = engines
        self._duration = duration
        self._keeps_epoch = keeps_epoch
        self._sent_orders = 0
        self._last_epoch: int | None = None

    async def run(self) -> None:
        """Hold the lease and send orders until cancelled."""
        loop = asyncio.get_running_loop()
        async with open_session() as session, open_session(reuse=False) as orders:
            client = PlatformClient(self._platform, session)
            holder = uuid.uuid4().hex
            self.lease = LeaseManager(
                client, "orders", holder, loop.time, self._duration, self._record_epoch
            )
            senders = [self._send_to_guard(orders, url) for url in self._guards]
            senders += [self._send_to_engine(orders, url) for url in self._engines]
            await asyncio.gather(self.lease.run(), *senders)

    def _record_epoch(self, epoch: int | None) -> None:
        self._last_epoch = epoch or self._last_epoch

    def _order_epoch(self, checks_fencing: bool) -> int | None:
        if self._keeps_epoch:
            return self._last_epoch
        return self.lease.order_epoch(checks_fencing=checks_fencing, delivery=ORDER_DELIVERY_S)

    async def _send_to_guard(self, session: aiohttp.ClientSession, url: str) -> None:
        while True:
            if (epoch := self._order_epoch(checks_fencing=True)) is not None:
                body = {"epoch": epoch, "order": self._next_order()}
                await self._send(session, f"{url}/guard/orders", body)
            await asyncio.sleep(ORDER_INTERVAL_S)

    async def _send_to_engine(self, session: aiohttp.ClientSession, url: str) -> None:
        while True:
            if (epoch := self._order_epoch(checks_fencing=False)) is not None:
                body = {"epoch": epoch, **self._next_order()}
                await self._send(session, f"{url}/orders", body)
            await asyncio.sleep(ORDER_INTERVAL_S)

    def _next_order(self) -> dict[str, str]:
        self._sent_orders += 1
        return {
            "id": f"{id(self)}-{self._sent_orders}",
            "action": "role",
            "subject": "",
            "name": "p",
        }

    async def _send(self, session: aiohttp.ClientSession, url: str, body: object) -> None:
        try:
            async with asyncio.timeout(ORDER_TIMEOUT_S):
                async with session.post(url, data=msgspec.json.encode(body)) as response:
                    await response.read()
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
            holder = OrderSender(
                options.platform, options.guard, options.engine, options.duration, options.blind
            )
            running.append(runtime.loop.create_task(holder.run()))
        return WebServer(runtime, bind, OrderReceiver(options.checks_fencing).handle)

    run_standin(start, parser)


if __name__ == "__main__":
    _main()
