"""Elects the map leader: the gateway daemon that controls the expert maps."""

from __future__ import annotations

import asyncio
from typing import TYPE_CHECKING

from magnoliarouter.core.lease import LeaseRecord
from magnoliarouter.store.leases import LeaseManager
from magnoliarouter.telemetry.logs import log_event

if TYPE_CHECKING:
    from collections.abc import Callable

    from magnoliarouter.gateway.peers import MapLease, PeerLoads
    from magnoliarouter.store.client import PlatformClient

__all__ = ["MapLeaderElection"]

MAPS_LEASE_NAME = "expert-maps"
# When the map leader dies or stalls, the maps stay unchanged until its lease expires. Expert
# popularity changes every few seconds, so the lease is short.
MAPS_LEASE_S = 1.4
CHECK_INTERVAL_S = 0.25
# Tolerates the loss of one of the leader's two messages a second. A premature claim is harmless,
# because it only reads the lease.
LEADER_SILENCE_S = 0.8
CLAIM_STAGGER_S = 0.3
# Time after the start in which a daemon hears of the others, so that the first claims go in order too.
FIRST_CLAIM_DELAY_S = 0.3
# A daemon that resigned does not compete for this long, so that another one wins.
RESIGN_PAUSE_S = 4.0


class MapLeaderElection:
    """Competes for the map lease while no daemon reports that it holds the lease.

    Parameters
    ----------
    store : PlatformClient
        Client of the store that holds the lease.
    address : str
        Address that this daemon has bound; no other process has it bound at the same time, so an
        earlier holder with this address has ended.
    start : int
        Random number that identifies this start of the daemon.
    peers : PeerLoads
        Exchange with the other daemons, which are notified of changes.
    clock : callable
        Loop time in seconds.
    is_eligible : callable
        Returns whether this daemon may become map leader.
    on_won : callable
        Called when this daemon becomes map leader.
    """

    def __init__(
        self,
        store: PlatformClient,
        address: str,
        start: int,
        peers: PeerLoads,
        clock: Callable[[], float],
        is_eligible: Callable[[], bool],
        on_won: Callable[[], None] = lambda: None,
    ) -> None:
        owner = f"{address}."
        self._lease = LeaseManager(
            store,
            MAPS_LEASE_NAME,
            f"{owner}{start:x}",
            clock,
            MAPS_LEASE_S,
            self._report_change,
            owner,
            peers.schedule_send,
        )
        self._peers = peers
        self._is_eligible = is_eligible
        self._clock = clock
        self._on_won = on_won
        self._lease_task: asyncio.Task[None] | None = None
        self._release_task: asyncio.Task[None] | None = None
        self._paused_until = float("-inf")
        peers.holds_map_lease = lambda: self.fencing_number() is not None
        peers.read_map_lease = self._describe_lease
        peers.apply_map_lease = self._observe_lease

    def fencing_number(self) -> int | None:
        """Return the fencing number while this daemon is map leader, else None."""
        return self._lease.epoch()

    async def run(self) -> None:
        """Claim the lease whenever it seems free, until cancelled.

        Daemons claim in order of their position, so that they do not all call the store at once.
        """
        eligible_since: float | None = None
        while True:
            await asyncio.sleep(CHECK_INTERVAL_S)
            now, silence = self._clock(), self._peers.map_lease_silence_s()
            eligible = self._is_eligible() and now >= self._paused_until
            eligible_since = (eligible_since or now) if eligible else None
            stagger_s = CLAIM_STAGGER_S * self._peers.position()
            if (
                self._lease_task is not None
                and self.fencing_number() is None
                and silence < CHECK_INTERVAL_S
            ):
                self._lease_task.cancel()
                self._lease_task = None
            elif self._lease_task is None and eligible_since is not None:
                heard_others = now - eligible_since >= FIRST_CLAIM_DELAY_S + stagger_s
                if heard_others and silence > LEADER_SILENCE_S + stagger_s:
                    self._lease.resume()
                    self._lease_task = asyncio.get_running_loop().create_task(self._lease.run())

    def resign(self) -> None:
        """Give the lease up, and leave it to the other daemons for some seconds."""
        if self._lease_task is not None:
            self._lease_task.cancel()
            self._lease_task = None
            self._paused_until = self._clock() + RESIGN_PAUSE_S
            self._lease.stop_acting()
            self._release_task = asyncio.get_running_loop().create_task(self._lease.release())

    async def release(self) -> None:
        """Release the lease, after `run` was cancelled."""
        if self._lease_task is not None:
            self._lease_task.cancel()
        await self._lease.release()

    def _report_change(self, epoch: int | None) -> None:
        log_event("maps_lease_won" if epoch is not None else "maps_lease_lost", epoch=epoch)
        self._peers.schedule_send()
        if epoch is not None:
            self._on_won()

    def _describe_lease(self) -> MapLease | None:
        """Return this daemon's last write of the lease, for the other daemons."""
        held = self._lease.held_record()
        if held is None:
            return None
        version, record = held
        return version, record.holder, record.epoch, record.duration, record.write

    def _observe_lease(self, lease: MapLease) -> None:
        """Apply the map leader's last write, unless this daemon competes for the lease."""
        if self._lease_task is None:
            version, holder, epoch, duration, write = lease
            self._lease.observe_holder(version, LeaseRecord(holder, epoch, duration, write))
