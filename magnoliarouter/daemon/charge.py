"""Decides which gateway daemon is in charge of the expert maps."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.store.leases import LeaseKeeper
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.peers import PeerLoads
    from magnoliarouter.store.client import PlatformClient

__all__ = ["MapCharge"]

MAPS_LEASE = "expert-maps"
# A longer lease would leave the maps alone for longer when the daemon in charge dies or stands
# still; popularity changes every few seconds.
MAPS_LEASE_S = 1.4
CHECK_S = 0.25
# One message of the two a second lost; who asks for the lease in vain only reads it.
SILENCE_TIMEOUT_S = 0.8
STAGGER_S = 0.3


class MapCharge:
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
    may_stand : callable
        Returns whether this daemon is fit to be in charge.
    """

    def __init__(
        self,
        store: PlatformClient,
        holder: str,
        peers: PeerLoads,
        clock: Callable[[], float],
        may_stand: Callable[[], bool],
    ) -> None:
        self._lease = LeaseKeeper(store, MAPS_LEASE, holder, clock, MAPS_LEASE_S, self._note_change)
        self._peers = peers
        self._may_stand = may_stand
        self._keeping: asyncio.Task[None] | None = None
        peers.holds_map_lease = lambda: self.epoch() is not None

    def epoch(self) -> int | None:
        """Return the fencing number while this daemon is in charge, else None."""
        return self._lease.epoch()

    async def run(self) -> None:
        """Ask for the lease when it seems free, for ever.

        Daemons ask one after the other, so that the store is not asked by all at once.
        """
        while True:
            await asyncio.sleep(CHECK_S)
            silence = self._peers.map_lease_silence_s()
            if self._keeping is not None and self.epoch() is None and silence < CHECK_S:
                self._keeping.cancel()
                self._keeping = None
            elif self._keeping is None and self._may_stand():
                if silence > SILENCE_TIMEOUT_S + STAGGER_S * self._peers.position():
                    self._lease.resume()
                    self._keeping = asyncio.get_running_loop().create_task(self._lease.run())

    async def release(self) -> None:
        """Give the lease up, after `run` was cancelled."""
        if self._keeping is not None:
            self._keeping.cancel()
        await self._lease.release()

    def _note_change(self, epoch: int | None) -> None:
        log_event("maps_lease_won" if epoch is not None else "maps_lease_lost", epoch=epoch)
        self._peers.schedule_send()
