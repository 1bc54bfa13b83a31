"""Decides which gateway daemon is in charge of the expert maps."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.store.leases import LeaseManager
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.peers import PeerLoads
    from magnoliarouter.store.client import PlatformClient

__all__ = ["MapLeaderElection"]

MAPS_LEASE_NAME = "expert-maps"
# A longer lease would leave the maps alone for longer when the daemon in charge dies or stands
# still; popularity changes every few seconds.
MAPS_LEASE_S = 1.4
CHECK_INTERVAL_S = 0.25
# One message of the two a second lost; who asks for the lease in vain only reads it.
LEADER_SILENCE_S = 0.8
CLAIM_STAGGER_S = 0.3


class MapLeaderElection:
    """Stands for the lease on the expert maps while no daemon says that it holds it.

    Parameters
    ----------
    store : PlatformClient
        Where the lease lies.
    holder : str
        Id of this start of the daemon.
    peers : PeerLoads
        The other daemons, which are told.
    clock : callable
        Loop time in seconds.
    is_eligible : callable
        Returns whether this daemon is fit to be in charge.
    """

    def __init__(
        self,
        store: PlatformClient,
        holder: str,
        peers: PeerLoads,
        clock: Callable[[], float],
        is_eligible: Callable[[], bool],
    ) -> None:
        self._lease = LeaseManager(
            store, MAPS_LEASE_NAME, holder, clock, MAPS_LEASE_S, self._report_change
        )
        self._peers = peers
        self._is_eligible = is_eligible
        self._lease_task: asyncio.Task[None] | None = None
        peers.holds_map_lease = lambda: self.epoch() is not None

    def epoch(self) -> int | None:
        """Return the fencing number while this daemon is in charge, else None."""
        return self._lease.epoch()

    async def run(self) -> None:
        """Ask for the lease when it seems free, for ever.

        Daemons ask one after the other, so that the store is not asked by all at once.
        """
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            silence = self._peers.map_lease_silence_s()
            if self._lease_task is not None and self.epoch() is None and silence < CHECK_INTERVAL_S:
                self._lease_task.cancel()
                self._lease_task = None
            elif self._lease_task is None and self._is_eligible():
                if silence > LEADER_SILENCE_S + CLAIM_STAGGER_S * self._peers.position():
                    self._lease.resume()
                    self._lease_task = asyncio.get_running_loop().create_task(self._lease.run())

    async def release(self) -> None:
        """Give the lease up, after `run` was cancelled."""
        if self._lease_task is not None:
            self._lease_task.cancel()
        await self._lease.release()

    def _report_change(self, epoch: int | None) -> None:
        log_event("maps_lease_won" if epoch is not None else "maps_lease_lost", epoch=epoch)
        self._peers.schedule_send()
