"""Tasks that one entry daemon of a region runs while it holds a lease.

They are the delivery of orders and the deletion of old claims and orders.
"""

from __future__ import annotations

import asyncio
import uuid
from typing import TYPE_CHECKING

from magnoliarouter.core.hashing import rendezvous_order
from magnoliarouter.daemon.orders import OrderController
from magnoliarouter.daemon.sweep import ClaimSweeper
from magnoliarouter.store.leases import LeaseManager
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    import aiohttp

    from magnoliarouter.store.client import PlatformClient

__all__ = ["RegionMaintenance"]

LEASE_NAME = "upkeep"
CANDIDATE_COUNT = 3
CANDIDACY_CHECK_S = 0.5


class RegionMaintenance:
    """Competes for the lease while among the first candidates, and runs the tasks while it is held.

    Parameters
    ----------
    name, region : str
        VM and region of the daemon.
    client : PlatformClient
        Client of the platform.
    session : aiohttp.ClientSession
        Session without connection reuse.
    list_vm_names : callable
        Returns the names of the region's entry VMs that are not leaving.
    clock : callable
        Loop time in seconds.
    """

    def __init__(
        self,
        name: str,
        region: str,
        client: PlatformClient,
        session: aiohttp.ClientSession,
        list_vm_names: Callable[[], Iterable[str]],
        clock: Callable[[], float],
    ) -> None:
        self._name = name
        self._list_vm_names = list_vm_names
        self.lease = LeaseManager(
            client,
            f"{LEASE_NAME}.{region}",
            f"{name}/{uuid.uuid4().hex}",
            clock,
            on_change=lambda epoch: log_event("upkeep_lease", epoch=epoch),
        )
        self._order_controller = OrderController(client, session, self.lease.epoch)
        self._sweeper = ClaimSweeper(client, self.lease.epoch, clock)
        self._tasks: list[asyncio.Task[None]] = []

    async def run(self) -> None:
        """Compete for the lease while this daemon is a candidate, until cancelled."""
        try:
            while True:
                if self._is_candidate() and not self._tasks:
                    self._start()
                elif not self._is_candidate() and self._tasks:
                    await self.release()
                await asyncio.sleep(CANDIDACY_CHECK_S)
        finally:
            self._cancel()

    async def release(self) -> None:
        """Stop the tasks and release the lease."""
        self._cancel()
        await self.lease.release()

    def _is_candidate(self) -> bool:
        return self._name in rendezvous_order(LEASE_NAME, self._list_vm_names())[:CANDIDATE_COUNT]

    def _start(self) -> None:
        loop = asyncio.get_running_loop()
        self.lease.resume()
        for coroutine in (self.lease.run(), self._order_controller.run(), self._sweeper.run()):
            self._tasks.append(loop.create_task(coroutine))

    def _cancel(self) -> None:
        for task in self._tasks:
            task.cancel()
        self._tasks.clear()
